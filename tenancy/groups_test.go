package tenancy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// mistake is a fault that the simulated fleet has, to show that the test detects it.
type mistake int

const (
	noMistake       mistake = iota
	skipJointStep           // proxies change from the old groups to the new ones without the joint step
	skipWait                // the new groups alone are configured as soon as all proxies have both, without a wait
	groupsFromTable         // a write's group is selected among those in the proxy's table instead of the settings
	useOtherGroup           // a write whose group is unreachable goes to another group
	groupsByLimit           // a pilot's limit gives a tenant more groups, only at that pilot's proxies
	ignoreDownProxy         // the second step ignores a proxy that is down, which comes back with the old groups
)

// groupProxy is a proxy with the settings of its last start. Its table changes at random and determines which groups it
// reaches.
type groupProxy struct {
	step       int // index in steps of its settings: 0 the old groups, 1 both, 2 the new ones
	down       bool
	reaches    []PodID
	moreGroups bool
}

// groupSimulation runs a small fleet with random events: proxies, clients that retry a write within its deduplication
// window through any proxy, servers that drop duplicates inside a group for as long, and an operator that changes the
// groups while tables change and proxies fail.
type groupSimulation struct {
	*simulation
	injected      mistake
	steps         [3]Groups
	allGroups     []PodID
	fleet         []*groupProxy
	step          int           // index in steps that the operator configures now
	completeSince time.Duration // when all proxies had the step
	complete      bool
	subsetSize    int
	refusedTries  int
	sentTries     int
}

func newGroupSimulation(seed uint64, injected mistake) *groupSimulation {
	rng := rand.New(rand.NewPCG(seed, 11))
	w := &groupSimulation{simulation: &simulation{rng: rng, effects: map[string]map[int]time.Duration{}}, injected: injected,
		complete: true, subsetSize: rng.IntN(4)}
	for i := range 6 {
		w.allGroups = append(w.allGroups, PodOf(i%2, i/2))
	}
	now, next := w.allGroups[:4+rng.IntN(2)], w.allGroups[rng.IntN(2):]
	w.steps = [3]Groups{NewGroups(now), NewJointGroups(now, next), NewGroups(next)}
	for range 3 {
		p := &groupProxy{}
		w.fleet = append(w.fleet, p)
		w.newTable(p)
	}
	return w
}

// newTable gives a proxy another table, as after a restart of its pilot or a change to another pilot.
func (w *groupSimulation) newTable(p *groupProxy) {
	p.reaches = nil
	for _, id := range w.allGroups {
		if w.rng.IntN(4) > 0 {
			p.reaches = append(p.reaches, id)
		}
	}
}

// write returns the write of op i. There are only five tenants, so that some share a subset.
func (w *groupSimulation) write(i int) Write {
	return Write{Tenant: fmt.Sprint("tenant ", i%5), Count: w.subsetSize, Key: fmt.Sprint("key ", i)}
}

// place returns the group that a proxy sends a write to; false if the proxy refuses the write.
func (w *groupSimulation) place(p *groupProxy, i int) (PodID, bool) {
	write, groups := w.write(i), w.steps[p.step]
	if w.injected == groupsByLimit && p.moreGroups && write.Count > 0 {
		write.Count++
	}
	if w.injected == groupsFromTable {
		groups = NewGroups(p.reaches)
	}
	group, ok := groups.Draw(write, groups.Subset(write))
	if ok && slices.Contains(p.reaches, group) {
		return group, true
	}
	if w.injected == useOtherGroup && len(p.reaches) > 0 {
		return p.reaches[0], true
	}
	return 0, false
}

// try sends one try of one of the newest three ops through a proxy.
func (w *groupSimulation) try(p *groupProxy) {
	if p.down || len(w.ops) == 0 {
		return
	}
	i := len(w.ops) - 1 - w.rng.IntN(min(3, len(w.ops)))
	o := w.ops[i]
	if !o.tried {
		o.first, o.tried = w.now, true
	}
	if w.now-o.first >= dedupWindow {
		return
	}
	if group, ok := w.place(p, i); ok {
		w.flights = append(w.flights, flight{i, fmt.Sprint(group), w.now})
		w.sentTries++
	} else {
		w.refusedTries++
	}
}

// restart restarts a proxy with the settings of the operator's step.
func (w *groupSimulation) restart(p *groupProxy) {
	if p.down {
		return
	}
	p.step = w.step
	isBehind := func(p *groupProxy) bool { return p.step != w.step && !(w.injected == ignoreDownProxy && p.down) }
	if !w.complete && !slices.ContainsFunc(w.fleet, isBehind) {
		w.complete, w.completeSince = true, w.now
	}
}

// change starts the operator's next step if the current one is complete and has been waited out.
func (w *groupSimulation) change() {
	wait := writeLifetime + dedupWindow
	if w.injected == skipWait {
		wait = 0
	}
	if !w.complete || w.step == 2 || w.step == 1 && w.now-w.completeSince < wait {
		return
	}
	if w.step++; w.injected == skipJointStep {
		w.step = 2
	}
	w.complete = false
}

// randomEvent simulates one random event.
func (w *groupSimulation) randomEvent() {
	p := w.fleet[w.rng.IntN(len(w.fleet))]
	switch w.rng.IntN(14) {
	case 0, 1:
		w.ops = append(w.ops, &op{})
	case 2, 3, 4, 5:
		w.try(p)
	case 6, 7:
		if len(w.flights) > 0 {
			w.deliver(w.rng.IntN(len(w.flights)))
		}
	case 8:
		w.newTable(p)
		p.moreGroups = w.rng.IntN(2) == 0
	case 9: // a proxy fails, or comes back with the same settings; the tries that it sent are still in flight
		p.down = !p.down && w.rng.IntN(3) == 0
	case 10:
		w.restart(p)
	case 11:
		w.change()
	case 12, 13:
		w.passTime()
	}
}

// passTime advances the time by half a tick; no try is in flight for longer than the lifetime of a write.
func (w *groupSimulation) passTime() {
	w.now += tick / 2
	for i := 0; i < len(w.flights); i++ {
		if w.now-w.flights[i].sent >= writeLifetime {
			w.deliver(i)
			i--
		}
	}
}

// TestGroups checks that no write takes effect twice, while its tries come through any proxies and, in random order,
// tables change, proxies restart and the operator changes the groups. After the change every write is admitted where its
// group is reachable. The same simulation must detect each mistake.
func TestGroups(t *testing.T) {
	changed, sentTries := 0, 0
	for seed := range uint64(4000) {
		w := newGroupSimulation(seed, noMistake)
		for range 200 {
			w.randomEvent()
		}
		if n := w.duplicated(); n > 0 {
			t.Fatalf("seed %d: %d writes took effect twice", seed, n)
		}
		sentTries += w.sentTries
		for range 8 {
			w.change()
			for _, p := range w.fleet {
				p.down = false
				w.restart(p)
			}
			for range 12 {
				w.passTime()
			}
		}
		if w.step == 2 && w.complete {
			changed++
		}
		for i, p := range w.fleet {
			p.reaches = w.allGroups
			if _, ok := w.place(p, i); !ok {
				t.Fatalf("seed %d: a write is refused after the change, with all groups reachable", seed)
			}
		}
	}
	if changed < 4000 || sentTries < 4000*20 {
		t.Errorf("only %d changes completed and %d tries were sent", changed, sentTries)
	}
	for injected := skipJointStep; injected <= ignoreDownProxy; injected++ {
		checkDetected(t, fmt.Sprint("mistake ", injected), 4000, func(seed uint64) int {
			w := newGroupSimulation(seed, injected)
			for range 200 {
				w.randomEvent()
			}
			return w.duplicated()
		})
	}
}

// TestDraw checks that writes are spread evenly over a tenant's groups by their keys, and that a write without a key goes
// to the first group.
func TestDraw(t *testing.T) {
	g := NewGroups([]PodID{PodOf(1, 2), PodOf(0, 1), PodOf(0, 2), PodOf(0, 1)})
	w := Write{Tenant: "delo"}
	subset := g.Subset(w)
	if want := []PodID{PodOf(0, 1), PodOf(0, 2), PodOf(1, 2)}; !slices.Equal(subset, want) {
		t.Fatalf("%v", subset)
	}
	if first, ok := g.Draw(w, subset); !ok || first != PodOf(0, 1) {
		t.Errorf("a write without a key goes to %v, %t", first, ok)
	}
	got := map[PodID]int{}
	const writes = 30000
	for i := range writes {
		w.Key = fmt.Sprint(i)
		group, _ := g.Draw(w, subset)
		got[group]++
	}
	for id, n := range got {
		if n < writes/3*9/10 || n > writes/3*11/10 {
			t.Errorf("group %d: %d of %d writes", id, n, writes)
		}
	}
	w.Count = 2
	if s := g.Subset(w); len(s) != 2 || s[0]>>16 == s[1]>>16 {
		t.Errorf("got the subset %v, want two groups of different zones", s)
	}
	if _, ok := (Groups{}).Draw(w, Groups{}.Subset(w)); ok {
		t.Error("selected a group among none")
	}
	w.Placement = Placement{Pods: []PodID{PodOf(0, 2), PodOf(1, 2)}}
	if zones := w.Placement.InZones().Pods; !slices.Equal(zones, []PodID{PodOf(0, 0), PodOf(1, 0)}) ||
		w.Placement.Pods[0] != PodOf(0, 2) {
		t.Errorf("%v", zones)
	}
}

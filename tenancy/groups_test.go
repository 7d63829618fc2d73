package tenancy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// mistake is what a fleet does wrong, to see that the check notices.
type mistake int

const (
	faithful     mistake = iota
	noJoint              // proxies go from the old groups to the new ones at once
	noWait               // the new ones alone are given as soon as all proxies have both
	fromTable            // a write is drawn among the groups that the proxy's table has
	borrows              // a write whose group cannot be reached goes to another
	byLimit              // a pilot's limit gives a tenant more groups at its own proxies
	oneForgotten         // the second step does not wait for a proxy that is away and comes back with the old groups
)

// groupProxy is a proxy with the settings that it was last started with. Its table, which changes as it likes, says what it reaches.
type groupProxy struct {
	step    int // of the change: 0 the old groups, 1 both, 2 the new ones
	away    bool
	reaches []PodID
	roomy   bool
}

// groupWorld is a small fleet: proxies, clients that repeat a write within its window through any proxy, servers that drop repeats
// inside a group for as long, an operator that changes the groups while tables, cuts and deaths have any order.
type groupWorld struct {
	*world
	wrong    mistake
	steps    [3]Groups
	all      []PodID
	fleet    []*groupProxy
	step     int           // that the operator is giving out
	since    time.Duration // all proxies have it
	complete bool
	count    int
	refused  int
	sent     int
}

func newGroupWorld(seed uint64, wrong mistake) *groupWorld {
	rng := rand.New(rand.NewPCG(seed, 11))
	w := &groupWorld{world: &world{rng: rng, effects: map[string]map[int]time.Duration{}}, wrong: wrong, complete: true, count: rng.IntN(4)}
	for i := range 6 {
		w.all = append(w.all, PodOf(i%2, i/2))
	}
	now, next := w.all[:4+rng.IntN(2)], w.all[rng.IntN(2):]
	w.steps = [3]Groups{NewGroups(now), NewJointGroups(now, next), NewGroups(next)}
	for range 3 {
		p := &groupProxy{}
		w.fleet = append(w.fleet, p)
		w.newTable(p)
	}
	return w
}

// newTable has a proxy go by another table, of its pilot's next run or of another pilot.
func (w *groupWorld) newTable(p *groupProxy) {
	p.reaches = nil
	for _, id := range w.all {
		if w.rng.IntN(4) > 0 {
			p.reaches = append(p.reaches, id)
		}
	}
}

// write is how an op's group is drawn; tenants are few, so that some share a subset.
func (w *groupWorld) write(i int) Write {
	return Write{Tenant: fmt.Sprint("tenant ", i%5), Count: w.count, Key: fmt.Sprint("key ", i)}
}

// place is where a proxy sends a write.
func (w *groupWorld) place(p *groupProxy, i int) (PodID, bool) {
	write, groups := w.write(i), w.steps[p.step]
	if w.wrong == byLimit && p.roomy && write.Count > 0 {
		write.Count++
	}
	if w.wrong == fromTable {
		groups = NewGroups(p.reaches)
	}
	group, ok := groups.Draw(write, groups.Subset(write))
	if ok && slices.Contains(p.reaches, group) {
		return group, true
	}
	if w.wrong == borrows && len(p.reaches) > 0 {
		return p.reaches[0], true
	}
	return 0, false
}

// try sends one try of a newer op through a proxy.
func (w *groupWorld) try(p *groupProxy) {
	if p.away || len(w.ops) == 0 {
		return
	}
	i := len(w.ops) - 1 - w.rng.IntN(min(3, len(w.ops)))
	o := w.ops[i]
	if !o.tried {
		o.first, o.tried = w.now, true
	}
	if w.now-o.first >= window {
		return
	}
	if group, ok := w.place(p, i); ok {
		w.flights = append(w.flights, flight{i, fmt.Sprint(group), w.now})
		w.sent++
	} else {
		w.refused++
	}
}

// restart starts a proxy anew with the settings of the operator's step.
func (w *groupWorld) restart(p *groupProxy) {
	if p.away {
		return
	}
	p.step = w.step
	behind := func(p *groupProxy) bool { return p.step != w.step && !(w.wrong == oneForgotten && p.away) }
	if !w.complete && !slices.ContainsFunc(w.fleet, behind) {
		w.complete, w.since = true, w.now
	}
}

// change has the operator begin its next step, once that may be.
func (w *groupWorld) change() {
	waits := write + window
	if w.wrong == noWait {
		waits = 0
	}
	if !w.complete || w.step == 2 || w.step == 1 && w.now-w.since < waits {
		return
	}
	if w.step++; w.wrong == noJoint {
		w.step = 2
	}
	w.complete = false
}

func (w *groupWorld) happen() {
	p := w.fleet[w.rng.IntN(len(w.fleet))]
	switch w.rng.IntN(14) {
	case 0, 1:
		w.ops = append(w.ops, &op{})
	case 2, 3, 4, 5:
		w.try(p)
	case 6, 7:
		if len(w.flights) > 0 {
			w.land(w.rng.IntN(len(w.flights)))
		}
	case 8:
		w.newTable(p)
		p.roomy = w.rng.IntN(2) == 0
	case 9: // it dies, or comes back with the settings that it had; what it sent is under way
		p.away = !p.away && w.rng.IntN(3) == 0
	case 10:
		w.restart(p)
	case 11:
		w.change()
	case 12, 13:
		w.pass()
	}
}

// pass is half a tick; no try stays in hand longer than a write does.
func (w *groupWorld) pass() {
	w.now += tick / 2
	for i := 0; i < len(w.flights); i++ {
		if w.now-w.flights[i].sent >= write {
			w.land(i)
			i--
		}
	}
}

// No write takes effect twice, whatever proxies its tries come through and in whatever order tables change, proxies die and come
// back and the operator changes the groups; and once a change is over each write goes where its group is reached. The same worlds
// find each mistake of the list.
func TestGroups(t *testing.T) {
	changed, sent := 0, 0
	for seed := range uint64(4000) {
		w := newGroupWorld(seed, faithful)
		for range 200 {
			w.happen()
		}
		if n := w.doubled(); n > 0 {
			t.Fatalf("seed %d: %d writes took effect twice", seed, n)
		}
		sent += w.sent
		for range 8 {
			w.change()
			for _, p := range w.fleet {
				p.away = false
				w.restart(p)
			}
			for range 12 {
				w.pass()
			}
		}
		if w.step == 2 && w.complete {
			changed++
		}
		for i, p := range w.fleet {
			p.reaches = w.all
			if _, ok := w.place(p, i); !ok {
				t.Fatalf("seed %d: a write is refused when all is over", seed)
			}
		}
	}
	if changed < 4000 || sent < 4000*20 {
		t.Errorf("%d changes came to their end, %d tries were sent", changed, sent)
	}
	for wrong := noJoint; wrong <= oneForgotten; wrong++ {
		checkFound(t, fmt.Sprint("mistake ", wrong), 4000, func(seed uint64) int {
			w := newGroupWorld(seed, wrong)
			for range 200 {
				w.happen()
			}
			return w.doubled()
		})
	}
}

// Writes are spread evenly over a tenant's groups by their keys, and one without a key has the first.
func TestDraw(t *testing.T) {
	g := NewGroups([]PodID{PodOf(1, 2), PodOf(0, 1), PodOf(0, 2), PodOf(0, 1)})
	w := Write{Tenant: "delo"}
	subset := g.Subset(w)
	if want := []PodID{PodOf(0, 1), PodOf(0, 2), PodOf(1, 2)}; !slices.Equal(subset, want) {
		t.Fatalf("%v", subset)
	}
	if first, ok := g.Draw(w, subset); !ok || first != PodOf(0, 1) {
		t.Errorf("without a key: %v %t", first, ok)
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
		t.Errorf("a subset of two: %v", s)
	}
	if _, ok := (Groups{}).Draw(w, Groups{}.Subset(w)); ok {
		t.Error("drawn among none")
	}
	w.Placement = Placement{Pods: []PodID{PodOf(0, 2), PodOf(1, 2)}}
	if zones := w.Placement.InZones().Pods; !slices.Equal(zones, []PodID{PodOf(0, 0), PodOf(1, 0)}) || w.Placement.Pods[0] != PodOf(0, 2) {
		t.Errorf("%v", zones)
	}
}

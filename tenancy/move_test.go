package tenancy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

// simulation runs a Mover with random events around it: proxies with bindings, clients that retry an op anywhere within
// its window, and servers that drop duplicates inside a placement's group for as long.
type simulation struct {
	rng            *rand.Rand
	now            time.Duration
	started        time.Duration // start of this run of the pilot
	limits         MoveLimits
	proxyWait      time.Duration // the wait parameter of the proxies' bindings
	mover          *Mover
	records        map[string]Record
	knownProxies   []ProxyID
	proxies        map[ProxyID]*simProxy
	flights        []flight
	ops            []*op
	effects        map[string]map[int]time.Duration // by placement and op: when the op's key was first seen there
	completedMoves int
}

// simProxy is a proxy with its binding of the one tenant.
type simProxy struct {
	Binding
	joined        bool
	appliedUpTo   uint64          // the proxy has all of the pilot's updates up to this number
	updates       []BindingUpdate // updates in flight to the proxy
	confirmations []Confirmation  // confirmations in flight to the pilot
}

// op is a client's write.
type op struct {
	first   time.Duration // time of the first try
	effects int           // number of times that it took effect
	tried   bool
}

// flight is a try in flight from a proxy to the servers.
type flight struct {
	op     int
	target string // placement or group that the try goes to
	sent   time.Duration
}

const tick = time.Second

// step advances the Mover and delivers its result to the store and the connected proxies.
func (w *simulation) step(events ...Event) {
	d := w.mover.Step(w.now-w.started, events...)
	for _, r := range d.Records {
		w.records[r.Tenant] = r
	}
	if d.KnownProxies != nil {
		w.knownProxies = d.KnownProxies
	}
	for _, e := range d.Ended {
		if e.Moved {
			w.completedMoves++
		}
	}
	for _, o := range d.Updates {
		if p := w.proxies[o.Proxy]; p.joined {
			p.updates = append(p.updates, o)
		}
	}
}

func newSimulation(seed uint64, limits MoveLimits, proxyWait time.Duration, proxies int) *simulation {
	w := &simulation{rng: rand.New(rand.NewPCG(seed, 7)), limits: limits, proxyWait: proxyWait, records: map[string]Record{},
		proxies: map[ProxyID]*simProxy{},
		effects: map[string]map[int]time.Duration{}}
	w.mover = NewMover(limits, 100, nil, nil)
	for i := range proxies {
		w.proxies[ProxyID(i)] = &simProxy{Binding: NewBinding(), joined: true}
		w.step(Event{Joined: &Joined{Proxy: ProxyID(i)}})
	}
	return w
}

func (w *simulation) randomProxy() (ProxyID, *simProxy) {
	id := ProxyID(w.rng.IntN(len(w.proxies)))
	return id, w.proxies[id]
}

const dedupWindow, writeLifetime = 3 * tick, 2 * tick // real deduplication window and write lifetime in the simulation

// applyNext applies the next update at a proxy.
func (w *simulation) applyNext(id ProxyID, p *simProxy) {
	o := p.updates[0]
	p.updates = p.updates[1:]
	p.appliedUpTo = max(p.appliedUpTo, o.Number)
	if o.Clear {
		if p.Pilot != "p" || p.Number < o.Number {
			p.Binding = p.Apply(w.now, w.proxyWait, "p", o.Number, Placement{}, false)
		}
		return
	}
	p.Binding = p.Apply(w.now, w.proxyWait, "p", o.Number, o.Placement, o.Held)
	p.confirmations = append(p.confirmations, Confirmation{id, o.Tenant, o.Number})
}

// randomEvent simulates one random event.
func (w *simulation) randomEvent() {
	id, p := w.randomProxy()
	name := "a"
	switch w.rng.IntN(15) {
	case 0:
		w.ops = append(w.ops, &op{})
	case 1, 2, 3: // a client sends an op, or retries it within its window
		if len(w.ops) > 0 && p.AllowsWrites(w.now, w.proxyWait) {
			i := len(w.ops) - 1 - w.rng.IntN(min(3, len(w.ops)))
			o := w.ops[i]
			if !o.tried {
				o.first, o.tried = w.now, true
			}
			if w.now-o.first < dedupWindow {
				w.flights = append(w.flights, flight{i, p.Placement.String(), w.now})
			}
		}
	case 4, 5: // a try arrives
		if len(w.flights) > 0 {
			w.deliver(w.rng.IntN(len(w.flights)))
		}
	case 6, 7: // an update arrives and its confirmation is sent
		if len(p.updates) > 0 {
			w.applyNext(id, p)
		}
	case 8, 9:
		if len(p.confirmations) > 0 {
			c := p.confirmations[0]
			p.confirmations = p.confirmations[1:]
			w.step(Event{Confirmed: &c})
		}
	case 10: // a stream breaks or is re-established
		p.updates, p.confirmations = nil, nil
		if p.joined = !p.joined; p.joined {
			w.step(Event{Joined: &Joined{Proxy: id, AppliedUpTo: p.appliedUpTo}})
		} else {
			w.mover.ProxyLeft(id)
		}
	case 11:
		switch w.rng.IntN(8) {
		case 0:
			w.step(Event{Cancel: &name})
		case 1: // the pilot restarts with its saved records; all streams break
			var records []Record
			for _, r := range w.records {
				records = append(records, r)
			}
			w.mover, w.started = NewMover(w.limits, 100, records, w.knownProxies), w.now
			for _, p := range w.proxies {
				p.joined, p.updates, p.confirmations = false, nil, nil
			}
		case 2:
			w.step(Event{Open: &name})
		default:
			w.step(Event{MoveRequest: &MoveRequest{"a", Placement{Draw: w.rng.Uint32N(3)}, w.rng.IntN(3) == 0}})
		}
	case 12: // a proxy restarts with its saved binding
		if w.rng.IntN(4) == 0 {
			p.Binding, p.joined, p.updates, p.confirmations = p.AfterRestart(w.now), false, nil, nil
			w.mover.ProxyLeft(id)
		}
	case 13, 14: // time passes; no try is in flight for longer than the lifetime of a write
		w.now += tick / 2
		for i := 0; i < len(w.flights); i++ {
			if w.now-w.flights[i].sent >= writeLifetime {
				w.deliver(i)
				i--
			}
		}
		w.step()
	}
}

// deliver simulates the arrival of a try at its target, which drops duplicates within the window.
func (w *simulation) deliver(i int) {
	f := w.flights[i]
	w.flights = slices.Delete(w.flights, i, i+1)
	if w.effects[f.target] == nil {
		w.effects[f.target] = map[int]time.Duration{}
	}
	first, seen := w.effects[f.target][f.op]
	if seen && w.now-first < dedupWindow+writeLifetime {
		return
	}
	w.effects[f.target][f.op] = w.now
	w.ops[f.op].effects++
}

// duplicated returns the number of ops that took effect more than once.
func (w *simulation) duplicated() (n int) {
	for _, o := range w.ops {
		if o.effects > 1 {
			n++
		}
	}
	return n
}

// TestMoves checks that no op takes effect twice, for random orders of tries, retries, updates, confirmations, broken
// streams, restarts of both sides, cancelled moves and queued moves. Once the streams stay up, every move ends and every
// proxy admits writes at the same placement. Half of the runs have no waits at the proxies, so the pilot alone must
// ensure this. The same simulation must detect a pilot that waits for less than it should.
func TestMoves(t *testing.T) {
	correct := MoveLimits{WriteLifetime: writeLifetime, DedupWindow: dedupWindow, MaxHold: 12 * tick}
	moves := 0
	for seed := range uint64(4000) {
		w := newSimulation(seed, correct, time.Duration(seed%2)*(writeLifetime+dedupWindow), 3)
		for range 150 {
			w.randomEvent()
		}
		for id, p := range w.proxies {
			if !p.joined {
				p.joined = true
				w.step(Event{Joined: &Joined{Proxy: id, AppliedUpTo: p.appliedUpTo}})
			}
		}
		for range 200 {
			w.now += tick / 2
			for id, p := range w.proxies {
				for len(p.updates) > 0 {
					w.applyNext(id, p)
				}
				for _, c := range p.confirmations {
					w.step(Event{Confirmed: &c})
				}
				p.confirmations = nil
			}
			for len(w.flights) > 0 {
				w.deliver(0)
			}
			w.step()
		}
		if n := w.duplicated(); n > 0 {
			t.Fatalf("seed %d: %d ops took effect twice", seed, n)
		}
		r, _ := w.mover.RecordOf("a")
		if r.Phase != Settled || r.Queued != nil {
			t.Fatalf("seed %d: the move did not end: %+v", seed, r)
		}
		for id, p := range w.proxies {
			if !p.AllowsWrites(w.now, w.proxyWait) || !p.Placement.Equal(r.Placement) {
				t.Fatalf("seed %d: proxy %d has the binding %+v, want an open one with placement %v", seed, id, p, r.Placement)
			}
		}
		moves += w.completedMoves
	}
	if moves < 1000 {
		t.Errorf("only %d moves completed", moves)
	}
	for name, tooShort := range map[string]MoveLimits{"no deduplication window": {WriteLifetime: writeLifetime,
		MaxHold: 12 * tick}, "no write lifetime": {MaxHold: 12 * tick}} {
		checkDetected(t, name, 4000, func(seed uint64) int {
			w := newSimulation(seed, tooShort, 0, 2)
			for range 300 {
				w.randomEvent()
			}
			return w.duplicated()
		})
	}
}

// checkDetected runs simulations with a deliberate mistake, for seeds from 0, and fails the test if no op takes effect
// twice in any of them.
func checkDetected(t *testing.T, mistake string, seeds uint64, run func(seed uint64) (duplicated int)) {
	t.Helper()
	found := 0
	for seed := range seeds {
		found += run(seed)
	}
	if found == 0 {
		t.Errorf("the simulation did not detect the mistake: %s", mistake)
	}
}

// TestTwoViews checks a proxy that changes between two pilots with different placements for a tenant. The pilots do not
// communicate, but the proxy's own wait ensures that no retry goes to servers that have not seen the first try. The same
// simulation without the wait must show duplicates.
func TestTwoViews(t *testing.T) {
	run := func(seed uint64, proxyWait time.Duration) (duplicated, admitted int) {
		rng := rand.New(rand.NewPCG(seed, 3))
		w := &simulation{effects: map[string]map[int]time.Duration{}}
		b := NewBinding()
		numbers := map[string]uint64{"a": 100, "b": 7}
		for range 200 {
			switch rng.IntN(6) {
			case 0: // either pilot sends an update, with numbers of its own; some updates are out of order
				pilot := []string{"a", "b"}[rng.IntN(2)]
				numbers[pilot]++
				b = b.Apply(w.now, proxyWait, pilot, numbers[pilot]-rng.Uint64N(2)*2, Placement{Draw: rng.Uint32N(2)}, rng.IntN(4) == 0)
			case 1, 2:
				if b.AllowsWrites(w.now, proxyWait) {
					admitted++
					if rng.IntN(2) == 0 || len(w.ops) == 0 {
						w.ops = append(w.ops, &op{first: w.now})
					}
					if i := len(w.ops) - 1; w.now-w.ops[i].first < dedupWindow {
						w.flights = append(w.flights, flight{i, b.Placement.String(), w.now})
					}
				}
			case 3:
				if len(w.flights) > 0 {
					w.deliver(rng.IntN(len(w.flights)))
				}
			case 4:
				if rng.IntN(10) == 0 {
					b = b.AfterRestart(w.now)
				}
			case 5:
				w.now += tick / 2
				for len(w.flights) > 0 && w.now-w.flights[0].sent >= writeLifetime {
					w.deliver(0)
				}
			}
		}
		return w.duplicated(), admitted
	}
	total := 0
	for seed := range uint64(2000) {
		n, admitted := run(seed, writeLifetime+dedupWindow)
		if total += admitted; n > 0 {
			t.Fatalf("seed %d: %d ops took effect twice", seed, n)
		}
	}
	if total < 2000 {
		t.Errorf("only %d writes were admitted", total)
	}
	checkDetected(t, "no wait at the proxy", 2000, func(seed uint64) int {
		duplicated, _ := run(seed, 0)
		return duplicated
	})
}

// confirmAll confirms all updates at once, except those to the proxies in except, until no more are sent.
func confirmAll(m *Mover, now time.Duration, d StepResult, except ...ProxyID) (out StepResult) {
	out = d
	for len(d.Updates) > 0 {
		var events []Event
		for _, o := range d.Updates {
			if !o.Clear && !slices.Contains(except, o.Proxy) {
				events = append(events, Event{Confirmed: &Confirmation{o.Proxy, o.Tenant, o.Number}})
			}
		}
		d = m.Step(now, events...)
		out.Ended = append(out.Ended, d.Ended...)
	}
	return out
}

// TestMoveRequests checks that invalid requests are refused; that moves beyond the concurrent ones are queued, in order;
// that a move which a proxy never confirms is cancelled and the tenant returns to its old placement; and that a move with
// ManualOpen ends on Event.Open.
func TestMoveRequests(t *testing.T) {
	m := NewMover(MoveLimits{WriteLifetime: tick, DedupWindow: tick, MaxHold: 10 * tick, MaxConcurrent: 2}, 1000, nil, nil)
	now := time.Duration(0)
	d := m.Step(now, Event{Joined: &Joined{Proxy: 1}}, Event{Joined: &Joined{Proxy: 2}})
	if len(d.Updates) != 2 || !d.Updates[0].Clear || !slices.Equal(d.KnownProxies, []ProxyID{1, 2}) {
		t.Fatalf("%+v", d)
	}
	request := func(name string, draw uint32) Event {
		return Event{MoveRequest: &MoveRequest{Tenant: name, To: Placement{Draw: draw}}}
	}
	for _, c := range []struct {
		event Event
		want  string
	}{{request("x", 0), "there already"}, {request(AggregatedTenant, 1),
		"no tenant's name"}, {request(strings.Repeat("x", 257), 1), "no tenant's name"},
		{Event{Cancel: &[]string{"x"}[0]}, "does not move"}, {Event{Open: &[]string{"x"}[0]}, "no move that is ready"},
		{Event{Forgotten: &[]ProxyID{9}[0]}, "not known"}} {
		if d := m.Step(now, c.event); len(d.Refused) != 1 || !strings.Contains(d.Refused[0].Error(), c.want) ||
			len(d.Records) != 0 {
			t.Errorf("%+v: %+v", c, d)
		}
	}
	d = m.Step(now, request("a", 1), request("", 1), request("\x00\xff \n", 1))
	if moving, waiting := m.ActiveMoves(now); len(moving) != 2 || waiting != 1 || len(d.Updates) != 4 || len(d.Records) != 3 {
		t.Fatalf("%v %d, %+v", moving, waiting, d)
	}
	confirmAll(m, now, d, 2)
	now = 9 * tick
	if d = m.Step(now); len(d.Ended) != 0 || d.Wake != tick {
		t.Errorf("%+v", d)
	}
	if moving, _ := m.ActiveMoves(now); !slices.Equal(moving[0].Unconfirmed, []ProxyID{2}) || moving[0].Remaining != tick ||
		moving[0].Phase != Holding {
		t.Errorf("%+v", moving)
	}
	now = 10 * tick
	d = m.Step(now) // two moves are cancelled and the third begins
	if len(d.Ended) != 2 || d.Ended[0].Moved || d.Ended[0].Held != 10*tick {
		t.Errorf("%+v", d)
	}
	confirmAll(m, now, d)
	now = 12 * tick
	if d = m.Step(now); len(d.Ended) != 1 || !d.Ended[0].Moved {
		t.Errorf("%+v", d)
	}
	d = m.Step(now, Event{MoveRequest: &MoveRequest{"a", Placement{Pods: []PodID{3}}, true}})
	confirmAll(m, now, d)
	now += 3 * tick
	m.Step(now)
	if moving, _ := m.ActiveMoves(now); moving[0].Phase != Ready {
		t.Errorf("%+v", moving)
	}
	name := "a"
	if d = m.Step(now, Event{Open: &name}); len(d.Ended) != 1 || !d.Ended[0].Moved ||
		!slices.Equal(d.Updates[0].Placement.Pods, []PodID{3}) || d.Updates[0].Held {
		t.Errorf("%+v", d)
	}
	// A proxy that reconnects gets only the updates that it does not have.
	if d = m.Step(now, Event{Joined: &Joined{Proxy: 2, AppliedUpTo: d.Updates[0].Number - 1}}); len(d.Updates) != 1 ||
		d.Updates[0].Tenant != "a" {
		t.Errorf("%+v", d.Updates)
	}
	if d = m.Step(now, Event{Joined: &Joined{Proxy: 2, AppliedUpTo: 1 << 60}}); len(d.Updates) != 4 || !d.Updates[3].Clear {
		t.Errorf("%+v", d.Updates)
	}
}

// TestManyMoves checks that 10,000 moves, of which new ones start as others end, all complete; it logs the time that they
// take.
func TestManyMoves(t *testing.T) {
	m := NewMover(MoveLimits{WriteLifetime: tick, DedupWindow: tick, MaxHold: 10 * tick, MaxConcurrent: 500}, 1, nil, nil)
	for p := range ProxyID(20) {
		m.Step(0, Event{Joined: &Joined{Proxy: p}})
	}
	var requests []Event
	for i := range 10000 {
		requests = append(requests, Event{MoveRequest: &MoveRequest{Tenant: fmt.Sprint("newsroom ", i), To: Placement{Draw: 1}}})
	}
	begin := time.Now()
	now, ended := time.Duration(0), 0
	d := m.Step(now, requests...)
	for round := 0; ended < 10000; round++ {
		if round > 100 {
			t.Fatalf("only %d moves ended after 100 rounds", ended)
		}
		for _, e := range confirmAll(m, now, d).Ended {
			if !e.Moved {
				t.Fatal("cancelled")
			}
			ended++
		}
		now += tick
		d = m.Step(now)
	}
	t.Log(time.Since(begin))
}

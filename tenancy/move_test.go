package tenancy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

// world is a small one round a Mover: proxies that keep bindings, clients that try an op again anywhere within its window,
// servers that drop repeats inside a seat's group for as long. Whatever may happen happens in any order.
type world struct {
	rng     *rand.Rand
	now     time.Duration
	born    time.Duration // of this run of the pilot
	waits   MoveLimits
	alone   time.Duration // what a proxy waits by itself
	m       *Mover
	kept    map[string]Record
	known   []ProxyID
	proxies map[ProxyID]*held
	flights []flight
	ops     []*op
	effects map[string]map[int]time.Duration // by seat: when an op's key first came
	moved   int
}

// held is a proxy with its binding of the one tenant.
type held struct {
	Binding
	joined  bool
	has     uint64          // orders of the pilot that it has all of
	orders  []BindingUpdate // on their way to it
	answers []Confirm       // on their way back
}

type op struct {
	first   time.Duration
	effects int
	tried   bool
}

// flight is a try between a proxy and the servers.
type flight struct {
	op   int
	seat string
	sent time.Duration
}

const tick = time.Second

func (w *world) step(events ...Event) {
	d := w.m.Step(w.now-w.born, events...)
	for _, r := range d.Records {
		w.kept[r.Tenant] = r
	}
	if d.KnownProxies != nil {
		w.known = d.KnownProxies
	}
	for _, e := range d.Ended {
		if e.Moved {
			w.moved++
		}
	}
	for _, o := range d.Updates {
		if p := w.proxies[o.Proxy]; p.joined {
			p.orders = append(p.orders, o)
		}
	}
}

func newWorld(seed uint64, waits MoveLimits, alone time.Duration, proxies int) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 7)), waits: waits, alone: alone, kept: map[string]Record{}, proxies: map[ProxyID]*held{},
		effects: map[string]map[int]time.Duration{}}
	w.m = NewMover(waits, 100, nil, nil)
	for i := range proxies {
		w.proxies[ProxyID(i)] = &held{Binding: Bound(), joined: true}
		w.step(Event{Joined: &Joined{Proxy: ProxyID(i)}})
	}
	return w
}

func (w *world) any() (ProxyID, *held) {
	id := ProxyID(w.rng.IntN(len(w.proxies)))
	return id, w.proxies[id]
}

const window, write = 3 * tick, 2 * tick // what the world really does

// take has a proxy take its next order in.
func (w *world) take(id ProxyID, p *held) {
	o := p.orders[0]
	p.orders = p.orders[1:]
	p.has = max(p.has, o.Number)
	if o.Clear {
		if p.Pilot != "p" || p.Number < o.Number {
			p.Binding = p.Take(w.now, w.alone, "p", o.Number, Placement{}, false)
		}
		return
	}
	p.Binding = p.Take(w.now, w.alone, "p", o.Number, o.Placement, o.Held)
	p.answers = append(p.answers, Confirm{id, o.Tenant, o.Number})
}

// happen plays one thing that may happen.
func (w *world) happen() {
	id, p := w.any()
	name := "a"
	switch w.rng.IntN(15) {
	case 0:
		w.ops = append(w.ops, &op{})
	case 1, 2, 3: // a client tries an op, again if it is within its window
		if len(w.ops) > 0 && p.AllowsWrites(w.now, w.alone) {
			i := len(w.ops) - 1 - w.rng.IntN(min(3, len(w.ops)))
			o := w.ops[i]
			if !o.tried {
				o.first, o.tried = w.now, true
			}
			if w.now-o.first < window {
				w.flights = append(w.flights, flight{i, p.Placement.String(), w.now})
			}
		}
	case 4, 5: // a try arrives
		if len(w.flights) > 0 {
			w.land(w.rng.IntN(len(w.flights)))
		}
	case 6, 7: // an order arrives and is confirmed
		if len(p.orders) > 0 {
			w.take(id, p)
		}
	case 8, 9:
		if len(p.answers) > 0 {
			c := p.answers[0]
			p.answers = p.answers[1:]
			w.step(Event{Confirmed: &c})
		}
	case 10: // a stream breaks, or comes back
		p.orders, p.answers = nil, nil
		if p.joined = !p.joined; p.joined {
			w.step(Event{Joined: &Joined{Proxy: id, Has: p.has}})
		} else {
			w.m.Left(id)
		}
	case 11:
		switch w.rng.IntN(8) {
		case 0:
			w.step(Event{Cancel: &name})
		case 1: // the pilot dies and comes back with what it kept; the streams break
			var kept []Record
			for _, r := range w.kept {
				kept = append(kept, r)
			}
			w.m, w.born = NewMover(w.waits, 100, kept, w.known), w.now
			for _, p := range w.proxies {
				p.joined, p.orders, p.answers = false, nil, nil
			}
		case 2:
			w.step(Event{Open: &name})
		default:
			w.step(Event{MoveRequest: &MoveRequest{"a", Placement{Draw: w.rng.Uint32N(3)}, w.rng.IntN(3) == 0}})
		}
	case 12: // a proxy starts anew with what it kept on disk
		if w.rng.IntN(4) == 0 {
			p.Binding, p.joined, p.orders, p.answers = p.Kept(w.now), false, nil, nil
			w.m.Left(id)
		}
	case 13, 14: // time passes; no try stays in hand longer than a write does
		w.now += tick / 2
		for i := 0; i < len(w.flights); i++ {
			if w.now-w.flights[i].sent >= write {
				w.land(i)
				i--
			}
		}
		w.step()
	}
}

func (w *world) land(i int) {
	f := w.flights[i]
	w.flights = slices.Delete(w.flights, i, i+1)
	if w.effects[f.seat] == nil {
		w.effects[f.seat] = map[int]time.Duration{}
	}
	first, met := w.effects[f.seat][f.op]
	if met && w.now-first < window+write {
		return
	}
	w.effects[f.seat][f.op] = w.now
	w.ops[f.op].effects++
}

func (w *world) doubled() (n int) {
	for _, o := range w.ops {
		if o.effects > 1 {
			n++
		}
	}
	return n
}

// No op takes effect twice, whatever the order of tries, repeats, orders, confirmations, breaks, deaths of either side,
// cancels, moves on moves; and once the streams stay up, every move ends and every proxy opens at the same seat. The pilot
// keeps that alone, the proxies' own waits aside. The same worlds find the bugs that are planted by waiting out less.
func TestMoves(t *testing.T) {
	good := MoveLimits{WriteLifetime: write, DedupWindow: window, MaxHold: 12 * tick}
	moves := 0
	for seed := range uint64(4000) {
		w := newWorld(seed, good, time.Duration(seed%2)*(write+window), 3)
		for range 150 {
			w.happen()
		}
		for id, p := range w.proxies {
			if !p.joined {
				p.joined = true
				w.step(Event{Joined: &Joined{Proxy: id, Has: p.has}})
			}
		}
		for range 200 {
			w.now += tick / 2
			for id, p := range w.proxies {
				for len(p.orders) > 0 {
					w.take(id, p)
				}
				for _, c := range p.answers {
					w.step(Event{Confirmed: &c})
				}
				p.answers = nil
			}
			for len(w.flights) > 0 {
				w.land(0)
			}
			w.step()
		}
		if n := w.doubled(); n > 0 {
			t.Fatalf("seed %d: %d ops took effect twice", seed, n)
		}
		r, _ := w.m.Of("a")
		if r.Phase != Settled || r.Queued != nil {
			t.Fatalf("seed %d: no way out of %+v", seed, r)
		}
		for id, p := range w.proxies {
			if !p.AllowsWrites(w.now, w.alone) || !p.Placement.Equal(r.Placement) {
				t.Fatalf("seed %d: proxy %d has %+v, the tenant is at %v", seed, id, p, r.Placement)
			}
		}
		moves += w.moved
	}
	if moves < 1000 {
		t.Errorf("only %d moves came to their end", moves)
	}
	for name, bad := range map[string]MoveLimits{"no window": {WriteLifetime: write, MaxHold: 12 * tick}, "no write": {MaxHold: 12 * tick}} {
		checkFound(t, name, 4000, func(seed uint64) int {
			w := newWorld(seed, bad, 0, 2)
			for range 300 {
				w.happen()
			}
			return w.doubled()
		})
	}
}

// checkFound plays worlds of seeds from 0 in which a mistake is planted, and wants a write of any of them to take effect twice.
func checkFound(t *testing.T, mistake string, seeds uint64, play func(seed uint64) (doubled int)) {
	t.Helper()
	found := 0
	for seed := range seeds {
		found += play(seed)
	}
	if found == 0 {
		t.Errorf("the planted mistake was not found: %s", mistake)
	}
}

// A proxy that goes from one pilot to another, which hold different views of a tenant's seat, never lets a repeat go to
// servers that do not know the first try, though the pilots share nothing. Without its own wait it does.
func TestTwoViews(t *testing.T) {
	run := func(seed uint64, alone time.Duration) (doubled, opened int) {
		rng := rand.New(rand.NewPCG(seed, 3))
		w := &world{effects: map[string]map[int]time.Duration{}}
		b := Bound()
		numbers := map[string]uint64{"a": 100, "b": 7}
		for range 200 {
			switch rng.IntN(6) {
			case 0: // one pilot or the other orders, by its own numbers; some orders come late
				pilot := []string{"a", "b"}[rng.IntN(2)]
				numbers[pilot]++
				b = b.Take(w.now, alone, pilot, numbers[pilot]-rng.Uint64N(2)*2, Placement{Draw: rng.Uint32N(2)}, rng.IntN(4) == 0)
			case 1, 2:
				if b.AllowsWrites(w.now, alone) {
					opened++
					if rng.IntN(2) == 0 || len(w.ops) == 0 {
						w.ops = append(w.ops, &op{first: w.now})
					}
					if i := len(w.ops) - 1; w.now-w.ops[i].first < window {
						w.flights = append(w.flights, flight{i, b.Placement.String(), w.now})
					}
				}
			case 3:
				if len(w.flights) > 0 {
					w.land(rng.IntN(len(w.flights)))
				}
			case 4:
				if rng.IntN(10) == 0 {
					b = b.Kept(w.now)
				}
			case 5:
				w.now += tick / 2
				for len(w.flights) > 0 && w.now-w.flights[0].sent >= write {
					w.land(0)
				}
			}
		}
		return w.doubled(), opened
	}
	total := 0
	for seed := range uint64(2000) {
		n, opened := run(seed, write+window)
		if total += opened; n > 0 {
			t.Fatalf("seed %d: %d doubled", seed, n)
		}
	}
	if total < 2000 {
		t.Errorf("%d writes let go", total)
	}
	checkFound(t, "no wait of its own", 2000, func(seed uint64) int {
		doubled, _ := run(seed, 0)
		return doubled
	})
}

// confirmAll has all proxies but some confirm what they are told, at once.
func confirmAll(m *Mover, now time.Duration, d StepResult, but ...ProxyID) (out StepResult) {
	out = d
	for len(d.Updates) > 0 {
		var events []Event
		for _, o := range d.Updates {
			if !o.Clear && !slices.Contains(but, o.Proxy) {
				events = append(events, Event{Confirmed: &Confirm{o.Proxy, o.Tenant, o.Number}})
			}
		}
		d = m.Step(now, events...)
		out.Ended = append(out.Ended, d.Ended...)
	}
	return out
}

// What is asked wrongly is refused; moves beyond the number that may go on at a time wait their turn, in order; one that a
// proxy never confirms is cancelled and the tenant opens where it was; one that waits opens when told.
func TestAsking(t *testing.T) {
	m := NewMover(MoveLimits{WriteLifetime: tick, DedupWindow: tick, MaxHold: 10 * tick, MaxConcurrent: 2}, 1000, nil, nil)
	now := time.Duration(0)
	d := m.Step(now, Event{Joined: &Joined{Proxy: 1}}, Event{Joined: &Joined{Proxy: 2}})
	if len(d.Updates) != 2 || !d.Updates[0].Clear || !slices.Equal(d.KnownProxies, []ProxyID{1, 2}) {
		t.Fatalf("%+v", d)
	}
	ask := func(name string, draw uint32) Event {
		return Event{MoveRequest: &MoveRequest{Tenant: name, To: Placement{Draw: draw}}}
	}
	for _, c := range []struct {
		event Event
		want  string
	}{{ask("x", 0), "there already"}, {ask(Folded, 1), "no tenant's name"}, {ask(strings.Repeat("x", 257), 1), "no tenant's name"},
		{Event{Cancel: &[]string{"x"}[0]}, "does not move"}, {Event{Open: &[]string{"x"}[0]}, "no move that is ready"},
		{Event{Forgotten: &[]ProxyID{9}[0]}, "not known"}} {
		if d := m.Step(now, c.event); len(d.Refused) != 1 || !strings.Contains(d.Refused[0].Error(), c.want) || len(d.Records) != 0 {
			t.Errorf("%+v: %+v", c, d)
		}
	}
	d = m.Step(now, ask("a", 1), ask("", 1), ask("\x00\xff \n", 1))
	if moving, waiting := m.Moving(now); len(moving) != 2 || waiting != 1 || len(d.Updates) != 4 || len(d.Records) != 3 {
		t.Fatalf("%v %d, %+v", moving, waiting, d)
	}
	confirmAll(m, now, d, 2)
	now = 9 * tick
	if d = m.Step(now); len(d.Ended) != 0 || d.Wake != tick {
		t.Errorf("%+v", d)
	}
	if moving, _ := m.Moving(now); !slices.Equal(moving[0].Awaited, []ProxyID{2}) || moving[0].Left != tick || moving[0].Phase != Holding {
		t.Errorf("%+v", moving)
	}
	now = 10 * tick
	d = m.Step(now) // two are cancelled, the third begins
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
	if moving, _ := m.Moving(now); moving[0].Phase != Ready {
		t.Errorf("%+v", moving)
	}
	name := "a"
	if d = m.Step(now, Event{Open: &name}); len(d.Ended) != 1 || !d.Ended[0].Moved || !slices.Equal(d.Updates[0].Placement.Pods, []PodID{3}) || d.Updates[0].Held {
		t.Errorf("%+v", d)
	}
	// A proxy that comes back is told what it has not been told, and no more.
	if d = m.Step(now, Event{Joined: &Joined{Proxy: 2, Has: d.Updates[0].Number - 1}}); len(d.Updates) != 1 || d.Updates[0].Tenant != "a" {
		t.Errorf("%+v", d.Updates)
	}
	if d = m.Step(now, Event{Joined: &Joined{Proxy: 2, Has: 1 << 60}}); len(d.Updates) != 4 || !d.Updates[3].Clear {
		t.Errorf("%+v", d.Updates)
	}
}

// Ten thousand moves at a time that begin as others end all come to their end, and a step stays short.
func TestManyMoves(t *testing.T) {
	m := NewMover(MoveLimits{WriteLifetime: tick, DedupWindow: tick, MaxHold: 10 * tick, MaxConcurrent: 500}, 1, nil, nil)
	for p := range ProxyID(20) {
		m.Step(0, Event{Joined: &Joined{Proxy: p}})
	}
	var asks []Event
	for i := range 10000 {
		asks = append(asks, Event{MoveRequest: &MoveRequest{Tenant: fmt.Sprint("newsroom ", i), To: Placement{Draw: 1}}})
	}
	begin := time.Now()
	now, ended := time.Duration(0), 0
	d := m.Step(now, asks...)
	for round := 0; ended < 10000; round++ {
		if round > 100 {
			t.Fatalf("%d ended", ended)
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

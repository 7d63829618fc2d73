package tenancy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"
)

func somePods(n int) (out []Pod) {
	for i := range n {
		out = append(out, Pod{ID: PodID(i), Zone: i % 3, Power: 1 + float64(i%2)})
	}
	return out
}

// Subsets spread over zones and by power, are the same for whoever knows the same pods, and move only where a pod that
// went was drawn; what one tenant ruins is what the sizes predict.
func TestPlace(t *testing.T) {
	const tenants, count = 3000, 3
	pods := somePods(30)
	got := map[PodID]float64{}
	subsets := map[string][]PodID{}
	for i := range tenants {
		name := fmt.Sprint("newsroom ", i)
		s := Place(name, pods, count)
		subsets[name] = s
		zones := map[int]bool{}
		for _, p := range s {
			got[p]++
			zones[int(p)%3] = true
		}
		if len(s) != count || len(zones) != 3 {
			t.Fatalf("%v", s)
		}
	}
	for i, p := range pods {
		want := p.Power / 15 * tenants // a zone's ten pods have power 15 together
		if math.Abs(got[p.ID]-want) > 6*math.Sqrt(want) {
			t.Errorf("pod %d is in %v subsets, its power asks for %.0f", i, got[p.ID], want)
		}
	}
	shuffled := slices.Clone(pods)
	rand.New(rand.NewPCG(1, 1)).Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	changed := 0
	for name, s := range subsets {
		if !reflect.DeepEqual(s, Place(name, shuffled, count)) {
			t.Fatal("depends on the order of the pods")
		}
		after := Place(name, pods[:29], count)
		if had := slices.Contains(s, 29); had != !reflect.DeepEqual(s, after) {
			t.Fatalf("%s: %v, then %v", name, s, after)
		} else if had {
			changed++
		}
	}
	if changed == 0 {
		t.Error("nobody used the pod that went")
	}
	even := make([]Pod, 30)
	for i := range even {
		even[i] = Pod{ID: PodID(i), Power: 1}
	}
	poisoned := Place("poisoned", even, count)
	whole, any := 0.0, 0.0
	for name := range subsets {
		s := Place(name, even, count)
		shared := 0
		for _, p := range s {
			if slices.Contains(poisoned, p) {
				shared++
			}
		}
		if shared == count {
			whole++
		}
		if shared > 0 {
			any++
		}
	}
	w, a := Blast(30, count)
	if math.Abs(any/tenants-a) > 0.03 || whole/tenants > w+0.002 {
		t.Errorf("lost whole %v, any %v; predicted %v, %v", whole/tenants, any/tenants, w, a)
	}
	for _, odd := range []string{"", "\x00", string(make([]byte, 1<<16)), "🗳"} {
		if len(Place(odd, pods, count)) != count {
			t.Errorf("%.10q", odd)
		}
	}
	if s := Place("x", pods[:2], 5); len(s) != 2 || Place("x", nil, 3) != nil {
		t.Errorf("%v", s)
	}
}

// world is a small one round a Mover: proxies that keep bindings, clients that try an op again anywhere within its window,
// servers that drop repeats inside a subset's group for as long. Whatever may happen happens in any order.
type world struct {
	rng     *rand.Rand
	now     time.Duration
	born    time.Duration // of this run of the pilot
	waits   Waits
	m       *Mover
	kept    map[string]Record
	known   []ProxyID
	proxies map[ProxyID]*binding
	flights []flight
	ops     []*op
	effects map[string]map[int]time.Duration // by subset: when an op's key first came
	log     []string
}

type binding struct {
	joined  bool
	subset  string
	held    bool
	number  uint64
	orders  []Order   // on their way to it
	answers []Confirm // on their way back
}

type op struct {
	first   time.Duration
	effects int
	tried   bool
}

// flight is a try between a proxy and the servers.
type flight struct {
	op     int
	subset string
	sent   time.Duration
}

const tick = time.Second

func (w *world) step(events ...Event) {
	d := w.m.Step(w.now-w.born, events...)
	for _, r := range d.Records {
		w.kept[r.Tenant] = r
	}
	if d.Known != nil {
		w.known = d.Known
	}
	for _, o := range d.Orders {
		if p := w.proxies[o.Proxy]; p.joined {
			p.orders = append(p.orders, o)
		}
	}
}

func newWorld(seed uint64, waits Waits, proxies int) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 7)), waits: waits, kept: map[string]Record{}, proxies: map[ProxyID]*binding{},
		effects: map[string]map[int]time.Duration{}}
	w.m = NewMover(waits, nil, nil)
	w.m.Settle("a", []PodID{1})
	for i := range proxies {
		w.proxies[ProxyID(i)] = &binding{subset: "[1]", joined: true}
		id := ProxyID(i)
		w.step(Event{Joined: &id})
	}
	return w
}

func (w *world) any() (ProxyID, *binding) {
	id := ProxyID(w.rng.IntN(len(w.proxies)))
	return id, w.proxies[id]
}

const window, write = 3 * tick, 2 * tick // what the world really does

// happen plays one thing that may happen.
func (w *world) happen() {
	id, p := w.any()
	switch w.rng.IntN(14) {
	case 0:
		w.ops = append(w.ops, &op{})
	case 1, 2, 3: // a client tries an op, again if it is within its window
		if len(w.ops) > 0 && !p.held {
			i := len(w.ops) - 1 - w.rng.IntN(min(3, len(w.ops)))
			o := w.ops[i]
			if !o.tried {
				o.first, o.tried = w.now, true
			}
			if w.now-o.first < window {
				w.flights = append(w.flights, flight{i, p.subset, w.now})
			}
		}
	case 4, 5: // a try arrives
		if len(w.flights) > 0 {
			w.land(w.rng.IntN(len(w.flights)))
		}
	case 6, 7: // an order arrives and is confirmed
		if len(p.orders) > 0 {
			o := p.orders[0]
			p.orders = p.orders[1:]
			if o.Number >= p.number {
				p.number, p.subset, p.held = o.Number, fmt.Sprint(o.Subset), o.Held
			}
			p.answers = append(p.answers, Confirm{id, o.Tenant, o.Number})
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
			w.step(Event{Joined: &id})
		}
	case 11:
		switch w.rng.IntN(6) {
		case 0:
			w.step(Event{Cancel: "a"})
		case 1: // the pilot dies and comes back with what it kept; the streams break
			var kept []Record
			for _, r := range w.kept {
				kept = append(kept, r)
			}
			w.m, w.born = NewMover(w.waits, kept, w.known), w.now
			w.m.Settle("a", []PodID{1})
			for _, p := range w.proxies {
				p.joined, p.orders, p.answers = false, nil, nil
			}
		case 2, 3:
			w.step(Event{Ask: &Ask{"a", []PodID{PodID(1 + w.rng.IntN(3))}}})
		}
	case 12, 13: // time passes; no try stays in hand longer than a write does
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
	if w.effects[f.subset] == nil {
		w.effects[f.subset] = map[int]time.Duration{}
	}
	first, met := w.effects[f.subset][f.op]
	if met && w.now-first < window+write {
		return
	}
	w.effects[f.subset][f.op] = w.now
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

// No op takes effect twice, whatever the order of tries, repeats, orders, confirmations, breaks, deaths, cancels; and once
// the streams stay up, every move ends and every proxy opens at the same subset. The same world finds the bug that is
// planted by waiting less than servers remember and writes take.
func TestMoves(t *testing.T) {
	good := Waits{Write: write, Window: window, Most: 12 * tick}
	moves := 0
	for seed := range uint64(3000) {
		w := newWorld(seed, good, 3)
		for range 150 {
			w.happen()
		}
		for id, p := range w.proxies {
			if !p.joined {
				p.joined = true
				w.step(Event{Joined: &id})
			}
		}
		for range 200 {
			w.now += tick / 2
			for id, p := range w.proxies {
				for len(p.orders) > 0 {
					o := p.orders[0]
					p.orders = p.orders[1:]
					if o.Number >= p.number {
						p.number, p.subset, p.held = o.Number, fmt.Sprint(o.Subset), o.Held
					}
					w.step(Event{Confirmed: &Confirm{id, o.Tenant, o.Number}})
				}
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
		if r.Phase != Settled || r.HasAsked {
			t.Fatalf("seed %d: no way out of %+v", seed, r)
		}
		for id, p := range w.proxies {
			if p.held || p.subset != fmt.Sprint(r.Subset) {
				t.Fatalf("seed %d: proxy %d has %+v, the tenant is at %v", seed, id, p, r.Subset)
			}
		}
		if r.Number > 1 {
			moves++
		}
	}
	if moves < 1000 {
		t.Errorf("only %d worlds moved anything", moves)
	}
	for name, bad := range map[string]Waits{"no window": {Write: write, Most: 12 * tick}, "no write": {Window: 0, Write: 0, Most: 12 * tick}} {
		found := 0
		for seed := range uint64(3000) {
			w := newWorld(seed, bad, 3)
			for range 150 {
				w.happen()
			}
			found += w.doubled()
		}
		if found == 0 {
			t.Errorf("%s: the planted bug was not found", name)
		}
	}
}

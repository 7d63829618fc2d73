// Package tenancy decides which tenant may use which part of the fleet, and moves a tenant from one part to another. It
// is free of I/O. Place finds a tenant's subset; a Mover takes what happened, by Step, and returns what is to be done.
// What must outlive a pilot it hands out as a Record, which must be on disk before the orders that come with it go out.
package tenancy

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// ProxyID numbers a proxy.
type ProxyID uint16

// Waits are what a move must wait out, from the facts of the service.
type Waits struct {
	Write  time.Duration // longest that a write stays in hand at a proxy or server
	Window time.Duration // longest that servers of one group drop a repeat, which those of another would not
	Most   time.Duration // longest that a tenant is held; a move that needs more is cancelled
}

// Phase is how far a move is.
type Phase byte

const (
	Settled  Phase = iota // the tenant is where its record says; whoever has its newest order lets its writes go there
	Holding               // proxies are told to hold the tenant's writes; not all have confirmed
	Draining              // all hold; what may have run is waited out
)

var phases = [...]string{"settled", "holding", "draining"}

func (p Phase) String() string { return phases[p] }

// Record is the durable part of one tenant's place.
type Record struct {
	Tenant   string
	Subset   []PodID // where it is
	To       []PodID // where it goes, while it moves
	Phase    Phase
	Number   uint64    // of its newest order
	Awaited  []ProxyID // that have not confirmed that they hold
	Proxies  []ProxyID // that may hold a binding of the tenant, joined or away
	Asked    []PodID   // a second move, asked for meanwhile; begins when this one has ended
	HasAsked bool
}

// Order is a binding for one proxy: how the tenant's ops go from now on. It may be sent any number of times; a proxy
// keeps the one with the highest number.
type Order struct {
	Proxy  ProxyID
	Tenant string
	Number uint64
	Subset []PodID
	Held   bool // its writes are refused with a time to come back; reads go on
}

// Event is what happened. Exactly one of its parts is set.
type Event struct {
	Joined    *ProxyID // a proxy's stream is up; it may hold any older binding
	Forgotten *ProxyID // a proxy is known to be dead and to come back without bindings, if at all
	Confirmed *Confirm
	Ask       *Ask
	Cancel    string // a tenant
}

// Confirm is a proxy's word that an order is in force, and that no write that it let go under an older one is yet to be
// sent.
type Confirm struct {
	Proxy  ProxyID
	Tenant string
	Number uint64
}

// Ask asks for a tenant to be moved.
type Ask struct {
	Tenant string
	To     []PodID
}

// Done is what one step asks for: records to be kept first, then orders to be sent, and when to step again at the latest
// (below 0: only when something happens).
type Done struct {
	Records []Record
	Known   []ProxyID // not nil: keep this in place of the proxies kept before, with the records
	Orders  []Order
	Refused []error
	Wake    time.Duration
}

// tenant is all that is known of one.
type tenant struct {
	Record
	since time.Duration // all hold
	held  time.Duration // since when its writes are held
}

// Mover is the tenants of one pilot.
type Mover struct {
	waits   Waits
	now     time.Duration
	tenants map[string]*tenant
	proxies map[ProxyID]bool // known; true: joined
	done    Done
	touched map[string]bool
}

// NewMover starts with the records and the proxies that were kept. Times are not kept: what was being waited out is waited
// out again. Every proxy counts as away until it joins: one that has not come back to a pilot that died still sends where
// it was told to, and a move that did not wait for it could double what it sends.
func NewMover(w Waits, kept []Record, known []ProxyID) *Mover {
	m := &Mover{waits: w, tenants: map[string]*tenant{}, proxies: map[ProxyID]bool{}}
	for _, r := range kept {
		m.tenants[r.Tenant] = &tenant{Record: clone(r)}
	}
	for _, p := range known {
		m.proxies[p] = false
	}
	return m
}

func clone(r Record) Record {
	r.Subset, r.To, r.Asked = slices.Clone(r.Subset), slices.Clone(r.To), slices.Clone(r.Asked)
	r.Awaited, r.Proxies = slices.Clone(r.Awaited), slices.Clone(r.Proxies)
	return r
}

// Settle puts a tenant that is not known yet at a subset.
func (m *Mover) Settle(name string, subset []PodID) {
	if m.tenants[name] == nil {
		m.tenants[name] = &tenant{Record: Record{Tenant: name, Subset: slices.Clone(subset)}}
	}
}

// Of returns a tenant's record.
func (m *Mover) Of(name string) (Record, bool) {
	t := m.tenants[name]
	if t == nil {
		return Record{}, false
	}
	return clone(t.Record), true
}

// Step takes what happened at a moment, in order, and returns what is to be done.
func (m *Mover) Step(now time.Duration, events ...Event) Done {
	m.now, m.done, m.touched = now, Done{Wake: -1}, map[string]bool{}
	for _, e := range events {
		switch {
		case e.Joined != nil:
			m.joined(*e.Joined)
		case e.Forgotten != nil:
			m.forgotten(*e.Forgotten)
		case e.Confirmed != nil:
			m.confirmed(*e.Confirmed)
		case e.Ask != nil:
			m.ask(*e.Ask)
		case e.Cancel != "":
			m.cancel(e.Cancel)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(m.tenants)) {
		m.advance(m.tenants[name])
	}
	for _, name := range slices.Sorted(maps.Keys(m.touched)) {
		m.done.Records = append(m.done.Records, clone(m.tenants[name].Record))
	}
	return m.done
}

// joined has a proxy that comes, or comes back, told of every tenant that is not where its hash says: those that ever
// moved. It counts from then on as one that may hold a binding.
func (m *Mover) joined(p ProxyID) {
	if _, known := m.proxies[p]; !known {
		m.proxies[p] = true
		m.know()
	}
	m.proxies[p] = true
	for _, name := range slices.Sorted(maps.Keys(m.tenants)) {
		t := m.tenants[name]
		if t.Number == 0 {
			continue
		}
		if !slices.Contains(t.Proxies, p) { // it may let writes go until it is told: the phase waits for it too
			t.Proxies = insert(t.Proxies, p)
			m.touched[name] = true
		}
		if t.Phase != Settled { // what it let go before it is told must be waited out as well
			t.Phase, t.Awaited = Holding, insert(t.Awaited, p)
			m.touched[name] = true
		}
		m.order(t, p)
	}
}

func insert(l []ProxyID, p ProxyID) []ProxyID {
	at, found := slices.BinarySearch(l, p)
	if found {
		return l
	}
	return slices.Insert(l, at, p)
}

func remove(l []ProxyID, p ProxyID) []ProxyID {
	return slices.DeleteFunc(l, func(x ProxyID) bool { return x == p })
}

// know has the known proxies kept.
func (m *Mover) know() { m.done.Known = slices.Sorted(maps.Keys(m.proxies)) }

func (m *Mover) forgotten(p ProxyID) {
	delete(m.proxies, p)
	m.know()
	for name, t := range m.tenants {
		if slices.Contains(t.Proxies, p) {
			t.Proxies, t.Awaited = remove(t.Proxies, p), remove(t.Awaited, p)
			m.touched[name] = true
		}
	}
}

func (m *Mover) confirmed(c Confirm) {
	if t := m.tenants[c.Tenant]; t != nil && c.Number == t.Number && slices.Contains(t.Awaited, c.Proxy) {
		t.Awaited = remove(t.Awaited, c.Proxy)
		m.touched[c.Tenant] = true
	}
}

func (m *Mover) refuse(format string, args ...any) {
	m.done.Refused = append(m.done.Refused, fmt.Errorf(format, args...))
}

func (m *Mover) ask(a Ask) {
	t := m.tenants[a.Tenant]
	switch {
	case t == nil:
		m.refuse("tenant %.40q is not known", a.Tenant)
	case len(a.To) == 0:
		m.refuse("tenant %.40q cannot be moved to no pod", a.Tenant)
	case t.Phase != Settled:
		t.Asked, t.HasAsked = slices.Clone(a.To), true
		m.touched[a.Tenant] = true
	case !slices.Equal(t.Subset, a.To):
		t.To = slices.Clone(a.To)
		for _, p := range slices.Sorted(maps.Keys(m.proxies)) {
			t.Proxies = insert(t.Proxies, p)
		}
		t.Phase, t.held = Holding, m.now
		t.Awaited = slices.Clone(t.Proxies)
		m.tell(t)
	}
}

// cancel ends a move: nothing has been handed over while there is one.
func (m *Mover) cancel(name string) {
	if t := m.tenants[name]; t == nil || t.Phase == Settled {
		m.refuse("tenant %.40q does not move", name)
	} else {
		m.settle(t, t.Subset)
	}
}

// settle ends a move, at the new subset or the old one. All hold by then or still let go at the old one alone, so each
// proxy may open as it hears of it; one that does not hear goes on as it was.
func (m *Mover) settle(t *tenant, at []PodID) {
	t.Phase, t.Subset, t.To, t.Awaited = Settled, at, nil, nil
	m.tell(t)
}

// tell gives a new order to all that may hold a binding.
func (m *Mover) tell(t *tenant) {
	t.Number++
	m.touched[t.Tenant] = true
	for _, id := range t.Proxies {
		m.order(t, id)
	}
}

// order tells one proxy how the tenant stands, if it can be told.
func (m *Mover) order(t *tenant, p ProxyID) {
	if m.proxies[p] {
		m.done.Orders = append(m.done.Orders, Order{p, t.Tenant, t.Number, slices.Clone(t.Subset), t.Phase != Settled})
	}
}

// advance takes a move on as far as it can go now.
func (m *Mover) advance(t *tenant) {
	if t.Phase == Settled && t.HasAsked {
		to := t.Asked
		t.Asked, t.HasAsked = nil, false
		m.touched[t.Tenant] = true
		m.ask(Ask{t.Tenant, to})
	}
	if t.Phase == Settled {
		return
	}
	if t.Phase == Holding && len(t.Awaited) == 0 { // all hold already: no order goes out
		t.Phase, t.since = Draining, m.now
		m.touched[t.Tenant] = true
	}
	wait := t.held + m.waits.Most - m.now
	if t.Phase == Draining {
		left := t.since + m.waits.Write + m.waits.Window - m.now
		if left <= 0 {
			m.settle(t, t.To)
			m.advance(t)
			return
		}
		wait = min(wait, left)
	}
	if wait <= 0 { // held for as long as it may be
		m.settle(t, t.Subset)
		m.advance(t)
		return
	}
	if m.done.Wake < 0 || wait < m.done.Wake {
		m.done.Wake = wait
	}
}

// Package tenancy decides which tenant may use which part of the fleet, and moves a tenant from one part to another. It
// is free of I/O. A Seat says which pods of a table are a tenant's; a Mover takes what happened, by Step, and returns what
// is to be done; a Binding is what a proxy makes of it. What must outlive a pilot the Mover hands out as a Record, which
// must be on disk before the orders that come with it go out.
package tenancy

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// ProxyID numbers a proxy.
type ProxyID uint16

// MoveLimits are what a move must wait out, from the facts of the service, and how many go on at a time.
type MoveLimits struct {
	WriteLifetime time.Duration // longest that a write stays in hand at a proxy or server
	DedupWindow   time.Duration // longest that servers of one group drop a repeat, which those of another would not
	MaxHold       time.Duration // longest that a tenant is held; a move that needs more is cancelled
	MaxConcurrent int           // moves at a time; those beyond wait their turn. 0: any number
}

// Phase is how far a move is.
type Phase byte

const (
	Settled  Phase = iota // the tenant is where its record says; whoever has its newest order lets its writes go there
	Holding               // proxies are told to hold the tenant's writes; not all have confirmed
	Draining              // all hold; what may have run is waited out
	Ready                 // all hold and nothing is in hand; it opens when told to
)

var phases = [...]string{"settled", "holding", "draining", "ready"}

func (p Phase) String() string { return phases[p] }

// Record is the durable part of one tenant's place.
type Record struct {
	Tenant    string       `json:"tenant"`
	Placement Placement    `json:"seat"`
	To        Placement    `json:"to,omitzero"` // where it goes, while it moves
	Phase     Phase        `json:"phase"`
	Number    uint64       `json:"number"`          // of its newest order
	Waits     bool         `json:"waits,omitempty"` // it opens when told to
	Queued    *MoveRequest `json:"asked,omitempty"` // a move that waits for its turn
}

// BindingUpdate is a binding for one proxy: how the tenant's ops go from now on. It may be sent any number of times; a proxy
// keeps the one with the highest number.
type BindingUpdate struct {
	Proxy     ProxyID
	Tenant    string
	Number    uint64
	Placement Placement
	Held      bool // its writes are refused with a time to come back; reads go on
	Clear     bool // no tenant's: bindings of other pilots, and those below Number, are no more
}

// Event is what happened. Exactly one of its parts is set.
type Event struct {
	Joined      *Joined
	Forgotten   *ProxyID // a proxy is known to be dead and to come back without bindings, if at all
	Confirmed   *Confirm
	MoveRequest *MoveRequest
	Cancel      *string // a tenant: its move ends where it began
	Open        *string // a tenant: a move that waits to be told is told
}

// Joined says that a proxy's stream is up. It has all of this pilot's orders up to Has; 0: none. It may hold any older
// binding beside.
type Joined struct {
	Proxy ProxyID
	Has   uint64
}

// Confirm is a proxy's word that an order is in force, and that no write that it let go under an older one is yet to be
// sent.
type Confirm struct {
	Proxy  ProxyID
	Tenant string
	Number uint64
}

// MoveRequest asks for a tenant to be moved.
type MoveRequest struct {
	Tenant string    `json:"tenant"`
	To     Placement `json:"to"`
	Waits  bool      `json:"waits,omitempty"` // once all hold and nothing is in hand, open only when told to
}

// StepResult is what one step asks for: records to be kept first, then orders to be sent, and when to step again at the latest
// (below 0: only when something happens).
type StepResult struct {
	Records      []Record
	KnownProxies []ProxyID // not nil: keep this in place of the proxies kept before, with the records
	Updates      []BindingUpdate
	Refused      []error
	Ended        []MoveResult
	Wake         time.Duration
}

// MoveResult says how a move ended and how long writes were held for it.
type MoveResult struct {
	Tenant string
	Moved  bool // else it was cancelled
	Held   time.Duration
}

// tenant is all that is known of one.
type tenant struct {
	Record
	awaited map[ProxyID]bool // proxies that have not confirmed that they hold
	held    time.Duration    // since when its writes are held
	since   time.Duration    // since when all hold
}

// Mover is the tenants of one pilot.
type Mover struct {
	waits   MoveLimits
	born    uint64 // every order of this store has a higher number
	number  uint64 // of the newest order
	now     time.Duration
	tenants map[string]*tenant
	moving  map[string]*tenant
	queue   []*tenant        // those asked for, in turn
	proxies map[ProxyID]bool // known; true: joined
	done    StepResult
	touched map[string]bool
}

// mostBound bounds the tenants that were ever moved; mostName the bytes of a name.
const (
	mostBound = 1 << 16
	mostName  = 256
)

// NewMover starts with the records and the proxies that were kept, and the number above which all orders of their store
// are. Times and confirmations are not kept: what was awaited or waited out is so again. Every proxy counts as away until
// it joins: one that has not come back to a pilot that died still sends where it was told to, and a move that did not wait
// for it could double what it sends.
func NewMover(w MoveLimits, born uint64, kept []Record, known []ProxyID) *Mover {
	m := &Mover{waits: w, born: born, number: born, tenants: map[string]*tenant{}, moving: map[string]*tenant{}, proxies: map[ProxyID]bool{}}
	for _, p := range known {
		m.proxies[p] = false
	}
	for _, r := range slices.SortedFunc(slices.Values(kept), func(a, b Record) int { return cmp.Compare(a.Number, b.Number) }) {
		t := &tenant{Record: clone(r)}
		m.tenants[r.Tenant] = t
		m.number = max(m.number, r.Number)
		if t.Phase != Settled {
			m.await(t)
		}
		if t.Queued != nil {
			m.queue = append(m.queue, t)
		}
	}
	return m
}

func clone(r Record) Record {
	r.Placement, r.To = r.Placement.clone(), r.To.clone()
	if r.Queued != nil {
		a := *r.Queued
		a.To = a.To.clone()
		r.Queued = &a
	}
	return r
}

// Of returns a tenant's record; false for one that was never moved.
func (m *Mover) Of(name string) (Record, bool) {
	t := m.tenants[name]
	if t == nil {
		return Record{Tenant: name}, false
	}
	return clone(t.Record), true
}

// MoveStatus is a tenant's record with what is awaited of its move.
type MoveStatus struct {
	Record
	Held, Left time.Duration // how long it has been held, and how long at the most until the move ends or is cancelled
	Awaited    []ProxyID     // that have not confirmed that they hold
	Away       []ProxyID     // of those, the ones whose streams are down
}

// Moving returns the moves under way, by tenant, and how many wait for their turn.
func (m *Mover) Moving(now time.Duration) (out []MoveStatus, waiting int) {
	for _, name := range slices.Sorted(maps.Keys(m.moving)) {
		t := m.moving[name]
		s := MoveStatus{Record: clone(t.Record), Held: now - t.held, Left: t.held + m.waits.MaxHold - now, Awaited: slices.Sorted(maps.Keys(t.awaited))}
		for _, p := range s.Awaited {
			if !m.proxies[p] {
				s.Away = append(s.Away, p)
			}
		}
		out = append(out, s)
	}
	return out, len(m.queue)
}

// Seated returns the records of all tenants that were ever moved, by name.
func (m *Mover) Seated() (out []Record) {
	for _, name := range slices.Sorted(maps.Keys(m.tenants)) {
		out = append(out, clone(m.tenants[name].Record))
	}
	return out
}

// Proxies returns the proxies that a move waits for, joined or away.
func (m *Mover) Proxies() (joined, away []ProxyID) {
	for _, p := range slices.Sorted(maps.Keys(m.proxies)) {
		if m.proxies[p] {
			joined = append(joined, p)
		} else {
			away = append(away, p)
		}
	}
	return joined, away
}

// Left says that a proxy's stream is down; what it was told it keeps.
func (m *Mover) Left(p ProxyID) {
	if m.proxies[p] {
		m.proxies[p] = false
	}
}

// Step takes what happened at a moment, in order, and returns what is to be done.
func (m *Mover) Step(now time.Duration, events ...Event) StepResult {
	m.now, m.done, m.touched = now, StepResult{Wake: -1}, map[string]bool{}
	for _, e := range events {
		switch {
		case e.Joined != nil:
			m.joined(*e.Joined)
		case e.Forgotten != nil:
			m.forgotten(*e.Forgotten)
		case e.Confirmed != nil:
			m.confirmed(*e.Confirmed)
		case e.MoveRequest != nil:
			m.ask(*e.MoveRequest)
		case e.Cancel != nil:
			m.cancel(*e.Cancel)
		case e.Open != nil:
			m.open(*e.Open)
		}
	}
	m.advance()
	for _, name := range slices.Sorted(maps.Keys(m.touched)) {
		m.done.Records = append(m.done.Records, clone(m.tenants[name].Record))
	}
	return m.done
}

// joined has a proxy that comes, or comes back, told of every tenant that is not where its name draws it, as far as it
// has not been told. It counts from then on as one that may hold a binding.
func (m *Mover) joined(j Joined) {
	if _, known := m.proxies[j.Proxy]; !known {
		m.proxies[j.Proxy] = true
		m.know()
	}
	m.proxies[j.Proxy] = true
	if j.Has <= m.born || j.Has > m.number {
		j.Has = 0
	}
	all := slices.SortedFunc(maps.Values(m.tenants), func(a, b *tenant) int { return cmp.Compare(a.Number, b.Number) })
	for _, t := range all {
		if t.Phase != Settled { // what it let go before it is told must be waited out as well
			t.Phase, t.awaited[j.Proxy] = Holding, true
			m.order(t, j.Proxy)
		} else if t.Number > j.Has {
			m.order(t, j.Proxy)
		}
	}
	if j.Has == 0 { // what others told it, or this pilot before it lost its store, is over
		m.done.Updates = append(m.done.Updates, BindingUpdate{Proxy: j.Proxy, Number: m.born, Clear: true})
	}
}

// know has the known proxies kept.
func (m *Mover) know() {
	m.done.KnownProxies = slices.Sorted(maps.Keys(m.proxies))
	if m.done.KnownProxies == nil {
		m.done.KnownProxies = []ProxyID{}
	}
}

func (m *Mover) forgotten(p ProxyID) {
	if _, known := m.proxies[p]; !known {
		m.refuse("proxy %d is not known", p)
		return
	}
	delete(m.proxies, p)
	m.know()
	for _, t := range m.moving {
		delete(t.awaited, p)
	}
}

func (m *Mover) confirmed(c Confirm) {
	if t := m.moving[c.Tenant]; t != nil && c.Number == t.Number {
		delete(t.awaited, c.Proxy)
	}
}

func (m *Mover) refuse(format string, args ...any) {
	m.done.Refused = append(m.done.Refused, fmt.Errorf(format, args...))
}

func (m *Mover) ask(a MoveRequest) {
	t := m.tenants[a.Tenant]
	switch {
	case a.Tenant == Folded || len(a.Tenant) > mostName:
		m.refuse("tenant %.40q cannot be moved: no tenant's name", a.Tenant)
		return
	case t == nil && len(m.tenants) >= mostBound:
		m.refuse("tenant %.40q cannot be moved: %d tenants were, which is the most", a.Tenant, mostBound)
		return
	case t != nil && t.Phase == Settled && t.Queued == nil && t.Placement.Equal(a.To) || t == nil && a.To.Equal(Placement{}):
		m.refuse("tenant %.40q is there already", a.Tenant)
		return
	case t == nil:
		t = &tenant{Record: Record{Tenant: a.Tenant}}
		m.tenants[a.Tenant] = t
	}
	if t.Queued == nil {
		m.queue = append(m.queue, t)
	}
	a.To = a.To.clone()
	t.Queued = &a
	m.touched[a.Tenant] = true
}

// begin starts the move that a tenant's record asks for.
func (m *Mover) begin(t *tenant) {
	a := t.Queued
	t.Queued = nil
	m.touched[t.Tenant] = true
	if t.Placement.Equal(a.To) {
		return
	}
	t.To, t.Waits = a.To, a.Waits
	m.await(t)
	m.tell(t)
}

// await counts a tenant as held from now on, and every proxy as one that has not confirmed it.
func (m *Mover) await(t *tenant) {
	t.Phase, t.held, t.awaited = Holding, m.now, map[ProxyID]bool{}
	for p := range m.proxies {
		t.awaited[p] = true
	}
	m.moving[t.Tenant] = t
}

// cancel ends a move, or takes back one that waits for its turn: nothing has been handed over while there is one.
func (m *Mover) cancel(name string) {
	switch t := m.tenants[name]; {
	case t != nil && t.Phase != Settled:
		m.settle(t, t.Placement)
	case t != nil && t.Queued != nil:
		t.Queued = nil
		m.queue = slices.DeleteFunc(m.queue, func(x *tenant) bool { return x == t })
		m.touched[name] = true
	default:
		m.refuse("tenant %.40q does not move", name)
	}
}

// open lets a move that waits to be told end.
func (m *Mover) open(name string) {
	t := m.moving[name]
	if t == nil || t.Phase != Ready {
		m.refuse("tenant %.40q has no move that is ready", name)
		return
	}
	m.settle(t, t.To)
}

// settle ends a move, at the new seat or the old one. All hold by then or still let go at the old one alone, so each
// proxy may open as it hears of it; one that does not hear goes on as it was.
func (m *Mover) settle(t *tenant, at Placement) {
	m.done.Ended = append(m.done.Ended, MoveResult{t.Tenant, !at.Equal(t.Placement), m.now - t.held})
	t.Phase, t.Placement, t.To, t.Waits, t.awaited = Settled, at, Placement{}, false, nil
	delete(m.moving, t.Tenant)
	m.tell(t)
}

// tell gives a new order to all that may hold a binding.
func (m *Mover) tell(t *tenant) {
	m.number++
	t.Number = m.number
	m.touched[t.Tenant] = true
	for _, p := range slices.Sorted(maps.Keys(m.proxies)) {
		m.order(t, p)
	}
}

// order tells one proxy how the tenant stands, if it can be told.
func (m *Mover) order(t *tenant, p ProxyID) {
	if m.proxies[p] && t.Number > 0 {
		m.done.Updates = append(m.done.Updates, BindingUpdate{Proxy: p, Tenant: t.Tenant, Number: t.Number, Placement: t.Placement.clone(), Held: t.Phase != Settled})
	}
}

// advance takes the moves on as far as they can go now, and begins those whose turn it is.
func (m *Mover) advance() {
	for _, name := range slices.Sorted(maps.Keys(m.moving)) {
		m.further(m.moving[name])
	}
	for i := 0; i < len(m.queue); {
		t := m.queue[i]
		if m.waits.MaxConcurrent > 0 && len(m.moving) >= m.waits.MaxConcurrent {
			break
		}
		if t.Phase != Settled { // its turn is after the one that it is in
			i++
			continue
		}
		m.queue = slices.Delete(m.queue, i, i+1)
		if m.begin(t); t.Phase != Settled {
			m.further(t)
		}
	}
}

// further takes one move on.
func (m *Mover) further(t *tenant) {
	if t.Phase == Holding && len(t.awaited) == 0 { // all hold already: no order goes out
		t.Phase, t.since = Draining, m.now
		m.touched[t.Tenant] = true
	}
	wait := t.held + m.waits.MaxHold - m.now
	if t.Phase == Draining {
		left := t.since + m.waits.WriteLifetime + m.waits.DedupWindow - m.now
		if left <= 0 && !t.Waits {
			m.settle(t, t.To)
			return
		}
		if left <= 0 {
			t.Phase = Ready
			m.touched[t.Tenant] = true
		} else {
			wait = min(wait, left)
		}
	}
	if wait <= 0 { // held for as long as it may be
		m.settle(t, t.Placement)
		return
	}
	if m.done.Wake < 0 || wait < m.done.Wake {
		m.done.Wake = wait
	}
}

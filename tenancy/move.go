// Package tenancy decides which tenant may use which servers, and moves tenants from one set of servers to another. It
// does no I/O. A Placement defines which pods of a table a tenant uses. A Mover takes events by Step and returns the records
// to save and the binding updates to send. A Binding is the state of a tenant at one proxy. The Mover's durable state is
// a set of Records; they must be on disk before the binding updates of the same step are sent.
package tenancy

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// ProxyID identifies a proxy.
type ProxyID uint16

// MoveLimits are the waits of a move, derived from the settings of the service, and the number of concurrent moves.
type MoveLimits struct {
	WriteLifetime time.Duration // longest time that a write may be in progress at a proxy or server
	DedupWindow   time.Duration // longest time for which servers of one group drop a duplicate that those of another would not
	MaxHold       time.Duration // longest time that a tenant's writes are held; a move that needs more is cancelled
	MaxConcurrent int           // concurrent moves; further ones are queued. 0: any number
}

// Phase is the progress of a move.
type Phase byte

const (
	Settled  Phase = iota // no move: the tenant uses Record.Placement, and a proxy with the newest update admits writes there
	Holding               // proxies were sent the update to hold the tenant's writes, and not all have confirmed it
	Draining              // all proxies hold the writes; the move waits until no earlier write can be in progress
	Ready                 // all proxies hold the writes and none is in progress; the move ends on Event.Open
)

var phases = [...]string{"settled", "holding", "draining", "ready"}

func (p Phase) String() string { return phases[p] }

// Record is the durable state of one tenant.
type Record struct {
	Tenant     string       `json:"tenant"`
	Placement  Placement    `json:"seat"`
	To         Placement    `json:"to,omitzero"` // the target, during a move
	Phase      Phase        `json:"phase"`
	Number     uint64       `json:"number"`          // number of the newest binding update
	ManualOpen bool         `json:"waits,omitempty"` // the move ends only on Event.Open
	Queued     *MoveRequest `json:"asked,omitempty"` // a move that is queued
}

// BindingUpdate is the state of one tenant's binding, sent to one proxy. It is idempotent: a proxy keeps the update with
// the highest number.
type BindingUpdate struct {
	Proxy     ProxyID
	Tenant    string
	Number    uint64
	Placement Placement
	Held      bool // writes are refused with a retry-after time; reads are admitted
	Clear     bool // Tenant is empty; the update clears the bindings of other pilots, and those of this pilot up to Number
}

// Event is an input of Mover.Step. Exactly one field is set.
type Event struct {
	Joined      *Joined
	Forgotten   *ProxyID // a proxy that was removed permanently, or that restarts without its bindings
	Confirmed   *Confirmation
	MoveRequest *MoveRequest
	Cancel      *string // a tenant: cancels its move, which returns to the old placement
	Open        *string // a tenant: ends a move in phase Ready
}

// Joined reports that a proxy's stream is up. The proxy has all of this pilot's binding updates with numbers up to
// AppliedUpTo; 0 means none. It may also hold older bindings.
type Joined struct {
	Proxy       ProxyID
	AppliedUpTo uint64
}

// Confirmation reports that a binding update is in force at a proxy, and that the proxy has sent all writes that it
// admitted under older updates.
type Confirmation struct {
	Proxy  ProxyID
	Tenant string
	Number uint64
}

// MoveRequest asks for a tenant to be moved.
type MoveRequest struct {
	Tenant     string    `json:"tenant"`
	To         Placement `json:"to"`
	ManualOpen bool      `json:"waits,omitempty"` // keep the move in phase Ready until Event.Open
}

// StepResult is the outcome of one step. The records must be saved before the updates are sent. Wake is the longest time
// until the next step; if it is negative, the next step is due only on an event.
type StepResult struct {
	Records      []Record
	KnownProxies []ProxyID // if not nil, replaces the saved set of proxies, in the same transaction as the records
	Updates      []BindingUpdate
	Refused      []error
	Ended        []MoveResult
	Wake         time.Duration
}

// MoveResult reports how a move ended and how long writes were held for it.
type MoveResult struct {
	Tenant string
	Moved  bool // false: the move was cancelled
	Held   time.Duration
}

// tenant is the state of one tenant.
type tenant struct {
	Record
	unconfirmed   map[ProxyID]bool // proxies that have not confirmed that they hold
	heldSince     time.Duration    // when its writes were first held, for the current move
	drainingSince time.Duration    // when the last proxy confirmed
}

// Mover holds the state of all moved tenants of one pilot.
type Mover struct {
	limits     MoveLimits
	baseNumber uint64 // every update from this store has a higher number
	number     uint64 // number of the newest update
	now        time.Duration
	tenants    map[string]*tenant
	moving     map[string]*tenant
	queue      []*tenant        // tenants with a queued move, in order of request
	proxies    map[ProxyID]bool // known proxies; true: connected
	result     StepResult
	changed    map[string]bool // tenants whose records changed in this step
}

// maxMovedTenants bounds the number of tenants that were ever moved; maxNameBytes bounds the length of a tenant's name.
const (
	maxMovedTenants = 1 << 16
	maxNameBytes    = 256
)

// NewMover returns a Mover that continues from the saved records and known proxies. All updates from their store have
// numbers above baseNumber. Times and confirmations are not saved, so moves under way wait for all confirmations and
// waits again. Every proxy counts as disconnected until it joins: a proxy that has not reconnected to a restarted pilot
// still sends writes to the placement in its last update. A move that did not wait for this proxy could duplicate these
// writes.
func NewMover(moveLimits MoveLimits, baseNumber uint64, records []Record, knownProxies []ProxyID) *Mover {
	m := &Mover{limits: moveLimits, baseNumber: baseNumber, number: baseNumber, tenants: map[string]*tenant{},
		moving: map[string]*tenant{}, proxies: map[ProxyID]bool{}}
	for _, p := range knownProxies {
		m.proxies[p] = false
	}
	for _, r := range slices.SortedFunc(slices.Values(records),
		func(a, b Record) int { return cmp.Compare(a.Number, b.Number) }) {
		t := &tenant{Record: clone(r)}
		m.tenants[r.Tenant] = t
		m.number = max(m.number, r.Number)
		if t.Phase != Settled {
			m.startHold(t)
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
		request := *r.Queued
		request.To = request.To.clone()
		r.Queued = &request
	}
	return r
}

// RecordOf returns the record of a tenant; false if it was never moved.
func (m *Mover) RecordOf(name string) (Record, bool) {
	t := m.tenants[name]
	if t == nil {
		return Record{Tenant: name}, false
	}
	return clone(t.Record), true
}

// MoveStatus is a tenant's record with the progress of its move.
type MoveStatus struct {
	Record
	Held, Remaining time.Duration // time since the hold began, and longest time until the move ends or is cancelled
	Unconfirmed     []ProxyID     // proxies that have not confirmed that they hold
	Disconnected    []ProxyID     // unconfirmed proxies whose streams are down
}

// ActiveMoves returns the moves in progress, sorted by tenant, and the number of queued moves.
func (m *Mover) ActiveMoves(now time.Duration) (out []MoveStatus, queued int) {
	for _, name := range slices.Sorted(maps.Keys(m.moving)) {
		t := m.moving[name]
		s := MoveStatus{Record: clone(t.Record), Held: now - t.heldSince, Remaining: t.heldSince + m.limits.MaxHold - now,
			Unconfirmed: slices.Sorted(maps.Keys(t.unconfirmed))}
		for _, p := range s.Unconfirmed {
			if !m.proxies[p] {
				s.Disconnected = append(s.Disconnected, p)
			}
		}
		out = append(out, s)
	}
	return out, len(m.queue)
}

// Records returns the records of all tenants that were ever moved, sorted by name.
func (m *Mover) Records() (out []Record) {
	for _, name := range slices.Sorted(maps.Keys(m.tenants)) {
		out = append(out, clone(m.tenants[name].Record))
	}
	return out
}

// Proxies returns the known proxies, which every move waits for, by whether their streams are up.
func (m *Mover) Proxies() (connected, disconnected []ProxyID) {
	for _, p := range slices.Sorted(maps.Keys(m.proxies)) {
		if m.proxies[p] {
			connected = append(connected, p)
		} else {
			disconnected = append(disconnected, p)
		}
	}
	return connected, disconnected
}

// ProxyLeft reports that a proxy's stream is down. The proxy keeps its bindings and remains known.
func (m *Mover) ProxyLeft(p ProxyID) {
	if m.proxies[p] {
		m.proxies[p] = false
	}
}

// Step applies events in order, at the time now, and returns what is to be done.
func (m *Mover) Step(now time.Duration, events ...Event) StepResult {
	m.now, m.result, m.changed = now, StepResult{Wake: -1}, map[string]bool{}
	for _, e := range events {
		switch {
		case e.Joined != nil:
			m.handleJoined(*e.Joined)
		case e.Forgotten != nil:
			m.handleForgotten(*e.Forgotten)
		case e.Confirmed != nil:
			m.handleConfirmed(*e.Confirmed)
		case e.MoveRequest != nil:
			m.handleMove(*e.MoveRequest)
		case e.Cancel != nil:
			m.handleCancel(*e.Cancel)
		case e.Open != nil:
			m.handleOpen(*e.Open)
		}
	}
	m.advance()
	for _, name := range slices.Sorted(maps.Keys(m.changed)) {
		m.result.Records = append(m.result.Records, clone(m.tenants[name].Record))
	}
	return m.result
}

// handleJoined sends a proxy the updates that it does not have. From then on the proxy is known: it may hold bindings,
// and moves wait for it.
func (m *Mover) handleJoined(j Joined) {
	if _, known := m.proxies[j.Proxy]; !known {
		m.proxies[j.Proxy] = true
		m.saveProxies()
	}
	m.proxies[j.Proxy] = true
	if j.AppliedUpTo <= m.baseNumber || j.AppliedUpTo > m.number {
		j.AppliedUpTo = 0
	}
	byNumber := slices.SortedFunc(maps.Values(m.tenants), func(a, b *tenant) int { return cmp.Compare(a.Number, b.Number) })
	for _, t := range byNumber {
		if t.Phase != Settled { // writes that the proxy admitted before this update must be waited out, too
			t.Phase, t.unconfirmed[j.Proxy] = Holding, true
			m.sendUpdate(t, j.Proxy)
		} else if t.Number > j.AppliedUpTo {
			m.sendUpdate(t, j.Proxy)
		}
	}
	if j.AppliedUpTo == 0 { // bindings from other pilots, or from this one before it lost its store, are obsolete
		m.result.Updates = append(m.result.Updates, BindingUpdate{Proxy: j.Proxy, Number: m.baseNumber, Clear: true})
	}
}

// saveProxies adds the known proxies to the step's result.
func (m *Mover) saveProxies() {
	m.result.KnownProxies = slices.Sorted(maps.Keys(m.proxies))
	if m.result.KnownProxies == nil {
		m.result.KnownProxies = []ProxyID{}
	}
}

// handleForgotten removes a proxy, so that no move waits for it.
func (m *Mover) handleForgotten(p ProxyID) {
	if _, known := m.proxies[p]; !known {
		m.refuse("proxy %d is not known", p)
		return
	}
	delete(m.proxies, p)
	m.saveProxies()
	for _, t := range m.moving {
		delete(t.unconfirmed, p)
	}
}

// handleConfirmed records that a proxy holds the writes of a moving tenant.
func (m *Mover) handleConfirmed(c Confirmation) {
	if t := m.moving[c.Tenant]; t != nil && c.Number == t.Number {
		delete(t.unconfirmed, c.Proxy)
	}
}

// refuse adds an error to the step's result.
func (m *Mover) refuse(format string, args ...any) {
	m.result.Refused = append(m.result.Refused, fmt.Errorf(format, args...))
}

// handleMove validates a move request and queues it, in place of an earlier queued one of the same tenant.
func (m *Mover) handleMove(request MoveRequest) {
	t := m.tenants[request.Tenant]
	switch {
	case request.Tenant == AggregatedTenant || len(request.Tenant) > maxNameBytes:
		m.refuse("tenant %.40q cannot be moved: no tenant's name", request.Tenant)
		return
	case t == nil && len(m.tenants) >= maxMovedTenants:
		m.refuse("tenant %.40q cannot be moved: %d tenants were moved already, which is the limit", request.Tenant, maxMovedTenants)
		return
	case t != nil && t.Phase == Settled && t.Queued == nil && t.Placement.Equal(request.To) ||
		t == nil && request.To.Equal(Placement{}):
		m.refuse("tenant %.40q is there already", request.Tenant)
		return
	case t == nil:
		t = &tenant{Record: Record{Tenant: request.Tenant}}
		m.tenants[request.Tenant] = t
	}
	if t.Queued == nil {
		m.queue = append(m.queue, t)
	}
	request.To = request.To.clone()
	t.Queued = &request
	m.changed[request.Tenant] = true
}

// startMove starts a tenant's queued move.
func (m *Mover) startMove(t *tenant) {
	request := t.Queued
	t.Queued = nil
	m.changed[t.Tenant] = true
	if t.Placement.Equal(request.To) {
		return
	}
	t.To, t.ManualOpen = request.To, request.ManualOpen
	m.startHold(t)
	m.broadcast(t)
}

// startHold marks a tenant as held from now on, and every proxy as unconfirmed.
func (m *Mover) startHold(t *tenant) {
	t.Phase, t.heldSince, t.unconfirmed = Holding, m.now, map[ProxyID]bool{}
	for p := range m.proxies {
		t.unconfirmed[p] = true
	}
	m.moving[t.Tenant] = t
}

// handleCancel cancels a move in progress or removes a queued one. Cancelling is safe: no proxy admits writes at the new
// placement before the move ends.
func (m *Mover) handleCancel(name string) {
	switch t := m.tenants[name]; {
	case t != nil && t.Phase != Settled:
		m.endMove(t, t.Placement)
	case t != nil && t.Queued != nil:
		t.Queued = nil
		m.queue = slices.DeleteFunc(m.queue, func(x *tenant) bool { return x == t })
		m.changed[name] = true
	default:
		m.refuse("tenant %.40q does not move", name)
	}
}

// handleOpen ends a move that is in phase Ready.
func (m *Mover) handleOpen(name string) {
	t := m.moving[name]
	if t == nil || t.Phase != Ready {
		m.refuse("tenant %.40q has no move that is ready", name)
		return
	}
	m.endMove(t, t.To)
}

// endMove ends a move, at the new placement or the old one. By then either all proxies hold the writes, or those that do
// not still send them to the old placement. So each proxy may admit writes as soon as it gets the update; one that does
// not get it keeps its state.
func (m *Mover) endMove(t *tenant, placement Placement) {
	m.result.Ended = append(m.result.Ended, MoveResult{t.Tenant, !placement.Equal(t.Placement), m.now - t.heldSince})
	t.Phase, t.Placement, t.To, t.ManualOpen, t.unconfirmed = Settled, placement, Placement{}, false, nil
	delete(m.moving, t.Tenant)
	m.broadcast(t)
}

// broadcast sends a new update to every connected proxy.
func (m *Mover) broadcast(t *tenant) {
	m.number++
	t.Number = m.number
	m.changed[t.Tenant] = true
	for _, p := range slices.Sorted(maps.Keys(m.proxies)) {
		m.sendUpdate(t, p)
	}
}

// sendUpdate sends the tenant's current binding to one proxy, if it is connected.
func (m *Mover) sendUpdate(t *tenant, p ProxyID) {
	if m.proxies[p] && t.Number > 0 {
		m.result.Updates = append(m.result.Updates, BindingUpdate{Proxy: p, Tenant: t.Tenant, Number: t.Number,
			Placement: t.Placement.clone(), Held: t.Phase != Settled})
	}
}

// advance advances the moves in progress and starts queued ones.
func (m *Mover) advance() {
	for _, name := range slices.Sorted(maps.Keys(m.moving)) {
		m.advanceMove(m.moving[name])
	}
	for i := 0; i < len(m.queue); {
		t := m.queue[i]
		if m.limits.MaxConcurrent > 0 && len(m.moving) >= m.limits.MaxConcurrent {
			break
		}
		if t.Phase != Settled { // the queued move starts after the current one
			i++
			continue
		}
		m.queue = slices.Delete(m.queue, i, i+1)
		if m.startMove(t); t.Phase != Settled {
			m.advanceMove(t)
		}
	}
}

// advanceMove advances one move as far as possible and sets the wake-up time.
func (m *Mover) advanceMove(t *tenant) {
	if t.Phase == Holding && len(t.unconfirmed) == 0 { // all proxies hold already, so no update is needed
		t.Phase, t.drainingSince = Draining, m.now
		m.changed[t.Tenant] = true
	}
	wake := t.heldSince + m.limits.MaxHold - m.now
	if t.Phase == Draining {
		left := t.drainingSince + m.limits.WriteLifetime + m.limits.DedupWindow - m.now
		if left <= 0 && !t.ManualOpen {
			m.endMove(t, t.To)
			return
		}
		if left <= 0 {
			t.Phase = Ready
			m.changed[t.Tenant] = true
		} else {
			wake = min(wake, left)
		}
	}
	if wake <= 0 { // held for the longest allowed time
		m.endMove(t, t.Placement)
		return
	}
	if m.result.Wake < 0 || wake < m.result.Wake {
		m.result.Wake = wake
	}
}

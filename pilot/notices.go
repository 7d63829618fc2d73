package pilot

import (
	"maps"
	"math"
	"slices"
	"time"

	"vetchdoor/control"
	"vetchdoor/runtime"
	"vetchdoor/tenancy"
)

// The pilot writes some lines by itself: new addresses of endpoints that moved, and limits of tenants. The module, which fills the
// channel by a count of its own orders, knows nothing of them, so they keep to a part of the channel that it is not told of. What
// has no room there waits as a mark, not as a line: an endpoint that moves again meanwhile takes no second line.

// notices are what one proxy is yet to be told by the pilot itself.
type notices struct {
	moved       map[control.EndpointID]bool // endpoints whose place
	limits      map[string]bool             // tenants whose limit
	unconfirmed int                         // lines on their way to it
	next        time.Duration               // no message of notices alone before
}

func newNotices() notices {
	return notices{moved: map[control.EndpointID]bool{}, limits: map[string]bool{}}
}

// noticeBudget bounds the lines of notices that are written and not confirmed, and how often a message of notices alone goes to a
// proxy.
type noticeBudget struct {
	most, used int
	gap        time.Duration // between two such messages; 0: none
}

func (n noticeBudget) room() int { return n.most - n.used }

// moved marks endpoints' new places for all who hold them in a table.
func (ds *desiredState) moved(endpoints []control.EndpointID) {
	for id, h := range ds.proxies {
		for _, e := range endpoints {
			if slices.ContainsFunc(h.bound, func(t *sheet) bool { return t != nil && t.lines[e] > 0 }) {
				h.notices.moved[e] = true
				ds.due[id] = true
			}
		}
	}
}

// limit marks changed limits for all.
func (ds *desiredState) limit(limits []runtime.Change) {
	for _, c := range limits {
		if ds.limits[c.Tenant] = c; c.Limit().Free() {
			delete(ds.limits, c.Tenant)
		}
		for id, h := range ds.proxies {
			h.notices.limits[c.Tenant] = true
			ds.due[id] = true
		}
	}
}

// notify returns messages of notices, as many as have room, each proxy in its turn; and how long it is until one may have its next
// message, below 0 if none waits for that.
func (ds *desiredState) notify(now time.Duration) (messages []outgoing, wait time.Duration) {
	wait = -1
	if len(ds.due) == 0 || ds.budget.room() <= ds.head {
		return nil, wait
	}
	ids := slices.Sorted(maps.Keys(ds.due))
	next, _ := slices.BinarySearch(ids, ds.turn)
	for _, id := range append(ids[next:len(ids):len(ids)], ids[:next]...) {
		if ds.budget.room() <= ds.head {
			break
		}
		h := ds.proxies[id]
		if left := h.notices.next - now; left > 0 {
			if wait < 0 || left < wait {
				wait = left
			}
			continue
		}
		ds.spend(h, ds.head)
		lines := ds.addNotices(h)
		if lines == 0 {
			ds.spend(h, -ds.head)
			continue
		}
		messages = append(messages, ds.finish(h, -1, ds.head+lines))
		h.notices.next = now + ds.budget.gap
		ds.turn = id + 1
	}
	return messages, wait
}

// addNotices adds what has room to the message being written for a proxy, and returns how many lines that are.
func (ds *desiredState) addNotices(h *holder) (lines int) {
	if !ds.due[h.id] {
		return 0
	}
	add := func(changes ...runtime.Change) bool {
		if len(changes) > ds.budget.room() {
			return false
		}
		h.changes = append(h.changes, changes...)
		ds.spend(h, len(changes))
		lines += len(changes)
		return true
	}
	for _, e := range slices.Sorted(maps.Keys(h.notices.moved)) {
		if !add(ds.place(h, e)...) {
			return lines
		}
		delete(h.notices.moved, e)
	}
	for _, name := range slices.Sorted(maps.Keys(h.notices.limits)) {
		if !add(ds.share(ds.limitOf(name))) {
			return lines
		}
		delete(h.notices.limits, name)
	}
	delete(ds.due, h.id)
	return lines
}

// place is where an endpoint is, for each table that a proxy is on and that names it.
func (ds *desiredState) place(h *holder, e control.EndpointID) (changes []runtime.Change) {
	at, ok := ds.where(e)
	if !ok {
		return nil
	}
	for _, id := range slices.Sorted(maps.Keys(ds.tables)) {
		if t := ds.tables[id]; t.lines[e] > 0 && h.on(t) {
			changes = append(changes, runtime.Change{Verb: runtime.AddServer, Table: id, Endpoint: e, Server: at, Weight: t.lines[e]})
		}
	}
	return changes
}

// limitOf is the limit of a tenant that stands.
func (ds *desiredState) limitOf(name string) runtime.Change {
	if c, ok := ds.limits[name]; ok {
		return c
	}
	return runtime.SetTenantChange(tenancy.Unlimited(name))
}

// share is a tenant's limit as one of the joined proxies keeps it.
func (ds *desiredState) share(c runtime.Change) runtime.Change {
	n := float64(max(1, len(ds.proxies)))
	if c.Rate > 0 {
		c.Rate /= n
	}
	if c.MaxInFlight > 0 {
		c.MaxInFlight /= n
	}
	return c
}

// spend counts lines of notices to a proxy against the budget.
func (ds *desiredState) spend(h *holder, lines int) {
	h.notices.unconfirmed += lines
	ds.budget.used += lines
}

// confirmed takes the word that a message is in force.
func (ds *desiredState) confirmed(m outgoing) {
	if h := ds.proxies[m.proxy]; h != nil {
		ds.spend(h, -m.notices)
	}
}

// unbounded is the budget where the channel is not known.
const unbounded = math.MaxInt

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
func (b *book) moved(endpoints []control.EndpointID) {
	for id, h := range b.proxies {
		for _, e := range endpoints {
			if slices.ContainsFunc(h.bound, func(t *sheet) bool { return t != nil && t.lines[e] > 0 }) {
				h.notices.moved[e] = true
				b.due[id] = true
			}
		}
	}
}

// limit marks changed limits for all.
func (b *book) limit(limits []runtime.Change) {
	for _, c := range limits {
		if b.limits[c.Tenant] = c; c.Limit().Free() {
			delete(b.limits, c.Tenant)
		}
		for id, h := range b.proxies {
			h.notices.limits[c.Tenant] = true
			b.due[id] = true
		}
	}
}

// notify returns messages of notices, as many as have room, each proxy in its turn; and how long it is until one may have its next
// message, below 0 if none waits for that.
func (b *book) notify(now time.Duration) (messages []outgoing, wait time.Duration) {
	wait = -1
	if len(b.due) == 0 || b.budget.room() <= b.head {
		return nil, wait
	}
	ids := slices.Sorted(maps.Keys(b.due))
	next, _ := slices.BinarySearch(ids, b.turn)
	for _, id := range append(ids[next:len(ids):len(ids)], ids[:next]...) {
		if b.budget.room() <= b.head {
			break
		}
		h := b.proxies[id]
		if left := h.notices.next - now; left > 0 {
			if wait < 0 || left < wait {
				wait = left
			}
			continue
		}
		b.spend(h, b.head)
		lines := b.addNotices(h)
		if lines == 0 {
			b.spend(h, -b.head)
			continue
		}
		messages = append(messages, b.finish(h, -1, b.head+lines))
		h.notices.next = now + b.budget.gap
		b.turn = id + 1
	}
	return messages, wait
}

// addNotices adds what has room to the message being written for a proxy, and returns how many lines that are.
func (b *book) addNotices(h *holder) (lines int) {
	if !b.due[h.id] {
		return 0
	}
	add := func(changes ...runtime.Change) bool {
		if len(changes) > b.budget.room() {
			return false
		}
		h.changes = append(h.changes, changes...)
		b.spend(h, len(changes))
		lines += len(changes)
		return true
	}
	for _, e := range slices.Sorted(maps.Keys(h.notices.moved)) {
		if !add(b.place(h, e)...) {
			return lines
		}
		delete(h.notices.moved, e)
	}
	for _, name := range slices.Sorted(maps.Keys(h.notices.limits)) {
		if !add(b.share(b.limitOf(name))) {
			return lines
		}
		delete(h.notices.limits, name)
	}
	delete(b.due, h.id)
	return lines
}

// place is where an endpoint is, for each table that a proxy is on and that names it.
func (b *book) place(h *holder, e control.EndpointID) (changes []runtime.Change) {
	at, ok := b.where(e)
	if !ok {
		return nil
	}
	for _, id := range slices.Sorted(maps.Keys(b.tables)) {
		if t := b.tables[id]; t.lines[e] > 0 && h.on(t) {
			changes = append(changes, runtime.Change{Verb: runtime.AddServer, Table: id, Endpoint: e, Server: at, Weight: t.lines[e]})
		}
	}
	return changes
}

// limitOf is the limit of a tenant that stands.
func (b *book) limitOf(name string) runtime.Change {
	if c, ok := b.limits[name]; ok {
		return c
	}
	return runtime.LimitOf(tenancy.Unlimited(name))
}

// share is a tenant's limit as one of the joined proxies keeps it.
func (b *book) share(c runtime.Change) runtime.Change {
	n := float64(max(1, len(b.proxies)))
	if c.Rate > 0 {
		c.Rate /= n
	}
	if c.Hand > 0 {
		c.Hand /= n
	}
	return c
}

// spend books lines of notices to a proxy.
func (b *book) spend(h *holder, lines int) {
	h.notices.unconfirmed += lines
	b.budget.used += lines
}

// confirmed takes the word that a message is in force.
func (b *book) confirmed(m outgoing) {
	if h := b.proxies[m.proxy]; h != nil {
		b.spend(h, -m.notices)
	}
}

// unbounded is the budget of a book whose channel is not known.
const unbounded = math.MaxInt

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

// Notices are lines that the pilot sends without an order of the module: the new location (address, zone and pack) of endpoints
// whose location changed, and limits of tenants. The module fills the channel by counting only the lines that it ordered, so
// notices are confined to a part of the channel that is withheld from the module. A notice that does not fit is kept as a mark,
// not as a line: an endpoint that changes its location again before the notice is sent takes only one line.

// notices are the pending notices of one proxy.
type notices struct {
	movedEndpoints   map[control.EndpointID]bool // endpoints whose new location is not sent yet
	changedLimits    map[string]bool             // tenants whose changed limit is not sent yet
	unconfirmedLines int                         // lines of notices queued for or sent to the proxy and not confirmed
	notBefore        time.Duration               // earliest time of the next message that consists of notices alone
}

func newNotices() notices {
	return notices{movedEndpoints: map[control.EndpointID]bool{}, changedLimits: map[string]bool{}}
}

// noticeBudget bounds the lines of notices that are queued or sent but not confirmed, over all proxies, and the rate of
// messages that consist of notices alone to one proxy.
type noticeBudget struct {
	maxLines, usedLines int
	minInterval         time.Duration // least time between two messages of notices alone to one proxy; 0: no bound
}

// freeLines returns the number of lines left in the budget.
func (n noticeBudget) freeLines() int { return n.maxLines - n.usedLines }

// markMoved marks endpoints whose location changed for all proxies that have them in a table.
func (ds *desiredState) markMoved(endpoints []control.EndpointID) {
	for id, proxy := range ds.proxies {
		for _, e := range endpoints {
			if slices.ContainsFunc(proxy.bound, func(t *tableState) bool { return t != nil && t.lines[e] > 0 }) {
				proxy.notices.movedEndpoints[e] = true
				ds.pendingNotices[id] = true
			}
		}
	}
}

// markLimits stores changed limits of tenants and marks them for all proxies.
func (ds *desiredState) markLimits(limits []runtime.Change) {
	for _, c := range limits {
		if ds.limits[c.Tenant] = c; c.Limit().IsDefault() {
			delete(ds.limits, c.Tenant)
		}
		for id, proxy := range ds.proxies {
			proxy.notices.changedLimits[c.Tenant] = true
			ds.pendingNotices[id] = true
		}
	}
}

// noticeMessages returns messages of pending notices as far as the budget allows, serving the proxies in turn. wait is the time
// until minInterval permits the next message to one of the skipped proxies; it is negative if no proxy waits for that.
func (ds *desiredState) noticeMessages(now time.Duration) (messages []outgoing, wait time.Duration) {
	wait = -1
	if len(ds.pendingNotices) == 0 || ds.budget.freeLines() <= ds.headLines {
		return nil, wait
	}
	ids := slices.Sorted(maps.Keys(ds.pendingNotices))
	next, _ := slices.BinarySearch(ids, ds.nextTurn)
	for _, id := range append(ids[next:len(ids):len(ids)], ids[:next]...) {
		if ds.budget.freeLines() <= ds.headLines {
			break
		}
		proxy := ds.proxies[id]
		if left := proxy.notices.notBefore - now; left > 0 {
			if wait < 0 || left < wait {
				wait = left
			}
			continue
		}
		ds.spendBudget(proxy, ds.headLines)
		lines := ds.addNotices(proxy)
		if lines == 0 {
			ds.spendBudget(proxy, -ds.headLines)
			continue
		}
		messages = append(messages, ds.finishMessage(proxy, -1, ds.headLines+lines))
		proxy.notices.notBefore = now + ds.budget.minInterval
		ds.nextTurn = id + 1
	}
	return messages, wait
}

// addNotices adds a proxy's pending notices to its message as far as the budget allows, and returns the number of lines added.
func (ds *desiredState) addNotices(proxy *proxyState) (lines int) {
	if !ds.pendingNotices[proxy.id] {
		return 0
	}
	add := func(changes ...runtime.Change) bool {
		if len(changes) > ds.budget.freeLines() {
			return false
		}
		proxy.changes = append(proxy.changes, changes...)
		ds.spendBudget(proxy, len(changes))
		lines += len(changes)
		return true
	}
	for _, e := range slices.Sorted(maps.Keys(proxy.notices.movedEndpoints)) {
		if !add(ds.serverChanges(proxy, e)...) {
			return lines
		}
		delete(proxy.notices.movedEndpoints, e)
	}
	for _, name := range slices.Sorted(maps.Keys(proxy.notices.changedLimits)) {
		if !add(ds.perProxyLimit(ds.limitOf(name))) {
			return lines
		}
		delete(proxy.notices.changedLimits, name)
	}
	delete(ds.pendingNotices, proxy.id)
	return lines
}

// serverChanges returns changes that give a proxy the present location of an endpoint in each of its tables that contain it.
func (ds *desiredState) serverChanges(proxy *proxyState, e control.EndpointID) (changes []runtime.Change) {
	at, ok := ds.serverOf(e)
	if !ok {
		return nil
	}
	for _, id := range slices.Sorted(maps.Keys(ds.tables)) {
		if t := ds.tables[id]; t.lines[e] > 0 && proxy.isBoundTo(t) {
			changes = append(changes, runtime.Change{Verb: runtime.AddServer, Table: id, Endpoint: e, Server: at, Weight: t.lines[e]})
		}
	}
	return changes
}

// limitOf returns the current limit of a tenant.
func (ds *desiredState) limitOf(name string) runtime.Change {
	if c, ok := ds.limits[name]; ok {
		return c
	}
	return runtime.SetTenantChange(tenancy.Unlimited(name))
}

// perProxyLimit returns a tenant's limit with its rate and its ops in flight divided evenly among the joined proxies.
func (ds *desiredState) perProxyLimit(c runtime.Change) runtime.Change {
	n := float64(max(1, len(ds.proxies)))
	if c.Rate > 0 {
		c.Rate /= n
	}
	if c.MaxInFlight > 0 {
		c.MaxInFlight /= n
	}
	return c
}

// spendBudget charges a proxy's lines of notices to the budget; a negative number returns lines to the budget.
func (ds *desiredState) spendBudget(proxy *proxyState, lines int) {
	proxy.notices.unconfirmedLines += lines
	ds.budget.usedLines += lines
}

// confirmNotices returns the notice lines of a confirmed message to the budget.
func (ds *desiredState) confirmNotices(m outgoing) {
	if proxy := ds.proxies[m.proxy]; proxy != nil {
		ds.spendBudget(proxy, -m.noticeLines)
	}
}

// unlimitedLines is the budget of a desiredState for which no bound has been set.
const unlimitedLines = math.MaxInt

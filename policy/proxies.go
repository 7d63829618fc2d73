package policy

import (
	"cmp"
	"slices"
	"time"

	"vetchdoor/control"
)

// proxy is a proxy that has joined, or one that disconnected lately and still uses the tables that it holds.
type proxy struct {
	id          control.ProxyID
	zone        int
	workRates   []float64 // work per second, by op type
	demand      float64   // sum of workRates
	rankedCells []*cell   // cells in order of preference, the home cell first
	cell        *cell     // cell that the proxy belongs to; nil: the common table
	table       *table    // table that the proxy was last bound to; nil: its standing table
	// placed is set once the proxy has a cell or the common table; disconnected is set once its stream has ended.
	placed, disconnected bool
	keepsWithdrawals     bool          // may still exclude servers that are no longer withdrawn
	leftAt               time.Duration // time of the disconnection
	// lines counts the proxy's lines in the message that is being written, unconfirmedLines those in messages that are sent
	// and not yet confirmed.
	lines, unconfirmedLines float64
	lastCheckpoint          int           // number of its newest message
	urgency                 urgency       // of the message that is being written
	slots                   []messageSlot // its messages that count against MessageCap, oldest first
	placementWhy            control.Why   // reason of the current placement
}

// joinProxy adds a proxy that has joined, in place of an earlier stream of the same proxy.
func (a *Assigner) joinProxy(joined control.Joined) {
	a.leaveProxy(joined.Proxy)
	p := &proxy{id: joined.Proxy, zone: joined.Zone, keepsWithdrawals: a.config.KeepsWithdrawals && !joined.Standing}
	for _, opType := range a.opTypes {
		p.workRates = append(p.workRates, max(joined.Rate, 0)*opType.costSeconds/float64(len(a.opTypes)))
		p.demand += p.workRates[len(p.workRates)-1]
	}
	a.knownProxies = append(slices.DeleteFunc(a.knownProxies, func(x *proxy) bool { return x.id == p.id }), p)
	a.joinedProxies, a.proxies[p.id] = append(a.joinedProxies, p), p
	slices.SortFunc(a.joinedProxies, func(x, y *proxy) int { return cmp.Compare(x.id, y.id) })
}

// leaveProxy marks a proxy as disconnected. It stays among the known proxies, for it goes on with the tables that it
// holds.
func (a *Assigner) leaveProxy(id control.ProxyID) {
	if p := a.proxies[id]; p != nil {
		a.backlogLines -= p.unconfirmedLines
		p.disconnected, p.leftAt = true, a.now
		a.joinedProxies = slices.DeleteFunc(a.joinedProxies, func(other *proxy) bool { return other == p })
		delete(a.proxies, id)
	}
}

// confirmCheckpoint takes all lines of a proxy off the backlog once the proxy has confirmed its newest message.
// Confirmations of older messages change nothing.
func (a *Assigner) confirmCheckpoint(inForce control.InForce) {
	if p := a.proxies[inForce.Proxy]; p != nil && p.lastCheckpoint == inForce.Checkpoint {
		a.backlogLines, p.unconfirmedLines = a.backlogLines-p.unconfirmedLines, 0
	}
}

// applyArrivals updates the work rate of a proxy by the ops of one type that arrived there.
func (a *Assigner) applyArrivals(arrivals control.Arrivals) {
	p := a.proxies[arrivals.Proxy]
	if p == nil || arrivals.OpType < 0 || arrivals.OpType >= len(a.opTypes) || arrivals.Window <= 0 {
		return
	}
	change := arrivalSmoothingShare *
		(float64(arrivals.Ops)*a.opTypes[arrivals.OpType].costSeconds/arrivals.Window.Seconds() - p.workRates[arrivals.OpType])
	p.workRates[arrivals.OpType], p.demand = p.workRates[arrivals.OpType]+change, p.demand+change
}

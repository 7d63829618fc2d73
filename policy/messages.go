package policy

import (
	"cmp"
	"math"
	"slices"

	"vetchdoor/control"
)

// sendOrders emits the orders for all differences between the decisions and what was last sent, the most urgent
// first, and a checkpoint if any proxy gets a message. Where tables are slices of the keys, or no server is usable,
// it emits only withdrawals.
func (a *Assigner) sendOrders() {
	a.backlogFull = false
	if a.placeProxies(); a.config.Slices == 0 && a.capacity > 0 {
		a.updateWithdrawals() // before new lines, which could fill the backlog: only withdrawals have a deadline
		if a.hasReturningProxies() {
			a.bindProxies(deferrableBacklogShare)
		}
		a.updateLines(urgentBacklogShare)
		a.updateWithdrawals()
		a.bindProxies(urgentBacklogShare)
		a.updateLevels()
		a.bindProxies(deferrableBacklogShare)
		a.updateLines(deferrableBacklogShare)
	}
	a.updateWithdrawals()
	if a.config.MessageCap > 0 {
		a.updateWithdrawals() // those that could not have a message of their own go out with the mandatory ones
	}
	if !slices.ContainsFunc(a.joinedProxies, func(p *proxy) bool { return p.lines > 0 }) {
		return
	}
	a.checkpoint = (a.checkpoint + 1) & math.MaxUint16
	a.emit(control.Checkpoint{Number: a.checkpoint})
	for _, p := range a.joinedProxies {
		if p.lines > 0 {
			a.useSlot(p)
			p.unconfirmedLines, p.lines, p.lastCheckpoint = p.unconfirmedLines+p.lines, 0, a.checkpoint
		}
	}
}

// hasReturningProxies reports whether proxies that still use tables of an earlier stream wait for their binding,
// which brings them the withdrawals that they missed.
func (a *Assigner) hasReturningProxies() bool {
	return slices.ContainsFunc(a.joinedProxies, func(p *proxy) bool { return p.placed && p.keepsWithdrawals && p.table == nil })
}

// reserveLines reserves lines for each recipient in the backlog of unconfirmed lines and reports whether there was
// room. For a proxy that has no lines in the current message yet, the overhead is reserved too: the message's own
// lines, its checkpoint and the levels. Deferrable orders are also refused while the backlog takes too long to send, and
// all orders while MessageCap does not allow the message.
func (a *Assigner) reserveLines(backlogShare float64, u urgency, lines float64, recipients ...*proxy) bool {
	for _, p := range recipients {
		if a.mayMessage(p, u) {
			continue
		}
		if u == mandatory {
			a.retryWhenFree(p)
		}
		return false
	}
	overhead := a.config.MessageOverheadLines + 1 + float64(len(a.opTypes))
	total := 0.0
	for _, p := range recipients {
		if total += lines; p.lines == 0 {
			total += overhead
		}
	}
	deferrableLimit := deferrableDrainGraceShare * a.config.DrainGrace.Seconds() * a.config.LinesPerSecond
	deferred := backlogShare < urgentBacklogShare && deferrableLimit > 0 && a.backlogLines > deferrableLimit
	if total > 0 && (deferred || a.backlogLines+total > backlogShare*a.config.MaxUnconfirmedLines) {
		a.backlogFull = true
		return false
	}
	a.backlogLines += total
	for _, p := range recipients {
		p.lines = cmp.Or(p.lines, overhead) + lines
		p.urgency = max(p.urgency, u)
	}
	return true
}

package policy

import (
	"slices"

	"vetchdoor/control"
)

// updateWithdrawals withdraws unusable servers, and returns usable ones to use, at all proxies whose tables may
// contain them. A ready server that is the last to serve a table is not withdrawn.
func (a *Assigner) updateWithdrawals() {
	unbound := a.tableUsers(nil)
	cannotBind := func(p *proxy) bool {
		return !a.config.KeepsWithdrawals || !p.placed || !a.hasServingLine(a.dueTable(p), nil)
	}
	if a.config.MessageCap < 1 && !slices.ContainsFunc(unbound, cannotBind) {
		unbound = nil // all can be bound, and the binds convey the withdrawals
	}
	for _, e := range a.sortedEndpoints {
		if e.withdrawn != e.usable() {
			continue
		}
		holders, lastServing := slices.Clone(unbound), false
		isHolder := func(p *proxy) bool { return slices.Contains(holders, p) } // counted already, through another table
		for _, t := range []*table{e.cell.table, a.tables[len(a.tables)-1]} {  // no other table can contain the server
			if tableUsers := a.tableUsers(t); e.sentWeight[t.id] > 0 && len(tableUsers) > 0 {
				holders = append(holders, slices.DeleteFunc(tableUsers, isHolder)...)
				lastServing = lastServing || !e.withdrawn && e.mode == control.Ready && !a.hasServingLine(t, e)
			}
		}
		u := e.withdrawalUrgency()
		if lastServing || u == mandatory && a.awaitsOthers(e, holders) {
			continue
		}
		if a.reserveLines(urgentBacklogShare, u, 1, holders...) {
			e.withdrawn = !e.withdrawn
			a.emit(control.Suspend{Endpoint: e.id, Out: e.withdrawn, BoundOnly: unbound == nil, Why: e.withdrawalReason()})
		}
	}
}

// withdrawalUrgency returns the urgency of the withdrawal of a server, or of its return to use, that is due.
func (e *endpoint) withdrawalUrgency() urgency {
	switch {
	case e.withdrawn:
		return deferrable
	case e.mode != control.Ready:
		return mandatory
	}
	return prompt
}

package policy

import (
	"slices"

	"vetchdoor/control"
)

// table is a table that proxies share: the table of one cell, or the common table, which spans all cells.
type table struct {
	id   control.TableID
	cell *cell // nil: the common table
}

// targetWeight returns the weight that a table should have for a server; 0 if the table should not contain it.
func (a *Assigner) targetWeight(t *table, e *endpoint) float64 {
	if e.mode != control.Ready || t.cell != nil && t.cell != e.cell || a.excludedWhileCold(e) && a.hasServingLine(t, e) {
		return 0
	}
	return e.listedWeight * a.weightShare(e)
}

// tableUsers returns the joined proxies that use a table as last sent; for nil, those that use their standing tables.
func (a *Assigner) tableUsers(t *table) []*proxy {
	isCommonTable := t != nil && t.cell == nil && a.crossCellOpTypes != 0
	usesTable := func(p *proxy) bool { return p.table == t || isCommonTable && p.table != nil }
	return slices.DeleteFunc(slices.Clone(a.joinedProxies), func(p *proxy) bool { return !usesTable(p) })
}

// hasServingLine reports whether a table, as last sent, has a usable server other than except; if except is cold, a
// warm one.
func (a *Assigner) hasServingLine(t *table, except *endpoint) bool {
	return slices.ContainsFunc(a.sortedEndpoints, func(e *endpoint) bool {
		serving := e != except && e.sentWeight[t.id] > 0 && !e.withdrawn && e.usable()
		return serving && (except == nil || a.warmUpShare(except) == 1 || a.warmUpShare(e) == 1)
	})
}

// updateLines updates the lines of tables in use. A line is removed only after its server is withdrawn, so that no
// table runs empty.
func (a *Assigner) updateLines(backlogShare float64) {
	hasReturningProxies := backlogShare == urgentBacklogShare && a.hasReturningProxies()
	for _, t := range a.tables {
		tableUsers := a.tableUsers(t)
		belongs := func(p *proxy) bool { return p.cell == t.cell || t.cell == nil && a.crossCellOpTypes != 0 }
		needed := slices.ContainsFunc(a.joinedProxies, func(p *proxy) bool { return p.placed && belongs(p) })
		for _, e := range a.sortedEndpoints {
			targetWeight, sentWeight := a.targetWeight(t, e), e.sentWeight[t.id]
			leaving := targetWeight == 0 && !e.usable()
			postponed := sentWeight != 0 && backlogShare == urgentBacklogShare && (leaving || targetWeight > sentWeight) ||
				len(tableUsers) == 0 && !needed
			postponed = postponed || hasReturningProxies && sentWeight == 0 || e.unhealthy && sentWeight > 0 || leaving &&
				!e.withdrawn && len(tableUsers) > 0
			lines := 1.0
			if sentWeight == 0 && a.config.KeepsWithdrawals {
				lines++ // one more for whether the server is withdrawn
			}
			u := deferrable
			if targetWeight < sentWeight && !leaving {
				u = prompt
			}
			if targetWeight != sentWeight && !postponed && a.reserveLines(backlogShare, u, lines, tableUsers...) {
				e.sentWeight[t.id] = targetWeight
				a.emit(control.PutLine{Table: t.id, Endpoint: e.id, Weight: targetWeight, Why: a.lineReason(e, sentWeight, targetWeight)})
			}
		}
	}
}

// dueTable returns the table that a proxy should be bound to.
func (a *Assigner) dueTable(p *proxy) *table {
	if p.cell != nil && (a.crossCellOpTypes == 0 || a.cellOpTypes != 0) {
		return p.cell.table
	}
	return a.tables[len(a.tables)-1]
}

// bindProxies binds proxies to the tables where they belong. With urgentBacklogShare it binds only proxies whose
// table has no serving line, and proxies on their standing table that keep no withdrawals of an earlier stream.
func (a *Assigner) bindProxies(backlogShare float64) {
	for _, p := range a.joinedProxies {
		t := a.dueTable(p)
		postponed := backlogShare == urgentBacklogShare &&
			(p.table != nil && a.hasServingLine(p.table, nil) || p.table == nil && p.keepsWithdrawals)
		if !p.placed || p.table == t || postponed || !a.hasServingLine(t, nil) {
			continue
		}
		binds := []control.Bind{{Table: t.id, Proxy: p.id, OpTypes: a.cellOpTypes, Why: p.placementWhy}}
		if commonTable := a.tables[len(a.tables)-1].id; p.table == nil && a.crossCellOpTypes != 0 {
			binds = append(binds, control.Bind{Table: commonTable, Proxy: p.id, OpTypes: a.crossCellOpTypes, Why: p.placementWhy})
		}
		lines := float64(len(binds))
		for _, e := range a.sortedEndpoints {
			for _, b := range binds {
				if e.sentWeight[b.Table] > 0 && (e.withdrawn || p.keepsWithdrawals) {
					lines += 2 // one for the line, one for whether its server is withdrawn
				} else if e.sentWeight[b.Table] > 0 {
					lines++
				}
			}
		}
		if a.reserveLines(backlogShare, a.bindUrgency(p), lines, p) {
			p.table = t
			for _, b := range binds {
				a.emit(b)
			}
		}
	}
}

// bindUrgency returns the urgency of the binding of a proxy to another table than the one that it uses.
func (a *Assigner) bindUrgency(p *proxy) urgency {
	switch {
	case p.table == nil:
		return firstTable
	case !a.hasServingLine(p.table, nil):
		return mandatory
	case p.table.cell != nil && !p.table.cell.live:
		return prompt
	}
	return deferrable
}

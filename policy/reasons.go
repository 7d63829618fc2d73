package policy

import "vetchdoor/control"

// leavingReasons has the reason for removing a server that is no longer ready, by its mode.
var leavingReasons = map[control.Mode]control.Reason{control.Gone: control.Unlisted, control.Draining: control.ListedAsDraining}

// lineReason returns the reason for changing the weight of a server's line from sentWeight to targetWeight.
func (a *Assigner) lineReason(e *endpoint, sentWeight, targetWeight float64) control.Why {
	switch {
	case e.mode != control.Ready:
		return control.Why{Reason: leavingReasons[e.mode]}
	case targetWeight == 0 && e.cell.closedToCold:
		return control.Why{Reason: control.CellOverloaded, Value: e.cell.loadPercent, Limit: overloadPercent}
	case targetWeight == 0 && a.worseFailShare(e.cell) > overloadFailureShare:
		return control.Why{Reason: control.Failing, Value: a.worseFailShare(e.cell), Limit: overloadFailureShare}
	case a.warmUpShare(e) < 1:
		return control.Why{Reason: control.Warming, Value: a.warmUpShare(e), Limit: 1}
	case e.easingShare < 1 && targetWeight < sentWeight:
		return control.Why{Reason: control.WeightReduced, Value: e.loadPercent,
			Limit: max(calmLoadPercent, a.loadPercent+loadDeviationPercent)}
	case e.healthChangedAt > control.LongAgo && a.weightShare(e) < e.easingShare:
		return control.Why{Reason: control.RampingUp, Value: a.weightShare(e), Limit: e.easingShare}
	case sentWeight > 0 && targetWeight > sentWeight && e.easedAt == a.now:
		return control.Why{Reason: control.WeightRestored, Value: e.loadPercent, Limit: a.loadPercent - loadDeviationPercent}
	}
	return control.Why{Reason: control.Listed, Value: e.listedWeight}
}

// withdrawalReason returns the reason for the server's withdrawal, or for its return if it is no longer withdrawn.
func (e *endpoint) withdrawalReason() control.Why {
	switch {
	case !e.withdrawn:
		return control.Why{Reason: control.Readmitted}
	case e.mode != control.Ready:
		return control.Why{Reason: leavingReasons[e.mode]}
	}
	return e.unhealthyWhy
}

// levelReason returns the reason for changing a level from previous, which is negative before the first level is sent.
func (a *Assigner) levelReason(previous, level float64) control.Why {
	switch {
	case previous < 0 && level == 1:
		return control.Why{Reason: control.InitialLevel}
	case level > previous && previous >= 0:
		return control.Why{Reason: control.LevelRestored, Value: a.loadPercent, Limit: calmLoadPercent}
	case a.loadPercent >= overloadPercent:
		return control.Why{Reason: control.Overload, Value: a.loadPercent, Limit: overloadPercent}
	case max(a.failingShare, a.failures.mean()) > overloadFailureShare:
		return control.Why{Reason: control.Failing, Value: max(a.failingShare, a.failures.mean()), Limit: overloadFailureShare}
	}
	return control.Why{Reason: control.Capacity, Value: a.workPerCapacity * a.capacity / max(a.offeredWork, epsilon), Limit: 1}
}

// placementReason returns the reason for the current cell of a proxy; previous is the cell that it left, nil if none.
func (a *Assigner) placementReason(p *proxy, previous *cell) control.Why {
	silentSeconds := func(c *cell) float64 { return (a.now - c.answeredAt).Seconds() }
	switch home := p.rankedCells[0]; {
	case previous != nil && !previous.live:
		return control.Why{Reason: control.CellDown, Value: silentSeconds(previous), Limit: silentCellTimeout.Seconds()}
	case p.cell == home:
		return control.Why{Reason: control.Home}
	case !home.live:
		return control.Why{Reason: control.HomeDown, Value: silentSeconds(home), Limit: silentCellTimeout.Seconds()}
	default:
		return control.Why{Reason: control.HomeFull, Value: a.fillPercent(home, p.demand), Limit: a.fillLimitPercent()}
	}
}

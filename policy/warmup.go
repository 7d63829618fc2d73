package policy

import "math"

// warmUpShare returns the part of its warm-up that a server has surely completed: 0 at its start, 1 when it is warm.
func (a *Assigner) warmUpShare(e *endpoint) float64 {
	return min(1, max(0, (a.now-e.startedAt).Seconds()/max(a.config.WarmUpTime.Seconds(), epsilon)))
}

// weightShare returns the share of its listed weight that a server gets: entryWeightShare at its start or return,
// then steps up to 1, times what easing leaves.
func (a *Assigner) weightShare(e *endpoint) float64 {
	rampShare := func(progress float64) float64 {
		return min(1, entryWeightShare+(1-entryWeightShare)*math.Floor(progress*entryWeightSteps)/entryWeightSteps)
	}
	returnProgress, warmUp := (a.now-e.healthChangedAt).Seconds()/(easingIntervalLags*a.feedbackLag()).Seconds(), a.warmUpShare(e)
	if a.config.AvoidAfterFailures == 0 { // proxies keep sending to a server that they overload
		warmUp *= warmUp
		if e.cell.failures.mean() > overloadFailureShare { // clients also repeat ops that failed at other servers
			warmUp *= warmUp
		}
	}
	return e.easingShare * min(rampShare(warmUp), rampShare(returnProgress))
}

// currentCapacity returns the work that a server is given and can surely do now, in units of listed weight.
func (a *Assigner) currentCapacity(e *endpoint) float64 {
	return e.listedWeight * min(a.weightShare(e),
		e.easingShare*(a.config.ColdCapacityShare+(1-a.config.ColdCapacityShare)*a.warmUpShare(e)))
}

// excludedWhileCold reports whether a cold server gets no weight: in an overloaded cell; early in its warm-up while
// many tries fail; or in a busy cell whose whole work would overload the server, if the cell has so little work that the
// server can soon do all of it.
func (a *Assigner) excludedWhileCold(e *endpoint) bool {
	youngShare := youngWarmUpShare
	if a.config.AvoidAfterFailures > 0 && float64(e.cell.warm) > mostlyWarmShare*float64(e.cell.ready) {
		youngShare = youngWarmUpShareIfAvoided
	}
	cellWork, capacityShare := e.cell.loadPercent/100*float64(e.cell.ready),
		a.config.ColdCapacityShare+(1-a.config.ColdCapacityShare)*a.warmUpShare(e)
	wouldOverload := a.warmUpShare(e) < youngWarmUpShare && e.cell.loadPercent > moderatePercent &&
		capacityShare*coldOverloadRatio < cellWork && cellWork < smallCellServers
	return a.warmUpShare(e) < 1 && e.cell.closedToCold || wouldOverload ||
		a.warmUpShare(e) < youngShare && a.worseFailShare(e.cell) > overloadFailureShare
}

package policy

import (
	"cmp"
	"math"

	"vetchdoor/control"
)

// opType holds what the decisions need of one op type.
type opType struct {
	costSeconds, revenuePerSecond float64 // seconds of work per op, estimated as its target latency; revenue per second of work
	level                         float64 // last level sent; negative before the first
}

// updateAdmission sets the share of the work that is admitted: the capacity of the servers over the offered work,
// less under overload and as tries fail.
func (a *Assigner) updateAdmission() {
	failingShare := a.failingShare // of the best cell: a single overloaded cell is relieved by moving proxies
	if a.loadPercent >= calmLoadPercent {
		failingShare = a.failures.mean()
	} else if a.loadPercent < moderatePercent { // failures at a low load are not due to overload
		failingShare = 0
	}
	overloaded := a.loadPercent >= overloadPercent || failingShare > overloadFailureShare
	gain := min(1, a.config.ReportInterval.Seconds()/a.feedbackLag().Seconds())
	a.laggedAdmittedShare += gain * (a.admittedShare - a.laggedAdmittedShare)
	if a.offeredWork == 0 || overloaded || a.laggedAdmittedShare < fullAdmissionShare {
		a.offeredWork = min(a.demand, cmp.Or(a.offeredWork, a.demand))
	} else {
		a.offeredWork += gain * (a.demand - a.offeredWork)
	}
	loadKnown := a.capacity > 0 && a.loadPercent > idleLoadPercent && a.now > settlingLags*a.feedbackLag()
	measuredWork := a.laggedAdmittedShare * a.offeredWork * 100 / max(a.loadPercent, idleLoadPercent) / max(a.capacity, epsilon)
	if loadKnown && (a.workPerCapacity == 0 || !overloaded ||
		a.laggedAdmittedShare > fullAdmissionShare && measuredWork < a.workPerCapacity) {
		a.workPerCapacity = cmp.Or(a.workPerCapacity, measuredWork)
		a.workPerCapacity += gain * (measuredWork - a.workPerCapacity)
	}
	share := 1.0 // everything is admitted until the capacity of the servers is known
	if a.workPerCapacity > 0 && a.offeredWork > 0 {
		share = capacityTargetShare * a.workPerCapacity * a.capacity / a.offeredWork
	}
	if sinceTrim := a.now - a.trimmedAt; overloaded && sinceTrim > a.feedbackLag() {
		a.overloadTrim, a.trimmedAt = capacityTargetShare*min(a.overloadTrim, 1/share), a.now
	} else if !overloaded && a.loadPercent < calmLoadPercent && sinceTrim > a.feedbackLag() {
		a.overloadTrim, a.trimmedAt = min(1, a.overloadTrim+admissionGainPerLag/2), a.now
	}
	goal := min(1, share*a.overloadTrim)
	if failingShare > overloadFailureShare {
		goal *= 1 - failingShare
	}
	a.admittedShare = max(minLevelShare, min(goal, a.admittedShare+admissionGainPerLag*gain))
}

// level returns the level of the op type at index: the share of its work that fits into the admitted work after the
// op types with more revenue per second of work. It is at least minLevelShare and rounded to steps of 2 percent.
func (a *Assigner) level(index int) float64 {
	total, betterPaid, own := 0.0, 0.0, 0.0
	for _, p := range a.joinedProxies {
		for j, rate := range p.workRates {
			total += rate
			if j == index {
				own += rate
			} else if revenueLead := a.opTypes[j].revenuePerSecond - a.opTypes[index].revenuePerSecond; revenueLead > 0 ||
				revenueLead == 0 && j < index {
				betterPaid += rate
			}
		}
	}
	if a.config.Levels != control.LevelShare || own <= 0 {
		return 1
	}
	return math.Round(50*min(1, max(minLevelShare, (a.admittedShare*total-betterPaid)/own))) / 50
}

// updateLevels sends the levels that changed. They forbid retries, which would make cold servers fail while the fleet
// is overloaded.
func (a *Assigner) updateLevels() {
	for i := range a.opTypes {
		op, level := &a.opTypes[i], a.level(i)
		u := deferrable
		if level < op.level {
			u = prompt
		}
		if level != op.level && a.reserveLines(deferrableBacklogShare, u, 1, a.joinedProxies...) {
			a.emit(control.SetLevel{Table: control.Everywhere, OpTypes: 1 << i, Level: level,
				RetryPolicy: control.RetryNever, Why: a.levelReason(op.level, level)})
			op.level = level
		}
	}
}

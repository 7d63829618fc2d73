package policy

import (
	"math"
	"slices"
	"time"

	"vetchdoor/control"
)

// failureTally counts servers with at least minTries tries and sums their shares of failed tries.
type failureTally struct{ servers, failShare float64 }

// add counts one server with its share of failed tries.
func (t *failureTally) add(share float64) { t.servers, t.failShare = t.servers+1, t.failShare+share }

// mean returns the mean share of failed tries, 0 if no server was counted.
func (t failureTally) mean() float64 { return t.failShare / max(1, t.servers) }

// updateHealth withdraws servers at which far more tries fail than elsewhere, and returns them to use when their
// spell is over.
//
// A server qualifies if it is warm, not overloaded and less loaded than the mean, or if nearly all its tries fail
// although it is not fully loaded; only the latter applies to cold servers. At most maxUnhealthyShare of a cell is
// withdrawn; beyond that only servers that lose nearly all tries, and only while another cell is healthy. Spells get
// longer with each one. Where writes go to a single pack, one usable server of each pack stays.
func (a *Assigner) updateHealth() {
	a.failures = failureTally{}
	for _, c := range a.cells {
		c.ready, c.warm, c.unhealthy, c.failures = 0, 0, 0, failureTally{}
	}
	decay := math.Exp(-a.config.ReportInterval.Seconds() / a.feedbackLag().Seconds())
	for _, e := range a.sortedEndpoints {
		e.tries *= decay
		if e.mode != control.Ready {
			continue
		}
		e.cell.ready++
		if a.warmUpShare(e) == 1 {
			e.cell.warm++
		}
		if e.unhealthy && a.now-e.healthChangedAt >= e.unhealthyFor {
			e.unhealthy, e.healthChangedAt, e.loadPercent, e.tries, e.failShare = false, a.now, -1, 0, 0
		}
		if e.unhealthy {
			e.cell.unhealthy++
		} else if e.tries >= minTries {
			a.failures.add(e.failShare)
			e.cell.failures.add(e.failShare)
		}
	}
	a.failingShare = 1
	for _, c := range a.cells {
		a.failingShare = min(a.failingShare, c.failures.mean())
		c.closedToCold = a.config.AvoidAfterFailures > 0 && // proxies then send all traffic to servers that still answer
			(c.loadReports == 0 || c.loadPercent >= overloadPercent || a.worseFailShare(c) > unhealthyMarginShare)
	}
	for _, e := range a.sortedEndpoints {
		if !e.usable() || e.tries < minTries {
			continue
		}
		ownFailShare, othersFailShare := e.failShare,
			min(a.failingShare, (a.failures.failShare-e.failShare)/max(1, a.failures.servers-1))
		losesEverything, belowUnhealthyLimit := ownFailShare > totalLossShare && e.loadPercent < fullLoadPercent,
			e.cell.unhealthy < int(maxUnhealthyShare*float64(e.cell.ready))
		lessLoaded := e.loadPercent < min(overloadPercent, a.loadPercent) && a.warmUpShare(e) == 1
		limit := othersFailShare + unhealthyMarginShare*(1+fewTriesMargins*minTries/e.tries)
		inSameGroup := func(o *endpoint) bool { return o != e && o.zonePack == e.zonePack && o.usable() }
		if ownFailShare > limit && (lessLoaded || losesEverything) &&
			(belowUnhealthyLimit || ownFailShare > totalLossShare && a.hasOtherHealthyCell(e.cell)) &&
			// Without a usable server the writes of its pack are refused.
			(!a.config.SinglePackWrites || slices.ContainsFunc(a.sortedEndpoints, inSameGroup)) {
			e.unhealthyFor = time.Duration((1 + a.randomShare()) * float64(a.feedbackLag()<<min(e.unhealthySpells, settlingLags)))
			e.unhealthy, e.healthChangedAt, e.unhealthySpells = true, a.now, e.unhealthySpells+1
			e.unhealthyWhy = control.Why{Reason: control.Unhealthy, Value: ownFailShare, Limit: limit}
			e.cell.unhealthy++
		}
	}
}

// hasOtherHealthyCell reports whether a cell other than except is live and fewer than half of its ready servers are
// unhealthy.
func (a *Assigner) hasOtherHealthyCell(except *cell) bool {
	return slices.ContainsFunc(a.cells, func(c *cell) bool { return c != except && c.live && 2*c.unhealthy < c.ready })
}

// worseFailShare returns the share of tries that fail in a cell or in the fleet, whichever is greater.
func (a *Assigner) worseFailShare(c *cell) float64 { return max(c.failures.mean(), a.failures.mean()) }

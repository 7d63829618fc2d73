package policy

import (
	"math"
	"slices"
	"time"

	"vetchdoor/control"
)

// endpoint holds the state of one server.
type endpoint struct {
	id           control.EndpointID
	area         int
	zonePack     [2]int // the zone and the pack within it
	cell         *cell
	listedWeight float64 // weight from the list, 1 if it gives none
	mode         control.Mode
	sentWeight   []float64 // weight last sent, by table
	// tries is the number of tries of all proxies, which decays over time; failShare is the moving average of the share
	// of them that failed.
	tries, failShare float64
	// loadPercent is negative before the first report; easingShare is the share of the weight that easing leaves.
	loadPercent, easingShare float64
	// withdrawn is the state that was last sent; unhealthy is the verdict of updateHealth.
	withdrawn, unhealthy bool
	unhealthySpells      int // times that it was found unhealthy since its start
	// startedAt is the last start of the server; healthChangedAt is the last change of unhealthy, or control.LongAgo.
	startedAt, healthChangedAt time.Duration
	// unhealthyFor is the length of the last unhealthy spell; easedAt is the time of the last change of easingShare.
	unhealthyFor, easedAt time.Duration
	lastListedAt          time.Duration // time of the last review at which it was listed
	drainedAt             time.Duration // time at which the list first had it as draining or not at all
	unhealthyWhy          control.Why   // reason of the last unhealthy spell
}

// usable reports whether the server is listed as ready and not found unhealthy.
func (e *endpoint) usable() bool { return e.mode == control.Ready && !e.unhealthy }

// applyListing updates the servers by the list or by changes to it. A full or cached list marks servers that it lacks
// as gone; a server with a later start than before begins anew.
func (a *Assigner) applyListing(listing control.Listing) {
	if listing.Kind == control.Failed && a.config.ListNeedsWatch {
		a.emit(control.WatchList{On: true})
	}
	if listing.Kind == control.Cached || listing.Kind == control.Full {
		for _, e := range a.sortedEndpoints {
			e.mode = control.Gone
		}
	}
	defer a.noteDrained()
	for _, entry := range listing.Entries {
		e := a.endpoints[entry.Endpoint]
		isNew := e == nil
		if isNew {
			e = &endpoint{id: entry.Endpoint, area: entry.Zone % a.areaCount, drainedAt: control.LongAgo}
			a.endpoints[e.id] = e
			a.sortedEndpoints = append(a.sortedEndpoints, e)
		}
		e.mode, e.listedWeight, e.zonePack = entry.Mode, 1, [2]int{entry.Zone, entry.Pack}
		if a.config.UseListedWeights && entry.Weight > 0 && !math.IsInf(entry.Weight, 0) {
			e.listedWeight = entry.Weight
		}
		if isNew || entry.Started > e.startedAt {
			e.startedAt, e.healthChangedAt, e.easedAt = entry.Started, control.LongAgo, control.LongAgo
			e.tries, e.failShare, e.loadPercent, e.easingShare, e.unhealthy, e.unhealthySpells = 0, 0, -1, 1, false, 0
		}
	}
	a.assignCells()
}

// noteDrained records since when servers are draining or not listed.
func (a *Assigner) noteDrained() {
	for _, e := range a.sortedEndpoints {
		if e.mode == control.Ready {
			e.drainedAt = control.LongAgo
		} else if e.drainedAt == control.LongAgo {
			e.drainedAt = a.now
		}
	}
}

// forgetGoneEndpoints removes servers that left the list long ago and that no proxy's table contains. It also ends
// the withdrawals of these servers.
func (a *Assigner) forgetGoneEndpoints() {
	standingTablesUsed := len(a.tableUsers(nil)) > 0
	a.sortedEndpoints = slices.DeleteFunc(a.sortedEndpoints, func(e *endpoint) bool {
		if e.mode != control.Gone {
			e.lastListedAt = a.now
		}
		inUse := func(t *table) bool { return e.sentWeight[t.id] != 0 && len(a.tableUsers(t)) > 0 }
		if standingTablesUsed || a.now-e.lastListedAt < retentionLags*a.feedbackLag() || slices.ContainsFunc(a.tables, inUse) {
			return false
		}
		// The end of a withdrawal is a message to all that were sent it, which counts where messages are limited.
		if e.withdrawn && a.config.MessageCap > 0 && !a.reserveLines(deferrableBacklogShare, deferrable, 1, a.joinedProxies...) {
			return false
		}
		for _, t := range a.tables {
			if e.sentWeight[t.id] != 0 {
				a.emit(control.PutLine{Table: t.id, Endpoint: e.id, Why: control.Why{Reason: control.Unlisted}})
			}
		}
		if e.withdrawn {
			e.withdrawn = false
			a.emit(control.Suspend{Endpoint: e.id, Why: e.withdrawalReason()})
			for _, p := range a.joinedProxies {
				p.keepsWithdrawals = a.config.KeepsWithdrawals
			}
		}
		delete(a.endpoints, e.id)
		return true
	})
}

// applyEndpointStats adds the statistics of the proxies' tries at a server, and the load that the server reported, to
// its moving averages.
func (a *Assigner) applyEndpointStats(stats control.EndpointStats) {
	e := a.endpoints[stats.Endpoint]
	if e == nil || stats.Tries <= 0 || stats.Window <= 0 {
		return
	}
	a.statsWindow += (stats.Window - a.statsWindow) / 8
	tries, failed := float64(stats.Tries), float64(min(stats.Failed, stats.Tries))
	e.tries += tries
	e.failShare += tries / (tries + minTries) * (failed/tries - e.failShare)
	if failed < tries {
		e.cell.answeredAt = a.now
	}
	if loadPercent := a.reportedLoadPercent(stats); loadPercent >= 0 && e.loadPercent < 0 {
		e.loadPercent = loadPercent
	} else if loadPercent >= 0 {
		e.loadPercent += tries / (tries + loadSmoothingTries) * (loadPercent - e.loadPercent)
	}
}

// reportedLoadPercent returns the load of a server in percent: its reported utilization where reports have one, else
// an estimate from the latency by a queueing model. It returns -1 if the statistics have neither.
func (a *Assigner) reportedLoadPercent(stats control.EndpointStats) float64 {
	if i := slices.Index(a.config.Measures, control.Util); i >= 0 && i < len(stats.Load) {
		return 100 * min(max(stats.Load[i], 0), 1)
	} else if i >= 0 || stats.Latency <= 0 {
		return -1
	}
	return 100 * math.Sqrt(max(0, 1-idleLatencyShare*a.meanTargetSeconds/stats.Latency.Seconds()))
}

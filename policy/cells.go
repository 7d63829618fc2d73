package policy

import (
	"cmp"
	"slices"
	"time"

	"vetchdoor/control"
)

// cell is a group of servers of one area that share a table.
type cell struct {
	table *table
	area  int
	// servers counts the listed servers; ready, warm and unhealthy count those of them that are in this state.
	servers, ready, warm, unhealthy int
	// live is set while the cell has capacity and answers; closedToCold is set while its load or
	// its share of failed tries is too high for cold servers, or its load is not known.
	live, closedToCold bool
	failures           failureTally // over its servers
	// liveChangedAt is the last change of live; answeredAt is the time of the last statistics with an answered try.
	liveChangedAt, answeredAt time.Duration
	// demand is the work per second of the cell's proxies, capacity that of its servers in units of listed weight.
	// loadPercent is the mean load of its servers, score the mean of load and fill in percent, and loadReports the number
	// of servers whose load is known.
	demand, capacity, loadPercent, score, loadReports float64
}

// createCells creates the cells of each area from the first list: as many as leave enough servers and proxies for
// each cell.
func (a *Assigner) createCells() {
	serversByArea := make([]float64, a.areaCount)
	for _, e := range a.sortedEndpoints {
		serversByArea[e.area]++
	}
	for area, serverCount := range serversByArea {
		areaProxies := float64(a.config.Proxies) * serverCount / max(1, float64(len(a.sortedEndpoints)))
		maxCells := min(serverCount/(minStandingTablesPerCell*float64(max(1, a.config.StandingTableLines))),
			areaProxies/minProxiesPerCell)
		for range max(1, int(maxCells)) {
			t := &table{id: control.TableID(len(a.tables))}
			t.cell = &cell{table: t, area: area, live: true, liveChangedAt: control.LongAgo, answeredAt: a.now}
			a.cells, a.tables = append(a.cells, t.cell), append(a.tables, t)
		}
	}
	a.tables = append(a.tables, &table{id: control.TableID(len(a.tables))})
	if a.config.CrossCellOpTypes != 0 && len(a.cells) > 1 {
		a.crossCellOpTypes, a.cellOpTypes = a.config.CrossCellOpTypes, (1<<len(a.opTypes)-1)&^a.config.CrossCellOpTypes
	}
}

// assignCells adds each new server, in order of ids, to the cell of its area with the fewest servers. The first call
// creates the cells.
func (a *Assigner) assignCells() {
	slices.SortFunc(a.sortedEndpoints, func(x, y *endpoint) int { return cmp.Compare(x.id, y.id) })
	if a.cells == nil {
		a.createCells()
	}
	for _, e := range a.sortedEndpoints {
		if e.cell != nil {
			continue
		}
		for _, c := range a.cells {
			if c.area == e.area && (e.cell == nil || c.servers < e.cell.servers) {
				e.cell = c
			}
		}
		e.cell.servers++
		e.sentWeight = make([]float64, len(a.tables))
	}
}

// updateCells computes the capacity, demand, load and score of each cell, and whether it is live: it has capacity
// and, as far as can be seen, answers. A silent cell stays live unless another cell is healthy.
func (a *Assigner) updateCells() {
	a.capacity, a.demand, a.loadPercent = 0, 0, 0
	loadReports := 0.0
	for _, c := range a.cells {
		c.servers, c.capacity, c.demand, c.loadPercent, c.loadReports = 0, 0, 0, 0, 0
	}
	for _, e := range a.sortedEndpoints {
		c := e.cell
		if e.mode != control.Gone {
			c.servers++
		}
		if e.usable() {
			c.capacity, a.capacity = c.capacity+a.currentCapacity(e), a.capacity+a.currentCapacity(e)
		}
		if e.usable() && e.loadPercent >= 0 {
			c.loadPercent, c.loadReports = c.loadPercent+e.loadPercent, c.loadReports+1
			a.loadPercent, loadReports = a.loadPercent+e.loadPercent, loadReports+1
		}
	}
	a.loadPercent /= max(1, loadReports)
	expiry := a.now - retentionLags*a.feedbackLag()
	a.knownProxies = slices.DeleteFunc(a.knownProxies, func(p *proxy) bool { return p.disconnected && p.leftAt < expiry })
	for _, p := range a.knownProxies {
		a.demand += p.demand
		for _, c := range a.cells {
			if p.cell == c {
				c.demand += p.demand
			} else if p.cell == nil && p.table != nil {
				c.demand += p.demand * c.capacity / max(a.capacity, epsilon)
			}
		}
	}
	missingProxies := float64(a.config.Proxies)/max(1, float64(a.config.Instances)) - float64(len(a.knownProxies))
	// Proxies that have yet to join count like the mean of the known ones.
	a.demand *= 1 + max(0, missingProxies)/max(1, float64(len(a.knownProxies)))
	for _, c := range a.cells {
		if c.loadPercent /= max(1, c.loadReports); c.loadReports == 0 {
			c.loadPercent = a.loadPercent
		}
		silentFor, silenceLimit := a.now-max(c.answeredAt, c.liveChangedAt), max(silentCellTimeout, settlingLags*a.feedbackLag())
		silent := c.live && c.demand > 0 && silentFor > silenceLimit ||
			!c.live && c.answeredAt < c.liveChangedAt && silentFor < silenceLimit
		if nowLive := c.capacity > 0 && !(silent && a.hasOtherHealthyCell(c)); nowLive != c.live {
			c.live, c.liveChangedAt = nowLive, a.now
		}
		c.score = (c.loadPercent + a.fillPercent(c, 0)) / 2
	}
}

// fillPercent returns the share of the demand that a cell has, with extraDemand added, over its share of the
// capacity, scaled so that equal shares give evenFillPercent.
func (a *Assigner) fillPercent(c *cell, extraDemand float64) float64 {
	return (c.demand + extraDemand) / max(a.demand, epsilon) * a.capacity / max(c.capacity, epsilon) * evenFillPercent
}

// fillLimitPercent returns the fill up to which a cell accepts proxies. It is higher the more crossing zones costs,
// so that a proxy then stays in its zone although the load is uneven.
func (a *Assigner) fillLimitPercent() float64 {
	return evenFillPercent * min(fullLoadPercent/cmp.Or(a.loadPercent, moderatePercent),
		1+fillRatioPerCrossZonePrice*a.config.CrossZonePrice)
}

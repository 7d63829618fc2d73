package policy

import (
	"cmp"
	"math"
	"slices"

	"vetchdoor/control"
)

// placeProxies finds a place for proxies that have none and for those whose cell is down or overfilled: the first
// live cell in the proxy's ranking if it has room, else the common table or the least filled cell.
func (a *Assigner) placeProxies() {
	a.updateCells()
	if a.capacity <= 0 {
		return
	}
	for _, p := range a.joinedProxies {
		if p.placed && (p.cell == nil || p.cell.live && a.fillPercent(p.cell, 0) <= max(shedScorePercent, a.fillLimitPercent())) {
			continue
		}
		if p.cell != nil {
			p.cell.demand -= p.demand
		}
		a.rankCells(p)
		previous := p.cell
		p.placed, p.cell = true, nil
		index := slices.IndexFunc(p.rankedCells, func(c *cell) bool { return c.live })
		if index >= 0 && a.fillPercent(p.rankedCells[index], p.demand) <= a.fillLimitPercent() {
			p.cell = p.rankedCells[index]
		} else if !a.usesCommonTable(p) {
			fillWithProxy := func(c *cell) float64 { return a.fillPercent(c, p.demand) }
			p.cell = slices.MinFunc(a.cells, func(x, y *cell) int { return cmp.Compare(fillWithProxy(x), fillWithProxy(y)) })
		}
		p.placementWhy = a.placementReason(p, previous)
		if p.cell != nil {
			p.cell.demand += p.demand
		}
	}
}

// usesCommonTable reports whether a proxy without room in its cell goes to the common table: every proxy in a small
// fleet, else a proxy whose demand is too great for any single cell.
func (a *Assigner) usesCommonTable(p *proxy) bool {
	heavy := p.demand/max(a.demand, epsilon)*float64(len(a.cells))*evenFillPercent > a.fillLimitPercent()
	smallFleet := 3*len(a.tables) <= a.config.Proxies &&
		len(a.sortedEndpoints) <= smallFleetStandingTables*a.config.StandingTableLines
	return len(a.cells) > 1 && (heavy || smallFleet)
}

// rankCells orders the cells for a proxy by weighted rendezvous hashing of its id. Cells weigh by their servers,
// those in the proxy's area more if crossing zones has a price.
func (a *Assigner) rankCells(p *proxy) {
	ownZoneFactor := 1 + math.Pow(homeRatioPerCrossZonePrice*a.config.CrossZonePrice, 2)
	sortKey := func(c *cell) float64 {
		hash := (uint64(p.id)+1)*0x9E3779B97F4A7C15 ^ (uint64(c.table.id)+1)*0xC2B2AE3D27D4EB4F
		hash = (hash ^ hash>>31) * 0xBF58476D1CE4E5B9
		weight := float64(c.servers)
		if p.zone%a.areaCount == c.area {
			weight *= ownZoneFactor
		}
		return -math.Log((float64((hash^hash>>29)>>11)+0.5)/(1<<53)) / max(weight, epsilon)
	}
	p.rankedCells = slices.Clone(a.cells)
	slices.SortStableFunc(p.rankedCells, func(x, y *cell) int { return cmp.Compare(sortKey(x), sortKey(y)) })
}

// moveOneProxy moves at most one proxy per feedback lag: back to its home cell if that has room again, or off the
// live cell with the highest score to the cell with the lowest or to the common table.
func (a *Assigner) moveOneProxy() {
	live := slices.DeleteFunc(slices.Clone(a.cells), func(c *cell) bool { return !c.live })
	if len(a.cells) < 2 || len(live) < 1 || a.now-a.movedAt < a.feedbackLag() {
		return
	}
	score := func(x, y *cell) int { return cmp.Compare(x.score, y.score) }
	highest, lowest, fillLimit := slices.MaxFunc(live, score), slices.MinFunc(live, score), a.fillLimitPercent()
	for _, p := range a.joinedProxies {
		if !p.placed || p.cell == p.rankedCells[0] || p.rankedCells[0].loadPercent >= calmLoadPercent {
			continue
		}
		home := p.rankedCells[0]
		if home.live && a.now-home.liveChangedAt >= settlingLags*a.feedbackLag() &&
			a.fillPercent(home, p.demand) <= fillLimit-hysteresisPercent {
			p.cell, a.movedAt = home, a.now
			p.placementWhy = control.Why{Reason: control.ReturnedHome, Value: a.fillPercent(home, p.demand),
				Limit: fillLimit - hysteresisPercent}
			return
		}
	}
	overfilled := a.fillPercent(highest, 0) > fillLimit+hysteresisPercent ||
		highest.loadPercent > max(overloadPercent, a.loadPercent+hysteresisPercent)
	candidates := slices.DeleteFunc(slices.Clone(a.joinedProxies), func(p *proxy) bool { return p.cell != highest })
	if highest.score <= shedScorePercent && !overfilled || len(candidates) == 0 {
		return
	}
	slices.SortStableFunc(candidates, func(x, y *proxy) int { return cmp.Compare(x.demand, y.demand) })
	index := slices.IndexFunc(candidates, func(p *proxy) bool {
		return a.fillPercent(highest, -p.demand) <= fillLimit-hysteresisPercent
	})
	if index < 0 {
		index = len(candidates) - 1
	}
	candidates[index].cell, a.movedAt = nil, a.now
	candidates[index].placementWhy = control.Why{Reason: control.Shed, Value: highest.score, Limit: shedScorePercent}
	if highest.score <= shedScorePercent {
		candidates[index].placementWhy = control.Why{Reason: control.Shed, Value: a.fillPercent(highest, 0),
			Limit: fillLimit + hysteresisPercent}
	}
	if lowest != highest && ((lowest.loadPercent+a.fillPercent(lowest, candidates[index].demand))/2 < moderatePercent ||
		!a.usesCommonTable(candidates[index])) {
		candidates[index].cell = lowest
	}
}

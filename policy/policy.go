// Package policy is the decision module of vetchdoor: Assigner.Decide takes the events of one instance and returns
// the orders that follow. It performs no I/O and reads no clock. Package control has the interface, docs/design.md the
// design and its exceptions.
package policy

import (
	"math"
	"time"

	"vetchdoor/control"
)

// Assigner makes the decisions of one instance. The zero value is ready for Decide; its first event must be
// control.Start.
type Assigner struct {
	config control.Config
	// now is the time of the current events; statsWindow is the moving average of the period that statistics span.
	now, statsWindow time.Duration
	randomState      uint64 // state of the generator of randomShare
	endpoints        map[control.EndpointID]*endpoint
	proxies          map[control.ProxyID]*proxy // joined proxies
	sortedEndpoints  []*endpoint                // all of endpoints, by id
	// joinedProxies are the joined proxies by id; knownProxies also include those that disconnected lately.
	joinedProxies, knownProxies []*proxy
	opTypes                     []opType
	areaCount                   int // zones, or pairs of zones; each area has its own cells
	cells                       []*cell
	tables                      []*table // tables of the cells and, last, the common table
	// crossCellOpTypes has the bits of the op types for which every proxy uses the common table, cellOpTypes the bits of the
	// remaining op types; a cellOpTypes of 0 stands for all op types.
	crossCellOpTypes, cellOpTypes uint16
	orders                        []control.Order
	checkpoint                    int  // number of the last checkpoint
	backlogFull                   bool // an order waits for room in the backlog
	// backlogLines counts the lines for all proxies that are sent or being written and not yet confirmed;
	// meanTargetSeconds is the mean target latency of the op types.
	backlogLines, meanTargetSeconds float64
	// demand is the work per second of all known proxies, raised for those that have yet to join; capacity is that of the
	// usable servers in units of listed weight, and loadPercent their mean load.
	demand, capacity, loadPercent float64
	// workPerCapacity is the work per second that a unit of capacity does at full load, 0 before it is known; offeredWork
	// is the work per second that clients offer, without repeats of rejected ops.
	workPerCapacity, offeredWork float64
	failures                     failureTally // over usable servers
	failingShare                 float64      // mean share of failed tries in the cell where it is least
	// admittedShare is the share of the work that is admitted; laggedAdmittedShare follows it one feedback lag behind, as
	// statistics do; overloadTrim is the factor, at most 1, by which overload reduces it.
	admittedShare, laggedAdmittedShare, overloadTrim float64
	// movedAt is the time of the last move by moveOneProxy, trimmedAt of the last change of overloadTrim;
	// messageTimerAt is the time of the last requested review of orders that MessageCap holds back.
	movedAt, trimmedAt, messageTimerAt time.Duration
}

// Decide applies the events of one moment, in order, and returns the orders that follow from them. now is the time
// since the start of the instance. The same events at the same times give the same orders. Events before the first
// control.Start are ignored.
func (a *Assigner) Decide(now time.Duration, events []control.Event) []control.Order {
	a.now, a.orders = now, nil
	review := false
	for _, event := range events {
		if startEvent, ok := event.(control.Start); ok {
			a.start(startEvent)
		}
		if a.endpoints != nil {
			review = a.apply(event) || review
		}
	}
	if review {
		a.sendOrders()
	}
	return a.orders
}

// apply updates the state by one event and reports whether the orders need a review.
func (a *Assigner) apply(event control.Event) bool {
	switch event := event.(type) {
	case control.Listing:
		a.applyListing(event)
		return true
	case control.Joined:
		a.joinProxy(event)
		return true
	case control.Left:
		a.leaveProxy(event.Proxy)
	case control.InForce:
		a.confirmCheckpoint(event)
		return a.backlogFull
	case control.EndpointStats:
		a.applyEndpointStats(event)
	case control.Arrivals:
		a.applyArrivals(event)
	case control.TimerFired:
		if event.Label == reviewTimerLabel {
			a.emit(control.SetTimer{After: a.config.ReportInterval, Label: reviewTimerLabel})
			a.forgetGoneEndpoints()
			a.updateHealth()
			a.updateCells()
			a.updateEasing()
			a.updateAdmission()
			a.moveOneProxy()
		}
		return event.Label == reviewTimerLabel || event.Label == messageTimerLabel
	}
	return false
}

func (a *Assigner) emit(order control.Order) { a.orders = append(a.orders, order) }

// randomShare returns a number from 0 to 1 from a multiply-with-carry generator.
func (a *Assigner) randomShare() float64 {
	a.randomState = 4294957665*(a.randomState&math.MaxUint32) + a.randomState>>32
	return float64(a.randomState&math.MaxUint32) / math.MaxUint32
}

// start resets the instance to the configuration of a Start event.
func (a *Assigner) start(startEvent control.Start) {
	*a = Assigner{config: startEvent.Config, now: a.now, randomState: startEvent.Seed>>1 | 1, admittedShare: 1,
		laggedAdmittedShare: 1, overloadTrim: 1,
		endpoints: map[control.EndpointID]*endpoint{},
		proxies:   map[control.ProxyID]*proxy{}}
	a.config.ReportInterval = max(a.config.ReportInterval, a.config.Tick, 100*time.Millisecond)
	for _, opTypeConfig := range a.config.OpTypes {
		costSeconds := max(opTypeConfig.TargetLatency, time.Millisecond).Seconds()
		a.opTypes = append(a.opTypes, opType{costSeconds: costSeconds,
			revenuePerSecond: opTypeConfig.Revenue / costSeconds, level: -1})
		a.meanTargetSeconds += costSeconds / float64(len(a.config.OpTypes))
	}
	a.areaCount = max(1, a.config.Zones)
	if a.config.CrossZonePrice < cheapCrossZonePrice {
		a.areaCount = (a.areaCount + 1) / 2
	}
	if a.config.ListNeedsWatch {
		a.emit(control.WatchList{On: true})
	}
	a.emit(control.SetTimer{After: a.config.ReportInterval, Label: reviewTimerLabel})
}

// feedbackLag returns the time until a change shows in the statistics.
func (a *Assigner) feedbackLag() time.Duration {
	return a.statsWindow + a.config.ReportInterval + a.config.MaxPushDelay
}

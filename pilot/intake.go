package pilot

import (
	"cmp"
	"slices"
	"time"

	"vetchdoor/control"
	"vetchdoor/runtime"
)

// intake aggregates the sums that proxies report and releases them to the module, oldest first, at a limited rate of lines.
// Sums that have to wait are added to later ones of the same key. It does no I/O.
type intake struct {
	linesPerSecond float64
	credit         float64                       // lines that may be released now
	measureCount   int                           // length of a valid load report
	isKnown        func(control.EndpointID) bool // endpoints whose sums are kept; nil: all
	opTypeCount    int                           // number of op types; 0: not checked
	endpoints      map[endpointKey]*pendingSum
	arrivals       map[arrivalKey]*pendingSum
}

// endpointKey identifies the sum of the tries that the proxies of one zone made at an endpoint.
type endpointKey struct {
	zone     int
	endpoint control.EndpointID
}

// arrivalKey identifies the sum of the ops of one type that came to a proxy.
type arrivalKey struct {
	proxy  control.ProxyID
	opType int
}

// pendingSum is one line that waits to be released.
type pendingSum struct {
	from, to      time.Duration // time range of the sum
	count, failed int
	totalLatency  time.Duration // sum of the latencies of successful tries
	load          []float64     // latest load report
}

// newIntake returns an intake with a rate in lines per second, for load reports with the given number of measures.
func newIntake(linesPerSecond float64, measureCount int) *intake {
	return &intake{linesPerSecond: linesPerSecond, measureCount: measureCount, endpoints: map[endpointKey]*pendingSum{},
		arrivals: map[arrivalKey]*pendingSum{}}
}

// add adds a report of a proxy. Sums of unknown endpoints and op types are ignored.
func (in *intake) add(now time.Duration, id control.ProxyID, zone int, s *runtime.Sums) {
	for _, t := range s.Types {
		if in.opTypeCount > 0 && t.OpType >= in.opTypeCount {
			continue
		}
		sum := pendingSumFor(in.arrivals, arrivalKey{id, t.OpType}, now, s.Window)
		sum.count, sum.failed = sum.count+t.Ops, sum.failed+min(t.Unacked, t.Ops)
	}
	for _, e := range s.Servers {
		if in.isKnown != nil && !in.isKnown(e.Endpoint) {
			continue
		}
		sum := pendingSumFor(in.endpoints, endpointKey{zone, e.Endpoint}, now, s.Window)
		failed := min(e.Failed, e.Tries)
		sum.count, sum.failed = sum.count+e.Tries, sum.failed+failed
		sum.totalLatency += e.Latency * time.Duration(e.Tries-failed)
		if len(e.Load) == in.measureCount && in.measureCount > 0 {
			sum.load = e.Load
		}
	}
}

// pendingSumFor returns the waiting line of a key, creating it if needed, with its time range extended by the window before
// now.
func pendingSumFor[K comparable](m map[K]*pendingSum, k K, now, window time.Duration) *pendingSum {
	sum := m[k]
	if sum == nil {
		sum = &pendingSum{from: now - window}
		m[k] = sum
	}
	sum.from, sum.to = min(sum.from, now-window), now
	return sum
}

// dropProxy discards the waiting arrivals of a proxy that left.
func (in *intake) dropProxy(id control.ProxyID) {
	for k := range in.arrivals {
		if k.proxy == id {
			delete(in.arrivals, k)
		}
	}
}

// drain returns the events that the rate allows now, if it is called once per period. Unused rate of one period is carried
// over.
func (in *intake) drain(period time.Duration) (events []control.Event) {
	in.credit = min(in.credit, in.linesPerSecond*period.Seconds()) + in.linesPerSecond*period.Seconds()
	type waitingLine struct {
		from  time.Duration
		order [3]int
		event func() control.Event
	}
	var lines []waitingLine
	for k, sum := range in.endpoints {
		lines = append(lines, waitingLine{sum.from, [3]int{0, k.zone, int(k.endpoint)}, func() control.Event {
			delete(in.endpoints, k)
			d := control.EndpointStats{Zone: k.zone, Endpoint: k.endpoint, Tries: sum.count, Failed: sum.failed, Window: sum.to - sum.from,
				Load: sum.load}
			if sum.count > sum.failed {
				d.Latency = sum.totalLatency / time.Duration(sum.count-sum.failed)
			}
			return d
		}})
	}
	for k, sum := range in.arrivals {
		lines = append(lines, waitingLine{sum.from, [3]int{1, int(k.proxy), k.opType}, func() control.Event {
			delete(in.arrivals, k)
			return control.Arrivals{Proxy: k.proxy, OpType: k.opType, Ops: sum.count, Unacked: sum.failed, Window: sum.to - sum.from}
		}})
	}
	slices.SortFunc(lines, func(a, b waitingLine) int {
		return cmp.Or(cmp.Compare(a.from/time.Second, b.from/time.Second), slices.Compare(a.order[:], b.order[:]))
	})
	for _, l := range lines {
		if in.credit < 1 {
			break
		}
		in.credit--
		events = append(events, l.event())
	}
	return events
}

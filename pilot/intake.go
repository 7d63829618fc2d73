package pilot

import (
	"cmp"
	"slices"
	"time"

	"vetchdoor/control"
	"vetchdoor/runtime"
)

// intake gathers the proxies' sums and hands them to the module, the oldest first, no more than so many lines a second;
// what has to wait adds up. It is free of I/O.
type intake struct {
	perSecond float64
	room      float64
	measures  int
	known     func(control.EndpointID) bool // whose sums are kept; nil: all
	types     int                           // op types that there are; 0: any number
	digests   map[digestKey]*gathered
	arrivals  map[arrivalKey]*gathered
}

type digestKey struct {
	zone     int
	endpoint control.EndpointID
}

type arrivalKey struct {
	proxy  control.ProxyID
	opType int
}

// gathered is one line that waits.
type gathered struct {
	from, to time.Duration
	n, bad   int
	good     time.Duration // total latency of the good ones
	load     []float64
}

func newIntake(perSecond float64, measures int) *intake {
	return &intake{perSecond: perSecond, measures: measures, digests: map[digestKey]*gathered{},
		arrivals: map[arrivalKey]*gathered{}}
}

// add takes a proxy's sums in.
func (in *intake) add(now time.Duration, id control.ProxyID, zone int, s *runtime.Sums) {
	for _, t := range s.Types {
		if in.types > 0 && t.OpType >= in.types {
			continue
		}
		g := gather(in.arrivals, arrivalKey{id, t.OpType}, now, s.Window)
		g.n, g.bad = g.n+t.Ops, g.bad+min(t.Unacked, t.Ops)
	}
	for _, e := range s.Servers {
		if in.known != nil && !in.known(e.Endpoint) {
			continue
		}
		g := gather(in.digests, digestKey{zone, e.Endpoint}, now, s.Window)
		failed := min(e.Failed, e.Tries)
		g.n, g.bad = g.n+e.Tries, g.bad+failed
		g.good += e.Latency * time.Duration(e.Tries-failed)
		if len(e.Load) == in.measures && in.measures > 0 {
			g.load = e.Load
		}
	}
}

func gather[K comparable](m map[K]*gathered, k K, now, window time.Duration) *gathered {
	g := m[k]
	if g == nil {
		g = &gathered{from: now - window}
		m[k] = g
	}
	g.from, g.to = min(g.from, now-window), now
	return g
}

// forget drops what waits of a proxy that left.
func (in *intake) forget(id control.ProxyID) {
	for k := range in.arrivals {
		if k.proxy == id {
			delete(in.arrivals, k)
		}
	}
}

// take returns what the module is given now, a period after the last call.
func (in *intake) take(period time.Duration) (events []control.Event) {
	in.room = min(in.room, in.perSecond*period.Seconds()) + in.perSecond*period.Seconds()
	type waitingLine struct {
		from  time.Duration
		order [3]int
		event func() control.Event
	}
	var lines []waitingLine
	for k, g := range in.digests {
		lines = append(lines, waitingLine{g.from, [3]int{0, k.zone, int(k.endpoint)}, func() control.Event {
			delete(in.digests, k)
			d := control.EndpointStats{Zone: k.zone, Endpoint: k.endpoint, Tries: g.n, Failed: g.bad, Window: g.to - g.from,
				Load: g.load}
			if g.n > g.bad {
				d.Latency = g.good / time.Duration(g.n-g.bad)
			}
			return d
		}})
	}
	for k, g := range in.arrivals {
		lines = append(lines, waitingLine{g.from, [3]int{1, int(k.proxy), k.opType}, func() control.Event {
			delete(in.arrivals, k)
			return control.Arrivals{Proxy: k.proxy, OpType: k.opType, Ops: g.n, Unacked: g.bad, Window: g.to - g.from}
		}})
	}
	slices.SortFunc(lines, func(a, b waitingLine) int {
		return cmp.Or(cmp.Compare(a.from/time.Second, b.from/time.Second), slices.Compare(a.order[:], b.order[:]))
	})
	for _, l := range lines {
		if in.room < 1 {
			break
		}
		in.room--
		events = append(events, l.event())
	}
	return events
}

package lab

import (
	"fmt"
	"io"
	"time"

	"vetchdoor/files"
)

// ServiceScore rates the service of a day: revenue answered within the target latency over revenue asked for, combined with
// the worst period and the worst op type, less the prices. All shares are between 0 and 1.
type ServiceScore struct {
	Score       float64        `json:"figure"`       // weighted mean of the shares below, less Price
	Whole       float64        `json:"whole"`        // over the whole day
	WorstWindow float64        `json:"worst_window"` // worst period of 10 seconds
	WorstType   float64        `json:"worst_type"`   // worst op type
	Tail        float64        `json:"tail"`         // see tailShare
	Price       float64        `json:"price"`
	Types       []OpTypeResult `json:"types"`
}

// OpTypeResult counts the outcomes of one op type.
type OpTypeResult struct {
	Name     string  `json:"name"`
	Ops      int     `json:"ops"`
	InTime   int     `json:"in_time"`  // acked within the target latency
	Late     int     `json:"late"`     // acked after the target latency
	Rejected int     `json:"rejected"` // refused and certainly not run
	Aborted  int     `json:"aborted"`  // neither acked nor rejected
	Service  float64 `json:"service"`
}

// costs counts what the prices are charged on: traffic across zones, wasted work, connections, handshakes and message
// lines.
type costs struct {
	crossZone, tries  int
	work, wasted      time.Duration
	offered           time.Duration // total work of the ops
	handshakes, nodes int
	connections       float64 // mean number of open connections to nodes
	lines             int
	channelLines      float64 // lines that the pilots could have sent during the run
}

// revenueShare accumulates revenue earned and revenue asked for.
type revenueShare struct{ earned, offered float64 }

// share returns the earned share of the revenue asked for, from 0 to 1; 1 if none was asked for.
func (p revenueShare) share() float64 {
	if p.offered == 0 {
		return 1
	}
	return p.earned / p.offered
}

// scoreService computes the service score from what the clients saw.
func scoreService(d *files.Day, ops []*op, s costs) ServiceScore {
	types := d.Service.Types()
	out := ServiceScore{Types: make([]OpTypeResult, len(types))}
	var whole revenueShare
	byType := make([]revenueShare, len(types))
	const worstWindowLength = 10 * time.Second
	windows := make([]revenueShare, int(d.Length.AsDuration()/time.Second)+1)
	tails := make([]map[int]*tailWindow, len(types))
	lateFailRevenue := 0.0
	for i := range tails {
		tails[i] = map[int]*tailWindow{}
		out.Types[i].Name = d.Service.OpTypes[i].Name
	}
	for _, o := range ops {
		t, line := &types[o.opType], &out.Types[o.opType]
		earned := 0.0
		inTime := o.outcome == opAcked && o.latency() <= t.TargetLatency
		line.Ops++
		switch {
		case inTime:
			earned = t.Revenue
			line.InTime++
		case o.outcome == opAcked:
			earned = t.Revenue * t.LateShare
			line.Late++
		case o.outcome == opRejected:
			line.Rejected++
		default:
			line.Aborted++
		}
		if o.outcome != opAcked && o.latency() > t.TargetLatency {
			lateFailRevenue += t.Revenue
		}
		add := func(p *revenueShare) { p.earned, p.offered = p.earned+earned, p.offered+t.Revenue }
		add(&whole)
		add(&byType[o.opType])
		add(&windows[min(int(o.due/time.Second), len(windows)-1)])
		windowIndex := int(o.due / (5 * time.Second))
		if tails[o.opType][windowIndex] == nil {
			tails[o.opType][windowIndex] = &tailWindow{}
		}
		w := tails[o.opType][windowIndex]
		w.offered, w.ops = w.offered+t.Revenue, w.ops+1
		if inTime {
			w.earned += t.Revenue
		} else if !(o.outcome == opRejected && o.latency() <= t.TargetLatency) {
			w.missed++
		}
	}
	out.Whole, out.WorstType, out.WorstWindow = whole.share(), 1, 1
	for i, p := range byType {
		out.Types[i].Service = p.share()
		out.WorstType = min(out.WorstType, p.share())
	}
	windowSeconds := int(worstWindowLength / time.Second)
	for i := range windows {
		if i+windowSeconds > len(windows) && i > 0 {
			break
		}
		var w revenueShare
		for _, p := range windows[i:min(i+windowSeconds, len(windows))] {
			w.earned, w.offered = w.earned+p.earned, w.offered+p.offered
		}
		out.WorstWindow = min(out.WorstWindow, w.share())
	}
	out.Tail = tailShare(tails, d.Goal.TailMiss)
	g := &d.Goal
	sum := g.Whole + g.WorstWindow + g.WorstType + g.Tail
	if sum > 0 {
		out.Score = (g.Whole*out.Whole + g.WorstWindow*out.WorstWindow + g.WorstType*out.WorstType + g.Tail*out.Tail) / sum
	}
	out.Price = price(&d.Prices, s, lateFailRevenue, whole.offered, len(ops))
	out.Score -= out.Price
	return out
}

// tailWindow counts the ops of one op type within a window of five seconds.
type tailWindow struct {
	earned, offered float64
	ops, missed     int // missed: not acked within the target latency, nor rejected within it
}

// tailShare returns the share of the revenue that counts when each window is weighted by its share of missed ops:
// the weight is 1 up to maxMiss and then falls linearly to 0 at five times maxMiss.
func tailShare(tails []map[int]*tailWindow, maxMiss float64) float64 {
	var all revenueShare
	for _, windows := range tails {
		for _, w := range windows {
			all.offered += w.offered
			miss := float64(w.missed) / float64(w.ops)
			switch {
			case miss <= maxMiss:
				all.earned += w.earned
			case miss < 5*maxMiss:
				all.earned += w.earned * (5*maxMiss - miss) / (4 * maxMiss)
			}
		}
	}
	return all.share()
}

// price returns the sum of the prices, each multiplied by the weight that the day sets. Most prices are
// relative to the number of ops or to the revenue asked for.
func price(p *files.Prices, s costs, lateFailRevenue, revenueAsked float64, ops int) float64 {
	if ops == 0 {
		return 0
	}
	opCount := float64(ops)
	total := p.CrossZone * float64(s.crossZone) / opCount
	if s.offered > 0 {
		total += p.Waste * float64(s.wasted) / float64(s.offered)
	}
	if s.nodes > 0 {
		total += p.Connection * s.connections / (100 * float64(s.nodes))
	}
	total += p.Handshake * float64(s.handshakes) / opCount
	if revenueAsked > 0 {
		total += p.LateFail * lateFailRevenue / revenueAsked
	}
	if s.channelLines > 0 {
		total += p.Orders * float64(s.lines) / s.channelLines
	}
	return total
}

// Report is the result of a run. Durations are in nanoseconds in the JSON form.
type Report struct {
	Day               string        `json:"day"`
	Seed              uint64        `json:"seed"`
	Took              time.Duration `json:"took_ns"`
	Nodes             int           `json:"nodes"`
	Proxies           int           `json:"proxies"`
	Pilots            int           `json:"pilots"`
	PerSecond         float64       `json:"ops_per_second"`
	Ops               int           `json:"ops"`
	Violations        []Violation   `json:"breaks"`
	Service           ServiceScore  `json:"service"`
	Tenants           *TenantResult `json:"tenants,omitempty"`
	Moves             *MoveResult   `json:"moves,omitempty"`
	Tries             int           `json:"tries_at_nodes"`
	ColdCrashes       int           `json:"cold_nodes_fallen"`            // nodes that failed from overload while cold
	Effects           int           `json:"effects"`                      // effects recorded by the nodes
	DuplicateEffects  int           `json:"effects_doubled"`              // all effects beyond the first of an op
	RuleTwoDuplicates int           `json:"effects_doubled_against_rule"` // those of DuplicateEffects that break rule 2
	Messages          int           `json:"messages"`
	Lines             int           `json:"lines"`
	Joins             int           `json:"joins"`
	Resumes           int           `json:"resumes"`
	GeneratorLagP99   time.Duration `json:"generator_behind_p99_ns"` // delay of the sends behind their schedule
	GeneratorLagMax   time.Duration `json:"generator_behind_most_ns"`
}

// AllRulesKept reports whether the run had no violations.
func (r *Report) AllRulesKept() bool { return len(r.Violations) == 0 }

// Print writes the report to w as text.
func (r *Report) Print(w io.Writer) {
	fmt.Fprintf(w, "day %s, seed %d: %d pilots, %d proxies, %d nodes (simulated servers); %d ops, %.0f a second\n", r.Day, r.Seed,
		r.Pilots, r.Proxies, r.Nodes, r.Ops, r.PerSecond)
	names := [...]string{"", "no proxy without an endpoint", "no effect twice", "drains kept", "no cold endpoint pushed over",
		"the queue stays short"}
	for rule := 1; rule <= 5; rule++ {
		count := 0
		for _, b := range r.Violations {
			if b.Rule == rule {
				count++
			}
		}
		verdict := "kept"
		if count > 0 {
			verdict = fmt.Sprintf("BROKEN %d times", count)
		}
		fmt.Fprintf(w, "rule %d, %-30s %s\n", rule, names[rule]+":", verdict)
	}
	for i, b := range r.Violations {
		if i == 20 {
			fmt.Fprintf(w, "  and %d more\n", len(r.Violations)-i)
			break
		}
		name := fmt.Sprintf("rule %d", b.Rule)
		if b.Rule == noRule {
			name = "mixed"
		}
		fmt.Fprintf(w, "  %s at %v: %s\n", name, b.At.Round(time.Millisecond), b.Description)
	}
	s := &r.Service
	fmt.Fprintf(w, "service %.3f: whole %.3f, worst 10 s %.3f, worst op type %.3f, tail %.3f, prices %.3f\n", s.Score, s.Whole,
		s.WorstWindow, s.WorstType, s.Tail, s.Price)
	for _, t := range s.Types {
		fmt.Fprintf(w, "  %-14s %6d ops: %6d in time, %5d late, %5d rejected, %5d aborted; service %.3f\n", t.Name, t.Ops, t.InTime,
			t.Late, t.Rejected, t.Aborted, t.Service)
	}
	if t := r.Tenants; t != nil {
		fmt.Fprintf(w, "tenants: service of the others %.3f, %.1f%% of them below half; of the misbehaving one %.3f\n", t.Others,
			100*t.UnderHalf, t.Misbehaving)
		if t.OutsideShare > 0 {
			fmt.Fprintf(w,
				"  %.1f%% of the others' revenue in ops that could reach none of its pods: service %.3f; the rest %.3f\n",
				100*t.OutsideShare, t.Outside, t.Inside)
		}
	}
	if r.Moves != nil {
		r.Moves.print(w)
	}
	fmt.Fprintf(w, "%d tries at nodes, %d effects of writes (%d duplicates against rule 2, %d others), %d cold nodes overloaded\n",
		r.Tries, r.Effects, r.RuleTwoDuplicates, r.DuplicateEffects-r.RuleTwoDuplicates, r.ColdCrashes)
	fmt.Fprintf(w, "%d messages, %d lines; %d joins, %d resumed; load generator late by %v at p99, %v at most\n", r.Messages,
		r.Lines,
		r.Joins, r.Resumes, r.GeneratorLagP99.Round(10*time.Microsecond), r.GeneratorLagMax.Round(10*time.Microsecond))
}

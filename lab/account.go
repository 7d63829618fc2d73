package lab

import (
	"fmt"
	"io"
	"time"

	"vetchdoor/files"
)

// ServiceScore is a day's service as the bench's account defines it: revenue answered within the target latency over revenue
// asked for, with the worst stretch and the worst op type mixed in and prices taken off. All shares are from 0 to 1.
type ServiceScore struct {
	Score       float64        `json:"figure"` // the mix, less the prices
	Whole       float64        `json:"whole"`
	WorstWindow float64        `json:"worst_window"` // of 10 seconds
	WorstType   float64        `json:"worst_type"`
	Tail        float64        `json:"tail"`
	Price       float64        `json:"price"`
	Types       []OpTypeResult `json:"types"`
}

// OpTypeResult is the account of one op type.
type OpTypeResult struct {
	Name     string  `json:"name"`
	Ops      int     `json:"ops"`
	InTime   int     `json:"in_time"`
	Late     int     `json:"late"`
	Rejected int     `json:"rejected"`
	Aborted  int     `json:"aborted"`
	Service  float64 `json:"service"`
}

// spending is what the day cost beside its service.
type spending struct {
	crossed, tries    int
	worked, wasted    time.Duration
	offered           time.Duration
	handshakes, nodes int
	connections       float64
	lines             int
	channel           float64 // lines that the channels could have sent
}

// part is a running share.
type part struct{ got, asked float64 }

func (p part) share() float64 {
	if p.asked == 0 {
		return 1
	}
	return p.got / p.asked
}

// account adds up what the clients saw.
func account(d *files.Day, ops []*op, s spending) ServiceScore {
	types := d.Service.Types()
	out := ServiceScore{Types: make([]OpTypeResult, len(types))}
	var whole part
	byType := make([]part, len(types))
	const stretch = 10 * time.Second
	windows := make([]part, int(d.Length.Span()/time.Second)+1)
	tails := make([]map[int]*tail, len(types))
	lateFail := 0.0
	for i := range tails {
		tails[i] = map[int]*tail{}
		out.Types[i].Name = d.Service.OpTypes[i].Name
	}
	for _, o := range ops {
		t, line := &types[o.opType], &out.Types[o.opType]
		got := 0.0
		inTime := o.outcome == opAcked && o.latency() <= t.TargetLatency
		line.Ops++
		switch {
		case inTime:
			got = t.Revenue
			line.InTime++
		case o.outcome == opAcked:
			got = t.Revenue * t.LateShare
			line.Late++
		case o.outcome == opRejected:
			line.Rejected++
		default:
			line.Aborted++
		}
		if o.outcome != opAcked && o.latency() > t.TargetLatency {
			lateFail += t.Revenue
		}
		add := func(p *part) { p.got, p.asked = p.got+got, p.asked+t.Revenue }
		add(&whole)
		add(&byType[o.opType])
		add(&windows[min(int(o.at/time.Second), len(windows)-1)])
		k := int(o.at / (5 * time.Second))
		if tails[o.opType][k] == nil {
			tails[o.opType][k] = &tail{}
		}
		w := tails[o.opType][k]
		w.asked, w.n = w.asked+t.Revenue, w.n+1
		if inTime {
			w.got += t.Revenue
		} else if !(o.outcome == opRejected && o.latency() <= t.TargetLatency) {
			w.missed++
		}
	}
	out.Whole, out.WorstType, out.WorstWindow = whole.share(), 1, 1
	for i, p := range byType {
		out.Types[i].Service = p.share()
		out.WorstType = min(out.WorstType, p.share())
	}
	span := int(stretch / time.Second)
	for i := range windows {
		if i+span > len(windows) && i > 0 {
			break
		}
		var w part
		for _, p := range windows[i:min(i+span, len(windows))] {
			w.got, w.asked = w.got+p.got, w.asked+p.asked
		}
		out.WorstWindow = min(out.WorstWindow, w.share())
	}
	out.Tail = tailShare(tails, d.Goal.TailMiss)
	g := &d.Goal
	sum := g.Whole + g.WorstWindow + g.WorstType + g.Tail
	if sum > 0 {
		out.Score = (g.Whole*out.Whole + g.WorstWindow*out.WorstWindow + g.WorstType*out.WorstType + g.Tail*out.Tail) / sum
	}
	out.Price = price(&d.Prices, s, lateFail, whole.asked, len(ops))
	out.Score -= out.Price
	return out
}

// tail is an op type's five seconds.
type tail struct {
	got, asked float64
	n, missed  int
}

// tailShare counts revenue in full while few enough ops miss, and less evenly down to nothing at five times that share.
func tailShare(tails []map[int]*tail, most float64) float64 {
	var all part
	for _, windows := range tails {
		for _, w := range windows {
			all.asked += w.asked
			miss := float64(w.missed) / float64(w.n)
			switch {
			case miss <= most:
				all.got += w.got
			case miss < 5*most:
				all.got += w.got * (5*most - miss) / (4 * most)
			}
		}
	}
	return all.share()
}

func price(p *files.Prices, s spending, lateFail, asked float64, ops int) float64 {
	if ops == 0 {
		return 0
	}
	first := float64(ops)
	total := p.CrossZone * float64(s.crossed) / first
	if s.offered > 0 {
		total += p.Waste * float64(s.wasted) / float64(s.offered)
	}
	if s.nodes > 0 {
		total += p.Connection * s.connections / (100 * float64(s.nodes))
	}
	total += p.Handshake * float64(s.handshakes) / first
	if asked > 0 {
		total += p.LateFail * lateFail / asked
	}
	if s.channel > 0 {
		total += p.Orders * float64(s.lines) / s.channel
	}
	return total
}

// Report is what a day came to.
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
	ColdCrashes       int           `json:"cold_nodes_fallen"`
	Effects           int           `json:"effects"`
	DuplicateEffects  int           `json:"effects_doubled"`              // beyond the first of an op, all
	RuleTwoDuplicates int           `json:"effects_doubled_against_rule"` // of those, the ones that break rule 2
	Messages          int           `json:"messages"`
	Lines             int           `json:"lines"`
	Joins             int           `json:"joins"`
	Resumes           int           `json:"resumes"`
	GeneratorLagP99   time.Duration `json:"generator_behind_p99_ns"`
	GeneratorLagMax   time.Duration `json:"generator_behind_most_ns"`
}

// AllRulesKept tells whether all rules were kept.
func (r *Report) AllRulesKept() bool { return len(r.Violations) == 0 }

// Print writes the report for people.
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
		fmt.Fprintf(w, "tenants: others' service %.3f, %.1f%% of them under half; the one that misbehaves %.3f\n", t.Others, 100*t.UnderHalf, t.Misbehaving)
		if t.OutsideShare > 0 {
			fmt.Fprintf(w, "  %.1f%% of the others' ops could reach none of its pods: service %.3f; the rest %.3f\n", 100*t.OutsideShare, t.Outside, t.Inside)
		}
	}
	if r.Moves != nil {
		r.Moves.print(w)
	}
	fmt.Fprintf(w, "%d tries at nodes, %d effects of writes (%d doubled against rule 2, %d by clients' repeats that it does not cover), %d cold nodes fell over\n",
		r.Tries, r.Effects, r.RuleTwoDuplicates, r.DuplicateEffects-r.RuleTwoDuplicates, r.ColdCrashes)
	fmt.Fprintf(w, "%d messages, %d lines; %d joins, %d resumed; generator behind by %v at p99, %v at most\n", r.Messages, r.Lines,
		r.Joins, r.Resumes, r.GeneratorLagP99.Round(10*time.Microsecond), r.GeneratorLagMax.Round(10*time.Microsecond))
}

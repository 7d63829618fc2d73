// Package lab simulates a day of service: it runs real pilots and proxies over loopback sockets, with simulated servers,
// list service, links and clients, and checks five rules on the observed traffic. A day is a scenario: a service, a
// fleet, a load and a schedule of troubles. Its entry point is Run.
//
// The rules are: (1) a joined proxy always has an endpoint to pick while a warm ready one is listed; (2) no op is
// retried, and no write takes effect again, against the settings of its op type; (3) joined proxies stop sending to
// draining and removed endpoints in time; (4) informed proxies do not overload a cold endpoint until it fails; (5) the
// message queues of the pilots and the rate of their messages stay within bounds.
package lab

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"time"

	"vetchdoor/control"
	"vetchdoor/files"
	"vetchdoor/http1"
	"vetchdoor/proxy"
	"vetchdoor/upstream"
)

// Options configure a run.
type Options struct {
	Log        *slog.Logger
	Progress   io.Writer    // receives progress lines; nil for none
	Records    *slog.Logger // receives the pilots' decision records; may be nil
	wrapProxy  func(*files.Proxy, *proxy.Proxy)
	beforeLoad func(*fleet)         // called before the first op
	configure  func(*files.Service) // changes the service settings that pilots and proxies run with
}

// settleTime is the time that the fleet has to connect before the first op.
const settleTime = 1500 * time.Millisecond

// Run plays a day and returns its report. It returns an error if the fleet cannot start, the observed traffic cannot be
// parsed, or ctx ends.
func Run(ctx context.Context, day *files.Day, options Options) (*Report, error) {
	begin := time.Now()
	if options.Progress == nil {
		options.Progress = io.Discard
	}
	f, err := newFleet(day, &options)
	if err != nil {
		return nil, err
	}
	closed := false
	defer func() {
		if !closed {
			f.close()
		}
	}()
	fmt.Fprintf(options.Progress, "%s: started %d pilots, %d proxies and %d nodes\n", day.Name, len(f.pilots), len(f.proxies),
		len(f.nodes))
	select {
	case <-time.After(settleTime):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if options.beforeLoad != nil {
		options.beforeLoad(f)
	}
	f.scheduleTroubles()
	s := &loadGenerator{day: day, ledger: f.ledger, largeRequests: true, types: day.Service.Types(),
		rng:  rand.New(rand.NewPCG(day.Seed, 3)),
		pool: &upstream.Pool{PerServer: 4096, IdleTimeout: 5 * time.Second, Bounds: http1.DefaultBounds}}
	defer s.pool.Close()
	for _, instance := range f.proxies {
		s.targets = append(s.targets, instance.address)
	}
	s.ops = f.addMisbehaviour(f.drawOps())
	from := time.Now()
	start := from.Sub(f.ledger.StartTime())
	done := make(chan struct{})
	go func() {
		s.play(from, ctx.Done())
		close(done)
	}()
	connections := f.progress(ctx, options.Progress, from, done)
	if err := ctx.Err(); err != nil {
		<-done
		return nil, err
	}
	until := time.Since(f.ledger.StartTime())
	f.close()
	closed = true
	return f.report(s, begin, start, until, connections)
}

// progress prints a line every five seconds until the day is over and returns the mean number of open connections, sampled
// every second.
func (f *fleet) progress(ctx context.Context, w io.Writer, from time.Time, done <-chan struct{}) float64 {
	t := time.NewTicker(time.Second)
	defer t.Stop()
	sum, n := 0.0, 0.0
	for i := 1; ; i++ {
		select {
		case <-done:
			return sum / max(n, 1)
		case <-t.C:
		}
		open := int64(0)
		f.mu.Lock()
		for _, instance := range f.proxies {
			if instance.proxy != nil {
				open += instance.proxy.OpenConnections()
			}
		}
		f.mu.Unlock()
		sum, n = sum+float64(open), n+1
		if i%5 == 0 {
			all, wasted := f.ledger.Work()
			fmt.Fprintf(w, "  %3ds: %d tries at nodes, %.0f%% of the work wasted, %d connections\n",
				int(time.Since(from).Seconds()), len(f.ledger.Arrivals()), 100*wasted.Seconds()/max(all.Seconds(), 1e-9), open)
		}
	}
}

// report checks the rules and computes the scores.
func (f *fleet) report(s *loadGenerator, begin time.Time, start, until time.Duration, connections float64) (*Report, error) {
	d := f.day
	e := &evidence{service: &d.Service, limits: &d.Limits, channel: &d.Channel, start: f.ledger.StartTime(), traffic: f.tap.Transfers(),
		arrivals: f.ledger.Arrivals(), effects: f.ledger.Effects(), ops: s.ops, coldCrashes: f.ledger.Crashes(),
		mixups: f.ledger.MixUps(), end: until}
	h, err := e.reconstruct(len(f.pilots))
	if err != nil {
		return nil, err
	}
	r := &Report{Day: d.Name, Seed: d.Seed, Took: time.Since(begin), Nodes: len(f.nodes), Proxies: len(f.proxies),
		Pilots: len(f.pilots), PerSecond: f.opRate(), Ops: len(s.ops), Violations: e.check(h), ColdCrashes: len(f.ledger.Crashes())}
	for _, x := range h.streams {
		if x.joined >= 0 && x.resumed {
			r.Resumes++
		} else if x.joined >= 0 {
			r.Joins++
		}
		for _, m := range x.messages {
			r.Messages++
			r.Lines += m.Lines
		}
	}
	spent := f.costs(s, r, until-start, connections)
	r.Service = scoreService(d, s.ops, spent)
	r.Tenants = scoreTenants(d, s.ops, e.outsideBadPods(h, d, start))
	r.Moves = f.scoreMoves(h, s, tracesByOp(e.arrivals, e.effects), start)
	if r.Moves != nil && r.Moves.AckedLost > 0 {
		r.Violations = append(r.Violations, Violation{2, until, fmt.Sprintf("%d acked writes took no effect", r.Moves.AckedLost)})
	}
	r.Effects = len(e.effects)
	for _, x := range e.duplicates() {
		if r.DuplicateEffects++; x.violation {
			r.RuleTwoDuplicates++
		}
	}
	r.GeneratorLagP99 = time.Duration(s.lag.ValueAtQuantile(99)) * time.Microsecond
	r.GeneratorLagMax = time.Duration(s.lag.Max()) * time.Microsecond
	return r, nil
}

// costs counts what the prices are charged on. It also sets r.Tries.
func (f *fleet) costs(s *loadGenerator, r *Report, span time.Duration, connections float64) costs {
	out := costs{nodes: len(f.nodes), connections: connections, lines: r.Lines,
		channelLines: f.day.Channel.LinesPerSecond * span.Seconds() * float64(len(f.pilots))}
	zones := map[control.EndpointID]string{}
	for id, n := range f.nodesByID() {
		zones[id] = n.Config().Zone
	}
	for _, a := range f.ledger.Arrivals() {
		r.Tries++
		if a.Proxy >= 0 && a.Proxy < len(f.proxies) && f.proxies[a.Proxy].file.Zone != zones[a.Endpoint] {
			out.crossZone++
		}
	}
	out.tries = r.Tries
	out.work, out.wasted = f.ledger.Work()
	for _, o := range s.ops {
		out.offered += o.work
	}
	out.handshakes = f.handshakes
	return out
}

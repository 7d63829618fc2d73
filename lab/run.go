// Package lab is the laboratory: it plays a day through real pilots and proxies over loopback sockets, with stand-ins
// for the servers, the list service and the ways between, and checks the five rules on what went over the sockets. Run
// is the way in.
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

// Options are how a day is played.
type Options struct {
	Log      *slog.Logger
	Progress io.Writer    // nil: silent
	Records  *slog.Logger // gets the pilots' records of decisions; may be nil
	faulty   func(*files.Proxy, *proxy.Proxy)
	begin    func(*fleet)         // before the first op
	believe  func(*files.Service) // changes what pilots and proxies take the service to be
}

// settle is how long the fleet has before the first op.
const settle = 1500 * time.Millisecond

// Run plays a day and reports.
func Run(ctx context.Context, day *files.Day, o Options) (*Report, error) {
	begin := time.Now()
	if o.Progress == nil {
		o.Progress = io.Discard
	}
	f, err := newFleet(day, &o)
	if err != nil {
		return nil, err
	}
	closed := false
	defer func() {
		if !closed {
			f.close()
		}
	}()
	fmt.Fprintf(o.Progress, "%s: %d pilots, %d proxies and %d nodes run\n", day.Name, len(f.pilots), len(f.proxies), len(f.nodes))
	select {
	case <-time.After(settle):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if o.begin != nil {
		o.begin(f)
	}
	f.plan()
	s := &source{day: day, ledger: f.ledger, large: true, types: day.Service.Types(), rng: rand.New(rand.NewPCG(day.Seed, 3)),
		pool: &upstream.Pool{PerServer: 4096, IdleClose: 5 * time.Second, Bounds: http1.Usual}}
	defer s.pool.Close()
	for _, at := range f.proxies {
		s.targets = append(s.targets, at.address)
	}
	s.ops = f.misbehave(f.drawOps())
	from := time.Now()
	start := from.Sub(f.ledger.From())
	over := make(chan struct{})
	go func() {
		s.play(from, ctx.Done())
		close(over)
	}()
	connections := f.progress(ctx, o.Progress, from, over)
	if err := ctx.Err(); err != nil {
		<-over
		return nil, err
	}
	until := time.Since(f.ledger.From())
	f.close()
	closed = true
	return f.report(s, begin, start, until, connections)
}

// progress prints a line each few seconds until the day is over and returns the mean of the open connections.
func (f *fleet) progress(ctx context.Context, w io.Writer, from time.Time, over <-chan struct{}) float64 {
	t := time.NewTicker(time.Second)
	defer t.Stop()
	sum, n := 0.0, 0.0
	for i := 1; ; i++ {
		select {
		case <-over:
			return sum / max(n, 1)
		case <-t.C:
		}
		open := int64(0)
		f.mu.Lock()
		for _, at := range f.proxies {
			if at.p != nil {
				open += at.p.Connections()
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

// report checks the rules and adds up the service.
func (f *fleet) report(s *source, begin time.Time, start, until time.Duration, connections float64) (*Report, error) {
	d := f.day
	e := &evidence{service: &d.Service, limits: &d.Limits, channel: &d.Channel, from: f.ledger.From(), passed: f.tap.All(),
		arrivals: f.ledger.Arrivals(), effects: f.ledger.Effects(), ops: s.ops, falls: f.ledger.Falls(), mixed: f.ledger.Mixed(), until: until}
	h, err := e.read(len(f.pilots))
	if err != nil {
		return nil, err
	}
	r := &Report{Day: d.Name, Seed: d.Seed, Took: time.Since(begin), Nodes: len(f.nodes), Proxies: len(f.proxies),
		Pilots: len(f.pilots), PerSecond: f.perSecond(), Ops: len(s.ops), Violations: e.check(h), ColdCrashes: len(f.ledger.Falls())}
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
	spent := f.spending(s, r, until-start, connections)
	r.Service = account(d, s.ops, spent)
	r.Tenants = tenantAccount(d, s.ops, e.apart(h, d, start))
	r.Moves = f.moveAccount(h, s, trails(e.arrivals, e.effects), start)
	if r.Moves != nil && r.Moves.AckedLost > 0 {
		r.Violations = append(r.Violations, Violation{2, until, fmt.Sprintf("%d writes were acked and took no effect", r.Moves.AckedLost)})
	}
	r.Effects = len(e.effects)
	for _, x := range e.doublings() {
		if r.DuplicateEffects++; x.ours {
			r.RuleTwoDuplicates++
		}
	}
	r.GeneratorLagP99 = time.Duration(s.behind.ValueAtQuantile(99)) * time.Microsecond
	r.GeneratorLagMax = time.Duration(s.behind.Max()) * time.Microsecond
	return r, nil
}

// spending adds up what the prices are on.
func (f *fleet) spending(s *source, r *Report, span time.Duration, connections float64) spending {
	out := spending{nodes: len(f.nodes), connections: connections, lines: r.Lines,
		channel: f.day.Channel.LinesPerSecond * span.Seconds() * float64(len(f.pilots))}
	zones := map[control.EndpointID]string{}
	for id, n := range f.nodeByID() {
		zones[id] = n.At().Zone
	}
	for _, a := range f.ledger.Arrivals() {
		r.Tries++
		if a.Proxy >= 0 && a.Proxy < len(f.proxies) && f.proxies[a.Proxy].file.Zone != zones[a.Endpoint] {
			out.crossed++
		}
	}
	out.tries = r.Tries
	out.worked, out.wasted = f.ledger.Work()
	for _, o := range s.ops {
		out.offered += o.work
	}
	out.handshakes = f.handshakes
	return out
}

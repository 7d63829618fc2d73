// Package proxy is vetchdoor's own obedient proxy. It carries ops from clients to servers by the tables that its pilot
// publishes and decides nothing: it picks evenly by weight, avoids a server after a run of its own failures, tries again
// only as ordered and only where that is safe, and lets in no more than its levels say. Start is the way in.
package proxy

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"vetchdoor/control"
	"vetchdoor/files"
	"vetchdoor/http1"
	"vetchdoor/runtime"
	"vetchdoor/serve"
	"vetchdoor/session"
	"vetchdoor/stream"
	"vetchdoor/tenancy"
	"vetchdoor/upstream"
)

// Proxy is a running proxy.
type Proxy struct {
	file     *files.Proxy
	log      *slog.Logger
	zone     int
	types    []opType
	server   *serve.Server
	pool     *upstream.Pool
	servers  servers
	now      holder
	mu       sync.Mutex // held while tables change
	rng      *rand.Rand // under mu
	token    string
	standing []control.EndpointID
	orders   *orders
	admin    *session.Listener // for people; nil without one
	pushed   time.Time         // when sums were last pushed
	cancel   context.CancelFunc
	stopping sync.Once
	done     sync.WaitGroup
	started  time.Time
	tally    tally
	tenants  *tenants // nil: ops are nobody's
	groups   *writeGroups
	keeper   *keeper // of bindings; nil: they are not kept

	// More, if not nil at Start, adds lines to show info.
	More func(io.Writer)

	// Net, if not nil at Start, is what connections to clients, servers and pilots run over; else sockets.
	Net stream.Net

	// ApplyDelay, if not nil, is how long a message stalls the proxy before it applies; a rehearsal's way of a slow one.
	ApplyDelay func(m *runtime.Message) time.Duration
}

// tally counts since the start, for people.
type tally struct{ ops, acked, rejected, aborted, retried, held, borrowed, unplaced, applied, again atomic.Int64 }

// opType is what the proxy keeps for one op type.
type opType struct {
	control.OpType
	name    string
	method  []byte
	prefix  []byte
	header  string
	value   []byte
	mu      sync.Mutex
	credit  float64 // of what may be let in
	ops     atomic.Int64
	unacked atomic.Int64
	rank    float64 // by revenue: 0 for the least, 1 for the most
}

// New makes a proxy from its file; Start runs it.
func New(file *files.Proxy, log *slog.Logger) (*Proxy, error) {
	p := &Proxy{file: file, log: log.With("proxy", file.ID), zone: file.Service.ZoneIndex(file.Zone), started: time.Now(),
		servers: servers{byID: map[control.EndpointID]*server{}, born: time.Now()}}
	seed := file.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	p.rng = rand.New(rand.NewPCG(seed, uint64(file.ID)))
	p.token = strconv.FormatUint(rand.Uint64(), 36)
	types := file.Service.Types()
	p.types = make([]opType, len(types))
	for i := range types {
		t, m := &p.types[i], file.Service.OpTypes[i].Match
		t.OpType, t.name = types[i], file.Service.OpTypes[i].Name
		t.method, t.prefix = []byte(m.Method), []byte(m.PathPrefix)
		if name, value, ok := strings.Cut(m.Header, ": "); ok {
			t.header, t.value = name, []byte(value)
		}
	}
	pool := file.Pool
	p.pool = &upstream.Pool{PerServer: pool.PerServer, IdleTimeout: pool.IdleClose.AsDuration(),
		ConnectTimeout: pool.ConnectTimeout.AsDuration()}
	for i := range p.types {
		p.types[i].rank = rank(types, i)
	}
	lines, err := p.drawStanding()
	if err != nil {
		return nil, err
	}
	p.now.Store(newTables(len(types), lines, p.rng))
	p.servers.keep(p.now.Load())
	p.groups = newWriteGroups(&file.Service, p.zone)
	if names := file.Service.Unplaced(); len(names) > 0 {
		p.log.Warn("writes are refused: they are deduplicated by pack, and the settings name no write_packs", "op_types", names)
	}
	if file.Tenants != nil {
		if p.tenants, err = newTenants(file.Tenants); err != nil {
			return nil, err
		}
		p.tenants.groups = p.groups
		write, window := tenancy.MoveDurations(types, file.Service.WriteLifetime.AsDuration())
		if p.now.Load().bindings, p.keeper, err = openBindings(file.Tenants.Bindings, write+window, 0, p.log); err != nil {
			return nil, err
		}
	}
	p.server = &serve.Server{Handle: p.handle, Drain: keepIdle, Accept: func(c *serve.Conn) bool { c.Data = &scratch{}; return true }}
	return p, nil
}

// rank is where an op type stands by its revenue: 1 if none earns more, else the share of the others that earn less.
func rank(types []control.OpType, i int) float64 {
	below, above := 0, 0
	for _, t := range types {
		if t.Revenue < types[i].Revenue {
			below++
		} else if t.Revenue > types[i].Revenue {
			above++
		}
	}
	if above == 0 {
		return 1
	}
	return float64(below) / float64(len(types)-1)
}

// drawStanding draws the table that the proxy starts with: from the servers of its zone if at least three are there.
func (p *Proxy) drawStanding() ([]line, error) {
	var own, all []files.StandingServer
	for _, s := range p.file.Servers {
		all = append(all, s)
		if s.Zone == p.file.Zone {
			own = append(own, s)
		}
	}
	if len(own) >= 3 {
		all = own
	}
	p.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	all = all[:min(len(all), p.file.Service.Bootstrap)]
	slices.SortFunc(all, func(a, b files.StandingServer) int { return int(int64(a.Endpoint) - int64(b.Endpoint)) })
	var lines []line
	for _, s := range all {
		at, err := netip.ParseAddrPort(s.Address)
		if err != nil {
			return nil, fmt.Errorf("server %d: %w", s.Endpoint, err)
		}
		id := control.EndpointID(s.Endpoint)
		rec := runtime.Server{Address: at, Zone: p.file.Service.ZoneIndex(s.Zone), Pack: s.Pack}
		weight := s.Weight
		if weight <= 0 {
			weight = 1
		}
		lines = append(lines, line{p.servers.get(id, rec), weight})
		p.standing = append(p.standing, id)
	}
	return lines, nil
}

// Start listens for clients and people and dials the pilots. If it fails nothing is left of the proxy, and Stop and Kill do
// nothing.
func (p *Proxy) Start() error {
	p.pool.Net, p.server.Net = p.Net, p.Net
	if err := p.server.Start(p.file.Listen); err != nil {
		return err
	}
	if p.file.Admin != "" {
		var err error
		if p.admin, err = session.Listen(p.file.Admin, "vetchdoor proxy", p.commands()); err != nil {
			p.closeServer()
			return err
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.pushed = time.Now()
	p.orders = newOrders(p)
	p.keeper.start()
	p.done.Add(2)
	go func() { defer p.done.Done(); p.orders.run(ctx) }()
	go func() { defer p.done.Done(); p.pushSums(ctx) }()
	p.log.Info("proxy runs", "listen", p.server.Address(), "zone", p.file.Zone, "standing", len(p.standing))
	return nil
}

// Address is where clients reach it.
func (p *Proxy) Address() string { return p.server.Address() }

// keepIdle is how long a proxy that stops keeps a client's connection on which no request comes. A client that asks more
// often learns by an answer that its connection closes; one that does not finds it closed.
const keepIdle = 2 * time.Second

// Stop ends it in order: no new connections; each request that comes on an open one answered, with the word that the
// connection closes after it, until the clients have gone or have been idle for long, or the context ends; the last sums
// sent, then the stream closed. A second call shortens nothing.
func (p *Proxy) Stop(ctx context.Context) {
	if p.cancel == nil { // it never ran
		return
	}
	p.stopping.Do(func() { p.stop(ctx) })
}

// answerWithin is how long a proxy that stops answers at most: idle connections are closed, and what came until then is
// answered in its time.
func (p *Proxy) answerWithin() time.Duration {
	longest := time.Duration(0)
	for i := range p.types {
		longest = max(longest, p.types[i].OpTimeout)
	}
	return keepIdle + longest + time.Second
}

func (p *Proxy) stop(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, p.answerWithin())
	defer cancel()
	p.server.Stop(ctx)
	p.sendSums(time.Now())
	p.orders.end()
	p.cancel()
	p.done.Wait()
	if p.admin != nil {
		p.admin.Stop()
	}
	p.pool.Close()
	p.keeper.close()
	p.log.Info("proxy ended", "ops", p.tally.ops.Load())
}

// typeOf tells an op's type: the first whose rule matches; below 0 if none does.
func (p *Proxy) typeOf(m *http1.Message) int {
	for i := range p.types {
		t := &p.types[i]
		if len(t.method) > 0 && !bytes.Equal(t.method, m.Method) || !bytes.HasPrefix(m.Target, t.prefix) {
			continue
		}
		if t.header != "" && !bytes.Equal(m.Get(t.header), t.value) {
			continue
		}
		return i
	}
	return -1
}

// admit tells whether an op is let in, thinning evenly.
func (t *opType) admit(share float64) bool {
	if share >= 1 {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.credit += max(share, 0); t.credit < 1 {
		return false
	}
	t.credit--
	return true
}

// scratch is what a client's connection reuses from op to op.
type scratch struct{ out, in []byte }

// handle carries one op.
func (p *Proxy) handle(c *serve.Conn, m *http1.Message) {
	arrived := time.Now()
	s := c.Data.(*scratch)
	i := p.typeOf(m)
	if i < 0 {
		p.answer(c, s, 404, "no op type matches", 0)
		return
	}
	t := &p.types[i]
	t.ops.Add(1)
	p.tally.ops.Add(1)
	now := p.now.Load()
	l := now.level(i, p.file.Service.DefaultRetryPolicy())
	if !t.admit(l.share) {
		p.refuse(c, s, "not let in")
		return
	}
	whose := p.tenants.of(c, m)
	allowed := unlimited
	if whose != nil {
		if l, ok := now.limits[whose.name]; ok {
			allowed = l
		}
	}
	if !whose.admit(allowed, t.rank, arrived.Sub(p.started)) {
		p.refuse(c, s, "over the tenant's limit")
		return
	}
	defer whose.done()
	if whose != nil && now.bindings.holds(whose.name, &t.OpType, arrived.Sub(p.started)) {
		p.tally.held.Add(1)
		p.refuse(c, s, "the tenant is being moved")
		return
	}
	key := m.Get("Idempotency-Key")
	group, known := p.place(i, whose, key, now, allowed, arrived.Sub(p.started))
	if !known {
		p.tally.unplaced.Add(1)
		p.refuse(c, s, "the write's group is not known")
		return
	}
	deadline := arrived.Add(t.OpTimeout)
	s.out = p.request(s.out[:0], m)
	head := string(m.Method) == "HEAD"
	state := tries{opType: t.OpType, keyed: len(key) > 0}
	var tried []*server
	call := &upstream.Call{}
	c.OnGone(call.GiveUp)
	defer c.OnGone(nil)
	var last *upstream.Failure
	for {
		begin := time.Now()
		pick := func(in func(*server) bool) *server {
			return now.pickFor(i, begin, func(e *server) bool {
				return in(e) && (!t.OwnZoneOnly || e.Zone == p.zone) && !slices.Contains(tried, e) && state.at(e.Server, begin)
			})
		}
		var e *server
		if group != nil {
			e = pick(group.has)
		} else {
			e = p.pickAnywhere(i, whose, now, allowed, begin.Sub(p.started), pick)
		}
		if e == nil {
			break
		}
		state.sent()
		until := deadline
		if l.again >= control.RetryOnce && state.made < most(l.again) && p.file.Service.TryShare > 0 {
			if short := begin.Add(time.Duration(p.file.Service.TryShare * float64(t.TargetLatency))); short.Before(until) {
				until = short
			}
		}
		a, fail := p.pool.Send(call, e.address, s.out, until, head)
		took := time.Since(begin)
		p.tenants.met(whose, e, fail != nil || a.Status >= 500, took)
		if fail == nil {
			status := a.Status // the answer is given back by passOn
			if p.passOn(c, s, a, e, took, &state, begin, l.again, deadline, head) {
				if status >= 500 {
					t.unacked.Add(1)
				} else {
					p.tally.acked.Add(1)
				}
				return
			}
		} else {
			if fail.Cancelled {
				e.met(false, took, nil, 0, 0)
				t.unacked.Add(1)
				p.tally.aborted.Add(1)
				c.CloseAfter()
				return
			}
			e.met(false, took, nil, p.file.Service.OutlierAfter, p.file.Service.OutlierFor.AsDuration())
			state.failedAt(e, begin, fail.NotSent)
		}
		last = fail
		tried = append(tried, e)
		if !state.may(l.again) || !time.Now().Before(deadline) || !whose.try() {
			break
		}
		p.tally.retried.Add(1)
		now = p.now.Load() // withdrawals since the first try bind this one
		l = now.level(i, p.file.Service.DefaultRetryPolicy())
		if whose != nil && now.bindings.holds(whose.name, &t.OpType, time.Since(p.started)) {
			break // its tenant is being moved since
		}
	}
	t.unacked.Add(1)
	p.tally.aborted.Add(1)
	p.giveUp(c, s, last, group != nil, len(state.ran) > 0)
}

// refuse answers an op that is not let in, and surely did not run.
func (p *Proxy) refuse(c *serve.Conn, s *scratch, text string) {
	p.tally.rejected.Add(1)
	p.answer(c, s, 503, text, p.retryAfter())
}

// giveUp answers an op of which no more tries may be made: last is why the last one failed, nil if there was no server to try.
func (p *Proxy) giveUp(c *serve.Conn, s *scratch, last *upstream.Failure, placed, ran bool) {
	switch {
	case last != nil && last.Timeout:
		p.answer(c, s, 504, "no answer in time", p.retryAfter())
	case last == nil && placed && !ran:
		p.tally.unplaced.Add(1)
		p.answer(c, s, 503, "no server of the write's group", p.retryAfter())
	case last == nil && !ran:
		p.answer(c, s, 503, "no server", p.retryAfter())
	case !ran: // the client may well try again
		p.answer(c, s, 503, "no server took it", p.retryAfter())
	default:
		p.answer(c, s, 502, "no answer", p.retryAfter())
	}
}

// pickAnywhere picks a server for a try that may run in any group: of its tenant's subset, or the pod that it may borrow.
func (p *Proxy) pickAnywhere(i int, whose *tenant, now *tables, l tenancy.Limit, at time.Duration, pick func(func(*server) bool) *server) *server {
	subset := p.tenants.podsOfTable(whose, now.byType[i], now.bindings, l, at)
	writes := p.types[i].Repeat != control.Retryable
	e, borrowed := p.tenants.pickOf(whose, now.byType[i], subset, l.Limited(), writes, at, now.bindings.wait, func(subset []tenancy.PodID) *server {
		return pick(func(e *server) bool { return subset == nil || slices.Contains(subset, e.pod()) })
	})
	if borrowed {
		p.tally.borrowed.Add(1)
	}
	return e
}

// passOn hands an answer to the client, unless it is a refusal after which another try may follow. The server's connection is given
// back before the client is written to, which may be slow to read.
func (p *Proxy) passOn(c *serve.Conn, s *scratch, a *upstream.Response, e *server, took time.Duration, state *tries,
	begin time.Time, again control.RetryPolicy, deadline time.Time, head bool) bool {
	good := a.Status < 500
	e.met(good, took, p.load(a.Get(http1.LoadHeader)), p.file.Service.OutlierAfter, p.file.Service.OutlierFor.AsDuration())
	if !good {
		state.failedAt(e, begin, a.Status == 503 && len(a.Get(http1.UnrunHeader)) > 0)
		if state.may(again) && time.Now().Before(deadline) {
			a.Release()
			return false
		}
	}
	b := http1.AppendStatus(s.in[:0], a.Status)
	b = http1.AppendForwarded(b, a.Message)
	if !good && a.Get("Retry-After") == nil {
		b = http1.AppendField(b, "Retry-After", p.retryAfterText())
	}
	s.in = http1.AppendAnswer(b, a.Message, head)
	a.Release()
	_ = c.Answer(s.in)
	return true
}

func (p *Proxy) retryAfter() time.Duration {
	if d := p.file.RetryAfter.AsDuration(); d > 0 {
		return d
	}
	return time.Second
}

// retryAfterText is in whole seconds, as RFC 9110 has it, and never 0.
func (p *Proxy) retryAfterText() string {
	return strconv.Itoa(max(1, int((p.retryAfter()+time.Second-1)/time.Second)))
}

// answer is the proxy's own.
func (p *Proxy) answer(c *serve.Conn, s *scratch, status int, text string, after time.Duration) {
	b := http1.AppendStatus(s.in[:0], status)
	b = http1.AppendField(b, "Content-Type", "text/plain; charset=utf-8")
	b = http1.AppendField(b, "Via", "1.1 p"+strconv.Itoa(int(p.file.ID)))
	if after > 0 {
		b = http1.AppendField(b, "Retry-After", p.retryAfterText())
	}
	s.in = http1.AppendBody(b, append([]byte(text), '\n'))
	_ = c.Answer(s.in)
}

// request writes what is sent to a server.
func (p *Proxy) request(b []byte, m *http1.Message) []byte {
	b = http1.AppendRequest(b, m.Method, m.Target)
	b = http1.AppendForwarded(b, m)
	b = http1.AppendField(b, "Via", "1.1 p"+strconv.Itoa(int(p.file.ID)))
	return http1.AppendBody(b, m.Body)
}

// load reads a load report in the order of the service's measures.
func (p *Proxy) load(v []byte) []float64 {
	if len(v) == 0 || len(p.file.Service.Measures) == 0 {
		return nil
	}
	l := http1.ParseLoad(v)
	if len(l) == 0 {
		return nil
	}
	out := make([]float64, len(p.file.Service.Measures))
	for i, name := range p.file.Service.Measures {
		out[i] = l[name]
	}
	return out
}

// pushSums sends what was met to the pilot, each period.
func (p *Proxy) pushSums(ctx context.Context) {
	t := time.NewTicker(p.file.Service.ReportEvery.AsDuration())
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			p.sendSums(now)
		}
	}
}

// sendSums sends the sums since the last ones; without a stream they add up.
func (p *Proxy) sendSums(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweepBindings()
	if !p.orders.joined() {
		return
	}
	s := runtime.Sums{Window: now.Sub(p.pushed)}
	p.pushed = now
	for i := range p.types {
		t := &p.types[i]
		s.Types = append(s.Types, runtime.TypeSum{OpType: i, Ops: int(t.ops.Swap(0)), Unacked: int(t.unacked.Swap(0))})
	}
	for _, e := range p.servers.all() {
		if sum, ok := e.sum(); ok {
			s.Servers = append(s.Servers, sum)
		}
	}
	s.Tenants = p.tenants.take()
	p.orders.send(s.Append(nil))
}

// sweepBindings forgets tenants that are home again.
func (p *Proxy) sweepBindings() {
	t := *p.now.Load()
	b, gone := t.bindings.sweep(time.Since(p.started))
	if len(gone) == 0 {
		return
	}
	t.bindings = b
	p.now.Store(&t)
	p.keeper.keep(b, gone)
}

// apply brings a message into force, whole.
func (p *Proxy) apply(m *runtime.Message) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.bring(m)
}

// bring does so; p.mu is held.
func (p *Proxy) bring(m *runtime.Message) error {
	n, err := p.now.Load().apply(m, &p.servers, len(p.types), p.rng)
	if err != nil {
		return err
	}
	before := n.bindings
	var changed map[string]tenancy.Binding
	if n.bindings, changed = before.take(m, time.Since(p.started)); n.bindings != before {
		p.keeper.keep(n.bindings, changed)
	}
	p.now.Store(n)
	p.tally.applied.Add(1)
	if slices.ContainsFunc(m.Changes, func(c runtime.Change) bool { return c.Verb != runtime.SetWeight && c.Verb != runtime.SetState }) {
		for _, e := range p.servers.keep(n) {
			p.pool.Forget(e.address)
		}
	}
	for _, c := range m.Changes {
		if c.Verb == runtime.SetState && c.Drained {
			p.servers.mu.Lock()
			e := p.servers.byID[c.Endpoint]
			p.servers.mu.Unlock()
			if e != nil {
				p.pool.Forget(e.address)
			}
		}
	}
	return nil
}

// Kill ends it as a killed process would: connections break, nothing is said.
func (p *Proxy) Kill() {
	if p.cancel == nil {
		return
	}
	p.cancel()
	p.pool.Close()
	p.closeServer()
	p.done.Wait()
	if p.admin != nil {
		p.admin.Close()
	}
	p.keeper.close()
}

// closeServer breaks the clients' connections.
func (p *Proxy) closeServer() {
	gone, cancel := context.WithCancel(context.Background())
	cancel()
	p.server.Stop(gone)
}

// OpenConnections is how many it has open to servers.
func (p *Proxy) OpenConnections() int64 { return p.pool.OpenConnections() }

// ConnectionsOpened is how many it has opened to servers so far.
func (p *Proxy) ConnectionsOpened() int64 { return p.pool.TotalOpened.Load() }

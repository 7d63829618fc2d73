// Package proxy implements vetchdoor's own proxy. It forwards ops from clients to servers according to the tables, weights
// and levels that its pilot publishes and makes no balancing decisions itself: it distributes ops by weight, avoids a server
// for a while after consecutive failures of its own tries, retries only where the level allows it and it is safe, and admits
// no more ops than the levels permit. New creates a Proxy and Start runs it.
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

// Proxy is a running proxy. New creates it.
type Proxy struct {
	settings        *files.Proxy
	log             *slog.Logger
	zone            int      // index of the proxy's zone in the service's list of zones
	opTypes         []opType // in the order of the settings, which is also that of the runtime API
	server          *serve.Server
	pool            *upstream.Pool
	servers         servers
	current         tablesPointer        // tables in force
	mu              sync.Mutex           // serializes changes of the tables; also guards rng after Start, and sumsSentAt
	rng             *rand.Rand           // guarded by mu
	token           string               // random; lets the pilot distinguish this process from another one with the same proxy ID
	standingServers []control.EndpointID // endpoints of the standing table
	pilotClient     *pilotClient         // holds the stream to a pilot; set by Start
	admin           *session.Listener    // admin command listener; nil if the settings give no address
	sumsSentAt      time.Time            // when sums were last sent to the pilot
	cancel          context.CancelFunc   // ends the goroutines; nil until Start has succeeded
	stopOnce        sync.Once
	goroutines      sync.WaitGroup // goroutines that Start started
	started         time.Time
	counters        counters
	tenants         *tenants      // nil if ops are not attributed to tenants
	groups          *writeGroups  // groups that deduplicated writes are assigned to
	bindingStore    *bindingStore // nil if tenant bindings are not persisted

	// ExtraInfo, if set before Start, appends lines to the output of the admin command show info.
	ExtraInfo func(io.Writer)

	// Net, if set before Start, provides the connections to clients, servers and pilots. Nil means operating system sockets.
	Net stream.Net

	// ApplyDelay, if set before Start, returns how long to wait before a message is applied. Simulations use it to model a
	// slow proxy.
	ApplyDelay func(m *runtime.Message) time.Duration
}

// counters are totals since the start, shown by the admin command show info. held counts ops rejected because their tenant
// is being moved, borrowed counts tries at a pod outside the tenant's subset, unplaced counts ops rejected because no server
// of their write group could be determined or used, and appliedAgain counts messages received again after they had been
// applied.
type counters struct{ ops, acked, rejected, aborted, retried, held, borrowed, unplaced, applied, appliedAgain atomic.Int64 }

// opType is the proxy's state for one op type. The match fields and headerValue are empty if the op type does not match on
// them.
type opType struct {
	control.OpType
	name        string
	method      []byte // request method to match
	pathPrefix  []byte // prefix of the request target to match
	header      string // name of the header field to match
	headerValue []byte
	mu          sync.Mutex   // guards credit
	credit      float64      // admission credit accumulated from the admitted share; one op costs 1
	ops         atomic.Int64 // ops received since the last sums
	unacked     atomic.Int64 // ops that were admitted and not acked since the last sums
	rank        float64      // rank by revenue, from 0 (least) to 1 (most)
}

// New creates a proxy from its settings. It returns an error if a server address, the tenant rules or the stored bindings
// are invalid. Start runs the proxy.
func New(settings *files.Proxy, log *slog.Logger) (*Proxy, error) {
	p := &Proxy{settings: settings, log: log.With("proxy", settings.ID), zone: settings.Service.ZoneIndex(settings.Zone),
		started: time.Now(), servers: servers{byID: map[control.EndpointID]*server{}, started: time.Now()}}
	seed := settings.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	p.rng = rand.New(rand.NewPCG(seed, uint64(settings.ID)))
	p.token = strconv.FormatUint(rand.Uint64(), 36)
	types := settings.Service.Types()
	p.opTypes = make([]opType, len(types))
	for i := range types {
		t, m := &p.opTypes[i], settings.Service.OpTypes[i].Match
		t.OpType, t.name = types[i], settings.Service.OpTypes[i].Name
		t.method, t.pathPrefix = []byte(m.Method), []byte(m.PathPrefix)
		if name, value, ok := strings.Cut(m.Header, ": "); ok {
			t.header, t.headerValue = name, []byte(value)
		}
	}
	pool := settings.Pool
	p.pool = &upstream.Pool{PerServer: pool.PerServer, IdleTimeout: pool.IdleClose.AsDuration(),
		ConnectTimeout: pool.ConnectTimeout.AsDuration()}
	for i := range p.opTypes {
		p.opTypes[i].rank = rank(types, i)
	}
	lines, err := p.chooseStanding()
	if err != nil {
		return nil, err
	}
	p.current.Store(newTables(len(types), lines, p.rng))
	p.servers.retain(p.current.Load())
	p.groups = newWriteGroups(&settings.Service, p.zone)
	if names := settings.Service.UnplaceableOpTypes(); len(names) > 0 {
		p.log.Warn("rejecting writes that are deduplicated by pack: the settings name no write_packs", "op_types", names)
	}
	if settings.Tenants != nil {
		if p.tenants, err = newTenants(settings.Tenants); err != nil {
			return nil, err
		}
		p.tenants.groups = p.groups
		write, window := tenancy.MoveDurations(types, settings.Service.WriteLifetime.AsDuration())
		if p.current.Load().bindings, p.bindingStore, err = openBindings(settings.Tenants.Bindings,
			write+window, 0, p.log); err != nil {
			return nil, err
		}
	}
	p.server = &serve.Server{Handle: p.handle, DrainTimeout: stopIdleTimeout,
		Accept: func(c *serve.Conn) bool { c.Data = &scratch{}; return true }}
	return p, nil
}

// rank returns the rank of op type i by revenue: 1 if no other type earns more, else the share of the other types that earn
// less.
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

// chooseStanding draws at random the servers of the standing table, which the proxy uses until a pilot assigns tables. It
// draws at most Service.Bootstrap servers, from those of the proxy's own zone if there are at least three of them, else from
// all.
func (p *Proxy) chooseStanding() ([]line, error) {
	var own, all []files.StandingServer
	for _, s := range p.settings.Servers {
		all = append(all, s)
		if s.Zone == p.settings.Zone {
			own = append(own, s)
		}
	}
	if len(own) >= 3 {
		all = own
	}
	p.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	all = all[:min(len(all), p.settings.Service.Bootstrap)]
	slices.SortFunc(all, func(a, b files.StandingServer) int { return int(int64(a.Endpoint) - int64(b.Endpoint)) })
	var lines []line
	for _, s := range all {
		address, err := netip.ParseAddrPort(s.Address)
		if err != nil {
			return nil, fmt.Errorf("server %d: %w", s.Endpoint, err)
		}
		id := control.EndpointID(s.Endpoint)
		record := runtime.Server{Address: address, Zone: p.settings.Service.ZoneIndex(s.Zone), Pack: s.Pack}
		weight := s.Weight
		if weight <= 0 {
			weight = 1
		}
		lines = append(lines, line{p.servers.get(id, record), weight})
		p.standingServers = append(p.standingServers, id)
	}
	return lines, nil
}

// Start listens for clients and admin connections and starts dialling pilots. If it returns an error, everything that it
// started has been shut down again, and Stop and Kill do nothing.
func (p *Proxy) Start() error {
	p.pool.Net, p.server.Net = p.Net, p.Net
	if err := p.server.Start(p.settings.Listen); err != nil {
		return err
	}
	if p.settings.Admin != "" {
		var err error
		if p.admin, err = session.Listen(p.settings.Admin, "vetchdoor proxy", p.commands()); err != nil {
			p.closeServer()
			return err
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.sumsSentAt = time.Now()
	p.pilotClient = newPilotClient(p)
	p.bindingStore.start()
	p.goroutines.Add(2)
	go func() { defer p.goroutines.Done(); p.pilotClient.run(ctx) }()
	go func() { defer p.goroutines.Done(); p.sendSumsPeriodically(ctx) }()
	p.log.Info("proxy runs", "listen", p.server.Address(), "zone", p.settings.Zone, "standing", len(p.standingServers))
	return nil
}

// Address returns the address on which the proxy accepts clients.
func (p *Proxy) Address() string { return p.server.Address() }

// stopIdleTimeout is how long a stopping proxy keeps a client connection on which no request arrives. A client that sends a
// request within this time learns from the response that the connection closes; an idle client finds its connection closed.
const stopIdleTimeout = 2 * time.Second

// Stop shuts the proxy down gracefully. It accepts no new connections and answers requests on open connections with a
// response that announces the close, until the clients have closed, the connections have been idle for stopIdleTimeout, or
// ctx ends. It then sends the last sums and closes the stream to the pilot. A concurrent second call waits for the first one
// and does not shorten it.
func (p *Proxy) Stop(ctx context.Context) {
	if p.cancel == nil { // Start was not called or failed
		return
	}
	p.stopOnce.Do(func() { p.stop(ctx) })
}

// stopTimeout returns the longest time for which a stopping proxy may keep answering requests: stopIdleTimeout, plus the
// longest op timeout for requests that arrive until then, plus one second.
func (p *Proxy) stopTimeout() time.Duration {
	longest := time.Duration(0)
	for i := range p.opTypes {
		longest = max(longest, p.opTypes[i].OpTimeout)
	}
	return stopIdleTimeout + longest + time.Second
}

// ShutdownTimeout returns the longest time from the call of Stop to the end of the process: what Stop may take, with
// endTimeout for the stream to the pilot, and a second for the rest.
func (p *Proxy) ShutdownTimeout() time.Duration { return p.stopTimeout() + endTimeout + time.Second }

func (p *Proxy) stop(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, p.stopTimeout())
	defer cancel()
	p.server.Stop(ctx)
	p.sendSums(time.Now())
	p.pilotClient.end()
	p.cancel()
	p.goroutines.Wait()
	if p.admin != nil {
		p.admin.Stop()
	}
	p.pool.Close()
	p.bindingStore.close()
	p.log.Info("proxy stopped", "ops", p.counters.ops.Load())
}

// typeOf returns the index of the first op type whose match rule fits the request, or -1 if none does.
func (p *Proxy) typeOf(m *http1.Message) int {
	for i := range p.opTypes {
		t := &p.opTypes[i]
		if len(t.method) > 0 && !bytes.Equal(t.method, m.Method) || !bytes.HasPrefix(m.Target, t.pathPrefix) {
			continue
		}
		if t.header != "" && !bytes.Equal(m.Get(t.header), t.headerValue) {
			continue
		}
		return i
	}
	return -1
}

// admit reports whether an op is admitted at the given share. It spaces the admitted ops evenly among all ops of the type.
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

// scratch holds the buffers that a client connection reuses from op to op.
type scratch struct{ request, response []byte }

// maxScratchKept is the capacity, in bytes, up to which a connection keeps a buffer for its next op.
const maxScratchKept = 8 << 10

// trim gives up large buffers, which would stay allocated to idle connections.
func (s *scratch) trim() {
	if cap(s.request) > maxScratchKept {
		s.request = nil
	}
	if cap(s.response) > maxScratchKept {
		s.response = nil
	}
}

// handle processes one request: it applies admission, forwards the op to a server, retries where allowed, and answers the
// client.
func (p *Proxy) handle(c *serve.Conn, m *http1.Message) {
	arrived := time.Now()
	buffers := c.Data.(*scratch)
	defer buffers.trim()
	typeIndex := p.typeOf(m)
	if typeIndex < 0 {
		p.answer(c, buffers, 404, "no op type matches", 0)
		return
	}
	t := &p.opTypes[typeIndex]
	t.ops.Add(1)
	p.counters.ops.Add(1)
	current := p.current.Load()
	opLevel := current.level(typeIndex, p.settings.Service.DefaultRetryPolicy())
	if !t.admit(opLevel.share) {
		p.reject(c, buffers, "not let in")
		return
	}
	owner := p.tenants.identify(c, m)
	tenantLimit := unlimited
	if owner != nil {
		if limit, ok := current.limits[owner.name]; ok {
			tenantLimit = limit
		}
	}
	if !owner.admit(tenantLimit, t.rank, arrived.Sub(p.started)) {
		p.reject(c, buffers, "over the tenant's limit")
		return
	}
	defer owner.opDone()
	if owner != nil && current.bindings.holdsWrites(owner.name, &t.OpType, arrived.Sub(p.started)) {
		p.counters.held.Add(1)
		p.reject(c, buffers, "the tenant is being moved")
		return
	}
	key := m.Get("Idempotency-Key")
	group, known := p.placeWrite(typeIndex, owner, key, current, tenantLimit, arrived.Sub(p.started))
	if !known {
		p.counters.unplaced.Add(1)
		p.reject(c, buffers, "the write's group is not known")
		return
	}
	deadline := arrived.Add(t.OpTimeout)
	buffers.request = p.request(buffers.request[:0], m)
	isHead := string(m.Method) == "HEAD"
	history := tryHistory{opType: t.OpType, hasKey: len(key) > 0}
	var tried []*server
	call := &upstream.Call{}
	c.OnDisconnect(call.Cancel)
	defer c.OnDisconnect(nil)
	var lastFailure *upstream.Failure
	for {
		tryStart := time.Now()
		pick := func(mayUse func(*server) bool) *server {
			return current.pickFor(typeIndex, tryStart, func(target *server) bool {
				return mayUse(target) && (!t.OwnZoneOnly || target.Zone == p.zone) && !slices.Contains(tried, target) &&
					history.mayRunAt(target.Server, tryStart)
			})
		}
		var target *server
		if group != nil {
			target = pick(group.contains)
		} else {
			target = p.pickUngrouped(typeIndex, owner, current, tenantLimit, tryStart.Sub(p.started), pick)
		}
		if target == nil {
			break
		}
		history.recordSent()
		until := deadline
		if opLevel.retry >= control.RetryOnce && history.count < maxTries(opLevel.retry) && p.settings.Service.TryShare > 0 {
			if short := tryStart.Add(time.Duration(p.settings.Service.TryShare * float64(t.TargetLatency))); short.Before(until) {
				until = short
			}
		}
		response, failure := p.pool.Send(call, target.address, buffers.request, until, isHead)
		took := time.Since(tryStart)
		p.tenants.recordTry(owner, target, failure != nil || response.Status >= 500, took)
		if failure == nil {
			status := response.Status // read first: forwardResponse releases the response
			if p.forwardResponse(c, buffers, response, target, took, &history, tryStart, opLevel.retry, deadline, isHead) {
				if status >= 500 {
					t.unacked.Add(1)
				} else {
					p.counters.acked.Add(1)
				}
				return
			}
		} else {
			if failure.Cancelled {
				target.recordTry(false, took, nil, 0, 0)
				t.unacked.Add(1)
				p.counters.aborted.Add(1)
				c.CloseAfterAnswer()
				return
			}
			target.recordTry(false, took, nil, p.settings.Service.OutlierAfter, p.settings.Service.OutlierFor.AsDuration())
			history.recordFailure(target, tryStart, failure.NotSent)
		}
		lastFailure = failure
		tried = append(tried, target)
		if !history.mayRetry(opLevel.retry) || !time.Now().Before(deadline) || !owner.spendTry() {
			break
		}
		p.counters.retried.Add(1)
		current = p.current.Load() // reload, so that a server drained since the previous try is not used
		opLevel = current.level(typeIndex, p.settings.Service.DefaultRetryPolicy())
		if owner != nil && current.bindings.holdsWrites(owner.name, &t.OpType, time.Since(p.started)) {
			break // the tenant began to move after the op was admitted
		}
	}
	t.unacked.Add(1)
	p.counters.aborted.Add(1)
	p.answerFailure(c, buffers, lastFailure, group != nil, history.ran())
}

// reject answers an op that was not admitted, and was therefore not run, with status 503 and a Retry-After field.
func (p *Proxy) reject(c *serve.Conn, buffers *scratch, text string) {
	p.counters.rejected.Add(1)
	p.answer(c, buffers, http1.StatusUnrun, text, p.retryAfter())
}

// answerFailure answers an op for which no further try is allowed or possible. lastFailure is why the last try got no
// response; nil if no try was made or the last one got an error response. placed reports whether the op was bound to a write
// group, ran whether any try may have run.
func (p *Proxy) answerFailure(c *serve.Conn, buffers *scratch, lastFailure *upstream.Failure, placed, ran bool) {
	switch {
	case lastFailure != nil && lastFailure.Timeout:
		p.answer(c, buffers, 504, "no answer in time", p.retryAfter())
	case lastFailure == nil && placed && !ran:
		p.counters.unplaced.Add(1)
		p.answer(c, buffers, http1.StatusUnrun, "no server of the write's group", p.retryAfter())
	case lastFailure == nil && !ran:
		p.answer(c, buffers, http1.StatusUnrun, "no server", p.retryAfter())
	case !ran: // the client may safely retry
		p.answer(c, buffers, http1.StatusUnrun, "no server took it", p.retryAfter())
	default:
		p.answer(c, buffers, 502, "no answer", p.retryAfter())
	}
}

// pickUngrouped picks a server for a try that is not bound to a write group: from the tenant's subset, or from the pod that
// the tenant may borrow while its subset is unavailable. It returns nil if no server can be used.
func (p *Proxy) pickUngrouped(typeIndex int, owner *tenant, current *tables, limit tenancy.Limit,
	sinceStart time.Duration, pick func(func(*server) bool) *server) *server {
	subset := p.tenants.allowedPods(owner, current.byOpType[typeIndex], current.bindings, limit, sinceStart)
	writes := p.opTypes[typeIndex].Repeat != control.Retryable
	target, borrowed := p.tenants.pickServer(owner, current.byOpType[typeIndex], subset, limit.Limited(), writes, sinceStart,
		current.bindings.writeWait, func(subset []tenancy.PodID) *server {
			return pick(func(target *server) bool { return subset == nil || slices.Contains(subset, target.pod()) })
		})
	if borrowed {
		p.counters.borrowed.Add(1)
	}
	return target
}

// forwardResponse records the outcome of a try and forwards the response to the client. It returns false, without
// forwarding, if the response is a failure after which another try is allowed, or if it states that the op was not run while
// an earlier try may have run it. The server connection is released before the client is written to, because the client may
// read slowly.
func (p *Proxy) forwardResponse(c *serve.Conn, buffers *scratch, response *upstream.Response, target *server,
	took time.Duration, history *tryHistory, tryStart time.Time, retry control.RetryPolicy, deadline time.Time, isHead bool) bool {
	good := response.Status < 500
	target.recordTry(good, took, p.parseLoad(response.Get(http1.LoadHeader)), p.settings.Service.OutlierAfter,
		p.settings.Service.OutlierFor.AsDuration())
	if !good {
		unrun := response.IsUnrun()
		history.recordFailure(target, tryStart, unrun)
		if history.mayRetry(retry) && time.Now().Before(deadline) || unrun && history.ran() {
			response.Release()
			return false
		}
	}
	b := http1.AppendStatus(buffers.response[:0], response.Status)
	b = http1.AppendForwardedFields(b, response.Message)
	if !good && response.Get("Retry-After") == nil {
		b = http1.AppendField(b, "Retry-After", p.retryAfterText())
	}
	buffers.response = http1.AppendForwardedBody(b, response.Message, isHead)
	response.Release()
	_ = c.Answer(buffers.response)
	return true
}

func (p *Proxy) retryAfter() time.Duration {
	if d := p.settings.RetryAfter.AsDuration(); d > 0 {
		return d
	}
	return time.Second
}

// retryAfterText returns the value of the Retry-After field: whole seconds, as RFC 9110 requires, rounded up and at least 1.
func (p *Proxy) retryAfterText() string {
	return strconv.Itoa(max(1, int((p.retryAfter()+time.Second-1)/time.Second)))
}

// answer sends a plain-text response that originates from the proxy itself. A Retry-After field is added if retryAfter is
// positive. Status http1.StatusUnrun states that no try of the op has run.
func (p *Proxy) answer(c *serve.Conn, buffers *scratch, status int, text string, retryAfter time.Duration) {
	b := http1.AppendStatus(buffers.response[:0], status)
	b = http1.AppendField(b, "Content-Type", "text/plain; charset=utf-8")
	b = http1.AppendField(b, "Via", "1.1 p"+strconv.Itoa(int(p.settings.ID)))
	if status == http1.StatusUnrun {
		b = http1.AppendField(b, http1.UnrunHeader, "1")
	}
	if retryAfter > 0 {
		b = http1.AppendField(b, "Retry-After", p.retryAfterText())
	}
	buffers.response = http1.AppendBody(b, append([]byte(text), '\n'))
	_ = c.Answer(buffers.response)
}

// request appends to b the request that is sent to a server.
func (p *Proxy) request(b []byte, m *http1.Message) []byte {
	b = http1.AppendRequest(b, m.Method, m.Target)
	b = http1.AppendForwardedFields(b, m)
	b = http1.AppendField(b, "Via", "1.1 p"+strconv.Itoa(int(p.settings.ID)))
	return http1.AppendBody(b, m.Body)
}

// parseLoad parses a server's load report and returns its values in the order of the service's measures, 0 for a measure
// that the report lacks. It returns nil if there is no usable report or no measure is configured.
func (p *Proxy) parseLoad(v []byte) []float64 {
	if len(v) == 0 || len(p.settings.Service.Measures) == 0 {
		return nil
	}
	l := http1.ParseLoadReport(v)
	if len(l) == 0 {
		return nil
	}
	out := make([]float64, len(p.settings.Service.Measures))
	for i, name := range p.settings.Service.Measures {
		out[i] = l[name]
	}
	return out
}

// sendSumsPeriodically sends the collected sums to the pilot every report period until ctx ends.
func (p *Proxy) sendSumsPeriodically(ctx context.Context) {
	t := time.NewTicker(p.settings.Service.ReportEvery.AsDuration())
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

// sendSums sends the sums collected since the last report. While no pilot is joined it sends nothing, and the sums keep
// accumulating. It also drops bindings that no longer differ from the default placement.
func (p *Proxy) sendSums(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropDefaultBindings()
	if !p.pilotClient.joined() {
		return
	}
	sums := runtime.Sums{Window: now.Sub(p.sumsSentAt)}
	p.sumsSentAt = now
	for i := range p.opTypes {
		t := &p.opTypes[i]
		sums.Types = append(sums.Types, runtime.TypeSum{OpType: i, Ops: int(t.ops.Swap(0)), Unacked: int(t.unacked.Swap(0))})
	}
	for _, e := range p.servers.all() {
		if sum, ok := e.takeSum(); ok {
			sums.Servers = append(sums.Servers, sum)
		}
	}
	sums.Tenants = p.tenants.takeSums()
	p.pilotClient.send(sums.Append(nil))
}

// dropDefaultBindings removes bindings that no longer differ from the default placement. p.mu must be held.
func (p *Proxy) dropDefaultBindings() {
	next := *p.current.Load()
	remaining, dropped := next.bindings.dropDefaults(time.Since(p.started))
	if len(dropped) == 0 {
		return
	}
	next.bindings = remaining
	p.current.Store(&next)
	p.bindingStore.save(remaining, dropped)
}

// apply puts a pilot's message into force. Either all its changes take effect or, if it returns an error, none.
func (p *Proxy) apply(m *runtime.Message) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.applyLocked(m)
}

// applyLocked is apply for callers that hold p.mu.
func (p *Proxy) applyLocked(m *runtime.Message) error {
	next, err := p.current.Load().apply(m, &p.servers, len(p.opTypes), p.rng)
	if err != nil {
		return err
	}
	before := next.bindings
	var changed map[string]tenancy.Binding
	if next.bindings, changed = before.apply(m, time.Since(p.started)); next.bindings != before {
		p.bindingStore.save(next.bindings, changed)
	}
	p.current.Store(next)
	p.counters.applied.Add(1)
	if slices.ContainsFunc(m.Changes, func(c runtime.Change) bool {
		return c.Verb != runtime.SetWeight && c.Verb != runtime.SetState
	}) {
		for _, e := range p.servers.retain(next) {
			p.pool.CloseIdle(e.address)
		}
	}
	for _, c := range m.Changes {
		if c.Verb == runtime.SetState && c.Drained {
			p.servers.mu.Lock()
			e := p.servers.byID[c.Endpoint]
			p.servers.mu.Unlock()
			if e != nil {
				p.pool.CloseIdle(e.address)
			}
		}
	}
	return nil
}

// Kill stops the proxy abruptly, as if its process had been killed: connections break, and neither clients nor the pilot are
// notified.
func (p *Proxy) Kill() {
	if p.cancel == nil {
		return
	}
	p.cancel()
	p.pool.Close()
	p.closeServer()
	p.goroutines.Wait()
	if p.admin != nil {
		p.admin.Close()
	}
	p.bindingStore.close()
}

// closeServer closes the client listener and all client connections at once.
func (p *Proxy) closeServer() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	p.server.Stop(ctx)
}

// OpenConnections returns the number of open connections to servers.
func (p *Proxy) OpenConnections() int64 { return p.pool.OpenConnections() }

// ConnectionsOpened returns the number of connections to servers opened since the start.
func (p *Proxy) ConnectionsOpened() int64 { return p.pool.TotalOpened.Load() }

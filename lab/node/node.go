// Package node is a stand-in for a server. It models a number of cores, a bounded queue of ops, a cold start during
// which too much work crashes the process, and injectable faults. Service is modelled by time: an op of a given
// amount of work occupies a core for that long without using CPU. New makes a node, Start runs it, and the Ledger
// records what arrived and took effect.
package node

import (
	"bytes"
	"context"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"vetchdoor/control"
	"vetchdoor/files"
	"vetchdoor/http1"
	"vetchdoor/lab/sign"
	"vetchdoor/serve"
	"vetchdoor/stream"
)

// Header fields in which the clients of the laboratory describe their ops.
const (
	OpField   = "Lab-Op"   // unique number of the op
	TryField  = "Lab-Try"  // the client's own try, from 0
	TypeField = "Lab-Type" // index of the op type
	WorkField = "Lab-Work" // work of the op, in microseconds of a core of speed 1
	KillField = "Lab-Kill" // present: the node that receives the op stops its process
	SizeField = "Lab-Size" // size of the response body, in bytes
)

// defaultWork is the work of an op without a WorkField.
const defaultWork = time.Millisecond

// Node is a stand-in for one server.
type Node struct {
	config   files.NodeAt
	machine  files.Machine
	limits   files.Limits
	types    []control.OpType
	measures []string
	zone     int
	ledger   *Ledger
	speed    float64
	Killed   func()     // called after an op with a KillField has stopped the node; may be nil
	Net      stream.Net // the network to listen on; nil: sockets

	mu          sync.Mutex
	rng         *rand.Rand
	server      *serve.Server
	address     string
	up          bool
	started     time.Time // start of a cold process; zero if the process started warm
	conns       int
	queue       []*job
	running     map[*job]bool
	recentWork  []workSample // work received within the last FallAfter; nil unless the node is cold
	crashed     bool
	stopping    bool // an op with a KillField has arrived; the process is being stopped
	faults      Faults
	pausedUntil time.Time // no job starts or ends before this time
	load        load
}

// Faults are the faults injected into a node; the zero value has none.
type Faults struct {
	Hang     bool                 // ops are accepted and not answered while set
	Silent   bool                 // nothing is sent on any connection
	SilentTo func(proxy int) bool // like Silent, but only for the proxies for which it returns true

	// PathFrom returns the extra delay of ops from a proxy and the share of them that is lost.
	PathFrom func(proxy int) (delay time.Duration, lossShare float64)

	Draining        bool          // new ops are refused without being run
	ErrorShare      float64       // share of ops that fail at once
	LostAnswerShare float64       // share of ops that run and whose answer is lost
	SlowFactor      float64       // factor by which the cores are slower; 0 for none
	HandshakeFactor float64       // factor on the work of a handshake; 0 for none
	FirstOpDelay    time.Duration // delay of the first op of each connection
	HeavyShare      float64       // share of the ops of HeavyType whose work is multiplied by HeavyFactor
	HeavyFactor     float64
	HeavyType       int
}

// workSample is work received at a time.
type workSample struct {
	at   time.Time
	work time.Duration
}

// load holds the figures of the load reports and the last report sent.
type load struct {
	windowStart     time.Time
	busyCoreSeconds float64 // core seconds used since windowStart
	busyUpdated     time.Time
	latency         float64 // exponential moving average of service time without queueing, in milliseconds
	acked           int
	failed          int
	lastReport      []byte
}

// job is an op, or the handshake of a new connection, that is queued or running.
type job struct {
	Arrival
	work       time.Duration
	key        string
	writes     bool
	receivedAt time.Time
	startedAt  time.Time
	timer      *time.Timer
	done       chan outcome
	clientGone chan struct{} // closed when the client has disconnected
	ended      bool
	abandoned  bool // the client disconnected before the answer
}

type outcome byte

const (
	acked outcome = iota
	errored
	answerLost
	dropped
)

// New makes a node that is not running. s gives the op types and load measures, and limits gives the overload that
// crashes a cold node. seed seeds the random draws of the node's speed and of the ops that a fault affects.
func New(config files.NodeAt, m files.Machine, s *files.Service, limits files.Limits, seed uint64, l *Ledger) *Node {
	n := &Node{config: config, machine: m, limits: limits, types: s.Types(), measures: s.Measures,
		zone: s.ZoneIndex(config.Zone), ledger: l, rng: rand.New(rand.NewPCG(seed, uint64(config.Endpoint))), running: map[*job]bool{}}
	n.speed = config.Speed
	if n.speed <= 0 {
		n.speed = m.Speed[0] + n.rng.Float64()*(m.Speed[1]-m.Speed[0])
	}
	n.address = config.Listen
	return n
}

// Endpoint returns the number of the endpoint.
func (n *Node) Endpoint() control.EndpointID { return control.EndpointID(n.config.Endpoint) }

// Config returns the node's entry in the settings.
func (n *Node) Config() files.NodeAt { return n.config }

// Capacity returns the work per second that the node does when warm, in core seconds of speed 1.
func (n *Node) Capacity() float64 { return n.speed * float64(n.machine.Cores) }

// Address returns the address the node listens on.
func (n *Node) Address() string { return n.address }

// Running reports whether the process is running.
func (n *Node) Running() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.up
}

// Started returns the start of a cold process; it is zero if the process started warm.
func (n *Node) Started() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.started
}

// Start starts the process, cold or already warm. It does nothing if the process is running or has crashed from
// overload, and fails if the address cannot be listened on.
func (n *Node) Start(cold bool) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stopping = false
	if n.up || n.crashed {
		return nil
	}
	s := &serve.Server{Handle: n.handle, Accept: n.connOpened, Closed: n.connClosed, Net: n.Net, DrainTimeout: drainIdleTimeout}
	if err := s.Start(n.address); err != nil {
		return err
	}
	now := time.Now()
	n.server, n.address, n.up, n.conns = s, s.Address(), true, 0
	n.started, n.recentWork, n.faults, n.pausedUntil = time.Time{}, nil, Faults{}, time.Time{}
	if cold {
		n.started = now
	}
	n.load = load{windowStart: now, busyUpdated: now}
	return nil
}

// drainIdleTimeout is how long a connection without requests stays open during Shutdown.
const drainIdleTimeout = time.Second

// Shutdown stops the process gracefully: it answers the ops in progress and those that still arrive on open
// connections, until these have closed or the context ends.
func (n *Node) Shutdown(ctx context.Context) {
	n.mu.Lock()
	s := n.server
	n.mu.Unlock()
	if s != nil {
		s.Stop(ctx)
	}
	n.Stop()
}

// Stop ends the process at once: connections are closed and ops in progress are lost.
func (n *Node) Stop() {
	n.mu.Lock()
	s := n.server
	if !n.up {
		n.mu.Unlock()
		return
	}
	n.up, n.server = false, nil
	jobs := append([]*job(nil), n.queue...)
	for j := range n.running {
		jobs = append(jobs, j)
	}
	n.queue = nil
	for _, j := range jobs {
		n.endJob(j, dropped)
	}
	n.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	s.Stop(ctx)
}

// UpdateFaults changes the injected faults. When Hang or Silent is cleared, all running jobs finish at once, or at the end
// of a Pause.
func (n *Node) UpdateFaults(change func(t *Faults)) {
	n.mu.Lock()
	was := n.faults
	change(&n.faults)
	if was.Hang && !n.faults.Hang || was.Silent && !n.faults.Silent {
		for j := range n.running {
			n.setTimer(j, 0)
		}
	}
	n.startJobs()
	n.mu.Unlock()
}

// Pause suspends processing for a duration: no job starts or ends before the duration is over.
func (n *Node) Pause(d time.Duration) {
	n.mu.Lock()
	n.pausedUntil = time.Now().Add(d)
	n.mu.Unlock()
	time.AfterFunc(d, func() {
		n.mu.Lock()
		n.startJobs()
		n.mu.Unlock()
	})
}

// warmupFactor returns the share of its full speed that the node has at a time. It rises linearly from ColdShare to 1
// over ColdFor.
func (n *Node) warmupFactor(now time.Time) float64 {
	if n.started.IsZero() || n.machine.ColdFor <= 0 {
		return 1
	}
	part := float64(now.Sub(n.started)) / float64(n.machine.ColdFor)
	return min(1, n.machine.ColdShare+(1-n.machine.ColdShare)*part)
}

// coreSpeed returns the work per second of one core, reduced by connections, a slow fault and the number of ops held.
func (n *Node) coreSpeed(now time.Time) float64 {
	m := &n.machine
	speed := n.speed * n.warmupFactor(now) * (1 - m.ConnectionTax*float64(n.conns)/float64(m.Connections))
	if n.faults.SlowFactor > 0 {
		speed /= n.faults.SlowFactor
	}
	if held := float64(len(n.queue) + len(n.running)); m.SlowsAt > 0 && held > m.SlowsAt {
		speed /= 1 + m.SlowsBy*(held/m.SlowsAt-1)
	}
	return speed
}

// connOpened accepts a connection and queues the work of its handshake. It refuses the connection beyond the
// machine's limit.
func (n *Node) connOpened(c *serve.Conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.up || n.conns >= n.machine.Connections {
		return false
	}
	n.conns++
	if d := n.machine.Handshake.AsDuration(); d > 0 {
		if x := n.faults.HandshakeFactor; x > 0 {
			d = time.Duration(float64(d) * x)
		}
		n.queue = append(n.queue, &job{work: d, receivedAt: time.Now(), done: make(chan outcome, 1), Arrival: Arrival{OpType: -1}})
		n.startJobs()
	}
	return true
}

func (n *Node) connClosed(c *serve.Conn) {
	n.mu.Lock()
	n.conns--
	n.mu.Unlock()
}

// handle serves one try of an op, or a probe.
func (n *Node) handle(c *serve.Conn, m *http1.Message) {
	if string(m.Target) == "/probe" {
		n.answerProbe(c)
		return
	}
	number, err := sign.Check(m)
	if err != nil {
		n.ledger.RecordMixUp(err.Error())
	}
	j := n.parseJob(m)
	j.receivedAt = time.Now()
	n.mu.Lock()
	j.At, j.Endpoint = n.ledger.now(), n.Endpoint()
	t := n.faults
	full := len(n.queue)+len(n.running) >= n.machine.Slots+n.machine.Queue
	j.Accepted = n.up && !t.Draining && !full
	n.ledger.recordArrival(j.Arrival)
	silent := t.Silent || t.SilentTo != nil && t.SilentTo(j.Proxy)
	delay := t.FirstOpDelay
	if c.Data != nil { // an earlier op used this connection
		delay = 0
	}
	c.Data = n
	if t.PathFrom != nil {
		pathDelay, lossShare := t.PathFrom(j.Proxy)
		delay += pathDelay
		silent = silent || n.rng.Float64() < lossShare
	}
	if delay > 0 && !silent {
		n.mu.Unlock()
		time.Sleep(delay)
		n.mu.Lock()
	}
	if silent {
		n.mu.Unlock()
		c.OnDisconnect(func() { close(j.clientGone) })
		<-j.clientGone
		return
	}
	if m.Get(KillField) != nil && j.Accepted {
		first := !n.stopping
		n.stopping = true
		n.mu.Unlock()
		if first {
			go func() {
				n.Stop()
				if n.Killed != nil {
					n.Killed()
				}
			}()
		}
		c.Drop()
		return
	}
	if n.overloaded(j.work) {
		n.crashed = true
		n.ledger.recordCrash(Crash{At: j.At, Endpoint: j.Endpoint})
		n.mu.Unlock()
		go n.Stop()
		c.Drop()
		return
	}
	switch {
	case !j.Accepted:
		n.mu.Unlock()
		b := http1.AppendField(http1.AppendStatus(nil, 503), http1.UnrunHeader, "1")
		b = http1.AppendField(b, "Retry-After", "1")
		_ = c.Answer(http1.AppendBody(n.appendReport(b), nil))
		return
	case n.rng.Float64() < max(t.ErrorShare, n.machine.ErrorRate):
		n.load.failed++
		n.mu.Unlock()
		_ = c.Answer(http1.AppendBody(n.appendReport(http1.AppendStatus(nil, 500)), nil))
		return
	}
	if t.HeavyShare > 0 && j.OpType == t.HeavyType && n.rng.Float64() < t.HeavyShare {
		j.work = time.Duration(float64(j.work) * t.HeavyFactor)
	}
	n.queue = append(n.queue, j)
	n.startJobs()
	n.mu.Unlock()
	c.OnDisconnect(func() { n.cancel(j) })
	v := dropped
	select {
	case v = <-j.done:
	case <-j.clientGone:
	}
	c.OnDisconnect(nil)
	switch v {
	case acked:
		body := []byte("ok\n")
		if size, err := strconv.Atoi(string(m.Get(SizeField))); err == nil && size > 0 && size <= 1<<20 {
			body = bytes.Repeat([]byte("x"), size)
		}
		b := n.appendReport(http1.AppendStatus(nil, 200))
		if number != nil {
			b = http1.AppendField(b, sign.Field, number)
		}
		_ = c.Answer(http1.AppendBody(b, body))
	case errored:
		_ = c.Answer(http1.AppendBody(n.appendReport(http1.AppendStatus(nil, 500)), nil))
	default:
		c.Drop()
	}
}

// parseJob makes a job from the header fields of a request.
func (n *Node) parseJob(m *http1.Message) *job {
	j := &job{work: defaultWork, done: make(chan outcome, 1), clientGone: make(chan struct{}),
		key: string(m.Get("Idempotency-Key"))}
	j.Proxy = -1
	if via := string(m.Get("Via")); strings.HasPrefix(via, "1.1 p") {
		if id, err := strconv.ParseUint(via[len("1.1 p"):], 10, 16); err == nil {
			j.Proxy = int(id)
		}
	}
	j.Op, _ = strconv.ParseUint(string(m.Get(OpField)), 10, 64)
	j.Try, _ = strconv.Atoi(string(m.Get(TryField)))
	j.OpType, _ = strconv.Atoi(string(m.Get(TypeField)))
	if j.OpType < 0 || j.OpType >= len(n.types) {
		j.OpType = 0
	}
	if us, err := strconv.ParseInt(string(m.Get(WorkField)), 10, 64); err == nil && us >= 0 && us < 1e9 {
		j.work = time.Duration(us) * time.Microsecond
	}
	j.Work = j.work
	j.writes = n.types[j.OpType].Writes
	return j
}

// overloaded records work that arrived at a cold node and reports whether it is more than the node survives:
// OverloadFactor times its present capacity over FallAfter. Twice the work of the largest of these ops is allowed
// in addition.
func (n *Node) overloaded(work time.Duration) bool {
	now := time.Now()
	if n.crashed || !n.up || n.started.IsZero() || n.warmupFactor(now) >= 1 || n.limits.FallAfter <= 0 {
		n.recentWork = nil
		return false
	}
	n.recentWork = append(n.recentWork, workSample{now, work})
	span := n.limits.FallAfter.AsDuration()
	for len(n.recentWork) > 0 && now.Sub(n.recentWork[0].at) > span {
		n.recentWork = n.recentWork[1:]
	}
	total, most := time.Duration(0), time.Duration(0)
	for _, s := range n.recentWork {
		total += s.work
		most = max(most, s.work)
	}
	limit := n.limits.OverloadFactor * n.Capacity() * n.warmupFactor(now) * span.Seconds()
	return (total - 2*most).Seconds() > limit
}

// startJobs starts queued jobs on free cores; n.mu is held.
func (n *Node) startJobs() {
	now := time.Now()
	n.updateBusyTime(now)
	if !n.up || now.Before(n.pausedUntil) {
		return
	}
	for len(n.running) < n.machine.Cores && len(n.queue) > 0 {
		j := n.queue[0]
		n.queue[0] = nil
		n.queue = n.queue[1:]
		if j.ended {
			continue
		}
		speed := n.coreSpeed(now)
		j.startedAt = now
		n.running[j] = true
		n.setTimer(j, time.Duration(float64(j.work)/speed))
	}
}

// setTimer schedules the end of a running job; n.mu is held.
func (n *Node) setTimer(j *job, after time.Duration) {
	if j.timer != nil {
		j.timer.Stop()
	}
	j.timer = time.AfterFunc(after, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		switch wait := time.Until(n.pausedUntil); {
		case j.ended:
		case n.faults.Hang || n.faults.Silent: // UpdateFaults sets the timer again when the fault ends
		case wait > 0:
			n.setTimer(j, wait)
		default:
			n.finish(j)
		}
	})
}

// finish records a job that has run to its end, answers it and starts queued jobs; n.mu is held.
func (n *Node) finish(j *job) {
	v := acked
	if j.OpType >= 0 {
		t := &n.types[j.OpType]
		if n.rng.Float64() < n.faults.LostAnswerShare {
			v = answerLost
		}
		if j.writes {
			window := time.Duration(0)
			if t.Repeat == control.Deduplicated {
				window = t.DedupWindow
			}
			n.ledger.recordEffect(Effect{n.ledger.now(), j.At, j.Endpoint, j.Op, j.OpType}, n.dedupGroup(t), j.key, window)
		}
		n.load.acked++
		took := float64(time.Since(j.startedAt)) / float64(time.Millisecond)
		if n.load.latency == 0 {
			n.load.latency = took
		}
		n.load.latency += 0.1 * (took - n.load.latency)
	}
	n.ledger.recordWork(j.work, j.OpType < 0 || v != acked || j.abandoned)
	n.endJob(j, v)
	n.startJobs()
}

// dedupGroup returns the key of the group of endpoints that deduplicate an op type together; empty for an op type
// without a group.
func (n *Node) dedupGroup(t *control.OpType) string {
	switch t.Group {
	case control.GroupZone:
		return "zone " + strconv.Itoa(n.zone)
	case control.GroupPack:
		return "pack " + strconv.Itoa(n.zone) + " " + strconv.Itoa(n.config.Pack)
	}
	return ""
}

// endJob removes a job and reports its outcome to the handler; n.mu is held.
func (n *Node) endJob(j *job, v outcome) {
	if j.ended {
		return
	}
	j.ended = true
	if j.timer != nil {
		j.timer.Stop()
	}
	n.updateBusyTime(time.Now())
	delete(n.running, j)
	j.done <- v
}

// cancel handles the disconnection of the client of a job. The job ends early if the machine cancels such work, and
// runs on otherwise.
func (n *Node) cancel(j *job) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if j.abandoned || j.ended {
		return
	}
	j.abandoned = true
	close(j.clientGone)
	if !n.machine.Cancels {
		return // the job runs to its end; its answer is discarded
	}
	if n.running[j] {
		n.ledger.recordWork(time.Duration(float64(time.Since(j.startedAt))*n.speed), true)
	}
	n.endJob(j, dropped)
	n.startJobs()
}

// updateBusyTime adds the core seconds used since its last call; n.mu is held.
func (n *Node) updateBusyTime(now time.Time) {
	n.load.busyCoreSeconds += now.Sub(n.load.busyUpdated).Seconds() * float64(len(n.running))
	n.load.busyUpdated = now
}

// appendReport appends the load report header field, which is renewed at most once in a report period.
func (n *Node) appendReport(b []byte) []byte {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	every := max(n.machine.ReportEvery.AsDuration(), 10*time.Millisecond)
	if span := now.Sub(n.load.windowStart); span >= every || n.load.lastReport == nil {
		n.updateBusyTime(now)
		l := &n.load
		if span >= every || span > 0 && l.lastReport == nil {
			util := min(1, l.busyCoreSeconds/span.Seconds()/float64(n.machine.Cores))
			l.lastReport = n.formatReport(util, span)
			l.busyCoreSeconds, l.windowStart, l.acked, l.failed = 0, now, 0, 0
		}
	}
	return append(b, n.load.lastReport...)
}

// formatReport returns the load report header field with the configured measures over a span; nil if there are none.
func (n *Node) formatReport(util float64, span time.Duration) []byte {
	b := append([]byte(http1.LoadHeader), ": TEXT "...)
	for i, name := range n.measures {
		if i > 0 {
			b = append(b, ',')
		}
		var x float64
		switch name {
		case "cpu_utilization":
			x = util
		case "inflight":
			x = float64(len(n.queue) + len(n.running))
		case "queue":
			x = float64(len(n.queue))
		case "latency_ms":
			x = n.load.latency
		case "rps_fractional":
			x = float64(n.load.acked) / span.Seconds()
		case "eps":
			x = float64(n.load.failed) / span.Seconds()
		}
		if name != "cpu_utilization" && name != "rps_fractional" && name != "eps" {
			b = append(b, "named_metrics."...)
		}
		b = strconv.AppendFloat(append(append(b, name...), '='), x, 'f', 3, 64)
	}
	if len(n.measures) == 0 {
		return nil
	}
	return append(b, "\r\n"...)
}

// answerProbe answers a health probe with the load report. It bypasses the queue; a draining node answers 503, a
// silent one does not answer.
func (n *Node) answerProbe(c *serve.Conn) {
	n.mu.Lock()
	t := n.faults
	n.mu.Unlock()
	switch {
	case t.Silent:
		clientGone := make(chan struct{})
		c.OnDisconnect(func() { close(clientGone) })
		<-clientGone
	case t.Draining:
		_ = c.Answer(http1.AppendBody(n.appendReport(http1.AppendStatus(nil, 503)), nil))
	default:
		_ = c.Answer(http1.AppendBody(n.appendReport(http1.AppendStatus(nil, 200)), nil))
	}
}

// Package node is the stand-in for a server: cores, slots, a bounded queue, a cold start with a budget past which it
// falls over, and the troubles that servers have. Its service is modelled time: an op of so much work holds a core for
// that long and costs this machine next to nothing. New and Start are the way in; the ledger keeps what came.
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

// Fields by which clients of the laboratory mark their ops.
const (
	OpField   = "Lab-Op"   // a number for each op
	TryField  = "Lab-Try"  // the client's own tries, from 0
	TypeField = "Lab-Type" // the op type's place
	WorkField = "Lab-Work" // in microseconds of a core of speed 1
	KillField = "Lab-Kill" // what serves this op dies
	SizeField = "Lab-Size" // bytes of the answer
)

// usualWork is the work of an op that does not say.
const usualWork = time.Millisecond

// Node is a running stand-in.
type Node struct {
	at      files.NodeAt
	machine files.Machine
	limits  files.Limits
	types   []control.OpType
	measure []string
	zone    int
	ledger  *Ledger
	speed   float64
	Killed  func()     // called once an op has killed it; may be nil
	Net     stream.Net // nil: sockets

	mu      sync.Mutex
	rng     *rand.Rand
	server  *serve.Server
	address string
	up      bool
	started time.Time // of the process; a zero time: long ago
	conns   int
	queue   []*job
	running map[*job]bool
	budget  []spent // work that came lately, while cold
	fallen  bool
	dying   bool // of an op that kills
	trouble Faults
	paused  time.Time // until then nothing ends
	load    load
}

// Faults is what is wrong with a node; the zero value is nothing.
type Faults struct {
	Hang            bool                                               // takes work, answers nothing
	Silent          bool                                               // not a byte comes back
	SilentTo        func(proxy int) bool                               // as Silent, towards some proxies
	PathFrom        func(proxy int) (late time.Duration, lost float64) // the way from some proxies
	Draining        bool                                               // turns new work away
	ErrorShare      float64                                            // share that fails at once
	LostAnswerShare float64                                            // share that runs and whose answer is lost
	SlowFactor      float64                                            // times slower; 0: not
	HandshakeFactor float64                                            // times dearer; 0: not
	FirstOpDelay    time.Duration                                      // that a new connection's first op waits
	HeavyShare      float64                                            // this share of one op type takes HeavyBy times the work
	HeavyFactor     float64
	HeavyType       int
}

// spent is work that came at a time.
type spent struct {
	at   time.Time
	work time.Duration
}

// load is what reports say, refreshed now and then.
type load struct {
	since    time.Time
	busy     float64 // core seconds since then
	counted  time.Time
	latency  float64 // running mean, milliseconds, without waiting
	acked    int
	failed   int
	reported []byte
}

// job is an op in hand.
type job struct {
	Arrival
	work    time.Duration
	key     string
	writes  bool
	came    time.Time
	began   time.Time
	timer   *time.Timer
	done    chan verdict
	gone    chan struct{} // closed when its client went away
	ended   bool
	overdue bool // its client went away
}

type verdict byte

const (
	acked verdict = iota
	errored
	lost
	dead
)

// New makes a node. limits and service say what falls over and which op types there are.
func New(at files.NodeAt, m files.Machine, s *files.Service, limits files.Limits, seed uint64, l *Ledger) *Node {
	n := &Node{at: at, machine: m, limits: limits, types: s.Types(), measure: s.Measures, zone: s.ZoneIndex(at.Zone),
		ledger: l, rng: rand.New(rand.NewPCG(seed, uint64(at.Endpoint))), running: map[*job]bool{}}
	n.speed = at.Speed
	if n.speed <= 0 {
		n.speed = m.Speed[0] + n.rng.Float64()*(m.Speed[1]-m.Speed[0])
	}
	n.address = at.Listen
	return n
}

// Endpoint is its number.
func (n *Node) Endpoint() control.EndpointID { return control.EndpointID(n.at.Endpoint) }

// Config is its place in the file.
func (n *Node) Config() files.NodeAt { return n.at }

// Capacity is the work a second that it does when warm.
func (n *Node) Capacity() float64 { return n.speed * float64(n.machine.Cores) }

// Address is where it listens.
func (n *Node) Address() string { return n.address }

// Running tells whether its process runs.
func (n *Node) Running() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.up
}

// Started is when its process started; a zero time: long ago.
func (n *Node) Started() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.started
}

// Start starts the process, cold or as if it had run for long.
func (n *Node) Start(cold bool) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dying = false
	if n.up || n.fallen {
		return nil
	}
	s := &serve.Server{Handle: n.handle, Accept: n.open, Closed: n.closed, Net: n.Net, Drain: keepIdle}
	if err := s.Start(n.address); err != nil {
		return err
	}
	now := time.Now()
	n.server, n.address, n.up, n.conns = s, s.Address(), true, 0
	n.started, n.budget, n.trouble, n.paused = time.Time{}, nil, Faults{}, time.Time{}
	if cold {
		n.started = now
	}
	n.load = load{since: now, counted: now}
	return nil
}

// keepIdle is how long a process that ends in order keeps a connection on which no request comes.
const keepIdle = time.Second

// StopInOrder answers what is in hand and what still comes on open connections, until they have gone or the context ends;
// then it ends the process.
func (n *Node) StopInOrder(ctx context.Context) {
	n.mu.Lock()
	s := n.server
	n.mu.Unlock()
	if s != nil {
		s.Stop(ctx)
	}
	n.Stop()
}

// Stop ends the process at once: connections break, work in hand is lost.
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
		n.end(j, dead)
	}
	n.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	s.Stop(ctx)
}

// UpdateFaults changes what is wrong with it.
func (n *Node) UpdateFaults(change func(t *Faults)) {
	n.mu.Lock()
	was := n.trouble
	change(&n.trouble)
	if was.Hang && !n.trouble.Hang || was.Silent && !n.trouble.Silent {
		for j := range n.running {
			n.arm(j, 0)
		}
	}
	n.kick()
	n.mu.Unlock()
}

// Pause holds everything up for a while.
func (n *Node) Pause(d time.Duration) {
	n.mu.Lock()
	n.paused = time.Now().Add(d)
	n.mu.Unlock()
	time.AfterFunc(d, func() {
		n.mu.Lock()
		n.kick()
		n.mu.Unlock()
	})
}

// warm is how much of its speed it has.
func (n *Node) warm(now time.Time) float64 {
	if n.started.IsZero() || n.machine.ColdFor <= 0 {
		return 1
	}
	part := float64(now.Sub(n.started)) / float64(n.machine.ColdFor)
	return min(1, n.machine.ColdShare+(1-n.machine.ColdShare)*part)
}

// speedNow is the work a second of one of its cores.
func (n *Node) speedNow(now time.Time) float64 {
	m := &n.machine
	speed := n.speed * n.warm(now) * (1 - m.ConnectionTax*float64(n.conns)/float64(m.Connections))
	if n.trouble.SlowFactor > 0 {
		speed /= n.trouble.SlowFactor
	}
	if held := float64(len(n.queue) + len(n.running)); m.SlowsAt > 0 && held > m.SlowsAt {
		speed /= 1 + m.SlowsBy*(held/m.SlowsAt-1)
	}
	return speed
}

// open admits a connection, at the cost of a handshake.
func (n *Node) open(c *serve.Conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.up || n.conns >= n.machine.Connections {
		return false
	}
	n.conns++
	if d := n.machine.Handshake.AsDuration(); d > 0 {
		if x := n.trouble.HandshakeFactor; x > 0 {
			d = time.Duration(float64(d) * x)
		}
		n.queue = append(n.queue, &job{work: d, came: time.Now(), done: make(chan verdict, 1), Arrival: Arrival{OpType: -1}})
		n.kick()
	}
	return true
}

func (n *Node) closed(c *serve.Conn) {
	n.mu.Lock()
	n.conns--
	n.mu.Unlock()
}

// handle serves one try.
func (n *Node) handle(c *serve.Conn, m *http1.Message) {
	if string(m.Target) == "/probe" {
		n.answerProbe(c)
		return
	}
	number, err := sign.Check(m)
	if err != nil {
		n.ledger.RecordMixUp(err.Error())
	}
	j := n.read(m)
	j.came = time.Now()
	n.mu.Lock()
	j.At, j.Endpoint = n.ledger.now(), n.Endpoint()
	t := n.trouble
	full := len(n.queue)+len(n.running) >= n.machine.Slots+n.machine.Queue
	j.Accepted = n.up && !t.Draining && !full
	n.ledger.arrived(j.Arrival)
	deaf := t.Silent || t.SilentTo != nil && t.SilentTo(j.Proxy)
	late := t.FirstOpDelay
	if c.Data != nil { // not the connection's first op
		late = 0
	}
	c.Data = n
	if t.PathFrom != nil {
		way, lost := t.PathFrom(j.Proxy)
		late += way
		deaf = deaf || n.rng.Float64() < lost
	}
	if late > 0 && !deaf {
		n.mu.Unlock()
		time.Sleep(late)
		n.mu.Lock()
	}
	if deaf {
		n.mu.Unlock()
		c.OnGone(func() { close(j.gone) })
		<-j.gone
		return
	}
	if m.Get(KillField) != nil && j.Accepted {
		first := !n.dying
		n.dying = true
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
		n.fallen = true
		n.ledger.fell(Crash{At: j.At, Endpoint: j.Endpoint})
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
		_ = c.Answer(http1.AppendBody(n.report(b), nil))
		return
	case n.rng.Float64() < max(t.ErrorShare, n.machine.ErrorRate):
		n.load.failed++
		n.mu.Unlock()
		_ = c.Answer(http1.AppendBody(n.report(http1.AppendStatus(nil, 500)), nil))
		return
	}
	if t.HeavyShare > 0 && j.OpType == t.HeavyType && n.rng.Float64() < t.HeavyShare {
		j.work = time.Duration(float64(j.work) * t.HeavyFactor)
	}
	n.queue = append(n.queue, j)
	n.kick()
	n.mu.Unlock()
	c.OnGone(func() { n.cancel(j) })
	v := dead
	select {
	case v = <-j.done:
	case <-j.gone:
	}
	c.OnGone(nil)
	switch v {
	case acked:
		body := []byte("ok\n")
		if size, err := strconv.Atoi(string(m.Get(SizeField))); err == nil && size > 0 && size <= 1<<20 {
			body = bytes.Repeat([]byte("x"), size)
		}
		b := n.report(http1.AppendStatus(nil, 200))
		if number != nil {
			b = http1.AppendField(b, sign.Field, number)
		}
		_ = c.Answer(http1.AppendBody(b, body))
	case errored:
		_ = c.Answer(http1.AppendBody(n.report(http1.AppendStatus(nil, 500)), nil))
	default:
		c.Drop()
	}
}

// read takes the marks of an op.
func (n *Node) read(m *http1.Message) *job {
	j := &job{work: usualWork, done: make(chan verdict, 1), gone: make(chan struct{}), key: string(m.Get("Idempotency-Key"))}
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

// overloaded books work that came to a cold node and tells whether it is more than the node can bear: the multiple of
// its present capacity, over the stated time, with slack for two ops.
func (n *Node) overloaded(work time.Duration) bool {
	now := time.Now()
	if n.fallen || !n.up || n.started.IsZero() || n.warm(now) >= 1 || n.limits.FallAfter <= 0 {
		n.budget = nil
		return false
	}
	n.budget = append(n.budget, spent{now, work})
	span := n.limits.FallAfter.AsDuration()
	for len(n.budget) > 0 && now.Sub(n.budget[0].at) > span {
		n.budget = n.budget[1:]
	}
	total, most := time.Duration(0), time.Duration(0)
	for _, s := range n.budget {
		total += s.work
		most = max(most, s.work)
	}
	can := n.limits.OverloadFactor * n.Capacity() * n.warm(now) * span.Seconds()
	return (total - 2*most).Seconds() > can
}

// kick puts jobs on free cores; n.mu is held.
func (n *Node) kick() {
	now := time.Now()
	n.count(now)
	if !n.up || now.Before(n.paused) {
		return
	}
	for len(n.running) < n.machine.Cores && len(n.queue) > 0 {
		j := n.queue[0]
		n.queue[0] = nil
		n.queue = n.queue[1:]
		if j.ended {
			continue
		}
		speed := n.speedNow(now)
		j.began = now
		n.running[j] = true
		n.arm(j, time.Duration(float64(j.work)/speed))
	}
}

// arm sets when a running job ends.
func (n *Node) arm(j *job, after time.Duration) {
	if j.timer != nil {
		j.timer.Stop()
	}
	j.timer = time.AfterFunc(after, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		switch wait := time.Until(n.paused); {
		case j.ended:
		case n.trouble.Hang || n.trouble.Silent: // ends when that does
		case wait > 0:
			n.arm(j, wait)
		default:
			n.finish(j)
		}
	})
}

// finish ends a job that ran.
func (n *Node) finish(j *job) {
	v := acked
	if j.OpType >= 0 {
		t := &n.types[j.OpType]
		if n.rng.Float64() < n.trouble.LostAnswerShare {
			v = lost
		}
		if j.writes {
			window := time.Duration(0)
			if t.Repeat == control.Deduplicated {
				window = t.DedupWindow
			}
			n.ledger.effect(Effect{n.ledger.now(), j.At, j.Endpoint, j.Op, j.OpType}, n.group(t), j.key, window)
		}
		n.load.acked++
		took := float64(time.Since(j.began)) / float64(time.Millisecond)
		if n.load.latency == 0 {
			n.load.latency = took
		}
		n.load.latency += 0.1 * (took - n.load.latency)
	}
	n.ledger.spent(j.work, j.OpType < 0 || v != acked || j.overdue)
	n.end(j, v)
	n.kick()
}

// group names the endpoints that drop each other's repeats of an op type.
func (n *Node) group(t *control.OpType) string {
	switch t.Group {
	case control.GroupZone:
		return "zone " + strconv.Itoa(n.zone)
	case control.GroupPack:
		return "pack " + strconv.Itoa(n.zone) + " " + strconv.Itoa(n.at.Pack)
	}
	return ""
}

// end takes a job out of hand.
func (n *Node) end(j *job, v verdict) {
	if j.ended {
		return
	}
	j.ended = true
	if j.timer != nil {
		j.timer.Stop()
	}
	n.count(time.Now())
	delete(n.running, j)
	j.done <- v
}

// cancel notes that a job's client went away; the work stops where that is the machine's way.
func (n *Node) cancel(j *job) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if j.overdue || j.ended {
		return
	}
	j.overdue = true
	close(j.gone)
	if !n.machine.Cancels {
		return // it runs on; nobody waits for it
	}
	if n.running[j] {
		n.ledger.spent(time.Duration(float64(time.Since(j.began))*n.speed), true)
	}
	n.end(j, dead)
	n.kick()
}

// count adds up how busy the cores were; n.mu is held.
func (n *Node) count(now time.Time) {
	n.load.busy += now.Sub(n.load.counted).Seconds() * float64(len(n.running))
	n.load.counted = now
}

// report appends the load report field, made anew at most once in a report period.
func (n *Node) report(b []byte) []byte {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	every := max(n.machine.ReportEvery.AsDuration(), 10*time.Millisecond)
	if span := now.Sub(n.load.since); span >= every || n.load.reported == nil {
		n.count(now)
		l := &n.load
		if span >= every || span > 0 && l.reported == nil {
			util := min(1, l.busy/span.Seconds()/float64(n.machine.Cores))
			l.reported = n.text(util, span)
			l.busy, l.since, l.acked, l.failed = 0, now, 0, 0
		}
	}
	return append(b, n.load.reported...)
}

// text writes the field.
func (n *Node) text(util float64, span time.Duration) []byte {
	b := append([]byte(http1.LoadHeader), ": TEXT "...)
	for i, name := range n.measure {
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
	if len(n.measure) == 0 {
		return nil
	}
	return append(b, "\r\n"...)
}

// answerProbe answers beside the queue: that the process runs, and its load.
func (n *Node) answerProbe(c *serve.Conn) {
	n.mu.Lock()
	t := n.trouble
	n.mu.Unlock()
	switch {
	case t.Silent:
		gone := make(chan struct{})
		c.OnGone(func() { close(gone) })
		<-gone
	case t.Draining:
		_ = c.Answer(http1.AppendBody(n.report(http1.AppendStatus(nil, 503)), nil))
	default:
		_ = c.Answer(http1.AppendBody(n.report(http1.AppendStatus(nil, 200)), nil))
	}
}

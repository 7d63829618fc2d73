// Package pilot is the daemon that hosts the decision module: it tells one policy.Assigner what happens and carries out
// what that orders, and decides nothing itself. New and Start are the way in. One goroutine owns all state; sockets and
// timers post to it.
package pilot

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net/netip"
	goruntime "runtime"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"vetchdoor/control"
	"vetchdoor/files"
	"vetchdoor/fleet"
	"vetchdoor/http1"
	"vetchdoor/members"
	"vetchdoor/policy"
	"vetchdoor/roster"
	"vetchdoor/runtime"
	sessions "vetchdoor/session"
	"vetchdoor/stream"
	"vetchdoor/tenancy"
	"vetchdoor/upstream"
)

// decider is the module's one entry point; tests put another in its place.
type decider interface {
	Decide(now time.Duration, events []control.Event) []control.Order
}

// Pilot is a running pilot.
type Pilot struct {
	file  *files.Pilot
	log   *slog.Logger
	facts control.Facts
	born  time.Time
	seed  uint64

	// Records, if not nil at Start, gets a record of each decision; it must not hold up who logs.
	Records *slog.Logger

	// Stuck, if not nil at Start, is called once when the module has not come back for half of the time after which proxies
	// take the pilot for silent. Nothing in this process can mend that; the program ends, and a new one starts over.
	Stuck func()

	// Info, if not nil at Start, adds lines to show info.
	Info func(io.Writer)

	// Net, if not nil at Start, is what connections to proxies, servers, peers and the list run over; else sockets.
	Net stream.Net

	inbox    chan func()
	stop     chan struct{}
	stopped  chan struct{}
	ending   sync.Once
	cancel   context.CancelFunc
	done     sync.WaitGroup
	ln       *stream.Listener
	admin    *sessions.Listener
	probes   *upstream.Pool
	members  *members.Members // nil: this pilot hears of no others
	told     atomic.Pointer[members.Who]
	probing  atomic.Int64
	noting   atomic.Int64
	inModule atomic.Int64 // when the module was last called, since born; 0: it came back

	// What follows is the loop's own.
	newDecider   func() decider
	assigner     decider
	run          uint64
	book         *book
	channel      *channel
	intake       *intake
	warden       *tenancy.Warden // nil: tenants are not limited
	uses         []tenancy.Use
	loads        map[tenancy.PodID]*[2]float64 // what servers said since the last look: sum and number
	mover        *mover                        // nil: tenants are not moved
	records      *recorder
	fresher      string    // where the list is from: list, cache, or nowhere
	given        bool      // the module has had a list with servers on it
	leaving      bool      // it ends: proxies are sent to others
	turned       uint64    // hellos that were sent elsewhere
	outran       time.Time // when a proxy last held a later run than this one
	events       []control.Event
	batch        *time.Timer // set while events wait for their tick
	pace         *time.Timer // set while a message waits for its time
	sessions     map[control.ProxyID]*session
	wires        map[*wire]bool
	numbers      map[control.ProxyID]uint64 // last message of this run, of proxies that left
	list         map[control.EndpointID]roster.Entry
	moving       map[control.EndpointID]bool // whose new place proxies are yet to be told
	readdressed  time.Time                   // when they were last told of such
	waits        bool                        // they are to be, later
	version      uint64
	source       *roster.Client
	saver        *saver
	silent       time.Duration
	resumeWithin time.Duration
	batches      uint64
	messages     uint64
	lines        uint64
	resumed      uint64
	refused      uint64
	overflows    uint64
	panics       uint64
	deciding     time.Duration
}

// New makes a pilot from its file.
func New(file *files.Pilot, log *slog.Logger) (*Pilot, error) {
	p := &Pilot{file: file, log: log.With("pilot", file.Name), facts: file.Facts(), born: time.Now(), seed: file.Seed,
		inbox: make(chan func(), 1024), stop: make(chan struct{}), stopped: make(chan struct{}),
		newDecider: func() decider { return &policy.Assigner{} },
		list:       map[control.EndpointID]roster.Entry{}, wires: map[*wire]bool{}, moving: map[control.EndpointID]bool{},
		silent: file.Silent.Span(), resumeWithin: file.Resume.Span(), probes: &upstream.Pool{}}
	if p.seed == 0 {
		p.seed = rand.Uint64()
	}
	if p.facts.Tick <= 0 {
		p.facts.Tick = 5 * time.Millisecond
	}
	if p.silent <= 0 {
		p.silent = 10 * time.Second
	}
	if p.resumeWithin <= 0 {
		p.resumeWithin = 2 * time.Second
	}
	p.run = uint64(p.born.UnixMicro())
	return p, nil
}

// Start reads the cached list, listens for proxies and people, and follows the list service.
func (p *Pilot) Start() (err error) {
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	defer func() {
		if err != nil {
			cancel()
			p.closeAll()
		}
	}()
	rng := rand.New(rand.NewPCG(p.seed, uint64(p.file.Instance)))
	p.probes.Net = p.Net
	p.source = &roster.Client{Address: p.file.Roster, Log: p.log, Rand: rng, Net: p.Net,
		Take: func(u *roster.Update) { p.post(func() { p.listed(u) }) }}
	if p.file.Cache != "" {
		version, entries, err := roster.Load(p.file.Cache, p.file.Name)
		if err != nil {
			p.log.Warn("the cached list cannot be used", "error", err)
		}
		for _, e := range entries {
			p.list[e.Endpoint] = e
		}
		if p.version = version; len(entries) > 0 {
			p.fresher = "cache"
			p.log.Warn("runs by its cached list until the list service is heard", "version", version, "servers", len(entries))
		}
		p.saver = newSaver(p.file.Cache, p.file.Name, p.log)
	}
	if err = p.openMoves(); err != nil {
		return err
	}
	var types []string
	for _, t := range p.file.Service.OpTypes {
		types = append(types, t.Name)
	}
	p.records = newRecorder(p.Records, p.file.Name, types, p.run, p.now)
	p.records.began(p.run, "start")
	p.fresh()
	if p.ln, err = stream.Listen(p.Net, p.file.Listen, p.accept); err != nil {
		return err
	}
	if p.file.Admin != "" {
		if p.admin, err = sessions.Listen(p.file.Admin, "vetchdoor pilot", p.commands()); err != nil {
			p.admin = nil
			return err
		}
	}
	if err = p.startMembers(); err != nil {
		return err
	}
	p.done.Add(2)
	go func() { defer p.done.Done(); p.source.Run(ctx) }()
	go func() { defer p.done.Done(); p.guard() }()
	p.log.Info("pilot runs", "listen", p.ln.Address(), "run", p.run, "list", len(p.list)) // before the loop owns the list
	go p.loop()
	return nil
}

// Address is where proxies dial.
func (p *Pilot) Address() string { return p.ln.Address() }

// AdminAddress is where people are served; empty without one.
func (p *Pilot) AdminAddress() string {
	if p.admin == nil {
		return ""
	}
	return p.admin.Address()
}

// Stop ends the pilot in order: no new proxies, streams closed once what left the channel is written.
// Where there are other pilots its proxies are sent to them first, a few at a time.
func (p *Pilot) Stop() {
	p.ending.Do(func() {
		p.leave()
		p.cancel()
		ended := make(chan struct{})
		if p.post(func() {
			for w := range p.wires {
				w.conn.End()
			}
			close(ended)
		}) {
			<-ended
			time.Sleep(20 * time.Millisecond)
		}
		p.end()
		p.log.Info("pilot ended")
	})
}

// leaveStep is how often some are sent away.
const leaveStep = 50 * time.Millisecond

// leave sends the proxies to other pilots, evenly, within the time that the file gives.
func (p *Pilot) leave() {
	all := p.file.LeaveWithin.Span()
	if all <= 0 {
		all = usualLeave
	}
	end := time.Now().Add(all)
	for left := all; left > 0 && len(p.file.Peers) > 0; left = time.Until(end) {
		gone := make(chan bool, 1)
		if !p.post(func() { gone <- p.sendSome(left, all) }) || <-gone {
			return
		}
		time.Sleep(leaveStep)
	}
}

// sendSome sends some proxies away and tells whether none is left.
func (p *Pilot) sendSome(left, all time.Duration) bool {
	p.leaving = true
	var here []*session
	for _, id := range slices.Sorted(maps.Keys(p.sessions)) {
		if s := p.sessions[id]; s.conn != nil {
			here = append(here, s)
		}
	}
	door := p.door()
	for _, s := range here[:fleet.Leave(len(here), left, all, leaveStep)] {
		w := s.conn
		s.conn = nil // dropped, its stream would close before the word is out
		p.sendAway(w, runtime.GoAway{Joined: true, Try: door.Hello(proxyName(s.id), 0).Hint})
		p.drop(s)
	}
	return len(here) == 0
}

// usualLeave is how long proxies are sent away for.
const usualLeave = 10 * time.Second

// Pause holds the pilot up for a while, as a process that is stopped and goes on; a rehearsal's way of one.
func (p *Pilot) Pause(d time.Duration) {
	p.post(func() {
		select {
		case <-time.After(d):
		case <-p.stop:
		}
	})
}

// Kill ends the pilot as a killed process would: nothing is said, nothing written.
func (p *Pilot) Kill() {
	p.ending.Do(func() {
		p.cancel()
		p.end()
	})
}

func (p *Pilot) end() {
	close(p.stop)
	<-p.stopped
	p.closeAll()
}

// closeAll ends what runs beside the loop, as far as it was begun.
func (p *Pilot) closeAll() {
	if p.ln != nil {
		p.ln.Close()
	}
	if p.admin != nil {
		p.admin.Close()
	}
	p.done.Wait()
	p.probes.Close()
	p.records.close()
	if p.members != nil {
		p.members.Close()
	}
	if p.saver != nil {
		p.saver.close()
	}
	if p.mover != nil {
		p.mover.close()
	}
}

// post has the loop run f; false if the pilot has ended.
func (p *Pilot) post(f func()) bool {
	select {
	case <-p.stop:
		return false
	default:
	}
	select {
	case p.inbox <- f:
		return true
	case <-p.stop:
		return false
	}
}

func (p *Pilot) loop() {
	defer close(p.stopped)
	report := time.NewTicker(p.facts.ReportEvery)
	defer report.Stop()
	watch := time.NewTicker(min(p.silent/4, time.Second))
	defer watch.Stop()
	p.batch, p.pace = time.NewTimer(time.Hour), time.NewTimer(time.Hour)
	p.decide()
	var moves <-chan time.Time
	if p.mover != nil {
		moves = p.mover.wake.C
	}
	for {
		select {
		case <-p.stop:
			return
		case <-moves:
			p.move()
		case f := <-p.inbox:
			f()
		case <-p.batch.C:
			p.decide()
		case <-p.pace.C:
			p.pump()
		case <-report.C:
			for _, e := range p.intake.take(p.facts.ReportEvery) {
				p.event(e)
			}
			p.limitTenants()
		case <-watch.C:
			p.watch()
		}
	}
}

// now is the time since this pilot's start, which is all that the module knows.
func (p *Pilot) now() time.Duration { return time.Since(p.born) }

// event keeps an event for the batch at the next tick.
func (p *Pilot) event(e control.Event) {
	if p.events = append(p.events, e); len(p.events) == 1 && p.batch != nil {
		p.batch.Reset(p.facts.Tick)
	}
}

// fresh starts the module anew, with the list as it is known and nothing else.
func (p *Pilot) fresh() {
	p.assigner = p.newDecider()
	p.book = newBook(len(p.facts.OpTypes), int(p.facts.MessageLines), p.where)
	p.channel = newChannel(p.facts.LinesPerSecond, p.facts.MostWaiting)
	p.intake = newIntake(p.facts.ReportLinesPerS, len(p.facts.Measures))
	p.intake.types = len(p.facts.OpTypes)
	p.intake.known = func(id control.EndpointID) bool { _, ok := p.list[id]; return ok }
	if p.uses, p.loads = nil, map[tenancy.PodID]*[2]float64{}; p.file.Tenants {
		var kept []tenancy.Sentence
		if p.warden != nil {
			kept = p.warden.Sentences()
		} else if p.mover != nil {
			kept = p.mover.kept
		}
		p.warden = tenancy.NewWarden(p.facts.ReportEvery)
		p.warden.Restore(kept)
		for _, s := range kept {
			p.book.limits[s.Tenant] = runtime.LimitOf(s.Limit)
		}
	}
	p.sessions, p.numbers = map[control.ProxyID]*session{}, map[control.ProxyID]uint64{}
	p.events = []control.Event{control.Start{Facts: p.facts, Seed: p.seed}}
	list := p.sortedList()
	if p.given = len(list) > 0; p.given { // the module lays out its cells by the first list, which must not be empty
		p.events = append(p.events, control.Listing{Kind: control.Cached, Entries: p.entries(list)})
	}
	p.seed++
}

// decide hands the module its batch and carries out what it orders.
func (p *Pilot) decide() {
	events := p.events
	p.events = nil
	if len(events) == 0 {
		return
	}
	now := p.now()
	orders, fault := p.ask(now, events)
	p.deciding += p.now() - now
	p.batches++
	if fault != nil {
		p.panics++
		p.restart("panic")
		return
	}
	messages, rest := p.book.write(orders)
	p.records.ordered(orders)
	p.records.sent(orders, messages)
	p.queue(now, messages)
	for _, o := range rest {
		p.do(o)
	}
	p.pump()
}

// ask runs the module; a panic in it becomes a fault.
func (p *Pilot) ask(now time.Duration, events []control.Event) (orders []control.Order, fault any) {
	defer func() {
		if fault = recover(); fault != nil {
			p.log.Error("the module panicked", "panic", fmt.Sprint(fault), "now", now, "events", describe(events),
				"stack", string(debug.Stack()))
		}
	}()
	p.inModule.Store(max(1, int64(p.now())))
	defer p.inModule.Store(0)
	return p.assigner.Decide(now, events), nil
}

// guard watches the module from beside the loop, for as long as that runs: an end waits for the loop too.
func (p *Pilot) guard() {
	t := time.NewTicker(max(p.silent/40, time.Millisecond))
	defer t.Stop()
	for {
		select {
		case <-p.stopped:
			return
		case <-t.C:
		}
		since := time.Duration(p.inModule.Load())
		if since == 0 || p.now()-since < p.silent/2 {
			continue
		}
		stacks := make([]byte, 64<<10)
		stacks = stacks[:goruntime.Stack(stacks, true)]
		p.log.Error("the module does not come back; this process must end", "for", p.now()-since, "stacks", string(stacks))
		if p.Stuck != nil {
			p.Stuck()
		}
		return
	}
}

// describe writes events for the log, the first of them whole.
func describe(events []control.Event) string {
	const most = 4096
	s := ""
	for i, e := range events {
		if len(s) > most {
			return fmt.Sprintf("%s; and %d more", s[:most], len(events)-i)
		}
		s += fmt.Sprintf("%T%+v; ", e, e)
	}
	return s
}

// restart goes on as a new run, after a panic or where this one is too old: the streams are closed, the proxies keep their
// tables and join again.
func (p *Pilot) restart(why control.Reason) {
	p.run++
	for id := range p.sessions {
		p.away(id)
	}
	for w := range p.wires {
		w.conn.Close()
		delete(p.wires, w)
	}
	p.records.began(p.run, why)
	p.fresh()
	p.batch.Reset(p.facts.Tick)
}

// queue gives messages to the channel. One that has no room there would be lost in the midst of its proxy's others, so
// that proxy's session ends instead and it joins anew.
func (p *Pilot) queue(now time.Duration, messages []outgoing) {
	for _, m := range messages {
		s := p.sessions[m.proxy]
		if s == nil {
			continue
		}
		m.Pilot, m.Run, m.At = p.file.Name, p.run, now
		if !p.channel.push(m) {
			p.overflows++
			p.log.Error("the channel is full; a proxy joins anew", "proxy", s.id, "lines", m.Lines, "waiting", p.channel.waiting)
			p.drop(s)
		}
	}
}

// pump sends what the channel lets out now.
func (p *Pilot) pump() {
	for {
		m, ok, wait := p.channel.next(p.now(), func(id control.ProxyID, lines int) bool {
			s := p.sessions[id]
			return s != nil && s.conn != nil && (s.unconfirmed == 0 || s.unconfirmed+lines <= s.window)
		})
		if !ok && wait < 0 && p.sendBindings() {
			continue
		}
		if !ok {
			if wait >= 0 {
				p.pace.Reset(max(wait, 100*time.Microsecond))
			}
			return
		}
		s := p.sessions[m.proxy]
		s.sent = append(s.sent, m)
		s.unconfirmed += m.Lines
		p.messages++
		p.lines += uint64(m.Lines)
		_ = s.conn.conn.Send(m.Append(nil))
	}
}

// limitTenants has the warden look at a period and sends what it says. Where the channel is half full it waits a period:
// the module's lines go first.
func (p *Pilot) limitTenants() {
	if p.warden == nil || p.channel.waiting > p.channel.most/2 {
		return
	}
	limits := p.warden.Step(p.uses, p.podLoads())
	p.uses = nil
	for _, l := range limits {
		p.records.limited(l)
		p.log.Warn("a tenant's limit changed", "tenant", l.Tenant, "rate", l.Rate, "hand", l.Hand, "fenced", l.Fenced, "room", l.Room)
	}
	if len(limits) > 0 {
		if p.mover != nil {
			p.mover.disk.sentences(p.warden.Sentences())
		}
		p.sendLimits(limits)
	}
}

// sendLimits has proxies told of limits.
func (p *Pilot) sendLimits(limits []tenancy.Limit) {
	var changes []runtime.Change
	for _, l := range limits {
		changes = append(changes, runtime.LimitOf(l))
	}
	p.queue(p.now(), p.book.limit(changes))
	p.pump()
}

// podLoads returns how busy pods said they are over the period, the mean of their servers.
func (p *Pilot) podLoads() (out []tenancy.Health) {
	for pod, l := range p.loads {
		out = append(out, tenancy.Health{Pod: pod, Load: l[0] / l[1]})
	}
	clear(p.loads)
	slices.SortFunc(out, func(a, b tenancy.Health) int { return cmp.Compare(a.Pod, b.Pod) })
	return out
}

// mostUses bounds what is kept of a period's sums by tenant.
const mostUses = 1 << 16

// used takes in what a proxy met of tenants, and how busy servers said they are.
func (p *Pilot) used(s *runtime.Sums) {
	if p.warden == nil {
		return
	}
	if busy := slices.Index(p.file.Service.Measures, "cpu_utilization"); busy >= 0 {
		for _, e := range s.Servers {
			at, ok := p.where(e.Endpoint)
			if !ok || len(e.Load) <= busy {
				continue
			}
			pod := tenancy.PodOf(at.Zone, at.Pack)
			if p.loads[pod] == nil {
				p.loads[pod] = &[2]float64{}
			}
			p.loads[pod][0] += e.Load[busy]
			p.loads[pod][1]++
		}
	}
	for _, t := range s.Tenants {
		if len(p.uses) < mostUses {
			p.uses = append(p.uses, tenancy.Use{Tenant: t.Tenant, Pod: tenancy.PodID(t.Pod), Ops: float64(t.Ops), Failed: float64(t.Failed), Busy: t.Busy})
		}
	}
}

// do carries out an order that is not for proxies.
func (p *Pilot) do(o control.Order) {
	switch o := o.(type) {
	case control.Wake:
		run := p.run
		time.AfterFunc(o.After, func() {
			p.post(func() {
				if p.run == run {
					p.event(control.Ring{Label: o.Label})
				}
			})
		})
	case control.Probe:
		p.probe(o.Endpoint)
	case control.Publish:
		p.publish(o)
	case control.FetchList:
		p.source.Fetch()
	case control.Note:
		p.log.Info("note of the module", "text", o.Text)
	case control.WatchList: // the list is always followed
	default: // there is none today
		p.log.Warn("an order that this pilot has no way to carry out", "order", fmt.Sprintf("%T", o))
	}
}

// mostProbes bounds the probes under way.
const mostProbes = 64

// probe asks an endpoint whether it is well.
func (p *Pilot) probe(id control.EndpointID) {
	e, ok := p.list[id]
	if !ok || p.probing.Load() >= mostProbes {
		p.event(control.Probed{Endpoint: id, Outcome: control.ProbeOther})
		return
	}
	p.probing.Add(1)
	go func() {
		defer p.probing.Add(-1)
		begin := time.Now()
		req := http1.AppendBody([]byte("GET /probe HTTP/1.1\r\nHost: "+e.Address.String()+"\r\n"), nil)
		a, fail := p.probes.Send(&upstream.Call{}, e.Address.String(), req, begin.Add(p.silent/4), false)
		out := control.Probed{Endpoint: id, Took: time.Since(begin)}
		switch {
		case fail != nil && fail.Timeout:
			out.Outcome = control.ProbeTimedOut
		case fail != nil && fail.Unrun:
			out.Outcome = control.ProbeUnreached
		case fail != nil:
			out.Outcome = control.ProbeBroken
		case a.Status == 503:
			out.Outcome = control.ProbeRejected
		case a.Status >= 400:
			out.Outcome = control.ProbeErrored
		}
		if a != nil {
			if l := http1.ParseLoad(a.Get(http1.LoadHeader)); l != nil {
				for _, name := range p.file.Service.Measures {
					out.Load = append(out.Load, l[name])
				}
			}
			a.Release()
		}
		p.post(func() { p.event(out) })
	}()
}

// where tells what a proxy must know of an endpoint.
func (p *Pilot) where(id control.EndpointID) (runtime.Server, bool) {
	e, ok := p.list[id]
	if !ok || e.Address == (netip.AddrPort{}) {
		return runtime.Server{}, false
	}
	return runtime.Server{Address: e.Address, Zone: p.file.Service.ZoneIndex(e.Zone), Pack: e.Pack}, true
}

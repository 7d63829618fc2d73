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
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"vetchdoor/control"
	"vetchdoor/files"
	"vetchdoor/members"
	"vetchdoor/pilot/host"
	"vetchdoor/roster"
	"vetchdoor/runtime"
	sessions "vetchdoor/session"
	"vetchdoor/stream"
	"vetchdoor/tenancy"
	"vetchdoor/upstream"
)

// Pilot is a running pilot.
type Pilot struct {
	file  *files.Pilot
	log   *slog.Logger
	facts control.Facts
	host  *host.Host

	// Records, if not nil at Start, gets a record of each decision; it must not hold up who logs.
	Records *slog.Logger

	// Stuck, if not nil at Start, is called once when the module has not come back for half of the time after which proxies
	// take the pilot for silent. Nothing in this process can mend that; the program ends, and a new one starts over.
	Stuck func()

	// WriteInfo, if not nil at Start, adds lines to show info.
	WriteInfo func(io.Writer)

	// Net, if not nil at Start, is what connections to proxies, servers, peers and the list run over; else sockets.
	Net stream.Net

	ending       sync.Once
	cancel       context.CancelFunc
	done         sync.WaitGroup
	ln           *stream.Listener
	admin        *sessions.Listener
	probes       *upstream.Pool
	members      *members.Members                    // nil: this pilot hears of no others
	self         atomic.Pointer[members.PilotStatus] // what the other pilots hear of this one
	probing      atomic.Int64
	pendingNotes atomic.Int64

	// What follows is the loop's own.
	run          uint64
	desired      *desiredState
	channel      *channel
	intake       *intake
	quarantine   *tenancy.Quarantine // nil: tenants are not limited
	uses         []tenancy.Use
	loads        map[tenancy.PodID]*[2]float64 // what servers said since the last look: sum and number
	mover        *mover                        // nil: tenants are not moved
	records      *recorder
	fresher      string      // where the list is from: list, cache, or nowhere
	given        bool        // the module has had a list with servers on it
	leaving      bool        // it ends: proxies are sent to others
	redirected   uint64      // hellos that were sent elsewhere
	outran       time.Time   // when a proxy last held a later run than this one
	pace         *time.Timer // set while a message waits for its time
	sessions     map[control.ProxyID]*session
	connections  map[*connection]bool
	numbers      map[control.ProxyID]uint64 // last message of this run, of proxies that left
	list         map[control.EndpointID]roster.Entry
	goneAt       map[control.EndpointID]time.Duration // since when the list has an endpoint as gone
	keep         time.Duration                        // keepFor
	waits        bool                                 // proxies are to be told something by the pilot itself, later
	version      uint64
	source       *roster.Client
	saver        *saver
	silent       time.Duration
	resumeWithin time.Duration
	messages     uint64
	lines        uint64
	resumed      uint64
	refused      uint64
	overflows    uint64
}

// New makes a pilot from its file.
func New(file *files.Pilot, log *slog.Logger) (*Pilot, error) {
	seed := file.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	p := &Pilot{file: file, log: log.With("pilot", file.Name),
		list: map[control.EndpointID]roster.Entry{}, goneAt: map[control.EndpointID]time.Duration{}, keep: keepFor,
		connections: map[*connection]bool{},
		silent:      file.SilenceTimeout.AsDuration(), resumeWithin: file.ResumeWindow.AsDuration(), probes: &upstream.Pool{}}
	p.host = host.New(file.Facts(), seed, p.log)
	p.host.Front, p.facts = p, p.host.Facts
	if p.silent <= 0 {
		p.silent = 10 * time.Second
	}
	if p.resumeWithin <= 0 {
		p.resumeWithin = 2 * time.Second
	}
	p.host.SilenceTimeout = p.silent
	p.run = uint64(p.host.Born().UnixMicro())
	return p, nil
}

// post has the loop run f; false if the pilot has ended.
func (p *Pilot) post(f func()) bool { return p.host.Post(f) }

// Begin starts the desired state anew, with the list as it is known and nothing else.
func (p *Pilot) Begin() (events []control.Event) {
	p.desired = newDesiredState(len(p.facts.OpTypes), int(p.facts.MessageOverheadLines), p.where)
	if p.desired.budget.most = p.file.NoticeLines(); p.facts.MessageCap > 0 {
		p.desired.budget.gap = p.facts.MessageCapWindow
	}
	p.channel = newChannel(p.facts.LinesPerSecond, float64(p.file.Channel.MaxWaitingLines))
	p.intake = newIntake(p.facts.ReportLinesPerS, len(p.facts.Measures))
	p.intake.types = len(p.facts.OpTypes)
	p.intake.known = func(id control.EndpointID) bool { _, ok := p.list[id]; return ok }
	if p.uses, p.loads = nil, map[tenancy.PodID]*[2]float64{}; p.file.Tenants {
		var kept []tenancy.Sentence
		if p.quarantine != nil {
			kept = p.quarantine.Sentences()
		} else if p.mover != nil {
			kept = p.mover.kept
		}
		p.quarantine = tenancy.NewQuarantine(p.facts.ReportInterval)
		p.quarantine.Restore(kept)
		for _, s := range kept {
			p.desired.limits[s.Tenant] = runtime.LimitOf(s.Limit)
		}
	}
	p.sessions, p.numbers = map[control.ProxyID]*session{}, map[control.ProxyID]uint64{}
	list := p.sortedList()
	if p.given = len(list) > 0; p.given { // the module lays out its cells by the first list, which must not be empty
		events = append(events, control.Listing{Kind: control.Cached, Entries: p.entries(list)})
	}
	return events
}

// Carry carries out what the module orders.
func (p *Pilot) Carry(now time.Duration, orders []control.Order) {
	messages, rest := p.desired.write(orders)
	p.records.ordered(orders)
	p.records.sent(orders, messages)
	p.queue(now, messages)
	for _, o := range rest {
		p.do(o)
	}
	p.pump()
}

// Panicked goes on with a new module.
func (p *Pilot) Panicked() { p.restart("panic") }

// restart goes on as a new run, after a panic or where this one is too old: the streams are closed, the proxies keep their
// tables and join again.
func (p *Pilot) restart(why control.Reason) {
	p.run++
	for id := range p.sessions {
		p.away(id)
	}
	for c := range p.connections {
		c.stream.Close()
		delete(p.connections, c)
	}
	p.records.began(p.run, why)
	p.host.Fresh()
}

// queue gives messages to the channel. One that has no room there would be lost in the midst of its proxy's others, so
// that proxy's session ends instead and it joins anew.
func (p *Pilot) queue(now time.Duration, messages []outgoing) {
	for _, m := range messages {
		s := p.sessions[m.proxy]
		if s == nil {
			continue
		}
		m.Pilot, m.Run, m.CreatedAt = p.file.Name, p.run, now
		if !p.channel.push(m) {
			p.overflows++
			p.log.Error("the channel is full; a proxy joins anew", "proxy", s.id, "lines", m.Lines, "waiting", p.channel.waiting)
			p.drop(s)
		}
	}
}

// pump sends what the channel lets out now.
func (p *Pilot) pump() {
	p.notify()
	for {
		m, ok, wait := p.channel.next(p.host.Now(), func(id control.ProxyID, lines int) bool {
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
		_ = s.conn.stream.Send(m.Append(nil))
	}
}

// limitTenants has the quarantine look at a period and sends what it says. Where the channel is half full it waits a period:
// the module's lines go first.
func (p *Pilot) limitTenants() {
	if p.quarantine == nil || p.channel.waiting > p.channel.most/2 {
		return
	}
	limits := p.quarantine.Step(p.uses, p.podLoads())
	p.uses = nil
	for _, l := range limits {
		p.records.limited(l)
		p.log.Warn("a tenant's limit changed", "tenant", l.Tenant, "rate", l.Rate, "hand", l.Hand, "fenced", l.Fenced, "room", l.Room)
	}
	if len(limits) > 0 {
		if p.mover != nil {
			p.mover.disk.sentences(p.quarantine.Sentences())
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
	p.desired.limit(changes)
	p.pump()
}

// notify tells proxies what they are yet to be told by the pilot itself, as far as there is room. Where messages are capped that is
// at most one message to each within the cap's span, for which files.Facts leaves room beside the module's.
func (p *Pilot) notify() {
	messages, wait := p.desired.notify(p.host.Now())
	p.queue(p.host.Now(), messages)
	if wait < 0 || p.waits {
		return
	}
	p.waits = true
	time.AfterFunc(wait, func() {
		p.post(func() {
			p.waits = false
			p.pump()
		})
	})
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
	if p.quarantine == nil {
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

// where tells what a proxy must know of an endpoint.
func (p *Pilot) where(id control.EndpointID) (runtime.Server, bool) {
	e, ok := p.list[id]
	if !ok || e.Address == (netip.AddrPort{}) {
		return runtime.Server{}, false
	}
	return runtime.Server{Address: e.Address, Zone: p.file.Service.ZoneIndex(e.Zone), Pack: e.Pack}, true
}

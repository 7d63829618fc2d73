// Package pilot is the control-plane daemon. It passes events to one policy.Assigner, the decision module, and executes the
// orders that the module returns; it makes no control decisions itself. New and Start are the entry points. One goroutine,
// the loop of package host, owns all state; sockets and timers post functions to it.
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

// Pilot is one instance of the daemon.
type Pilot struct {
	file   *files.Pilot
	log    *slog.Logger
	config control.Config
	host   *host.Host

	// Records, if not nil at Start, gets a record of each decision. Its handler must not block.
	Records *slog.Logger

	// OnStuck, if not nil at Start, is called once when a call of the module has lasted for half of the time after which
	// proxies consider the pilot dead. The process cannot recover from that: it must exit and be started again.
	OnStuck func()

	// WriteInfo, if not nil at Start, writes additional lines of the show info command.
	WriteInfo func(io.Writer)

	// Net, if not nil at Start, replaces the sockets for connections to proxies, servers, peers and the list service.
	Net stream.Net

	stopOnce      sync.Once
	cancel        context.CancelFunc
	background    sync.WaitGroup
	ln            *stream.Listener
	admin         *sessions.Listener
	probePool     *upstream.Pool
	members       *members.Members                    // nil if gossip with other pilots is not configured
	advertised    atomic.Pointer[members.PilotStatus] // gossiped to the other pilots
	pendingProbes atomic.Int64
	pendingNotes  atomic.Int64

	// The fields below are used only on the loop.
	run            uint64 // run number: start time in microseconds since 1970, increased by restarts
	desired        *desiredState
	channel        *channel
	intake         *intake
	quarantine     *tenancy.Quarantine           // nil if tenants are not limited
	tenantUses     []tenancy.Usage               // per-tenant sums of the current period
	podLoadSums    map[tenancy.PodID]*[2]float64 // sum and number of the load reports of the current period
	mover          *mover                        // nil if tenants are not moved
	records        *recorder
	listOrigin     string      // where the list came from: "list", "cache", or "" without a list
	listDelivered  bool        // the module was given a list that is not empty
	leaving        bool        // shutting down: proxies are redirected to peers
	redirected     uint64      // number of hellos of proxies that were not admitted
	lastRunAdopted time.Time   // when this pilot last moved past a later run that a proxy reported
	sendTimer      *time.Timer // fires when the channel may send its next message
	sessions       map[control.ProxyID]*session
	connections    map[*connection]bool
	lastNumbers    map[control.ProxyID]uint64           // number of the last message of this run to each proxy that left
	list           map[control.EndpointID]roster.Entry  // known endpoints, gone ones included
	goneSince      map[control.EndpointID]time.Duration // when an endpoint was first seen as gone
	keepGone       time.Duration                        // how long a gone endpoint is kept: keepGoneFor, except in tests
	noticeTimerSet bool                                 // a timer for the next notices is set
	listVersion    uint64
	source         *roster.Client
	listCache      *listCache
	silenceTimeout time.Duration
	resumeWithin   time.Duration
	messages       uint64 // number of messages sent
	lines          uint64 // number of lines sent
	resumed        uint64 // number of sessions resumed
	refused        uint64 // number of messages refused by proxies
	overflows      uint64 // number of sessions dropped because the channel was full
}

// New returns a pilot with the settings of its file. It opens nothing; the error is always nil.
func New(file *files.Pilot, log *slog.Logger) (*Pilot, error) {
	seed := file.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	p := &Pilot{file: file, log: log.With("pilot", file.Name),
		list: map[control.EndpointID]roster.Entry{}, goneSince: map[control.EndpointID]time.Duration{}, keepGone: keepGoneFor,
		connections:    map[*connection]bool{},
		silenceTimeout: file.SilenceTimeout.AsDuration(), resumeWithin: file.ResumeWindow.AsDuration(), probePool: &upstream.Pool{}}
	p.host = host.New(file.ControlConfig(), seed, p.log)
	p.host.Callbacks, p.config = p, p.host.Config
	if p.silenceTimeout <= 0 {
		p.silenceTimeout = 10 * time.Second
	}
	if p.resumeWithin <= 0 {
		p.resumeWithin = 2 * time.Second
	}
	p.host.SilenceTimeout = p.silenceTimeout
	p.run = uint64(p.host.Epoch().UnixMicro())
	return p, nil
}

// post queues f to run on the loop. It reports false if the pilot has ended.
func (p *Pilot) post(f func()) bool { return p.host.Post(f) }

// InitialEvents resets all state that depends on the module and returns the known list as the first event of the new module.
// Limits of tenants are kept.
func (p *Pilot) InitialEvents() (events []control.Event) {
	p.desired = newDesiredState(len(p.config.OpTypes), int(p.config.MessageOverheadLines), p.serverOf)
	if p.desired.budget.maxLines = p.file.ReservedLines(); p.config.MessageCap > 0 {
		p.desired.budget.minInterval = p.config.MessageCapWindow
	}
	p.channel = newChannel(p.config.LinesPerSecond, float64(p.file.Channel.MaxWaitingLines))
	p.intake = newIntake(p.config.ReportLinesPerSecond, len(p.config.Measures))
	p.intake.opTypeCount = len(p.config.OpTypes)
	p.intake.isKnown = func(id control.EndpointID) bool { _, ok := p.list[id]; return ok }
	if p.tenantUses, p.podLoadSums = nil, map[tenancy.PodID]*[2]float64{}; p.file.Tenants {
		var limitRecords []tenancy.LimitRecord
		if p.quarantine != nil {
			limitRecords = p.quarantine.LimitRecords()
		} else if p.mover != nil {
			limitRecords = p.mover.restoredLimits
		}
		p.quarantine = tenancy.NewQuarantine(p.config.ReportInterval)
		p.quarantine.Restore(limitRecords)
		for _, s := range limitRecords {
			p.desired.limits[s.Tenant] = runtime.SetTenantChange(s.Limit)
		}
	}
	p.sessions, p.lastNumbers = map[control.ProxyID]*session{}, map[control.ProxyID]uint64{}
	list := p.sortedList()
	if p.listDelivered = len(list) > 0; p.listDelivered { // the module sizes its cells by its first list, which must not be empty
		events = append(events, control.Listing{Kind: control.Cached, Entries: p.controlEntries(list)})
	}
	return events
}

// Execute carries out the orders of one reply of the module.
func (p *Pilot) Execute(now time.Duration, orders []control.Order) {
	messages, others := p.desired.translate(orders)
	p.records.recordOrders(orders)
	p.records.recordSent(orders, messages)
	p.enqueueMessages(now, messages)
	for _, o := range others {
		p.executeOrder(o)
	}
	p.pump()
}

// HandlePanic starts a new run with a new module.
func (p *Pilot) HandlePanic() { p.restart("panic") }

// restart starts a new run with a new module, after a panic or when a proxy has seen a later run. All streams are closed; the
// proxies keep their tables and join again.
func (p *Pilot) restart(reason control.Reason) {
	p.run++
	for id := range p.sessions {
		p.markAway(id)
	}
	for c := range p.connections {
		c.stream.Close()
		delete(p.connections, c)
	}
	p.records.recordStart(p.run, reason)
	p.host.StartModule()
}

// enqueueMessages adds messages to the channel. A message that does not fit would leave a gap in its proxy's sequence, so the
// proxy's session ends instead and the proxy has to join again.
func (p *Pilot) enqueueMessages(now time.Duration, messages []outgoing) {
	for _, m := range messages {
		s := p.sessions[m.proxy]
		if s == nil {
			continue
		}
		m.Pilot, m.Run, m.CreatedAt = p.file.Name, p.run, now
		if !p.channel.push(m) {
			p.overflows++
			p.log.Error("channel full; session of the proxy dropped, it must join again", "proxy", s.id, "lines", m.Lines, "waiting",
				p.channel.waitingLines)
			p.drop(s)
		}
	}
}

// pump sends the messages that the channel may send now, and sets the timer for the next one.
func (p *Pilot) pump() {
	p.sendNotices()
	for {
		m, ok, wait := p.channel.next(p.host.Now(), func(id control.ProxyID, lines int) bool {
			s := p.sessions[id]
			return s != nil && s.conn != nil && (s.unconfirmedLines == 0 || s.unconfirmedLines+lines <= s.windowLines)
		})
		if !ok && wait < 0 && p.sendBindings() {
			continue
		}
		if !ok {
			if wait >= 0 {
				p.sendTimer.Reset(max(wait, 100*time.Microsecond))
			}
			return
		}
		s := p.sessions[m.proxy]
		if !s.confirmedAny && len(s.unconfirmed) == 0 {
			s.firstSentAt = p.host.Now()
		}
		s.unconfirmed = append(s.unconfirmed, m)
		s.unconfirmedLines += m.Lines
		p.messages++
		p.lines += uint64(m.Lines)
		_ = s.conn.stream.Send(m.Append(nil))
	}
}

// limitTenants evaluates the tenants' sums of one period and sends the limits that change. It skips a period when the channel
// is more than half full, because the module's lines take precedence.
func (p *Pilot) limitTenants() {
	if p.quarantine == nil || p.channel.waitingLines > p.channel.maxLines/2 {
		return
	}
	limits := p.quarantine.Step(p.tenantUses, p.meanPodLoads())
	p.tenantUses = nil
	for _, l := range limits {
		p.records.recordLimit(l)
		p.log.Warn("tenant limit changed", "tenant", l.Tenant, "rate", l.Rate, "hand", l.Hand, "fenced", l.Fenced, "room", l.Room)
	}
	if len(limits) > 0 {
		if p.mover != nil {
			p.mover.writer.setLimits(p.quarantine.LimitRecords())
		}
		p.sendLimits(limits)
	}
}

// sendLimits marks changed limits for all proxies and sends what fits.
func (p *Pilot) sendLimits(limits []tenancy.Limit) {
	var changes []runtime.Change
	for _, l := range limits {
		changes = append(changes, runtime.SetTenantChange(l))
	}
	p.desired.markLimits(changes)
	p.pump()
}

// sendNotices enqueues pending notices as far as the notice budget allows. Where messages per proxy are capped, each proxy gets
// at most one message that consists of notices alone in each MessageCapWindow; files.Pilot.ControlConfig lowers the module's
// MessageCap by one for it.
func (p *Pilot) sendNotices() {
	messages, wait := p.desired.noticeMessages(p.host.Now())
	p.enqueueMessages(p.host.Now(), messages)
	if wait < 0 || p.noticeTimerSet {
		return
	}
	p.noticeTimerSet = true
	time.AfterFunc(wait, func() {
		p.post(func() {
			p.noticeTimerSet = false
			p.pump()
		})
	})
}

// meanPodLoads returns each pod's mean load, as reported by its servers over the period, and starts a new period.
func (p *Pilot) meanPodLoads() (out []tenancy.Health) {
	for pod, l := range p.podLoadSums {
		out = append(out, tenancy.Health{Pod: pod, Load: l[0] / l[1]})
	}
	clear(p.podLoadSums)
	slices.SortFunc(out, func(a, b tenancy.Health) int { return cmp.Compare(a.Pod, b.Pod) })
	return out
}

// maxTenantUses bounds the number of per-tenant sums kept for one period.
const maxTenantUses = 1 << 16

// addTenantSums adds the per-tenant sums and the server loads that a proxy reported to the current period.
func (p *Pilot) addTenantSums(s *runtime.Sums) {
	if p.quarantine == nil {
		return
	}
	if busy := slices.Index(p.file.Service.Measures, "cpu_utilization"); busy >= 0 {
		for _, e := range s.Servers {
			at, ok := p.serverOf(e.Endpoint)
			if !ok || len(e.Load) <= busy {
				continue
			}
			pod := tenancy.PodOf(at.Zone, at.Pack)
			if p.podLoadSums[pod] == nil {
				p.podLoadSums[pod] = &[2]float64{}
			}
			p.podLoadSums[pod][0] += e.Load[busy]
			p.podLoadSums[pod][1]++
		}
	}
	for _, t := range s.Tenants {
		if len(p.tenantUses) < maxTenantUses {
			p.tenantUses = append(p.tenantUses, tenancy.Usage{Tenant: t.Tenant, Pod: tenancy.PodID(t.Pod), Ops: float64(t.Ops),
				Failed: float64(t.Failed), Busy: t.Busy})
		}
	}
}

// executeOrder carries out an order that is not translated to messages for proxies.
func (p *Pilot) executeOrder(o control.Order) {
	switch o := o.(type) {
	case control.Probe:
		p.startProbe(o.Endpoint)
	case control.Publish:
		p.publish(o)
	case control.FetchList:
		p.source.Fetch()
	case control.LogMessage:
		p.log.Info("note from the decision module", "text", o.Text)
	case control.WatchList: // nothing to do: the list is always followed
	default: // not reached: every present order type is handled here, in translate or by package host
		p.log.Warn("unsupported order from the decision module", "order", fmt.Sprintf("%T", o))
	}
}

// serverOf returns the address, zone and pack of a listed endpoint. It reports false if the endpoint is not listed or
// has no address.
func (p *Pilot) serverOf(id control.EndpointID) (runtime.Server, bool) {
	e, ok := p.list[id]
	if !ok || e.Address == (netip.AddrPort{}) {
		return runtime.Server{}, false
	}
	return runtime.Server{Address: e.Address, Zone: p.file.Service.ZoneIndex(e.Zone), Pack: e.Pack}, true
}

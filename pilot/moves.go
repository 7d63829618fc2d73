package pilot

import (
	"fmt"
	"io"
	"log/slog"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"vetchdoor/control"
	"vetchdoor/runtime"
	sessions "vetchdoor/session"
	"vetchdoor/tenancy"
	"vetchdoor/tenancy/store"
)

// mover carries out the moves of tenants that tenancy.Mover decides. The records of a step are written to disk on another
// goroutine, and only then are its binding updates sent to the proxies, in turn and when the channel has no other message to
// send. The mover is used only on the loop.
type mover struct {
	*tenancy.Mover
	store           *store.Store
	writer          *storeWriter
	wake            *time.Timer           // calls stepMover after the delay in tenancy.StepResult.Wake
	sendingSessions []*session            // sessions with binding updates to send, in turn
	moved           uint64                // number of moves that were completed
	cancelled       uint64                // number of moves that were cancelled
	recentEnds      []tenancy.MoveResult  // results of the latest moves, for show move
	restoredLimits  []tenancy.LimitRecord // limits loaded from the store at the start
}

// sessionUpdate is a binding update for one session of a proxy. It is not sent if the session has ended.
type sessionUpdate struct {
	tenancy.BindingUpdate
	s *session
}

// defaultConcurrentMoves is the default number of moves in progress at a time. It bounds how many tenants' writes are held at
// once.
const defaultConcurrentMoves = 64

// maxBindingLines bounds the lines of a message of bindings, because the module's next message has to wait for it.
const maxBindingLines = 64

// openMoves opens the store of tenants and starts the mover with its contents, if moves are configured.
func (p *Pilot) openMoves() error {
	f := p.file.Moves
	if f == nil {
		return nil
	}
	s, err := store.Open(f.Store)
	if err != nil {
		return err
	}
	stored, err := s.Load()
	if err != nil {
		s.Close()
		return err
	}
	waits := tenancy.MoveLimits{MaxHold: f.MaxHold.AsDuration(), MaxConcurrent: f.MaxConcurrent}
	waits.WriteLifetime, waits.DedupWindow = tenancy.MoveDurations(p.config.OpTypes, p.file.Service.WriteLifetime.AsDuration())
	if waits.MaxHold <= 0 {
		waits.MaxHold = 10 * (waits.WriteLifetime + waits.DedupWindow)
	}
	if waits.MaxConcurrent <= 0 {
		waits.MaxConcurrent = defaultConcurrentMoves
	}
	p.mover = &mover{Mover: tenancy.NewMover(waits, stored.CreatedAt, stored.Records, stored.KnownProxies), store: s,
		wake:           p.host.After(0, func() { p.stepMover() }),
		restoredLimits: stored.Limits}
	p.mover.writer = startStoreWriter(s, p.log, func(orders []sessionUpdate) { p.post(func() { p.queueBindings(orders) }) })
	p.log.Info("store of tenants opened; moves of tenants enabled", "store", f.Store, "moved", len(stored.Records),
		"proxies", len(stored.KnownProxies))
	return nil
}

// stepMover passes events to the mover and carries out the result. It returns the errors of the events that were refused.
func (p *Pilot) stepMover(events ...tenancy.Event) []error {
	m := p.mover
	if m == nil {
		return nil
	}
	done := m.Step(p.host.Now(), events...)
	for _, e := range events {
		if e.MoveRequest != nil && len(done.Refused) == 0 {
			p.records.recordMoveRequest(*e.MoveRequest)
		}
	}
	for _, e := range done.Ended {
		p.records.recordMoveEnd(e)
		if e.Moved {
			m.moved++
		} else {
			m.cancelled++
			p.log.Warn("tenant move cancelled", "tenant", e.Tenant, "held", e.Held)
		}
		m.recentEnds = append(m.recentEnds, e)
	}
	m.recentEnds = m.recentEnds[max(0, len(m.recentEnds)-20):]
	if done.Wake >= 0 {
		m.wake.Reset(done.Wake)
	}
	if len(done.Records) > 0 || done.KnownProxies != nil || len(done.Updates) > 0 {
		orders := make([]sessionUpdate, 0, len(done.Updates))
		for _, o := range done.Updates {
			if s := p.sessions[control.ProxyID(o.Proxy)]; s != nil {
				orders = append(orders, sessionUpdate{o, s})
			}
		}
		m.writer.add(done, orders, func(b sessionUpdate) bool { return p.sessions[b.s.id] == b.s })
	}
	return done.Refused
}

// queueBindings queues binding updates whose records are on disk.
func (p *Pilot) queueBindings(orders []sessionUpdate) {
	for _, order := range orders {
		if p.sessions[order.s.id] != order.s { // the proxy left; it gets the binding when it joins again
			continue
		}
		if len(order.s.bindings) == 0 {
			p.mover.sendingSessions = append(p.mover.sendingSessions, order.s)
		}
		order.s.bindings = append(order.s.bindings, order.BindingUpdate)
	}
	p.pump()
}

// sendBindings enqueues a message of bindings for the next proxy whose window has room. It is called when no queued message
// can be sent, and reports whether it enqueued one.
func (p *Pilot) sendBindings() bool {
	if p.mover == nil || p.channel.waitingLines > p.channel.maxLines/2 {
		return false
	}
	waiting := slices.DeleteFunc(p.mover.sendingSessions, func(s *session) bool { return p.sessions[s.id] != s })
	p.mover.sendingSessions = waiting
	i := slices.IndexFunc(waiting, func(s *session) bool {
		return s.conn != nil && (s.unconfirmedLines == 0 || s.unconfirmedLines+maxBindingLines+p.desired.headLines <= s.windowLines)
	})
	if i < 0 {
		return false
	}
	s := waiting[i]
	orders := s.bindings[:min(maxBindingLines, len(s.bindings))]
	changes := make([]runtime.Change, len(orders))
	for j, order := range orders {
		if changes[j] = (runtime.Change{Verb: runtime.SetBinding, Tenant: order.Tenant, Number: order.Number, Placement: order.Placement,
			Held: order.Held}); order.Clear {
			changes[j] = runtime.Change{Verb: runtime.ClearBindings, Number: order.Number}
		}
	}
	s.bindings = s.bindings[len(orders):]
	p.mover.sendingSessions = slices.Delete(waiting, i, i+1)
	if len(s.bindings) > 0 {
		p.mover.sendingSessions = append(p.mover.sendingSessions, s)
	} else {
		s.bindings = nil
	}
	p.enqueueMessages(p.host.Now(), []outgoing{p.desired.newMessage(s.id, changes)})
	return true
}

// waitingUpdates returns the number of stored binding updates that are not sent.
func (m *mover) waitingUpdates() (n int) {
	for _, s := range m.sendingSessions {
		n += len(s.bindings)
	}
	return n
}

// confirmBindings reports to the mover that the bindings of a message are in force at a proxy.
func (p *Pilot) confirmBindings(s *session, m outgoing) {
	if p.mover == nil {
		return
	}
	var events []tenancy.Event
	for _, c := range m.Changes {
		if c.Verb == runtime.SetBinding {
			events = append(events, tenancy.Event{Confirmed: &tenancy.Confirmation{Proxy: tenancy.ProxyID(s.id), Tenant: c.Tenant,
				Number: c.Number}})
		}
	}
	if len(events) > 0 {
		p.stepMover(events...)
	}
}

// storeWriter writes the records of the mover's steps to the store, in order and in batches. A write that fails is retried
// every second, and no binding update is sent before the records of its step and of all earlier steps are written.
type storeWriter struct {
	store   *store.Store
	log     *slog.Logger
	send    func([]sessionUpdate)
	mu      sync.Mutex
	records map[string]tenancy.Record // newest record of each tenant, to be stored
	known   []tenancy.ProxyID         // proxies to be stored; nil: unchanged
	limits  []tenancy.LimitRecord     // limits to be stored; nil: unchanged
	orders  []sessionUpdate           // binding updates to be sent once records is stored
	pruneAt int                       // length of orders at which those of ended sessions are removed
	err     error                     // error of the last write; nil if it succeeded
	wake    chan struct{}
	stop    chan struct{}
	done    chan struct{}
}

// minPruneAt is the lowest value of storeWriter.pruneAt.
const minPruneAt = 1 << 16

// startStoreWriter starts the goroutine that writes to the store. It calls send with the binding updates whose records are
// written.
func startStoreWriter(s *store.Store, log *slog.Logger, send func([]sessionUpdate)) *storeWriter {
	w := &storeWriter{store: s, log: log, send: send, pruneAt: minPruneAt, records: map[string]tenancy.Record{},
		wake: make(chan struct{}, 1), stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// add queues the result of a step. While writes fail, memory is bounded by one record per tenant and the binding updates
// of current sessions, for which isCurrent reports true.
func (w *storeWriter) add(result tenancy.StepResult, orders []sessionUpdate, isCurrent func(sessionUpdate) bool) {
	w.mu.Lock()
	for _, r := range result.Records {
		w.records[r.Tenant] = r
	}
	if result.KnownProxies != nil {
		w.known = result.KnownProxies
	}
	if w.orders = append(w.orders, orders...); len(w.orders) > w.pruneAt {
		w.orders = slices.DeleteFunc(w.orders, func(b sessionUpdate) bool { return !isCurrent(b) })
		w.pruneAt = max(minPruneAt, 2*len(w.orders))
	}
	w.mu.Unlock()
	w.wakeUp()
}

// wakeUp starts writing what is queued. It does not block.
func (w *storeWriter) wakeUp() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// setLimits queues all current limits of tenants to be stored.
func (w *storeWriter) setLimits(all []tenancy.LimitRecord) {
	w.mu.Lock()
	if w.limits = all; all == nil {
		w.limits = []tenancy.LimitRecord{}
	}
	w.mu.Unlock()
	w.wakeUp()
}

// run writes what is queued until stop is closed, and then once more unless a failed write is being retried. The binding
// updates of that last write are not sent.
func (w *storeWriter) run() {
	defer close(w.done)
	for {
		ending := false
		select {
		case <-w.stop:
			ending = true
		case <-w.wake:
		}
		w.mu.Lock()
		step, limits, orders := tenancy.StepResult{Records: slices.Collect(maps.Values(w.records)), KnownProxies: w.known}, w.limits, w.orders
		w.records, w.known, w.limits, w.orders = map[string]tenancy.Record{}, nil, nil, nil
		w.mu.Unlock()
		for {
			err := w.store.Save(step, limits)
			w.mu.Lock()
			w.err = err
			w.mu.Unlock()
			if err == nil {
				break
			}
			w.log.Error("store of tenants not written; moves wait until it is", "error", err)
			if ending {
				return
			}
			select {
			case <-w.stop:
				return
			case <-time.After(time.Second):
			}
		}
		if ending {
			return
		}
		if len(orders) > 0 {
			w.send(orders)
		}
	}
}

// lastError returns the error of the last write; nil if it succeeded.
func (w *storeWriter) lastError() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.err
}

// close writes what is queued, once, and closes the store.
func (m *mover) close() {
	close(m.writer.stop)
	<-m.writer.done
	m.wake.Stop()
	m.store.Close()
}

// tenantCommands returns the admin commands that concern tenants. onLoop runs a command's function on the loop.
func (p *Pilot) tenantCommands(
	onLoop func(func(io.Writer, []string) error) func(io.Writer, runtime.Command) error,
) []sessions.Command {
	one := func(f func(name string) tenancy.Event) func(io.Writer, []string) error {
		return func(w io.Writer, words []string) error {
			if len(words) != 3 {
				return fmt.Errorf("expected a tenant's name and nothing else")
			}
			return p.applyCommand(f(runtime.TenantName(words[2])))
		}
	}
	return []sessions.Command{
		{Prefix: "show tenant", Help: "[NAME]: tenants that have a limit or were moved, or the one named", Do: onLoop(p.showTenant)},
		{Prefix: "set tenant", Help: "NAME subset home|draw N|size N|pods ZONE.PACK,...: move the tenant to that subset",
			Do: onLoop(p.setTenant)},
		{Prefix: "move tenant", Help: "NAME [draw N|size N|pods ZONE.PACK,...] [wait]: move the tenant, by default to a new draw",
			Do: onLoop(p.moveTenant)},
		{Prefix: "show move", Help: "moves in progress, the proxies each waits for, and the latest ended moves",
			Do: onLoop(p.showMove)},
		{Prefix: "cancel move", Help: "NAME: cancel the tenant's move; it stays where it was",
			Do: onLoop(one(func(n string) tenancy.Event { return tenancy.Event{Cancel: &n} }))},
		{Prefix: "open move", Help: "NAME: complete a move that was started with wait",
			Do: onLoop(one(func(n string) tenancy.Event { return tenancy.Event{Open: &n} }))},
		{Prefix: "forget proxy", Help: "N: forget a proxy that will not come back; moves no longer wait for it",
			Do: onLoop(p.forgetProxy)},
	}
}

// applyCommand passes an event from an admin command to the mover and returns the reason if it is refused.
func (p *Pilot) applyCommand(e tenancy.Event) error {
	if p.mover == nil {
		return fmt.Errorf("moves of tenants are not configured: the pilot's file has no moves")
	}
	if refused := p.stepMover(e); len(refused) > 0 {
		return refused[0]
	}
	return nil
}

// setTenant is the command "set tenant".
func (p *Pilot) setTenant(w io.Writer, words []string) error {
	if len(words) < 5 || words[3] != "subset" {
		return fmt.Errorf("set tenant NAME subset home|draw N|size N|pods ZONE.PACK[,ZONE.PACK]")
	}
	return p.requestMove(words[2], words[4:], false, false)
}

// moveTenant is the command "move tenant".
func (p *Pilot) moveTenant(w io.Writer, words []string) error {
	if len(words) < 3 {
		return fmt.Errorf("a tenant's name is required")
	}
	where := words[3:]
	waitForOpen := len(where) > 0 && where[len(where)-1] == "wait"
	if waitForOpen {
		where = where[:len(where)-1]
	}
	return p.requestMove(words[2], where, len(where) == 0, waitForOpen)
}

// requestMove requests a move of a tenant to a placement, given as changes to its present one, or to a new draw of pods.
func (p *Pilot) requestMove(name string, where []string, newDraw, waitForOpen bool) error {
	if p.mover == nil {
		return p.applyCommand(tenancy.Event{})
	}
	name = runtime.TenantName(name)
	r, _ := p.mover.RecordOf(name)
	placement := r.Placement
	if newDraw {
		placement.Draw++
		placement.Pods = nil
	} else {
		var err error
		if placement, err = runtime.ParsePlacement(where, placement); err != nil {
			return err
		}
	}
	for _, pod := range placement.Pods {
		if !p.hasPod(pod) {
			return fmt.Errorf("pod %s has no server on the list", tenancy.AppendPods(nil, []tenancy.PodID{pod}))
		}
	}
	return p.applyCommand(tenancy.Event{MoveRequest: &tenancy.MoveRequest{Tenant: name, To: placement, ManualOpen: waitForOpen}})
}

// hasPod reports whether the list has a server of a pod.
func (p *Pilot) hasPod(pod tenancy.PodID) bool {
	for _, e := range p.list {
		if e.Mode != "gone" && tenancy.PodOf(p.file.Service.ZoneIndex(e.Zone), e.Pack) == pod {
			return true
		}
	}
	return false
}

// forgetProxy is the command "forget proxy".
func (p *Pilot) forgetProxy(w io.Writer, words []string) error {
	if len(words) != 3 {
		return fmt.Errorf("a proxy's number is required")
	}
	n, err := strconv.ParseUint(words[2], 10, 16)
	if err != nil {
		return fmt.Errorf("%q is not a proxy number", words[2])
	}
	if p.sessions[control.ProxyID(n)] != nil {
		return fmt.Errorf("proxy %d is joined and cannot be forgotten", n)
	}
	id := tenancy.ProxyID(n)
	return p.applyCommand(tenancy.Event{Forgotten: &id})
}

// showTenant is the command "show tenant". Rates of ops are per second, averaged over periods.
func (p *Pilot) showTenant(w io.Writer, words []string) error {
	names := slices.Collect(maps.Keys(p.desired.limits))
	if p.mover != nil {
		for _, r := range p.mover.Records() {
			names = append(names, r.Tenant)
		}
	}
	if len(words) > 2 {
		names = []string{runtime.TenantName(words[2])}
	}
	slices.Sort(names)
	fmt.Fprintln(w, "# tenant,rate,tries,hand,fenced,room,seat,phase,number,ops_s,failed_s,busy_s,")
	for _, name := range slices.Compact(names) {
		limit := tenancy.Unlimited(name)
		if c, limited := p.desired.limits[name]; limited {
			limit = c.Limit()
		}
		r := tenancy.Record{}
		if p.mover != nil {
			r, _ = p.mover.RecordOf(name)
		}
		var use tenancy.Usage
		if p.quarantine != nil {
			use = p.quarantine.UsageOf(name)
		}
		period := p.config.ReportInterval.Seconds()
		fmt.Fprintf(w, "%s,%g,%g,%g,%t,%g,%s,%s,%d,%.3g,%.3g,%.3g,\n", runtime.Quote("="+name), limit.Rate, limit.Tries, limit.Hand,
			limit.Fenced,
			limit.Room, r.Placement, r.Phase, r.Number,
			use.Ops/period, use.Failed/period, use.Busy.Seconds()/period)
	}
	return nil
}

// showMove is the command "show move".
func (p *Pilot) showMove(w io.Writer, _ []string) error {
	if p.mover == nil {
		return p.applyCommand(tenancy.Event{})
	}
	moving, waiting := p.mover.ActiveMoves(p.host.Now())
	fmt.Fprintln(w, "# tenant,phase,from,to,held_ms,left_ms,awaited,away,")
	for _, m := range moving {
		fmt.Fprintf(w, "%s,%s,%s,%s,%d,%d,%s,%s,\n", runtime.Quote("="+m.Tenant), m.Phase, m.Placement, m.To, m.Held.Milliseconds(),
			m.Remaining.Milliseconds(), formatProxyIDs(m.Unconfirmed), formatProxyIDs(m.Disconnected))
	}
	joined, away := p.mover.Proxies()
	fmt.Fprintf(w,
		"Moving: %d\nWaiting: %d\nMoved: %d\nCancelled: %d\nOrders_waiting: %d\nProxies_joined: %d\nProxies_away: %s\n",
		len(moving), waiting,
		p.mover.moved, p.mover.cancelled, p.mover.waitingUpdates(), len(joined), formatProxyIDs(away))
	if err := p.mover.writer.lastError(); err != nil {
		fmt.Fprintf(w, "Store: %v\n", err)
	}
	for _, e := range p.mover.recentEnds {
		outcome := "cancelled"
		if e.Moved {
			outcome = "moved"
		}
		fmt.Fprintf(w, "Ended: %s %s after %v\n", runtime.Quote("="+e.Tenant), outcome, e.Held.Round(time.Millisecond))
	}
	return nil
}

// formatProxyIDs formats the ids of at most eight proxies and the number of further ids.
func formatProxyIDs(ids []tenancy.ProxyID) string {
	const maxIDs = 8
	s := ""
	for i, id := range ids {
		if i == maxIDs {
			return s + fmt.Sprintf(" and %d more", len(ids)-maxIDs)
		}
		if i > 0 {
			s += " "
		}
		s += strconv.Itoa(int(id))
	}
	return s
}

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

// mover carries out what tenancy decides of tenants that move: records go to disk, beside the loop, and only then do the
// orders that came with them go to proxies, in turn and as the channel has nothing else to send. It is the loop's own.
type mover struct {
	*tenancy.Mover
	store   *store.Store
	disk    *disk
	wake    *time.Timer
	sending []*session // that have orders to be sent, in turn
	moved   uint64
	undone  uint64               // cancelled
	last    []tenancy.MoveResult // the newest ends, for people
	kept    []tenancy.Sentence   // limits that stood when the last run ended
}

// bound is an order for one session of a proxy.
type bound struct {
	tenancy.BindingUpdate
	s *session
}

// defaultAbreast moves go on at a time; most writes held at once are theirs.
const defaultAbreast = 64

// bindingLines bounds a message of bindings, which the module's next one waits for.
const bindingLines = 64

// openMoves opens the store and goes on from it.
func (p *Pilot) openMoves() error {
	f := p.file.Moves
	if f == nil {
		return nil
	}
	s, err := store.Open(f.Store)
	if err != nil {
		return err
	}
	kept, err := s.Load()
	if err != nil {
		s.Close()
		return err
	}
	w := tenancy.MoveLimits{MaxHold: f.MaxHold.AsDuration(), MaxConcurrent: f.MaxConcurrent}
	w.WriteLifetime, w.DedupWindow = tenancy.MoveDurations(p.facts.OpTypes, p.file.Service.WriteLifetime.AsDuration())
	if w.MaxHold <= 0 {
		w.MaxHold = 10 * (w.WriteLifetime + w.DedupWindow)
	}
	if w.MaxConcurrent <= 0 {
		w.MaxConcurrent = defaultAbreast
	}
	p.mover = &mover{Mover: tenancy.NewMover(w, kept.Born, kept.Records, kept.KnownProxies), store: s, wake: p.host.After(0, func() { p.move() }),
		kept: kept.Sentences}
	p.mover.disk = startDisk(s, p.log, func(orders []bound) { p.post(func() { p.bindings(orders) }) })
	p.log.Info("tenants may be moved", "store", f.Store, "moved", len(kept.Records), "proxies", len(kept.KnownProxies))
	return nil
}

// move tells the mover what happened and has what it asks for carried out.
func (p *Pilot) move(events ...tenancy.Event) []error {
	m := p.mover
	if m == nil {
		return nil
	}
	d := m.Step(p.host.Now(), events...)
	for _, e := range events {
		if e.MoveRequest != nil && len(d.Refused) == 0 {
			p.records.movesAsked(*e.MoveRequest)
		}
	}
	for _, e := range d.Ended {
		p.records.moved(e)
		if e.Moved {
			m.moved++
		} else {
			m.undone++
			p.log.Warn("a move was cancelled", "tenant", e.Tenant, "held", e.Held)
		}
		m.last = append(m.last, e)
	}
	m.last = m.last[max(0, len(m.last)-20):]
	if d.Wake >= 0 {
		m.wake.Reset(d.Wake)
	}
	if len(d.Records) > 0 || d.KnownProxies != nil || len(d.Updates) > 0 {
		orders := make([]bound, 0, len(d.Updates))
		for _, o := range d.Updates {
			if s := p.sessions[control.ProxyID(o.Proxy)]; s != nil {
				orders = append(orders, bound{o, s})
			}
		}
		m.disk.keep(d, orders, func(b bound) bool { return p.sessions[b.s.id] == b.s })
	}
	return d.Refused
}

// bindings takes orders that are on disk.
func (p *Pilot) bindings(orders []bound) {
	for _, b := range orders {
		if p.sessions[b.s.id] != b.s { // its proxy left, and hears of it when it joins
			continue
		}
		if len(b.s.bindings) == 0 {
			p.mover.sending = append(p.mover.sending, b.s)
		}
		b.s.bindings = append(b.s.bindings, b.BindingUpdate)
	}
	p.pump()
}

// sendBindings gives the channel, where nothing else can leave it now, a message of bindings for the next proxy that takes
// one; it tells whether it did.
func (p *Pilot) sendBindings() bool {
	if p.mover == nil || p.channel.waiting > p.channel.most/2 {
		return false
	}
	l := slices.DeleteFunc(p.mover.sending, func(s *session) bool { return p.sessions[s.id] != s })
	p.mover.sending = l
	i := slices.IndexFunc(l, func(s *session) bool {
		return s.conn != nil && (s.unconfirmed == 0 || s.unconfirmed+bindingLines+p.desired.head <= s.window)
	})
	if i < 0 {
		return false
	}
	s := l[i]
	orders := s.bindings[:min(bindingLines, len(s.bindings))]
	changes := make([]runtime.Change, len(orders))
	for j, b := range orders {
		if changes[j] = (runtime.Change{Verb: runtime.SetBinding, Tenant: b.Tenant, Number: b.Number, Seat: b.Placement, Held: b.Held}); b.Clear {
			changes[j] = runtime.Change{Verb: runtime.ClearBindings, Number: b.Number}
		}
	}
	s.bindings = s.bindings[len(orders):]
	p.mover.sending = slices.Delete(l, i, i+1)
	if len(s.bindings) > 0 {
		p.mover.sending = append(p.mover.sending, s)
	} else {
		s.bindings = nil
	}
	p.queue(p.host.Now(), []outgoing{p.desired.alone(s.id, changes)})
	return true
}

// waiting is how many orders wait to be sent.
func (m *mover) waiting() (n int) {
	for _, s := range m.sending {
		n += len(s.bindings)
	}
	return n
}

// placed takes the word of a proxy that bindings of a message are in force.
func (p *Pilot) placed(s *session, m outgoing) {
	if p.mover == nil {
		return
	}
	var events []tenancy.Event
	for _, c := range m.Changes {
		if c.Verb == runtime.SetBinding {
			events = append(events, tenancy.Event{Confirmed: &tenancy.Confirm{Proxy: tenancy.ProxyID(s.id), Tenant: c.Tenant, Number: c.Number}})
		}
	}
	if len(events) > 0 {
		p.move(events...)
	}
}

// disk writes what steps of the mover hand out, in order, as many at once as there are; what cannot be written is tried
// again, and no later order goes out before it.
type disk struct {
	store *store.Store
	log   *slog.Logger
	send  func([]bound)
	mu    sync.Mutex
	next  map[string]tenancy.Record
	known []tenancy.ProxyID
	limit []tenancy.Sentence // not nil: to be kept
	bound []bound
	look  int // orders at which those of sessions that ended are left out
	err   error
	wake  chan struct{}
	stop  chan struct{}
	done  chan struct{}
}

const mostLook = 1 << 16

func startDisk(s *store.Store, log *slog.Logger, send func([]bound)) *disk {
	d := &disk{store: s, log: log, send: send, look: mostLook, next: map[string]tenancy.Record{}, wake: make(chan struct{}, 1), stop: make(chan struct{}), done: make(chan struct{})}
	go d.run()
	return d
}

// keep takes in a step. While the disk fails no more is held than the newest record of each tenant and the orders of the
// sessions that there are.
func (d *disk) keep(done tenancy.StepResult, orders []bound, there func(bound) bool) {
	d.mu.Lock()
	for _, r := range done.Records {
		d.next[r.Tenant] = r
	}
	if done.KnownProxies != nil {
		d.known = done.KnownProxies
	}
	if d.bound = append(d.bound, orders...); len(d.bound) > d.look {
		d.bound = slices.DeleteFunc(d.bound, func(b bound) bool { return !there(b) })
		d.look = max(mostLook, 2*len(d.bound))
	}
	d.mu.Unlock()
	d.poke()
}

// poke has what was taken in written.
func (d *disk) poke() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// sentences takes in the limits that stand.
func (d *disk) sentences(all []tenancy.Sentence) {
	d.mu.Lock()
	if d.limit = all; all == nil {
		d.limit = []tenancy.Sentence{}
	}
	d.mu.Unlock()
	d.poke()
}

func (d *disk) run() {
	defer close(d.done)
	for {
		ending := false
		select {
		case <-d.stop:
			ending = true
		case <-d.wake:
		}
		d.mu.Lock()
		next, limits, orders := tenancy.StepResult{Records: slices.Collect(maps.Values(d.next)), KnownProxies: d.known}, d.limit, d.bound
		d.next, d.known, d.limit, d.bound = map[string]tenancy.Record{}, nil, nil, nil
		d.mu.Unlock()
		for {
			err := d.store.Keep(next, limits)
			d.mu.Lock()
			d.err = err
			d.mu.Unlock()
			if err == nil {
				break
			}
			d.log.Error("tenants' places could not be kept; moves wait", "error", err)
			if ending {
				return
			}
			select {
			case <-d.stop:
				return
			case <-time.After(time.Second):
			}
		}
		if ending {
			return
		}
		if len(orders) > 0 {
			d.send(orders)
		}
	}
}

// fault is what keeps it from writing, if anything.
func (d *disk) fault() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.err
}

func (m *mover) close() {
	close(m.disk.stop)
	<-m.disk.done
	m.wake.Stop()
	m.store.Close()
}

// tenantCommands are those of the socket for people that concern tenants.
func (p *Pilot) tenantCommands(inLoop func(func(io.Writer, []string) error) func(io.Writer, runtime.Command) error) []sessions.Command {
	one := func(f func(name string) tenancy.Event) func(io.Writer, []string) error {
		return func(w io.Writer, words []string) error {
			if len(words) != 3 {
				return fmt.Errorf("a tenant's name is to follow, and no more")
			}
			return p.asked(f(runtime.TenantName(words[2])))
		}
	}
	return []sessions.Command{
		{Prefix: "show tenant", Help: "[NAME]: tenants with a limit or a seat of their own, or all of one", Do: inLoop(p.showTenant)},
		{Prefix: "set tenant", Help: "NAME subset home|draw N|size N|pods ZONE.PACK,...: move it there", Do: inLoop(p.setTenant)},
		{Prefix: "move tenant", Help: "NAME [draw N|size N|pods ZONE.PACK,...] [wait]: move it, to a new draw where nothing is said", Do: inLoop(p.moveTenant)},
		{Prefix: "show move", Help: "moves under way, what each waits for, and the last that ended", Do: inLoop(p.showMove)},
		{Prefix: "cancel move", Help: "NAME: the move ends where it began", Do: inLoop(one(func(n string) tenancy.Event { return tenancy.Event{Cancel: &n} }))},
		{Prefix: "open move", Help: "NAME: a move that waits to be told ends", Do: inLoop(one(func(n string) tenancy.Event { return tenancy.Event{Open: &n} }))},
		{Prefix: "forget proxy", Help: "N: one that is gone for good; moves wait for it no longer", Do: inLoop(p.forgetProxy)},
	}
}

func (p *Pilot) asked(e tenancy.Event) error {
	if p.mover == nil {
		return fmt.Errorf("this pilot moves no tenants: its file has no moves")
	}
	if refused := p.move(e); len(refused) > 0 {
		return refused[0]
	}
	return nil
}

func (p *Pilot) setTenant(w io.Writer, words []string) error {
	if len(words) < 5 || words[3] != "subset" {
		return fmt.Errorf("set tenant NAME subset home|draw N|size N|pods ZONE.PACK[,ZONE.PACK]")
	}
	return p.askFor(words[2], words[4:], false, false)
}

func (p *Pilot) moveTenant(w io.Writer, words []string) error {
	if len(words) < 3 {
		return fmt.Errorf("a tenant's name is to follow")
	}
	where := words[3:]
	waits := len(where) > 0 && where[len(where)-1] == "wait"
	if waits {
		where = where[:len(where)-1]
	}
	return p.askFor(words[2], where, len(where) == 0, waits)
}

// askFor asks for a move to a seat, told as changes to the present one, or to a new draw.
func (p *Pilot) askFor(name string, where []string, fresh, waits bool) error {
	if p.mover == nil {
		return p.asked(tenancy.Event{})
	}
	name = runtime.TenantName(name)
	r, _ := p.mover.Of(name)
	seat := r.Placement
	if fresh {
		seat.Draw++
		seat.Pods = nil
	} else {
		var err error
		if seat, err = runtime.ParseSeat(where, seat); err != nil {
			return err
		}
	}
	for _, pod := range seat.Pods {
		if !p.hasPod(pod) {
			return fmt.Errorf("pod %s has no server on the list", tenancy.AppendPods(nil, []tenancy.PodID{pod}))
		}
	}
	return p.asked(tenancy.Event{MoveRequest: &tenancy.MoveRequest{Tenant: name, To: seat, Waits: waits}})
}

// hasPod tells whether the list has a server of a pod.
func (p *Pilot) hasPod(pod tenancy.PodID) bool {
	for _, e := range p.list {
		if e.Mode != "gone" && tenancy.PodOf(p.file.Service.ZoneIndex(e.Zone), e.Pack) == pod {
			return true
		}
	}
	return false
}

func (p *Pilot) forgetProxy(w io.Writer, words []string) error {
	if len(words) != 3 {
		return fmt.Errorf("a proxy's number is to follow")
	}
	n, err := strconv.ParseUint(words[2], 10, 16)
	if err != nil {
		return fmt.Errorf("%q is no proxy", words[2])
	}
	if p.sessions[control.ProxyID(n)] != nil {
		return fmt.Errorf("proxy %d is joined", n)
	}
	id := tenancy.ProxyID(n)
	return p.asked(tenancy.Event{Forgotten: &id})
}

func (p *Pilot) showTenant(w io.Writer, words []string) error {
	names := slices.Collect(maps.Keys(p.desired.limits))
	if p.mover != nil {
		for _, r := range p.mover.Seated() {
			names = append(names, r.Tenant)
		}
	}
	if len(words) > 2 {
		names = []string{runtime.TenantName(words[2])}
	}
	slices.Sort(names)
	fmt.Fprintln(w, "# tenant,rate,tries,hand,fenced,room,seat,phase,number,ops_s,failed_s,busy_s,")
	for _, name := range slices.Compact(names) {
		l := tenancy.Unlimited(name)
		if c, limited := p.desired.limits[name]; limited {
			l = c.Limit()
		}
		r := tenancy.Record{}
		if p.mover != nil {
			r, _ = p.mover.Of(name)
		}
		var u tenancy.Use
		if p.quarantine != nil {
			u = p.quarantine.Met(name)
		}
		per := p.facts.ReportInterval.Seconds()
		fmt.Fprintf(w, "%s,%g,%g,%g,%t,%g,%s,%s,%d,%.3g,%.3g,%.3g,\n", runtime.Quote("="+name), l.Rate, l.Tries, l.Hand, l.Fenced, l.Room, r.Placement, r.Phase, r.Number,
			u.Ops/per, u.Failed/per, u.Busy.Seconds()/per)
	}
	return nil
}

func (p *Pilot) showMove(w io.Writer, _ []string) error {
	if p.mover == nil {
		return p.asked(tenancy.Event{})
	}
	moving, waiting := p.mover.Moving(p.host.Now())
	fmt.Fprintln(w, "# tenant,phase,from,to,held_ms,left_ms,awaited,away,")
	for _, m := range moving {
		fmt.Fprintf(w, "%s,%s,%s,%s,%d,%d,%s,%s,\n", runtime.Quote("="+m.Tenant), m.Phase, m.Placement, m.To, m.Held.Milliseconds(), m.Left.Milliseconds(),
			someIDs(m.Awaited), someIDs(m.Away))
	}
	joined, away := p.mover.Proxies()
	fmt.Fprintf(w, "Moving: %d\nWaiting: %d\nMoved: %d\nCancelled: %d\nOrders_waiting: %d\nProxies_joined: %d\nProxies_away: %s\n", len(moving), waiting,
		p.mover.moved, p.mover.undone, p.mover.waiting(), len(joined), someIDs(away))
	if err := p.mover.disk.fault(); err != nil {
		fmt.Fprintf(w, "Store: %v\n", err)
	}
	for _, e := range p.mover.last {
		how := "cancelled"
		if e.Moved {
			how = "moved"
		}
		fmt.Fprintf(w, "Ended: %s %s after %v\n", runtime.Quote("="+e.Tenant), how, e.Held.Round(time.Millisecond))
	}
	return nil
}

// someIDs writes the first few proxies of many.
func someIDs(ids []tenancy.ProxyID) string {
	const most = 8
	s := ""
	for i, id := range ids {
		if i == most {
			return s + fmt.Sprintf(" and %d more", len(ids)-most)
		}
		if i > 0 {
			s += " "
		}
		s += strconv.Itoa(int(id))
	}
	return s
}

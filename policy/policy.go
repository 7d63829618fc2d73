// Package policy holds every decision of vetchdoor: Assigner.Decide takes what came to one instance and says
// what is to be done. Package control has the interface, docs/design.md the design and its exceptions.
package policy

import (
	"cmp"
	"math"
	"slices"
	"time"

	"vetchdoor/control"
)

// The design's numbers, in percent but for the last three.
const (
	over    = 70.0            // a cell that scores past this sheds a proxy, filled past it at once
	fits    = 60.0            // a move keeps its target's score under this
	even    = 50.0            // the fill of a cell that holds exactly its share
	silence = 7 * time.Second // the guide's: a cell that answers nothing drops
	entry   = 0.25            // of its weight: what a server that just started gets, and the least eased
	entries = 4               // steps from there to all of it

	// Where load stands, in percent. Queues for a few cores grow long past 80 and answers stop coming near 100.
	idle  = 45.0 // under this a load says little of what a server can do
	calm  = 72.0 // proxies go home, levels rise, servers regain weight
	busy  = 80.0 // distress: levels fall
	full  = 88.0 // the load that cells are filled to, and past which failing is no sign of sickness
	slack = 8.0  // between doing a thing and undoing it
	apart = 20.0 // from the mean: a server that lags

	// Waits, in lags of the sums (see lag); shares and ratios.
	easeLags    = 2       // between easings; from a sick spell to the full weight
	settledLags = 3       // until sums are whole or a cell that is back is moved to; doublings of a sick spell
	awayLags    = 10      // a proxy whose stream broke counts this long
	softWaiting = 0.4     // of what may wait: orders that can be put off keep under it
	hardWaiting = 0.9     // of what may wait: no order goes past it
	swift       = 0.4     // of the drains' grace: while all that waits takes longer, what can be put off is
	smoothing   = 0.4     // the newest sum's part in a running mean
	steady      = 20.0    // tries that weigh as much as all before them
	unhurried   = 0.15    // of the target latency: how long an op takes on an idle server
	outShare    = 1.0 / 3 // of a cell's servers: at most so many are out as sick
	sickMargin  = 0.25    // of the tries, failing more than elsewhere
	unsure      = 2       // margins more where tries are the least that mean anything
	lost        = 0.9     // of the tries failing: nothing is lost by taking it out
	wholly      = 0.95    // let in: what comes is free of repeats
	failsMuch   = 0.12    // of all tries failing: distress
	youngest    = 0.25    // of its warm-up: a cold server stays out while as many fail
	youngAvoid  = 0.5     // the same where proxies avoid by themselves what fails them
	pushedOver  = 4.0     // times what it can do is more than a cold server bears
	smallWork   = 2.0     // servers' work: what a small cell may have
	mostlyWarm  = 2.0 / 3 // of a cell's ready servers
	leastTries  = 4       // before failing means anything
	easeStep    = 0.6     // the most that one easing leaves
	setpoint    = 0.85    // of what the servers can do is let in; and what one trim leaves
	regain      = 0.3     // of all work, let in again in a lag
	leastLevel  = 0.05    // of an op type, always let in
	lopsided    = 10.0    // times the price of crossing: how far a cell may be filled past even
	nearness    = 100.0   // a server of the own zone counts 1+(nearness*price)^2 times for home
	tiny        = 1e-9    // stands for nothing where it divides
	roomCell    = 2       // standing tables of servers, at least, in each of an area's cells
	crowd       = 5       // proxies, at least, for each of them
	fewLines    = 4       // standing tables: a commons of no more is for everybody
	cheap       = 0.02    // a crossing under this price: zones are paired into cells
)

const beat uint32 = 1 // labels the only timer

// endpoint is all that is known of one server.
type endpoint struct {
	id              control.EndpointID
	area            int
	group           [2]int // zone and pack
	cell            *cell
	weight          float64 // as listed
	mode            control.Mode
	told            []float64 // weight last sent, by table
	tries, fails    float64   // that proxies met here, fading; the share that failed lately
	load, ease      float64   // percent, below 0 unheard; share of its weight left to a server that lags
	out, sick       bool      // withdrawn, as last sent; found sick
	spells          int       // times it was found sick
	started, turnAt time.Duration
	sickFor, eased  time.Duration
	seen            time.Duration // when it was last listed, if it is gone
	why             control.Why   // of its last sick spell
}

// tally sums up the shares that failed of servers that were tried enough.
type tally struct{ servers, fails float64 }

// cell is a group of servers of one area that share a table.
type cell struct {
	table                             *table
	area                              int
	servers, ready, warm, sick        int
	live, jammed                      bool
	met                               tally // over its servers
	since, answeredAt                 time.Duration
	demand, power, load, score, heard float64
}

// table is one shared table; the commons spans all cells.
type table struct {
	id   control.TableID
	cell *cell // nil: the commons
}

// opType is what the module reads of one op type.
type opType struct {
	cost, density float64 // of work, as far as its target latency tells; revenue for it
	level         float64 // as last sent; below 0: not yet
}

// proxy is one that has joined, or is away with the tables it holds.
type proxy struct {
	id           control.ProxyID
	zone         int
	rates        []float64 // work a second, by op type
	demand       float64   // their total
	ranked       []*cell   // home first
	cell         *cell     // where it belongs; nil: the commons
	table        *table    // as last sent; nil: its standing table
	placed, away bool
	shuts        bool // it may shut out who is not withdrawn: what it brought along, or who was forgotten
	leftAt       time.Duration
	lines, sent  float64     // of the message that this turn writes to it; of those not confirmed
	last         int         // number of the newest
	why          control.Why // of its place
}

// Assigner is one instance; its first event is its start.
type Assigner struct {
	facts                   control.Facts
	now, window             time.Duration // window: what sums span
	carry                   uint64        // of the generator
	endpoints               map[control.EndpointID]*endpoint
	proxies                 map[control.ProxyID]*proxy // joined
	listed                  []*endpoint                // by id
	joined, known           []*proxy                   // joined, by id; joined and away
	ops                     []opType
	areas                   int // zones, or pairs of them: each has cells of its own
	cells                   []*cell
	tables                  []*table // the cells' and, last, the commons
	wide, near              uint16   // op types that go by the commons at all proxies; the others, 0: all
	orders                  []control.Order
	number                  int     // of the last checkpoint
	held                    bool    // an order waits for room in the channel
	waiting, target         float64 // lines not confirmed; mean target latency in seconds
	demand, power, load     float64 // of known proxies, of usable servers, mean percent
	each, offered           float64 // work a unit of power does; work that comes, repeats aside
	met                     tally   // over usable servers
	failing                 float64 // where the cell does best
	admitted, lagged, trim  float64 // shares of the work: let in, let in a lag ago, left by distress
	moveAt, trimAt, wroteAt time.Duration
}

// Decide takes what happened at one moment and returns what is to be done.
func (a *Assigner) Decide(now time.Duration, events []control.Event) []control.Order {
	a.now, a.orders = now, nil
	review := false
	for _, ev := range events {
		if s, ok := ev.(control.Start); ok {
			a.start(s)
		}
		if a.endpoints != nil {
			review = a.take(ev) || review
		}
	}
	gap := a.facts.MessageCapWindow / time.Duration(max(1, a.facts.MessageCap))
	if review && (a.facts.MessageCap < 1 || a.now-a.wroteAt > gap) {
		a.push()
	}
	return a.orders
}

// take takes one event in and tells whether it calls for a look at what is to be sent.
func (a *Assigner) take(ev control.Event) bool {
	switch ev := ev.(type) {
	case control.Listing:
		a.listing(ev)
		return true
	case control.Joined:
		a.join(ev)
		return true
	case control.Left:
		a.leave(ev.Proxy)
	case control.InForce:
		a.confirm(ev)
		return a.held
	case control.EndpointStats:
		a.digest(ev)
	case control.Arrivals:
		a.arrivals(ev)
	case control.Ring:
		if ev.Label == beat {
			a.do(control.Wake{After: a.facts.ReportInterval, Label: beat})
			a.forget()
			a.health()
			a.rate()
			a.ease()
			a.admit()
			a.move()
		}
		return ev.Label == beat
	}
	return false
}

func (a *Assigner) do(o control.Order) { a.orders = append(a.orders, o) }

// chance is a multiply-with-carry generator; it yields a number from 0 to 1.
func (a *Assigner) chance() float64 {
	a.carry = 4294957665*(a.carry&math.MaxUint32) + a.carry>>32
	return float64(a.carry&math.MaxUint32) / math.MaxUint32
}

func (a *Assigner) start(s control.Start) {
	*a = Assigner{facts: s.Facts, now: a.now, carry: s.Seed>>1 | 1, admitted: 1, lagged: 1, trim: 1,
		wroteAt: control.LongAgo, endpoints: map[control.EndpointID]*endpoint{},
		proxies: map[control.ProxyID]*proxy{}}
	a.facts.ReportInterval = max(a.facts.ReportInterval, a.facts.Tick, 100*time.Millisecond)
	for _, t := range a.facts.OpTypes {
		cost := max(t.TargetLatency, time.Millisecond).Seconds()
		a.ops = append(a.ops, opType{cost: cost, density: t.Revenue / cost, level: -1})
		a.target += cost / float64(len(a.facts.OpTypes))
	}
	a.areas = max(1, a.facts.Zones)
	if a.facts.CrossZonePrice < cheap {
		a.areas = (a.areas + 1) / 2
	}
	if a.facts.AskForList {
		a.do(control.WatchList{On: true})
	}
	a.do(control.Wake{After: a.facts.ReportInterval, Label: beat})
}

// group lays out each area's cells by the first list: as many as leave each enough servers and proxies.
func (a *Assigner) group() {
	servers := make([]float64, a.areas)
	for _, e := range a.listed {
		servers[e.area]++
	}
	for area, n := range servers {
		proxies := float64(a.facts.Proxies) * n / max(1, float64(len(a.listed)))
		most := min(n/(roomCell*float64(max(1, a.facts.StandingTableLines))), proxies/crowd)
		for range max(1, int(most)) {
			t := &table{id: control.TableID(len(a.tables))}
			t.cell = &cell{table: t, area: area, live: true, since: control.LongAgo, answeredAt: a.now}
			a.cells, a.tables = append(a.cells, t.cell), append(a.tables, t)
		}
	}
	a.tables = append(a.tables, &table{id: control.TableID(len(a.tables))})
	if a.facts.AcrossCells != 0 && len(a.cells) > 1 {
		a.wide, a.near = a.facts.AcrossCells, (1<<len(a.ops)-1)&^a.facts.AcrossCells
	}
}

// enter gives new servers, by id, to the cells of their area that have least.
func (a *Assigner) enter() {
	slices.SortFunc(a.listed, func(x, y *endpoint) int { return cmp.Compare(x.id, y.id) })
	if a.cells == nil {
		a.group()
	}
	for _, e := range a.listed {
		if e.cell != nil {
			continue
		}
		for _, c := range a.cells {
			if c.area == e.area && (e.cell == nil || c.servers < e.cell.servers) {
				e.cell = c
			}
		}
		e.cell.servers++
		e.told = make([]float64, len(a.tables))
	}
}

// listing brings the records up to date.
func (a *Assigner) listing(l control.Listing) {
	if l.Kind == control.Failed && a.facts.AskForList {
		a.do(control.WatchList{On: true})
	}
	if l.Kind == control.Cached || l.Kind == control.Full {
		for _, e := range a.listed {
			e.mode = control.Gone
		}
	}
	for _, n := range l.Entries {
		e := a.endpoints[n.Endpoint]
		fresh := e == nil
		if fresh {
			e = &endpoint{id: n.Endpoint, area: n.Zone % a.areas}
			a.endpoints[e.id] = e
			a.listed = append(a.listed, e)
		}
		e.mode, e.weight, e.group = n.Mode, 1, [2]int{n.Zone, n.Pack}
		if a.facts.ListedWeights && n.Weight > 0 && !math.IsInf(n.Weight, 0) {
			e.weight = n.Weight
		}
		if fresh || n.Started > e.started {
			e.started, e.turnAt, e.eased = n.Started, control.LongAgo, control.LongAgo
			e.tries, e.fails, e.load, e.ease, e.sick, e.spells = 0, 0, -1, 1, false, 0
		}
	}
	a.enter()
}

// forget lets go of servers that are long gone and that no proxy's table names; their withdrawal ends too.
func (a *Assigner) forget() {
	standing := len(a.users(nil)) > 0
	a.listed = slices.DeleteFunc(a.listed, func(e *endpoint) bool {
		if e.mode != control.Gone {
			e.seen = a.now
		}
		used := func(t *table) bool { return e.told[t.id] != 0 && len(a.users(t)) > 0 }
		if standing || a.now-e.seen < awayLags*a.lag() || slices.ContainsFunc(a.tables, used) {
			return false
		}
		for _, t := range a.tables {
			if e.told[t.id] != 0 {
				a.do(control.PutLine{Table: t.id, Endpoint: e.id, Why: control.Why{Reason: control.Unlisted}})
			}
		}
		if e.out {
			e.out = false
			a.do(control.Suspend{Endpoint: e.id, Why: e.whyOut()})
			for _, p := range a.joined {
				p.shuts = a.facts.KeepsShut
			}
		}
		delete(a.endpoints, e.id)
		return true
	})
}

func (a *Assigner) join(j control.Joined) {
	a.leave(j.Proxy)
	p := &proxy{id: j.Proxy, zone: j.Zone, shuts: a.facts.KeepsShut && !j.Standing}
	for _, op := range a.ops {
		p.rates = append(p.rates, max(j.Rate, 0)*op.cost/float64(len(a.ops)))
		p.demand += p.rates[len(p.rates)-1]
	}
	a.known = append(slices.DeleteFunc(a.known, func(x *proxy) bool { return x.id == p.id }), p)
	a.joined, a.proxies[p.id] = append(a.joined, p), p
	slices.SortFunc(a.joined, func(x, y *proxy) int { return cmp.Compare(x.id, y.id) })
}

// leave keeps a proxy among the known: cut off, it goes on with the tables it holds.
func (a *Assigner) leave(id control.ProxyID) {
	if p := a.proxies[id]; p != nil {
		a.waiting -= p.sent
		p.away, p.leftAt = true, a.now
		a.joined = slices.DeleteFunc(a.joined, func(x *proxy) bool { return x == p })
		delete(a.proxies, id)
	}
}

// confirm frees a proxy's lines once its newest message is in force, however slow the channel is.
func (a *Assigner) confirm(in control.InForce) {
	if p := a.proxies[in.Proxy]; p != nil && p.last == in.Checkpoint {
		a.waiting, p.sent = a.waiting-p.sent, 0
	}
}

// lag is how long a change takes to show in the sums.
func (a *Assigner) lag() time.Duration {
	return a.window + a.facts.ReportInterval + a.facts.MaxPushDelay
}

// digest takes in what proxies met at a server, and its load.
func (a *Assigner) digest(d control.EndpointStats) {
	e := a.endpoints[d.Endpoint]
	if e == nil || d.Tries <= 0 || d.Window <= 0 {
		return
	}
	a.window += (d.Window - a.window) / 8
	tries, failed := float64(d.Tries), float64(min(d.Failed, d.Tries))
	e.tries += tries
	e.fails += tries / (tries + leastTries) * (failed/tries - e.fails)
	if failed < tries {
		e.cell.answeredAt = a.now
	}
	if load := a.percent(d); load >= 0 && e.load < 0 {
		e.load = load
	} else if load >= 0 {
		e.load += tries / (tries + steady) * (load - e.load)
	}
}

// percent reads a load from a sum: the busy share if reported, else what queueing makes of how long ops took.
func (a *Assigner) percent(d control.EndpointStats) float64 {
	if i := slices.Index(a.facts.Measures, control.Util); i >= 0 && i < len(d.Load) {
		return 100 * min(max(d.Load[i], 0), 1)
	} else if i >= 0 || d.Latency <= 0 {
		return -1
	}
	return 100 * math.Sqrt(max(0, 1-unhurried*a.target/d.Latency.Seconds()))
}

func (a *Assigner) arrivals(u control.Arrivals) {
	p := a.proxies[u.Proxy]
	if p == nil || u.OpType < 0 || u.OpType >= len(a.ops) || u.Window <= 0 {
		return
	}
	change := smoothing * (float64(u.Ops)*a.ops[u.OpType].cost/u.Window.Seconds() - p.rates[u.OpType])
	p.rates[u.OpType], p.demand = p.rates[u.OpType]+change, p.demand+change
}

func (e *endpoint) usable() bool { return e.mode == control.Ready && !e.sick }

// cold is how far a server that started has come, from 0 to 1 when it is surely warm.
func (a *Assigner) cold(e *endpoint) float64 {
	return min(1, max(0, (a.now-e.started).Seconds()/max(a.facts.WarmUpTime.Seconds(), tiny)))
}

// fit is the share of its listed weight that a server gets: a quarter at its start or return, then steps up.
func (a *Assigner) fit(e *endpoint) float64 {
	stepped := func(done float64) float64 { return min(1, entry+(1-entry)*math.Floor(done*entries)/entries) }
	back, warm := (a.now-e.turnAt).Seconds()/(easeLags*a.lag()).Seconds(), a.cold(e)
	if a.facts.AvoidAfterFailures == 0 { // proxies go on sending to one that they push over
		warm *= warm
		if e.cell.met.mean() > failsMuch { // and clients try again what the others fail
			warm *= warm
		}
	}
	return e.ease * min(stepped(warm), stepped(back))
}

// can is what a server is given and surely does now, in units of listed weight.
func (a *Assigner) can(e *endpoint) float64 {
	return e.weight * min(a.fit(e), e.ease*(a.facts.ColdCapacityShare+(1-a.facts.ColdCapacityShare)*a.cold(e)))
}

// health takes out servers that fail far more than the rest though calmer, longer each time: a cold one if
// nothing comes back, past a third of a cell only those that lose everything, while another cell stands.
func (a *Assigner) health() {
	a.met = tally{}
	for _, c := range a.cells {
		c.ready, c.warm, c.sick, c.met = 0, 0, 0, tally{}
	}
	keep := math.Exp(-a.facts.ReportInterval.Seconds() / a.lag().Seconds())
	for _, e := range a.listed {
		e.tries *= keep
		if e.mode != control.Ready {
			continue
		}
		e.cell.ready++
		if a.cold(e) == 1 {
			e.cell.warm++
		}
		if e.sick && a.now-e.turnAt >= e.sickFor {
			e.sick, e.turnAt, e.load, e.tries, e.fails = false, a.now, -1, 0, 0
		}
		if e.sick {
			e.cell.sick++
		} else if e.tries >= leastTries {
			a.met.add(e.fails)
			e.cell.met.add(e.fails)
		}
	}
	a.failing = 1
	for _, c := range a.cells {
		a.failing = min(a.failing, c.met.mean())
		c.jammed = a.facts.AvoidAfterFailures > 0 && // where one that still answers gets the whole burst
			(c.heard == 0 || c.load >= busy || a.pressed(c) > sickMargin)
	}
	for _, e := range a.listed {
		if !e.usable() || e.tries < leastTries {
			continue
		}
		share, rest := e.fails, min(a.failing, (a.met.fails-e.fails)/max(1, a.met.servers-1))
		silent, few := share > lost && e.load < full, e.cell.sick < int(outShare*float64(e.cell.ready))
		calmer := e.load < min(busy, a.load) && a.cold(e) == 1
		limit := rest + sickMargin*(1+unsure*leastTries/e.tries)
		other := func(o *endpoint) bool { return o != e && o.group == e.group && o.usable() }
		if share > limit && (calmer || silent) && (few || share > lost && a.stands(e.cell)) &&
			(!a.facts.PackWrites || slices.ContainsFunc(a.listed, other)) { // else its pack's writes are refused
			e.sickFor = time.Duration((1 + a.chance()) * float64(a.lag()<<min(e.spells, settledLags)))
			e.sick, e.turnAt, e.spells = true, a.now, e.spells+1
			e.why = control.Why{Reason: control.Sick, Value: share, Limit: limit}
			e.cell.sick++
		}
	}
}

func (t *tally) add(share float64) { t.servers, t.fails = t.servers+1, t.fails+share }
func (t tally) mean() float64      { return t.fails / max(1, t.servers) }

// stands tells whether another cell lives with most of its servers in.
func (a *Assigner) stands(but *cell) bool {
	return slices.ContainsFunc(a.cells, func(c *cell) bool { return c != but && c.live && 2*c.sick < c.ready })
}

// ease takes weight off a server that stays far busier than the rest, and gives it back when it is calmer.
func (a *Assigner) ease() {
	for _, e := range a.listed {
		if !e.usable() || e.load < 0 || a.now-e.eased < easeLags*a.lag() {
			continue
		}
		if e.load > max(calm, a.load+apart) && e.ease > entry || e.load < a.load-apart && e.ease < 1 {
			stroke := max(easeStep, min(a.load/max(e.load, 1), 1/easeStep))
			e.ease, e.eased = min(1, max(entry, e.ease*stroke)), a.now
		}
	}
}

// rate works out each cell's power, demand, load and score, and whether it lives: has a server that answers.
func (a *Assigner) rate() {
	a.power, a.demand, a.load = 0, 0, 0
	heard := 0.0
	for _, c := range a.cells {
		c.servers, c.power, c.demand, c.load, c.heard = 0, 0, 0, 0, 0
	}
	for _, e := range a.listed {
		c := e.cell
		if e.mode != control.Gone {
			c.servers++
		}
		if e.usable() {
			c.power, a.power = c.power+a.can(e), a.power+a.can(e)
		}
		if e.usable() && e.load >= 0 {
			c.load, c.heard = c.load+e.load, c.heard+1
			a.load, heard = a.load+e.load, heard+1
		}
	}
	a.load /= max(1, heard)
	long := a.now - awayLags*a.lag()
	a.known = slices.DeleteFunc(a.known, func(p *proxy) bool { return p.away && p.leftAt < long })
	for _, p := range a.known {
		a.demand += p.demand
		for _, c := range a.cells {
			if p.cell == c {
				c.demand += p.demand
			} else if p.cell == nil && p.table != nil {
				c.demand += p.demand * c.power / max(a.power, tiny)
			}
		}
	}
	missing := float64(a.facts.Proxies)/max(1, float64(a.facts.Instances)) - float64(len(a.known))
	a.demand *= 1 + max(0, missing)/max(1, float64(len(a.known))) // those yet to join count as the others do
	for _, c := range a.cells {
		if c.load /= max(1, c.heard); c.heard == 0 {
			c.load = a.load
		}
		quiet, wait := a.now-max(c.answeredAt, c.since), max(silence, settledLags*a.lag())
		mute := c.live && c.demand > 0 && quiet > wait || !c.live && c.answeredAt < c.since && quiet < wait
		if lives := c.power > 0 && !(mute && a.stands(c)); lives != c.live {
			c.live, c.since = lives, a.now
		}
		c.score = (c.load + a.fill(c, 0)) / 2
	}
}

// fill is a cell's share of the demand over its share of the power, times even, with more demand added.
func (a *Assigner) fill(c *cell, more float64) float64 {
	return (c.demand + more) / max(a.demand, tiny) * a.power / max(c.power, tiny) * even
}

// roomy is the fill up to which a cell takes proxies: the dearer it is to cross zones, the more lopsided.
func (a *Assigner) roomy() float64 {
	return even * min(full/cmp.Or(a.load, fits), 1+lopsided*a.facts.CrossZonePrice)
}

// place finds a cell for proxies that have none, or whose cell is down or full: home, the next, the commons.
func (a *Assigner) place() {
	a.rate()
	if a.power <= 0 {
		return
	}
	for _, p := range a.joined {
		if p.placed && (p.cell == nil || p.cell.live && a.fill(p.cell, 0) <= max(over, a.roomy())) {
			continue
		}
		if p.cell != nil {
			p.cell.demand -= p.demand
		}
		a.rank(p)
		was := p.cell
		p.placed, p.cell = true, nil
		at := slices.IndexFunc(p.ranked, func(c *cell) bool { return c.live })
		if at >= 0 && a.fill(p.ranked[at], p.demand) <= a.roomy() {
			p.cell = p.ranked[at]
		} else if !a.spread(p) {
			with := func(c *cell) float64 { return a.fill(c, p.demand) }
			p.cell = slices.MinFunc(a.cells, func(x, y *cell) int { return cmp.Compare(with(x), with(y)) })
		}
		p.why = a.whyPlace(p, was)
		if p.cell != nil {
			p.cell.demand += p.demand
		}
	}
}

// whyPlace is why a proxy that was in a cell, or in none, is where it is now.
func (a *Assigner) whyPlace(p *proxy, was *cell) control.Why {
	mute := func(c *cell) float64 { return (a.now - c.answeredAt).Seconds() }
	switch home := p.ranked[0]; {
	case was != nil && !was.live:
		return control.Why{Reason: control.CellDown, Value: mute(was), Limit: silence.Seconds()}
	case p.cell == home:
		return control.Why{Reason: control.Home}
	case !home.live:
		return control.Why{Reason: control.HomeDown, Value: mute(home), Limit: silence.Seconds()}
	default:
		return control.Why{Reason: control.HomeFull, Value: a.fill(home, p.demand), Limit: a.roomy()}
	}
}

// spread tells who without room goes to the commons: all where tables stay few, else who is too heavy.
func (a *Assigner) spread(p *proxy) bool {
	heavy := p.demand/max(a.demand, tiny)*float64(len(a.cells))*even > a.roomy()
	few := 3*len(a.tables) <= a.facts.Proxies && len(a.listed) <= fewLines*a.facts.StandingTableLines
	return len(a.cells) > 1 && (heavy || few)
}

// rank orders the cells for a proxy by its identity hash, weighted by servers, near ones more where priced.
func (a *Assigner) rank(p *proxy) {
	near := 1 + math.Pow(nearness*a.facts.CrossZonePrice, 2)
	key := func(c *cell) float64 {
		h := (uint64(p.id)+1)*0x9E3779B97F4A7C15 ^ (uint64(c.table.id)+1)*0xC2B2AE3D27D4EB4F
		h = (h ^ h>>31) * 0xBF58476D1CE4E5B9
		w := float64(c.servers)
		if p.zone%a.areas == c.area {
			w *= near
		}
		return -math.Log((float64((h^h>>29)>>11)+0.5)/(1<<53)) / max(w, tiny)
	}
	p.ranked = slices.Clone(a.cells)
	slices.SortStableFunc(p.ranked, func(x, y *cell) int { return cmp.Compare(key(x), key(y)) })
}

// move shifts one proxy a lag: home where there is room, or from the highest cell to the lowest or commons.
func (a *Assigner) move() {
	live := slices.DeleteFunc(slices.Clone(a.cells), func(c *cell) bool { return !c.live })
	if len(a.cells) < 2 || len(live) < 1 || a.now-a.moveAt < a.lag() {
		return
	}
	score := func(x, y *cell) int { return cmp.Compare(x.score, y.score) }
	high, low, room := slices.MaxFunc(live, score), slices.MinFunc(live, score), a.roomy()
	for _, p := range a.joined {
		if !p.placed || p.cell == p.ranked[0] || p.ranked[0].load >= calm {
			continue
		}
		home := p.ranked[0]
		if home.live && a.now-home.since >= settledLags*a.lag() && a.fill(home, p.demand) <= room-slack {
			p.cell, a.moveAt = home, a.now
			p.why = control.Why{Reason: control.HomeAgain, Value: a.fill(home, p.demand), Limit: room - slack}
			return
		}
	}
	tight := a.fill(high, 0) > room+slack || high.load > max(busy, a.load+slack)
	own := slices.DeleteFunc(slices.Clone(a.joined), func(p *proxy) bool { return p.cell != high })
	if high.score <= over && !tight || len(own) == 0 {
		return
	}
	slices.SortStableFunc(own, func(x, y *proxy) int { return cmp.Compare(x.demand, y.demand) })
	at := slices.IndexFunc(own, func(p *proxy) bool { return a.fill(high, -p.demand) <= room-slack })
	if at < 0 {
		at = len(own) - 1
	}
	own[at].cell, a.moveAt = nil, a.now
	own[at].why = control.Why{Reason: control.Shed, Value: high.score, Limit: over}
	if high.score <= over {
		own[at].why = control.Why{Reason: control.Shed, Value: a.fill(high, 0), Limit: room + slack}
	}
	if low != high && ((low.load+a.fill(low, own[at].demand))/2 < fits || !a.spread(own[at])) {
		own[at].cell = low
	}
}

// admit sets the share let in: what servers can do over what is offered, less in distress and as tries fail.
func (a *Assigner) admit() {
	failing := a.failing // one hot cell is for the moves to cool
	if a.load >= calm {
		failing = a.met.mean()
	} else if a.load < fits { // what fails on calm servers is no jam
		failing = 0
	}
	distress := a.load >= busy || failing > failsMuch
	k := min(1, a.facts.ReportInterval.Seconds()/a.lag().Seconds())
	a.lagged += k * (a.admitted - a.lagged)
	if a.offered == 0 || distress || a.lagged < wholly {
		a.offered = min(a.demand, cmp.Or(a.offered, a.demand))
	} else {
		a.offered += k * (a.demand - a.offered)
	}
	known := a.power > 0 && a.load > idle && a.now > settledLags*a.lag()
	now := a.lagged * a.offered * 100 / max(a.load, idle) / max(a.power, tiny)
	if known && (a.each == 0 || !distress || a.lagged > wholly && now < a.each) {
		a.each = cmp.Or(a.each, now)
		a.each += k * (now - a.each)
	}
	share := 1.0 // until it is known what the servers can do
	if a.each > 0 && a.offered > 0 {
		share = setpoint * a.each * a.power / a.offered
	}
	if since := a.now - a.trimAt; distress && since > a.lag() {
		a.trim, a.trimAt = setpoint*min(a.trim, 1/share), a.now
	} else if !distress && a.load < calm && since > a.lag() {
		a.trim, a.trimAt = min(1, a.trim+regain/2), a.now
	}
	goal := min(1, share*a.trim)
	if failing > failsMuch {
		goal *= 1 - failing
	}
	a.admitted = max(leastLevel, min(goal, a.admitted+regain*k))
}

// level says how much of an op type is let in: what the admitted share leaves after those that earn more.
func (a *Assigner) level(i int) float64 {
	total, before, own := 0.0, 0.0, 0.0
	for _, p := range a.joined {
		for j, r := range p.rates {
			total += r
			if j == i {
				own += r
			} else if d := a.ops[j].density - a.ops[i].density; d > 0 || d == 0 && j < i {
				before += r
			}
		}
	}
	if a.facts.Levels != control.LevelShare || own <= 0 {
		return 1
	}
	return math.Round(50*min(1, max(leastLevel, (a.admitted*total-before)/own))) / 50
}

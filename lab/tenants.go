package lab

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"

	"vetchdoor/control"
	"vetchdoor/files"
	"vetchdoor/lab/node"
	"vetchdoor/runtime"
	"vetchdoor/session"
	"vetchdoor/tenancy"
	"vetchdoor/tenancy/match"
	"vetchdoor/upstream"
)

// newsroom is the name of a tenant of the day.
func newsroom(i int) string { return "newsroom-" + strconv.Itoa(i) }

// misbehave adds what the day's bad tenant sends beside its usual ops, and marks those of its spell with what is wrong with
// them.
func (f *fleet) misbehave(ops []*op) []*op {
	c := &f.day.Load.Tenants
	if c.Bad == 0 {
		return ops
	}
	rng := rand.New(rand.NewPCG(f.day.Seed, 5))
	from, to := c.BadAt.Span(), c.BadAt.Span()+c.BadLength.Span()
	for at := from; c.BadRate > 0; {
		if at += time.Duration(rng.ExpFloat64() / c.BadRate * float64(time.Second)); at >= to {
			break
		}
		w := f.day.Load.Works[rng.IntN(len(f.day.Load.Works))]
		o := &op{at: at, number: uint64(len(ops) + 1), tenant: c.Bad, proxy: rng.IntN(len(f.proxies)), work: drawWork(rng, w)}
		for i, t := range f.day.Service.OpTypes {
			if t.Name == w.OpType {
				o.opType = i
			}
		}
		ops = append(ops, o)
	}
	for _, o := range ops {
		if o.tenant != c.Bad || o.at < from || o.at >= to {
			continue
		}
		if o.bad = c.BadHow; c.BadTimes > 0 {
			o.work = time.Duration(float64(o.work) * c.BadTimes)
		}
	}
	sort.SliceStable(ops, func(i, j int) bool { return ops[i].at < ops[j].at })
	return ops
}

// How a bad tenant's ops are bad, beside what they cost.
const (
	badHasty  = "hasty"       // its tool gives up after a moment and tries again at once, whatever it is told
	badPoison = "poison"      // what serves one dies
	badReader = "slow-reader" // asks for much and reads it slowly
	badNames  = "new-names"   // each op under the name of a tenant that nobody has heard of
)

// hasteWait is how long a hasty tool waits for an answer; hasteTries how often it tries.
const (
	hasteWait  = 30 * time.Millisecond
	hasteTries = 60
)

// whose is the tenant's name that an op bears.
func (o *op) whose() string {
	if o.bad == badNames {
		return newsroom(o.tenant) + "x" + strconv.FormatUint(o.number, 10)
	}
	return newsroom(o.tenant)
}

// hasty plays a client that tries again at once until it is acked.
func (s *source) hasty(from time.Time, o *op, deadline time.Time) {
	for o.tries < hasteTries && time.Now().Before(deadline) {
		req := s.request(o)
		o.tries++
		a, fail := s.pool.Send(&upstream.Call{}, s.targets[o.proxy], req, time.Now().Add(hasteWait), false)
		o.outcome, o.ended = opAborted, time.Since(from)
		if fail == nil {
			s.checkSign(o, a)
			if a.Status < 300 {
				o.outcome = opAcked
			}
			a.Release()
		}
		if o.outcome == opAcked {
			return
		}
	}
}

// slowly plays a client that reads a long answer in small pieces.
func (s *source) slowly(from time.Time, o *op, deadline time.Time) {
	o.outcome = opAborted
	defer func() { o.ended = time.Since(from) }()
	c, err := net.DialTimeout("tcp", s.targets[o.proxy], time.Second)
	if err != nil {
		return
	}
	defer c.Close()
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetReadBuffer(4096)
	}
	_ = c.SetDeadline(deadline)
	o.tries++
	if _, err := c.Write(s.request(o)); err != nil {
		return
	}
	b := make([]byte, 2048)
	for {
		n, err := c.Read(b)
		if strings.HasPrefix(string(b[:n]), "HTTP/1.1 200") {
			o.outcome = opAcked
		}
		if err != nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// poisoned has a node that a poisonous op killed come back after a while.
func (f *fleet) poisoned(n *node.Node) {
	f.tell(f.day.List.Notice.Span(), n, "gone")
	f.later(2*time.Second, func() { f.bringBack(n) })
}

// moveTenants asks the pilots, by their commands, to move tenants to new draws, so many a second.
func (f *fleet) moveTenants(t *files.Trouble) {
	count, size := f.day.Load.Tenants.Count, max(t.Size, 0.1)
	rng := rand.New(rand.NewPCG(f.day.Seed, 6))
	draws := map[int]int{}
	for at := time.Duration(0); at < t.Length.Span(); at += time.Duration(float64(time.Second) / size) {
		who := 1 + rng.IntN(max(1, count))
		if t.Part > 0 { // the largest part of them alone
			who = 1 + rng.IntN(max(1, int(t.Part*float64(count))))
		}
		draws[who]++
		line := fmt.Sprintf("move tenant %s draw %d", newsroom(who), draws[who])
		f.later(t.At.Span()+at, func() {
			for _, p := range f.pilots {
				f.mu.Lock()
				up := p.p
				f.mu.Unlock()
				if up == nil {
					continue
				}
				f.asked.Add(1)
				if reply, err := session.Ask(up.AdminAddress(), line, 5*time.Second); err != nil || strings.TrimSpace(reply) != "" {
					f.unasked.Add(1)
					f.log.Warn("a move was not taken", "command", line, "reply", reply, "error", err)
				}
			}
		})
	}
}

// TenantResult is how the tenants fared while one of them misbehaved: the others' service, the part of them that got less
// than half, and its own. Outside are the ops of others that could reach none of its pods.
type TenantResult struct {
	Others       float64 `json:"others"`
	UnderHalf    float64 `json:"others_under_half"`
	Misbehaving  float64 `json:"bad"`
	Outside      float64 `json:"outside"`
	OutsideShare float64 `json:"outside_share"` // of the others' ops
	Inside       float64 `json:"inside"`
}

// tenantAccount adds up the ops of the bad tenant's spell, or of the whole day where there is none.
func tenantAccount(d *files.Day, ops []*op, apart func(*op) bool) *TenantResult {
	c := &d.Load.Tenants
	if c.Count == 0 {
		return nil
	}
	types := d.Service.Types()
	from, to := time.Duration(0), d.Length.Span()
	if c.Bad > 0 {
		from, to = c.BadAt.Span(), c.BadAt.Span()+c.BadLength.Span()
	}
	by := map[int]*part{}
	var others, bad, outside, inside part
	for _, o := range ops {
		if o.at < from || o.at >= to {
			continue
		}
		t, got := &types[o.opType], 0.0
		if o.outcome == opAcked && o.latency() <= t.TargetLatency {
			got = t.Revenue
		} else if o.outcome == opAcked {
			got = t.Revenue * t.LateShare
		}
		if o.tenant == c.Bad {
			bad.add(got, t.Revenue)
			continue
		}
		others.add(got, t.Revenue)
		if by[o.tenant] == nil {
			by[o.tenant] = &part{}
		}
		by[o.tenant].add(got, t.Revenue)
		if c.Bad > 0 && apart(o) {
			outside.add(got, t.Revenue)
		} else {
			inside.add(got, t.Revenue)
		}
	}
	ruined := 0
	for _, p := range by {
		if p.share() < 0.5 {
			ruined++
		}
	}
	l := &TenantResult{Others: others.share(), UnderHalf: float64(ruined) / float64(max(len(by), 1)), Misbehaving: bad.share()}
	if c.Bad > 0 {
		l.Outside, l.Inside, l.OutsideShare = outside.share(), inside.share(), outside.asked/max(others.asked, 1e-9)
	}
	return l
}

func (p *part) add(got, asked float64) { p.got, p.asked = p.got+got, p.asked+asked }

// apart tells which ops could reach none of the bad tenant's pods, by the tables in force in the midst of its spell.
func (e *evidence) apart(h *history, d *files.Day, start time.Duration) func(*op) bool {
	c := &d.Load.Tenants
	at := start + c.BadAt.Span() + c.BadLength.Span()/2
	held := map[int]*holdings{}
	for _, s := range h.streams {
		if s.hello == nil || s.joined < 0 || s.joined > at {
			continue
		}
		x := held[s.proxy]
		if x == nil || x.token != s.hello.Token {
			x = &holdings{token: s.hello.Token, out: map[control.EndpointID]bool{}, tables: map[control.TableID]map[control.EndpointID]bool{},
				byType: make([]map[control.EndpointID]bool, len(d.Service.OpTypes))}
			held[s.proxy] = x
		}
		x.join(s.hello)
		for _, m := range s.messages {
			if m.inForce >= 0 && m.inForce <= at {
				x.apply(m.Message)
			}
		}
	}
	podsOf := func(proxy, opType int) (out []tenancy.Pod) {
		x := held[proxy]
		if x == nil {
			return nil
		}
		for id := range x.byType[opType] {
			where := h.places[id]
			zone := d.Service.ZoneIndex(where.zone)
			p := tenancy.Pod{ID: tenancy.PodOf(zone, where.pack), Zone: zone, Power: 1}
			if !slices.Contains(out, p) {
				out = append(out, p)
			}
		}
		return out
	}
	bad, culprit := map[tenancy.PodID]bool{}, newsroom(c.Bad)
	if c.BadHow == badNames && c.Known { // names that nobody knows are one tenant
		culprit = match.Unknown
	}
	pods := map[[2]int][]tenancy.Pod{}
	for p := range held {
		for t := range d.Service.OpTypes {
			pods[[2]int{p, t}] = podsOf(p, t)
			for _, id := range (tenancy.Seat{}).Among(culprit, pods[[2]int{p, t}], c.Subset) {
				bad[id] = true
			}
		}
	}
	return func(o *op) bool {
		if c.Subset == 0 {
			return false
		}
		there := pods[[2]int{o.proxy, o.opType}]
		return len(there) > 0 && !slices.ContainsFunc((tenancy.Seat{}).Among(newsroom(o.tenant), there, c.Subset), func(id tenancy.PodID) bool { return bad[id] })
	}
}

// MoveResult is what moves of tenants came to.
type MoveResult struct {
	Asked        int           `json:"asked"` // of each pilot
	Refused      int           `json:"untaken"`
	Moved        int           `json:"moved"`
	Cancelled    int           `json:"cancelled"`
	Held         int           `json:"ops_held"`   // ops refused with a time to come back at least once
	HeldMean     time.Duration `json:"held_ns"`    // that a tenant was held, of the moves that ended
	AckedLost    int           `json:"acked_lost"` // writes that were acked and took no effect
	Inconsistent int           `json:"wrong"`      // writes whose history is no order of one effect

	P50                time.Duration `json:"acked_p50_ns"` // of the latency of acked ops, those that waited for no move
	P99                time.Duration `json:"acked_p99_ns"`
	InconsistentMoving int           `json:"wrong_moving"` // of those, of tenants that were ordered to move or to open within nearMove of it

	Examples []InconsistentWrite `json:"which,omitempty"` // the first of them
}

// InconsistentWrite is a write that took effect more or less often than it should, with where each of its tries came.
type InconsistentWrite struct {
	Tenant  string   `json:"tenant"`
	At      string   `json:"at"`
	Tries   []string `json:"tries"`
	Effects []string `json:"effects"`
	Moves   []string `json:"moves"` // the tenant's orders round that time
}

// nearMove is longer than an order is on its way and a repeat may follow a try.
const nearMove = 2500 * time.Millisecond

// moveAccount reads the moves off the wire and holds each write's history against the nodes' records.
func (f *fleet) moveAccount(h *history, s *source, nodes map[uint64]trail, start time.Duration) *MoveResult {
	if !f.day.Load.Tenants.Moves {
		return nil
	}
	l := &MoveResult{Asked: int(f.asked.Load()), Refused: int(f.unasked.Load())}
	type key struct {
		pilot  int
		tenant string
	}
	type seen struct {
		number uint64
		change runtime.Change
		at     time.Duration
	}
	orders := map[key][]seen{}
	for _, x := range h.streams {
		for _, m := range x.messages {
			for _, c := range m.Changes {
				if c.Verb == runtime.SetBinding {
					k := key{x.pilot, c.Tenant}
					if !slices.ContainsFunc(orders[k], func(o seen) bool { return o.number == c.Number }) {
						orders[k] = append(orders[k], seen{c.Number, c, m.left})
					}
				}
			}
		}
	}
	var held time.Duration
	for _, list := range orders {
		slices.SortFunc(list, func(a, b seen) int { return int(int64(a.number - b.number)) })
		for i := 1; i < len(list); i++ {
			if before, now := list[i-1], list[i]; before.change.Held && !now.change.Held {
				if held += now.at - before.at; now.change.Seat.Equal(before.change.Seat) {
					l.Cancelled++
				} else {
					l.Moved++
				}
			}
		}
	}
	l.HeldMean = held / time.Duration(max(1, l.Moved+l.Cancelled))
	explain := func(o *op) {
		moving := false
		t := nodes[o.number]
		w := InconsistentWrite{Tenant: o.whose(), At: (start + o.at).String(), Tries: t.tries(h.places), Effects: t.tookEffect(h.places)}
		for k, list := range orders {
			for _, x := range list {
				if d := x.at - start - o.at; k.tenant == o.whose() && d > -10*time.Second && d < 10*time.Second {
					w.Moves = append(w.Moves, fmt.Sprintf("%v %s", x.at, x.change))
					moving = moving || d > -nearMove && d < nearMove
				}
			}
		}
		if moving {
			l.InconsistentMoving++
		}
		if len(l.Examples) < 20 {
			l.Examples = append(l.Examples, w)
		}
	}
	var acked []time.Duration
	for _, o := range s.ops {
		if o.held {
			l.Held++
		} else if o.outcome == opAcked {
			acked = append(acked, o.latency())
		}
		t := &s.types[o.opType]
		if !t.Writes {
			continue
		}
		if o.outcome == opAcked && len(nodes[o.number].effects) == 0 {
			l.AckedLost++
		}
		if !onceInOrder(o, nodes[o.number].times(), start) {
			l.Inconsistent++
			explain(o)
		}
	}
	if slices.Sort(acked); len(acked) > 0 {
		l.P50, l.P99 = acked[len(acked)/2], acked[len(acked)*99/100]
	}
	return l
}

// A write is a register that goes from unsent to sent to done, once.
const (
	unsent = iota
	sent
	done
)

var onceModel = porcupine.Model{
	Init: func() any { return unsent },
	Step: func(state, input, output any) (bool, any) {
		switch input {
		case "send":
			return state == unsent, sent
		case "effect":
			return state == sent, done
		case "ack":
			return state == done, done
		}
		return true, state // its client does not know
	},
}

// onceInOrder tells whether what a client saw of a write and what the nodes recorded of it are the history of one write
// that took effect at most once, after it was sent and, if it was acked, before that.
func onceInOrder(o *op, effects []time.Duration, start time.Duration) bool {
	at, end := int64(start+o.at), int64(start+o.ended)
	h := []porcupine.Operation{{ClientId: 0, Input: "send", Call: at, Return: at}}
	for i, x := range effects {
		h = append(h, porcupine.Operation{ClientId: 2 + i, Input: "effect", Call: int64(x), Return: int64(x)})
	}
	if o.outcome == opAcked {
		h = append(h, porcupine.Operation{ClientId: 1, Input: "ack", Call: at, Return: end})
	}
	return porcupine.CheckOperations(onceModel, h)
}

// print writes the lines for people.
func (l *MoveResult) print(w io.Writer) {
	fmt.Fprintf(w, "moves: %d asked (%d not taken), %d moved, %d cancelled, writes held for %v each; %d ops were told to come back; the others' acked in %v, p99 %v\n",
		l.Asked, l.Refused, l.Moved, l.Cancelled, l.HeldMean.Round(time.Millisecond), l.Held, l.P50.Round(time.Millisecond), l.P99.Round(time.Millisecond))
	for _, x := range l.Examples {
		fmt.Fprintf(w, "  wrong: %s at %s: tries %q, effects %q, orders %q\n", x.Tenant, x.At, x.Tries, x.Effects, x.Moves)
	}
	fmt.Fprintf(w, "writes: %d acked without an effect, %d whose history is not that of one effect, %d of those of tenants that moved then\n", l.AckedLost, l.Inconsistent, l.InconsistentMoving)
}

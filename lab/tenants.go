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

// tenantName returns the name of tenant i.
func tenantName(i int) string { return "newsroom-" + strconv.Itoa(i) }

// addMisbehaviour adds the additional ops of the misbehaving tenant, marks all of its ops in the configured period with the
// kind of misbehaviour, and returns the ops sorted by time.
func (f *fleet) addMisbehaviour(ops []*op) []*op {
	c := &f.day.Load.Tenants
	if c.Bad == 0 {
		return ops
	}
	rng := rand.New(rand.NewPCG(f.day.Seed, 5))
	from, to := c.BadAt.AsDuration(), c.BadAt.AsDuration()+c.BadLength.AsDuration()
	for at := from; c.BadRate > 0; {
		if at += time.Duration(rng.ExpFloat64() / c.BadRate * float64(time.Second)); at >= to {
			break
		}
		w := f.day.Load.Works[rng.IntN(len(f.day.Load.Works))]
		o := &op{due: at, number: uint64(len(ops) + 1), tenant: c.Bad, proxy: rng.IntN(len(f.proxies)), work: drawWork(rng, w)}
		for i, t := range f.day.Service.OpTypes {
			if t.Name == w.OpType {
				o.opType = i
			}
		}
		ops = append(ops, o)
	}
	for _, o := range ops {
		if o.tenant != c.Bad || o.due < from || o.due >= to {
			continue
		}
		if o.misbehaviour = c.BadHow; c.BadTimes > 0 {
			o.work = time.Duration(float64(o.work) * c.BadTimes)
		}
	}
	sort.SliceStable(ops, func(i, j int) bool { return ops[i].due < ops[j].due })
	return ops
}

// Kinds of misbehaviour of a tenant's ops. Ops without a kind may still cost more work than usual.
const (
	badImpatient  = "hasty"       // the client times out early and retries at once after any response but an ack
	badPoison     = "poison"      // the server that processes one crashes
	badSlowReader = "slow-reader" // requests a large response and reads it slowly
	badNewNames   = "new-names"   // each op has a new, unknown tenant name
)

// impatientTimeout is the time for which an impatient client waits for a response; impatientTries is the maximum number
// of its tries.
const (
	impatientTimeout = 30 * time.Millisecond
	impatientTries   = 60
)

// tenantName returns the tenant name in the request of the op.
func (o *op) tenantName() string {
	if o.misbehaviour == badNewNames {
		return tenantName(o.tenant) + "x" + strconv.FormatUint(o.number, 10)
	}
	return tenantName(o.tenant)
}

// runImpatientClient plays a client that retries at once until an op is acked.
func (s *loadGenerator) runImpatientClient(from time.Time, o *op, deadline time.Time) {
	for o.tries < impatientTries && time.Now().Before(deadline) {
		req := s.request(o)
		o.tries++
		a, fail := s.pool.Send(&upstream.Call{}, s.targets[o.proxy], req, time.Now().Add(impatientTimeout), false)
		o.outcome, o.ended = opAborted, time.Since(from)
		if fail == nil {
			s.checkSignature(o, a)
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

// runSlowReader plays a client that reads a long response in small pieces.
func (s *loadGenerator) runSlowReader(from time.Time, o *op, deadline time.Time) {
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

// restartPoisoned restarts a node that was crashed by a poison request, after a delay.
func (f *fleet) restartPoisoned(n *node.Node) {
	f.announce(f.day.List.Notice.AsDuration(), n, "gone")
	f.schedule(2*time.Second, func() { f.restartNode(n) })
}

// moveTenants sends admin commands to the pilots that move tenants to new draws, t.Size moves per second.
func (f *fleet) moveTenants(t *files.Trouble) {
	count, size := f.day.Load.Tenants.Count, max(t.Size, 0.1)
	rng := rand.New(rand.NewPCG(f.day.Seed, 6))
	draws := map[int]int{}
	for at := time.Duration(0); at < t.Length.AsDuration(); at += time.Duration(float64(time.Second) / size) {
		tenant := 1 + rng.IntN(max(1, count))
		if t.Part > 0 { // only the tenants with the most traffic, t.Part of all
			tenant = 1 + rng.IntN(max(1, int(t.Part*float64(count))))
		}
		draws[tenant]++
		line := fmt.Sprintf("move tenant %s draw %d", tenantName(tenant), draws[tenant])
		f.schedule(t.At.AsDuration()+at, func() {
			for _, p := range f.pilots {
				f.mu.Lock()
				running := p.pilot
				f.mu.Unlock()
				if running == nil {
					continue
				}
				f.movesRequested.Add(1)
				if reply, err := session.Query(running.AdminAddress(), line, 5*time.Second); err != nil || strings.TrimSpace(reply) != "" {
					f.movesRefused.Add(1)
					f.log.Warn("tenant move refused or failed", "command", line, "reply", reply, "error", err)
				}
			}
		})
	}
}

// TenantResult rates the service of the tenants while one of them misbehaved. Each figure is a share of revenue from 0
// to 1, except UnderHalf, which is the share of the other tenants that got less than half of theirs. Others covers the
// other tenants; Outside covers those of their ops that could reach none of the misbehaving tenant's pods, Inside the
// rest.
type TenantResult struct {
	Others       float64 `json:"others"`
	UnderHalf    float64 `json:"others_under_half"`
	Misbehaving  float64 `json:"bad"`
	Outside      float64 `json:"outside"`
	OutsideShare float64 `json:"outside_share"` // share of the revenue asked for by the other tenants
	Inside       float64 `json:"inside"`
}

// scoreTenants computes the tenants' result over the period of the misbehaviour, or over the whole day if no tenant
// misbehaves. It returns nil for a day without tenants.
func scoreTenants(d *files.Day, ops []*op, outsideBadPods func(*op) bool) *TenantResult {
	c := &d.Load.Tenants
	if c.Count == 0 {
		return nil
	}
	types := d.Service.Types()
	from, to := time.Duration(0), d.Length.AsDuration()
	if c.Bad > 0 {
		from, to = c.BadAt.AsDuration(), c.BadAt.AsDuration()+c.BadLength.AsDuration()
	}
	byTenant := map[int]*revenueShare{}
	var others, bad, outside, inside revenueShare
	for _, o := range ops {
		if o.due < from || o.due >= to {
			continue
		}
		t, earned := &types[o.opType], 0.0
		if o.outcome == opAcked && o.latency() <= t.TargetLatency {
			earned = t.Revenue
		} else if o.outcome == opAcked {
			earned = t.Revenue * t.LateShare
		}
		if o.tenant == c.Bad {
			bad.add(earned, t.Revenue)
			continue
		}
		others.add(earned, t.Revenue)
		if byTenant[o.tenant] == nil {
			byTenant[o.tenant] = &revenueShare{}
		}
		byTenant[o.tenant].add(earned, t.Revenue)
		if c.Bad > 0 && outsideBadPods(o) {
			outside.add(earned, t.Revenue)
		} else {
			inside.add(earned, t.Revenue)
		}
	}
	underHalf := 0
	for _, p := range byTenant {
		if p.share() < 0.5 {
			underHalf++
		}
	}
	result := &TenantResult{Others: others.share(), UnderHalf: float64(underHalf) / float64(max(len(byTenant), 1)),
		Misbehaving: bad.share()}
	if c.Bad > 0 {
		result.Outside, result.Inside, result.OutsideShare = outside.share(), inside.share(),
			outside.offered/max(others.offered, 1e-9)
	}
	return result
}

// add adds the revenue of an op to the totals.
func (p *revenueShare) add(earned, offered float64) {
	p.earned, p.offered = p.earned+earned, p.offered+offered
}

// outsideBadPods returns a function that reports whether an op could reach none of the misbehaving tenant's pods. It uses
// the tables in force in the middle of the misbehaviour.
func (e *evidence) outsideBadPods(h *history, d *files.Day, start time.Duration) func(*op) bool {
	c := &d.Load.Tenants
	at := start + c.BadAt.AsDuration() + c.BadLength.AsDuration()/2
	tablesByProxy := map[int]*proxyTables{}
	for _, s := range h.streams {
		if s.hello == nil || s.joined < 0 || s.joined > at {
			continue
		}
		tables := tablesByProxy[s.proxy]
		if tables == nil || tables.token != s.hello.Token {
			tables = &proxyTables{token: s.hello.Token, withdrawn: map[control.EndpointID]bool{},
				tables: map[control.TableID]map[control.EndpointID]bool{},
				byType: make([]map[control.EndpointID]bool, len(d.Service.OpTypes))}
			tablesByProxy[s.proxy] = tables
		}
		tables.join(s.hello)
		for _, m := range s.messages {
			if m.confirmed >= 0 && m.confirmed <= at {
				tables.apply(m.Message)
			}
		}
	}
	podsOf := func(proxy, opType int) (out []tenancy.Pod) {
		tables := tablesByProxy[proxy]
		if tables == nil {
			return nil
		}
		for id := range tables.byType[opType] {
			where := h.placements[id]
			zone := d.Service.ZoneIndex(where.zone)
			p := tenancy.Pod{ID: tenancy.PodOf(zone, where.pack), Zone: zone, Capacity: 1}
			if !slices.Contains(out, p) {
				out = append(out, p)
			}
		}
		return out
	}
	badPods, culprit := map[tenancy.PodID]bool{}, tenantName(c.Bad)
	if c.BadHow == badNewNames && c.Known { // unknown names count as one tenant
		culprit = match.Unknown
	}
	pods := map[[2]int][]tenancy.Pod{}
	for p := range tablesByProxy {
		for t := range d.Service.OpTypes {
			pods[[2]int{p, t}] = podsOf(p, t)
			for _, id := range (tenancy.Placement{}).SelectFrom(culprit, pods[[2]int{p, t}], c.Subset) {
				badPods[id] = true
			}
		}
	}
	return func(o *op) bool {
		if c.Subset == 0 {
			return false
		}
		reachable := pods[[2]int{o.proxy, o.opType}]
		return len(reachable) > 0 && !slices.ContainsFunc((tenancy.Placement{}).SelectFrom(tenantName(o.tenant), reachable, c.Subset),
			func(id tenancy.PodID) bool { return badPods[id] })
	}
}

// MoveResult counts the moves of tenants and the writes with lost or inconsistent effects.
type MoveResult struct {
	Asked        int           `json:"asked"` // requests to pilots; each move is requested of every pilot
	Refused      int           `json:"untaken"`
	Moved        int           `json:"moved"`
	Cancelled    int           `json:"cancelled"`
	Held         int           `json:"ops_held"`   // ops of which a try was refused because their tenant was being moved
	HeldMean     time.Duration `json:"held_ns"`    // mean time for which a tenant's writes were held, over the moves that ended
	AckedLost    int           `json:"acked_lost"` // writes that were acked and took no effect
	Inconsistent int           `json:"wrong"`      // writes whose history is not that of one write with at most one effect

	P50                time.Duration `json:"acked_p50_ns"` // latencies of acked ops of which no try was refused for a move
	P99                time.Duration `json:"acked_p99_ns"`
	InconsistentMoving int           `json:"wrong_moving"` // inconsistent writes near a binding change, see nearMove

	Examples []InconsistentWrite `json:"which,omitempty"` // the first 20 inconsistent writes
}

// InconsistentWrite describes a write whose history is not that of one write with at most one effect: where its tries
// and effects went and which binding changes its tenant had.
type InconsistentWrite struct {
	Tenant  string   `json:"tenant"`
	At      string   `json:"at"`
	Tries   []string `json:"tries"`
	Effects []string `json:"effects"`
	Moves   []string `json:"moves"` // the tenant's binding changes within 10 s of the write's scheduled start
}

// nearMove is the time before and after a write's scheduled start within which a binding change of its tenant counts for
// InconsistentMoving. It is longer than the delivery of a binding change plus the time between a try and its retry.
const nearMove = 2500 * time.Millisecond

// scoreMoves reconstructs the moves from the wire traffic and checks the history of each write against the nodes' records.
// It returns nil for a day without moves.
func (f *fleet) scoreMoves(h *history, s *loadGenerator, nodes map[uint64]opTrace, start time.Duration) *MoveResult {
	if !f.day.Load.Tenants.Moves {
		return nil
	}
	result := &MoveResult{Asked: int(f.movesRequested.Load()), Refused: int(f.movesRefused.Load())}
	type key struct {
		pilot  int
		tenant string
	}
	type bindingChange struct {
		number uint64
		change runtime.Change
		at     time.Duration
	}
	changesByTenant := map[key][]bindingChange{}
	for _, x := range h.streams {
		for _, m := range x.messages {
			for _, c := range m.Changes {
				if c.Verb == runtime.SetBinding {
					k := key{x.pilot, c.Tenant}
					if !slices.ContainsFunc(changesByTenant[k], func(o bindingChange) bool { return o.number == c.Number }) {
						changesByTenant[k] = append(changesByTenant[k], bindingChange{c.Number, c, m.sent})
					}
				}
			}
		}
	}
	var heldTotal time.Duration
	for _, list := range changesByTenant {
		slices.SortFunc(list, func(a, b bindingChange) int { return int(int64(a.number - b.number)) })
		for i := 1; i < len(list); i++ {
			if before, now := list[i-1], list[i]; before.change.Held && !now.change.Held {
				if heldTotal += now.at - before.at; now.change.Placement.Equal(before.change.Placement) {
					result.Cancelled++
				} else {
					result.Moved++
				}
			}
		}
	}
	result.HeldMean = heldTotal / time.Duration(max(1, result.Moved+result.Cancelled))
	addExample := func(o *op) {
		moving := false
		t := nodes[o.number]
		w := InconsistentWrite{Tenant: o.tenantName(), At: (start + o.due).String(), Tries: t.describeTries(h.placements),
			Effects: t.describeEffects(h.placements)}
		for k, list := range changesByTenant {
			for _, x := range list {
				if d := x.at - start - o.due; k.tenant == o.tenantName() && d > -10*time.Second && d < 10*time.Second {
					w.Moves = append(w.Moves, fmt.Sprintf("%v %s", x.at, x.change))
					moving = moving || d > -nearMove && d < nearMove
				}
			}
		}
		if moving {
			result.InconsistentMoving++
		}
		if len(result.Examples) < 20 {
			result.Examples = append(result.Examples, w)
		}
	}
	var acked []time.Duration
	for _, o := range s.ops {
		if o.refusedForMove {
			result.Held++
		} else if o.outcome == opAcked {
			acked = append(acked, o.latency())
		}
		t := &s.types[o.opType]
		if !t.Writes {
			continue
		}
		if o.outcome == opAcked && len(nodes[o.number].effects) == 0 {
			result.AckedLost++
		}
		if !isLinearizable(o, nodes[o.number].effectTimes(), start) {
			result.Inconsistent++
			addExample(o)
		}
	}
	if slices.Sort(acked); len(acked) > 0 {
		result.P50, result.P99 = acked[len(acked)/2], acked[len(acked)*99/100]
	}
	return result
}

// States of a write in writeModel, which change once from unsent to sent to done.
const (
	unsent = iota
	sent
	done
)

// writeModel is the sequential specification of a write for the linearizability checker.
var writeModel = porcupine.Model{
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
		return true, state // no other input changes the state
	},
}

// isLinearizable reports whether the client's view of a write and the nodes' effects form the history of one write that
// took effect at most once, after it was sent and, if it was acked, before the ack.
func isLinearizable(o *op, effects []time.Duration, start time.Duration) bool {
	at, end := int64(start+o.due), int64(start+o.ended)
	h := []porcupine.Operation{{ClientId: 0, Input: "send", Call: at, Return: at}}
	for i, x := range effects {
		h = append(h, porcupine.Operation{ClientId: 2 + i, Input: "effect", Call: int64(x), Return: int64(x)})
	}
	if o.outcome == opAcked {
		h = append(h, porcupine.Operation{ClientId: 1, Input: "ack", Call: at, Return: end})
	}
	return porcupine.CheckOperations(writeModel, h)
}

// print writes the result to w as text.
func (l *MoveResult) print(w io.Writer) {
	fmt.Fprintf(w,
		"moves: %d requested (%d refused), %d moved, %d cancelled, writes held %v; %d ops refused; others acked in %v, p99 %v\n",
		l.Asked, l.Refused, l.Moved, l.Cancelled, l.HeldMean.Round(time.Millisecond), l.Held, l.P50.Round(time.Millisecond),
		l.P99.Round(time.Millisecond))
	for _, x := range l.Examples {
		fmt.Fprintf(w, "  inconsistent write: %s at %s: tries %q, effects %q, binding changes %q\n", x.Tenant, x.At, x.Tries,
			x.Effects, x.Moves)
	}
	fmt.Fprintf(w,
		"writes: %d acked without an effect, %d with an inconsistent history, %d of those by tenants that were being moved\n",
		l.AckedLost, l.Inconsistent, l.InconsistentMoving)
}

package proxy

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"vetchdoor/control"
	"vetchdoor/runtime"
	"vetchdoor/tenancy"
)

// server is all that the proxy knows of one endpoint.
type server struct {
	id control.EndpointID
	runtime.Server
	address string

	mu       sync.Mutex
	failures int       // of its own tries, in a row
	avoid    time.Time // until then
	tries    int       // since the last sums
	failed   int
	latency  time.Duration // total of the good ones
	load     []float64     // the newest report
}

// line is a server in a table.
type line struct {
	server *server
	weight float64
}

// table is a set of lines; a change makes a new one. Its pickers carry over how far each server's turn is.
type table struct {
	name    string
	lines   []line // by endpoint
	levels  map[int]level
	picks   []*picker   // by op type
	subsets *podSubsets // of tenants

	once   sync.Once
	digest uint64
}

// content is its lines as the wire bears them.
func (t *table) content() (out []runtime.Line) {
	for _, l := range t.lines {
		out = append(out, runtime.Line{Endpoint: l.server.id, Server: l.server.Server, Weight: l.weight})
	}
	return out
}

// tells is its digest.
func (t *table) tells() uint64 {
	t.once.Do(func() { t.digest = runtime.Digest(t.content()) })
	return t.digest
}

// digests are those of the tables that op types go by; 0 for the standing one.
func (t *tables) digests() (out []uint64) {
	for _, x := range t.byType {
		if x == t.standing {
			out = append(out, 0)
		} else {
			out = append(out, x.tells())
		}
	}
	return out
}

// holding returns the table with a digest that an op type goes by; nil if there is none.
func (t *tables) holding(digest uint64) *table {
	for _, x := range t.byType {
		if x != t.standing && x.tells() == digest {
			return x
		}
	}
	return nil
}

// level is how much of an op type is let in and how tries are repeated.
type level struct {
	share float64
	again control.RetryPolicy
}

// tables is all that a proxy goes by, whole at any time: a message makes a new one, and an op keeps the one it began
// with.
type tables struct {
	pilot    string
	run      uint64
	number   uint64 // of the last message applied
	named    map[control.TableID]*table
	byType   []*table // what each op type goes by; the standing table if nothing else
	standing *table
	out      map[control.EndpointID]bool
	levels   map[int]level            // for all tables
	limits   map[string]tenancy.Limit // of tenants, by the pilot
	bindings *bindings
}

// bench of servers, by id; one record each, kept while any table names it.
type servers struct {
	mu   sync.Mutex
	byID map[control.EndpointID]*server
	born time.Time // of the proxy
}

// get returns the record of an endpoint at a place: the one that is held, or a new one, held once keep finds it named.
func (s *servers) get(id control.EndpointID, at runtime.Server) *server {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.byID[id]; e != nil && e.Server == at {
		return e
	}
	return &server{id: id, Server: at, address: at.Address.String()}
}

// all returns the records by id.
func (s *servers) all() []*server {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*server, 0, len(s.byID))
	for _, e := range s.byID {
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b *server) int { return int(int64(a.id) - int64(b.id)) })
	return out
}

// keep holds the records that tables name, the newer of two of one endpoint, and returns those that none names now.
func (s *servers) keep(t *tables) (dropped []*server) {
	named := map[control.EndpointID]*server{}
	each := func(t *table) {
		for _, l := range t.lines {
			named[l.server.id] = l.server
		}
	}
	each(t.standing)
	for _, x := range t.byType {
		each(x)
	}
	for _, x := range t.named {
		each(x)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, e := range s.byID {
		if named[id] != e {
			dropped = append(dropped, e)
		}
	}
	s.byID = named
	return dropped
}

// newTables are those of a proxy that has just started.
func newTables(types int, standing []line, rng *rand.Rand) *tables {
	t := &tables{named: map[control.TableID]*table{}, out: map[control.EndpointID]bool{}, levels: map[int]level{},
		byType: make([]*table, types), bindings: &bindings{}}
	t.standing = newTable("standing", standing, nil, types, 0, rng)
	for i := range t.byType {
		t.byType[i] = t.standing
	}
	return t
}

// newTable builds a table and its pickers; those of the table before it, if any, hand on where they stand.
func newTable(name string, lines []line, before *table, types int, now time.Duration, rng *rand.Rand) *table {
	t := &table{name: name, lines: lines, levels: map[int]level{}, picks: make([]*picker, types)}
	for i := range t.picks {
		var from *picker
		if before != nil {
			from = before.picks[i]
		}
		t.picks[i] = newPicker(lines, from, rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64())))
	}
	if before != nil {
		for k, v := range before.levels {
			t.levels[k] = v
		}
	}
	t.subsets = podSubsetsAfter(before, lines, now)
	return t
}

// apply returns the tables after a message. Nothing of it takes effect where one change cannot be: the error says which.
func (t *tables) apply(m *runtime.Message, s *servers, types int, rng *rand.Rand) (*tables, error) {
	n := &tables{pilot: m.Pilot, run: m.Run, number: m.Number, standing: t.standing, byType: slices.Clone(t.byType),
		bindings: t.bindings}
	if t.pilot == m.Pilot && t.run == m.Run {
		n.named = maps.Clone(t.named)
	} else { // tables of another run keep their users, not their names
		n.named = map[control.TableID]*table{}
	}
	n.out, n.levels, n.limits = maps.Clone(t.out), maps.Clone(t.levels), t.limits
	if n.pilot != t.pilot || n.run != t.run {
		n.limits = nil
	}
	lines := map[control.TableID][]line{} // of tables being changed
	fresh := map[control.EndpointID]*server{}
	record := func(id control.EndpointID, at runtime.Server) *server {
		if e := fresh[id]; e != nil && e.Server == at {
			return e
		}
		fresh[id] = s.get(id, at)
		return fresh[id]
	}
	edit := func(id control.TableID) []line {
		if l, ok := lines[id]; ok {
			return l
		}
		if old := n.named[id]; old != nil {
			return slices.Clone(old.lines)
		}
		return nil
	}
	levels, adopted := map[control.TableID]map[int]level{}, map[control.TableID]*table{}
	var bound []runtime.Change
	each := func(mask uint16, f func(int)) error {
		if mask>>types != 0 {
			return fmt.Errorf("op type beyond the %d that there are", types)
		}
		for i := range types {
			if mask == 0 || mask&(1<<i) != 0 {
				f(i)
			}
		}
		return nil
	}
	for i, c := range m.Changes {
		var err error
		switch c.Verb {
		case runtime.AddServer:
			l := edit(c.Table)
			at, found := find(l, c.Endpoint)
			e := line{record(c.Endpoint, c.Server), c.Weight}
			if found {
				l[at] = e
			} else {
				l = slices.Insert(l, at, e)
			}
			lines[c.Table] = l
		case runtime.SetWeight:
			l := edit(c.Table)
			at, found := find(l, c.Endpoint)
			if !found {
				err = fmt.Errorf("table t%d has no server e%d", c.Table, c.Endpoint)
				break
			}
			l[at].weight = c.Weight
			lines[c.Table] = l
		case runtime.DelServer:
			l := edit(c.Table)
			if at, found := find(l, c.Endpoint); found {
				l = slices.Delete(l, at, at+1)
			}
			lines[c.Table] = l
		case runtime.AdoptTable:
			from := t.holding(c.Digest)
			if from == nil {
				err = fmt.Errorf("no op type goes by a table of digest %x", c.Digest)
				break
			}
			lines[c.Table], levels[c.Table] = slices.Clone(from.lines), map[int]level{}
			adopted[c.Table] = from
		case runtime.ClearTable:
			lines[c.Table], levels[c.Table] = nil, map[int]level{}
		case runtime.SetState:
			if c.Drained {
				n.out[c.Endpoint] = true
			} else {
				delete(n.out, c.Endpoint)
			}
		case runtime.SetTenant:
			n.limits = maps.Clone(n.limits)
			if n.limits == nil {
				n.limits = map[string]tenancy.Limit{}
			}
			if n.limits[c.Tenant] = c.Limit(); c.Limit().Free() {
				delete(n.limits, c.Tenant)
			}
		case runtime.ClearState:
			clear(n.out)
		case runtime.SetMap:
			bound = append(bound, c)
			if _, ok := lines[c.Table]; !ok && n.named[c.Table] == nil {
				lines[c.Table] = nil // one with no lines yet is empty
			}
			err = each(c.OpTypes, func(int) {})
		case runtime.SetLevel:
			err = each(c.OpTypes, func(i int) {
				l := level{c.Level, c.RetryPolicy}
				if c.Table == control.Everywhere {
					n.levels[i] = l
					return
				}
				if levels[c.Table] == nil {
					levels[c.Table] = map[int]level{}
					if old := n.named[c.Table]; old != nil {
						levels[c.Table] = maps.Clone(old.levels)
					}
				}
				levels[c.Table][i] = l
			})
			if _, ok := lines[c.Table]; !ok && c.Table != control.Everywhere {
				lines[c.Table] = edit(c.Table)
			}
		}
		if err != nil {
			return nil, fmt.Errorf("change %d: %w", i+1, err)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(lines)) {
		old := n.named[id]
		before := old
		if adopted[id] != nil {
			before = adopted[id]
		}
		changed := newTable(fmt.Sprintf("t%d", id), lines[id], before, types, time.Since(s.born), rng)
		if levels[id] != nil {
			changed.levels = levels[id]
		}
		for i, used := range n.byType {
			if old != nil && used == old {
				n.byType[i] = changed
			}
		}
		n.named[id] = changed
	}
	for _, c := range bound {
		_ = each(c.OpTypes, func(i int) { n.byType[i] = n.named[c.Table] })
	}
	return n, nil
}

func find(l []line, id control.EndpointID) (int, bool) {
	return slices.BinarySearchFunc(l, id, func(x line, id control.EndpointID) int {
		return int(int64(x.server.id) - int64(id))
	})
}

// level returns how much of an op type is let in and how its tries are repeated: the lower share holds, and the
// table's own way of trying again where it has one.
func (t *tables) level(opType int, usual control.RetryPolicy) level {
	all, ok := t.levels[opType]
	if !ok {
		all = level{1, usual}
	}
	if own, ok := t.byType[opType].levels[opType]; ok {
		return level{min(own.share, all.share), own.again}
	}
	return all
}

// picker deals the servers of a table out evenly by weight: the one whose turn comes first, earliest deadline first,
// its next turn a step of 1/weight later.
type picker struct {
	mu    sync.Mutex
	rng   *rand.Rand
	turn  float64 // of the last one dealt
	lines []line
	next  []float64
}

func newPicker(lines []line, from *picker, rng *rand.Rand) *picker {
	p := &picker{rng: rng, lines: lines, next: make([]float64, len(lines))}
	var held map[*server]float64
	if from != nil {
		from.mu.Lock()
		defer from.mu.Unlock()
		p.turn = from.turn
		if slices.EqualFunc(lines, from.lines, func(a, b line) bool { return a.server == b.server }) { // weights alone differ
			for i, l := range lines {
				p.next[i] = p.turn + (from.next[i]-from.turn)*from.lines[i].weight/l.weight
			}
			return p
		}
		held = make(map[*server]float64, len(from.lines))
		for i, l := range from.lines {
			held[l.server] = (from.next[i] - from.turn) * l.weight
		}
	}
	for i, l := range lines {
		part, ok := held[l.server]
		if !ok {
			part = rng.Float64() // so that proxies do not all begin with the same server
		}
		p.next[i] = p.turn + part/l.weight
	}
	return p
}

// pick deals the next server that may be used; nil if none may. One that could not be used for a while takes its turn
// anew, so that it is not made up for with a burst.
func (p *picker) pick(may func(*server) bool) *server {
	p.mu.Lock()
	defer p.mu.Unlock()
	best := -1
	for i, l := range p.lines {
		if !may(l.server) {
			continue
		}
		if p.next[i] < p.turn {
			p.next[i] = p.turn + p.rng.Float64()/l.weight
		}
		if best < 0 || p.next[i] < p.next[best] {
			best = i
		}
	}
	if best < 0 {
		return nil
	}
	p.turn = p.next[best]
	p.next[best] += 1 / p.lines[best].weight
	return p.lines[best].server
}

// holder hands the tables in force to ops.
type holder struct{ atomic.Pointer[tables] }

// pickFor picks a server for an op of a type: not one that is out, nor one that may refuses; of the others, one that is
// not avoided, or if all are, any.
func (t *tables) pickFor(opType int, now time.Time, may func(*server) bool) *server {
	in := func(e *server) bool { return !t.out[e.id] && may(e) }
	p := t.byType[opType].picks[opType]
	if e := p.pick(func(e *server) bool { return in(e) && !e.avoided(now) }); e != nil {
		return e
	}
	return p.pick(in)
}

func (e *server) avoided(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return now.Before(e.avoid)
}

// met books a try. After so many own failures in a row the server is avoided for a while.
func (e *server) met(good bool, took time.Duration, load []float64, after int, span time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tries++
	if load != nil {
		e.load = load
	}
	if good {
		e.failures, e.latency = 0, e.latency+took
		return
	}
	e.failed++
	if e.failures++; after > 0 && e.failures >= after {
		e.failures, e.avoid = 0, time.Now().Add(span)
	}
}

// sum takes what was met since the last call.
func (e *server) sum() (runtime.ServerSum, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.tries == 0 {
		return runtime.ServerSum{}, false
	}
	s := runtime.ServerSum{Endpoint: e.id, Tries: e.tries, Failed: e.failed, Load: e.load}
	if good := e.tries - e.failed; good > 0 {
		s.Latency = e.latency / time.Duration(good)
	}
	e.tries, e.failed, e.latency, e.load = 0, 0, 0, nil
	return s, true
}

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

// server is the proxy's record of one endpoint. tries, failed, latency and load cover the time since the last sums.
type server struct {
	id control.EndpointID
	runtime.Server
	address string // runtime.Server.Address as a string

	mu         sync.Mutex // guards the fields below
	failures   int        // consecutive failures of this proxy's own tries
	avoidUntil time.Time  // the server is avoided until then
	tries      int
	failed     int
	latency    time.Duration // total over the successful tries
	load       []float64     // newest load report
}

// line is one server of a table.
type line struct {
	server *server
	weight float64
}

// table is an immutable set of servers with weights; a change makes a new table. Its pickers continue from those of the
// previous table, so that a change does not disturb the distribution of ops.
type table struct {
	name    string
	lines   []line        // sorted by endpoint
	levels  map[int]level // levels of this table alone, by op type
	pickers []*picker     // one for each op type
	subsets *podSubsets   // pods of the table, and the subsets of tenants

	once   sync.Once // computes digest
	digest uint64
}

// wireLines returns the lines in the form of the runtime API.
func (t *table) wireLines() (out []runtime.Line) {
	for _, l := range t.lines {
		out = append(out, runtime.Line{Endpoint: l.server.id, Server: l.server.Server, Weight: l.weight})
	}
	return out
}

// contentDigest returns the digest of the table's lines.
func (t *table) contentDigest() uint64 {
	t.once.Do(func() { t.digest = runtime.Digest(t.wireLines()) })
	return t.digest
}

// digests returns the digests of the tables that op types use, by op type; 0 stands for the standing table.
func (t *tables) digests() (out []uint64) {
	for _, tbl := range t.byOpType {
		if tbl == t.standing {
			out = append(out, 0)
		} else {
			out = append(out, tbl.contentDigest())
		}
	}
	return out
}

// tableByDigest returns the table with the given digest among those that op types use; nil if there is none.
func (t *tables) tableByDigest(digest uint64) *table {
	for _, tbl := range t.byOpType {
		if tbl != t.standing && tbl.contentDigest() == digest {
			return tbl
		}
	}
	return nil
}

// level is the admitted share of an op type, 1 or more for all ops, and its retry policy.
type level struct {
	share float64
	retry control.RetryPolicy
}

// tables is the complete state that a pilot has published to the proxy. It is immutable: a message makes a new value, and a
// try uses one value throughout.
type tables struct {
	pilot    string
	run      uint64
	number   uint64                      // number of the last message applied
	named    map[control.TableID]*table  // tables of the current run, by ID
	byOpType []*table                    // table of each op type; the standing table if none is assigned
	standing *table                      // the table that the proxy starts with, drawn from its settings
	drained  map[control.EndpointID]bool // servers that new ops must not use
	levels   map[int]level               // levels that apply to all tables, by op type
	limits   map[string]tenancy.Limit    // limits that the pilot set, by tenant
	bindings *bindings
}

// servers are the server records by endpoint. A record is kept for as long as any table names its server.
type servers struct {
	mu      sync.Mutex
	byID    map[control.EndpointID]*server
	started time.Time // start of the proxy
}

// get returns the record of an endpoint: the stored one if its address, zone and pack are those given, else a new one, which
// retain stores once a table names it.
func (s *servers) get(id control.EndpointID, location runtime.Server) *server {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.byID[id]; e != nil && e.Server == location {
		return e
	}
	return &server{id: id, Server: location, address: location.Address.String()}
}

// all returns the records, sorted by endpoint.
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

// retain stores the records that the tables name and returns the records that no table names any more. If an endpoint has
// two records, the newer one replaces the older.
func (s *servers) retain(t *tables) (dropped []*server) {
	named := map[control.EndpointID]*server{}
	addNamed := func(t *table) {
		for _, l := range t.lines {
			named[l.server.id] = l.server
		}
	}
	addNamed(t.standing)
	for _, tbl := range t.byOpType {
		addNamed(tbl)
	}
	for _, tbl := range t.named {
		addNamed(tbl)
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

// newTables returns the tables of a proxy that no pilot has sent anything yet: all op types use the standing table.
func newTables(types int, standing []line, rng *rand.Rand) *tables {
	t := &tables{named: map[control.TableID]*table{}, drained: map[control.EndpointID]bool{}, levels: map[int]level{},
		byOpType: make([]*table, types), bindings: &bindings{}}
	t.standing = newTable("standing", standing, nil, types, 0, rng)
	for i := range t.byOpType {
		t.byOpType[i] = t.standing
	}
	return t
}

// newTable builds a table and its pickers. If before is not nil, the pickers continue from those of before, and its levels
// are copied.
func newTable(name string, lines []line, before *table, types int, now time.Duration, rng *rand.Rand) *table {
	t := &table{name: name, lines: lines, levels: map[int]level{}, pickers: make([]*picker, types)}
	for i := range t.pickers {
		var from *picker
		if before != nil {
			from = before.pickers[i]
		}
		t.pickers[i] = newPicker(lines, from, rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64())))
	}
	if before != nil {
		for k, v := range before.levels {
			t.levels[k] = v
		}
	}
	t.subsets = podSubsetsAfter(before, lines, now)
	return t
}

// apply returns the tables after a message. If any change of the message is invalid, it returns an error that names the
// change.
func (t *tables) apply(m *runtime.Message, records *servers, types int, rng *rand.Rand) (*tables, error) {
	next := &tables{pilot: m.Pilot, run: m.Run, number: m.Number, standing: t.standing, byOpType: slices.Clone(t.byOpType),
		bindings: t.bindings}
	if t.pilot == m.Pilot && t.run == m.Run {
		next.named = maps.Clone(t.named)
	} else { // op types keep using the tables of the previous run, but their IDs no longer refer to them
		next.named = map[control.TableID]*table{}
	}
	next.drained, next.levels, next.limits = maps.Clone(t.drained), maps.Clone(t.levels), t.limits
	if next.pilot != t.pilot || next.run != t.run {
		next.limits = nil
	}
	lines := map[control.TableID][]line{} // lines of the tables that the message changes
	newRecords := map[control.EndpointID]*server{}
	record := func(id control.EndpointID, index runtime.Server) *server {
		if e := newRecords[id]; e != nil && e.Server == index {
			return e
		}
		newRecords[id] = records.get(id, index)
		return newRecords[id]
	}
	linesOf := func(id control.TableID) []line {
		if l, ok := lines[id]; ok {
			return l
		}
		if old := next.named[id]; old != nil {
			return slices.Clone(old.lines)
		}
		return nil
	}
	levels, adopted := map[control.TableID]map[int]level{}, map[control.TableID]*table{}
	var mapChanges []runtime.Change
	forOpTypes := func(mask uint16, f func(int)) error {
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
			l := linesOf(c.Table)
			index, found := find(l, c.Endpoint)
			e := line{record(c.Endpoint, c.Server), c.Weight}
			if found {
				l[index] = e
			} else {
				l = slices.Insert(l, index, e)
			}
			lines[c.Table] = l
		case runtime.SetWeight:
			l := linesOf(c.Table)
			index, found := find(l, c.Endpoint)
			if !found {
				err = fmt.Errorf("table t%d has no server e%d", c.Table, c.Endpoint)
				break
			}
			l[index].weight = c.Weight
			lines[c.Table] = l
		case runtime.DelServer:
			l := linesOf(c.Table)
			if index, found := find(l, c.Endpoint); found {
				l = slices.Delete(l, index, index+1)
			}
			lines[c.Table] = l
		case runtime.AdoptTable:
			from := t.tableByDigest(c.Digest)
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
				next.drained[c.Endpoint] = true
			} else {
				delete(next.drained, c.Endpoint)
			}
		case runtime.SetTenant:
			next.limits = maps.Clone(next.limits)
			if next.limits == nil {
				next.limits = map[string]tenancy.Limit{}
			}
			if next.limits[c.Tenant] = c.Limit(); c.Limit().IsDefault() {
				delete(next.limits, c.Tenant)
			}
		case runtime.ClearState:
			clear(next.drained)
		case runtime.SetMap:
			mapChanges = append(mapChanges, c)
			if _, ok := lines[c.Table]; !ok && next.named[c.Table] == nil {
				lines[c.Table] = nil // a table without lines so far is created empty
			}
			err = forOpTypes(c.OpTypes, func(int) {})
		case runtime.SetLevel:
			err = forOpTypes(c.OpTypes, func(i int) {
				l := level{c.Level, c.RetryPolicy}
				if c.Table == control.Everywhere {
					next.levels[i] = l
					return
				}
				if levels[c.Table] == nil {
					levels[c.Table] = map[int]level{}
					if old := next.named[c.Table]; old != nil {
						levels[c.Table] = maps.Clone(old.levels)
					}
				}
				levels[c.Table][i] = l
			})
			if _, ok := lines[c.Table]; !ok && c.Table != control.Everywhere {
				lines[c.Table] = linesOf(c.Table)
			}
		}
		if err != nil {
			return nil, fmt.Errorf("change %d: %w", i+1, err)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(lines)) {
		old := next.named[id]
		before := old
		if adopted[id] != nil {
			before = adopted[id]
		}
		changed := newTable(fmt.Sprintf("t%d", id), lines[id], before, types, time.Since(records.started), rng)
		if levels[id] != nil {
			changed.levels = levels[id]
		}
		for i, used := range next.byOpType {
			if old != nil && used == old {
				next.byOpType[i] = changed
			}
		}
		next.named[id] = changed
	}
	for _, c := range mapChanges {
		_ = forOpTypes(c.OpTypes, func(i int) { next.byOpType[i] = next.named[c.Table] })
	}
	return next, nil
}

// find returns the position of an endpoint in lines sorted by endpoint, and whether it is there.
func find(l []line, id control.EndpointID) (int, bool) {
	return slices.BinarySearchFunc(l, id, func(x line, id control.EndpointID) int {
		return int(int64(x.server.id) - int64(id))
	})
}

// level returns the level in force for an op type. The share is the lower of the table's own and the one for all tables. The
// retry policy is the table's own if it has a level, else the one for all tables, else defaultPolicy.
func (t *tables) level(opType int, defaultPolicy control.RetryPolicy) level {
	all, ok := t.levels[opType]
	if !ok {
		all = level{1, defaultPolicy}
	}
	if own, ok := t.byOpType[opType].levels[opType]; ok {
		return level{min(own.share, all.share), own.retry}
	}
	return all
}

// picker distributes ops over the servers of a table in proportion to their weights, by earliest deadline first. In virtual
// time, a server is due again 1/weight after its last pick, and the server with the earliest deadline is picked next.
type picker struct {
	mu          sync.Mutex
	rng         *rand.Rand
	virtualTime float64 // deadline of the last server picked
	lines       []line
	deadlines   []float64 // next deadline of each line
}

// newPicker returns a picker for the lines. If from is not nil, the servers that both have keep the share of their interval
// that is left until their deadlines.
func newPicker(lines []line, from *picker, rng *rand.Rand) *picker {
	p := &picker{rng: rng, lines: lines, deadlines: make([]float64, len(lines))}
	var held map[*server]float64
	if from != nil {
		from.mu.Lock()
		defer from.mu.Unlock()
		p.virtualTime = from.virtualTime
		if slices.EqualFunc(lines, from.lines, func(a, b line) bool { return a.server == b.server }) { // only weights differ
			for i, l := range lines {
				p.deadlines[i] = p.virtualTime + (from.deadlines[i]-from.virtualTime)*from.lines[i].weight/l.weight
			}
			return p
		}
		held = make(map[*server]float64, len(from.lines))
		for i, l := range from.lines {
			held[l.server] = (from.deadlines[i] - from.virtualTime) * l.weight
		}
	}
	for i, l := range lines {
		part, ok := held[l.server]
		if !ok {
			part = rng.Float64() // random, so that proxies do not all start with the same server
		}
		p.deadlines[i] = p.virtualTime + part/l.weight
	}
	return p
}

// pick returns the next server for which may returns true; nil if there is none. A server whose deadline has passed because
// it could not be used for a while gets a new deadline, so that it does not receive a burst of ops when it returns.
func (p *picker) pick(may func(*server) bool) *server {
	p.mu.Lock()
	defer p.mu.Unlock()
	best := -1
	for i, l := range p.lines {
		if !may(l.server) {
			continue
		}
		if p.deadlines[i] < p.virtualTime {
			p.deadlines[i] = p.virtualTime + p.rng.Float64()/l.weight
		}
		if best < 0 || p.deadlines[i] < p.deadlines[best] {
			best = i
		}
	}
	if best < 0 {
		return nil
	}
	p.virtualTime = p.deadlines[best]
	p.deadlines[best] += 1 / p.lines[best].weight
	return p.lines[best].server
}

// tablesPointer holds the tables in force. Ops load it without a lock.
type tablesPointer struct{ atomic.Pointer[tables] }

// pickFor picks a server for an op type among those that are not drained and for which may returns true. It prefers servers
// that are not avoided, and returns nil if there is no server.
func (t *tables) pickFor(opType int, now time.Time, may func(*server) bool) *server {
	in := func(e *server) bool { return !t.drained[e.id] && may(e) }
	p := t.byOpType[opType].pickers[opType]
	if e := p.pick(func(e *server) bool { return in(e) && !e.avoided(now) }); e != nil {
		return e
	}
	return p.pick(in)
}

// avoided reports whether the server is avoided at the given time because of consecutive failures.
func (e *server) avoided(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return now.Before(e.avoidUntil)
}

// recordTry records the outcome of a try. After outlierAfter consecutive failures (0: never) the server is avoided for
// avoidFor. load is the load report of the response, nil if there is none.
func (e *server) recordTry(good bool, took time.Duration, load []float64, outlierAfter int, avoidFor time.Duration) {
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
	if e.failures++; outlierAfter > 0 && e.failures >= outlierAfter {
		e.failures, e.avoidUntil = 0, time.Now().Add(avoidFor)
	}
}

// takeSum returns the sum of the tries since the last call, and resets it. It returns false if there were no tries.
func (e *server) takeSum() (runtime.ServerSum, bool) {
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

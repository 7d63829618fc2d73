package pilot

import (
	"maps"
	"slices"

	"vetchdoor/control"
	"vetchdoor/runtime"
)

// desiredState is what the module has ordered so far: the tables, who is on which, what is withdrawn. It turns the orders of one
// reply into one message for each proxy concerned. It is free of I/O and decides nothing.
type desiredState struct {
	where   func(control.EndpointID) (runtime.Server, bool)
	types   int
	head    int // lines that a message costs beyond its own
	tables  map[control.TableID]*sheet
	all     map[int]runtime.Change // levels for all tables, by op type
	out     map[control.EndpointID]bool
	proxies map[control.ProxyID]*holder
	limits  map[string]runtime.Change // of tenants, rates over all proxies
	budget  noticeBudget
	due     map[control.ProxyID]bool // who is yet to be told something by the pilot itself
	turn    control.ProxyID          // whose turn is next

	contents map[uint64][]runtime.Line // tables that proxies hold of earlier runs, by digest
	saved    int                       // lines that were not sent for it
}

// sheet is one table as ordered.
type sheet struct {
	id     control.TableID
	lines  map[control.EndpointID]float64
	levels map[int]runtime.Change
}

// holder is a joined proxy.
type holder struct {
	id        control.ProxyID
	standing  map[control.EndpointID]bool
	held      []uint64                    // digests of the tables that it joined with, by op type
	older     bool                        // it holds tables of an earlier stream, whose lines are not known here
	bound     []*sheet                    // by op type; nil: its standing table, or what an earlier run gave it
	withdrawn map[control.EndpointID]bool // as its stream was last sent
	levelled  bool                        // it has been sent the levels for all
	cleared   bool                        // withdrawals of earlier runs are cleared
	notices   notices
	next      uint64
	changes   []runtime.Change // of the message being written
}

func newDesiredState(types, head int, where func(control.EndpointID) (runtime.Server, bool)) *desiredState {
	return &desiredState{where: where, types: types, head: head, tables: map[control.TableID]*sheet{},
		all: map[int]runtime.Change{}, out: map[control.EndpointID]bool{}, proxies: map[control.ProxyID]*holder{},
		limits: map[string]runtime.Change{}, budget: noticeBudget{most: unbounded}, due: map[control.ProxyID]bool{}, contents: map[uint64][]runtime.Line{}}
}

// join adds a proxy that is bound to nothing; number is that of the last message that this run sent it.
func (ds *desiredState) join(id control.ProxyID, standing []control.EndpointID, older bool, number uint64) {
	h := &holder{id: id, older: older, standing: map[control.EndpointID]bool{}, bound: make([]*sheet, ds.types),
		withdrawn: map[control.EndpointID]bool{}, next: number + 1, notices: newNotices()}
	for _, e := range standing {
		h.standing[e] = true
	}
	ds.proxies[id] = h
	for name := range ds.limits {
		h.notices.limits[name] = true
		ds.due[id] = true
	}
}

// leave drops a proxy and returns the number of the last message sent to it.
func (ds *desiredState) leave(id control.ProxyID) uint64 {
	h := ds.proxies[id]
	delete(ds.proxies, id)
	delete(ds.due, id)
	if h == nil {
		return 0
	}
	ds.budget.used -= h.notices.unconfirmed
	return h.next - 1
}

// sorted returns the joined proxies by id.
func (ds *desiredState) sorted() []*holder {
	out := make([]*holder, 0, len(ds.proxies))
	for _, id := range slices.Sorted(maps.Keys(ds.proxies)) {
		out = append(out, ds.proxies[id])
	}
	return out
}

func (ds *desiredState) sheet(id control.TableID) *sheet {
	t := ds.tables[id]
	if t == nil {
		t = &sheet{id: id, lines: map[control.EndpointID]float64{}, levels: map[int]runtime.Change{}}
		ds.tables[id] = t
	}
	return t
}

// holds tells whether a proxy may send to an endpoint by the tables that it is on.
func (h *holder) holds(e control.EndpointID) bool {
	for _, t := range h.bound {
		if t == nil && (h.older || h.standing[e]) || t != nil && t.lines[e] > 0 {
			return true
		}
	}
	return false
}

func (h *holder) on(t *sheet) bool { return slices.Contains(h.bound, t) }

func (h *holder) add(c runtime.Change) { h.changes = append(h.changes, c) }

// outgoing is a message for one proxy.
type outgoing struct {
	proxy control.ProxyID
	*runtime.Message
	notices int // lines of it that the pilot wrote by itself
}

// write carries out the orders of one reply that concern proxies and returns the messages, by proxy, and the orders
// that are for others.
func (ds *desiredState) write(orders []control.Order) (messages []outgoing, rest []control.Order) {
	checkpoint, everyone := -1, false
	joined := ds.sorted()
	for _, o := range orders {
		switch o := o.(type) {
		case control.PutLine:
			ds.put(o, joined)
		case control.Blank:
			t := ds.sheet(o.Table)
			clear(t.lines)
			clear(t.levels)
			ds.toUsers(t, joined, runtime.Change{Verb: runtime.ClearTable, Table: o.Table})
		case control.Bind:
			if h := ds.proxies[o.Proxy]; h != nil {
				ds.bind(h, o)
			}
		case control.SetLevel:
			ds.level(o, joined)
		case control.Suspend:
			ds.out[o.Endpoint] = o.Out
			if !o.Out {
				delete(ds.out, o.Endpoint)
			}
			for _, h := range joined {
				if o.Out && h.holds(o.Endpoint) || !o.Out && h.withdrawn[o.Endpoint] {
					ds.tell(h, o.Endpoint)
				}
			}
		case control.Checkpoint:
			checkpoint, everyone = o.Number, everyone || o.All
		default:
			rest = append(rest, o)
		}
	}
	for _, h := range joined {
		if len(h.changes) > 0 || everyone && checkpoint >= 0 {
			messages = append(messages, ds.finish(h, checkpoint, ds.addNotices(h)))
		}
	}
	return messages, rest
}

// finish takes what is written for a proxy as a message; so many lines of it are notices.
func (ds *desiredState) finish(h *holder, checkpoint, notices int) outgoing {
	if !h.levelled {
		h.levelled = true
		for _, i := range slices.Sorted(maps.Keys(ds.all)) {
			h.add(ds.all[i])
		}
	}
	m := &runtime.Message{Number: h.next, Checkpoint: checkpoint, Changes: h.changes, Lines: ds.head + len(h.changes)}
	if checkpoint >= 0 {
		m.Lines++
	}
	h.next, h.changes = h.next+1, nil
	return outgoing{h.id, m, notices}
}

func (ds *desiredState) toUsers(t *sheet, joined []*holder, c runtime.Change) {
	for _, h := range joined {
		if h.on(t) {
			h.add(c)
		}
	}
}

// tell writes a proxy whether an endpoint is withdrawn, if it was sent otherwise.
func (ds *desiredState) tell(h *holder, e control.EndpointID) {
	if out := ds.out[e]; h.withdrawn[e] != out {
		h.add(runtime.Change{Verb: runtime.SetState, Endpoint: e, Drained: out})
		if h.withdrawn[e] = out; !out {
			delete(h.withdrawn, e)
		}
	}
}

func (ds *desiredState) put(o control.PutLine, joined []*holder) {
	t := ds.sheet(o.Table)
	before := t.lines[o.Endpoint]
	c := runtime.Change{Verb: runtime.SetWeight, Table: o.Table, Endpoint: o.Endpoint, Weight: o.Weight}
	switch {
	case !(o.Weight > 0):
		if delete(t.lines, o.Endpoint); before == 0 {
			return
		}
		c.Verb, c.Weight = runtime.DelServer, 0
	case before == 0:
		at, ok := ds.where(o.Endpoint)
		if !ok {
			return
		}
		c.Verb, c.Server = runtime.AddServer, at
		t.lines[o.Endpoint] = o.Weight
	default:
		t.lines[o.Endpoint] = o.Weight
	}
	for _, h := range joined {
		if h.on(t) {
			if c.Verb == runtime.AddServer {
				ds.tell(h, o.Endpoint) // first: it never holds a withdrawn endpoint open
			}
			h.add(c)
		}
	}
}

// bind writes a proxy a whole table and puts op types on it.
func (ds *desiredState) bind(h *holder, o control.Bind) {
	t := ds.sheet(o.Table)
	if !h.cleared {
		h.cleared = true
		h.add(runtime.Change{Verb: runtime.ClearState})
		clear(h.withdrawn)
		for _, e := range slices.Sorted(maps.Keys(ds.out)) {
			if h.holds(e) {
				ds.tell(h, e)
			}
		}
	}
	if !h.on(t) && !ds.adopt(h, t, o.OpTypes) {
		h.add(runtime.Change{Verb: runtime.ClearTable, Table: t.id})
		for _, e := range slices.Sorted(maps.Keys(t.lines)) {
			at, ok := ds.where(e)
			if !ok {
				continue
			}
			ds.tell(h, e)
			h.add(runtime.Change{Verb: runtime.AddServer, Table: t.id, Endpoint: e, Server: at, Weight: t.lines[e]})
		}
		for _, i := range slices.Sorted(maps.Keys(t.levels)) {
			h.add(t.levels[i])
		}
	}
	for i := range h.bound {
		if o.OpTypes == 0 || o.OpTypes&(1<<i) != 0 {
			h.bound[i] = t
		}
	}
	h.add(runtime.Change{Verb: runtime.SetMap, Table: t.id, OpTypes: o.OpTypes})
}

// mostContents bounds the tables of earlier runs that are kept.
const mostContents = 256

// learn takes in a table that a proxy holds; past the bound it begins anew, for what proxies hold changes with the fleet.
func (ds *desiredState) learn(t *runtime.Holding) {
	if runtime.Digest(t.Lines) != t.Digest {
		return
	}
	if len(ds.contents) >= mostContents {
		clear(ds.contents)
	}
	ds.contents[t.Digest] = t.Lines
}

// unknown returns the digests of a proxy's tables whose lines are not known.
func (ds *desiredState) unknown(digests []uint64) (out []uint64) {
	for _, d := range digests {
		if _, known := ds.contents[d]; d != 0 && !known && !slices.Contains(out, d) {
			out = append(out, d)
		}
	}
	return out
}

// adopt writes a proxy a table as the one that it has for an op type already, of an earlier run, and what differs; false if
// none is known or it would take as many lines.
func (ds *desiredState) adopt(h *holder, t *sheet, opTypes uint16) bool {
	var best []runtime.Change
	for i, d := range h.held {
		base, known := ds.contents[d]
		if d == 0 || !known || h.bound[i] != nil || opTypes != 0 && opTypes&(1<<i) == 0 {
			continue // it goes by another table of ours since, or this is not of its op types
		}
		changes := []runtime.Change{{Verb: runtime.AdoptTable, Table: t.id, Digest: d}}
		there := map[control.EndpointID]runtime.Line{}
		for _, l := range base {
			if there[l.Endpoint] = l; t.lines[l.Endpoint] == 0 {
				changes = append(changes, runtime.Change{Verb: runtime.DelServer, Table: t.id, Endpoint: l.Endpoint})
			}
		}
		for _, e := range slices.Sorted(maps.Keys(t.lines)) {
			at, ok := ds.where(e)
			l, has := there[e]
			switch {
			case !ok && has:
				changes = append(changes, runtime.Change{Verb: runtime.DelServer, Table: t.id, Endpoint: e})
			case !ok:
			case !has || l.Server != at:
				changes = append(changes, runtime.Change{Verb: runtime.AddServer, Table: t.id, Endpoint: e, Server: at, Weight: t.lines[e]})
			case l.Weight != t.lines[e]:
				changes = append(changes, runtime.Change{Verb: runtime.SetWeight, Table: t.id, Endpoint: e, Weight: t.lines[e]})
			}
		}
		if best == nil || len(changes) < len(best) {
			best = changes
		}
	}
	if best == nil || len(best) > len(t.lines) {
		return false
	}
	ds.saved += len(t.lines) + 1 - len(best)
	for _, e := range slices.Sorted(maps.Keys(t.lines)) {
		ds.tell(h, e)
	}
	h.changes = append(h.changes, best...)
	for _, i := range slices.Sorted(maps.Keys(t.levels)) {
		h.add(t.levels[i])
	}
	return true
}

func (ds *desiredState) level(o control.SetLevel, joined []*holder) {
	c := runtime.Change{Verb: runtime.SetLevel, Table: o.Table, OpTypes: o.OpTypes, Level: o.Level, RetryPolicy: o.RetryPolicy}
	levels := ds.all
	var t *sheet
	if o.Table != control.Everywhere {
		t = ds.sheet(o.Table)
		levels = t.levels
	}
	for i := range ds.types {
		if o.OpTypes == 0 || o.OpTypes&(1<<i) != 0 {
			one := c
			one.OpTypes = 1 << i
			levels[i] = one
		}
	}
	for _, h := range joined {
		if t != nil && h.on(t) || t == nil && h.levelled {
			h.add(c)
		} else if t == nil {
			h.levelled = true
			for _, i := range slices.Sorted(maps.Keys(ds.all)) {
				h.add(ds.all[i])
			}
		}
	}
}

// free tells whether nothing that was ordered names an endpoint any more.
func (ds *desiredState) free(e control.EndpointID) bool {
	if ds.out[e] {
		return false
	}
	for _, t := range ds.tables {
		if t.lines[e] > 0 {
			return false
		}
	}
	return true
}

// alone is a message for one proxy of changes that concern no table.
func (ds *desiredState) alone(id control.ProxyID, changes []runtime.Change) outgoing {
	h := ds.proxies[id]
	h.changes = append(h.changes, changes...)
	return ds.finish(h, -1, 0)
}

package pilot

import (
	"maps"
	"slices"

	"vetchdoor/control"
	"vetchdoor/runtime"
)

// desiredState is the state that the module's orders add up to: the tables, the proxies bound to them, the levels and the
// withdrawn endpoints. It translates the orders of one reply into at most one message per proxy. It does no I/O.
type desiredState struct {
	serverOf       func(control.EndpointID) (runtime.Server, bool)
	opTypeCount    int
	headLines      int // lines that each message counts for in addition to its changes
	tables         map[control.TableID]*tableState
	globalLevels   map[int]runtime.Change // levels that apply to all tables, by op type
	withdrawn      map[control.EndpointID]bool
	proxies        map[control.ProxyID]*proxyState
	limits         map[string]runtime.Change // limits of tenants, with rates over all proxies
	budget         noticeBudget
	pendingNotices map[control.ProxyID]bool // proxies with notices that are not sent yet
	nextTurn       control.ProxyID          // proxy at which the next round of notices begins

	knownTables map[uint64][]runtime.Line // contents of tables that proxies hold from earlier runs, by digest
	savedLines  int                       // lines that did not have to be sent because of knownTables
}

// tableState is one table with its weights and its levels by op type.
type tableState struct {
	id     control.TableID
	lines  map[control.EndpointID]float64 // weights by endpoint
	levels map[int]runtime.Change         // levels of this table by op type
}

// proxyState is what a joined proxy has been sent in its session.
type proxyState struct {
	id                 control.ProxyID
	standing           map[control.EndpointID]bool // endpoints of its standing table
	heldDigests        []uint64                    // digests of the tables that the proxy held when it joined, by op type
	holdsUnknownTables bool                        // the proxy holds tables of an earlier session, which may contain any endpoint
	bound              []*tableState               // the proxy's table by op type; nil: its standing table, or one of an earlier run
	sentWithdrawn      map[control.EndpointID]bool // endpoints that the proxy was last sent as withdrawn
	levelsSent         bool                        // the proxy has been sent globalLevels
	stateCleared       bool                        // the withdrawals that the proxy held from earlier runs have been cleared
	notices            notices
	nextNumber         uint64           // number of the next message
	changes            []runtime.Change // changes of the message being composed
}

// newDesiredState returns an empty state without a bound on notices. headLines is the number of lines that a message counts for
// in addition to its changes; serverOf returns the address, zone and pack of an endpoint.
func newDesiredState(opTypeCount, headLines int, serverOf func(control.EndpointID) (runtime.Server, bool)) *desiredState {
	return &desiredState{serverOf: serverOf, opTypeCount: opTypeCount, headLines: headLines,
		tables:       map[control.TableID]*tableState{},
		globalLevels: map[int]runtime.Change{}, withdrawn: map[control.EndpointID]bool{}, proxies: map[control.ProxyID]*proxyState{},
		limits: map[string]runtime.Change{}, budget: noticeBudget{maxLines: unlimitedLines},
		pendingNotices: map[control.ProxyID]bool{}, knownTables: map[uint64][]runtime.Line{}}
}

// join adds a proxy that is not bound to any table. number is that of the last message that this run sent to it, 0 if none.
func (ds *desiredState) join(id control.ProxyID, standing []control.EndpointID, holdsUnknownTables bool, number uint64) {
	proxy := &proxyState{id: id, holdsUnknownTables: holdsUnknownTables, standing: map[control.EndpointID]bool{},
		bound:         make([]*tableState, ds.opTypeCount),
		sentWithdrawn: map[control.EndpointID]bool{}, nextNumber: number + 1, notices: newNotices()}
	for _, e := range standing {
		proxy.standing[e] = true
	}
	ds.proxies[id] = proxy
	for name := range ds.limits {
		proxy.notices.changedLimits[name] = true
		ds.pendingNotices[id] = true
	}
}

// leave removes a proxy and returns the number of the last message composed for it, 0 if the proxy is unknown.
func (ds *desiredState) leave(id control.ProxyID) uint64 {
	proxy := ds.proxies[id]
	delete(ds.proxies, id)
	delete(ds.pendingNotices, id)
	if proxy == nil {
		return 0
	}
	ds.budget.usedLines -= proxy.notices.unconfirmedLines
	return proxy.nextNumber - 1
}

// sortedProxies returns the joined proxies, sorted by id.
func (ds *desiredState) sortedProxies() []*proxyState {
	out := make([]*proxyState, 0, len(ds.proxies))
	for _, id := range slices.Sorted(maps.Keys(ds.proxies)) {
		out = append(out, ds.proxies[id])
	}
	return out
}

// table returns a table, creating it if it does not exist.
func (ds *desiredState) table(id control.TableID) *tableState {
	t := ds.tables[id]
	if t == nil {
		t = &tableState{id: id, lines: map[control.EndpointID]float64{}, levels: map[int]runtime.Change{}}
		ds.tables[id] = t
	}
	return t
}

// mayUse reports whether a proxy may send ops to an endpoint, given the tables that it uses.
func (proxy *proxyState) mayUse(e control.EndpointID) bool {
	for _, t := range proxy.bound {
		if t == nil && (proxy.holdsUnknownTables || proxy.standing[e]) || t != nil && t.lines[e] > 0 {
			return true
		}
	}
	return false
}

// isBoundTo reports whether the proxy uses a table for any op type.
func (proxy *proxyState) isBoundTo(t *tableState) bool { return slices.Contains(proxy.bound, t) }

// add appends a change to the message being composed.
func (proxy *proxyState) add(c runtime.Change) { proxy.changes = append(proxy.changes, c) }

// outgoing is a message addressed to one proxy.
type outgoing struct {
	proxy control.ProxyID
	*runtime.Message
	noticeLines int // lines of the message that count against the notice budget
}

// translate applies the orders of one reply that concern proxies. It returns the resulting messages, sorted by proxy, and the
// orders that it does not handle.
func (ds *desiredState) translate(orders []control.Order) (messages []outgoing, others []control.Order) {
	checkpoint, everyone := -1, false
	joined := ds.sortedProxies()
	for _, o := range orders {
		switch o := o.(type) {
		case control.PutLine:
			ds.putLine(o, joined)
		case control.ClearTable:
			t := ds.table(o.Table)
			clear(t.lines)
			clear(t.levels)
			ds.addToBound(t, joined, runtime.Change{Verb: runtime.ClearTable, Table: o.Table})
		case control.Bind:
			if proxy := ds.proxies[o.Proxy]; proxy != nil {
				ds.bind(proxy, o)
			}
		case control.SetLevel:
			ds.setLevel(o, joined)
		case control.Suspend:
			ds.withdrawn[o.Endpoint] = o.Out
			if !o.Out {
				delete(ds.withdrawn, o.Endpoint)
			}
			for _, proxy := range joined {
				if o.Out && proxy.mayUse(o.Endpoint) || !o.Out && proxy.sentWithdrawn[o.Endpoint] {
					ds.addState(proxy, o.Endpoint)
				}
			}
		case control.Checkpoint:
			checkpoint, everyone = o.Number, everyone || o.All
		default:
			others = append(others, o)
		}
	}
	for _, proxy := range joined {
		if len(proxy.changes) > 0 || everyone && checkpoint >= 0 {
			messages = append(messages, ds.finishMessage(proxy, checkpoint, ds.addNotices(proxy)))
		}
	}
	return messages, others
}

// finishMessage returns the message composed for a proxy and starts the next one. A negative checkpoint means none;
// noticeLines is the number of the message's lines that count against the notice budget.
func (ds *desiredState) finishMessage(proxy *proxyState, checkpoint, noticeLines int) outgoing {
	if !proxy.levelsSent {
		proxy.levelsSent = true
		for _, i := range slices.Sorted(maps.Keys(ds.globalLevels)) {
			proxy.add(ds.globalLevels[i])
		}
	}
	m := &runtime.Message{Number: proxy.nextNumber, Checkpoint: checkpoint, Changes: proxy.changes,
		Lines: ds.headLines + len(proxy.changes)}
	if checkpoint >= 0 {
		m.Lines++
	}
	proxy.nextNumber, proxy.changes = proxy.nextNumber+1, nil
	return outgoing{proxy.id, m, noticeLines}
}

// addToBound adds a change to the messages of all proxies that are bound to a table.
func (ds *desiredState) addToBound(t *tableState, joined []*proxyState, c runtime.Change) {
	for _, proxy := range joined {
		if proxy.isBoundTo(t) {
			proxy.add(c)
		}
	}
}

// addState adds to a proxy's message whether an endpoint is withdrawn, if the proxy was last sent the opposite.
func (ds *desiredState) addState(proxy *proxyState, e control.EndpointID) {
	if withdrawn := ds.withdrawn[e]; proxy.sentWithdrawn[e] != withdrawn {
		proxy.add(runtime.Change{Verb: runtime.SetState, Endpoint: e, Drained: withdrawn})
		if proxy.sentWithdrawn[e] = withdrawn; !withdrawn {
			delete(proxy.sentWithdrawn, e)
		}
	}
}

// putLine sets or removes a line of a table and adds the change to the messages of the proxies that are bound to it.
func (ds *desiredState) putLine(o control.PutLine, joined []*proxyState) {
	t := ds.table(o.Table)
	before := t.lines[o.Endpoint]
	c := runtime.Change{Verb: runtime.SetWeight, Table: o.Table, Endpoint: o.Endpoint, Weight: o.Weight}
	switch {
	case !(o.Weight > 0):
		if delete(t.lines, o.Endpoint); before == 0 {
			return
		}
		c.Verb, c.Weight = runtime.DelServer, 0
	case before == 0:
		at, ok := ds.serverOf(o.Endpoint)
		if !ok {
			return
		}
		c.Verb, c.Server = runtime.AddServer, at
		t.lines[o.Endpoint] = o.Weight
	default:
		t.lines[o.Endpoint] = o.Weight
	}
	for _, proxy := range joined {
		if proxy.isBoundTo(t) {
			if c.Verb == runtime.AddServer {
				ds.addState(proxy, o.Endpoint) // sent before the line, so that the proxy never uses a withdrawn endpoint
			}
			proxy.add(c)
		}
	}
}

// bind adds a whole table to a proxy's message, unless the proxy is bound to it already, and maps op types to it.
func (ds *desiredState) bind(proxy *proxyState, o control.Bind) {
	t := ds.table(o.Table)
	if !proxy.stateCleared {
		proxy.stateCleared = true
		proxy.add(runtime.Change{Verb: runtime.ClearState})
		clear(proxy.sentWithdrawn)
		for _, e := range slices.Sorted(maps.Keys(ds.withdrawn)) {
			if proxy.mayUse(e) {
				ds.addState(proxy, e)
			}
		}
	}
	if !proxy.isBoundTo(t) && !ds.adoptTable(proxy, t, o.OpTypes) {
		proxy.add(runtime.Change{Verb: runtime.ClearTable, Table: t.id})
		for _, e := range slices.Sorted(maps.Keys(t.lines)) {
			at, ok := ds.serverOf(e)
			if !ok {
				continue
			}
			ds.addState(proxy, e)
			proxy.add(runtime.Change{Verb: runtime.AddServer, Table: t.id, Endpoint: e, Server: at, Weight: t.lines[e]})
		}
		for _, i := range slices.Sorted(maps.Keys(t.levels)) {
			proxy.add(t.levels[i])
		}
	}
	for i := range proxy.bound {
		if o.OpTypes == 0 || o.OpTypes&(1<<i) != 0 {
			proxy.bound[i] = t
		}
	}
	proxy.add(runtime.Change{Verb: runtime.SetMap, Table: t.id, OpTypes: o.OpTypes})
}

// maxKnownTables and maxKnownLines bound the number of tables in knownTables, and of their lines.
const (
	maxKnownTables = 256
	maxKnownLines  = 1 << 17
)

// learnTable stores the contents of a table that a proxy holds, if they match their digest. When the bound is reached all
// stored tables are dropped, because old ones are of no use once the proxies' tables have changed.
func (ds *desiredState) learnTable(t *runtime.TableContents) {
	if runtime.Digest(t.Lines) != t.Digest {
		return
	}
	known := len(t.Lines)
	for _, lines := range ds.knownTables {
		known += len(lines)
	}
	if len(ds.knownTables) >= maxKnownTables || known > maxKnownLines {
		clear(ds.knownTables)
	}
	ds.knownTables[t.Digest] = t.Lines
}

// unknownDigests returns those digests, without duplicates and zeros, whose table contents are not known.
func (ds *desiredState) unknownDigests(digests []uint64) (out []uint64) {
	for _, d := range digests {
		if _, known := ds.knownTables[d]; d != 0 && !known && !slices.Contains(out, d) {
			out = append(out, d)
		}
	}
	return out
}

// adoptTable adds a table to a proxy's message as the difference to a table that the proxy holds from an earlier run for one of
// the op types. It reports false, and adds nothing, if no such table is known or the changes, including the one that names the
// adopted table, outnumber the lines of the new table.
func (ds *desiredState) adoptTable(proxy *proxyState, t *tableState, opTypes uint16) bool {
	var best []runtime.Change
	for i, d := range proxy.heldDigests {
		base, known := ds.knownTables[d]
		if d == 0 || !known || proxy.bound[i] != nil || opTypes != 0 && opTypes&(1<<i) == 0 {
			continue // replaced by a table of this run, or not one of the op types to bind
		}
		changes := []runtime.Change{{Verb: runtime.AdoptTable, Table: t.id, Digest: d}}
		baseLines := map[control.EndpointID]runtime.Line{}
		for _, l := range base {
			if baseLines[l.Endpoint] = l; t.lines[l.Endpoint] == 0 {
				changes = append(changes, runtime.Change{Verb: runtime.DelServer, Table: t.id, Endpoint: l.Endpoint})
			}
		}
		for _, e := range slices.Sorted(maps.Keys(t.lines)) {
			at, ok := ds.serverOf(e)
			l, has := baseLines[e]
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
	ds.savedLines += len(t.lines) + 1 - len(best)
	for _, e := range slices.Sorted(maps.Keys(t.lines)) {
		ds.addState(proxy, e)
	}
	proxy.changes = append(proxy.changes, best...)
	for _, i := range slices.Sorted(maps.Keys(t.levels)) {
		proxy.add(t.levels[i])
	}
	return true
}

// setLevel stores a level and adds it to the messages of the proxies concerned. A proxy that has not been sent globalLevels yet
// gets all of them.
func (ds *desiredState) setLevel(o control.SetLevel, joined []*proxyState) {
	c := runtime.Change{Verb: runtime.SetLevel, Table: o.Table, OpTypes: o.OpTypes, Level: o.Level, RetryPolicy: o.RetryPolicy}
	levels := ds.globalLevels
	var t *tableState
	if o.Table != control.Everywhere {
		t = ds.table(o.Table)
		levels = t.levels
	}
	for i := range ds.opTypeCount {
		if o.OpTypes == 0 || o.OpTypes&(1<<i) != 0 {
			one := c
			one.OpTypes = 1 << i
			levels[i] = one
		}
	}
	for _, proxy := range joined {
		if t != nil && proxy.isBoundTo(t) || t == nil && proxy.levelsSent {
			proxy.add(c)
		} else if t == nil {
			proxy.levelsSent = true
			for _, i := range slices.Sorted(maps.Keys(ds.globalLevels)) {
				proxy.add(ds.globalLevels[i])
			}
		}
	}
}

// isUnreferenced reports whether an endpoint is neither withdrawn nor part of a table.
func (ds *desiredState) isUnreferenced(e control.EndpointID) bool {
	if ds.withdrawn[e] {
		return false
	}
	for _, t := range ds.tables {
		if t.lines[e] > 0 {
			return false
		}
	}
	return true
}

// newMessage returns a message with the given changes, none of which concerns a table, to one joined proxy.
func (ds *desiredState) newMessage(id control.ProxyID, changes []runtime.Change) outgoing {
	proxy := ds.proxies[id]
	proxy.changes = append(proxy.changes, changes...)
	return ds.finishMessage(proxy, -1, 0)
}

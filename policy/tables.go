package policy

import (
	"cmp"
	"math"
	"slices"

	"vetchdoor/control"
)

// want is the weight that a table should give a server.
func (a *Assigner) want(t *table, e *endpoint) float64 {
	if e.mode != control.Ready || t.cell != nil && t.cell != e.cell || a.barred(e) && a.serves(t, e) {
		return 0
	}
	return e.weight * a.fit(e)
}

// barred tells whether a cold server is kept out: in a jammed cell; while young once many tries fail, or in a
// busy cell whose whole work would push it over, where that is so little that it soon bears it.
func (a *Assigner) barred(e *endpoint) bool {
	young := youngest
	if a.facts.AvoidAfterFailures > 0 && float64(e.cell.warm) > mostlyWarm*float64(e.cell.ready) {
		young = youngAvoid
	}
	work, does := e.cell.load/100*float64(e.cell.ready), a.facts.ColdCapacityShare+(1-a.facts.ColdCapacityShare)*a.cold(e)
	weak := a.cold(e) < youngest && e.cell.load > fits && does*pushedOver < work && work < smallWork
	return a.cold(e) < 1 && e.cell.jammed || weak || a.cold(e) < young && a.pressed(e.cell) > failsMuch
}

// pressed is the share of tries that fails in a cell, or in the fleet if that is more.
func (a *Assigner) pressed(c *cell) float64 { return max(c.met.mean(), a.met.mean()) }

// leaves is why a server that is not ready leaves the tables.
var leaves = map[control.Mode]control.Reason{control.Gone: control.Unlisted, control.Draining: control.Drains}

// whyLine is why a server's line is put at a weight, after the one that was told.
func (a *Assigner) whyLine(e *endpoint, told, want float64) control.Why {
	switch {
	case e.mode != control.Ready:
		return control.Why{Reason: leaves[e.mode]}
	case want == 0 && e.cell.jammed:
		return control.Why{Reason: control.Jammed, Value: e.cell.load, Limit: busy}
	case want == 0 && a.pressed(e.cell) > failsMuch:
		return control.Why{Reason: control.Failing, Value: a.pressed(e.cell), Limit: failsMuch}
	case a.cold(e) < 1:
		return control.Why{Reason: control.Warming, Value: a.cold(e), Limit: 1}
	case e.ease < 1 && want < told:
		return control.Why{Reason: control.Eased, Value: e.load, Limit: max(calm, a.load+apart)}
	case e.turnAt > control.LongAgo && a.fit(e) < e.ease:
		return control.Why{Reason: control.Returning, Value: a.fit(e), Limit: e.ease}
	case told > 0 && want > told && e.eased == a.now:
		return control.Why{Reason: control.Regains, Value: e.load, Limit: a.load - apart}
	}
	return control.Why{Reason: control.Listed, Value: e.weight}
}

// whyOut is why a server is withdrawn, or let in again.
func (e *endpoint) whyOut() control.Why {
	switch {
	case !e.out:
		return control.Why{Reason: control.Back}
	case e.mode != control.Ready:
		return control.Why{Reason: leaves[e.mode]}
	}
	return e.why
}

// whyLevel is why a level is other than it was.
func (a *Assigner) whyLevel(before, level float64) control.Why {
	switch {
	case before < 0 && level == 1:
		return control.Why{Reason: control.First}
	case level > before && before >= 0:
		return control.Why{Reason: control.Recovers, Value: a.load, Limit: calm}
	case a.load >= busy:
		return control.Why{Reason: control.Distress, Value: a.load, Limit: busy}
	case max(a.failing, a.met.mean()) > failsMuch:
		return control.Why{Reason: control.Failing, Value: max(a.failing, a.met.mean()), Limit: failsMuch}
	}
	return control.Why{Reason: control.Capacity, Value: a.each * a.power / max(a.offered, tiny), Limit: 1}
}

// push sends what differs, the most urgent first; where keys have slices or nobody lives, only withdrawals.
func (a *Assigner) push() {
	a.held = false
	if a.place(); a.facts.Slices == 0 && a.power > 0 {
		a.withdraw() // before new lines, which would take what room there is: only withdrawals have a deadline
		if a.returning() {
			a.bind(softWaiting)
		}
		a.putLines(hardWaiting)
		a.withdraw()
		a.bind(hardWaiting)
		a.levels()
		a.bind(softWaiting)
		a.putLines(softWaiting)
	}
	a.withdraw()
	if !slices.ContainsFunc(a.joined, func(p *proxy) bool { return p.lines > 0 }) {
		return
	}
	a.number, a.wroteAt = (a.number+1)&math.MaxUint16, a.now
	a.do(control.Checkpoint{Number: a.number})
	for _, p := range a.joined {
		if p.lines > 0 {
			p.sent, p.lines, p.last = p.sent+p.lines, 0, a.number
		}
	}
}

// returning tells whether proxies with tables of an earlier stream wait: their bind brings them withdrawals.
func (a *Assigner) returning() bool {
	return slices.ContainsFunc(a.joined, func(p *proxy) bool { return p.placed && p.shuts && p.table == nil })
}

// users are the joined proxies on a table, as sent; on none: on their standing ones.
func (a *Assigner) users(t *table) []*proxy {
	commons := t != nil && t.cell == nil && a.wide != 0
	on := func(p *proxy) bool { return p.table == t || commons && p.table != nil }
	return slices.DeleteFunc(slices.Clone(a.joined), func(p *proxy) bool { return !on(p) })
}

// serves tells whether a table, as sent, has a line to pick besides one server's; a warm one, if it is cold.
func (a *Assigner) serves(t *table, but *endpoint) bool {
	return slices.ContainsFunc(a.listed, func(e *endpoint) bool {
		open := e != but && e.told[t.id] > 0 && !e.out && e.usable()
		return open && (but == nil || a.cold(but) == 1 || a.cold(e) == 1)
	})
}

// withdraw shuts servers out, or lets them in again, where tables may name them; a sick one stays the last.
func (a *Assigner) withdraw() {
	unbound := a.users(nil)
	stuck := func(p *proxy) bool { return !a.facts.KeepsShut || !p.placed || !a.serves(a.due(p), nil) }
	if !slices.ContainsFunc(unbound, stuck) {
		unbound = nil // they are rather bound than told by name of all in a whole table
	}
	for _, e := range a.listed {
		if e.out != e.usable() {
			continue
		}
		holders, bare := slices.Clone(unbound), false
		held := func(p *proxy) bool { return slices.Contains(holders, p) }    // by its other table
		for _, t := range []*table{e.cell.table, a.tables[len(a.tables)-1]} { // no other names it
			if users := a.users(t); e.told[t.id] > 0 && len(users) > 0 {
				holders = append(holders, slices.DeleteFunc(users, held)...)
				bare = bare || !e.out && e.mode == control.Ready && !a.serves(t, e)
			}
		}
		if !bare && a.charge(hardWaiting, 1, holders...) {
			e.out = !e.out
			a.do(control.Suspend{Endpoint: e.id, Out: e.out, Bound: unbound == nil, Why: e.whyOut()})
		}
	}
}

// putLines brings lines of tables in use up to date; one goes after its server, so that no table runs empty.
func (a *Assigner) putLines(room float64) {
	returning := room == hardWaiting && a.returning()
	for _, t := range a.tables {
		users := a.users(t)
		belongs := func(p *proxy) bool { return p.cell == t.cell || t.cell == nil && a.wide != 0 }
		wanted := slices.ContainsFunc(a.joined, func(p *proxy) bool { return p.placed && belongs(p) })
		for _, e := range a.listed {
			want, told := a.want(t, e), e.told[t.id]
			gone := want == 0 && !e.usable()
			later := told != 0 && room == hardWaiting && (gone || want > told) || len(users) == 0 && !wanted
			later = later || returning && told == 0 || e.sick && told > 0 || gone && !e.out && len(users) > 0
			lines := 1.0
			if told == 0 && a.facts.KeepsShut {
				lines++ // that it is withdrawn, or not, is sent along
			}
			if want != told && !later && a.charge(room, lines, users...) {
				e.told[t.id] = want
				a.do(control.PutLine{Table: t.id, Endpoint: e.id, Weight: want, Why: a.whyLine(e, told, want)})
			}
		}
	}
}

// due is the table where a proxy belongs.
func (a *Assigner) due(p *proxy) *table {
	if p.cell != nil && (a.wide == 0 || a.near != 0) {
		return p.cell.table
	}
	return a.tables[len(a.tables)-1]
}

// bind puts proxies on the tables where they belong; those without a line to pick first.
func (a *Assigner) bind(room float64) {
	for _, p := range a.joined {
		t := a.due(p)
		later := room == hardWaiting && (p.table != nil && a.serves(p.table, nil) || p.table == nil && p.shuts)
		if !p.placed || p.table == t || later || !a.serves(t, nil) {
			continue
		}
		binds := []control.Bind{{Table: t.id, Proxy: p.id, OpTypes: a.near, Why: p.why}}
		if all := a.tables[len(a.tables)-1].id; p.table == nil && a.wide != 0 {
			binds = append(binds, control.Bind{Table: all, Proxy: p.id, OpTypes: a.wide, Why: p.why})
		}
		lines := float64(len(binds))
		for _, e := range a.listed {
			for _, b := range binds {
				if e.told[b.Table] > 0 && (e.out || p.shuts) {
					lines += 2 // that it is withdrawn, or not, is sent along
				} else if e.told[b.Table] > 0 {
					lines++
				}
			}
		}
		if a.charge(room, lines, p) {
			p.table = t
			for _, b := range binds {
				a.do(b)
			}
		}
	}
}

// levels sends how much is let in; no op is tried again, for in a jam further tries push cold servers over.
func (a *Assigner) levels() {
	for i := range a.ops {
		if op, level := &a.ops[i], a.level(i); level != op.level && a.charge(softWaiting, 1, a.joined...) {
			a.do(control.SetLevel{Table: control.Everywhere, OpTypes: 1 << i, Level: level,
				RetryPolicy: control.Never, Why: a.whyLevel(op.level, level)})
			op.level = level
		}
	}
}

// charge books lines if the channel has room: a message's own, its checkpoint's and the levels' come first.
func (a *Assigner) charge(room, lines float64, to ...*proxy) bool {
	head := a.facts.MessageOverheadLines + 1 + float64(len(a.ops))
	need := 0.0
	for _, p := range to {
		if need += lines; p.lines == 0 {
			need += head
		}
	}
	lane := swift * a.facts.DrainGrace.Seconds() * a.facts.LinesPerSecond
	late := room < hardWaiting && lane > 0 && a.waiting > lane
	if need > 0 && (late || a.waiting+need > room*a.facts.MaxUnconfirmedLines) {
		a.held = true
		return false
	}
	a.waiting += need
	for _, p := range to {
		p.lines = cmp.Or(p.lines, head) + lines
	}
	return true
}

package proxy

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"vetchdoor/control"
	"vetchdoor/runtime"
	"vetchdoor/session"
)

// commands returns the commands of the admin socket.
func (p *Proxy) commands() []session.Command {
	return []session.Command{
		{Prefix: "show tenant", Help: "[NAME]: tenants with a limit or a binding at this proxy", Do: p.showTenant},
		{Prefix: "show info", Help: "identity and counters of this proxy", Do: p.showInfo},
		{Prefix: "show info typed", Help: "the same in typed format", Do: func(w io.Writer, _ runtime.Command) error {
			session.WriteTyped(w, p.Info())
			return nil
		}},
		{Prefix: "show stat", Help: "servers of all tables, as CSV", Do: p.showStat},
		{Prefix: "show servers state", Help: "servers with their weights and states", Do: p.showServers},
		{Prefix: "show map", Help: "op types and the tables that they are mapped to", Do: p.showMap},
		{Prefix: "show levels", Help: "admitted level of each op type", Do: p.showLevels},
		{Prefix: "set server", Help: "*/eN state drain|ready: set a server's state manually, until the pilot changes it", Do: p.setServer},
	}
}

// Info returns the output of the admin command show info.
func (p *Proxy) Info() string {
	var b strings.Builder
	_ = p.showInfo(&b, runtime.Command{})
	return b.String()
}

// Stat returns the output of the admin command show stat.
func (p *Proxy) Stat() string {
	var b strings.Builder
	_ = p.showStat(&b, runtime.Command{})
	return b.String()
}

// TenantInfo returns the output of the admin command show tenant for one tenant.
func (p *Proxy) TenantInfo(name string) string {
	var b strings.Builder
	_ = p.showTenant(&b, runtime.Command{Words: []string{"show", "tenant", "=" + name}})
	return b.String()
}

func (p *Proxy) showInfo(w io.Writer, c runtime.Command) error {
	t := p.current.Load()
	fmt.Fprintf(w, "Name: vetchdoor\nRole: proxy\nProxy: %d\nZone: %s\nUptime_sec: %d\n", p.settings.ID, p.settings.Zone,
		int(time.Since(p.started).Seconds()))
	fmt.Fprintf(w, "Pilot: %s\nRun: %d\nMessage: %d\nJoined: %t\n", t.pilot, t.run, t.number, p.pilotClient.joined())
	fmt.Fprintf(w,
		"Ops: %d\nAcked: %d\nRejected: %d\nAborted: %d\nRetried: %d\nConnections: %d\nApplied: %d\nApplied_again: %d\n",
		p.counters.ops.Load(), p.counters.acked.Load(), p.counters.rejected.Load(), p.counters.aborted.Load(),
		p.counters.retried.Load(), p.pool.OpenConnections(), p.counters.applied.Load(), p.counters.appliedAgain.Load())
	if p.ExtraInfo != nil {
		p.ExtraInfo(w)
	}
	fmt.Fprintf(w, "Held: %d\nBorrowed: %d\nUnplaced: %d\nBindings: %d\nBindings_behind: %t\n",
		p.counters.held.Load(), p.counters.borrowed.Load(), p.counters.unplaced.Load(), len(t.bindings.byTenant),
		p.bindingStore.behind())
	return nil
}

func (p *Proxy) showTenant(w io.Writer, c runtime.Command) error {
	t, now := p.current.Load(), time.Since(p.started)
	names := map[string]bool{}
	for name := range t.limits {
		names[name] = true
	}
	for name := range t.bindings.byTenant {
		names[name] = true
	}
	if len(c.Words) > 2 {
		names = map[string]bool{runtime.TenantName(c.Words[2]): true}
	}
	fmt.Fprintln(w, "# tenant,rate,hand,fenced,room,seat,number,writes,")
	for _, name := range slices.Sorted(maps.Keys(names)) {
		limit, limited := t.limits[name]
		if !limited {
			limit = unlimited
		}
		binding, writes := t.bindings.byTenant[name], "open"
		if _, bound := t.bindings.byTenant[name]; bound && !binding.AllowsWrites(now, t.bindings.writeWait) {
			writes = "held"
		}
		fmt.Fprintf(w, "%s,%g,%g,%t,%g,%s,%d,%s,\n", runtime.Quote("="+name), limit.Rate, limit.Hand,
			limit.Fenced, limit.Room, binding.Placement, binding.Number, writes)
	}
	return nil
}

// forEachTable calls f once for each table in force: the standing table first, then the tables that op types are mapped to,
// then the other named tables by ID.
func (t *tables) forEachTable(f func(*table)) {
	f(t.standing)
	seen := map[*table]bool{t.standing: true}
	for _, tbl := range t.byOpType {
		if !seen[tbl] {
			seen[tbl] = true
			f(tbl)
		}
	}
	var ids []control.TableID
	for id := range t.named {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		if tbl := t.named[id]; !seen[tbl] {
			f(tbl)
		}
	}
}

// status returns a server's state as the admin commands print it: DRAIN if it is withdrawn, DOWN if the proxy avoids it,
// else UP.
func (t *tables) status(e *server, now time.Time) string {
	switch {
	case t.drained[e.id]:
		return "DRAIN"
	case e.avoided(now):
		return "DOWN"
	}
	return "UP"
}

func (p *Proxy) showStat(w io.Writer, c runtime.Command) error {
	t, now := p.current.Load(), time.Now()
	fmt.Fprintln(w, "# pxname,svname,status,weight,addr,")
	t.forEachTable(func(tbl *table) {
		for _, l := range tbl.lines {
			fmt.Fprintf(w, "%s,e%d,%s,%g,%s,\n", tbl.name, l.server.id, t.status(l.server, now), l.weight, l.server.address)
		}
	})
	return nil
}

func (p *Proxy) showServers(w io.Writer, c runtime.Command) error {
	t, now := p.current.Load(), time.Now()
	fmt.Fprintln(w, "1\n# be_name srv_name srv_addr srv_port srv_uweight srv_op_state srv_zone srv_pack")
	t.forEachTable(func(tbl *table) {
		for _, l := range tbl.lines {
			e := l.server
			fmt.Fprintf(w, "%s e%d %s %d %g %s %d %d\n", tbl.name, e.id, e.Address.Addr(), e.Address.Port(), l.weight,
				t.status(e, now), e.Zone, e.Pack)
		}
	})
	return nil
}

func (p *Proxy) showMap(w io.Writer, c runtime.Command) error {
	t := p.current.Load()
	for i, tbl := range t.byOpType {
		fmt.Fprintf(w, "%d %s %s\n", i, p.opTypes[i].name, tbl.name)
	}
	return nil
}

func (p *Proxy) showLevels(w io.Writer, c runtime.Command) error {
	t := p.current.Load()
	for i := range p.opTypes {
		lvl := t.level(i, p.settings.Service.DefaultRetryPolicy())
		fmt.Fprintf(w, "%d %s %g %d\n", i, p.opTypes[i].name, lvl.share, lvl.retry)
	}
	return nil
}

// setServer drains a server or makes it ready on an operator's command. The state holds until the pilot changes it.
func (p *Proxy) setServer(w io.Writer, c runtime.Command) error {
	change, err := runtime.ParseChange(c.Words)
	if err != nil {
		return err
	}
	if change.Verb != runtime.SetState {
		return fmt.Errorf("weights are the pilot's; only %s", strings.TrimSpace("set server */eN state drain|ready"))
	}
	p.mu.Lock() // no message of the pilot may be applied between reading the tables and changing them
	defer p.mu.Unlock()
	t := p.current.Load()
	return p.applyLocked(&runtime.Message{Pilot: t.pilot, Run: t.run, Number: t.number, Changes: []runtime.Change{change}})
}

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

// commands are those of the socket for people.
func (p *Proxy) commands() []session.Command {
	return []session.Command{
		{Prefix: "show tenant", Help: "[NAME]: tenants with a limit or a binding, as this proxy has them", Do: p.showTenant},
		{Prefix: "show info", Help: "what this proxy is and has done", Do: p.showInfo},
		{Prefix: "show info typed", Help: "the same in the typed form", Do: func(w io.Writer, _ runtime.Command) error {
			session.Typed(w, p.Info())
			return nil
		}},
		{Prefix: "show stat", Help: "each server of each table, as CSV", Do: p.showStat},
		{Prefix: "show servers state", Help: "servers with their weights and states", Do: p.showServers},
		{Prefix: "show map", Help: "op types and the tables that they go by", Do: p.showMap},
		{Prefix: "show levels", Help: "how much of each op type is let in", Do: p.showLevels},
		{Prefix: "set server", Help: "*/eN state drain|ready: by hand, until the pilot says otherwise", Do: p.setServer},
	}
}

// Info is what show info prints.
func (p *Proxy) Info() string {
	var b strings.Builder
	_ = p.showInfo(&b, runtime.Command{})
	return b.String()
}

// Stat is what show stat prints.
func (p *Proxy) Stat() string {
	var b strings.Builder
	_ = p.showStat(&b, runtime.Command{})
	return b.String()
}

// TenantInfo is what show tenant prints of one.
func (p *Proxy) TenantInfo(name string) string {
	var b strings.Builder
	_ = p.showTenant(&b, runtime.Command{Words: []string{"show", "tenant", "=" + name}})
	return b.String()
}

func (p *Proxy) showInfo(w io.Writer, c runtime.Command) error {
	t := p.now.Load()
	fmt.Fprintf(w, "Name: vetchdoor\nRole: proxy\nProxy: %d\nZone: %s\nUptime_sec: %d\n", p.file.ID, p.file.Zone,
		int(time.Since(p.started).Seconds()))
	fmt.Fprintf(w, "Pilot: %s\nRun: %d\nMessage: %d\nJoined: %t\n", t.pilot, t.run, t.number, p.orders.joined())
	fmt.Fprintf(w, "Ops: %d\nAcked: %d\nRejected: %d\nAborted: %d\nRetried: %d\nConnections: %d\nApplied: %d\nApplied_again: %d\n", p.tally.ops.Load(),
		p.tally.acked.Load(), p.tally.rejected.Load(), p.tally.aborted.Load(), p.tally.retried.Load(), p.pool.OpenConnections(),
		p.tally.applied.Load(), p.tally.again.Load())
	if p.More != nil {
		p.More(w)
	}
	fmt.Fprintf(w, "Held: %d\nBorrowed: %d\nUnplaced: %d\nBindings: %d\nBindings_behind: %t\n", p.tally.held.Load(), p.tally.borrowed.Load(),
		p.tally.unplaced.Load(), len(t.bindings.of), p.keeper.behind())
	return nil
}

func (p *Proxy) showTenant(w io.Writer, c runtime.Command) error {
	t, now := p.now.Load(), time.Since(p.started)
	names := map[string]bool{}
	for name := range t.limits {
		names[name] = true
	}
	for name := range t.bindings.of {
		names[name] = true
	}
	if len(c.Words) > 2 {
		names = map[string]bool{runtime.TenantName(c.Words[2]): true}
	}
	fmt.Fprintln(w, "# tenant,rate,hand,fenced,room,seat,number,writes,")
	for _, name := range slices.Sorted(maps.Keys(names)) {
		l, limited := t.limits[name]
		if !limited {
			l = unlimited
		}
		b, writes := t.bindings.of[name], "open"
		if _, bound := t.bindings.of[name]; bound && !b.AllowsWrites(now, t.bindings.wait) {
			writes = "held"
		}
		fmt.Fprintf(w, "%s,%g,%g,%t,%g,%s,%d,%s,\n", runtime.Quote("="+name), l.Rate, l.Hand, l.Fenced, l.Room, b.Placement, b.Number, writes)
	}
	return nil
}

// each calls f for each table in force, the standing one first.
func (t *tables) each(f func(*table)) {
	f(t.standing)
	seen := map[*table]bool{t.standing: true}
	for _, x := range t.byType {
		if !seen[x] {
			seen[x] = true
			f(x)
		}
	}
	var ids []control.TableID
	for id := range t.named {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		if x := t.named[id]; !seen[x] {
			f(x)
		}
	}
}

func (t *tables) status(e *server, now time.Time) string {
	switch {
	case t.out[e.id]:
		return "DRAIN"
	case e.avoided(now):
		return "DOWN"
	}
	return "UP"
}

func (p *Proxy) showStat(w io.Writer, c runtime.Command) error {
	t, now := p.now.Load(), time.Now()
	fmt.Fprintln(w, "# pxname,svname,status,weight,addr,")
	t.each(func(x *table) {
		for _, l := range x.lines {
			fmt.Fprintf(w, "%s,e%d,%s,%g,%s,\n", x.name, l.server.id, t.status(l.server, now), l.weight, l.server.address)
		}
	})
	return nil
}

func (p *Proxy) showServers(w io.Writer, c runtime.Command) error {
	t, now := p.now.Load(), time.Now()
	fmt.Fprintln(w, "1\n# be_name srv_name srv_addr srv_port srv_uweight srv_op_state srv_zone srv_pack")
	t.each(func(x *table) {
		for _, l := range x.lines {
			e := l.server
			fmt.Fprintf(w, "%s e%d %s %d %g %s %d %d\n", x.name, e.id, e.Address.Addr(), e.Address.Port(), l.weight,
				t.status(e, now), e.Zone, e.Pack)
		}
	})
	return nil
}

func (p *Proxy) showMap(w io.Writer, c runtime.Command) error {
	t := p.now.Load()
	for i, x := range t.byType {
		fmt.Fprintf(w, "%d %s %s\n", i, p.types[i].name, x.name)
	}
	return nil
}

func (p *Proxy) showLevels(w io.Writer, c runtime.Command) error {
	t := p.now.Load()
	for i := range p.types {
		l := t.level(i, p.file.Service.DefaultRetryPolicy())
		fmt.Fprintf(w, "%d %s %g %d\n", i, p.types[i].name, l.share, l.again)
	}
	return nil
}

func (p *Proxy) setServer(w io.Writer, c runtime.Command) error {
	change, err := runtime.ParseChange(c.Words)
	if err != nil {
		return err
	}
	if change.Verb != runtime.SetState {
		return fmt.Errorf("weights are the pilot's; only %s", strings.TrimSpace("set server */eN state drain|ready"))
	}
	p.mu.Lock() // no message of the pilot's between what is read and what is written
	defer p.mu.Unlock()
	t := p.now.Load()
	return p.bring(&runtime.Message{Pilot: t.pilot, Run: t.run, Number: t.number, Changes: []runtime.Change{change}})
}

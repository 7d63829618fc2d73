package pilot

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"vetchdoor/control"
	"vetchdoor/runtime"
	sessions "vetchdoor/session"
)

func (p *Pilot) commands() []sessions.Command {
	inLoop := func(f func(io.Writer)) func(io.Writer, runtime.Command) error {
		return func(w io.Writer, _ runtime.Command) error {
			done := make(chan struct{})
			if !p.post(func() { f(w); close(done) }) {
				return fmt.Errorf("the pilot has ended")
			}
			select {
			case <-done:
			case <-p.host.Stopped():
			}
			return nil
		}
	}
	inLoopOf := func(f func(io.Writer, []string) error) func(io.Writer, runtime.Command) error {
		return func(w io.Writer, c runtime.Command) (err error) {
			if other := inLoop(func(w io.Writer) { err = f(w, c.Words) })(w, c); other != nil {
				return other
			}
			return err
		}
	}
	return slices.Concat(p.tenantCommands(inLoopOf), p.fleetCommands(inLoopOf), []sessions.Command{
		{Prefix: "show info", Help: "what this pilot is and has done", Do: inLoop(p.showInfo)},
		{Prefix: "show info typed", Help: "the same in the typed form", Do: inLoop(func(w io.Writer) {
			var b strings.Builder
			p.showInfo(&b)
			sessions.Typed(w, b.String())
		})},
		{Prefix: "show stat", Help: "each server of each table, as CSV", Do: inLoop(p.showStat)},
		{Prefix: "show servers state", Help: "the list of servers as this pilot has it", Do: inLoop(p.showServers)},
		{Prefix: "show proxies", Help: "joined proxies, their tables, what they have not confirmed", Do: inLoop(p.showProxies)},
		{Prefix: "show levels", Help: "how much of each op type is let in", Do: inLoop(p.showLevels)},
	})
}

func (p *Pilot) showInfo(w io.Writer) {
	away := 0
	for _, s := range p.sessions {
		if s.conn == nil {
			away++
		}
	}
	fmt.Fprintf(w, "Name: vetchdoor\nRole: pilot\nPilot: %s\nZone: %s\nRun: %d\nUptime_sec: %d\n", p.file.Name, p.file.Zone,
		p.run, int(time.Since(p.host.Born()).Seconds()))
	fmt.Fprintf(w, "List_version: %d\nServers: %d\nProxies: %d\nProxies_away: %d\nTables: %d\n", p.version,
		len(p.sortedList()), len(p.sessions), away, len(p.desired.tables))
	fmt.Fprintf(w, "Batches: %d\nDeciding_ms: %d\nMessages: %d\nLines: %d\nLines_waiting: %d\nLines_waiting_peak: %d\n",
		p.host.Batches, p.host.Deciding.Milliseconds(), p.messages, p.lines, p.channel.waiting, p.channel.peak)
	from := p.fresher
	if from == "" {
		from = "none"
	}
	fmt.Fprintf(w, "Lines_saved: %d\nList_from: %s\nLeaving: %t\nSent_elsewhere: %d\n", p.desired.saved, from, p.leaving, p.redirected)
	fmt.Fprintf(w, "Resumed: %d\nRefused: %d\nOverflows: %d\nPanics: %d\n", p.resumed, p.refused, p.overflows, p.host.Panics)
	if p.WriteInfo != nil {
		p.WriteInfo(w)
	}
	if m := p.mover; m != nil {
		moving, waiting := m.Moving(p.host.Now())
		fmt.Fprintf(w, "Moves: %d\nMoves_waiting: %d\nMoved: %d\nMoves_cancelled: %d\nBindings_waiting: %d\n", len(moving), waiting, m.moved, m.undone, m.waiting())
	}
}

func (p *Pilot) showStat(w io.Writer) {
	fmt.Fprintln(w, "# pxname,svname,status,weight,addr,")
	for _, id := range slices.Sorted(maps.Keys(p.desired.tables)) {
		t := p.desired.tables[id]
		for _, e := range slices.Sorted(maps.Keys(t.lines)) {
			status := "UP"
			if p.desired.out[e] {
				status = "DRAIN"
			}
			at, _ := p.where(e)
			fmt.Fprintf(w, "t%d,e%d,%s,%g,%s,\n", id, e, status, t.lines[e], at.Address)
		}
	}
}

func (p *Pilot) showServers(w io.Writer) {
	fmt.Fprintln(w, "1\n# srv_name srv_addr srv_port srv_uweight srv_mode srv_zone srv_pack withdrawn")
	for _, e := range p.sortedList() {
		fmt.Fprintf(w, "e%d %s %d %g %s %s %d %t\n", e.Endpoint, e.Address.Addr(), e.Address.Port(), e.Weight, e.Mode,
			e.Zone, e.Pack, p.desired.out[e.Endpoint])
	}
}

func (p *Pilot) showProxies(w io.Writer) {
	fmt.Fprintln(w, "# proxy,zone,rate,state,tables,unconfirmed,")
	for _, id := range slices.Sorted(maps.Keys(p.sessions)) {
		s, state, tables := p.sessions[id], "joined", ""
		if s.conn == nil {
			state = "away"
		}
		for _, t := range p.desired.proxies[id].bound {
			if t == nil {
				tables += " standing"
			} else {
				tables += fmt.Sprintf(" t%d", t.id)
			}
		}
		fmt.Fprintf(w, "%d,%s,%g,%s,%s,%d,\n", id, p.file.Service.Zones[s.zone], s.rate, state, tables[1:], s.unconfirmed)
	}
}

func (p *Pilot) showLevels(w io.Writer) {
	for i, t := range p.file.Service.OpTypes {
		l, ok := p.desired.all[i]
		if !ok {
			l = runtime.Change{Level: 1, RetryPolicy: control.Never}
		}
		fmt.Fprintf(w, "%d %s %g\n", i, t.Name, l.Level)
	}
}

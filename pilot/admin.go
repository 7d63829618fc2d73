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

// commands returns the commands of the admin listener.
func (p *Pilot) commands() []sessions.Command {
	onLoop := func(f func(io.Writer)) func(io.Writer, runtime.Command) error {
		return func(w io.Writer, _ runtime.Command) error {
			done := make(chan struct{})
			if !p.post(func() { f(w); close(done) }) {
				return fmt.Errorf("the pilot has stopped")
			}
			select {
			case <-done:
			case <-p.host.Stopped():
			}
			return nil
		}
	}
	onLoopWithWords := func(f func(io.Writer, []string) error) func(io.Writer, runtime.Command) error {
		return func(w io.Writer, c runtime.Command) (err error) {
			if loopErr := onLoop(func(w io.Writer) { err = f(w, c.Words) })(w, c); loopErr != nil {
				return loopErr
			}
			return err
		}
	}
	return slices.Concat(p.tenantCommands(onLoopWithWords), p.fleetCommands(onLoopWithWords), []sessions.Command{
		{Prefix: "show info", Help: "identity and counters of this pilot", Do: onLoop(p.showInfo)},
		{Prefix: "show info typed", Help: "the same in typed format", Do: onLoop(func(w io.Writer) {
			var b strings.Builder
			p.showInfo(&b)
			sessions.WriteTyped(w, b.String())
		})},
		{Prefix: "show stat", Help: "servers of all tables, as CSV", Do: onLoop(p.showStat)},
		{Prefix: "show servers state", Help: "the server list of this pilot", Do: onLoop(p.showServers)},
		{Prefix: "show proxies", Help: "joined proxies, their tables and unconfirmed lines", Do: onLoop(p.showProxies)},
		{Prefix: "show levels", Help: "admitted level of each op type", Do: onLoop(p.showLevels)},
	})
}

// showInfo writes the pilot's identity and counters, one "Name: value" per line.
func (p *Pilot) showInfo(w io.Writer) {
	away := 0
	for _, s := range p.sessions {
		if s.conn == nil {
			away++
		}
	}
	fmt.Fprintf(w, "Name: vetchdoor\nRole: pilot\nPilot: %s\nZone: %s\nRun: %d\nUptime_sec: %d\n", p.file.Name, p.file.Zone,
		p.run, int(time.Since(p.host.Epoch()).Seconds()))
	fmt.Fprintf(w, "List_version: %d\nServers: %d\nProxies: %d\nProxies_away: %d\nTables: %d\n", p.listVersion,
		len(p.sortedList()), len(p.sessions), away, len(p.desired.tables))
	fmt.Fprintf(w, "Batches: %d\nDeciding_ms: %d\nMessages: %d\nLines: %d\nLines_waiting: %d\nLines_waiting_peak: %d\n",
		p.host.Batches, p.host.DecideTime.Milliseconds(), p.messages, p.lines, p.channel.waitingLines, p.channel.peakLines)
	from := p.listOrigin
	if from == "" {
		from = "none"
	}
	fmt.Fprintf(w, "Lines_saved: %d\nList_from: %s\nLeaving: %t\nSent_elsewhere: %d\n", p.desired.savedLines, from, p.leaving,
		p.redirected)
	fmt.Fprintf(w, "Resumed: %d\nRefused: %d\nOverflows: %d\nPanics: %d\n", p.resumed, p.refused, p.overflows, p.host.Panics)
	if p.WriteInfo != nil {
		p.WriteInfo(w)
	}
	if m := p.mover; m != nil {
		moving, waiting := m.ActiveMoves(p.host.Now())
		fmt.Fprintf(w, "Moves: %d\nMoves_waiting: %d\nMoved: %d\nMoves_cancelled: %d\nBindings_waiting: %d\n", len(moving), waiting,
			m.moved, m.cancelled, m.waitingUpdates())
	}
}

// showStat writes each server of each table as CSV, in the columns of HAProxy's show stat that apply.
func (p *Pilot) showStat(w io.Writer) {
	fmt.Fprintln(w, "# pxname,svname,status,weight,addr,")
	for _, id := range slices.Sorted(maps.Keys(p.desired.tables)) {
		t := p.desired.tables[id]
		for _, e := range slices.Sorted(maps.Keys(t.lines)) {
			status := "UP"
			if p.desired.withdrawn[e] {
				status = "DRAIN"
			}
			at, _ := p.serverOf(e)
			fmt.Fprintf(w, "t%d,e%d,%s,%g,%s,\n", id, e, status, t.lines[e], at.Address)
		}
	}
}

// showServers writes the server list in the style of HAProxy's show servers state.
func (p *Pilot) showServers(w io.Writer) {
	fmt.Fprintln(w, "1\n# srv_name srv_addr srv_port srv_uweight srv_mode srv_zone srv_pack withdrawn")
	for _, e := range p.sortedList() {
		fmt.Fprintf(w, "e%d %s %d %g %s %s %d %t\n", e.Endpoint, e.Address.Addr(), e.Address.Port(), e.Weight, e.Mode,
			e.Zone, e.Pack, p.desired.withdrawn[e.Endpoint])
	}
}

// showProxies writes the joined proxies as CSV.
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
		fmt.Fprintf(w, "%d,%s,%g,%s,%s,%d,\n", id, p.file.Service.Zones[s.zone], s.rate, state, tables[1:], s.unconfirmedLines)
	}
}

// showLevels writes the level of each op type that applies to all tables.
func (p *Pilot) showLevels(w io.Writer) {
	for i, t := range p.file.Service.OpTypes {
		l, ok := p.desired.globalLevels[i]
		if !ok {
			l = runtime.Change{Level: 1, RetryPolicy: control.RetryNever}
		}
		fmt.Fprintf(w, "%d %s %g\n", i, t.Name, l.Level)
	}
}

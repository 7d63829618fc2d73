package lab

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"vetchdoor/files"
	"vetchdoor/lab/link"
	"vetchdoor/lab/node"
	"vetchdoor/upstream"
)

// The tests below guard against duplicate effects of deduplicated writes. The connection between client and proxy breaks
// before the response arrives, and the client repeats the write with the same key, within the window, through another proxy
// or the same one. The write must take effect once, whichever servers the tables of the proxies contain.

const (
	repeatedWrites = 40
	maxRefused     = 0                // number of repeats that a proxy may refuse although it reaches the group of the first try
	repeatWindow   = 20 * time.Second // far longer than the time from the first try of a case to its last repeat
	firstRepeated  = 1_000_000        // number of a case's first write, above the numbers of the load's ops
	tallyType      = 1                // index of the op type whose repeats the servers drop
)

// repeatCase describes a fleet and the proxies through which a write is tried first and repeated.
type repeatCase struct {
	name          string
	group         string  // dedup group: servers that drop each other's repeats
	crossZone     float64 // price of crossing zones: oneTable or tablesByZone
	servers       []files.NodeAt
	unlisted      int // number of servers at the end of servers that are not in the list at first
	tenants       *files.Tenants
	first, second int               // indexes of the proxies of the first tries and of the repeats
	before        func(f *simFleet) // runs before the first tries; may be nil
	between       func(f *simFleet) // runs between the first tries and the repeats; may be nil
	tablesDiffer  bool              // whether the first proxy's first tries must use another table than the repeats
}

// repeatOutcome counts what happened to a case's repeats.
type repeatOutcome struct {
	doubled   int // writes that took effect more than once
	refused   int // repeats refused by a proxy that reaches the group of the first try
	unreached int // repeats refused by a proxy that does not reach that group
}

// Prices of crossing zones, for repeatCase.crossZone. With oneTable a cell spans both zones and all proxies use equal
// tables; with tablesByZone each zone has a cell of its own.
const (
	oneTable     = 0
	tablesByZone = 0.08
)

// serversInPacks returns n servers in alternating zones, each in a pack of its own, numbered from 0 in each zone.
func serversInPacks(n int) (out []files.NodeAt) {
	for i := range n {
		out = append(out, files.NodeAt{Zone: string(rune('a' + i%2)), Pack: i / 2})
	}
	return out
}

// withSubset returns tenant settings under which each tenant may use the given number of pods.
func withSubset(of int) *files.Tenants { return &files.Tenants{Header: tenantHeader, Subset: of} }

// play sends all first tries, whose responses are lost, and then all repeats, and counts the outcome in seen.
func (c repeatCase) play(t *testing.T, seen *repeatOutcome) {
	withSimFleet(t, variant{servers: c.servers, unlisted: c.unlisted, tenants: c.tenants, day: func(d *files.Day) {
		d.Service.CrossZonePrice = c.crossZone
		d.Service.OpTypes[tallyType].Group, d.Service.OpTypes[tallyType].DedupWindow = c.group, files.Duration(repeatWindow)
	}}, func(f *simFleet) {
		routes := [2]*link.MemoryLink{}
		for try, proxy := range []int{c.first, c.second} {
			routes[try] = &link.MemoryLink{Name: fmt.Sprint("client ", try), Target: f.generator.targets[proxy]}
			f.net.AddLink(fmt.Sprint("client-", try), routes[try])
		}
		if c.before != nil {
			c.before(f)
		}
		tableAtFirstTries := f.tableInUse(c.first)
		begin := time.Now()
		var writes []*op
		for i := range repeatedWrites {
			writes = append(writes, &op{number: uint64(firstRepeated + i), opType: tallyType, tenant: 1 + i, work: 2 * time.Millisecond})
			routes[0].BreakAfter(link.Down, 1)
			if status := f.send(writes[i], "client-0"); status != 0 {
				f.t.Errorf("write %d: the response to the first try was not lost: %d", i, status)
			}
		}
		if c.between != nil {
			c.between(f)
		}
		tableAtRepeats, reached := f.tableInUse(c.second), f.reachableGroups(c.second)
		if same := tableAtFirstTries == tableAtRepeats; same == c.tablesDiffer {
			f.t.Errorf("equal tables: %t; at the first tries %s, at the repeats %s", same, tableAtFirstTries, tableAtRepeats)
		}
		for i, o := range writes {
			switch status := f.send(o, "client-1"); status {
			case 200:
			case 503:
				if reached[f.firstGroup(o)] {
					seen.refused++
				} else {
					seen.unreached++
				}
			default:
				f.t.Errorf("write %d: the repeat got status %d", i, status)
			}
		}
		if took := time.Since(begin); took > repeatWindow/2 {
			f.t.Errorf("the repeats took %v, so the window may be over", took)
		}
		time.Sleep(time.Second)
		seen.doubled = f.countDuplicated(writes)
		f.t.Logf("first tries by proxy %d, its table %s; repeats by proxy %d, its table %s", c.first, tableAtFirstTries,
			c.second, tableAtRepeats)
		f.t.Logf("of %d writes %d took effect twice; %d repeats refused with the group reachable, %d without; tries: %s",
			len(writes), seen.doubled, seen.refused, seen.unreached, f.routeCounts())
	})
}

// send sends a try of an op over a route and returns the status of the response, or 0 if none came.
func (f *simFleet) send(o *op, route string) int {
	req := f.generator.request(o)
	o.tries++
	a, fail := f.generator.pool.Send(&upstream.Call{}, route, req, time.Now().Add(2*time.Second), false)
	if fail != nil {
		return 0
	}
	defer a.Release()
	return a.Status
}

// countDuplicated returns the number of writes with more than one effect. A write without any effect is an error, because
// the case would then prove nothing.
func (f *simFleet) countDuplicated(writes []*op) (count int) {
	effects := map[uint64]int{}
	for _, e := range f.ledger.Effects() {
		effects[e.Op]++
	}
	for _, o := range writes {
		if effects[o.number] == 0 {
			f.t.Errorf("write %d took no effect", o.number)
		}
		if effects[o.number] > 1 {
			count++
		}
	}
	return count
}

// tableInUse describes the table that a proxy uses, as endpoint, zone and pack of each server: the first table in the
// proxy's stat output that came from a pilot, or the standing table if there is none.
func (f *simFleet) tableInUse(proxy int) string {
	var out []string
	table := "standing"
	for _, line := range strings.Split(f.proxies[proxy].Stat(), "\n")[1:] {
		fields := strings.Split(line, ",")
		if table == "standing" && len(fields) > 1 && fields[0] != table {
			table, out = fields[0], nil
		}
		if fields[0] != table {
			continue
		}
		var id int
		if _, err := fmt.Sscanf(fields[1], "e%d", &id); err != nil {
			f.t.Error(err)
		}
		out = append(out, fmt.Sprintf("%s=%s%s", fields[1], f.group(id), strings.TrimPrefix(" "+fields[2], " UP")))
	}
	return table + "{" + strings.Join(out, ", ") + "}"
}

// reachableGroups returns the groups of which a proxy has a server to pick, in any table from a pilot, or in its standing
// table if it has no other.
func (f *simFleet) reachableGroups(proxy int) map[string]bool {
	standing, given := map[string]bool{}, map[string]bool{}
	for _, line := range strings.Split(f.proxies[proxy].Stat(), "\n")[1:] {
		fields := strings.Split(line, ",")
		var id int
		if len(fields) < 3 || fields[2] != "UP" {
			continue
		}
		if _, err := fmt.Sscanf(fields[1], "e%d", &id); err != nil {
			f.t.Error(err)
		}
		if fields[0] == "standing" {
			standing[f.group(id)] = true
		} else {
			given[f.group(id)] = true
		}
	}
	if len(given) == 0 {
		return standing
	}
	return given
}

// firstGroup returns the group that received an op's first try.
func (f *simFleet) firstGroup(o *op) string {
	for _, a := range f.ledger.Arrivals() {
		if a.Op == o.number {
			return f.group(int(a.Endpoint))
		}
	}
	return ""
}

// group returns the zone and pack of a server.
func (f *simFleet) group(id int) string {
	at := f.nodes[id].Config()
	return fmt.Sprintf("%s.%d", at.Zone, at.Pack)
}

// routeCounts describes which proxies and groups the tries of the repeated writes went through, with the number of writes
// for each sequence.
func (f *simFleet) routeCounts() string {
	way, count := map[uint64]string{}, map[string]int{}
	for _, a := range f.ledger.Arrivals() {
		if a.Op >= firstRepeated && a.OpType == tallyType {
			way[a.Op] += fmt.Sprintf(" p%d>%s", a.Proxy, f.group(int(a.Endpoint)))
		}
	}
	for _, w := range way {
		count[w]++
	}
	var out []string
	for _, w := range slices.Sorted(maps.Keys(count)) {
		out = append(out, fmt.Sprintf("%d x%s", count[w], w))
	}
	return strings.Join(out, "; ")
}

// waitForHomePilots waits until each proxy is joined to the pilot of its own zone.
func (f *simFleet) waitForHomePilots() {
	for i, p := range f.proxies {
		own := fmt.Sprintf("\nPilot: pilot-%d\n", i%2)
		for end := time.Now().Add(30 * time.Second); !strings.Contains(p.Info(), own); time.Sleep(100 * time.Millisecond) {
			if time.Now().After(end) {
				f.t.Fatalf("proxy %d is not joined to the pilot of its zone: %s", i, p.Info())
			}
		}
	}
}

// The functions below are the events of repeat cases, for the fields before and between of repeatCase.

// waitForOwnCell waits until the proxies that the first load reports had moved to another cell are back.
func waitForOwnCell(*simFleet) { time.Sleep(3 * time.Second) }

// announceLast adds the last server to the list and waits until the pilots have passed it on to their proxies.
func announceLast(f *simFleet) {
	f.list.Set(f.entry(len(f.nodes)-1, "ready", 1))
	time.Sleep(2 * time.Second)
}

// announceLastToOnePilot adds the last server to the list while the second pilot receives no list changes.
func announceLastToOnePilot(f *simFleet) {
	f.waitForHomePilots()
	f.lists[1].DropDirection(link.Down)
	announceLast(f)
}

// restartProxyIsolated cuts the first proxy off from all pilots and restarts it.
func restartProxyIsolated(f *simFleet) {
	for _, r := range f.routes[0] {
		r.DropDirection(link.Down)
	}
	f.proxies[0].Kill()
	f.startProxy(0)
}

// serveReads sends reads of each tenant through the second proxy, so that the proxy lets the tenants borrow pods.
func serveReads(f *simFleet) {
	const reads = 6
	for i := range repeatedWrites {
		for range reads {
			if status := f.send(&op{number: firstRepeated + repeatedWrites, tenant: 1 + i, work: time.Millisecond},
				"client-1"); status != 200 {
				f.t.Errorf("a read got status %d", status)
			}
		}
	}
}

// drainTwo makes two servers drain.
func drainTwo(f *simFleet) {
	f.list.Set(f.entry(0, "draining", 1), f.entry(1, "draining", 1))
	time.Sleep(time.Second)
}

// loseAnswers returns an event that makes all servers lose a share of their responses on the way to the proxies.
func loseAnswers(share float64) func(f *simFleet) {
	return func(f *simFleet) {
		for _, n := range f.nodes {
			n.UpdateFaults(func(t *node.Faults) { t.LostAnswerShare = share })
		}
	}
}

// runRepeatCases plays the cases and describes those in which writes took effect twice or more than maxRefused repeats were
// refused; empty for none.
func runRepeatCases(t *testing.T, cases ...repeatCase) string {
	var out []string
	for _, c := range cases {
		var seen repeatOutcome
		t.Run(c.name, func(t *testing.T) { c.play(t, &seen) })
		if seen.doubled > 0 || seen.refused > maxRefused {
			out = append(out, fmt.Sprintf("%s: of %d writes %d took effect twice, and %d repeats were refused", c.name, repeatedWrites,
				seen.doubled, seen.refused))
		}
	}
	return strings.Join(out, "; ")
}

// TestRepeatsInOneGroup covers proxies that use equal tables in which a write has one group: no repeat takes effect again,
// whether the response was lost between server and proxy or between proxy and client.
func TestRepeatsInOneGroup(t *testing.T) {
	onePack := repeatCase{name: "one pack", group: "pack", crossZone: oneTable, servers: serversInPacks(6),
		tenants: withSubset(1), second: 1}
	oneZone := repeatCase{name: "one zone", group: "zone", crossZone: tablesByZone, second: 2, before: waitForOwnCell}
	lost := func(c repeatCase) repeatCase {
		before := c.before
		c.name, c.between = c.name+", response lost by the server", loseAnswers(0)
		c.before = func(f *simFleet) {
			if before != nil {
				before(f)
			}
			loseAnswers(1)(f)
		}
		return c
	}
	if failures := runRepeatCases(t, onePack, oneZone, lost(onePack), lost(oneZone)); failures != "" {
		t.Error(failures)
	}
}

// TestRepeatsAcrossZones covers tries through proxies of two zones, with a table for each zone and with one table of both
// zones.
func TestRepeatsAcrossZones(t *testing.T) {
	failures := runRepeatCases(t,
		repeatCase{name: "a table for each zone", group: "zone", crossZone: tablesByZone, second: 1, before: waitForOwnCell,
			tablesDiffer: true},
		repeatCase{name: "one table", group: "zone", crossZone: oneTable, second: 1},
		repeatCase{name: "one table, one proxy", group: "zone", crossZone: oneTable})
	if failures != "" {
		t.Error(failures)
	}
}

// TestRepeatsAcrossPacks covers tables in which the tenant may use several packs, so that one proxy could send the tries of
// a write to different packs.
func TestRepeatsAcrossPacks(t *testing.T) {
	failures := runRepeatCases(t,
		repeatCase{name: "no tenants", group: "pack", crossZone: oneTable, servers: serversInPacks(6)},
		repeatCase{name: "no subsets", group: "pack", crossZone: oneTable, servers: serversInPacks(6), tenants: withSubset(0)},
		repeatCase{name: "subsets of two", group: "pack", crossZone: oneTable, servers: serversInPacks(6), tenants: withSubset(2)})
	if failures != "" {
		t.Error(failures)
	}
}

// TestRepeatsAcrossTables covers tenants with one pack that differs between tables: because only one pilot has received a
// new server, because a proxy receives it between the tries, or because a proxy restarts and uses its standing table.
func TestRepeatsAcrossTables(t *testing.T) {
	c := repeatCase{group: "pack", crossZone: oneTable, servers: serversInPacks(7), unlisted: 1, tenants: withSubset(1),
		tablesDiffer: true}
	onePilotInformed, proxyInformed, proxyRestarted := c, c, c
	onePilotInformed.name, onePilotInformed.second, onePilotInformed.before = "only one pilot received the new server", 1,
		announceLastToOnePilot
	proxyInformed.name, proxyInformed.between = "one proxy, new server between the tries", announceLast
	proxyRestarted.name, proxyRestarted.between = "one proxy, restarted between the tries", restartProxyIsolated
	failures := runRepeatCases(t, onePilotInformed, proxyInformed, proxyRestarted)
	if failures != "" {
		t.Error(failures)
	}
}

// TestRepeatsThatBorrow covers a tenant whose pack drains between the tries, while the second proxy, which has sent no
// write of the tenant, lends it another pack.
func TestRepeatsThatBorrow(t *testing.T) {
	failures := runRepeatCases(t, repeatCase{name: "borrowed", group: "pack", crossZone: oneTable, servers: serversInPacks(6),
		tenants: withSubset(1), second: 1, before: serveReads, between: drainTwo, tablesDiffer: true})
	if failures != "" {
		t.Error(failures)
	}
}

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

// A client sends a write that servers deduplicate and loses its answer, for the connection to the proxy breaks; it repeats the
// write with the same key, inside the window, through another proxy or the same one. Whatever the proxies' tables hold, the write
// takes effect once.

const (
	repeatedWrites = 40
	refusedMost    = 0                // so many repeats may be refused whose group their proxy reaches
	repeatWindow   = 20 * time.Second // far longer than a case takes from its first try to its last repeat
	firstRepeated  = 1_000_000        // the number of a case's first write, beyond those of the load
	tallyType      = 1                // the place of the op type whose repeats are dropped
)

// repeatCase is a fleet and the proxies through which a write goes first and again.
type repeatCase struct {
	name          string
	group         string // of servers that drop each other's repeats
	crossZone     float64
	servers       []files.NodeAt
	unlisted      int
	tenants       *files.Tenants
	first, second int
	before        func(f *tiny) // the first tries; may be nil
	between       func(f *tiny) // them and the repeats; may be nil
	tablesDiffer  bool          // what the first proxy's holds at the first tries, and the second one's at the repeats
}

// repeatsSeen is what came of a case's writes.
type repeatsSeen struct {
	doubled   int
	refused   int // repeats, by a proxy that reaches the group of the first try
	unreached int // repeats refused by one that does not
}

// Prices of crossing zones: at the one a cell spans both zones, so that all proxies go by equal tables; at the other each zone has
// a cell of its own.
const (
	oneTable     = 0
	tablesByZone = 0.08
)

// packs places so many servers in packs of their own, each zone's numbered from 0.
func packs(n int) (out []files.NodeAt) {
	for i := range n {
		out = append(out, files.NodeAt{Zone: string(rune('a' + i%2)), Pack: i / 2})
	}
	return out
}

// subsets give each tenant so many pods.
func subsets(of int) *files.Tenants { return &files.Tenants{Header: tenantField, Subset: of} }

// play plays the case: all first tries, whose answers are lost, and then all repeats.
func (c repeatCase) play(t *testing.T, seen *repeatsSeen) {
	inTiny(t, breach{servers: c.servers, unlisted: c.unlisted, tenants: c.tenants, day: func(d *files.Day) {
		d.Service.CrossZone = c.crossZone
		d.Service.OpTypes[tallyType].Group, d.Service.OpTypes[tallyType].DedupWindow = c.group, files.Duration(repeatWindow)
	}}, func(f *tiny) {
		roads := [2]*link.MemoryLink{}
		for try, proxy := range []int{c.first, c.second} {
			roads[try] = &link.MemoryLink{Name: fmt.Sprint("client ", try), Target: f.ops.targets[proxy]}
			f.net.AddLink(fmt.Sprint("client-", try), roads[try])
		}
		if c.before != nil {
			c.before(f)
		}
		held := f.holds(c.first)
		begin := time.Now()
		var writes []*op
		for i := range repeatedWrites {
			writes = append(writes, &op{number: uint64(firstRepeated + i), opType: tallyType, tenant: 1 + i, work: 2 * time.Millisecond})
			roads[0].BreakAfter(link.Down, 1)
			if status := f.ask(writes[i], "client-0"); status != 0 {
				f.t.Errorf("write %d: the first try's answer was not lost: %d", i, status)
			}
		}
		if c.between != nil {
			c.between(f)
		}
		again, reached := f.holds(c.second), f.reaches(c.second)
		if same := held == again; same == c.tablesDiffer {
			f.t.Errorf("the tables agree: %t; at the first tries %s, at the repeats %s", same, held, again)
		}
		for i, o := range writes {
			switch status := f.ask(o, "client-1"); status {
			case 200:
			case 503:
				if reached[f.first(o)] {
					seen.refused++
				} else {
					seen.unreached++
				}
			default:
				f.t.Errorf("write %d: its repeat was answered %d", i, status)
			}
		}
		if took := time.Since(begin); took > repeatWindow/2 {
			f.t.Errorf("the repeats came after %v, when the window may be over", took)
		}
		time.Sleep(time.Second)
		seen.doubled = f.twice(writes)
		f.t.Logf("first tries by proxy %d, its table %s; repeats by proxy %d, its table %s", c.first, held, c.second, again)
		f.t.Logf("of %d writes %d took effect twice, the repeats of %d were refused and of %d more whose group was not reached; tries went to: %s",
			len(writes), seen.doubled, seen.refused, seen.unreached, f.ways())
	})
}

// ask sends a try of an op along a road and returns the answer's status; 0: none came.
func (f *tiny) ask(o *op, road string) int {
	req := f.ops.request(o)
	o.tries++
	a, fail := f.ops.pool.Send(&upstream.Call{}, road, req, time.Now().Add(2*time.Second), false)
	if fail != nil {
		return 0
	}
	defer a.Release()
	return a.Status
}

// twice counts the writes with more than one effect; one without any is an error, for the case then shows nothing.
func (f *tiny) twice(writes []*op) (n int) {
	effects := map[uint64]int{}
	for _, e := range f.ledger.Effects() {
		effects[e.Op]++
	}
	for _, o := range writes {
		if effects[o.number] == 0 {
			f.t.Errorf("write %d took no effect", o.number)
		}
		if effects[o.number] > 1 {
			n++
		}
	}
	return n
}

// holds says what the table holds that a proxy goes by, as endpoint, zone and pack: the pilot's that is first in force, or the
// standing one where there is none.
func (f *tiny) holds(proxy int) string {
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

// reaches are the groups of which a proxy has a server to pick, in any table that a pilot gave it, or else in its standing one.
func (f *tiny) reaches(proxy int) map[string]bool {
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

// first is the group to which an op's first try went.
func (f *tiny) first(o *op) string {
	for _, a := range f.ledger.Arrivals() {
		if a.Op == o.number {
			return f.group(int(a.Endpoint))
		}
	}
	return ""
}

// group is where a server stands, as zone and pack.
func (f *tiny) group(id int) string {
	at := f.nodes[id].Config()
	return fmt.Sprintf("%s.%d", at.Zone, at.Pack)
}

// ways counts the ways of repeated writes: the groups to which their tries went, in order.
func (f *tiny) ways() string {
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

// home waits until each proxy is with the pilot of its road.
func (f *tiny) home() {
	for i, p := range f.proxies {
		own := fmt.Sprintf("\nPilot: pilot-%d\n", i%2)
		for end := time.Now().Add(30 * time.Second); !strings.Contains(p.Info(), own); time.Sleep(100 * time.Millisecond) {
			if time.Now().After(end) {
				f.t.Fatalf("proxy %d is not with its pilot: %s", i, p.Info())
			}
		}
	}
}

// Events before the first tries, or between them and the repeats.

// comeHome waits until proxies that the first load reports had moved to another cell are back.
func comeHome(*tiny) { time.Sleep(3 * time.Second) }

// listLast puts the last server on the list; the pilots that hear of it have told their proxies when it returns.
func listLast(f *tiny) {
	f.list.Set(f.entry(len(f.nodes)-1, "ready", 1))
	time.Sleep(2 * time.Second)
}

// listLastForOne does so while the second pilot hears nothing of the list.
func listLastForOne(f *tiny) {
	f.home()
	f.lists[1].DropDirection(link.Down)
	listLast(f)
}

// restartAlone starts the first proxy anew; it hears from no pilot.
func restartAlone(f *tiny) {
	for _, r := range f.roads[0] {
		r.DropDirection(link.Down)
	}
	f.proxies[0].Kill()
	f.startProxy(0)
}

// readWell has the second proxy serve some reads of each tenant, so that it lets them borrow.
func readWell(f *tiny) {
	const reads = 6
	for i := range repeatedWrites {
		for range reads {
			if status := f.ask(&op{number: firstRepeated + repeatedWrites, tenant: 1 + i, work: time.Millisecond}, "client-1"); status != 200 {
				f.t.Errorf("a read was answered %d", status)
			}
		}
	}
}

// drainTwo has two servers drain.
func drainTwo(f *tiny) {
	f.list.Set(f.entry(0, "draining", 1), f.entry(1, "draining", 1))
	time.Sleep(time.Second)
}

// loseAnswers has all servers lose so much of their answers, on the way to the proxies.
func loseAnswers(share float64) func(f *tiny) {
	return func(f *tiny) {
		for _, n := range f.nodes {
			n.UpdateFaults(func(t *node.Faults) { t.LostAnswerShare = share })
		}
	}
}

// faults plays cases and says in which of them writes take effect twice, or more than a few are refused; empty for none.
func faults(t *testing.T, cases ...repeatCase) string {
	var out []string
	for _, c := range cases {
		var seen repeatsSeen
		t.Run(c.name, func(t *testing.T) { c.play(t, &seen) })
		if seen.doubled > 0 || seen.refused > refusedMost {
			out = append(out, fmt.Sprintf("%s: of %d writes %d took effect twice, the repeats of %d were refused", c.name, repeatedWrites,
				seen.doubled, seen.refused))
		}
	}
	return strings.Join(out, "; ")
}

// Where the proxies go by equal tables in which a write has one group, no repeat takes effect again, whether the answer was lost
// behind the proxy or before it.
func TestRepeatsInOneGroup(t *testing.T) {
	onePack := repeatCase{name: "one pack", group: "pack", crossZone: oneTable, servers: packs(6), tenants: subsets(1), second: 1}
	oneZone := repeatCase{name: "one zone", group: "zone", crossZone: tablesByZone, second: 2, before: comeHome}
	lost := func(c repeatCase) repeatCase {
		before := c.before
		c.name, c.between = c.name+", lost by the server", loseAnswers(0)
		c.before = func(f *tiny) {
			if before != nil {
				before(f)
			}
			loseAnswers(1)(f)
		}
		return c
	}
	if said := faults(t, onePack, oneZone, lost(onePack), lost(oneZone)); said != "" {
		t.Error(said)
	}
}

// Proxies of two zones send the tries to the zones of their tables, and one table of both zones lets either have them.
func TestRepeatsAcrossZones(t *testing.T) {
	said := faults(t,
		repeatCase{name: "a table for each zone", group: "zone", crossZone: tablesByZone, second: 1, before: comeHome, tablesDiffer: true},
		repeatCase{name: "one table", group: "zone", crossZone: oneTable, second: 1},
		repeatCase{name: "one table, one proxy", group: "zone", crossZone: oneTable})
	if said != "" {
		t.Error(said)
	}
}

// One proxy deals the tries of a write to any pack that the tenant may use.
func TestRepeatsAcrossPacks(t *testing.T) {
	said := faults(t,
		repeatCase{name: "no tenants", group: "pack", crossZone: oneTable, servers: packs(6)},
		repeatCase{name: "no subsets", group: "pack", crossZone: oneTable, servers: packs(6), tenants: subsets(0)},
		repeatCase{name: "subsets of two", group: "pack", crossZone: oneTable, servers: packs(6), tenants: subsets(2)})
	if said != "" {
		t.Error(said)
	}
}

// Each tenant has one pack, which differs with the table: where one pilot alone has heard of a new server, where a proxy hears of
// it between the tries, and where a proxy starts anew and goes by its standing table.
func TestRepeatsAcrossTables(t *testing.T) {
	c := repeatCase{group: "pack", crossZone: oneTable, servers: packs(7), unlisted: 1, tenants: subsets(1), tablesDiffer: true}
	heard, hears, anew := c, c, c
	heard.name, heard.second, heard.before = "one pilot has heard", 1, listLastForOne
	hears.name, hears.between = "one proxy, which hears", listLast
	anew.name, anew.between = "one proxy, which starts anew", restartAlone
	said := faults(t, heard, hears, anew)
	if said != "" {
		t.Error(said)
	}
}

// A tenant's pack drains between the tries, and the second proxy, which has sent no write of the tenant, lends it another.
func TestRepeatsThatBorrow(t *testing.T) {
	said := faults(t, repeatCase{name: "borrowed", group: "pack", crossZone: oneTable, servers: packs(6), tenants: subsets(1), second: 1,
		before: readWell, between: drainTwo, tablesDiffer: true})
	if said != "" {
		t.Error(said)
	}
}

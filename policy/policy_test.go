package policy_test

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"vetchdoor/control"
	"vetchdoor/policy"
)

// A scenario is a text file: what is given, what happens, what is expected; one statement a line, # for comments.
//
//	given waiting=300 cap=5     start settings that differ from those below; shut=1: proxies keep what they shut out;
//	                            across=2: op type 1 may go to any cell; packs=1: some ops go to one pack, of two endpoints, 0 and 1, 2 and 3
//	list 1/0 2/1:drain@5*2      the whole list: id/zone, then mode, time of start and weight where they matter
//	change 2/1:gone             changes to it
//	join 7/0 12 8/1 3           proxies, their zones and usual ops a second; also: leave 7
//	hears 1,2 20 0 60             from now on each period's sums of servers 1 and 2: tries, failed, percent busy (no tries: none)
//	asks 7 12                   from now on proxy 7 gets so many ops of each type a second
//	confirm off                 proxies stop confirming (the channel stands)
//	restart                     the instance dies and starts anew
//	run 10                      seconds pass
//	mark                        binds are counted from here
//	expect table 7 0; in 1      table of op type 0 (table 7 1 2: of op type 1); also: line T E w, out E, level K w, binds n, open 7 (can pick)
//
// Numbers in expect may be written <n or >n. After every turn the runner itself checks that orders are legal, that
// no bound proxy is bare while a warm ready server is listed, and that no more lines wait than may.
type world struct {
	t         *testing.T
	line      string
	facts     control.Facts
	asg       *policy.Assigner
	now       time.Duration
	wakes     []time.Duration
	entries   map[control.EndpointID]control.Entry
	zones     map[control.ProxyID]int
	bound     map[control.ProxyID][]control.TableID // by op type
	lines     map[control.TableID]map[control.EndpointID]float64
	out       map[control.EndpointID]bool
	levels    []control.SetLevel
	waits     map[control.ProxyID]float64
	confirmed bool
	binds     int
	hears     map[control.EndpointID][3]float64
	asks      map[control.ProxyID]float64
	log       []control.Order
}

func (w *world) fail(format string, args ...any) {
	w.t.Helper()
	w.t.Fatalf("%v, at %q: %s", w.now, w.line, fmt.Sprintf(format, args...))
}

func (w *world) number(s string) float64 {
	v, err := strconv.ParseFloat(s, 64)
	if err != nil {
		w.fail("%q is no number", s)
	}
	return v
}

func seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }

func newWorld(t *testing.T) *world {
	return &world{t: t, entries: map[control.EndpointID]control.Entry{}, confirmed: true,
		zones: map[control.ProxyID]int{}, hears: map[control.EndpointID][3]float64{},
		asks: map[control.ProxyID]float64{}, facts: control.Facts{
			Zones: 2, Proxies: 4, Instances: 1, Levels: control.LevelShare, ReportInterval: time.Second, MaxPushDelay: time.Second / 2,
			LinesPerSecond: 2000, MaxUnconfirmedLines: 4000, MessageCapWindow: 10 * time.Second, MessageOverheadLines: 5, ListedWeights: true,
			Measures: []control.Measure{control.Util}, CrossZonePrice: 0.08, WarmUpTime: 16 * time.Second,
			ColdCapacityShare: 0.2, DrainGrace: 2 * time.Second,
			OpTypes: []control.OpType{
				{TargetLatency: time.Second, Revenue: 1},
				{TargetLatency: time.Second, Revenue: 5, Repeat: control.OnceOnly},
			}}}
}

func (w *world) start() {
	w.asg, w.wakes = &policy.Assigner{}, nil
	w.bound, w.waits = map[control.ProxyID][]control.TableID{}, map[control.ProxyID]float64{}
	w.lines, w.out = map[control.TableID]map[control.EndpointID]float64{}, map[control.EndpointID]bool{}
	w.levels = make([]control.SetLevel, len(w.facts.OpTypes))
	w.turn(control.Start{Facts: w.facts, Seed: 7})
}

// turn hands events over and plays the orders on what the proxies hold.
func (w *world) turn(events ...control.Event) {
	cost := map[control.ProxyID]float64{}
	charge := func(t control.TableID, all bool) {
		for p := range w.zones {
			if all || slices.Contains(w.bound[p], t) {
				cost[p]++
			}
		}
	}
	orders := w.asg.Decide(w.now, events)
	w.log = append(w.log, orders...)
	mark := -1
	for _, o := range orders {
		switch o := o.(type) {
		case control.PutLine:
			if _, ok := w.entries[o.Endpoint]; !ok || o.Weight < 0 {
				w.fail("illegal %+v", o)
			}
			if w.lines[o.Table] == nil {
				w.lines[o.Table] = map[control.EndpointID]float64{}
			}
			w.lines[o.Table][o.Endpoint] = o.Weight
			charge(o.Table, false)
		case control.Bind:
			if _, ok := w.zones[o.Proxy]; !ok || w.facts.Slices > 0 {
				w.fail("illegal %+v", o)
			}
			w.bind(o)
			w.binds++
			cost[o.Proxy] += 1 + float64(len(w.lines[o.Table]))
		case control.Suspend:
			if _, ok := w.entries[o.Endpoint]; !ok {
				w.fail("illegal %+v", o)
			}
			w.out[o.Endpoint] = o.Out
			charge(0, true)
		case control.SetLevel:
			for k := range w.levels {
				if o.OpTypes == 0 || o.OpTypes&(1<<k) != 0 {
					w.levels[k] = o
				}
			}
			if o.Level < 0 || o.RetryPolicy != control.Never {
				w.fail("unsafe %+v", o)
			}
			charge(0, true)
		case control.Checkpoint:
			mark = o.Number
		case control.Wake:
			w.wakes = append(w.wakes, w.now+o.After)
		case control.Probe, control.Publish:
			w.fail("nobody allowed %+v", o)
		}
	}
	total := 0.0
	for p, c := range cost {
		w.waits[p] += c + w.facts.MessageOverheadLines
	}
	for p := range w.waits {
		total += w.waits[p]
	}
	if total > w.facts.MaxUnconfirmedLines {
		w.fail("%v lines wait", total)
	}
	for p, tables := range w.bound {
		warm := false
		for _, e := range w.entries {
			warm = warm || e.Mode == control.Ready && w.now-e.Started >= w.facts.WarmUpTime
		}
		for _, t := range tables {
			if warm && t != control.Everywhere && !w.open(t) {
				w.fail("proxy %d is bare on table %d", p, t)
			}
		}
	}
	if w.confirmed && mark >= 0 {
		for p := control.ProxyID(0); p < 100; p++ {
			if cost[p] > 0 {
				w.waits[p] = 0
				w.turn(control.InForce{Proxy: p, Checkpoint: mark})
			}
		}
	}
}

// bind puts op types of a proxy on a table; those that were never bound have their standing table, here Everywhere.
func (w *world) bind(o control.Bind) {
	tables := w.bound[o.Proxy]
	if tables == nil {
		tables = slices.Repeat([]control.TableID{control.Everywhere}, len(w.facts.OpTypes))
	}
	for k := range tables {
		if o.OpTypes == 0 || o.OpTypes&(1<<k) != 0 {
			tables[k] = o.Table
		}
	}
	w.bound[o.Proxy] = tables
}

func (w *world) open(t control.TableID) bool {
	for e, weight := range w.lines[t] {
		if weight > 0 && !w.out[e] {
			return true
		}
	}
	return false
}

// run lets time pass in periods; each begins with the period's sums.
func (w *world) run(until time.Duration) {
	for w.now < until {
		w.now += w.facts.ReportInterval
		var events []control.Event
		for id := control.EndpointID(0); id < 100; id++ {
			if h, ok := w.hears[id]; ok && h[0] > 0 {
				events = append(events, control.EndpointStats{Zone: w.entries[id].Zone, Endpoint: id, Tries: int(h[0]),
					Failed: int(h[1]), Latency: time.Second / 5, Window: w.facts.ReportInterval, Load: []float64{h[2] / 100}})
			}
		}
		for p := control.ProxyID(0); p < 100; p++ {
			if n, ok := w.asks[p]; ok {
				for k := range w.facts.OpTypes {
					events = append(events, control.Arrivals{Proxy: p, OpType: k, Ops: int(n), Window: time.Second})
				}
			}
		}
		due := 0
		for _, at := range w.wakes {
			if at <= w.now {
				due++
				events = append(events, control.Ring{Label: 1})
			}
		}
		w.wakes = w.wakes[due:]
		w.turn(events...)
	}
}

func (w *world) entry(s string) control.Entry {
	e := control.Entry{Started: control.LongAgo, Weight: 1}
	s, weight, weighed := strings.Cut(s, "*")
	s, at, started := strings.Cut(s, "@")
	s, mode, _ := strings.Cut(s, ":")
	id, zone, _ := strings.Cut(s, "/")
	if weighed {
		e.Weight = w.number(weight)
	}
	if started {
		e.Started = seconds(w.number(at))
	}
	e.Mode = map[string]control.Mode{"": control.Ready, "drain": control.Draining, "gone": control.Gone}[mode]
	e.Endpoint, e.Zone = control.EndpointID(w.number(id)), int(w.number(zone))
	e.Pack = int(e.Endpoint) / 2
	w.entries[e.Endpoint] = e
	return e
}

func (w *world) given(pairs []string) {
	for _, pair := range pairs {
		key, text, _ := strings.Cut(pair, "=")
		v := w.number(text)
		count := map[string]*int{"avoid": &w.facts.AvoidAfterFailures, "standing": &w.facts.StandingTableLines, "cap": &w.facts.MessageCap,
			"proxies": &w.facts.Proxies, "zones": &w.facts.Zones, "slices": &w.facts.Slices}[key]
		if key == "waiting" {
			w.facts.MaxUnconfirmedLines = v
		} else if key == "across" {
			w.facts.AcrossCells = uint16(v)
		} else if key == "packs" {
			w.facts.PackWrites = v > 0
		} else if key == "shut" {
			w.facts.KeepsShut = v > 0
		} else if count == nil {
			w.fail("unknown setting")
		} else {
			*count = int(v)
		}
	}
}

func (w *world) expect(f []string) {
	arg := func(i int) int { return int(w.number(f[i])) }
	var got float64
	switch f[0] {
	case "table":
		got = -1
		opType := 0
		if len(f) > 3 {
			opType = arg(2)
		}
		if tables, ok := w.bound[control.ProxyID(arg(1))]; ok {
			got = float64(tables[opType])
		}
	case "line":
		got = w.lines[control.TableID(arg(1))][control.EndpointID(arg(2))]
	case "level":
		got = w.levels[arg(1)].Level
	case "binds":
		got = float64(w.binds)
	case "out", "in":
		if w.out[control.EndpointID(arg(1))] != (f[0] == "out") {
			w.fail("it is not")
		}
		return
	case "open":
		tables, ok := w.bound[control.ProxyID(arg(1))]
		if !ok || slices.ContainsFunc(tables, func(t control.TableID) bool { return !w.open(t) }) {
			w.fail("it cannot pick")
		}
		return
	default:
		w.fail("unknown expectation")
	}
	want := f[len(f)-1]
	limit := w.number(strings.TrimLeft(want, "<>"))
	if want[0] == '<' && got >= limit || want[0] == '>' && got <= limit || want[0] != '<' && want[0] != '>' && got != limit {
		w.fail("got %v", got)
	}
}

func (w *world) play(text string) {
	for _, line := range strings.Split(text, "\n") {
		line, _, _ = strings.Cut(line, "#")
		f := strings.Fields(line)
		if len(f) == 0 {
			continue
		}
		w.line = line
		if w.asg == nil && f[0] != "given" {
			w.start()
		}
		switch f[0] {
		case "given":
			w.given(f[1:])
		case "list", "change":
			l := control.Listing{Kind: map[string]control.ListKind{"list": control.Full, "change": control.Changes}[f[0]]}
			for _, s := range f[1:] {
				l.Entries = append(l.Entries, w.entry(s))
			}
			w.turn(l)
		case "join":
			for ; len(f) > 2; f = f[2:] {
				id, zone, _ := strings.Cut(f[1], "/")
				j := control.Joined{Proxy: control.ProxyID(w.number(id)), Zone: int(w.number(zone)), Rate: w.number(f[2])}
				w.zones[j.Proxy] = j.Zone
				delete(w.bound, j.Proxy)
				w.turn(j)
			}
		case "leave":
			p := control.ProxyID(w.number(f[1]))
			delete(w.zones, p)
			delete(w.bound, p)
			delete(w.waits, p)
			w.turn(control.Left{Proxy: p})
		case "hears":
			for _, id := range strings.Split(f[1], ",") {
				w.hears[control.EndpointID(w.number(id))] = [3]float64{w.number(f[2]), w.number(f[3]), w.number(f[4])}
			}
		case "asks":
			for _, id := range strings.Split(f[1], ",") {
				w.asks[control.ProxyID(w.number(id))] = w.number(f[2])
			}
		case "confirm":
			w.confirmed = f[1] == "on"
		case "restart":
			w.zones = map[control.ProxyID]int{}
			w.start()
		case "run":
			w.run(w.now + seconds(w.number(f[1])))
		case "mark":
			w.binds = 0
		case "expect":
			for _, one := range strings.Split(strings.TrimSpace(line)[len("expect"):], ";") {
				w.expect(strings.Fields(one))
			}
		default:
			w.fail("unknown statement")
		}
	}
}

func TestScenarios(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatal("no scenarios", err)
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			one, two := newWorld(t), newWorld(t)
			one.play(string(text))
			two.play(string(text))
			if !reflect.DeepEqual(one.log, two.log) {
				t.Fatal("the same events gave other orders")
			}
		})
	}
}

// A module that runs for months forgets servers that are gone for good: their ids are many where each release brings new
// ones.
func TestForgetsWhoIsGone(t *testing.T) {
	w := newWorld(t)
	w.play("list 1/0*2 2/0*2 3/1*2 4/1*2\njoin 1/0 10 2/1 10\nhears 1,2,3,4 20 0 50\nasks 1,2 10\nrun 20")
	held := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	w.log = nil
	before := held()
	for id := range 2000 {
		w.play(fmt.Sprintf("change %d/0*2", 1000+id))
		w.play(fmt.Sprintf("change %d/0:gone", 1000+id))
		w.run(w.now + time.Second)
		w.log = nil
	}
	w.entries, w.lines, w.out = nil, nil, nil
	if kept := int64(held()) - int64(before); kept > 100<<10 {
		t.Errorf("%d KB are kept of 2000 servers that are gone", kept>>10)
	}
	runtime.KeepAlive(w)
}

// A cold server stays under what pushes it over (rule 4) also where all the work of its cell comes to it at once, which no sum shows
// in time.
func TestColdUnderItsCellsBurst(t *testing.T) {
	w := newWorld(t)
	w.play("list 1/0*2 2/0*2 3/1*2 4/1*2\njoin 1/0 10 2/1 10\nhears 1,2,3,4 20 0 67\nasks 1,2 10\nrun 20\nchange 1/0@20*2\nrun 1")
	const factor = 4 // of what it can do now, for two seconds
	cell, whole := 0.67*4, 2*(w.facts.ColdCapacityShare+(1-w.facts.ColdCapacityShare)/16)
	if w.lines[0][1] > 0 && cell > factor*whole {
		t.Errorf("its cell's work is %.1f times what it can do", cell/whole)
	}
}

package lab

import (
	"cmp"
	"flag"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"os"
	"runtime"
	"runtime/debug"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"vetchdoor/control"
	"vetchdoor/files"
	"vetchdoor/http1"
	"vetchdoor/lab/link"
	"vetchdoor/lab/node"
	labroster "vetchdoor/lab/roster"
	"vetchdoor/pilot"
	"vetchdoor/proxy"
	"vetchdoor/roster"
	wire "vetchdoor/runtime"
	"vetchdoor/upstream"
)

// eventActions maps the name of an event to its action. Each returns quickly; its effects overlap with the events that
// follow.
var eventActions = map[string]func(*simFleet){
	"news": func(f *simFleet) { // the list changes the weights of two endpoints
		f.list.Set(f.entry(0, "ready", 2), f.entry(2, "ready", 1.5))
	},
	"drain": func(f *simFleet) { // one server starts to drain
		f.nodes[1].UpdateFaults(func(t *node.Faults) { t.Draining = true })
		f.list.Set(f.entry(1, "draining", 1))
	},
	"cold": func(f *simFleet) { // one server crashes and restarts cold before the list service detects the crash
		f.nodes[3].Stop()
		if err := f.nodes[3].Start(true); err != nil {
			f.t.Error(err)
		}
		f.list.Set(f.entry(3, "ready", 1))
	},
	// proxies' reports and confirmations are delayed from now on
	"late": func(f *simFleet) { f.reportDelay.Store(int64(1500 * time.Millisecond)) },
	// the connection breaks in the middle of the next line
	"broken": func(f *simFleet) { f.route(0).BreakAfter(link.Down, 40) },
	"rejoin": func(f *simFleet) { f.proxies[1].Kill(); f.startProxy(1) }, // one proxy restarts without any state
	"restart": func(f *simFleet) { // the pilot that most proxies are joined to restarts
		f.pilots[0].Kill()
		f.startPilot(0)
	},
	"tick": func(f *simFleet) { time.Sleep(f.day.Service.ReportEvery.AsDuration()) },
}

var eventNames = []string{"news", "drain", "cold", "late", "broken", "rejoin", "restart", "tick"}

// simFleet is a fleet of real pilots and proxies on in-memory links, usually on the fake clock of a synctest bubble: two
// pilots, two zones, three proxies and four servers.
type simFleet struct {
	t           *testing.T
	day         *files.Day
	tap         *link.Tap
	net         *link.Memory
	ledger      *node.Ledger
	nodes       []*node.Node
	list        *labroster.Server
	pilots      []*pilot.Pilot
	proxies     []*proxy.Proxy
	routes      [3][2]*link.MemoryLink // by proxy and pilot
	lists       [2]*link.MemoryLink    // from the list service to the pilots
	reportDelay atomic.Int64           // additional delay of proxies' reports and confirmations, in nanoseconds
	generator   *loadGenerator
	stop        chan struct{}
	loadDone    chan struct{} // closed once all ops have ended
	variant     variant
}

// variant changes a simFleet: it makes the fleet break a rule, to test that rule's check, or gives it other servers. The
// zero value changes nothing.
type variant struct {
	servers  []files.NodeAt // only zone and pack are used; nil for four servers in alternating zones
	unlisted int            // number of servers at the end of the sequence that are not in the list at first
	tenants  *files.Tenants // tenant settings of all proxies

	rule         int                  // rule that the fleet breaks; 0 for none
	events       string               // events, separated by commas, during which the violation is detected
	alter        func(*wire.Message)  // modifies each pilot message on its way to the proxy
	day          func(*files.Day)     // changes the settings that the checks use
	pilotConfig  func(*files.Pilot)   // changes the settings of the pilots
	proxyService func(*files.Service) // changes the service settings of the proxies
	losePushes   bool                 // drop all traffic to the proxies from the second event on
	trouble      func(*node.Faults)   // sets a fault on all servers
	work         time.Duration        // work of each op; 0 for the default
	opInterval   time.Duration        // time between ops; 0 for the default
}

// simDay returns the settings of a simFleet.
func simDay() *files.Day {
	ms := func(n int) files.Duration { return files.Duration(time.Duration(n) * time.Millisecond) }
	return &files.Day{Service: files.Service{Zones: []string{"a", "b"}, Measures: []string{"cpu_utilization"},
		ReportEvery: ms(500), TryShare: 0.8, OutlierAfter: 3, OutlierFor: ms(3000), Bootstrap: 2, CrossZonePrice: 0.08,
		OpTypes: []files.OpType{
			{Name: "read", Match: files.Match{PathPrefix: "/read"}, TargetLatency: ms(300), OpTimeout: ms(900), Revenue: 1,
				Repeat: "retryable"},
			{Name: "tally", Match: files.Match{PathPrefix: "/tally"}, TargetLatency: ms(300), OpTimeout: ms(900), Revenue: 3,
				Repeat: "deduplicated", Group: "zone", DedupWindow: ms(1500), Writes: true},
			{Name: "pay", Match: files.Match{PathPrefix: "/pay"}, TargetLatency: ms(300), OpTimeout: ms(900), Revenue: 5,
				Repeat: "once-only", Writes: true},
		}},
		Limits: files.Limits{EmptyFor: ms(1500), DrainGrace: ms(2000), ColdFor: ms(6000), ColdShare: 0.2, OverloadFactor: 4,
			FallAfter: ms(2000)},
		Channel: files.Channel{LinesPerSecond: 2000, MessageLines: 3, MaxWaitingLines: 120, MessageCap: 30, MessageCapPeriod: ms(10000),
			MaxPushDelay: ms(100), ReportLinesPerSecond: 300}}
}

// newSimFleet builds and starts a simFleet, without load.
func newSimFleet(t *testing.T, v variant) *simFleet {
	f := &simFleet{t: t, day: simDay(), ledger: node.NewLedger(), stop: make(chan struct{}), loadDone: make(chan struct{}),
		variant: v}
	if v.day != nil {
		v.day(f.day)
	}
	f.tap = link.NewTap(f.ledger.StartTime())
	f.net = link.NewMemory(f.tap)
	m := files.Machine{Name: "m", Cores: 1, Speed: [2]float64{1, 1}, Slots: 4, Queue: 20, Connections: 60, ColdShare: 0.2,
		ColdFor: files.Duration(5 * time.Second), ReportEvery: files.Duration(200 * time.Millisecond), Cancels: true}
	places := v.servers
	if places == nil {
		places = []files.NodeAt{{Zone: "a"}, {Zone: "b"}, {Zone: "a"}, {Zone: "b"}}
	}
	var entries []roster.Entry
	for i, at := range places {
		at.Endpoint, at.Listen, at.Weight = uint32(i), fmt.Sprintf("10.0.0.%d:80", i+1), 1
		n := node.New(at, m, &f.day.Service, f.day.Limits, uint64(i+1), f.ledger)
		n.Net = f.net
		if err := n.Start(false); err != nil {
			t.Fatal(err)
		}
		if f.nodes = append(f.nodes, n); v.trouble != nil {
			n.UpdateFaults(v.trouble)
		}
		if i < len(places)-v.unlisted {
			f.day.Service.WritePacks = addPack(f.day.Service.WritePacks, places[i])
			entries = append(entries, f.entry(i, "ready", 1))
		}
	}
	var err error
	if f.list, err = labroster.StartOnNet(f.net, "10.0.3.1:80", entries); err != nil {
		t.Fatal(err)
	}
	f.pilots, f.proxies = make([]*pilot.Pilot, 2), make([]*proxy.Proxy, 3)
	for j := range f.pilots {
		f.lists[j] = &link.MemoryLink{Name: fmt.Sprintf("list %d", j), Target: "10.0.3.1:80",
			Delays: [2]link.Delay{steady(time.Millisecond), steady(time.Duration(5+20*j) * time.Millisecond)}}
		f.net.AddLink(fmt.Sprintf("list-%d", j), f.lists[j])
		f.startPilot(j)
	}
	for i := range f.proxies {
		for j := range f.pilots {
			hears := time.Duration(7+i) * time.Millisecond
			r := &link.MemoryLink{Name: fmt.Sprintf("stream %d %d", i, j), Target: f.pilots[j].Address(), Delays: [2]link.Delay{
				func() time.Duration { return hears + time.Duration(f.reportDelay.Load()) },
				steady(time.Duration(40+i) * time.Millisecond)}}
			if v.alter != nil {
				r.Rewrite = f.alterMessages
			}
			f.routes[i][j] = r
			f.net.AddLink(fmt.Sprintf("stream-%d-%d", i, j), r)
		}
		f.startProxy(i)
	}
	return f
}

// steady returns a constant delay.
func steady(d time.Duration) link.Delay { return func() time.Duration { return d } }

// alterMessages applies the variant's alter function to the pilot messages in b; it returns b unchanged for the other
// direction.
func (f *simFleet) alterMessages(d link.Direction, b []byte) []byte {
	if d == link.Up {
		return b
	}
	var out []byte
	scan := wire.NewScanner(wire.StreamBounds)
	scan.Feed(b)
	for line, ok, err := scan.Next(); ok && err == nil; line, ok, err = scan.Next() {
		if m, err := wire.ParseMessage(line[0]); err == nil && line[0].HasPrefix("apply") {
			f.variant.alter(m)
			out = m.Append(out)
			continue
		}
		out = append(out, line[0].String()...)
		out = append(out, '\n')
	}
	return out
}

// entry returns the entry with which the list service shows server i.
func (f *simFleet) entry(i int, mode string, weight float64) roster.Entry {
	n := f.nodes[i]
	e := roster.Entry{Endpoint: n.Endpoint(), Address: netip.MustParseAddrPort(n.Address()), Zone: n.Config().Zone, Pack: n.Config().Pack,
		Weight: weight, Mode: mode}
	if s := n.Started(); !s.IsZero() {
		e.Started = s.UnixMilli()
	}
	return e
}

// startPilot starts pilot j, without any state of a previous run.
func (f *simFleet) startPilot(j int) {
	d := f.day
	file := &files.Pilot{Kind: "pilot", Name: fmt.Sprintf("pilot-%d", j), Zone: d.Service.Zones[j], Instance: j, Instances: 2,
		Proxies: 3, Listen: fmt.Sprintf("10.0.2.%d:80", j+1), Roster: fmt.Sprintf("list-%d", j), Seed: uint64(j + 1),
		Service: d.Service, Limits: d.Limits, Channel: d.Channel,
		SilenceTimeout: files.Duration(3 * time.Second), ResumeWindow: files.Duration(time.Second),
		LeaveWithin: files.Duration(time.Second),
		Peers:       []files.Peer{{Instance: 1 - j, Address: fmt.Sprintf("10.0.2.%d:80", 2-j)}}}
	if f.variant.pilotConfig != nil {
		f.variant.pilotConfig(file)
	}
	p, err := pilot.New(file, slog.New(slog.DiscardHandler))
	if err != nil {
		f.t.Fatal(err)
	}
	p.Net = f.net
	if err := p.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.pilots[j] = p
}

// proxyService returns the service settings of the proxies.
func (f *simFleet) proxyService() files.Service {
	s := f.day.Service
	if f.variant.proxyService != nil {
		s.OpTypes = slices.Clone(s.OpTypes)
		f.variant.proxyService(&s)
	}
	return s
}

// startProxy starts proxy i, whose standing table holds the endpoints that are ready in the list now.
func (f *simFleet) startProxy(i int) {
	d := f.day
	file := &files.Proxy{Kind: "proxy", ID: uint16(i), Zone: d.Service.Zones[i%2], Listen: fmt.Sprintf("10.0.1.%d:80", i+1),
		Rate: 12, Service: f.proxyService(), Redial: files.Duration(100 * time.Millisecond),
		SilenceTimeout: files.Duration(4 * time.Second), Seed: uint64(i + 1), Tenants: f.variant.tenants}
	for j := range 2 {
		file.Pilots = append(file.Pilots, files.PilotAddress{Address: fmt.Sprintf("stream-%d-%d", i, j), Zone: d.Service.Zones[j]})
	}
	for _, e := range f.list.Entries() {
		if e.Mode == "ready" {
			file.Servers = append(file.Servers, files.StandingServer{Endpoint: uint32(e.Endpoint), Address: e.Address.String(),
				Zone: e.Zone, Pack: e.Pack, Weight: e.Weight})
		}
	}
	p, err := proxy.New(file, slog.New(slog.DiscardHandler))
	if err != nil {
		f.t.Fatal(err)
	}
	p.Net = f.net
	if err := p.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.proxies[i] = p
}

// route returns the route to the pilot of proxy i's own zone.
func (f *simFleet) route(i int) *link.MemoryLink { return f.routes[i][i%2] }

// load starts a steady load of ops on all proxies for the given time.
func (f *simFleet) load(span time.Duration) {
	f.generator = &loadGenerator{day: f.day, ledger: f.ledger, types: f.day.Service.Types(), rng: rand.New(rand.NewPCG(1, 3)),
		pool: &upstream.Pool{PerServer: 64, IdleTimeout: 5 * time.Second, Bounds: http1.DefaultBounds, Net: f.net}}
	for i := range f.proxies {
		f.generator.targets = append(f.generator.targets, fmt.Sprintf("10.0.1.%d:80", i+1))
	}
	for at := time.Duration(0); at < span; at += cmp.Or(f.variant.opInterval, 97*time.Millisecond) {
		n := len(f.generator.ops)
		f.generator.ops = append(f.generator.ops, &op{due: at, number: uint64(n + 1), proxy: n % 3, opType: n / 3 % 3,
			work: cmp.Or(f.variant.work, 8*time.Millisecond)})
	}
	go func() {
		defer close(f.loadDone)
		f.generator.play(time.Now(), f.stop)
	}()
}

// check returns the violations so far. It does not check the effects of ops.
func (f *simFleet) check() []Violation {
	e := &evidence{service: &f.day.Service, limits: &f.day.Limits, channel: &f.day.Channel, start: f.ledger.StartTime(),
		traffic:  f.tap.Transfers(),
		arrivals: f.ledger.Arrivals(), coldCrashes: f.ledger.Crashes(), mixups: f.ledger.MixUps(), end: time.Since(f.ledger.StartTime())}
	h, err := e.reconstruct(2)
	if err != nil {
		f.t.Error(err)
		return nil
	}
	return e.check(h)
}

// joined reports whether all proxies are joined to a pilot.
func (f *simFleet) joined() bool {
	return !slices.ContainsFunc(f.proxies, func(p *proxy.Proxy) bool { return !strings.Contains(p.Info(), "\nJoined: true\n") })
}

// close ends the load and stops all parts.
func (f *simFleet) close() {
	close(f.stop)
	<-f.loadDone
	f.generator.pool.Close()
	for _, p := range f.proxies {
		p.Kill()
	}
	for _, p := range f.pilots {
		p.Kill()
	}
	f.list.Close()
	for _, n := range f.nodes {
		n.Stop()
	}
}

// withSimFleet runs a function in a synctest bubble of its own, on a fleet that has been under load for two seconds.
func withSimFleet(t *testing.T, v variant, run func(f *simFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newSimFleet(t, v)
		defer f.close()
		f.load(time.Minute)
		time.Sleep(2 * time.Second)
		run(f)
	})
}

// playOrder plays a sequence of events in a synctest bubble of its own. It returns the violations and the event after which
// they were found; the rules are checked after each event and at the end, by which time all proxies must be joined.
func playOrder(t *testing.T, events []string, v variant) (violations []Violation, lastEvent string) {
	withSimFleet(t, v, func(f *simFleet) {
		t := f.t
		for i, name := range events {
			if v.losePushes && i == 1 {
				for _, r := range f.routes {
					r[0].DropDirection(link.Down)
					r[1].DropDirection(link.Down)
				}
			}
			eventActions[name](f)
			time.Sleep(130 * time.Millisecond)
			if violations, lastEvent = f.check(), name; len(violations) > 0 {
				return
			}
		}
		time.Sleep(3 * time.Second)
		for end := time.Now().Add(8 * time.Second); v.rule == 0 && !f.joined(); time.Sleep(200 * time.Millisecond) {
			if time.Now().After(end) {
				t.Errorf("-order %s: not all proxies are joined at the end", strings.Join(events, ","))
				break
			}
		}
		violations, lastEvent = f.check(), "the end"
		if *orderFlag != "" || v.rule > 0 {
			t.Logf("%d arrivals, %d effects, %d cold nodes failed, %d pieces of traffic", len(f.ledger.Arrivals()),
				len(f.ledger.Effects()), len(f.ledger.Crashes()), len(f.tap.Transfers()))
			for _, p := range f.proxies {
				t.Log(p.Info(), p.Stat())
			}
		}
		// Clients do not retry here, so the proxies cause every effect beyond an op's first.
		e := &evidence{service: &f.day.Service, arrivals: f.ledger.Arrivals(), effects: f.ledger.Effects(), ops: f.generator.ops}
		if all := len(e.duplicates()); all > 0 {
			violations = append(violations, Violation{2, time.Since(f.ledger.StartTime()), fmt.Sprintf("%d duplicate effects", all)})
		}
	})
	return violations, lastEvent
}

var orderFlag = flag.String("order", "", "the only order of events that TestEveryOrder plays, separated by commas")

// permutations calls f with every ordered selection of n different elements of the slice of.
func permutations(of []string, n int, f func([]string)) {
	var in []string
	var next func()
	next = func() {
		if len(in) == n {
			f(slices.Clone(in))
			return
		}
		for _, x := range of {
			if !slices.Contains(in, x) {
				in = append(in, x)
				next()
				in = in[:len(in)-1]
			}
		}
	}
	next()
}

// TestEveryOrder guards against violations that depend on the order of events: it plays every sequence of four, five and
// six different events and checks the rules after each event.
func TestEveryOrder(t *testing.T) {
	var orders [][]string
	add := func(o []string) { orders = append(orders, o) }
	if *orderFlag != "" {
		add(strings.Split(*orderFlag, ","))
	} else {
		for n := 4; n <= 6; n++ {
			permutations(eventNames, n, add)
		}
	}
	defer debug.SetGCPercent(debug.SetGCPercent(400)) // fleets leave much garbage and little live memory
	begin := time.Now()
	var mu sync.Mutex
	next, failed := 0, 0
	var busy sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		busy.Go(func() {
			for {
				mu.Lock()
				i := next
				next++
				mu.Unlock()
				if i >= len(orders) {
					return
				}
				if broken, after := playOrder(t, orders[i], variant{}); len(broken) > 0 {
					mu.Lock()
					failed++
					mu.Unlock()
					t.Errorf("-order %s: after %s: %+v", strings.Join(orders[i], ","), after, broken[0])
				}
			}
		})
	}
	busy.Wait()
	summary := fmt.Sprintf("%d orders played in %v, %d broke a rule\n", len(orders), time.Since(begin).Round(time.Second), failed)
	fmt.Print(summary)
	if path := os.Getenv("ORDERS_PLAYED"); path != "" { // go test does not show the output of a package that passes
		if err := os.WriteFile(path, []byte(summary), 0o600); err != nil {
			t.Error(err)
		}
	}
}

// TestOrdersSeeBreaches guards against checks that detect nothing: each variant of the fleet breaks one rule, and the check
// of that rule must be the first to report a violation.
func TestOrdersSeeBreaches(t *testing.T) {
	channel := func(change func(*files.Channel)) func(*files.Day) {
		return func(d *files.Day) { change(&d.Channel) }
	}
	fastChannel := func(f *files.Pilot) {
		f.Channel = files.Channel{LinesPerSecond: 50000, MessageLines: 3, MaxWaitingLines: 5000, ReportLinesPerSecond: 300}
	}
	for name, b := range map[string]variant{
		"tables without a server": {rule: 1, events: "tick,cold,tick,tick", alter: func(m *wire.Message) {
			m.Changes = slices.DeleteFunc(m.Changes, func(c wire.Change) bool {
				return c.Verb == wire.AddServer || c.Verb == wire.AdoptTable
			})
		}},
		"retried after it may have run": {rule: 2, events: "tick,tick,tick,tick", alter: func(m *wire.Message) {
			for i := range m.Changes {
				if m.Changes[i].Verb == wire.SetLevel {
					m.Changes[i].RetryPolicy = control.RetryOnce
				}
			}
		}, proxyService: func(s *files.Service) { s.OpTypes[2].Repeat = "retryable" },
			trouble: func(t *node.Faults) { t.LostAnswerShare = 0.3 }},
		"withdrawals that are never delivered": {rule: 3, events: "tick,drain,tick,tick,tick", losePushes: true,
			opInterval: 40 * time.Millisecond},
		"cold server at its full weight": {rule: 4, events: "tick,cold,tick,tick", work: 60 * time.Millisecond,
			opInterval: 20 * time.Millisecond, day: func(d *files.Day) {
				d.Limits.OverloadFactor, d.Limits.DrainGrace = 1, files.Duration(100*time.Millisecond)
				d.Service.OpTypes[1].Group = "all" // so that only the cell of the cold server sends load to it
			}, pilotConfig: func(f *files.Pilot) { f.Limits = simDay().Limits; f.Limits.ColdFor = 0 }},
		"more lines queued than allowed": {rule: 5, events: "tick,tick,tick,tick", pilotConfig: func(f *files.Pilot) {
			f.Channel.LinesPerSecond, f.Channel.MaxWaitingLines = 100, 500
		}, day: channel(func(c *files.Channel) { c.MaxWaitingLines = 5 })},
		"more messages than the cap": {rule: 5, events: "news,drain,cold,tick", pilotConfig: fastChannel,
			day: channel(func(c *files.Channel) { c.MessageCap = 2 })},
		"lines faster than the limit": {rule: 5, events: "rejoin,restart,cold,tick", pilotConfig: fastChannel,
			day: channel(func(c *files.Channel) { c.LinesPerSecond = 5 })},
	} {
		t.Run(name, func(t *testing.T) {
			if broken, after := playOrder(t, strings.Split(b.events, ","), b); len(broken) == 0 || broken[0].Rule != b.rule {
				t.Errorf("no violation of rule %d first, after %s: %+v", b.rule, after, broken)
			}
		})
	}
}

package pilot

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"vetchdoor/control"
	"vetchdoor/files"
	"vetchdoor/lab/receiver"
	"vetchdoor/pilot/host"
	"vetchdoor/policy"
	"vetchdoor/record"
	"vetchdoor/runtime"
	"vetchdoor/syslog"
)

// startReceiver starts a syslog receiver that records are sent to.
func startReceiver(t *testing.T) *receiver.Receiver {
	t.Helper()
	got, err := receiver.Listen("tcp", "127.0.0.1:0", nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(got.Close)
	return got
}

// closeAfter waits until a receiver has n records, some of which may still be in transit, and closes it.
func closeAfter(t *testing.T, got *receiver.Receiver, n int) {
	t.Helper()
	waitFor(t, time.Millisecond, "the records", func() bool { m, _, _ := got.Received(); return len(m) == n })
	got.Close()
}

// Each order gets a record with its reason, and the records are numbered without gaps. A checkpoint's record names the
// proxies that did not confirm it.
func TestRecords(t *testing.T) {
	got := startReceiver(t)
	out, err := syslog.Start(syslog.Config{Network: "tcp", Address: got.Address()}, slog.New(slog.DiscardHandler), 1, nil)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Duration(0)
	r := newRecorder(slog.New(syslog.NewHandler(out, syslog.Identity{App: "a"})), "p", []string{"read", "write"}, 7,
		func() time.Duration { return now })
	r.recordStart(7, "start")
	orders := []control.Order{
		control.PutLine{Table: 2, Endpoint: 17, Weight: 1.5, Why: control.Why{Reason: control.WeightReduced, Value: 92.71, Limit: 89}},
		control.ClearTable{Table: 2}, control.Bind{Table: 2, Proxy: 3, OpTypes: 2, Why: control.Why{Reason: control.Home}},
		control.SetLevel{Table: control.Everywhere, OpTypes: 1, Level: 0.5,
			Why: control.Why{Reason: control.Overload, Value: 81, Limit: 80}},
		control.Suspend{Endpoint: 17, Out: true, Why: control.Why{Reason: control.Unhealthy, Value: 0.9, Limit: 0.3}},
		control.LogMessage{Text: "n"}, control.Checkpoint{Number: 5}}
	r.recordOrders(orders)
	r.recordSent(orders, []outgoing{{proxy: 3, Message: messageWithCheckpoint(5)}, {proxy: 4, Message: messageWithCheckpoint(5)}})
	r.recordInForce(3, 5, time.Second)
	r.recordInForce(3, 5, time.Second)
	r.recordInForce(9, 5, time.Second)
	now = checkpointTimeout + 1
	r.expireCheckpoints()
	orders = []control.Order{control.Checkpoint{Number: 6}}
	r.recordSent(orders, []outgoing{{proxy: 3, Message: messageWithCheckpoint(6)}})
	r.recordInForce(3, 6, time.Second)
	r.close()
	out.Close()
	closeAfter(t, got, 9)
	m, bad, _ := got.Received()
	want := []string{record.Restart, record.TableLine, record.TableCleared, record.TableAssigned, record.Level, record.Withdrawal, record.ModuleNote,
		record.Confirmation, record.Confirmation}
	if len(m) != len(want) || len(bad) > 0 {
		t.Fatalf("%d records, %v", len(m), bad)
	}
	get := func(i int, name string) string {
		for _, p := range m[i].Data[record.Element+"@"+syslog.EnterpriseNumber] {
			if p[0] == name {
				return p[1]
			}
		}
		return ""
	}
	for i, kind := range want {
		if m[i].ID != kind || get(i, record.Sequence) != fmt.Sprint(i+1) || get(i, record.Run) != "7" {
			t.Errorf("%+v", m[i])
		}
	}
	for _, c := range []struct {
		at         int
		name, want string
	}{{1, record.Reason, "eased"}, {1, record.Value, "92.71"}, {1, record.Version, "1"}, {2, record.Version, "2"},
		{3, record.OpType, "write"}, {4, record.Table, "*"},
		{5, record.Node, "e17"}, {5, record.Withdrawn, "true"}, {5, record.Checkpoint, "5"}, {7, record.ProxiesConfirmed, "1"},
		{7, record.ProxiesSent, "2"}, {7, record.ProxiesUnconfirmed, "p4"},
		{8, record.ProxiesConfirmed, "1"}, {8, record.ProxiesUnconfirmed, ""}} {
		if got := get(c.at, c.name); got != c.want {
			t.Errorf("record %d, %s: %q, not %q", c.at, c.name, got, c.want)
		}
	}
}

// The records of two pilots at one receiver can be told apart, and each pilot's are numbered without gaps.
func TestTwoPilotsOneReceiver(t *testing.T) {
	got := startReceiver(t)
	var all sync.WaitGroup
	for i := range 2 {
		all.Go(func() {
			out, err := syslog.Start(syslog.Config{Network: "tcp", Address: got.Address()}, slog.New(slog.DiscardHandler), 1, nil)
			if err != nil {
				t.Error(err)
				return
			}
			r := newRecorder(slog.New(syslog.NewHandler(out, syslog.Identity{App: "a", Rate: 1e6})), fmt.Sprint("p", i), nil, 7,
				func() time.Duration { return 0 })
			for n := range 500 {
				r.recordOrders([]control.Order{control.PutLine{Endpoint: control.EndpointID(n), Weight: 1}})
			}
			r.close()
			out.Close()
		})
	}
	all.Wait()
	closeAfter(t, got, 1000)
	m, bad, corrupt := got.Received()
	if len(m) != 1000 || len(bad) > 0 || corrupt > 0 {
		t.Fatalf("%d records, %v, %d torn", len(m), bad, corrupt)
	}
	next := map[string]int{}
	for _, x := range m {
		var pilot, seq string
		for _, p := range x.Data[record.Element+"@"+syslog.EnterpriseNumber] {
			switch p[0] {
			case record.Pilot:
				pilot = p[1]
			case record.Sequence:
				seq = p[1]
			}
		}
		if next[pilot]++; fmt.Sprint(next[pilot]) != seq {
			t.Fatalf("%s: %s, not %d", pilot, seq, next[pilot])
		}
	}
}

// messageWithCheckpoint returns an otherwise empty message with a checkpoint.
func messageWithCheckpoint(checkpoint int) *runtime.Message {
	return &runtime.Message{Checkpoint: checkpoint}
}

// BenchmarkDecide measures one report period of the module at 200 servers and 100 proxies, with groups of ten servers failing
// in turn, and with records off, written to a file, and sent to a receiver that does not read. The relevant figure is the
// 99th percentile.
func BenchmarkDecide(b *testing.B) {
	for _, how := range []string{"off", "on", "stuck"} {
		b.Run(how, func(b *testing.B) { benchmarkDecide(b, how, 200, 100) })
	}
}

// BenchmarkGrowth measures one report period of the module like BenchmarkDecide, without records, for growing numbers of servers
// and as many proxies.
func BenchmarkGrowth(b *testing.B) {
	for _, n := range []int{50, 100, 200, 400, 800} {
		b.Run(fmt.Sprint(n), func(b *testing.B) { benchmarkDecide(b, "off", n, n) })
	}
}

// benchmarkDecide reports how long the module, the translation of its orders and the hand-over of the records take per report
// period.
func benchmarkDecide(b *testing.B, logging string, servers, proxies int) {
	f := pilotFile("127.0.0.1:1")
	f.Proxies, f.Service.Measures, f.Channel.MaxWaitingLines = proxies, []string{"cpu_utilization"}, 1e6
	f.Service.ReportEvery, f.Service.Bootstrap = files.Duration(time.Second), 8
	p := newPilot(b, f)
	p.host.NewDecider = func() host.Decider { return &policy.Assigner{} }
	if logging != "off" {
		route := syslog.Config{Network: "file", Address: filepath.Join(b.TempDir(), "log"), Buffer: 1 << 16}
		if logging == "stuck" {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			defer ln.Close()
			route = syslog.Config{Network: "tcp", Address: ln.Addr().String(), Buffer: 1 << 12, Timeout: 50 * time.Millisecond}
		}
		out, err := syslog.Start(route, slog.New(slog.DiscardHandler), 1, nil)
		if err != nil {
			b.Fatal(err)
		}
		defer out.Close()
		p.Records = slog.New(syslog.NewHandler(out, syslog.Identity{App: "a", Rate: 1e6}))
	}
	now := time.Duration(0)
	p.records = newRecorder(p.Records, "p", []string{"a"}, 1, func() time.Duration { return now })
	p.host.StartModule()
	var entries []control.Entry
	for i := range servers {
		entries = append(entries, control.Entry{Endpoint: control.EndpointID(i), Weight: 4, Mode: control.Ready,
			Started: control.LongAgo})
	}
	events := append(p.host.Pending(), control.Listing{Kind: control.Full, Entries: entries})
	for i := range control.ProxyID(proxies) {
		p.desired.join(i, nil, false, 0)
		events = append(events, control.Joined{Proxy: i, Rate: 50})
	}
	rng := rand.New(rand.NewPCG(1, 1))
	var took []time.Duration
	for b.Loop() {
		now += time.Second
		failing := rng.IntN(servers)
		for i := range servers {
			d := control.EndpointStats{Endpoint: control.EndpointID(i), Tries: 50, Failed: rng.IntN(2), Latency: 50 * time.Millisecond,
				Window: time.Second, Load: []float64{0.5 + 0.3*rng.Float64()}}
			if i/10 == failing/10 {
				d.Failed, d.Load[0] = 45, 0.1
			}
			events = append(events, d)
		}
		for i := range control.ProxyID(proxies) {
			events = append(events, control.Arrivals{Proxy: i, Ops: 50, Window: time.Second})
		}
		events = append(events, control.TimerFired{Label: 1})
		begin := time.Now()
		orders, _ := p.host.CallModule(now, events)
		messages, _ := p.desired.translate(orders)
		p.records.recordOrders(orders)
		p.records.recordSent(orders, messages)
		took = append(took, time.Since(begin))
		events = events[:0]
		for _, m := range messages {
			events = append(events, control.InForce{Proxy: m.proxy, Checkpoint: m.Checkpoint, Took: time.Second})
		}
	}
	p.records.close()
	slices.Sort(took)
	b.ReportMetric(float64(took[len(took)/2].Microseconds()), "p50-µs")
	b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "p99-µs")
	b.ReportMetric(float64(p.records.recordCount())/float64(len(took)), "records/beat")
}

// recordCount returns the number of records written in this run. It may be called only after close.
func (r *recorder) recordCount() uint64 {
	if r == nil {
		return 0
	}
	return r.sequence
}

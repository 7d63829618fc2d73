package pilot

import (
	"fmt"
	"net/netip"
	"runtime"
	"slices"
	"testing"
	"time"

	"vetchdoor/control"
	"vetchdoor/roster"
)

// BenchmarkPush is the change of one server's weight in a table of 300 to in force at 500 proxies, over sockets, all in
// this process; bench/xds does the same over go-control-plane's delta xDS.
func BenchmarkPush(b *testing.B) {
	const servers, proxies = 300, 500
	module := &script{}
	f := pilotFile("127.0.0.1:1")
	f.Proxies = proxies
	f.Channel.LinesPerSecond, f.Channel.MaxWaitingLines = 1e9, 1<<30
	p := newPilot(b, f)
	for i := range control.EndpointID(servers) {
		p.list[i] = roster.Entry{Endpoint: i, Address: netip.MustParseAddrPort(fmt.Sprintf("127.0.0.1:%d", 10000+i)), Zone: "z", Weight: 1, Mode: "ready"}
	}
	begin(b, p, module)
	b.Cleanup(p.Stop)
	for i := range proxies {
		f := proxyFile(uint16(i), p.Address())
		f.Redial, f.SilenceTimeout = 0, 0
		startProxy(b, f, nil)
	}
	wait := func(what string, ok func() bool) {
		for end := time.Now().Add(60 * time.Second); !ok(); time.Sleep(50 * time.Microsecond) {
			if time.Now().After(end) {
				b.Fatal("never: ", what)
			}
		}
	}
	order := func(orders ...control.Order) {
		module.mu.Lock()
		module.next = append(module.next, orders)
		module.mu.Unlock()
		p.post(func() { p.host.Event(control.Ring{}) })
	}
	wait("joined", func() bool { return count[control.Joined](module) == proxies })
	var first []control.Order
	for i := range control.EndpointID(servers) {
		first = append(first, control.PutLine{Table: 0, Endpoint: i, Weight: 1})
	}
	for i := range control.ProxyID(proxies) {
		first = append(first, control.Bind{Table: 0, Proxy: i})
	}
	order(append(first, control.Checkpoint{Number: 1})...)
	wait("bound", func() bool { return count[control.InForce](module) == proxies })
	var took, whole []time.Duration
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	b.ResetTimer()
	for i := range b.N {
		module.mu.Lock()
		module.events = nil
		module.mu.Unlock()
		begin := time.Now()
		order(control.PutLine{Table: 0, Endpoint: 7, Weight: float64(i%9 + 2)}, control.Checkpoint{Number: i & 0xffff})
		wait("in force", func() bool { return count[control.InForce](module) == proxies })
		whole = append(whole, time.Since(begin))
		for _, f := range heard[control.InForce](module) {
			took = append(took, f.Took)
		}
	}
	b.StopTimer()
	runtime.ReadMemStats(&after)
	slices.Sort(took)
	slices.Sort(whole)
	b.ReportMetric(float64(took[len(took)/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "p99-us")
	b.ReportMetric(float64(whole[len(whole)/2].Microseconds()), "all-us")
	b.ReportMetric(float64(after.Mallocs-before.Mallocs)/float64(b.N*proxies), "allocs/message")
}

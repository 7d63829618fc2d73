// Case 1: after a zone was lost and is warm again, proxies of that zone have no endpoint for a class that keeps to the proxy's zone.
package main

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"vetchdoor/lab/platform"
	"vetchdoor/review/kit"
)

// The deployment: volitve-skupno at its usual size, with the settings of the wire's page but for what is said in claim.txt.
const (
	zoneEndpoints = 5
	proxyCount    = 18
	warmUp        = 6 * time.Second // "cold" of the settings
	emptyFor      = 2700 * time.Millisecond
	slack         = 300 * time.Millisecond
	settings      = `{"dcs":["lj-center","kranj","celje"],"domain_type":"control","extra":{"admit":"share","bootstrap":8,
"choice":"round","cycle":1000.0,"empty_for":2700.0,"envelope":3.0,"exclusive":false,"hold":300.0,"intake_per_s":300.0,
"keeps_writing":2500.0,"lines_per_s":6400.0,"local_first":true,"messages_over":10000.0,"min_conn_cap":110.0,
"most_waiting":9600.0,"mutating":[false,true],"order_price":0.04,"outlier_after":3,"per_try":0.8,"proxy_count":18,
"push_delay":343.0,"reassign_price":0.01,"shards":0,"transit_max":857.5,"update_cap":0,"usual_how":0,"warm_keys":false,
"write_life":770.0,"zone_bound":[false,true]},"grades":[{"effect":"free","give_up":2000.0,"group":"all","late_value":0.2,
"memory_span":5000.0,"name":"page-read","slo":750.0,"worth":2.0},{"effect":"guarded","give_up":750.0,"group":"zone",
"late_value":0.1,"memory_span":1500.0,"name":"tally-post","slo":300.0,"worth":5.0}],"guarantees":{"ask_within":10000.0,
"cold":6000.0,"cold_share":0.17,"drain_grace":2600.0,"fall":2000.0,"overload_factor":4.0},"machine_types":["gen-a","gen-b"],
"me":0,"objective_mix":{"tail":0.2,"tail_miss":0.15,"whole":0.5,"worst_class":0.1,"worst_tenant":0.0,"worst_window":0.2},
"peers_total":1,"policy_limits":{"conn_idle":15000.0,"connect_timeout":250.0,"cpu_us_per_s":533333,"multiplex":100,
"peers":false,"probes":false},"prices":{"connection":0.02,"cross_zone":0.08,"handshake":0.02,"late_fail":0.03,"moves":0.0,
"peer":0.0,"probe":0.02,"registry_mode":0.0,"waste":0.05},"registry_mode":"push","report":{"how":"inline",
"names":["util","inflight","latency_ms"]},"tick":5.0,"weights":"rough","worth_by":"request","zone":0}`
)

var zones = []string{"lj-center", "kranj", "celje"}

// zoneOf is the zone of each proxy, six in each. Proxies 12 and 14 are where the pilot's hash puts them, so that the rule holds in
// a run without trouble: proxy 12 in lj-center is put on endpoints of celje, and has none of its zone from the start.
var zoneOf = [proxyCount]int{0, 1, 2, 0, 1, 2, 0, 1, 2, 0, 1, 2, 2, 1, 0, 0, 1, 2}

// Times of the run, since its start.
const (
	lostAt     = 8 * time.Second
	lostTold   = 10 * time.Second // "notice": discovery is told of dead processes late
	backAt     = 19 * time.Second
	backTold   = 20 * time.Second
	runTo      = 60 * time.Second
	checkEvery = 50 * time.Millisecond
)

const lostZone = 1

func host(zone, number int) string { return fmt.Sprintf("s-%d%02d", zone, number) }

// ownPrefix is what the names of the endpoints in a proxy's zone begin with.
func ownPrefix(proxy int) string { return fmt.Sprintf("s-%d", zoneOf[proxy]) }

func main() {
	run := kit.New()
	var all []platform.Instance
	for z, name := range zones {
		for i := range zoneEndpoints {
			all = append(all, platform.Instance{ID: host(z, i), HostPort: run.ClosedAddress(), Zone: name, Machine: "gen-a",
				Cell: i / 3, Lifecycle: "up", Weight: 1})
		}
	}
	found, err := platform.NewDiscovery(all...)
	if err != nil {
		run.Fail(err)
	}
	defer found.Close()
	pilot := run.Launch("pilot", "platform", kit.Object{"name": "n0", "listen": "127.0.0.1:0", "discovery": found.Address(),
		"seed": "8c1f30d27a5be964", "known": found.Snapshot(), "limits": kit.Object{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"settings": json.RawMessage(settings)})
	address := pilot.Await("pilot runs", "listen")
	w := &world{run: run, address: address, up: true}
	for n := range proxyCount {
		p, err := platform.Join(address, n, zones[zoneOf[n]], []string{"page-read", "tally-post"},
			func(h string) bool { return strings.HasPrefix(h, "s-") }, nil)
		if err != nil {
			run.Fail(err)
		}
		w.proxies = append(w.proxies, p)
		w.bareSince = append(w.bareSince, 0)
		w.was = append(w.was, "")
	}
	for range zones {
		c, err := platform.Dial(address)
		if err != nil {
			run.Fail(err)
		}
		w.collectors = append(w.collectors, c)
		_ = c.Send(`{"msg":"telemetry","az":%q}`, zones[len(w.collectors)-1])
	}
	setZone := func(lifecycle string, started int64) {
		var changed []platform.Instance
		for _, x := range all {
			if x.Zone == zones[lostZone] {
				x.Lifecycle, x.Started = lifecycle, started
				changed = append(changed, x)
			}
		}
		found.Set(changed...)
		run.Note("discovery lists the endpoints of %s as %s", zones[lostZone], lifecycle)
	}
	begun := time.Now()
	var started time.Time
	told, back, warm, lastReport := false, false, false, time.Time{}
	for time.Since(begun) < runTo {
		now := time.Since(begun)
		if run.Trouble {
			if w.up && !told && now >= lostAt {
				w.up = false
				run.Note("zone %s is lost", zones[lostZone])
			}
			if !told && now >= lostTold {
				told = true
				setZone("removed", 0)
			}
			if started.IsZero() && now >= backAt {
				started, w.up = time.Now(), true
				run.Note("zone %s is back, cold", zones[lostZone])
			}
			if !back && now >= backTold {
				back = true
				setZone("up", started.UnixMilli())
			}
			if back && !warm && time.Since(started) >= warmUp {
				warm = true
				run.Note("zone %s is warm", zones[lostZone])
			}
		}
		if time.Since(lastReport) >= time.Second {
			lastReport = time.Now()
			w.report()
		}
		w.look(now > time.Second && (!run.Trouble || now < lostAt || warm))
		time.Sleep(checkEvery)
	}
	if w.longest > emptyFor+slack {
		run.End(kit.Broken, "rule broken: proxy %d had no endpoint to pick for tally-post for %v, with warm ones listed; the limit is %v; %d ops refused",
			w.worst, w.longest.Round(time.Millisecond), emptyFor+slack, w.refused)
	}
	run.End(kit.Held, "rule held: with warm endpoints listed no proxy was without one for more than %v; the limit is %v", w.longest.Round(time.Millisecond), emptyFor+slack)
}

// world is what the run's proxies and collectors have seen.
type world struct {
	run        *kit.Run
	address    string
	up         bool
	proxies    []*platform.Proxy
	collectors []*platform.Peer
	bareSince  []time.Duration
	was        []string
	longest    time.Duration
	worst      int
	refused    int // ops that proxies refused because they had no endpoint to pick
	begun      time.Time
}

// look notes what each proxy may pick for tally-post in its own zone.
func (w *world) look(counts bool) {
	if w.begun.IsZero() {
		w.begun = time.Now()
	}
	now := time.Since(w.begun) + 1
	for n, p := range w.proxies {
		if _, ended, fault := p.State(); ended {
			w.run.Fail(fmt.Errorf("the stream of proxy %d ended: %v", n, fault))
		}
		zone := zoneOf[n]
		var own, other []string
		for h := range p.AvailableEndpoints("tally-post") {
			if strings.HasPrefix(h, ownPrefix(n)) {
				own = append(own, h)
			} else {
				other = append(other, h)
			}
		}
		slices.Sort(own)
		slices.Sort(other)
		if is := fmt.Sprintf("own zone %v, others %v", own, other); is != w.was[n] {
			w.was[n] = is
			w.run.Note("proxy %d of %s may pick: %s", n, zones[zone], is)
		}
		if len(own) > 0 || !counts {
			w.bareSince[n] = 0
			continue
		}
		if w.bareSince[n] == 0 {
			w.bareSince[n] = now
		}
		if bare := now - w.bareSince[n]; bare > w.longest {
			w.longest, w.worst = bare, n
		}
	}
}

// report sends the sums of a second: each proxy's ops, and what the proxies of each zone met at each endpoint.
func (w *world) report() {
	tries := make([]map[string]float64, len(zones))
	for z := range tries {
		tries[z] = map[string]float64{}
	}
	total := map[string]float64{}
	for n, p := range w.proxies {
		for kind, ops := range map[string]float64{"page-read": 5, "tally-post": 2} {
			available, sum := p.AvailableEndpoints(kind), 0.0
			for h, weight := range available {
				if kind == "page-read" || strings.HasPrefix(h, ownPrefix(n)) {
					sum += weight
				} else {
					delete(available, h)
				}
			}
			bad := 0.0
			if sum == 0 {
				bad = ops
				w.refused += int(ops)
				w.run.Note("proxy %d of %s refuses %v of %v %s: it has no endpoint to pick", n, zones[zoneOf[n]], ops, ops, kind)
			}
			_ = p.Send(`{"msg":"client_stats","sidecar":%d,"kind":%q,"n":%v,"bad":%v,"window":1000.0}`, n, kind, ops, bad)
			for h, weight := range available {
				tries[zoneOf[n]][h] += ops * weight / sum
				total[h] += ops * weight / sum
			}
		}
	}
	for z, c := range w.collectors {
		for h, n := range tries[z] {
			if !w.up && strings.HasPrefix(h, fmt.Sprintf("s-%d", lostZone)) {
				_ = c.Send(`{"msg":"upstream_stats","az":%q,"host":%q,"n":%d,"bad":%d,"avg":0,"window":1000.0}`, zones[z], h, int(n+1), int(n+1))
				continue
			}
			_ = c.Send(`{"msg":"upstream_stats","az":%q,"host":%q,"n":%d,"bad":0,"avg":130.0,"window":1000.0,"report":{"util":%.2f,"inflight":1,"latency_ms":100}}`,
				zones[z], h, int(n+1), min(0.95, total[h]*0.06))
		}
	}
}

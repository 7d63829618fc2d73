package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"vetchdoor/lab/platform"
)

const platformSettings = `{"dcs":["a","b"],"machine_types":["m"],"grades":[{"name":"read","effect":"free","slo":750,"give_up":2000,"worth":2}],
	"extra":{"admit":"share","bootstrap":2,"cycle":200,"lines_per_s":6000,"most_waiting":9000,"envelope":3,"proxy_count":8,
	"intake_per_s":300,"transit_max":50},"peers_total":1,"report":{"how":"inline","names":["util"]},"weights":"rough",
	"guarantees":{"cold":1000,"cold_share":0.3,"drain_grace":2000},"tick":2}`

// The built program in service: discovery, proxies and collectors of our own, and whatever else dials; the file is replaced,
// torn and whole, and discovery moves, without a stream lost.
func TestPlatform(t *testing.T) {
	known := []platform.Instance{}
	for i := range 4 {
		known = append(known, platform.Instance{ID: fmt.Sprint("s-", i), HostPort: "127.0.0.1:9", Zone: string(rune('a' + i%2)), Machine: "m",
			Lifecycle: "up", Weight: 1})
	}
	var found [2]*platform.Discovery
	for i := range found {
		d, err := platform.Discover(known...)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(d.Close)
		found[i] = d
	}
	file := func(discovery string) map[string]any {
		return map[string]any{"name": "n0", "listen": "127.0.0.1:0", "discovery": discovery, "seed": "8c1f30d27a5be964", "known": found[0].Snapshot(),
			"limits": map[string]any{"cores": 0.5, "memory_mb": 64, "sockets": 256}, "settings": json.RawMessage(platformSettings)}
	}
	path := filepath.Join(t.TempDir(), "given.json")
	write(t, path, file(found[0].Address()))
	p := launchFile(t, "platform", path)
	address, _ := p.until("pilot runs")["listen"].(string)

	var proxies []*platform.Proxy
	for i := range 8 {
		x, err := platform.Join(address, i, "a", []string{"read"}, func(host string) bool { return strings.HasPrefix(host, "s-") }, nil)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(x.Drop)
		proxies = append(proxies, x)
	}
	until := func(what string, done func() bool) {
		t.Helper()
		for end := time.Now().Add(20 * time.Second); !done(); time.Sleep(5 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("never: ", what)
			}
		}
	}
	all := func(is func(open map[string]float64) bool) func() bool {
		return func() bool {
			for _, x := range proxies {
				if !is(x.AvailableEndpoints("read")) {
					return false
				}
			}
			return true
		}
	}
	served := all(func(open map[string]float64) bool { return len(open) > 0 })
	until("all are served", served)

	collector, err := platform.Dial(address)
	if err != nil {
		t.Fatal(err)
	}
	defer collector.Close()
	_ = collector.Say(`{"msg":"telemetry","az":"a"}`)
	var strangers []*platform.Peer
	for _, say := range []string{"", "half", "GET / HTTP/1.1\r\n\r\n", `{"msg":"attach","sidecar":99,"az":"a","share":1,"standing":true}` + "\n",
		`{"msg":"hb"}` + "\n", `{"msg":"telemetry","az":"mars"}` + "\n", strings.Repeat("x", 1<<20)} {
		for range 10 {
			s, err := platform.Dial(address)
			if err != nil {
				t.Fatal(err)
			}
			defer s.Close()
			go fmt.Fprint(s, say)
			strangers = append(strangers, s)
		}
	}
	for i := range 20 {
		_ = collector.Say(`{"msg":"upstream_stats","az":"a","host":"s-%d","n":20,"bad":0,"avg":50,"window":200,"report":{"util":0.5}}`, i%4)
		_ = collector.Say(`{"msg":"upstream_stats","az":"a","host":"s-%d","n":-20,"bad":"no","window":1e999}`, i%4)
		_ = proxies[i%8].Say(`{"msg":"client_stats","sidecar":%d,"kind":"read","n":9,"bad":0,"window":200}`, i%8)
		_ = proxies[i%8].Say(`{"msg":"done","sidecar":%d,"version":65000,"lag_ms":1}`, i%8)
	}

	write(t, path, "torn")
	_ = p.cmd.Process.Signal(syscall.SIGHUP)
	p.until("the new file cannot be used; the old one stays in force")
	write(t, path, file(found[1].Address()))
	_ = p.cmd.Process.Signal(syscall.SIGHUP)
	p.until("new file in force")
	found[0].Close()
	gone := known[0]
	gone.Lifecycle = "draining"
	found[1].Set(gone)
	until("the drain is kept at all", all(func(open map[string]float64) bool { _, there := open["s-0"]; return !there && len(open) > 0 }))

	for _, s := range strangers {
		for err = error(nil); err == nil; {
			_, err = s.Hear(20 * time.Second)
		}
		if e, ok := err.(net.Error); ok && e.Timeout() {
			t.Error("a stranger is neither refused nor closed on")
		}
	}
	for _, x := range proxies {
		if _, ended, fault := x.State(); ended || fault != nil {
			t.Errorf("proxy %d: %v", x.Number, fault)
		}
	}
	if code := p.terminate(); code != exitGood {
		t.Errorf("it ended with %d", code)
	}
}

// A file that cannot be used, or none, is said in a line.
func TestPlatformWithoutFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "given.json")
	if err := os.WriteFile(path, []byte(`{"listen":"x"}`), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, args := range [][]string{{"platform"}, {"platform", "--file", path + "no"}, {"platform", "--file", path}} {
		out, err := program(args...).CombinedOutput()
		if err == nil || strings.Count(string(out), "\n") != 1 || !strings.HasPrefix(string(out), "vetchdoor: ") {
			t.Errorf("%v: %v, %q", args, err, out)
		}
	}
}

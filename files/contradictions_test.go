package files_test

import (
	"os"
	"strings"
	"testing"

	"vetchdoor/files"
)

const proxyText = `{"kind": "proxy", "id": 1, "zone": "a", "listen": "127.0.0.1:7002", "rate": 10, "pilots": [{"address": "127.0.0.1:7000", "zone": "a"}],
  "servers": [{"endpoint": 1, "address": "127.0.0.1:80", "zone": "a"}, {"endpoint": 2, "address": "127.0.0.1:81", "zone": "b"}],
  "service": {"zones": ["a", "b"], "report_every": "1s", "bootstrap": 4, "op_types": [
    {"name": "read", "match": {}, "target_latency": "750ms", "op_timeout": "2s", "revenue": 2, "repeat": "retryable"}]}}`

const rosterText = `{"kind": "roster", "listen": "127.0.0.1:7001", "zones": ["a"], "entries": [
  {"endpoint": 1, "address": "127.0.0.1:80", "zone": "a", "weight": 1}, {"endpoint": 2, "address": "127.0.0.1:81", "zone": "a", "weight": 1}]}`

// Values that the schema allows but that contradict each other are rejected, and the error points to the later of the
// two places.
func TestContradictions(t *testing.T) {
	day, err := os.ReadFile("../lab/days/calm-evening.json")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ kind, text, from, to, at string }{
		{"pilot", pilotText, `"zones": ["a", "b"]`, `"zones": ["a", "a"]`, "/service/zones/1"},
		{"pilot", pilotText, `"target_latency": "750ms"`, `"target_latency": "0s"`, "/service/op_types/0/target_latency"},
		{"pilot", pilotText, `"retryable"`, `"retryable", "dedup_window": "1s"`, "/service/op_types/0/repeat"},
		{"pilot", pilotText, `"report_every": "1s"`, `"report_every": "1ms"`, "/service/report_every"},
		{"pilot", pilotText, `"bootstrap": 4`, `"bootstrap": 4, "outlier_after": 3`, "/service/outlier_for"},
		{"pilot", pilotText, `"empty_for": "2s"`, `"empty_for": "0s"`, "/limits/empty_for"},
		{"pilot", pilotText, `"drain_grace": "2s"`, `"drain_grace": "0s"`, "/limits/drain_grace"},
		{"pilot", pilotText, `"fall_after": "2s"`, `"fall_after": "0s"`, "/limits/fall_after"},
		{"pilot", pilotText, `"most_waiting": 9000`, `"most_waiting": 9000, "message_cap": 5`, "/channel/message_cap_over"},
		{"pilot", pilotText, `"most_waiting": 9000`, `"most_waiting": 9000, "message_cap": 1, "message_cap_over": "10s"`,
			"/channel/message_cap"},
		{"pilot", pilotText, `"name": "p"`, `"name": "p", "instance": 3, "instances": 2`, "/instance"},
		{"pilot", pilotText, `"retryable"}]},`, `"once-only", "writes": true}]}, "moves": {"store": "s", "most": "1s"},`,
			"/moves/most"},
		{"pilot", pilotText, `"report_lines_per_second": 300}`,
			`"report_lines_per_second": 300, "message_cap": 5, "message_cap_over": "10s"}, "tenants": true`,
			"/channel/message_cap"},
		{"pilot", pilotText, `"name": "p"`, `"name": "p", "log": [{"network": "udp", "address": "nowhere"}]`, "/log/0/address"},
		{"pilot", pilotText, `"name": "p"`, `"name": "p", "log": [{"network": "udp", "address": "127.0.0.1:1", "ca": "x"}]`,
			"/log/0/network"},
		{"pilot", pilotText, `"name": "p"`, `"name": "p", "log": [{"network": "tls", "address": "127.0.0.1:1", "cert": "x"}]`,
			"/log/0/key"},
		{"pilot", pilotText, `"name": "p"`,
			`"name": "p", "log": [{"network": "udp", "address": "127.0.0.1:1", "spool_bytes": 9000}]`, "/log/0/spool_bytes"},
		{"pilot", pilotText, `"name": "p"`,
			`"name": "p", "log": [{"network": "tcp", "address": "127.0.0.1:1", "spool": "s"}, {"network": "tcp", "address": "127.0.0.1:2", "spool": "s"}]`, "/log/1/spool"},
		{"proxy", proxyText, `"id": 1, "zone": "a"`, `"id": 1, "zone": "c"`, "/zone"},
		{"proxy", proxyText, `:7000", "zone": "a"`, `:7000", "zone": "c"`, "/pilots/0/zone"},
		{"proxy", proxyText, `:80", "zone": "a"`, `:80", "zone": "c"`, "/servers/0/zone"},
		{"proxy", proxyText, `"127.0.0.1:80"`, `"localhost:80"`, "/servers/0/address"},
		{"proxy", proxyText, `"endpoint": 2`, `"endpoint": 1`, "/servers/1/endpoint"},
		{"proxy", proxyText, `"rate": 10`, `"rate": 10, "silent_after": "900ms"`, "/silent_after"},
		{"roster", rosterText, `:80", "zone": "a"`, `:80", "zone": "c"`, "/entries/0/zone"},
		{"roster", rosterText, `"127.0.0.1:81"`, `"here:81"`, "/entries/1/address"},
		{"roster", rosterText, `"endpoint": 2`, `"endpoint": 1`, "/entries/1/endpoint"},
		{"day", string(day), `"of_capacity": 0.35`, `"of_capacity": 0.35, "ops_per_second": 10`, "/load/of_capacity"},
		{"day", string(day), `{"op_type": "page-read"`, `{"op_type": "none"`, "/load/works/0/op_type"},
		{"day", string(day), `"mean": "140ms"`, `"mean": "0s"`, "/load/works/0/mean"},
		{"day", string(day), `"spread": 0.8`, `"spread": 0.8, "zone_share": [1]`, "/load/zone_share"},
		{"day", string(day), `"at": "3s"`, `"at": "300s"`, "/troubles/0/at"},
		{"day", string(day), `"speed": [0.85, 1.1]`, `"speed": [1.85, 1.1]`, "/fleet/machines/0/speed"},
	} {
		to := map[string]any{"pilot": &files.Pilot{}, "proxy": &files.Proxy{}, "roster": &files.Roster{}, "day": &files.Day{}}[c.kind]
		if err := files.Parse("f.json", []byte(c.text), c.kind, to); err != nil {
			t.Fatal(err)
		}
		text := strings.Replace(c.text, c.from, c.to, 1)
		if text == c.text {
			t.Fatalf("the replacement %s changes nothing", c.from)
		}
		err := files.Parse("f.json", []byte(text), c.kind, to)
		if err == nil || !strings.HasPrefix(err.Error(), "f.json: "+c.at+": found ") || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s for %s: %v", c.to, c.at, err)
		}
	}
}

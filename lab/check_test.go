package lab

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"net/netip"
	"strings"
	"testing"
	"time"

	"vetchdoor/control"
	"vetchdoor/files"
	"vetchdoor/lab/days"
	"vetchdoor/lab/link"
	"vetchdoor/lab/node"
	"vetchdoor/proxy"
	"vetchdoor/roster"
	"vetchdoor/runtime"
)

// scenario is hand-written evidence: the traffic that a pilot and a proxy, correct or faulty, would have left on the taps.
type scenario struct {
	evidence
	number     uint64
	violations []Violation // result of the last call of brokenRules
}

// sec is the unit of time of the scenarios.
const sec = time.Second

// newScenario returns a scenario with the settings of the default day, in which the pilot lists endpoints 1 and 2 as
// ready from the start.
func newScenario() *scenario {
	d, err := days.Read(days.Default)
	if err != nil {
		panic(err)
	}
	c := &scenario{evidence: evidence{service: &d.Service, limits: &d.Limits, channel: &d.Channel, start: time.Now(),
		end: 100 * sec}}
	c.list(0, "full", "ready", 1, 2)
	return c
}

// pass adds a piece of traffic on a connection that arrives without delay.
func (c *scenario) pass(at time.Duration, name string, conn int, d link.Direction, text string) {
	c.traffic = append(c.traffic, link.Transfer{Link: name, Conn: conn, Direction: d, ReceivedAt: at, ForwardedAt: at, Data: []byte(text)})
}

// list adds an update of the list service. The mode "started" stands for ready with a start at the time of the update.
func (c *scenario) list(at time.Duration, kind, mode string, ids ...control.EndpointID) {
	u := roster.Update{Kind: kind, Version: uint64(len(c.traffic) + 1)}
	for _, id := range ids {
		e := roster.Entry{Endpoint: id, Address: netip.MustParseAddrPort("127.0.0.1:80"), Zone: c.service.Zones[id%2], Weight: 1,
			Mode: mode}
		if mode == "started" {
			e.Mode, e.Started = "ready", c.start.Add(at).UnixMilli()
		}
		u.Entries = append(u.Entries, e)
	}
	b, err := json.Marshal(u)
	if err != nil {
		panic(err)
	}
	c.pass(at, "list 0", 1, link.Down, string(b)+"\n")
}

// join adds the hello of proxy 3 and the pilot's welcome.
func (c *scenario) join(at time.Duration) {
	h := runtime.Hello{Proxy: 3, Token: "t", Pilot: "-", Window: 100, Standing: []control.EndpointID{1, 2}}
	c.pass(at, "stream 3 0", 2, link.Up, string(h.Append(nil)))
	c.pass(at, "stream 3 0", 2, link.Down, string(runtime.Welcome{Pilot: "p", Run: uint64(c.start.UnixMicro())}.Append(nil)))
}

// message adds a message that was decided, sent and confirmed at the given times.
func (c *scenario) message(ordered, sent, confirmed time.Duration, lines int, changes ...string) {
	c.number++
	m := runtime.Message{Pilot: "p", Run: uint64(c.start.UnixMicro()), Number: c.number, CreatedAt: ordered, Lines: lines, Checkpoint: -1}
	for _, line := range changes {
		x, err := runtime.ParseChange(strings.Fields(line))
		if err != nil {
			panic(err)
		}
		m.Changes = append(m.Changes, x)
	}
	c.pass(sent, "stream 3 0", 2, link.Down, string(m.Append(nil)))
	c.pass(confirmed, "stream 3 0", 2, link.Up, string(runtime.Confirmation{Run: m.Run, Number: m.Number, Checkpoint: -1}.Append(nil)))
}

// try adds a try that reached a node through proxy 3.
func (c *scenario) try(at time.Duration, e control.EndpointID, op uint64, opType int, taken bool) {
	c.arrivals = append(c.arrivals, node.Arrival{At: at, Endpoint: e, Proxy: 3, Op: op, OpType: opType,
		Work: 100 * time.Millisecond, Accepted: taken})
}

// brokenRules checks the scenario and returns the numbers of the violated rules, one digit per violation.
func (c *scenario) brokenRules(t *testing.T) string {
	t.Helper()
	h, err := c.reconstruct(1)
	if err != nil {
		t.Fatal(err)
	}
	c.violations = c.check(h)
	out := ""
	for _, b := range c.violations {
		out += fmt.Sprint(b.Rule)
	}
	return out
}

// TestCheckers checks each rule's checker with evidence that keeps the rule by a small margin and with evidence that breaks
// it by a small margin.
func TestCheckers(t *testing.T) {
	const mapAll = "set map op-types * t0"
	const one, two = "add server t0/e1 127.0.0.1:80 weight 1 zone 0 pack 0", "add server t0/e2 127.0.0.1:80 weight 1 zone 1 pack 0"
	for _, c := range []struct {
		name, want string
		play       func(c *scenario)
	}{
		{"correct", "", func(c *scenario) {
			c.join(sec)
			c.message(2*sec, 2*sec, 3*sec, 8, one, two, mapAll)
			c.try(4*sec, 1, 1, 0, true)
		}},
		{"empty table within the limit", "", func(c *scenario) {
			c.join(sec)
			c.message(2*sec, 2*sec, 2*sec, 5, mapAll)
			c.message(4*sec, 4*sec, 4500*time.Millisecond, 5, one)
		}},
		{"empty table past the limit", "11", func(c *scenario) {
			c.join(sec)
			c.message(2*sec, 2*sec, 2*sec, 5, mapAll)
			c.message(4*sec, 4*sec, 5500*time.Millisecond, 5, one)
		}},
		{"all endpoints withdrawn", "11", func(c *scenario) {
			c.join(sec)
			c.message(2*sec, 2*sec, 2*sec, 5, "set server */e1 state drain", "set server */e2 state drain")
		}},
		{"empty table while no warm endpoint is listed", "", func(c *scenario) {
			c.list(sec, "full", "started", 1)
			c.join(sec)
			c.message(2*sec, 2*sec, 2*sec, 5, mapAll)
			c.end = 10 * sec
		}},
		{"retry after a refusal", "", func(c *scenario) { c.try(sec, 1, 1, 1, false); c.try(sec, 2, 1, 1, true) }},
		{"retry in the group and the window", "", func(c *scenario) { c.try(sec, 1, 1, 1, true); c.try(2*sec, 1, 1, 1, true) }},
		{"retry outside the group", "2", func(c *scenario) { c.try(sec, 1, 1, 1, true); c.try(sec, 2, 1, 1, true) }},
		{"retry after the window", "2", func(c *scenario) { c.try(sec, 1, 1, 1, true); c.try(3*sec, 1, 1, 1, true) }},
		{"retry of a once-only op", "2", func(c *scenario) {
			c.service.OpTypes[1].Repeat = "once-only"
			c.try(sec, 1, 1, 1, true)
			c.try(sec, 1, 1, 1, true)
		}},
		{"retry of a retryable op", "", func(c *scenario) { c.try(sec, 1, 1, 0, true); c.try(9*sec, 2, 1, 0, true) }},
		{"draining, within the grace period", "", func(c *scenario) {
			c.join(sec)
			c.list(2*sec, "changes", "draining", 2)
			c.try(4500*time.Millisecond, 2, 1, 0, true)
		}},
		{"draining, past the grace period", "3", func(c *scenario) {
			c.join(sec)
			c.list(2*sec, "changes", "draining", 2)
			c.try(5*sec, 2, 1, 0, true)
		}},
		{"missing from a full list", "3", func(c *scenario) {
			c.join(sec)
			c.list(2*sec, "full", "ready", 1)
			c.try(5*sec, 2, 1, 0, true)
		}},
		{"grace period counted from the join", "", func(c *scenario) {
			c.list(2*sec, "changes", "gone", 2)
			c.join(20 * sec)
			c.try(22*sec, 2, 1, 0, true)
		}},
		{"gone, proxy not joined", "", func(c *scenario) { c.list(2*sec, "changes", "gone", 2); c.try(22*sec, 2, 1, 0, true) }},
		{"cold, overloaded by an informed proxy", "4", func(c *scenario) {
			c.list(2*sec, "changes", "started", 2)
			c.join(sec)
			c.message(3*sec, 3*sec, 3*sec, 5, one, two, mapAll)
			c.try(4*sec, 2, 1, 0, true)
			c.coldCrashes = []node.Crash{{At: 4 * sec, Endpoint: 2}}
		}},
		{"cold, overloaded by an uninformed proxy", "", func(c *scenario) {
			c.list(2*sec, "changes", "started", 2)
			c.join(sec)
			c.try(3*sec, 2, 1, 0, true)
			c.coldCrashes = []node.Crash{{At: 3 * sec, Endpoint: 2}}
		}},
		{"full queue", "", func(c *scenario) { c.join(sec); c.message(2*sec, 4*sec, 5*sec, 9600, one, two, mapAll) }},
		{"queue past its bound", "5", func(c *scenario) {
			c.join(sec)
			c.message(2*sec, 4*sec, 5*sec, 9000, one, two, mapAll)
			c.message(3*sec, 5*sec, 5*sec, 900, one)
		}},
		{"lines faster than the limit", "5", func(c *scenario) {
			c.join(sec)
			for i := range time.Duration(20) {
				c.message(sec+i, sec+i, sec+i, 480, one, two, mapAll)
			}
			for i := range time.Duration(20) {
				c.message(sec*3/2+i, sec*3/2+i, sec*3/2+i, 480, one, two, mapAll)
			}
			c.channel.MaxWaitingLines = 1 << 20
		}},
		{"more messages than the cap", "5", func(c *scenario) {
			c.channel.MessageCap, c.channel.MessageCapPeriod = 3, files.Duration(10*sec)
			c.join(sec)
			for i := range time.Duration(4) {
				c.message(2*sec*(i+1), 2*sec*(i+1), 2*sec*(i+1), 5, one, two, mapAll)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := newScenario()
			c.play(x)
			if got := x.brokenRules(t); got != c.want {
				t.Errorf("violated rules %q, want %q: %v", got, c.want, x.violations)
			}
		})
	}
}

// shortDay returns a day of seven seconds with a deploy in it.
func shortDay(t *testing.T) *files.Day {
	d, err := days.Read("calm-evening")
	if err != nil {
		t.Fatal(err)
	}
	d.Length = files.Duration(7 * sec)
	d.Limits.DrainGrace = files.Duration(2 * sec)
	d.Net.Push, d.Net.Hears = files.Duration(20*time.Millisecond), files.Duration(20*time.Millisecond)
	d.List.Add = files.Duration(100 * time.Millisecond)
	d.Troubles = []files.Trouble{{Kind: "deploy", At: files.Duration(sec), Length: files.Duration(sec), Part: 0.2, Size: 0.2,
		Extra: 5}}
	return d
}

// TestFaultyProxy plays a day over sockets. With correct proxies no rule is broken; with proxies that ignore withdrawals
// rule 3 is broken and no other.
func TestFaultyProxy(t *testing.T) {
	for _, faulty := range []bool{false, true} {
		t.Run(fmt.Sprintf("faulty %t", faulty), func(t *testing.T) {
			t.Parallel()
			o := Options{Log: slog.New(slog.DiscardHandler)}
			if faulty {
				o.wrapProxy = func(f *files.Proxy, p *proxy.Proxy) {
					p.ApplyDelay = func(m *runtime.Message) time.Duration {
						kept := m.Changes[:0]
						for _, c := range m.Changes {
							if !c.Drained && c.Verb != runtime.DelServer {
								kept = append(kept, c)
							}
						}
						m.Changes = kept
						return 0
					}
				}
			}
			r, err := playDay(t, shortDay(t), o)
			if err != nil {
				t.Fatal(err)
			}
			third := 0
			for _, b := range r.Violations {
				if b.Rule == 3 {
					third++
				} else {
					t.Errorf("%+v", b)
				}
			}
			if (third > 0) != faulty {
				t.Errorf("rule 3 broken %d times", third)
			}
			if r.Ops < 100 || r.Tries < r.Ops/2 || r.Effects == 0 {
				t.Errorf("%d ops, %d tries, %d effects", r.Ops, r.Tries, r.Effects)
			}
		})
	}
}

// TestAccount checks the service score of a small set of ops against values computed by hand.
func TestAccount(t *testing.T) {
	d, err := days.Read(days.Default)
	if err != nil {
		t.Fatal(err)
	}
	d.Length = files.Duration(20 * sec)
	d.Goal = files.Goal{Whole: 1, WorstWindow: 1, WorstType: 1, Tail: 1, TailMiss: 0.1}
	d.Prices = files.Prices{LateFail: 0.1, Handshake: 0.5}
	var ops []*op
	for i := range 20 {
		ops = append(ops, &op{due: time.Duration(i) * sec, opType: 0, outcome: opAcked,
			ended: time.Duration(i)*sec + 100*time.Millisecond})
	}
	ops[3].ended += sec // acked after the target latency: earns a fifth of its revenue
	ops[4].outcome = opAborted
	ops[4].ended += 2 * sec
	ops[12].outcome = opRejected
	got := scoreService(d, ops, costs{handshakes: 2})
	near := func(what string, got, want float64) {
		t.Helper()
		if got < want-1e-9 || got > want+1e-9 {
			t.Errorf("%s %v, want %v", what, got, want)
		}
	}
	near("whole", got.Whole, 17.2/20)
	near("worst window", got.WorstWindow, 7.2/10) // the worst window is from second 3 to second 12
	near("price", got.Price, 0.1*1/20+0.5*2/20)
}

// TestListServiceDown guards against a pilot that needs the list service at its start. The list service is down for the
// whole day and the pilot is killed in it: the new run must serve from its cached list and send tables to all proxies, with
// the rules kept.
func TestListServiceDown(t *testing.T) {
	t.Parallel()
	d := shortDay(t)
	d.Troubles = []files.Trouble{{Kind: "balancer_crash", At: files.Duration(sec), Length: files.Duration(sec / 2), Extra: 1}}
	o := Options{Log: slog.New(slog.DiscardHandler), beforeLoad: func(f *fleet) { f.list.SetDown(true) }}
	r, err := playDay(t, d, o)
	if err != nil {
		t.Fatal(err)
	}
	if !r.AllRulesKept() || r.Joins < 2*d.Fleet.Proxies || r.Service.Whole < 0.3 {
		t.Errorf("%d joins of %d proxies, service %v, violations %v", r.Joins, d.Fleet.Proxies, r.Service.Whole, r.Violations)
	}
	if r.Messages < 2*d.Fleet.Proxies {
		t.Errorf("%d messages: the second run of the pilot sent no tables", r.Messages)
	}
}

// TestEveryTroubleKind checks that every kind of trouble in the day schema has an implementation.
func TestEveryTroubleKind(t *testing.T) {
	b, err := files.SchemaOf("day")
	if err != nil {
		t.Fatal(err)
	}
	var doc struct {
		Defs struct {
			Trouble struct {
				Properties struct{ Kind struct{ Enum []string } }
			}
		} `json:"$defs"`
	}
	if err := json.Unmarshal(b, &doc); err != nil {
		t.Fatal(err)
	}
	kinds := doc.Defs.Trouble.Properties.Kind.Enum
	if len(kinds) != 25 {
		t.Errorf("%d kinds of trouble in the schema", len(kinds))
	}
	for _, k := range kinds {
		if troubles[k] == nil {
			t.Errorf("trouble %s is not implemented", k)
		}
	}
}

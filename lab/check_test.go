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

// scene is evidence written by hand: what a pilot and a proxy, faithful or not, would have left on the taps.
type scene struct {
	evidence
	number uint64
	breaks []Violation // as last checked
}

const s = time.Second

func newScene() *scene {
	d, err := days.Read(days.Default)
	if err != nil {
		panic(err)
	}
	c := &scene{evidence: evidence{service: &d.Service, limits: &d.Limits, channel: &d.Channel, from: time.Now(), until: 100 * s}}
	c.list(0, "full", "ready", 1, 2)
	return c
}

func (c *scene) pass(at time.Duration, name string, conn int, d link.Direction, text string) {
	c.passed = append(c.passed, link.Passed{Link: name, Conn: conn, Direction: d, Came: at, Gone: at, Data: []byte(text)})
}

func (c *scene) list(at time.Duration, kind, mode string, ids ...control.EndpointID) {
	u := roster.Update{Kind: kind, Version: uint64(len(c.passed) + 1)}
	for _, id := range ids {
		e := roster.Entry{Endpoint: id, Address: netip.MustParseAddrPort("127.0.0.1:80"), Zone: c.service.Zones[id%2], Weight: 1, Mode: mode}
		if mode == "started" {
			e.Mode, e.Started = "ready", c.from.Add(at).UnixMilli()
		}
		u.Entries = append(u.Entries, e)
	}
	b, err := json.Marshal(u)
	if err != nil {
		panic(err)
	}
	c.pass(at, "list 0", 1, link.Down, string(b)+"\n")
}

func (c *scene) join(at time.Duration) {
	h := runtime.Hello{Proxy: 3, Token: "t", Pilot: "-", Window: 100, Standing: []control.EndpointID{1, 2}}
	c.pass(at, "stream 3 0", 2, link.Up, string(h.Append(nil)))
	c.pass(at, "stream 3 0", 2, link.Down, string(runtime.Welcome{Pilot: "p", Run: uint64(c.from.UnixMicro())}.Append(nil)))
}

// order is a message ordered, sent and confirmed at these times.
func (c *scene) order(ordered, sent, confirmed time.Duration, lines int, changes ...string) {
	c.number++
	m := runtime.Message{Pilot: "p", Run: uint64(c.from.UnixMicro()), Number: c.number, At: ordered, Lines: lines, Checkpoint: -1}
	for _, line := range changes {
		x, err := runtime.ParseChange(strings.Fields(line))
		if err != nil {
			panic(err)
		}
		m.Changes = append(m.Changes, x)
	}
	c.pass(sent, "stream 3 0", 2, link.Down, string(m.Append(nil)))
	c.pass(confirmed, "stream 3 0", 2, link.Up, string(runtime.InForce{Run: m.Run, Number: m.Number, Checkpoint: -1}.Append(nil)))
}

// try is one that reached a node.
func (c *scene) try(at time.Duration, e control.EndpointID, op uint64, opType int, taken bool) {
	c.arrivals = append(c.arrivals, node.Arrival{At: at, Endpoint: e, Proxy: 3, Op: op, OpType: opType, Work: 100 * time.Millisecond, Taken: taken})
}

func (c *scene) rules(t *testing.T) string {
	t.Helper()
	h, err := c.read(1)
	if err != nil {
		t.Fatal(err)
	}
	c.breaks = c.check(h)
	out := ""
	for _, b := range c.breaks {
		out += fmt.Sprint(b.Rule)
	}
	return out
}

// Each rule's checker is seen passing what is kept by a little and failing what is broken by a little.
func TestCheckers(t *testing.T) {
	const bind = "set map op-types * t0"
	const one, two = "add server t0/e1 127.0.0.1:80 weight 1 zone 0 pack 0", "add server t0/e2 127.0.0.1:80 weight 1 zone 1 pack 0"
	for _, c := range []struct {
		name, want string
		play       func(c *scene)
	}{
		{"faithful", "", func(c *scene) { c.join(s); c.order(2*s, 2*s, 3*s, 8, one, two, bind); c.try(4*s, 1, 1, 0, true) }},
		{"bare, soon mended", "", func(c *scene) {
			c.join(s)
			c.order(2*s, 2*s, 2*s, 5, bind)
			c.order(4*s, 4*s, 4500*time.Millisecond, 5, one)
		}},
		{"bare too long", "11", func(c *scene) {
			c.join(s)
			c.order(2*s, 2*s, 2*s, 5, bind)
			c.order(4*s, 4*s, 5500*time.Millisecond, 5, one)
		}},
		{"all withdrawn", "11", func(c *scene) {
			c.join(s)
			c.order(2*s, 2*s, 2*s, 5, "set server */e1 state drain", "set server */e2 state drain")
		}},
		{"bare, but nobody warm is listed", "", func(c *scene) {
			c.list(s, "full", "started", 1)
			c.join(s)
			c.order(2*s, 2*s, 2*s, 5, bind)
			c.until = 10 * s
		}},
		{"a refusal followed", "", func(c *scene) { c.try(s, 1, 1, 1, false); c.try(s, 2, 1, 1, true) }},
		{"in the group, in the window", "", func(c *scene) { c.try(s, 1, 1, 1, true); c.try(2*s, 1, 1, 1, true) }},
		{"outside the group", "2", func(c *scene) { c.try(s, 1, 1, 1, true); c.try(s, 2, 1, 1, true) }},
		{"after the window", "2", func(c *scene) { c.try(s, 1, 1, 1, true); c.try(3*s, 1, 1, 1, true) }},
		{"once-only again", "2", func(c *scene) {
			c.service.OpTypes[1].Repeat = "once-only"
			c.try(s, 1, 1, 1, true)
			c.try(s, 1, 1, 1, true)
		}},
		{"retryable again", "", func(c *scene) { c.try(s, 1, 1, 0, true); c.try(9*s, 2, 1, 0, true) }},
		{"drain, inside the grace", "", func(c *scene) {
			c.join(s)
			c.list(2*s, "changes", "draining", 2)
			c.try(4500*time.Millisecond, 2, 1, 0, true)
		}},
		{"drain, past the grace", "3", func(c *scene) { c.join(s); c.list(2*s, "changes", "draining", 2); c.try(5*s, 2, 1, 0, true) }},
		{"gone from the whole list", "3", func(c *scene) { c.join(s); c.list(2*s, "full", "ready", 1); c.try(5*s, 2, 1, 0, true) }},
		{"the grace from the joining", "", func(c *scene) { c.list(2*s, "changes", "gone", 2); c.join(20 * s); c.try(22*s, 2, 1, 0, true) }},
		{"not joined", "", func(c *scene) { c.list(2*s, "changes", "gone", 2); c.try(22*s, 2, 1, 0, true) }},
		{"cold, pushed over knowingly", "4", func(c *scene) {
			c.list(2*s, "changes", "started", 2)
			c.join(s)
			c.order(3*s, 3*s, 3*s, 5, one, two, bind)
			c.try(4*s, 2, 1, 0, true)
			c.falls = []node.Fall{{At: 4 * s, Endpoint: 2}}
		}},
		{"cold, pushed over unknowingly", "", func(c *scene) {
			c.list(2*s, "changes", "started", 2)
			c.join(s)
			c.try(3*s, 2, 1, 0, true)
			c.falls = []node.Fall{{At: 3 * s, Endpoint: 2}}
		}},
		{"a full queue", "", func(c *scene) { c.join(s); c.order(2*s, 4*s, 5*s, 9600, one, two, bind) }},
		{"a queue past its bound", "5", func(c *scene) {
			c.join(s)
			c.order(2*s, 4*s, 5*s, 9000, one, two, bind)
			c.order(3*s, 5*s, 5*s, 900, one)
		}},
		{"faster than its pace", "5", func(c *scene) {
			c.join(s)
			for i := range time.Duration(20) {
				c.order(s+i, s+i, s+i, 480, one, two, bind)
			}
			for i := range time.Duration(20) {
				c.order(s*3/2+i, s*3/2+i, s*3/2+i, 480, one, two, bind)
			}
			c.channel.MostWaiting = 1 << 20
		}},
		{"more messages than the cap", "5", func(c *scene) {
			c.channel.MessageCap, c.channel.MessageCapOver = 3, files.Duration(10*s)
			c.join(s)
			for i := range time.Duration(4) {
				c.order(2*s*(i+1), 2*s*(i+1), 2*s*(i+1), 5, one, two, bind)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := newScene()
			c.play(x)
			if got := x.rules(t); got != c.want {
				t.Errorf("rules broken: %q, want %q: %v", got, c.want, x.breaks)
			}
		})
	}
}

// brief is a day of a few seconds with a deploy in it.
func brief(t *testing.T) *files.Day {
	d, err := days.Read("calm-evening")
	if err != nil {
		t.Fatal(err)
	}
	d.Length = files.Duration(7 * s)
	d.Limits.DrainGrace = files.Duration(2 * s)
	d.Net.Push, d.Net.Hears = files.Duration(20*time.Millisecond), files.Duration(20*time.Millisecond)
	d.List.Add = files.Duration(100 * time.Millisecond)
	d.Troubles = []files.Trouble{{Kind: "deploy", At: files.Duration(s), Length: files.Duration(s), Part: 0.2, Size: 0.2, Extra: 5}}
	return d
}

// A day over sockets with a faithful proxy keeps the rules; with one that does not obey withdrawals it breaks the third.
func TestFaultyProxy(t *testing.T) {
	for _, faulty := range []bool{false, true} {
		t.Run(fmt.Sprintf("faulty %t", faulty), func(t *testing.T) {
			t.Parallel()
			o := Options{Log: slog.New(slog.DiscardHandler)}
			if faulty {
				o.faulty = func(f *files.Proxy, p *proxy.Proxy) {
					p.ApplyFor = func(m *runtime.Message) time.Duration {
						kept := m.Changes[:0]
						for _, c := range m.Changes {
							if !c.Out && c.Verb != runtime.DelServer {
								kept = append(kept, c)
							}
						}
						m.Changes = kept
						return 0
					}
				}
			}
			r, err := playDay(t, brief(t), o)
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

// Service is added up as the account defines it.
func TestAccount(t *testing.T) {
	d, err := days.Read(days.Default)
	if err != nil {
		t.Fatal(err)
	}
	d.Length = files.Duration(20 * s)
	d.Goal = files.Goal{Whole: 1, WorstWindow: 1, WorstType: 1, Tail: 1, TailMiss: 0.1}
	d.Prices = files.Prices{LateFail: 0.1, Handshake: 0.5}
	var ops []*op
	for i := range 20 {
		ops = append(ops, &op{at: time.Duration(i) * s, opType: 0, outcome: opAcked, ended: time.Duration(i)*s + 100*time.Millisecond})
	}
	ops[3].ended += s // late: a fifth of its revenue
	ops[4].outcome = opAborted
	ops[4].ended += 2 * s
	ops[12].outcome = opRejected
	got := account(d, ops, spending{handshakes: 2})
	near := func(what string, got, want float64) {
		t.Helper()
		if got < want-1e-9 || got > want+1e-9 {
			t.Errorf("%s %v, want %v", what, got, want)
		}
	}
	near("whole", got.Whole, 17.2/20)
	near("worst window", got.WorstWindow, 7.2/10) // seconds 3 to 12
	near("price", got.Price, 0.1*1/20+0.5*2/20)
}

// With the list service gone for the whole day and the pilot killed in it, the cached list carries on: proxies get their
// tables from the new run, and the rules are kept.
func TestNoListAllDay(t *testing.T) {
	t.Parallel()
	d := brief(t)
	d.Troubles = []files.Trouble{{Kind: "balancer_crash", At: files.Duration(s), Length: files.Duration(s / 2), Extra: 1}}
	o := Options{Log: slog.New(slog.DiscardHandler), begin: func(f *fleet) { f.list.Down(true) }}
	r, err := playDay(t, d, o)
	if err != nil {
		t.Fatal(err)
	}
	if !r.AllRulesKept() || r.Joins < 2*d.Fleet.Proxies || r.Service.Whole < 0.3 {
		t.Errorf("%d joins of %d proxies, service %v, breaks %v", r.Joins, d.Fleet.Proxies, r.Service.Whole, r.Violations)
	}
	if r.Messages < 2*d.Fleet.Proxies {
		t.Errorf("%d messages: the second run laid no tables", r.Messages)
	}
}

// Every kind of trouble that a day may name is played.
func TestKinds(t *testing.T) {
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
		t.Errorf("%d kinds", len(kinds))
	}
	for _, k := range kinds {
		if troubles[k] == nil {
			t.Errorf("%s is not played", k)
		}
	}
}

package lab

import (
	"strings"
	"testing"
	"time"

	"vetchdoor/control"
	"vetchdoor/lab/node"
)

// clientTry adds a client's try of op 1 that reached a node through a proxy.
func (c *scenario) clientTry(at time.Duration, proxy int, e control.EndpointID, taken bool) {
	o := c.ops[0]
	c.arrivals = append(c.arrivals, node.Arrival{At: at, Endpoint: e, Proxy: proxy, Op: o.number, Try: o.tries,
		OpType: o.opType, Accepted: taken})
	o.tries++
}

// effect adds a try that took effect 100 ms after it arrived.
func (c *scenario) effect(at time.Duration, proxy int, e control.EndpointID) {
	c.clientTry(at, proxy, e, true)
	c.effects = append(c.effects, node.Effect{At: at + sec/10, ArrivedAt: at, Endpoint: e, Op: c.ops[0].number,
		OpType: c.ops[0].opType})
}

// TestDuplicateEffects checks that an effect beyond the first breaks rule 2 unless the settings allow it or the client made
// a retry that it may not make.
func TestDuplicateEffects(t *testing.T) {
	const read, tally = 0, 1
	for _, c := range []struct {
		name   string
		opType int
		repeat string // repeat setting of the op type; empty for the day's
		breaks bool
		all    int
		play   func(c *scenario)
	}{
		{"once", tally, "", false, 0, func(c *scenario) { c.effect(sec, 3, 1) }},
		{"dropped retry", tally, "", false, 0, func(c *scenario) { c.effect(sec, 3, 1); c.clientTry(3*sec/2, 4, 1, true) }},
		{"other proxy, within the window", tally, "", true, 1, func(c *scenario) { c.effect(sec, 3, 1); c.effect(5*sec/2-1, 4, 2) }},
		{"other proxy, at the end of the window", tally, "", false, 1,
			func(c *scenario) { c.effect(sec, 3, 1); c.effect(5*sec/2, 4, 2) }},
		{"same proxy, within the window", tally, "", true, 1, func(c *scenario) { c.effect(sec, 3, 1); c.effect(5*sec/2-1, 3, 2) }},
		{"same proxy, at the end of the window", tally, "", false, 1,
			func(c *scenario) { c.effect(sec, 3, 1); c.effect(5*sec/2, 3, 2) }},
		{"same pod, within the window", tally, "", true, 1, func(c *scenario) { c.effect(sec, 3, 1); c.effect(2*sec, 4, 1) }},
		{"window counted from a try without an effect", tally, "", false, 1, func(c *scenario) {
			c.clientTry(sec, 3, 1, true)
			c.effect(2*sec, 3, 1)
			c.effect(5*sec/2, 4, 2)
		}},
		{"window not counted from a refused try", tally, "", true, 1, func(c *scenario) {
			c.clientTry(sec, 3, 1, false)
			c.effect(2*sec, 3, 1)
			c.effect(5*sec/2, 4, 2)
		}},
		{"effect of the first try last", tally, "", true, 1, func(c *scenario) {
			c.effect(sec, 3, 1)
			c.effect(2*sec, 4, 2)
			c.effects[0].At = 9 * sec
		}},
		{"effect of the first try last, second try after the window", tally, "", false, 1, func(c *scenario) {
			c.effect(sec, 3, 1)
			c.effect(5*sec/2, 4, 2)
			c.effects[0].At = 9 * sec
		}},
		{"within the window and after it", tally, "", true, 2,
			func(c *scenario) { c.effect(sec, 3, 1); c.effect(2*sec, 4, 2); c.effect(3*sec, 5, 2) }},
		{"after the window, all tries but the last refused", tally, "", true, 1, func(c *scenario) {
			c.effect(sec, 3, 1)
			c.effect(9*sec, 4, 2)
			c.ops[0].retriedUnrefused = false
		}},
		{"misbehaving client", tally, "", false, 1, func(c *scenario) {
			c.ops[0].misbehaviour = badImpatient
			c.effect(sec, 3, 1)
			c.effect(2*sec, 4, 2)
		}},
		{"misbehaving client with one try", tally, "", true, 1, func(c *scenario) {
			c.ops[0].misbehaviour = badPoison
			c.effect(sec, 3, 1)
			c.effect(2*sec, 3, 2)
			c.ops[0].tries = 1
		}},
		{"sent once, after the window", tally, "", true, 1,
			func(c *scenario) { c.effect(sec, 3, 1); c.effect(9*sec, 3, 2); c.ops[0].tries = 1 }},
		{"retryable", read, "", false, 1, func(c *scenario) { c.effect(sec, 3, 1); c.effect(2*sec, 4, 2) }},
		{"retryable, sent once", read, "", false, 1, func(c *scenario) {
			c.effect(sec, 3, 1)
			c.effect(2*sec, 3, 2)
			c.ops[0].tries = 1
		}},
		{"once-only, retried without a refusal", tally, "once-only", false, 1,
			func(c *scenario) { c.effect(sec, 3, 1); c.effect(2*sec, 4, 2) }},
		{"once-only, retried after a refusal", tally, "once-only", true, 1, func(c *scenario) {
			c.effect(sec, 3, 1)
			c.effect(2*sec, 4, 2)
			c.ops[0].retriedUnrefused = false
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := newScenario()
			if c.repeat != "" {
				x.service.OpTypes[c.opType].Repeat = c.repeat
			}
			x.ops = []*op{{number: 1, opType: c.opType, retriedUnrefused: true}}
			c.play(x)
			if got := x.brokenRules(t); got != map[bool]string{true: "2"}[c.breaks] {
				t.Errorf("violated rules %q: %v", got, x.violations)
			}
			if all := len(x.duplicates()); all != c.all {
				t.Errorf("%d effects beyond the first, want %d", all, c.all)
			}
		})
	}
}

// TestDuplicateEffectReports checks that a violation names pods, proxies and times, and that five duplicate effects are
// reported singly and the rest counted.
func TestDuplicateEffectReports(t *testing.T) {
	x := newScenario()
	for i := range 8 {
		x.ops = append([]*op{{number: uint64(i + 1), opType: 1, retriedUnrefused: true, tenant: 7}}, x.ops...)
		x.effect(sec, 3, 1)
		x.clientTry(3*sec/2, 5, 1, false)
		x.effect(2*sec, 4, 2)
	}
	if got := x.brokenRules(t); got != "222222" {
		t.Errorf("violated rules %q", got)
	}
	for _, part := range []string{"tally-post of newsroom-7", "1s try 0 proxy 3 pod", "1.5s try 1 proxy 5 pod", "refused",
		"2s try 2 proxy 4 pod", "2.1s pod"} {
		if !strings.Contains(x.violations[0].Description, part) {
			t.Errorf("violation does not contain %q: %s", part, x.violations[0].Description)
		}
	}
	if last := x.violations[5]; !strings.HasPrefix(last.Description, "3 more effects") || last.At != x.end {
		t.Errorf("%+v", last)
	}
}

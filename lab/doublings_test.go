package lab

import (
	"strings"
	"testing"
	"time"

	"vetchdoor/control"
	"vetchdoor/lab/node"
)

// sent is a client's try of op 1 that reached a node through a proxy.
func (c *scene) sent(at time.Duration, proxy int, e control.EndpointID, taken bool) {
	o := c.ops[0]
	c.arrivals = append(c.arrivals, node.Arrival{At: at, Endpoint: e, Proxy: proxy, Op: o.number, Try: o.tries, OpType: o.opType, Taken: taken})
	o.tries++
}

// ran is a try that took effect a tenth of a second after it came.
func (c *scene) ran(at time.Duration, proxy int, e control.EndpointID) {
	c.sent(at, proxy, e, true)
	c.effects = append(c.effects, node.Effect{At: at + s/10, Arrived: at, Endpoint: e, Op: c.ops[0].number, OpType: c.ops[0].opType})
}

// An effect beyond the first breaks rule 2 unless the settings allow it or the client did what it may not.
func TestDoublings(t *testing.T) {
	const read, tally = 0, 1
	for _, c := range []struct {
		name   string
		opType int
		repeat string // of the type, in place of the day's
		breaks bool
		all    int
		play   func(c *scene)
	}{
		{"once", tally, "", false, 0, func(c *scene) { c.ran(s, 3, 1) }},
		{"a repeat that was dropped", tally, "", false, 0, func(c *scene) { c.ran(s, 3, 1); c.sent(3*s/2, 4, 1, true) }},
		{"other proxy, inside the window", tally, "", true, 1, func(c *scene) { c.ran(s, 3, 1); c.ran(5*s/2-1, 4, 2) }},
		{"other proxy, as the window ends", tally, "", false, 1, func(c *scene) { c.ran(s, 3, 1); c.ran(5*s/2, 4, 2) }},
		{"same proxy, inside the window", tally, "", true, 1, func(c *scene) { c.ran(s, 3, 1); c.ran(5*s/2-1, 3, 2) }},
		{"same proxy, as the window ends", tally, "", false, 1, func(c *scene) { c.ran(s, 3, 1); c.ran(5*s/2, 3, 2) }},
		{"same pod, inside the window", tally, "", true, 1, func(c *scene) { c.ran(s, 3, 1); c.ran(2*s, 4, 1) }},
		{"the window counts from a try that took no effect", tally, "", false, 1, func(c *scene) {
			c.sent(s, 3, 1, true)
			c.ran(2*s, 3, 1)
			c.ran(5*s/2, 4, 2)
		}},
		{"the window counts from no try that was refused", tally, "", true, 1, func(c *scene) {
			c.sent(s, 3, 1, false)
			c.ran(2*s, 3, 1)
			c.ran(5*s/2, 4, 2)
		}},
		{"the first try's effect came last", tally, "", true, 1, func(c *scene) {
			c.ran(s, 3, 1)
			c.ran(2*s, 4, 2)
			c.effects[0].At = 9 * s
		}},
		{"the first try's effect came last, the other's try after the window", tally, "", false, 1, func(c *scene) {
			c.ran(s, 3, 1)
			c.ran(5*s/2, 4, 2)
			c.effects[0].At = 9 * s
		}},
		{"inside and after", tally, "", true, 2, func(c *scene) { c.ran(s, 3, 1); c.ran(2*s, 4, 2); c.ran(3*s, 5, 2) }},
		{"after the window, all tries but the last refused", tally, "", true, 1, func(c *scene) {
			c.ran(s, 3, 1)
			c.ran(9*s, 4, 2)
			c.ops[0].unrefused = false
		}},
		{"a client that misbehaves", tally, "", false, 1, func(c *scene) { c.ops[0].bad = badHasty; c.ran(s, 3, 1); c.ran(2*s, 4, 2) }},
		{"one that misbehaves and tried once", tally, "", true, 1, func(c *scene) {
			c.ops[0].bad = badPoison
			c.ran(s, 3, 1)
			c.ran(2*s, 3, 2)
			c.ops[0].tries = 1
		}},
		{"sent once, after the window", tally, "", true, 1, func(c *scene) { c.ran(s, 3, 1); c.ran(9*s, 3, 2); c.ops[0].tries = 1 }},
		{"retryable", read, "", false, 1, func(c *scene) { c.ran(s, 3, 1); c.ran(2*s, 4, 2) }},
		{"retryable, sent once", read, "", false, 1, func(c *scene) { c.ran(s, 3, 1); c.ran(2*s, 3, 2); c.ops[0].tries = 1 }},
		{"once-only, again unrefused", tally, "once-only", false, 1, func(c *scene) { c.ran(s, 3, 1); c.ran(2*s, 4, 2) }},
		{"once-only, again as it was refused", tally, "once-only", true, 1, func(c *scene) {
			c.ran(s, 3, 1)
			c.ran(2*s, 4, 2)
			c.ops[0].unrefused = false
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := newScene()
			if c.repeat != "" {
				x.service.OpTypes[c.opType].Repeat = c.repeat
			}
			x.ops = []*op{{number: 1, opType: c.opType, unrefused: true}}
			c.play(x)
			if got := x.rules(t); got != map[bool]string{true: "2"}[c.breaks] {
				t.Errorf("rules broken: %q: %v", got, x.breaks)
			}
			if all := len(x.doublings()); all != c.all {
				t.Errorf("%d effects beyond the first, want %d", all, c.all)
			}
		})
	}
}

// A break tells of pods, proxies and times; of many, five are told and the rest counted.
func TestDoublingsAreTold(t *testing.T) {
	x := newScene()
	for i := range 8 {
		x.ops = append([]*op{{number: uint64(i + 1), opType: 1, unrefused: true, tenant: 7}}, x.ops...)
		x.ran(s, 3, 1)
		x.sent(3*s/2, 5, 1, false)
		x.ran(2*s, 4, 2)
	}
	if got := x.rules(t); got != "222222" {
		t.Errorf("rules broken: %q", got)
	}
	for _, part := range []string{"tally-post of newsroom-7", "1s try 0 proxy 3 pod", "1.5s try 1 proxy 5 pod", "refused", "2s try 2 proxy 4 pod", "2.1s pod"} {
		if !strings.Contains(x.breaks[0].Description, part) {
			t.Errorf("%q is not told: %s", part, x.breaks[0].Description)
		}
	}
	if last := x.breaks[5]; !strings.HasPrefix(last.Description, "3 more effects") || last.At != x.until {
		t.Errorf("%+v", last)
	}
}

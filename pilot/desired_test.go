package pilot

import (
	"fmt"
	"net/netip"
	"reflect"
	"strings"
	"testing"
	"time"

	"vetchdoor/control"
	"vetchdoor/runtime"
)

// serverAt returns the address and zone (0 or 1) of an endpoint, and whether its id is below 100, which means that it is known.
func serverAt(e control.EndpointID) (runtime.Server, bool) {
	return runtime.Server{Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(8000+e)), Zone: int(e % 2)}, e < 100
}

// formatMessages formats messages, one per line: proxy, number, lines, checkpoint, changes.
func formatMessages(ms []outgoing) string {
	var out []string
	for _, m := range ms {
		s := fmt.Sprintf("p%d #%d %d", m.proxy, m.Number, m.Lines)
		if m.Checkpoint >= 0 {
			s += fmt.Sprintf(" ?%d", m.Checkpoint)
		}
		for _, c := range m.Changes {
			s += "; " + c.String()
		}
		out = append(out, s)
	}
	return strings.Join(out, "\n")
}

// The orders of one reply become one message for each proxy concerned and none for others. A newly bound proxy gets the whole
// table.
func TestDesiredState(t *testing.T) {
	ds := newDesiredState(2, 3, serverAt)
	ds.join(1, []control.EndpointID{7}, false, 0)
	ds.join(2, nil, true, 41)
	step := func(name, want string, orders ...control.Order) {
		t.Helper()
		got, _ := ds.translate(orders)
		if formatMessages(got) != want {
			t.Errorf("%s:\n%s\nwant\n%s", name, formatMessages(got), want)
		}
	}
	step("table without a bound proxy", "", control.PutLine{Table: 0, Endpoint: 5, Weight: 2},
		control.PutLine{Table: 0, Endpoint: 6, Weight: 1},
		control.Checkpoint{Number: 1})
	step("level for all tables", "p1 #1 5 ?2; set level * 0 0.5 again if-unrun\np2 #42 5 ?2; set level * 0 0.5 again if-unrun",
		control.SetLevel{Table: control.Everywhere, OpTypes: 1, Level: 0.5, RetryPolicy: control.RetryIfUnrun}, control.Checkpoint{Number: 2})
	step("withdrawal of an endpoint in standing or unknown tables",
		"p1 #2 4; set server */e7 state drain\np2 #43 4; set server */e7 state drain",
		control.Suspend{Endpoint: 7, Out: true})
	step("withdrawal only to proxies that may use the endpoint", "p2 #44 4; set server */e6 state drain",
		control.Suspend{Endpoint: 6, Out: true})
	step("bind", "p1 #3 11 ?3; set server */* state ready; set server */e7 state drain; clear table t0; "+
		"add server t0/e5 127.0.0.1:8005 weight 2 zone 1 pack 0; set server */e6 state drain; "+
		"add server t0/e6 127.0.0.1:8006 weight 1 zone 0 pack 0; set map op-types * t0",
		control.Bind{Table: 0, Proxy: 1}, control.Checkpoint{Number: 3})
	step("weight, added line, removed line", "p1 #4 6; set server t0/e5 weight 3; add server t0/e9 127.0.0.1:8009 weight 1 zone 1 pack 0; del server t0/e6",
		control.PutLine{Table: 0, Endpoint: 5, Weight: 3}, control.PutLine{Table: 0, Endpoint: 9, Weight: 1},
		control.PutLine{Table: 0, Endpoint: 6})
	step("restored at all proxies that were sent the withdrawal",
		"p1 #5 4; set server */e6 state ready\np2 #45 4; set server */e6 state ready", control.Suspend{Endpoint: 6})
	step("no change, no message", "", control.Suspend{Endpoint: 6}, control.PutLine{Table: 0, Endpoint: 6},
		control.PutLine{Table: 0, Endpoint: 100, Weight: 1})
	step("checkpoint to all proxies", "p1 #6 4 ?4\np2 #46 4 ?4", control.Checkpoint{Number: 4, All: true})
	if n := ds.leave(1); n != 6 {
		t.Errorf("last message number %d, want 6", n)
	}
	ds.join(1, nil, true, 6)
	step("bound for one op type, the other keeps its table", "p1 #7 11; set server */* state ready; set server */e7 state drain; clear table t0; "+
		"add server t0/e5 127.0.0.1:8005 weight 3 zone 1 pack 0; add server t0/e9 127.0.0.1:8009 weight 1 zone 1 pack 0; set map op-types 1 t0; "+
		"set server */e50 state drain; set level * 0 0.5 again if-unrun\np2 #47 4; set server */e50 state drain",
		control.Bind{Table: 0, Proxy: 1, OpTypes: 2}, control.Suspend{Endpoint: 50, Out: true})
	ds.translate([]control.Order{control.Suspend{Endpoint: 30, Out: true}})
	ds.leave(2)
	ds.join(2, nil, false, 47)
	ds.translate([]control.Order{control.Bind{Table: 0, Proxy: 2}})
	step("withdrawn endpoint added to a table: state sent first where it is missing",
		"p1 #9 4; add server t0/e30 127.0.0.1:8030 weight 1 zone 0 pack 0\n"+
			"p2 #49 5; set server */e30 state drain; add server t0/e30 127.0.0.1:8030 weight 1 zone 0 pack 0",
		control.PutLine{Table: 0, Endpoint: 30, Weight: 1})
}

// The channel keeps to its rate and its bound, and a proxy that accepts no messages delays only its own messages.
func TestChannel(t *testing.T) {
	c := newChannel(1000, 100)
	msg := func(p control.ProxyID, n uint64, lines int) outgoing {
		return outgoing{proxy: p, Message: &runtime.Message{Number: n, Lines: lines}}
	}
	for i := range 5 {
		if !c.push(msg(control.ProxyID(i%2), uint64(i), 20)) {
			t.Fatal("message within the bound rejected")
		}
	}
	if c.push(msg(1, 9, 1)) {
		t.Fatal("message beyond the bound accepted")
	}
	accepts := func(id control.ProxyID, lines int) bool { return id != 0 }
	var sent []uint64
	now := time.Second
	for {
		m, ok, wait := c.next(now, accepts)
		if !ok && wait < 0 {
			break
		}
		if !ok {
			now += wait
			continue
		}
		sent = append(sent, m.Number)
	}
	if !reflect.DeepEqual(sent, []uint64{1, 3}) || c.waitingLines != 60 {
		t.Fatalf("sent %v, %d lines wait", sent, c.waitingLines)
	}
	if took := now - time.Second; took < 15*time.Millisecond || took > 40*time.Millisecond {
		t.Fatalf("40 lines at 1000 a second took %v", took)
	}
	if !c.requeue([]outgoing{msg(0, 100, 10)}) || c.requeue([]outgoing{msg(0, 101, 31)}) {
		t.Fatal("requeued messages are not counted against the bound")
	}
	now += time.Second
	if m, ok, _ := c.next(now, func(control.ProxyID, int) bool { return true }); !ok || m.Number != 100 {
		t.Fatalf("message %d sent before the requeued one", m.Number)
	}
	c.dropProxy(0)
	if c.waitingLines != 0 || len(c.queue) != 0 {
		t.Fatalf("%d lines wait after dropProxy", c.waitingLines)
	}
}

// The intake adds up what the proxies of one zone report of an endpoint. Sums beyond the rate wait, are added to later reports
// while they wait, and are released oldest first.
func TestIntake(t *testing.T) {
	in := newIntake(3, 1)
	in.add(time.Second, 1, 0, &runtime.Sums{Window: time.Second, Types: []runtime.TypeSum{{OpType: 0, Ops: 5, Unacked: 9}},
		Servers: []runtime.ServerSum{{Endpoint: 4, Tries: 4, Failed: 1, Latency: 10 * time.Millisecond, Load: []float64{0.5}}}})
	in.add(1100*time.Millisecond, 2, 0, &runtime.Sums{Window: time.Second,
		Servers: []runtime.ServerSum{{Endpoint: 4, Tries: 1, Latency: 60 * time.Millisecond, Load: []float64{0.7, 1}},
			{Endpoint: 5, Tries: 1, Failed: 5}}})
	in.add(1200*time.Millisecond, 3, 1, &runtime.Sums{Window: time.Second,
		Servers: []runtime.ServerSum{{Endpoint: 4, Tries: 2, Failed: 2}}})
	got := in.drain(time.Second)
	want := []control.Event{
		control.EndpointStats{Zone: 0, Endpoint: 4, Tries: 5, Failed: 1, Latency: 22500 * time.Microsecond,
			Window: 1100 * time.Millisecond, Load: []float64{0.5}},
		control.EndpointStats{Zone: 0, Endpoint: 5, Tries: 1, Failed: 1, Window: time.Second},
		control.EndpointStats{Zone: 1, Endpoint: 4, Tries: 2, Failed: 2, Window: time.Second},
	}
	if !reflect.DeepEqual(got, want) {
		t.Fatalf("%+v", got)
	}
	in.add(2*time.Second, 1, 0, &runtime.Sums{Window: time.Second, Types: []runtime.TypeSum{{OpType: 0, Ops: 5}}})
	got = in.drain(time.Second)
	if len(got) != 1 || !reflect.DeepEqual(got[0], control.Arrivals{Proxy: 1, Ops: 10, Unacked: 5, Window: 2 * time.Second}) {
		t.Fatalf("%+v", got)
	}
}

// A tenant's limit is sent to all joined proxies, with an equal part of the rate for each, and to those that join later with
// their first message. A limit that has been removed is not sent to proxies that join afterwards.
func TestLimitsReachAll(t *testing.T) {
	ds := newDesiredState(1, 3, serverAt)
	ds.join(1, nil, false, 0)
	ds.join(2, nil, false, 0)
	ds.translate([]control.Order{control.Checkpoint{Number: 1, All: true}})
	noticeText := func(c runtime.Change) string {
		ds.markLimits([]runtime.Change{c})
		messages, _ := ds.noticeMessages(0)
		return formatMessages(messages)
	}
	limit := runtime.Change{Verb: runtime.SetTenant, Tenant: "delo", Rate: 8, MaxInFlight: 6, Fenced: true, SubsetFactor: 1}
	if got := noticeText(limit); got != "p1 #2 4; set tenant =delo rate 4 tries 0 fence on hand 3 room 1\np2 #2 4; set tenant =delo rate 4 tries 0 fence on hand 3 room 1" {
		t.Error(got)
	}
	ds.join(3, nil, false, 0)
	got, _ := ds.translate([]control.Order{control.Checkpoint{Number: 2, All: true}})
	if s := formatMessages(got); !strings.HasSuffix(s, "p3 #1 5 ?2; set tenant =delo rate 2.6666666666666665 tries 0 fence on hand 2 room 1") {
		t.Error(s)
	}
	limit.Rate, limit.MaxInFlight, limit.Fenced, limit.RetriesPerOp = -1, -1, false, 0.2
	if got := noticeText(limit); strings.Count(got, "set tenant =delo rate * tries 0.2 fence off hand * room 1") != 3 {
		t.Error(got)
	}
	ds.join(4, nil, false, 0)
	got, _ = ds.translate([]control.Order{control.Checkpoint{Number: 3, All: true}})
	if s := formatMessages(got); strings.Contains(s, "p4 #1 4 ?3;") {
		t.Error(s)
	}
}

package pilot

import (
	"fmt"
	"strings"
	"testing"

	"vetchdoor/control"
	"vetchdoor/runtime"
)

// lines are a proxy's lines of the tables that its op types go by, without the tables' names.
func lines(stat string) (out []string) {
	for line := range strings.Lines(stat) {
		if name, rest, ok := strings.Cut(strings.TrimSpace(line), ","); ok && name != "standing" && !strings.HasPrefix(name, "#") {
			out = append(out, rest)
		}
	}
	return out
}

// A pilot that begins anew asks one proxy for what all hold and sends only what differs; the proxies have the new run's tables
// and nothing of the old one's.
func TestReconcile(t *testing.T) {
	r := newRig(t)
	f := *r.p.file
	f.Listen = r.p.Address()
	x, y := r.proxy(1, f.Listen, nil), r.proxy(2, f.Listen, nil)
	r.joined(2)
	whole := append(table(1, 2, 3, 4), control.Bind{Proxy: 1}, control.Bind{Proxy: 2}, control.Checkpoint{Number: 1})
	r.order(whole...)
	r.inForce(2)
	r.p.Kill()
	r.start(&f)
	r.joined(4)
	r.order(append(append(table(1, 2, 9), control.PutLine{Table: 0, Endpoint: 3}), control.Bind{Proxy: 1}, control.Bind{Proxy: 2}, control.Checkpoint{Number: 1})...)
	r.inForce(4)
	for _, p := range []string{x.Stat(), y.Stat()} {
		got := lines(p)
		if len(got) != 3 || !strings.HasPrefix(got[0], "e0,UP,1,") || !strings.HasPrefix(got[2], "e2,UP,9,") {
			t.Errorf("%q", got)
		}
	}
	if info := r.ask("show info"); !strings.Contains(info, "\nLines_saved: 2\n") { // of four, each: adopt, a weight, a line that goes
		t.Error(info)
	}
	r.order(control.PutLine{Table: 0, Endpoint: 0, Weight: 5}, control.Checkpoint{Number: 2})
	r.until("goes on", func() bool { return strings.Contains(x.Stat(), "e0,UP,5,") && strings.Contains(y.Stat(), "e0,UP,5,") })
}

// A proxy that says what it holds and does not send it, or sends something else, is laid its tables whole, not long after.
func TestReconcileLiar(t *testing.T) {
	for _, lie := range []string{"", "table 1234\nserver e0 127.0.0.1:1 weight 1 zone 0 pack 0\n\n"} {
		r := newRig(t)
		c, in := dial(t, r.p.Address())
		fmt.Fprintf(c, "hello 1 token x zone 0 rate 1 holds q 7 3 window 1000 standing - digests 1234\n\n%s", lie)
		readUntil(t, in, "\nsend tables 1234\n")
		r.joined(1) // all the same
		r.order(append(table(1, 2), control.Bind{Proxy: 1}, control.Checkpoint{Number: 1})...)
		all := readUntil(t, in, "set map")
		if strings.Contains(all, "adopt") || strings.Count(all, "add server") != 2 {
			t.Error(all)
		}
		c.Close()
	}
}

// What two tables differ in is what is sent, whichever way they differ; where that is as much as the whole, the whole is.
func TestAdopt(t *testing.T) {
	line := func(i int, w float64) runtime.Line {
		s, _ := at(control.EndpointID(i))
		return runtime.Line{Endpoint: control.EndpointID(i), Server: s, Weight: w}
	}
	moved := line(1, 1)
	moved.Pack = 9
	for _, c := range []struct {
		name string
		base []runtime.Line
		want []string
	}{
		{"same", []runtime.Line{line(0, 1), line(1, 1), line(2, 1)}, nil},
		{"weight", []runtime.Line{line(0, 1), line(1, 2), line(2, 1)}, []string{"set server t0/e1 weight 1"}},
		{"more", []runtime.Line{line(0, 1), line(1, 1), line(2, 1), line(3, 1)}, []string{"del server t0/e3"}},
		{"elsewhere", []runtime.Line{line(0, 1), moved, line(2, 1)}, []string{"add server t0/e1"}},
		{"nothing in common", []runtime.Line{line(7, 1), line(8, 1)}, []string{"clear table", "add server t0/e0", "add server t0/e1", "add server t0/e2"}},
	} {
		ds := newDesiredState(1, 3, at)
		ds.join(1, nil, true, 0)
		h := &runtime.TableContents{Digest: runtime.Digest(c.base), Lines: c.base}
		ds.learn(h)
		ds.proxies[1].held = []uint64{h.Digest}
		m, _ := ds.write([]control.Order{control.PutLine{Endpoint: 0, Weight: 1}, control.PutLine{Endpoint: 1, Weight: 1}, control.PutLine{Endpoint: 2, Weight: 1},
			control.Bind{Proxy: 1}, control.Checkpoint{Number: 1}})
		var got []string
		adopted := false
		for _, x := range m[0].Changes {
			switch x.Verb {
			case runtime.AdoptTable:
				adopted = true
			case runtime.ClearState, runtime.SetMap:
			default:
				got = append(got, x.String())
			}
		}
		ok := len(got) == len(c.want) && adopted == (c.name != "nothing in common")
		for i := range min(len(got), len(c.want)) {
			ok = ok && strings.HasPrefix(got[i], c.want[i])
		}
		if !ok {
			t.Errorf("%s: %q", c.name, got)
		}
	}
	ds := newDesiredState(1, 3, at)
	ds.learn(&runtime.TableContents{Digest: 5, Lines: []runtime.Line{line(0, 1)}})
	if len(ds.contents) != 0 {
		t.Error("took lines that are not those of their digest")
	}
	if d := ds.unknown([]uint64{0, 7, 7, 8}); len(d) != 2 {
		t.Errorf("%v", d)
	}
}

// A pilot that has learned all the tables that it keeps still learns the next one: else, after a week of changes, no proxy
// would be let on from what it holds, and each would wait for nothing before it counts as joined.
func TestLearnsOn(t *testing.T) {
	ds := newDesiredState(1, 3, at)
	for i := range 2*mostContents + 1 {
		lines := []runtime.Line{{Endpoint: control.EndpointID(i), Weight: 1}}
		d := runtime.Digest(lines)
		if ds.learn(&runtime.TableContents{Digest: d, Lines: lines}); len(ds.unknown([]uint64{d})) > 0 {
			t.Fatalf("table %d was not learned", i)
		}
	}
	if len(ds.contents) > mostContents {
		t.Errorf("%d are kept", len(ds.contents))
	}
}

// A proxy whose session ended while it was welcomed, for its channel overflowed, is asked for nothing: the pilot must not fall over
// a connection that is not there.
func TestReconcileAfterDrop(t *testing.T) {
	r := newRig(t)
	c, in := dial(t, r.p.Address())
	fmt.Fprint(c, "hello 1 token x zone 0 rate 1 holds q 7 3 window 1000 standing - digests 1234\n\n")
	readUntil(t, in, "\nsend tables 1234\n")
	r.loop(func() {
		s := r.p.sessions[1]
		r.p.drop(s)
		r.p.reconcile(s)
	})
	if n := count[control.Joined](r.module); n != 0 {
		t.Errorf("the module was told of %d proxies that joined", n)
	}
}

// The same where the channel does overflow in the welcome, with the limit of a tenant that is on its way to all.
func TestOverflowInWelcome(t *testing.T) {
	r := newRig(t)
	r.loop(func() {
		r.p.channel.most = 0
		r.p.desired.limits["delo"] = runtime.Change{Verb: runtime.SetTenant, Tenant: "delo", Rate: 8, MaxInFlight: 6, SubsetFactor: 1}
	})
	c, _ := dial(t, r.p.Address())
	fmt.Fprint(c, "hello 1 token x zone 0 rate 1 holds q 7 3 window 1000 standing - digests 1234\n\n")
	r.until("it overflowed", func() bool { return strings.Contains(r.ask("show info"), "\nOverflows: 1\n") })
}

package pilot

import (
	"fmt"
	"strings"
	"testing"

	"vetchdoor/control"
	"vetchdoor/runtime"
)

// tableLines returns the lines of a proxy's show stat, without the standing table and without the tables' names.
func tableLines(stat string) (out []string) {
	for line := range strings.Lines(stat) {
		if name, rest, ok := strings.Cut(strings.TrimSpace(line), ","); ok && name != "standing" && !strings.HasPrefix(name, "#") {
			out = append(out, rest)
		}
	}
	return out
}

// A restarted pilot asks one proxy for the tables that all proxies hold, and sends each proxy only the differences. The
// proxies end up with exactly the tables of the new run.
func TestReconcile(t *testing.T) {
	r := newRig(t)
	f := *r.p.file
	f.Listen = r.p.Address()
	x, y := r.proxy(1, f.Listen, nil), r.proxy(2, f.Listen, nil)
	r.waitJoined(2)
	whole := append(table(1, 2, 3, 4), control.Bind{Proxy: 1}, control.Bind{Proxy: 2}, control.Checkpoint{Number: 1})
	r.order(whole...)
	r.waitInForce(2)
	r.p.Kill()
	r.start(&f)
	r.waitJoined(4)
	r.order(append(append(table(1, 2, 9), control.PutLine{Table: 0, Endpoint: 3}), control.Bind{Proxy: 1},
		control.Bind{Proxy: 2}, control.Checkpoint{Number: 1})...)
	r.waitInForce(4)
	for _, p := range []string{x.Stat(), y.Stat()} {
		got := tableLines(p)
		if len(got) != 3 || !strings.HasPrefix(got[0], "e0,UP,1,") || !strings.HasPrefix(got[2], "e2,UP,9,") {
			t.Errorf("%q", got)
		}
	}
	if info := r.command("show info"); !strings.Contains(info, "\nLines_saved: 2\n") { // one line less for each proxy
		t.Error(info)
	}
	r.order(control.PutLine{Table: 0, Endpoint: 0, Weight: 5}, control.Checkpoint{Number: 2})
	r.waitFor("the next change at both proxies", func() bool {
		return strings.Contains(x.Stat(),
			"e0,UP,5,") && strings.Contains(y.Stat(), "e0,UP,5,")
	})
}

// A proxy that reports the digest of a table but does not send its contents, or sends contents that do not match the
// digest, gets whole tables after a short wait.
func TestReconcileWrongTables(t *testing.T) {
	for _, wrongTable := range []string{"", "table 1234\nserver e0 127.0.0.1:1 weight 1 zone 0 pack 0\n\n"} {
		r := newRig(t)
		c, in := dialRaw(t, r.p.Address())
		fmt.Fprintf(c, "hello 1 token x zone 0 rate 1 holds q 7 3 window 1000 standing - digests 1234\n\n%s", wrongTable)
		readUntil(t, in, "\nsend tables 1234\n")
		r.waitJoined(1) // announced without the right contents of the table
		r.order(append(table(1, 2), control.Bind{Proxy: 1}, control.Checkpoint{Number: 1})...)
		all := readUntil(t, in, "set map")
		if strings.Contains(all, "adopt") || strings.Count(all, "add server") != 2 {
			t.Error(all)
		}
		c.Close()
	}
}

// A table is sent as the difference to one that the proxy holds, or whole if the difference has as many lines as
// the table.
func TestAdopt(t *testing.T) {
	line := func(i int, w float64) runtime.Line {
		s, _ := serverAt(control.EndpointID(i))
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
		{"nothing in common", []runtime.Line{line(7, 1), line(8, 1)},
			[]string{"clear table", "add server t0/e0", "add server t0/e1", "add server t0/e2"}},
	} {
		ds := newDesiredState(1, 3, serverAt)
		ds.join(1, nil, true, 0)
		h := &runtime.TableContents{Digest: runtime.Digest(c.base), Lines: c.base}
		ds.learnTable(h)
		ds.proxies[1].heldDigests = []uint64{h.Digest}
		m, _ := ds.translate([]control.Order{control.PutLine{Endpoint: 0, Weight: 1}, control.PutLine{Endpoint: 1, Weight: 1},
			control.PutLine{Endpoint: 2, Weight: 1},
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
	ds := newDesiredState(1, 3, serverAt)
	ds.learnTable(&runtime.TableContents{Digest: 5, Lines: []runtime.Line{line(0, 1)}})
	if len(ds.knownTables) != 0 {
		t.Error("learned a table whose contents do not match its digest")
	}
	if d := ds.unknownDigests([]uint64{0, 7, 7, 8}); len(d) != 2 {
		t.Errorf("%v", d)
	}
}

// A pilot that stores the maximum of known tables still learns new ones. Otherwise, after enough changes, no proxy's tables
// would be known any more, and each proxy would be announced only after a pointless wait.
func TestKnownTablesBound(t *testing.T) {
	ds := newDesiredState(1, 3, serverAt)
	for i := range 2*maxKnownTables + 1 {
		lines := []runtime.Line{{Endpoint: control.EndpointID(i), Weight: 1}}
		d := runtime.Digest(lines)
		if ds.learnTable(&runtime.TableContents{Digest: d, Lines: lines}); len(ds.unknownDigests([]uint64{d})) > 0 {
			t.Fatalf("table %d was not learned", i)
		}
	}
	if len(ds.knownTables) > maxKnownTables {
		t.Errorf("%d tables are stored", len(ds.knownTables))
	}
}

// reconcile must not use the nil connection of a session that was dropped while the proxy was welcomed, which happens when the
// channel overflows.
func TestReconcileAfterDrop(t *testing.T) {
	r := newRig(t)
	c, in := dialRaw(t, r.p.Address())
	fmt.Fprint(c, "hello 1 token x zone 0 rate 1 holds q 7 3 window 1000 standing - digests 1234\n\n")
	readUntil(t, in, "\nsend tables 1234\n")
	r.onLoop(func() {
		s := r.p.sessions[1]
		r.p.drop(s)
		r.p.reconcile(s)
	})
	if n := countEvents[control.Joined](r.module); n != 0 {
		t.Errorf("the module got %d Joined events", n)
	}
}

// The pilot survives a channel overflow while it welcomes a proxy, here caused by a tenant's limit that is sent to every new
// proxy.
func TestOverflowInWelcome(t *testing.T) {
	r := newRig(t)
	r.onLoop(func() {
		r.p.channel.maxLines = 0
		r.p.desired.limits["delo"] = runtime.Change{Verb: runtime.SetTenant, Tenant: "delo", Rate: 8, MaxInFlight: 6, SubsetFactor: 1}
	})
	c, _ := dialRaw(t, r.p.Address())
	fmt.Fprint(c, "hello 1 token x zone 0 rate 1 holds q 7 3 window 1000 standing - digests 1234\n\n")
	r.waitFor("the overflow", func() bool { return strings.Contains(r.command("show info"), "\nOverflows: 1\n") })
}

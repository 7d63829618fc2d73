package pilot

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"vetchdoor/control"
	"vetchdoor/roster"
)

// A pilot kept each server that was ever listed, in its list and in what it told the module and disk: the release review
// named it and left it open. A server that is gone is now let go, after a while, once no table names it and it is withdrawn
// no more, which the module sees to (policy.TestForgetsWhoIsGone).
func TestForgetsServersThatAreGone(t *testing.T) {
	r := newRig(t)
	r.p.post(func() { r.p.keep = 0 })
	server := func(id int, mode string) roster.Entry {
		return roster.Entry{Endpoint: control.EndpointID(id), Address: netip.MustParseAddrPort(fmt.Sprintf("127.0.0.1:%d", 1000+id)), Zone: "z", Weight: 1, Mode: mode}
	}
	const served, released = 1000, 1001
	for id := range 200 {
		r.list.Set(server(released+1+id, "ready"))
		r.list.Set(server(released+1+id, "gone"))
	}
	r.list.Set(server(served, "ready"), server(released, "ready"))
	held := func() (n int, isServed, isReleased bool) {
		r.loop(func() {
			r.p.forget()
			n = len(r.p.list)
			_, isServed = r.p.list[served]
			_, isReleased = r.p.list[released]
		})
		return n, isServed, isReleased
	}
	r.until("all are known", func() bool { _, is, other := held(); return is && other })
	order := func(orders ...control.Order) { r.loop(func() { r.p.Execute(r.p.host.Now(), orders) }) }
	order(control.PutLine{Table: 1, Endpoint: served, Weight: 1}, control.Suspend{Endpoint: released, Out: true})
	r.list.Set(server(served, "gone"), server(released, "gone"))
	r.until("those that nothing names are let go", func() bool { n, _, _ := held(); return n == len(entries())+2 })
	time.Sleep(10 * time.Millisecond)
	if n, isServed, isReleased := held(); !isServed || !isReleased {
		t.Errorf("%d servers: one that a table names is kept: %t, one that is withdrawn: %t", n, isServed, isReleased)
	}
	order(control.PutLine{Table: 1, Endpoint: served}, control.Suspend{Endpoint: released})
	r.until("they are let go", func() bool { n, _, _ := held(); return n == len(entries()) })
}

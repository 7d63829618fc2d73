package pilot

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"vetchdoor/control"
	"vetchdoor/roster"
)

// The pilot deletes a server that is gone from the list once no table contains it and it is not withdrawn any more; the same in
// the decision module is tested in package policy. Otherwise a pilot would keep every server that was ever listed, in memory
// and on disk.
func TestForgetsGoneServers(t *testing.T) {
	r := newRig(t)
	r.p.post(func() { r.p.keepGone = 0 })
	server := func(id int, mode string) roster.Entry {
		return roster.Entry{Endpoint: control.EndpointID(id), Address: netip.MustParseAddrPort(fmt.Sprintf("127.0.0.1:%d",
			1000+id)), Zone: "z", Weight: 1, Mode: mode}
	}
	const served, released = 1000, 1001
	for id := range 200 {
		r.list.Set(server(released+1+id, "ready"))
		r.list.Set(server(released+1+id, "gone"))
	}
	r.list.Set(server(served, "ready"), server(released, "ready"))
	knownServers := func() (n int, isServed, isReleased bool) {
		r.onLoop(func() {
			r.p.forgetGoneEndpoints()
			n = len(r.p.list)
			_, isServed = r.p.list[served]
			_, isReleased = r.p.list[released]
		})
		return n, isServed, isReleased
	}
	r.waitFor("the listed servers", func() bool { _, is, other := knownServers(); return is && other })
	execute := func(orders ...control.Order) { r.onLoop(func() { r.p.Execute(r.p.host.Now(), orders) }) }
	execute(control.PutLine{Table: 1, Endpoint: served, Weight: 1}, control.Suspend{Endpoint: released, Out: true})
	r.list.Set(server(served, "gone"), server(released, "gone"))
	r.waitFor("unreferenced servers to be forgotten", func() bool { n, _, _ := knownServers(); return n == len(entries())+2 })
	time.Sleep(10 * time.Millisecond)
	if n, isServed, isReleased := knownServers(); !isServed || !isReleased {
		t.Errorf("%d servers; kept the one in a table: %t, kept the withdrawn one: %t", n, isServed, isReleased)
	}
	execute(control.PutLine{Table: 1, Endpoint: served}, control.Suspend{Endpoint: released})
	r.waitFor("the released servers to be forgotten", func() bool { n, _, _ := knownServers(); return n == len(entries()) })
}

package pilot

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"

	"vetchdoor/control"
	stand "vetchdoor/lab/roster"
	"vetchdoor/roster"
)

// TestLinesOfMovedAddressesAreCounted guards against a channel that overflows by the pilot's own lines, of addresses that go on
// moving, while the module keeps to nine tenths of it.
func TestLinesOfMovedAddressesAreCounted(t *testing.T) {
	r := &rig{t: t, module: &script{}}
	var err error
	if r.list, err = stand.Start("127.0.0.1:0", entries()); err != nil {
		t.Fatalf("%v", err)
	}
	t.Cleanup(r.list.Close)
	f := pilotFile(r.list.Address())
	f.Channel.LinesPerSecond = 1 // what is ordered waits
	r.start(f)
	t.Cleanup(func() { r.p.Kill() })
	r.until("the list came", func() bool { return count[control.Listing](r.module) == 1 })
	r.proxy(1, r.p.Address(), nil)
	r.until("joined", func() bool { return count[control.Joined](r.module) == 1 })
	r.order(append(table(1, 2), control.Bind{Proxy: 1})...)
	const mostWaiting, lines = 8000, 4 // of a message with one change
	for i := range mostWaiting * 9 / 10 / lines {
		r.order(control.PutLine{Table: 0, Endpoint: 1, Weight: float64(i + 2)})
	}
	for i := range 400 {
		r.list.Set(roster.Entry{Endpoint: 1, Address: netip.MustParseAddrPort(fmt.Sprintf("127.0.0.2:%d", 1000+i)), Zone: "z", Weight: 1, Mode: "ready"})
	}
	seen := func() bool {
		done := make(chan netip.AddrPort)
		r.p.post(func() { done <- r.p.list[1].Address })
		return (<-done).Port() == 1399
	}
	r.until("the list is told", seen)
	if info := r.ask("show info"); !strings.Contains(info, "\nOverflows: 0\n") {
		t.Errorf("the channel overflowed though the module kept to nine tenths of it")
	}
}

package pilot

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"

	"vetchdoor/control"
	"vetchdoor/files"
	"vetchdoor/roster"
)

// The channel must not overflow because of notices for a server whose address changes again and again, while the module fills
// nine tenths of the channel.
func TestAddressChangesKeepChannelBound(t *testing.T) {
	r := newRigWith(t, func(f *files.Pilot) { f.Channel.LinesPerSecond = 1 }) // so that all orders wait in the channel
	r.proxy(1, r.p.Address(), nil)
	r.waitJoined(1)
	r.order(append(table(1, 2), control.Bind{Proxy: 1})...)
	const maxWaitingLines, lines = 8000, 4 // the channel's bound in lines, and the lines of a message with one change
	for i := range maxWaitingLines * 9 / 10 / lines {
		r.order(control.PutLine{Table: 0, Endpoint: 1, Weight: float64(i + 2)})
	}
	for i := range 400 {
		r.list.Set(roster.Entry{Endpoint: 1, Address: netip.MustParseAddrPort(fmt.Sprintf("127.0.0.2:%d", 1000+i)), Zone: "z",
			Weight: 1, Mode: "ready"})
	}
	r.waitFor("the last change of the list", func() (seen bool) {
		r.onLoop(func() { seen = r.p.list[1].Address.Port() == 1399 })
		return seen
	})
	if info := r.command("show info"); !strings.Contains(info, "\nOverflows: 0\n") {
		t.Errorf("the channel overflowed although the module filled only nine tenths of it")
	}
}

package proxy

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"vetchdoor/files"
	"vetchdoor/runtime"
)

// A welcome that is read while its stream ends makes no stream of it: sums would go nowhere until the next one.
func TestLateWelcome(t *testing.T) {
	p := start(t, nil)
	p.orders.end()
	s := newPilotStream(p.orders)
	s.Closed(nil)
	s.Data(nil, runtime.Welcome{Pilot: "p", Run: 1, WireVersion: runtime.WireVersion}.Append(nil))
	if p.orders.joined() {
		t.Error("joined by a stream that is over")
	}
}

// A pilot that sends what cannot be read is told so before its stream ends, and nothing that it sends after is taken.
func TestRefusedIsSaid(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	p := start(t, func(f *files.Proxy) {
		f.Pilots = []files.PilotAddress{{Address: ln.Addr().String(), Zone: "z"}}
		f.Redial = files.Duration(5 * time.Millisecond)
	})
	for range 5 {
		c, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		_ = c.SetDeadline(time.Now().Add(20 * time.Second))
		in := bufio.NewReader(c)
		_, _ = in.ReadString('\n')
		_, _ = in.ReadString('\n')
		_, _ = io.WriteString(c, "welcome q 5 fresh\napply q 5 1 at 0 lines 5 <<\nset server nonsense\n\n")
		_, _ = io.WriteString(c, "apply q 5 2 at 0 lines 5 <<\nclear table t0\nset map op-types * t0\n\n")
		said, _ := io.ReadAll(in)
		if !strings.HasPrefix(string(said), "refused ") {
			t.Errorf("answered %q", said)
		}
		c.Close()
	}
	if strings.Contains(p.Info(), "Pilot: q") {
		t.Error("a message after the bad one was taken")
	}
}

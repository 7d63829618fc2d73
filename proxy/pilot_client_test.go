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

// TestWelcomeAfterStreamEnd guards against a welcome that is read after its stream has ended and still makes it the current
// stream. Sums would then be sent to nobody until the next stream.
func TestWelcomeAfterStreamEnd(t *testing.T) {
	p := start(t, nil)
	p.pilotClient.end()
	s := newPilotStream(p.pilotClient)
	s.Closed(nil)
	s.Data(nil, runtime.Welcome{Pilot: "p", Run: 1, WireVersion: runtime.WireVersion}.Append(nil))
	if p.pilotClient.joined() {
		t.Error("joined by a stream that has ended")
	}
}

// TestInvalidInputIsReported checks that a pilot which sends invalid input is told why before its stream is closed, and that
// nothing it sends afterwards is applied.
func TestInvalidInputIsReported(t *testing.T) {
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
		reply, _ := io.ReadAll(in)
		if !strings.HasPrefix(string(reply), "refused ") {
			t.Errorf("reply to invalid input: %q", reply)
		}
		c.Close()
	}
	if strings.Contains(p.Info(), "Pilot: q") {
		t.Error("a message after the invalid one was applied")
	}
}

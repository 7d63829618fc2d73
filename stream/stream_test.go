package stream

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"

	"vetchdoor/lab/leak"
)

func TestMain(m *testing.M) { leak.Main(m) }

// told is a handler that says when its connection ended.
type told chan bool

func (t told) Data(*Conn, []byte) {}
func (t told) Closed(*Conn)       { close(t) }

// meet returns a connection of a listener and the peer that dialled it.
func meet(t *testing.T) (*Conn, told, net.Conn) {
	t.Helper()
	conns, closed := make(chan *Conn, 1), make(told)
	l, err := Listen(nil, "127.0.0.1:0", func(c *Conn) Handler { conns <- c; return closed })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	peer, err := net.Dial("tcp", l.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { peer.Close() })
	return <-conns, closed, peer
}

func (t told) within(test *testing.T, what string) {
	test.Helper()
	select {
	case <-t:
	case <-time.After(20 * time.Second):
		test.Errorf("never ended: %s", what)
	}
}

// A connection that is to end does so by a deadline, also where its peer stands half open and reads nothing.
func TestEndHasADeadline(t *testing.T) {
	c, closed, _ := meet(t)
	if err := c.Send(make([]byte, 16<<20)); err != nil {
		t.Fatal(err)
	}
	c.CloseGracefully()
	closed.within(t, "one whose peer does not read")
}

// A peer that reads nothing is cut off once too much waits for it.
func TestSlowPeer(t *testing.T) {
	c, closed, _ := meet(t)
	var err error
	for range 5 {
		if err = c.Send(make([]byte, 8<<20)); err != nil {
			break
		}
	}
	if err != ErrSlow || c.Send([]byte("x")) == nil {
		t.Errorf("%v", err)
	}
	closed.within(t, "one whose peer is too slow")
}

// A peer that is found too slow while it takes a part after all ends its connection, not the program.
func TestSlowPeerReads(t *testing.T) {
	c, closed, peer := meet(t)
	go func() { _, _ = io.Copy(io.Discard, peer) }()
	for c.Send(make([]byte, 20<<20)) == nil {
	}
	closed.within(t, "one whose peer is too slow")
}

// Out of descriptors, Accept says so by the bare number that netpoll knows, which then waits; of any other error it knows
// nothing and asks again at once, without end.
func TestOutOfDescriptors(t *testing.T) {
	l, err := NewListener("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	peer, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	var full error
	withoutDescriptors(t, func() { _, full = l.Accept() })
	if no, ok := full.(syscall.Errno); !ok || no != syscall.EMFILE {
		t.Errorf("%T %v", full, full)
	}
	c, err := l.Accept()
	if err != nil || c == nil {
		t.Fatalf("%v %v", c, err)
	}
	_ = syscall.Close(c.(netpoll.Conn).Fd())
}

// withoutDescriptors calls a function while the process has no descriptor left.
func withoutDescriptors(t *testing.T, call func()) {
	t.Helper()
	var was syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &was); err != nil {
		t.Fatal(err)
	}
	least := was
	least.Cur = 64
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &least); err != nil {
		t.Fatal(err)
	}
	var held []*os.File
	for f, err := os.Open(os.DevNull); err == nil; f, err = os.Open(os.DevNull) {
		held = append(held, f)
	}
	call()
	for _, f := range held {
		f.Close()
	}
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &was); err != nil {
		t.Fatal(err)
	}
}

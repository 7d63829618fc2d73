package stream

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"
)

// lateNet dials, and returns once the peer has closed.
type lateNet struct {
	Net
	atRequest bool // once it has closed after the handler was set, no sooner
	leave     chan bool
}

// lateConnection has its peer leave as its handler is set.
type lateConnection struct {
	*netpoll.TCPConnection
	leave chan bool
}

func (c *lateConnection) SetOnRequest(on netpoll.OnRequest) error {
	err := c.TCPConnection.SetOnRequest(on)
	close(c.leave)
	awaitPeerGone(c)
	return err
}

func awaitPeerGone(c netpoll.Connection) {
	for end := time.Now().Add(20 * time.Second); c.IsActive() && time.Now().Before(end); {
		time.Sleep(100 * time.Microsecond)
	}
	time.Sleep(10 * time.Millisecond) // netpoll calls back in a goroutine of its own
}

func (n lateNet) Dial(network, address string, timeout time.Duration) (netpoll.Connection, error) {
	nc, err := NetOrSockets(nil).Dial(network, address, timeout)
	if err != nil {
		return nil, err
	}
	if n.atRequest {
		return &lateConnection{nc.(*netpoll.TCPConnection), n.leave}, nil
	}
	close(n.leave)
	awaitPeerGone(nc)
	return nc, nil
}

// lastWords keeps what came before the end.
type lastWords struct {
	mu    sync.Mutex
	came  []byte
	ended chan string
	ends  atomic.Int64
}

func newLastWords() *lastWords { return &lastWords{ended: make(chan string, 10)} }

func (h *lastWords) Data(_ *Conn, b []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.came = append(h.came, b...)
}

func (h *lastWords) Closed(*Conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ends.Add(1)
	h.ended <- string(h.came)
}

// TestPeerLeavesWhileDialling guards against a dialler that is never told that its connection ended, because its peer left before
// the handler was set or between that and the close callback: netpoll closes by itself only what has a handler by then.
func TestPeerLeavesWhileDialling(t *testing.T) {
	for _, words := range []string{"", "last words"} {
		for _, atRequest := range []bool{false, true} {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			leave := make(chan bool)
			go func() {
				peer, err := ln.Accept()
				if err != nil {
					return
				}
				<-leave
				_, _ = peer.Write([]byte(words))
				peer.Close()
			}()
			h := newLastWords()
			c, err := Dial(lateNet{atRequest: atRequest, leave: leave}, ln.Addr().String(), time.Second, h)
			if err != nil {
				t.Fatal(err)
			}
			select {
			case came := <-h.ended:
				if came != words {
					t.Errorf("%q, handler set %v: %q came before the end", words, atRequest, came)
				}
				awaitDescriptorClosed(t, c)
			case <-time.After(2 * time.Second):
				t.Errorf("%q, handler set %v: never told of the end", words, atRequest)
			}
			c.Close()
			time.Sleep(10 * time.Millisecond)
			if n := h.ends.Load(); n != 1 {
				t.Errorf("%q, handler set %v: told of the end %d times", words, atRequest, n)
			}
			ln.Close()
		}
	}
}

// awaitDescriptorClosed waits until a connection's descriptor is closed.
func awaitDescriptorClosed(t *testing.T, c *Conn) {
	t.Helper()
	fd := c.nc.(netpoll.Conn).Fd()
	var stat syscall.Stat_t
	for end := time.Now().Add(20 * time.Second); syscall.Fstat(fd, &stat) != syscall.EBADF; {
		if time.Now().After(end) {
			t.Error("its descriptor stays open")
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// TestCloseWhileAccepted guards against a connection that is closed by another goroutine between accept and its registration with
// the poller, which netpoll doesn't bear: it registers what has been given back.
func TestCloseWhileAccepted(t *testing.T) {
	const connections = 5000
	var ends, accepted atomic.Int64
	l, err := Listen(nil, "127.0.0.1:0", func(c *Conn) Handler {
		wait := time.Duration(accepted.Add(1)%50) * time.Microsecond
		begun := make(chan bool)
		go func() {
			close(begun)
			for end := time.Now().Add(wait); time.Now().Before(end); {
			}
			c.Close()
		}()
		<-begun
		return counted{&ends}
	})
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	for range connections {
		peer, err := net.Dial("tcp", l.Address())
		if err != nil {
			t.Fatal(err)
		}
		_ = peer.SetDeadline(time.Now().Add(5 * time.Second))
		if _, err := peer.Read(make([]byte, 1)); err != nil && isTimeout(err) {
			t.Fatal("a connection that was closed stays open")
		}
		peer.Close()
	}
	for end := time.Now().Add(5 * time.Second); ends.Load() < connections && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if n := ends.Load(); n != connections {
		t.Errorf("%d connections were told of %d ends", connections, n)
	}
	for end := time.Now().Add(5 * time.Second); len(l.open()) > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if n := len(l.open()); n > 0 {
		t.Errorf("%d connections are kept", n)
	}
}

func isTimeout(err error) bool {
	e, ok := err.(net.Error)
	return ok && e.Timeout()
}

// counted is a handler that counts ends.
type counted struct{ ends *atomic.Int64 }

func (h counted) Data(*Conn, []byte) {}
func (h counted) Closed(*Conn)       { h.ends.Add(1) }

// TestPeerSaysAndLeaves guards against the same over and over at any timing: a peer that says why and closes as soon as it is
// reached, as a pilot without room does. Whoever dialled hears why, and that it is over.
func TestPeerSaysAndLeaves(t *testing.T) {
	const dials = 10000
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() {
		for {
			peer, err := ln.Accept()
			if err != nil {
				return
			}
			_, _ = peer.Write([]byte("no room"))
			peer.Close()
		}
	}()
	reached, lost := 0, 0
	var all []*lastWords
	for range dials {
		h := newLastWords()
		if _, err := Dial(nil, ln.Addr().String(), 5*time.Second, h); err != nil {
			continue // it had left by then
		}
		reached++
		all = append(all, h)
	}
	untold := 0
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	for _, h := range all {
		select {
		case came := <-h.ended:
			if came != "no room" {
				lost++
			}
			continue
		case <-ctx.Done():
		}
		if h.ends.Load() == 0 {
			untold++
		}
	}
	if reached == 0 || untold > 0 || lost > 0 {
		t.Errorf("of %d connections %d were never told of the end, %d lost what came before it", reached, untold, lost)
	}
	t.Logf("%d of %d dials reached the peer", reached, dials)
}

// closingPeers listens for connections that it closes at the first byte; it returns the address.
func closingPeers(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			peer, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = peer.Read(make([]byte, 1))
				peer.Close()
			}()
		}
	}()
	return ln.Addr().String()
}

// TestDialsBesideCloses guards against a dial that fails though nobody closed it, because an event of a connection whose descriptor it
// took is meant for it: half of the peers close as the dialler does.
func TestDialsBesideCloses(t *testing.T) {
	const diallers, dials = 16, 1000
	peers := closingPeers(t)
	var failed, ended atomic.Int64
	var done sync.WaitGroup
	for range diallers {
		done.Go(func() {
			for i := range dials {
				nc, err := NetOrSockets(nil).Dial("tcp", peers, 5*time.Second)
				if err != nil {
					failed.Add(1)
					continue
				}
				time.Sleep(100 * time.Microsecond)
				if !nc.IsActive() {
					ended.Add(1)
				}
				if i%2 == 0 {
					_, _ = nc.Write([]byte("x"))
				}
				go nc.Close()
			}
		})
	}
	done.Wait()
	if failed.Load() > 0 || ended.Load() > 0 {
		t.Errorf("of %d dials %d failed and %d connections ended though nobody closed them", diallers*dials, failed.Load(), ended.Load())
	}
}

// answering sends back what came.
type answering struct{}

func (answering) Data(c *Conn, b []byte) { _ = c.Send(b) }
func (answering) Closed(*Conn)           {}

// TestAnswersBesideCloses guards against an accepted connection that ends though nobody closed it, for the end of a dialled one whose
// descriptor it took.
func TestAnswersBesideCloses(t *testing.T) {
	const clients, calls = 8, 1000
	l, err := Listen(nil, "127.0.0.1:0", func(*Conn) Handler { return answering{} })
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	peers := closingPeers(t)
	var lost atomic.Int64
	var calling, dialling sync.WaitGroup
	ctx, cancel := context.WithCancel(context.Background())
	for range clients {
		dialling.Go(func() { dialAndClose(ctx, peers) })
		calling.Go(func() {
			for range calls {
				if !answered(l.Address()) {
					lost.Add(1)
				}
			}
		})
	}
	calling.Wait()
	cancel()
	dialling.Wait()
	if lost.Load() > 0 {
		t.Errorf("%d of %d calls went without an answer", lost.Load(), clients*calls)
	}
}

// dialAndClose opens connections and closes each as its peer does.
func dialAndClose(ctx context.Context, address string) {
	for ctx.Err() == nil {
		nc, err := NetOrSockets(nil).Dial("tcp", address, 5*time.Second)
		if err != nil {
			continue
		}
		_, _ = nc.Write([]byte("x"))
		time.Sleep(50 * time.Microsecond)
		go nc.Close()
	}
}

// answered tells whether a call on a connection of its own is answered.
func answered(address string) bool {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return false
	}
	defer c.Close()
	time.Sleep(time.Millisecond)
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := c.Write([]byte("call")); err != nil {
		return false
	}
	_, err = c.Read(make([]byte, 4))
	return err == nil
}

// TestRefusedIsClosedOnce guards against a client that is shut down in place of one that was refused: whoever refused it closes it once
// more, when its descriptor is another's.
func TestRefusedIsClosedOnce(t *testing.T) {
	var hooks Hooks
	var refused *Conn
	_, err := Listen(hookNet{hooks: &hooks}, "127.0.0.1:0", func(c *Conn) Handler { refused = c; return nil })
	if err != nil {
		t.Fatal(err)
	}
	nc := &countingConnection{}
	hooks.Prepare(nc)
	if nc.closes != 1 {
		t.Errorf("a connection that was refused is closed %d times", nc.closes)
	}
	refused.Close()
	if nc.shuts > 0 {
		t.Error("it is shut down after it was closed")
	}
}

// hookNet keeps what a server is to be told of, and serves nobody.
type hookNet struct {
	Net
	hooks *Hooks
}

func (n hookNet) Serve(_, _ string, h Hooks) (Server, error) {
	*n.hooks = h
	return addressOnly{}, nil
}

// addressOnly is a server that has nothing but an address.
type addressOnly struct{ Server }

func (addressOnly) Address() string { return "127.0.0.1:1" }

// countingConnection counts how often it is closed and shut down.
type countingConnection struct {
	netpoll.Connection
	closes, shuts int
}

func (c *countingConnection) Close() error { c.closes++; return nil }
func (c *countingConnection) Shut()        { c.shuts++ }

package serve_test

import (
	"context"
	"errors"
	"net"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"vetchdoor/serve"
)

// TestEndWhileAccepting guards against a connection that outlives its server: one that is accepted as the server ends at once is
// closed by it too, and told of once.
func TestEndWhileAccepting(t *testing.T) {
	const servers, clients = 1000, 8
	gone, cancel := context.WithCancel(context.Background())
	cancel()
	for n := range servers {
		var opened, closed atomic.Int64
		s := &serve.Server{Handle: ok, Accept: func(*serve.Conn) bool { opened.Add(1); return true }, Closed: func(*serve.Conn) { closed.Add(1) }}
		tr := traceServer(s)
		if err := s.Start("127.0.0.1:0"); err != nil {
			t.Fatal(err)
		}
		dialled := make(chan net.Conn, clients)
		for range clients {
			go func() {
				c, _ := net.Dial("tcp", s.Address())
				dialled <- c
			}()
		}
		time.Sleep(time.Duration(n%50) * 10 * time.Microsecond)
		s.Stop(gone)
		for end := time.Now().Add(time.Second); opened.Load() != closed.Load() && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		if opened.Load() != closed.Load() {
			t.Errorf("server %d: %d connections opened, %d closed\n%s", n, opened.Load(), closed.Load(), tr)
		}
		tr.stop()
		for range clients {
			if c := <-dialled; c != nil {
				c.Close()
			}
		}
	}
}

// TestOpenedAfterTheEnd guards against the same in the order that shows it: the server ends while it asks whether to take a connection.
func TestOpenedAfterTheEnd(t *testing.T) {
	asked, ended, closed := make(chan struct{}), make(chan struct{}), make(chan struct{})
	s := &serve.Server{Handle: ok,
		Accept: func(*serve.Conn) bool { close(asked); <-ended; return true },
		Closed: func(*serve.Conn) { close(closed) }}
	if err := s.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	c := dial(t, s)
	<-asked
	gone, cancel := context.WithCancel(context.Background())
	cancel()
	s.Stop(gone)
	close(ended)
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := c.Read(make([]byte, 1)); errors.Is(err, os.ErrDeadlineExceeded) {
		t.Error("a connection outlives its server")
	}
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Error("nobody was told that it is closed")
	}
}

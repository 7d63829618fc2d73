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

// TestEndWhileAccepting guards against a connection that outlives its server: one that is accepted while the server is being
// closed must be closed too, and Closed must be called once for it.
func TestEndWhileAccepting(t *testing.T) {
	const servers, clients = 1000, 8
	endedContext, cancel := context.WithCancel(context.Background())
	cancel()
	for n := range servers {
		var opened, closed atomic.Int64
		s := &serve.Server{Handle: ok,
			Accept: func(*serve.Conn) bool { opened.Add(1); return true },
			Closed: func(*serve.Conn) { closed.Add(1) }}
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
		s.Stop(endedContext)
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

// TestAcceptWhileServerCloses guards against a connection that outlives its server, in the order of events that causes it:
// the server is closed while Accept decides about the connection.
func TestAcceptWhileServerCloses(t *testing.T) {
	asked, serverClosed, closed := make(chan struct{}), make(chan struct{}), make(chan struct{})
	s := &serve.Server{Handle: ok,
		Accept: func(*serve.Conn) bool { close(asked); <-serverClosed; return true },
		Closed: func(*serve.Conn) { close(closed) }}
	if err := s.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	c := dial(t, s)
	<-asked
	endedContext, cancel := context.WithCancel(context.Background())
	cancel()
	s.Stop(endedContext)
	close(serverClosed)
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := c.Read(make([]byte, 1)); errors.Is(err, os.ErrDeadlineExceeded) {
		t.Error("the connection stays open after its server was closed")
	}
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Error("Closed was not called within 5 s")
	}
}

package proxy

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// stopOutcome is how one client's connection ended.
type stopOutcome struct {
	answered       int
	closeAnnounced bool  // a response announced Connection: close
	lost           error // a request was written and got no complete response
}

// sendUntilClose sends requests one after another on one connection until a response announces that the connection closes.
func sendUntilClose(address string) (out stopOutcome) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return stopOutcome{lost: err}
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	in := bufio.NewReader(c)
	for !out.closeAnnounced {
		if _, err := io.WriteString(c, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			out.lost = err
			return out
		}
		r, err := http.ReadResponse(in, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, r.Body)
		}
		if err != nil {
			out.lost = err
			return out
		}
		out.answered++
		out.closeAnnounced = r.Close
	}
	if b, err := in.ReadByte(); !errors.Is(err, io.EOF) {
		out.lost = fmt.Errorf("after the last answer: %q, %w", b, err)
	}
	return out
}

// TestStopAnswersOpenConnections guards against requests lost when the proxy stops: with 64 clients sending one request
// after another, each of them once had a request written that got no byte of a response, and no response announced that its
// connection closes. Stop returned after some 65 ms without an error.
//
// The cause was that netpoll's event loop, when shut down, closes each connection that is between two requests, so that the
// request that the client is just writing meets a closed socket. With the event loop left running, no request is lost. The
// test also checks that as many requests are executed as are answered.
func TestStopAnswersOpenConnections(t *testing.T) {
	const clients = 64
	var executed atomic.Int64
	server := origin(t, func(w http.ResponseWriter, r *http.Request) {
		executed.Add(1)
		time.Sleep(5 * time.Millisecond)
		fmt.Fprint(w, "ok")
	})
	p := start(t, nil, server)
	var all sync.WaitGroup
	outcomes := make([]stopOutcome, clients)
	for i := range clients {
		all.Go(func() { outcomes[i] = sendUntilClose(p.Address()) })
	}
	for p.counters.acked.Load() < 4*clients {
		time.Sleep(time.Millisecond)
	}
	all.Go(func() { p.Stop(context.Background()) })
	time.Sleep(10 * time.Millisecond)
	p.Stop(context.Background())
	all.Wait()
	answered := 0
	for i, out := range outcomes {
		answered += out.answered
		if out.lost != nil || !out.closeAnnounced {
			t.Errorf("client %d: %d responses, close announced: %t, lost: %v", i, out.answered, out.closeAnnounced, out.lost)
		}
	}
	if n := executed.Load(); n != int64(answered) {
		t.Errorf("%d requests executed, %d answered", n, answered)
	}
	if c, err := net.DialTimeout("tcp", p.Address(), time.Second); err == nil {
		c.Close()
		t.Errorf("the stopped proxy still accepts connections")
	}
}

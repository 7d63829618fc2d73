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
	answered int
	told     bool  // an answer said Connection: close
	lost     error // a request was written and had no whole answer
}

// keepAsking sends requests one after the other on one connection until an answer says that it closes.
func keepAsking(address string) (out stopOutcome) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return stopOutcome{lost: err}
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	in := bufio.NewReader(c)
	for !out.told {
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
		out.told = r.Close
	}
	if b, err := in.ReadByte(); !errors.Is(err, io.EOF) {
		out.lost = fmt.Errorf("after the last answer: %q, %w", b, err)
	}
	return out
}

// A proxy that was told to stop lost a request of every client: 64 connections that each sent one request after the other,
// stopped after a while, once or twice, had all 64 a request written that got not a byte of an answer, and no answer ever
// said that its connection closes. The proxy ended after some 65 ms, without an error.
//
// netpoll's event loop, told to shut down, closes each connection that is between two requests; the request that its client
// is just writing then meets a closed socket. What showed it: every client had several answers and then an EOF or a reset,
// as many requests were carried out as were answered, and with the loop left running none is lost.
func TestStopAnswersOpenConnections(t *testing.T) {
	const clients = 64
	var carriedOut atomic.Int64
	server := origin(t, func(w http.ResponseWriter, r *http.Request) {
		carriedOut.Add(1)
		time.Sleep(5 * time.Millisecond)
		fmt.Fprint(w, "ok")
	})
	p := start(t, nil, server)
	var all sync.WaitGroup
	outcomes := make([]stopOutcome, clients)
	for i := range clients {
		all.Go(func() { outcomes[i] = keepAsking(p.Address()) })
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
		if out.lost != nil || !out.told {
			t.Errorf("client %d: %d answers, told of the end: %t, lost: %v", i, out.answered, out.told, out.lost)
		}
	}
	if n := carriedOut.Load(); n != int64(answered) {
		t.Errorf("%d requests carried out, %d answered", n, answered)
	}
	if c, err := net.DialTimeout("tcp", p.Address(), time.Second); err == nil {
		c.Close()
		t.Errorf("it still takes connections")
	}
}

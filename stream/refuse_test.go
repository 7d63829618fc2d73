package stream

import (
	"context"
	"errors"
	"io"
	"net"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"
)

// TestRefuseBesideDials guards against a server that goes on accepting for as long as clients dial: it was told to refuse, waited for
// the moment in which nobody waits to be accepted, and with dials that come faster than it accepts there is none. Seen in a trace of
// serve.TestStopAnswersWhatComes: told at 26 ms it refused at 7,069 ms, after 36,480 connections, when those made before had been
// closed as idle for 5 s. Here each connection takes a millisecond to accept. Those made before are answered all the same.
func TestRefuseBesideDials(t *testing.T) {
	t.Run("tcp", func(t *testing.T) { refuseBesideDials(t, "127.0.0.1:0") })
	t.Run("unix", func(t *testing.T) { refuseBesideDials(t, "unix:"+filepath.Join(t.TempDir(), "socket")) })
}

func refuseBesideDials(t *testing.T, address string) {
	const connections, clients, dials = 100, 4, 200
	l, err := Listen(nil, address, func(*Conn) Handler {
		time.Sleep(time.Millisecond)
		return answering{}
	})
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	before := make([]net.Conn, connections)
	for i := range before {
		if before[i], err = dialWithin(l.Address(), 20*time.Second); err != nil {
			t.Fatal(err)
		}
		defer before[i].Close()
	}
	var made atomic.Int64
	var dialling sync.WaitGroup
	ctx, cancel := context.WithCancel(context.Background())
	for range clients {
		dialling.Go(func() { dialUntilRefused(ctx, l.Address(), &made) })
	}
	for end := time.Now().Add(20 * time.Second); made.Load() < dials && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	refused := make(chan struct{})
	go func() { l.Refuse(context.Background()); close(refused) }()
	select {
	case <-refused:
	case <-time.After(20 * time.Second):
		t.Errorf("after 20 s and %d dials it does not refuse", made.Load())
	}
	cancel()
	dialling.Wait()
	if late, err := dialWithin(l.Address(), time.Second); err == nil {
		late.Close()
		t.Error("it accepts after it was told to refuse")
	}
	for i, c := range before {
		_ = c.SetDeadline(time.Now().Add(20 * time.Second))
		_, _ = io.WriteString(c, "call")
		if _, err := io.ReadFull(c, make([]byte, 4)); err != nil {
			t.Fatalf("connection %d of those made before: %v", i, err)
		}
	}
}

// TestRefuseWithoutDescriptors guards against a stop that keeps connections to itself: those that it took over before descriptors ran
// out are handed on while others still wait, for their ends give descriptors back.
func TestRefuseWithoutDescriptors(t *testing.T) {
	const clients = 2
	ln, err := NewListener("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	l := ln.(*listener)
	for range clients {
		peer, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer peer.Close()
	}
	first, err := l.acceptOne()
	if err != nil || first == nil {
		t.Fatalf("%v %v", first, err)
	}
	l.rest = append(l.rest, first) // as taken over just before descriptors ran out
	var refused bool
	var returned net.Conn
	withoutDescriptors(t, func() {
		refused = l.refuse(context.Background())
		returned, err = ln.Accept()
	})
	if refused || returned != first || err != nil {
		t.Errorf("without descriptors it refuses: %v; Accept returns %v, %v", refused, returned, err)
	}
	if !l.refuse(context.Background()) {
		t.Error("it does not refuse once there are descriptors")
	}
	second, err := ln.Accept()
	if err != nil || second == nil {
		t.Fatalf("the second: %v %v", second, err)
	}
	if none, err := ln.Accept(); none != nil || err != nil {
		t.Errorf("with none left: %v %v", none, err)
	}
	if _, err := ln.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("after that: %v", err)
	}
	_ = errors.Join(syscall.Close(first.(netpoll.Conn).Fd()), syscall.Close(second.(netpoll.Conn).Fd()))
}

func dialWithin(address string, timeout time.Duration) (net.Conn, error) {
	n, a := network(address)
	return net.DialTimeout(n, a, timeout)
}

// dialUntilRefused makes connections one after another, and closes each, until they are refused; it counts them.
func dialUntilRefused(ctx context.Context, address string, made *atomic.Int64) {
	for ctx.Err() == nil {
		c, err := dialWithin(address, 50*time.Millisecond)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return
		}
		if err == nil {
			made.Add(1)
			c.Close()
		}
	}
}

package link

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"

	"vetchdoor/stream"
)

// Guards the check for code that keeps read buffers too long: the result of a Peek or Next must be overwritten by the
// next one and by Release, since netpoll reuses such memory for other connections.
func TestReadBuffersAreOverwritten(t *testing.T) {
	net := NewMemory(nil)
	var seen []string
	done := make(chan struct{})
	server, err := net.Serve("tcp", "10.0.0.1:80", stream.Hooks{
		Prepare: func(netpoll.Connection) context.Context { return context.Background() },
		Request: func(_ context.Context, nc netpoll.Connection) error {
			defer close(done)
			r := nc.Reader()
			first, err := r.Peek(3)
			second, err2 := r.Peek(5)
			seen = append(seen, string(first), string(second))
			third, err3 := r.Next(4)
			seen = append(seen, string(second), string(third))
			err4 := r.Release()
			seen = append(seen, string(third))
			if err := errors.Join(err, err2, err3, err4); err != nil {
				t.Error(err)
			}
			return r.Skip(r.Len())
		}})
	if err != nil {
		t.Fatal(err)
	}
	defer server.Stop(context.Background())
	c, err := net.Dial("tcp", "10.0.0.1:80", time.Second)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(c, "abcdef"); err != nil {
		t.Fatal(err)
	}
	<-done
	for i, want := range []string{"###", "abcde", "#####", "abcd", "####"} {
		if seen[i] != want {
			t.Errorf("read %d: %q, want %q", i+1, seen[i], want)
		}
	}
}

// A request that arrives while the previous one of the same length is being handled must be handled too. Comparing
// only the buffered length would take it for an incomplete request.
func TestRequestsOfEqualLength(t *testing.T) {
	net := NewMemory(NewTap(time.Now()))
	handled := make(chan string, 2)
	server, err := net.Serve("tcp", "10.0.0.1:80", stream.Hooks{
		Prepare: func(netpoll.Connection) context.Context { return context.Background() },
		Request: func(_ context.Context, nc netpoll.Connection) error {
			r := nc.Reader()
			request, err := r.Next(3)
			if err != nil {
				return err
			}
			if handled <- string(request); string(request) == "abc" {
				_, err = r.Peek(3) // the second request has arrived before the first is done
			}
			return err
		}})
	if err != nil {
		t.Fatal(err)
	}
	defer server.Stop(context.Background())
	net.AddLink("road", &MemoryLink{Name: "road", Target: "10.0.0.1:80"}) // a write through a link arrives as one piece
	c, err := net.Dial("tcp", "road", time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	for _, request := range []string{"abc", "def"} {
		if _, err := io.WriteString(c, request); err != nil {
			t.Fatal(err)
		}
		select {
		case got := <-handled:
			if got != request {
				t.Errorf("handled %q, want %q", got, request)
			}
		case <-time.After(5 * time.Second):
			t.Fatalf("%q was not handled", request)
		}
	}
}

// endRecorder is a handler that collects the received data and sends it to ended when the connection closes.
type endRecorder struct {
	received []byte
	ended    chan string
}

func (h *endRecorder) Data(_ *stream.Conn, b []byte) { h.received = append(h.received, b...) }
func (h *endRecorder) Closed(*stream.Conn)           { h.ended <- string(h.received) }

// Data that a peer sent before it closed must be handled before the close callbacks run, as with sockets; otherwise
// answers are lost.
func TestDataBeforeClose(t *testing.T) {
	net := NewMemory(NewTap(time.Now()))
	server, err := net.Serve("tcp", "10.0.0.1:80", stream.Hooks{
		Prepare: func(netpoll.Connection) context.Context { return context.Background() },
		Request: func(_ context.Context, nc netpoll.Connection) error {
			err := nc.Reader().Skip(nc.Reader().Len())
			_, err2 := io.WriteString(nc, "answer")
			return errors.Join(err, err2, nc.Close())
		}})
	if err != nil {
		t.Fatal(err)
	}
	defer server.Stop(context.Background())
	net.AddLink("road", &MemoryLink{Name: "road", Target: "10.0.0.1:80"})
	const dials = 2000
	missing := 0
	for range dials {
		h := &endRecorder{ended: make(chan string, 1)}
		c, err := stream.Dial(net, "road", time.Second, h)
		if err != nil {
			t.Fatal(err)
		}
		if err := c.Send([]byte("ask")); err != nil {
			t.Fatal(err)
		}
		if got := <-h.ended; got != "answer" {
			missing++
		}
	}
	if missing > 0 {
		t.Errorf("%d of %d answers were not handled before the close", missing, dials)
	}
}

// A dialer whose connection is refused must get its close callback, whether the refusal comes before or after the
// callback is registered.
func TestRefusedDialIsNotified(t *testing.T) {
	net := NewMemory(NewTap(time.Now()))
	listener, err := stream.Listen(net, "10.0.0.1:80", func(*stream.Conn) stream.Handler { return nil })
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	const dials = 5000
	var handlers []*endRecorder
	for range dials {
		h := &endRecorder{ended: make(chan string, 1)}
		if _, err := stream.Dial(net, "10.0.0.1:80", time.Second, h); err != nil {
			t.Fatal(err)
		}
		handlers = append(handlers, h)
	}
	notNotified := 0
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	for _, h := range handlers {
		select {
		case <-h.ended:
			continue
		case <-ctx.Done():
		}
		if len(h.ended) == 0 {
			notNotified++
		}
	}
	if notNotified > 0 {
		t.Errorf("%d of %d refused dials got no close callback", notNotified, dials)
	}
	server := net.servers["10.0.0.1:80"]
	server.mu.Lock()
	defer server.mu.Unlock()
	if remaining := len(server.ends); remaining > 0 {
		t.Errorf("server still holds %d refused connections", remaining)
	}
}

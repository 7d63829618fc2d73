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

// TestLentMemoryIsOverwritten guards the transport's habit that shows who keeps bytes for too long: what a Peek or a Next returned
// is overwritten at the next one and at Release, as netpoll's memory is once another connection has it.
func TestLentMemoryIsOverwritten(t *testing.T) {
	net := NewMemory(nil)
	var seen []string
	done := make(chan struct{})
	server, err := net.Serve("tcp", "10.0.0.1:80", stream.Hooks{Prepare: func(netpoll.Connection) context.Context { return context.Background() },
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
			t.Errorf("look %d: %q, want %q", i+1, seen[i], want)
		}
	}
}

// A request that comes while the one before it is handled is handled too, also where both are of one length: the server must not
// take it for the rest of a request that the handler waits for.
func TestRequestsOfOneLength(t *testing.T) {
	net := NewMemory(NewTap(time.Now()))
	handled := make(chan string, 2)
	server, err := net.Serve("tcp", "10.0.0.1:80", stream.Hooks{Prepare: func(netpoll.Connection) context.Context { return context.Background() },
		Request: func(_ context.Context, nc netpoll.Connection) error {
			r := nc.Reader()
			request, err := r.Next(3)
			if err != nil {
				return err
			}
			if handled <- string(request); string(request) == "abc" {
				_, err = r.Peek(3) // the second has come before the first is done
			}
			return err
		}})
	if err != nil {
		t.Fatal(err)
	}
	defer server.Stop(context.Background())
	net.AddLink("road", &MemoryLink{Name: "road", Target: "10.0.0.1:80"}) // where each write comes as one piece
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

// lastWords is a handler that keeps what came before it was told of the end.
type lastWords struct {
	came  []byte
	ended chan string
}

func (h *lastWords) Data(_ *stream.Conn, b []byte) { h.came = append(h.came, b...) }
func (h *lastWords) Closed(*stream.Conn)           { h.ended <- string(h.came) }

// What a peer sent before it closed is handled before the end is told, as over sockets; an answer must not be lost to the close.
func TestAnswerBeforeTheEnd(t *testing.T) {
	net := NewMemory(NewTap(time.Now()))
	server, err := net.Serve("tcp", "10.0.0.1:80", stream.Hooks{Prepare: func(netpoll.Connection) context.Context { return context.Background() },
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
	lost := 0
	for range dials {
		h := &lastWords{ended: make(chan string, 1)}
		c, err := stream.Dial(net, "road", time.Second, h)
		if err != nil {
			t.Fatal(err)
		}
		if err := c.Send([]byte("ask")); err != nil {
			t.Fatal(err)
		}
		if got := <-h.ended; got != "answer" {
			lost++
		}
	}
	if lost > 0 {
		t.Errorf("%d of %d answers were lost to the close", lost, dials)
	}
}

// A dialler that its peer refuses is told of the end whenever that comes, before its close callback is set or after.
func TestRefusedDialIsTold(t *testing.T) {
	net := NewMemory(NewTap(time.Now()))
	listener, err := stream.Listen(net, "10.0.0.1:80", func(*stream.Conn) stream.Handler { return nil })
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	const dials = 5000
	var all []*lastWords
	for range dials {
		h := &lastWords{ended: make(chan string, 1)}
		if _, err := stream.Dial(net, "10.0.0.1:80", time.Second, h); err != nil {
			t.Fatal(err)
		}
		all = append(all, h)
	}
	untold := 0
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	for _, h := range all {
		select {
		case <-h.ended:
			continue
		case <-ctx.Done():
		}
		if len(h.ended) == 0 {
			untold++
		}
	}
	if untold > 0 {
		t.Errorf("%d of %d refused dials were not told of the end", untold, dials)
	}
	server := net.serves["10.0.0.1:80"]
	server.mu.Lock()
	defer server.mu.Unlock()
	if kept := len(server.ends); kept > 0 {
		t.Errorf("%d refused connections are kept", kept)
	}
}

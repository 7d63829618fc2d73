package platform

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
)

// ManualDiscovery is a discovery stand-in whose calls a test answers one by one; it may write an answer byte by byte.
type ManualDiscovery struct {
	Calls chan *Call // unbuffered; receives each call in order of arrival

	listener net.Listener
	done     chan struct{}
	mu       sync.Mutex
	conns    map[net.Conn]bool
}

// Call is a call to discovery that waits for its answer.
type Call struct {
	net.Conn
	Target   string // path and query of the request
	Nth      int    // number of the call on its connection, from 1
	answered chan bool
}

// NewManualDiscovery starts a ManualDiscovery on a free loopback port.
func NewManualDiscovery() (*ManualDiscovery, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &ManualDiscovery{Calls: make(chan *Call), listener: listener, done: make(chan struct{}), conns: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			a.mu.Lock()
			a.conns[c] = true
			a.mu.Unlock()
			go a.serve(c)
		}
	}()
	return a, nil
}

// Address returns the address it listens on.
func (a *ManualDiscovery) Address() string { return a.listener.Addr().String() }

// Refuse stops accepting connections; open connections stay.
func (a *ManualDiscovery) Refuse() { a.listener.Close() }

// Close stops listening and closes all connections.
func (a *ManualDiscovery) Close() {
	a.listener.Close()
	close(a.done)
	a.mu.Lock()
	defer a.mu.Unlock()
	for c := range a.conns {
		c.Close()
	}
}

func (a *ManualDiscovery) serve(c net.Conn) {
	defer func() {
		c.Close()
		a.mu.Lock()
		delete(a.conns, c)
		a.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	for n := 1; ; n++ {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		call := &Call{Conn: c, Target: r.URL.RequestURI(), Nth: n, answered: make(chan bool, 1)}
		select {
		case a.Calls <- call:
		case <-a.done:
			return
		}
		select {
		case <-call.answered:
		case <-a.done:
			return
		}
	}
}

// IsFullRequest reports whether the call requests the whole list rather than the changes since a generation.
func (c *Call) IsFullRequest() bool { return c.Target == "/api/targets" }

// Encode returns the bytes of an HTTP response with the answer.
func (c *Call) Encode(answer Answer) []byte {
	if answer.Instances == nil {
		answer.Instances = []Instance{}
	}
	body, err := json.Marshal(answer)
	if err != nil {
		panic(err) // an Answer contains only types that can be encoded
	}
	return c.EncodeBody(string(body))
}

// EncodeBody returns the bytes of an HTTP response with an arbitrary body.
func (c *Call) EncodeBody(body string) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// Answer sends an answer, after which the connection reads its next call.
func (c *Call) Answer(answer Answer) { c.Send(c.Encode(answer)) }

// Send writes raw bytes as the answer, after which the connection reads its next call.
func (c *Call) Send(b []byte) {
	_, _ = c.Write(b)
	c.answered <- true
}

package platform

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
)

// Agent is discovery by hand: each call waits until it is answered, byte by byte if one likes.
type Agent struct {
	Calls chan *Call // in the order in which they came

	ln    net.Listener
	done  chan struct{}
	mu    sync.Mutex
	conns map[net.Conn]bool
}

// Call is one that waits for its answer.
type Call struct {
	net.Conn
	Target string // path and query
	Nth    int    // of its connection, from 1 on
	next   chan bool
}

// NewAgent starts one at an address of its own.
func NewAgent() (*Agent, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &Agent{Calls: make(chan *Call), ln: ln, done: make(chan struct{}), conns: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := ln.Accept()
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

// Address is where it listens.
func (a *Agent) Address() string { return a.ln.Addr().String() }

// Refuse has it take no more connections; those that are open stay.
func (a *Agent) Refuse() { a.ln.Close() }

// Close ends it and its connections.
func (a *Agent) Close() {
	a.ln.Close()
	close(a.done)
	a.mu.Lock()
	defer a.mu.Unlock()
	for c := range a.conns {
		c.Close()
	}
}

func (a *Agent) serve(c net.Conn) {
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
		call := &Call{Conn: c, Target: r.URL.RequestURI(), Nth: n, next: make(chan bool, 1)}
		select {
		case a.Calls <- call:
		case <-a.done:
			return
		}
		select {
		case <-call.next:
		case <-a.done:
			return
		}
	}
}

// IsFullRequest tells whether it asks for the whole list.
func (c *Call) IsFullRequest() bool { return c.Target == "/api/targets" }

// Bytes are an answer on the wire.
func (c *Call) Bytes(answer Answer) []byte {
	if answer.Instances == nil {
		answer.Instances = []Instance{}
	}
	body, err := json.Marshal(answer)
	if err != nil {
		panic(err) // it always marshals
	}
	return c.Text(string(body))
}

// Text is an answer of any body.
func (c *Call) Text(body string) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// Answer answers, and takes the next call on the connection.
func (c *Call) Answer(answer Answer) { c.Send(c.Bytes(answer)) }

// Send writes an answer, and takes the next call on the connection.
func (c *Call) Send(b []byte) {
	_, _ = c.Write(b)
	c.next <- true
}

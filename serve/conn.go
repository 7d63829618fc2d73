package serve

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/netpoll"

	"vetchdoor/http1"
	"vetchdoor/stream"
)

// Conn is a client's connection.
type Conn struct {
	Data    any // the handler's own
	nc      netpoll.Connection
	parser  *http1.Parser
	server  *Server
	mu      sync.Mutex
	onGone  func()
	gone    bool
	closing bool         // its answer under way is the last one
	last    atomic.Int64 // when it last did something, Unix nanoseconds
	state   atomic.Int32
	dropped atomic.Bool // what still comes is not answered
	guard   *stream.Guard
}

// States of a connection.
const (
	idle      int32 = iota // no request is under way
	active                 // one is
	lingering              // it is closed towards the client; what still comes is passed over
)

// ended tells, once, that the connection is gone.
func (c *Conn) ended() {
	c.guard.Release()
	c.mu.Lock()
	was, f := c.gone, c.onGone
	c.gone, c.onGone = true, nil
	c.mu.Unlock()
	if was {
		return
	}
	c.server.mu.Lock()
	delete(c.server.conns, c)
	c.server.mu.Unlock()
	if f != nil {
		f()
	}
	if c.server.Closed != nil {
		c.server.Closed(c)
	}
}

// OnGone has f called once if the client goes away before the next call of OnGone; nil ends that. If it is gone already
// f is called at once.
func (c *Conn) OnGone(f func()) {
	c.mu.Lock()
	gone := c.gone
	if !gone {
		c.onGone = f
	}
	c.mu.Unlock()
	if gone && f != nil {
		f()
	}
}

// Remote is the client's address.
func (c *Conn) Remote() string { return c.nc.RemoteAddr().String() }

// Answer sends a whole final answer. Where it is the connection's last, because the client or the handler wants it so or
// the server stops, the answer says so: a client that reads no such word may send its next request, which nobody would take.
func (c *Conn) Answer(b []byte) error {
	if c.server.stopping.Load() != 0 {
		c.closing = true
	}
	if c.closing {
		b = http1.SayClose(b)
	}
	_, err := c.nc.Write(b)
	return err
}

// CloseAfter ends the connection once the answer under way is written, if there is one.
func (c *Conn) CloseAfter() { c.closing = true }

// finish closes a connection that was idle or active towards the client, and leaves the rest to the client or to the sweep;
// false if it is in another state by now.
func (c *Conn) finish(was int32) bool {
	if !c.state.CompareAndSwap(was, lingering) {
		return false
	}
	c.last.Store(time.Now().UnixNano())
	if !c.guard.ShutWrite() {
		_ = c.nc.Close()
	}
	return true
}

// Drop ends the connection at once, in the midst of whatever is under way. netpoll reads on while a request is in hand,
// even from a connection that was closed, so the socket is shut down first.
func (c *Conn) Drop() {
	c.dropped.Store(true)
	c.guard.Abort()
	c.ended()
}

// passOver takes what comes on a connection that was answered for the last time.
func (c *Conn) passOver() error {
	r := c.nc.Reader()
	for n := r.Len(); n > 0; n = r.Len() {
		if r.Skip(n) != nil || r.Release() != nil {
			return c.nc.Close()
		}
	}
	return nil
}

// one reads and answers one request; false ends the connection, after its last answer if closing is set.
func (c *Conn) one(s *Server) bool {
	r := c.nc.Reader()
	started, told := time.Now(), false
	for {
		n := r.Len()
		b, err := r.Peek(n)
		if err != nil {
			return false
		}
		m, err := c.parser.Parse(b, false)
		if err == nil {
			size := m.Size
			c.closing = m.Close
			s.Handle(c, m)
			c.parser.Reset()
			if r.Skip(size) != nil || r.Release() != nil {
				return false
			}
			return !c.closing && c.nc.IsActive()
		}
		var bad *http1.MalformedError
		if errors.As(err, &bad) {
			c.refuse(bad.Status, bad.Reason)
			return false
		}
		if !told && c.parser.Expects() {
			told = true
			if _, err := c.nc.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
				return false
			}
		}
		left := s.RequestTimeout - time.Since(started)
		if left <= 0 {
			c.refuse(408, "the request came too slowly")
			return false
		}
		_ = c.nc.SetReadTimeout(left)
		if _, err := r.Peek(n + 1); err != nil {
			if errors.Is(err, netpoll.ErrReadTimeout) {
				continue
			}
			return false
		}
	}
}

// refuse answers a request that cannot be read, as the connection's last.
func (c *Conn) refuse(status int, text string) {
	c.closing = true
	_ = c.Answer(Plain(status, text))
}

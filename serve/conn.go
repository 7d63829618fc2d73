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
	Data         any // for use by the handler
	nc           netpoll.Connection
	parser       *http1.Parser
	server       *Server
	mu           sync.Mutex
	onDisconnect func()
	disconnected bool
	isHead       bool         // the current request is a HEAD request, whose answer has no body
	closing      bool         // the answer to the current request is the last one
	lastActivity atomic.Int64 // Unix nanoseconds
	state        atomic.Int32
	dropped      atomic.Bool // Drop was called: later requests are not answered
	guard        *stream.Guard
	meter        *stream.Meter
}

// States of a connection.
const (
	idle      int32 = iota // no request is in progress
	active                 // a request is in progress
	lingering              // closed in the write direction; received bytes are discarded
)

// notifyClosed removes the connection from its server and calls, once, the callbacks for its end.
func (c *Conn) notifyClosed() {
	c.guard.Release()
	c.mu.Lock()
	was, f := c.disconnected, c.onDisconnect
	c.disconnected, c.onDisconnect = true, nil
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

// OnDisconnect sets a function that is called once if the client disconnects; it replaces the one set before, and nil sets
// none. If the client has already disconnected, f is called at once.
func (c *Conn) OnDisconnect(f func()) {
	c.mu.Lock()
	disconnected := c.disconnected
	if !disconnected {
		c.onDisconnect = f
	}
	c.mu.Unlock()
	if disconnected && f != nil {
		f()
	}
}

// RemoteAddress returns the client's address.
func (c *Conn) RemoteAddress() string { return c.nc.RemoteAddr().String() }

// Answer sends a complete final answer, without its body if the request is a HEAD request. If it is the last one of the connection, because the client or the handler has asked
// for that or the server is stopping, it gets a "Connection: close" field: without one the client might send another
// request, which would not be answered.
func (c *Conn) Answer(b []byte) error {
	if c.server.stopping.Load() != 0 {
		c.closing = true
	}
	if c.isHead {
		b = http1.HeadOf(b)
	}
	if c.closing {
		b = http1.AddConnectionClose(b)
	}
	release := c.meter.ChargeAnswer(len(b))
	defer release()
	_, err := c.nc.Write(b)
	return err
}

// CloseAfterAnswer makes the answer to the current request the last one; the connection is closed once it is written.
func (c *Conn) CloseAfterAnswer() { c.closing = true }

// finish closes the write direction of a connection that is in state was, idle or active, and leaves the full close to the
// client or to the sweep. It returns false if the connection is in another state by now.
func (c *Conn) finish(was int32) bool {
	if !c.state.CompareAndSwap(was, lingering) {
		return false
	}
	c.lastActivity.Store(time.Now().UnixNano())
	if !c.guard.ShutWrite() {
		_ = c.nc.Close()
	}
	return true
}

// Drop closes the connection at once, even while a request is in progress. The socket is shut down first, so
// that a goroutine that reads from it stops too.
func (c *Conn) Drop() {
	c.dropped.Store(true)
	c.guard.Abort()
	c.notifyClosed()
}

// discardInput discards the bytes received after the last answer.
func (c *Conn) discardInput() error {
	r := c.nc.Reader()
	for n := r.Len(); n > 0; n = r.Len() {
		if r.Skip(n) != nil || r.Release() != nil {
			return c.nc.Close()
		}
	}
	return nil
}

// serveRequest reads and answers one request. It returns false if the connection is to be closed; if closing is set, its
// last answer was sent.
func (c *Conn) serveRequest(s *Server) bool {
	r := c.nc.Reader()
	started, continueSent := time.Now(), false
	for {
		n := r.Len()
		b, err := r.Peek(n)
		if err != nil {
			return false
		}
		m, err := c.parser.Parse(b, false)
		if err == nil {
			if c.meter.PeerGone() {
				return false // nobody is left to take the answer
			}
			size := m.Size
			c.closing = m.Close
			c.isHead = string(m.Method) == "HEAD"
			c.meter.SetBusy(true)
			release := c.meter.Charge(size) // handlers copy what they pass on
			s.Handle(c, m)
			release()
			c.meter.SetBusy(false)
			c.meter.MessageDone()
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
		if !continueSent && c.parser.ExpectsContinue() {
			continueSent = true
			if _, err := c.nc.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
				return false
			}
		}
		left := s.RequestTimeout - time.Since(started)
		if left <= 0 {
			c.refuse(408, "the request came too slowly")
			return false
		}
		if !c.meter.Expect(c.parser.KnownSize()) {
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

// refuse answers a malformed or slow request with an error, as the last answer of the connection.
func (c *Conn) refuse(status int, text string) {
	c.closing = true
	c.isHead = false // the method of a request that cannot be read is not known
	_ = c.Answer(PlainText(status, text))
}

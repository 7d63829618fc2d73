// Package serve is an HTTP/1.1 server over netpoll with the project's own parser. Each request of a connection is handed
// to one function, in order; what a peer sends ahead is bounded by a sweep, for netpoll itself reads without end.
package serve

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/netpoll"

	"vetchdoor/http1"
	"vetchdoor/stream"
)

// sweepEvery is how often connections are looked over for peers that send ahead without bound.
const sweepEvery = 50 * time.Millisecond

// lingerFor is how long a connection whose last answer was sent is read, and what comes passed over, until its client
// closes. Closed at once with unread bytes, a socket is reset, and the reset can overtake the answer.
const lingerFor = time.Second

// Server answers requests. Its fields are set before Start.
type Server struct {
	Bounds http1.Bounds
	Handle func(c *Conn, m *http1.Message) // answers by c.Write; m holds for the call
	Open   func(c *Conn) bool              // optional; false refuses the connection
	Closed func(c *Conn)                   // optional
	Idle   time.Duration                   // a connection without a request for so long is closed; 0: a minute
	Drain  time.Duration                   // the same while the server stops, since Stop; 0: until the end of its context
	Slow   time.Duration                   // a request must be whole this long after its first byte; 0: ten seconds

	Net stream.Net // nil: sockets

	server   stream.Server
	mu       sync.Mutex
	conns    map[*Conn]bool
	stopping atomic.Int64  // when Stop was called, Unix nanoseconds; 0: not yet
	ending   sync.Once     // of the last step of Stop
	stop     chan struct{} // closed by it
}

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
}

// States of a connection.
const (
	idle      int32 = iota // no request is under way
	active                 // one is
	lingering              // it is closed towards the client; what still comes is passed over
)

type key struct{}

// Start listens on HOST:PORT; port 0 takes any that is free.
func (s *Server) Start(address string) error {
	if s.Bounds == (http1.Bounds{}) {
		s.Bounds = http1.Usual
	}
	if s.Idle <= 0 {
		s.Idle = time.Minute
	}
	if s.Slow <= 0 {
		s.Slow = 10 * time.Second
	}
	s.conns, s.stop = map[*Conn]bool{}, make(chan struct{})
	var err error
	s.server, err = stream.Over(s.Net).Serve("tcp", address, stream.Hooks{Prepare: s.prepare, Request: s.request,
		Gone: func(ctx context.Context) {
			if c, ok := ctx.Value(key{}).(*Conn); ok { // the close callback would wait for the request under way
				c.ended()
			}
		}})
	if err != nil {
		return err
	}
	go s.sweep()
	return nil
}

// Address is where it listens.
func (s *Server) Address() string { return s.server.Address() }

func (s *Server) prepare(nc netpoll.Connection) context.Context {
	c := &Conn{nc: nc, server: s, parser: http1.Requests(s.Bounds)}
	c.last.Store(time.Now().UnixNano())
	if s.ended() || s.Open != nil && !s.Open(c) {
		_ = nc.Close()
		return context.Background()
	}
	s.mu.Lock()
	s.conns[c] = true
	s.mu.Unlock()
	err := nc.AddCloseCallback(func(netpoll.Connection) error { c.ended(); return nil })
	if err != nil {
		_ = nc.Close()
		c.ended()
	}
	return context.WithValue(context.Background(), key{}, c)
}

// ended tells, once, that the connection is gone.
func (c *Conn) ended() {
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
	if !stream.ShutWrite(c.nc) {
		_ = c.nc.Close()
	}
	return true
}

// Drop ends the connection at once, in the midst of whatever is under way. netpoll reads on while a request is in hand,
// even from a connection that was closed, so the socket is shut down first. It cannot be another's by now: netpoll closes
// it after ended was called.
func (c *Conn) Drop() {
	c.mu.Lock()
	if !c.gone {
		stream.Shut(c.nc)
	}
	c.mu.Unlock()
	_ = c.nc.Close()
	c.ended()
}

func (s *Server) request(ctx context.Context, nc netpoll.Connection) error {
	c, ok := ctx.Value(key{}).(*Conn)
	if !ok {
		return nc.Close()
	}
	if !c.state.CompareAndSwap(idle, active) {
		return c.passOver()
	}
	for nc.Reader().Len() > 0 {
		if c.one(s) {
			continue
		}
		if !c.closing || !nc.IsActive() {
			return nc.Close()
		}
		c.finish(active)
		return c.passOver()
	}
	c.last.Store(time.Now().UnixNano())
	c.state.Store(idle)
	return nil
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
			c.parser.Next()
			if r.Skip(size) != nil || r.Release() != nil {
				return false
			}
			return !c.closing && c.nc.IsActive()
		}
		var bad *http1.Malformed
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
		left := s.Slow - time.Since(started)
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

// Plain is a short answer with a line of text.
func Plain(status int, text string) []byte {
	b := http1.AppendStatus(make([]byte, 0, 160+len(text)), status)
	b = http1.AppendField(b, "Content-Type", "text/plain; charset=utf-8")
	return http1.AppendBody(b, append([]byte(text), '\n'))
}

// stale tells whether a connection has stood without a request for longer than it may.
func (s *Server) stale(c *Conn, now int64) bool {
	if c.state.Load() != idle || c.nc.Reader().Len() > 0 {
		return false
	}
	if now-c.last.Load() > int64(s.Idle) {
		return true
	}
	began := s.stopping.Load()
	return began != 0 && s.Drain > 0 && now-max(began, c.last.Load()) > int64(s.Drain)
}

// sweep closes connections that sent too much ahead or stand idle.
func (s *Server) sweep() {
	t := time.NewTicker(sweepEvery)
	defer t.Stop()
	for {
		select {
		case <-s.stop:
			return
		case now := <-t.C:
			s.look(now.UnixNano())
		}
	}
}

// look does so once. An idle connection is closed towards its client first, as one that was answered for the last time is:
// its next request may be on the way.
func (s *Server) look(now int64) {
	most := 2*(s.Bounds.Head+s.Bounds.Body) + 64<<10
	var drop, finish []*Conn
	s.mu.Lock()
	for c := range s.conns {
		switch {
		case c.nc.Reader().Len() > most, c.state.Load() == lingering && now-c.last.Load() > int64(lingerFor):
			drop = append(drop, c)
		case s.stale(c, now):
			finish = append(finish, c)
		}
	}
	s.mu.Unlock()
	for _, c := range drop {
		c.Drop()
	}
	for _, c := range finish {
		c.finish(idle)
	}
}

// Stop stops accepting and answers what comes on open connections, each with the word that it was the last there, until
// the clients have gone or the context ends. Then it closes what is left. It may be called again, to end sooner.
func (s *Server) Stop(ctx context.Context) {
	if s.server == nil { // it does not listen
		return
	}
	if s.stopping.CompareAndSwap(0, time.Now().UnixNano()) && ctx.Err() == nil {
		s.server.Refuse(ctx)
	}
	for s.open() > 0 && ctx.Err() == nil && !s.ended() {
		time.Sleep(2 * time.Millisecond)
	}
	s.ending.Do(s.end)
}

// open is how many connections there are.
func (s *Server) open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// ended tells whether connections are not even answered any more.
func (s *Server) ended() bool {
	select {
	case <-s.stop:
		return true
	default:
		return false
	}
}

// end closes everything at once.
func (s *Server) end() {
	close(s.stop)
	gone, cancel := context.WithCancel(context.Background())
	cancel()
	s.server.Stop(gone)
	s.mu.Lock()
	var left []*Conn
	for c := range s.conns {
		left = append(left, c)
	}
	s.mu.Unlock()
	for _, c := range left {
		c.Drop()
	}
}

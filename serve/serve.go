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

// Server answers requests. Its fields are set before Start.
type Server struct {
	Bounds http1.Bounds
	Handle func(c *Conn, m *http1.Message) // answers by c.Write; m holds for the call
	Open   func(c *Conn) bool              // optional; false refuses the connection
	Closed func(c *Conn)                   // optional
	Idle   time.Duration                   // a connection without a request for so long is closed; 0: a minute
	Slow   time.Duration                   // a request must be whole this long after its first byte; 0: ten seconds

	Net stream.Net // nil: sockets

	server  stream.Server
	mu      sync.Mutex
	conns   map[*Conn]bool
	closing atomic.Bool
	busy    atomic.Int64 // connections with a request under way
	stop    chan struct{}
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
	closing bool
	last    atomic.Int64 // when it last did something, Unix nanoseconds
	active  atomic.Bool
}

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
	if s.closing.Load() || s.Open != nil && !s.Open(c) {
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

// Write sends bytes to the client. An answer is written whole by one call.
func (c *Conn) Write(b []byte) error {
	_, err := c.nc.Write(b)
	return err
}

// CloseAfter ends the connection once the answer under way is written.
func (c *Conn) CloseAfter() { c.closing = true }

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
	s.busy.Add(1)
	c.active.Store(true)
	defer func() {
		c.last.Store(time.Now().UnixNano())
		c.active.Store(false)
		s.busy.Add(-1)
	}()
	for nc.Reader().Len() > 0 {
		if !c.one(s) {
			return nc.Close()
		}
	}
	return nil
}

// one reads and answers one request; false ends the connection.
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
			c.closing = m.Close || s.closing.Load()
			s.Handle(c, m)
			c.parser.Next()
			if r.Skip(size) != nil || r.Release() != nil {
				return false
			}
			return !c.closing && c.nc.IsActive()
		}
		var bad *http1.Malformed
		if errors.As(err, &bad) {
			c.Write(Plain(bad.Status, bad.Reason, true))
			return false
		}
		if !told && c.parser.Expects() {
			if told = true; c.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")) != nil {
				return false
			}
		}
		left := s.Slow - time.Since(started)
		if left <= 0 {
			c.Write(Plain(408, "the request came too slowly", true))
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

// Plain is a short answer with a line of text.
func Plain(status int, text string, last bool) []byte {
	b := http1.AppendStatus(make([]byte, 0, 160+len(text)), status)
	b = http1.AppendField(b, "Content-Type", "text/plain; charset=utf-8")
	if last {
		b = http1.AppendField(b, "Connection", "close")
	}
	return http1.AppendBody(b, append([]byte(text), '\n'))
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
			most := 2*(s.Bounds.Head+s.Bounds.Body) + 64<<10
			s.mu.Lock()
			var drop []*Conn
			for c := range s.conns {
				idle := !c.active.Load() && now.UnixNano()-c.last.Load() > int64(s.Idle)
				if idle || c.nc.Reader().Len() > most {
					drop = append(drop, c)
				}
			}
			s.mu.Unlock()
			for _, c := range drop {
				c.Drop()
			}
		}
	}
}

// Stop stops accepting, lets requests under way be answered until the context ends, and closes what is left.
func (s *Server) Stop(ctx context.Context) {
	if s.closing.Swap(true) {
		return
	}
	s.server.Stop(ctx)
	for s.busy.Load() > 0 && ctx.Err() == nil {
		time.Sleep(2 * time.Millisecond)
	}
	close(s.stop)
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

// Package serve is an HTTP/1.1 server over netpoll with the project's own parser. Each request of a connection is handed
// to one function, in order; what a peer sends ahead is bounded by a sweep, for netpoll itself reads without end.
package serve

import (
	"context"
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
	Bounds         http1.Bounds
	Handle         func(c *Conn, m *http1.Message) // answers by c.Write; m holds for the call
	Accept         func(c *Conn) bool              // optional; false refuses the connection
	Closed         func(c *Conn)                   // optional
	Idle           time.Duration                   // a connection without a request for so long is closed; 0: a minute
	Drain          time.Duration                   // the same while the server stops, since Stop; 0: until the end of its context
	RequestTimeout time.Duration                   // a request must be whole this long after its first byte; 0: ten seconds

	Net stream.Net // nil: sockets

	server   stream.Server
	mu       sync.Mutex
	conns    map[*Conn]bool
	stopping atomic.Int64  // when Stop was called, Unix nanoseconds; 0: not yet
	ending   sync.Once     // of the last step of Stop
	stop     chan struct{} // closed by it
}

type key struct{}

// Start listens on HOST:PORT; port 0 takes any that is free.
func (s *Server) Start(address string) error {
	if s.Bounds == (http1.Bounds{}) {
		s.Bounds = http1.DefaultBounds
	}
	if s.Idle <= 0 {
		s.Idle = time.Minute
	}
	if s.RequestTimeout <= 0 {
		s.RequestTimeout = 10 * time.Second
	}
	s.conns, s.stop = map[*Conn]bool{}, make(chan struct{})
	var err error
	s.server, err = stream.Over(s.Net).Serve("tcp", address, stream.Hooks{Prepare: s.prepare, Request: s.request,
		Disconnected: func(ctx context.Context) {
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
	c := &Conn{nc: nc, server: s, parser: http1.NewRequestParser(s.Bounds), guard: stream.NewGuard(nc)}
	c.last.Store(time.Now().UnixNano())
	if s.ended() || s.Accept != nil && !s.Accept(c) {
		_ = nc.Close()
		return context.Background()
	}
	err := nc.AddCloseCallback(func(netpoll.Connection) error { c.ended(); return nil })
	if !s.add(c) || err != nil {
		_ = nc.Close()
		c.ended()
	}
	return context.WithValue(context.Background(), key{}, c)
}

// add counts a connection among those that end closes; false if it has been called, or the connection is gone.
func (s *Server) add(c *Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.mu.Lock()
	gone := c.gone
	c.mu.Unlock()
	if s.ended() || gone {
		return false
	}
	s.conns[c] = true
	return true
}

func (s *Server) request(ctx context.Context, nc netpoll.Connection) error {
	c, ok := ctx.Value(key{}).(*Conn)
	if !ok {
		return nc.Close()
	}
	c.guard.Register()
	if c.dropped.Load() {
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

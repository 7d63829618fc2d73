// Package serve is an HTTP/1.1 server over package stream that uses the parser of package http1. The requests of a connection are
// passed to one function, in order. A client that sends ahead of the answers waits: package stream reads no further. A periodic
// sweep closes connections that are idle for too long.
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

// sweepInterval is how often the server looks for connections that have too many unread bytes or have been idle for too long.
const sweepInterval = 50 * time.Millisecond

// lingerTimeout is how long the server reads and discards bytes on a connection after its last answer, until the client
// closes it. A socket that is closed at once with unread bytes is reset, and the reset can overtake the answer.
const lingerTimeout = time.Second

// Server answers HTTP/1.1 requests. Its exported fields must not change after Start.
type Server struct {
	Bounds         http1.Bounds                    // of a request; the zero value stands for http1.DefaultBounds
	Handle         func(c *Conn, m *http1.Message) // answers by c.Answer; m is valid only during the call
	Accept         func(c *Conn) bool              // optional, called for each new connection; false refuses it
	Closed         func(c *Conn)                   // optional, called once when a connection has closed
	IdleTimeout    time.Duration                   // an idle connection is closed after this time; 0: one minute
	DrainTimeout   time.Duration                   // idle timeout during Stop, not counted before Stop; 0: until its context ends
	RequestTimeout time.Duration                   // from the first byte of a request to its last; 0: ten seconds

	Net stream.Net // nil stands for sockets

	server    stream.Server
	mu        sync.Mutex
	conns     map[*Conn]bool
	stopping  atomic.Int64  // when Stop was called, in Unix nanoseconds; 0 before that
	closeOnce sync.Once     // guards closeAll
	done      chan struct{} // closed by closeAll
}

// connKey is the key of a *Conn in the context of its connection.
type connKey struct{}

// Start listens on HOST:PORT and serves in the background until Stop. Port 0 selects any free port.
func (s *Server) Start(address string) error {
	if s.Bounds == (http1.Bounds{}) {
		s.Bounds = http1.DefaultBounds
	}
	if s.IdleTimeout <= 0 {
		s.IdleTimeout = time.Minute
	}
	if s.RequestTimeout <= 0 {
		s.RequestTimeout = 10 * time.Second
	}
	s.conns, s.done = map[*Conn]bool{}, make(chan struct{})
	var err error
	s.server, err = stream.NetOrSockets(s.Net).Serve("tcp", address, stream.Hooks{Prepare: s.prepare, Request: s.request,
		Disconnected: func(ctx context.Context) {
			if c, ok := ctx.Value(connKey{}).(*Conn); ok { // the close callback would wait for the request in progress
				c.notifyClosed()
			}
		}})
	if err != nil {
		return err
	}
	go s.sweep()
	return nil
}

// Address returns the address on which the server listens.
func (s *Server) Address() string { return s.server.Address() }

// prepare sets a new connection up, or closes it if the server has stopped or Accept refuses it.
func (s *Server) prepare(nc netpoll.Connection) context.Context {
	c := &Conn{nc: nc, server: s, parser: http1.NewRequestParser(s.Bounds), guard: stream.NewGuard(nc), meter: stream.MeterOf(nc)}
	c.lastActivity.Store(time.Now().UnixNano())
	if s.isClosed() || s.Accept != nil && !s.Accept(c) {
		_ = nc.Close()
		return context.Background()
	}
	err := nc.AddCloseCallback(func(netpoll.Connection) error { c.notifyClosed(); return nil })
	if !s.add(c) || err != nil {
		_ = nc.Close()
		c.notifyClosed()
	}
	return context.WithValue(context.Background(), connKey{}, c)
}

// add registers a connection to be closed by closeAll. It returns false if closeAll was called already or the connection has
// closed.
func (s *Server) add(c *Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.mu.Lock()
	disconnected := c.disconnected
	c.mu.Unlock()
	if s.isClosed() || disconnected {
		return false
	}
	s.conns[c] = true
	return true
}

// request serves the requests received on a connection. It is called while there are unread bytes.
func (s *Server) request(ctx context.Context, nc netpoll.Connection) error {
	c, ok := ctx.Value(connKey{}).(*Conn)
	if !ok {
		return nc.Close()
	}
	c.guard.Register()
	if c.dropped.Load() {
		return nc.Close()
	}
	if !c.state.CompareAndSwap(idle, active) {
		return c.discardInput()
	}
	for nc.Reader().Len() > 0 {
		if c.serveRequest(s) {
			continue
		}
		if !c.closing || !nc.IsActive() {
			return nc.Close()
		}
		c.finish(active)
		return c.discardInput()
	}
	c.lastActivity.Store(time.Now().UnixNano())
	c.state.Store(idle)
	return nil
}

// PlainText returns an answer with a status code and one line of text as its body.
func PlainText(status int, text string) []byte {
	b := http1.AppendStatus(make([]byte, 0, 160+len(text)), status)
	b = http1.AppendField(b, "Content-Type", "text/plain; charset=utf-8")
	return http1.AppendBody(b, append([]byte(text), '\n'))
}

// idleTooLong reports whether a connection has been idle for longer than IdleTimeout, or DrainTimeout during Stop. now is in
// Unix nanoseconds.
func (s *Server) idleTooLong(c *Conn, now int64) bool {
	if c.state.Load() != idle || c.nc.Reader().Len() > 0 {
		return false
	}
	if now-c.lastActivity.Load() > int64(s.IdleTimeout) {
		return true
	}
	began := s.stopping.Load()
	return began != 0 && s.DrainTimeout > 0 && now-max(began, c.lastActivity.Load()) > int64(s.DrainTimeout)
}

// sweep closes, until the server is closed, the connections that have too many unread bytes or have been idle for too long.
func (s *Server) sweep() {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case <-s.done:
			return
		case now := <-t.C:
			s.sweepOnce(now.UnixNano())
		}
	}
}

// sweepOnce is one round of sweep; now is in Unix nanoseconds. Like a connection after its last answer, an idle connection
// is first closed in the write direction only, because the client's next request may already be on its way.
func (s *Server) sweepOnce(now int64) {
	maxUnread := 2*(s.Bounds.Head+s.Bounds.Body) + 64<<10
	var drop, finish []*Conn
	s.mu.Lock()
	for c := range s.conns {
		switch {
		case c.nc.Reader().Len() > maxUnread, c.state.Load() == lingering && now-c.lastActivity.Load() > int64(lingerTimeout):
			drop = append(drop, c)
		case s.idleTooLong(c, now):
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

// Stop refuses new connections and goes on answering requests on open ones, each with "Connection: close", until all clients
// have disconnected or the context ends. Then it closes the remaining connections. It may be called again while it runs,
// with a context that ends earlier.
func (s *Server) Stop(ctx context.Context) {
	if s.server == nil { // not started
		return
	}
	if s.stopping.CompareAndSwap(0, time.Now().UnixNano()) && ctx.Err() == nil {
		s.server.Refuse(ctx)
	}
	for s.openConns() > 0 && ctx.Err() == nil && !s.isClosed() {
		time.Sleep(2 * time.Millisecond)
	}
	s.closeOnce.Do(s.closeAll)
}

// openConns returns the number of open connections.
func (s *Server) openConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// isClosed reports whether closeAll was called, after which requests are not answered any more.
func (s *Server) isClosed() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}

// closeAll closes the listener and all connections at once.
func (s *Server) closeAll() {
	close(s.done)
	endedContext, cancel := context.WithCancel(context.Background())
	cancel()
	s.server.Stop(endedContext)
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

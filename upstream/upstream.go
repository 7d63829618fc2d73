// Package upstream sends HTTP/1.1 requests over pooled connections, one request at a time per connection, without
// pipelining. Pool.Send sends a request. A Failure reports whether the request may have run, which decides whether it may be
// sent again.
package upstream

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/netpoll"

	"vetchdoor/http1"
	"vetchdoor/stream"
)

// Failure is the error of a request that got no response.
type Failure struct {
	NotSent   bool // no byte of the request was sent
	Timeout   bool // the deadline passed
	Cancelled bool // the caller cancelled the call
	Stale     bool // a reused connection ended before a byte of the response: the server may have closed it while idle
	Err       error
}

func (f *Failure) Error() string { return f.Err.Error() }
func (f *Failure) Unwrap() error { return f.Err }

// Pool keeps connections to servers. Its exported settings must be set before the first Send.
type Pool struct {
	Bounds         http1.Bounds
	PerServer      int           // maximum number of connections to one server; 0: 256
	IdleTimeout    time.Duration // how long an idle connection is kept; 0: 15 seconds
	ConnectTimeout time.Duration // bound on opening a connection; 0: 250 milliseconds
	Net            stream.Net    // nil: operating system sockets

	mu          sync.Mutex         // guards servers, closed and the lists in servers
	servers     map[string]*server // connections by server address
	closed      bool
	stop        chan struct{} // closed by Close
	TotalOpened atomic.Int64  // number of connections opened since the pool was created
	open        atomic.Int64  // number of connections open now
}

// server holds the connections to one address.
type server struct {
	idleConns []*conn // most recently used last
	openConns int     // connections open or being dialled, idle or in use
}

// conn is one connection to a server.
type conn struct {
	nc        netpoll.Connection
	parser    *http1.Parser
	address   string
	idleSince time.Time // when the connection was last returned to the pool
	reused    bool      // the connection has carried a request before
}

// errPoolFull is the failure when the maximum number of connections to a server is in use.
var errPoolFull = errors.New("upstream: all connections in use")

// OpenConnections returns the number of connections that are open now, idle or in use.
func (p *Pool) OpenConnections() int64 { return p.open.Load() }

// init sets defaults and starts the goroutine that closes idle connections, on the first call. p.mu must be held.
func (p *Pool) init() {
	if p.servers != nil {
		return
	}
	p.servers, p.stop = map[string]*server{}, make(chan struct{})
	if p.PerServer <= 0 {
		p.PerServer = 256
	}
	if p.IdleTimeout <= 0 {
		p.IdleTimeout = 15 * time.Second
	}
	if p.ConnectTimeout <= 0 {
		p.ConnectTimeout = 250 * time.Millisecond
	}
	if p.Bounds == (http1.Bounds{}) {
		p.Bounds = http1.DefaultBounds
	}
	go p.closeIdlePeriodically()
}

// Call is one request in progress. Another goroutine may cancel it.
type Call struct {
	mu        sync.Mutex         // guards the fields below
	nc        netpoll.Connection // connection in use; nil while there is none
	cancelled bool
}

// Cancel cancels the call and ends its connection, which is how the server notices. The connection is shut down rather than
// closed, because Send may still be using it.
func (c *Call) Cancel() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelled = true
	if c.nc != nil {
		stream.Shutdown(c.nc)
	}
}

// isCancelled reports whether Cancel has been called.
func (c *Call) isCancelled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cancelled
}

// setConn records the connection in use. It returns false if the call has been cancelled.
func (c *Call) setConn(nc netpoll.Connection) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nc = nc
	return !c.cancelled
}

// Response is a server's response. Its message is valid until Release, which must be called. Other connections
// use its bytes again once they are released.
type Response struct {
	*http1.Message
	pool *Pool
	conn *conn
}

// Release returns the connection to the pool, or closes it if it cannot be reused.
func (r *Response) Release() {
	c := r.conn
	keep := !r.Close
	if size := r.Size; keep {
		reader := c.nc.Reader()
		keep = reader.Skip(size) == nil && reader.Release() == nil && reader.Len() == 0
		c.parser.Reset()
	}
	r.pool.release(c, keep)
}

// Send sends the complete request req to address and waits for the response until the deadline. isHead states that the
// request is a HEAD request, whose response has no body.
func (p *Pool) Send(call *Call, address string, req []byte, deadline time.Time, isHead bool) (*Response, *Failure) {
	c, fail := p.acquire(call, address, deadline)
	if fail != nil {
		return nil, fail
	}
	if !call.setConn(c.nc) {
		p.release(c, false)
		return nil, &Failure{NotSent: true, Cancelled: true, Err: errors.New("upstream: call cancelled")}
	}
	response, f := p.exchange(call, c, req, deadline, isHead)
	call.setConn(nil)
	if f != nil {
		p.release(c, false)
	}
	return response, f
}

// exchange writes a request to a connection and reads the response.
func (p *Pool) exchange(call *Call, c *conn, req []byte, deadline time.Time, isHead bool) (*Response, *Failure) {
	answered := false
	newFailure := func(err error) *Failure {
		f := &Failure{Err: fmt.Errorf("%s: %w", c.address, err), Timeout: errors.Is(err, netpoll.ErrReadTimeout)}
		f.Cancelled = call.isCancelled()
		f.Stale = c.reused && !answered && !f.Timeout && !f.Cancelled
		return f
	}
	remaining := time.Until(deadline)
	if remaining <= 0 {
		f := newFailure(netpoll.ErrReadTimeout)
		f.NotSent = true
		return nil, f
	}
	_ = c.nc.SetWriteTimeout(remaining)
	if _, err := c.nc.Write(req); err != nil {
		return nil, newFailure(err)
	}
	if isHead {
		c.parser.ExpectHeadResponse()
	}
	m, begun, err := c.receive(deadline, isHead)
	if answered = begun; err != nil {
		return nil, newFailure(err)
	}
	return &Response{Message: m, pool: p, conn: c}, nil
}

// receive reads a final response and skips interim ones before it. begun reports whether any byte of a response arrived.
func (c *conn) receive(deadline time.Time, isHead bool) (m *http1.Message, begun bool, err error) {
	r := c.nc.Reader()
	var ended error // why no more bytes will arrive; nil while more may arrive
	for {
		n := r.Len()
		begun = begun || n > 0
		m, err = c.parse(n, ended != nil)
		switch {
		case err == nil && m.Status >= http.StatusOK:
			return m, begun, nil
		case err == nil:
			if err = c.skipInterim(m, isHead); err != nil {
				return nil, begun, err
			}
			continue
		case ended != nil:
			return nil, begun, ended
		case !errors.Is(err, http1.ErrIncomplete):
			return nil, begun, err
		}
		if ended = c.waitFor(n+1, deadline); errors.Is(ended, netpoll.ErrReadTimeout) {
			return nil, begun, ended
		}
	}
}

// parse parses a message from the first n bytes received. ended states that no more bytes will arrive.
func (c *conn) parse(n int, ended bool) (*http1.Message, error) {
	if n == 0 {
		return nil, http1.ErrIncomplete
	}
	b, err := c.nc.Reader().Peek(n)
	if err != nil {
		return nil, err
	}
	return c.parser.Parse(b, ended)
}

// skipInterim discards an interim (1xx) response.
func (c *conn) skipInterim(m *http1.Message, isHead bool) error {
	if c.nc.Reader().Skip(m.Size) != nil {
		return netpoll.ErrConnClosed
	}
	c.parser.Reset()
	if isHead {
		c.parser.ExpectHeadResponse()
	}
	return nil
}

// waitFor waits until n bytes are available, the connection ends, or the deadline passes.
func (c *conn) waitFor(n int, deadline time.Time) error {
	remaining := time.Until(deadline)
	if remaining <= 0 {
		return netpoll.ErrReadTimeout
	}
	_ = c.nc.SetReadTimeout(remaining)
	_, err := c.nc.Reader().Peek(n)
	return err
}

// acquire returns an idle connection to address, the most recently used one, or opens a new one.
func (p *Pool) acquire(call *Call, address string, deadline time.Time) (*conn, *Failure) {
	p.mu.Lock()
	p.init()
	if p.closed {
		p.mu.Unlock()
		return nil, &Failure{NotSent: true, Err: errors.New("upstream: the pool is closed")}
	}
	s := p.servers[address]
	if s == nil {
		s = &server{}
		p.servers[address] = s
	}
	for len(s.idleConns) > 0 {
		c := s.idleConns[len(s.idleConns)-1]
		s.idleConns = s.idleConns[:len(s.idleConns)-1]
		if c.nc.IsActive() && c.nc.Reader().Len() == 0 {
			p.mu.Unlock()
			return c, nil
		}
		p.drop(s, c)
	}
	if s.openConns >= p.PerServer {
		p.mu.Unlock()
		return nil, &Failure{NotSent: true, Err: fmt.Errorf("%s: %w", address, errPoolFull)}
	}
	s.openConns++
	p.mu.Unlock()
	timeout := min(p.ConnectTimeout, time.Until(deadline))
	var nc netpoll.Connection
	err := error(netpoll.ErrDialTimeout)
	if timeout > 0 {
		nc, err = stream.NetOrSockets(p.Net).Dial("tcp", address, timeout)
	}
	if err != nil {
		p.mu.Lock()
		s.openConns--
		p.mu.Unlock()
		return nil, &Failure{NotSent: true, Err: fmt.Errorf("dial %s: %w", address, err)}
	}
	p.TotalOpened.Add(1)
	p.open.Add(1)
	return &conn{nc: nc, address: address, parser: http1.NewResponseParser(p.Bounds)}, nil
}

// drop closes a connection, which the caller removes from the idle list. p.mu must be held.
func (p *Pool) drop(s *server, c *conn) {
	s.openConns--
	p.open.Add(-1)
	go c.nc.Close()
}

// release returns a connection to the idle list, or closes it if keep is false or it cannot be reused.
func (p *Pool) release(c *conn, keep bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[c.address]
	if !keep || p.closed || !c.nc.IsActive() {
		p.drop(s, c)
		return
	}
	c.idleSince, c.reused = time.Now(), true
	s.idleConns = append(s.idleConns, c)
}

// CloseIdle closes the idle connections to address, for a server that is no longer used.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.servers[address]; s != nil {
		for _, c := range s.idleConns {
			p.drop(s, c)
		}
		s.idleConns = nil
	}
}

// closeIdlePeriodically closes connections that have been idle for longer than IdleTimeout, until Close.
func (p *Pool) closeIdlePeriodically() {
	t := time.NewTicker(max(p.IdleTimeout/4, 10*time.Millisecond))
	defer t.Stop()
	for {
		select {
		case <-p.stop:
			return
		case now := <-t.C:
			p.mu.Lock()
			for address, s := range p.servers {
				remaining := s.idleConns[:0]
				for _, c := range s.idleConns {
					if now.Sub(c.idleSince) > p.IdleTimeout || !c.nc.IsActive() {
						p.drop(s, c)
					} else {
						remaining = append(remaining, c)
					}
				}
				clear(s.idleConns[len(remaining):])
				if s.idleConns = remaining; s.openConns == 0 {
					delete(p.servers, address)
				}
			}
			p.mu.Unlock()
		}
	}
}

// Close closes the idle connections. Connections in use are closed when they are released, and further calls of Send fail.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.init()
	if p.closed {
		return
	}
	p.closed = true
	close(p.stop)
	for _, s := range p.servers {
		for _, c := range s.idleConns {
			p.drop(s, c)
		}
		s.idleConns = nil
	}
}

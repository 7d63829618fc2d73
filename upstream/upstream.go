// Package upstream sends HTTP/1.1 requests over pooled netpoll connections, one request a connection at a time. Send is
// the way in. What went wrong it tells by whether the request may have run, since that decides whether it may be sent
// again.
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

// Failure is how a request went without an answer.
type Failure struct {
	NotSent   bool // surely nothing of it was sent
	Timeout   bool
	Cancelled bool // given up by the caller
	Stale     bool // the connection had been kept and ended before a byte of an answer: its server may have closed it unseen
	Err       error
}

func (f *Failure) Error() string { return f.Err.Error() }
func (f *Failure) Unwrap() error { return f.Err }

// Pool keeps the connections to servers. Its fields are set before the first Send.
type Pool struct {
	Bounds         http1.Bounds
	PerServer      int           // connections to one server at most; 0: 256
	IdleTimeout    time.Duration // 0: 15 seconds
	ConnectTimeout time.Duration // 0: 250 milliseconds
	Net            stream.Net    // nil: sockets

	mu          sync.Mutex
	servers     map[string]*server
	closed      bool
	stop        chan struct{}
	TotalOpened atomic.Int64 // connections opened so far
	open        atomic.Int64
}

type server struct {
	idle []*conn // the newest last
	open int
}

type conn struct {
	nc     netpoll.Connection
	parser *http1.Parser
	server string
	since  time.Time // idle since
	kept   bool      // it has been idle
}

// errFull says that all connections to a server are in use.
var errFull = errors.New("upstream: all connections in use")

// OpenConnections is how many connections are open now.
func (p *Pool) OpenConnections() int64 { return p.open.Load() }

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
	go p.sweep()
}

// Call is one request under way; another goroutine may give it up.
type Call struct {
	mu   sync.Mutex
	nc   netpoll.Connection
	gone bool
}

// GiveUp ends the call: its connection ends, which is what tells the server. It is shut down, not closed: netpoll would
// take its buffers back while the caller still reads from them.
func (c *Call) GiveUp() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gone = true
	if c.nc != nil {
		stream.Shut(c.nc)
	}
}

func (c *Call) given() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.gone
}

// hold notes the connection in use; false if the call was given up meanwhile.
func (c *Call) hold(nc netpoll.Connection) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nc = nc
	return !c.gone
}

// Response is a response. Its message holds until Release, which must be called: netpoll takes the bytes of the last Peek back at
// the next Peek or Release of its connection, or as it is closed, and none of these comes before.
type Response struct {
	*http1.Message
	pool *Pool
	conn *conn
}

// Release gives the connection back.
func (a *Response) Release() {
	c := a.conn
	keep := !a.Close
	if size := a.Size; keep {
		r := c.nc.Reader()
		keep = r.Skip(size) == nil && r.Release() == nil && r.Len() == 0
		c.parser.Reset()
	}
	a.pool.put(c, keep)
}

// Send sends a request, whole in req, and waits for its answer until the deadline. head says that no body will answer.
func (p *Pool) Send(call *Call, address string, req []byte, deadline time.Time, head bool) (*Response, *Failure) {
	c, fail := p.get(call, address, deadline)
	if fail != nil {
		return nil, fail
	}
	if !call.hold(c.nc) {
		p.put(c, false)
		return nil, &Failure{NotSent: true, Cancelled: true, Err: errors.New("upstream: given up")}
	}
	a, f := p.exchange(call, c, req, deadline, head)
	call.hold(nil)
	if f != nil {
		p.put(c, false)
	}
	return a, f
}

func (p *Pool) exchange(call *Call, c *conn, req []byte, deadline time.Time, head bool) (*Response, *Failure) {
	answered := false
	fail := func(err error) *Failure {
		f := &Failure{Err: fmt.Errorf("%s: %w", c.server, err), Timeout: errors.Is(err, netpoll.ErrReadTimeout)}
		f.Cancelled = call.given()
		f.Stale = c.kept && !answered && !f.Timeout && !f.Cancelled
		return f
	}
	left := time.Until(deadline)
	if left <= 0 {
		f := fail(netpoll.ErrReadTimeout)
		f.NotSent = true
		return nil, f
	}
	_ = c.nc.SetWriteTimeout(left)
	if _, err := c.nc.Write(req); err != nil {
		return nil, fail(err)
	}
	if head {
		c.parser.ForHead()
	}
	m, begun, err := c.receive(deadline, head)
	if answered = begun; err != nil {
		return nil, fail(err)
	}
	return &Response{Message: m, pool: p, conn: c}, nil
}

// receive reads an answer, past the interim ones before it. begun says whether a byte of any came.
func (c *conn) receive(deadline time.Time, head bool) (m *http1.Message, begun bool, err error) {
	r := c.nc.Reader()
	var ended error // why nothing more comes
	for {
		n := r.Len()
		begun = begun || n > 0
		m, err = c.parse(n, ended != nil)
		switch {
		case err == nil && m.Status >= http.StatusOK:
			return m, begun, nil
		case err == nil:
			if err = c.passOver(m, head); err != nil {
				return nil, begun, err
			}
			continue
		case ended != nil:
			return nil, begun, ended
		case !errors.Is(err, http1.ErrMore):
			return nil, begun, err
		}
		if ended = c.await(n+1, deadline); errors.Is(ended, netpoll.ErrReadTimeout) {
			return nil, begun, ended
		}
	}
}

// parse reads a message from the first n bytes; ended says that no more come.
func (c *conn) parse(n int, ended bool) (*http1.Message, error) {
	if n == 0 {
		return nil, http1.ErrMore
	}
	b, err := c.nc.Reader().Peek(n)
	if err != nil {
		return nil, err
	}
	return c.parser.Parse(b, ended)
}

// passOver drops an interim answer.
func (c *conn) passOver(m *http1.Message, head bool) error {
	if c.nc.Reader().Skip(m.Size) != nil {
		return netpoll.ErrConnClosed
	}
	c.parser.Reset()
	if head {
		c.parser.ForHead()
	}
	return nil
}

// await waits until there are n bytes.
func (c *conn) await(n int, deadline time.Time) error {
	left := time.Until(deadline)
	if left <= 0 {
		return netpoll.ErrReadTimeout
	}
	_ = c.nc.SetReadTimeout(left)
	_, err := c.nc.Reader().Peek(n)
	return err
}

// get takes an idle connection or opens one.
func (p *Pool) get(call *Call, address string, deadline time.Time) (*conn, *Failure) {
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
	for len(s.idle) > 0 {
		c := s.idle[len(s.idle)-1]
		s.idle = s.idle[:len(s.idle)-1]
		if c.nc.IsActive() && c.nc.Reader().Len() == 0 {
			p.mu.Unlock()
			return c, nil
		}
		p.drop(s, c)
	}
	if s.open >= p.PerServer {
		p.mu.Unlock()
		return nil, &Failure{NotSent: true, Err: fmt.Errorf("%s: %w", address, errFull)}
	}
	s.open++
	p.mu.Unlock()
	timeout := min(p.ConnectTimeout, time.Until(deadline))
	var nc netpoll.Connection
	err := error(netpoll.ErrDialTimeout)
	if timeout > 0 {
		nc, err = stream.Over(p.Net).Dial("tcp", address, timeout)
	}
	if err != nil {
		p.mu.Lock()
		s.open--
		p.mu.Unlock()
		return nil, &Failure{NotSent: true, Err: fmt.Errorf("dial %s: %w", address, err)}
	}
	p.TotalOpened.Add(1)
	p.open.Add(1)
	return &conn{nc: nc, server: address, parser: http1.Responses(p.Bounds)}, nil
}

// drop closes a connection; p.mu is held.
func (p *Pool) drop(s *server, c *conn) {
	s.open--
	p.open.Add(-1)
	go c.nc.Close()
}

func (p *Pool) put(c *conn, keep bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[c.server]
	if !keep || p.closed || !c.nc.IsActive() {
		p.drop(s, c)
		return
	}
	c.since, c.kept = time.Now(), true
	s.idle = append(s.idle, c)
}

// Forget closes the idle connections to a server that ops no longer go to.
func (p *Pool) Forget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.servers[address]; s != nil {
		for _, c := range s.idle {
			p.drop(s, c)
		}
		s.idle = nil
	}
}

// sweep closes what stood idle too long.
func (p *Pool) sweep() {
	t := time.NewTicker(max(p.IdleTimeout/4, 10*time.Millisecond))
	defer t.Stop()
	for {
		select {
		case <-p.stop:
			return
		case now := <-t.C:
			p.mu.Lock()
			for address, s := range p.servers {
				kept := s.idle[:0]
				for _, c := range s.idle {
					if now.Sub(c.since) > p.IdleTimeout || !c.nc.IsActive() {
						p.drop(s, c)
					} else {
						kept = append(kept, c)
					}
				}
				clear(s.idle[len(kept):])
				if s.idle = kept; s.open == 0 {
					delete(p.servers, address)
				}
			}
			p.mu.Unlock()
		}
	}
}

// Close closes the idle connections; those in use are closed as they come back.
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
		for _, c := range s.idle {
			p.drop(s, c)
		}
		s.idle = nil
	}
}

// Package stream is the thin layer between netpoll and the parsers: bytes that came go to one function, one call at a
// time a connection; bytes to be sent are taken at once and written by another goroutine, within a bound. Whoever owns a
// connection is told once that it has ended.
package stream

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/netpoll"
)

// Handler takes what happens to a connection. Data's bytes hold only for the call. Closed comes once, after which there
// is at most one call of Data still under way.
type Handler interface {
	Data(c *Conn, b []byte)
	Closed(c *Conn)
}

// mostPending bounds the bytes that may wait to be written to a peer that does not read; past it the connection ends.
const mostPending = 32 << 20

// mostAhead bounds the bytes that a peer may have sent ahead of what the handler has taken.
const mostAhead = 64 << 20

// ErrSlow says that the peer read too little of what was sent to it.
var ErrSlow = errors.New("stream: the peer does not read")

// Conn is one connection.
type Conn struct {
	nc       netpoll.Connection
	handler  Handler
	mu       sync.Mutex
	out      []byte
	flushing bool
	ending   bool // close once what is pending is written
	once     sync.Once
	closing  atomic.Bool // by Close: what still comes is not taken
	guard    *Guard
}

// network splits an address: unix:PATH, or HOST:PORT.
func network(address string) (net, addr string) {
	if path, ok := strings.CutPrefix(address, "unix:"); ok {
		return "unix", path
	}
	return "tcp", address
}

// Dial connects over a net; nil: sockets. No data comes to the handler before something was sent.
func Dial(over Net, address string, timeout time.Duration, h Handler) (*Conn, error) {
	n, a := network(address)
	nc, err := Over(over).Dial(n, a, timeout)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	c := &Conn{nc: nc, handler: h, guard: NewGuard(nc)}
	c.guard.Register()
	// The callback comes first: once there is a request handler netpoll may end the connection at any time.
	err = nc.AddCloseCallback(func(netpoll.Connection) error { c.finish(); return nil })
	if err == nil {
		err = nc.SetOnRequest(func(context.Context, netpoll.Connection) error { c.read(); return nil })
	}
	if err != nil {
		nc.Close()
		return nil, err
	}
	if _, socket := nc.(netpoll.Conn); socket && !nc.IsActive() {
		// The peer has left, and where it did so before there was a request handler netpoll leaves the rest to the owner.
		go nc.Close()
	}
	return c, nil
}

// finish takes what netpoll has read and not handed on, which it may keep at the end, and tells the handler that there is no more.
func (c *Conn) finish() {
	c.guard.Release()
	c.read()
	c.ended()
}

// ended tells the handler, if it is known, that the connection is over.
func (c *Conn) ended() {
	c.mu.Lock()
	handler := c.handler
	c.mu.Unlock()
	if handler != nil {
		c.once.Do(func() { handler.Closed(c) })
	}
}

// request takes what has come on an accepted connection.
func (c *Conn) request() error {
	c.guard.Register()
	c.read()
	if c.closing.Load() {
		return c.nc.Close() // else netpoll would call for what is left without end
	}
	return nil
}

// read hands what has come to the handler.
func (c *Conn) read() {
	r := c.nc.Reader()
	for n := r.Len(); n > 0 && !c.closing.Load(); n = r.Len() {
		if n > mostAhead {
			c.Close()
			return
		}
		b, err := r.Next(n)
		if err != nil {
			return
		}
		c.handler.Data(c, b)
		_ = r.Release()
	}
}

// Remote is the peer's address.
func (c *Conn) Remote() string {
	if a := c.nc.RemoteAddr(); a != nil {
		return a.String()
	}
	return ""
}

// Send takes bytes to be written; it never waits.
func (c *Conn) Send(b []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ending || !c.nc.IsActive() {
		return net.ErrClosed
	}
	if len(c.out)+len(b) > mostPending {
		c.ending, c.out = true, nil
		go c.Close()
		return ErrSlow
	}
	c.out = append(c.out, b...)
	if !c.flushing {
		c.flushing = true
		go c.flush()
	}
	return nil
}

func (c *Conn) flush() {
	for {
		c.mu.Lock()
		b := c.out
		if len(b) == 0 {
			c.flushing = false
			ending := c.ending
			c.mu.Unlock()
			if ending {
				c.Close()
			}
			return
		}
		c.mu.Unlock()
		part := b[:min(len(b), 256<<10)]
		// Write, not Writer: netpoll gives its buffers back when a connection closes, and only Write is safe beside that.
		if _, err := c.nc.Write(part); err == nil {
			c.mu.Lock()
			if len(c.out) > len(part) { // it is none where the peer was found too slow meanwhile
				c.out = c.out[len(part):]
			} else {
				c.out = nil
			}
			c.mu.Unlock()
			continue
		}
		c.mu.Lock()
		c.out, c.flushing = nil, false
		c.mu.Unlock()
		c.Close()
		return
	}
}

// endWithin is how long a peer has to take what was sent before the end.
const endWithin = 5 * time.Second

// CloseGracefully closes the connection once all that was sent is written, or the peer has not taken it in time.
func (c *Conn) CloseGracefully() {
	c.mu.Lock()
	c.ending = true
	flushing := c.flushing
	c.mu.Unlock()
	if flushing {
		time.AfterFunc(endWithin, c.Close)
	} else {
		c.Close()
	}
}

// Close closes the connection at once. The handler is told.
func (c *Conn) Close() {
	c.closing.Store(true)
	c.guard.Close()
	c.ended()
}

// Listener accepts connections.
type Listener struct {
	address string
	server  Server
	mu      sync.Mutex
	conns   map[*Conn]bool
	path    string
}

type connKey struct{}

// Listen accepts connections over a net (nil: sockets) on an address, unix:PATH or HOST:PORT (port 0: any that is free),
// until Close. accept returns who handles a new one; nil refuses it.
func Listen(over Net, address string, accept func(c *Conn) Handler) (*Listener, error) {
	n, a := network(address)
	if n == "unix" {
		if err := dropStale(a); err != nil {
			return nil, err
		}
	}
	l := &Listener{address: address, conns: map[*Conn]bool{}}
	prepare := func(nc netpoll.Connection) context.Context {
		c := &Conn{nc: nc, guard: NewGuard(nc)}
		handler := accept(c)
		if handler == nil {
			c.guard.Release()
			_ = nc.Close()
			return context.Background()
		}
		c.mu.Lock()
		c.handler = handler
		c.mu.Unlock()
		l.mu.Lock()
		closed := l.conns == nil
		if !closed {
			l.conns[c] = true
		}
		l.mu.Unlock()
		err := nc.AddCloseCallback(func(netpoll.Connection) error {
			l.mu.Lock()
			delete(l.conns, c)
			l.mu.Unlock()
			c.finish()
			return nil
		})
		if closed || err != nil || c.closing.Load() { // it may have been closed before its handler was known
			c.Close()
		}
		return context.WithValue(context.Background(), connKey{}, c)
	}
	request := func(ctx context.Context, nc netpoll.Connection) error {
		if c, ok := ctx.Value(connKey{}).(*Conn); ok {
			return c.request()
		}
		return nc.Close()
	}
	var err error
	if l.server, err = Over(over).Serve(n, a, Hooks{Prepare: prepare, Request: request}); err != nil {
		return nil, err
	}
	if n == "tcp" {
		l.address = l.server.Address()
	} else {
		l.path = a
	}
	return l, nil
}

// dropStale removes a Unix socket that nobody listens on any more.
func dropStale(path string) error {
	info, err := os.Lstat(path)
	if err != nil {
		return nil
	}
	if info.Mode()&os.ModeSocket == 0 {
		return fmt.Errorf("listen on unix:%s: there is something else at that path", path)
	}
	if c, err := net.DialTimeout("unix", path, time.Second); err == nil {
		c.Close()
		return fmt.Errorf("listen on unix:%s: somebody listens there", path)
	}
	return os.Remove(path)
}

// Address is where it listens.
func (l *Listener) Address() string { return l.address }

// Refuse takes no more connections. Those there are go on, those included that waited to be accepted and could be by the end
// of the context.
func (l *Listener) Refuse(ctx context.Context) { l.server.Refuse(ctx) }

// refuseWithin bounds the time in which those that wait are accepted at a stop.
const refuseWithin = time.Second

// Stop takes no more connections and ends each there is once what was sent to it is written, or its peer has not taken that
// in time; then it closes.
func (l *Listener) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), refuseWithin)
	defer cancel()
	l.Refuse(ctx)
	for _, c := range l.open() {
		c.CloseGracefully()
	}
	for end := time.Now().Add(endWithin); len(l.open()) > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	l.Close()
}

// open are its connections.
func (l *Listener) open() []*Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Collect(maps.Keys(l.conns))
}

// Close stops listening and closes all its connections.
func (l *Listener) Close() {
	l.mu.Lock()
	conns := l.conns
	l.conns = nil
	l.mu.Unlock()
	for c := range conns {
		c.Close()
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	l.server.Stop(ctx)
	if l.path != "" {
		_ = os.Remove(l.path)
	}
}

// Package stream is a thin layer between connections and the protocol parsers. Received bytes are passed to a Handler, with one
// call at a time per connection. Bytes to be sent are queued without blocking, up to a limit, and written by another
// goroutine. The Handler is notified exactly once when its connection has closed.
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

	"vetchdoor/budget"
)

// Handler receives the events of a connection. The bytes passed to Data are valid only during the call. Closed is called
// once; at most one call of Data may still be running after it.
type Handler interface {
	Data(c *Conn, b []byte)
	Closed(c *Conn)
}

// maxPendingBytes limits the bytes queued for a peer that does not read. Beyond it the connection is closed.
const maxPendingBytes = 32 << 20

// answerBacklog is how many bytes may wait for a peer before AwaitSent waits.
const answerBacklog = 64 << 10

// ErrSlowPeer is returned by Conn.Send if the peer reads so slowly that too many bytes wait to be written to it, or to all
// peers together.
var ErrSlowPeer = errors.New("stream: too many bytes wait for a peer that reads too slowly")

// Conn is a connection that was dialled, or accepted by a Listener.
type Conn struct {
	nc       netpoll.Connection
	handler  Handler
	mu       sync.Mutex
	pending  []byte // not written yet
	flushing bool   // a goroutine is writing pending
	ending   bool   // Send returns net.ErrClosed; the connection closes once pending is written
	once     sync.Once
	closing  atomic.Bool // Close was called: bytes received from now on are not passed to the handler
	guard    *Guard
	sent     sync.Cond // on mu: pending has become shorter, or the connection ends
	// closeTimer closes the connection after CloseGracefully. It is stopped once the connection has closed, so that it keeps
	// nothing in memory.
	closeTimer *time.Timer
	held       atomic.Int64 // bytes that the handler holds beyond readAheadBytes
}

// newConn returns a connection over nc.
func newConn(nc netpoll.Connection, h Handler) *Conn {
	c := &Conn{nc: nc, handler: h, guard: NewGuard(nc)}
	c.sent.L = &c.mu
	return c
}

// account returns the connection's account in the budget of the process; nil if it is not a socket.
func (c *Conn) account() *budget.Account { return MeterOf(c.nc).account() }

// Hold tells how many received bytes the handler holds of an unfinished message, or how much memory they take. They count
// against the budget of the process; Hold waits while that is spent. It returns false if the connection is to end. It is
// called in Data.
func (c *Conn) Hold(bytes int) bool {
	account := c.account()
	if account == nil {
		return true
	}
	account.Progress()
	before := c.held.Load()
	reserved := before
	for reserved < int64(bytes-readAheadBytes) { // in growing steps, each of which may wait
		reserved += max(reserveStep, min(reserved, maxReserveStep))
	}
	if bytes <= readAheadBytes {
		reserved = 0
	}
	c.held.Store(reserved)
	if reserved > before {
		return account.Grow(int(reserved-before), c.nc.(*socket).done)
	}
	if reserved < before {
		account.Shrink(int(before - reserved))
	}
	return true
}

// MessageDone tells that the handler has handled a complete message, so that the connection counts as sound.
func (c *Conn) MessageDone() { MeterOf(c.nc).MessageDone() }

// AwaitSent waits until few bytes wait for the peer, so that one which does not read its answers is not served on. It
// returns false if the connection ends. It is called in Data.
func (c *Conn) AwaitSent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.pending) > answerBacklog && !c.ending {
		c.sent.Wait()
	}
	return !c.ending
}

// network splits an address of the form unix:PATH or HOST:PORT into a network and an address for package net.
func network(address string) (net, addr string) {
	if path, ok := strings.CutPrefix(address, "unix:"); ok {
		return "unix", path
	}
	return "tcp", address
}

// Dial connects to an address, unix:PATH or HOST:PORT, over a Net; a nil Net stands for sockets. The handler can be called
// before Dial returns if the peer sends or closes at once.
func Dial(transport Net, address string, timeout time.Duration, h Handler) (*Conn, error) {
	n, a := network(address)
	nc, err := NetOrSockets(transport).Dial(n, a, timeout)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	c := newConn(nc, h)
	c.guard.Register()
	// The close callback is set first: with a request handler the connection may end at any time.
	err = nc.AddCloseCallback(func(netpoll.Connection) error { c.onClosed(); return nil })
	if err == nil {
		err = nc.SetOnRequest(func(context.Context, netpoll.Connection) error { c.deliver(); return nil })
	}
	if err != nil {
		nc.Close()
		return nil, err
	}
	return c, nil
}

// onClosed delivers the bytes that were received but not passed on, which there may be when the connection closes, and then notifies the handler that the connection has closed.
func (c *Conn) onClosed() {
	c.guard.Release()
	c.deliver()
	c.stopSending()
	c.notifyClosed()
}

// notifyClosed notifies the handler, if there is one yet, that the connection has closed.
func (c *Conn) notifyClosed() {
	c.mu.Lock()
	handler := c.handler
	c.mu.Unlock()
	if handler != nil {
		c.once.Do(func() { handler.Closed(c) })
	}
}

// onRequest delivers the bytes received on an accepted connection. It is called while there are unread bytes.
func (c *Conn) onRequest() error {
	c.guard.Register()
	c.deliver()
	if c.closing.Load() {
		return c.nc.Close() // the unread bytes are dropped
	}
	return nil
}

// deliver passes the received bytes to the handler.
func (c *Conn) deliver() {
	r := c.nc.Reader()
	for n := r.Len(); n > 0 && !c.closing.Load(); n = r.Len() {
		b, err := r.Next(n)
		if err != nil {
			return
		}
		c.handler.Data(c, b)
		_ = r.Release()
	}
}

// RemoteAddress returns the peer's address, or an empty string if it is unknown.
func (c *Conn) RemoteAddress() string {
	if a := c.nc.RemoteAddr(); a != nil {
		return a.String()
	}
	return ""
}

// Send queues bytes to be written and never blocks. It returns net.ErrClosed if the connection is closed or closing, and
// ErrSlowPeer, after which the connection closes, if too many bytes are queued.
func (c *Conn) Send(b []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ending || !c.nc.IsActive() {
		return net.ErrClosed
	}
	if len(c.pending)+len(b) > maxPendingBytes || !c.charge(len(b)) {
		c.ending, c.pending = true, nil
		c.sent.Broadcast()
		go c.Close()
		return ErrSlowPeer
	}
	c.pending = append(c.pending, b...)
	if !c.flushing {
		c.flushing = true
		go c.flush()
	}
	return nil
}

// charge counts bytes that wait to be written, and reports whether the budget of the process allows them.
func (c *Conn) charge(bytes int) bool {
	account := c.account()
	return account == nil || account.Force(bytes)
}

// release ends the charge for bytes that are written or dropped.
func (c *Conn) release(bytes int) {
	if account := c.account(); account != nil {
		account.Progress()
		account.Shrink(bytes)
	}
}

// flush writes the queued bytes until none are left or a write fails.
func (c *Conn) flush() {
	for {
		c.mu.Lock()
		b := c.pending
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
		if _, err := c.nc.Write(part); err == nil {
			c.mu.Lock()
			if len(c.pending) > len(part) { // pending is nil if Send has found the peer too slow meanwhile
				c.pending = c.pending[len(part):]
			} else {
				c.pending = nil
			}
			c.release(len(part))
			c.sent.Broadcast()
			c.mu.Unlock()
			continue
		}
		c.mu.Lock()
		c.ending = true
		c.release(len(c.pending))
		c.pending, c.flushing = nil, false
		c.sent.Broadcast()
		c.mu.Unlock()
		c.Close()
		return
	}
}

// closeTimeout is how long a peer has to read the queued bytes before a graceful close becomes an immediate one.
const closeTimeout = 5 * time.Second

// CloseGracefully closes the connection once all queued bytes are written, or after closeTimeout. It does not block.
func (c *Conn) CloseGracefully() {
	c.mu.Lock()
	c.ending = true
	flushing := c.flushing
	if flushing && c.closeTimer == nil {
		c.closeTimer = time.AfterFunc(closeTimeout, c.Close)
	}
	c.mu.Unlock()
	if !flushing {
		c.Close()
	}
}

// Close closes the connection at once, without writing queued bytes, and notifies the handler.
func (c *Conn) Close() {
	c.closing.Store(true)
	c.guard.Close()
	c.stopSending()
	c.notifyClosed()
}

// stopSending makes Send fail and AwaitSent return once the connection has closed.
func (c *Conn) stopSending() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ending = true
	if c.closeTimer != nil {
		c.closeTimer.Stop()
	}
	c.sent.Broadcast()
}

// Listener accepts connections.
type Listener struct {
	address string
	server  Server
	mu      sync.Mutex
	conns   map[*Conn]bool // open connections; nil once Close was called
	path    string         // of the Unix socket; empty for TCP
}

// connKey is the key of a *Conn in the context of its connection.
type connKey struct{}

// Listen accepts connections over a Net (nil stands for sockets) on an address, unix:PATH or HOST:PORT, until Close is
// called. Port 0 selects any free port. accept returns the Handler of a new connection; nil refuses the connection.
func Listen(transport Net, address string, accept func(c *Conn) Handler) (*Listener, error) {
	n, a := network(address)
	if n == "unix" {
		if err := removeStaleSocket(a); err != nil {
			return nil, err
		}
	}
	l := &Listener{address: address, conns: map[*Conn]bool{}}
	prepare := func(nc netpoll.Connection) context.Context {
		c := newConn(nc, nil)
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
			c.onClosed()
			return nil
		})
		if closed || err != nil || c.closing.Load() { // c may have been closed before its handler was set
			c.Close()
		}
		return context.WithValue(context.Background(), connKey{}, c)
	}
	onRequest := func(ctx context.Context, nc netpoll.Connection) error {
		if c, ok := ctx.Value(connKey{}).(*Conn); ok {
			return c.onRequest()
		}
		return nc.Close()
	}
	var err error
	if l.server, err = NetOrSockets(transport).Serve(n, a, Hooks{Prepare: prepare, Request: onRequest}); err != nil {
		return nil, err
	}
	if n == "tcp" {
		l.address = l.server.Address()
	} else {
		l.path = a
	}
	return l, nil
}

// removeStaleSocket removes a Unix socket that no process listens on any more. It returns an error if a process still listens
// there, or if the path is not a socket.
func removeStaleSocket(path string) error {
	info, err := os.Lstat(path)
	if err != nil {
		return nil
	}
	if info.Mode()&os.ModeSocket == 0 {
		return fmt.Errorf("listen on unix:%s: the path exists and is not a socket", path)
	}
	if c, err := net.DialTimeout("unix", path, time.Second); err == nil {
		c.Close()
		return fmt.Errorf("listen on unix:%s: another process listens there", path)
	}
	return os.Remove(path)
}

// Address returns the address on which the listener accepts connections, in the form that Listen takes.
func (l *Listener) Address() string { return l.address }

// Refuse makes the listener refuse new connections. Open connections stay open; connections that are waiting to be accepted
// are still accepted, as long as this is possible before the context ends.
func (l *Listener) Refuse(ctx context.Context) { l.server.Refuse(ctx) }

// refuseTimeout limits how long Stop accepts the connections that were waiting to be accepted.
const refuseTimeout = time.Second

// Stop refuses new connections, closes each open one once its queued bytes are written or closeTimeout has passed, and then
// closes the listener.
func (l *Listener) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), refuseTimeout)
	defer cancel()
	l.Refuse(ctx)
	for _, c := range l.openConns() {
		c.CloseGracefully()
	}
	for end := time.Now().Add(closeTimeout); len(l.openConns()) > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	l.Close()
}

// openConns returns the open connections.
func (l *Listener) openConns() []*Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Collect(maps.Keys(l.conns))
}

// Close stops listening and closes all connections at once.
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

package stream

import (
	"sync"
	"sync/atomic"

	"github.com/cloudwego/netpoll"
)

// Guard closes a netpoll connection safely at any point of its life. netpoll tolerates the close of an accepted connection
// only once the connection is registered with its poller, and after the connection has closed its descriptor may belong to
// another connection.
type Guard struct {
	nc         netpoll.Connection
	registered atomic.Bool // with netpoll's poller
	mu         sync.Mutex
	released   bool // the descriptor may be closed already and must not be used
}

// NewGuard returns a guard for a connection that is not registered with the poller yet.
func NewGuard(nc netpoll.Connection) *Guard { return &Guard{nc: nc} }

// Register records that the connection is registered with the poller.
func (g *Guard) Register() { g.registered.Store(true) }

// Release records that netpoll is about to close the descriptor, or may have closed it. The guard does not use it any more.
func (g *Guard) Release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.released = true
}

// Close closes the connection. A connection that is not registered with the poller yet is shut down instead, which makes the
// poller close it on registration.
func (g *Guard) Close() {
	if g.registered.Load() {
		_ = g.nc.Close()
	} else {
		g.shutdown()
	}
}

// Abort closes the connection, and shuts its socket down first, so that a goroutine that is reading from it stops too.
func (g *Guard) Abort() {
	g.shutdown()
	if g.registered.Load() {
		_ = g.nc.Close()
	}
}

// shutdown shuts the connection down in both directions unless its descriptor has been released.
func (g *Guard) shutdown() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.released {
		Shutdown(g.nc)
	}
}

// ShutWrite closes the write direction of the connection. It returns false if the connection has closed or does not support
// this.
func (g *Guard) ShutWrite() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.released && ShutWrite(g.nc)
}

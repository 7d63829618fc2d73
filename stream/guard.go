package stream

import (
	"sync"
	"sync/atomic"

	"github.com/cloudwego/netpoll"
)

// Guard closes a connection safely at any point of its life. An accepted connection is closed only once its request handler
// has been called; after it has closed its descriptor may belong to another connection.
type Guard struct {
	nc         netpoll.Connection
	registered atomic.Bool // see Register
	mu         sync.Mutex
	released   bool // the descriptor may be closed already and must not be used
}

// NewGuard returns a guard for a connection that is not registered yet; see Register.
func NewGuard(nc netpoll.Connection) *Guard { return &Guard{nc: nc} }

// Register records that the connection may be closed, because its request handler has been called.
func (g *Guard) Register() { g.registered.Store(true) }

// Release records that the descriptor is about to be closed, or may be closed already. The guard does not use it any more.
func (g *Guard) Release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.released = true
}

// Close closes the connection. A connection that is not registered yet is shut down instead, which ends it.
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

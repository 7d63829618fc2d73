package stream

import (
	"sync"
	"sync/atomic"

	"github.com/cloudwego/netpoll"
)

// Guard ends a netpoll connection at any time of its life. netpoll bears the close of an accepted connection only once its poller
// knows it, and when the connection has ended its descriptor may be another's.
type Guard struct {
	nc         netpoll.Connection
	registered atomic.Bool
	mu         sync.Mutex
	released   bool
}

// NewGuard guards a connection that the poller does not know yet.
func NewGuard(nc netpoll.Connection) *Guard { return &Guard{nc: nc} }

// Register notes that the poller knows the connection.
func (g *Guard) Register() { g.registered.Store(true) }

// Release notes that netpoll is about to close the descriptor, or may have: it isn't shut down any more.
func (g *Guard) Release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.released = true
}

// Close closes the connection. One that the poller does not know yet is shut down, at which the poller closes it as it comes to know it.
func (g *Guard) Close() {
	if g.registered.Load() {
		_ = g.nc.Close()
	} else {
		g.shut()
	}
}

// Abort closes the connection also for whoever reads from it at the moment.
func (g *Guard) Abort() {
	g.shut()
	if g.registered.Load() {
		_ = g.nc.Close()
	}
}

func (g *Guard) shut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.released {
		Shutdown(g.nc)
	}
}

// ShutWrite tells the peer that nothing more will be written; false where the connection has ended or cannot be closed in one
// direction alone.
func (g *Guard) ShutWrite() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.released && ShutWrite(g.nc)
}

package serve_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"

	"vetchdoor/http1"
	"vetchdoor/serve"
	"vetchdoor/stream"
)

// trace keeps what happened to a server's connections and when.
type trace struct {
	began  time.Time
	ended  chan struct{} // closed by stop
	mu     sync.Mutex
	events []string
}

// heartbeat is how often the trace looks whether goroutines are scheduled in time; a gap over mostGap is an event.
const (
	heartbeat = 5 * time.Millisecond
	mostGap   = 50 * time.Millisecond
)

// traced has a server that a test starts tell a trace, which is printed if the test fails.
func traced(t *testing.T, s *serve.Server) {
	tr := traceServer(s)
	t.Cleanup(func() {
		tr.stop()
		if t.Failed() {
			t.Logf("what happened, and how long after the server's start:\n%s", tr)
		}
	})
}

// traceServer has a server tell of each connection: when it was accepted, registered, read and answered, and when its end was told of;
// also of when the server was told to refuse and to stop, and had done so. The trace is to be stopped.
func traceServer(s *serve.Server) *trace {
	tr := &trace{began: time.Now(), ended: make(chan struct{})}
	handle := s.Handle
	s.Handle = func(c *serve.Conn, m *http1.Message) {
		tr.note("%s read", c.Remote())
		handle(c, m)
		tr.note("%s answered", c.Remote())
	}
	s.Net = tracedNet{stream.Over(s.Net), tr}
	go tr.beat()
	return tr
}

// stop ends the look at how goroutines are scheduled.
func (tr *trace) stop() { close(tr.ended) }

func (tr *trace) note(format string, values ...any) {
	since := time.Since(tr.began)
	line := fmt.Sprintf("%10.3fms ", float64(since.Microseconds())/1000) + fmt.Sprintf(format, values...)
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.events = append(tr.events, line)
}

func (tr *trace) String() string {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return strings.Join(tr.events, "\n")
}

// beat notes when goroutines were not scheduled for long.
func (tr *trace) beat() {
	ticks := time.NewTicker(heartbeat)
	defer ticks.Stop()
	for last := time.Now(); ; {
		select {
		case <-tr.ended:
			return
		case <-ticks.C:
		}
		if gap := time.Since(last); gap > mostGap {
			tr.note("no goroutine was scheduled for %v", gap)
		}
		last = time.Now()
	}
}

// tracedNet tells a trace of what its servers are told.
type tracedNet struct {
	stream.Net
	trace *trace
}

// tracedConn is a connection as its trace knows it; it goes with the connection's context.
type tracedConn struct {
	remote     string
	registered bool // netpoll has called for its requests
}

type tracedKey struct{}

func (n tracedNet) Serve(network, address string, h stream.Hooks) (stream.Server, error) {
	prepare, request, gone := h.Prepare, h.Request, h.Disconnected
	h.Prepare = func(nc netpoll.Connection) context.Context {
		c := &tracedConn{remote: nc.RemoteAddr().String()}
		n.trace.note("%s accepted", c.remote)
		ctx := prepare(nc)
		n.trace.note("%s prepared", c.remote)
		_ = nc.AddCloseCallback(func(netpoll.Connection) error {
			n.trace.note("%s closed", c.remote)
			return nil
		})
		return context.WithValue(ctx, tracedKey{}, c)
	}
	h.Request = func(ctx context.Context, nc netpoll.Connection) error {
		c := ctx.Value(tracedKey{}).(*tracedConn)
		if !c.registered {
			c.registered = true
			n.trace.note("%s registered", c.remote)
		}
		return request(ctx, nc)
	}
	h.Disconnected = func(ctx context.Context) {
		n.trace.note("%s gone", ctx.Value(tracedKey{}).(*tracedConn).remote)
		gone(ctx)
	}
	server, err := n.Net.Serve(network, address, h)
	return tracedServer{server, n.trace}, err
}

type tracedServer struct {
	stream.Server
	trace *trace
}

func (s tracedServer) Refuse(ctx context.Context) {
	s.trace.note("refuse")
	s.Server.Refuse(ctx)
	s.trace.note("refused")
}

func (s tracedServer) Stop(ctx context.Context) {
	s.trace.note("stop")
	s.Server.Stop(ctx)
	s.trace.note("stopped")
}

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

// trace records the events of a server and its connections, with their times.
type trace struct {
	began   time.Time
	stopped chan struct{} // closed by stop
	mu      sync.Mutex
	events  []string
}

// The trace checks every scheduleCheckInterval whether goroutines are scheduled in time. A gap over maxScheduleGap is an
// event.
const (
	scheduleCheckInterval = 5 * time.Millisecond
	maxScheduleGap        = 50 * time.Millisecond
)

// traced traces a server that is to be started by a test, and prints the trace if the test fails.
func traced(t *testing.T, s *serve.Server) {
	tr := traceServer(s)
	t.Cleanup(func() {
		tr.stop()
		if t.Failed() {
			t.Logf("what happened, and how long after the server's start:\n%s", tr)
		}
	})
}

// traceServer traces a server that is to be started: when each connection was accepted, registered, read, answered and
// closed, and when calls of Refuse and Stop began and returned. The caller must stop the trace.
func traceServer(s *serve.Server) *trace {
	tr := &trace{began: time.Now(), stopped: make(chan struct{})}
	handle := s.Handle
	s.Handle = func(c *serve.Conn, m *http1.Message) {
		tr.note("%s read", c.RemoteAddress())
		handle(c, m)
		tr.note("%s answered", c.RemoteAddress())
	}
	s.Net = tracedNet{stream.NetOrSockets(s.Net), tr}
	go tr.checkScheduling()
	return tr
}

// stop ends the goroutine that checks the scheduling of goroutines.
func (tr *trace) stop() { close(tr.stopped) }

// note records an event with the time since the trace began.
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

// checkScheduling records when no goroutine was scheduled for longer than maxScheduleGap, until the trace is stopped.
func (tr *trace) checkScheduling() {
	ticks := time.NewTicker(scheduleCheckInterval)
	defer ticks.Stop()
	for last := time.Now(); ; {
		select {
		case <-tr.stopped:
			return
		case <-ticks.C:
		}
		if gap := time.Since(last); gap > maxScheduleGap {
			tr.note("no goroutine was scheduled for %v", gap)
		}
		last = time.Now()
	}
}

// tracedNet is a Net that traces the connections and the calls of its servers.
type tracedNet struct {
	stream.Net
	trace *trace
}

// tracedConn is what the trace stores about a connection, in the connection's context.
type tracedConn struct {
	remote     string
	registered bool // netpoll has called Request for the connection
}

// tracedKey is the key of a *tracedConn in the context of its connection.
type tracedKey struct{}

func (n tracedNet) Serve(network, address string, h stream.Hooks) (stream.Server, error) {
	prepare, request, disconnected := h.Prepare, h.Request, h.Disconnected
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
		disconnected(ctx)
	}
	server, err := n.Net.Serve(network, address, h)
	return tracedServer{server, n.trace}, err
}

// tracedServer is a Server that traces the calls of Refuse and Stop.
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

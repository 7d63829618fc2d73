package stream

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/cloudwego/netpoll"
)

// Net makes connections, over sockets or, in simulations, over links in memory. Wherever a function takes a Net, nil stands
// for sockets.
type Net interface {
	Dial(network, address string, timeout time.Duration) (netpoll.Connection, error)
	Serve(network, address string, h Hooks) (Server, error)
}

// Hooks are the callbacks of a Server for its connections. Prepare is called first, and the context that it returns is
// passed to the other two. Request is called whenever there are unread bytes, with one call at a time per connection.
// Disconnected, if not nil, is called as soon as the peer disconnects, even while a call of Request is running.
type Hooks struct {
	Prepare      func(netpoll.Connection) context.Context
	Request      func(context.Context, netpoll.Connection) error
	Disconnected func(context.Context)
}

// Server accepts connections.
type Server interface {
	// Address returns the address on which the server listens.
	Address() string

	// Refuse refuses new connections. Open connections stay open; those that are waiting to be accepted are still accepted.
	// Refuse returns once they are, or once the context has ended.
	Refuse(ctx context.Context)

	// Stop refuses new connections and releases the address. Open connections stay open.
	Stop(ctx context.Context)
}

// NetOrSockets returns n, or the Net of sockets if n is nil.
func NetOrSockets(n Net) Net {
	if n == nil {
		return sockets{}
	}
	return n
}

// Shutdown shuts a connection down in both directions without releasing its buffers, so that a goroutine that is still
// reading from it can go on.
func Shutdown(nc netpoll.Connection) {
	if nc, ok := nc.(interface{ Shut() }); ok {
		nc.Shut()
	}
}

// ShutWrite closes the write direction of a connection, which can still be read. It returns false if the connection does not
// support this, or if the system call fails.
func ShutWrite(nc netpoll.Connection) bool {
	half, ok := nc.(interface{ ShutWrite() bool })
	return ok && half.ShutWrite()
}

// sockets is the Net of TCP and Unix sockets.
type sockets struct{}

// Dial makes a connection.
func (sockets) Dial(network, address string, timeout time.Duration) (netpoll.Connection, error) {
	dialer := net.Dialer{Timeout: timeout, KeepAlive: -1}
	c, err := dialer.Dial(network, address)
	if err != nil {
		return nil, err
	}
	s, err := newSocket(c)
	if err != nil {
		c.Close()
		return nil, err
	}
	s.start()
	return s, nil
}

// Serve accepts connections in a goroutine.
func (sockets) Serve(network, address string, h Hooks) (Server, error) {
	ln, err := newListener(network, address)
	if err != nil {
		return nil, err
	}
	s := &socketServer{address: ln.Addr().String(), ln: ln, hooks: h, done: make(chan struct{})}
	go s.accept()
	return s, nil
}

// socketServer is a Server of sockets.
type socketServer struct {
	address string
	ln      *listener
	hooks   Hooks
	done    chan struct{} // closed once no more connections will be accepted
}

func (s *socketServer) Address() string { return s.address }

// acceptRetryInterval is the pause after an error, such as a lack of descriptors.
const acceptRetryInterval = 10 * time.Millisecond

// accept accepts connections until the listener refuses.
func (s *socketServer) accept() {
	defer close(s.done)
	for {
		accepted.awaitRoom(s.ln)
		next, err := s.ln.wait()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryInterval)
			continue
		}
		s.serve(next)
	}
}

// serve sets an accepted connection up and begins to read it.
func (s *socketServer) serve(next *acceptedSocket) {
	c, err := next.connection()
	if err != nil {
		return // out of descriptors
	}
	boundBuffers(c)
	nc, err := newSocket(c)
	if err != nil {
		c.Close()
		return
	}
	ctx := s.hooks.Prepare(nc)
	if nc.isClosed() { // refused
		return
	}
	accepted.add(nc)
	nc.request = func() { _ = s.hooks.Request(ctx, nc) }
	if s.hooks.Disconnected != nil {
		nc.disconnected = func() { s.hooks.Disconnected(ctx) }
	}
	nc.start()
}

// socketBufferBytes is how much the system may hold of an accepted connection in each direction. By itself it would grow
// to several megabytes for a peer that does not read.
const socketBufferBytes = 256 << 10

// boundBuffers bounds the system's buffers of a connection.
func boundBuffers(c net.Conn) {
	if c, ok := c.(interface {
		SetReadBuffer(bytes int) error
		SetWriteBuffer(bytes int) error
	}); ok {
		_ = c.SetReadBuffer(socketBufferBytes)
		_ = c.SetWriteBuffer(socketBufferBytes)
	}
}

// Refuse makes the listener refuse new connections, and waits until those that were waiting are taken.
func (s *socketServer) Refuse(ctx context.Context) {
	s.ln.acceptPendingAndRefuse(ctx)
	select {
	case <-s.done:
		_ = s.ln.Close()
	case <-ctx.Done(): // Stop closes the listener
	}
}

// stopTimeout bounds how long Stop waits for a connection that is being set up.
const stopTimeout = 100 * time.Millisecond

// Stop refuses new connections and closes the listener.
func (s *socketServer) Stop(context.Context) {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	s.ln.acceptPendingAndRefuse(ended)
	select {
	case <-s.done:
	case <-time.After(stopTimeout):
	}
	_ = s.ln.Close()
}

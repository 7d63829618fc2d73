package stream

import (
	"context"
	"errors"
	"syscall"
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

	// Stop refuses new connections, closes idle ones and waits for the others until the context ends.
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
	switch nc := nc.(type) {
	case netpoll.Conn:
		_ = syscall.Shutdown(nc.Fd(), syscall.SHUT_RDWR)
	case interface{ Shut() }:
		nc.Shut()
	}
}

// ShutWrite closes the write direction of a connection, which can still be read. It returns false if the connection does not
// support this, or if the system call fails.
func ShutWrite(nc netpoll.Connection) bool {
	socket, ok := nc.(netpoll.Conn)
	return ok && syscall.Shutdown(socket.Fd(), syscall.SHUT_WR) == nil
}

// sockets is the Net of TCP and Unix sockets.
type sockets struct{}

// Dial retries a dial that netpoll reports as closed by the peer up to maxFalseCloseRetries times, within the timeout.
func (sockets) Dial(network, address string, timeout time.Duration) (netpoll.Connection, error) {
	deadline := time.Now().Add(timeout)
	nc, err := netpoll.DialConnection(network, address, timeout)
	for retry := 0; retry < maxFalseCloseRetries && errors.Is(err, netpoll.ErrConnClosed); retry++ {
		left := time.Until(deadline)
		if left <= 0 {
			break
		}
		nc, err = netpoll.DialConnection(network, address, left)
	}
	return nc, err
}

// Serve accepts connections in an event loop of their own.
func (sockets) Serve(network, address string, h Hooks) (Server, error) {
	ln, err := NewListener(network, address)
	if err != nil {
		return nil, err
	}
	s := &socketServer{address: ln.Addr().String(), ln: ln.(*listener), done: make(chan struct{})}
	options := []netpoll.Option{netpoll.WithOnPrepare(h.Prepare)}
	if h.Disconnected != nil {
		options = append(options, netpoll.WithOnDisconnect(func(ctx context.Context, _ netpoll.Connection) { h.Disconnected(ctx) }))
	}
	if s.loop, err = netpoll.NewEventLoop(h.Request, options...); err != nil {
		ln.Close()
		return nil, err
	}
	go func() {
		defer close(s.done)
		_ = s.loop.Serve(ln)
	}()
	return s, nil
}

// socketServer is a Server that runs a netpoll event loop.
type socketServer struct {
	address string
	ln      *listener
	loop    netpoll.EventLoop
	done    chan struct{} // closed once loop.Serve has returned
}

func (s *socketServer) Address() string { return s.address }

// Refuse makes the listener refuse new connections, and waits until the event loop has taken the connections that the
// listener had accepted and has released the listener. Unlike a shutdown of the loop, this does not touch the open
// connections.
func (s *socketServer) Refuse(ctx context.Context) {
	s.ln.acceptPendingAndRefuse(ctx)
	select {
	case <-s.done:
		_ = s.ln.Close() // the loop no longer uses the descriptor
	case <-ctx.Done(): // Stop closes the listener
	}
}

// Stop shuts the event loop down. It retries until Serve has returned, because a shutdown before Serve has begun has no
// effect.
func (s *socketServer) Stop(ctx context.Context) {
	for {
		_ = s.loop.Shutdown(ctx)
		select {
		case <-s.done:
			return
		case <-time.After(2 * time.Millisecond):
		}
	}
}

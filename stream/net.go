package stream

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
)

// Net is how connections come about: sockets, or in a rehearsal links in memory. A nil one stands for sockets where a
// package takes one.
type Net interface {
	Dial(network, address string, timeout time.Duration) (netpoll.Connection, error)
	Serve(network, address string, h Hooks) (Server, error)
}

// Hooks are what a server is told of its connections. Prepare comes before anything else of a connection; what it returns
// goes to the others. Request comes whenever bytes are there, one call at a time a connection. Gone, if not nil, comes as
// the peer goes, also while a request is under way.
type Hooks struct {
	Prepare      func(netpoll.Connection) context.Context
	Request      func(context.Context, netpoll.Connection) error
	Disconnected func(context.Context)
}

// Server accepts connections.
type Server interface {
	Address() string

	// Refuse accepts no more. Connections go on, those included that had been made and waited to be accepted; it returns
	// once these were, or the context has ended.
	Refuse(ctx context.Context)

	// Stop accepts no more; connections that are idle close, others are waited for until the context ends.
	Stop(ctx context.Context)
}

// Over is the net given, or sockets.
func Over(n Net) Net {
	if n == nil {
		return sockets{}
	}
	return n
}

// Shut ends a connection in both directions without taking its buffers back, so that whoever still reads from it may.
func Shut(nc netpoll.Connection) {
	switch nc := nc.(type) {
	case netpoll.Conn:
		_ = syscall.Shutdown(nc.Fd(), syscall.SHUT_RDWR)
	case interface{ Shut() }:
		nc.Shut()
	}
}

// ShutWrite tells the peer that nothing more will be written, and goes on reading; false where the connection cannot be
// closed in one direction alone.
func ShutWrite(nc netpoll.Connection) bool {
	socket, ok := nc.(netpoll.Conn)
	return ok && syscall.Shutdown(socket.Fd(), syscall.SHUT_WR) == nil
}

type sockets struct{}

func (sockets) Dial(network, address string, timeout time.Duration) (netpoll.Connection, error) {
	deadline := time.Now().Add(timeout)
	nc, err := netpoll.DialConnection(network, address, timeout)
	for again := 0; again < mostFalseEnds && errors.Is(err, netpoll.ErrConnClosed); again++ {
		left := time.Until(deadline)
		if left <= 0 {
			break
		}
		nc, err = netpoll.DialConnection(network, address, left)
	}
	return nc, err
}

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

type socketServer struct {
	address string
	ln      *listener
	loop    netpoll.EventLoop
	done    chan struct{} // closed once the loop serves no more
}

func (s *socketServer) Address() string { return s.address }

// Refuse has the listener refuse, and waits until the loop has taken over what the listener had accepted and let go of it; it does not
// look at its connections then, as it does when it is itself shut down.
func (s *socketServer) Refuse(ctx context.Context) {
	s.ln.acceptRest(ctx)
	select {
	case <-s.done:
		_ = s.ln.Close() // the loop has let go of the descriptor
	case <-ctx.Done(): // Stop closes it
	}
}

// Stop ends the loop. One that has not come to serve yet is ended as soon as it has.
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

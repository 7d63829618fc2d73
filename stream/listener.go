package stream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"
)

// NewListener returns a listener for use with netpoll. netpoll's own listeners close their descriptor twice; if another file
// was opened in between, the second close hits that file's descriptor. This listener closes its descriptor once and accepts
// nothing afterwards. netpoll does not poll the socket itself but an epoll descriptor that watches the socket: its only
// meaning is that Accept should be called.
func NewListener(network, address string) (netpoll.Listener, error) {
	ln, err := net.Listen(network, address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	f, ok := ln.(interface{ File() (*os.File, error) })
	if !ok {
		ln.Close()
		return nil, fmt.Errorf("listen on %s: no descriptor", address)
	}
	file, err := f.File()
	if err != nil {
		ln.Close()
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	fd := int(file.Fd()) // Fd sets the descriptor to blocking mode at each call
	if err := syscall.SetNonblock(fd, true); err != nil {
		file.Close()
		ln.Close()
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	pollFD, err := newReadinessPoll(fd)
	if err != nil {
		file.Close()
		ln.Close()
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	return &listener{ln: ln, file: file, fd: fd, pollFD: pollFD, network: network}, nil
}

// newReadinessPoll returns an epoll descriptor that is readable while the descriptor fd is readable or shut down.
func newReadinessPoll(fd int) (int, error) {
	pollFD, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return 0, err
	}
	if err := unix.EpollCtl(pollFD, unix.EPOLL_CTL_ADD, fd, &unix.EpollEvent{Events: unix.EPOLLIN}); err != nil {
		_ = unix.Close(pollFD)
		return 0, err
	}
	return pollFD, nil
}

// listener is the listener that NewListener returns.
type listener struct {
	ln       net.Listener
	file     *os.File // a duplicate of the socket of ln
	fd       int      // the descriptor of file
	pollFD   int      // the epoll descriptor that netpoll polls
	network  string
	mu       sync.Mutex
	closed   bool
	refusing bool       // the socket is shut down
	pending  []net.Conn // accepted by refuse but not returned by Accept yet
	drained  bool       // Accept has reported once that pending is empty
}

// accepted is an accepted connection in the form that netpoll needs: a descriptor and its addresses.
type accepted struct {
	net.Conn // nil: netpoll reads and writes through the descriptor
	fd       int
	local    net.Addr
	remote   net.Addr
}

func (a *accepted) Fd() int              { return a.fd }
func (a *accepted) LocalAddr() net.Addr  { return a.local }
func (a *accepted) RemoteAddr() net.Addr { return a.remote }

// Accept returns nil and no error if no connection is waiting, as netpoll expects. Connections that refuse has already
// accepted are returned first. Once the listener refuses and these are all returned, Accept returns nil and no error once
// more, because netpoll waits for that result after it had run out of descriptors. After that it returns net.ErrClosed, at
// which netpoll releases the listener.
func (l *listener) Accept() (net.Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.closed:
		return nil, net.ErrClosed
	case len(l.pending) > 0:
		next := l.pending[0]
		l.pending = l.pending[1:]
		return next, nil
	case !l.refusing:
		return l.acceptOne()
	case !l.drained:
		l.drained = true
		return nil, nil
	}
	return nil, net.ErrClosed
}

// acceptOne accepts a connection from the socket. It returns nil and no error if none is waiting.
func (l *listener) acceptOne() (net.Conn, error) {
	fd, sa, err := syscall.Accept4(l.fd, syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
	for errors.Is(err, syscall.EINTR) || errors.Is(err, syscall.ECONNABORTED) {
		fd, sa, err = syscall.Accept4(l.fd, syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
	}
	switch {
	case errors.Is(err, syscall.EAGAIN):
		return nil, nil
	case err != nil:
		return nil, err // not wrapped: netpoll recognizes by the error's type that descriptors have run out, and then waits
	}
	fd = moveDescriptor(fd)
	a := &accepted{fd: fd, local: l.ln.Addr()}
	switch sa := sa.(type) {
	case *syscall.SockaddrInet4:
		a.remote = &net.TCPAddr{IP: append(net.IP(nil), sa.Addr[:]...), Port: sa.Port}
	case *syscall.SockaddrInet6:
		a.remote = &net.TCPAddr{IP: append(net.IP(nil), sa.Addr[:]...), Port: sa.Port}
	default:
		a.remote = &net.UnixAddr{Net: "unix"}
	}
	if l.network == "tcp" {
		_ = syscall.SetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_NODELAY, 1)
	}
	return a, nil
}

// acceptPendingAndRefuse accepts the connections that are waiting, for Accept to return, and refuses all later ones. If
// descriptors have run out, it retries until all waiting connections are accepted or the context has ended.
func (l *listener) acceptPendingAndRefuse(ctx context.Context) {
	l.blockNewConnections()
	for !l.refuse(ctx) {
		time.Sleep(time.Millisecond)
	}
}

// blockNewConnections keeps new connections out of the accept queue, so that the queue only shrinks however fast clients
// dial. A queue of length 0 still takes a connection when it is empty; a socket filter that drops every packet prevents that
// too. If the system does not support the filter, a connection made between the last accept and the shutdown is reset.
func (l *listener) blockNewConnections() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.refusing {
		return
	}
	dropAll := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 0}}
	program := unix.SockFprog{Len: uint16(len(dropAll)), Filter: &dropAll[0]}
	_ = unix.SetsockoptSockFprog(l.fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
	_ = syscall.Listen(l.fd, 0)
}

// refuse accepts all waiting connections, independently of how fast Accept returns them, and shuts the socket down as soon
// as none is waiting or the context has ended. The descriptor stays open. It returns false if a waiting connection cannot be
// accepted yet.
func (l *listener) refuse(ctx context.Context) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.refusing {
		return true
	}
	for ctx.Err() == nil {
		next, err := l.acceptOne()
		if err != nil {
			return false
		}
		if next == nil {
			break
		}
		l.pending = append(l.pending, next)
	}
	_ = syscall.Shutdown(l.fd, syscall.SHUT_RDWR)
	l.refusing = true
	return true
}

// Close stops listening and closes the accepted connections that Accept has not returned. Further calls do nothing.
func (l *listener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil
	}
	l.closed = true
	for _, c := range l.pending {
		_ = syscall.Close(c.(netpoll.Conn).Fd())
	}
	_ = unix.Close(l.pollFD)
	l.file.Close()
	return l.ln.Close()
}

func (l *listener) Addr() net.Addr { return l.ln.Addr() }
func (l *listener) Fd() int        { return l.pollFD }

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

// NewListener listens for netpoll. Its own listeners close their descriptor twice, which in a process that opens others
// meanwhile closes one of those; this one closes it once, and accepts nothing after. What netpoll polls is not the socket but an
// epoll descriptor over it, which says no more than that Accept is to be called.
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
	fd := int(file.Fd()) // each call of Fd makes the descriptor a blocking one
	if err := syscall.SetNonblock(fd, true); err != nil {
		file.Close()
		ln.Close()
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	ready, err := readiness(fd)
	if err != nil {
		file.Close()
		ln.Close()
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	return &listener{ln: ln, file: file, fd: fd, ready: ready, network: network}, nil
}

// readiness returns an epoll descriptor that is readable while the other one is, or has ended.
func readiness(fd int) (int, error) {
	ready, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return 0, err
	}
	if err := unix.EpollCtl(ready, unix.EPOLL_CTL_ADD, fd, &unix.EpollEvent{Events: unix.EPOLLIN}); err != nil {
		_ = unix.Close(ready)
		return 0, err
	}
	return ready, nil
}

type listener struct {
	ln       net.Listener
	file     *os.File
	fd       int
	ready    int // what netpoll polls
	network  string
	mu       sync.Mutex
	closed   bool
	refusing bool       // the socket is shut down
	rest     []net.Conn // accepted by acceptRest and not returned by Accept yet
	drained  bool       // Accept has said that rest is empty
}

// accepted is a connection as netpoll takes it over: a descriptor and its addresses.
type accepted struct {
	net.Conn // none: netpoll reads and writes by the descriptor
	fd       int
	local    net.Addr
	remote   net.Addr
}

func (a *accepted) Fd() int              { return a.fd }
func (a *accepted) LocalAddr() net.Addr  { return a.local }
func (a *accepted) RemoteAddr() net.Addr { return a.remote }

// Accept returns nil and no error where nobody waits, as netpoll expects it. Connections that acceptRest took over come first. Once
// the listener refuses and these are returned it says so once, as netpoll awaits it where descriptors had run out, and from then on
// returns net.ErrClosed, at which netpoll lets go of the listener.
func (l *listener) Accept() (net.Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.closed:
		return nil, net.ErrClosed
	case len(l.rest) > 0:
		next := l.rest[0]
		l.rest = l.rest[1:]
		return next, nil
	case !l.refusing:
		return l.acceptOne()
	case !l.drained:
		l.drained = true
		return nil, nil
	}
	return nil, net.ErrClosed
}

// acceptOne takes a connection from the socket; nil and no error where none waits there.
func (l *listener) acceptOne() (net.Conn, error) {
	fd, sa, err := syscall.Accept4(l.fd, syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
	for errors.Is(err, syscall.EINTR) || errors.Is(err, syscall.ECONNABORTED) {
		fd, sa, err = syscall.Accept4(l.fd, syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
	}
	switch {
	case errors.Is(err, syscall.EAGAIN):
		return nil, nil
	case err != nil:
		return nil, err // as it is: netpoll knows by its type that descriptors ran out, and waits
	}
	fd = apart(fd)
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

// acceptRest takes over the connections that wait to be accepted, for Accept to return, and has the address refuse others. Where
// descriptors have run out it waits until the rest could be taken over, or the context has ended.
func (l *listener) acceptRest(ctx context.Context) {
	l.keepOthersOut()
	for !l.refuse(ctx) {
		time.Sleep(time.Millisecond)
	}
}

// keepOthersOut has the queue of those that wait only shrink, however fast clients dial: of length 0 it takes a connection once none
// waits, and with a filter that drops all it takes none. Where the system has no such filter, a connection that comes in the instant
// between the last accept and the shutdown is reset.
func (l *listener) keepOthersOut() {
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

// refuse accepts all that wait, however slowly they are handed on, and shuts the socket down as soon as none does or the context has
// ended; the descriptor stays. It returns false where a connection waits that cannot be accepted yet.
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
		l.rest = append(l.rest, next)
	}
	_ = syscall.Shutdown(l.fd, syscall.SHUT_RDWR)
	l.refusing = true
	return true
}

// Close stops listening and ends the connections that Accept did not return.
func (l *listener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil
	}
	l.closed = true
	for _, c := range l.rest {
		_ = syscall.Close(c.(netpoll.Conn).Fd())
	}
	_ = unix.Close(l.ready)
	l.file.Close()
	return l.ln.Close()
}

func (l *listener) Addr() net.Addr { return l.ln.Addr() }
func (l *listener) Fd() int        { return l.ready }

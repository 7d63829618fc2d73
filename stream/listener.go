package stream

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// newListener returns a listener whose Accept does not block, and which closes its descriptor once and accepts nothing
// afterwards.
func newListener(network, address string) (*listener, error) {
	ln, err := net.Listen(network, address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	l, err := wrapListener(ln, network)
	if err != nil {
		ln.Close()
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	return l, nil
}

// wrapListener returns a listener for the socket of ln.
func wrapListener(ln net.Listener, network string) (*listener, error) {
	withDescriptor, ok := ln.(interface{ File() (*os.File, error) })
	if !ok {
		return nil, errors.New("no descriptor")
	}
	file, err := withDescriptor.File()
	if err != nil {
		return nil, err
	}
	fd := -1
	raw, err := file.SyscallConn()
	if err == nil {
		err = raw.Control(func(descriptor uintptr) { fd = int(descriptor) })
	}
	if err != nil {
		file.Close()
		return nil, err
	}
	return &listener{ln: ln, raw: raw, file: file, fd: fd, network: network}, nil
}

// listener accepts connections, and can refuse new ones before it is closed.
type listener struct {
	ln       net.Listener
	raw      syscall.RawConn // of file
	file     *os.File        // a duplicate of the socket of ln
	fd       int             // the descriptor of file
	network  string
	mu       sync.Mutex
	closed   bool
	refusing bool              // the socket is shut down
	pending  []*acceptedSocket // accepted by refuse but not returned by Accept yet
}

// acceptedSocket is the descriptor of an accepted connection.
type acceptedSocket struct{ fd int }

// connection returns the connection of the descriptor, which it takes over.
func (a *acceptedSocket) connection() (net.Conn, error) {
	file := os.NewFile(uintptr(a.fd), "")
	defer file.Close() // net.FileConn duplicates the descriptor
	return net.FileConn(file)
}

// Accept returns nil and no error if no connection is waiting. Connections that refuse has already accepted are returned
// first. Once the listener refuses and these are all returned, Accept returns net.ErrClosed.
func (l *listener) Accept() (*acceptedSocket, error) {
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
	}
	return nil, net.ErrClosed
}

// acceptOne accepts a connection from the socket. It returns nil and no error if none is waiting.
func (l *listener) acceptOne() (*acceptedSocket, error) {
	fd, _, err := syscall.Accept4(l.fd, syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
	for errors.Is(err, syscall.EINTR) || errors.Is(err, syscall.ECONNABORTED) {
		fd, _, err = syscall.Accept4(l.fd, syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
	}
	switch {
	case errors.Is(err, syscall.EAGAIN):
		return nil, nil
	case err != nil:
		return nil, err
	}
	if l.network == "tcp" {
		_ = syscall.SetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_NODELAY, 1)
	}
	return &acceptedSocket{fd}, nil
}

// wait returns once connections may be waiting or the listener refuses, with the result of Accept.
func (l *listener) wait() (next *acceptedSocket, err error) {
	waitErr := l.raw.Read(func(uintptr) bool {
		next, err = l.Accept()
		return next != nil || err != nil
	})
	if waitErr != nil && l.isRefusing() {
		return nil, net.ErrClosed // the wait fails once the descriptor is closed
	}
	return next, cmp.Or(err, waitErr)
}

// isRefusing reports whether new connections are refused.
func (l *listener) isRefusing() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.refusing || l.closed
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
		_ = syscall.Close(c.fd)
	}
	l.file.Close()
	return l.ln.Close()
}

func (l *listener) Addr() net.Addr { return l.ln.Addr() }

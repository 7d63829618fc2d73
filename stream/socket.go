package stream

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"

	"vetchdoor/budget"
)

const (
	// readAheadBytes is how much a connection reads beyond what its reader has asked for. Whatever else the peer sends
	// waits in the system's buffer, which makes the peer wait.
	readAheadBytes = 16 << 10
	// reserveStep and maxReserveStep are the first and the longest step in which a connection reserves room in the budget for
	// a message of unknown length.
	reserveStep    = 64 << 10
	maxReserveStep = 512 << 10
	// writePart is how much is written at a time, so that the progress of a peer that takes a long answer shows.
	writePart = 64 << 10
	// growthFactor is how many bytes are charged for each byte of room of a buffer that grows.
	growthFactor = 2
)

// readBuffer is a buffer that a socket is read into.
type readBuffer [readAheadBytes]byte

// readBuffers are the buffers that no connection holds bytes in. Peers that come and go quickly would otherwise make more
// garbage than the collector keeps up with.
var readBuffers = sync.Pool{New: func() any { return new(readBuffer) }}

// socket is a connection over an operating system socket. One goroutine reads it ahead, as far as readAheadBytes and what
// its reader reserves allow, and notices the end of the peer also while there is more to read. Another goroutine runs the
// request handler and the close callbacks, one at a time. It is used by one reader at a time.
type socket struct {
	net.Conn
	raw        syscall.RawConn
	acceptedAt time.Time
	// lastMessageAt is when the last complete message was handled, in Unix nanoseconds; 0 before the first one.
	lastMessageAt atomic.Int64
	receivedAt    atomic.Int64 // when bytes were last received, in Unix nanoseconds
	account       *budget.Account
	done          chan struct{} // closed by Close and at the end of the connection
	doneOnce      sync.Once
	disconnected  func() // called once when the peer has disconnected; may be nil

	mu               sync.Mutex
	arrived          chan struct{} // signalled when bytes arrive or the connection ends
	buffer           []byte        // received bytes; those before offset are consumed
	offset           int
	reserved         int           // bytes of room beyond readAheadBytes
	charged          int           // bytes that the account is charged for that room
	paused           bool          // the reading goroutine waits for room
	received         uint64        // all bytes so far
	consumed         uint64        // all bytes so far
	hungUp           bool          // the peer has disconnected; there may be more to read
	ended            error         // why no more bytes will be received; nil while there may be more
	closed           bool          // Close was called
	readTimeout      time.Duration // of Peek; 0 for none
	writeTimeout     time.Duration // of Write; 0 for none
	request          func()        // request handler; nil for none
	running          bool          // a goroutine runs the request handler or the callbacks
	callbacks        []netpoll.CloseCallback
	callbacksStarted bool
}

// newSocket returns a connection; start begins to read it.
func newSocket(c net.Conn) (*socket, error) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return nil, errors.New("stream: a connection without a descriptor")
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil, err
	}
	s := &socket{Conn: c, raw: raw, acceptedAt: time.Now(), done: make(chan struct{}), arrived: make(chan struct{}, 1)}
	s.account = budget.Process.Open(s.name, func() { _ = s.Close() })
	return s, nil
}

// name returns the peer's address.
func (s *socket) name() string {
	if a := s.RemoteAddr(); a != nil {
		return a.Network() + " " + a.String()
	}
	return ""
}

// start begins to read the connection.
func (s *socket) start() { go s.receive() }

// receive reads the connection until it ends.
func (s *socket) receive() {
	for {
		var ended error
		toldHangUp := s.hasHungUp()
		err := s.raw.Read(func(fd uintptr) bool {
			var full bool
			full, ended = s.receiveAvailable(fd)
			return ended != nil || full && !toldHangUp && hasHungUp(fd) // reading itself finds the end if nothing is left
		})
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded): // resume has interrupted the wait
			_ = s.SetReadDeadline(time.Time{})
		case err != nil || ended != nil:
			s.end(cmp.Or(ended, err))
			return
		default:
			s.noteHangUp() // not in the callback, in which the connection cannot be closed
		}
	}
}

// receiveAvailable reads what has arrived as far as there is room, and reports whether the room is full. It returns an
// error once nothing more will arrive: io.EOF if the peer has ended the connection in order.
func (s *socket) receiveAvailable(fd uintptr) (full bool, ended error) {
	for {
		room := s.room()
		if room == 0 {
			return true, nil
		}
		n, err := s.readOnce(fd, room)
		switch {
		case err == syscall.EAGAIN:
			return false, nil
		case err == syscall.EINTR:
			continue
		case err != nil:
			return false, err
		case n <= 0:
			return false, io.EOF
		}
		s.dispatch()
	}
}

// room returns how many bytes may be read now. If there is no room the reading goroutine counts as paused.
func (s *socket) room() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	room := max(0, readAheadBytes+s.reserved-s.unread())
	s.paused = room == 0
	return room
}

// readOnce reads at most room bytes into the buffer.
func (s *socket) readOnce(fd uintptr, room int) (int, error) {
	into := readBuffers.Get().(*readBuffer)
	n, err := syscall.Read(int(fd), into[:min(room, len(into))])
	if n <= 0 || err != nil {
		readBuffers.Put(into)
		return n, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if n > keptBuffer && cap(s.buffer) == 0 {
		s.buffer = into[:n]
	} else {
		s.buffer = append(s.buffer, into[:n]...)
		readBuffers.Put(into)
	}
	s.received += uint64(n)
	s.receivedAt.Store(time.Now().UnixNano())
	if s.reserved > 0 {
		s.account.Progress()
	}
	s.signal()
	return n, nil
}

// signal wakes the reader; s.mu is held.
func (s *socket) signal() {
	select {
	case s.arrived <- struct{}{}:
	default:
	}
}

// hasHungUp reports whether the disconnection of the peer was noticed.
func (s *socket) hasHungUp() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hungUp
}

// hasHungUp reports whether the peer of a socket has disconnected, which shows also while there are bytes to read.
func hasHungUp(fd uintptr) bool {
	state := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(state, 0)
	return err == nil && n > 0
}

// noteHangUp records that the peer has disconnected, and tells the owner once.
func (s *socket) noteHangUp() {
	s.mu.Lock()
	first := !s.hungUp
	s.hungUp = true
	s.mu.Unlock()
	s.account.SetPeerGone()
	if first && s.disconnected != nil { // what the peer has sent before is of no use
		s.doneOnce.Do(func() { close(s.done) })
		s.disconnected()
	}
}

// freshTime is how long after its last bytes a connection that is read up to them needs no look at its end: reading would
// have found it.
const freshTime = 5 * time.Millisecond

// PeerGone reports whether the connection is closed or its peer has disconnected. Unless bytes have just been received and
// nothing was left to read, it asks the system.
func (s *socket) PeerGone() bool {
	s.mu.Lock()
	active, paused := s.isActive(), s.paused
	s.mu.Unlock()
	if !active {
		return true
	}
	if !paused && time.Since(time.Unix(0, s.receivedAt.Load())) < freshTime {
		return false
	}
	gone := false
	if err := s.raw.Control(func(fd uintptr) { gone = hasHungUp(fd) }); err != nil {
		return true
	}
	if gone {
		s.noteHangUp()
	}
	return gone
}

// end records why nothing more will be received, and releases the descriptor.
func (s *socket) end(reason error) {
	s.noteHangUp()
	s.mu.Lock()
	s.ended = reason
	s.signal()
	s.mu.Unlock()
	s.doneOnce.Do(func() { close(s.done) })
	_ = s.Conn.Close()
	s.dispatch()
}

// Close closes the connection. Bytes that were received and not read are dropped.
func (s *socket) Close() error {
	s.mu.Lock()
	s.closed = true
	s.signal()
	s.mu.Unlock()
	s.doneOnce.Do(func() { close(s.done) })
	err := s.Conn.Close() // ends receive, which runs the callbacks
	s.account.Close()
	return err
}

// isClosed reports whether Close was called.
func (s *socket) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// dispatch starts a goroutine that runs the request handler for what was received, and the close callbacks once the
// connection has ended, unless one is running.
func (s *socket) dispatch() {
	s.mu.Lock()
	start := !s.running && (s.readable() || s.ended != nil && !s.callbacksStarted)
	s.running = s.running || start
	s.mu.Unlock()
	if start {
		runTask(s.run)
	}
}

// readable reports whether there are bytes for the request handler; s.mu is held.
func (s *socket) readable() bool { return s.unread() > 0 && s.request != nil && !s.closed }

// run calls the request handler until it leaves what was received, and then the close callbacks if the connection has
// ended.
func (s *socket) run() {
	s.mu.Lock()
	for s.readable() {
		received, consumed, request := s.received, s.consumed, s.request
		s.mu.Unlock()
		request()
		s.mu.Lock()
		if s.received == received && s.consumed == consumed { // it needs more bytes
			break
		}
	}
	if s.ended == nil || s.callbacksStarted {
		s.running = false
		s.mu.Unlock()
		return
	}
	s.callbacksStarted = true
	callbacks := s.callbacks
	s.mu.Unlock()
	for _, f := range callbacks {
		_ = f(s)
	}
	s.account.Close()
}

// unread returns the number of bytes received and not consumed; s.mu is held.
func (s *socket) unread() int { return len(s.buffer) - s.offset }

// IsActive reports whether the connection is open and its peer has not disconnected.
func (s *socket) IsActive() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isActive()
}

// isActive is IsActive while s.mu is held.
func (s *socket) isActive() bool { return !s.closed && !s.hungUp && s.ended == nil }

// Write writes b, within the write timeout.
func (s *socket) Write(b []byte) (int, error) {
	s.mu.Lock()
	timeout := s.writeTimeout
	s.mu.Unlock()
	if timeout > 0 {
		_ = s.Conn.SetWriteDeadline(time.Now().Add(timeout))
	}
	written := 0
	for written < len(b) {
		n, err := s.Conn.Write(b[written:min(len(b), written+writePart)])
		written += n
		if err != nil {
			return written, err
		}
		s.account.Progress()
	}
	return written, nil
}

// Shut shuts the connection down in both directions.
func (s *socket) Shut() { s.shutdown(syscall.SHUT_RDWR) }

// ShutWrite closes the write direction, and reports whether it could.
func (s *socket) ShutWrite() bool { return s.shutdown(syscall.SHUT_WR) }

func (s *socket) shutdown(how int) bool {
	var err error
	if controlErr := s.raw.Control(func(fd uintptr) { err = syscall.Shutdown(int(fd), how) }); controlErr != nil {
		return false
	}
	return err == nil
}

// Fd returns the descriptor.
func (s *socket) Fd() (descriptor int) {
	descriptor = -1
	_ = s.raw.Control(func(fd uintptr) { descriptor = int(fd) })
	return descriptor
}

// SetOnRequest sets the request handler.
func (s *socket) SetOnRequest(on netpoll.OnRequest) error {
	s.mu.Lock()
	s.request = func() { _ = on(context.Background(), s) }
	s.mu.Unlock()
	s.dispatch()
	return nil
}

// AddCloseCallback adds a function to be called at the end of the connection, or at once if that has come.
func (s *socket) AddCloseCallback(f netpoll.CloseCallback) error {
	s.mu.Lock()
	late := s.callbacksStarted
	if !late {
		s.callbacks = append(s.callbacks, f)
	}
	s.mu.Unlock()
	if late {
		return f(s)
	}
	return nil
}

// SetReadTimeout limits how long Peek waits; 0 is no limit.
func (s *socket) SetReadTimeout(timeout time.Duration) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readTimeout = timeout
	return nil
}

// SetWriteTimeout limits how long Write waits; 0 is no limit.
func (s *socket) SetWriteTimeout(timeout time.Duration) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeTimeout = timeout
	return nil
}

// SetIdleTimeout does nothing: servers close idle connections themselves.
func (s *socket) SetIdleTimeout(time.Duration) error { return nil }

// Reader returns the reader of the connection.
func (s *socket) Reader() netpoll.Reader { return &socketReader{s: s} }

// Writer is not supported; Write is used.
func (s *socket) Writer() netpoll.Writer { return nil }

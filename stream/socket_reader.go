package stream

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"

	"vetchdoor/budget"
)

// socketReader reads what a socket has received. The methods of netpoll.Reader that it does not have are not used.
type socketReader struct {
	netpoll.Reader
	s *socket
}

// timers are stopped timers.
var timers = sync.Pool{New: func() any {
	timer := time.NewTimer(time.Hour)
	timer.Stop()
	return timer
}}

// Len returns the number of bytes received and not consumed.
func (r *socketReader) Len() int {
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	return r.s.unread()
}

// Peek returns the next n bytes without consuming them, and waits for them within the read timeout. They are valid until
// the next call of Skip, Next or Release.
func (r *socketReader) Peek(n int) ([]byte, error) {
	s := r.s
	if !s.reserve(n) {
		return nil, net.ErrClosed
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var timeout <-chan time.Time
	if s.readTimeout > 0 && s.unread() < n {
		timer := timers.Get().(*time.Timer)
		timer.Reset(s.readTimeout)
		defer func() {
			timer.Stop()
			timers.Put(timer)
		}()
		timeout = timer.C
	}
	for s.unread() < n {
		if s.closed {
			return nil, net.ErrClosed
		}
		if s.ended != nil {
			return nil, s.ended
		}
		s.mu.Unlock()
		timedOut := false
		select {
		case <-s.arrived:
		case <-timeout:
			timedOut = true
		}
		s.mu.Lock()
		if timedOut && s.unread() < n {
			return nil, netpoll.ErrReadTimeout
		}
	}
	return s.buffer[s.offset : s.offset+n : s.offset+n], nil
}

// Next returns and consumes the next n bytes, which are valid until Release.
func (r *socketReader) Next(n int) ([]byte, error) {
	b, err := r.Peek(n)
	if err == nil {
		err = r.Skip(n)
	}
	return b, err
}

// Skip consumes n bytes.
func (r *socketReader) Skip(n int) error {
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	if n > r.s.unread() {
		return io.ErrUnexpectedEOF
	}
	r.s.offset += n
	r.s.consumed += uint64(n)
	return nil
}

// Release gives up the memory of what was consumed, and the room that was reserved for it.
func (r *socketReader) Release() error {
	s := r.s
	s.mu.Lock()
	returned := s.compact()
	resume := s.paused && s.unread() < readAheadBytes+s.reserved
	s.mu.Unlock()
	if returned > 0 {
		s.account.Shrink(returned)
	}
	if resume {
		s.resume()
	}
	return nil
}

// keptBuffer is the capacity up to which a connection keeps its buffer between two messages.
const keptBuffer = 4 << 10

// compact moves what is unread to the start of a buffer of its size, and returns how many bytes need not be charged any
// more; s.mu is held.
func (s *socket) compact() (returned int) {
	left := s.unread()
	switch {
	case left > 0 && s.offset < readAheadBytes:
		return 0 // not worth a copy
	case left == 0 && cap(s.buffer) <= keptBuffer:
		s.buffer = s.buffer[:0]
	default:
		unread := append([]byte(nil), s.buffer[s.offset:]...)
		recycle(s.buffer)
		s.buffer = unread
	}
	s.offset = 0
	if left <= readAheadBytes {
		returned, s.charged, s.reserved = s.charged, 0, 0
	}
	return returned
}

// recycle lets other connections use a buffer of the size of a readBuffer, whose bytes nobody reads any more.
func recycle(buffer []byte) {
	if cap(buffer) == readAheadBytes {
		readBuffers.Put((*readBuffer)(buffer[:readAheadBytes]))
	}
}

// resume makes the reading goroutine look for room again.
func (s *socket) resume() { _ = s.SetReadDeadline(time.Unix(1, 0)) }

// reserve makes room for n unread bytes of a message of unknown length in the budget of the process, and waits until there
// is. It returns false if the connection ends meanwhile.
func (s *socket) reserve(n int) bool {
	s.mu.Lock()
	more, step := n-readAheadBytes-s.reserved, min(s.reserved, maxReserveStep)
	s.mu.Unlock()
	if more <= 0 {
		return true
	}
	more = max((more+reserveStep-1)/reserveStep*reserveStep, step)
	return s.grow(more, more*growthFactor)
}

// expect is reserve for a message whose length is known: it takes a buffer of that size at once.
func (s *socket) expect(n int) bool {
	s.mu.Lock()
	more := n - readAheadBytes - s.reserved
	s.mu.Unlock()
	if more <= 0 {
		return true
	}
	if !s.grow(more, more) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.buffer = append(make([]byte, 0, n+readAheadBytes), s.buffer[s.offset:]...)
	s.offset = 0
	return true
}

// grow charges for more room, once the budget allows it, and lets the connection be read further.
func (s *socket) grow(room, charge int) bool {
	s.account.SetPatience(s.patience())
	if !s.account.Grow(charge, s.done) {
		return false
	}
	s.mu.Lock()
	s.reserved += room
	s.charged += charge
	resume := s.paused
	s.mu.Unlock()
	if resume {
		s.resume()
	}
	return true
}

// roundTripsOfPatience is for how many round trips a sound peer may pause in the middle of a message; maxPatience bounds
// that time.
const (
	roundTripsOfPatience = 4
	maxPatience          = time.Second
)

// patience returns how long the peer may stall in the middle of a message before it counts as slow.
func (s *socket) patience() time.Duration {
	patience := budget.DefaultPatience
	_ = s.raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			patience = max(patience, roundTripsOfPatience*time.Duration(info.Rtt)*time.Microsecond)
		}
	})
	return min(patience, maxPatience)
}

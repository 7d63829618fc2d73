package stream

import (
	"cmp"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"

	"vetchdoor/budget"
)

// accepted are the accepted connections of the process. Their number is bounded, so that descriptors are left for the
// connections that the process itself makes.
var accepted = &acceptedConnections{sockets: map[*socket]bool{}, limit: descriptorLimit() * 3 / 4, removed: make(chan struct{}, 1)}

// descriptorLimit returns how many descriptors the process may have open.
func descriptorLimit() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 1024
	}
	return int(min(limit.Cur, 1<<20))
}

// idleGrace is how long a connection must have been open without a complete message, or without a further one, before it
// may be closed to make room.
const idleGrace = 250 * time.Millisecond

// roomInterval is how often a listener without room looks for a connection to close.
const roomInterval = 20 * time.Millisecond

// acceptedConnections bounds the number of accepted connections.
type acceptedConnections struct {
	mu      sync.Mutex
	sockets map[*socket]bool
	limit   int
	removed chan struct{} // signalled when a connection has ended
}

// add registers a connection until it ends.
func (a *acceptedConnections) add(s *socket) {
	a.mu.Lock()
	a.sockets[s] = true
	a.mu.Unlock()
	_ = s.AddCloseCallback(func(netpoll.Connection) error {
		a.mu.Lock()
		delete(a.sockets, s)
		a.mu.Unlock()
		select {
		case a.removed <- struct{}{}:
		default:
		}
		return nil
	})
}

// awaitRoom returns once there is room for another connection, or once the listener refuses. While there is none it
// closes the connection that is least likely to be of use, and new ones wait in the listener's queue.
func (a *acceptedConnections) awaitRoom(l *listener) {
	for !l.isRefusing() {
		a.mu.Lock()
		full := len(a.sockets) >= a.limit
		var victim *socket
		if full {
			victim = a.leastUseful(time.Now())
		}
		a.mu.Unlock()
		if !full {
			return
		}
		if victim != nil {
			_ = victim.Close()
		}
		select {
		case <-a.removed:
		case <-time.After(roomInterval):
		}
	}
}

// leastUseful returns the oldest connection without a complete message, else the one whose last one is longest ago; nil
// if all are of use. a.mu is held.
func (a *acceptedConnections) leastUseful(now time.Time) *socket {
	var candidates []*socket
	for s := range a.sockets {
		last, any := s.lastMessage()
		if !any && now.Sub(s.acceptedAt) > idleGrace || any && now.Sub(last) > idleGrace {
			candidates = append(candidates, s)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	return slices.MinFunc(candidates, func(x, y *socket) int {
		lastX, anyX := x.lastMessage()
		lastY, anyY := y.lastMessage()
		if anyX != anyY {
			if anyX {
				return 1
			}
			return -1
		}
		if !anyX {
			return x.acceptedAt.Compare(y.acceptedAt)
		}
		return cmp.Compare(lastX.UnixNano(), lastY.UnixNano())
	})
}

// lastMessage returns when the last complete message was handled, and whether there was any. A connection whose message
// is being handled counts as having one now.
func (s *socket) lastMessage() (at time.Time, any bool) {
	if s.account.IsBusy() {
		return time.Now(), true
	}
	nanos := s.lastMessageAt.Load()
	return time.Unix(0, nanos), nanos != 0
}

// Meter is what a connection reports of its use, so that the bounds of the process spare those that are sound. Its
// methods may be called on a nil Meter.
type Meter struct{ s *socket }

// MeterOf returns the meter of a connection; nil for one that is not a socket.
func MeterOf(nc netpoll.Connection) *Meter {
	if s, ok := nc.(*socket); ok {
		return &Meter{s}
	}
	return nil
}

// MessageDone records that a complete message was handled.
func (m *Meter) MessageDone() {
	if m != nil {
		m.s.lastMessageAt.Store(time.Now().UnixNano())
	}
}

// SetBusy records whether a message is being handled.
func (m *Meter) SetBusy(busy bool) {
	if m != nil {
		m.s.account.SetBusy(busy)
	}
}

// Expect reserves room for a message of a known size, and waits until there is. It returns false if the connection is to
// end.
func (m *Meter) Expect(size int) bool { return m == nil || m.s.expect(size) }

// PeerGone reports whether the peer has disconnected, also if there is more to read.
func (m *Meter) PeerGone() bool { return m != nil && m.s.PeerGone() }

// account returns the account of the connection; nil for one that is not a socket.
func (m *Meter) account() *budget.Account {
	if m == nil {
		return nil
	}
	return m.s.account
}

// Charge counts bytes that the handler of a message takes, ending other connections if need be. release ends that.
func (m *Meter) Charge(bytes int) (release func()) {
	if m == nil || bytes <= readAheadBytes {
		return func() {}
	}
	m.s.account.Force(bytes)
	return func() { m.s.account.Shrink(bytes) }
}

// ChargeAnswer is Charge for an answer while the peer takes it.
func (m *Meter) ChargeAnswer(bytes int) (release func()) {
	release = m.Charge(bytes)
	m.SetBusy(false) // the peer is the one to go on
	return release
}

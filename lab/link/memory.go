package link

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/cloudwego/netpoll"

	"vetchdoor/stream"
)

// Memory is a stream.Net without sockets, for the parts of one process, also under a fake clock. Servers listen on
// addresses; a dialer uses a server's address directly, or that of a MemoryLink, which delays, cuts and records what
// passes.
type Memory struct {
	mu         sync.Mutex
	tap        *Tap
	lastNumber int // last connection number or port assigned
	servers    map[string]*memoryServer
	links      map[string]*MemoryLink
}

// NewMemory makes a network whose links record their transfers in a tap.
func NewMemory(tap *Tap) *Memory {
	return &Memory{tap: tap, servers: map[string]*memoryServer{}, links: map[string]*MemoryLink{}}
}

// MemoryLink is a link to a server of a Memory. Its exported fields are set before it is dialled.
type MemoryLink struct {
	Name    string
	Target  string                             // address of the server
	Delays  [2]Delay                           // by direction; nil for none
	Rewrite func(d Direction, b []byte) []byte // rewrites each piece of data; may be nil

	mu         sync.Mutex
	cut        bool
	dropping   [2]bool
	breakAfter [2]int // by direction: bytes until a connection breaks; 0 for never
	ends       map[*memoryEnd]bool
}

// AddLink adds a link, which is dialled at the address.
func (m *Memory) AddLink(address string, r *MemoryLink) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r.ends = map[*memoryEnd]bool{}
	m.links[address] = r
}

// Break closes all connections of the link; new ones are still accepted.
func (r *MemoryLink) Break() {
	r.mu.Lock()
	var ends []*memoryEnd
	for e := range r.ends {
		ends = append(ends, e)
	}
	r.mu.Unlock()
	for _, e := range ends {
		e.disconnect()
		e.peer.disconnect()
	}
}

// BreakAfter breaks a connection once the link has carried the given number of further bytes in a direction, even within a
// line. The connection that carries the last of these bytes is the one that breaks.
func (r *MemoryLink) BreakAfter(d Direction, bytes int) {
	r.mu.Lock()
	r.breakAfter[d] = bytes
	r.mu.Unlock()
}

// DropDirection drops all data that is sent in one direction from now on.
func (r *MemoryLink) DropDirection(d Direction) {
	r.mu.Lock()
	r.dropping[d] = true
	r.mu.Unlock()
}

// SetCut starts or ends a cut. While cut, the link drops all data and dials time out; its connections stay half open,
// since neither side is notified. The end of a cut breaks them.
func (r *MemoryLink) SetCut(cut bool) {
	r.mu.Lock()
	r.cut = cut
	r.mu.Unlock()
	if !cut {
		r.Break()
	}
}

// Dial implements stream.Net.
func (m *Memory) Dial(_, address string, timeout time.Duration) (netpoll.Connection, error) {
	m.mu.Lock()
	r := m.links[address]
	to := address
	if r != nil {
		to = r.Target
	}
	s := m.servers[to]
	m.lastNumber++
	id := m.lastNumber
	m.mu.Unlock()
	cut := false
	if r != nil {
		r.mu.Lock()
		cut = r.cut
		r.mu.Unlock()
	}
	if cut {
		time.Sleep(timeout)
		return nil, netpoll.ErrDialTimeout
	}
	if s == nil {
		return nil, fmt.Errorf("%w: no server listens on %s", errRefused, to)
	}
	a, b := newEnd(m, r, id, Up, to), newEnd(m, r, id, Down, fmt.Sprintf("10.9.9.9:%d", 1+id%65535))
	a.peer, b.peer = b, a
	if r != nil {
		r.mu.Lock()
		r.ends[a] = true
		r.mu.Unlock()
	}
	return a, s.accept(b)
}

var errRefused = errors.New("connection refused")

// Serve implements stream.Net; port 0 selects a free port.
func (m *Memory) Serve(_, address string, h stream.Hooks) (stream.Server, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if host, port, err := net.SplitHostPort(address); err == nil && port == "0" {
		m.lastNumber++
		address = net.JoinHostPort(host, fmt.Sprint(1024+m.lastNumber%60000))
	}
	if m.servers[address] != nil {
		return nil, fmt.Errorf("listen on %s: address already in use", address)
	}
	s := &memoryServer{m: m, address: address, hooks: h, ends: map[*memoryEnd]bool{}}
	m.servers[address] = s
	return s, nil
}

type memoryServer struct {
	m       *Memory
	address string
	hooks   stream.Hooks
	mu      sync.Mutex
	ends    map[*memoryEnd]bool
}

func (s *memoryServer) Address() string { return s.address }

// Refuse stops accepting connections.
func (s *memoryServer) Refuse(context.Context) {
	s.m.mu.Lock()
	defer s.m.mu.Unlock()
	if s.m.servers[s.address] == s {
		delete(s.m.servers, s.address)
	}
}

// Stop stops accepting connections and closes the idle ones.
func (s *memoryServer) Stop(ctx context.Context) {
	s.Refuse(ctx)
	s.mu.Lock()
	var idle []*memoryEnd
	for e := range s.ends {
		idle = append(idle, e)
	}
	s.mu.Unlock()
	for _, e := range idle {
		e.mu.Lock()
		busy := e.busy
		e.mu.Unlock()
		if !busy {
			_ = e.Close()
		}
	}
}

func (s *memoryServer) accept(e *memoryEnd) error {
	s.mu.Lock()
	s.ends[e] = true
	s.mu.Unlock()
	remove := func() {
		s.mu.Lock()
		delete(s.ends, e)
		s.mu.Unlock()
	}
	ctx := s.hooks.Prepare(e)
	e.mu.Lock()
	e.request = func() { _ = s.hooks.Request(ctx, e) }
	e.onEnd = func() {
		remove()
		if s.hooks.Disconnected != nil {
			s.hooks.Disconnected(ctx)
		}
	}
	refused := e.disconnected
	e.mu.Unlock()
	if refused { // the connection ended before onEnd was set
		remove()
	}
	return nil
}

// memoryEnd is one end of a connection. Data that its owner writes reaches the peer in order, each piece when it is
// due.
type memoryEnd struct {
	net.Conn         // nil; the methods that are not overridden are not used
	m                *Memory
	link             *MemoryLink
	id               int
	direction        Direction // direction of the data that the owner writes
	remote           string
	peer             *memoryEnd
	mu               sync.Mutex
	active           bool
	closeSent        bool // the end of the connection has been sent to the peer
	busy             bool // a goroutine is running the request handler or the close callbacks
	received         []byte
	skipped          int           // total bytes that the owner has consumed
	lent             []byte        // result of the last Peek or Next
	inTransit        []piece       // pieces on their way to this end
	due              time.Time     // arrival time of the last piece sent to this end
	changed          chan struct{} // closed and replaced when data arrives or the connection ends
	readTimeout      time.Duration // timeout of a read; 0 for none
	request          func()
	onEnd            func()
	closeCallbacks   []netpoll.CloseCallback
	disconnected     bool
	closedByOwner    bool // the owner has closed this end, and received data is no longer handled
	callbacksStarted bool
}

func newEnd(m *Memory, r *MemoryLink, id int, d Direction, remote string) *memoryEnd {
	return &memoryEnd{m: m, link: r, id: id, direction: d, remote: remote, active: true, changed: make(chan struct{})}
}

// notifyChange wakes up the goroutines that wait for a change; e.mu is held.
func (e *memoryEnd) notifyChange() {
	close(e.changed)
	e.changed = make(chan struct{})
}

// Write sends a copy of b to the peer as one piece, or in parts without a link. It drops the data while the link is
// cut or drops this direction.
func (e *memoryEnd) Write(b []byte) (int, error) {
	e.mu.Lock()
	active := e.active
	e.mu.Unlock()
	if !active {
		return 0, netpoll.ErrConnClosed
	}
	p, breaks := append([]byte(nil), b...), false
	if r := e.link; r != nil {
		r.mu.Lock()
		cut := r.cut || r.dropping[e.direction]
		if r.Rewrite != nil {
			p = r.Rewrite(e.direction, p)
		}
		if breakAfter := &r.breakAfter[e.direction]; *breakAfter > 0 && !cut {
			if breaks = len(p) >= *breakAfter; breaks {
				p, *breakAfter = p[:*breakAfter], 0
			} else {
				*breakAfter -= len(p)
			}
		}
		r.mu.Unlock()
		if cut {
			return len(b), nil
		}
	}
	e.sendInParts(piece{data: p, receivedAt: e.now()})
	if breaks {
		e.disconnect()
		e.send(piece{})
	}
	return len(b), nil
}

func (e *memoryEnd) now() time.Duration {
	if e.m.tap == nil {
		return 0
	}
	return e.m.tap.now()
}

// lastPartBytes is the size of the separate last piece of a write without a link. It is so small that the head of a
// request with a body is complete before that piece arrives.
const lastPartBytes = 1

// lastPartDelay is how much later the last piece arrives. A fake clock advances only when all goroutines are blocked, so
// the rest of the write has been handled by then.
const lastPartDelay = time.Microsecond

// sendInParts sends a piece to the peer, in two parts if there is no link.
func (e *memoryEnd) sendInParts(p piece) {
	if cut := len(p.data) - lastPartBytes; e.link == nil && cut > 0 {
		e.sendAfter(0, piece{data: p.data[:cut:cut], receivedAt: p.receivedAt})
		e.sendAfter(lastPartDelay, piece{data: p.data[cut:], receivedAt: p.receivedAt})
		return
	}
	e.send(p)
}

// send sends a piece to the peer after the delay of the link. A piece without data ends the connection.
func (e *memoryEnd) send(p piece) {
	delay := time.Duration(0)
	if e.link != nil && e.link.Delays[e.direction] != nil {
		delay = e.link.Delays[e.direction]()
	}
	e.sendAfter(delay, p)
}

// sendAfter sends a piece to the peer after a delay, and not before the pieces that were sent earlier.
func (e *memoryEnd) sendAfter(delay time.Duration, p piece) {
	to := e.peer
	to.mu.Lock()
	if p.due = time.Now().Add(delay); p.due.Before(to.due) {
		p.due = to.due
	}
	to.due = p.due
	to.inTransit = append(to.inTransit, p)
	wait := time.Until(p.due)
	to.mu.Unlock()
	if wait <= 0 {
		go to.deliver()
		return
	}
	time.AfterFunc(wait, to.deliver)
}

// deliver receives the next piece in transit, or the end of the connection.
func (e *memoryEnd) deliver() {
	e.mu.Lock()
	p := e.inTransit[0]
	e.inTransit = e.inTransit[1:]
	if p.data == nil {
		e.mu.Unlock()
		e.disconnect()
		return
	}
	if e.link != nil {
		e.link.mu.Lock()
		cut := e.link.cut
		e.link.mu.Unlock()
		if cut {
			e.mu.Unlock()
			return
		}
	}
	accepted := e.active
	if accepted {
		e.received = append(e.received, p.data...)
		e.notifyChange()
	}
	e.mu.Unlock()
	if accepted && e.link != nil {
		e.m.tap.record(Transfer{Link: e.link.Name, Conn: e.id, Direction: 1 - e.direction,
			ReceivedAt: p.receivedAt, ForwardedAt: e.now(), Data: p.data})
	}
	e.dispatch()
}

// dispatch starts a goroutine that calls the request handler for the data received, and the close callbacks once the
// connection has ended. Only one such goroutine runs at a time.
func (e *memoryEnd) dispatch() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.busy || !(e.readable() || e.disconnected && !e.callbacksStarted) {
		return
	}
	e.busy = true
	go func() {
		for {
			e.mu.Lock()
			if e.readable() {
				before, skipped, request := len(e.received), e.skipped, e.request
				e.mu.Unlock()
				request()
				e.mu.Lock()
				if len(e.received) != before || e.skipped != skipped {
					e.mu.Unlock()
					continue
				}
				if !e.disconnected { // the handler needs more data
					e.busy = false
					e.mu.Unlock()
					return
				}
				e.received = nil // an incomplete request; no more data can arrive
			}
			if !e.disconnected || e.callbacksStarted {
				e.busy = false
				e.mu.Unlock()
				return
			}
			e.callbacksStarted = true
			callbacks := e.closeCallbacks
			e.mu.Unlock()
			for _, f := range callbacks {
				_ = f(e)
			}
		}
	}()
}

// readable reports whether there is data to handle and a handler for it; e.mu is held.
func (e *memoryEnd) readable() bool {
	return len(e.received) > 0 && e.request != nil && !e.closedByOwner
}

// disconnect records that the connection has ended at this end: closed by its owner or its peer, or broken by the
// link.
func (e *memoryEnd) disconnect() {
	e.mu.Lock()
	first := !e.disconnected
	e.disconnected, e.active = true, false
	onEnd := e.onEnd
	e.notifyChange()
	e.mu.Unlock()
	if first && e.link != nil && e.direction == Up {
		e.link.mu.Lock()
		delete(e.link.ends, e)
		e.link.mu.Unlock()
		e.m.tap.record(Transfer{Link: e.link.Name, Conn: e.id, ReceivedAt: e.now(), ForwardedAt: e.now(), End: true})
	}
	if first && onEnd != nil {
		onEnd()
	}
	e.dispatch()
}

// Close ends the connection. The peer is notified through the link, unless that is cut.
func (e *memoryEnd) Close() error {
	e.mu.Lock()
	notifyPeer := !e.closeSent && !e.disconnected
	e.closeSent, e.closedByOwner = true, true
	e.mu.Unlock()
	cut := false
	if r := e.link; r != nil {
		r.mu.Lock()
		cut = r.cut
		r.mu.Unlock()
	}
	e.disconnect()
	if notifyPeer && !cut {
		e.send(piece{})
	}
	return nil
}

// Shut closes the connection and returns at once; the close callbacks run on another goroutine, as they do for a
// socket.
func (e *memoryEnd) Shut() { go func() { _ = e.Close() }() }

func (e *memoryEnd) IsActive() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.active
}

func (e *memoryEnd) RemoteAddr() net.Addr {
	if a, err := net.ResolveTCPAddr("tcp", e.remote); err == nil {
		return a
	}
	return &net.UnixAddr{Name: e.remote, Net: "memory"}
}

func (e *memoryEnd) Reader() netpoll.Reader { return memoryReader{e: e} }
func (e *memoryEnd) Writer() netpoll.Writer { return nil }

func (e *memoryEnd) SetReadTimeout(d time.Duration) error {
	e.mu.Lock()
	e.readTimeout = d
	e.mu.Unlock()
	return nil
}

func (e *memoryEnd) SetWriteTimeout(time.Duration) error { return nil }
func (e *memoryEnd) SetIdleTimeout(time.Duration) error  { return nil }

func (e *memoryEnd) SetOnRequest(on netpoll.OnRequest) error {
	e.mu.Lock()
	e.request = func() { _ = on(context.Background(), e) }
	e.mu.Unlock()
	e.dispatch()
	return nil
}

// AddCloseCallback registers f to be called at the end of the connection; it calls f at once if the callbacks have
// already been started.
func (e *memoryEnd) AddCloseCallback(f netpoll.CloseCallback) error {
	e.mu.Lock()
	alreadyRun := e.callbacksStarted
	if !alreadyRun {
		e.closeCallbacks = append(e.closeCallbacks, f)
	}
	e.mu.Unlock()
	if alreadyRun {
		return f(e)
	}
	return nil
}

// memoryReader reads the received data. The methods of netpoll.Reader that it does not override are not used.
type memoryReader struct {
	netpoll.Reader
	e *memoryEnd
}

func (r memoryReader) Len() int {
	r.e.mu.Lock()
	defer r.e.mu.Unlock()
	return len(r.e.received)
}

// Release invalidates the results of Peek and Next.
func (r memoryReader) Release() error {
	r.e.mu.Lock()
	defer r.e.mu.Unlock()
	r.e.reclaim()
	return nil
}

// lend returns a copy of the first received bytes, valid until the next call of Peek, Next or Release; e.mu is held.
func (e *memoryEnd) lend(n int) []byte {
	e.reclaim()
	e.lent = append([]byte(nil), e.received[:n]...)
	return e.lent
}

// reclaimedByte fills read buffers that have been reclaimed.
const reclaimedByte = '#'

// reclaim overwrites the bytes last lent, as happens when another connection uses a released buffer; e.mu is held.
func (e *memoryEnd) reclaim() {
	for i := range e.lent {
		e.lent[i] = reclaimedByte
	}
	e.lent = nil
}

func (r memoryReader) Peek(n int) ([]byte, error) {
	e := r.e
	e.mu.Lock()
	defer e.mu.Unlock()
	var timeout <-chan time.Time
	if e.readTimeout > 0 && len(e.received) < n {
		t := time.NewTimer(e.readTimeout)
		defer t.Stop()
		timeout = t.C
	}
	for len(e.received) < n {
		if !e.active {
			return nil, netpoll.ErrConnClosed
		}
		changed := e.changed
		e.mu.Unlock()
		select {
		case <-changed:
			e.mu.Lock()
		case <-timeout:
			e.mu.Lock()
			return nil, netpoll.ErrReadTimeout
		}
	}
	return e.lend(n), nil
}

func (r memoryReader) Next(n int) ([]byte, error) {
	b, err := r.Peek(n)
	if err == nil {
		err = r.Skip(n)
	}
	return b, err
}

func (r memoryReader) Skip(n int) error {
	r.e.mu.Lock()
	defer r.e.mu.Unlock()
	if n > len(r.e.received) {
		return netpoll.ErrConnClosed
	}
	r.e.received = r.e.received[n:]
	r.e.skipped += n
	return nil
}

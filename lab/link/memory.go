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

// Memory is a net without sockets, for the parts of one process on a clock that may be a fake one. Whoever listens does so
// at an address; whoever dials does so there, or at a road that leads there and delays, cuts and keeps what passes.
type Memory struct {
	mu     sync.Mutex
	tap    *Tap
	next   int
	serves map[string]*memoryServer
	roads  map[string]*MemoryLink
}

// NewMemory makes a net whose roads keep what passes in a tap.
func NewMemory(tap *Tap) *Memory {
	return &Memory{tap: tap, serves: map[string]*memoryServer{}, roads: map[string]*MemoryLink{}}
}

// MemoryLink is a way to an address. Its fields but ends are set before it is dialled.
type MemoryLink struct {
	Name    string
	Target  string
	Delays  [2]Delay
	Rewrite func(d Direction, b []byte) []byte // may be nil: what a piece becomes on its way

	mu    sync.Mutex
	cut   bool
	lost  [2]bool
	short [2]int // over 0: so many bytes more pass in this direction, and the connections break
	ends  map[*memoryEnd]bool
}

// AddLink opens a way at an address of its own.
func (m *Memory) AddLink(address string, r *MemoryLink) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r.ends = map[*memoryEnd]bool{}
	m.roads[address] = r
}

// Break closes its connections; new ones are taken.
func (r *MemoryLink) Break() {
	r.mu.Lock()
	var all []*memoryEnd
	for e := range r.ends {
		all = append(all, e)
	}
	r.mu.Unlock()
	for _, e := range all {
		e.hangUp()
		e.peer.hangUp()
	}
}

// BreakAfter lets so many bytes more pass in a direction and breaks its connections then, in the midst of a line or not.
func (r *MemoryLink) BreakAfter(d Direction, bytes int) {
	r.mu.Lock()
	r.short[d] = bytes
	r.mu.Unlock()
}

// DropDirection swallows one direction.
func (r *MemoryLink) DropDirection(d Direction) {
	r.mu.Lock()
	r.lost[d] = true
	r.mu.Unlock()
}

// SetCut has it swallow everything and refuse what dials, until Heal; nobody is told, so that its connections are half open.
func (r *MemoryLink) SetCut(cut bool) {
	r.mu.Lock()
	r.cut = cut
	r.mu.Unlock()
	if !cut {
		r.Break()
	}
}

// Dial connects, as stream.Net has it.
func (m *Memory) Dial(_, address string, timeout time.Duration) (netpoll.Connection, error) {
	m.mu.Lock()
	r := m.roads[address]
	to := address
	if r != nil {
		to = r.Target
	}
	s := m.serves[to]
	m.next++
	id := m.next
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
		return nil, fmt.Errorf("%w: nobody listens at %s", errRefused, to)
	}
	a, b := newEnd(m, r, id, Up, to), newEnd(m, r, id, Down, fmt.Sprintf("10.9.9.9:%d", 1+id%65535))
	a.peer, b.peer = b, a
	if r != nil {
		r.mu.Lock()
		r.ends[a] = true
		r.mu.Unlock()
	}
	return a, s.take(b)
}

var errRefused = errors.New("connection refused")

// Serve accepts connections, as stream.Net has it; port 0 takes one that is free.
func (m *Memory) Serve(_, address string, h stream.Hooks) (stream.Server, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if host, port, err := net.SplitHostPort(address); err == nil && port == "0" {
		m.next++
		address = net.JoinHostPort(host, fmt.Sprint(1024+m.next%60000))
	}
	if m.serves[address] != nil {
		return nil, fmt.Errorf("listen on %s: somebody listens there", address)
	}
	s := &memoryServer{m: m, address: address, hooks: h, ends: map[*memoryEnd]bool{}}
	m.serves[address] = s
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

// Refuse takes no more.
func (s *memoryServer) Refuse(context.Context) {
	s.m.mu.Lock()
	defer s.m.mu.Unlock()
	if s.m.serves[s.address] == s {
		delete(s.m.serves, s.address)
	}
}

// Stop takes no more and closes what is idle, as netpoll's loop does.
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

func (s *memoryServer) take(e *memoryEnd) error {
	s.mu.Lock()
	s.ends[e] = true
	s.mu.Unlock()
	forget := func() {
		s.mu.Lock()
		delete(s.ends, e)
		s.mu.Unlock()
	}
	ctx := s.hooks.Prepare(e)
	e.mu.Lock()
	e.request = func() { _ = s.hooks.Request(ctx, e) }
	e.ended = func() {
		forget()
		if s.hooks.Disconnected != nil {
			s.hooks.Disconnected(ctx)
		}
	}
	refused := e.hungUp
	e.mu.Unlock()
	if refused { // nobody was there to be told
		forget()
	}
	return nil
}

// memoryEnd is one end of a connection. Bytes that its owner writes come to its peer in order, each piece when it is due.
type memoryEnd struct {
	net.Conn   // none
	m          *Memory
	road       *MemoryLink
	id         int
	direction  Direction // in which its owner writes
	remote     string
	peer       *memoryEnd
	mu         sync.Mutex
	active     bool
	said       bool // its peer has been told that it ended
	busy       bool // a request or the callbacks are under way
	in         []byte
	skipped    int     // bytes that its owner has read from it
	lent       []byte  // what the last Peek or Next returned
	way        []piece // on the way to this end
	due        time.Time
	came       chan struct{} // closed and made anew as something happens
	patience   time.Duration // of a read; 0: without end
	request    func()
	ended      func()
	closed     []netpoll.CloseCallback
	hungUp     bool
	left       bool // by its owner, who takes nothing more; what came before the peer left is still handled
	terminated bool
}

func newEnd(m *Memory, r *MemoryLink, id int, d Direction, remote string) *memoryEnd {
	return &memoryEnd{m: m, road: r, id: id, direction: d, remote: remote, active: true, came: make(chan struct{})}
}

// wake tells those who wait that something happened; e.mu is held.
func (e *memoryEnd) wake() {
	close(e.came)
	e.came = make(chan struct{})
}

// Write sends a piece to the peer, whole.
func (e *memoryEnd) Write(b []byte) (int, error) {
	e.mu.Lock()
	active := e.active
	e.mu.Unlock()
	if !active {
		return 0, netpoll.ErrConnClosed
	}
	p, breaks := append([]byte(nil), b...), false
	if r := e.road; r != nil {
		r.mu.Lock()
		cut := r.cut || r.lost[e.direction]
		if r.Rewrite != nil {
			p = r.Rewrite(e.direction, p)
		}
		if short := &r.short[e.direction]; *short > 0 && !cut {
			if breaks = len(p) >= *short; breaks {
				p, *short = p[:*short], 0
			} else {
				*short -= len(p)
			}
		}
		r.mu.Unlock()
		if cut {
			return len(b), nil
		}
	}
	e.sendInParts(piece{data: p, came: e.now()})
	if breaks {
		e.hangUp()
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

// lastPart is how many bytes of what is written go as a piece of their own where there is no road: so few that the head of a request
// with a body is whole before its last piece comes.
const lastPart = 1

// partGap is how much later that piece comes; on a fake clock time goes on only once nobody has anything to do.
const partGap = time.Microsecond

// sendInParts sends a piece, in two where there is no road.
func (e *memoryEnd) sendInParts(p piece) {
	if cut := len(p.data) - lastPart; e.road == nil && cut > 0 {
		e.sendAfter(0, piece{data: p.data[:cut:cut], came: p.came})
		e.sendAfter(partGap, piece{data: p.data[cut:], came: p.came})
		return
	}
	e.send(p)
}

// send puts a piece on the way to the peer; one without data is the connection's end.
func (e *memoryEnd) send(p piece) {
	delay := time.Duration(0)
	if e.road != nil && e.road.Delays[e.direction] != nil {
		delay = e.road.Delays[e.direction]()
	}
	e.sendAfter(delay, p)
}

// sendAfter does so after a delay, and not before what was sent earlier.
func (e *memoryEnd) sendAfter(delay time.Duration, p piece) {
	to := e.peer
	to.mu.Lock()
	if p.due = time.Now().Add(delay); p.due.Before(to.due) {
		p.due = to.due
	}
	to.due = p.due
	to.way = append(to.way, p)
	wait := time.Until(p.due)
	to.mu.Unlock()
	if wait <= 0 {
		go to.arrive()
		return
	}
	time.AfterFunc(wait, to.arrive)
}

// arrive takes the next piece in.
func (e *memoryEnd) arrive() {
	e.mu.Lock()
	p := e.way[0]
	e.way = e.way[1:]
	if p.data == nil {
		e.mu.Unlock()
		e.hangUp()
		return
	}
	if e.road != nil {
		e.road.mu.Lock()
		cut := e.road.cut
		e.road.mu.Unlock()
		if cut {
			e.mu.Unlock()
			return
		}
	}
	taken := e.active
	if taken {
		e.in = append(e.in, p.data...)
		e.wake()
	}
	e.mu.Unlock()
	if taken && e.road != nil {
		e.m.tap.keep(Transfer{Link: e.road.Name, Conn: e.id, Direction: 1 - e.direction, ReceivedAt: p.came, ForwardedAt: e.now(), Data: p.data})
	}
	e.turn()
}

// turn has what came handled, and the end told, one goroutine at a time.
func (e *memoryEnd) turn() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.busy || !(e.readable() || e.hungUp && !e.terminated) {
		return
	}
	e.busy = true
	go func() {
		for {
			e.mu.Lock()
			if e.readable() {
				before, skipped, request := len(e.in), e.skipped, e.request
				e.mu.Unlock()
				request()
				e.mu.Lock()
				if len(e.in) != before || e.skipped != skipped {
					e.mu.Unlock()
					continue
				}
				if !e.hungUp { // it waits for more
					e.busy = false
					e.mu.Unlock()
					return
				}
				e.in = nil // no more comes
			}
			if !e.hungUp || e.terminated {
				e.busy = false
				e.mu.Unlock()
				return
			}
			e.terminated = true
			callbacks := e.closed
			e.mu.Unlock()
			for _, f := range callbacks {
				_ = f(e)
			}
		}
	}()
}

// readable tells whether there is something to handle; e.mu is held.
func (e *memoryEnd) readable() bool { return len(e.in) > 0 && e.request != nil && !e.left }

// hangUp notes that the connection is over at this end: by its owner, its peer, or the road.
func (e *memoryEnd) hangUp() {
	e.mu.Lock()
	first := !e.hungUp
	e.hungUp, e.active = true, false
	ended := e.ended
	e.wake()
	e.mu.Unlock()
	if first && e.road != nil && e.direction == Up {
		e.road.mu.Lock()
		delete(e.road.ends, e)
		e.road.mu.Unlock()
		e.m.tap.keep(Transfer{Link: e.road.Name, Conn: e.id, ReceivedAt: e.now(), ForwardedAt: e.now(), End: true})
	}
	if first && ended != nil {
		ended()
	}
	e.turn()
}

// Close ends the connection; the peer learns of it by the road.
func (e *memoryEnd) Close() error {
	e.mu.Lock()
	tell := !e.said && !e.hungUp
	e.said, e.left = true, true
	e.mu.Unlock()
	cut := false
	if r := e.road; r != nil {
		r.mu.Lock()
		cut = r.cut
		r.mu.Unlock()
	}
	e.hangUp()
	if tell && !cut {
		e.send(piece{})
	}
	return nil
}

// Shut is as Close, with the callbacks beside whoever calls it, as a socket's come.
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
	e.patience = d
	e.mu.Unlock()
	return nil
}

func (e *memoryEnd) SetWriteTimeout(time.Duration) error { return nil }
func (e *memoryEnd) SetIdleTimeout(time.Duration) error  { return nil }

func (e *memoryEnd) SetOnRequest(on netpoll.OnRequest) error {
	e.mu.Lock()
	e.request = func() { _ = on(context.Background(), e) }
	e.mu.Unlock()
	e.turn()
	return nil
}

// AddCloseCallback has f called at the end, at once where that has been told already.
func (e *memoryEnd) AddCloseCallback(f netpoll.CloseCallback) error {
	e.mu.Lock()
	late := e.terminated
	if !late {
		e.closed = append(e.closed, f)
	}
	e.mu.Unlock()
	if late {
		return f(e)
	}
	return nil
}

// memoryReader reads what came; the methods that nobody here uses are netpoll's, of none.
type memoryReader struct {
	netpoll.Reader
	e *memoryEnd
}

func (r memoryReader) Len() int {
	r.e.mu.Lock()
	defer r.e.mu.Unlock()
	return len(r.e.in)
}

// Release takes back what Peek or Next returned.
func (r memoryReader) Release() error {
	r.e.mu.Lock()
	defer r.e.mu.Unlock()
	r.e.takeBack()
	return nil
}

// lend returns a copy of the first bytes that came; e.mu is held. It holds until the next call of Peek, Next or Release.
func (e *memoryEnd) lend(n int) []byte {
	e.takeBack()
	e.lent = append([]byte(nil), e.in[:n]...)
	return e.lent
}

// overwritten stands in memory that was taken back.
const overwritten = '#'

// takeBack overwrites what was lent, as another connection does whose reader gets that memory from netpoll's pool; e.mu is held.
func (e *memoryEnd) takeBack() {
	for i := range e.lent {
		e.lent[i] = overwritten
	}
	e.lent = nil
}

func (r memoryReader) Peek(n int) ([]byte, error) {
	e := r.e
	e.mu.Lock()
	defer e.mu.Unlock()
	var late <-chan time.Time
	if e.patience > 0 && len(e.in) < n {
		t := time.NewTimer(e.patience)
		defer t.Stop()
		late = t.C
	}
	for len(e.in) < n {
		if !e.active {
			return nil, netpoll.ErrConnClosed
		}
		came := e.came
		e.mu.Unlock()
		select {
		case <-came:
			e.mu.Lock()
		case <-late:
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
	if n > len(r.e.in) {
		return netpoll.ErrConnClosed
	}
	r.e.in = r.e.in[n:]
	r.e.skipped += n
	return nil
}

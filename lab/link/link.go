// Package link simulates the network between two parts of the system. Link is a TCP relay on the loopback interface;
// Memory is a network inside the process. Both delay data, drop one direction, cut or break connections, and record
// what passes in a Tap.
package link

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Direction is the direction of data on a connection: Up from the dialer to the server, Down from the server to the
// dialer.
type Direction int

const (
	Up Direction = iota
	Down
)

// Transfer is a piece of data that passed a link, or the end of a connection.
type Transfer struct {
	Link        string
	Conn        int // number of the connection, unique within the tap
	Direction   Direction
	ReceivedAt  time.Duration // when the link received the data, counted from the start of the tap
	ForwardedAt time.Duration // when the link delivered the data, counted from the start of the tap
	Data        []byte
	End         bool
}

// Tap records the transfers of the links of a run.
type Tap struct {
	mu        sync.Mutex
	start     time.Time
	connCount int
	transfers []Transfer
}

// NewTap makes an empty tap whose times count from start.
func NewTap(start time.Time) *Tap { return &Tap{start: start} }

func (t *Tap) record(p Transfer) {
	t.mu.Lock()
	t.transfers = append(t.transfers, p)
	t.mu.Unlock()
}

func (t *Tap) now() time.Duration { return time.Since(t.start) }

// Transfers returns the transfers so far, in order of delivery.
func (t *Tap) Transfers() []Transfer {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Transfer(nil), t.transfers...)
}

// Delay returns the delay of the next piece of data in one direction of a link. Pieces stay in order, whatever their
// delays.
type Delay func() time.Duration

// Link is a TCP relay to one address.
type Link struct {
	name     string
	target   string
	listener net.Listener
	tap      *Tap
	delays   [2]Delay
	dropping [2]atomic.Bool // data in this direction is dropped
	refuse   atomic.Bool    // new connections are closed at once
	mu       sync.Mutex
	relays   map[*relay]bool
	closed   bool
	running  sync.WaitGroup
}

// relay is one connection through a link.
type relay struct {
	sides [2]net.Conn // indexed by Direction: the dialer's side, the target's side
	once  sync.Once
}

func (r *relay) close() {
	r.once.Do(func() {
		r.sides[0].Close()
		if r.sides[1] != nil {
			r.sides[1].Close()
		}
	})
}

// Open starts a relay from a free loopback port to the target, with a delay for each direction.
func Open(name, target string, tap *Tap, up, down Delay) (*Link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{name: name, target: target, listener: listener, tap: tap, delays: [2]Delay{up, down}, relays: map[*relay]bool{}}
	l.running.Add(1)
	go l.accept()
	return l, nil
}

// Address returns the address to dial instead of the target.
func (l *Link) Address() string { return l.listener.Addr().String() }

func (l *Link) accept() {
	defer l.running.Done()
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		if l.refuse.Load() {
			c.Close()
			continue
		}
		l.running.Add(1)
		go func() {
			defer l.running.Done()
			l.relayConn(c)
		}()
	}
}

func (l *Link) relayConn(c net.Conn) {
	r := &relay{sides: [2]net.Conn{c, nil}}
	t, err := net.DialTimeout("tcp", l.target, time.Second)
	if err != nil {
		c.Close()
		return
	}
	r.sides[1] = t
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		r.close()
		return
	}
	l.relays[r] = true
	l.mu.Unlock()
	l.tap.mu.Lock()
	l.tap.connCount++
	id := l.tap.connCount
	l.tap.mu.Unlock()
	var both sync.WaitGroup
	both.Add(2)
	for d := range 2 {
		go func() {
			defer both.Done()
			l.forward(r, id, Direction(d))
		}()
	}
	both.Wait()
	l.mu.Lock()
	delete(l.relays, r)
	l.mu.Unlock()
	l.tap.record(Transfer{Link: l.name, Conn: id, ReceivedAt: l.tap.now(), ForwardedAt: l.tap.now(), End: true})
}

// piece is data on its way through a link.
type piece struct {
	data       []byte
	receivedAt time.Duration
	due        time.Time
}

// forward relays one direction until either side ends, then closes the connection. One goroutine reads; the caller
// writes each piece when it is due.
func (l *Link) forward(r *relay, id int, d Direction) {
	from, to := r.sides[d], r.sides[1-d]
	pieces := make(chan piece, 256)
	go func() {
		defer close(pieces)
		due := time.Time{}
		buf := make([]byte, 64<<10)
		for {
			n, err := from.Read(buf)
			if n > 0 && !l.dropping[d].Load() {
				now := time.Now()
				if ready := now.Add(l.delays[d]()); ready.After(due) {
					due = ready
				}
				pieces <- piece{append([]byte(nil), buf[:n]...), l.tap.now(), due}
			}
			if err != nil {
				return
			}
		}
	}()
	for p := range pieces {
		if wait := time.Until(p.due); wait > 0 {
			time.Sleep(wait)
		}
		if l.dropping[d].Load() {
			continue
		}
		if _, err := to.Write(p.data); err != nil {
			break
		}
		l.tap.record(Transfer{Link: l.name, Conn: id, Direction: d,
			ReceivedAt: p.receivedAt, ForwardedAt: l.tap.now(), Data: p.data})
	}
	r.close()
	for range pieces { // the reading goroutine ends once its side is closed
	}
}

// Break closes all connections; new ones are still accepted.
func (l *Link) Break() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for r := range l.relays {
		r.close()
	}
}

// Cut drops all data in both directions and refuses new connections until Heal. Open connections stay open, so that
// neither side is notified.
func (l *Link) Cut() {
	l.refuse.Store(true)
	l.dropping[Up].Store(true)
	l.dropping[Down].Store(true)
}

// DropDirection drops all data in one direction until Heal.
func (l *Link) DropDirection(d Direction) { l.dropping[d].Store(true) }

// Heal ends Cut and DropDirection, and breaks all connections if either was active, since data may be missing from
// them.
func (l *Link) Heal() {
	dropped := l.dropping[Up].Swap(false)
	dropped = l.dropping[Down].Swap(false) || dropped
	l.refuse.Store(false)
	if dropped {
		l.Break()
	}
}

// Close stops listening, closes all connections and waits for them to end.
func (l *Link) Close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.listener.Close()
	l.Break()
	l.running.Wait()
}

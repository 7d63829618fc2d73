// Package link is a loopback relay that stands for the way between two parts: it delays what passes, slows it, cuts it
// with or without a sign, loses one direction, and keeps what passed with its times. Open is the way in.
package link

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Direction is from the dialer (Up) or back to it (Down).
type Direction int

const (
	Up Direction = iota
	Down
)

// Transfer is a piece of a connection's bytes, or with none its end.
type Transfer struct {
	Link        string
	Conn        int // numbered within the tap
	Direction   Direction
	ReceivedAt  time.Duration // when the relay had it
	ForwardedAt time.Duration // when it was handed on
	Data        []byte
	End         bool
}

// Tap keeps what passes the links of a day.
type Tap struct {
	mu    sync.Mutex
	from  time.Time
	conns int
	list  []Transfer
}

// NewTap begins a tap; times count from the given one.
func NewTap(from time.Time) *Tap { return &Tap{from: from} }

func (t *Tap) keep(p Transfer) {
	t.mu.Lock()
	t.list = append(t.list, p)
	t.mu.Unlock()
}

func (t *Tap) now() time.Duration { return time.Since(t.from) }

// Transfers returns what passed, in the order in which it was handed on.
func (t *Tap) Transfers() []Transfer {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Transfer(nil), t.list...)
}

// Delay is how one direction of a link is: a delay drawn for each piece, kept in order.
type Delay func() time.Duration

// Link is a relay to one address.
type Link struct {
	name   string
	target string
	ln     net.Listener
	tap    *Tap
	ways   [2]Delay
	lost   [2]atomic.Bool // this direction swallows what comes
	refuse atomic.Bool    // no new connections
	mu     sync.Mutex
	open   map[*relay]bool
	closed bool
	done   sync.WaitGroup
}

// relay is one connection.
type relay struct {
	sides [2]net.Conn // the dialer's, the target's
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

// Open listens on a free loopback port and relays to the target.
func Open(name, target string, tap *Tap, up, down Delay) (*Link, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{name: name, target: target, ln: ln, tap: tap, ways: [2]Delay{up, down}, open: map[*relay]bool{}}
	l.done.Add(1)
	go l.accept()
	return l, nil
}

// Address is where the dialer finds it.
func (l *Link) Address() string { return l.ln.Addr().String() }

func (l *Link) accept() {
	defer l.done.Done()
	for {
		c, err := l.ln.Accept()
		if err != nil {
			return
		}
		if l.refuse.Load() {
			c.Close()
			continue
		}
		l.done.Add(1)
		go func() {
			defer l.done.Done()
			l.carry(c)
		}()
	}
}

func (l *Link) carry(c net.Conn) {
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
	l.open[r] = true
	l.mu.Unlock()
	l.tap.mu.Lock()
	l.tap.conns++
	id := l.tap.conns
	l.tap.mu.Unlock()
	var both sync.WaitGroup
	both.Add(2)
	for d := range 2 {
		go func() {
			defer both.Done()
			l.pump(r, id, Direction(d))
		}()
	}
	both.Wait()
	l.mu.Lock()
	delete(l.open, r)
	l.mu.Unlock()
	l.tap.keep(Transfer{Link: l.name, Conn: id, ReceivedAt: l.tap.now(), ForwardedAt: l.tap.now(), End: true})
}

// piece waits to be handed on.
type piece struct {
	data []byte
	came time.Duration
	due  time.Time
}

// pump carries one direction: one goroutine reads, this one writes when each piece is due.
func (l *Link) pump(r *relay, id int, d Direction) {
	from, to := r.sides[d], r.sides[1-d]
	pieces := make(chan piece, 256)
	go func() {
		defer close(pieces)
		due := time.Time{}
		buf := make([]byte, 64<<10)
		for {
			n, err := from.Read(buf)
			if n > 0 && !l.lost[d].Load() {
				now := time.Now()
				if at := now.Add(l.ways[d]()); at.After(due) {
					due = at
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
		if l.lost[d].Load() {
			continue
		}
		if _, err := to.Write(p.data); err != nil {
			break
		}
		l.tap.keep(Transfer{Link: l.name, Conn: id, Direction: d, ReceivedAt: p.came, ForwardedAt: l.tap.now(), Data: p.data})
	}
	r.close()
	for range pieces { // the reader ends with its side
	}
}

// Break closes all connections; new ones are taken.
func (l *Link) Break() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for r := range l.open {
		r.close()
	}
}

// Cut swallows everything both ways and refuses new connections, until Heal; nobody is told.
func (l *Link) Cut() {
	l.refuse.Store(true)
	l.lost[Up].Store(true)
	l.lost[Down].Store(true)
}

// DropDirection swallows one direction.
func (l *Link) DropDirection(d Direction) { l.lost[d].Store(true) }

// Heal ends Cut and Lose. Connections that lost bytes are broken.
func (l *Link) Heal() {
	broke := l.lost[Up].Swap(false)
	broke = l.lost[Down].Swap(false) || broke
	l.refuse.Store(false)
	if broke {
		l.Break()
	}
}

// Close ends it.
func (l *Link) Close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.ln.Close()
	l.Break()
	l.done.Wait()
}

package receiver

import (
	"bufio"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"sync"
	"time"
)

// Faults is how a receiver behaves; the zero value reads all as it comes.
type Faults struct {
	Refuse  bool          // closes each connection at once
	Stall   bool          // accepts, reads nothing
	PerByte time.Duration // for each byte that it reads
	CutAt   int           // resets a connection after so many bytes; 0: never
}

// Receiver is a running one.
type Receiver struct {
	mu      sync.Mutex
	trouble Faults
	got     []*Message
	bad     []error
	torn    int // frames that a connection ended in
	conns   map[net.Conn]bool
	changed chan struct{} // closed when the trouble changes
	ln      net.Listener
	packets net.PacketConn
	done    sync.WaitGroup
	closed  bool
}

// Listen receives on a network: udp, tcp, tls (with conf) or unixgram.
func Listen(network, address string, conf *tls.Config) (*Receiver, error) {
	r := &Receiver{conns: map[net.Conn]bool{}, changed: make(chan struct{})}
	var err error
	switch network {
	case "udp", "unixgram":
		if r.packets, err = net.ListenPacket(network, address); err != nil {
			return nil, err
		}
		r.done.Go(r.datagrams)
	case "tcp", "tls":
		if r.ln, err = net.Listen("tcp", address); err != nil {
			return nil, err
		}
		r.done.Go(func() { r.accept(conf) })
	default:
		return nil, fmt.Errorf("no network %q", network)
	}
	return r, nil
}

// Address is where it listens.
func (r *Receiver) Address() string {
	if r.packets != nil {
		return r.packets.LocalAddr().String()
	}
	return r.ln.Addr().String()
}

// SetFaults changes how it behaves, from now on and on connections that are open.
func (r *Receiver) SetFaults(t Faults) {
	r.mu.Lock()
	r.trouble = t
	close(r.changed)
	r.changed = make(chan struct{})
	r.mu.Unlock()
}

// ResetConnections resets all connections.
func (r *Receiver) ResetConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		reset(c)
	}
}

func reset(c net.Conn) {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	c.Close()
}

// Got returns the messages so far, in order, what could not be read, and how many frames were torn.
func (r *Receiver) Got() (got []*Message, bad []error, torn int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*Message(nil), r.got...), append([]error(nil), r.bad...), r.torn
}

// Close ends it.
func (r *Receiver) Close() {
	r.mu.Lock()
	if r.closed {
		r.mu.Unlock()
		return
	}
	r.closed = true
	close(r.changed)
	for c := range r.conns {
		c.Close()
	}
	r.mu.Unlock()
	if r.ln != nil {
		r.ln.Close()
	} else {
		r.packets.Close()
	}
	r.done.Wait()
}

func (r *Receiver) take(text string) {
	m, err := Parse(text)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.bad = append(r.bad, fmt.Errorf("%.200q: %w", text, err))
		return
	}
	r.got = append(r.got, m)
}

func (r *Receiver) datagrams() {
	b := make([]byte, 1<<16)
	for {
		n, _, err := r.packets.ReadFrom(b)
		if err != nil {
			return
		}
		r.take(string(b[:n]))
	}
}

func (r *Receiver) accept(conf *tls.Config) {
	for {
		c, err := r.ln.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		if r.closed || r.trouble.Refuse {
			r.mu.Unlock()
			reset(c)
			continue
		}
		if conf != nil {
			c = tls.Server(c, conf)
		}
		r.conns[c] = true
		r.mu.Unlock()
		r.done.Go(func() {
			r.frames(c)
			r.mu.Lock()
			delete(r.conns, c)
			r.mu.Unlock()
			c.Close()
		})
	}
}

// troubled reads as the receiver's trouble has it.
type troubled struct {
	r    *Receiver
	c    net.Conn
	read int
}

func (t *troubled) Read(b []byte) (int, error) {
	for {
		t.r.mu.Lock()
		x, changed, closed := t.r.trouble, t.r.changed, t.r.closed
		t.r.mu.Unlock()
		switch {
		case closed:
			return 0, io.ErrUnexpectedEOF
		case x.Stall:
			<-changed
			continue
		case x.PerByte > 0:
			select {
			case <-time.After(x.PerByte):
			case <-changed:
			}
			b = b[:1]
		case x.CutAt > 0 && t.read >= x.CutAt:
			reset(t.c)
			return 0, errors.New("cut")
		case x.CutAt > 0:
			b = b[:min(len(b), x.CutAt-t.read)]
		}
		n, err := t.c.Read(b)
		t.read += n
		return n, err
	}
}

// mostFrame bounds what a frame may say of its length.
const mostFrame = 1 << 20

// frames reads a stream whose frames count their octets, RFC 6587, 3.4.1 and RFC 5425, 4.3.
func (r *Receiver) frames(c net.Conn) {
	in := bufio.NewReaderSize(&troubled{r: r, c: c}, 4096)
	tear := func() {
		r.mu.Lock()
		r.torn++
		r.mu.Unlock()
	}
	for {
		count, err := in.ReadString(' ')
		if err != nil {
			if count != "" {
				tear()
			}
			return
		}
		n, err := strconv.Atoi(count[:len(count)-1])
		if err != nil || n < 1 || n > mostFrame || count[0] == '0' || count[0] == '+' {
			r.mu.Lock()
			r.bad = append(r.bad, fmt.Errorf("%.40q counts no octets", count))
			r.mu.Unlock()
			return
		}
		text := make([]byte, n)
		if _, err := io.ReadFull(in, text); err != nil {
			tear()
			return
		}
		r.take(string(text))
	}
}

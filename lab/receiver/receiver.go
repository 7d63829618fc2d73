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

// Faults are the injected faults of a receiver; with the zero value it reads everything as it arrives.
type Faults struct {
	Refuse     bool          // connections are reset as soon as they are accepted
	Stall      bool          // connections are accepted and not read
	ByteDelay  time.Duration // delay of each byte that is read
	ResetAfter int           // bytes after which a connection is reset; 0: none
}

// Receiver is a running syslog receiver.
type Receiver struct {
	mu        sync.Mutex
	faults    Faults
	received  []*Message
	malformed []error
	truncated int // frames cut off by the end of their connection
	conns     map[net.Conn]bool
	changed   chan struct{} // closed and replaced when the faults change
	listener  net.Listener
	packets   net.PacketConn
	running   sync.WaitGroup
	closed    bool
}

// Listen starts a receiver on a network: udp, tcp, tls (with conf) or unixgram.
func Listen(network, address string, conf *tls.Config) (*Receiver, error) {
	r := &Receiver{conns: map[net.Conn]bool{}, changed: make(chan struct{})}
	var err error
	switch network {
	case "udp", "unixgram":
		if r.packets, err = net.ListenPacket(network, address); err != nil {
			return nil, err
		}
		r.running.Go(r.readDatagrams)
	case "tcp", "tls":
		if r.listener, err = net.Listen("tcp", address); err != nil {
			return nil, err
		}
		r.running.Go(func() { r.accept(conf) })
	default:
		return nil, fmt.Errorf("unknown network %q", network)
	}
	return r, nil
}

// Address returns the address it listens on.
func (r *Receiver) Address() string {
	if r.packets != nil {
		return r.packets.LocalAddr().String()
	}
	return r.listener.Addr().String()
}

// SetFaults changes the faults, also for open connections.
func (r *Receiver) SetFaults(t Faults) {
	r.mu.Lock()
	r.faults = t
	close(r.changed)
	r.changed = make(chan struct{})
	r.mu.Unlock()
}

// ResetConnections resets all open connections.
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

// Received returns the messages so far in order of arrival, the errors of those that could not be parsed, and the
// number of truncated frames.
func (r *Receiver) Received() (received []*Message, malformed []error, truncated int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*Message(nil), r.received...), append([]error(nil), r.malformed...), r.truncated
}

// Close stops listening, closes all connections and waits for their goroutines.
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
	if r.listener != nil {
		r.listener.Close()
	} else {
		r.packets.Close()
	}
	r.running.Wait()
}

func (r *Receiver) record(text string) {
	m, err := Parse(text)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.malformed = append(r.malformed, fmt.Errorf("%.200q: %w", text, err))
		return
	}
	r.received = append(r.received, m)
}

func (r *Receiver) readDatagrams() {
	b := make([]byte, 1<<16)
	for {
		n, _, err := r.packets.ReadFrom(b)
		if err != nil {
			return
		}
		r.record(string(b[:n]))
	}
}

func (r *Receiver) accept(conf *tls.Config) {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		if r.closed || r.faults.Refuse {
			r.mu.Unlock()
			reset(c)
			continue
		}
		if conf != nil {
			c = tls.Server(c, conf)
		}
		r.conns[c] = true
		r.mu.Unlock()
		r.running.Go(func() {
			r.readFrames(c)
			r.mu.Lock()
			delete(r.conns, c)
			r.mu.Unlock()
			c.Close()
		})
	}
}

// faultyReader reads from a connection under the faults of the receiver.
type faultyReader struct {
	r    *Receiver
	c    net.Conn
	read int
}

func (t *faultyReader) Read(b []byte) (int, error) {
	for {
		t.r.mu.Lock()
		faults, changed, closed := t.r.faults, t.r.changed, t.r.closed
		t.r.mu.Unlock()
		switch {
		case closed:
			return 0, io.ErrUnexpectedEOF
		case faults.Stall:
			<-changed
			continue
		case faults.ByteDelay > 0:
			select {
			case <-time.After(faults.ByteDelay):
			case <-changed:
			}
			b = b[:1]
		case faults.ResetAfter > 0 && t.read >= faults.ResetAfter:
			reset(t.c)
			return 0, errors.New("connection reset after ResetAfter bytes")
		case faults.ResetAfter > 0:
			b = b[:min(len(b), faults.ResetAfter-t.read)]
		}
		n, err := t.c.Read(b)
		t.read += n
		return n, err
	}
}

// maxFrameBytes limits the length that a frame may declare.
const maxFrameBytes = 1 << 20

// readFrames reads octet-counted frames from a connection, RFC 6587, 3.4.1 and RFC 5425, 4.3.
func (r *Receiver) readFrames(c net.Conn) {
	in := bufio.NewReaderSize(&faultyReader{r: r, c: c}, 4096)
	recordTruncated := func() {
		r.mu.Lock()
		r.truncated++
		r.mu.Unlock()
	}
	for {
		count, err := in.ReadString(' ')
		if err != nil {
			if count != "" {
				recordTruncated()
			}
			return
		}
		n, err := strconv.Atoi(count[:len(count)-1])
		if err != nil || n < 1 || n > maxFrameBytes || count[0] == '0' || count[0] == '+' {
			r.mu.Lock()
			r.malformed = append(r.malformed, fmt.Errorf("invalid octet count %.40q", count))
			r.mu.Unlock()
			return
		}
		text := make([]byte, n)
		if _, err := io.ReadFull(in, text); err != nil {
			recordTruncated()
			return
		}
		r.record(string(text))
	}
}

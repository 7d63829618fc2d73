package syslog

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Config is where records go and what may wait on the way.
type Config struct {
	Network    string // udp (RFC 5426), tcp (RFC 6587, octets counted), tls (RFC 5425), unixgram, or file: a line each
	Address    string
	Buffer     int    // records in memory; 0: 4096
	Spool      string // a directory for those that memory has no room for; empty: none
	SpoolAt    int64  // bytes in it at most; 0: 64 MiB
	Longest    int    // bytes of a message; 0: 1400 over udp and unixgram, else 8192
	CA         string // PEM files, for tls; read anew for each connection
	Cert       string
	Key        string
	ServerName string        // the receiver's in its certificate; empty: the address's host
	Patient    time.Duration // how long a write may take; 0: 5 s
}

// Bounds of the queue and the way back to a receiver.
const (
	usualBuffer  = 4096
	bufferBytes  = 1024 // for each record of the buffer
	usualSpool   = 64 << 20
	datagram     = 1400
	frame        = 8192
	usualPatient = 5 * time.Second
	redialLeast  = 100 * time.Millisecond
	redialMost   = 10 * time.Second
	noticeEvery  = time.Second // a quiet connection is looked at so often
)

// Counts are what became of all records so far. Made and Restored together are the sum of the others.
type Counts struct {
	Logged     uint64 // by this process
	Restored   uint64 // found in the spool at its start
	Sent       uint64
	Dropped    [Debug + 1]uint64 // by severity
	Suppressed uint64            // more of a kind than its rate allows
	Spooled    uint64            // on disk now
	Waiting    uint64            // in memory now
	Torn       uint64            // in the spool, and not to be read
	Connects   uint64
	Failures   uint64
}

// Sender carries records to a receiver. Whoever logs only puts them into a bounded queue.
type Sender struct {
	route    Config
	log      *slog.Logger // of its own troubles; never itself
	queue    *queue
	spool    *spool
	restored uint64
	sent     atomic.Uint64
	suppress atomic.Uint64
	connects atomic.Uint64
	failures atomic.Uint64
	inHand   atomic.Int64
	head     sync.Mutex // held while records move from the queue to the spool or out
	rng      *rand.Rand
	conn     io.WriteCloser // the writer's own
	gone     chan struct{}
	material string // of the connection's certificates
	told     [Debug + 1]uint64
	announce func(dropped [Debug + 1]uint64, torn uint64)
	toldTorn uint64
	stop     context.CancelFunc
	stopped  chan struct{}
	ending   sync.Once
}

// Start opens the spool, if there is one, and begins. seed is of the waits between dials; announce, which may be nil, is
// told once records flow again after some were lost since it was last told.
func Start(r Config, log *slog.Logger, seed uint64, announce func(dropped [Debug + 1]uint64, torn uint64)) (*Sender, error) {
	switch r.Network {
	case "udp", "tcp", "tls", "unixgram", "file":
	default:
		return nil, fmt.Errorf("syslog: network %q is none of udp, tcp, tls, unixgram, file", r.Network)
	}
	if r.Buffer <= 0 {
		r.Buffer = usualBuffer
	}
	if r.SpoolAt <= 0 {
		r.SpoolAt = usualSpool
	}
	if r.Patient <= 0 {
		r.Patient = usualPatient
	}
	if r.Longest <= 0 {
		if r.Longest = frame; r.datagrams() {
			r.Longest = datagram
		}
	}
	s := &Sender{route: r, log: log, queue: newQueue(r.Buffer, r.Buffer*bufferBytes), rng: rand.New(rand.NewPCG(seed, 11)),
		announce: announce, stopped: make(chan struct{})}
	if r.Network == "tls" {
		if _, _, err := r.credentials(); err != nil {
			return nil, err
		}
	}
	if r.Spool != "" {
		var err error
		if s.spool, err = openSpool(r.Spool, r.SpoolAt); err != nil {
			return nil, fmt.Errorf("syslog: the spool: %w", err)
		}
		s.restored = s.spool.held()
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	go s.run(ctx)
	return s, nil
}

func (r *Config) datagrams() bool { return r.Network == "udp" || r.Network == "unixgram" }

// framed tells whether octets are counted before each message.
func (r *Config) framed() bool { return r.Network == "tcp" || r.Network == "tls" }

// Longest is how many bytes a message may have.
func (s *Sender) Longest() int { return s.route.Longest }

// Put takes a message in; it never waits. The text is the sender's from then on.
func (s *Sender) Put(severity Severity, text []byte) { s.queue.put(min(severity, Debug), text) }

// Suppress counts a record that was made and kept back.
func (s *Sender) Suppress() { s.suppress.Add(1) }

// Counts returns what became of all records.
func (s *Sender) Counts() Counts {
	s.head.Lock()
	defer s.head.Unlock()
	c := Counts{Restored: s.restored, Suppressed: s.suppress.Load(), Connects: s.connects.Load(), Failures: s.failures.Load()}
	s.queue.mu.Lock()
	c.Logged, c.Dropped, c.Waiting = s.queue.made+c.Suppressed, s.queue.dropped, uint64(s.queue.count)+uint64(s.inHand.Load())
	c.Sent = s.sent.Load()
	s.queue.mu.Unlock()
	if s.spool != nil {
		c.Spooled = s.spool.held()
		c.Torn = s.spool.lost()
	}
	return c
}

// Close stops within a patience: what can be sent is, the rest is spooled, or dropped and counted.
func (s *Sender) Close() {
	s.ending.Do(func() {
		for end := time.Now().Add(s.route.Patient); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			if c := s.Counts(); c.Waiting == 0 {
				break
			}
		}
		s.stop()
		<-s.stopped
		for {
			r, ok := s.queue.take()
			if !ok {
				break
			}
			if s.spool == nil || s.spool.put(r) != nil {
				s.queue.drop(r.severity)
			}
		}
		if s.spool != nil {
			s.spool.close()
		}
	})
}

// run is the writer, with the spiller beside it.
func (s *Sender) run(ctx context.Context) {
	defer close(s.stopped)
	var spilling sync.WaitGroup
	defer spilling.Wait()
	if s.spool != nil {
		spilling.Go(func() { s.spill(ctx) })
	}
	wait := redialLeast
	for ctx.Err() == nil {
		if err := s.connect(ctx); err != nil {
			s.failures.Add(1)
			s.log.Debug("syslog receiver not reached", "address", s.route.Address, "error", err)
			wait = s.rest(ctx, wait)
			continue
		}
		begun := s.sent.Load()
		err := s.carry(ctx)
		s.conn.Close()
		if s.conn = nil; ctx.Err() != nil {
			return
		}
		s.failures.Add(1)
		s.log.Debug("syslog connection ended", "address", s.route.Address, "error", err)
		if s.sent.Load() > begun {
			wait = redialLeast
		}
		wait = s.rest(ctx, wait)
	}
}

// rest waits, half to one and a half times as long, and returns the next wait.
func (s *Sender) rest(ctx context.Context, wait time.Duration) time.Duration {
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(float64(wait) * (0.5 + s.rng.Float64()))):
	}
	return min(2*wait, redialMost)
}

// connect dials.
func (s *Sender) connect(ctx context.Context) error {
	network := s.route.Network
	if network == "file" {
		f, err := os.OpenFile(s.route.Address, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o640)
		if err != nil {
			return err
		}
		s.conn = f
		s.connects.Add(1)
		return nil
	}
	if network == "tls" {
		network = "tcp"
	}
	d := net.Dialer{Timeout: s.route.Patient}
	c, err := d.DialContext(ctx, network, s.route.Address)
	if err != nil {
		return err
	}
	if s.route.Network == "tls" {
		conf, material, err := s.route.credentials()
		if err != nil {
			c.Close()
			return err
		}
		t := tls.Client(c, conf)
		_ = c.SetDeadline(time.Now().Add(s.route.Patient))
		if err := t.HandshakeContext(ctx); err != nil {
			c.Close()
			return err
		}
		_ = c.SetDeadline(time.Time{})
		c, s.material = t, material
	}
	s.conn = c
	s.gone = make(chan struct{})
	if s.route.framed() { // a receiver says nothing; when its side ends, that is seen at once and not with the next write
		go func(c net.Conn, gone chan struct{}) {
			defer close(gone)
			b := make([]byte, 64)
			for {
				if _, err := c.Read(b); err != nil {
					return
				}
			}
		}(c, s.gone)
	}
	s.connects.Add(1)
	return nil
}

// credentials reads the files anew; material tells one reading from another.
func (r *Config) credentials() (*tls.Config, string, error) {
	conf := &tls.Config{ServerName: r.ServerName, MinVersion: tls.VersionTLS12}
	if conf.ServerName == "" {
		conf.ServerName, _, _ = net.SplitHostPort(r.Address)
	}
	material := ""
	if r.CA != "" {
		pem, err := os.ReadFile(r.CA)
		if err != nil {
			return nil, "", fmt.Errorf("syslog: %w", err)
		}
		conf.RootCAs = x509.NewCertPool()
		if !conf.RootCAs.AppendCertsFromPEM(pem) {
			return nil, "", fmt.Errorf("syslog: %s holds no certificate", r.CA)
		}
		material += string(pem)
	}
	if r.Cert != "" {
		pair, err := tls.LoadX509KeyPair(r.Cert, r.Key)
		if err != nil {
			return nil, "", fmt.Errorf("syslog: %s, %s: %w", r.Cert, r.Key, err)
		}
		conf.Certificates = []tls.Certificate{pair}
		for _, der := range pair.Certificate {
			material += string(der)
		}
	}
	return conf, material, nil
}

// renewed tells whether the files hold other certificates now, or the log's file is another; ones that cannot be read leave
// the connection as it is.
func (s *Sender) renewed() bool {
	if f, ok := s.conn.(*os.File); ok {
		open, err := f.Stat()
		there, err2 := os.Stat(s.route.Address)
		return err == nil && (err2 != nil || !os.SameFile(open, there))
	}
	if s.route.Network != "tls" {
		return false
	}
	_, material, err := s.route.credentials()
	return err == nil && material != s.material
}

var errRenewed = errors.New("the certificates or the file are others now")

// carry sends records until the connection breaks.
func (s *Sender) carry(ctx context.Context) error {
	look := time.NewTicker(noticeEvery)
	defer look.Stop()
	var closed <-chan struct{}
	if s.route.framed() {
		closed = s.gone
	}
	var b []byte
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-closed:
			return errors.New("the receiver closed")
		case <-look.C:
			if s.renewed() {
				return errRenewed
			}
		default:
		}
		r, spooled, ok := s.first()
		if !ok {
			s.tellLoss()
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-closed:
				return errors.New("the receiver closed")
			case <-look.C:
				if s.renewed() {
					return errRenewed
				}
			case <-s.queue.wake:
			}
			continue
		}
		b = b[:0]
		if s.route.framed() {
			b = append(strconv.AppendInt(b, int64(len(r.text)), 10), ' ')
		}
		if b = append(b, r.text...); s.route.Network == "file" {
			b = append(b, '\n')
		}
		if c, ok := s.conn.(net.Conn); ok {
			_ = c.SetWriteDeadline(time.Now().Add(s.route.Patient))
		}
		_, err := s.conn.Write(b)
		s.done(r, spooled, err == nil)
		if err != nil {
			return err
		}
	}
}

// first returns the oldest record there is.
func (s *Sender) first() (r record, spooled, ok bool) {
	s.head.Lock()
	defer s.head.Unlock()
	if s.spool != nil {
		if r, ok := s.spool.peek(); ok {
			return r, true, true
		}
	}
	if r, ok = s.queue.take(); ok {
		s.inHand.Store(1)
	}
	return r, false, ok
}

// done books what came of a record.
func (s *Sender) done(r record, spooled, sent bool) {
	s.head.Lock()
	defer s.head.Unlock()
	s.inHand.Store(0)
	switch {
	case sent && spooled:
		s.spool.advance()
	case !sent && !spooled:
		s.queue.back(r)
	}
	if sent {
		s.sent.Add(1)
	}
}

// tellLoss has what was lost announced, now that records flow.
func (s *Sender) tellLoss() {
	lost, torn := s.queue.lost(), uint64(0)
	if s.spool != nil {
		torn = s.spool.lost()
	}
	if lost == s.told && torn == s.toldTorn || s.announce == nil {
		return
	}
	since := lost
	for i := range since {
		since[i] -= s.told[i]
	}
	news := torn - s.toldTorn
	s.told, s.toldTorn = lost, torn
	s.announce(since, news)
}

// spill moves records to the spool while memory runs full.
func (s *Sender) spill(ctx context.Context) {
	t := time.NewTicker(10 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		for n := 0; s.queue.full() && n < s.route.Buffer && ctx.Err() == nil; n++ {
			if !s.spillOne() {
				break
			}
		}
	}
}

// spillOne moves the oldest. One that is being sent meanwhile, and fails, goes back to memory and is sent after what was
// spilt: out of order, which is better than lost.
func (s *Sender) spillOne() bool {
	s.head.Lock()
	defer s.head.Unlock()
	r, ok := s.queue.take()
	if !ok {
		return false
	}
	if s.spool.put(r) != nil {
		s.queue.back(r)
		return false
	}
	return true
}

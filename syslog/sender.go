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

// Config describes the receiver of log records and the limits of what may wait to be sent.
type Config struct {
	Network         string // udp (RFC 5426), tcp (RFC 6587, octet counting), tls (RFC 5425), unixgram, or file (one line per record)
	Address         string
	Buffer          int    // maximum number of records in memory; 0: 4096
	Spool           string // directory for records that do not fit in memory; empty: no spool
	SpoolBytes      int64  // maximum size of the spool; 0: 64 MiB
	MaxMessageBytes int    // maximum message size; 0: 1400 for udp and unixgram, otherwise 8192
	CA              string // PEM file of trusted certificates for tls; read again for each connection, like Cert and Key
	Cert            string
	Key             string
	ServerName      string        // name expected in the receiver's certificate; empty: the host of Address
	Timeout         time.Duration // limit for a dial, for a TLS handshake, for one write and for flushing in Close; 0: 5 s
}

// Defaults and limits of the queue, of message sizes and of reconnecting.
const (
	defaultBuffer          = 4096
	bufferBytesPerRecord   = 1024 // memory limit of the queue, per record of the buffer
	defaultSpoolBytes      = 64 << 20
	maxDatagramBytes       = 1400
	maxFrameBytes          = 8192
	defaultTimeout         = 5 * time.Second
	minBackoff             = 100 * time.Millisecond
	maxBackoff             = 10 * time.Second
	reconnectCheckInterval = time.Second // interval of checks whether an open connection must be replaced
)

// Counts are the totals of all records so far. Logged and Restored together equal the sum of Sent, Dropped, Suppressed,
// Spooled, Waiting and Corrupt.
type Counts struct {
	Logged     uint64 // records logged by this process, suppressed ones included
	Restored   uint64 // records found in the spool at the start
	Sent       uint64
	Dropped    [Debug + 1]uint64 // records dropped for lack of space, by severity
	Suppressed uint64            // records withheld because their kind exceeded its rate
	Spooled    uint64            // records on disk now
	Waiting    uint64            // records in memory now
	Corrupt    uint64            // spooled records that could not be read
	Connects   uint64            // connections opened
	Failures   uint64            // dials that failed and connections that broke
}

// Sender delivers records to a receiver in the background. Code that logs only adds records to a bounded queue and
// never waits.
type Sender struct {
	config           Config
	log              *slog.Logger // for connection errors; its handler must not use this Sender
	queue            *queue
	spool            *spool
	restored         uint64
	sent             atomic.Uint64
	suppressed       atomic.Uint64
	connects         atomic.Uint64
	failures         atomic.Uint64
	inFlight         atomic.Int64
	recordMu         sync.Mutex // guards the move of a record from the queue to the spool or to the connection
	rng              *rand.Rand
	conn             io.WriteCloser // used by the send goroutine only
	peerClosed       chan struct{}
	certData         string // certificate data of the open TLS connection, to detect replaced files
	announcedDrops   [Debug + 1]uint64
	announce         func(dropped [Debug + 1]uint64, corrupt uint64)
	announcedCorrupt uint64
	stop             context.CancelFunc
	stopped          chan struct{}
	closeOnce        sync.Once
}

// Start opens the spool, if one is configured, and starts sending in the background. The seed is for the random part of
// the backoff between dials. If records were lost, announce is called with the losses since its last call, once the
// queue has been sent; it may be nil. Start fails if the network is unknown or the spool or the TLS files cannot be
// read.
func Start(r Config, log *slog.Logger, seed uint64, announce func(dropped [Debug + 1]uint64, corrupt uint64)) (*Sender, error) {
	switch r.Network {
	case "udp", "tcp", "tls", "unixgram", "file":
	default:
		return nil, fmt.Errorf("syslog: network %q is not one of udp, tcp, tls, unixgram, file", r.Network)
	}
	if r.Buffer <= 0 {
		r.Buffer = defaultBuffer
	}
	if r.SpoolBytes <= 0 {
		r.SpoolBytes = defaultSpoolBytes
	}
	if r.Timeout <= 0 {
		r.Timeout = defaultTimeout
	}
	if r.MaxMessageBytes <= 0 {
		if r.MaxMessageBytes = maxFrameBytes; r.datagrams() {
			r.MaxMessageBytes = maxDatagramBytes
		}
	}
	s := &Sender{config: r, log: log, queue: newQueue(r.Buffer, r.Buffer*bufferBytesPerRecord), rng: rand.New(rand.NewPCG(seed, 11)),
		announce: announce, stopped: make(chan struct{})}
	if r.Network == "tls" {
		if _, _, err := r.credentials(); err != nil {
			return nil, err
		}
	}
	if r.Spool != "" {
		var err error
		if s.spool, err = openSpool(r.Spool, r.SpoolBytes); err != nil {
			return nil, fmt.Errorf("syslog: cannot open the spool: %w", err)
		}
		s.restored = s.spool.pending()
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	go s.run(ctx)
	return s, nil
}

func (r *Config) datagrams() bool { return r.Network == "udp" || r.Network == "unixgram" }

// framed reports whether each message is preceded by its length in octets.
func (r *Config) framed() bool { return r.Network == "tcp" || r.Network == "tls" }

// MaxMessageBytes returns the maximum size of a message, in bytes.
func (s *Sender) MaxMessageBytes() int { return s.config.MaxMessageBytes }

// Enqueue adds a formatted message to the queue; it never blocks. The Sender owns the text afterwards.
func (s *Sender) Enqueue(severity Severity, text []byte) { s.queue.put(min(severity, Debug), text) }

// CountSuppressed counts a record that was logged but withheld by a rate limit.
func (s *Sender) CountSuppressed() { s.suppressed.Add(1) }

// Counts returns the totals of all records so far.
func (s *Sender) Counts() Counts {
	s.recordMu.Lock()
	defer s.recordMu.Unlock()
	c := Counts{Restored: s.restored, Suppressed: s.suppressed.Load(), Connects: s.connects.Load(), Failures: s.failures.Load()}
	s.queue.mu.Lock()
	c.Logged, c.Dropped, c.Waiting = s.queue.logged+c.Suppressed, s.queue.dropped, uint64(s.queue.count)+uint64(s.inFlight.Load())
	c.Sent = s.sent.Load()
	s.queue.mu.Unlock()
	if s.spool != nil {
		c.Spooled = s.spool.pending()
		c.Corrupt = s.spool.corruptRecords()
	}
	return c
}

// Close sends what it can within the configured timeout, then stops. Remaining records go to the spool, or are dropped
// and counted.
func (s *Sender) Close() { s.CloseBy(time.Now().Add(s.config.Timeout)) }

// CloseBy is Close with another end of the time for sending.
func (s *Sender) CloseBy(end time.Time) {
	s.closeOnce.Do(func() {
		for ; time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			if c := s.Counts(); c.Waiting == 0 {
				break
			}
		}
		s.stop()
		<-s.stopped
		for {
			r, ok := s.queue.takeOldest()
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

// run connects and sends until the context ends; a second goroutine moves records to the spool.
func (s *Sender) run(ctx context.Context) {
	defer close(s.stopped)
	var spillers sync.WaitGroup
	defer spillers.Wait()
	if s.spool != nil {
		spillers.Go(func() { s.spillLoop(ctx) })
	}
	wait := minBackoff
	for ctx.Err() == nil {
		if err := s.connect(ctx); err != nil {
			s.failures.Add(1)
			s.log.Debug("cannot connect to the syslog receiver", "address", s.config.Address, "error", err)
			wait = s.backoff(ctx, wait)
			continue
		}
		sentBefore := s.sent.Load()
		stopInterrupting := s.interruptWrites(ctx)
		err := s.sendLoop(ctx)
		stopInterrupting()
		s.conn.Close()
		if s.conn = nil; ctx.Err() != nil {
			return
		}
		s.failures.Add(1)
		s.log.Debug("lost the connection to the syslog receiver", "address", s.config.Address, "error", err)
		if s.sent.Load() > sentBefore {
			wait = minBackoff
		}
		wait = s.backoff(ctx, wait)
	}
}

// interruptWrites ends a write that is in progress when the context ends. The function that it returns ends that.
func (s *Sender) interruptWrites(ctx context.Context) (stop func() bool) {
	c, ok := s.conn.(net.Conn)
	if !ok {
		return func() bool { return true }
	}
	return context.AfterFunc(ctx, func() { _ = c.SetWriteDeadline(time.Now()) })
}

// backoff waits for 0.5 to 1.5 times the given time and returns the next time to wait, doubled up to maxBackoff.
func (s *Sender) backoff(ctx context.Context, wait time.Duration) time.Duration {
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(float64(wait) * (0.5 + s.rng.Float64()))):
	}
	return min(2*wait, maxBackoff)
}

// connect opens the connection, or the file.
func (s *Sender) connect(ctx context.Context) error {
	network := s.config.Network
	if network == "file" {
		f, err := os.OpenFile(s.config.Address, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o640)
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
	d := net.Dialer{Timeout: s.config.Timeout}
	c, err := d.DialContext(ctx, network, s.config.Address)
	if err != nil {
		return err
	}
	if s.config.Network == "tls" {
		conf, certData, err := s.config.credentials()
		if err != nil {
			c.Close()
			return err
		}
		t := tls.Client(c, conf)
		_ = c.SetDeadline(time.Now().Add(s.config.Timeout))
		if err := t.HandshakeContext(ctx); err != nil {
			c.Close()
			return err
		}
		_ = c.SetDeadline(time.Time{})
		c, s.certData = t, certData
	}
	s.conn = c
	s.peerClosed = make(chan struct{})
	if s.config.framed() { // receivers send no data: a read returns once they close
		go func(c net.Conn, peerClosed chan struct{}) {
			defer close(peerClosed)
			b := make([]byte, 64)
			for {
				if _, err := c.Read(b); err != nil {
					return
				}
			}
		}(c, s.peerClosed)
	}
	s.connects.Add(1)
	return nil
}

// credentials reads the TLS files; the returned string is the certificate data, to compare two readings.
func (r *Config) credentials() (*tls.Config, string, error) {
	conf := &tls.Config{ServerName: r.ServerName, MinVersion: tls.VersionTLS12}
	if conf.ServerName == "" {
		conf.ServerName, _, _ = net.SplitHostPort(r.Address)
	}
	certData := ""
	if r.CA != "" {
		pem, err := os.ReadFile(r.CA)
		if err != nil {
			return nil, "", fmt.Errorf("syslog: cannot read the trusted certificates: %w", err)
		}
		conf.RootCAs = x509.NewCertPool()
		if !conf.RootCAs.AppendCertsFromPEM(pem) {
			return nil, "", fmt.Errorf("syslog: %s contains no certificate", r.CA)
		}
		certData += string(pem)
	}
	if r.Cert != "" {
		pair, err := tls.LoadX509KeyPair(r.Cert, r.Key)
		if err != nil {
			return nil, "", fmt.Errorf("syslog: cannot load the key pair %s, %s: %w", r.Cert, r.Key, err)
		}
		conf.Certificates = []tls.Certificate{pair}
		for _, der := range pair.Certificate {
			certData += string(der)
		}
	}
	return conf, certData, nil
}

// needsReconnect reports whether the certificate files have changed, or the log file has been replaced. Certificate
// files that cannot be read leave the connection as it is.
func (s *Sender) needsReconnect() bool {
	if f, ok := s.conn.(*os.File); ok {
		open, err := f.Stat()
		there, err2 := os.Stat(s.config.Address)
		return err == nil && (err2 != nil || !os.SameFile(open, there))
	}
	if s.config.Network != "tls" {
		return false
	}
	_, certData, err := s.config.credentials()
	return err == nil && certData != s.certData
}

var errReconnect = errors.New("the certificate files or the log file were replaced")

// sendLoop sends records until the connection breaks or must be replaced.
func (s *Sender) sendLoop(ctx context.Context) error {
	reconnectCheck := time.NewTicker(reconnectCheckInterval)
	defer reconnectCheck.Stop()
	var closed <-chan struct{}
	if s.config.framed() {
		closed = s.peerClosed
	}
	var b []byte
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-closed:
			return errors.New("the receiver closed the connection")
		case <-reconnectCheck.C:
			if s.needsReconnect() {
				return errReconnect
			}
		default:
		}
		r, spooled, ok := s.nextRecord()
		if !ok {
			s.announceLoss()
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-closed:
				return errors.New("the receiver closed the connection")
			case <-reconnectCheck.C:
				if s.needsReconnect() {
					return errReconnect
				}
			case <-s.queue.wake:
			}
			continue
		}
		b = b[:0]
		if s.config.framed() {
			b = append(strconv.AppendInt(b, int64(len(r.text)), 10), ' ')
		}
		if b = append(b, r.text...); s.config.Network == "file" {
			b = append(b, '\n')
		}
		if c, ok := s.conn.(net.Conn); ok {
			_ = c.SetWriteDeadline(time.Now().Add(s.config.Timeout))
		}
		err := ctx.Err() // after the deadline was set, which interruptWrites may have set before
		if err == nil {
			_, err = s.conn.Write(b)
		}
		s.finish(r, spooled, err == nil)
		if err != nil {
			return err
		}
	}
}

// nextRecord returns the oldest record, from the spool if it has any, otherwise from the queue.
func (s *Sender) nextRecord() (r record, spooled, ok bool) {
	s.recordMu.Lock()
	defer s.recordMu.Unlock()
	if s.spool != nil {
		if r, ok := s.spool.peek(); ok {
			return r, true, true
		}
	}
	if r, ok = s.queue.takeOldest(); ok {
		s.inFlight.Store(1)
	}
	return r, false, ok
}

// finish removes a sent record from the spool, returns an unsent one to the queue, and updates the counts.
func (s *Sender) finish(r record, spooled, sent bool) {
	s.recordMu.Lock()
	defer s.recordMu.Unlock()
	s.inFlight.Store(0)
	switch {
	case sent && spooled:
		s.spool.advance()
	case !sent && !spooled:
		s.queue.requeue(r)
	}
	if sent {
		s.sent.Add(1)
	}
}

// announceLoss reports newly lost records through announce.
func (s *Sender) announceLoss() {
	drops, corrupt := s.queue.droppedBySeverity(), uint64(0)
	if s.spool != nil {
		corrupt = s.spool.corruptRecords()
	}
	if drops == s.announcedDrops && corrupt == s.announcedCorrupt || s.announce == nil {
		return
	}
	newDrops := drops
	for i := range newDrops {
		newDrops[i] -= s.announcedDrops[i]
	}
	newCorrupt := corrupt - s.announcedCorrupt
	s.announcedDrops, s.announcedCorrupt = drops, corrupt
	s.announce(newDrops, newCorrupt)
}

// spillLoop moves records from the queue to the spool while the queue is nearly full.
func (s *Sender) spillLoop(ctx context.Context) {
	t := time.NewTicker(10 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		for n := 0; s.queue.nearlyFull() && n < s.config.Buffer && ctx.Err() == nil; n++ {
			if !s.spillOldest() {
				break
			}
		}
	}
}

// spillOldest moves the oldest record from the queue to the spool. If a record that is being sent meanwhile fails, it
// returns to memory and is sent after the spooled ones: out of order, but not lost.
func (s *Sender) spillOldest() bool {
	s.recordMu.Lock()
	defer s.recordMu.Unlock()
	r, ok := s.queue.takeOldest()
	if !ok {
		return false
	}
	if s.spool.put(r) != nil {
		s.queue.requeue(r)
		return false
	}
	return true
}

package syslog

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	crand "crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"log/slog"
	"math/big"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"vetchdoor/lab/loopback"
	"vetchdoor/lab/receiver"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var discardLog = slog.New(slog.DiscardHandler)

func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(what)
		}
	}
}

func listen(t *testing.T, network, address string, conf *tls.Config) *receiver.Receiver {
	t.Helper()
	r, err := receiver.Listen(network, address, conf)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r
}

func startSender(t *testing.T, r Config) *Sender {
	t.Helper()
	s, err := Start(r, discardLog, 1, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

// numberedRecord returns a formatted message with a number as its MSGID.
func numberedRecord(i int, severity Severity) []byte {
	m := Message{Severity: severity, MsgID: fmt.Sprint(i), Text: "text"}
	return m.Append(nil, 1000)
}

// checkTotals fails the test unless every record logged or restored is accounted for exactly once.
func checkTotals(t *testing.T, c Counts) {
	t.Helper()
	if sum := c.Sent + sumOf(c.Dropped) + c.Suppressed + c.Spooled + c.Waiting + c.Corrupt; sum != c.Logged+c.Restored {
		t.Fatalf("%d logged and %d restored, but the other counts add up to %d: %+v", c.Logged, c.Restored, sum, c)
	}
}

func sumOf(x [Debug + 1]uint64) (n uint64) {
	for _, v := range x {
		n += v
	}
	return n
}

func receivedIDs(t *testing.T, r *receiver.Receiver) (out []string) {
	t.Helper()
	got, bad, _ := r.Received()
	if len(bad) > 0 {
		t.Fatalf("%d messages could not be parsed: %v", len(bad), bad[0])
	}
	for _, m := range got {
		out = append(out, m.ID)
	}
	return out
}

// countOutOfOrder returns how many numbers directly follow a higher one.
func countOutOfOrder(ids []string) (n int) {
	for i := 1; i < len(ids); i++ {
		if len(ids[i-1]) > len(ids[i]) || len(ids[i-1]) == len(ids[i]) && ids[i-1] > ids[i] {
			n++
		}
	}
	return n
}

// Over each network every record is delivered unchanged and in order.
func TestTransports(t *testing.T) {
	ca := newCA(t)
	for _, network := range []string{"udp", "tcp", "tls", "unixgram"} {
		t.Run(network, func(t *testing.T) {
			address, route := "127.0.0.1:0", Config{Network: network}
			var conf *tls.Config
			switch network {
			case "unixgram":
				address = filepath.Join(t.TempDir(), "log")
			case "tls":
				conf = ca.server(t, "receiver.example", time.Hour)
				route.CA, route.ServerName = ca.file, "receiver.example"
			}
			r := listen(t, network, address, conf)
			route.Address = r.Address()
			s := startSender(t, route)
			for i := range 500 {
				s.Enqueue(Informational, numberedRecord(i, Informational))
				if network != "tcp" && i%20 == 19 { // the system drops datagrams that arrive faster than they are read
					waitFor(t, "sent", func() bool { return s.Counts().Sent == uint64(i+1) })
					waitFor(t, "received", func() bool { got, _, _ := r.Received(); return len(got) == i+1 })
				}
			}
			waitFor(t, "received", func() bool { got, _, _ := r.Received(); return len(got) == 500 })
			for i, id := range receivedIDs(t, r) {
				if id != fmt.Sprint(i) {
					t.Fatalf("record %s at position %d", id, i)
				}
			}
			waitFor(t, "all counted as sent", func() bool { return s.Counts().Sent == 500 })
			checkTotals(t, s.Counts())
		})
	}
}

// Without a receiver logging does not block: records beyond the buffer are dropped, the lowest severity first, counted
// exactly, and announced once the receiver is reachable.
func TestNoReceiver(t *testing.T) {
	address := net.JoinHostPort(loopback.Host(), "6514") // nobody listens here yet
	announced := make(chan [Debug + 1]uint64, 10)
	s, err := Start(Config{Network: "tcp", Address: address, Buffer: 100}, discardLog, 1, func(d [Debug + 1]uint64,
		corrupt uint64) {
		announced <- d
	})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	start := time.Now()
	for i := range 1000 {
		severity := Debug
		if i%20 == 0 {
			severity = Error
		}
		s.Enqueue(severity, numberedRecord(i, severity))
	}
	if took := time.Since(start); took > time.Second {
		t.Errorf("logging 1000 records took %v", took)
	}
	c := s.Counts()
	checkTotals(t, c)
	if c.Dropped[Debug] != 900 || c.Dropped[Error] != 0 || c.Waiting != 100 {
		t.Errorf("%+v", c)
	}
	r := listen(t, "tcp", address, nil)
	waitFor(t, "all received", func() bool { got, _, _ := r.Received(); return len(got) == 100 })
	if d := <-announced; d[Debug] != 900 || sumOf(d) != 900 {
		t.Errorf("announced drops: %v", d)
	}
	if ids := receivedIDs(t, r); countOutOfOrder(ids) > 0 {
		t.Fatalf("out of order: %v", ids)
	}
}

// A receiver that stalls within a frame, reads one byte at a time, refuses connections or resets them does not block
// logging. Once it works again every record that was not dropped is delivered at least once.
func TestReceiverFaults(t *testing.T) {
	for name, trouble := range map[string]receiver.Faults{"stalls": {Stall: true},
		"a byte at a time": {ByteDelay: 5 * time.Millisecond},
		"refuses":          {Refuse: true}, "cuts within a frame": {ResetAfter: 777}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := listen(t, "tcp", "127.0.0.1:0", nil)
			r.SetFaults(trouble)
			s := startSender(t, Config{Network: "tcp", Address: r.Address(), Buffer: 4000, Timeout: 50 * time.Millisecond})
			start := time.Now()
			big := strings.Repeat("x", 800)
			for i := range 3000 {
				m := Message{Severity: Notice, MsgID: fmt.Sprint(i), Text: big}
				s.Enqueue(Notice, m.Append(nil, 2000))
			}
			if took := time.Since(start); took > 2*time.Second {
				t.Errorf("logging 3000 records took %v", took)
			}
			checkTotals(t, s.Counts())
			time.Sleep(300 * time.Millisecond)
			r.SetFaults(receiver.Faults{})
			r.ResetConnections()
			waitFor(t, "sent", func() bool { return s.Counts().Waiting == 0 })
			c := s.Counts()
			checkTotals(t, c)
			if c.Sent != 3000 {
				t.Errorf("%+v", c)
			}
		})
	}
}

// The totals balance exactly over a hundred runs with random receiver faults, rate suppression, spools and restarts.
// After Close no record is left in memory, and the receiver gets no malformed message.
func TestTotalsBalance(t *testing.T) {
	for seed := range uint64(100) {
		rng := rand.New(rand.NewPCG(seed, 5))
		r, err := receiver.Listen("tcp", "127.0.0.1:0", nil)
		if err != nil {
			t.Fatal(err)
		}
		route := Config{Network: "tcp", Address: r.Address(), Buffer: 20 + rng.IntN(200), Timeout: 20 * time.Millisecond}
		if rng.IntN(2) == 0 {
			route.Spool, route.SpoolBytes = t.TempDir(), int64(1+rng.IntN(60))<<10
		}
		number := 0
		for range 1 + rng.IntN(3) {
			s, err := Start(route, discardLog, seed, nil)
			if err != nil {
				t.Fatal(err)
			}
			for range rng.IntN(30) {
				switch rng.IntN(6) {
				case 0:
					r.SetFaults(receiver.Faults{Stall: true})
				case 1:
					r.SetFaults(receiver.Faults{ResetAfter: 1 + rng.IntN(2000)})
				case 2:
					r.SetFaults(receiver.Faults{Refuse: true})
					r.ResetConnections()
				case 3:
					r.SetFaults(receiver.Faults{})
				default:
					for range rng.IntN(300) {
						severity := Severity(rng.IntN(8))
						if number++; rng.IntN(20) == 0 {
							s.CountSuppressed()
						} else {
							s.Enqueue(severity, numberedRecord(number, severity))
						}
					}
				}
				checkTotals(t, s.Counts())
			}
			if rng.IntN(2) == 0 {
				r.SetFaults(receiver.Faults{})
			}
			s.Close()
			c := s.Counts()
			if checkTotals(t, c); c.Waiting != 0 {
				t.Fatalf("seed %d: %+v", seed, c)
			}
		}
		r.Close()
		if _, bad, _ := r.Received(); len(bad) > 0 {
			t.Fatalf("seed %d: %v", seed, bad[0])
		}
	}
}

// An outage of ten minutes at a thousand records per second, played without pauses, stays within the limits of memory
// and spool. Once the receiver is reachable, the remaining records arrive in order.
func TestLongOutage(t *testing.T) {
	address := net.JoinHostPort(loopback.Host(), "6514") // nobody listens here yet
	s := startSender(t, Config{Network: "tcp", Address: address, Buffer: 1000, Spool: t.TempDir(), SpoolBytes: 4 << 20})
	const all = 600_000
	for i := range all {
		s.Enqueue(Informational, numberedRecord(i, Informational))
		if i%500 == 0 {
			time.Sleep(50 * time.Microsecond)
		}
	}
	c := s.Counts()
	checkTotals(t, c)
	if c.Spooled < 10000 || sumOf(c.Dropped) == 0 || s.spool.size > 4<<20 {
		t.Errorf("%+v, %d bytes", c, s.spool.size)
	}
	r := listen(t, "tcp", address, nil)
	waitFor(t, "all remaining records are sent", func() bool { c := s.Counts(); return c.Waiting+c.Spooled == 0 })
	checkTotals(t, s.Counts())
	if late := countOutOfOrder(receivedIDs(t, r)); late > 0 {
		t.Errorf("%d records out of order", late)
	}
}

// With network "file" each record is one line, and after the file was renamed a new one is created.
func TestFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	s := startSender(t, Config{Network: "file", Address: path})
	lines := func(path string) int {
		text, err := os.ReadFile(path)
		if err != nil {
			return -1
		}
		return strings.Count(string(text), "\n")
	}
	s.Enqueue(Notice, (&Message{Text: "one\nline"}).Append(nil, 1000))
	waitFor(t, "written", func() bool { return lines(path) == 1 })
	if err := os.Rename(path, path+".1"); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "created again", func() bool { return lines(path) == 0 })
	s.Enqueue(Notice, numberedRecord(2, Notice))
	waitFor(t, "written", func() bool { return lines(path) == 1 && lines(path+".1") == 1 })
	checkTotals(t, s.Counts())
}

// A connection reset after any byte of a frame loses no record: the frame is sent again as a whole.
func TestSplitFrames(t *testing.T) {
	frameBytes := len(numberedRecord(7, Notice)) + 3
	for cut := 1; cut <= 2*frameBytes; cut++ {
		r := listen(t, "tcp", "127.0.0.1:0", nil)
		r.SetFaults(receiver.Faults{ResetAfter: cut})
		s, err := Start(Config{Network: "tcp", Address: r.Address(), Timeout: 50 * time.Millisecond}, discardLog, uint64(cut), nil)
		if err != nil {
			t.Fatal(err)
		}
		s.Enqueue(Notice, numberedRecord(7, Notice))
		waitFor(t, "connected", func() bool { return s.Counts().Connects > 0 })
		r.SetFaults(receiver.Faults{})
		for i := 8; ; i++ { // records that the system buffered before the reset are lost; a later write fails
			s.Enqueue(Notice, numberedRecord(i, Notice))
			if got, _, _ := r.Received(); len(got) > 1 {
				break
			}
			time.Sleep(2 * time.Millisecond)
		}
		s.Close()
		checkTotals(t, s.Counts())
		receivedIDs(t, r)
		r.Close()
	}
}

// authority is a certificate authority for tests.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	file string
}

// certify creates a key and its certificate, signed by the parent; self-signed if the parent is nil.
func certify(t *testing.T, tmpl, parent *x509.Certificate, parentKey *ecdsa.PrivateKey) (der []byte, key *ecdsa.PrivateKey) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), crand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	if parent == nil {
		parent, parentKey = tmpl, key
	}
	if der, err = x509.CreateCertificate(crand.Reader, tmpl, parent, &key.PublicKey, parentKey); err != nil {
		t.Fatal(err)
	}
	return der, key
}

func newCA(t *testing.T) *authority {
	t.Helper()
	der, key := certify(t, &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test"},
		NotBefore: time.Now().Add(-time.Hour),
		NotAfter:  time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}, nil, nil)
	a := &authority{key: key, file: filepath.Join(t.TempDir(), "ca.pem")}
	var err error
	if a.cert, err = x509.ParseCertificate(der); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(a.file, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
	return a
}

func (a *authority) server(t *testing.T, name string, lasts time.Duration) *tls.Config {
	t.Helper()
	der, key := certify(t, &x509.Certificate{SerialNumber: big.NewInt(2), DNSNames: []string{name},
		NotBefore: time.Now().Add(-2 * time.Hour),
		NotAfter:  time.Now().Add(lasts)}, a.cert, a.key)
	return &tls.Config{Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}}}
}

// A receiver whose certificate has expired, has another name, or is signed by an unknown authority gets no records.
// Certificate files that are replaced while the sender runs are used without a restart.
func TestCertificates(t *testing.T) {
	ca, other := newCA(t), newCA(t)
	// refused starts a receiver with this TLS configuration and a sender to it, and waits until two connections have
	// failed.
	refused := func(conf *tls.Config) (*receiver.Receiver, *Sender) {
		t.Helper()
		r := listen(t, "tls", "127.0.0.1:0", conf)
		s := startSender(t, Config{Network: "tls", Address: r.Address(), CA: ca.file, ServerName: "receiver.example",
			Timeout: 100 * time.Millisecond})
		s.Enqueue(Error, numberedRecord(1, Error))
		waitFor(t, "tried", func() bool { return s.Counts().Failures > 1 })
		return r, s
	}
	for name, conf := range map[string]*tls.Config{"expired": ca.server(t, "receiver.example", -time.Hour),
		"another name":      ca.server(t, "else.example", time.Hour),
		"unknown authority": other.server(t, "receiver.example", time.Hour)} {
		r, s := refused(conf)
		if got, _, _ := r.Received(); len(got) != 0 || s.Counts().Sent != 0 {
			t.Errorf("%s: records were sent", name)
		}
	}
	r, s := refused(other.server(t, "receiver.example", time.Hour))
	text, err := os.ReadFile(other.file)
	if err == nil {
		err = os.WriteFile(ca.file, text, 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
	waitFor(t, "sent with the new certificate file", func() bool { return s.Counts().Sent == 1 })
	before := s.Counts().Connects
	if err := os.WriteFile(ca.file, append(text, text...), 0o600); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "reconnected after the files changed", func() bool { return s.Counts().Connects > before })
	if _, err := Start(Config{Network: "tls", Address: r.Address(), CA: filepath.Join(t.TempDir(), "none")}, discardLog, 1,
		nil); err == nil {
		t.Error("started without its certificate files")
	}
	if _, err := Start(Config{Network: "pigeon"}, discardLog, 1, nil); err == nil {
		t.Error("started with an unknown network")
	}
}

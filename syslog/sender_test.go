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

var quiet = slog.New(slog.DiscardHandler)

func until(t *testing.T, what string, ok func() bool) {
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

func begin(t *testing.T, r Config) *Sender {
	t.Helper()
	s, err := Start(r, quiet, 1, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

// numbered is a record that bears a number.
func numbered(i int, severity Severity) []byte {
	m := Message{Severity: severity, MsgID: fmt.Sprint(i), Text: "text"}
	return m.Append(nil, 1000)
}

// exact holds the books against each other.
func exact(t *testing.T, c Counts) {
	t.Helper()
	if sum := c.Sent + sumOf(c.Dropped) + c.Suppressed + c.Spooled + c.Waiting + c.Torn; sum != c.Logged+c.Restored {
		t.Fatalf("%d made and %d restored, but %d in all: %+v", c.Logged, c.Restored, sum, c)
	}
}

func sumOf(x [Debug + 1]uint64) (n uint64) {
	for _, v := range x {
		n += v
	}
	return n
}

func gotIDs(t *testing.T, r *receiver.Receiver) (out []string) {
	t.Helper()
	got, bad, _ := r.Got()
	if len(bad) > 0 {
		t.Fatalf("%d could not be read: %v", len(bad), bad[0])
	}
	for _, m := range got {
		out = append(out, m.ID)
	}
	return out
}

// misplaced counts the numbers that come right after a higher one.
func misplaced(ids []string) (n int) {
	for i := 1; i < len(ids); i++ {
		if len(ids[i-1]) > len(ids[i]) || len(ids[i-1]) == len(ids[i]) && ids[i-1] > ids[i] {
			n++
		}
	}
	return n
}

// Over each transport what is put in comes out, whole and in order.
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
			s := begin(t, route)
			for i := range 500 {
				s.Put(Informational, numbered(i, Informational))
				if network != "tcp" && i%20 == 19 { // datagrams that come faster than they are read are lost by the system
					until(t, "sent", func() bool { return s.Counts().Sent == uint64(i+1) })
					until(t, "came", func() bool { got, _, _ := r.Got(); return len(got) == i+1 })
				}
			}
			until(t, "came", func() bool { got, _, _ := r.Got(); return len(got) == 500 })
			for i, id := range gotIDs(t, r) {
				if id != fmt.Sprint(i) {
					t.Fatalf("%s at place %d", id, i)
				}
			}
			until(t, "counted", func() bool { return s.Counts().Sent == 500 })
			exact(t, s.Counts())
		})
	}
}

// With no receiver nobody waits: what there is no room for is dropped, the least grave first, counted to the record, and
// told once records flow.
func TestNoReceiver(t *testing.T) {
	address := net.JoinHostPort(loopback.Host(), "6514") // where nobody listens yet
	told := make(chan [Debug + 1]uint64, 10)
	s, err := Start(Config{Network: "tcp", Address: address, Buffer: 100}, quiet, 1, func(d [Debug + 1]uint64, torn uint64) { told <- d })
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	began := time.Now()
	for i := range 1000 {
		severity := Debug
		if i%20 == 0 {
			severity = Error
		}
		s.Put(severity, numbered(i, severity))
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("a thousand records took %v", took)
	}
	c := s.Counts()
	exact(t, c)
	if c.Dropped[Debug] != 900 || c.Dropped[Error] != 0 || c.Waiting != 100 {
		t.Errorf("%+v", c)
	}
	r := listen(t, "tcp", address, nil)
	until(t, "all came", func() bool { got, _, _ := r.Got(); return len(got) == 100 })
	if d := <-told; d[Debug] != 900 || sumOf(d) != 900 {
		t.Errorf("told %v", d)
	}
	if ids := gotIDs(t, r); misplaced(ids) > 0 {
		t.Fatalf("out of order: %v", ids)
	}
}

// A receiver that is stuck in the midst of a frame, reads a byte at a time, refuses or resets, holds nobody up; when it is
// well again all that was not dropped comes, each at least once, and the torn frames are its own to count.
func TestTroubles(t *testing.T) {
	for name, trouble := range map[string]receiver.Faults{"stalls": {Stall: true}, "a byte at a time": {PerByte: 5 * time.Millisecond},
		"refuses": {Refuse: true}, "cuts within a frame": {CutAt: 777}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := listen(t, "tcp", "127.0.0.1:0", nil)
			r.SetFaults(trouble)
			s := begin(t, Config{Network: "tcp", Address: r.Address(), Buffer: 4000, Patient: 50 * time.Millisecond})
			began := time.Now()
			big := strings.Repeat("x", 800)
			for i := range 3000 {
				m := Message{Severity: Notice, MsgID: fmt.Sprint(i), Text: big}
				s.Put(Notice, m.Append(nil, 2000))
			}
			if took := time.Since(began); took > 2*time.Second {
				t.Errorf("3,000 records took %v", took)
			}
			exact(t, s.Counts())
			time.Sleep(300 * time.Millisecond)
			r.SetFaults(receiver.Faults{})
			r.ResetConnections()
			until(t, "sent", func() bool { return s.Counts().Waiting == 0 })
			c := s.Counts()
			exact(t, c)
			if c.Sent != 3000 {
				t.Errorf("%+v", c)
			}
		})
	}
}

// The books balance to the record over a hundred runs with faults drawn by chance, a spool and restarts among them; what is
// closed in order comes whole.
func TestBooks(t *testing.T) {
	for seed := range uint64(100) {
		rng := rand.New(rand.NewPCG(seed, 5))
		r, err := receiver.Listen("tcp", "127.0.0.1:0", nil)
		if err != nil {
			t.Fatal(err)
		}
		route := Config{Network: "tcp", Address: r.Address(), Buffer: 20 + rng.IntN(200), Patient: 20 * time.Millisecond}
		if rng.IntN(2) == 0 {
			route.Spool, route.SpoolAt = t.TempDir(), int64(1+rng.IntN(60))<<10
		}
		number := 0
		for range 1 + rng.IntN(3) {
			s, err := Start(route, quiet, seed, nil)
			if err != nil {
				t.Fatal(err)
			}
			for range rng.IntN(30) {
				switch rng.IntN(6) {
				case 0:
					r.SetFaults(receiver.Faults{Stall: true})
				case 1:
					r.SetFaults(receiver.Faults{CutAt: 1 + rng.IntN(2000)})
				case 2:
					r.SetFaults(receiver.Faults{Refuse: true})
					r.ResetConnections()
				case 3:
					r.SetFaults(receiver.Faults{})
				default:
					for range rng.IntN(300) {
						severity := Severity(rng.IntN(8))
						if number++; rng.IntN(20) == 0 {
							s.Suppress()
						} else {
							s.Put(severity, numbered(number, severity))
						}
					}
				}
				exact(t, s.Counts())
			}
			if rng.IntN(2) == 0 {
				r.SetFaults(receiver.Faults{})
			}
			s.Close()
			c := s.Counts()
			if exact(t, c); c.Waiting != 0 {
				t.Fatalf("seed %d: %+v", seed, c)
			}
		}
		r.Close()
		if _, bad, _ := r.Got(); len(bad) > 0 {
			t.Fatalf("seed %d: %v", seed, bad[0])
		}
	}
}

// Ten minutes of a thousand records a second, played in one go, stay within the memory and the spool that there is, and what
// was spooled comes first and in order once the receiver is there.
func TestLongOutage(t *testing.T) {
	address := net.JoinHostPort(loopback.Host(), "6514") // where nobody listens yet
	s := begin(t, Config{Network: "tcp", Address: address, Buffer: 1000, Spool: t.TempDir(), SpoolAt: 4 << 20})
	const all = 600_000
	for i := range all {
		s.Put(Informational, numbered(i, Informational))
		if i%500 == 0 {
			time.Sleep(50 * time.Microsecond)
		}
	}
	c := s.Counts()
	exact(t, c)
	if c.Spooled < 10000 || sumOf(c.Dropped) == 0 || s.spool.size > 4<<20 {
		t.Errorf("%+v, %d bytes", c, s.spool.size)
	}
	r := listen(t, "tcp", address, nil)
	until(t, "all that was kept came", func() bool { c := s.Counts(); return c.Waiting+c.Spooled == 0 })
	exact(t, s.Counts())
	if late := misplaced(gotIDs(t, r)); late > 0 {
		t.Errorf("%d out of order", late)
	}
}

// A file is written a line a record, and one that was moved away is begun anew.
func TestFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	s := begin(t, Config{Network: "file", Address: path})
	lines := func(path string) int {
		text, err := os.ReadFile(path)
		if err != nil {
			return -1
		}
		return strings.Count(string(text), "\n")
	}
	s.Put(Notice, (&Message{Text: "one\nline"}).Append(nil, 1000))
	until(t, "written", func() bool { return lines(path) == 1 })
	if err := os.Rename(path, path+".1"); err != nil {
		t.Fatal(err)
	}
	until(t, "begun anew", func() bool { return lines(path) == 0 })
	s.Put(Notice, numbered(2, Notice))
	until(t, "written", func() bool { return lines(path) == 1 && lines(path+".1") == 1 })
	exact(t, s.Counts())
}

// A connection that is reset at any byte of a frame costs no record: the frame comes again, whole.
func TestSplitFrames(t *testing.T) {
	whole := len(numbered(7, Notice)) + 3
	for cut := 1; cut <= 2*whole; cut++ {
		r := listen(t, "tcp", "127.0.0.1:0", nil)
		r.SetFaults(receiver.Faults{CutAt: cut})
		s, err := Start(Config{Network: "tcp", Address: r.Address(), Patient: 50 * time.Millisecond}, quiet, uint64(cut), nil)
		if err != nil {
			t.Fatal(err)
		}
		s.Put(Notice, numbered(7, Notice))
		until(t, "connected", func() bool { return s.Counts().Connects > 0 })
		r.SetFaults(receiver.Faults{})
		for i := 8; ; i++ { // what a system took before it learnt of the reset is lost to us; the next one tells us
			s.Put(Notice, numbered(i, Notice))
			if got, _, _ := r.Got(); len(got) > 1 {
				break
			}
			time.Sleep(2 * time.Millisecond)
		}
		s.Close()
		exact(t, s.Counts())
		gotIDs(t, r)
		r.Close()
	}
}

// authority signs certificates for a test.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	file string
}

// certify makes a key and its certificate; without a parent it is its own.
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
	der, key := certify(t, &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test"}, NotBefore: time.Now().Add(-time.Hour),
		NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}, nil, nil)
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
	der, key := certify(t, &x509.Certificate{SerialNumber: big.NewInt(2), DNSNames: []string{name}, NotBefore: time.Now().Add(-2 * time.Hour),
		NotAfter: time.Now().Add(lasts)}, a.cert, a.key)
	return &tls.Config{Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}}}
}

// A receiver whose certificate has run out, bears another name, or is of nobody we know gets nothing; files that are replaced
// while it runs are taken up without a restart.
func TestCertificates(t *testing.T) {
	ca, other := newCA(t), newCA(t)
	// refused is a receiver that is refused again and again, and who sends to it.
	refused := func(conf *tls.Config) (*receiver.Receiver, *Sender) {
		t.Helper()
		r := listen(t, "tls", "127.0.0.1:0", conf)
		s := begin(t, Config{Network: "tls", Address: r.Address(), CA: ca.file, ServerName: "receiver.example", Patient: 100 * time.Millisecond})
		s.Put(Error, numbered(1, Error))
		until(t, "tried", func() bool { return s.Counts().Failures > 1 })
		return r, s
	}
	for name, conf := range map[string]*tls.Config{"run out": ca.server(t, "receiver.example", -time.Hour), "another name": ca.server(t, "else.example", time.Hour),
		"of nobody": other.server(t, "receiver.example", time.Hour)} {
		r, s := refused(conf)
		if got, _, _ := r.Got(); len(got) != 0 || s.Counts().Sent != 0 {
			t.Errorf("%s: sent", name)
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
	until(t, "sent with the new file", func() bool { return s.Counts().Sent == 1 })
	before := s.Counts().Connects
	if err := os.WriteFile(ca.file, append(text, text...), 0o600); err != nil {
		t.Fatal(err)
	}
	until(t, "connects anew when they change", func() bool { return s.Counts().Connects > before })
	if _, err := Start(Config{Network: "tls", Address: r.Address(), CA: filepath.Join(t.TempDir(), "none")}, quiet, 1, nil); err == nil {
		t.Error("started without its files")
	}
	if _, err := Start(Config{Network: "pigeon"}, quiet, 1, nil); err == nil {
		t.Error("started on no network")
	}
}

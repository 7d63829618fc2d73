package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"vetchdoor/lab/platform"
)

// outcome is what a client saw of one op.
type outcome struct {
	op      uint64
	proxy   int
	writes  bool
	written time.Time
	status  int
	bare    bool   // refused, for no server was there
	lost    string // why there was no whole answer; empty: there was
}

// patience is how long a client waits for anything, far past every timeout of a proxy.
const patience = 15 * time.Second

// client keeps connections to one proxy in use, one after the other, until the run ends.
func (s *soak) client(number int) {
	rng := rand.New(rand.NewPCG(s.seed, 100+uint64(number)))
	proxy := number % len(s.proxies)
	for !s.ended() {
		c, err := net.DialTimeout("tcp", s.proxies[proxy].address, time.Second)
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		s.converse(c, proxy, rng)
		c.Close()
	}
}

func (s *soak) ended() bool {
	select {
	case <-s.stop:
		return true
	default:
		return false
	}
}

// converse sends ops one after the other until an answer says that the connection closes, or one is lost.
func (s *soak) converse(c net.Conn, proxy int, rng *rand.Rand) {
	in := bufio.NewReader(c)
	for !s.ended() {
		o := outcome{op: s.ops.Add(1), proxy: proxy, writes: rng.IntN(3) == 0}
		last := s.ask(c, in, &o, rng)
		s.mu.Lock()
		s.outcomes = append(s.outcomes, o)
		s.mu.Unlock()
		if last {
			return
		}
		time.Sleep(time.Duration(rng.IntN(40)) * time.Millisecond)
	}
}

// ask sends one op, at times in pieces, and reads its answer; true if it is the connection's last.
func (s *soak) ask(c net.Conn, in *bufio.Reader, o *outcome, rng *rand.Rand) (last bool) {
	_ = c.SetDeadline(time.Now().Add(patience))
	text := fmt.Sprintf("GET /x HTTP/1.1\r\nHost: h\r\nLab-Op: %d\r\nLab-Work: %d\r\n\r\n", o.op, rng.IntN(8000))
	if o.writes {
		text = fmt.Sprintf("POST /x HTTP/1.1\r\nHost: h\r\nLab-Op: %d\r\nLab-Type: 1\r\nLab-Work: %d\r\nContent-Length: 4\r\n\r\nbody", o.op, rng.IntN(8000))
	}
	pieces := []string{text}
	if rng.IntN(4) == 0 {
		at := 1 + rng.IntN(len(text)-1)
		pieces = []string{text[:at], text[at:]}
	}
	for i, piece := range pieces {
		if i > 0 {
			time.Sleep(time.Duration(rng.IntN(60)) * time.Millisecond)
		}
		if _, err := io.WriteString(c, piece); err != nil {
			o.lost = "write: " + err.Error()
			return true
		}
		o.written = time.Now()
	}
	r, err := http.ReadResponse(in, nil)
	if err != nil {
		o.lost = "read: " + err.Error()
		return true
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		o.lost = "body: " + err.Error()
		return true
	}
	o.status, o.bare = r.StatusCode, r.StatusCode == 503 && strings.Contains(string(body), "no server")
	if !r.Close {
		return false
	}
	if b, err := in.ReadByte(); !errors.Is(err, io.EOF) {
		o.lost = fmt.Sprintf("after the last answer: %q, %v", b, err)
	}
	return true
}

// crowd has many connections stand at the proxies: idle, with half a request, or sending slowly.
func (s *soak) crowd() {
	for i := range 2 * crowdConnections {
		s.clients.Go(func() {
			for !s.ended() {
				c, err := net.DialTimeout("tcp", s.proxies[i%len(s.proxies)].address, time.Second)
				if err != nil {
					time.Sleep(50 * time.Millisecond)
					continue
				}
				s.loiter(c, i%3)
				c.Close()
			}
		})
	}
}

// loiter stands on a connection until it is closed or the run ends.
func (s *soak) loiter(c net.Conn, manner int) {
	gone := make(chan struct{})
	go func() {
		_, _ = io.Copy(io.Discard, c)
		close(gone)
	}()
	text := "GET /x HTTP/1.1\r\nHost: h\r\nX-Slow: 0123456789\r\n\r\n"
	if manner == 1 {
		_, _ = io.WriteString(c, text[:20])
	}
	for {
		if manner == 2 {
			_, _ = io.WriteString(c, text[:1])
			text = text[1:] + text[:1]
		}
		select {
		case <-gone:
			return
		case <-s.stop:
			c.Close()
			<-gone
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// platformProxy keeps a stand-in's stream to the platform's pilot up, and says what it could not use.
func (s *soak) platformProxy(number int) {
	known := func(host string) bool { return strings.HasPrefix(host, "s-") }
	var before *platform.Proxy
	for !s.ended() {
		p, err := platform.Join(s.platform.address, number, "a", []string{"read"}, known, before)
		if err != nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		for ended := false; !ended && !s.ended(); time.Sleep(5 * time.Millisecond) {
			_, ended, _ = p.State()
		}
		p.Drop()
		var fault error
		for ended := false; !ended; time.Sleep(time.Millisecond) {
			_, ended, fault = p.State()
		}
		if fault != nil {
			s.failf("the platform's proxy %d: %v", number, fault)
		}
		before = p
	}
}

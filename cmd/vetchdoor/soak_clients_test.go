package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"vetchdoor/http1"
	"vetchdoor/lab/node"
	"vetchdoor/lab/platform"
	"vetchdoor/lab/sign"
)

// outcome is what a client saw of one op, or of one repeat of it.
type outcome struct {
	op      uint64
	opType  int
	try     int // of the client, from 0
	proxy   int
	before  int  // the proxy of the try before
	large   bool // its request has a large head and a large body
	work    int  // in microseconds
	begun   time.Time
	written time.Time
	status  int
	bare    bool   // refused, for no server was there
	behind  bool   // sent ahead behind the connection's last answer
	lost    string // why there was no whole answer; empty: there was
}

// newOp draws an op of any type.
func (s *soak) newOp(proxy int, rng *rand.Rand) outcome {
	return outcome{op: s.ops.Add(1), opType: rng.IntN(typeCount), proxy: proxy, large: rng.IntN(largeEach) == 0, work: rng.IntN(8000), begun: time.Now()}
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

// converse sends ops one after the other, at times several ahead, until an answer says that the connection closes, or one is lost.
func (s *soak) converse(c net.Conn, proxy int, rng *rand.Rand) {
	in := bufio.NewReader(c)
	for !s.ended() {
		count := 1
		if rng.IntN(aheadEach) == 0 {
			count += 1 + rng.IntN(3)
		}
		ops := make([]outcome, count)
		for i := range ops {
			ops[i] = s.newOp(proxy, rng)
		}
		last := false
		if count == 1 {
			last = s.ask(c, in, &ops[0], rng)
		} else {
			last = s.askAhead(c, in, ops, rng)
		}
		s.book(ops...)
		for _, o := range ops {
			if o.isRepeatable() {
				s.clients.Go(func() { s.repeat(o) })
			}
		}
		if last {
			return
		}
		time.Sleep(time.Duration(rng.IntN(40)) * time.Millisecond)
	}
}

// book notes what clients saw.
func (s *soak) book(outcomes ...outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outcomes = append(s.outcomes, outcomes...)
}

// aheadEach is how often a client sends several ops before it reads an answer, expectEach how often it waits for a word before it
// sends a body: one time in so many.
const (
	aheadEach  = 12
	expectEach = 12
)

// askAhead sends ops without a pause and reads their answers in order; true if one was the connection's last. What was sent behind
// that one is not carried out (RFC 9112, 9.6).
func (s *soak) askAhead(c net.Conn, in *bufio.Reader, ops []outcome, rng *rand.Rand) (last bool) {
	_ = c.SetDeadline(time.Now().Add(patience))
	var text []byte
	for i := range ops {
		text = append(text, ops[i].request(false)...)
		ops[i].written = time.Now()
	}
	if _, err := c.Write(text); err != nil {
		ops[0].lost = "write: " + err.Error()
		last = true
	}
	for i := range ops {
		if last {
			ops[i].behind = i > 0
			continue
		}
		last = s.readAnswer(in, &ops[i])
	}
	return last
}

// ask sends one op, at times in pieces, and reads its answer; true if it is the connection's last.
func (s *soak) ask(c net.Conn, in *bufio.Reader, o *outcome, rng *rand.Rand) (last bool) {
	_ = c.SetDeadline(time.Now().Add(patience))
	expects := rng.IntN(expectEach) == 0
	text := o.request(expects)
	pieces := cutUp(text, rng)
	if expects {
		body := bytes.Index(text, []byte("\r\n\r\n")) + 4
		pieces = [][]byte{text[:body], text[body:]}
	}
	for i, piece := range pieces {
		if i > 0 && expects {
			if ended, last := s.awaitWord(in, o); ended {
				return last
			}
		} else if i > 0 {
			time.Sleep(time.Duration(rng.IntN(60)) * time.Millisecond)
		}
		if _, err := c.Write(piece); err != nil {
			o.lost = "write: " + err.Error()
			return true
		}
		o.written = time.Now()
	}
	return s.readAnswer(in, o)
}

// awaitWord reads the word to go on with a body; ended if a final answer came in its place, after which the connection cannot be
// used, for its server may or may not read the body.
func (s *soak) awaitWord(in *bufio.Reader, o *outcome) (ended, last bool) {
	line, err := in.Peek(len("HTTP/1.1 100 "))
	if err != nil {
		o.lost = "read of the word to go on: " + err.Error()
		return true, true
	}
	if string(line) != "HTTP/1.1 100 " {
		s.readAnswer(in, o)
		return true, true
	}
	for line, err := in.ReadString('\n'); line != "\r\n"; line, err = in.ReadString('\n') {
		if err != nil {
			o.lost = "word to go on: " + err.Error()
			return true, true
		}
	}
	return false, false
}

// largeEach is how often a request has a large head and a large body: one in so many.
const largeEach = 16

// request is an op as its client sends it, with its sign.
func (o *outcome) request(expects bool) []byte {
	method := [typeCount]string{readType: "GET", writeType: "POST", markedType: "PUT"}[o.opType]
	b := http1.AppendRequest(nil, []byte(method), []byte(sign.Path("/x", o.op)))
	b = http1.AppendField(b, "Host", "h")
	if expects {
		b = http1.AppendField(b, "Expect", "100-continue")
	}
	b = http1.AppendField(b, node.OpField, strconv.FormatUint(o.op, 10))
	b = http1.AppendField(b, node.TypeField, strconv.Itoa(o.opType))
	b = http1.AppendField(b, node.TryField, strconv.Itoa(o.try))
	b = http1.AppendField(b, node.WorkField, strconv.Itoa(o.work))
	if o.opType == markedType {
		b = http1.AppendField(b, "Idempotency-Key", "op-"+strconv.FormatUint(o.op, 10))
	}
	return http1.AppendBody(sign.AppendFields(b, o.op, o.large), sign.Body(o.op, o.large))
}

// cutUp cuts a request into pieces: three of a large one, at times two of another.
func cutUp(text []byte, rng *rand.Rand) [][]byte {
	if len(text) > sign.LargeHead {
		first := 1 + rng.IntN(len(text)-2)
		second := first + 1 + rng.IntN(len(text)-first-1)
		return [][]byte{text[:first], text[first:second], text[second:]}
	}
	if rng.IntN(4) == 0 {
		at := 1 + rng.IntN(len(text)-1)
		return [][]byte{text[:at], text[at:]}
	}
	return [][]byte{text}
}

// readAnswer reads an op's answer, which must be its own; true if it is the connection's last.
func (s *soak) readAnswer(in *bufio.Reader, o *outcome) (last bool) {
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
	o.status, o.bare = r.StatusCode, r.StatusCode == 503 && string(body) == "no server\n"
	if got := r.Header.Get(sign.Field); got != "" && got != strconv.FormatUint(o.op, 10) {
		s.failf("op %d got the answer of %s", o.op, got)
	}
	if o.status >= 400 && o.status < 500 {
		s.failf("op %d was answered %d: %.100q", o.op, o.status, body)
	}
	if !r.Close {
		return false
	}
	if b, err := in.ReadByte(); !errors.Is(err, io.EOF) {
		o.lost = fmt.Sprintf("after the last answer: %q, %v", b, err)
	}
	return true
}

// crowd has many connections stand at the proxies, each in a manner of its own.
func (s *soak) crowd() {
	for i := range 2 * crowdConnections {
		s.clients.Go(func() {
			for !s.ended() {
				c, err := net.DialTimeout("tcp", s.proxies[i%len(s.proxies)].address, time.Second)
				if err != nil {
					time.Sleep(50 * time.Millisecond)
					continue
				}
				s.loiter(c, i%manners)
				c.Close()
			}
		})
	}
}

// manners are the ways of a crowd's connections: idle, half a request, slow, and one that reads none of its long answers.
const manners = 4

// Of a connection that reads nothing.
const (
	longAnswer = 1 << 20         // bytes
	stallFor   = 2 * time.Second // then its client closes it
)

// loiter stands on a connection until it is closed or the run ends.
func (s *soak) loiter(c net.Conn, manner int) {
	if manner == manners-1 { // it asks for more than the system holds for it, and reads none of it
		ask := fmt.Sprintf("GET /x HTTP/1.1\r\nHost: h\r\n%s: %d\r\n\r\n", node.SizeField, longAnswer)
		_, _ = io.WriteString(c, strings.Repeat(ask, 8))
		select {
		case <-s.stop:
		case <-time.After(stallFor):
		}
		return
	}
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
		p.Disconnect()
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

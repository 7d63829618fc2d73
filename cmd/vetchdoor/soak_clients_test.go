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

// outcome is what a client observed of one try of an op.
type outcome struct {
	op              uint64
	opType          int
	try             int // number of the client's try, from 0
	proxy           int
	previousProxy   int  // proxy of the previous try
	large           bool // whether the request has a large head and a large body
	work            int  // work for the server, in microseconds
	begun           time.Time
	written         time.Time
	status          int
	noServer        bool   // rejected because the proxy had no server
	pipelinedBehind bool   // pipelined behind the last answer of the connection
	lost            string // why there was no complete answer; empty if there was one
}

// newOp returns an op of random type.
func (s *soak) newOp(proxy int, rng *rand.Rand) outcome {
	return outcome{op: s.ops.Add(1), opType: rng.IntN(typeCount), proxy: proxy, large: rng.IntN(largeEach) == 0,
		work: rng.IntN(8000), begun: time.Now()}
}

// clientTimeout is the limit for every wait of a client; it exceeds all timeouts of a proxy.
const clientTimeout = 15 * time.Second

// client sends ops to one proxy until the run ends; when a connection closes, it opens the next one.
func (s *soak) client(number int) {
	rng := rand.New(rand.NewPCG(s.seed, 100+uint64(number)))
	proxy := number % len(s.proxies)
	for !s.ended() {
		c, err := net.DialTimeout("tcp", s.proxies[proxy].address, time.Second)
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		s.runConnection(c, proxy, rng)
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

// runConnection sends one op after the other on a connection, sometimes several pipelined, until an answer closes the
// connection or is lost.
func (s *soak) runConnection(c net.Conn, proxy int, rng *rand.Rand) {
	in := bufio.NewReader(c)
	for !s.ended() {
		count := 1
		if rng.IntN(pipelineEach) == 0 {
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
			last = s.askPipelined(c, in, ops, rng)
		}
		s.record(ops...)
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

// record stores outcomes for the checks at the end.
func (s *soak) record(outcomes ...outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outcomes = append(s.outcomes, outcomes...)
}

// One in pipelineEach rounds sends several ops before it reads an answer; one in expectEach requests waits for 100
// Continue before it sends its body.
const (
	pipelineEach = 12
	expectEach   = 12
)

// askPipelined sends several ops at once and reads their answers in order; last is true if one of them was the last on
// the connection. Ops sent behind that one are not executed (RFC 9112, section 9.6).
func (s *soak) askPipelined(c net.Conn, in *bufio.Reader, ops []outcome, rng *rand.Rand) (last bool) {
	_ = c.SetDeadline(time.Now().Add(clientTimeout))
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
			ops[i].pipelinedBehind = i > 0
			continue
		}
		last = s.readAnswer(in, &ops[i])
	}
	return last
}

// ask sends one op, sometimes in pieces, and reads its answer; last is true if it is the last on the connection.
func (s *soak) ask(c net.Conn, in *bufio.Reader, o *outcome, rng *rand.Rand) (last bool) {
	_ = c.SetDeadline(time.Now().Add(clientTimeout))
	expects := rng.IntN(expectEach) == 0
	text := o.request(expects)
	pieces := splitRequest(text, rng)
	if expects {
		body := bytes.Index(text, []byte("\r\n\r\n")) + 4
		pieces = [][]byte{text[:body], text[body:]}
	}
	for i, piece := range pieces {
		if i > 0 && expects {
			if ended, last := s.awaitContinue(in, o); ended {
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

// awaitContinue waits for 100 Continue. If a final answer or an error comes instead, ended and last are true: the
// connection cannot be reused, because the server may or may not read the body.
func (s *soak) awaitContinue(in *bufio.Reader, o *outcome) (ended, last bool) {
	line, err := in.Peek(len("HTTP/1.1 100 "))
	if err != nil {
		o.lost = "read of 100 Continue: " + err.Error()
		return true, true
	}
	if string(line) != "HTTP/1.1 100 " {
		s.readAnswer(in, o)
		return true, true
	}
	for line, err := in.ReadString('\n'); line != "\r\n"; line, err = in.ReadString('\n') {
		if err != nil {
			o.lost = "head of 100 Continue: " + err.Error()
			return true, true
		}
	}
	return false, false
}

// One in largeEach requests has a large head and a large body.
const largeEach = 16

// request returns the op's request, signed so that mixed-up requests and answers are detected.
func (o *outcome) request(expects bool) []byte {
	method := [typeCount]string{readType: "GET", writeType: "POST", dedupType: "PUT"}[o.opType]
	b := http1.AppendRequest(nil, []byte(method), []byte(sign.Path("/x", o.op)))
	b = http1.AppendField(b, "Host", "h")
	if expects {
		b = http1.AppendField(b, "Expect", "100-continue")
	}
	b = http1.AppendField(b, node.OpField, strconv.FormatUint(o.op, 10))
	b = http1.AppendField(b, node.TypeField, strconv.Itoa(o.opType))
	b = http1.AppendField(b, node.TryField, strconv.Itoa(o.try))
	b = http1.AppendField(b, node.WorkField, strconv.Itoa(o.work))
	if o.opType == dedupType {
		b = http1.AppendField(b, "Idempotency-Key", "op-"+strconv.FormatUint(o.op, 10))
	}
	return http1.AppendBody(sign.AppendFields(b, o.op, o.large), sign.Body(o.op, o.large))
}

// splitRequest splits a request: a large one into three pieces, others sometimes into two.
func splitRequest(text []byte, rng *rand.Rand) [][]byte {
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

// readAnswer reads the answer to an op and checks that it belongs to it; last is true if it is the last on the
// connection.
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
	o.status, o.noServer = r.StatusCode, r.StatusCode == 503 && string(body) == "no server\n"
	if got := r.Header.Get(sign.Field); got != "" && got != strconv.FormatUint(o.op, 10) {
		s.failf("op %d got the answer to op %s", o.op, got)
	}
	if o.status >= 400 && o.status < 500 {
		s.failf("op %d got status %d: %.100q", o.op, o.status, body)
	}
	if !r.Close {
		return false
	}
	if b, err := in.ReadByte(); !errors.Is(err, io.EOF) {
		o.lost = fmt.Sprintf("after the last answer: %q, %v", b, err)
	}
	return true
}

// crowd keeps many badly behaved connections open to the proxies.
func (s *soak) crowd() {
	for i := range 2 * crowdConnections {
		s.clients.Go(func() {
			for !s.ended() {
				c, err := net.DialTimeout("tcp", s.proxies[i%len(s.proxies)].address, time.Second)
				if err != nil {
					time.Sleep(50 * time.Millisecond)
					continue
				}
				s.holdConnection(c, i%crowdKinds)
				c.Close()
			}
		})
	}
}

// crowdKinds is the number of kinds of connections in the crowd: idle, an incomplete request, a slow request, and a client
// that reads none of its long answers.
const crowdKinds = 4

// Parameters of the crowd's connections that do not read their answers.
const (
	longAnswer    = 1 << 20         // size of an answer, in bytes
	stallDuration = 2 * time.Second // time until the client closes the connection
)

// holdConnection keeps a connection of one of the crowdKinds open until it is closed or the run ends.
func (s *soak) holdConnection(c net.Conn, connectionKind int) {
	if connectionKind == crowdKinds-1 { // requests more than the system's buffers hold, and reads nothing
		ask := fmt.Sprintf("GET /x HTTP/1.1\r\nHost: h\r\n%s: %d\r\n\r\n", node.SizeField, longAnswer)
		_, _ = io.WriteString(c, strings.Repeat(ask, 8))
		select {
		case <-s.stop:
		case <-time.After(stallDuration):
		}
		return
	}
	gone := make(chan struct{})
	go func() {
		_, _ = io.Copy(io.Discard, c)
		close(gone)
	}()
	text := "GET /x HTTP/1.1\r\nHost: h\r\nX-Slow: 0123456789\r\n\r\n"
	if connectionKind == 1 {
		_, _ = io.WriteString(c, text[:20])
	}
	for {
		if connectionKind == 2 {
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

// platformProxy keeps a simulated proxy connected to the platform's pilot, and reports messages that it could not
// apply.
func (s *soak) platformProxy(number int) {
	known := func(host string) bool { return strings.HasPrefix(host, "s-") }
	var previousProxy *platform.Proxy
	for !s.ended() {
		p, err := platform.Join(s.platform.address, number, "a", []string{"read"}, known, previousProxy)
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
		previousProxy = p
	}
}

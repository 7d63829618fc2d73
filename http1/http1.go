// Package http1 reads and writes HTTP/1.1 messages (RFC 9112) on byte buffers. It has no sockets: a Parser is fed what
// has come so far and says whether a whole message stands at its front. Shapes that two parsers could read in two ways
// (both lengths, bare line feeds, folded lines, spaces before a colon) are refused, never mended.
package http1

import (
	"bytes"
	"errors"
	"fmt"
)

// Bounds limit what a message may hold, in bytes. A message past one of them is refused.
type Bounds struct {
	Line int // the first line, and each chunk-size line
	Head int // first line and fields together, trailers too
	Body int
}

// DefaultBounds are bounds that suit small ops.
var DefaultBounds = Bounds{Line: 8 << 10, Head: 32 << 10, Body: 1 << 20}

// ErrMore says that the message is not whole yet.
var ErrMore = errors.New("http1: more bytes are needed")

// MalformedError is a message that cannot be read. Nothing after it on the connection can be trusted.
type MalformedError struct {
	Status int // the answer it deserves: 400, 413, 414, 431, 501 or 505
	Reason string
}

func (m *MalformedError) Error() string { return fmt.Sprintf("http1: %d: %s", m.Status, m.Reason) }

func bad(status int, format string, args ...any) error {
	return &MalformedError{Status: status, Reason: fmt.Sprintf(format, args...)}
}

// Field is one header field; both parts belong to the parser, as the rest of a head does.
type Field struct{ Name, Value []byte }

// Message is a request or a response. What came in its head belongs to the parser and holds until its Next, as does the body
// of a chunked message. Any other body is a part of the buffer that the last call of Parse was given.
type Message struct {
	Method, Target []byte // of a request
	Status         int    // of a response
	Reason         []byte
	Minor          int // of the version 1.x
	Fields         []Field
	Body           []byte
	Size           int  // bytes that the message takes in the buffer
	Close          bool // the connection ends after this message
}

// Get returns the value of the first field of that name, in any case; nil if there is none.
func (m *Message) Get(name string) []byte {
	for i := range m.Fields {
		if equalFold(m.Fields[i].Name, name) {
			return m.Fields[i].Value
		}
	}
	return nil
}

// equalFold compares a field name with an ASCII one.
func equalFold(b []byte, s string) bool {
	if len(b) != len(s) {
		return false
	}
	for i := range b {
		if lower(b[i]) != lower(s[i]) {
			return false
		}
	}
	return true
}

func lower(c byte) byte {
	if 'A' <= c && c <= 'Z' {
		return c + 'a' - 'A'
	}
	return c
}

// kind is what a Parser reads.
type kind byte

const (
	request kind = iota
	response
)

// Parser reads messages of one direction of one connection. It remembers how far it has looked, so that a message that
// trickles in costs no more than one that comes at once.
type Parser struct {
	Bounds
	kind    kind
	headers bool // the answer to a HEAD request: no body follows, whatever its fields say
	msg     Message
	text    []byte // a copy of the head, into which the message points
	looked  int    // bytes known to hold no end of head
	head    int    // size of the head; 0: not parsed yet
	body    framing
	length  int    // announced, by length
	at      int    // read so far, chunked: where the next chunk starts
	chunks  []byte // chunked: the body so far
	trailer int
}

type framing byte

const (
	none framing = iota
	byLength
	chunked
	toClose
)

// NewRequestParser returns a parser of requests.
func NewRequestParser(b Bounds) *Parser { return &Parser{Bounds: b, kind: request} }

// Responses returns a parser of responses.
func Responses(b Bounds) *Parser { return &Parser{Bounds: b, kind: response} }

// ForHead tells that the next response answers a HEAD request.
func (p *Parser) ForHead() { p.headers = true }

// Parse looks for one whole message at the front of b, which holds all bytes since the last message's end; ended says
// that no more will come. It returns ErrMore while the message is not whole and a *Malformed if it never can be. Nothing is
// kept of b after ErrMore, so that the next call may bring the same bytes in other memory; the body of a whole message is a
// part of b unless it is chunked, and b has to stay as it is until Next.
func (p *Parser) Parse(b []byte, ended bool) (*Message, error) {
	if p.head == 0 {
		if err := p.parseHead(b); err != nil {
			return nil, err
		}
	}
	m := &p.msg
	switch p.body {
	case none:
		m.Size = p.head
	case byLength:
		if len(b) < p.head+p.length {
			return nil, ErrMore
		}
		m.Body, m.Size = b[p.head:p.head+p.length], p.head+p.length
	case chunked:
		if err := p.parseChunks(b); err != nil {
			return nil, err
		}
		m.Body, m.Size = p.chunks, p.at
	case toClose:
		if len(b)-p.head > p.Body {
			return nil, bad(413, "body over %d bytes", p.Body)
		}
		if !ended {
			return nil, ErrMore
		}
		m.Body, m.Size, m.Close = b[p.head:], len(b), true
	}
	return m, nil
}

// Expects tells whether the head of the message under way has come and asks for a word before the body is sent
// (Expect: 100-continue, RFC 9110, 10.1.1).
func (p *Parser) Expects() bool {
	return p.head > 0 && p.msg.Minor == 1 && equalFold(p.msg.Get("Expect"), "100-continue")
}

// Reset makes the parser ready for the message after the one just returned, which may no longer be used.
func (p *Parser) Reset() {
	*p = Parser{Bounds: p.Bounds, kind: p.kind, msg: Message{Fields: p.msg.Fields[:0]},
		text: reuse(p.text, mostTextKept), chunks: reuse(p.chunks, mostChunksKept)}
}

// Bytes of memory that a parser keeps from message to message: an idle connection has one.
const (
	mostTextKept   = 4 << 10
	mostChunksKept = 64 << 10
)

// reuse empties a buffer, and lets go of one that is larger than most.
func reuse(b []byte, most int) []byte {
	if cap(b) > most {
		return nil
	}
	return b[:0]
}

// parseHead reads the first line and the fields once the empty line behind them has come.
func (p *Parser) parseHead(b []byte) error {
	end := bytes.Index(b[p.looked:], []byte("\r\n\r\n"))
	if end < 0 {
		if len(b) > p.Head {
			return bad(431, "head over %d bytes", p.Head)
		}
		if nl := bytes.IndexByte(b, '\n'); nl < 0 && len(b) > p.Line {
			return bad(414, "first line over %d bytes", p.Line)
		} else if nl >= 0 {
			if err := strictLines(b[p.looked:], p.looked > 0 && b[p.looked-1] == '\r'); err != nil {
				return err
			}
		}
		p.looked = max(p.looked, len(b)-3)
		return ErrMore
	}
	end += p.looked
	if end+4 > p.Head {
		return bad(431, "head over %d bytes", p.Head)
	}
	// A bare line feed or carriage return is left standing in its line, where it is no character that is allowed. The head is
	// copied, for b may be other memory when the body has come.
	p.text = append(p.text[:0], b[:end+2]...)
	lines := p.text
	first, rest, _ := bytes.Cut(lines, []byte("\r\n"))
	if len(first) > p.Line {
		return bad(414, "first line over %d bytes", p.Line)
	}
	m := &p.msg
	*m = Message{Fields: m.Fields[:0]}
	var err error
	if p.kind == request {
		err = m.requestLine(first)
	} else {
		err = m.statusLine(first)
	}
	if err != nil {
		return err
	}
	for len(rest) > 0 {
		var line []byte
		line, rest, _ = bytes.Cut(rest, []byte("\r\n"))
		f, err := field(line)
		if err != nil {
			return err
		}
		m.Fields = append(m.Fields, f)
	}
	if err := p.frame(); err != nil {
		return err
	}
	p.head, p.at = end+4, end+4
	return nil
}

// strictLines refuses a line feed without its carriage return, and the reverse.
func strictLines(b []byte, afterCR bool) error {
	for i, c := range b {
		if c == '\n' && !(i > 0 && b[i-1] == '\r' || i == 0 && afterCR) {
			return bad(400, "bare line feed in the head")
		}
		if c == '\r' && i+1 < len(b) && b[i+1] != '\n' {
			return bad(400, "bare carriage return in the head")
		}
	}
	return nil
}

func (m *Message) requestLine(line []byte) error {
	method, rest, ok := bytes.Cut(line, []byte(" "))
	target, version, ok2 := bytes.Cut(rest, []byte(" "))
	if !ok || !ok2 || !token(method) {
		return bad(400, "no request line: %.60q", line)
	}
	if len(target) == 0 {
		return bad(400, "empty target")
	}
	for _, c := range target {
		if c <= ' ' || c == 0x7f {
			return bad(400, "control character or space in the target")
		}
	}
	m.Method, m.Target = method, target
	return m.version(version)
}

func (m *Message) statusLine(line []byte) error {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	if err := m.version(version); err != nil {
		return err
	}
	if len(rest) < 3 || len(rest) > 3 && rest[3] != ' ' {
		return bad(400, "no status line: %.60q", line)
	}
	for _, c := range rest[:3] {
		if c < '0' || c > '9' {
			return bad(400, "status %.3q is no number", rest)
		}
		m.Status = m.Status*10 + int(c-'0')
	}
	if m.Status < 100 {
		return bad(400, "status %d", m.Status)
	}
	if len(rest) > 4 {
		m.Reason = rest[4:]
		if !value(m.Reason) {
			return bad(400, "control character in the status line")
		}
	}
	return nil
}

func (m *Message) version(v []byte) error {
	switch {
	case string(v) == "HTTP/1.1":
		m.Minor = 1
	case string(v) == "HTTP/1.0":
		m.Minor = 0
	case len(v) == 8 && bytes.HasPrefix(v, []byte("HTTP/")) && digit(v[5]) && v[6] == '.' && digit(v[7]):
		return bad(505, "version %s", v)
	default:
		return bad(400, "no version: %.20q", v)
	}
	return nil
}

func digit(c byte) bool { return '0' <= c && c <= '9' }

func field(line []byte) (Field, error) {
	if len(line) > 0 && (line[0] == ' ' || line[0] == '\t') {
		return Field{}, bad(400, "folded line")
	}
	name, val, ok := bytes.Cut(line, []byte(":"))
	if !ok {
		return Field{}, bad(400, "field without a colon: %.60q", line)
	}
	if !token(name) {
		return Field{}, bad(400, "field name %.60q", name)
	}
	val = bytes.Trim(val, " \t")
	if !value(val) {
		return Field{}, bad(400, "control character in field %s", name)
	}
	return Field{Name: name, Value: val}, nil
}

// tokens are the characters of a token (RFC 9110, 5.6.2).
var tokens = func() (t [256]bool) {
	for c := 'a'; c <= 'z'; c++ {
		t[c], t[c-'a'+'A'] = true, true
	}
	for c := '0'; c <= '9'; c++ {
		t[c] = true
	}
	for _, c := range "!#$%&'*+-.^_`|~" {
		t[c] = true
	}
	return t
}()

func token(b []byte) bool {
	for _, c := range b {
		if !tokens[c] {
			return false
		}
	}
	return len(b) > 0
}

func value(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

// frame finds where the body ends and whether the connection outlives the message.
func (p *Parser) frame() error {
	m := &p.msg
	lengths, codings, hosts := 0, 0, 0
	m.Close = m.Minor == 0
	for _, f := range m.Fields {
		switch {
		case equalFold(f.Name, "Content-Length"):
			lengths++
			if lengths > 1 {
				return bad(400, "more than one Content-Length")
			}
			n, err := length(f.Value, p.Body)
			if err != nil {
				return err
			}
			p.length = n
		case equalFold(f.Name, "Transfer-Encoding"):
			codings++
			if codings > 1 || m.Minor == 0 {
				return bad(400, "more than one Transfer-Encoding, or one in HTTP/1.0")
			}
			if !equalFold(f.Value, "chunked") {
				return bad(501, "transfer coding %.40q", f.Value)
			}
		case equalFold(f.Name, "Host"):
			hosts++
		case equalFold(f.Name, "Connection"):
			for opt := range bytes.SplitSeq(f.Value, []byte(",")) {
				opt = bytes.Trim(opt, " \t")
				if equalFold(opt, "close") {
					m.Close = true
				} else if equalFold(opt, "keep-alive") && m.Minor == 0 {
					m.Close = false
				}
			}
		}
	}
	if lengths > 0 && codings > 0 {
		return bad(400, "both Content-Length and Transfer-Encoding")
	}
	if p.kind == request && (hosts > 1 || hosts == 0 && m.Minor == 1) {
		return bad(400, "%d Host fields", hosts)
	}
	switch {
	case p.kind == response && (p.headers || m.Status < 200 || m.Status == 204 || m.Status == 304):
		p.body = none
	case codings > 0:
		p.body = chunked
	case lengths > 0 && p.length > 0:
		p.body = byLength
	case lengths > 0 || p.kind == request:
		p.body = none
	default:
		p.body = toClose
	}
	return nil
}

func length(v []byte, most int) (int, error) {
	if len(v) == 0 {
		return 0, bad(400, "empty Content-Length")
	}
	n := 0
	for _, c := range v {
		if !digit(c) {
			return 0, bad(400, "Content-Length %.30q", v)
		}
		if n = n*10 + int(c-'0'); n > most {
			return 0, bad(413, "body over %d bytes", most)
		}
	}
	return n, nil
}

// parseChunks reads the chunks that are whole, then the trailers, which are checked and dropped.
func (p *Parser) parseChunks(b []byte) error {
	for p.trailer == 0 {
		line, err := p.line(b, p.Line)
		if err != nil {
			return err
		}
		size, err := chunkSize(line, p.Body-len(p.chunks))
		if err != nil {
			return err
		}
		data := p.at + len(line) + 2
		if size == 0 {
			p.at, p.trailer = data, 1
			break
		}
		if len(b) < data+size+2 {
			return ErrMore
		}
		if b[data+size] != '\r' || b[data+size+1] != '\n' {
			return bad(400, "chunk longer than its size")
		}
		p.chunks = append(p.chunks, b[data:data+size]...)
		p.at = data + size + 2
	}
	for {
		line, err := p.line(b, p.Head-p.trailer)
		if err != nil {
			return err
		}
		p.at += len(line) + 2
		if len(line) == 0 {
			return nil
		}
		if p.trailer += len(line) + 2; p.trailer > p.Head {
			return bad(431, "trailers over %d bytes", p.Head)
		}
		if _, err := field(line); err != nil {
			return err
		}
	}
}

// line returns the line at p.at, without its end.
func (p *Parser) line(b []byte, most int) ([]byte, error) {
	rest := b[min(p.at, len(b)):]
	nl := bytes.IndexByte(rest, '\n')
	if nl > most || nl < 0 && len(rest) > most {
		return nil, bad(400, "line in the body over %d bytes", most)
	}
	if nl < 0 {
		return nil, ErrMore
	}
	if nl == 0 || rest[nl-1] != '\r' || bytes.IndexByte(rest[:nl-1], '\r') >= 0 {
		return nil, bad(400, "bare line feed or carriage return in a chunked body")
	}
	return rest[:nl-1], nil
}

func chunkSize(line []byte, most int) (int, error) {
	hex, ext, extended := bytes.Cut(line, []byte(";"))
	if extended {
		hex = bytes.TrimRight(hex, " \t")
		if !value(ext) {
			return 0, bad(400, "control character in a chunk extension")
		}
	}
	if len(hex) == 0 {
		return 0, bad(400, "chunk without a size")
	}
	n := 0
	for _, c := range hex {
		switch c = lower(c); {
		case digit(c):
			n = n*16 + int(c-'0')
		case 'a' <= c && c <= 'f':
			n = n*16 + int(c-'a') + 10
		default:
			return 0, bad(400, "chunk size %.20q", hex)
		}
		if n > most {
			return 0, bad(413, "body over its bound")
		}
	}
	return n, nil
}

// Package http1 parses and writes HTTP/1.1 messages (RFC 9112) in byte buffers, without any I/O. A Parser is given the bytes
// received so far and reports whether they start with a complete message. Messages that two parsers could interpret
// differently (both a length and a transfer coding, bare line feeds, folded lines, spaces before a colon) are rejected and
// never repaired.
package http1

import (
	"bytes"
	"errors"
	"fmt"
)

// Bounds are limits on the size of a message, in bytes. A message that exceeds one of them is rejected.
type Bounds struct {
	Line int // maximum size of the first line, and of each chunk-size line
	Head int // maximum size of the first line and the fields together, and of the trailers
	Body int // maximum size of the body
}

// DefaultBounds are limits suitable for small ops.
var DefaultBounds = Bounds{Line: 8 << 10, Head: 32 << 10, Body: 1 << 20}

// maxFields limits the fields of a head: a head of the allowed size with very short fields would take several times its
// size in memory.
const maxFields = 256

// ErrIncomplete reports that more bytes are needed to complete the message.
var ErrIncomplete = errors.New("http1: more bytes are needed")

// MalformedError reports a message that is invalid, too large or not supported. Nothing after it on the connection can be
// interpreted.
type MalformedError struct {
	Status int // the status to answer with: 400, 413, 414, 431, 501 or 505
	Reason string
}

func (m *MalformedError) Error() string { return fmt.Sprintf("http1: %d: %s", m.Status, m.Reason) }

// malformed returns a *MalformedError.
func malformed(status int, format string, args ...any) error {
	return &MalformedError{Status: status, Reason: fmt.Sprintf(format, args...)}
}

// errTooManyFields reports a head with more than maxFields fields.
var errTooManyFields = malformed(431, "more than %d fields", maxFields)

// Field is one header field. Its bytes belong to the parser, like the rest of the head.
type Field struct{ Name, Value []byte }

// Message is a request or a response. The contents of its head belong to the parser and are valid until the parser's Reset,
// and so is the body of a chunked message. Any other body is a part of the buffer passed to the last call of Parse.
type Message struct {
	Method, Target []byte // request method and target; empty in a response
	Status         int    // status code; 0 in a request
	Reason         []byte // reason phrase of a response
	Minor          int    // minor protocol version: 0 for HTTP/1.0, 1 for HTTP/1.1
	Fields         []Field
	Body           []byte
	Size           int  // bytes that the message occupies in the buffer
	Close          bool // the connection closes after this message
}

// Get returns the value of the first field with the given name, ignoring case; nil if there is none.
func (m *Message) Get(name string) []byte {
	for i := range m.Fields {
		if equalFold(m.Fields[i].Name, name) {
			return m.Fields[i].Value
		}
	}
	return nil
}

// equalFold reports whether b equals the ASCII string s, ignoring case.
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

// lower returns an ASCII character in lower case.
func lower(c byte) byte {
	if 'A' <= c && c <= 'Z' {
		return c + 'a' - 'A'
	}
	return c
}

// kind is the kind of message that a Parser reads.
type kind byte

const (
	request kind = iota
	response
)

// Parser parses the messages of one direction of one connection. It remembers how far it has searched, so that a message
// received in many small pieces costs no more than one received at once.
type Parser struct {
	Bounds
	kind          kind
	headResponse  bool    // the response answers a HEAD request and has no body, whatever its fields state
	msg           Message // the message being parsed
	headCopy      []byte  // copy of the head; the fields of msg point into it
	scanned       int     // bytes known not to contain the end of the head
	lineEnds      int     // line feeds among the bytes scanned
	headSize      int     // bytes of the head with the empty line after it; 0 until the head has been parsed
	body          framing // how the end of the body is determined
	contentLength int     // announced length, for lengthBody
	offset        int     // bytes consumed so far, for chunkedBody: start of the next chunk
	chunkedData   []byte  // body decoded so far, for chunkedBody
	trailerSize   int     // bytes of trailers read, plus 1; 0 until the last chunk has been read
}

// framing is how the end of a body is determined (RFC 9112, 6.3).
type framing byte

const (
	noBody         framing = iota
	lengthBody             // by Content-Length
	chunkedBody            // by the chunked transfer coding
	untilCloseBody         // by the end of the connection
)

// NewRequestParser returns a parser for requests.
func NewRequestParser(b Bounds) *Parser { return &Parser{Bounds: b, kind: request} }

// NewResponseParser returns a parser for responses.
func NewResponseParser(b Bounds) *Parser { return &Parser{Bounds: b, kind: response} }

// ExpectHeadResponse tells the parser that the next response answers a HEAD request. It must be called again after Reset.
func (p *Parser) ExpectHeadResponse() { p.headResponse = true }

// Parse parses one complete message at the start of b, which holds all bytes received since the end of the previous message.
// ended states that no more bytes will arrive. Parse returns ErrIncomplete if the message is not complete yet and a
// *MalformedError if it never can be. After ErrIncomplete the parser keeps no reference to b, so the next call may pass the
// same bytes in other memory. The body of a complete message is a part of b unless it is chunked, so b must not be modified
// before Reset.
func (p *Parser) Parse(b []byte, ended bool) (*Message, error) {
	if p.headSize == 0 {
		if err := p.parseHead(b); err != nil {
			return nil, err
		}
	}
	m := &p.msg
	switch p.body {
	case noBody:
		m.Size = p.headSize
	case lengthBody:
		if len(b) < p.headSize+p.contentLength {
			return nil, ErrIncomplete
		}
		m.Body, m.Size = b[p.headSize:p.headSize+p.contentLength], p.headSize+p.contentLength
	case chunkedBody:
		if err := p.parseChunks(b); err != nil {
			return nil, err
		}
		m.Body, m.Size = p.chunkedData, p.offset
	case untilCloseBody:
		if len(b)-p.headSize > p.Body {
			return nil, malformed(413, "body over %d bytes", p.Body)
		}
		if !ended {
			return nil, ErrIncomplete
		}
		m.Body, m.Size, m.Close = b[p.headSize:], len(b), true
	}
	return m, nil
}

// ExpectsContinue reports whether the head of the current message has been parsed and asks for an interim response before
// the client sends the body (Expect: 100-continue, RFC 9110, 10.1.1).
func (p *Parser) ExpectsContinue() bool {
	return p.headSize > 0 && p.msg.Minor == 1 && equalFold(p.msg.Get("Expect"), "100-continue")
}

// KnownSize returns the size of the current message in bytes as far as its head tells, 0 before the head has been parsed.
func (p *Parser) KnownSize() int {
	if p.headSize == 0 {
		return 0
	}
	return p.headSize + p.contentLength
}

// Reset prepares the parser for the next message. The message returned last must not be used any more.
func (p *Parser) Reset() {
	*p = Parser{Bounds: p.Bounds, kind: p.kind, msg: Message{Fields: p.msg.Fields[:0]},
		headCopy: reuseBuffer(p.headCopy, maxHeadKept), chunkedData: reuseBuffer(p.chunkedData, maxChunksKept)}
}

// Capacities, in bytes, up to which a parser keeps a buffer for the next message; larger buffers would stay allocated to
// idle connections.
const (
	maxHeadKept   = 4 << 10
	maxChunksKept = 16 << 10
)

// reuseBuffer returns an empty slice with the memory of b, or nil if its capacity exceeds limit.
func reuseBuffer(b []byte, limit int) []byte {
	if cap(b) > limit {
		return nil
	}
	return b[:0]
}

// parseHead parses the first line and the fields, once the empty line after them has arrived.
func (p *Parser) parseHead(b []byte) error {
	end := bytes.Index(b[p.scanned:], []byte("\r\n\r\n"))
	if end < 0 {
		if len(b) > p.Head {
			return malformed(431, "head over %d bytes", p.Head)
		}
		if nl := bytes.IndexByte(b, '\n'); nl < 0 && len(b) > p.Line {
			return malformed(414, "first line over %d bytes", p.Line)
		} else if nl >= 0 {
			if err := checkLineEnds(b[p.scanned:], p.scanned > 0 && b[p.scanned-1] == '\r'); err != nil {
				return err
			}
		}
		scanned := max(p.scanned, len(b)-3)
		p.lineEnds += bytes.Count(b[p.scanned:scanned], []byte("\n"))
		p.scanned = scanned
		if p.lineEnds > maxFields+1 { // one is of the first line
			return errTooManyFields
		}
		return ErrIncomplete
	}
	end += p.scanned
	if end+4 > p.Head {
		return malformed(431, "head over %d bytes", p.Head)
	}
	// A bare line feed or carriage return remains within its line, where it is rejected as an invalid character. The head is
	// copied, because the body may arrive with b in other memory.
	p.headCopy = append(p.headCopy[:0], b[:end+2]...)
	lines := p.headCopy
	first, rest, _ := bytes.Cut(lines, []byte("\r\n"))
	if len(first) > p.Line {
		return malformed(414, "first line over %d bytes", p.Line)
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
		f, err := parseField(line)
		if err != nil {
			return err
		}
		if len(m.Fields) == maxFields {
			return errTooManyFields
		}
		m.Fields = append(m.Fields, f)
	}
	if err := p.parseFraming(); err != nil {
		return err
	}
	p.headSize, p.offset = end+4, end+4
	return nil
}

// checkLineEnds rejects a line feed without a preceding carriage return, and a carriage return without a following line
// feed. afterCR states that a carriage return precedes b.
func checkLineEnds(b []byte, afterCR bool) error {
	for i, c := range b {
		if c == '\n' && !(i > 0 && b[i-1] == '\r' || i == 0 && afterCR) {
			return malformed(400, "bare line feed in the head")
		}
		if c == '\r' && i+1 < len(b) && b[i+1] != '\n' {
			return malformed(400, "bare carriage return in the head")
		}
	}
	return nil
}

// requestLine parses the first line of a request.
func (m *Message) requestLine(line []byte) error {
	method, rest, ok := bytes.Cut(line, []byte(" "))
	target, version, ok2 := bytes.Cut(rest, []byte(" "))
	if !ok || !ok2 || !isToken(method) {
		return malformed(400, "no request line: %.60q", line)
	}
	if len(target) == 0 {
		return malformed(400, "empty target")
	}
	for _, c := range target {
		if c <= ' ' || c == 0x7f {
			return malformed(400, "control character or space in the target")
		}
	}
	m.Method, m.Target = method, target
	return m.version(version)
}

// statusLine parses the first line of a response.
func (m *Message) statusLine(line []byte) error {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	if err := m.version(version); err != nil {
		return err
	}
	if len(rest) < 3 || len(rest) > 3 && rest[3] != ' ' {
		return malformed(400, "no status line: %.60q", line)
	}
	for _, c := range rest[:3] {
		if c < '0' || c > '9' {
			return malformed(400, "status %.3q is no number", rest)
		}
		m.Status = m.Status*10 + int(c-'0')
	}
	if m.Status < 100 {
		return malformed(400, "status %d", m.Status)
	}
	if len(rest) > 4 {
		m.Reason = rest[4:]
		if !isFieldValue(m.Reason) {
			return malformed(400, "control character in the status line")
		}
	}
	return nil
}

// version parses the protocol version; only HTTP/1.0 and HTTP/1.1 are supported.
func (m *Message) version(v []byte) error {
	switch {
	case string(v) == "HTTP/1.1":
		m.Minor = 1
	case string(v) == "HTTP/1.0":
		m.Minor = 0
	case len(v) == 8 && bytes.HasPrefix(v, []byte("HTTP/")) && digit(v[5]) && v[6] == '.' && digit(v[7]):
		return malformed(505, "version %s", v)
	default:
		return malformed(400, "no version: %.20q", v)
	}
	return nil
}

func digit(c byte) bool { return '0' <= c && c <= '9' }

// parseField parses a field line, without its line end.
func parseField(line []byte) (Field, error) {
	if len(line) > 0 && (line[0] == ' ' || line[0] == '\t') {
		return Field{}, malformed(400, "folded line")
	}
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok {
		return Field{}, malformed(400, "field without a colon: %.60q", line)
	}
	if !isToken(name) {
		return Field{}, malformed(400, "field name %.60q", name)
	}
	value = bytes.Trim(value, " \t")
	if !isFieldValue(value) {
		return Field{}, malformed(400, "control character in field %s", name)
	}
	return Field{Name: name, Value: value}, nil
}

// tokenChars marks the characters allowed in a token (RFC 9110, 5.6.2).
var tokenChars = func() (t [256]bool) {
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

// isToken reports whether b is a token.
func isToken(b []byte) bool {
	for _, c := range b {
		if !tokenChars[c] {
			return false
		}
	}
	return len(b) > 0
}

// isFieldValue reports whether b has no control character except tabs.
func isFieldValue(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

// parseFraming determines from the fields where the body ends and whether the connection stays open after the message.
func (p *Parser) parseFraming() error {
	m := &p.msg
	lengths, codings, hosts := 0, 0, 0
	m.Close = m.Minor == 0
	for _, f := range m.Fields {
		switch {
		case equalFold(f.Name, "Content-Length"):
			lengths++
			if lengths > 1 {
				return malformed(400, "more than one Content-Length")
			}
			n, err := parseContentLength(f.Value, p.Body)
			if err != nil {
				return err
			}
			p.contentLength = n
		case equalFold(f.Name, "Transfer-Encoding"):
			codings++
			if codings > 1 || m.Minor == 0 {
				return malformed(400, "more than one Transfer-Encoding, or one in HTTP/1.0")
			}
			if !equalFold(f.Value, "chunked") {
				return malformed(501, "transfer coding %.40q", f.Value)
			}
		case equalFold(f.Name, "Host"):
			hosts++
		case equalFold(f.Name, "Connection"):
			for option := range bytes.SplitSeq(f.Value, []byte(",")) {
				option = bytes.Trim(option, " \t")
				if equalFold(option, "close") {
					m.Close = true
				} else if equalFold(option, "keep-alive") && m.Minor == 0 {
					m.Close = false
				}
			}
		}
	}
	if lengths > 0 && codings > 0 {
		return malformed(400, "both Content-Length and Transfer-Encoding")
	}
	if p.kind == request && (hosts > 1 || hosts == 0 && m.Minor == 1) {
		return malformed(400, "%d Host fields", hosts)
	}
	switch {
	case p.kind == response && (p.headResponse || m.Status < 200 || m.Status == 204 || m.Status == 304):
		p.body = noBody
	case codings > 0:
		p.body = chunkedBody
	case lengths > 0 && p.contentLength > 0:
		p.body = lengthBody
	case lengths > 0 || p.kind == request:
		p.body = noBody
	default:
		p.body = untilCloseBody
	}
	return nil
}

// parseContentLength parses the value of a Content-Length field, which may be at most limit.
func parseContentLength(v []byte, limit int) (int, error) {
	if len(v) == 0 {
		return 0, malformed(400, "empty Content-Length")
	}
	n := 0
	for _, c := range v {
		if !digit(c) {
			return 0, malformed(400, "Content-Length %.30q", v)
		}
		if n = n*10 + int(c-'0'); n > limit {
			return 0, malformed(413, "body over %d bytes", limit)
		}
	}
	return n, nil
}

// parseChunks decodes the chunks that have arrived completely, and then checks and discards the trailers.
func (p *Parser) parseChunks(b []byte) error {
	for p.trailerSize == 0 {
		line, err := p.readLine(b, p.Line)
		if err != nil {
			return err
		}
		size, err := chunkSize(line, p.Body-len(p.chunkedData))
		if err != nil {
			return err
		}
		dataStart := p.offset + len(line) + 2
		if size == 0 {
			p.offset, p.trailerSize = dataStart, 1
			break
		}
		if len(b) < dataStart+size+2 {
			return ErrIncomplete
		}
		if b[dataStart+size] != '\r' || b[dataStart+size+1] != '\n' {
			return malformed(400, "chunk longer than its size")
		}
		p.chunkedData = append(p.chunkedData, b[dataStart:dataStart+size]...)
		p.offset = dataStart + size + 2
	}
	for {
		line, err := p.readLine(b, p.Head-p.trailerSize)
		if err != nil {
			return err
		}
		p.offset += len(line) + 2
		if len(line) == 0 {
			return nil
		}
		if p.trailerSize += len(line) + 2; p.trailerSize > p.Head {
			return malformed(431, "trailers over %d bytes", p.Head)
		}
		if _, err := parseField(line); err != nil {
			return err
		}
	}
}

// readLine returns the line at p.offset without its line end. It returns an error if the line is longer than limit.
func (p *Parser) readLine(b []byte, limit int) ([]byte, error) {
	rest := b[min(p.offset, len(b)):]
	nl := bytes.IndexByte(rest, '\n')
	if nl > limit || nl < 0 && len(rest) > limit {
		return nil, malformed(400, "line in the body over %d bytes", limit)
	}
	if nl < 0 {
		return nil, ErrIncomplete
	}
	if nl == 0 || rest[nl-1] != '\r' || bytes.IndexByte(rest[:nl-1], '\r') >= 0 {
		return nil, malformed(400, "bare line feed or carriage return in a chunked body")
	}
	return rest[:nl-1], nil
}

// chunkSize parses a chunk-size line, and ignores chunk extensions. The size may be at most limit.
func chunkSize(line []byte, limit int) (int, error) {
	hex, ext, extended := bytes.Cut(line, []byte(";"))
	if extended {
		hex = bytes.TrimRight(hex, " \t")
		if !isFieldValue(ext) {
			return 0, malformed(400, "control character in a chunk extension")
		}
	}
	if len(hex) == 0 {
		return 0, malformed(400, "chunk without a size")
	}
	n := 0
	for _, c := range hex {
		switch c = lower(c); {
		case digit(c):
			n = n*16 + int(c-'0')
		case 'a' <= c && c <= 'f':
			n = n*16 + int(c-'a') + 10
		default:
			return 0, malformed(400, "chunk size %.20q", hex)
		}
		if n > limit {
			return 0, malformed(413, "body over its bound")
		}
	}
	return n, nil
}

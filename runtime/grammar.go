// Package runtime implements the text protocol of the runtime API: the command grammar that HAProxy's management guide
// documents for its socket, the changes that a pilot sends as commands, and the blocks that a proxy sends back. It does no
// network I/O. docs/runtime-api.md lists the commands. A Scanner turns bytes into complete requests; it returns no part of a
// truncated one.
package runtime

import (
	"bytes"
	"errors"
	"strings"
)

// Bounds limit the size of one request. A request that exceeds one of them ends the session, because the bytes that follow
// could belong to the same request.
type Bounds struct {
	Line     int // bytes in a command line or a payload line
	Words    int // words in a command
	Commands int // commands in a line
	Payload  int // bytes in a payload
	Lines    int // lines in a payload, each of which takes memory in addition to its bytes
}

// SessionBounds are the bounds of an admin session with a person or a script; StreamBounds are those of a pilot's stream.
var (
	SessionBounds = Bounds{Line: 16 << 10, Words: 64, Commands: 64, Payload: 64 << 10, Lines: 1 << 12}
	StreamBounds  = Bounds{Line: 16 << 10, Words: 64, Commands: 1, Payload: 16 << 20, Lines: 1 << 20}
)

// Command is one command: its words, and the lines of its payload if it has one.
type Command struct {
	Words      []string
	Payload    []string
	HasPayload bool
}

func (c Command) String() string { return strings.Join(c.Words, " ") }

// HasPrefix reports whether the command begins with these words.
func (c Command) HasPrefix(words ...string) bool {
	if len(c.Words) < len(words) {
		return false
	}
	for i, w := range words {
		if c.Words[i] != w {
			return false
		}
	}
	return true
}

// ErrTooLong is the error for a request or a block that exceeds its limits.
var ErrTooLong = errors.New("runtime: request past its bounds")

// Scanner splits a stream of bytes into requests.
type Scanner struct {
	bounds      Bounds
	buf         []byte
	scanned     int       // bytes at the start of buf that contain no line feed
	line        []Command // the commands of the line whose payload is being read
	endLine     string    // the line that ends the payload
	payloadSize int       // bytes of the payload read so far
	inPayload   bool      // a payload is being read
	err         error     // returned by every further call of Next
}

// NewScanner returns a Scanner whose requests are limited by b.
func NewScanner(b Bounds) *Scanner { return &Scanner{bounds: b} }

// Feed appends received bytes. The scanner buffers at most one incomplete line and the bytes fed after it.
func (s *Scanner) Feed(b []byte) {
	if s.err == nil {
		s.buf = append(s.buf, b...)
	}
}

// payloadLineBytes is what a line of a payload takes in addition to its bytes.
const payloadLineBytes = 64

// Buffered returns the memory that an incomplete request takes, in bytes.
func (s *Scanner) Buffered() int {
	size := len(s.buf) + s.payloadSize
	if s.inPayload {
		size += payloadLineBytes * len(s.line[len(s.line)-1].Payload)
	}
	return size
}

// ReadingPayload reports whether a payload is being read; an interactive session shows this by its prompt.
func (s *Scanner) ReadingPayload() bool { return s.inPayload }

// Next returns the commands of the next complete line, with its payload. ok is false while there is none. Once it has
// returned an error, every further call returns the same error.
func (s *Scanner) Next() (line []Command, ok bool, err error) {
	for s.err == nil {
		text, whole := s.nextLine()
		if !whole {
			break
		}
		if s.inPayload {
			line, ok = s.payloadLine(text)
		} else {
			line, ok = s.commandLine(text)
		}
		if ok {
			return line, true, nil
		}
	}
	return nil, false, s.err
}

// nextLine removes a complete line from the buffer. It returns false if there is none, and sets the scanner's error if the
// line exceeds its limit.
func (s *Scanner) nextLine() (text string, whole bool) {
	end := bytes.IndexByte(s.buf[s.scanned:], '\n')
	if end < 0 {
		s.scanned = len(s.buf)
		if s.scanned > s.bounds.Line {
			s.err = ErrTooLong
		}
		return "", false
	}
	end += s.scanned
	if end > s.bounds.Line {
		s.err = ErrTooLong
		return "", false
	}
	text = string(bytes.TrimSuffix(s.buf[:end], []byte("\r")))
	s.buf, s.scanned = s.buf[end+1:], 0
	if len(s.buf) == 0 {
		s.buf = nil
	}
	return text, true
}

// payloadLine handles a line of a payload, or the line that ends it, which completes the commands and returns them.
func (s *Scanner) payloadLine(text string) (line []Command, whole bool) {
	if text == s.endLine {
		line = s.line
		s.line, s.inPayload, s.payloadSize = nil, false, 0
		return line, true
	}
	if s.payloadSize += len(text) + 1; s.payloadSize > s.bounds.Payload {
		s.err = ErrTooLong
		return nil, false
	}
	last := &s.line[len(s.line)-1]
	if len(last.Payload) == s.bounds.Lines {
		s.err = ErrTooLong
		return nil, false
	}
	last.Payload = append(last.Payload, text)
	return nil, false
}

// commandLine handles a line of commands. They are complete, and returned, unless a payload follows or the line has none.
func (s *Scanner) commandLine(text string) (line []Command, whole bool) {
	l, err := splitLine(text, s.bounds)
	if err != nil {
		s.err = err
		return nil, false
	}
	if l.opensPayload {
		s.line, s.endLine, s.inPayload = l.commands, l.payloadEnd, true
		s.line[len(s.line)-1].HasPayload = true
		return nil, false
	}
	return l.commands, len(l.commands) > 0
}

// Quote escapes a word so that splitLine reads it back unchanged, except that carriage returns and line feeds, which cannot
// be escaped, become spaces.
func Quote(w string) string {
	if !strings.ContainsAny(w, " \t;\\\r\n") && !strings.HasPrefix(w, payloadMark) {
		return w
	}
	var b strings.Builder
	if strings.HasPrefix(w, payloadMark) {
		b.WriteByte('\\')
	}
	for _, c := range []byte(w) {
		switch c {
		case '\r', '\n':
			c = ' '
			b.WriteByte('\\')
		case ' ', '\t', ';', '\\':
			b.WriteByte('\\')
		}
		b.WriteByte(c)
	}
	return b.String()
}

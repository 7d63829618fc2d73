// Package runtime is the runtime API: the grammar that HAProxy's management guide publishes for its socket, the changes
// that a pilot orders in it, and the blocks that a proxy sends back. It has no sockets; docs/runtime-api.md lists the
// commands. A Scanner takes bytes in and hands out whole requests; nothing of a request that is cut off is ever seen.
package runtime

import (
	"bytes"
	"errors"
	"strings"
)

// Bounds limit what one request may hold. A request past one of them ends the session: what follows cannot be told from
// its rest.
type Bounds struct {
	Line     int // bytes of a command line or a payload line
	Words    int // of a command
	Commands int // of a line
	Payload  int // bytes of a payload
}

// People are the bounds of a session with a person or a script, StreamBounds those of a pilot's stream.
var (
	People       = Bounds{Line: 16 << 10, Words: 64, Commands: 64, Payload: 1 << 20}
	StreamBounds = Bounds{Line: 16 << 10, Words: 64, Commands: 1, Payload: 16 << 20}
)

// Command is one command: its words, and the lines of its payload if it had one.
type Command struct {
	Words      []string
	Payload    []string
	HasPayload bool
}

func (c Command) String() string { return strings.Join(c.Words, " ") }

// HasPrefix tells whether the command begins with these words.
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

// ErrTooLong says that a request went past its bounds.
var ErrTooLong = errors.New("runtime: request past its bounds")

// Scanner cuts bytes into requests.
type Scanner struct {
	bounds  Bounds
	buf     []byte
	scanned int // bytes of buf, known to hold no line end
	line    []Command
	end     string // the pattern that ends the payload
	size    int    // of the payload so far
	payload bool   // a payload is being read
	err     error
}

// NewScanner returns a scanner with these bounds.
func NewScanner(b Bounds) *Scanner { return &Scanner{bounds: b} }

// Feed takes bytes in. The scanner keeps no more than one unfinished line and what was fed after it.
func (s *Scanner) Feed(b []byte) {
	if s.err == nil {
		s.buf = append(s.buf, b...)
	}
}

// Waiting tells whether a payload is being read, as an interactive session shows by its prompt.
func (s *Scanner) Waiting() bool { return s.payload }

// Next returns the commands of the next whole line, with its payload; ok is false until there is one. After an error it
// returns that error for good.
func (s *Scanner) Next() (line []Command, ok bool, err error) {
	for s.err == nil {
		text, whole := s.nextLine()
		if !whole {
			break
		}
		if s.payload {
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

// nextLine takes a whole line out of the buffer; false if there is none, or one past the bounds, which is an error.
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

// payloadLine takes a line of a payload, or its end, with which the commands are whole.
func (s *Scanner) payloadLine(text string) (line []Command, whole bool) {
	if text == s.end {
		line = s.line
		s.line, s.payload, s.size = nil, false, 0
		return line, true
	}
	if s.size += len(text) + 1; s.size > s.bounds.Payload {
		s.err = ErrTooLong
		return nil, false
	}
	last := &s.line[len(s.line)-1]
	last.Payload = append(last.Payload, text)
	return nil, false
}

// commandLine takes a line of commands, which are whole unless a payload follows or there are none.
func (s *Scanner) commandLine(text string) (line []Command, whole bool) {
	l, err := splitLine(text, s.bounds)
	if err != nil {
		s.err = err
		return nil, false
	}
	if l.opensPayload {
		s.line, s.end, s.payload = l.commands, l.payloadEnd, true
		s.line[len(s.line)-1].HasPayload = true
		return nil, false
	}
	return l.commands, len(l.commands) > 0
}

// Quote writes a word so that splitLine reads it back as it is. Line ends cannot be written and become blanks.
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

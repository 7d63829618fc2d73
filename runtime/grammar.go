// Package runtime is the runtime API: the grammar that HAProxy's management guide publishes for its socket, the changes
// that a pilot orders in it, and the blocks that a proxy sends back. It has no sockets; docs/runtime-api.md lists the
// commands. A Scanner takes bytes in and hands out whole requests; nothing of a request that is cut off is ever seen.
package runtime

import (
	"bytes"
	"errors"
	"fmt"
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

// People are the bounds of a session with a person or a script, Orders those of a pilot's stream.
var (
	People = Bounds{Line: 16 << 10, Words: 64, Commands: 64, Payload: 1 << 20}
	Orders = Bounds{Line: 16 << 10, Words: 64, Commands: 1, Payload: 16 << 20}
)

// Command is one command: its words, and the lines of its payload if it had one.
type Command struct {
	Words      []string
	Payload    []string
	HasPayload bool
}

func (c Command) String() string { return strings.Join(c.Words, " ") }

// Is tells whether the command begins with these words.
func (c Command) Is(words ...string) bool {
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
	looked  int // of buf, known to hold no line end
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
		nl := bytes.IndexByte(s.buf[s.looked:], '\n')
		if nl < 0 {
			if s.looked = len(s.buf); s.looked > s.bounds.Line {
				s.err = ErrTooLong
			}
			return nil, false, s.err
		}
		nl += s.looked
		if nl > s.bounds.Line {
			s.err = ErrTooLong
			break
		}
		text := string(bytes.TrimSuffix(s.buf[:nl], []byte("\r")))
		s.buf, s.looked = s.buf[nl+1:], 0
		if len(s.buf) == 0 {
			s.buf = nil
		}
		if s.payload {
			if text == s.end {
				done := s.line
				s.line, s.payload, s.size = nil, false, 0
				return done, true, nil
			}
			if s.size += len(text) + 1; s.size > s.bounds.Payload {
				s.err = ErrTooLong
				break
			}
			last := &s.line[len(s.line)-1]
			last.Payload = append(last.Payload, text)
			continue
		}
		cmds, end, opened, err := s.split(text)
		if err != nil {
			s.err = err
			break
		}
		if len(cmds) == 0 {
			continue
		}
		if opened {
			s.line, s.end, s.payload = cmds, end, true
			s.line[len(s.line)-1].HasPayload = true
			continue
		}
		return cmds, true, nil
	}
	return nil, false, s.err
}

// split cuts a line into commands at semicolons and into words at blanks; a backslash takes the next character as it is.
// A last word that begins with << opens a payload, which the rest of that word ends.
func (s *Scanner) split(text string) (cmds []Command, end string, opened bool, err error) {
	var words []string
	var word []byte
	inWord, escaped, plain := false, false, true
	endWord := func() error {
		if !inWord {
			return nil
		}
		if len(words) == s.bounds.Words {
			return fmt.Errorf("runtime: more than %d words in a command", s.bounds.Words)
		}
		words = append(words, string(word))
		word, inWord = word[:0], false
		return nil
	}
	endCommand := func() error {
		if err := endWord(); err != nil || len(words) == 0 {
			return err
		}
		if len(cmds) == s.bounds.Commands {
			return fmt.Errorf("runtime: more than %d commands in a line", s.bounds.Commands)
		}
		cmds, words = append(cmds, Command{Words: words}), nil
		return nil
	}
	for i := 0; i < len(text); i++ {
		c := text[i]
		switch {
		case escaped:
			word, escaped = append(word, c), false
		case c == '\\':
			if !inWord {
				plain = false
			}
			inWord, escaped = true, true
		case c == ' ' || c == '\t':
			err = endWord()
		case c == ';':
			err = endCommand()
		default:
			if !inWord {
				plain = true
			}
			word, inWord = append(word, c), true
		}
		if err != nil {
			return nil, "", false, err
		}
	}
	if escaped {
		word = append(word, '\\')
	}
	if inWord && plain && bytes.HasPrefix(word, []byte("<<")) && len(words) > 0 {
		if len(word) > 2+7 {
			return nil, "", false, fmt.Errorf("runtime: payload pattern over 7 characters")
		}
		end, opened, inWord = string(word[2:]), true, false
	}
	if err := endCommand(); err != nil {
		return nil, "", false, err
	}
	return cmds, end, opened, nil
}

// Quote writes a word so that split reads it back as it is. Line ends cannot be written and become blanks.
func Quote(w string) string {
	if !strings.ContainsAny(w, " \t;\\\r\n") && !strings.HasPrefix(w, "<<") {
		return w
	}
	var b strings.Builder
	if strings.HasPrefix(w, "<<") {
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

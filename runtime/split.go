package runtime

import (
	"bytes"
	"fmt"
)

// payloadMark begins the last word of a line that a payload follows; the rest of the word is the line that ends the payload.
const payloadMark = "<<"

// maxPayloadPattern bounds the line that ends a payload, in bytes.
const maxPayloadPattern = 7

// splitText is a line cut into commands and words.
type splitText struct {
	commands     []Command
	opensPayload bool
	payloadEnd   string // the line that ends the payload
}

// splitLine cuts a line into commands at semicolons and into words at blanks; a backslash takes the next character as it is. A
// last word that begins with << opens a payload.
func splitLine(text string, bounds Bounds) (l splitText, err error) {
	s := splitter{bounds: bounds}
	for i := 0; i < len(text); i++ {
		if err := s.add(text[i]); err != nil {
			return splitText{}, err
		}
	}
	if s.escaped {
		s.word = append(s.word, '\\')
	}
	if s.atPayloadMark() {
		l.opensPayload, l.payloadEnd = true, string(s.word[len(payloadMark):])
		if len(l.payloadEnd) > maxPayloadPattern {
			return splitText{}, fmt.Errorf("runtime: payload pattern over %d characters", maxPayloadPattern)
		}
		s.inWord = false
	}
	if err := s.endCommand(); err != nil {
		return splitText{}, err
	}
	l.commands = s.commands
	return l, nil
}

// splitOne cuts a line of a pilot's stream that holds one command without a payload; ok is false if it holds something else.
func splitOne(text string) (c Command, ok bool, err error) {
	l, err := splitLine(text, StreamBounds)
	if err != nil || len(l.commands) != 1 || l.opensPayload {
		return Command{}, false, err
	}
	return l.commands[0], true, nil
}

// splitter is the state within a line.
type splitter struct {
	bounds   Bounds
	commands []Command
	words    []string // of the command under way
	word     []byte   // under way, if inWord
	inWord   bool
	escaped  bool // the next character is taken as it is
	quoted   bool // the word began with a backslash, so that it opens no payload
}

// add takes a character.
func (s *splitter) add(c byte) error {
	switch {
	case s.escaped:
		s.word, s.escaped = append(s.word, c), false
	case c == '\\':
		s.beginWord(true)
		s.escaped = true
	case c == ' ' || c == '\t':
		return s.endWord()
	case c == ';':
		return s.endCommand()
	default:
		s.beginWord(false)
		s.word = append(s.word, c)
	}
	return nil
}

// beginWord begins a word unless one is under way.
func (s *splitter) beginWord(quoted bool) {
	if !s.inWord {
		s.inWord, s.quoted = true, quoted
	}
}

func (s *splitter) endWord() error {
	if !s.inWord {
		return nil
	}
	if len(s.words) == s.bounds.Words {
		return fmt.Errorf("runtime: more than %d words in a command", s.bounds.Words)
	}
	s.words = append(s.words, string(s.word))
	s.word, s.inWord = s.word[:0], false
	return nil
}

func (s *splitter) endCommand() error {
	if err := s.endWord(); err != nil || len(s.words) == 0 {
		return err
	}
	if len(s.commands) == s.bounds.Commands {
		return fmt.Errorf("runtime: more than %d commands in a line", s.bounds.Commands)
	}
	s.commands = append(s.commands, Command{Words: s.words})
	s.words = nil
	return nil
}

// atPayloadMark tells whether the word under way, which is not a command's first, opens a payload.
func (s *splitter) atPayloadMark() bool {
	return s.inWord && !s.quoted && len(s.words) > 0 && bytes.HasPrefix(s.word, []byte(payloadMark))
}

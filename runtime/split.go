package runtime

import (
	"bytes"
	"fmt"
)

// payloadMark begins the last word of a line that is followed by a payload. The rest of the word is the line that ends the
// payload.
const payloadMark = "<<"

// maxPayloadPattern limits the length of the line that ends a payload, in bytes.
const maxPayloadPattern = 7

// splitResult is a line split into commands and words.
type splitResult struct {
	commands     []Command
	opensPayload bool   // a payload follows the line
	payloadEnd   string // the line that ends the payload
}

// splitLine splits a line into commands at semicolons, and commands into words at spaces and tabs. A backslash escapes the
// next character. A last word that begins with << opens a payload.
func splitLine(text string, bounds Bounds) (l splitResult, err error) {
	s := splitter{bounds: bounds}
	for i := 0; i < len(text); i++ {
		if err := s.add(text[i]); err != nil {
			return splitResult{}, err
		}
	}
	if s.escaped {
		s.word = append(s.word, '\\')
	}
	if s.atPayloadMark() {
		l.opensPayload, l.payloadEnd = true, string(s.word[len(payloadMark):])
		if len(l.payloadEnd) > maxPayloadPattern {
			return splitResult{}, fmt.Errorf("runtime: payload pattern over %d characters", maxPayloadPattern)
		}
		s.inWord = false
	}
	if err := s.endCommand(); err != nil {
		return splitResult{}, err
	}
	l.commands = s.commands
	return l, nil
}

// splitSingleCommand splits a line of a pilot's stream that holds exactly one command without a payload. ok is false if the
// line holds anything else.
func splitSingleCommand(text string) (c Command, ok bool, err error) {
	l, err := splitLine(text, StreamBounds)
	if err != nil || len(l.commands) != 1 || l.opensPayload {
		return Command{}, false, err
	}
	return l.commands[0], true, nil
}

// splitter is the state of splitting a line.
type splitter struct {
	bounds   Bounds
	commands []Command // complete commands of the line
	words    []string  // complete words of the current command
	word     []byte    // the current word, if inWord
	inWord   bool
	escaped  bool // the next character is literal
	quoted   bool // the current word began with a backslash, so it does not open a payload
}

// add processes the next character.
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

// beginWord begins a word unless the splitter is already in one.
func (s *splitter) beginWord(quoted bool) {
	if !s.inWord {
		s.inWord, s.quoted = true, quoted
	}
}

// endWord ends the current word, if any. It returns an error if the command has too many words.
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

// endCommand ends the current command, if it has words. It returns an error if the line has too many commands.
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

// atPayloadMark reports whether the current word opens a payload; the first word of a command never does.
func (s *splitter) atPayloadMark() bool {
	return s.inWord && !s.quoted && len(s.words) > 0 && bytes.HasPrefix(s.word, []byte(payloadMark))
}

package runtime

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"time"
)

// Message is a set of changes that a pilot sends to a proxy. The proxy applies all of them or none.
type Message struct {
	Pilot      string
	Run        uint64        // number of the pilot's run, which increases with each start
	Number     uint64        // sequence number within the run and the proxy's session, from 1
	CreatedAt  time.Duration // when the pilot created the message, on the pilot's clock
	Lines      int           // lines of the message, its head included, that count against the limit of the pilot's channel
	Checkpoint int           // a number that the proxy repeats in its Confirmation; negative: none
	Changes    []Change
}

// AppendHead appends the command line that opens a message. The lines of the changes and an empty line must follow.
func (m *Message) AppendHead(b []byte) []byte {
	b = append(append(b, "apply "...), Quote(m.Pilot)...)
	b = strconv.AppendUint(append(b, ' '), m.Run, 10)
	b = strconv.AppendUint(append(b, ' '), m.Number, 10)
	b = strconv.AppendInt(append(b, " at "...), m.CreatedAt.Microseconds(), 10)
	b = strconv.AppendInt(append(b, " lines "...), int64(m.Lines), 10)
	if m.Checkpoint >= 0 {
		b = strconv.AppendInt(append(b, " checkpoint "...), int64(m.Checkpoint), 10)
	}
	return append(b, " <<\n"...)
}

// Append appends the whole message.
func (m *Message) Append(b []byte) []byte {
	b = m.AppendHead(b)
	for _, c := range m.Changes {
		b = append(c.Append(b), '\n')
	}
	return append(b, '\n')
}

// ParseMessage parses an apply command with its payload. It returns an error if any line is invalid.
func ParseMessage(c Command) (*Message, error) {
	w := &wordReader{words: c.Words}
	w.expect("apply")
	m := &Message{Pilot: w.take(), Checkpoint: -1}
	m.Run, m.Number = w.uint("run", math.MaxUint64), w.uint("number", math.MaxUint64)
	w.expect("at")
	m.CreatedAt = time.Duration(w.uint("time", math.MaxInt64/1000)) * time.Microsecond
	w.expect("lines")
	m.Lines = int(w.uint("lines", math.MaxInt32))
	if len(w.words) > 0 {
		w.expect("checkpoint")
		m.Checkpoint = int(w.uint("checkpoint", math.MaxUint16))
	}
	if w.end() == nil && !c.HasPayload {
		w.fail("a message without its changes")
	}
	if w.err != nil {
		return nil, w.err
	}
	m.Changes = make([]Change, 0, len(c.Payload))
	for i, line := range c.Payload {
		change, err := parseLine(line)
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", i+1, err)
		}
		m.Changes = append(m.Changes, change)
	}
	return m, nil
}

// parseLine parses a line of a message as a change.
func parseLine(line string) (Change, error) {
	c, ok, err := splitSingleCommand(line)
	if err != nil {
		return Change{}, err
	}
	if !ok {
		return Change{}, errNotOneCommand
	}
	change, err := ParseChange(c.Words)
	if err != nil {
		return change, fmt.Errorf("%q: %w", line, err)
	}
	return change, nil
}

var errNotOneCommand = errors.New("not one command")

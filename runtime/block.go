package runtime

import (
	"bytes"
	"fmt"
	"math"
	"strings"
)

// What a proxy sends to its pilot, and a pilot to a peer, are blocks: lines ended by an empty one, as replies are in HAProxy's
// socket. The first word tells the kind. A pilot answers with commands.

// Blocks cuts bytes into blocks.
type Blocks struct {
	buf      []byte
	scanned  int // bytes of buf, known to hold no end of a block
	maxBytes int // of a block
}

// NewBlockReader returns a reader of blocks of at most maxBytes each.
func NewBlockReader(maxBytes int) *Blocks { return &Blocks{maxBytes: maxBytes} }

// Feed takes bytes in.
func (r *Blocks) Feed(b []byte) { r.buf = append(r.buf, b...) }

// Next returns the lines of the next whole block; ok is false until there is one.
func (r *Blocks) Next() (lines []string, ok bool, err error) {
	end := bytes.Index(r.buf[r.scanned:], []byte("\n\n"))
	if end < 0 || r.scanned+end > r.maxBytes {
		if r.scanned = max(0, len(r.buf)-1); len(r.buf) > r.maxBytes {
			return nil, false, ErrTooLong
		}
		return nil, false, nil
	}
	end += r.scanned
	lines = strings.Split(string(r.buf[:end]), "\n")
	r.buf, r.scanned = r.buf[end+2:], 0
	if len(r.buf) == 0 {
		r.buf = nil
	}
	return lines, true, nil
}

// ParseBlock reads a block: *Hello, RoomProbe, *Holding, InForce, Refused, *Sums or Note.
func ParseBlock(lines []string) (any, error) {
	w, err := readLine(lines[0])
	if err != nil {
		return nil, err
	}
	kind := w.take()
	if kind != "sums" && kind != "table" && len(lines) > 1 {
		return nil, fmt.Errorf("%q has one line, not %d", kind, len(lines))
	}
	block, err := w.block(kind, lines[1:])
	if err != nil {
		return nil, err
	}
	return block, w.end()
}

// block reads a block of a kind: the rest of its first line, and the lines below.
func (w *wordReader) block(kind string, below []string) (any, error) {
	switch kind {
	case "hello":
		return w.hello(), nil
	case "knock":
		return w.roomProbe(), nil
	case "table":
		return w.holding(below)
	case "in-force":
		return w.inForce(), nil
	case "refused":
		return w.refused(), nil
	case "sums":
		return w.sums(below)
	case "note":
		return w.note(), nil
	}
	return nil, fmt.Errorf("%q is no kind of block", kind)
}

// readLine reads a line of a block, which holds one command.
func readLine(line string) (*wordReader, error) {
	c, ok, err := splitOne(line)
	if err != nil {
		return nil, err
	}
	if !ok {
		return nil, fmt.Errorf("%.60q is not one line of words", line)
	}
	return &wordReader{words: c.Words}, nil
}

// Confirmation confirms a message.
type Confirmation struct {
	Run, Number uint64
	Checkpoint  int // below 0: none
	Duplicate   bool
}

// Append appends the block.
func (f Confirmation) Append(b []byte) []byte {
	b = fmt.Appendf(b, "in-force %d %d", f.Run, f.Number)
	if f.Checkpoint >= 0 {
		b = fmt.Appendf(b, " checkpoint %d", f.Checkpoint)
	}
	if f.Duplicate {
		b = append(b, " again"...)
	}
	return append(b, "\n\n"...)
}

func (w *wordReader) inForce() Confirmation {
	f := Confirmation{Run: w.uint("run", math.MaxUint64), Number: w.uint("number", math.MaxUint64), Checkpoint: -1}
	if w.next("checkpoint") {
		w.take()
		f.Checkpoint = int(w.uint("checkpoint", math.MaxUint16))
	}
	if len(w.words) > 0 {
		w.expect("again")
		f.Duplicate = true
	}
	return f
}

// Refused says that a message was not applied, nothing of it, and why.
type Refused struct {
	Run, Number uint64
	Reason      string
}

// Append appends the block.
func (r Refused) Append(b []byte) []byte {
	return fmt.Appendf(b, "refused %d %d %s\n\n", r.Run, r.Number, Quote(r.Reason))
}

func (w *wordReader) refused() Refused {
	return Refused{Run: w.uint("run", math.MaxUint64), Number: w.uint("number", math.MaxUint64), Reason: w.take()}
}

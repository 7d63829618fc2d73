package runtime

import (
	"bytes"
	"fmt"
	"math"
	"strings"
)

// A proxy sends blocks to its pilot, and a pilot sends blocks to its peers. A block is a sequence of lines that ends with an
// empty line, like a reply on HAProxy's socket; its first word is its kind. A pilot answers with commands.

// BlockReader splits a stream of bytes into blocks.
type BlockReader struct {
	buf      []byte
	scanned  int // bytes at the start of buf that contain no end of a block
	maxBytes int // limit on the length of a block
}

// NewBlockReader returns a reader of blocks of at most maxBytes each.
func NewBlockReader(maxBytes int) *BlockReader { return &BlockReader{maxBytes: maxBytes} }

// Feed appends received bytes.
func (r *BlockReader) Feed(b []byte) { r.buf = append(r.buf, b...) }

// Buffered returns the bytes of an incomplete block.
func (r *BlockReader) Buffered() int { return len(r.buf) }

// SetMax changes the limit on the length of a block.
func (r *BlockReader) SetMax(maxBytes int) { r.maxBytes = maxBytes }

// maxBlockLines limits the lines of a block, each of which takes memory of its own once they are separated.
const maxBlockLines = 1 << 16

// Next returns the lines of the next complete block. ok is false while there is none. The error is ErrTooLong if the block
// exceeds the limit.
func (r *BlockReader) Next() (lines []string, ok bool, err error) {
	end := bytes.Index(r.buf[r.scanned:], []byte("\n\n"))
	if end < 0 || r.scanned+end > r.maxBytes {
		if r.scanned = max(0, len(r.buf)-1); len(r.buf) > r.maxBytes {
			return nil, false, ErrTooLong
		}
		return nil, false, nil
	}
	end += r.scanned
	if bytes.Count(r.buf[:end], []byte("\n")) >= maxBlockLines {
		return nil, false, ErrTooLong
	}
	lines = strings.Split(string(r.buf[:end]), "\n")
	r.buf, r.scanned = r.buf[end+2:], 0
	if len(r.buf) == 0 {
		r.buf = nil
	}
	return lines, true, nil
}

// ParseBlock parses the lines of a block. It returns a *Hello, RoomProbe, *TableContents, Confirmation, Refused, *Sums or
// Note.
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

// block parses a block of a kind: the rest of its first line, and the lines below it.
func (w *wordReader) block(kind string, below []string) (any, error) {
	switch kind {
	case "hello":
		return w.hello(), nil
	case "knock":
		return w.roomProbe(), nil
	case "table":
		return w.tableContents(below)
	case "in-force":
		return w.confirmation(), nil
	case "refused":
		return w.refused(), nil
	case "sums":
		return w.sums(below)
	case "note":
		return w.note(), nil
	}
	return nil, fmt.Errorf("%q is no kind of block", kind)
}

// readLine splits a line of a block into words. The line must have the form of a single command.
func readLine(line string) (*wordReader, error) {
	c, ok, err := splitSingleCommand(line)
	if err != nil {
		return nil, err
	}
	if !ok {
		return nil, fmt.Errorf("%.60q is not one line of words", line)
	}
	return &wordReader{words: c.Words}, nil
}

// Confirmation is the block by which a proxy confirms that it has applied a message.
type Confirmation struct {
	Run, Number uint64
	Checkpoint  int  // the message's checkpoint; negative if it has none
	Duplicate   bool // the message had been applied before
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

func (w *wordReader) confirmation() Confirmation {
	f := Confirmation{Run: w.uint("run", math.MaxUint64), Number: w.uint("number", math.MaxUint64), Checkpoint: -1}
	if w.nextIs("checkpoint") {
		w.take()
		f.Checkpoint = int(w.uint("checkpoint", math.MaxUint16))
	}
	if len(w.words) > 0 {
		w.expect("again")
		f.Duplicate = true
	}
	return f
}

// Refused is the block by which a proxy reports that it has applied no part of a message, and why.
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

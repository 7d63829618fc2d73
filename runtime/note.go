package runtime

import (
	"encoding/base64"
	"fmt"
	"math"
)

// Note is the block by which a pilot sends data to another pilot, on a separate stream.
type Note struct {
	From int    // the sending pilot's instance number
	Data []byte // at most MaxNoteBytes
}

// MaxNoteBytes limits the length of a note's data.
const MaxNoteBytes = 256

// Append appends the block.
func (n Note) Append(b []byte) []byte {
	return fmt.Appendf(b, "note %d %s\n\n", n.From, base64.RawURLEncoding.EncodeToString(n.Data))
}

func (w *wordReader) note() Note {
	n := Note{From: int(w.uint("instance", math.MaxInt32))}
	text := ""
	if len(w.words) > 0 {
		text = w.take()
	}
	data, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(data) > MaxNoteBytes {
		w.fail("a note that is no base64 of up to %d bytes", MaxNoteBytes)
	}
	n.Data = data
	return n
}

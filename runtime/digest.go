package runtime

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"vetchdoor/control"
)

// Line is a server in a table, with all that a proxy stores about it.
type Line struct {
	Endpoint control.EndpointID
	Server
	Weight float64
}

// Append appends the line as it is written in a block, without a line feed.
func (l Line) Append(b []byte) []byte {
	b = strconv.AppendUint(append(b, "server e"...), uint64(l.Endpoint), 10)
	b = l.Address.AppendTo(append(b, ' '))
	b = appendFloat(append(b, " weight "...), l.Weight)
	b = strconv.AppendInt(append(b, " zone "...), int64(l.Zone), 10)
	return strconv.AppendInt(append(b, " pack "...), int64(l.Pack), 10)
}

// Digest returns a hash of a table's lines, which must be sorted by endpoint. It does not depend on the table's name, and is
// never 0, which stands for the standing table.
func Digest(lines []Line) uint64 {
	h := xxhash.New()
	var b []byte
	for _, l := range lines {
		b = append(l.Append(b[:0]), '\n')
		_, _ = h.Write(b)
	}
	return max(h.Sum64(), 1)
}

// TableRequest is the command by which a pilot requests the lines of the tables with these digests.
type TableRequest []uint64

// Append appends the command.
func (a TableRequest) Append(b []byte) []byte {
	return append(appendDigests(append(b, "send tables "...), a), '\n')
}

// appendDigests appends digests in hexadecimal, with commas between.
func appendDigests(b []byte, digests []uint64) []byte {
	for i, d := range digests {
		if i > 0 {
			b = append(b, ',')
		}
		b = strconv.AppendUint(b, d, 16)
	}
	return b
}

// ParseTableRequest parses the words of a TableRequest.
func ParseTableRequest(c Command) (TableRequest, error) {
	w := &wordReader{words: c.Words}
	w.expect("send")
	w.expect("tables")
	return w.digests(), w.err
}

// maxDigests limits the digests in a Hello or a TableRequest.
const maxDigests = 16

// digests reads a list of digests in hexadecimal, with commas between.
func (w *wordReader) digests() (out []uint64) {
	for part := range strings.SplitSeq(w.take(), ",") {
		d, err := strconv.ParseUint(part, 16, 64)
		if err != nil || len(out) >= maxDigests {
			w.fail("%.60q is no list of digests", part)
			return nil
		}
		out = append(out, d)
	}
	return out
}

// TableContents is the block by which a proxy sends a table that it holds, in answer to a TableRequest.
type TableContents struct {
	Digest uint64
	Lines  []Line
}

// Append appends the block.
func (t *TableContents) Append(b []byte) []byte {
	b = fmt.Appendf(b, "table %x\n", t.Digest)
	for _, l := range t.Lines {
		b = append(l.Append(b), '\n')
	}
	return append(b, '\n')
}

// tableContents parses the rest of a table block.
func (w *wordReader) tableContents(lines []string) (*TableContents, error) {
	t := &TableContents{Digest: w.digest()}
	for _, tableLine := range lines {
		l, err := readLine(tableLine)
		if err == nil {
			err = l.tableLine(t)
		}
		if err != nil {
			return nil, fmt.Errorf("%.60q: %w", tableLine, err)
		}
	}
	return t, nil
}

// tableLine parses a line of a table block and appends it to the table. Lines must be sorted by endpoint.
func (w *wordReader) tableLine(t *TableContents) error {
	var l Line
	w.expect("server")
	l.Endpoint = w.endpoint()
	l.Address = w.address()
	l.Weight = w.weight()
	l.Zone = w.zone()
	l.Pack = w.pack()
	if n := len(t.Lines); w.end() == nil && n > 0 && t.Lines[n-1].Endpoint >= l.Endpoint {
		w.fail("server e%d is out of order", l.Endpoint)
	}
	t.Lines = append(t.Lines, l)
	return w.err
}

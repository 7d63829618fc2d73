package runtime

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"vetchdoor/control"
)

// Line is a server in a table, with all that a proxy knows of it.
type Line struct {
	Endpoint control.EndpointID
	Server
	Weight float64
}

// Append appends the line as a block bears it, without its end.
func (l Line) Append(b []byte) []byte {
	b = strconv.AppendUint(append(b, "server e"...), uint64(l.Endpoint), 10)
	b = l.Address.AppendTo(append(b, ' '))
	b = number(append(b, " weight "...), l.Weight)
	b = strconv.AppendInt(append(b, " zone "...), int64(l.Zone), 10)
	return strconv.AppendInt(append(b, " pack "...), int64(l.Pack), 10)
}

// Digest tells tables apart by what they hold, whatever they are called; lines are by endpoint. It is never 0.
func Digest(lines []Line) uint64 {
	h := xxhash.New()
	var b []byte
	for _, l := range lines {
		b = append(l.Append(b[:0]), '\n')
		_, _ = h.Write(b)
	}
	return max(h.Sum64(), 1)
}

// TableRequest is a pilot's command that asks for the lines of tables by their digests.
type TableRequest []uint64

// Append appends the command.
func (a TableRequest) Append(b []byte) []byte {
	return append(appendDigests(append(b, "send tables "...), a), '\n')
}

func appendDigests(b []byte, all []uint64) []byte {
	for i, d := range all {
		if i > 0 {
			b = append(b, ',')
		}
		b = strconv.AppendUint(b, d, 16)
	}
	return b
}

// ParseAsk reads one.
func ParseAsk(c Command) (TableRequest, error) {
	w := &wordReader{words: c.Words}
	w.expect("send")
	w.expect("tables")
	return w.digests(), w.err
}

// maxDigests bounds what a hello or an ask names.
const maxDigests = 16

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

// Holding is a table that a proxy has, as the answer to an Ask.
type Holding struct {
	Digest uint64
	Lines  []Line
}

// Append appends the block.
func (t *Holding) Append(b []byte) []byte {
	b = fmt.Appendf(b, "table %x\n", t.Digest)
	for _, l := range t.Lines {
		b = append(l.Append(b), '\n')
	}
	return append(b, '\n')
}

// holding reads the rest of a block that is a table.
func (w *wordReader) holding(lines []string) (*Holding, error) {
	t := &Holding{Digest: w.digest()}
	for _, line := range lines {
		l, err := readLine(line)
		if err == nil {
			err = l.line(t)
		}
		if err != nil {
			return nil, fmt.Errorf("%.60q: %w", line, err)
		}
	}
	return t, nil
}

// line reads a line of a holding.
func (w *wordReader) line(t *Holding) error {
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

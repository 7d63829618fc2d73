// Package adapter speaks the bench's wire: it reads batches of events, hosts the instances they are for, and
// writes their orders back. Names and codes of the wire end here; it decides nothing.
package adapter

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
)

const (
	batchHeader = 20
	replyHeader = 12
	recordHead  = 5
	entrySize   = 22
	mostBody    = 1 << 30
)

// batch is one frame from the bench.
type batch struct {
	number  uint32
	clock   float64 // milliseconds
	records []record
}

type record struct {
	code byte
	body []byte
}

// readBatch reads one frame; io.EOF means that the input ended between frames.
func readBatch(r io.Reader) (batch, error) {
	var head [batchHeader]byte
	if _, err := io.ReadFull(r, head[:8]); err != nil {
		if errors.Is(err, io.ErrUnexpectedEOF) {
			return batch{}, errors.New("frame cut off in its header")
		}
		return batch{}, err
	}
	b := batch{number: binary.LittleEndian.Uint32(head[:])}
	length := binary.LittleEndian.Uint32(head[4:])
	if length < batchHeader-8 || length > mostBody {
		return batch{}, fmt.Errorf("batch %d: impossible length %d", b.number, length)
	}
	rest := make([]byte, length)
	if _, err := io.ReadFull(r, rest); err != nil {
		return batch{}, fmt.Errorf("batch %d: frame cut off: %d bytes were announced", b.number, length)
	}
	b.clock = math.Float64frombits(binary.LittleEndian.Uint64(rest))
	if math.IsNaN(b.clock) || math.IsInf(b.clock, 0) {
		return batch{}, fmt.Errorf("batch %d: the clock is no number", b.number)
	}
	count := binary.LittleEndian.Uint32(rest[8:])
	rest = rest[12:]
	if uint64(count)*recordHead > uint64(len(rest)) {
		return batch{}, fmt.Errorf("batch %d: %d records do not fit into %d bytes", b.number, count, len(rest))
	}
	b.records = make([]record, 0, count)
	for i := uint32(0); i < count; i++ {
		if len(rest) < recordHead {
			return batch{}, fmt.Errorf("batch %d: record %d is cut off", b.number, i)
		}
		size := binary.LittleEndian.Uint32(rest[1:])
		if uint64(size) > uint64(len(rest)-recordHead) {
			return batch{}, fmt.Errorf("batch %d: record %d announces %d bytes, %d are left",
				b.number, i, size, len(rest)-recordHead)
		}
		end := recordHead + int(size)
		b.records = append(b.records, record{code: rest[0], body: rest[recordHead:end]})
		rest = rest[end:]
	}
	if len(rest) > 0 {
		return batch{}, fmt.Errorf("batch %d: %d bytes after the last record", b.number, len(rest))
	}
	return b, nil
}

// fields takes the fields of a record in turn; the first that is missing spoils the rest.
type fields struct {
	left []byte
	bad  bool
}

func (f *fields) take(n int) []byte {
	if f.bad || n > len(f.left) {
		f.bad = true
		return make([]byte, min(n, 8))
	}
	out := f.left[:n]
	f.left = f.left[n:]
	return out
}

func (f *fields) u8() byte     { return f.take(1)[0] }
func (f *fields) u16() uint16  { return binary.LittleEndian.Uint16(f.take(2)) }
func (f *fields) u32() uint32  { return binary.LittleEndian.Uint32(f.take(4)) }
func (f *fields) u64() uint64  { return binary.LittleEndian.Uint64(f.take(8)) }
func (f *fields) f64() float64 { return math.Float64frombits(f.u64()) }
func (f *fields) f32() float64 { return float64(math.Float32frombits(f.u32())) }

func (f *fields) floats() []float64 {
	n := int(f.u8())
	if f.bad || 4*n > len(f.left) {
		f.bad = true
		return nil
	}
	out := make([]float64, n)
	for i := range out {
		out[i] = f.f32()
	}
	return out
}

// bytes takes a run of bytes that its length n precedes; it is cut only once it is known to be there.
func (f *fields) bytes(n uint32) []byte {
	if f.bad || uint64(n) > uint64(len(f.left)) {
		f.bad = true
		return nil
	}
	return f.take(int(n))
}

// reply collects the orders of one batch.
type reply struct {
	buf   []byte
	count uint32
}

func newReply(number uint32) *reply {
	r := &reply{buf: make([]byte, replyHeader, 256)}
	binary.LittleEndian.PutUint32(r.buf, number)
	return r
}

// add appends a record; fill appends its fields.
func (r *reply) add(code byte, who uint32, fill func(b []byte) []byte) {
	at := len(r.buf)
	r.buf = append(r.buf, code, 0, 0, 0, 0)
	r.buf = binary.LittleEndian.AppendUint32(r.buf, who)
	if fill != nil {
		r.buf = fill(r.buf)
	}
	binary.LittleEndian.PutUint32(r.buf[at+1:], uint32(len(r.buf)-at-recordHead))
	r.count++
}

// frame is the finished reply.
func (r *reply) frame() []byte {
	binary.LittleEndian.PutUint32(r.buf[4:], uint32(len(r.buf)-8))
	binary.LittleEndian.PutUint32(r.buf[8:], r.count)
	return r.buf
}

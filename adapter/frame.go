// Package adapter implements the protocol of the bench, the program that evaluates decision modules: it reads batches of
// events, hosts the instances to which the events are addressed, and writes the orders of the instances back. Only this
// package contains the names and codes of the protocol. It makes no decision.
package adapter

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
)

// Sizes of the parts of frames.
const (
	batchHeaderBytes  = 20
	replyHeaderBytes  = 12
	recordHeaderBytes = 5
	listEntryBytes    = 22
	maxBodyBytes      = 1 << 30 // longer frames are rejected
)

// batch is one frame from the bench: the events of one moment.
type batch struct {
	number            uint32
	clockMilliseconds float64
	records           []record
}

// record is one event of a batch, not yet decoded.
type record struct {
	code byte
	body []byte
}

// readBatch reads one frame. It returns io.EOF if the input ends between frames, and another error if the frame is
// truncated or malformed.
func readBatch(r io.Reader) (batch, error) {
	var header [batchHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:8]); err != nil {
		if errors.Is(err, io.ErrUnexpectedEOF) {
			return batch{}, errors.New("frame truncated in its header")
		}
		return batch{}, err
	}
	b := batch{number: binary.LittleEndian.Uint32(header[:])}
	length := binary.LittleEndian.Uint32(header[4:])
	if length < batchHeaderBytes-8 || length > maxBodyBytes {
		return batch{}, fmt.Errorf("batch %d: invalid frame length %d", b.number, length)
	}
	rest := make([]byte, length)
	if _, err := io.ReadFull(r, rest); err != nil {
		return batch{}, fmt.Errorf("batch %d: frame truncated: its length is %d bytes", b.number, length)
	}
	b.clockMilliseconds = math.Float64frombits(binary.LittleEndian.Uint64(rest))
	if math.IsNaN(b.clockMilliseconds) || math.IsInf(b.clockMilliseconds, 0) {
		return batch{}, fmt.Errorf("batch %d: the clock is not a finite number", b.number)
	}
	count := binary.LittleEndian.Uint32(rest[8:])
	rest = rest[12:]
	if uint64(count)*recordHeaderBytes > uint64(len(rest)) {
		return batch{}, fmt.Errorf("batch %d: %d records do not fit into %d bytes", b.number, count, len(rest))
	}
	b.records = make([]record, 0, count)
	for i := uint32(0); i < count; i++ {
		if len(rest) < recordHeaderBytes {
			return batch{}, fmt.Errorf("batch %d: record %d is truncated", b.number, i)
		}
		size := binary.LittleEndian.Uint32(rest[1:])
		if uint64(size) > uint64(len(rest)-recordHeaderBytes) {
			return batch{}, fmt.Errorf("batch %d: record %d has a length of %d bytes, but only %d are left",
				b.number, i, size, len(rest)-recordHeaderBytes)
		}
		end := recordHeaderBytes + int(size)
		b.records = append(b.records, record{code: rest[0], body: rest[recordHeaderBytes:end]})
		rest = rest[end:]
	}
	if len(rest) > 0 {
		return batch{}, fmt.Errorf("batch %d: %d bytes after the last record", b.number, len(rest))
	}
	return b, nil
}

// fields decodes the fields of a record in order. Once a field is missing, truncated is set, and that field and all
// further ones read as zero.
type fields struct {
	remaining []byte
	truncated bool
}

// next returns the next n bytes, or at most 8 zero bytes if fewer than n remain.
func (f *fields) next(n int) []byte {
	if f.truncated || n > len(f.remaining) {
		f.truncated = true
		return make([]byte, min(n, 8))
	}
	out := f.remaining[:n]
	f.remaining = f.remaining[n:]
	return out
}

func (f *fields) u8() byte     { return f.next(1)[0] }
func (f *fields) u16() uint16  { return binary.LittleEndian.Uint16(f.next(2)) }
func (f *fields) u32() uint32  { return binary.LittleEndian.Uint32(f.next(4)) }
func (f *fields) u64() uint64  { return binary.LittleEndian.Uint64(f.next(8)) }
func (f *fields) f64() float64 { return math.Float64frombits(f.u64()) }
func (f *fields) f32() float64 { return float64(math.Float32frombits(f.u32())) }

// floats returns a list of 32-bit floats that a byte with their number precedes.
func (f *fields) floats() []float64 {
	n := int(f.u8())
	if f.truncated || 4*n > len(f.remaining) {
		f.truncated = true
		return nil
	}
	values := make([]float64, n)
	for i := range values {
		values[i] = f.f32()
	}
	return values
}

// bytes returns the next n bytes, or nil if fewer remain. n comes from the input and may be wrong.
func (f *fields) bytes(n uint32) []byte {
	if f.truncated || uint64(n) > uint64(len(f.remaining)) {
		f.truncated = true
		return nil
	}
	return f.next(int(n))
}

// reply encodes the orders that answer one batch.
type reply struct {
	buf   []byte
	count uint32
}

// newReply starts the reply to the batch with this number.
func newReply(number uint32) *reply {
	r := &reply{buf: make([]byte, replyHeaderBytes, 256)}
	binary.LittleEndian.PutUint32(r.buf, number)
	return r
}

// add appends a record for an instance; appendFields appends the record's own fields and may be nil.
func (r *reply) add(code byte, instanceID uint32, appendFields func(b []byte) []byte) {
	start := len(r.buf)
	r.buf = append(r.buf, code, 0, 0, 0, 0)
	r.buf = binary.LittleEndian.AppendUint32(r.buf, instanceID)
	if appendFields != nil {
		r.buf = appendFields(r.buf)
	}
	binary.LittleEndian.PutUint32(r.buf[start+1:], uint32(len(r.buf)-start-recordHeaderBytes))
	r.count++
}

// frame completes the header and returns the encoded reply.
func (r *reply) frame() []byte {
	binary.LittleEndian.PutUint32(r.buf[4:], uint32(len(r.buf)-8))
	binary.LittleEndian.PutUint32(r.buf[8:], r.count)
	return r.buf
}

package syslog

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
)

// spool is a bounded first-in, first-out store of records on disk. Records are kept in segment files, each named by the
// number of its first record. A record is its length, a checksum of the rest, its severity and its text. The file
// "position" holds the number of the next unsent record. It is written now and then, so after a crash some records may
// be sent twice, but none is skipped. If a record is damaged by a crash or by the disk, the rest of its segment is
// skipped and counted.
type spool struct {
	dir            string
	maxBytes       int64
	mu             sync.Mutex
	segments       []segment // the oldest first
	write          *os.File  // open for writing: the last segment
	read           *os.File
	offset         int64  // read position in the first segment, in bytes
	nextRead       uint64 // number of the next record to read
	nextWrite      uint64 // number of the next record to write
	size           int64
	corrupt        uint64
	readsSinceSave int // records read since the position was last saved
}

type segment struct {
	first uint64
	size  int64
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

const (
	recordHeaderBytes = 9 // bytes: length 4, checksum 4, severity 1
	maxRecordBytes    = 1 << 20
	savePositionEvery = 64 // number of records read between two saves of the position
	segmentsPerSpool  = 8  // a new segment is started once the last has this part of the limit: 1 in segmentsPerSpool
)

func openSpool(dir string, maxBytes int64) (*spool, error) {
	s := &spool{dir: dir, maxBytes: max(maxBytes, segmentsPerSpool*4096), nextRead: 1, nextWrite: 1}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	names, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	for _, n := range names {
		num, ok := strings.CutSuffix(n.Name(), ".spool")
		first, err := strconv.ParseUint(num, 10, 64)
		info, err2 := n.Info()
		if !ok || err != nil || err2 != nil {
			continue
		}
		s.segments = append(s.segments, segment{first, info.Size()})
		s.size += info.Size()
	}
	slices.SortFunc(s.segments, func(a, b segment) int { return int(int64(a.first - b.first)) })
	if text, err := os.ReadFile(filepath.Join(dir, "position")); err == nil {
		if n, err := strconv.ParseUint(strings.TrimSpace(string(text)), 10, 64); err == nil {
			s.nextRead, s.nextWrite = n, n
		}
	}
	if len(s.segments) == 0 {
		return s, nil
	}
	if s.nextRead < s.segments[0].first {
		s.nextRead = s.segments[0].first
	}
	return s, s.recover()
}

// recover finds the end of the last segment, truncates an incomplete record left by a crash, removes segments that were
// sent completely, and sets the read position. The next record written starts a new segment.
func (s *spool) recover() error {
	last := &s.segments[len(s.segments)-1]
	f, err := os.Open(s.path(last.first))
	if err != nil {
		return err
	}
	defer f.Close()
	n, offset := last.first, int64(0)
	for {
		_, size, err := readRecord(f, offset)
		if err != nil {
			break
		}
		n, offset = n+1, offset+size
	}
	if offset < last.size {
		s.corrupt++ // at least one record; the exact number is unknown
		if err := os.Truncate(s.path(last.first), offset); err != nil {
			return err
		}
		s.size -= last.size - offset
		last.size = offset
	}
	s.nextWrite = max(n, s.nextRead)
	for len(s.segments) > 0 { // remove segments that were sent completely
		first := s.segments[0]
		after := s.nextWrite
		if len(s.segments) > 1 {
			after = s.segments[1].first
		}
		if s.nextRead < after && first.size > 0 {
			break
		}
		if s.nextRead < after && first.size == 0 {
			s.nextRead = after
		}
		if err := s.dropFirst(); err != nil {
			return err
		}
	}
	if len(s.segments) == 0 {
		return nil
	}
	if s.read, err = os.Open(s.path(s.segments[0].first)); err != nil {
		return err
	}
	for n := s.segments[0].first; n < s.nextRead; n++ {
		_, size, err := readRecord(s.read, s.offset)
		if err != nil {
			break // detected again, and counted, when it is read
		}
		s.offset += size
	}
	return nil
}

func (s *spool) path(first uint64) string {
	return filepath.Join(s.dir, fmt.Sprintf("%020d.spool", first))
}

var errCorruptRecord = errors.New("syslog: a record in the spool is corrupt")

// readRecord reads the record at an offset and returns it with its size on disk. At the end of the file it returns
// io.EOF, for a damaged or incomplete record errCorruptRecord.
func readRecord(f *os.File, offset int64) (record, int64, error) {
	var head [recordHeaderBytes]byte
	if n, err := f.ReadAt(head[:], offset); err != nil {
		if n == 0 && err == io.EOF {
			return record{}, 0, io.EOF
		}
		return record{}, 0, errCorruptRecord
	}
	size := binary.BigEndian.Uint32(head[:])
	if size > maxRecordBytes || head[8] > byte(Debug) {
		return record{}, 0, errCorruptRecord
	}
	text := make([]byte, size)
	if _, err := f.ReadAt(text, offset+recordHeaderBytes); err != nil {
		return record{}, 0, errCorruptRecord
	}
	if crc32.Update(crc32.Checksum(head[8:], castagnoli), castagnoli, text) != binary.BigEndian.Uint32(head[4:]) {
		return record{}, 0, errCorruptRecord
	}
	return record{severity: Severity(head[8]), text: text}, recordHeaderBytes + int64(size), nil
}

// errSpoolFull is returned by put when the record would exceed the size limit.
var errSpoolFull = errors.New("syslog: the spool is full")

// put appends a record. It fails with errSpoolFull or an error of the file system; the record is then not in the spool.
func (s *spool) put(r record) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	size := int64(recordHeaderBytes + len(r.text))
	if s.size+size > s.maxBytes {
		return errSpoolFull
	}
	if s.write == nil || s.segments[len(s.segments)-1].size > s.maxBytes/segmentsPerSpool {
		f, err := os.OpenFile(s.path(s.nextWrite), os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
		if err != nil {
			return err
		}
		if s.write != nil {
			s.write.Close()
		}
		s.write = f
		s.segments = append(s.segments, segment{first: s.nextWrite})
		if len(s.segments) == 1 {
			if s.read, err = os.Open(s.path(s.nextWrite)); err != nil {
				return err
			}
			s.offset = 0
		}
	}
	b := binary.BigEndian.AppendUint32(make([]byte, 0, size), uint32(len(r.text)))
	b = append(b, 0, 0, 0, 0, byte(r.severity))
	b = append(b, r.text...)
	binary.BigEndian.PutUint32(b[4:], crc32.Checksum(b[8:], castagnoli))
	last := &s.segments[len(s.segments)-1]
	if _, err := s.write.WriteAt(b, last.size); err != nil { // for example a full disk: remove the part that was written
		_ = s.write.Truncate(last.size)
		return err
	}
	last.size, s.size, s.nextWrite = last.size+size, s.size+size, s.nextWrite+1
	return nil
}

// pending returns the number of records in the spool that are not sent.
func (s *spool) pending() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.nextWrite - s.nextRead
}

// corruptRecords returns the number of records that could not be read.
func (s *spool) corruptRecords() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.corrupt
}

// peek returns the oldest record without removing it; false if there is none.
func (s *spool) peek() (record, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.nextRead < s.nextWrite {
		r, _, err := readRecord(s.read, s.offset)
		if err == nil {
			return r, true
		}
		// The rest of this segment cannot be read.
		after := s.nextWrite
		if len(s.segments) > 1 {
			after = s.segments[1].first
		}
		s.corrupt += after - s.nextRead
		s.nextRead = after
		if len(s.segments) == 1 && s.write != nil {
			s.write.Close()
			s.write = nil
		}
		if s.dropFirst() != nil {
			return record{}, false
		}
	}
	return record{}, false
}

// advance removes the record that peek returned, because it was sent.
func (s *spool) advance() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, size, err := readRecord(s.read, s.offset)
	if err != nil {
		return
	}
	s.offset, s.nextRead = s.offset+size, s.nextRead+1
	if s.offset >= s.segments[0].size && (len(s.segments) > 1 || s.nextRead == s.nextWrite) {
		if len(s.segments) == 1 && s.write != nil {
			s.write.Close()
			s.write = nil
		}
		s.savePosition()
		_ = s.dropFirst()
	} else if s.readsSinceSave++; s.readsSinceSave >= savePositionEvery {
		s.savePosition()
	}
}

// dropFirst removes the first segment and opens the next one for reading.
func (s *spool) dropFirst() error {
	first := s.segments[0]
	if s.read != nil {
		s.read.Close()
		s.read = nil
	}
	s.segments, s.size, s.offset = s.segments[1:], s.size-first.size, 0
	if err := os.Remove(s.path(first.first)); err != nil {
		return err
	}
	if len(s.segments) == 0 {
		return nil
	}
	var err error
	s.read, err = os.Open(s.path(s.segments[0].first))
	return err
}

// savePosition writes the number of the next unsent record to disk.
func (s *spool) savePosition() {
	s.readsSinceSave = 0
	path := filepath.Join(s.dir, "position")
	if os.WriteFile(path+".new", []byte(strconv.FormatUint(s.nextRead, 10)+"\n"), 0o600) == nil {
		_ = os.Rename(path+".new", path)
	}
}

func (s *spool) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.savePosition()
	if s.write != nil {
		s.write.Close()
	}
	if s.read != nil {
		s.read.Close()
	}
}

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

// spool keeps records on disk, the oldest first, in segments named by the number of their first record, no more bytes than
// its bound. A record is its length, a checksum over the rest, its severity and its text. The number of the first one not
// yet sent stands in a file beside them; after a kill some that were sent may be sent again, none is left out. What a kill
// or the disk tore is skipped to the next segment and counted.
type spool struct {
	dir   string
	most  int64
	mu    sync.Mutex
	segs  []segment // the oldest first
	write *os.File  // the last of them
	read  *os.File
	at    int64  // in the first
	next  uint64 // number of the record to be read next
	end   uint64 // number of the one to be written next
	size  int64
	torn  uint64
	since int // records read since the position was kept
}

type segment struct {
	first uint64
	size  int64
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

const (
	spoolHead    = 9 // length, checksum, severity
	mostRecord   = 1 << 20
	keepEvery    = 64 // records between two writings of the position
	segmentsHave = 8  // of the bound each
)

func openSpool(dir string, most int64) (*spool, error) {
	s := &spool{dir: dir, most: max(most, segmentsHave*4096), next: 1, end: 1}
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
		s.segs = append(s.segs, segment{first, info.Size()})
		s.size += info.Size()
	}
	slices.SortFunc(s.segs, func(a, b segment) int { return int(int64(a.first - b.first)) })
	if text, err := os.ReadFile(filepath.Join(dir, "position")); err == nil {
		if n, err := strconv.ParseUint(strings.TrimSpace(string(text)), 10, 64); err == nil {
			s.next, s.end = n, n
		}
	}
	if len(s.segs) == 0 {
		return s, nil
	}
	if s.next < s.segs[0].first {
		s.next = s.segs[0].first
	}
	return s, s.recover()
}

// recover finds the end of the last segment, cuts off what a kill tore, and goes on in a new one.
func (s *spool) recover() error {
	last := &s.segs[len(s.segs)-1]
	f, err := os.Open(s.path(last.first))
	if err != nil {
		return err
	}
	defer f.Close()
	n, at := last.first, int64(0)
	for {
		_, size, err := readRecord(f, at)
		if err != nil {
			break
		}
		n, at = n+1, at+size
	}
	if at < last.size {
		s.torn++ // at least one; how many more is not known
		if err := os.Truncate(s.path(last.first), at); err != nil {
			return err
		}
		s.size -= last.size - at
		last.size = at
	}
	s.end = max(n, s.next)
	for len(s.segs) > 0 { // what was sent whole goes, and stands the position within the first of the rest
		first := s.segs[0]
		after := s.end
		if len(s.segs) > 1 {
			after = s.segs[1].first
		}
		if s.next < after && first.size > 0 {
			break
		}
		if s.next < after && first.size == 0 {
			s.next = after
		}
		if err := s.dropFirst(); err != nil {
			return err
		}
	}
	if len(s.segs) == 0 {
		return nil
	}
	if s.read, err = os.Open(s.path(s.segs[0].first)); err != nil {
		return err
	}
	for n := s.segs[0].first; n < s.next; n++ {
		_, size, err := readRecord(s.read, s.at)
		if err != nil {
			break // found again, and counted, when it is read
		}
		s.at += size
	}
	return nil
}

func (s *spool) path(first uint64) string {
	return filepath.Join(s.dir, fmt.Sprintf("%020d.spool", first))
}

var errTorn = errors.New("syslog: a record of the spool is torn")

// readRecord reads the record at a place and returns how much it takes; io.EOF at the end.
func readRecord(f *os.File, at int64) (record, int64, error) {
	var head [spoolHead]byte
	if n, err := f.ReadAt(head[:], at); err != nil {
		if n == 0 && err == io.EOF {
			return record{}, 0, io.EOF
		}
		return record{}, 0, errTorn
	}
	size := binary.BigEndian.Uint32(head[:])
	if size > mostRecord || head[8] > byte(Debug) {
		return record{}, 0, errTorn
	}
	text := make([]byte, size)
	if _, err := f.ReadAt(text, at+spoolHead); err != nil {
		return record{}, 0, errTorn
	}
	if crc32.Update(crc32.Checksum(head[8:], castagnoli), castagnoli, text) != binary.BigEndian.Uint32(head[4:]) {
		return record{}, 0, errTorn
	}
	return record{severity: Severity(head[8]), text: text}, spoolHead + int64(size), nil
}

// errSpoolFull says that the bound is reached.
var errSpoolFull = errors.New("syslog: the spool is full")

// put appends a record.
func (s *spool) put(r record) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	size := int64(spoolHead + len(r.text))
	if s.size+size > s.most {
		return errSpoolFull
	}
	if s.write == nil || s.segs[len(s.segs)-1].size > s.most/segmentsHave {
		f, err := os.OpenFile(s.path(s.end), os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
		if err != nil {
			return err
		}
		if s.write != nil {
			s.write.Close()
		}
		s.write = f
		s.segs = append(s.segs, segment{first: s.end})
		if len(s.segs) == 1 {
			if s.read, err = os.Open(s.path(s.end)); err != nil {
				return err
			}
			s.at = 0
		}
	}
	b := binary.BigEndian.AppendUint32(make([]byte, 0, size), uint32(len(r.text)))
	b = append(b, 0, 0, 0, 0, byte(r.severity))
	b = append(b, r.text...)
	binary.BigEndian.PutUint32(b[4:], crc32.Checksum(b[8:], castagnoli))
	last := &s.segs[len(s.segs)-1]
	if _, err := s.write.WriteAt(b, last.size); err != nil { // the disk is full: nothing of it counts
		_ = s.write.Truncate(last.size)
		return err
	}
	last.size, s.size, s.end = last.size+size, s.size+size, s.end+1
	return nil
}

// held is how many records it has.
func (s *spool) held() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.end - s.next
}

// lost is how many could not be read.
func (s *spool) lost() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.torn
}

// peek reads the oldest record; false if there is none.
func (s *spool) peek() (record, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.next < s.end {
		r, _, err := readRecord(s.read, s.at)
		if err == nil {
			return r, true
		}
		// The rest of this segment is lost.
		after := s.end
		if len(s.segs) > 1 {
			after = s.segs[1].first
		}
		s.torn += after - s.next
		s.next = after
		if len(s.segs) == 1 && s.write != nil {
			s.write.Close()
			s.write = nil
		}
		if s.dropFirst() != nil {
			return record{}, false
		}
	}
	return record{}, false
}

// advance takes the record that peek returned as sent.
func (s *spool) advance() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, size, err := readRecord(s.read, s.at)
	if err != nil {
		return
	}
	s.at, s.next = s.at+size, s.next+1
	if s.at >= s.segs[0].size && (len(s.segs) > 1 || s.next == s.end) {
		if len(s.segs) == 1 && s.write != nil {
			s.write.Close()
			s.write = nil
		}
		s.keep()
		_ = s.dropFirst()
	} else if s.since++; s.since >= keepEvery {
		s.keep()
	}
}

// dropFirst removes the first segment.
func (s *spool) dropFirst() error {
	first := s.segs[0]
	if s.read != nil {
		s.read.Close()
		s.read = nil
	}
	s.segs, s.size, s.at = s.segs[1:], s.size-first.size, 0
	if err := os.Remove(s.path(first.first)); err != nil {
		return err
	}
	if len(s.segs) == 0 {
		return nil
	}
	var err error
	s.read, err = os.Open(s.path(s.segs[0].first))
	return err
}

// keep writes the position.
func (s *spool) keep() {
	s.since = 0
	at := filepath.Join(s.dir, "position")
	if os.WriteFile(at+".new", []byte(strconv.FormatUint(s.next, 10)+"\n"), 0o600) == nil {
		_ = os.Rename(at+".new", at)
	}
}

func (s *spool) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keep()
	if s.write != nil {
		s.write.Close()
	}
	if s.read != nil {
		s.read.Close()
	}
}

package syslog

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"vetchdoor/lab/loopback"
)

func openTestSpool(t *testing.T, dir string, maxBytes int64) *spool {
	t.Helper()
	s, err := openSpool(dir, maxBytes)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func fillSpool(t *testing.T, dir string, n int, maxBytes int64) {
	t.Helper()
	s := openTestSpool(t, dir, maxBytes)
	for i := range n {
		if err := s.put(record{severity: Severity(i % 8), text: fmt.Appendf(nil, "record %04d", i)}); err != nil {
			t.Fatal(i, err)
		}
	}
	s.close()
}

func drainSpool(t *testing.T, s *spool) (out []string) {
	t.Helper()
	for {
		r, ok := s.peek()
		if !ok {
			break
		}
		out = append(out, string(r.text))
		s.advance()
	}
	if s.pending() != 0 || s.size != 0 {
		t.Errorf("%d pending, %d bytes after reading all", s.pending(), s.size)
	}
	return out
}

// Records are read in the order of writing, across restarts and any number of segments; an emptied spool leaves no
// segment file, and the size limit is kept.
func TestSpool(t *testing.T) {
	for _, n := range []int{1, 100, 5000} {
		dir := t.TempDir()
		fillSpool(t, dir, n, 1<<20)
		var got []string
		for len(got) < n {
			s := openTestSpool(t, dir, 1<<20)
			if pending := s.pending(); pending != uint64(n-len(got)) {
				t.Fatalf("%d pending, want %d", pending, n-len(got))
			}
			for range 777 {
				if r, ok := s.peek(); ok {
					got = append(got, string(r.text))
					s.advance()
				}
			}
			s.close()
		}
		for i, text := range got {
			if text != fmt.Sprintf("record %04d", i) {
				t.Fatalf("%q at %d", text, i)
			}
		}
		if names, _ := filepath.Glob(filepath.Join(dir, "*.spool")); len(names) > 0 {
			t.Errorf("segment files left: %v", names)
		}
	}
	s := openTestSpool(t, t.TempDir(), 1)
	defer s.close()
	for s.put(record{text: make([]byte, 1000)}) == nil {
	}
	if s.size > s.maxBytes {
		t.Errorf("%d bytes, limit %d", s.size, s.maxBytes)
	}
}

// A spool file truncated at any byte by a crash returns every complete record. A flipped byte loses the rest of its
// segment, and the lost records are counted.
func TestCorruptSpool(t *testing.T) {
	original := t.TempDir()
	fillSpool(t, original, 20, 1<<20)
	names, err := filepath.Glob(filepath.Join(original, "*.spool"))
	if err != nil || len(names) != 1 {
		t.Fatal(names, err)
	}
	contents, err := os.ReadFile(names[0])
	if err != nil {
		t.Fatal(err)
	}
	each := len(contents) / 20
	for cut := range contents {
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, filepath.Base(names[0])), contents[:cut], 0o600); err != nil {
			t.Fatal(err)
		}
		s := openTestSpool(t, dir, 1<<20)
		if err := s.put(record{text: []byte("new")}); err != nil {
			t.Fatal(err)
		}
		got := drainSpool(t, s)
		if len(got) != cut/each+1 || got[len(got)-1] != "new" || (s.corrupt > 0) != (cut%each != 0) {
			t.Fatalf("cut at %d: %q, corrupt %d", cut, got, s.corrupt)
		}
		s.close()
	}
	dir := t.TempDir()
	fillSpool(t, dir, 5000, 400<<10)
	names, err = filepath.Glob(filepath.Join(dir, "*.spool"))
	if err != nil || len(names) < 2 {
		t.Fatal(names, err)
	}
	text, err := os.ReadFile(names[0])
	if err != nil {
		t.Fatal(err)
	}
	text[len(text)/2] ^= 1
	if err := os.WriteFile(names[0], text, 0o600); err != nil {
		t.Fatal(err)
	}
	s := openTestSpool(t, dir, 400<<10)
	defer s.close()
	if got := drainSpool(t, s); uint64(len(got))+s.corrupt != 5000 || s.corrupt == 0 || s.corrupt > 5000/2 {
		t.Errorf("%d read, %d corrupt", len(got), s.corrupt)
	}
}

// If the disk accepts no more records, none is lost that fits in memory, and logging does not block.
func TestUnwritableSpool(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "spool")
	address := net.JoinHostPort(loopback.Host(), "6514") // nobody listens here yet, so that nothing can be sent
	s := startSender(t, Config{Network: "tcp", Address: address, Buffer: 100, Spool: dir, Timeout: 50 * time.Millisecond})
	if err := os.RemoveAll(dir); err != nil {
		t.Fatal(err)
	}
	for i := range 1000 {
		s.Enqueue(Notice, numberedRecord(i, Notice))
	}
	c := s.Counts()
	if checkTotals(t, c); c.Spooled != 0 || c.Sent != 0 || c.Waiting < 99 || c.Waiting > 101 {
		t.Errorf("%+v", c)
	}
	listen(t, "tcp", address, nil)
	waitFor(t, "remaining records sent", func() bool { return s.Counts().Waiting == 0 })
	checkTotals(t, s.Counts())
}

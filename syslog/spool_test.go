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

func open(t *testing.T, dir string, most int64) *spool {
	t.Helper()
	s, err := openSpool(dir, most)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func fill(t *testing.T, dir string, n int, most int64) {
	t.Helper()
	s := open(t, dir, most)
	for i := range n {
		if err := s.put(record{severity: Severity(i % 8), text: fmt.Appendf(nil, "record %04d", i)}); err != nil {
			t.Fatal(i, err)
		}
	}
	s.close()
}

func drain(t *testing.T, s *spool) (out []string) {
	t.Helper()
	for {
		r, ok := s.peek()
		if !ok {
			break
		}
		out = append(out, string(r.text))
		s.advance()
	}
	if s.held() != 0 || s.size != 0 {
		t.Errorf("%d held, %d bytes", s.held(), s.size)
	}
	return out
}

// What was put in comes out in order, over restarts in the midst of it, whatever the number of segments; emptied, it leaves
// no segment.
func TestSpool(t *testing.T) {
	for _, n := range []int{1, 100, 5000} {
		dir := t.TempDir()
		fill(t, dir, n, 1<<20)
		var got []string
		for len(got) < n {
			s := open(t, dir, 1<<20)
			if held := s.held(); held != uint64(n-len(got)) {
				t.Fatalf("%d held, %d are left", held, n-len(got))
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
			t.Errorf("left %v", names)
		}
	}
	s := open(t, t.TempDir(), 1)
	defer s.close()
	for s.put(record{text: make([]byte, 1000)}) == nil {
	}
	if s.size > s.most {
		t.Errorf("%d bytes of %d", s.size, s.most)
	}
}

// A spool that a kill tore at any byte gives what was whole; one with a flipped byte loses that segment's rest, counted.
func TestTornSpool(t *testing.T) {
	made := t.TempDir()
	fill(t, made, 20, 1<<20)
	names, err := filepath.Glob(filepath.Join(made, "*.spool"))
	if err != nil || len(names) != 1 {
		t.Fatal(names, err)
	}
	whole, err := os.ReadFile(names[0])
	if err != nil {
		t.Fatal(err)
	}
	each := len(whole) / 20
	for cut := range whole {
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, filepath.Base(names[0])), whole[:cut], 0o600); err != nil {
			t.Fatal(err)
		}
		s := open(t, dir, 1<<20)
		if err := s.put(record{text: []byte("new")}); err != nil {
			t.Fatal(err)
		}
		got := drain(t, s)
		if len(got) != cut/each+1 || got[len(got)-1] != "new" || (s.torn > 0) != (cut%each != 0) {
			t.Fatalf("cut at %d: %q, torn %d", cut, got, s.torn)
		}
		s.close()
	}
	dir := t.TempDir()
	fill(t, dir, 5000, 400<<10)
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
	s := open(t, dir, 400<<10)
	defer s.close()
	if got := drain(t, s); uint64(len(got))+s.torn != 5000 || s.torn == 0 || s.torn > 5000/2 {
		t.Errorf("%d read, %d torn", len(got), s.torn)
	}
}

// A disk that takes nothing more costs no record that memory has room for, and holds nobody up.
func TestNoDisk(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "spool")
	address := net.JoinHostPort(loopback.Host(), "6514") // nobody listens there yet, so that nothing can be sent
	s := begin(t, Config{Network: "tcp", Address: address, Buffer: 100, Spool: dir, Patient: 50 * time.Millisecond})
	if err := os.RemoveAll(dir); err != nil {
		t.Fatal(err)
	}
	for i := range 1000 {
		s.Put(Notice, numbered(i, Notice))
	}
	c := s.Counts()
	if exact(t, c); c.Spooled != 0 || c.Sent != 0 || c.Waiting < 99 || c.Waiting > 101 {
		t.Errorf("%+v", c)
	}
	listen(t, "tcp", address, nil)
	until(t, "what was kept is sent", func() bool { return s.Counts().Waiting == 0 })
	exact(t, s.Counts())
}

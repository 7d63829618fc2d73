package logbook

import (
	"bytes"
	"errors"
	"io"
	"os"
	"strings"
)

// Follower reads what is added to a file, across its being moved away and begun anew.
type Follower struct {
	path string
	f    *os.File
	part []byte // of a line whose end has not come
	line int
	r    *Reader
}

// Follow begins at a file's present end; one that is not there is awaited.
func Follow(path string) (*Follower, error) {
	f := &Follower{path: path, r: NewReader()}
	file, err := os.Open(path)
	if errors.Is(err, os.ErrNotExist) {
		return f, nil
	}
	if err != nil {
		return nil, err
	}
	f.f = file
	_, err = file.Seek(0, io.SeekEnd)
	return f, err
}

// Read calls each for every whole line that came since the last call.
func (f *Follower) Read(each func(*Entry)) error {
	if f.f != nil {
		if err := f.drain(each); err != nil {
			return err
		}
		open, err := f.f.Stat()
		if err != nil {
			return err
		}
		there, err := os.Stat(f.path)
		at, err2 := f.f.Seek(0, io.SeekCurrent)
		switch {
		case err == nil && err2 == nil && os.SameFile(open, there) && there.Size() < at: // cut short: it begins anew
			if _, err := f.f.Seek(0, io.SeekStart); err != nil {
				return err
			}
			f.part = nil
			return f.drain(each)
		case err == nil && os.SameFile(open, there), err != nil:
			return nil
		}
		f.f.Close()
		f.f, f.part = nil, nil
	}
	file, err := os.Open(f.path)
	if err != nil {
		return nil // not yet
	}
	f.f, f.line = file, 0
	return f.drain(each)
}

func (f *Follower) drain(each func(*Entry)) error {
	b := make([]byte, 64<<10)
	for {
		n, err := f.f.Read(b)
		f.part = append(f.part, b[:n]...)
		for {
			i := bytes.IndexByte(f.part, '\n')
			if i < 0 && len(f.part) <= mostLine {
				break
			}
			if i < 0 {
				i = len(f.part) - 1 // too long to wait for its end
			}
			f.line++
			if line := strings.TrimRight(string(f.part[:i]), "\r"); line != "" {
				e := f.r.Parse(line)
				e.File, e.LineNumber = f.path, f.line
				each(e)
			}
			f.part = f.part[i+1:]
		}
		if err == io.EOF || n == 0 {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// Close ends it.
func (f *Follower) Close() {
	if f.f != nil {
		f.f.Close()
	}
}

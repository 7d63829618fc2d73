package logbook

import (
	"bytes"
	"errors"
	"io"
	"os"
	"strings"
)

// Follower reads the lines appended to a file, also after the file has been renamed and created again, or truncated.
type Follower struct {
	path    string
	file    *os.File
	partial []byte // beginning of a line that is still incomplete
	line    int
	reader  *Reader
}

// Follow starts at the current end of a file. A file that does not exist is read from its start once it has been
// created.
func Follow(path string) (*Follower, error) {
	f := &Follower{path: path, reader: NewReader()}
	file, err := os.Open(path)
	if errors.Is(err, os.ErrNotExist) {
		return f, nil
	}
	if err != nil {
		return nil, err
	}
	f.file = file
	_, err = file.Seek(0, io.SeekEnd)
	return f, err
}

// Read calls each for every complete line written since the last call.
func (f *Follower) Read(each func(*Entry)) error {
	if f.file != nil {
		if err := f.drain(each); err != nil {
			return err
		}
		open, err := f.file.Stat()
		if err != nil {
			return err
		}
		there, err := os.Stat(f.path)
		at, err2 := f.file.Seek(0, io.SeekCurrent)
		switch {
		case err == nil && err2 == nil && os.SameFile(open, there) && there.Size() < at: // truncated: read from the start
			if _, err := f.file.Seek(0, io.SeekStart); err != nil {
				return err
			}
			f.partial = nil
			return f.drain(each)
		case err == nil && os.SameFile(open, there), err != nil:
			return nil
		}
		f.file.Close()
		f.file, f.partial = nil, nil
	}
	file, err := os.Open(f.path)
	if err != nil {
		return nil // the file does not exist yet
	}
	f.file, f.line = file, 0
	return f.drain(each)
}

func (f *Follower) drain(each func(*Entry)) error {
	b := make([]byte, 64<<10)
	for {
		n, err := f.file.Read(b)
		f.partial = append(f.partial, b[:n]...)
		for {
			i := bytes.IndexByte(f.partial, '\n')
			if i < 0 && len(f.partial) <= maxLineBytes {
				break
			}
			if i < 0 {
				i = len(f.partial) - 1 // the line is too long: do not wait for its end
			}
			f.line++
			if line := strings.TrimRight(string(f.partial[:i]), "\r"); line != "" {
				e := f.reader.Parse(line)
				e.File, e.LineNumber = f.path, f.line
				each(e)
			}
			f.partial = f.partial[i+1:]
		}
		if err == io.EOF || n == 0 {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// Close closes the file.
func (f *Follower) Close() {
	if f.file != nil {
		f.file.Close()
	}
}

// Package logbook reads back what the programs logged: it takes RFC 5424 lines, and other programs' of the older form, sorts
// an evening of many pilots by their runs and records' numbers, finds what is missing, joins decisions to the proxies that
// confirmed them, and draws a node's evening. Read makes a Book; Compile makes a filter.
package logbook

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/leodido/go-syslog/v4/rfc3164"
	"github.com/leodido/go-syslog/v4/rfc5424"

	"vetchdoor/record"
	"vetchdoor/syslog"
)

// Entry is one line of a log.
type Entry struct {
	File       string
	LineNumber int
	Raw        string
	ParseError error // it is no syslog line; the rest is empty but for Text
	Time       time.Time
	Severity   syslog.Severity
	Host       string
	App        string
	Kind       string            // MSGID
	Params     map[string]string // of all elements; those of decision win
	Text       string

	Run, Sequence uint64        // of a record of ours; 0: none
	At            time.Duration // since its pilot's start
}

// Reader turns lines into entries; one goroutine's own.
type Reader struct {
	newer func([]byte) (*Entry, error)
	older func([]byte) (*Entry, error)
}

// NewReader makes a reader. The year of lines that bear none is the present one.
func NewReader() *Reader {
	n := rfc5424.NewParser()
	o := rfc3164.NewParser(rfc3164.WithYear(rfc3164.CurrentYear{}), rfc3164.WithRFC3339())
	return &Reader{
		newer: func(line []byte) (*Entry, error) {
			m, err := n.Parse(line)
			if err != nil {
				return nil, err
			}
			x, ok := m.(*rfc5424.SyslogMessage)
			if !ok || x.Priority == nil {
				return nil, errors.New("no message")
			}
			e := &Entry{Severity: syslog.Severity(*x.Priority & 7), Host: deref(x.Hostname), App: deref(x.Appname), Kind: deref(x.MsgID),
				Text: strings.TrimPrefix(deref(x.Message), "\ufeff"), Params: map[string]string{}}
			if x.Timestamp != nil {
				e.Time = *x.Timestamp
			}
			if x.StructuredData != nil {
				var own map[string]string
				for id, params := range *x.StructuredData {
					if strings.HasPrefix(id, record.Element+"@") {
						own = params
						continue
					}
					for k, v := range params {
						e.Params[k] = v
					}
				}
				for k, v := range own {
					e.Params[k] = v
				}
			}
			return e, nil
		},
		older: func(line []byte) (*Entry, error) {
			m, err := o.Parse(line)
			if err != nil {
				return nil, err
			}
			x, ok := m.(*rfc3164.SyslogMessage)
			if !ok || x.Priority == nil {
				return nil, errors.New("no message")
			}
			e := &Entry{Severity: syslog.Severity(*x.Priority & 7), Host: deref(x.Hostname), App: deref(x.Appname), Text: deref(x.Message),
				Params: map[string]string{}}
			if x.Timestamp != nil {
				e.Time = *x.Timestamp
			}
			return e, nil
		},
	}
}

func deref(s *string) string {
	if s == nil {
		return ""
	}
	return *s
}

// mostLine bounds a line; what is longer is broken.
const mostLine = 1 << 20

// Parse reads a line. It never fails: what is no syslog is an entry that says so.
func (r *Reader) Parse(line string) (e *Entry) {
	defer func() {
		if p := recover(); p != nil { // a parser that is not ours, and lines that anybody may have written
			e = &Entry{Raw: line, Text: line, ParseError: fmt.Errorf("the parser failed: %v", p)}
		}
	}()
	if count, rest, ok := strings.Cut(line, " "); ok { // a frame with its octets counted, as it went over TCP
		if _, err := strconv.ParseUint(count, 10, 32); err == nil && strings.HasPrefix(rest, "<") {
			line = rest
		}
	}
	e, err := r.newer([]byte(line))
	if err != nil {
		var err2 error
		if e, err2 = r.older([]byte(line)); err2 != nil {
			return &Entry{Raw: line, Text: line, ParseError: err}
		}
	}
	e.Raw = line
	e.Run, _ = strconv.ParseUint(e.Params[record.Run], 10, 64)
	e.Sequence, _ = strconv.ParseUint(e.Params[record.Sequence], 10, 64)
	if us, err := strconv.ParseInt(e.Params[record.At], 10, 64); err == nil {
		e.At = time.Duration(us) * time.Microsecond
	}
	return e
}

// ReadLines calls each for every line of a stream that is not empty.
func (r *Reader) ReadLines(name string, in io.Reader, each func(*Entry)) error {
	b := bufio.NewReaderSize(in, 1<<16)
	var last time.Time // for lines that bear none
	for n := 1; ; n++ {
		line, long, err := readLine(b)
		if line != "" {
			e := &Entry{Raw: line, Text: line, ParseError: errors.New("the line is too long")}
			if !long {
				e = r.Parse(line)
			}
			e.File, e.LineNumber = name, n
			if e.Time.IsZero() {
				e.Time = last
			}
			last = e.Time
			each(e)
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
}

// readLine reads a line of any length and keeps no more than its bound.
func readLine(b *bufio.Reader) (line string, long bool, err error) {
	var kept []byte
	for {
		piece, err := b.ReadSlice('\n')
		if len(kept) < mostLine {
			kept = append(kept, piece...)
		} else {
			long = true
		}
		if err != bufio.ErrBufferFull {
			return strings.TrimRight(string(kept), "\r\n"), long || len(kept) > mostLine, err
		}
	}
}

// When is the entry's place in time: for a record of a run its pilot's own clock, which does not step; else the line's.
func (e *Entry) When() time.Time {
	if e.Run > 0 && e.Sequence > 0 {
		return time.UnixMicro(int64(e.Run)).Add(e.At)
	}
	return e.Time
}

// Get returns a field: one of the line's own, or a parameter.
func (e *Entry) Get(field string) string {
	switch field {
	case "kind":
		return e.Kind
	case "host":
		return e.Host
	case "app":
		return e.App
	case "severity":
		return e.Severity.String()
	case "text":
		return e.Text
	case "file":
		return e.File
	}
	return e.Params[field]
}

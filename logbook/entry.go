// Package logbook reads back the logs of pilots and proxies. It parses RFC 5424 lines, and RFC 3164 lines of other
// programs, merges the logs of several pilots in the order of their runs and sequence numbers, finds missing records,
// matches decisions with the confirmations of proxies, and draws the timeline of a node. Merge returns a Log; Compile
// returns a Filter.
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
	ParseError error // not nil if the line is no syslog message; Text is then the line, and the parsed fields are empty
	Time       time.Time
	Severity   syslog.Severity
	Host       string
	App        string
	Kind       string            // the MSGID of the message
	Params     map[string]string // parameters of all elements; those of the element "decision" take precedence
	Text       string

	Run, Sequence uint64        // run and sequence number of a pilot's record; 0 if there are none
	At            time.Duration // time since the start of the pilot
}

// Reader parses lines into entries. It must not be used by several goroutines at once.
type Reader struct {
	newer func([]byte) (*Entry, error)
	older func([]byte) (*Entry, error)
}

// NewReader returns a Reader. Lines without a year get the current one.
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
				return nil, errors.New("not a syslog message")
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
				return nil, errors.New("not a syslog message")
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

// maxLineBytes is the maximum length of a line; a longer one is malformed.
const maxLineBytes = 1 << 20

// Parse parses a line. It never fails: for a line that is no syslog message, ParseError is set in the entry.
func (r *Reader) Parse(line string) (e *Entry) {
	defer func() {
		if p := recover(); p != nil { // the parser is a third-party library, and the lines may come from anyone
			e = &Entry{Raw: line, Text: line, ParseError: fmt.Errorf("the parser panicked: %v", p)}
		}
	}()
	if count, rest, ok := strings.Cut(line, " "); ok { // a frame with an octet count, as sent over TCP
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

// ReadLines calls each for every nonempty line of a stream. It returns the first read error, prefixed with the name.
func (r *Reader) ReadLines(name string, in io.Reader, each func(*Entry)) error {
	b := bufio.NewReaderSize(in, 1<<16)
	var last time.Time // time of the previous line, used for lines that have no time
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

// readLine reads a line of any length, but keeps little more than maxLineBytes of it; long is true if the line is
// longer.
func readLine(b *bufio.Reader) (line string, long bool, err error) {
	var kept []byte
	for {
		piece, err := b.ReadSlice('\n')
		if len(kept) < maxLineBytes {
			kept = append(kept, piece...)
		} else {
			long = true
		}
		if err != bufio.ErrBufferFull {
			return strings.TrimRight(string(kept), "\r\n"), long || len(kept) > maxLineBytes, err
		}
	}
}

// EventTime returns the time by which the entry is ordered: for a record of a run the time by its pilot's monotonic
// clock, otherwise the time of the line.
func (e *Entry) EventTime() time.Time {
	if e.Run > 0 && e.Sequence > 0 {
		return time.UnixMicro(int64(e.Run)).Add(e.At)
	}
	return e.Time
}

// Get returns the value of a field, which is either a field of the line or a parameter; empty if there is none.
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

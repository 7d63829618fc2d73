// Package syslog writes log records as RFC 5424 has them and carries them to a receiver without ever holding up who logs.
// Message.Append writes one; a Sender carries them, over UDP, TCP, TLS or a local socket; Handler puts both behind log/slog.
package syslog

import (
	"slices"
	"strconv"
	"time"
	"unicode/utf8"
)

// Facility is where a message comes from, RFC 5424, 6.2.1.
type Facility byte

// Local0 to Local7 are for local use.
const (
	Daemon Facility = 3
	Local0 Facility = 16
)

// Severity is how grave a message is; the lower the graver.
type Severity byte

// The severities, RFC 5424, 6.2.1.
const (
	Emergency Severity = iota
	Alert
	Critical
	Error
	Warning
	Notice
	Informational
	Debug
)

var severities = [...]string{"emerg", "alert", "crit", "err", "warning", "notice", "info", "debug"}

func (s Severity) String() string { return severities[min(s, Debug)] }

// Enterprise is the private enterprise number under which the SD-IDs of this program stand. It is the one that RFC 5612 sets
// aside for documentation; who has one of their own writes it here.
const Enterprise = "32473"

// Element is an SD-ELEMENT.
type Element struct {
	ID     string // without the enterprise number for those that IANA has registered
	Params []Param
}

// Param is an SD-PARAM.
type Param struct{ Name, Value string }

// Message is a syslog message. A field that is empty is written as nil.
type Message struct {
	Facility       Facility
	Severity       Severity
	Time           time.Time
	Host           string // 255 characters at most
	App            string // 48
	Proc           string // 128
	MsgID          string // 32
	StructuredData []Element
	Text           string
}

// Least is the smallest bound that Append keeps to: the longest header and a little. RFC 5424, 6.1 has receivers take 480.
const Least = 640

// Append appends the message, in most bytes or fewer (Least at the least). What does not fit is cut: first the text, then
// whole parameters from the end, then whole elements; what stays of the structured data is whole. Text that is not ASCII is
// marked by a byte order mark as UTF-8; bytes that are not UTF-8 become U+FFFD, control characters in names and the header
// go, those in values and the text are written as they stand but for NUL and line ends, which become a space.
func (m *Message) Append(b []byte, most int) []byte {
	most = max(most, Least)
	start := len(b)
	b = append(b, '<')
	b = strconv.AppendUint(b, uint64(min(m.Facility, 23))*8+uint64(min(m.Severity, Debug)), 10)
	b = append(b, ">1 "...)
	if m.Time.IsZero() {
		b = append(b, '-')
	} else {
		b = m.Time.AppendFormat(b, "2006-01-02T15:04:05.000000Z07:00")
	}
	for _, f := range [...]struct {
		s    string
		most int
	}{{m.Host, 255}, {m.App, 48}, {m.Proc, 128}, {m.MsgID, 32}} {
		b = appendPrintable(append(b, ' '), f.s, f.most)
	}
	b = append(b, ' ')
	before := len(b)
	for i, e := range m.StructuredData {
		if !slices.ContainsFunc(m.StructuredData[:i], func(x Element) bool { return sameName(x.ID, e.ID) }) {
			b = appendElement(b, e.ID, m.StructuredData[i:], start+most)
		}
	}
	if len(b) == before {
		b = append(b, '-')
	}
	if m.Text == "" {
		return b
	}
	return appendText(b, m.Text, start+most)
}

// appendPrintable appends a header field: printable ASCII without blanks; nil if nothing is left.
func appendPrintable(b []byte, s string, most int) []byte {
	n := 0
	for i := 0; i < len(s) && n < most; i++ {
		if c := s[i]; c > ' ' && c < 0x7f {
			b = append(b, c)
			n++
		}
	}
	if n == 0 {
		b = append(b, '-')
	}
	return b
}

// appendName appends an SD-NAME: up to 32 printable characters, none of = ] ".
func appendName(b []byte, s string) []byte {
	n := 0
	for i := 0; i < len(s) && n < 32; i++ {
		if c := s[i]; c > ' ' && c < 0x7f && c != '=' && c != ']' && c != '"' {
			b = append(b, c)
			n++
		}
	}
	if n == 0 {
		b = append(b, '_')
	}
	return b
}

// sameName tells whether two names are one as they are written.
func sameName(x, y string) bool {
	var a, b [32]byte
	return x == y || string(appendName(a[:0], x)) == string(appendName(b[:0], y))
}

// appendElement appends an element as far as it fits under an end, with the parameters of all elements whose names are its
// own as written; none of it if its name does not fit.
func appendElement(b []byte, id string, all []Element, end int) []byte {
	start := len(b)
	b = appendName(append(b, '['), id)
	if len(b)+1 > end {
		return b[:start]
	}
	for _, e := range all {
		if !sameName(e.ID, id) {
			continue
		}
		for _, p := range e.Params {
			at := len(b)
			b = append(appendName(append(b, ' '), p.Name), `="`...)
			if b = append(appendValue(b, p.Value), '"'); len(b)+1 > end {
				return append(b[:at], ']')
			}
		}
	}
	return append(b, ']')
}

// appendValue appends a PARAM-VALUE with its escapes.
func appendValue(b []byte, s string) []byte {
	for i := 0; i < len(s); {
		c := s[i]
		if c < utf8.RuneSelf {
			switch {
			case c == '"' || c == '\\' || c == ']':
				b = append(b, '\\', c)
			default:
				b = append(b, tame(c))
			}
			i++
			continue
		}
		r, n := utf8.DecodeRuneInString(s[i:])
		b = utf8.AppendRune(b, r) // U+FFFD where it is none
		i += n
	}
	return b
}

// tame is a byte as values and text bear it: line ends would end the message for receivers that read lines, and NUL ends it
// for some that are written in C.
func tame(c byte) byte {
	if c == 0 || c == '\n' || c == '\r' {
		return ' '
	}
	return c
}

// bom marks text as UTF-8.
const bom = "\xef\xbb\xbf"

// appendText appends the text, cut between characters where it does not fit.
func appendText(b []byte, s string, end int) []byte {
	start := len(b)
	ascii := true
	for i := 0; i < len(s) && ascii; i++ {
		ascii = s[i] < utf8.RuneSelf
	}
	b = append(b, ' ')
	if !ascii {
		b = append(b, bom...)
	}
	if len(b) >= end {
		return b[:start]
	}
	for i := 0; i < len(s); {
		if c := s[i]; c < utf8.RuneSelf {
			if len(b)+1 > end {
				break
			}
			b = append(b, tame(c))
			i++
			continue
		}
		r, n := utf8.DecodeRuneInString(s[i:])
		if len(b)+utf8.RuneLen(r) > end {
			break
		}
		b = utf8.AppendRune(b, r)
		i += n
	}
	return b
}

// Package syslog formats log records as RFC 5424 messages and delivers them to a receiver without blocking the code
// that logs. Message.Append formats a message; a Sender delivers messages over UDP, TCP, TLS, a Unix datagram socket or
// to a file; a Handler connects both to log/slog.
package syslog

import (
	"slices"
	"strconv"
	"time"
	"unicode/utf8"
)

// Facility is the facility code of a message (RFC 5424, section 6.2.1).
type Facility byte

// The facilities in use: Daemon, and Local0, the first of the eight codes for local use (16 to 23).
const (
	Daemon Facility = 3
	Local0 Facility = 16
)

// Severity is the severity code of a message; a lower value is more severe.
type Severity byte

// The severity codes of RFC 5424, section 6.2.1.
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

var severityNames = [...]string{"emerg", "alert", "crit", "err", "warning", "notice", "info", "debug"}

// String returns the usual keyword of the severity, such as "err" or "notice".
func (s Severity) String() string { return severityNames[min(s, Debug)] }

// EnterpriseNumber is the private enterprise number in the SD-IDs of this program. It is the number that RFC 5612
// reserves for documentation; an organization with a number of its own sets it here.
const EnterpriseNumber = "32473"

// Element is an SD-ELEMENT: a named group of parameters.
type Element struct {
	ID     string // SD-ID; includes "@" and the enterprise number unless IANA has registered the ID
	Params []Param
}

// Param is an SD-PARAM: a name and its value.
type Param struct{ Name, Value string }

// Message is an RFC 5424 syslog message. An empty field is written as the NILVALUE "-".
type Message struct {
	Facility       Facility
	Severity       Severity
	Time           time.Time
	Host           string // at most 255 characters; longer names are cut
	App            string // APP-NAME, at most 48 characters
	ProcID         string // PROCID, at most 128 characters
	MsgID          string // MSGID, at most 32 characters
	StructuredData []Element
	Text           string
}

// MinMessageBytes is the smallest size limit that Append accepts, in bytes: it fits the longest possible header. RFC
// 5424, section 6.1 requires receivers to accept 480 bytes.
const MinMessageBytes = 640

// Append appends the formatted message to b, using at most maxBytes bytes (but no limit below MinMessageBytes). If the
// message does not fit, Append drops first the end of the text, then whole parameters from the end, then whole
// elements; the remaining structured data is well-formed. Text that is not ASCII is marked as UTF-8 by a byte order
// mark, and bytes that are not valid UTF-8 become U+FFFD. Control characters are removed from names and header fields;
// in values and text they are kept, except that NUL and line ends become a space.
func (m *Message) Append(b []byte, maxBytes int) []byte {
	maxBytes = max(maxBytes, MinMessageBytes)
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
		s        string
		maxBytes int
	}{{m.Host, 255}, {m.App, 48}, {m.ProcID, 128}, {m.MsgID, 32}} {
		b = appendPrintable(append(b, ' '), f.s, f.maxBytes)
	}
	b = append(b, ' ')
	dataStart := len(b)
	for i, e := range m.StructuredData {
		if !slices.ContainsFunc(m.StructuredData[:i], func(x Element) bool { return sameName(x.ID, e.ID) }) {
			b = appendElement(b, e.ID, m.StructuredData[i:], start+maxBytes)
		}
	}
	if len(b) == dataStart {
		b = append(b, '-')
	}
	if m.Text == "" {
		return b
	}
	return appendText(b, m.Text, start+maxBytes)
}

// appendPrintable appends a header field: the printable ASCII characters of s, without spaces, at most maxBytes of
// them; "-" if none are left.
func appendPrintable(b []byte, s string, maxBytes int) []byte {
	n := 0
	for i := 0; i < len(s) && n < maxBytes; i++ {
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

// appendName appends an SD-NAME: up to 32 printable ASCII characters other than =, ], " and space; "_" if none are
// left.
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

// sameName reports whether two names are equal once formatted as SD-NAMEs.
func sameName(x, y string) bool {
	var a, b [32]byte
	return x == y || string(appendName(a[:0], x)) == string(appendName(b[:0], y))
}

// appendElement appends one element with the parameters of all elements of the same formatted name. b does not grow
// beyond end bytes: parameters that do not fit are dropped, and if the name does not fit nothing is appended.
func appendElement(b []byte, id string, elements []Element, end int) []byte {
	start := len(b)
	b = appendName(append(b, '['), id)
	if len(b)+1 > end {
		return b[:start]
	}
	for _, e := range elements {
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

// appendValue appends a PARAM-VALUE, with ", \ and ] escaped.
func appendValue(b []byte, s string) []byte {
	for i := 0; i < len(s); {
		c := s[i]
		if c < utf8.RuneSelf {
			switch {
			case c == '"' || c == '\\' || c == ']':
				b = append(b, '\\', c)
			default:
				b = append(b, replaceControl(c))
			}
			i++
			continue
		}
		r, n := utf8.DecodeRuneInString(s[i:])
		b = utf8.AppendRune(b, r) // U+FFFD for an invalid byte
		i += n
	}
	return b
}

// replaceControl returns the byte as written in values and text. NUL and line ends become a space: receivers that read
// lines end the message at a line end, and some receivers written in C end it at NUL.
func replaceControl(c byte) byte {
	if c == 0 || c == '\n' || c == '\r' {
		return ' '
	}
	return c
}

// bom is the UTF-8 byte order mark, which marks the text as UTF-8.
const bom = "\xef\xbb\xbf"

// appendText appends the text; if b would grow beyond end bytes the text is cut at a character boundary.
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
			b = append(b, replaceControl(c))
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

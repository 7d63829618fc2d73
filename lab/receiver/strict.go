// Package receiver is a stand-in for a syslog receiver over UDP, TCP, TLS and the local socket, with faults that a
// test injects. It parses strictly by RFC 5424 and the RFCs of the transports, with a parser of its own, so that a
// fault in the sender is detected. Listen starts a Receiver.
package receiver

import (
	"errors"
	"fmt"
	"strings"
	"time"
	"unicode/utf8"
)

// Message is a parsed syslog message.
type Message struct {
	Priority int
	Time     time.Time // zero for the nil value
	Host     string    // empty for the nil value; so are App, Proc and ID
	App      string
	Proc     string
	ID       string
	Data     map[string][][2]string // name and value of the parameters, by SD-ID
	Text     string
	UTF8     bool // the text began with a byte order mark, which Text omits
}

// reader reads a message from its start to its end.
type reader struct {
	s      string
	offset int
}

func (r *reader) fail(what string) error { return fmt.Errorf("at byte %d: %s", r.offset, what) }

func (r *reader) byte(c byte) error {
	if r.offset >= len(r.s) || r.s[r.offset] != c {
		return r.fail(fmt.Sprintf("%q is missing", c))
	}
	r.offset++
	return nil
}

// word reads 1 to maxLength printable ASCII characters, up to a space; it returns an empty string for the nil value
// "-".
func (r *reader) word(what string, maxLength int) (string, error) {
	start := r.offset
	for r.offset < len(r.s) && r.s[r.offset] > ' ' && r.s[r.offset] < 0x7f {
		r.offset++
	}
	w := r.s[start:r.offset]
	if w == "" || len(w) > maxLength {
		return "", r.fail(fmt.Sprintf("%s has %d characters, 1 to %d are allowed", what, len(w), maxLength))
	}
	if w == "-" {
		return "", nil
	}
	return w, nil
}

// Parse parses a message strictly by the grammar of RFC 5424, section 6.
func Parse(text string) (*Message, error) {
	r := &reader{s: text}
	m := &Message{Data: map[string][][2]string{}}
	if err := r.byte('<'); err != nil {
		return nil, err
	}
	start := r.offset
	for r.offset < len(text) && text[r.offset] >= '0' && text[r.offset] <= '9' {
		m.Priority = m.Priority*10 + int(text[r.offset]-'0')
		if r.offset++; r.offset-start > 3 {
			return nil, r.fail("the priority has more than three digits")
		}
	}
	if n := r.offset - start; n == 0 || m.Priority > 191 || n > 1 && text[start] == '0' {
		return nil, r.fail("the priority is not a number from 0 to 191")
	}
	if err := r.byte('>'); err != nil {
		return nil, err
	}
	for _, c := range []byte("1 ") {
		if err := r.byte(c); err != nil {
			return nil, err
		}
	}
	timestampText, err := r.word("the timestamp", 32)
	if err != nil {
		return nil, err
	}
	if timestampText != "" {
		if m.Time, err = timestamp(timestampText); err != nil {
			return nil, r.fail(err.Error())
		}
	}
	for _, f := range []struct {
		what      string
		maxLength int
		target    *string
	}{{"the hostname", 255, &m.Host}, {"the app-name", 48, &m.App}, {"the procid", 128, &m.Proc}, {"the msgid", 32, &m.ID}} {
		if err := r.byte(' '); err != nil {
			return nil, err
		}
		if *f.target, err = r.word(f.what, f.maxLength); err != nil {
			return nil, err
		}
	}
	if err := r.byte(' '); err != nil {
		return nil, err
	}
	if err := r.data(m); err != nil {
		return nil, err
	}
	if r.offset == len(text) {
		return m, nil
	}
	if err := r.byte(' '); err != nil {
		return nil, err
	}
	if m.Text, m.UTF8 = strings.CutPrefix(text[r.offset:], "\xef\xbb\xbf"); m.UTF8 && !utf8.ValidString(m.Text) {
		return nil, r.fail("the text has a byte order mark and is not UTF-8")
	}
	return m, nil
}

// timestamp parses the RFC 5424 profile of RFC 3339: capital T and Z, a fraction of one to six digits if any, no leap
// second.
func timestamp(s string) (time.Time, error) {
	if _, rest, ok := strings.Cut(s, "."); ok {
		if n := strings.IndexAny(rest, "Z+-"); n < 1 || n > 6 {
			return time.Time{}, errors.New("the fraction does not have one to six digits")
		}
	}
	if len(s) < 20 || s[10] != 'T' || strings.Contains(s, ",") {
		return time.Time{}, errors.New("not a timestamp of RFC 5424")
	}
	return time.Parse("2006-01-02T15:04:05.999999Z07:00", s)
}

func (r *reader) name(end string) (string, error) {
	start := r.offset
	for r.offset < len(r.s) && r.s[r.offset] > ' ' && r.s[r.offset] < 0x7f &&
		!strings.ContainsRune("=]\"", rune(r.s[r.offset])) {
		r.offset++
	}
	n := r.s[start:r.offset]
	if n == "" || len(n) > 32 {
		return "", r.fail(fmt.Sprintf("a name has %d characters, 1 to 32 are allowed", len(n)))
	}
	if r.offset >= len(r.s) || !strings.ContainsRune(end, rune(r.s[r.offset])) {
		return "", r.fail("invalid character after a name")
	}
	return n, nil
}

// data reads the structured data, or its nil value.
func (r *reader) data(m *Message) error {
	if r.offset < len(r.s) && r.s[r.offset] == '-' {
		r.offset++
		return nil
	}
	if r.offset >= len(r.s) || r.s[r.offset] != '[' {
		return r.fail("neither structured data nor nil")
	}
	for r.offset < len(r.s) && r.s[r.offset] == '[' {
		r.offset++
		id, err := r.name(" ]")
		if err != nil {
			return err
		}
		if _, duplicate := m.Data[id]; duplicate {
			return r.fail("duplicate SD-ID")
		}
		m.Data[id] = [][2]string{}
		for r.s[r.offset] == ' ' {
			r.offset++
			name, err := r.name("=")
			if err != nil {
				return err
			}
			r.offset++
			if err := r.byte('"'); err != nil {
				return err
			}
			value, err := r.value()
			if err != nil {
				return err
			}
			m.Data[id] = append(m.Data[id], [2]string{name, value})
			if r.offset >= len(r.s) {
				return r.fail("unterminated element")
			}
		}
		if err := r.byte(']'); err != nil {
			return err
		}
	}
	return nil
}

// value reads a PARAM-VALUE after its opening quote, including the closing quote.
func (r *reader) value() (string, error) {
	var b strings.Builder
	for r.offset < len(r.s) {
		switch c := r.s[r.offset]; c {
		case '"':
			r.offset++
			if !utf8.ValidString(b.String()) {
				return "", r.fail("a value is not UTF-8")
			}
			return b.String(), nil
		case ']':
			return "", r.fail("unescaped bracket in a value")
		case '\\':
			if r.offset+1 < len(r.s) && strings.IndexByte(`"\]`, r.s[r.offset+1]) >= 0 {
				r.offset++
			}
			b.WriteByte(r.s[r.offset])
		default:
			b.WriteByte(c)
		}
		r.offset++
	}
	return "", r.fail("unterminated value")
}

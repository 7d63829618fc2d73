// Package receiver is the stand-in for a syslog receiver: UDP, TCP, TLS and the local socket, with the troubles that
// receivers have by script. It reads strictly by RFC 5424 and its transports' RFCs, by a parser of its own, so that it and
// the sender can disagree. Listen is the way in.
package receiver

import (
	"errors"
	"fmt"
	"strings"
	"time"
	"unicode/utf8"
)

// Message is a message as it was read.
type Message struct {
	Priority int
	Time     time.Time // zero: nil
	Host     string    // empty: nil, as the next three
	App      string
	Proc     string
	ID       string
	Data     map[string][][2]string // parameters by element
	Text     string
	UTF8     bool // the text began with a byte order mark
}

// reader goes through a message once.
type reader struct {
	s  string
	at int
}

func (r *reader) fail(what string) error { return fmt.Errorf("at byte %d: %s", r.at, what) }

func (r *reader) byte(c byte) error {
	if r.at >= len(r.s) || r.s[r.at] != c {
		return r.fail(fmt.Sprintf("%q is missing", c))
	}
	r.at++
	return nil
}

// word reads up to a blank: printable ASCII, so many at most.
func (r *reader) word(what string, most int) (string, error) {
	begin := r.at
	for r.at < len(r.s) && r.s[r.at] > ' ' && r.s[r.at] < 0x7f {
		r.at++
	}
	w := r.s[begin:r.at]
	if w == "" || len(w) > most {
		return "", r.fail(fmt.Sprintf("%s has %d characters, 1 to %d are allowed", what, len(w), most))
	}
	if w == "-" {
		return "", nil
	}
	return w, nil
}

// Parse reads a message by the grammar of RFC 5424, section 6, and nothing beyond it.
func Parse(text string) (*Message, error) {
	r := &reader{s: text}
	m := &Message{Data: map[string][][2]string{}}
	if err := r.byte('<'); err != nil {
		return nil, err
	}
	begin := r.at
	for r.at < len(text) && text[r.at] >= '0' && text[r.at] <= '9' {
		m.Priority = m.Priority*10 + int(text[r.at]-'0')
		if r.at++; r.at-begin > 3 {
			return nil, r.fail("the priority has more than three digits")
		}
	}
	if n := r.at - begin; n == 0 || m.Priority > 191 || n > 1 && text[begin] == '0' {
		return nil, r.fail("no priority from 0 to 191")
	}
	if err := r.byte('>'); err != nil {
		return nil, err
	}
	for _, c := range []byte("1 ") {
		if err := r.byte(c); err != nil {
			return nil, err
		}
	}
	stamp, err := r.word("the timestamp", 32)
	if err != nil {
		return nil, err
	}
	if stamp != "" {
		if m.Time, err = timestamp(stamp); err != nil {
			return nil, r.fail(err.Error())
		}
	}
	for _, f := range []struct {
		what string
		most int
		to   *string
	}{{"the hostname", 255, &m.Host}, {"the app-name", 48, &m.App}, {"the procid", 128, &m.Proc}, {"the msgid", 32, &m.ID}} {
		if err := r.byte(' '); err != nil {
			return nil, err
		}
		if *f.to, err = r.word(f.what, f.most); err != nil {
			return nil, err
		}
	}
	if err := r.byte(' '); err != nil {
		return nil, err
	}
	if err := r.data(m); err != nil {
		return nil, err
	}
	if r.at == len(text) {
		return m, nil
	}
	if err := r.byte(' '); err != nil {
		return nil, err
	}
	if m.Text, m.UTF8 = strings.CutPrefix(text[r.at:], "\xef\xbb\xbf"); m.UTF8 && !utf8.ValidString(m.Text) {
		return nil, r.fail("the text is marked as UTF-8 and is not")
	}
	return m, nil
}

// timestamp reads RFC 5424's form of RFC 3339: T and Z in capitals, up to six digits of a second, no leap second.
func timestamp(s string) (time.Time, error) {
	if _, rest, ok := strings.Cut(s, "."); ok {
		if n := strings.IndexAny(rest, "Z+-"); n < 1 || n > 6 {
			return time.Time{}, errors.New("the fraction has no one to six digits")
		}
	}
	if len(s) < 20 || s[10] != 'T' || strings.Contains(s, ",") {
		return time.Time{}, errors.New("no timestamp")
	}
	return time.Parse("2006-01-02T15:04:05.999999Z07:00", s)
}

func (r *reader) name(end string) (string, error) {
	begin := r.at
	for r.at < len(r.s) && r.s[r.at] > ' ' && r.s[r.at] < 0x7f && !strings.ContainsRune("=]\"", rune(r.s[r.at])) {
		r.at++
	}
	n := r.s[begin:r.at]
	if n == "" || len(n) > 32 {
		return "", r.fail(fmt.Sprintf("a name of %d characters, 1 to 32 are allowed", len(n)))
	}
	if r.at >= len(r.s) || !strings.ContainsRune(end, rune(r.s[r.at])) {
		return "", r.fail("a name that does not end as one")
	}
	return n, nil
}

// data reads the structured data.
func (r *reader) data(m *Message) error {
	if r.at < len(r.s) && r.s[r.at] == '-' {
		r.at++
		return nil
	}
	if r.at >= len(r.s) || r.s[r.at] != '[' {
		return r.fail("neither structured data nor nil")
	}
	for r.at < len(r.s) && r.s[r.at] == '[' {
		r.at++
		id, err := r.name(" ]")
		if err != nil {
			return err
		}
		if _, twice := m.Data[id]; twice {
			return r.fail("an element that is there already")
		}
		m.Data[id] = [][2]string{}
		for r.s[r.at] == ' ' {
			r.at++
			name, err := r.name("=")
			if err != nil {
				return err
			}
			r.at++
			if err := r.byte('"'); err != nil {
				return err
			}
			value, err := r.value()
			if err != nil {
				return err
			}
			m.Data[id] = append(m.Data[id], [2]string{name, value})
			if r.at >= len(r.s) {
				return r.fail("an element without an end")
			}
		}
		if err := r.byte(']'); err != nil {
			return err
		}
	}
	return nil
}

// value reads a PARAM-VALUE behind its opening quote.
func (r *reader) value() (string, error) {
	var b strings.Builder
	for r.at < len(r.s) {
		switch c := r.s[r.at]; c {
		case '"':
			r.at++
			if !utf8.ValidString(b.String()) {
				return "", r.fail("a value that is not UTF-8")
			}
			return b.String(), nil
		case ']':
			return "", r.fail("a bracket that is not escaped")
		case '\\':
			if r.at+1 < len(r.s) && strings.IndexByte(`"\]`, r.s[r.at+1]) >= 0 {
				r.at++
			}
			b.WriteByte(r.s[r.at])
		default:
			b.WriteByte(c)
		}
		r.at++
	}
	return "", r.fail("a value without an end")
}

package syslog

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"
	"unicode/utf8"

	"vetchdoor/lab/receiver"
)

// The examples of RFC 5424, section 6.5, are formatted as in the RFC, except for six fractional digits of the time, and
// can be parsed.
func TestExamples(t *testing.T) {
	at := time.Date(2003, 10, 11, 22, 14, 15, 3e6, time.UTC)
	event := Element{"exampleSDID@32473", []Param{{"iut", "3"}, {"eventSource", "Application"}, {"eventID", "1011"}}}
	for want, m := range map[string]Message{
		"<34>1 2003-10-11T22:14:15.003000Z mymachine.example.com su - ID47 - 'su root' failed for lonvick on /dev/pts/8": {Facility: 4, Severity: Critical,
			Time: at, Host: "mymachine.example.com", App: "su", MsgID: "ID47", Text: "'su root' failed for lonvick on /dev/pts/8"},
		"<165>1 2003-08-24T05:14:15.000003-07:00 192.0.2.1 myproc 8710 - - %% It's time to make the do-nuts.": {Facility: 20,
			Severity: Notice,
			Time:     time.Date(2003, 8, 24, 5, 14, 15, 3000, time.FixedZone("", -7*3600)), Host: "192.0.2.1", App: "myproc",
			ProcID: "8710", Text: "%% It's time to make the do-nuts."},
		`<165>1 2003-10-11T22:14:15.003000Z mymachine.example.com evntslog - ID47 [exampleSDID@32473 iut="3" eventSource="Application" eventID="1011"] An application event log entry...`: {
			Facility: 20, Severity: Notice, Time: at, Host: "mymachine.example.com", App: "evntslog", MsgID: "ID47",
			StructuredData: []Element{event}, Text: "An application event log entry..."},
		`<165>1 2003-10-11T22:14:15.003000Z mymachine.example.com evntslog - ID47 [exampleSDID@32473 iut="3" eventSource="Application" eventID="1011"][examplePriority@32473 class="high"]`: {
			Facility: 20, Severity: Notice, Time: at, Host: "mymachine.example.com", App: "evntslog", MsgID: "ID47",
			StructuredData: []Element{event, {"examplePriority@32473", []Param{{"class", "high"}}}}},
		"<0>1 - - - - - -":           {},
		"<13>1 - - - - - - \ufefföl": {Facility: 1, Severity: Notice, Text: "öl"},
	} {
		if got := string(m.Append(nil, 2000)); got != want {
			t.Errorf("%q\n%q", got, want)
		}
		if _, err := receiver.Parse(want); err != nil {
			t.Errorf("%q: %v", want, err)
		}
	}
}

// hostileString returns a random string of pieces that tend to break parsers.
func hostileString(rng *rand.Rand) string {
	pieces := []string{"]", `"`, `\`, "\n", "\r", "\x00", "\xff", "\xc3", "a", "=", " ", "[", "ö", "🗳", "\ufeff", "x y", "-",
		"\u2028", strings.Repeat("long", 30)}
	var b strings.Builder
	for range rng.IntN(6) {
		b.WriteString(pieces[rng.IntN(len(pieces))])
	}
	if rng.IntN(50) == 0 {
		b.WriteString(strings.Repeat("ö]", 5000))
	}
	return b.String()
}

func randomMessage(rng *rand.Rand) Message {
	m := Message{Facility: Facility(rng.IntN(30)), Severity: Severity(rng.IntN(10)), Host: hostileString(rng),
		App: hostileString(rng), ProcID: hostileString(rng),
		MsgID: hostileString(rng), Text: hostileString(rng)}
	if rng.IntN(4) > 0 {
		m.Time = time.Unix(rng.Int64N(4e9), rng.Int64N(1e9)).In(time.FixedZone("", (rng.IntN(24*4)-48)*900))
	}
	for i := range rng.IntN(4) {
		e := Element{ID: string(rune('a'+i)) + hostileString(rng)}
		for range rng.IntN(4) {
			e.Params = append(e.Params, Param{hostileString(rng), hostileString(rng)})
		}
		m.StructuredData = append(m.StructuredData, e)
	}
	return m
}

// sanitized returns s with the replacements that Append may make in values and text.
func sanitized(s string) string {
	return strings.NewReplacer("\n", " ", "\r", " ", "\x00", " ").Replace(strings.ToValidUTF8(s, "\ufffd"))
}

// Whatever the fields contain, an independent parser reads the formatted message, its size stays within the limit, and
// values that fit are unchanged but for the documented replacements.
func TestHostileInput(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 20000 {
		m := randomMessage(rng)
		maxBytes := MinMessageBytes + rng.IntN(3000)
		b := m.Append([]byte("before"), maxBytes)
		text := string(b[len("before"):])
		got, err := receiver.Parse(text)
		if err != nil || len(text) > maxBytes {
			t.Fatalf("%d of %d bytes: %v\n%q\n%+v", len(text), maxBytes, err, text, m)
		}
		if !m.Time.IsZero() && !got.Time.Equal(m.Time.Truncate(time.Microsecond)) {
			t.Fatalf("time %v, want %v", got.Time, m.Time)
		}
		for _, e := range m.StructuredData {
			for id, params := range got.Data {
				if id != string(appendName(nil, e.ID)) {
					continue
				}
				for i, p := range params {
					if want := e.Params[i].Value; !utf8.ValidString(want) {
						continue // each invalid byte becomes U+FFFD; how many are one invalid sequence depends on the standard library
					} else if p[1] != sanitized(want) {
						t.Fatalf("value %q, want %q", p[1], want)
					}
				}
			}
		}
		if utf8.ValidString(m.Text) && !strings.HasPrefix(sanitized(m.Text), got.Text) {
			t.Fatalf("text %q is no prefix of %q", got.Text, m.Text)
		}
	}
}

// A message over the size limit loses the end of its text first, then parameters from the end, and stays well-formed.
func TestTruncation(t *testing.T) {
	m := Message{Host: "h", StructuredData: []Element{{"a@1", []Param{{"x", strings.Repeat("v", 500)}, {"y", strings.Repeat("w",
		500)}}}, {"b@1", []Param{{"z", "1"}}}},
		Text: strings.Repeat("ö", 400)}
	for maxBytes := MinMessageBytes; maxBytes < 2000; maxBytes++ {
		got, err := receiver.Parse(string(m.Append(nil, maxBytes)))
		if err != nil {
			t.Fatal(maxBytes, err)
		}
		if a := got.Data["a@1"]; len(a) < 1 || len(a) == 1 && got.Text != "" && maxBytes > 1100 {
			t.Fatalf("%d: %v", maxBytes, got)
		}
	}
}

// The strict parser that these tests rely on rejects everything outside the grammar of RFC 5424.
func TestStrictParser(t *testing.T) {
	for _, bad := range []string{"", "<192>1 - - - - - -", "<01>1 - - - - - -", "<1>2 - - - - - -", "<1>1 - - - - -",
		"<1>1 - - - - - [", "<1>1 - - - - - []",
		`<1>1 - - - - - [a b="c]"]`, `<1>1 - - - - - [a b="c"`, `<1>1 - - - - - [a  b="c"]`, `<1>1 - - - - - [a b="c"]x`,
		`<1>1 - - - - - [a][a]`, "<1>1 - - - - - -x",
		"<1>1 2003-10-11t22:14:15Z - - - - -", "<1>1 2003-10-11T22:14:15.0000001Z - - - - -", "<1>1 2003-10-11T22:14:15 - - - - -",
		"<1>1 2003-10-11T22:14:60Z - - - - -",
		"<1>1 - " + strings.Repeat("h", 256) + " - - - -", "<1>1 - - " + strings.Repeat("a", 49) + " - - -",
		"<1>1 - - - - " + strings.Repeat("i", 33) + " -",
		"<1>1 - - - - - - \xef\xbb\xbf\xff", "<1>1 - - - - - [" + strings.Repeat("n", 33) + "]",
		`<1>1 - - - - - [a b="` + "\xff" + `"]`, "<1111>1 - - - - - -"} {
		if m, err := receiver.Parse(bad); err == nil {
			t.Errorf("%.80q was accepted: %+v", bad, m)
		}
	}
}

// FuzzParse checks that the strict parser does not panic on any input.
func FuzzParse(f *testing.F) {
	f.Add(`<165>1 2003-10-11T22:14:15.003Z host app - ID47 [a@1 b="c\]"] text`)
	f.Fuzz(func(t *testing.T, text string) { _, _ = receiver.Parse(text) })
}

// FuzzAppend checks that the strict parser accepts what Append writes, whatever the fields contain, and that the size
// limit is kept.
func FuzzAppend(f *testing.F) {
	f.Add("host", "id", "name", "value", "text", 700)
	f.Fuzz(func(t *testing.T, host, id, name, value, text string, maxBytes int) {
		m := Message{Host: host, App: name, ProcID: value, MsgID: id, StructuredData: []Element{{id, []Param{{name, value}, {value,
			text}}}, {name, nil}, {id, nil}}, Text: text}
		b := m.Append(nil, maxBytes)
		if _, err := receiver.Parse(string(b)); err != nil || len(b) > max(maxBytes, MinMessageBytes) {
			t.Fatalf("%d bytes of %d: %v\n%q", len(b), maxBytes, err, b)
		}
	})
}

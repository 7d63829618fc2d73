package syslog

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"
	"unicode/utf8"

	"vetchdoor/lab/receiver"
)

// RFC 5424's own examples, 6.5, are written as they stand there (with six digits of a second) and read back.
func TestExamples(t *testing.T) {
	at := time.Date(2003, 10, 11, 22, 14, 15, 3e6, time.UTC)
	event := Element{"exampleSDID@32473", []Param{{"iut", "3"}, {"eventSource", "Application"}, {"eventID", "1011"}}}
	for want, m := range map[string]Message{
		"<34>1 2003-10-11T22:14:15.003000Z mymachine.example.com su - ID47 - 'su root' failed for lonvick on /dev/pts/8": {Facility: 4, Severity: Critical,
			Time: at, Host: "mymachine.example.com", App: "su", MsgID: "ID47", Text: "'su root' failed for lonvick on /dev/pts/8"},
		"<165>1 2003-08-24T05:14:15.000003-07:00 192.0.2.1 myproc 8710 - - %% It's time to make the do-nuts.": {Facility: 20, Severity: Notice,
			Time: time.Date(2003, 8, 24, 5, 14, 15, 3000, time.FixedZone("", -7*3600)), Host: "192.0.2.1", App: "myproc", Proc: "8710", Text: "%% It's time to make the do-nuts."},
		`<165>1 2003-10-11T22:14:15.003000Z mymachine.example.com evntslog - ID47 [exampleSDID@32473 iut="3" eventSource="Application" eventID="1011"] An application event log entry...`: {
			Facility: 20, Severity: Notice, Time: at, Host: "mymachine.example.com", App: "evntslog", MsgID: "ID47", StructuredData: []Element{event}, Text: "An application event log entry..."},
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

// hostile draws a string of what breaks parsers.
func hostile(rng *rand.Rand) string {
	pieces := []string{"]", `"`, `\`, "\n", "\r", "\x00", "\xff", "\xc3", "a", "=", " ", "[", "ö", "🗳", "\ufeff", "x y", "-", "\u2028", strings.Repeat("long", 30)}
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
	m := Message{Facility: Facility(rng.IntN(30)), Severity: Severity(rng.IntN(10)), Host: hostile(rng), App: hostile(rng), Proc: hostile(rng),
		MsgID: hostile(rng), Text: hostile(rng)}
	if rng.IntN(4) > 0 {
		m.Time = time.Unix(rng.Int64N(4e9), rng.Int64N(1e9)).In(time.FixedZone("", (rng.IntN(24*4)-48)*900))
	}
	for i := range rng.IntN(4) {
		e := Element{ID: string(rune('a'+i)) + hostile(rng)}
		for range rng.IntN(4) {
			e.Params = append(e.Params, Param{hostile(rng), hostile(rng)})
		}
		m.StructuredData = append(m.StructuredData, e)
	}
	return m
}

// clean is what a value may become on its way, at the most.
func clean(s string) string {
	return strings.NewReplacer("\n", " ", "\r", " ", "\x00", " ").Replace(strings.ToValidUTF8(s, "\ufffd"))
}

// Whatever is in the fields, a message is read by a parser that is not the writer's own, keeps its bound, and bears values
// as they were, as far as they fit.
func TestHostile(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 20000 {
		m := randomMessage(rng)
		most := Least + rng.IntN(3000)
		b := m.Append([]byte("before"), most)
		text := string(b[len("before"):])
		got, err := receiver.Parse(text)
		if err != nil || len(text) > most {
			t.Fatalf("%d of %d bytes: %v\n%q\n%+v", len(text), most, err, text, m)
		}
		if !m.Time.IsZero() && !got.Time.Equal(m.Time.Truncate(time.Microsecond)) {
			t.Fatalf("%v, not %v", got.Time, m.Time)
		}
		for _, e := range m.StructuredData {
			for id, params := range got.Data {
				if id != string(appendName(nil, e.ID)) {
					continue
				}
				for i, p := range params {
					if want := e.Params[i].Value; !utf8.ValidString(want) {
						continue // each byte that is none becomes U+FFFD; their number is the standard library's to say
					} else if p[1] != clean(want) {
						t.Fatalf("%q, not %q", p[1], want)
					}
				}
			}
		}
		if utf8.ValidString(m.Text) && !strings.HasPrefix(clean(m.Text), got.Text) {
			t.Fatalf("text %q of %q", got.Text, m.Text)
		}
	}
}

// A message that does not fit loses its text first, then parameters from the end, and stays whole.
func TestCut(t *testing.T) {
	m := Message{Host: "h", StructuredData: []Element{{"a@1", []Param{{"x", strings.Repeat("v", 500)}, {"y", strings.Repeat("w", 500)}}}, {"b@1", []Param{{"z", "1"}}}},
		Text: strings.Repeat("ö", 400)}
	for most := Least; most < 2000; most++ {
		got, err := receiver.Parse(string(m.Append(nil, most)))
		if err != nil {
			t.Fatal(most, err)
		}
		if a := got.Data["a@1"]; len(a) < 1 || len(a) == 1 && got.Text != "" && most > 1100 {
			t.Fatalf("%d: %v", most, got)
		}
	}
}

// The strict reader takes no more than the grammar.
func TestStrict(t *testing.T) {
	for _, bad := range []string{"", "<192>1 - - - - - -", "<01>1 - - - - - -", "<1>2 - - - - - -", "<1>1 - - - - -", "<1>1 - - - - - [", "<1>1 - - - - - []",
		`<1>1 - - - - - [a b="c]"]`, `<1>1 - - - - - [a b="c"`, `<1>1 - - - - - [a  b="c"]`, `<1>1 - - - - - [a b="c"]x`, `<1>1 - - - - - [a][a]`, "<1>1 - - - - - -x",
		"<1>1 2003-10-11t22:14:15Z - - - - -", "<1>1 2003-10-11T22:14:15.0000001Z - - - - -", "<1>1 2003-10-11T22:14:15 - - - - -", "<1>1 2003-10-11T22:14:60Z - - - - -",
		"<1>1 - " + strings.Repeat("h", 256) + " - - - -", "<1>1 - - " + strings.Repeat("a", 49) + " - - -", "<1>1 - - - - " + strings.Repeat("i", 33) + " -",
		"<1>1 - - - - - - \xef\xbb\xbf\xff", "<1>1 - - - - - [" + strings.Repeat("n", 33) + "]", `<1>1 - - - - - [a b="` + "\xff" + `"]`, "<1111>1 - - - - - -"} {
		if m, err := receiver.Parse(bad); err == nil {
			t.Errorf("%.80q was taken: %+v", bad, m)
		}
	}
}

// FuzzParse has the strict reader take anything without a panic.
func FuzzParse(f *testing.F) {
	f.Add(`<165>1 2003-10-11T22:14:15.003Z host app - ID47 [a@1 b="c\]"] text`)
	f.Fuzz(func(t *testing.T, text string) { _, _ = receiver.Parse(text) })
}

// FuzzAppend has any field pass the writer and the strict reader.
func FuzzAppend(f *testing.F) {
	f.Add("host", "id", "name", "value", "text", 700)
	f.Fuzz(func(t *testing.T, host, id, name, value, text string, most int) {
		m := Message{Host: host, App: name, Proc: value, MsgID: id, StructuredData: []Element{{id, []Param{{name, value}, {value, text}}}, {name, nil}, {id, nil}}, Text: text}
		b := m.Append(nil, most)
		if _, err := receiver.Parse(string(b)); err != nil || len(b) > max(most, Least) {
			t.Fatalf("%d bytes of %d: %v\n%q", len(b), most, err, b)
		}
	})
}

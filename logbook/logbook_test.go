package logbook

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"vetchdoor/lab/receiver"
	"vetchdoor/record"
	"vetchdoor/syslog"
)

const born = 1796133516856301 // microseconds: 2026-12-01 13:58:36

// decision is a line as a pilot writes it.
func decision(pilot string, run, seq int, at time.Duration, kind string, params ...string) string {
	e := syslog.Element{ID: record.Element + "@" + syslog.Enterprise}
	e.Params = append(e.Params, syslog.Param{Name: record.Pilot, Value: pilot}, syslog.Param{Name: record.Run, Value: fmt.Sprint(born + run)},
		syslog.Param{Name: record.Sequence, Value: fmt.Sprint(seq)}, syslog.Param{Name: record.At, Value: fmt.Sprint(at.Microseconds())})
	for i := 0; i < len(params); i += 2 {
		e.Params = append(e.Params, syslog.Param{Name: params[i], Value: params[i+1]})
	}
	m := syslog.Message{Facility: syslog.Daemon, Severity: syslog.Notice, Time: time.UnixMicro(born).Add(at).UTC(), Host: "h", App: "vetchdoor-pilot", MsgID: kind,
		StructuredData: []syslog.Element{e}, Text: "text"}
	return string(m.Append(nil, 8000))
}

func book(t *testing.T, lines ...string) *Log {
	t.Helper()
	var all []*Entry
	if err := NewReader().ReadLines("f", strings.NewReader(strings.Join(lines, "\n")+"\n"), func(e *Entry) { all = append(all, e) }); err != nil {
		t.Fatal(err)
	}
	return Merge(all)
}

const s = time.Second

// evening is two pilots' records, one of which began anew, out of order, with one twice and some missing.
func evening(t *testing.T) *Log {
	lines := []string{
		decision("a", 0, 1, 0, record.Restart, record.Reason, "start"),
		decision("a", 0, 2, 1*s, record.TableLine, record.Node, "e17", record.Table, "t0", record.Weight, "4", record.Reason, "listed"),
		decision("a", 0, 3, 10*s, record.Withdrawal, record.Node, "e17", record.Withdrawn, "true", record.Reason, "sick", record.Value, "0.98", record.Past, "0.31", record.Checkpoint, "7"),
		decision("b", 5, 1, 11*s, record.Withdrawal, record.Node, "e17", record.Withdrawn, "true", record.Reason, "draining"),
		decision("a", 0, 4, 11*s, record.Confirmation, record.Checkpoint, "7", record.Of, "12", record.Confirmed, "11", record.Missing, "p3"),
		decision("a", 0, 7, 20*s, record.Withdrawal, record.Node, "e17", record.Withdrawn, "false", record.Reason, "back"),
		decision("a", 0, 8, 21*s, record.TableLine, record.Node, "e17", record.Table, "t0", record.Weight, "1", record.Reason, "returning"),
		decision("a", 0, 3, 10*s, record.Withdrawal, record.Node, "e17", record.Withdrawn, "true", record.Reason, "sick", record.Value, "0.98", record.Past, "0.31", record.Checkpoint, "7"),
		decision("a", 9, 1, 30*s, record.Restart, record.Reason, "panic"),
		"<13>1 2026-12-01T13:58:40.5Z other nginx 1 - - ordinary talk",
		"<34>Oct 11 22:14:15 mymachine su: 'su root' failed for lonvick on /dev/pts/8",
		"no syslog at all",
		"<30>1 2026-12-01T13:58:50Z h vetchdoor-pilot 1 suppressed [suppressed@32473 of=\"line listed\" count=\"2\"] more",
	}
	rand.New(rand.NewPCG(1, 1)).Shuffle(len(lines), func(i, j int) { lines[i], lines[j] = lines[j], lines[i] })
	return book(t, lines...)
}

// An evening comes out in the order of the runs' numbers, gaps are found, what is there twice is so once, foreign and broken
// lines are kept and counted, and a decision knows who confirmed it.
func TestBook(t *testing.T) {
	b := evening(t)
	if len(b.Entries) != 12 || b.Duplicates != 1 || b.Malformed != 1 || b.Suppressed != 2 || b.Missing() != 2 || len(b.Gaps) != 1 || b.Gaps[0].From != 5 || b.Gaps[0].To != 6 {
		t.Fatalf("%d entries, %+v", len(b.Entries), b)
	}
	last := map[Run]uint64{}
	texts := ""
	for _, e := range b.Entries {
		if run, ok := e.run(); ok {
			if e.Sequence <= last[run] {
				t.Errorf("%d after %d", e.Sequence, last[run])
			}
			last[run] = e.Sequence
		}
		texts += b.Format(e) + "\n"
	}
	for _, want := range []string{"a withdrawal node=e17 out=true: sick (0.98, limit 0.31) [in force at 11 of 12]", "nginx: ordinary talk", "su: 'su root' failed",
		"broken", "missing=p3"} {
		if !strings.Contains(texts, want) {
			t.Errorf("%q is not in\n%s", want, texts)
		}
	}
	if g := b.Gaps[0].String(); !strings.Contains(g, "2 records of a, run 1796133516856301, are missing after") {
		t.Error(g)
	}
}

// Filters choose what they say, and ones that cannot be are refused with the place.
func TestFilter(t *testing.T) {
	b := evening(t)
	for text, want := range map[string]int{
		"": 12, "node=e17": 5, "node=e17 and reason in (sick, draining)": 2, "NODE=e17 AND NOT reason in (sick)": 4, "pilot = a and seq > 3 and seq <= 8": 3,
		"value > 0.9": 1, "value < 5": 1, "value != 0.98": 11, "kind = withdrawal or kind = restart": 5, "(kind=withdrawal or kind=restart) and pilot=b": 1,
		`text ~ "^ordinary"`: 1, "app=nginx": 1, "severity >= crit": 1, "severity = notice": 9, "at > 13:58:46 and at < 13:58:58 and run > 0": 5, "at >= 20s": 3,
		"at > 2026-12-01T13:58:56Z and node=e17": 2, "at < 2026-11-01": 1, `reason = "sick"`: 1, "missing ~ p": 1, "nothing = \"\"": 12, "x > 3": 0,
	} {
		f, err := Compile(text)
		if err != nil {
			t.Errorf("%s: %v", text, err)
			continue
		}
		n := 0
		for _, e := range b.Entries {
			if f(e) {
				n++
			}
		}
		if n != want {
			t.Errorf("%s: %d, not %d", text, n, want)
		}
	}
	for _, bad := range []string{"node", "node=", "=e17", "node=e17 and", "(node=e17", "node in ()", "node in (a", "at > x", "severity > sunny", `x ~ "("`, "a=b c=d", strings.Repeat("(", 100) + "a=b",
		strings.Repeat("a=b or ", 1000) + "a=b", "not not", "\x00", `a="`} {
		if _, err := Compile(bad); err == nil {
			t.Errorf("%.40q was taken", bad)
		} else if strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: %q", bad, err)
		}
	}
}

// A node's evening has a lane for each run, with when it was out and why, on the terminal and as a page.
func TestTimeline(t *testing.T) {
	b := evening(t)
	lanes := b.Timeline("e17")
	if len(lanes) != 2 || len(lanes[0].Spans) != 4 || lanes[0].Spans[1].State != "sick" || lanes[0].Spans[2].State != "in" || lanes[0].Spans[3].Weight != 1 {
		t.Fatalf("%+v", lanes)
	}
	var text, page strings.Builder
	if err := b.Draw(&text, "e17", 40); err != nil {
		t.Fatal(err)
	}
	if lines := strings.Split(text.String(), "\n"); !strings.Contains(lines[1], "█s") || !strings.Contains(lines[1], "▃") || !strings.Contains(lines[2], "d") {
		t.Error(text.String())
	}
	hostile := decision("<script>", 99, 1, s, record.Withdrawal, record.Node, "e17", record.Withdrawn, "true", record.Reason, "<b>&")
	b = book(t, hostile)
	if err := b.HTML(&page, "e17"); err != nil || strings.Contains(page.String(), "<script>") || strings.Contains(page.String(), "<b>") {
		t.Errorf("%v\n%s", err, page.String())
	}
	if b.Draw(&text, "e99", 40) == nil || b.HTML(&page, "e99") == nil {
		t.Error("drew a node that is not there")
	}
}

// The writer, the strict reader of the laboratory and this one agree on what a message says, whatever is in it.
func TestAgree(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	pieces := []string{"]", `"`, "\\", "a", " ", "[", "ö", "🗳", "=", "x-1", "'", ":"}
	text := func() string {
		s := ""
		for range 1 + rng.IntN(6) {
			s += pieces[rng.IntN(len(pieces))]
		}
		return s
	}
	for range 3000 {
		m := syslog.Message{Facility: syslog.Local0, Severity: syslog.Severity(rng.IntN(8)), Time: time.Unix(rng.Int64N(4e9), 0).UTC(), Host: "h", App: "a", MsgID: "kind"}
		for i := range rng.IntN(3) {
			e := syslog.Element{ID: fmt.Sprintf("e%d@1", i)}
			for j := range rng.IntN(4) {
				e.Params = append(e.Params, syslog.Param{Name: fmt.Sprintf("p%d%d", i, j), Value: text()})
			}
			m.StructuredData = append(m.StructuredData, e)
		}
		if rng.IntN(3) > 0 {
			m.Text = "t" + text()
		}
		line := string(m.Append(nil, 8000))
		strict, err := receiver.Parse(line)
		if err != nil {
			t.Fatal(err)
		}
		e := NewReader().Parse(line)
		if e.ParseError != nil || e.Text != strict.Text || !e.Time.Equal(strict.Time) || int(e.Severity) != strict.Priority&7 || e.Kind != strict.ID {
			t.Fatalf("%q\n%+v\n%+v", line, e, strict)
		}
		for _, params := range strict.Data {
			for _, p := range params {
				if e.Params[p[0]] != p[1] {
					t.Fatalf("%q: %q, not %q", line, e.Params[p[0]], p[1])
				}
			}
		}
	}
}

// Lines that nobody should have written are entries like others.
func TestOdd(t *testing.T) {
	for _, line := range []string{"\x00\xff", "<", "<999>1 x", strings.Repeat("<1>1 - ", 1000), "<13>1 - - - - - [", `<13>1 - - - - - [a@1 b="\]"] x`, "12 <13>1 - - - - - -"} {
		if e := NewReader().Parse(line); e == nil || e.ParseError == nil && e.Params == nil {
			t.Errorf("%.40q: %+v", line, e)
		}
	}
	b := book(t, strings.Repeat("x", 3<<20), decision("a", 0, 1, 0, record.Restart))
	if len(b.Entries) != 2 || b.Malformed != 1 || len(b.Entries[0].Raw) > 2*mostLine {
		t.Errorf("%d entries, %d broken", len(b.Entries), b.Malformed)
	}
	if got := NewReader().Parse(decision("a", 0, 1, 0, "k", "x", "a]\\\"b")).Params["x"]; got != "a]\\\"b" {
		t.Errorf("%q", got)
	}
}

// What is added to a file is followed, in pieces, over its being moved away and cut short.
func TestFollow(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	put := func(text string) {
		t.Helper()
		f, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
		if err == nil {
			_, err = f.WriteString(text)
		}
		if err != nil {
			t.Fatal(err)
		}
		f.Close()
	}
	put("<13>1 - - - - - - old\n")
	f, err := Follow(path)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	got := ""
	read := func() {
		t.Helper()
		if err := f.Read(func(e *Entry) { got += e.Text + ";" }); err != nil {
			t.Fatal(err)
		}
	}
	read()
	put("<13>1 - - - - - - on")
	read()
	put("e\n<13>1 - - - - - - two\n")
	read()
	if err := os.Rename(path, path+".1"); err != nil {
		t.Fatal(err)
	}
	read()
	put("<13>1 - - - - - - three\n")
	read()
	if err := os.Truncate(path, 0); err != nil {
		t.Fatal(err)
	}
	put("<13>1 - - - - - - 4\n")
	read()
	if got != "one;two;three;4;" {
		t.Error(got)
	}
}

// FuzzLine has the reader and FuzzFilter the filter take anything.
func FuzzLine(f *testing.F) {
	f.Add(decision("a", 0, 1, 0, record.TableLine, record.Node, "e1"))
	f.Fuzz(func(t *testing.T, line string) {
		b := Merge([]*Entry{NewReader().Parse(line)})
		_ = b.Format(b.Entries[0])
	})
}

func FuzzFilter(f *testing.F) {
	f.Add("node=e17 and not (reason in (sick, \"x\") or at > 20:15)")
	f.Fuzz(func(t *testing.T, text string) {
		if filter, err := Compile(text); err == nil {
			filter(&Entry{Params: map[string]string{}})
		}
	})
}

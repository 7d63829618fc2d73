package syslog

import (
	"context"
	"errors"
	"log/slog"
	"strings"
	"testing"
	"testing/slogtest"
	"time"

	"vetchdoor/lab/receiver"
)

// handled is a handler into a sender whose receiver is never there: what it makes stays in the queue.
func handled(t *testing.T, who Identity) (*Handler, func() []*receiver.Message) {
	t.Helper()
	s := begin(t, Config{Network: "tcp", Address: "127.0.0.1:1", Patient: time.Millisecond, Longest: 4000})
	return NewHandler(s, who), func() (out []*receiver.Message) {
		for {
			r, ok := s.queue.take()
			if !ok {
				return out
			}
			m, err := receiver.Parse(string(r.text))
			if err != nil {
				t.Fatalf("%q: %v", r.text, err)
			}
			out = append(out, m)
		}
	}
}

// The handler does what the standard library asks of one; groups are elements.
func TestSlog(t *testing.T) {
	h, take := handled(t, Identity{App: "vetchdoor", Host: "h", Rate: 1e6})
	results := func() (out []map[string]any) {
		for _, m := range take() {
			got := map[string]any{slog.LevelKey: m.Priority, slog.MessageKey: m.Text}
			if !m.Time.IsZero() {
				got[slog.TimeKey] = m.Time
			}
			for id, params := range m.Data {
				element, _, _ := strings.Cut(id, "@")
				at := got
				if element != "attr" {
					at = group(got, element)
				}
				for _, p := range params {
					to, name := at, p[0]
					for {
						head, rest, nested := strings.Cut(name, ".")
						if !nested {
							break
						}
						to, name = group(to, head), rest
					}
					to[name] = p[1]
				}
			}
			out = append(out, got)
		}
		return out
	}
	err := slogtest.TestHandler(h, results)
	for _, line := range strings.Split(errorText(err), "\n") {
		// The RFC asks for a time: a record without one gets the present.
		if line != "" && !strings.Contains(line, "a Handler should ignore a zero Record.Time") {
			t.Error(line)
		}
	}
	l := slog.New(h).With("pilot", "p")
	l.Warn("taken out", Kind("withdrawal"), Reason("sick"), slog.Group("decision", "node", 17, "share", 0.98, slog.Group("limit", "at", 0.25)))
	l.Error("x", "error", errors.New("a\nb"))
	m := take()
	if len(m) != 2 || m[0].ID != "withdrawal" || m[0].Priority != 4 || m[1].Priority != 3 || m[0].App != "vetchdoor" {
		t.Fatalf("%+v", m)
	}
	d := m[0].Data["decision@"+Enterprise]
	if len(d) != 3 || d[0] != [2]string{"node", "17"} || d[2] != [2]string{"limit.at", "0.25"} {
		t.Errorf("%v", m[0].Data)
	}
	if a := m[0].Data["attr@"+Enterprise]; len(a) != 2 || a[0][1] != "p" || a[1][1] != "sick" {
		t.Errorf("%v", a)
	}
	if h.Enabled(context.Background(), slog.LevelDebug) {
		t.Error("debug is sent")
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func group(m map[string]any, name string) map[string]any {
	if m[name] == nil {
		m[name] = map[string]any{}
	}
	return m[name].(map[string]any)
}

// A kind and reason that comes too often is kept to its rate, counted and told; others and errors are not held up by it. A
// clock that steps back lets no flood through.
func TestRate(t *testing.T) {
	h, take := handled(t, Identity{App: "a", Host: "h", Rate: 10})
	now := time.Unix(1e9, 0)
	h.now = func() time.Time { return now }
	l := slog.New(h)
	for i := range 1000 {
		l.Info("flaps", Kind("withdrawal"), Reason("sick"))
		if i%100 == 0 {
			l.Info("another", Kind("withdrawal"), Reason("cold"))
			l.Error("grave", Kind("withdrawal"), Reason("sick"))
		}
		if i == 500 {
			now = now.Add(-time.Hour)
		}
	}
	count := map[string]int{}
	for _, m := range take() {
		count[m.Text]++
	}
	if count["flaps"] != 20 || count["another"] != 10 || count["grave"] != 10 {
		t.Errorf("%v", count)
	}
	if c := h.sender.Counts(); c.Suppressed != 980 || c.Logged != 980+40 {
		t.Errorf("%+v", c)
	}
	now = now.Add(tellEvery)
	l.Info("flaps", Kind("withdrawal"), Reason("sick"))
	m := take()
	if len(m) != 2 || m[1].ID != "suppressed" || m[1].Data["suppressed@"+Enterprise][1][1] != "980" {
		t.Errorf("%+v", m)
	}
	for i := range 3 * mostKinds {
		l.Info("x", Kind(strings.Repeat("k", i%2000)), Reason(strings.Repeat("r", i/2000)))
	}
	h.limits.mu.Lock()
	defer h.limits.mu.Unlock()
	if len(h.limits.by) > mostKinds+1 {
		t.Errorf("%d kinds are told apart", len(h.limits.by))
	}
}

// What was lost is told with its counts.
func TestLost(t *testing.T) {
	h, take := handled(t, Identity{App: "a", Host: "h"})
	h.ReportLoss([Debug + 1]uint64{Error: 2, Debug: 900}, 3)
	m := take()
	if len(m) != 1 || m[0].ID != "lost" || m[0].Priority != int(Warning) {
		t.Fatalf("%+v", m)
	}
	want := [][2]string{{"err", "2"}, {"debug", "900"}, {"torn", "3"}}
	for i, p := range m[0].Data["lost@"+Enterprise] {
		if p != want[i] {
			t.Errorf("%v", p)
		}
	}
}

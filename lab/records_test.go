package lab

import (
	"log/slog"
	"os"
	"path/filepath"
	"testing"

	"vetchdoor/files"
	"vetchdoor/lab/days"
	"vetchdoor/logbook"
	"vetchdoor/record"
	"vetchdoor/runtime"
	"vetchdoor/syslog"
)

// TestRecordsOfWithdrawals plays a shortened bad evening and reads its log back. It guards against decisions that are
// missing from the log: every withdrawal that crossed a stream must have a record with a reason, and no record may be lost.
func TestRecordsOfWithdrawals(t *testing.T) {
	t.Parallel()
	d, err := days.Read(days.Default)
	if err != nil {
		t.Fatal(err)
	}
	scale := float64(12*sec) / float64(d.Length)
	for i := range d.Troubles {
		x := &d.Troubles[i]
		x.At, x.Length = files.Duration(float64(x.At)*scale), files.Duration(float64(x.Length)*scale)
	}
	d.Length = files.Duration(12 * sec)
	path := filepath.Join(t.TempDir(), "log")
	out, err := syslog.Start(syslog.Config{Network: "file", Address: path, Buffer: 1 << 16}, slog.New(slog.DiscardHandler), 1, nil)
	if err != nil {
		t.Fatal(err)
	}
	var played *fleet
	o := Options{Log: slog.New(slog.DiscardHandler), beforeLoad: func(f *fleet) { played = f },
		Records: slog.New(syslog.NewHandler(out, syslog.Identity{App: "vetchdoor-pilot", Rate: 1e6}))}
	if _, err := playDay(t, d, o); err != nil {
		t.Fatal(err)
	}
	out.Close()
	if c := out.Counts(); c.Sent != c.Logged {
		t.Fatalf("%+v", c)
	}
	f, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	var all []*logbook.Entry
	if err := logbook.NewReader().ReadLines(path, f, func(e *logbook.Entry) { all = append(all, e) }); err != nil {
		t.Fatal(err)
	}
	b := logbook.Merge(all)
	if b.Malformed+b.Duplicates+len(b.Gaps) > 0 || len(b.Entries) < 50 {
		t.Fatalf("%d entries, %d broken, %d twice, gaps %v", len(b.Entries), b.Malformed, b.Duplicates, b.Gaps)
	}
	type key struct {
		run  uint64
		node string
		out  string
	}
	reasons := map[key]int{}
	for _, e := range b.Entries {
		if e.Params[record.Reason] == "" && (e.Kind == record.Withdrawal || e.Kind == record.TableLine || e.Kind == record.TableAssigned ||
			e.Kind == record.Level) {
			t.Errorf("record without a reason: %s", e.Raw)
		}
		if e.Kind == record.Withdrawal {
			reasons[key{e.Run, e.Params[record.Node], e.Params[record.Withdrawn]}]++
		}
	}
	e := &evidence{service: &d.Service, limits: &d.Limits, channel: &d.Channel, start: played.ledger.StartTime(),
		traffic: played.tap.Transfers(), end: 1 << 50}
	h, err := e.reconstruct(len(played.pilots))
	if err != nil {
		t.Fatal(err)
	}
	withdrawals := 0
	for _, x := range h.streams {
		for _, m := range x.messages {
			for _, c := range m.Changes {
				if c.Verb != runtime.SetState || !c.Drained {
					continue
				}
				withdrawals++
				if reasons[key{m.Run, "e" + formatUint(uint64(c.Endpoint)), "true"}] == 0 {
					t.Errorf("run %d: no record of the withdrawal of e%d", m.Run, c.Endpoint)
				}
			}
		}
	}
	if withdrawals == 0 {
		t.Error("no withdrawal in the traffic of a bad evening")
	}
}

// formatUint formats n in decimal.
func formatUint(n uint64) string { return slog.Uint64Value(n).String() }

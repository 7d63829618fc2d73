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

// A bad evening is read back: every withdrawal that went over a stream has its record, with a reason and what the proxies
// said, and no record is missing.
func TestEveningReadBack(t *testing.T) {
	t.Parallel()
	d, err := days.Read(days.Default)
	if err != nil {
		t.Fatal(err)
	}
	part := float64(12*s) / float64(d.Length)
	for i := range d.Troubles {
		x := &d.Troubles[i]
		x.At, x.Length = files.Duration(float64(x.At)*part), files.Duration(float64(x.Length)*part)
	}
	d.Length = files.Duration(12 * s)
	path := filepath.Join(t.TempDir(), "log")
	out, err := syslog.Start(syslog.Config{Network: "file", Address: path, Buffer: 1 << 16}, slog.New(slog.DiscardHandler), 1, nil)
	if err != nil {
		t.Fatal(err)
	}
	var fl *fleet
	o := Options{Log: slog.New(slog.DiscardHandler), begin: func(f *fleet) { fl = f },
		Records: slog.New(syslog.NewHandler(out, syslog.Identity{App: "vetchdoor-pilot", Rate: 1e6}))}
	if _, err := playDay(t, d, o); err != nil {
		t.Fatal(err)
	}
	out.Close()
	if c := out.Counts(); c.Sent != c.Made {
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
	b := logbook.Make(all)
	if b.Broken+b.Duplicates+len(b.Gaps) > 0 || len(b.Entries) < 50 {
		t.Fatalf("%d entries, %d broken, %d twice, gaps %v", len(b.Entries), b.Broken, b.Duplicates, b.Gaps)
	}
	type key struct {
		run  uint64
		node string
		out  string
	}
	why := map[key]int{}
	for _, e := range b.Entries {
		if e.Params[record.Why] == "" && (e.Kind == record.Withdrawal || e.Kind == record.Line || e.Kind == record.Bind || e.Kind == record.Level) {
			t.Errorf("no reason: %s", e.Raw)
		}
		if e.Kind == record.Withdrawal {
			why[key{e.Run, e.Params[record.Node], e.Params[record.Out]}]++
		}
	}
	e := &evidence{service: &d.Service, limits: &d.Limits, channel: &d.Channel, from: fl.ledger.StartTime(), passed: fl.tap.Transfers(), until: 1 << 50}
	h, err := e.read(len(fl.pilots))
	if err != nil {
		t.Fatal(err)
	}
	seen := 0
	for _, x := range h.streams {
		for _, m := range x.messages {
			for _, c := range m.Changes {
				if c.Verb != runtime.SetState || !c.Out {
					continue
				}
				seen++
				if why[key{m.Run, "e" + uintText(uint64(c.Endpoint)), "true"}] == 0 {
					t.Errorf("run %d, e%d was withdrawn, and no record says why", m.Run, c.Endpoint)
				}
			}
		}
	}
	if seen == 0 {
		t.Error("nothing was withdrawn on a bad evening")
	}
}

func uintText(n uint64) string { return slog.Uint64Value(n).String() }

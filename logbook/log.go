package logbook

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"vetchdoor/record"
)

// Run identifies one run of one pilot.
type Run struct {
	Pilot string
	ID    uint64
}

// Gap is a range of missing sequence numbers of a run; From and To are both missing.
type Gap struct {
	Run
	From, To uint64
	After    time.Time // time of the last record before the gap; zero if there is none
}

// Log is the merged log of any number of pilots and other programs, in order.
type Log struct {
	Entries    []*Entry
	Gaps       []Gap
	Malformed  int
	Duplicates int // number of repeated records, which are left out of Entries
	// Suppressed and Lost are the numbers of records that the log itself reports as suppressed or dropped.
	Suppressed, Lost uint64
	confirmations    map[confirmationKey]*Entry
}

type confirmationKey struct {
	Run
	checkpoint string
}

// Merge sorts entries into a Log and finds duplicates and gaps. Records of one run are ordered by sequence number, all
// others by time.
func Merge(entries []*Entry) *Log {
	b := &Log{confirmations: map[confirmationKey]*Entry{}}
	seen := map[Run]map[uint64]*Entry{}
	for _, e := range entries {
		if e.ParseError != nil {
			b.Malformed++
		}
		if run, ok := e.run(); ok {
			if seen[run] == nil {
				seen[run] = map[uint64]*Entry{}
			}
			if seen[run][e.Sequence] != nil {
				b.Duplicates++
				continue
			}
			seen[run][e.Sequence] = e
			if e.Kind == record.Confirmation {
				b.confirmations[confirmationKey{run, e.Params[record.Checkpoint]}] = e
			}
		}
		switch e.Kind {
		case "suppressed":
			n, _ := strconv.ParseUint(e.Params["count"], 10, 64)
			b.Suppressed += n
		case "lost":
			for _, v := range e.Params {
				n, _ := strconv.ParseUint(v, 10, 64)
				b.Lost += n
			}
		}
		b.Entries = append(b.Entries, e)
	}
	slices.SortStableFunc(b.Entries, func(x, y *Entry) int {
		rx, okx := x.run()
		ry, oky := y.run()
		if okx && oky && rx == ry {
			return cmp.Compare(x.Sequence, y.Sequence)
		}
		return x.EventTime().Compare(y.EventTime())
	})
	runs := slices.SortedFunc(maps.Keys(seen), func(a, b Run) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Pilot, b.Pilot))
	})
	for _, run := range runs {
		numbers := slices.Sorted(maps.Keys(seen[run]))
		next, after := uint64(1), time.Time{}
		for _, n := range numbers {
			if n > next {
				b.Gaps = append(b.Gaps, Gap{run, next, n - 1, after})
			}
			next, after = n+1, seen[run][n].EventTime()
		}
	}
	return b
}

// run returns the run that the entry is a record of; false if it is not a record of a run.
func (e *Entry) run() (Run, bool) {
	return Run{e.Params[record.Pilot], e.Run}, e.Run > 0 && e.Sequence > 0
}

// Confirmation returns the record of how many proxies confirmed the checkpoint of a decision; nil if there is none.
func (b *Log) Confirmation(e *Entry) *Entry {
	run, ok := e.run()
	c := e.Params[record.Checkpoint]
	if !ok || c == "" || e.Kind == record.Confirmation {
		return nil
	}
	return b.confirmations[confirmationKey{run, c}]
}

// Missing returns the number of missing records.
func (b *Log) Missing() (n uint64) {
	for _, g := range b.Gaps {
		n += g.To - g.From + 1
	}
	return n
}

// String describes the gap in one line.
func (g Gap) String() string {
	when := ""
	if !g.After.IsZero() {
		when = " after " + g.After.Format("15:04:05.000")
	}
	return fmt.Sprintf("%d records of %s, run %d, are missing%s: %d to %d", g.To-g.From+1, g.Pilot, g.Run.ID, when, g.From, g.To)
}

// Format returns the entry as one line for people: time, pilot, kind, parameters, reason with the value and its limit,
// and the number of proxies that confirmed it.
func (b *Log) Format(e *Entry) string {
	if e.ParseError != nil {
		return fmt.Sprintf("%s:%d: malformed (%v): %.200q", e.File, e.LineNumber, e.ParseError, e.Raw)
	}
	p := e.Params
	s := e.EventTime().Format("15:04:05.000") + " " + cmp.Or(p[record.Pilot], e.Host, "-")
	if e.Kind == "" {
		return s + " " + e.App + ": " + e.Text
	}
	s += " " + e.Kind
	for _, k := range []string{record.Node, record.Proxy, record.Table, record.Version, record.OpType, record.Tenant,
		record.Weight, record.Share, record.Withdrawn, record.ProxiesSent, record.ProxiesConfirmed, record.ProxiesUnconfirmed,
		record.Slowest, "count", "to", "rate", "hand", "fenced", "room", "held", "resumed"} {
		if v := p[k]; v != "" {
			s += " " + k + "=" + v
		}
	}
	if r := p[record.Reason]; r != "" {
		s += ": " + r
	}
	if v := p[record.Value]; v != "" {
		s += fmt.Sprintf(" (%s, limit %s)", v, p[record.Threshold])
	}
	if e.Run == 0 || e.Kind == record.Refusal || e.Kind == record.ModuleNote {
		s += " " + e.Text
	}
	if c := b.Confirmation(e); c != nil {
		s += fmt.Sprintf(" [in force at %s of %s]", c.Params[record.ProxiesConfirmed], c.Params[record.ProxiesSent])
	}
	return s
}

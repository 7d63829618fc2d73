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

// Run is one run of one pilot.
type Run struct {
	Pilot string
	ID    uint64
}

// Gap is what is missing of a run: the numbers from and to, both missing.
type Gap struct {
	Run
	From, To uint64
	After    time.Time // when the last record before it was written
}

// Log is an evening, in order.
type Log struct {
	Entries    []*Entry
	Gaps       []Gap
	Malformed  int
	Duplicates int // records that were there more than once
	// Suppressed and Lost are what the logs themselves say was kept back or dropped.
	Suppressed, Lost uint64
	confirms         map[confirmKey]*Entry
}

type confirmKey struct {
	Run
	checkpoint string
}

// Merge sorts entries into a book: records of a run by their numbers, all by time.
func Merge(entries []*Entry) *Log {
	b := &Log{confirms: map[confirmKey]*Entry{}}
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
				b.confirms[confirmKey{run, e.Params[record.Checkpoint]}] = e
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
		return x.When().Compare(y.When())
	})
	runs := slices.SortedFunc(maps.Keys(seen), func(a, b Run) int { return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Pilot, b.Pilot)) })
	for _, run := range runs {
		numbers := slices.Sorted(maps.Keys(seen[run]))
		next, after := uint64(1), time.Time{}
		for _, n := range numbers {
			if n > next {
				b.Gaps = append(b.Gaps, Gap{run, next, n - 1, after})
			}
			next, after = n+1, seen[run][n].When()
		}
	}
	return b
}

// run is the run that an entry is a record of.
func (e *Entry) run() (Run, bool) {
	return Run{e.Params[record.Pilot], e.Run}, e.Run > 0 && e.Sequence > 0
}

// Confirmed returns what the proxies said of the messages that carried a decision; nil: nothing is known.
func (b *Log) Confirmed(e *Entry) *Entry {
	run, ok := e.run()
	c := e.Params[record.Checkpoint]
	if !ok || c == "" || e.Kind == record.Confirmation {
		return nil
	}
	return b.confirms[confirmKey{run, c}]
}

// Missing is how many records are not there.
func (b *Log) Missing() (n uint64) {
	for _, g := range b.Gaps {
		n += g.To - g.From + 1
	}
	return n
}

// String writes a gap for people.
func (g Gap) String() string {
	when := ""
	if !g.After.IsZero() {
		when = " after " + g.After.Format("15:04:05.000")
	}
	return fmt.Sprintf("%d records of %s, run %d, are missing%s: %d to %d", g.To-g.From+1, g.Pilot, g.Run.ID, when, g.From, g.To)
}

// Format writes an entry for people: time, pilot, kind, what, reason and evidence, and what the proxies said.
func (b *Log) Format(e *Entry) string {
	if e.ParseError != nil {
		return fmt.Sprintf("%s:%d: broken (%v): %.200q", e.File, e.LineNumber, e.ParseError, e.Raw)
	}
	p := e.Params
	s := e.When().Format("15:04:05.000") + " " + cmp.Or(p[record.Pilot], e.Host, "-")
	if e.Kind == "" {
		return s + " " + e.App + ": " + e.Text
	}
	s += " " + e.Kind
	for _, k := range []string{record.Node, record.Proxy, record.Table, record.Version, record.OpType, record.Tenant, record.Weight, record.Share, record.Withdrawn,
		record.Of, record.Confirmed, record.Missing, record.Slowest, "count", "to", "rate", "hand", "fenced", "room", "held", "resumed"} {
		if v := p[k]; v != "" {
			s += " " + k + "=" + v
		}
	}
	if r := p[record.Reason]; r != "" {
		s += ": " + r
	}
	if v := p[record.Value]; v != "" {
		s += fmt.Sprintf(" (%s, limit %s)", v, p[record.Past])
	}
	if e.Run == 0 || e.Kind == record.Refusal || e.Kind == record.Note {
		s += " " + e.Text
	}
	if c := b.Confirmed(e); c != nil {
		s += fmt.Sprintf(" [in force at %s of %s]", c.Params[record.Confirmed], c.Params[record.Of])
	}
	return s
}

package logbook

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"vetchdoor/record"
)

// Span is a stretch of a node's evening in which one thing held.
type Span struct {
	From, To time.Time
	State    string // in, out, or the reason for which it is out
	Cause    *Entry // the record that began it; nil at the beginning
	Weight   float64
}

// Lane is what one run of a pilot decided of a node.
type Lane struct {
	Run
	Spans []Span
	Marks []*Entry
}

// Timeline returns a node's evening, a lane for each run that decided anything of it.
func (b *Log) Timeline(node string) []Lane {
	var lanes []*Lane
	ends := map[Run]time.Time{}
	for _, e := range b.Entries {
		if run, ok := e.run(); ok {
			ends[run] = e.When()
		}
	}
	for _, e := range b.Entries {
		run, ok := e.run()
		if !ok || e.Params[record.Node] != node {
			continue
		}
		at := slices.IndexFunc(lanes, func(l *Lane) bool { return l.Run == run })
		if at < 0 {
			at = len(lanes)
			lanes = append(lanes, &Lane{Run: run})
		}
		l := lanes[at]
		l.Marks = append(l.Marks, e)
		last := Span{State: "in"}
		if n := len(l.Spans); n > 0 {
			l.Spans[n-1].To = e.When()
			last = l.Spans[n-1]
		}
		next := Span{From: e.When(), State: last.State, Cause: e, Weight: last.Weight}
		switch e.Kind {
		case record.Withdrawal:
			if next.State = "in"; e.Params[record.Withdrawn] == "true" {
				next.State = e.Params[record.Reason]
			}
		case record.TableLine:
			next.Weight, _ = strconv.ParseFloat(e.Params[record.Weight], 64)
		default:
			continue
		}
		l.Spans = append(l.Spans, next)
	}
	var out []Lane
	for _, l := range lanes {
		if n := len(l.Spans); n > 0 {
			l.Spans[n-1].To = ends[l.Run]
		}
		out = append(out, *l)
	}
	return out
}

// bounds are the first and the last moment of lanes.
func bounds(lanes []Lane) (from, to time.Time) {
	for _, l := range lanes {
		for _, s := range l.Spans {
			if from.IsZero() || s.From.Before(from) {
				from = s.From
			}
			if s.To.After(to) {
				to = s.To
			}
		}
	}
	return from, to
}

// Draw draws a node's evening for a terminal: a bar a run, # in at its whole weight, less of it lower, the first letter of the
// reason where it is out; then each record.
func (b *Log) Draw(w io.Writer, node string, width int) error {
	lanes := b.Timeline(node)
	if len(lanes) == 0 {
		return fmt.Errorf("no record is of node %s", node)
	}
	from, to := bounds(lanes)
	total := max(to.Sub(from), 1)
	fmt.Fprintf(w, "%s from %s to %s\n", node, from.Format("15:04:05.000"), to.Format("15:04:05.000"))
	for _, l := range lanes {
		bar := []rune(strings.Repeat(" ", width))
		most := 0.0
		for _, s := range l.Spans {
			most = max(most, s.Weight)
		}
		for _, s := range l.Spans {
			a := int(float64(s.From.Sub(from)) / float64(total) * float64(width))
			z := int(float64(s.To.Sub(from)) / float64(total) * float64(width))
			for i := max(min(a, width-1), 0); i <= min(z, width-1); i++ {
				bar[i] = s.sign(most)
			}
		}
		fmt.Fprintf(w, "%-12.12s run %d |%s|\n", l.Pilot, l.Run.ID, string(bar))
	}
	for _, l := range lanes {
		for _, e := range l.Marks {
			fmt.Fprintln(w, "  "+b.Format(e))
		}
	}
	return nil
}

// sign is how a terminal shows it.
func (s Span) sign(most float64) rune {
	switch {
	case s.State != "in":
		for _, r := range s.State {
			return r
		}
		return '?'
	case s.Weight <= 0 || most <= 0:
		return '.'
	}
	return []rune("▁▂▃▄▅▆▇█")[min(7, int(8*s.Weight/most))]
}

//go:embed timeline.html
var page string

var pageTemplate = template.Must(template.New("timeline").Parse(page))

// bar is a span as the page draws it.
type bar struct {
	Left, Width, Height float64 // percent
	State, Title        string
	Out                 bool
}

// HTML writes a node's evening as a page of its own.
func (b *Log) HTML(w io.Writer, node string) error {
	lanes := b.Timeline(node)
	if len(lanes) == 0 {
		return fmt.Errorf("no record is of node %s", node)
	}
	from, to := bounds(lanes)
	total := float64(max(to.Sub(from), 1))
	type drawn struct {
		Name  string
		Bars  []bar
		Lines []string
	}
	data := struct {
		Node, From, To string
		Lanes          []drawn
		Gaps           []string
	}{Node: node, From: from.Format("2006-01-02 15:04:05.000"), To: to.Format("15:04:05.000")}
	for _, l := range lanes {
		d := drawn{Name: fmt.Sprintf("%s, run %d", l.Pilot, l.Run.ID)}
		most := 0.0
		for _, s := range l.Spans {
			most = max(most, s.Weight)
		}
		for _, s := range l.Spans {
			x := bar{Left: 100 * float64(s.From.Sub(from)) / total, Width: max(0.1, 100*float64(s.To.Sub(s.From))/total), State: s.State,
				Out: s.State != "in", Title: b.Format(s.Cause), Height: 100}
			if !x.Out && most > 0 {
				x.Height = max(3, 100*s.Weight/most)
			}
			d.Bars = append(d.Bars, x)
		}
		for _, e := range l.Marks {
			d.Lines = append(d.Lines, b.Format(e))
		}
		data.Lanes = append(data.Lanes, d)
	}
	for _, g := range b.Gaps {
		data.Gaps = append(data.Gaps, g.String())
	}
	return pageTemplate.Execute(w, data)
}

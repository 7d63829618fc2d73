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

// Span is a period in which a node had the same state and weight.
type Span struct {
	From, To time.Time
	State    string // "in", or the reason why the node is withdrawn
	Cause    *Entry // the record that started the span
	Weight   float64
}

// Lane holds the decisions of one run of a pilot about a node.
type Lane struct {
	Run
	Spans   []Span
	Entries []*Entry
}

// Timeline returns a lane for each run that decided anything about the node.
func (b *Log) Timeline(node string) []Lane {
	var lanes []*Lane
	ends := map[Run]time.Time{}
	for _, e := range b.Entries {
		if run, ok := e.run(); ok {
			ends[run] = e.EventTime()
		}
	}
	for _, e := range b.Entries {
		run, ok := e.run()
		if !ok || e.Params[record.Node] != node {
			continue
		}
		index := slices.IndexFunc(lanes, func(l *Lane) bool { return l.Run == run })
		if index < 0 {
			index = len(lanes)
			lanes = append(lanes, &Lane{Run: run})
		}
		l := lanes[index]
		l.Entries = append(l.Entries, e)
		last := Span{State: "in"}
		if n := len(l.Spans); n > 0 {
			l.Spans[n-1].To = e.EventTime()
			last = l.Spans[n-1]
		}
		next := Span{From: e.EventTime(), State: last.State, Cause: e, Weight: last.Weight}
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

// timeRange returns the earliest start and the latest end of all spans.
func timeRange(lanes []Lane) (from, to time.Time) {
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

// WriteText draws the timeline of a node for a terminal: a bar of the given width for each run, then its records. The
// height of a bar shows the weight relative to the maximum; while the node is withdrawn, the bar shows the first letter
// of the reason.
func (b *Log) WriteText(w io.Writer, node string, width int) error {
	lanes := b.Timeline(node)
	if len(lanes) == 0 {
		return fmt.Errorf("there are no records of node %s", node)
	}
	from, to := timeRange(lanes)
	total := max(to.Sub(from), 1)
	fmt.Fprintf(w, "%s from %s to %s\n", node, from.Format("15:04:05.000"), to.Format("15:04:05.000"))
	for _, l := range lanes {
		bar := []rune(strings.Repeat(" ", width))
		maxWeight := 0.0
		for _, s := range l.Spans {
			maxWeight = max(maxWeight, s.Weight)
		}
		for _, s := range l.Spans {
			a := int(float64(s.From.Sub(from)) / float64(total) * float64(width))
			z := int(float64(s.To.Sub(from)) / float64(total) * float64(width))
			for i := max(min(a, width-1), 0); i <= min(z, width-1); i++ {
				bar[i] = s.symbol(maxWeight)
			}
		}
		fmt.Fprintf(w, "%-12.12s run %d |%s|\n", l.Pilot, l.Run.ID, string(bar))
	}
	for _, l := range lanes {
		for _, e := range l.Entries {
			fmt.Fprintln(w, "  "+b.Format(e))
		}
	}
	return nil
}

// symbol returns the character for the span in a terminal.
func (s Span) symbol(maxWeight float64) rune {
	switch {
	case s.State != "in":
		for _, r := range s.State {
			return r
		}
		return '?'
	case s.Weight <= 0 || maxWeight <= 0:
		return '.'
	}
	return []rune("▁▂▃▄▅▆▇█")[min(7, int(8*s.Weight/maxWeight))]
}

//go:embed timeline.html
var pageHTML string

var pageTemplate = template.Must(template.New("timeline").Parse(pageHTML))

// bar is a span as drawn on the HTML page.
type bar struct {
	Left, Width, Height float64 // percent of the lane
	State, Title        string
	Out                 bool
}

// WriteHTML writes the timeline of a node as a complete HTML page.
func (b *Log) WriteHTML(w io.Writer, node string) error {
	lanes := b.Timeline(node)
	if len(lanes) == 0 {
		return fmt.Errorf("there are no records of node %s", node)
	}
	from, to := timeRange(lanes)
	total := float64(max(to.Sub(from), 1))
	type htmlLane struct {
		Name  string
		Bars  []bar
		Lines []string
	}
	data := struct {
		Node, From, To string
		Lanes          []htmlLane
		Gaps           []string
	}{Node: node, From: from.Format("2006-01-02 15:04:05.000"), To: to.Format("15:04:05.000")}
	for _, l := range lanes {
		d := htmlLane{Name: fmt.Sprintf("%s, run %d", l.Pilot, l.Run.ID)}
		maxWeight := 0.0
		for _, s := range l.Spans {
			maxWeight = max(maxWeight, s.Weight)
		}
		for _, s := range l.Spans {
			x := bar{Left: 100 * float64(s.From.Sub(from)) / total, Width: max(0.1, 100*float64(s.To.Sub(s.From))/total), State: s.State,
				Out: s.State != "in", Title: b.Format(s.Cause), Height: 100}
			if !x.Out && maxWeight > 0 {
				x.Height = max(3, 100*s.Weight/maxWeight)
			}
			d.Bars = append(d.Bars, x)
		}
		for _, e := range l.Entries {
			d.Lines = append(d.Lines, b.Format(e))
		}
		data.Lanes = append(data.Lanes, d)
	}
	for _, g := range b.Gaps {
		data.Gaps = append(data.Gaps, g.String())
	}
	return pageTemplate.Execute(w, data)
}

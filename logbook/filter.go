package logbook

import (
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"

	"vetchdoor/record"
	"vetchdoor/syslog"
)

// Syntax tree of a filter. A filter consists of comparisons of a field with a value (= != < <= > >= and ~ for a regular
// expression), "field in (a, b)", "and", "or", "not" and parentheses. A value with spaces or operators must be quoted.
// The field "at" compares with a time of day, a date and time, or a duration since the pilot's start; "severity"
// compares by importance; other values compare as numbers if both sides are numbers, otherwise as text.
type (
	orNode struct {
		And []*andNode `parser:"@@ ( 'or' @@ )*"`
	}
	andNode struct {
		Terms []*termNode `parser:"@@ ( 'and' @@ )*"`
	}
	termNode struct {
		Not        *termNode       `parser:"  'not' @@"`
		Group      *orNode         `parser:"| '(' @@ ')'"`
		Comparison *comparisonNode `parser:"| @@"`
	}
	comparisonNode struct {
		Field string   `parser:"@Word"`
		In    []string `parser:"( 'in' '(' @(Word|String) ( ',' @(Word|String) )* ')'"`
		Op    string   `parser:"| @Op"`
		Value string   `parser:"  @(Word|String) )"`
	}
)

var grammar = participle.MustBuild[orNode](
	participle.Lexer(lexer.MustSimple([]lexer.SimpleRule{
		{Name: "String", Pattern: `"(\\.|[^"\\])*"`},
		{Name: "Op", Pattern: `!=|<=|>=|=|<|>|~`},
		{Name: "Punct", Pattern: `[(),]`},
		{Name: "Word", Pattern: `[^\s"()!=<>~,]+`},
		{Name: "Space", Pattern: `\s+`},
	})), participle.Elide("Space"), participle.Unquote("String"), participle.CaseInsensitive("Word"))

// Filter reports whether an entry matches.
type Filter func(*Entry) bool

// Limits of a filter, which may come from an untrusted source.
const (
	maxFilterBytes   = 4096
	maxFilterNesting = 64
)

// Compile parses a filter; an empty one matches every entry. Its errors start with "the filter" or describe the limits
// of a filter.
func Compile(text string) (Filter, error) {
	if strings.TrimSpace(text) == "" {
		return func(*Entry) bool { return true }, nil
	}
	if len(text) > maxFilterBytes || strings.Count(text, "(")+strings.Count(strings.ToLower(text), "not") > maxFilterNesting {
		return nil, fmt.Errorf("the filter may have at most %d bytes and %d parentheses and nots", maxFilterBytes, maxFilterNesting)
	}
	tree, err := grammar.ParseString("", text)
	if err != nil {
		return nil, fmt.Errorf("the filter at %w", err)
	}
	return tree.filter()
}

// node is a node of the syntax tree that can be compiled into a Filter.
type node interface{ filter() (Filter, error) }

// anyOf returns a filter that matches if any of the parts does.
func anyOf[P node](parts []P) (Filter, error) {
	filters, err := compileAll(parts)
	return func(e *Entry) bool {
		return slices.ContainsFunc(filters, func(f Filter) bool { return f(e) })
	}, err
}

// compileAll compiles all parts.
func compileAll[P node](parts []P) (out []Filter, err error) {
	for _, p := range parts {
		f, err := p.filter()
		if err != nil {
			return nil, err
		}
		out = append(out, f)
	}
	return out, nil
}

func (n *orNode) filter() (Filter, error) { return anyOf(n.And) }

func (n *andNode) filter() (Filter, error) {
	filters, err := compileAll(n.Terms)
	return func(e *Entry) bool {
		return !slices.ContainsFunc(filters, func(f Filter) bool { return !f(e) })
	}, err
}

func (n *termNode) filter() (Filter, error) {
	switch {
	case n.Not != nil:
		f, err := n.Not.filter()
		if err != nil {
			return nil, err
		}
		return func(e *Entry) bool { return !f(e) }, nil
	case n.Group != nil:
		return n.Group.filter()
	}
	return n.Comparison.filter()
}

func (n *comparisonNode) filter() (Filter, error) {
	field := strings.ToLower(n.Field)
	if len(n.In) > 0 {
		var parts []*comparisonNode
		for _, v := range n.In {
			parts = append(parts, &comparisonNode{Field: n.Field, Op: "=", Value: v})
		}
		return anyOf(parts)
	}
	if n.Op == "~" {
		re, err := regexp.Compile(n.Value)
		if err != nil {
			return nil, fmt.Errorf("the filter: %s: %w", field, err)
		}
		return func(e *Entry) bool { return re.MatchString(e.Get(field)) }, nil
	}
	holds, err := comparison(n.Op)
	if err != nil {
		return nil, err
	}
	switch field {
	case "at":
		return atFilter(n.Value, holds)
	case "severity":
		for s := syslog.Emergency; s <= syslog.Debug; s++ {
			if s.String() == strings.ToLower(n.Value) { // a more severe level compares as greater
				return func(e *Entry) bool { return e.ParseError == nil && holds(int(s)-int(e.Severity)) }, nil
			}
		}
		return nil, fmt.Errorf("the filter: %q is not a severity: emerg, alert, crit, err, warning, notice, info, debug",
			n.Value)
	}
	number, err := strconv.ParseFloat(n.Value, 64)
	numeric := err == nil
	return func(e *Entry) bool {
		value := e.Get(field)
		if x, err := strconv.ParseFloat(value, 64); err == nil && numeric {
			switch {
			case x < number:
				return holds(-1)
			case x > number:
				return holds(1)
			}
			return holds(0)
		}
		if value == "" && n.Op != "=" && n.Op != "!=" {
			return false // a missing value is neither less nor greater
		}
		return holds(strings.Compare(value, n.Value))
	}, nil
}

func comparison(op string) (func(int) bool, error) {
	switch op {
	case "=":
		return func(c int) bool { return c == 0 }, nil
	case "!=":
		return func(c int) bool { return c != 0 }, nil
	case "<":
		return func(c int) bool { return c < 0 }, nil
	case "<=":
		return func(c int) bool { return c <= 0 }, nil
	case ">":
		return func(c int) bool { return c > 0 }, nil
	case ">=":
		return func(c int) bool { return c >= 0 }, nil
	}
	return nil, fmt.Errorf("the filter: %q is not a comparison operator", op)
}

// atFilter returns a filter that compares the time of an entry with the value; holds decides by the sign of the
// comparison.
func atFilter(value string, holds func(int) bool) (Filter, error) {
	for _, layout := range []string{"15:04:05.999999", "15:04"} {
		if t, err := time.Parse(layout, value); err == nil {
			wanted := time.Duration(t.Hour())*time.Hour + time.Duration(t.Minute())*time.Minute +
				time.Duration(t.Second())*time.Second + time.Duration(t.Nanosecond())
			return func(e *Entry) bool {
				w := e.EventTime()
				if w.IsZero() {
					return false
				}
				if !e.Time.IsZero() {
					w = w.In(e.Time.Location())
				}
				timeOfDay := time.Duration(w.Hour())*time.Hour + time.Duration(w.Minute())*time.Minute +
					time.Duration(w.Second())*time.Second + time.Duration(w.Nanosecond())
				return holds(compare(timeOfDay, wanted))
			}, nil
		}
	}
	for _, layout := range []string{time.RFC3339Nano, "2006-01-02T15:04:05", "2006-01-02"} {
		if t, err := time.Parse(layout, value); err == nil {
			return func(e *Entry) bool { return !e.EventTime().IsZero() && holds(e.EventTime().Compare(t)) }, nil
		}
	}
	if d, err := time.ParseDuration(value); err == nil {
		return func(e *Entry) bool { return e.Params[record.At] != "" && holds(compare(e.At, d)) }, nil
	}
	return nil, fmt.Errorf("the filter: %q is not a time: 20:15, 20:15:30, 2026-12-01T20:15:00Z, or a duration since the pilot's start such as 90s",
		value)
}

func compare(a, b time.Duration) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

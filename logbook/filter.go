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

// The language of filters: comparisons of a field with a value (= != < <= > >= ~, the last a regular expression), field in
// (a, b), and, or, not, parentheses. A value with blanks or signs stands in quotes. `at` compares with a time of day, a
// date and time, or a span since the pilot's start; `severity` by gravity; other values as numbers where both are.
type (
	orNode struct {
		And []*andNode `parser:"@@ ( 'or' @@ )*"`
	}
	andNode struct {
		Terms []*termNode `parser:"@@ ( 'and' @@ )*"`
	}
	termNode struct {
		Not   *termNode `parser:"  'not' @@"`
		Group *orNode   `parser:"| '(' @@ ')'"`
		Is    *isNode   `parser:"| @@"`
	}
	isNode struct {
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

// Filter tells whether an entry is wanted.
type Filter func(*Entry) bool

// Bounds of a filter, which may come from anywhere.
const (
	mostFilter = 4096
	mostDeep   = 64
)

// Compile reads a filter; an empty one wants all.
func Compile(text string) (Filter, error) {
	if strings.TrimSpace(text) == "" {
		return func(*Entry) bool { return true }, nil
	}
	if len(text) > mostFilter || strings.Count(text, "(")+strings.Count(strings.ToLower(text), "not") > mostDeep {
		return nil, fmt.Errorf("a filter of up to %d characters and %d parentheses and nots is allowed", mostFilter, mostDeep)
	}
	tree, err := grammar.ParseString("", text)
	if err != nil {
		return nil, fmt.Errorf("the filter at %w", err)
	}
	return tree.filter()
}

// compiled is a part of the tree.
type compiled interface{ filter() (Filter, error) }

// anyOf wants what one of the parts wants.
func anyOf[P compiled](parts []P) (Filter, error) {
	filters, err := each(parts)
	return func(e *Entry) bool {
		return slices.ContainsFunc(filters, func(f Filter) bool { return f(e) })
	}, err
}

// each compiles all parts.
func each[P compiled](parts []P) (out []Filter, err error) {
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
	filters, err := each(n.Terms)
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
	return n.Is.filter()
}

func (n *isNode) filter() (Filter, error) {
	field := strings.ToLower(n.Field)
	if len(n.In) > 0 {
		var parts []*isNode
		for _, v := range n.In {
			parts = append(parts, &isNode{Field: n.Field, Op: "=", Value: v})
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
	holds, err := sign(n.Op)
	if err != nil {
		return nil, err
	}
	switch field {
	case "at":
		return atFilter(n.Value, holds)
	case "severity":
		for s := syslog.Emergency; s <= syslog.Debug; s++ {
			if s.String() == strings.ToLower(n.Value) { // the graver, the greater
				return func(e *Entry) bool { return e.ParseError == nil && holds(int(s)-int(e.Severity)) }, nil
			}
		}
		return nil, fmt.Errorf("the filter: %q is no severity: emerg, alert, crit, err, warning, notice, info, debug", n.Value)
	}
	number, err := strconv.ParseFloat(n.Value, 64)
	numeric := err == nil
	return func(e *Entry) bool {
		got := e.Get(field)
		if x, err := strconv.ParseFloat(got, 64); err == nil && numeric {
			switch {
			case x < number:
				return holds(-1)
			case x > number:
				return holds(1)
			}
			return holds(0)
		}
		if got == "" && n.Op != "=" && n.Op != "!=" {
			return false // what is not there is neither more nor less
		}
		return holds(strings.Compare(got, n.Value))
	}, nil
}

func sign(op string) (func(int) bool, error) {
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
	return nil, fmt.Errorf("the filter: %q is no comparison", op)
}

// atFilter compares times.
func atFilter(value string, holds func(int) bool) (Filter, error) {
	for _, layout := range []string{"15:04:05.999999", "15:04"} {
		if t, err := time.Parse(layout, value); err == nil {
			day := time.Duration(t.Hour())*time.Hour + time.Duration(t.Minute())*time.Minute + time.Duration(t.Second())*time.Second + time.Duration(t.Nanosecond())
			return func(e *Entry) bool {
				w := e.When()
				if w.IsZero() {
					return false
				}
				if !e.Time.IsZero() {
					w = w.In(e.Time.Location())
				}
				own := time.Duration(w.Hour())*time.Hour + time.Duration(w.Minute())*time.Minute + time.Duration(w.Second())*time.Second + time.Duration(w.Nanosecond())
				return holds(compare(own, day))
			}, nil
		}
	}
	for _, layout := range []string{time.RFC3339Nano, "2006-01-02T15:04:05", "2006-01-02"} {
		if t, err := time.Parse(layout, value); err == nil {
			return func(e *Entry) bool { return !e.When().IsZero() && holds(e.When().Compare(t)) }, nil
		}
	}
	if d, err := time.ParseDuration(value); err == nil {
		return func(e *Entry) bool { return e.Params[record.At] != "" && holds(compare(e.At, d)) }, nil
	}
	return nil, fmt.Errorf("the filter: %q is no time: 20:15, 20:15:30, 2026-12-01T20:15:00Z, or a span since the pilot's start such as 90s", value)
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

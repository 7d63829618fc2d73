package syslog

import (
	"context"
	"log/slog"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Kind is the attribute that becomes a record's MSGID.
func Kind(kind string) slog.Attr { return slog.String(kindKey, kind) }

// Reason is the attribute by which records of a kind are limited, beside being a parameter like others.
func Reason(reason string) slog.Attr { return slog.String(reasonKey, reason) }

const (
	kindKey   = "kind"
	reasonKey = "reason"
)

// Identity is what all records of a process say of it.
type Identity struct {
	Facility Facility
	Host     string // empty: this machine's name
	App      string
	Level    slog.Leveler // nil: all from LevelInfo up
	Rate     float64      // records a second of one kind and reason; 0: 50
}

// Handler is a slog.Handler that sends records by a Sender. A group of the outermost level is an SD-ELEMENT of its name, the
// other attributes are one of the name attr; groups within them go into the parameters' names, with dots.
type Handler struct {
	*shared
	prefix string // of the groups that are open
	params []placed
	kind   string
	reason string
}

// shared is what all handlers that come of one have in common.
type shared struct {
	sender *Sender
	who    Identity
	proc   string
	limits *limits
	now    func() time.Time
}

// placed is a parameter with the element that it belongs to.
type placed struct {
	element string
	Param
}

// NewHandler makes a handler of a sender.
func NewHandler(s *Sender, who Identity) *Handler {
	if who.Host == "" {
		who.Host, _ = os.Hostname()
	}
	if who.Level == nil {
		who.Level = slog.LevelInfo
	}
	if who.Rate <= 0 {
		who.Rate = usualRate
	}
	h := &Handler{shared: &shared{sender: s, who: who, proc: strconv.Itoa(os.Getpid()), now: time.Now}}
	h.limits = &limits{rate: who.Rate, by: map[string]*allowance{}}
	return h
}

// Enabled tells whether records of a level are sent.
func (h *Handler) Enabled(_ context.Context, l slog.Level) bool { return l >= h.who.Level.Level() }

// WithAttrs returns a handler whose records have these attributes too.
func (h *Handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	n := *h
	n.params = slices.Clip(h.params)
	for _, a := range attrs {
		n.add(h.prefix, a)
	}
	return &n
}

// WithGroup returns a handler whose further attributes are in a group.
func (h *Handler) WithGroup(name string) slog.Handler {
	if name == "" {
		return h
	}
	n := *h
	n.prefix = h.prefix + name + "."
	return &n
}

// add takes an attribute in.
func (h *Handler) add(prefix string, a slog.Attr) {
	v := a.Value.Resolve()
	if v.Kind() == slog.KindGroup {
		if a.Key != "" {
			prefix += a.Key + "."
		}
		for _, x := range v.Group() {
			h.add(prefix, x)
		}
		return
	}
	if a.Key == "" {
		return
	}
	text := v.String()
	if v.Kind() == slog.KindTime {
		text = v.Time().Format(time.RFC3339Nano)
	}
	if a.Key == reasonKey {
		h.reason = text
	}
	if prefix == "" && a.Key == kindKey {
		h.kind = text
		return
	}
	element, rest, grouped := strings.Cut(prefix, ".")
	if !grouped {
		element, rest = "attr", ""
	}
	h.params = append(h.params, placed{element, Param{rest + a.Key, text}})
}

// severityOf a level: slog's four, and what is between them.
func severityOf(l slog.Level) Severity {
	switch {
	case l >= slog.LevelError+4:
		return Critical
	case l >= slog.LevelError:
		return Error
	case l >= slog.LevelWarn:
		return Warning
	case l >= slog.LevelInfo+2:
		return Notice
	case l >= slog.LevelInfo:
		return Informational
	}
	return Debug
}

// Handle sends a record, or counts it where its kind and reason have had their rate. It never waits and never fails.
func (h *Handler) Handle(_ context.Context, r slog.Record) error {
	n := *h
	n.params = slices.Clip(h.params)
	r.Attrs(func(a slog.Attr) bool { n.add(h.prefix, a); return true })
	at := r.Time
	if at.IsZero() {
		at = h.now()
	}
	key := n.kind + " " + n.reason
	if n.kind == "" {
		key = r.Message
	}
	if severity := severityOf(r.Level); severity > Error && !h.limits.let(key, h.now()) {
		h.sender.Suppress()
	} else {
		h.send(at, severity, n.kind, n.params, r.Message)
	}
	for _, x := range h.limits.tell(h.now()) {
		h.send(h.now(), Notice, "suppressed", []placed{{"suppressed", Param{"of", x.key}}, {"suppressed", Param{"count", strconv.FormatUint(x.count, 10)}}},
			"more of a kind than its rate allows were kept back")
	}
	return nil
}

func (h *Handler) send(at time.Time, s Severity, kind string, params []placed, text string) {
	m := Message{Facility: h.who.Facility, Severity: s, Time: at, Host: h.who.Host, App: h.who.App, Proc: h.proc, MsgID: kind, Text: text}
	for _, p := range params {
		id := p.element + "@" + Enterprise
		i := slices.IndexFunc(m.StructuredData, func(e Element) bool { return e.ID == id })
		if i < 0 {
			i = len(m.StructuredData)
			m.StructuredData = append(m.StructuredData, Element{ID: id})
		}
		m.StructuredData[i].Params = append(m.StructuredData[i].Params, p.Param)
	}
	h.sender.Put(s, m.Append(make([]byte, 0, 512), h.sender.Longest()))
}

// ReportLoss is what a Sender's announce does: a record of what was dropped, sent once records flow again.
func (h *Handler) ReportLoss(dropped [Debug + 1]uint64, torn uint64) {
	params := []placed{}
	for s, n := range dropped {
		if n > 0 {
			params = append(params, placed{"lost", Param{Severity(s).String(), strconv.FormatUint(n, 10)}})
		}
	}
	if torn > 0 {
		params = append(params, placed{"lost", Param{"torn", strconv.FormatUint(torn, 10)}})
	}
	h.send(h.now(), Warning, "lost", params, "records were lost since the last of these")
}

// limits keep each kind and reason to a rate, so that one cannot drown the rest. Errors are not limited.
type limits struct {
	mu   sync.Mutex
	rate float64
	by   map[string]*allowance
	told time.Time
}

type allowance struct {
	left       float64
	last       time.Time
	suppressed uint64
}

// Of the limits: a burst is so many seconds' rate; what was kept back is told so often; so many kinds are told apart.
const (
	usualRate  = 50
	burst      = 2.0
	tellEvery  = 10 * time.Second
	mostKinds  = 1024
	otherKinds = "others"
)

// let tells whether one more may go. A clock that steps back gives nothing and takes nothing.
func (l *limits) let(key string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.by[key]
	if a == nil && len(l.by) >= mostKinds {
		for k, x := range l.by { // those that are long quiet make room
			if now.Sub(x.last) > tellEvery && x.suppressed == 0 {
				delete(l.by, k)
			}
		}
		if len(l.by) >= mostKinds {
			key = otherKinds
			a = l.by[key]
		}
	}
	if a == nil {
		a = &allowance{left: burst * l.rate, last: now}
		l.by[key] = a
	}
	if since := now.Sub(a.last); since > 0 {
		a.left = min(burst*l.rate, a.left+l.rate*since.Seconds())
	}
	if a.last = now; a.left < 1 {
		a.suppressed++
		return false
	}
	a.left--
	return true
}

type suppressed struct {
	key   string
	count uint64
}

// tell returns what was kept back since it last did, now and then.
func (l *limits) tell(now time.Time) (out []suppressed) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.told.IsZero() || now.Before(l.told) { // the clock stepped back
		l.told = now
	}
	if now.Sub(l.told) < tellEvery {
		return nil
	}
	l.told = now
	for _, key := range slices.Sorted(maps.Keys(l.by)) {
		if a := l.by[key]; a.suppressed > 0 {
			out = append(out, suppressed{key, a.suppressed})
			a.suppressed = 0
		}
	}
	return out
}

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

// Kind returns the attribute whose value becomes the MSGID of the record.
func Kind(kind string) slog.Attr { return slog.String(kindKey, kind) }

// Reason returns an attribute that, together with the kind, selects the rate limit of a record. It is also sent as a
// parameter.
func Reason(reason string) slog.Attr { return slog.String(reasonKey, reason) }

const (
	kindKey   = "kind"
	reasonKey = "reason"
)

// Identity holds the properties that all records of a process share, and which of them are sent.
type Identity struct {
	Facility Facility
	Host     string // empty: the host name of this machine
	App      string
	Level    slog.Leveler // least level that is sent; nil: slog.LevelInfo
	Rate     float64      // limit in records per second for one kind and reason; 0: 50
}

// Handler is a slog.Handler that sends records through a Sender. An outermost group becomes the SD-ELEMENT of its name;
// attributes outside groups go into the element "attr". Names of inner groups become prefixes of the parameter names,
// separated by dots.
type Handler struct {
	*handlerState
	prefix string // names of the open groups, each followed by a dot
	params []elementParam
	kind   string
	reason string
}

// handlerState is shared by all handlers derived from one NewHandler.
type handlerState struct {
	sender     *Sender
	identity   Identity
	proc       string
	rateLimits *rateLimits
	now        func() time.Time
}

// elementParam is a parameter with the name of the element it belongs to.
type elementParam struct {
	element string
	Param
}

// NewHandler returns a handler that sends records through a sender.
func NewHandler(s *Sender, identity Identity) *Handler {
	if identity.Host == "" {
		identity.Host, _ = os.Hostname()
	}
	if identity.Level == nil {
		identity.Level = slog.LevelInfo
	}
	if identity.Rate <= 0 {
		identity.Rate = defaultRate
	}
	h := &Handler{handlerState: &handlerState{sender: s, identity: identity, proc: strconv.Itoa(os.Getpid()), now: time.Now}}
	h.rateLimits = &rateLimits{rate: identity.Rate, buckets: map[string]*tokenBucket{}}
	return h
}

// Enabled reports whether records of a level are sent.
func (h *Handler) Enabled(_ context.Context, l slog.Level) bool { return l >= h.identity.Level.Level() }

// WithAttrs returns a handler that adds the attributes to each of its records.
func (h *Handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	n := *h
	n.params = slices.Clip(h.params)
	for _, a := range attrs {
		n.addAttr(h.prefix, a)
	}
	return &n
}

// WithGroup returns a handler that puts further attributes into the group.
func (h *Handler) WithGroup(name string) slog.Handler {
	if name == "" {
		return h
	}
	n := *h
	n.prefix = h.prefix + name + "."
	return &n
}

// addAttr adds the attribute to the parameters; groups are flattened.
func (h *Handler) addAttr(prefix string, a slog.Attr) {
	v := a.Value.Resolve()
	if v.Kind() == slog.KindGroup {
		if a.Key != "" {
			prefix += a.Key + "."
		}
		for _, x := range v.Group() {
			h.addAttr(prefix, x)
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
	h.params = append(h.params, elementParam{element, Param{rest + a.Key, text}})
}

// severityOf maps a slog level to a severity. Levels between the four of slog map to the severities between theirs.
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

// Handle sends a record, or only counts it if its kind and reason exceed their rate; records of severity Error and
// above are always sent. It never blocks and always returns nil.
func (h *Handler) Handle(_ context.Context, r slog.Record) error {
	n := *h
	n.params = slices.Clip(h.params)
	r.Attrs(func(a slog.Attr) bool { n.addAttr(h.prefix, a); return true })
	at := r.Time
	if at.IsZero() {
		at = h.now()
	}
	key := n.kind + " " + n.reason
	if n.kind == "" {
		key = r.Message
	}
	if severity := severityOf(r.Level); severity > Error && !h.rateLimits.allow(key, h.now()) {
		h.sender.CountSuppressed()
	} else {
		h.send(at, severity, n.kind, n.params, r.Message)
	}
	for _, x := range h.rateLimits.collectSuppressed(h.now()) {
		h.send(h.now(), Notice, "suppressed", []elementParam{{"suppressed", Param{"of", x.key}},
			{"suppressed", Param{"count", strconv.FormatUint(x.count, 10)}}},
			"records over the rate limit of their kind were suppressed")
	}
	return nil
}

func (h *Handler) send(at time.Time, s Severity, kind string, params []elementParam, text string) {
	m := Message{Facility: h.identity.Facility, Severity: s, Time: at, Host: h.identity.Host, App: h.identity.App,
		ProcID: h.proc, MsgID: kind, Text: text}
	for _, p := range params {
		id := p.element + "@" + EnterpriseNumber
		i := slices.IndexFunc(m.StructuredData, func(e Element) bool { return e.ID == id })
		if i < 0 {
			i = len(m.StructuredData)
			m.StructuredData = append(m.StructuredData, Element{ID: id})
		}
		m.StructuredData[i].Params = append(m.StructuredData[i].Params, p.Param)
	}
	h.sender.Enqueue(s, m.Append(make([]byte, 0, 512), h.sender.MaxMessageBytes()))
}

// ReportLoss sends a record with the numbers of lost records: those dropped, by severity, and those that could not be
// read from the spool. It is meant for the announce parameter of Start.
func (h *Handler) ReportLoss(dropped [Debug + 1]uint64, corrupt uint64) {
	params := []elementParam{}
	for s, n := range dropped {
		if n > 0 {
			params = append(params, elementParam{"lost", Param{Severity(s).String(), strconv.FormatUint(n, 10)}})
		}
	}
	if corrupt > 0 {
		params = append(params, elementParam{"lost", Param{"torn", strconv.FormatUint(corrupt, 10)}})
	}
	h.send(h.now(), Warning, "lost", params, "records were lost since the last record of this kind")
}

// rateLimits limits the rate of each kind and reason separately, so that one that floods the log cannot displace the
// others.
type rateLimits struct {
	mu         sync.Mutex
	rate       float64
	buckets    map[string]*tokenBucket
	lastReport time.Time
}

type tokenBucket struct {
	tokens          float64
	lastRefill      time.Time
	suppressedCount uint64
}

// Rate limiter: the default rate in records per second, the burst in seconds at that rate, the interval of reports on
// suppressed records, and the number of keys that are limited separately; all further keys share overflowKey.
const (
	defaultRate    = 50
	burstSeconds   = 2.0
	reportInterval = 10 * time.Second
	maxKeys        = 1024
	overflowKey    = "others"
)

// allow takes a token for one record of a key; false if there is none. A clock that steps back neither adds nor removes
// tokens.
func (l *rateLimits) allow(key string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.buckets[key]
	if a == nil && len(l.buckets) >= maxKeys {
		for k, x := range l.buckets { // remove idle keys to make room
			if now.Sub(x.lastRefill) > reportInterval && x.suppressedCount == 0 {
				delete(l.buckets, k)
			}
		}
		if len(l.buckets) >= maxKeys {
			key = overflowKey
			a = l.buckets[key]
		}
	}
	if a == nil {
		a = &tokenBucket{tokens: burstSeconds * l.rate, lastRefill: now}
		l.buckets[key] = a
	}
	if since := now.Sub(a.lastRefill); since > 0 {
		a.tokens = min(burstSeconds*l.rate, a.tokens+l.rate*since.Seconds())
	}
	if a.lastRefill = now; a.tokens < 1 {
		a.suppressedCount++
		return false
	}
	a.tokens--
	return true
}

type suppressedCount struct {
	key   string
	count uint64
}

// collectSuppressed returns and resets the numbers of suppressed records by key, at most once per reportInterval;
// otherwise nil.
func (l *rateLimits) collectSuppressed(now time.Time) (out []suppressedCount) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lastReport.IsZero() || now.Before(l.lastReport) { // first call, or the clock stepped back
		l.lastReport = now
	}
	if now.Sub(l.lastReport) < reportInterval {
		return nil
	}
	l.lastReport = now
	for _, key := range slices.Sorted(maps.Keys(l.buckets)) {
		if a := l.buckets[key]; a.suppressedCount > 0 {
			out = append(out, suppressedCount{key, a.suppressedCount})
			a.suppressedCount = 0
		}
	}
	return out
}

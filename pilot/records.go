package pilot

import (
	"context"
	"log/slog"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"vetchdoor/control"
	"vetchdoor/record"
	"vetchdoor/syslog"
	"vetchdoor/tenancy"
)

// recorder writes a record of each thing that the pilot orders, with the reason that it was given. The loop hands over what
// happened and goes on; writing is a goroutine's own, and where that is far behind, what happened is counted and left out.
type recorder struct {
	log   *slog.Logger
	now   func() time.Duration
	jobs  chan job
	ended chan struct{}
	over  atomic.Uint64 // records, about, that there was no room for

	// What follows is the writer's own.
	at       time.Duration // of what is being written
	pilot    string
	types    []string
	run      uint64
	sequence uint64
	versions map[control.TableID]uint64
	open     []*checkpoint // sent, not confirmed by all, the oldest first
}

// job is something that happened.
type job struct {
	at      time.Duration
	records int // that it will make, about
	do      func()
}

// mostJobs bounds what waits to be written.
const mostJobs = 4096

// checkpoint is what became of one.
type checkpoint struct {
	number  int
	at      time.Duration
	sent    map[control.ProxyID]bool // true: confirmed
	left    int
	slowest time.Duration
}

// patience is how long a checkpoint is waited for before its record is written without those that are missing; mostOpen how
// many are kept.
const (
	patience = 5 * time.Second
	mostOpen = 256
	mostSaid = 16
)

func newRecorder(log *slog.Logger, pilot string, types []string, run uint64, now func() time.Duration) *recorder {
	if log == nil {
		return nil
	}
	r := &recorder{log: log, pilot: pilot, types: types, run: run, now: now, versions: map[control.TableID]uint64{},
		jobs: make(chan job, mostJobs), ended: make(chan struct{})}
	go func() {
		defer close(r.ended)
		for j := range r.jobs {
			r.sequence += r.over.Swap(0) // left out, and a reader sees that they are missing
			r.at = j.at
			j.do()
		}
	}()
	return r
}

// post has something written, or counts it.
func (r *recorder) post(records int, do func()) {
	if r == nil {
		return
	}
	select {
	case r.jobs <- job{r.now(), records, do}:
	default:
		r.over.Add(uint64(records))
	}
}

// close waits until all is written.
func (r *recorder) close() {
	if r != nil {
		close(r.jobs)
		<-r.ended
	}
}

// write writes one record. Its number is taken even if the log keeps it back, so that a reader sees what is missing.
func (r *recorder) write(level slog.Level, kind string, reason control.Reason, text string, attrs ...slog.Attr) {
	r.sequence++
	all := make([]slog.Attr, 0, len(attrs)+5)
	all = append(all, slog.String(record.Pilot, r.pilot), slog.Uint64(record.Run, r.run), slog.Uint64(record.Sequence, r.sequence),
		slog.Int64(record.At, r.at.Microseconds()))
	if reason != "" {
		all = append(all, syslog.Reason(string(reason)))
	}
	all = append(all, attrs...)
	r.log.LogAttrs(context.Background(), level, text, syslog.Kind(kind), slog.Attr{Key: record.Element, Value: slog.GroupValue(all...)})
}

func figures(w control.Why) []slog.Attr {
	if w.Value == 0 && w.Limit == 0 {
		return nil
	}
	return []slog.Attr{slog.String(record.Value, round(w.Value)), slog.String(record.Past, round(w.Limit))}
}

func round(x float64) string { return strconv.FormatFloat(x, 'g', 4, 64) }

func nodeName(e control.EndpointID) string { return "e" + strconv.FormatUint(uint64(e), 10) }

func proxyName(p control.ProxyID) string { return "p" + strconv.FormatUint(uint64(p), 10) }

func (r *recorder) table(id control.TableID, changed bool) []slog.Attr {
	if id == control.Everywhere {
		return []slog.Attr{slog.String(record.Table, "*")}
	}
	if changed {
		r.versions[id]++
	}
	return []slog.Attr{slog.String(record.Table, "t"+strconv.Itoa(int(id))), slog.Uint64(record.Version, r.versions[id])}
}

func (r *recorder) opTypes(mask uint16) slog.Attr {
	var names []string
	for i, name := range r.types {
		if mask&(1<<i) != 0 {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		names = []string{"*"}
	}
	return slog.String(record.OpType, strings.Join(names, ","))
}

// ordered writes the records of one reply of the module.
func (r *recorder) ordered(orders []control.Order) {
	if len(orders) > 0 {
		r.post(len(orders), func() { r.writeOrders(orders) })
	}
}

func (r *recorder) writeOrders(orders []control.Order) {
	var mark []slog.Attr
	for _, o := range orders {
		if c, ok := o.(control.Checkpoint); ok {
			mark = []slog.Attr{slog.Int(record.Checkpoint, c.Number)}
		}
	}
	for _, o := range orders {
		switch o := o.(type) {
		case control.PutLine:
			a := append(r.table(o.Table, true), slog.String(record.Node, nodeName(o.Endpoint)), slog.String(record.Weight, round(o.Weight)))
			r.write(slog.LevelInfo, record.TableLine, o.Why.Reason, "line of a table", slices.Concat(a, figures(o.Why), mark)...)
		case control.Blank:
			r.write(slog.LevelInfo, record.Blank, "", "table emptied", append(r.table(o.Table, true), mark...)...)
		case control.Bind:
			a := append(r.table(o.Table, false), slog.String(record.Proxy, proxyName(o.Proxy)), r.opTypes(o.OpTypes))
			r.write(slog.LevelInfo, record.TableAssigned, o.Why.Reason, "proxy put on a table", slices.Concat(a, figures(o.Why), mark)...)
		case control.SetLevel:
			a := append(r.table(o.Table, false), r.opTypes(o.OpTypes), slog.String(record.Share, round(o.Level)))
			r.write(slog.LevelInfo+2, record.Level, o.Why.Reason, "level changed", slices.Concat(a, figures(o.Why), mark)...)
		case control.Suspend:
			text := "server back in"
			if o.Out {
				text = "server withdrawn"
			}
			a := []slog.Attr{slog.String(record.Node, nodeName(o.Endpoint)), slog.Bool(record.Withdrawn, o.Out)}
			r.write(slog.LevelWarn, record.Withdrawal, o.Why.Reason, text, slices.Concat(a, figures(o.Why), mark)...)
		case control.Note:
			r.write(slog.LevelInfo, record.Note, "", o.Text)
		}
	}
}

// sent notes the messages that carry a reply's checkpoint; it may concern no proxy that is there.
func (r *recorder) sent(orders []control.Order, messages []outgoing) {
	if r == nil {
		return
	}
	at := slices.IndexFunc(orders, func(o control.Order) bool { _, ok := o.(control.Checkpoint); return ok })
	if at < 0 {
		return
	}
	var to []control.ProxyID
	for _, m := range messages {
		if m.Checkpoint >= 0 {
			to = append(to, m.proxy)
		}
	}
	number := orders[at].(control.Checkpoint).Number
	r.post(0, func() { r.begin(number, to) })
}

func (r *recorder) begin(number int, to []control.ProxyID) {
	c := &checkpoint{number: number, at: r.at, sent: map[control.ProxyID]bool{}, left: len(to)}
	for _, id := range to {
		c.sent[id] = false
	}
	if r.open = append(r.open, c); c.left == 0 {
		r.end(len(r.open) - 1)
	}
	if len(r.open) > mostOpen {
		r.end(0)
	}
}

// inForce takes a proxy's confirmation.
func (r *recorder) inForce(id control.ProxyID, number int, took time.Duration) {
	r.post(0, func() { r.confirmed(id, number, took) })
}

func (r *recorder) confirmed(id control.ProxyID, number int, took time.Duration) {
	for i, c := range r.open {
		if confirmed, there := c.sent[id]; there && !confirmed && c.number == number {
			c.sent[id] = true
			c.left--
			if c.slowest = max(c.slowest, took); c.left == 0 {
				r.end(i)
			}
			return
		}
	}
}

// look writes the records of checkpoints that were waited for long enough.
func (r *recorder) look() {
	r.post(0, func() {
		for len(r.open) > 0 && r.at-r.open[0].at > patience {
			r.end(0)
		}
	})
}

// end writes a checkpoint's record.
func (r *recorder) end(i int) {
	c := r.open[i]
	r.open = slices.Delete(r.open, i, i+1)
	a := []slog.Attr{slog.Int(record.Checkpoint, c.number), slog.Int(record.Of, len(c.sent)), slog.Int(record.Confirmed, len(c.sent)-c.left),
		slog.Int64(record.Slowest, c.slowest.Microseconds())}
	level := slog.LevelInfo
	if c.left > 0 {
		var missing []string
		for id, confirmed := range c.sent {
			if !confirmed {
				missing = append(missing, proxyName(id))
			}
		}
		slices.Sort(missing)
		a = append(a, slog.String(record.Missing, strings.Join(missing[:min(len(missing), mostSaid)], " ")))
		level = slog.LevelWarn
	}
	r.write(level, record.Confirmation, "", "checkpoint", a...)
}

func (r *recorder) joined(s *session, resumed bool) {
	id := s.id
	r.post(1, func() {
		r.write(slog.LevelInfo, record.Joined, "", "proxy joined", slog.String(record.Proxy, proxyName(id)), slog.Bool("resumed", resumed))
	})
}

func (r *recorder) left(id control.ProxyID) {
	r.post(1, func() {
		r.write(slog.LevelInfo+2, record.Left, "", "proxy gone", slog.String(record.Proxy, proxyName(id)))
	})
}

func (r *recorder) refused(id control.ProxyID, why string) {
	r.post(1, func() { r.write(slog.LevelWarn, record.Refusal, "", why, slog.String(record.Proxy, proxyName(id))) })
}

// began is the first record of a run.
func (r *recorder) began(run uint64, why control.Reason) {
	r.post(1, func() {
		r.run, r.sequence, r.open = run, 0, nil
		clear(r.versions)
		r.write(slog.LevelInfo+2, record.Restart, why, "a run begins")
	})
}

func (r *recorder) limited(l tenancy.Limit) {
	r.post(1, func() {
		r.write(slog.LevelWarn, record.Limit, "", "a tenant's limit changed", slog.String(record.Tenant, l.Tenant), slog.String("rate", round(l.Rate)),
			slog.String("hand", round(l.Hand)), slog.Bool("fenced", l.Fenced), slog.String("room", round(l.Room)))
	})
}

func (r *recorder) movesAsked(a tenancy.MoveRequest) {
	r.post(1, func() {
		r.write(slog.LevelInfo+2, record.Move, "asked", "a move is asked for", slog.String(record.Tenant, a.Tenant), slog.String("to", a.To.String()))
	})
}

func (r *recorder) moved(e tenancy.MoveResult) {
	reason := control.Reason("cancelled")
	if e.Moved {
		reason = "moved"
	}
	r.post(1, func() {
		r.write(slog.LevelInfo+2, record.Move, reason, "a move ended", slog.String(record.Tenant, e.Tenant), slog.Int64("held", e.Held.Microseconds()))
	})
}

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

// recorder writes a log record of each order of the module, with its reason, and of other changes of the pilot's state.
// Records are written on a goroutine of their own so that the loop never waits for the log; when its queue is full, records
// are dropped and counted. A nil recorder writes nothing.
type recorder struct {
	log     *slog.Logger
	now     func() time.Duration
	jobs    chan job
	done    chan struct{}
	dropped atomic.Uint64 // approximate number of records dropped because the queue was full

	// The fields below are used only on the writing goroutine.
	eventTime       time.Duration // time of the event being written
	pilot           string
	types           []string // names of the op types
	run             uint64
	sequence        uint64
	versions        map[control.TableID]uint64 // number of changes of each table in this run
	openCheckpoints []*checkpoint              // checkpoints sent and not yet confirmed by all proxies, oldest first
}

// job is an event to be written as one or more records.
type job struct {
	at      time.Duration
	records int // approximate number of records that write makes
	write   func()
}

// maxQueuedJobs bounds the queue of the writing goroutine.
const maxQueuedJobs = 4096

// checkpoint tracks which proxies have confirmed a checkpoint.
type checkpoint struct {
	number  int
	at      time.Duration
	sent    map[control.ProxyID]bool // proxies that the checkpoint was sent to; true once the proxy has confirmed it
	missing int                      // number of proxies that have not confirmed the checkpoint
	slowest time.Duration            // longest time until a confirmation
}

// checkpointTimeout is how long confirmations of a checkpoint are awaited before its record is written without the missing
// ones. maxOpenCheckpoints bounds the checkpoints awaited at a time, and maxListedProxies the missing proxies named in a
// record.
const (
	checkpointTimeout  = 5 * time.Second
	maxOpenCheckpoints = 256
	maxListedProxies   = 16
)

// newRecorder starts a recorder that writes to log; it returns nil if log is nil. now returns the time of an event.
func newRecorder(log *slog.Logger, pilot string, types []string, run uint64, now func() time.Duration) *recorder {
	if log == nil {
		return nil
	}
	r := &recorder{log: log, pilot: pilot, types: types, run: run, now: now, versions: map[control.TableID]uint64{},
		jobs: make(chan job, maxQueuedJobs), done: make(chan struct{})}
	go func() {
		defer close(r.done)
		for j := range r.jobs {
			r.sequence += r.dropped.Swap(0) // leaves a gap, from which a reader sees that records are missing
			r.eventTime = j.at
			j.write()
		}
	}()
	return r
}

// enqueue queues a job that writes about the given number of records, or counts these as dropped if the queue is full.
func (r *recorder) enqueue(records int, write func()) {
	if r == nil {
		return
	}
	select {
	case r.jobs <- job{r.now(), records, write}:
	default:
		r.dropped.Add(uint64(records))
	}
}

// close waits until all queued jobs are written. No job may be queued after it.
func (r *recorder) close() {
	if r != nil {
		close(r.jobs)
		<-r.done
	}
}

// write writes one record. The record takes a sequence number even if the log suppresses it, so that a reader sees the gap.
func (r *recorder) write(level slog.Level, kind string, reason control.Reason, text string, attrs ...slog.Attr) {
	r.sequence++
	all := make([]slog.Attr, 0, len(attrs)+5)
	all = append(all, slog.String(record.Pilot, r.pilot), slog.Uint64(record.Run, r.run), slog.Uint64(record.Sequence, r.sequence),
		slog.Int64(record.At, r.eventTime.Microseconds()))
	if reason != "" {
		all = append(all, syslog.Reason(string(reason)))
	}
	all = append(all, attrs...)
	r.log.LogAttrs(context.Background(), level, text, syslog.Kind(kind),
		slog.Attr{Key: record.Element, Value: slog.GroupValue(all...)})
}

// figureAttrs returns the attributes of the figure behind an order and its limit; nil if there is none.
func figureAttrs(w control.Why) []slog.Attr {
	if w.Value == 0 && w.Limit == 0 {
		return nil
	}
	return []slog.Attr{slog.String(record.Value, formatFigure(w.Value)), slog.String(record.Threshold, formatFigure(w.Limit))}
}

// formatFigure formats a number with four significant digits.
func formatFigure(x float64) string { return strconv.FormatFloat(x, 'g', 4, 64) }

// nodeName returns the name of an endpoint in records, such as e17.
func nodeName(e control.EndpointID) string { return "e" + strconv.FormatUint(uint64(e), 10) }

// proxyName returns the name of a proxy in records and for admission, such as p3.
func proxyName(p control.ProxyID) string { return "p" + strconv.FormatUint(uint64(p), 10) }

// tableAttrs returns the attributes that name a table and its version, which is incremented if the table changed.
func (r *recorder) tableAttrs(id control.TableID, changed bool) []slog.Attr {
	if id == control.Everywhere {
		return []slog.Attr{slog.String(record.Table, "*")}
	}
	if changed {
		r.versions[id]++
	}
	return []slog.Attr{slog.String(record.Table, "t"+strconv.Itoa(int(id))), slog.Uint64(record.Version, r.versions[id])}
}

// opTypesAttr returns the attribute that lists the op types of a bit mask; * stands for all.
func (r *recorder) opTypesAttr(mask uint16) slog.Attr {
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

// recordOrders queues the records of one reply of the module.
func (r *recorder) recordOrders(orders []control.Order) {
	if len(orders) > 0 {
		r.enqueue(len(orders), func() { r.writeOrders(orders) })
	}
}

// writeOrders writes a record of each order. If the reply has a checkpoint, the records carry its number.
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
			attrs := append(r.tableAttrs(o.Table, true), slog.String(record.Node, nodeName(o.Endpoint)),
				slog.String(record.Weight, formatFigure(o.Weight)))
			r.write(slog.LevelInfo, record.TableLine, o.Why.Reason, "table line set", slices.Concat(attrs, figureAttrs(o.Why), mark)...)
		case control.ClearTable:
			r.write(slog.LevelInfo, record.TableCleared, "", "table cleared", append(r.tableAttrs(o.Table, true), mark...)...)
		case control.Bind:
			attrs := append(r.tableAttrs(o.Table, false), slog.String(record.Proxy, proxyName(o.Proxy)), r.opTypesAttr(o.OpTypes))
			r.write(slog.LevelInfo, record.TableAssigned, o.Why.Reason, "proxy bound to a table", slices.Concat(attrs, figureAttrs(o.Why), mark)...)
		case control.SetLevel:
			attrs := append(r.tableAttrs(o.Table, false), r.opTypesAttr(o.OpTypes), slog.String(record.Share, formatFigure(o.Level)))
			r.write(slog.LevelInfo+2, record.Level, o.Why.Reason, "level changed", slices.Concat(attrs, figureAttrs(o.Why), mark)...)
		case control.Suspend:
			text := "server restored"
			if o.Out {
				text = "server withdrawn"
			}
			attrs := []slog.Attr{slog.String(record.Node, nodeName(o.Endpoint)), slog.Bool(record.Withdrawn, o.Out)}
			r.write(slog.LevelWarn, record.Withdrawal, o.Why.Reason, text, slices.Concat(attrs, figureAttrs(o.Why), mark)...)
		case control.LogMessage:
			r.write(slog.LevelInfo, record.ModuleNote, "", o.Text)
		}
	}
}

// recordSent starts tracking the checkpoint of one reply, if it has one, at the proxies whose messages carry it. It may
// be that no message carries it.
func (r *recorder) recordSent(orders []control.Order, messages []outgoing) {
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
	r.enqueue(0, func() { r.openCheckpoint(number, to) })
}

// openCheckpoint starts tracking a checkpoint. If too many are open it closes the oldest.
func (r *recorder) openCheckpoint(number int, to []control.ProxyID) {
	c := &checkpoint{number: number, at: r.eventTime, sent: map[control.ProxyID]bool{}, missing: len(to)}
	for _, id := range to {
		c.sent[id] = false
	}
	if r.openCheckpoints = append(r.openCheckpoints, c); c.missing == 0 {
		r.closeCheckpoint(len(r.openCheckpoints) - 1)
	}
	if len(r.openCheckpoints) > maxOpenCheckpoints {
		r.closeCheckpoint(0)
	}
}

// recordInForce queues a proxy's confirmation of a checkpoint, with the time it took.
func (r *recorder) recordInForce(id control.ProxyID, number int, took time.Duration) {
	r.enqueue(0, func() { r.confirmCheckpoint(id, number, took) })
}

// confirmCheckpoint marks the oldest open checkpoint with that number as confirmed by a proxy, and closes
// it once all proxies have confirmed it.
func (r *recorder) confirmCheckpoint(id control.ProxyID, number int, took time.Duration) {
	for i, c := range r.openCheckpoints {
		if confirmed, there := c.sent[id]; there && !confirmed && c.number == number {
			c.sent[id] = true
			c.missing--
			if c.slowest = max(c.slowest, took); c.missing == 0 {
				r.closeCheckpoint(i)
			}
			return
		}
	}
}

// expireCheckpoints writes the records of checkpoints that have been open for longer than checkpointTimeout.
func (r *recorder) expireCheckpoints() {
	r.enqueue(0, func() {
		for len(r.openCheckpoints) > 0 && r.eventTime-r.openCheckpoints[0].at > checkpointTimeout {
			r.closeCheckpoint(0)
		}
	})
}

// closeCheckpoint writes the record of the i-th open checkpoint and stops tracking it.
func (r *recorder) closeCheckpoint(i int) {
	c := r.openCheckpoints[i]
	r.openCheckpoints = slices.Delete(r.openCheckpoints, i, i+1)
	attrs := []slog.Attr{slog.Int(record.Checkpoint, c.number), slog.Int(record.ProxiesSent, len(c.sent)),
		slog.Int(record.ProxiesConfirmed, len(c.sent)-c.missing),
		slog.Int64(record.Slowest, c.slowest.Microseconds())}
	level := slog.LevelInfo
	if c.missing > 0 {
		var missing []string
		for id, confirmed := range c.sent {
			if !confirmed {
				missing = append(missing, proxyName(id))
			}
		}
		slices.Sort(missing)
		attrs = append(attrs, slog.String(record.ProxiesUnconfirmed, strings.Join(missing[:min(len(missing), maxListedProxies)], " ")))
		level = slog.LevelWarn
	}
	r.write(level, record.Confirmation, "", "checkpoint", attrs...)
}

// recordJoined records that a proxy joined, or resumed its session.
func (r *recorder) recordJoined(s *session, resumed bool) {
	id := s.id
	r.enqueue(1, func() {
		r.write(slog.LevelInfo, record.ProxyJoined, "", "proxy joined", slog.String(record.Proxy, proxyName(id)),
			slog.Bool("resumed", resumed))
	})
}

// recordLeft records that a proxy's session ended.
func (r *recorder) recordLeft(id control.ProxyID) {
	r.enqueue(1, func() {
		r.write(slog.LevelInfo+2, record.ProxyLeft, "", "proxy left", slog.String(record.Proxy, proxyName(id)))
	})
}

// recordRefused records that a proxy refused a message, and the reason it gave.
func (r *recorder) recordRefused(id control.ProxyID, reason string) {
	r.enqueue(1, func() { r.write(slog.LevelWarn, record.Refusal, "", reason, slog.String(record.Proxy, proxyName(id))) })
}

// recordStart writes the first record of a run, and resets the sequence and version numbers.
func (r *recorder) recordStart(run uint64, reason control.Reason) {
	r.enqueue(1, func() {
		r.run, r.sequence, r.openCheckpoints = run, 0, nil
		clear(r.versions)
		r.write(slog.LevelInfo+2, record.Restart, reason, "pilot run started")
	})
}

// recordLimit records a changed limit of a tenant.
func (r *recorder) recordLimit(l tenancy.Limit) {
	r.enqueue(1, func() {
		r.write(slog.LevelWarn, record.TenantLimit, "", "tenant limit changed", slog.String(record.Tenant, l.Tenant),
			slog.String("rate", formatFigure(l.Rate)),
			slog.String("hand", formatFigure(l.Hand)), slog.Bool("fenced", l.Fenced), slog.String("room", formatFigure(l.Room)))
	})
}

// recordMoveRequest records that a move of a tenant was requested.
func (r *recorder) recordMoveRequest(a tenancy.MoveRequest) {
	r.enqueue(1, func() {
		r.write(slog.LevelInfo+2, record.TenantMove, "asked", "tenant move requested", slog.String(record.Tenant, a.Tenant),
			slog.String("to", a.To.String()))
	})
}

// recordMoveEnd records that a move of a tenant was completed or cancelled.
func (r *recorder) recordMoveEnd(e tenancy.MoveResult) {
	reason := control.Reason("cancelled")
	if e.Moved {
		reason = "moved"
	}
	r.enqueue(1, func() {
		r.write(slog.LevelInfo+2, record.TenantMove, reason, "tenant move ended", slog.String(record.Tenant, e.Tenant),
			slog.Int64("held", e.Held.Microseconds()))
	})
}

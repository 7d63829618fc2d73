package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"time"

	"vetchdoor/files"
	"vetchdoor/syslog"
)

// facilities maps the names in settings files to facility codes.
var facilities = map[string]syslog.Facility{"": syslog.Daemon, "daemon": syslog.Daemon,
	"local0": syslog.Local0, "local1": syslog.Local0 + 1,
	"local2": syslog.Local0 + 2, "local3": syslog.Local0 + 3, "local4": syslog.Local0 + 4, "local5": syslog.Local0 + 5,
	"local6": syslog.Local0 + 6, "local7": syslog.Local0 + 7}

// logs are the loggers for the log receivers of a settings file, with the senders behind them.
type logs struct {
	combined *slog.Logger // writes to standard error and to the receivers
	records  *slog.Logger // writes to the receivers only; nil if there are none
	senders  []*syslog.Sender
}

// openLogs starts a sender for each configured receiver. Errors of a connection to a receiver are logged on standard
// error only.
func openLogs(list []files.Log, app string) (*logs, error) {
	l := &logs{combined: slog.Default()}
	var to fanOut
	for _, f := range list {
		var level slog.Level
		if f.Level != "" {
			if err := level.UnmarshalText([]byte(f.Level)); err != nil {
				return nil, err
			}
		}
		var h *syslog.Handler
		ready := make(chan struct{})
		s, err := syslog.Start(syslog.Config{Network: f.Network, Address: f.Address, Buffer: f.Buffer,
			Spool: f.Spool, SpoolBytes: f.SpoolBytes, CA: f.CA, Cert: f.Cert, Key: f.Key, ServerName: f.Name}, slog.Default(),
			uint64(time.Now().UnixNano()),
			func(dropped [syslog.Debug + 1]uint64, corrupt uint64) {
				<-ready
				h.ReportLoss(dropped, corrupt)
			})
		if err != nil {
			l.close()
			return nil, err
		}
		h = syslog.NewHandler(s, syslog.Identity{Facility: facilities[f.Facility], Host: f.Host, App: app, Level: level, Rate: f.Rate})
		close(ready)
		l.senders = append(l.senders, s)
		to = append(to, h)
	}
	if len(to) > 0 {
		l.records = slog.New(to)
		l.combined = slog.New(append(fanOut{slog.Default().Handler()}, to...))
	}
	return l, nil
}

// close sends what it can to each receiver within the sender's timeout, and closes the senders.
func (l *logs) close() { l.closeWith((*syslog.Sender).Close) }

// closeBy is close with another end of the time for sending.
func (l *logs) closeBy(end time.Time) { l.closeWith(func(s *syslog.Sender) { s.CloseBy(end) }) }

// closeWith closes all senders at once, as each may take a while.
func (l *logs) closeWith(closeSender func(s *syslog.Sender)) {
	var closing sync.WaitGroup
	for _, s := range l.senders {
		closing.Go(func() { closeSender(s) })
	}
	closing.Wait()
	for _, s := range l.senders {
		if c := s.Counts(); c.Waiting+c.Spooled > 0 || c.Dropped != [syslog.Debug + 1]uint64{} {
			slog.Warn("not all log records were sent", "sent", c.Sent, "spooled", c.Spooled, "dropped", c.Dropped)
		}
	}
}

// info writes the totals of each sender, for the command "show info".
func (l *logs) info(w io.Writer) {
	for i, s := range l.senders {
		c := s.Counts()
		dropped := uint64(0)
		for _, n := range c.Dropped {
			dropped += n
		}
		fmt.Fprintf(w, "Log_%d_made: %d\nLog_%d_sent: %d\nLog_%d_dropped: %d\nLog_%d_suppressed: %d\nLog_%d_spooled: %d\nLog_%d_waiting: %d\nLog_%d_failures: %d\n",
			i, c.Logged, i, c.Sent, i, dropped, i, c.Suppressed, i, c.Spooled, i, c.Waiting, i, c.Failures)
	}
}

// fanOut is a slog.Handler that passes records to several handlers.
type fanOut []slog.Handler

func (f fanOut) Enabled(ctx context.Context, l slog.Level) bool {
	for _, h := range f {
		if h.Enabled(ctx, l) {
			return true
		}
	}
	return false
}

func (f fanOut) Handle(ctx context.Context, r slog.Record) error {
	var errs []error
	for _, h := range f {
		if h.Enabled(ctx, r.Level) {
			errs = append(errs, h.Handle(ctx, r.Clone()))
		}
	}
	return errors.Join(errs...)
}

func (f fanOut) WithAttrs(attrs []slog.Attr) slog.Handler {
	n := make(fanOut, len(f))
	for i, h := range f {
		n[i] = h.WithAttrs(attrs)
	}
	return n
}

func (f fanOut) WithGroup(name string) slog.Handler {
	n := make(fanOut, len(f))
	for i, h := range f {
		n[i] = h.WithGroup(name)
	}
	return n
}

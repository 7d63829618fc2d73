package main

import (
	"context"
	"log/slog"
	"net/netip"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/spf13/cobra"

	"vetchdoor/budget"
	"vetchdoor/control"
	"vetchdoor/files"
	"vetchdoor/lab/node"
	labroster "vetchdoor/lab/roster"
	"vetchdoor/pilot"
	"vetchdoor/proxy"
	"vetchdoor/roster"
)

// daemon returns a sub-command that runs a service until SIGTERM or SIGINT.
func daemon(use, short string, run func(path string) (stop func(), err error)) *cobra.Command {
	var path string
	c := &cobra.Command{Use: use, Short: short, Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, args []string) error {
		boundMemory()
		stop, err := run(path)
		if err != nil {
			return err
		}
		slog.Info("ends", "signal", caughtSignals.wait(ignoreHangup).String())
		stop()
		return nil
	}}
	c.Flags().StringVarP(&path, "file", "f", "", "settings file, JSON (see vetchdoor schema "+use+")")
	_ = c.MarkFlagRequired("file")
	return c
}

// softMemoryLimit is the size, in bytes, from which on the garbage collector of a service works harder, unless GOMEMLIMIT
// sets another one. It leaves more than half of a process of 192 MB to what comes between two collections and what the collector does
// not count.
const softMemoryLimit = 80 << 20

// boundMemory makes the garbage collector keep to softMemoryLimit, and logs the connections that are ended because the
// memory for connections is short.
func boundMemory() {
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(softMemoryLimit)
	}
	var lastLogged atomic.Int64
	budget.Process.OnEvict(func(e budget.Eviction) {
		now := time.Now().Unix()
		if last := lastLogged.Load(); last == now || !lastLogged.CompareAndSwap(last, now) {
			return // one a second
		}
		slog.Warn("memory for connections is short; ending the one that costs most", "remote", e.Name, "bytes", e.Bytes,
			"for", e.Held, "ended_so_far", budget.Process.Evictions())
	})
}

func pilotCommand() *cobra.Command {
	return daemon("pilot", "runs a pilot", func(path string) (func(), error) {
		var f files.Pilot
		if err := files.Read(path, "pilot", &f); err != nil {
			return nil, err
		}
		l, err := openLogs(f.Log, "vetchdoor-pilot")
		if err != nil {
			return nil, err
		}
		p, err := pilot.New(&f, l.combined)
		if err != nil {
			l.close()
			return nil, err
		}
		p.Records, p.WriteInfo = l.records, l.info
		p.OnStuck = func() {
			l.close()
			os.Exit(exitDecisionModuleStuck)
		}
		if err := p.Start(); err != nil {
			l.close()
			return nil, err
		}
		return func() { p.Stop(); l.close() }, nil
	})
}

// exitTime is left to the end of a process after its logs are closed.
const exitTime = 500 * time.Millisecond

func proxyCommand() *cobra.Command {
	return daemon("proxy", "runs a proxy", func(path string) (func(), error) {
		var f files.Proxy
		if err := files.Read(path, "proxy", &f); err != nil {
			return nil, err
		}
		l, err := openLogs(f.Log, "vetchdoor-proxy")
		if err != nil {
			return nil, err
		}
		p, err := proxy.New(&f, l.combined)
		if err == nil {
			p.ExtraInfo = l.info
			err = p.Start()
		}
		if err != nil {
			l.close()
			return nil, err
		}
		return func() {
			end := time.Now().Add(p.ShutdownTimeout() - exitTime)
			p.Stop(context.Background())
			l.closeBy(end)
		}, nil
	})
}

func nodeCommand() *cobra.Command {
	return daemon("node", "runs simulated servers", func(path string) (func(), error) {
		var f files.Node
		if err := files.Read(path, "node", &f); err != nil {
			return nil, err
		}
		machines := map[string]files.Machine{}
		for _, m := range f.Machines {
			machines[m.Name] = m
		}
		ledger := node.NewCountingLedger()
		var running []*node.Node
		stop := func() {
			ctx, cancel := context.WithTimeout(context.Background(), longestOp(&f.Service)+time.Second)
			defer cancel()
			var all sync.WaitGroup
			for _, n := range running {
				all.Go(func() { n.Shutdown(ctx) })
			}
			all.Wait()
			tries, effects := ledger.Counts()
			slog.Info("nodes stopped", "tries", tries, "effects", effects)
		}
		for _, at := range f.Nodes {
			n := node.New(at, machines[at.Machine], &f.Service, f.Limits, f.Seed, ledger)
			if err := n.Start(at.Cold); err != nil {
				stop()
				return nil, err
			}
			slog.Info("node runs", "endpoint", at.Endpoint, "listen", n.Address())
			running = append(running, n)
		}
		return stop, nil
	})
}

// longestOp returns the longest op timeout of all op types.
func longestOp(s *files.Service) (longest time.Duration) {
	for _, t := range s.OpTypes {
		longest = max(longest, t.OpTimeout.AsDuration())
	}
	return longest
}

func rosterCommand() *cobra.Command {
	return daemon("roster", "runs a simulated list service, which reads its settings file again after each change",
		func(path string) (func(), error) {
			var f files.Roster
			if err := files.Read(path, "roster", &f); err != nil {
				return nil, err
			}
			s, err := labroster.Start(f.Listen, rosterEntries(&f, nil))
			if err != nil {
				return nil, err
			}
			slog.Info("list service runs", "listen", s.Address(), "entries", len(f.Entries))
			done := make(chan struct{})
			go watchRoster(path, &f, s, done)
			return func() { close(done); s.Stop() }, nil
		})
}

// rosterEntries converts the entries of a settings file. If before is not nil, the list was already being served: an
// endpoint in it keeps its start time, and any other one, also one that was removed earlier, gets the current time as
// its start time.
func rosterEntries(f *files.Roster, before map[control.EndpointID]roster.Entry) []roster.Entry {
	var out []roster.Entry
	for _, e := range f.Entries {
		mode := e.Mode
		if mode == "" {
			mode = "ready"
		}
		x := roster.Entry{Endpoint: control.EndpointID(e.Endpoint), Address: netip.MustParseAddrPort(e.Address), Zone: e.Zone,
			Pack: e.Pack, Weight: e.Weight, Mode: mode}
		if x.Weight == 0 {
			x.Weight = 1
		}
		if before != nil {
			if old, ok := before[x.Endpoint]; ok {
				x.Started = old.Started
			} else {
				x.Started = time.Now().UnixMilli()
			}
		}
		out = append(out, x)
	}
	return out
}

// watchRoster watches the settings file and applies its changes to the list, until done is closed. A file that cannot be
// read leaves the list unchanged.
func watchRoster(path string, f *files.Roster, s *labroster.Server, done <-chan struct{}) {
	last := time.Time{}
	if info, err := os.Stat(path); err == nil {
		last = info.ModTime()
	}
	t := time.NewTicker(250 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-done:
			return
		case <-t.C:
		}
		info, err := os.Stat(path)
		if err != nil || info.ModTime().Equal(last) {
			continue
		}
		last = info.ModTime()
		var n files.Roster
		if err := files.Read(path, "roster", &n); err != nil {
			slog.Error("cannot read the settings file; the list stays unchanged", "error", err)
			continue
		}
		before := map[control.EndpointID]roster.Entry{}
		for _, e := range s.Entries() {
			before[e.Endpoint] = e
		}
		var changes []roster.Entry
		for _, e := range rosterEntries(&n, before) {
			if before[e.Endpoint] != e {
				changes = append(changes, e)
			}
			delete(before, e.Endpoint)
		}
		for _, e := range before {
			e.Mode = "gone"
			changes = append(changes, e)
		}
		if len(changes) > 0 {
			s.Set(changes...)
			slog.Info("the list changed", "entries", len(changes))
		}
	}
}

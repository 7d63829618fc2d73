package main

import (
	"log/slog"
	"os"
	"runtime"
	"runtime/debug"

	"github.com/spf13/cobra"

	"vetchdoor/platform"
)

func platformCommand() *cobra.Command {
	var path string
	c := &cobra.Command{Use: "platform", Short: "runs a pilot on the operators' platform", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, args []string) error {
			g, err := readWithinLimits(path)
			if err != nil {
				return err
			}
			p := platform.New(g, slog.Default())
			p.OnStuck = func() { os.Exit(exitDecisionModuleStuck) }
			if err := p.Start(); err != nil {
				return err
			}
			end := caughtSignals.wait(func() { p.Reload(path) })
			slog.Info("ends", "signal", end.String())
			return nil // without waiting: proxies use other pilots, and connections close with the process
		}}
	c.Flags().StringVarP(&path, "file", "f", os.Getenv("LB_CONFIG"),
		"settings file of the platform, JSON; default: the path in LB_CONFIG")
	return c
}

// readWithinLimits reads the platform's settings file and applies the limits in it to the Go runtime. Until the limits
// are known the runtime uses one processor, as on the smallest machine, so that a garbage collection while the file is
// read does not use all processors of the host.
func readWithinLimits(path string) (*platform.Config, error) {
	given := runtime.GOMAXPROCS(1)
	g, err := platform.ReadConfig(path)
	if err != nil {
		return nil, err
	}
	if g.Limits.Cores <= 0 {
		restoreProcessors(given)
	}
	g.Limits.Apply()
	slog.Info("keeps to its limits", "processors", runtime.GOMAXPROCS(0), "memory_mb", g.Limits.MemoryMB,
		"sockets", g.Limits.Sockets, "collections", collections())
	return g, nil
}

// restoreProcessors sets the number of processors of the runtime back to its former value. If the environment variable
// GOMAXPROCS is not set, the runtime follows the limits of its control group again.
func restoreProcessors(given int) {
	if os.Getenv("GOMAXPROCS") != "" {
		runtime.GOMAXPROCS(given)
		return
	}
	runtime.SetDefaultGOMAXPROCS()
}

// collections returns the number of garbage collections so far.
func collections() int64 {
	var stats debug.GCStats
	debug.ReadGCStats(&stats)
	return stats.NumGC
}

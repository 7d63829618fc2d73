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
			p.Stuck = func() { os.Exit(exitStuck) }
			if err := p.Start(); err != nil {
				return err
			}
			end := caught.wait(func() { p.Reload(path) })
			slog.Info("ends", "signal", end.String())
			return nil // at once: proxies go elsewhere, and connections end with the process
		}}
	c.Flags().StringVarP(&path, "file", "f", os.Getenv("LB_CONFIG"), "the platform's file, JSON; usually named by LB_CONFIG")
	return c
}

// readWithinLimits reads the platform's file and keeps to the limits that it names. Until they are known the runtime has one
// processor, as on the smallest machine, so that a collection while the file is read does not spread over the host's.
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
	slog.Info("keeps to its limits", "processors", runtime.GOMAXPROCS(0), "memory_mb", g.Limits.MemoryMB, "sockets", g.Limits.Sockets,
		"collections", collections())
	return g, nil
}

// restoreProcessors gives the runtime the processors it had. Where the environment did not set them it follows the limits of its
// control group again.
func restoreProcessors(given int) {
	if os.Getenv("GOMAXPROCS") != "" {
		runtime.GOMAXPROCS(given)
		return
	}
	runtime.SetDefaultGOMAXPROCS()
}

// collections is how often the runtime has collected garbage so far.
func collections() int64 {
	var stats debug.GCStats
	debug.ReadGCStats(&stats)
	return stats.NumGC
}

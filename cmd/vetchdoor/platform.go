package main

import (
	"log/slog"
	"os"

	"github.com/spf13/cobra"

	"vetchdoor/platform"
)

func platformCommand() *cobra.Command {
	var path string
	c := &cobra.Command{Use: "platform", Short: "runs a pilot on the operators' platform", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, args []string) error {
			g, err := platform.ReadConfig(path)
			if err != nil {
				return err
			}
			g.Limits.Keep()
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

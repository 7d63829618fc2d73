package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"vetchdoor/files"
	"vetchdoor/lab"
	"vetchdoor/lab/days"
)

func labCommand() *cobra.Command {
	c := &cobra.Command{Use: "lab", Short: "plays days through real pilots and proxies, with stand-ins for all else"}
	c.AddCommand(labRunCommand(), labImportCommand())
	return c
}

func labRunCommand() *cobra.Command {
	var asJSON, verbose bool
	var seed uint64
	var length time.Duration
	var logTo string
	c := &cobra.Command{
		Use: "run [DAY]",
		Short: "plays a day, one that ships (" + strings.Join(days.Names(), ", ") + ") or a file, and checks the rules on " +
			"what went over the sockets",
		Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			name := days.Default
			if len(args) > 0 {
				name = args[0]
			}
			day, err := days.Read(name)
			if err != nil {
				return err
			}
			if cmd.Flags().Changed("seed") {
				day.Seed = seed
			}
			if length > 0 {
				shorten(day, length)
			}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			end := interrupted()
			go func() {
				<-end
				cancel()
			}()
			o := lab.Options{Log: slog.New(slog.DiscardHandler), Progress: os.Stderr}
			if verbose {
				o.Log = slog.Default()
			}
			if asJSON {
				o.Progress = io.Discard
			}
			if logTo != "" {
				l, err := openLogs([]files.Log{{Network: "file", Address: logTo, Buffer: 1 << 18, Rate: 1e6}}, "vetchdoor-pilot")
				if err != nil {
					return err
				}
				defer l.close()
				o.Records = l.records
			}
			r, err := lab.Run(ctx, day, o)
			if err != nil {
				return err
			}
			if asJSON {
				b, err := json.MarshalIndent(r, "", "  ")
				if err != nil {
					return err
				}
				fmt.Fprintln(cmd.OutOrStdout(), string(b))
			} else {
				r.Print(cmd.OutOrStdout())
			}
			if !r.AllRulesKept() {
				return failure{fmt.Errorf("rules were broken")}
			}
			return nil
		},
	}
	c.Flags().BoolVar(&asJSON, "json", false, "the report as JSON")
	c.Flags().BoolVar(&verbose, "verbose", false, "the programs' own logs on standard error")
	c.Flags().StringVar(&logTo, "log", "", "the pilots' records of their decisions, added to this file (vetchdoor log show FILE)")
	c.Flags().Uint64Var(&seed, "seed", 0, "another seed than the day's")
	c.Flags().DurationVar(&length, "length", 0, "squeeze the day's clock into this")
	return c
}

// shorten squeezes a day: its troubles come and go by the same parts of it.
func shorten(d *files.Day, length time.Duration) {
	part := float64(length) / float64(d.Length)
	for i := range d.Troubles {
		t := &d.Troubles[i]
		t.At, t.Length = files.Duration(float64(t.At)*part), files.Duration(float64(t.Length)*part)
	}
	d.Length = files.Duration(length)
}

func labImportCommand() *cobra.Command {
	var shrink int
	c := &cobra.Command{
		Use:   "import BENCHDAY",
		Short: "reads a day that the bench drew and writes ours to standard output; what could not be carried over, to standard error",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			data, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			day, notes, err := lab.ImportBenchDay(args[0], data, shrink)
			if err != nil {
				return err
			}
			for _, n := range notes {
				fmt.Fprintln(cmd.ErrOrStderr(), "not carried over:", n)
			}
			b, err := json.MarshalIndent(day, "", " ")
			if err == nil {
				_, err = fmt.Fprintln(cmd.OutOrStdout(), string(b))
			}
			return err
		},
	}
	c.Flags().IntVar(&shrink, "shrink", 1, "take every N-th machine and proxy")
	return c
}

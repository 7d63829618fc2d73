// Command vetchdoor is the control service, its proxy, its stand-ins and its laboratory; a sub-command each.
package main

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"strings"

	"github.com/spf13/cobra"
)

// Exit codes.
const (
	exitGood   = 0
	exitFailed = 1 // a rule broken, a check failed
	exitBad    = 2 // bad use or bad input
	exitStuck  = 3 // a pilot's module did not come back; start it anew
)

// failure is an error that ends the program with exitFailed; every other ends it with exitBad.
type failure struct{ error }

func main() {
	catch(os.Args[1:])
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	root := newRoot()
	root.SetArgs(args)
	err := root.Execute()
	if err == nil {
		return exitGood
	}
	var failed failure
	if errors.As(err, &failed) {
		if text := failed.Error(); text != "" {
			fmt.Fprintln(os.Stderr, "vetchdoor:", text)
		}
		return exitFailed
	}
	fmt.Fprintln(os.Stderr, "vetchdoor:", strings.ReplaceAll(err.Error(), "\n", " "))
	return exitBad
}

func newRoot() *cobra.Command {
	var level, format string
	root := &cobra.Command{
		Use:           "vetchdoor",
		Short:         "tells proxies where work goes, and how much of it",
		SilenceErrors: true,
		SilenceUsage:  true,
		PersistentPreRunE: func(cmd *cobra.Command, args []string) error {
			return setLog(level, format)
		},
	}
	root.CompletionOptions.DisableDefaultCmd = true
	root.PersistentFlags().StringVar(&level, "log-level", "info", "debug, info, warn or error")
	root.PersistentFlags().StringVar(&format, "log-format", "text", "text or json")
	root.AddCommand(pilotCommand(), platformCommand(), proxyCommand(), nodeCommand(), rosterCommand(), ctlCommand(), checkCommand(), logCommand(),
		schemaCommand(), labCommand())
	return root
}

// setLog points slog at standard error.
func setLog(level, format string) error {
	var l slog.Level
	if err := l.UnmarshalText([]byte(level)); err != nil {
		return fmt.Errorf("--log-level: %q is none of debug, info, warn, error", level)
	}
	o := &slog.HandlerOptions{Level: l}
	switch format {
	case "text":
		slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, o)))
	case "json":
		slog.SetDefault(slog.New(slog.NewJSONHandler(os.Stderr, o)))
	default:
		return fmt.Errorf("--log-format: %q is neither text nor json", format)
	}
	return nil
}

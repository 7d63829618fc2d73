// Command vetchdoor runs the parts of the control service, a sub-command each: pilots, proxies, simulated servers and
// list services, the lab, and tools.
package main

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"strings"

	"github.com/spf13/cobra"
)

// Exit codes of the program.
const (
	exitOK                  = 0
	exitFailed              = 1 // a rule was broken or a check failed
	exitUsage               = 2 // invalid usage or input
	exitDecisionModuleStuck = 3 // the decision module of a pilot did not return from a call; the process must be restarted
)

// failure is an error for which the program exits with exitFailed; for any other error it exits with exitUsage.
type failure struct{ error }

func main() {
	catchSignals(os.Args[1:])
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	root := newRoot()
	root.SetArgs(args)
	err := root.Execute()
	if err == nil {
		return exitOK
	}
	var failed failure
	if errors.As(err, &failed) {
		if text := failed.Error(); text != "" {
			fmt.Fprintln(os.Stderr, "vetchdoor:", text)
		}
		return exitFailed
	}
	fmt.Fprintln(os.Stderr, "vetchdoor:", strings.ReplaceAll(err.Error(), "\n", " "))
	return exitUsage
}

func newRoot() *cobra.Command {
	var level, format string
	root := &cobra.Command{
		Use:           "vetchdoor",
		Short:         "control service that sends tables, weights and levels to proxies",
		SilenceErrors: true,
		SilenceUsage:  true,
		PersistentPreRunE: func(cmd *cobra.Command, args []string) error {
			return setLog(level, format)
		},
	}
	root.CompletionOptions.DisableDefaultCmd = true
	root.PersistentFlags().StringVar(&level, "log-level", "info", "debug, info, warn or error")
	root.PersistentFlags().StringVar(&format, "log-format", "text", "text or json")
	root.AddCommand(pilotCommand(), platformCommand(), proxyCommand(), nodeCommand(), rosterCommand(), ctlCommand(),
		checkCommand(), logCommand(), schemaCommand(), labCommand())
	return root
}

// setLog sets the default logger, which writes to standard error.
func setLog(level, format string) error {
	var l slog.Level
	if err := l.UnmarshalText([]byte(level)); err != nil {
		return fmt.Errorf("--log-level: %q is not one of debug, info, warn, error", level)
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

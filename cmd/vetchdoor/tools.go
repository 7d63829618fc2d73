package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"vetchdoor/files"
	"vetchdoor/session"
)

func ctlCommand() *cobra.Command {
	var timeout time.Duration
	c := &cobra.Command{
		Use:   "ctl ADDR COMMAND...",
		Short: "sends a command to the socket of a pilot or proxy (unix:PATH or HOST:PORT) and prints the reply",
		Args:  cobra.MinimumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			reply, err := session.Query(args[0], strings.Join(args[1:], " "), timeout)
			fmt.Fprint(cmd.OutOrStdout(), reply)
			if err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			if strings.HasPrefix(reply, "Unknown command") {
				return failure{fmt.Errorf("")}
			}
			return nil
		},
	}
	c.Flags().DurationVar(&timeout, "timeout", 5*time.Second, "for the whole reply")
	return c
}

func checkCommand() *cobra.Command {
	var asJSON bool
	c := &cobra.Command{
		Use:   "check FILE...",
		Short: "checks files of any kind against their schemas and for contradictions",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			bad, unread := 0, 0
			for _, path := range args {
				kind, err := files.Check(path)
				if err != nil {
					bad++
				}
				// A file of ours with a fault in it fails the check; one that is none of ours is bad input.
				if f := new(files.ValidationError); err != nil && (!errors.As(err, &f) || f.Pointer == "" || f.Pointer == "/kind") {
					unread++
				}
				line := path + ": good, a file of kind " + kind
				if err != nil {
					line = err.Error()
				}
				if asJSON {
					out := map[string]any{"file": path, "good": err == nil}
					if err != nil {
						out["error"] = err.Error()
					} else {
						out["kind"] = kind
					}
					b, err := json.Marshal(out)
					if err != nil {
						return err
					}
					line = string(b)
				}
				fmt.Fprintln(cmd.OutOrStdout(), line)
			}
			if bad > 0 && unread == 0 {
				return failure{fmt.Errorf("%d of %d files are not good", bad, len(args))}
			}
			if bad > 0 {
				return fmt.Errorf("%d of %d files are not good", bad, len(args))
			}
			return nil
		},
	}
	c.Flags().BoolVar(&asJSON, "json", false, "a JSON object a file")
	return c
}

func schemaCommand() *cobra.Command {
	return &cobra.Command{
		Use:       "schema KIND",
		Short:     "prints the JSON Schema of a kind of file: " + strings.Join(files.Kinds, ", "),
		Args:      cobra.ExactArgs(1),
		ValidArgs: files.Kinds,
		RunE: func(cmd *cobra.Command, args []string) error {
			b, err := files.SchemaOf(args[0])
			if err == nil {
				_, err = os.Stdout.Write(append(b, '\n'))
			}
			return err
		},
	}
}

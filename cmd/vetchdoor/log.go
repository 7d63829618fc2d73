package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"vetchdoor/logbook"
)

func logCommand() *cobra.Command {
	c := &cobra.Command{Use: "log", Short: "reads back what pilots and proxies logged",
		Long: `reads back what pilots and proxies logged, and other programs' syslog lines beside it.

A filter compares fields: kind, node, proxy, pilot, run, seq, table, op-type, reason, value, tenant, host, app, severity,
text, or any other parameter, with = != < <= > >= or ~ (a regular expression), or by "in (a, b)", joined by and, or, not and
parentheses. at compares with a time of day (20:15), a date and time, or a span since the pilot's start (90s).
  vetchdoor log show -w 'node=e17 and reason in (sick, eased) and at > 20:15' pilot.log`}
	c.AddCommand(logShowCommand(), logTailCommand(), logFollowCommand())
	return c
}

// whereFlag is the filter that all of them take.
func whereFlag(c *cobra.Command, where *string) {
	c.Flags().StringVarP(where, "where", "w", "", "a filter, see vetchdoor log --help")
}

// readBook compiles a filter and reads files; - is standard input.
func readBook(paths []string, where string) (*logbook.Log, logbook.Filter, error) {
	wanted, err := logbook.Compile(where)
	if err != nil {
		return nil, nil, err
	}
	var all []*logbook.Entry
	r := logbook.NewReader()
	for _, path := range paths {
		var in io.Reader = os.Stdin
		if path != "-" {
			f, err := os.Open(path)
			if err != nil {
				return nil, nil, err
			}
			defer f.Close()
			in = f
		}
		if err := r.ReadLines(path, in, func(e *logbook.Entry) { all = append(all, e) }); err != nil {
			return nil, nil, err
		}
	}
	return logbook.Merge(all), wanted, nil
}

func logShowCommand() *cobra.Command {
	var where, node, page string
	var raw bool
	c := &cobra.Command{Use: "show FILE...", Short: "all of it, in order, with what is missing", Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			b, wanted, err := readBook(args, where)
			if err != nil {
				return err
			}
			out := bufio.NewWriter(cmd.OutOrStdout())
			defer out.Flush()
			if page != "" {
				if node == "" {
					return fmt.Errorf("--html draws a node's evening: say which with --node")
				}
				f, err := os.Create(page)
				if err != nil {
					return err
				}
				defer f.Close()
				return b.HTML(f, node)
			}
			if node != "" {
				if err := b.Draw(out, node, 80); err != nil {
					return err
				}
			} else {
				for _, e := range b.Entries {
					if !wanted(e) {
						continue
					}
					if raw {
						fmt.Fprintln(out, e.Raw)
					} else {
						fmt.Fprintln(out, b.Format(e))
					}
				}
			}
			summary(out, b)
			return nil
		}}
	whereFlag(c, &where)
	c.Flags().StringVar(&node, "node", "", "draw this node's evening (eN)")
	c.Flags().StringVar(&page, "html", "", "write it to this file, as a page")
	c.Flags().BoolVar(&raw, "raw", false, "the lines as they were written")
	return c
}

// summary says what is missing, and why as far as the log knows.
func summary(out io.Writer, b *logbook.Log) {
	fmt.Fprintf(out, "%d entries, %d broken lines, %d there twice, %d records missing (%d suppressed and %d dropped, by the log's own word)\n",
		len(b.Entries), b.Malformed, b.Duplicates, b.Missing(), b.Suppressed, b.Lost)
	for i, g := range b.Gaps {
		if i == 20 {
			fmt.Fprintf(out, "and %d more gaps\n", len(b.Gaps)-i)
			break
		}
		fmt.Fprintln(out, g)
	}
}

func logTailCommand() *cobra.Command {
	var where string
	var count int
	c := &cobra.Command{Use: "tail FILE...", Short: "the last of it", Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			b, wanted, err := readBook(args, where)
			if err != nil {
				return err
			}
			var last []*logbook.Entry
			for _, e := range b.Entries {
				if wanted(e) {
					last = append(last, e)
				}
			}
			for _, e := range last[max(0, len(last)-count):] {
				fmt.Fprintln(cmd.OutOrStdout(), b.Format(e))
			}
			return nil
		}}
	whereFlag(c, &where)
	c.Flags().IntVarP(&count, "count", "n", 20, "how many")
	return c
}

func logFollowCommand() *cobra.Command {
	var where string
	c := &cobra.Command{Use: "follow FILE...", Short: "what is written from now on, as it comes", Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			wanted, err := logbook.Compile(where)
			if err != nil {
				return err
			}
			end := interrupted()
			var files []*logbook.Follower
			for _, path := range args {
				f, err := logbook.Follow(path)
				if err != nil {
					return err
				}
				defer f.Close()
				files = append(files, f)
			}
			b := logbook.Merge(nil)
			t := time.NewTicker(200 * time.Millisecond)
			defer t.Stop()
			for {
				for _, f := range files {
					err := f.Read(func(e *logbook.Entry) {
						if wanted(e) {
							fmt.Fprintln(cmd.OutOrStdout(), b.Format(e))
						}
					})
					if err != nil {
						return err
					}
				}
				select {
				case <-end:
					return nil
				case <-t.C:
				}
			}
		}}
	whereFlag(c, &where)
	return c
}

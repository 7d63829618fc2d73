// Package session serves the runtime API to people and scripts in the manner of HAProxy's socket: a line of commands is
// answered and the connection ends, unless "prompt" made it interactive; each reply ends with an empty line.
package session

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"vetchdoor/runtime"
	"vetchdoor/stream"
)

// Command is a command that a program answers.
type Command struct {
	Prefix string // that it begins with
	Help   string
	Do     func(w io.Writer, c runtime.Command) error
}

// Listener serves sessions.
type Listener struct {
	ln       *stream.Listener
	banner   string
	commands []Command
	open     atomic.Int64 // sessions
	stopping atomic.Bool  // each session ends once its command is answered
}

// most sessions at a time, and how long one may say nothing
const (
	mostSessions = 64
	mostIdle     = 10 * time.Minute
)

// stopWithin bounds how long a stop waits for sessions that give no command.
const stopWithin = time.Second

// Listen serves commands at an address: unix:PATH, or HOST:PORT on a loopback address.
func Listen(address, banner string, commands []Command) (*Listener, error) {
	if host, _, err := net.SplitHostPort(address); err == nil && !strings.HasPrefix(address, "unix:") {
		if ip := net.ParseIP(host); host != "localhost" && (ip == nil || !ip.IsLoopback()) {
			return nil, fmt.Errorf("listen on %s: people are served on a Unix socket or a loopback address only", address)
		}
	}
	return listen(nil, address, banner, commands)
}

// listen does so over a net; nil: sockets.
func listen(over stream.Net, address, banner string, commands []Command) (*Listener, error) {
	l := &Listener{banner: banner, commands: slices.Clone(commands)}
	slices.SortFunc(l.commands, func(a, b Command) int { return strings.Compare(a.Prefix, b.Prefix) })
	var err error
	l.ln, err = stream.Listen(over, address, func(c *stream.Conn) stream.Handler {
		if l.open.Add(1) > mostSessions {
			l.open.Add(-1)
			return nil
		}
		return &conversation{l: l, scan: runtime.NewScanner(runtime.People), idle: time.AfterFunc(mostIdle, c.Close)}
	})
	if err != nil {
		return nil, err
	}
	return l, nil
}

// Address is where it listens.
func (l *Listener) Address() string { return l.ln.Address() }

// Stop takes no new sessions and ends each there is once its command is answered, or has not come in time.
func (l *Listener) Stop() {
	l.stopping.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), stopWithin)
	defer cancel()
	l.ln.Refuse(ctx)
	for l.open.Load() > 0 && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	l.ln.Close()
}

// Close ends all sessions at once.
func (l *Listener) Close() { l.ln.Close() }

// conversation is one connection.
type conversation struct {
	l           *Listener
	scan        *runtime.Scanner
	interactive bool
	done        bool
	idle        *time.Timer // closes it
}

func (s *conversation) Closed(*stream.Conn) {
	s.idle.Stop()
	s.l.open.Add(-1)
}

func (s *conversation) Data(c *stream.Conn, b []byte) {
	if s.done {
		return
	}
	s.idle.Reset(mostIdle)
	s.scan.Feed(b)
	for !s.done {
		line, ok, err := s.scan.Next()
		if err != nil {
			_ = c.Send([]byte(err.Error() + "\n\n"))
			s.done = true
			break
		}
		if !ok {
			if s.interactive && s.scan.Waiting() {
				_ = c.Send([]byte("+ "))
			}
			return
		}
		for _, cmd := range line {
			_ = c.Send(s.answer(cmd))
		}
		if s.interactive && !s.done && !s.l.stopping.Load() {
			_ = c.Send([]byte("> "))
		} else {
			s.done = true
		}
	}
	c.CloseGracefully()
}

// answer runs one command and returns its reply.
func (s *conversation) answer(cmd runtime.Command) []byte {
	var w bytes.Buffer
	switch {
	case cmd.HasPrefix("prompt"):
		s.interactive = !s.interactive
		return []byte("\n")
	case cmd.HasPrefix("quit"):
		s.done = true
		return []byte("\n")
	case cmd.HasPrefix("help"):
		s.l.help(&w)
	default:
		if err := s.l.run(&w, cmd); err != nil {
			w.Reset()
			fmt.Fprintf(&w, "%s\n", strings.ReplaceAll(err.Error(), "\n", " "))
		}
	}
	return append(w.Bytes(), '\n')
}

func (l *Listener) help(w io.Writer) {
	fmt.Fprintf(w, "%s; the commands are:\n", l.banner)
	for _, c := range l.commands {
		fmt.Fprintf(w, "  %-28s: %s\n", c.Prefix, c.Help)
	}
	for _, c := range [][2]string{{"help", "this text"}, {"prompt", "toggles the interactive mode"}, {"quit", "ends the session"}} {
		fmt.Fprintf(w, "  %-28s: %s\n", c[0], c[1])
	}
}

// UnknownCommandError says that a command is none of the program's.
type UnknownCommandError struct{ Command string }

// Error is the reply, by whose beginning scripts know it.
func (e UnknownCommandError) Error() string {
	return fmt.Sprintf("Unknown command: %q. Try help.", e.Command)
}

// run finds the command with the longest beginning that fits.
func (l *Listener) run(w io.Writer, cmd runtime.Command) error {
	var best *Command
	for i := range l.commands {
		c := &l.commands[i]
		if cmd.HasPrefix(strings.Fields(c.Prefix)...) && (best == nil || len(c.Prefix) > len(best.Prefix)) {
			best = c
		}
	}
	if best == nil {
		return UnknownCommandError{cmd.String()}
	}
	return best.Do(w, cmd)
}

// Query sends commands to a listener and returns the replies.
func Query(address, line string, timeout time.Duration) (string, error) {
	network, at := "tcp", address
	if path, ok := strings.CutPrefix(address, "unix:"); ok {
		network, at = "unix", path
	}
	c, err := net.DialTimeout(network, at, timeout)
	if err != nil {
		return "", err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(timeout))
	if _, err := io.WriteString(c, strings.TrimSuffix(line, "\n")+"\n"); err != nil {
		return "", err
	}
	reply, err := io.ReadAll(io.LimitReader(c, 64<<20))
	return string(reply), err
}

// Typed rewrites lines of "Name: value" in the typed form of show info: position, name and process, tags, type, value.
func Typed(w io.Writer, text string) {
	for i, line := range strings.Split(strings.TrimSuffix(text, "\n"), "\n") {
		name, value, _ := strings.Cut(line, ": ")
		kind := "str"
		if _, err := strconv.ParseUint(value, 10, 64); err == nil {
			kind = "u64"
		}
		fmt.Fprintf(w, "%d.%s.1:POS:%s:%s\n", i, name, kind, value)
	}
}

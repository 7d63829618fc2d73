// Package session serves admin commands in the style of HAProxy's runtime API. A connection is closed once one line of
// commands is answered, unless the command "prompt" made it interactive. Each reply ends with an empty line. Listen is the
// entry point of a daemon, Query that of a client.
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

// Command is an admin command of a daemon.
type Command struct {
	Prefix string // words that a command line must begin with
	Help   string
	Do     func(w io.Writer, c runtime.Command) error
}

// Listener accepts connections and answers their commands.
type Listener struct {
	ln           *stream.Listener
	banner       string
	commands     []Command
	openSessions atomic.Int64 // number of open sessions
	stopping     atomic.Bool  // each session ends after its next command is answered
}

// idleTimeout is how long a session may be open without sending anything.
const idleTimeout = 10 * time.Minute

// stopTimeout bounds how long Stop waits for sessions to send their last command.
const stopTimeout = time.Second

// Listen serves commands at an address: unix:PATH, or HOST:PORT on a loopback address. It returns an error for any other host,
// because commands are not authenticated. The banner is the first line of the help command.
func Listen(address, banner string, commands []Command) (*Listener, error) {
	if host, _, err := net.SplitHostPort(address); err == nil && !strings.HasPrefix(address, "unix:") {
		if ip := net.ParseIP(host); host != "localhost" && (ip == nil || !ip.IsLoopback()) {
			return nil, fmt.Errorf("listen on %s: admin commands are served on a Unix socket or a loopback address only", address)
		}
	}
	return listenOn(nil, address, banner, commands)
}

// listenOn is Listen without the check of the address, over a given network; nil means sockets.
func listenOn(network stream.Net, address, banner string, commands []Command) (*Listener, error) {
	l := &Listener{banner: banner, commands: slices.Clone(commands)}
	slices.SortFunc(l.commands, func(a, b Command) int { return strings.Compare(a.Prefix, b.Prefix) })
	var err error
	l.ln, err = stream.Listen(network, address, l.accept)
	if err != nil {
		return nil, err
	}
	return l, nil
}

// accept opens a session.
func (l *Listener) accept(c *stream.Conn) stream.Handler {
	l.openSessions.Add(1)
	return &conversation{listener: l, scanner: runtime.NewScanner(runtime.SessionBounds), idleTimer: time.AfterFunc(idleTimeout, c.Close)}
}

// Address returns the address on which the listener accepts connections.
func (l *Listener) Address() string { return l.ln.Address() }

// Stop accepts no new sessions, and ends each open one once its next command is answered or after stopTimeout.
func (l *Listener) Stop() {
	l.stopping.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	l.ln.Refuse(ctx)
	for l.openSessions.Load() > 0 && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	l.ln.Close()
}

// Close closes the listener and all sessions immediately.
func (l *Listener) Close() { l.ln.Close() }

// conversation is the state of one session.
type conversation struct {
	listener    *Listener
	scanner     *runtime.Scanner
	interactive bool
	done        bool
	idleTimer   *time.Timer // closes the connection when it fires
}

// Closed implements stream.Handler.
func (s *conversation) Closed(*stream.Conn) {
	s.idleTimer.Stop()
	s.listener.openSessions.Add(-1)
}

// Data implements stream.Handler: it answers each complete command line received.
func (s *conversation) Data(c *stream.Conn, b []byte) {
	if s.done {
		return
	}
	s.idleTimer.Reset(idleTimeout)
	s.scanner.Feed(b)
	for !s.done {
		if !c.AwaitSent() {
			return
		}
		line, ok, err := s.scanner.Next()
		if err != nil {
			_ = c.Send([]byte(err.Error() + "\n\n"))
			s.done = true
			break
		}
		if !ok {
			if s.interactive && s.scanner.ReadingPayload() {
				_ = c.Send([]byte("+ "))
			}
			_ = c.Hold(s.scanner.Buffered())
			return
		}
		for _, cmd := range line {
			_ = c.Send(s.answer(cmd))
		}
		c.MessageDone()
		if s.interactive && !s.done && !s.listener.stopping.Load() {
			_ = c.Send([]byte("> "))
		} else {
			s.done = true
		}
	}
	c.CloseGracefully()
}

// answer runs one command and returns its reply, with the empty line that ends it.
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
		s.listener.help(&w)
	default:
		if err := s.listener.run(&w, cmd); err != nil {
			w.Reset()
			fmt.Fprintf(&w, "%s\n", strings.ReplaceAll(err.Error(), "\n", " "))
		}
	}
	return append(w.Bytes(), '\n')
}

// help writes the list of commands.
func (l *Listener) help(w io.Writer) {
	fmt.Fprintf(w, "%s; the commands are:\n", l.banner)
	for _, c := range l.commands {
		fmt.Fprintf(w, "  %-28s: %s\n", c.Prefix, c.Help)
	}
	for _, c := range [][2]string{{"help", "this text"}, {"prompt", "toggles the interactive mode"}, {"quit", "ends the session"}} {
		fmt.Fprintf(w, "  %-28s: %s\n", c[0], c[1])
	}
}

// UnknownCommandError is returned for a command that the daemon does not have.
type UnknownCommandError struct{ Command string }

// Error returns the reply. Scripts recognize it by how it begins.
func (e UnknownCommandError) Error() string {
	return fmt.Sprintf("Unknown command: %q. Try help.", e.Command)
}

// run runs the command with the longest matching prefix.
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

// Query sends a line of commands to a listener and returns the replies, at most 64 MiB. The timeout applies to the dial and
// to the rest separately.
func Query(address, line string, timeout time.Duration) (string, error) {
	network, target := "tcp", address
	if path, ok := strings.CutPrefix(address, "unix:"); ok {
		network, target = "unix", path
	}
	c, err := net.DialTimeout(network, target, timeout)
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

// WriteTyped converts lines of "Name: value" to the typed format of show info: position, name and process, tags, type, value.
func WriteTyped(w io.Writer, text string) {
	for i, line := range strings.Split(strings.TrimSuffix(text, "\n"), "\n") {
		name, value, _ := strings.Cut(line, ": ")
		kind := "str"
		if _, err := strconv.ParseUint(value, 10, 64); err == nil {
			kind = "u64"
		}
		fmt.Fprintf(w, "%d.%s.1:POS:%s:%s\n", i, name, kind, value)
	}
}

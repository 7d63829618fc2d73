package main

import (
	"log/slog"
	"os"
	"os/signal"
	"slices"
	"syscall"
)

// services lists the sub-commands that run until a signal ends them.
var services = []string{"pilot", "platform", "proxy", "node", "roster"}

// caughtSignals holds the signals of a service, which are caught even before its flags are parsed; nil for other commands.
var caughtSignals *signals

// signals holds the caught signals of a service. Each kind has its own channel, so that many signals of one kind, sent
// while the program starts and does not read them, cannot displace another.
type signals struct {
	end    chan os.Signal // receives SIGTERM or SIGINT; a second one has no effect
	reload chan os.Signal // receives SIGHUP
}

// catchSignals starts to catch signals if the arguments name a service.
func catchSignals(args []string) {
	if !slices.ContainsFunc(args, func(arg string) bool { return slices.Contains(services, arg) }) {
		return
	}
	caughtSignals = &signals{end: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(caughtSignals.reload, syscall.SIGHUP)
	signal.Notify(caughtSignals.end, syscall.SIGTERM, syscall.SIGINT)
}

// wait calls reload for each SIGHUP until a signal ends the program, and returns that signal.
func (s *signals) wait(reload func()) os.Signal {
	for {
		select {
		case end := <-s.end:
			return end
		case <-s.reload:
			reload()
		}
	}
}

// ignoreHangup handles SIGHUP in services that cannot reload their settings file: it only logs a warning, so a closed
// terminal does not end the service.
func ignoreHangup() {
	slog.Warn("ignoring SIGHUP; restart to apply a changed settings file")
}

// interrupted returns a channel that receives the signals that end a tool, including SIGHUP from a closed terminal.
func interrupted() <-chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT)
	return c
}

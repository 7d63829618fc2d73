package main

import (
	"log/slog"
	"os"
	"os/signal"
	"slices"
	"syscall"
)

// services are the sub-commands that run until a signal ends them.
var services = []string{"pilot", "platform", "proxy", "node", "roster"}

// caught are the signals of a service, which may come before it has read a flag; nil in any other command.
var caught *signals

// signals are the signals that a program takes. Each kind has a channel of its own, so that a series of one, which may come
// while the program starts and reads none, leaves no other out.
type signals struct {
	end    chan os.Signal // SIGTERM or SIGINT; a second one shortens nothing
	reload chan os.Signal // SIGHUP
}

// catch takes the signals of a service, if the arguments name one.
func catch(args []string) {
	if !slices.ContainsFunc(args, func(arg string) bool { return slices.Contains(services, arg) }) {
		return
	}
	caught = &signals{end: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(caught.reload, syscall.SIGHUP)
	signal.Notify(caught.end, syscall.SIGTERM, syscall.SIGINT)
}

// wait returns the signal that ends the program, and calls reload for each SIGHUP before.
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

// passOver is what SIGHUP means to a service that does not read its file again: a closed terminal ends nothing.
func passOver() {
	slog.Warn("SIGHUP is passed over; a changed file takes a restart")
}

// interrupted returns a channel on which the signals come that end a tool, a closed terminal's among them.
func interrupted() <-chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT)
	return c
}

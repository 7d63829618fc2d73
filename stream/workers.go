package stream

import (
	"context"
	"io"
	"time"

	"github.com/cloudwego/netpoll"
)

// netpoll's own workers exit as soon as they have no task, so that the stack grows anew for each op. The workers here stay
// for a while: a task goes to an idle worker, and to a new goroutine only if no worker is idle.

// workerIdleTimeout is how long a worker waits for its next task before it exits.
const workerIdleTimeout = 5 * time.Second

// tasks passes tasks to idle workers.
var tasks = make(chan func())

// init replaces netpoll's workers and discards its log. netpoll logs hardly anything but repeated closes, and formatting
// these reads fields of connections that other goroutines write at the same time; with io.Discard as output it formats
// nothing.
func init() {
	err := netpoll.Configure(netpoll.Config{LoggerOutput: io.Discard, Runner: func(_ context.Context, f func()) {
		select {
		case tasks <- f:
		default:
			go work(f)
		}
	}})
	if err != nil {
		panic(err) // Configure checks only numeric settings, and none is set here
	}
}

// work runs a task and then further ones, until none has come for workerIdleTimeout.
func work(f func()) {
	t := time.NewTimer(workerIdleTimeout)
	defer t.Stop()
	for {
		f()
		t.Reset(workerIdleTimeout)
		select {
		case f = <-tasks:
		case <-t.C:
			return
		}
	}
}

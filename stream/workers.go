package stream

import (
	"sync/atomic"
	"time"
)

// Request handlers and callbacks run in workers that stay for a while, so that the stack does not grow anew for each
// message: a task goes to an idle worker, and to a new goroutine only if no worker is idle.

// workerIdleTimeout is how long a worker waits for its next task before it exits.
const workerIdleTimeout = 5 * time.Second

// maxIdleWorkers limits the workers that wait for a task.
const maxIdleWorkers = 64

var (
	tasks       = make(chan func()) // passes tasks to idle workers
	idleWorkers atomic.Int64
)

// runTask runs a task in a worker.
func runTask(f func()) {
	select {
	case tasks <- f:
	default:
		go work(f)
	}
}

// work runs a task and then further ones, until none has come for workerIdleTimeout or enough others wait for one.
func work(f func()) {
	t := time.NewTimer(workerIdleTimeout)
	defer t.Stop()
	for {
		f()
		if idleWorkers.Add(1) > maxIdleWorkers {
			idleWorkers.Add(-1)
			return
		}
		t.Reset(workerIdleTimeout)
		select {
		case f = <-tasks:
			idleWorkers.Add(-1)
		case <-t.C:
			idleWorkers.Add(-1)
			return
		}
	}
}

package stream

import (
	"context"
	"io"
	"time"

	"github.com/cloudwego/netpoll"
)

// netpoll's own workers end as soon as nothing waits for them, so that each op grows a new stack. Ours stay for a while:
// a task goes to one that waits, and only without one to a new goroutine.

// stay is how long a worker waits for its next task.
const stay = 5 * time.Second

var tasks = make(chan func())

// netpoll logs little but closing twice what is closed, and reads connections that others change as it does; to nowhere it
// formats nothing.
func init() {
	err := netpoll.Configure(netpoll.Config{LoggerOutput: io.Discard, Runner: func(_ context.Context, f func()) {
		select {
		case tasks <- f:
		default:
			go work(f)
		}
	}})
	if err != nil {
		panic(err) // only of numbers that are not given
	}
}

func work(f func()) {
	t := time.NewTimer(stay)
	defer t.Stop()
	for {
		f()
		t.Reset(stay)
		select {
		case f = <-tasks:
		case <-t.C:
			return
		}
	}
}

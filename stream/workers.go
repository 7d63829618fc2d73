package stream

import (
	"context"
	"log/slog"
	"strings"
	"time"

	"github.com/cloudwego/netpoll"
)

// netpoll's own workers end as soon as nothing waits for them, so that each op grows a new stack. Ours stay for a while:
// a task goes to one that waits, and only without one to a new goroutine.

// stay is how long a worker waits for its next task.
const stay = 5 * time.Second

var tasks = make(chan func())

func init() {
	err := netpoll.Configure(netpoll.Config{LoggerOutput: debug{}, Runner: func(_ context.Context, f func()) {
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

// debug takes what netpoll has to say, most of it about closing twice what is closed.
type debug struct{}

func (debug) Write(b []byte) (int, error) {
	slog.Debug("netpoll", "says", strings.TrimSpace(string(b)))
	return len(b), nil
}

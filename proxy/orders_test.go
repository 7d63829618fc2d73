package proxy

import (
	"log/slog"
	"testing"
	"time"

	"vetchdoor/runtime"
)

// A welcome that is read while its stream ends makes no stream of it: sums would go nowhere until the next one.
func TestLateWelcome(t *testing.T) {
	p := start(t, nil)
	p.orders.end()
	l := &link{o: p.orders, scan: runtime.NewScanner(runtime.Orders), queue: make(chan *runtime.Message, 1), closed: make(chan struct{}),
		greets: make(chan struct{}), last: time.Now()}
	l.o.log = slog.New(slog.DiscardHandler)
	l.Closed(nil)
	l.Data(nil, runtime.Welcome{Pilot: "p", Run: 1, Wire: runtime.Wire}.Append(nil))
	if p.orders.joined() {
		t.Error("joined by a stream that is over")
	}
}

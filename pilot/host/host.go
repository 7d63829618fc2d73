// Package host runs one decision module on behalf of a daemon. It owns the event loop to which all state belongs, passes
// events to the module in one batch per tick, implements the module's timers, recovers from its panics and detects when
// it hangs. New, Run and Post are the entry points. The daemon converts received bytes to events and orders to bytes;
// this package makes no control decisions.
package host

import (
	"fmt"
	"log/slog"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"vetchdoor/control"
	"vetchdoor/policy"
)

// Decider is the interface of the decision module. Tests substitute their own implementation.
type Decider interface {
	Decide(now time.Duration, events []control.Event) []control.Order
}

// Callbacks is implemented by the daemon that runs the module. All methods are called on the loop.
type Callbacks interface {
	InitialEvents() []control.Event                    // events that a new module gets after control.Start
	Execute(now time.Duration, orders []control.Order) // carries out the orders of one Decide call except SetTimer
	HandlePanic()                                      // called after a panic of the module, whose state is lost
}

// Host runs a module. Its exported settings and callbacks are set before Run.
type Host struct {
	Config         control.Config
	Seed           uint64
	Log            *slog.Logger
	SilenceTimeout time.Duration  // proxies consider the pilot dead after this; the module counts as hung after half of it
	OnStuck        func()         // if not nil, called once when the module hangs; the process must exit then
	NewDecider     func() Decider // creates the module; tests replace it
	Callbacks      Callbacks

	epoch         time.Time
	inbox         chan func()
	stop          chan struct{}
	stopped       chan struct{}
	stopOnce      sync.Once
	loopClaimed   atomic.Bool  // set by Run, or by Stop if Run was never called
	moduleEntered atomic.Int64 // time since epoch, in ns, at which the running Decide call began; 0 if none is running

	// The fields below are used only on the loop.
	module     Decider
	generation int // number of modules started, used to drop timers of earlier modules
	events     []control.Event
	batchTimer *time.Timer   // fires at the tick at which the queued events are due
	Batches    uint64        // number of Decide calls
	DecideTime time.Duration // total duration of the Decide calls
	Panics     uint64        // number of Decide calls that panicked
}

// New returns a host with the default module and a silence timeout of 10 s. A tick that is not positive becomes 5 ms.
// Now counts from this call.
func New(config control.Config, seed uint64, log *slog.Logger) *Host {
	if config.Tick <= 0 {
		config.Tick = 5 * time.Millisecond
	}
	return &Host{Config: config, Seed: seed, Log: log, SilenceTimeout: 10 * time.Second, epoch: time.Now(),
		inbox: make(chan func(), 1024), stop: make(chan struct{}), stopped: make(chan struct{}),
		NewDecider: func() Decider { return &policy.Assigner{} }}
}

// Epoch returns the wall-clock time at which Now is zero.
func (h *Host) Epoch() time.Time { return h.epoch }

// Now returns the time since Epoch. The module gets no other clock.
func (h *Host) Now() time.Duration { return time.Since(h.epoch) }

// Stopping returns a channel that is closed when Stop is called.
func (h *Host) Stopping() <-chan struct{} { return h.stop }

// Stopped returns a channel that is closed when the loop has ended.
func (h *Host) Stopped() <-chan struct{} { return h.stopped }

// Stop ends the loop and waits until it has ended. If Run was never called, for example because the daemon failed to start,
// Stop returns at once, and so does a later Run.
func (h *Host) Stop() {
	h.stopOnce.Do(func() {
		close(h.stop)
		if h.loopClaimed.CompareAndSwap(false, true) {
			close(h.stopped)
		}
	})
	<-h.stopped
}

// Post queues f to run on the loop, waiting while the queue is full. It reports false if the loop has been stopped.
func (h *Host) Post(f func()) bool {
	select {
	case <-h.stop:
		return false
	default:
	}
	select {
	case h.inbox <- f:
		return true
	case <-h.stop:
		return false
	}
}

// After runs f on the loop once d has passed.
func (h *Host) After(d time.Duration, f func()) *time.Timer {
	return time.AfterFunc(d, func() { h.Post(f) })
}

// Every runs f on the loop at the interval d until Stop.
func (h *Host) Every(d time.Duration, f func()) {
	go func() {
		ticker := time.NewTicker(d)
		defer ticker.Stop()
		for {
			select {
			case <-h.stop:
				return
			case <-ticker.C:
				h.Post(f)
			}
		}
	}()
}

// Run starts a module, unless StartModule was called before, and runs the loop until Stop.
func (h *Host) Run() {
	if !h.loopClaimed.CompareAndSwap(false, true) {
		return
	}
	defer close(h.stopped)
	h.batchTimer = time.NewTimer(time.Hour)
	defer h.batchTimer.Stop()
	if h.module == nil {
		h.StartModule()
	}
	h.decide()
	for {
		select {
		case <-h.stop:
			return
		case f := <-h.inbox:
			f()
		case <-h.batchTimer.C:
			h.decide()
		}
	}
}

// Enqueue adds an event to the batch that the module gets at the next tick. It must be called on the loop.
func (h *Host) Enqueue(e control.Event) {
	if h.events = append(h.events, e); len(h.events) == 1 && h.batchTimer != nil {
		h.batchTimer.Reset(h.Config.Tick)
	}
}

// Pending returns the events queued for the next batch.
func (h *Host) Pending() []control.Event { return h.events }

// StartModule replaces the module with a new one and queues control.Start and the initial events from the callbacks for
// it. Events queued for the old module are dropped.
func (h *Host) StartModule() {
	h.module = h.NewDecider()
	h.generation++
	h.events = append([]control.Event{control.Start{Config: h.Config, Seed: h.Seed}}, h.Callbacks.InitialEvents()...)
	h.Seed++
	if h.batchTimer != nil {
		h.batchTimer.Reset(h.Config.Tick)
	}
}

// decide passes the queued events to the module, schedules the timers that it orders and passes its other
// orders to Callbacks.Execute.
func (h *Host) decide() {
	events := h.events
	h.events = nil
	if len(events) == 0 {
		return
	}
	now := h.Now()
	orders, panicValue := h.CallModule(now, events)
	h.DecideTime += h.Now() - now
	h.Batches++
	if panicValue != nil {
		h.Panics++
		h.Callbacks.HandlePanic()
		return
	}
	others := orders[:0:0]
	for _, o := range orders {
		if timer, ok := o.(control.SetTimer); ok {
			h.scheduleTimer(timer)
		} else {
			others = append(others, o)
		}
	}
	h.Callbacks.Execute(now, others)
}

// scheduleTimer queues a control.TimerFired event once the delay of a control.SetTimer order has passed, unless the module has
// been replaced since.
func (h *Host) scheduleTimer(w control.SetTimer) {
	generation := h.generation
	h.After(w.After, func() {
		if h.generation == generation {
			h.Enqueue(control.TimerFired{Label: w.Label})
		}
	})
}

// CallModule calls the module's Decide. If Decide panics, CallModule logs the panic and returns the recovered value, which
// is nil otherwise.
func (h *Host) CallModule(now time.Duration, events []control.Event) (orders []control.Order, panicValue any) {
	defer func() {
		if panicValue = recover(); panicValue != nil {
			h.Log.Error("decision module panicked", "panic", fmt.Sprint(panicValue), "now", now, "events", formatEvents(events),
				"stack", string(debug.Stack()))
		}
	}()
	h.moduleEntered.Store(max(1, int64(h.Now())))
	defer h.moduleEntered.Store(0)
	return h.module.Decide(now, events), nil
}

// RunWatchdog returns when the loop has ended, or when a Decide call has lasted for half of SilenceTimeout; in the latter
// case it logs all stacks and calls OnStuck. It also runs while Stop waits for the loop, since Stop would wait for a hung
// module indefinitely.
func (h *Host) RunWatchdog() {
	ticker := time.NewTicker(max(h.SilenceTimeout/40, time.Millisecond))
	defer ticker.Stop()
	for {
		select {
		case <-h.stopped:
			return
		case <-ticker.C:
		}
		entered := time.Duration(h.moduleEntered.Load())
		if entered == 0 || h.Now()-entered < h.SilenceTimeout/2 {
			continue
		}
		stacks := make([]byte, 64<<10)
		stacks = stacks[:runtime.Stack(stacks, true)]
		h.Log.Error("decision module hangs; the process must exit", "for", h.Now()-entered, "stacks", string(stacks))
		if h.OnStuck != nil {
			h.OnStuck()
		}
		return
	}
}

// formatEvents formats events for the log and truncates the text after 4096 bytes.
func formatEvents(events []control.Event) string {
	const maxBytes = 4096
	text := ""
	for i, e := range events {
		if len(text) > maxBytes {
			return fmt.Sprintf("%s; and %d more events", text[:maxBytes], len(events)-i)
		}
		text += fmt.Sprintf("%T%+v; ", e, e)
	}
	return text
}

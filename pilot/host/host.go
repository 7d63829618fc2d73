// Package host runs one decision module for whoever fronts it: it keeps the loop that owns all state, hands the module
// what happened in one batch a tick, carries its wakes, and guards against its panic and its hang. New, Run and Post are
// the way in; a front turns bytes into events and orders into bytes. Nothing is decided here.
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

// Decider is the module's one entry point; tests put another in its place.
type Decider interface {
	Decide(now time.Duration, events []control.Event) []control.Order
}

// Front is what the loop calls of whoever fronts the module.
type Front interface {
	Begin() []control.Event                          // what a new module is told after its start
	Carry(now time.Duration, orders []control.Order) // the orders of one call; wakes are left out
	Panicked()                                       // the module did; what it ordered before is no longer known
}

// Host runs a module. Its fields are set before Run.
type Host struct {
	Facts          control.Facts
	Seed           uint64
	Log            *slog.Logger
	SilenceTimeout time.Duration // the module counts as stuck after half of it
	Stuck          func()        // nil, or called once then; nothing in this process can mend that
	NewDecider     func() Decider
	Front          Front

	born     time.Time
	inbox    chan func()
	stop     chan struct{}
	stopped  chan struct{}
	ending   sync.Once
	claimed  atomic.Bool  // by Run, or by Stop where Run was never called
	inModule atomic.Int64 // when the module was last called, since born; 0: it came back

	// What follows is the loop's own.
	module   Decider
	run      int // counts modules, so that an old one's wakes are known for such
	events   []control.Event
	batch    *time.Timer // set while events wait for their tick
	Batches  uint64
	Deciding time.Duration
	Panics   uint64
}

// New makes a host; its time begins now.
func New(f control.Facts, seed uint64, log *slog.Logger) *Host {
	if f.Tick <= 0 {
		f.Tick = 5 * time.Millisecond
	}
	return &Host{Facts: f, Seed: seed, Log: log, SilenceTimeout: 10 * time.Second, born: time.Now(), inbox: make(chan func(), 1024),
		stop: make(chan struct{}), stopped: make(chan struct{}), NewDecider: func() Decider { return &policy.Assigner{} }}
}

// Born is when its time began.
func (h *Host) Born() time.Time { return h.born }

// Now is the time since then, which is all that the module knows.
func (h *Host) Now() time.Duration { return time.Since(h.born) }

// Stopping is closed once it is to end, Stopped once the loop has.
func (h *Host) Stopping() <-chan struct{} { return h.stop }
func (h *Host) Stopped() <-chan struct{}  { return h.stopped }

// Stop ends the loop and waits for it. Where Run was never called, as after a start that failed, there is no loop to wait for,
// and a later Run returns at once.
func (h *Host) Stop() {
	h.ending.Do(func() {
		close(h.stop)
		if h.claimed.CompareAndSwap(false, true) {
			close(h.stopped)
		}
	})
	<-h.stopped
}

// Post has the loop run f; false if it has ended.
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

// After has the loop run f in a while.
func (h *Host) After(d time.Duration, f func()) *time.Timer {
	return time.AfterFunc(d, func() { h.Post(f) })
}

// Every has the loop run f again and again, until the loop ends.
func (h *Host) Every(d time.Duration, f func()) {
	go func() {
		t := time.NewTicker(d)
		defer t.Stop()
		for {
			select {
			case <-h.stop:
				return
			case <-t.C:
				h.Post(f)
			}
		}
	}()
}

// Run begins a module and runs the loop until Stop.
func (h *Host) Run() {
	if !h.claimed.CompareAndSwap(false, true) {
		return
	}
	defer close(h.stopped)
	h.batch = time.NewTimer(time.Hour)
	defer h.batch.Stop()
	if h.module == nil {
		h.Fresh()
	}
	h.decide()
	for {
		select {
		case <-h.stop:
			return
		case f := <-h.inbox:
			f()
		case <-h.batch.C:
			h.decide()
		}
	}
}

// Event keeps an event for the batch at the next tick.
func (h *Host) Event(e control.Event) {
	if h.events = append(h.events, e); len(h.events) == 1 && h.batch != nil {
		h.batch.Reset(h.Facts.Tick)
	}
}

// Pending are the events of the batch that waits.
func (h *Host) Pending() []control.Event { return h.events }

// Fresh begins a module anew: it is told of its start and of what its front says.
func (h *Host) Fresh() {
	h.module = h.NewDecider()
	h.run++
	h.events = append([]control.Event{control.Start{Facts: h.Facts, Seed: h.Seed}}, h.Front.Begin()...)
	h.Seed++
	if h.batch != nil {
		h.batch.Reset(h.Facts.Tick)
	}
}

// decide hands the module its batch and has the front carry out what it orders.
func (h *Host) decide() {
	events := h.events
	h.events = nil
	if len(events) == 0 {
		return
	}
	now := h.Now()
	orders, fault := h.CallModule(now, events)
	h.Deciding += h.Now() - now
	h.Batches++
	if fault != nil {
		h.Panics++
		h.Front.Panicked()
		return
	}
	rest := orders[:0:0]
	for _, o := range orders {
		if w, ok := o.(control.Wake); ok {
			h.wake(w)
		} else {
			rest = append(rest, o)
		}
	}
	h.Front.Carry(now, rest)
}

func (h *Host) wake(w control.Wake) {
	run := h.run
	h.After(w.After, func() {
		if h.run == run {
			h.Event(control.Ring{Label: w.Label})
		}
	})
}

// CallModule runs the module; a panic in it becomes a fault.
func (h *Host) CallModule(now time.Duration, events []control.Event) (orders []control.Order, fault any) {
	defer func() {
		if fault = recover(); fault != nil {
			h.Log.Error("the module panicked", "panic", fmt.Sprint(fault), "now", now, "events", describe(events),
				"stack", string(debug.Stack()))
		}
	}()
	h.inModule.Store(max(1, int64(h.Now())))
	defer h.inModule.Store(0)
	return h.module.Decide(now, events), nil
}

// Guard watches the module from beside the loop, for as long as that runs: an end waits for the loop too.
func (h *Host) Guard() {
	t := time.NewTicker(max(h.SilenceTimeout/40, time.Millisecond))
	defer t.Stop()
	for {
		select {
		case <-h.stopped:
			return
		case <-t.C:
		}
		since := time.Duration(h.inModule.Load())
		if since == 0 || h.Now()-since < h.SilenceTimeout/2 {
			continue
		}
		stacks := make([]byte, 64<<10)
		stacks = stacks[:runtime.Stack(stacks, true)]
		h.Log.Error("the module does not come back; this process must end", "for", h.Now()-since, "stacks", string(stacks))
		if h.Stuck != nil {
			h.Stuck()
		}
		return
	}
}

// describe writes events for the log, the first of them whole.
func describe(events []control.Event) string {
	const most = 4096
	s := ""
	for i, e := range events {
		if len(s) > most {
			return fmt.Sprintf("%s; and %d more", s[:most], len(events)-i)
		}
		s += fmt.Sprintf("%T%+v; ", e, e)
	}
	return s
}

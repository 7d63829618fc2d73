package host

import (
	"log/slog"
	"slices"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"vetchdoor/control"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// recordingModule is a decision module and the Callbacks of its host. It records the calls of both interfaces.
type recordingModule struct {
	mu         sync.Mutex
	batches    [][]control.Event
	executed   []control.Order
	panics     int
	host       *Host
	nextOrders []control.Order
}

func (s *recordingModule) Decide(_ time.Duration, events []control.Event) []control.Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.batches = append(s.batches, events)
	if slices.Contains(events, control.Event(control.TimerFired{Label: 666})) {
		panic("panic requested by the test")
	}
	out := s.nextOrders
	s.nextOrders = nil
	return out
}

func (s *recordingModule) InitialEvents() []control.Event {
	return []control.Event{control.Listing{Kind: control.Cached}}
}

func (s *recordingModule) Execute(_ time.Duration, orders []control.Order) {
	s.mu.Lock()
	s.executed = append(s.executed, orders...)
	s.mu.Unlock()
}

func (s *recordingModule) HandlePanic() {
	s.mu.Lock()
	s.panics++
	s.mu.Unlock()
	s.host.StartModule()
}

// waitFor waits until done, which is called with mu held, returns true. It fails the test after 20 s.
func (s *recordingModule) waitFor(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		s.mu.Lock()
		ok := done()
		s.mu.Unlock()
		if ok {
			return
		}
	}
	t.Fatal("timed out waiting for ", what)
}

// countEvents returns the number of events that match. The caller must hold mu.
func (s *recordingModule) countEvents(match func(control.Event) bool) (n int) {
	for _, b := range s.batches {
		for _, e := range b {
			if match(e) {
				n++
			}
		}
	}
	return n
}

// startHost runs a host with a recordingModule whose first reply consists of a SetTimer and a LogMessage order.
func startHost(t *testing.T) *recordingModule {
	s := &recordingModule{}
	s.host = New(control.Config{Tick: time.Millisecond}, 7, slog.New(slog.DiscardHandler))
	s.host.Callbacks, s.host.NewDecider = s, func() Decider { return s }
	s.nextOrders = []control.Order{control.SetTimer{After: time.Millisecond, Label: 5}, control.LogMessage{Text: "x"}}
	go s.host.Run()
	t.Cleanup(s.host.Stop)
	return s
}

// The first batch consists of Start and the initial events. A SetTimer order results in a TimerFired event and is not
// passed to Execute.
func TestStartAndWake(t *testing.T) {
	s := startHost(t)
	s.waitFor(t, "the Ring event", func() bool {
		return s.countEvents(func(e control.Event) bool { return e == control.TimerFired{Label: 5} }) == 1
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	first := s.batches[0]
	if start, ok := first[0].(control.Start); !ok || start.Seed != 7 || len(first) != 2 {
		t.Errorf("%+v", first)
	}
	if len(s.executed) != 1 || s.executed[0] != control.Order(control.LogMessage{Text: "x"}) {
		t.Errorf("%+v", s.executed)
	}
}

// Events that are queued within one tick arrive in one batch and in order.
func TestOneBatchPerTick(t *testing.T) {
	s := startHost(t)
	s.host.Post(func() {
		for i := range uint32(9) {
			s.host.Enqueue(control.TimerFired{Label: 100 + i})
		}
	})
	s.waitFor(t, "one batch with nine Ring events", func() bool {
		return slices.ContainsFunc(s.batches, func(b []control.Event) bool {
			return len(b) >= 9 && b[0] == control.Event(control.TimerFired{Label: 100}) && b[8] == control.Event(control.TimerFired{Label: 108})
		})
	})
}

// After a panic a new module is started. Timers that the old module set do not fire in the new one.
func TestPanicStartsNewModule(t *testing.T) {
	s := startHost(t)
	s.mu.Lock()
	s.nextOrders = []control.Order{control.SetTimer{After: 50 * time.Millisecond, Label: 77}}
	s.mu.Unlock()
	s.host.Post(func() { s.host.Enqueue(control.TimerFired{Label: 1}) })
	s.waitFor(t, "the Wake order to be returned", func() bool { return s.nextOrders == nil })
	s.host.Post(func() { s.host.Enqueue(control.TimerFired{Label: 666}) })
	s.waitFor(t, "the Start event of the second module", func() bool {
		return s.countEvents(func(e control.Event) bool { x, ok := e.(control.Start); return ok && x.Seed == 8 }) == 1
	})
	s.host.Post(func() { s.host.scheduleTimer(control.SetTimer{After: 100 * time.Millisecond, Label: 78}) })
	s.waitFor(t, "the Ring event of the second module", func() bool {
		return s.countEvents(func(e control.Event) bool { return e == control.TimerFired{Label: 78} }) == 1
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.panics != 1 || s.countEvents(func(e control.Event) bool { return e == control.TimerFired{Label: 77} }) > 0 {
		t.Errorf("%d panics reported, or a Ring of the old module reached the new one", s.panics)
	}
}

// Stop returns at once, also when called again, if Run was never called. A later Run returns at once.
func TestStopWithoutRun(t *testing.T) {
	h := New(control.Config{}, 1, slog.New(slog.DiscardHandler))
	h.Stop()
	h.Stop()
	h.Run()
	if h.Post(func() {}) {
		t.Error("Post accepted a function after Stop")
	}
}

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

// script is a module, and the front of a host, that notes what happens to it.
type script struct {
	mu       sync.Mutex
	batches  [][]control.Event
	carried  []control.Order
	panicked int
	host     *Host
	next     []control.Order
}

func (s *script) Decide(_ time.Duration, events []control.Event) []control.Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.batches = append(s.batches, events)
	if slices.Contains(events, control.Event(control.Ring{Label: 666})) {
		panic("as the test asked")
	}
	out := s.next
	s.next = nil
	return out
}

func (s *script) Begin() []control.Event {
	return []control.Event{control.Listing{Kind: control.Cached}}
}

func (s *script) Carry(_ time.Duration, orders []control.Order) {
	s.mu.Lock()
	s.carried = append(s.carried, orders...)
	s.mu.Unlock()
}

func (s *script) Panicked() {
	s.mu.Lock()
	s.panicked++
	s.mu.Unlock()
	s.host.Fresh()
}

func (s *script) until(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		s.mu.Lock()
		ok := done()
		s.mu.Unlock()
		if ok {
			return
		}
	}
	t.Fatal("never: ", what)
}

func (s *script) count(is func(control.Event) bool) (n int) {
	for _, b := range s.batches {
		for _, e := range b {
			if is(e) {
				n++
			}
		}
	}
	return n
}

func begin(t *testing.T) *script {
	s := &script{}
	s.host = New(control.Facts{Tick: time.Millisecond}, 7, slog.New(slog.DiscardHandler))
	s.host.Front, s.host.NewDecider = s, func() Decider { return s }
	s.next = []control.Order{control.Wake{After: time.Millisecond, Label: 5}, control.Note{Text: "x"}}
	go s.host.Run()
	t.Cleanup(s.host.Stop)
	return s
}

// The first batch is the start and what the front says; a wake comes back as a ring and is no order for the front.
func TestStartAndWake(t *testing.T) {
	s := begin(t)
	s.until(t, "a ring", func() bool { return s.count(func(e control.Event) bool { return e == control.Ring{Label: 5} }) == 1 })
	s.mu.Lock()
	defer s.mu.Unlock()
	first := s.batches[0]
	if start, ok := first[0].(control.Start); !ok || start.Seed != 7 || len(first) != 2 {
		t.Errorf("%+v", first)
	}
	if len(s.carried) != 1 || s.carried[0] != control.Order(control.Note{Text: "x"}) {
		t.Errorf("%+v", s.carried)
	}
}

// What happens within a tick is one batch, in order.
func TestOneBatchATick(t *testing.T) {
	s := begin(t)
	s.host.Post(func() {
		for i := range uint32(9) {
			s.host.Event(control.Ring{Label: 100 + i})
		}
	})
	s.until(t, "nine rings", func() bool {
		return slices.ContainsFunc(s.batches, func(b []control.Event) bool {
			return len(b) >= 9 && b[0] == control.Event(control.Ring{Label: 100}) && b[8] == control.Event(control.Ring{Label: 108})
		})
	})
}

// After a panic a new module begins; the wakes of the old one never come.
func TestPanicBeginsAnew(t *testing.T) {
	s := begin(t)
	s.mu.Lock()
	s.next = []control.Order{control.Wake{After: 50 * time.Millisecond, Label: 77}}
	s.mu.Unlock()
	s.host.Post(func() { s.host.Event(control.Ring{Label: 1}) })
	s.until(t, "asked for", func() bool { return s.next == nil })
	s.host.Post(func() { s.host.Event(control.Ring{Label: 666}) })
	s.until(t, "a second start", func() bool {
		return s.count(func(e control.Event) bool { x, ok := e.(control.Start); return ok && x.Seed == 8 }) == 1
	})
	s.host.Post(func() { s.host.wake(control.Wake{After: 100 * time.Millisecond, Label: 78}) })
	s.until(t, "the new one's wake", func() bool { return s.count(func(e control.Event) bool { return e == control.Ring{Label: 78} }) == 1 })
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.panicked != 1 || s.count(func(e control.Event) bool { return e == control.Ring{Label: 77} }) > 0 {
		t.Errorf("%d panics, or a wake of the old module came", s.panicked)
	}
}

// A loop that never ran is stopped without waiting for it, twice, and does not run after that.
func TestStopWithoutRun(t *testing.T) {
	h := New(control.Facts{}, 1, slog.New(slog.DiscardHandler))
	h.Stop()
	h.Stop()
	h.Run()
	if h.Post(func() {}) {
		t.Error("it takes a post")
	}
}

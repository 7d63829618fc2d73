package node

import (
	"sync"
	"time"

	"vetchdoor/control"
)

// Arrival is a try that reached a node.
type Arrival struct {
	At       time.Duration
	Endpoint control.EndpointID
	Proxy    int // by its Via field; below 0: none
	Op       uint64
	Try      int // the client's own, from 0; all tries of one are the proxy's
	OpType   int
	Work     time.Duration
	Accepted bool // not turned away unrun
}

// Effect is an op that took effect.
type Effect struct {
	At        time.Duration
	ArrivedAt time.Duration // the try that had it, at its server
	Endpoint  control.EndpointID
	Op        uint64
	OpType    int
}

// Crash is a cold node that fell over.
type Crash struct {
	At       time.Duration
	Endpoint control.EndpointID
}

// Ledger is what the nodes of a day saw and did, the truth that rules are checked against.
type Ledger struct {
	mu       sync.Mutex
	from     time.Time
	arrivals []Arrival
	effects  []Effect
	falls    []Crash
	mixed    []string                    // what was seen of requests and answers that were mixed with others
	memory   map[memoryKey]time.Duration // when a key first arrived in a group
	wasted   time.Duration               // work that served no answer
	worked   time.Duration
}

type memoryKey struct {
	group string
	key   string
}

// NewLedger begins one; times count from now.
func NewLedger() *Ledger { return &Ledger{from: time.Now(), memory: map[memoryKey]time.Duration{}} }

// StartTime is when its times begin.
func (l *Ledger) StartTime() time.Time { return l.from }

func (l *Ledger) now() time.Duration { return time.Since(l.from) }

func (l *Ledger) arrived(a Arrival) {
	l.mu.Lock()
	l.arrivals = append(l.arrivals, a)
	l.mu.Unlock()
}

func (l *Ledger) fell(f Crash) {
	l.mu.Lock()
	l.falls = append(l.falls, f)
	l.mu.Unlock()
}

func (l *Ledger) spent(work time.Duration, wasted bool) {
	l.mu.Lock()
	l.worked += work
	if wasted {
		l.wasted += work
	}
	l.mu.Unlock()
}

// effect books an op that ran to its end. One that bears a key has no effect where its group met the key less than a
// window before its arrival.
func (l *Ledger) effect(e Effect, group, key string, window time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if key != "" && window > 0 {
		k := memoryKey{group, key}
		if first, ok := l.memory[k]; ok && e.ArrivedAt-first < window {
			return
		}
		l.memory[k] = e.ArrivedAt
	}
	l.effects = append(l.effects, e)
}

// Arrivals returns the tries so far, in the order in which they came.
func (l *Ledger) Arrivals() []Arrival {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Arrival(nil), l.arrivals...)
}

// Effects returns the effects so far.
func (l *Ledger) Effects() []Effect {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Effect(nil), l.effects...)
}

// Crashes returns the nodes that fell over.
func (l *Ledger) Crashes() []Crash {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Crash(nil), l.falls...)
}

// RecordMixUp notes a request or an answer that was mixed with another one.
func (l *Ledger) RecordMixUp(what string) {
	const most = 100
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.mixed) < most {
		l.mixed = append(l.mixed, what)
	}
}

// MixUps returns what was noted of mixed requests and answers.
func (l *Ledger) MixUps() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.mixed...)
}

// Work returns all work done and the part of it that served no answer.
func (l *Ledger) Work() (all, wasted time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.worked, l.wasted
}

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
	Proxy    int // ID from the Via header field; -1 without one
	Op       uint64
	Try      int // the client's try number, from 0; retries by the proxy keep it
	OpType   int
	Work     time.Duration
	Accepted bool // not refused without being run
}

// Effect is an op that took effect at a node.
type Effect struct {
	At        time.Duration
	ArrivedAt time.Duration // arrival at the node of the try that took effect
	Endpoint  control.EndpointID
	Op        uint64
	OpType    int
}

// Crash is the crash of a cold node that received more work than it survives.
type Crash struct {
	At       time.Duration
	Endpoint control.EndpointID
}

// Ledger records the arrivals, effects and crashes at the nodes of a run. The checks compare the behaviour of pilots
// and proxies with it.
type Ledger struct {
	mu             sync.Mutex
	countOnly      bool // arrivals and effects are counted and not kept
	arrivalCount   int
	effectCount    int
	longestWindow  time.Duration // of the effects with a key so far
	purgeAt        int           // number of effectArrivals at which old ones are dropped
	start          time.Time
	arrivals       []Arrival
	effects        []Effect
	crashes        []Crash
	mixUps         []string                   // descriptions of requests and answers with parts of others
	effectArrivals map[dedupKey]time.Duration // arrival time of the last effect, by group and key
	wasted         time.Duration              // work that led to no delivered answer, such as handshakes
	worked         time.Duration
}

type dedupKey struct {
	group string
	key   string
}

// NewLedger makes an empty ledger whose times count from now.
func NewLedger() *Ledger {
	return &Ledger{start: time.Now(), effectArrivals: map[dedupKey]time.Duration{}}
}

// NewCountingLedger makes an empty ledger that counts arrivals and effects and does not keep them, for servers that run
// for long.
func NewCountingLedger() *Ledger {
	l := NewLedger()
	l.countOnly = true
	return l
}

// Counts returns the numbers of arrivals and effects so far.
func (l *Ledger) Counts() (arrivals, effects int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.arrivalCount, l.effectCount
}

// StartTime returns the time from which the times in the ledger count.
func (l *Ledger) StartTime() time.Time { return l.start }

func (l *Ledger) now() time.Duration { return time.Since(l.start) }

func (l *Ledger) recordArrival(a Arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivalCount++
	if !l.countOnly {
		l.arrivals = append(l.arrivals, a)
	}
}

func (l *Ledger) recordCrash(f Crash) {
	l.mu.Lock()
	l.crashes = append(l.crashes, f)
	l.mu.Unlock()
}

func (l *Ledger) recordWork(work time.Duration, wasted bool) {
	l.mu.Lock()
	l.worked += work
	if wasted {
		l.wasted += work
	}
	l.mu.Unlock()
}

// recordEffect records an op that ran to its end. An op with an idempotency key has no effect if an op with the same
// key took effect in its group and arrived less than a window earlier.
func (l *Ledger) recordEffect(e Effect, group, key string, window time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if key != "" && window > 0 {
		k := dedupKey{group, key}
		if first, ok := l.effectArrivals[k]; ok && e.ArrivedAt-first < window {
			return
		}
		l.effectArrivals[k] = e.ArrivedAt
		l.longestWindow = max(l.longestWindow, window)
		l.purgeKeys(e.ArrivedAt - l.longestWindow)
	}
	l.effectCount++
	if !l.countOnly {
		l.effects = append(l.effects, e)
	}
}

// minPurgeKeys is the least number of idempotency keys at which old ones are dropped.
const minPurgeKeys = 1 << 12

// purgeKeys drops the keys of effects before a time, whenever their number has doubled; l.mu is held.
func (l *Ledger) purgeKeys(before time.Duration) {
	if len(l.effectArrivals) < max(minPurgeKeys, l.purgeAt) {
		return
	}
	for k, at := range l.effectArrivals {
		if at < before {
			delete(l.effectArrivals, k)
		}
	}
	l.purgeAt = 2 * len(l.effectArrivals)
}

// Arrivals returns the tries so far, in order of arrival.
func (l *Ledger) Arrivals() []Arrival {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Arrival(nil), l.arrivals...)
}

// Effects returns the effects so far, in the order in which the ops finished.
func (l *Ledger) Effects() []Effect {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Effect(nil), l.effects...)
}

// Crashes returns the crashes so far.
func (l *Ledger) Crashes() []Crash {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Crash(nil), l.crashes...)
}

// RecordMixUp records a request or an answer that contained parts of another one. The ledger
// keeps the first 100.
func (l *Ledger) RecordMixUp(what string) {
	const maxMixUps = 100
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.mixUps) < maxMixUps {
		l.mixUps = append(l.mixUps, what)
	}
}

// MixUps returns the descriptions given to RecordMixUp.
func (l *Ledger) MixUps() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.mixUps...)
}

// Work returns the work done so far and the part of it that led to no delivered answer, handshakes included.
func (l *Ledger) Work() (all, wasted time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.worked, l.wasted
}

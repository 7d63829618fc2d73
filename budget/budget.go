// Package budget limits the memory that the connections of a process use together for what they have received and not
// handled yet, and for what waits to be sent. Each connection has an Account. While the budget is spent, an account
// that needs more waits, and the connection that costs most, by its bytes and the time for which it has held them, is
// ended. A connection that makes progress at an ordinary pace is not ended for that. The package does no I/O.
package budget

import (
	"container/list"
	"sync"
	"sync/atomic"
	"time"
)

// DefaultLimit is the limit of Process, in bytes. Together with what connections may use without an account it leaves
// most of a process of 192 MB to everything else and to the garbage collector.
const DefaultLimit = 56 << 20

// Process is the budget that all connections of this process share.
var Process = New(DefaultLimit)

const (
	// ordinaryPace is the rate, in bytes per second, from which on an unfinished message makes progress.
	ordinaryPace = 128 << 10
	// DefaultPatience is how long a peer may stall before its account counts as slow, if SetPatience is not called. TCP may
	// need 200 ms to send a lost packet again.
	DefaultPatience = 250 * time.Millisecond
	// leastEvicted is the number of bytes below which it is no help to end an account.
	leastEvicted = 4 << 10
	// longestWait is the time after which one of the accounts that wait while they hold bytes is ended: all may be waiting
	// for each other.
	longestWait = time.Second
	// retryInterval is the time after which an account that waits looks again for one that is slow by now.
	retryInterval = 10 * time.Millisecond
)

// Budget is a limit on the bytes of all its accounts.
type Budget struct {
	limit     int
	evictions atomic.Int64

	mu       sync.Mutex
	used     int
	accounts map[*Account]bool // those with bytes
	waiting  list.List         // *waiter, the first in turn at the front
	onEvict  func(Eviction)
}

// Eviction describes an account that was ended.
type Eviction struct {
	Name  string        // of the account
	Bytes int           // that it used
	Held  time.Duration // how long it had used any
}

// New returns a budget with a limit in bytes.
func New(limit int) *Budget {
	return &Budget{limit: limit, accounts: map[*Account]bool{}}
}

// OnEvict sets a function that is called for each account that is ended.
func (b *Budget) OnEvict(f func(Eviction)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.onEvict = f
}

// Evictions returns the number of accounts that were ended.
func (b *Budget) Evictions() int64 { return b.evictions.Load() }

// Used returns the bytes in use.
func (b *Budget) Used() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Account is the part of a budget that one connection uses.
type Account struct {
	budget       *Budget
	name         func() string
	end          func()
	lastProgress atomic.Int64 // Unix nanoseconds
	patience     atomic.Int64 // nanoseconds; see SetPatience
	busy         atomic.Bool  // see SetBusy
	peerGone     atomic.Bool

	// The fields below are guarded by budget.mu.
	bytes   int
	since   time.Time // when bytes rose from 0
	waiting bool      // in Grow
	ended   bool      // by the budget or by Close; it gets no more bytes
}

// Open returns an account without bytes. name describes its connection; end, which ends the connection, is called in a
// goroutine of its own.
func (b *Budget) Open(name func() string, end func()) *Account {
	a := &Account{budget: b, name: name, end: end}
	a.SetPatience(DefaultPatience)
	return a
}

// Grow adds bytes to the account and waits until the budget has room for them. Accounts that wait are served in turn.
// Grow returns false if the account has ended or cancel is closed.
func (a *Account) Grow(bytes int, cancel <-chan struct{}) bool {
	b := a.budget
	b.mu.Lock()
	if a.bytes+bytes > b.limit/2 {
		b.end(a) // it would not fit beside others, however many were ended
	}
	if a.ended || b.waiting.Len() == 0 && b.used+bytes <= b.limit {
		a.add(bytes)
		ended := a.ended
		b.mu.Unlock()
		return !ended
	}
	w := &waiter{account: a, bytes: bytes, since: time.Now(), granted: make(chan struct{})}
	element := b.waiting.PushBack(w)
	a.waiting = true
	held := a.bytes > 0
	b.makeRoom()
	b.mu.Unlock()
	granted := b.wait(element, w, cancel)
	b.mu.Lock()
	defer b.mu.Unlock()
	a.waiting = false
	if held {
		a.since = a.since.Add(time.Since(w.since)) // the peer could not go on meanwhile
	}
	a.Progress()
	return granted
}

// waiter is an account that waits for room.
type waiter struct {
	account *Account
	bytes   int
	since   time.Time
	granted chan struct{} // closed once the account has the bytes
}

// wait waits until a waiter has its bytes, and reports whether it has.
func (b *Budget) wait(element *list.Element, w *waiter, cancel <-chan struct{}) bool {
	retry := time.NewTicker(retryInterval)
	defer retry.Stop()
	for {
		select {
		case <-w.granted:
			return b.leave(element, w)
		case <-cancel:
			return b.leave(element, w)
		case <-retry.C:
		}
		b.mu.Lock()
		ended := w.account.ended
		if b.waiting.Front() == element {
			b.makeRoom()
		}
		b.mu.Unlock()
		if ended {
			return b.leave(element, w)
		}
	}
}

// leave removes a waiter from the queue, unless it has been granted its bytes. It returns true if it has, and its account
// has not ended.
func (b *Budget) leave(element *list.Element, w *waiter) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case <-w.granted:
		return !w.account.ended
	default:
	}
	b.waiting.Remove(element)
	b.grant()
	return false
}

// grant gives those that wait their bytes, in turn, as far as there is room. b.mu is held.
func (b *Budget) grant() {
	for front := b.waiting.Front(); front != nil; front = b.waiting.Front() {
		w := front.Value.(*waiter)
		if b.used+w.bytes > b.limit && !w.account.ended {
			return
		}
		b.waiting.Remove(front)
		w.account.waiting = false
		w.account.add(w.bytes)
		w.account.Progress()
		close(w.granted)
	}
}

// makeRoom ends slow accounts until all that wait have room, and one that waits itself if one has for longestWait. b.mu
// is held.
func (b *Budget) makeRoom() {
	for b.grant(); b.waiting.Len() > 0; b.grant() {
		oldest := b.waiting.Front().Value.(*waiter)
		if !b.evictSlow() && (time.Since(oldest.since) < longestWait || !b.evict(waitingOnes)) {
			return
		}
	}
}

// evictSlow ends a slow account: one that has stalled if there is any, since one that is only slow may be sound. It
// returns false if there is none. b.mu is held.
func (b *Budget) evictSlow() bool { return b.evict(stalledOnes) || b.evict(slowOnes) }

// stalledOnes, slowOnes, waitingOnes and allOnes select accounts that may be ended.
func stalledOnes(a *Account, now time.Time) bool {
	return a.peerGone.Load() || !a.waiting && a.isStalled(now)
}
func slowOnes(a *Account, now time.Time) bool  { return !a.waiting && a.isSlow(now) }
func waitingOnes(a *Account, _ time.Time) bool { return a.waiting }
func allOnes(*Account, time.Time) bool         { return true }

// overdraftShare is the part of a budget by which Force may exceed it before accounts are ended that make progress.
const overdraftShare = 4

// Force adds bytes to the account without waiting, and ends slow accounts, or itself, until the budget suffices. Once the
// budget is exceeded by more than one in overdraftShare, it ends others too. It returns false if the account has ended.
func (a *Account) Force(bytes int) bool {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if a.ended {
		return false
	}
	a.add(bytes)
	b := a.budget
	for b.used > b.limit && b.evictSlow() {
	}
	for b.used > b.limit+b.limit/overdraftShare && b.evict(allOnes) {
	}
	return !a.ended
}

// Progress records that the peer has sent or taken bytes.
func (a *Account) Progress() { a.lastProgress.Store(time.Now().UnixNano()) }

// SetPatience sets how long the peer may stall before its account counts as slow.
func (a *Account) SetPatience(patience time.Duration) { a.patience.Store(int64(patience)) }

// SetBusy records whether this process, not the peer, is the one to go on. A busy account makes progress.
func (a *Account) SetBusy(busy bool) {
	a.Progress()
	a.busy.Store(busy)
}

// IsBusy reports whether this process is the one to go on.
func (a *Account) IsBusy() bool { return a.busy.Load() }

// SetPeerGone records that the peer has disconnected: the account is the first to be ended.
func (a *Account) SetPeerGone() { a.peerGone.Store(true) }

// isStalled reports whether the peer has sent or taken nothing for longer than its patience.
func (a *Account) isStalled(now time.Time) bool {
	stalled := now.Sub(time.Unix(0, a.lastProgress.Load()))
	return !a.busy.Load() && stalled > time.Duration(a.patience.Load())
}

// isSlow reports whether the peer sends or takes its bytes more slowly than at an ordinary pace; a.budget.mu is held.
func (a *Account) isSlow(now time.Time) bool {
	return !a.busy.Load() && float64(a.bytes) < ordinaryPace*now.Sub(a.since).Seconds()
}

// Shrink returns bytes to the budget.
func (a *Account) Shrink(bytes int) {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.add(-bytes)
	a.budget.grant()
}

// Close returns all bytes. The account gets no more.
func (a *Account) Close() {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.budget.remove(a)
	a.budget.grant()
}

// add changes the bytes of an account that has not ended; b.mu is held.
func (a *Account) add(bytes int) {
	b := a.budget
	if a.ended {
		return
	}
	if a.bytes == 0 {
		a.since = time.Now()
		a.Progress()
	}
	a.bytes += bytes
	b.used += bytes
	if a.bytes > 0 {
		b.accounts[a] = true
	} else {
		delete(b.accounts, a)
	}
}

// remove ends an account; b.mu is held.
func (b *Budget) remove(a *Account) {
	if a.ended {
		return
	}
	a.add(-a.bytes)
	a.ended = true
}

// end ends an account; b.mu is held.
func (b *Budget) end(a *Account) {
	if a.ended {
		return
	}
	b.remove(a)
	b.evictions.Add(1)
	go a.end()
}

// evict ends the account that costs most of those that may be ended, and returns false if there is none. b.mu is held.
func (b *Budget) evict(mayEnd func(a *Account, now time.Time) bool) bool {
	now := time.Now()
	var dearest *Account
	highest := 0.0
	for a := range b.accounts {
		if a.bytes < leastEvicted || !mayEnd(a, now) {
			continue
		}
		if cost := float64(a.bytes) * (now.Sub(a.since) + time.Nanosecond).Seconds(); dearest == nil || cost > highest {
			dearest, highest = a, cost
		}
	}
	if dearest == nil {
		return false
	}
	eviction := Eviction{Name: dearest.name(), Bytes: dearest.bytes, Held: now.Sub(dearest.since)}
	b.end(dearest)
	if b.onEvict != nil {
		go b.onEvict(eviction)
	}
	return true
}

package policy

import (
	"cmp"
	"slices"
	"time"

	"vetchdoor/control"
)

// The number of messages to one proxy within MessageCapWindow may be limited by MessageCap. Half of it, rounded up, is
// reserved for orders with a deadline; the rest is shared by what improves the service and by what can wait. Whatever
// else is due for a proxy goes out with a message that it gets anyway.

// urgency says how soon an order must reach the proxies, and with that which part of MessageCap it may use. A message
// has the greatest urgency of its orders.
type urgency int

const (
	// deferrable orders can wait: new lines, rising weights and levels, moves, returns to use.
	deferrable urgency = iota
	// prompt orders keep the service working: withdrawals of unhealthy servers, falling weights and levels, moves off a
	// cell that is down.
	prompt
	// firstTable is the binding of a proxy that still uses its standing table.
	firstTable
	// mandatory orders have a deadline: withdrawals of draining and unlisted servers, tables for proxies without a server.
	mandatory
)

// messageSlot is the use of one message of MessageCap by a message that was sent.
type messageSlot struct {
	urgency        urgency
	sentAt, freeAt time.Duration // freeAt is when the message no longer counts
}

// reservedSlots returns how many messages of MessageCap only mandatory orders and first tables may use.
func (a *Assigner) reservedSlots() int { return (a.config.MessageCap + 1) / 2 }

// deferrableSlots returns how many messages of MessageCap deferrable orders may use; one of those that are not reserved
// is left to prompt orders if there are several.
func (a *Assigner) deferrableSlots() int {
	return max(1, a.config.MessageCap-a.reservedSlots()-1)
}

// mayMessage reports whether MessageCap allows an order to a proxy now.
func (a *Assigner) mayMessage(p *proxy, u urgency) bool {
	if a.config.MessageCap < 1 || p.lines > 0 { // the order goes out with a message that is being written
		return true
	}
	a.freeSlots(p)
	if len(p.slots) >= a.config.MessageCap {
		return false
	}
	optional, deferred, lastDeferredAt := 0, 0, control.LongAgo
	for _, slot := range p.slots {
		if slot.urgency != mandatory {
			optional++
		}
		if slot.urgency == deferrable {
			deferred++
			lastDeferredAt = slot.sentAt
		}
	}
	switch {
	case u >= firstTable:
		return true
	case optional >= a.config.MessageCap-a.reservedSlots():
		return false
	case u == prompt:
		return true
	}
	spacing := a.config.MessageCapWindow / time.Duration(a.deferrableSlots())
	return deferred < a.deferrableSlots() && a.now-lastDeferredAt >= spacing
}

// freeSlots drops the messages to a proxy that no longer count.
func (a *Assigner) freeSlots(p *proxy) {
	p.slots = slices.DeleteFunc(p.slots, func(slot messageSlot) bool { return slot.freeAt <= a.now })
}

// useSlot counts a message that is sent to a proxy now. Messages are written to the channel in turn, so this one counts
// from the time at which the channel will have written it.
func (a *Assigner) useSlot(p *proxy) {
	if a.config.MessageCap < 1 {
		return
	}
	freeAt := a.now + a.config.MessageCapWindow + a.config.Tick
	if a.config.LinesPerSecond > 0 {
		freeAt += time.Duration(a.backlogLines / a.config.LinesPerSecond * float64(time.Second))
	}
	p.slots = append(p.slots, messageSlot{urgency: p.urgency, sentAt: a.now, freeAt: freeAt})
	p.urgency = deferrable
}

// awaitsOthers reports whether a mandatory withdrawal waits for others to share its message: while it would use the
// last message that MessageCap leaves for a proxy, for half of the time that the drain grace leaves.
func (a *Assigner) awaitsOthers(e *endpoint, holders []*proxy) bool {
	sendBy := e.drainedAt + max(0, a.config.DrainGrace-a.config.MaxPushDelay)/2
	usesLast := func(p *proxy) bool {
		a.freeSlots(p)
		return p.lines == 0 && len(p.slots) == a.config.MessageCap-1
	}
	if a.config.MessageCap < 1 || a.now >= sendBy || !slices.ContainsFunc(holders, usesLast) {
		return false
	}
	a.retryAt(sendBy)
	return true
}

// retryAt requests a review of the orders at a time, for a mandatory order that waits.
func (a *Assigner) retryAt(at time.Duration) {
	if a.messageTimerAt > a.now && a.messageTimerAt <= at {
		return
	}
	a.messageTimerAt = at
	a.emit(control.SetTimer{After: at - a.now, Label: messageTimerLabel})
}

// retryWhenFree requests a review once a message of MessageCap is free again for a proxy.
func (a *Assigner) retryWhenFree(p *proxy) {
	free := slices.MinFunc(p.slots, func(x, y messageSlot) int { return cmp.Compare(x.freeAt, y.freeAt) })
	a.retryAt(free.freeAt)
}

package pilot

import (
	"time"

	"vetchdoor/control"
)

// channel is the way out of a pilot: messages leave it one after another at a pace, and it holds no more than its bound.
// A proxy that has not confirmed what it has, or is away, holds up its own messages only. It is free of I/O.
type channel struct {
	perLine time.Duration
	most    int
	waiting int // lines
	queue   []outgoing
	busy    time.Duration // until then the line is taken
	peak    int
}

func newChannel(linesPerSecond, mostWaiting float64) *channel {
	return &channel{perLine: time.Duration(float64(time.Second) / linesPerSecond), most: int(mostWaiting)}
}

// push takes a message in; false says that there is no room for it.
func (c *channel) push(m outgoing) bool {
	if c.waiting+m.Lines > c.most {
		return false
	}
	c.waiting += m.Lines
	c.peak = max(c.peak, c.waiting)
	c.queue = append(c.queue, m)
	return true
}

// again puts messages of one proxy that were on their way when its stream broke back in, before its others.
func (c *channel) again(messages []outgoing) bool {
	lines := 0
	for _, m := range messages {
		lines += m.Lines
	}
	if c.waiting+lines > c.most {
		return false
	}
	c.waiting += lines
	c.peak = max(c.peak, c.waiting)
	c.queue = append(append(make([]outgoing, 0, len(messages)+len(c.queue)), messages...), c.queue...)
	return true
}

// drop forgets a proxy's messages.
func (c *channel) drop(id control.ProxyID) {
	kept := c.queue[:0]
	for _, m := range c.queue {
		if m.proxy == id {
			c.waiting -= m.Lines
		} else {
			kept = append(kept, m)
		}
	}
	clear(c.queue[len(kept):])
	c.queue = kept
}

// next returns the message that leaves now, if any, and else how long it is until one may; below 0: none waits that may.
// open tells whether a proxy takes a message of so many lines now.
func (c *channel) next(now time.Duration, open func(control.ProxyID, int) bool) (m outgoing, ok bool, wait time.Duration) {
	if len(c.queue) == 0 {
		return m, false, -1
	}
	if now < c.busy {
		return m, false, c.busy - now
	}
	var shut map[control.ProxyID]bool
	for i, m := range c.queue {
		if shut[m.proxy] {
			continue
		}
		if !open(m.proxy, m.Lines) {
			if shut == nil {
				shut = map[control.ProxyID]bool{}
			}
			shut[m.proxy] = true
			continue
		}
		if i == 0 {
			c.queue[0] = outgoing{}
			c.queue = c.queue[1:]
		} else {
			copy(c.queue[i:], c.queue[i+1:])
			c.queue[len(c.queue)-1] = outgoing{}
			c.queue = c.queue[:len(c.queue)-1]
		}
		c.waiting -= m.Lines
		// A pause between two looks is made up for, up to a few milliseconds, so that the pace holds on average.
		c.busy = max(c.busy, now-5*time.Millisecond) + time.Duration(m.Lines)*c.perLine
		return m, true, 0
	}
	return outgoing{}, false, -1
}

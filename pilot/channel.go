package pilot

import (
	"time"

	"vetchdoor/control"
)

// channel is the bounded queue of outgoing messages, which are sent in order at a limited rate of lines. A proxy whose window
// is full, or which is disconnected, delays only its own messages. The channel does no I/O.
type channel struct {
	perLine      time.Duration // time per line at the configured rate
	maxLines     int           // bound on waitingLines
	waitingLines int           // lines of the queued messages
	queue        []outgoing
	busyUntil    time.Duration // no message may be sent before this time
	peakLines    int           // highest value of waitingLines
}

// newChannel returns an empty channel with a rate in lines per second and a bound on the lines that wait.
func newChannel(linesPerSecond, maxLines float64) *channel {
	return &channel{perLine: time.Duration(float64(time.Second) / linesPerSecond), maxLines: int(maxLines)}
}

// push appends a message. It reports false if the message does not fit.
func (c *channel) push(m outgoing) bool {
	if c.waitingLines+m.Lines > c.maxLines {
		return false
	}
	c.waitingLines += m.Lines
	c.peakLines = max(c.peakLines, c.waitingLines)
	c.queue = append(c.queue, m)
	return true
}

// requeue puts messages of one proxy that were sent but not confirmed when its stream broke at the head of the queue, so that
// they precede the proxy's later ones. It reports false if they do not fit.
func (c *channel) requeue(messages []outgoing) bool {
	lines := 0
	for _, m := range messages {
		lines += m.Lines
	}
	if c.waitingLines+lines > c.maxLines {
		return false
	}
	c.waitingLines += lines
	c.peakLines = max(c.peakLines, c.waitingLines)
	c.queue = append(append(make([]outgoing, 0, len(messages)+len(c.queue)), messages...), c.queue...)
	return true
}

// dropProxy removes a proxy's messages.
func (c *channel) dropProxy(id control.ProxyID) {
	kept := c.queue[:0]
	for _, m := range c.queue {
		if m.proxy == id {
			c.waitingLines -= m.Lines
		} else {
			kept = append(kept, m)
		}
	}
	clear(c.queue[len(kept):])
	c.queue = kept
}

// next removes and returns the next message that may be sent now. If there is none, ok is false and wait is the time until the
// rate allows one; wait is negative if no queued message may be sent. accepts reports whether a proxy can take a message with
// that many lines now.
func (c *channel) next(now time.Duration, accepts func(control.ProxyID, int) bool) (m outgoing, ok bool, wait time.Duration) {
	if len(c.queue) == 0 {
		return m, false, -1
	}
	if now < c.busyUntil {
		return m, false, c.busyUntil - now
	}
	var blocked map[control.ProxyID]bool
	for i, m := range c.queue {
		if blocked[m.proxy] {
			continue
		}
		if !accepts(m.proxy, m.Lines) {
			if blocked == nil {
				blocked = map[control.ProxyID]bool{}
			}
			blocked[m.proxy] = true
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
		c.waitingLines -= m.Lines
		// Time lost between two calls is made up for, up to 5 ms, so that the average rate is kept.
		c.busyUntil = max(c.busyUntil, now-5*time.Millisecond) + time.Duration(m.Lines)*c.perLine
		return m, true, 0
	}
	return outgoing{}, false, -1
}

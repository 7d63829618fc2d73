package tenancy

import (
	"math"
	"slices"
	"time"
)

// Linger is how long a pod that lost its last line still counts where subsets are drawn. A tenant that makes its servers
// leave would else be handed the next ones at once.
const Linger = time.Minute

// Pods are those of a table as a proxy draws among them: with a line, or without one since a short while. A change makes a
// new value.
type Pods struct {
	live []Pod
	gone []lostPod
}

type lostPod struct {
	Pod
	since time.Duration
}

// Update returns the pods once the table's lines are on these. A table that was made anew, most of it with other pods, begins
// without memory.
func (p *Pods) Update(now time.Duration, live []Pod) *Pods {
	n := &Pods{live: live}
	if p == nil {
		return n
	}
	has := func(id PodID) bool { return slices.ContainsFunc(live, func(x Pod) bool { return x.ID == id }) }
	for _, g := range p.gone {
		if !has(g.ID) && now-g.since < Linger {
			n.gone = append(n.gone, g)
		}
	}
	for _, x := range p.live {
		if !has(x.ID) {
			n.gone = append(n.gone, lostPod{x, now})
		}
	}
	if len(n.gone) > len(live) {
		n.gone = nil
	}
	return n
}

// Draw returns the pods that subsets are drawn among now, and for how long that holds if no line changes.
func (p *Pods) Draw(now time.Duration) (pods []Pod, holds time.Duration) {
	pods, holds = slices.Clone(p.live), math.MaxInt64
	for _, g := range p.gone {
		if left := Linger - (now - g.since); left > 0 {
			pods, holds = append(pods, g.Pod), min(holds, left)
		}
	}
	return pods, holds
}

// Live returns those with a line. It must not be changed.
func (p *Pods) Live() []Pod { return p.live }

// Spare returns the pod that a tenant may borrow while none of its subset's can be used: the next that its name draws among
// those with a line.
func (p *Pods) Spare(tenant string, subset []PodID) (PodID, bool) {
	var others []Pod
	for _, x := range p.live {
		if !slices.Contains(subset, x.ID) {
			others = append(others, x)
		}
	}
	if s := Place(tenant, others, 1); len(s) > 0 {
		return s[0], true
	}
	return 0, false
}

// BorrowState is where a proxy let a tenant's writes go last: its subset, or a pod that it borrowed. A write goes to the other only
// when no repeat of the last one can follow it there; wait is the span that Needs says.
type BorrowState struct {
	pod   PodID
	away  bool
	wrote bool
	since time.Duration // away
	last  time.Duration
}

// BorrowedPod returns the borrowed pod that writes must stay with; false: they are the subset's.
func (l BorrowState) BorrowedPod(now, wait time.Duration) (PodID, bool) {
	return l.pod, l.away && now-l.last < wait
}

// May tells whether writes that are the subset's may go to a borrowed pod now.
func (l BorrowState) May(now, wait time.Duration) bool { return !l.wrote || now-l.last >= wait }

// Wrote books a write.
func (l *BorrowState) Wrote(now time.Duration, pod PodID, away bool) {
	if !l.away {
		l.since = now
	}
	l.pod, l.away, l.wrote, l.last = pod, away, true, now
}

// Long tells whether writes have been away for so long that those to come must wait rather than stay, once the subset can be
// used again.
func (l BorrowState) Long(now time.Duration) bool { return l.away && now-l.since >= Linger }

// Credit is how a proxy knows a tenant whose ops usually succeed: only such a one may borrow. It has none at first, and one
// that spoils what it borrows has soon none left.
type Credit struct{ tries, good float64 }

// Of the credit: how fast it forgets, how many tries it takes and what part of them must be good.
const (
	remembered = 0.95
	leastKnown = 5.0
	trusted    = 0.8
)

// Met books a try.
func (c *Credit) Met(good bool) {
	c.tries, c.good = c.tries*remembered+1, c.good*remembered
	if good {
		c.good++
	}
}

// Lends tells whether it may borrow.
func (c *Credit) Lends() bool { return c.tries >= leastKnown && c.good >= trusted*c.tries }

package tenancy

import (
	"math"
	"slices"
	"time"
)

// Linger is how long a pod that has no servers in the table any more still takes part in the selection of subsets.
// Without it, a tenant whose ops make its servers fail would get other pods at once, and its ops would make those fail as
// well.
const Linger = time.Minute

// Pods are the pods of one table that a proxy selects subsets from: those with servers, and those that lost their last
// server less than Linger ago. A Pods is immutable.
type Pods struct {
	live    []Pod
	removed []removedPod
}

// removedPod is a pod that lost its last server at the time since.
type removedPod struct {
	Pod
	since time.Duration
}

// Update returns the pods after a change of the table; live are the pods that have servers now. If more pods are
// lingering than live, the table was replaced, and none linger.
func (p *Pods) Update(now time.Duration, live []Pod) *Pods {
	next := &Pods{live: live}
	if p == nil {
		return next
	}
	isLive := func(id PodID) bool { return slices.ContainsFunc(live, func(pod Pod) bool { return pod.ID == id }) }
	for _, lingering := range p.removed {
		if !isLive(lingering.ID) && now-lingering.since < Linger {
			next.removed = append(next.removed, lingering)
		}
	}
	for _, pod := range p.live {
		if !isLive(pod.ID) {
			next.removed = append(next.removed, removedPod{pod, now})
		}
	}
	if len(next.removed) > len(live) {
		next.removed = nil
	}
	return next
}

// Candidates returns the pods that subsets are selected from, and for how long the result is valid if the table does not
// change.
func (p *Pods) Candidates(now time.Duration) (pods []Pod, validFor time.Duration) {
	pods, validFor = slices.Clone(p.live), math.MaxInt64
	for _, pod := range p.removed {
		if left := Linger - (now - pod.since); left > 0 {
			pods, validFor = append(pods, pod.Pod), min(validFor, left)
		}
	}
	return pods, validFor
}

// Live returns the pods that have servers. The caller must not change the result.
func (p *Pods) Live() []Pod { return p.live }

// Spare returns the pod that a tenant may borrow while no pod of its subset is usable: the first of the other live pods
// in the tenant's rendezvous order. It returns false if there is no other pod.
func (p *Pods) Spare(tenant string, subset []PodID) (PodID, bool) {
	var others []Pod
	for _, pod := range p.live {
		if !slices.Contains(subset, pod.ID) {
			others = append(others, pod)
		}
	}
	if s := SelectPods(tenant, others, 1); len(s) > 0 {
		return s[0], true
	}
	return 0, false
}

// BorrowState is where a proxy last sent writes of a tenant: its subset or a borrowed pod. Writes change from one to the
// other only when no duplicate of the last write can follow. The wait parameter of the methods is the sum of the
// durations from MoveDurations.
type BorrowState struct {
	pod           PodID
	borrowed      bool
	written       bool
	borrowedSince time.Duration // when writes last changed from the subset to a borrowed pod
	lastWrite     time.Duration
}

// BorrowedPod returns the borrowed pod that writes must continue to use; false if they go to the subset.
func (b BorrowState) BorrowedPod(now, wait time.Duration) (PodID, bool) {
	return b.pod, b.borrowed && now-b.lastWrite < wait
}

// MayBorrow reports whether writes that went to the subset may go to a borrowed pod now.
func (b BorrowState) MayBorrow(now, wait time.Duration) bool {
	return !b.written || now-b.lastWrite >= wait
}

// RecordWrite records a write that was sent at the time now; borrowed reports that it went to the given pod, outside the
// subset.
func (b *BorrowState) RecordWrite(now time.Duration, pod PodID, borrowed bool) {
	if !b.borrowed {
		b.borrowedSince = now
	}
	b.pod, b.borrowed, b.written, b.lastWrite = pod, borrowed, true, now
}

// MustReturn reports whether writes have used a borrowed pod for so long that, if the subset is usable again, new writes
// must wait for the change back instead of using the borrowed pod.
func (b BorrowState) MustReturn(now time.Duration) bool {
	return b.borrowed && now-b.borrowedSince >= Linger
}

// BorrowCredit tracks the success of a tenant's tries. Only a tenant whose tries usually succeed may borrow a pod. A new
// tenant has no credit, and one whose tries fail on borrowed pods loses it within a few tries.
type BorrowCredit struct{ tries, succeeded float64 }

// Constants of BorrowCredit: the factor by which older tries are discounted with each try, the least discounted number of
// tries, and the least share of them that must succeed.
const (
	discount        = 0.95
	minTries        = 5.0
	minSuccessShare = 0.8
)

// AddTry records the outcome of one try.
func (c *BorrowCredit) AddTry(succeeded bool) {
	c.tries, c.succeeded = c.tries*discount+1, c.succeeded*discount
	if succeeded {
		c.succeeded++
	}
}

// Sufficient reports whether the tenant may borrow a pod.
func (c *BorrowCredit) Sufficient() bool {
	return c.tries >= minTries && c.succeeded >= minSuccessShare*c.tries
}

package proxy

import (
	"time"

	"vetchdoor/control"
	"vetchdoor/runtime"
)

// tryHistory records the tries of one op. It decides whether the retry policy in force allows another try and whether one is
// safe.
type tryHistory struct {
	opType     control.OpType
	hasKey     bool      // the request carries an idempotency key; without one no server can recognize a repeat
	mayHaveRun []*server // servers of the tries that failed and may have run
	firstRunAt time.Time // when the first try in mayHaveRun was sent
	count      int       // tries made
}

// recordSent counts a try that is about to be sent.
func (t *tryHistory) recordSent() { t.count++ }

// recordFailure records a failed try, which was sent to e at the given time. notRun reports that it certainly did not run.
func (t *tryHistory) recordFailure(e *server, sentAt time.Time, notRun bool) {
	if notRun {
		return
	}
	if !t.ran() {
		t.firstRunAt = sentAt
	}
	t.mayHaveRun = append(t.mayHaveRun, e)
}

// ran reports whether any try may have run.
func (t *tryHistory) ran() bool { return len(t.mayHaveRun) > 0 }

// maxTries returns how many tries of one op a retry policy allows, including the first.
func maxTries(retry control.RetryPolicy) int {
	switch retry {
	case control.RetryIfUnrun, control.RetryOnce:
		return 2
	case control.RetryTwice:
		return 3
	}
	return 1
}

// mayRetry reports whether the retry policy allows another try after those made, at some server. It never allows one for an
// op that may have run and must not run twice.
func (t *tryHistory) mayRetry(retry control.RetryPolicy) bool {
	if t.count >= maxTries(retry) {
		return false
	}
	if !t.ran() {
		return true
	}
	if retry == control.RetryIfUnrun || t.opType.Repeat == control.OnceOnly {
		return false
	}
	return t.opType.Repeat == control.Retryable || t.hasKey
}

// mayRunAt reports whether the next try may go to s. Once a try of a deduplicated op may have run, further tries must go to
// the same group, whose servers drop each other's repeats, and must be sent within 70 % of the deduplication window, which
// leaves time for the request to reach the server.
func (t *tryHistory) mayRunAt(s runtime.Server, now time.Time) bool {
	if !t.ran() || t.opType.Repeat == control.Retryable {
		return true
	}
	if t.opType.Repeat == control.OnceOnly || now.Sub(t.firstRunAt) >= t.opType.DedupWindow*7/10 {
		return false
	}
	for _, e := range t.mayHaveRun {
		same := t.opType.Group == control.GroupAll ||
			t.opType.Group == control.GroupZone && e.Zone == s.Zone ||
			t.opType.Group == control.GroupPack && e.Zone == s.Zone && e.Pack == s.Pack
		if !same {
			return false
		}
	}
	return true
}

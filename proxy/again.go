package proxy

import (
	"time"

	"vetchdoor/control"
	"vetchdoor/runtime"
)

// tries is what one op has been through; it tells whether another try is ordered and safe.
type tries struct {
	opType control.OpType
	keyed  bool // it bears a key; without one no server can drop its repeat
	ran    []*server
	first  time.Time // when the first try that may have run was sent
	made   int
}

// sent notes a try that is about to be sent.
func (t *tries) sent() { t.made++ }

// failedAt notes that a try failed: unrun says that it surely never ran.
func (t *tries) failedAt(e *server, sent time.Time, unrun bool) {
	if unrun {
		return
	}
	if len(t.ran) == 0 {
		t.first = sent
	}
	t.ran = append(t.ran, e)
}

// most tries that an order allows, the first among them.
func most(again control.RetryPolicy) int {
	switch again {
	case control.IfUnrun, control.RetryOnce:
		return 2
	case control.TwiceMore:
		return 3
	}
	return 1
}

// may tells whether another try may follow the ones made, by the order given, at any server at all.
func (t *tries) may(again control.RetryPolicy) bool {
	if t.made >= most(again) {
		return false
	}
	if len(t.ran) == 0 {
		return true
	}
	if again == control.IfUnrun || t.opType.Repeat == control.OnceOnly {
		return false
	}
	return t.opType.Repeat == control.Retryable || t.keyed
}

// at tells whether a try may go to a server: after one that may have run, a deduplicated op stays in the group whose
// endpoints drop each other's repeats, and inside the window by a margin for the way.
func (t *tries) at(s runtime.Server, now time.Time) bool {
	if len(t.ran) == 0 || t.opType.Repeat == control.Retryable {
		return true
	}
	if t.opType.Repeat == control.OnceOnly || now.Sub(t.first) >= t.opType.DedupWindow*7/10 {
		return false
	}
	for _, e := range t.ran {
		same := t.opType.Group == control.GroupAll ||
			t.opType.Group == control.GroupZone && e.Zone == s.Zone ||
			t.opType.Group == control.GroupPack && e.Zone == s.Zone && e.Pack == s.Pack
		if !same {
			return false
		}
	}
	return true
}

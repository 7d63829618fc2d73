package tenancy

import (
	"slices"
	"testing"
	"time"
)

func sortedIDs(pods []Pod) (out []PodID) {
	for _, p := range pods {
		out = append(out, p.ID)
	}
	slices.Sort(out)
	return out
}

// TestPods checks that a pod which loses its servers remains a candidate for Linger, so that no tenant gets another pod
// at once, and that a replaced table has no lingering pods.
func TestPods(t *testing.T) {
	all := testPods(9)
	p := (*Pods)(nil).Update(0, all)
	p = p.Update(time.Second, all[1:])
	p = p.Update(31*time.Second, all[2:])
	pods, validFor := p.Candidates(32 * time.Second)
	if !slices.Equal(sortedIDs(pods), sortedIDs(all)) || validFor != 29*time.Second {
		t.Errorf("%v, %v", pods, validFor)
	}
	if pods, validFor = p.Candidates(62 * time.Second); len(pods) != 8 || validFor != 29*time.Second {
		t.Errorf("%v, %v", pods, validFor)
	}
	if pods, _ = p.Candidates(92 * time.Second); len(pods) != 7 {
		t.Errorf("%v", pods)
	}
	if pods, _ = p.Update(40*time.Second, all).Candidates(40 * time.Second); len(pods) != 9 {
		t.Errorf("after the pods came back: %v", pods)
	}
	if pods, _ = p.Update(40*time.Second, []Pod{{ID: 50, Capacity: 1}}).Candidates(40 * time.Second); len(pods) != 1 {
		t.Errorf("after the table was replaced: %v", pods)
	}
	subset := SelectPods("delo", all, 3)
	id, ok := p.Spare("delo", subset)
	if !ok || slices.Contains(subset, id) || id < 2 {
		t.Errorf("borrowed pod %d, subset %v", id, subset)
	}
	if _, ok := (&Pods{live: all[:1]}).Spare("delo", []PodID{0}); ok {
		t.Error("borrowed a pod although there is no other")
	}
}

// TestBorrowState checks that writes change from the subset to a borrowed pod and back only once no duplicate of the last
// write can follow.
func TestBorrowState(t *testing.T) {
	const wait = 3 * time.Second
	var l BorrowState
	if _, away := l.BorrowedPod(0, wait); away || !l.MayBorrow(0, wait) {
		t.Error("a new state has a borrowed pod or may not borrow")
	}
	l.RecordWrite(10*time.Second, 0, false)
	if l.MayBorrow(12*time.Second, wait) || !l.MayBorrow(13*time.Second, wait) {
		t.Error("want borrowing to be allowed exactly after the wait")
	}
	l.RecordWrite(13*time.Second, 7, true)
	if pod, away := l.BorrowedPod(15*time.Second, wait); !away || pod != 7 {
		t.Error("writes return to the subset before the wait is over")
	}
	if _, away := l.BorrowedPod(16*time.Second, wait); away {
		t.Error("writes do not return to the subset after the wait")
	}
	for at := 15 * time.Second; at <= 73*time.Second; at += 2 * time.Second {
		if l.MustReturn(at) != (at >= 73*time.Second) {
			t.Errorf("borrowed since 13s, at %v: MustReturn is %t", at, l.MustReturn(at))
		}
		l.RecordWrite(at, 7, true)
	}
}

// TestBorrowCredit checks that a tenant may borrow after a few successful tries, and loses the credit within a few failed
// ones.
func TestBorrowCredit(t *testing.T) {
	var c BorrowCredit
	for i := range 10 {
		if c.Sufficient() != (i > 5) {
			t.Errorf("after %d successful tries: Sufficient is %t", i, c.Sufficient())
		}
		c.AddTry(true)
	}
	for range 1000 {
		c.AddTry(true)
	}
	n := 0
	for ; c.Sufficient(); n++ {
		c.AddTry(false)
	}
	if n > 5 {
		t.Errorf("borrowing ended only after %d failed tries", n)
	}
}

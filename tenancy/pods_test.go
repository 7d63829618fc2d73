package tenancy

import (
	"slices"
	"testing"
	"time"
)

func ids(pods []Pod) (out []PodID) {
	for _, p := range pods {
		out = append(out, p.ID)
	}
	slices.Sort(out)
	return out
}

// A pod that loses its lines stays in the draw for a while, so that no tenant is handed others for it; then it is replaced.
// A table made anew begins without memory.
func TestPods(t *testing.T) {
	all := somePods(9)
	p := (*Pods)(nil).Update(0, all)
	p = p.Update(time.Second, all[1:])
	p = p.Update(31*time.Second, all[2:])
	pods, holds := p.Draw(32 * time.Second)
	if !slices.Equal(ids(pods), ids(all)) || holds != 29*time.Second {
		t.Errorf("%v, %v", pods, holds)
	}
	if pods, holds = p.Draw(62 * time.Second); len(pods) != 8 || holds != 29*time.Second {
		t.Errorf("%v, %v", pods, holds)
	}
	if pods, _ = p.Draw(92 * time.Second); len(pods) != 7 {
		t.Errorf("%v", pods)
	}
	if pods, _ = p.Update(40*time.Second, all).Draw(40 * time.Second); len(pods) != 9 {
		t.Errorf("back: %v", pods)
	}
	if pods, _ = p.Update(40*time.Second, []Pod{{ID: 50, Capacity: 1}}).Draw(40 * time.Second); len(pods) != 1 {
		t.Errorf("made anew: %v", pods)
	}
	subset := Place("delo", all, 3)
	id, ok := p.Spare("delo", subset)
	if !ok || slices.Contains(subset, id) || id < 2 {
		t.Errorf("borrows %d beside %v", id, subset)
	}
	if _, ok := (&Pods{live: all[:1]}).Spare("delo", []PodID{0}); ok {
		t.Error("borrowed what is not there")
	}
}

// Writes go from the subset to a borrowed pod and back only once no repeat of the last one can follow.
func TestLent(t *testing.T) {
	const wait = 3 * time.Second
	var l BorrowState
	if _, away := l.BorrowedPod(0, wait); away || !l.May(0, wait) {
		t.Error("never wrote")
	}
	l.Wrote(10*time.Second, 0, false)
	if l.May(12*time.Second, wait) || !l.May(13*time.Second, wait) {
		t.Error("borrows too early or never")
	}
	l.Wrote(13*time.Second, 7, true)
	if pod, away := l.BorrowedPod(15*time.Second, wait); !away || pod != 7 {
		t.Error("home too early")
	}
	if _, away := l.BorrowedPod(16*time.Second, wait); away {
		t.Error("never home")
	}
	for at := 15 * time.Second; at <= 73*time.Second; at += 2 * time.Second {
		if l.Long(at) != (at >= 73*time.Second) {
			t.Errorf("away since 13s, at %v: %t", at, l.Long(at))
		}
		l.Wrote(at, 7, true)
	}
}

// A tenant is lent to once its tries are known to be good; one that spoils what it borrows loses that within a few.
func TestCredit(t *testing.T) {
	var c Credit
	for i := range 10 {
		if c.Lends() != (i > 5) {
			t.Errorf("after %d good tries: %t", i, c.Lends())
		}
		c.Met(true)
	}
	for range 1000 {
		c.Met(true)
	}
	n := 0
	for ; c.Lends(); n++ {
		c.Met(false)
	}
	if n > 5 {
		t.Errorf("spoilt %d", n)
	}
}

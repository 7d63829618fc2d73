package fleet

import (
	"fmt"
	"testing"
	"time"
)

// TestAdmission checks that a pilot that is full, shuts down or has no list redirects proxies, spread over its peers.
func TestAdmission(t *testing.T) {
	admission := &Admission{MaxProxies: 10, Peers: []string{"a", "b", "c", "d"}}
	if a := admission.Admit("1", 0); a.Admitted || a.Reason != "no list yet" {
		t.Errorf("%+v", a)
	}
	admission.Ready = true
	if a := admission.Admit("1", 9); !a.Admitted {
		t.Errorf("%+v", a)
	}
	to := map[string]int{}
	for p := range 400 {
		a := admission.Admit(fmt.Sprint(p), 10)
		if a.Admitted || a.Reason != "full" {
			t.Fatalf("%+v", a)
		}
		to[a.Redirect]++
	}
	if len(to) != 4 || to["a"] < 60 {
		t.Errorf("%v", to)
	}
	admission.Leaving = true
	if a := admission.Admit("1", 0); a.Admitted || a.Reason != "this pilot ends" {
		t.Errorf("%+v", a)
	}
	if a := (&Admission{Ready: true, MaxProxies: 1}).Admit("1", 1); a.Admitted || a.Redirect != "" {
		t.Errorf("%+v", a)
	}
}

// TestLeaveBatch checks that all streams are redirected before the deadline, evenly.
func TestLeaveBatch(t *testing.T) {
	for _, n := range []int{0, 1, 7, 500} {
		left, streams, most := 10*time.Second, n, 0
		for ; left > 0 && streams > 0; left -= 100 * time.Millisecond {
			k := LeaveBatch(streams, left, 10*time.Second, 100*time.Millisecond)
			most = max(most, k)
			streams -= k
		}
		if streams > 0 || left < 2*time.Second || most > n/60+1 {
			t.Errorf("%d streams: %d are left with %v to go, at most %d were redirected at once", n, streams, left, most)
		}
	}
	if LeaveBatch(9, 0, time.Second, time.Second) != 9 {
		t.Error("streams remain although no time is left")
	}
}

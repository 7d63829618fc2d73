package tenancy

import (
	"fmt"
	"testing"
	"time"
)

// evening plays periods of twenty tenants on three pods, of which one may do as the case says, and keeps the last limits.
func evening(w *Quarantine, periods int, limits map[string]Limit, play func(i int, u *Use), load float64) (changes int) {
	for range periods {
		var uses []Use
		for i := range 20 {
			for p := range PodID(3) {
				u := Use{Tenant: fmt.Sprintf("t%d", i), Pod: p, Ops: 10, Busy: time.Second}
				play(i, &u)
				uses = append(uses, u)
			}
		}
		for _, l := range w.Step(uses, []Health{{0, load}, {1, load}, {2, load}}) {
			limits[l.Tenant] = l
			changes++
		}
	}
	return changes
}

// The tenant that harms is limited, then fenced, and nobody else is; it is let back once it behaves, later each time.
func TestWarden(t *testing.T) {
	fine := func(int, *Use) {}
	flood := func(i int, u *Use) {
		if i == 7 { // a tool that tries again at once for ever
			u.Ops, u.Failed, u.Busy = 2000, 1500, 60*time.Second
		} else {
			u.Failed = 3
		}
	}
	for _, c := range []struct {
		name  string
		play  func(int, *Use)
		load  float64
		fence bool
	}{
		{"all fine", fine, 0.5, false},
		{"busy, nobody unfair", fine, 0.99, false},
		{"all fail alike", func(i int, u *Use) { u.Failed = 6 }, 0.5, false},
		{"a big one that harms nobody", func(i int, u *Use) {
			if i == 7 {
				u.Ops, u.Busy = 2000, 60*time.Second
			}
		}, 0.6, false},
		{"a flood of repeats", flood, 0.6, true},
		{"ops that cost thirty times", func(i int, u *Use) {
			if i == 7 {
				u.Busy = 60 * time.Second
			}
		}, 0.95, true},
	} {
		w, limits := NewQuarantine(time.Second), map[string]Limit{}
		evening(w, 3, limits, c.play, c.load)
		if l, ok := limits["t7"]; ok != c.fence || c.fence && (l.Fenced || l.Rate <= 0 || l.Tries != 0) {
			t.Errorf("%s: after three periods %+v", c.name, limits)
		}
		evening(w, 3, limits, c.play, c.load)
		if l := limits["t7"]; l.Fenced != c.fence || len(limits) > 1 {
			t.Errorf("%s: after six periods %+v", c.name, limits)
		}
	}
	// While the queues that a flood left still make pods suffer, the biggest of the others is no cause.
	w, limits := NewQuarantine(time.Second), map[string]Limit{}
	evening(w, 4, limits, flood, 0.6)
	evening(w, 3, limits, func(i int, u *Use) {
		if u.Failed = 3; i == 2 {
			u.Busy = 30 * time.Second
		} else if i == 7 {
			u.Ops, u.Busy = 0, 0
		}
	}, 0.6)
	if len(limits) != 1 {
		t.Errorf("%+v", limits)
	}
	w, limits = NewQuarantine(time.Second), map[string]Limit{}
	back := func() (periods int) {
		evening(w, 8, limits, flood, 0.6)
		if !limits["t7"].Fenced {
			t.Fatalf("%+v", limits)
		}
		for ; limits["t7"].Fenced && periods < 1000; periods++ {
			evening(w, 1, limits, fine, 0.5)
		}
		return periods
	}
	first := back()
	second := back()
	if first < forgiving || second < 2*forgiving || second >= 1000 {
		t.Errorf("let back after %d periods, then %d", first, second)
	}
	evening(w, 20, limits, fine, 0.5)
	if l := limits["t7"]; l.Rate >= 0 || l.Tries != TryBudget {
		t.Errorf("never forgiven: %+v", l)
	}
	if n := evening(w, 50, limits, fine, 0.5); n != 0 {
		t.Errorf("%d changes on a calm evening", n)
	}
}

// A tenant whose ops ruin what serves them takes hardly any time; it is fenced at once when it is known. One whose own ops
// are at fault and harm nobody is not, nor one that fails as all do where it is.
func TestRuins(t *testing.T) {
	poison := func(others float64) func(int, *Use) {
		return func(i int, u *Use) {
			if u.Failed = others; i == 7 {
				u.Ops, u.Failed, u.Busy = 3, 3, time.Millisecond
			}
		}
	}
	for _, c := range []struct {
		name   string
		play   func(int, *Use)
		fenced bool
	}{{"ruins", poison(2), true}, {"fails alone", poison(0), false}, {"all fail", poison(9), false}} {
		w, limits := NewQuarantine(time.Second), map[string]Limit{}
		evening(w, 4, limits, c.play, 0.5)
		if l := limits["t7"]; l.Fenced != c.fenced || c.fenced && (l.Rate > 1 || l.Hand > 1 || l.Tries != 0) || len(limits) > 1 {
			t.Errorf("%s: %+v", c.name, limits)
		}
	}
}

// A big tenant that fares well gets more pods, slowly and up to a bound, and gives them back when it is small again; one
// that harms has none beyond its own.
func TestRoom(t *testing.T) {
	big := func(i int, u *Use) {
		if i == 7 {
			u.Ops, u.Busy = 1000, 20*time.Second
		}
	}
	w, limits := NewQuarantine(time.Second), map[string]Limit{}
	evening(w, asking-1, limits, big, 0.7)
	if len(limits) != 0 {
		t.Errorf("%+v", limits)
	}
	evening(w, 1, limits, big, 0.7)
	if l := limits["t7"]; l.Room != roomStep || l.Limited() || len(limits) != 1 {
		t.Errorf("%+v", limits)
	}
	evening(w, 20*asking, limits, big, 0.7)
	if l := limits["t7"]; l.Room != mostRoom {
		t.Errorf("%+v", l)
	}
	evening(w, 2, limits, func(i int, u *Use) {
		if big(i, u); i == 7 {
			u.Failed = 500
		}
	}, 0.95)
	if l := limits["t7"]; !l.Limited() || l.Room != 1 {
		t.Errorf("%+v", l)
	}
	w, limits = NewQuarantine(time.Second), map[string]Limit{}
	evening(w, 2*asking, limits, big, 0.7)
	evening(w, 3*asking*doublings, limits, func(int, *Use) {}, 0.5)
	if l := limits["t7"]; !l.Free() {
		t.Errorf("%+v", l)
	}
}

// What a pilot had said stands when the next run takes it back, and a fence that comes again is as long as if there had been
// no end.
func TestRestore(t *testing.T) {
	w, limits := NewQuarantine(time.Second), map[string]Limit{}
	bad := func(i int, u *Use) {
		if u.Failed = 3; i == 7 {
			u.Ops, u.Failed, u.Busy = 2000, 1500, 60*time.Second
		}
	}
	evening(w, 8, limits, bad, 0.6)
	kept := w.Sentences()
	if len(kept) != 1 || !kept[0].Fenced || kept[0].Fences != 1 {
		t.Fatalf("%+v", kept)
	}
	w = NewQuarantine(time.Second)
	w.Restore(kept)
	if got := w.Sentences(); len(got) != 1 || got[0] != kept[0] {
		t.Errorf("%+v", got)
	}
	if n := evening(w, forgiving-1, limits, func(int, *Use) {}, 0.5); n != 0 {
		t.Errorf("%d changes", n)
	}
	evening(w, forgiving, limits, func(int, *Use) {}, 0.5)
	if l := limits["t7"]; l.Fenced || l.Free() {
		t.Errorf("%+v", l)
	}
}

// Tenants by the ten thousand, hostile names among them, are kept within bounds; those that stay away are forgotten.
func TestManyTenants(t *testing.T) {
	w := NewQuarantine(time.Second)
	var uses []Use
	for i := range 10_000 {
		uses = append(uses, Use{Tenant: fmt.Sprintf("tenant %d\n;<<", i), Pod: PodID(i % 30), Ops: 1, Busy: time.Duration(i) * time.Millisecond})
	}
	uses = append(uses, Use{Tenant: "", Pod: 1, Ops: 1}, Use{Tenant: string(make([]byte, 1<<16)), Pod: 1, Ops: 1, Failed: 50})
	for range 5 {
		w.Step(uses, nil)
	}
	if len(w.tenants) > mostKept+1 || w.tenants["tenant 9999\n;<<"] == nil || w.tenants[Folded] == nil {
		t.Errorf("%d tenants are kept", len(w.tenants))
	}
	for range forgotten + 2 {
		w.Step(nil, nil)
	}
	if len(w.tenants) != 0 {
		t.Errorf("%d tenants are never forgotten", len(w.tenants))
	}
}

// Of a limited tenant's ops those that earn most go first, and none of them is starved by the others; what is in hand is
// counted whatever the limit was when it came.
func TestAllowance(t *testing.T) {
	for _, rate := range []float64{0.5, 2, 50} {
		var a Allowance
		got := [2]int{}
		for i := range 20000 { // ten times the rate, both types alike
			rank := i % 2
			if a.Admit(time.Duration(float64(i)/rate/10*float64(time.Second)), rate, -1, float64(rank)) {
				got[rank]++
				a.Done()
			}
		}
		if got[1] < 9*got[0] || got[0]+got[1] < 1900 || got[0]+got[1] > 2100 {
			t.Errorf("rate %v: %v let in", rate, got)
		}
		got = [2]int{}
		for i := range 1000 { // half the rate: all go
			if a.Admit(time.Duration(1e6+float64(i)/rate*2)*time.Second, rate, -1, 0) {
				got[0]++
				a.Done()
			}
		}
		if got[0] < 990 {
			t.Errorf("rate %v: %v of 1000 of the least", rate, got[0])
		}
	}
	var a Allowance
	in := 0
	for range 10 {
		if a.Admit(0, -1, 4, 0) {
			in++
		}
	}
	for range 10 {
		if a.Admit(0, -1, 4, 1) {
			in += 10
		}
	}
	if in != 22 {
		t.Errorf("%d", in)
	}
	if !a.Admit(0, -1, -1, 0) || a.hand != 5 {
		t.Errorf("%+v", a)
	}
	for range 5 {
		a.Done()
	}
	if !a.Admit(0, -1, 0, 0) || a.Admit(0, -1, 0, 1) {
		t.Error("one is always let in, and no second")
	}
}

// Tries are a share of a tenant's ops: many ops earn a burst, a tenant whose every op fails has few.
func TestBudget(t *testing.T) {
	var b RetryBudget
	spent := 0
	for range 1000 {
		if b.Earn(TryBudget); b.Spend() {
			spent++
		}
	}
	if spent < 190 || spent > 201 {
		t.Errorf("%d tries for 1000 ops", spent)
	}
	for range 1000 {
		b.Earn(TryBudget)
	}
	burst := 0
	for b.Spend() {
		burst++
	}
	if burst > 5 {
		t.Errorf("a burst of %d", burst)
	}
	var none RetryBudget
	if none.Earn(0); none.Spend() {
		t.Error("a try without a budget")
	}
}

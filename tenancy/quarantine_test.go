package tenancy

import (
	"fmt"
	"testing"
	"time"
)

// runPeriods simulates periods of 20 tenants on three pods with the given load. adjust may change the usage of tenant i.
// It stores the last limit of each tenant in limits, and returns the number of changes.
func runPeriods(q *Quarantine, periods int, limits map[string]Limit, adjust func(i int, u *Usage), load float64) (changes int) {
	for range periods {
		var uses []Usage
		for i := range 20 {
			for p := range PodID(3) {
				u := Usage{Tenant: fmt.Sprintf("t%d", i), Pod: p, Ops: 10, Busy: time.Second}
				adjust(i, &u)
				uses = append(uses, u)
			}
		}
		for _, l := range q.Step(uses, []Health{{0, load}, {1, load}, {2, load}}) {
			limits[l.Tenant] = l
			changes++
		}
	}
	return changes
}

// TestQuarantine checks that the tenant which harms others is limited and then fenced, that no other tenant is, and that
// the fence is lifted after good periods, of which the second fence needs more.
func TestQuarantine(t *testing.T) {
	normal := func(int, *Usage) {}
	flood := func(i int, u *Usage) {
		if i == 7 { // a client that retries at once, without end
			u.Ops, u.Failed, u.Busy = 2000, 1500, 60*time.Second
		} else {
			u.Failed = 3
		}
	}
	for _, c := range []struct {
		name   string
		adjust func(int, *Usage)
		load   float64
		fence  bool
	}{
		{"no failures", normal, 0.5, false},
		{"busy, all alike", normal, 0.99, false},
		{"all fail alike", func(i int, u *Usage) { u.Failed = 6 }, 0.5, false},
		{"a large tenant that harms nobody", func(i int, u *Usage) {
			if i == 7 {
				u.Ops, u.Busy = 2000, 60*time.Second
			}
		}, 0.6, false},
		{"a flood of retries", flood, 0.6, true},
		{"ops that cost 60 times as much", func(i int, u *Usage) {
			if i == 7 {
				u.Busy = 60 * time.Second
			}
		}, 0.95, true},
	} {
		q, limits := NewQuarantine(time.Second), map[string]Limit{}
		runPeriods(q, 3, limits, c.adjust, c.load)
		if l, ok := limits["t7"]; ok != c.fence || c.fence && (l.Fenced || l.Rate <= 0 || l.Tries != 0) {
			t.Errorf("%s: limits after three periods: %+v", c.name, limits)
		}
		runPeriods(q, 3, limits, c.adjust, c.load)
		if l := limits["t7"]; l.Fenced != c.fence || len(limits) > 1 {
			t.Errorf("%s: limits after six periods: %+v", c.name, limits)
		}
	}
	// While ops still fail because of queues that the flood left behind, the busiest remaining tenant is not limited.
	q, limits := NewQuarantine(time.Second), map[string]Limit{}
	runPeriods(q, 4, limits, flood, 0.6)
	runPeriods(q, 3, limits, func(i int, u *Usage) {
		if u.Failed = 3; i == 2 {
			u.Busy = 30 * time.Second
		} else if i == 7 {
			u.Ops, u.Busy = 0, 0
		}
	}, 0.6)
	if len(limits) != 1 {
		t.Errorf("%+v", limits)
	}
	q, limits = NewQuarantine(time.Second), map[string]Limit{}
	periodsFenced := func() (periods int) {
		runPeriods(q, 8, limits, flood, 0.6)
		if !limits["t7"].Fenced {
			t.Fatalf("%+v", limits)
		}
		for ; limits["t7"].Fenced && periods < 1000; periods++ {
			runPeriods(q, 1, limits, normal, 0.5)
		}
		return periods
	}
	first := periodsFenced()
	second := periodsFenced()
	if first < releaseAfter || second < 2*releaseAfter || second >= 1000 {
		t.Errorf("fenced for %d periods, then for %d", first, second)
	}
	runPeriods(q, 20, limits, normal, 0.5)
	if l := limits["t7"]; l.Rate >= 0 || l.Tries != RetriesPerOp {
		t.Errorf("still limited: %+v", l)
	}
	if n := runPeriods(q, 50, limits, normal, 0.5); n != 0 {
		t.Errorf("%d changes of limits without failures", n)
	}
}

// TestRuinousTenant checks that a tenant whose ops disable their servers, and so take hardly any time, is fenced as soon
// as it is detected. A tenant whose ops fail without harm to others is not fenced, nor is one whose ops fail like those
// of all others.
func TestRuinousTenant(t *testing.T) {
	ruinous := func(others float64) func(int, *Usage) {
		return func(i int, u *Usage) {
			if u.Failed = others; i == 7 {
				u.Ops, u.Failed, u.Busy = 3, 3, time.Millisecond
			}
		}
	}
	for _, c := range []struct {
		name   string
		adjust func(int, *Usage)
		fenced bool
	}{{"ruins", ruinous(2), true}, {"fails without harm", ruinous(0), false}, {"all fail", ruinous(9), false}} {
		q, limits := NewQuarantine(time.Second), map[string]Limit{}
		runPeriods(q, 4, limits, c.adjust, 0.5)
		if l := limits["t7"]; l.Fenced != c.fenced || c.fenced && (l.Rate > 1 || l.Hand > 1 || l.Tries != 0) || len(limits) > 1 {
			t.Errorf("%s: %+v", c.name, limits)
		}
	}
}

// TestRoom checks that a large tenant whose ops succeed gets more pods, slowly and up to a bound, and loses them when its
// usage falls; and that a tenant that harms others has no more than its usual subset.
func TestRoom(t *testing.T) {
	big := func(i int, u *Usage) {
		if i == 7 {
			u.Ops, u.Busy = 1000, 20*time.Second
		}
	}
	q, limits := NewQuarantine(time.Second), map[string]Limit{}
	runPeriods(q, resizeAfter-1, limits, big, 0.7)
	if len(limits) != 0 {
		t.Errorf("%+v", limits)
	}
	runPeriods(q, 1, limits, big, 0.7)
	if l := limits["t7"]; l.Room != roomStep || l.Limited() || len(limits) != 1 {
		t.Errorf("%+v", limits)
	}
	runPeriods(q, 20*resizeAfter, limits, big, 0.7)
	if l := limits["t7"]; l.Room != maxRoom {
		t.Errorf("%+v", l)
	}
	runPeriods(q, 2, limits, func(i int, u *Usage) {
		if big(i, u); i == 7 {
			u.Failed = 500
		}
	}, 0.95)
	if l := limits["t7"]; !l.Limited() || l.Room != 1 {
		t.Errorf("%+v", l)
	}
	q, limits = NewQuarantine(time.Second), map[string]Limit{}
	runPeriods(q, 2*resizeAfter, limits, big, 0.7)
	runPeriods(q, 3*resizeAfter*maxDoublings, limits, func(int, *Usage) {}, 0.5)
	if l := limits["t7"]; !l.IsDefault() {
		t.Errorf("%+v", l)
	}
}

// TestRestore checks that saved limits are in force in the next run of the pilot, and that the next fence is as long as
// without the restart.
func TestRestore(t *testing.T) {
	q, limits := NewQuarantine(time.Second), map[string]Limit{}
	bad := func(i int, u *Usage) {
		if u.Failed = 3; i == 7 {
			u.Ops, u.Failed, u.Busy = 2000, 1500, 60*time.Second
		}
	}
	runPeriods(q, 8, limits, bad, 0.6)
	saved := q.LimitRecords()
	if len(saved) != 1 || !saved[0].Fenced || saved[0].Fences != 1 {
		t.Fatalf("%+v", saved)
	}
	q = NewQuarantine(time.Second)
	q.Restore(saved)
	if got := q.LimitRecords(); len(got) != 1 || got[0] != saved[0] {
		t.Errorf("%+v", got)
	}
	if n := runPeriods(q, releaseAfter-1, limits, func(int, *Usage) {}, 0.5); n != 0 {
		t.Errorf("%d changes", n)
	}
	runPeriods(q, releaseAfter, limits, func(int, *Usage) {}, 0.5)
	if l := limits["t7"]; l.Fenced || l.IsDefault() {
		t.Errorf("%+v", l)
	}
}

// TestManyTenants checks that the number of tracked tenants is bounded, with over 10,000 tenants and unusual names, and
// that idle tenants are forgotten.
func TestManyTenants(t *testing.T) {
	q := NewQuarantine(time.Second)
	var uses []Usage
	for i := range 10_000 {
		uses = append(uses, Usage{Tenant: fmt.Sprintf("tenant %d\n;<<", i), Pod: PodID(i % 30), Ops: 1,
			Busy: time.Duration(i) * time.Millisecond})
	}
	uses = append(uses, Usage{Tenant: "", Pod: 1, Ops: 1}, Usage{Tenant: string(make([]byte, 1<<16)), Pod: 1, Ops: 1, Failed: 50})
	for range 5 {
		q.Step(uses, nil)
	}
	if len(q.tenants) > maxTenants+1 || q.tenants["tenant 9999\n;<<"] == nil || q.tenants[AggregatedTenant] == nil {
		t.Errorf("%d tenants are tracked", len(q.tenants))
	}
	for range forgetAfter + 2 {
		q.Step(nil, nil)
	}
	if len(q.tenants) != 0 {
		t.Errorf("%d idle tenants are still tracked", len(q.tenants))
	}
}

// TestAllowance checks that of a limited tenant's ops those with the highest revenue go first without starving the
// others, and that ops in progress are counted regardless of the limit at their admission.
func TestAllowance(t *testing.T) {
	for _, rate := range []float64{0.5, 2, 50} {
		var a Allowance
		admittedByRank := [2]int{}
		for i := range 20000 { // ten times the rate, ops of both ranks alternating
			rank := i % 2
			if a.Admit(time.Duration(float64(i)/rate/10*float64(time.Second)), rate, -1, float64(rank)) {
				admittedByRank[rank]++
				a.Done()
			}
		}
		if admittedByRank[1] < 9*admittedByRank[0] || admittedByRank[0]+admittedByRank[1] < 1900 ||
			admittedByRank[0]+admittedByRank[1] > 2100 {
			t.Errorf("rate %v: %v ops admitted by rank", rate, admittedByRank)
		}
		admittedByRank = [2]int{}
		for i := range 1000 { // half the rate, so that all ops are admitted
			if a.Admit(time.Duration(1e6+float64(i)/rate*2)*time.Second, rate, -1, 0) {
				admittedByRank[0]++
				a.Done()
			}
		}
		if admittedByRank[0] < 990 {
			t.Errorf("rate %v: admitted %v of 1000 ops of the lowest rank", rate, admittedByRank[0])
		}
	}
	var a Allowance
	admitted := 0
	for range 10 {
		if a.Admit(0, -1, 4, 0) {
			admitted++
		}
	}
	for range 10 {
		if a.Admit(0, -1, 4, 1) {
			admitted += 10
		}
	}
	if admitted != 22 {
		t.Errorf("%d", admitted)
	}
	if !a.Admit(0, -1, -1, 0) || a.concurrent != 5 {
		t.Errorf("%+v", a)
	}
	for range 5 {
		a.Done()
	}
	if !a.Admit(0, -1, 0, 0) || a.Admit(0, -1, 0, 1) {
		t.Error("with a limit of 0, want exactly one op in progress")
	}
}

// TestRetryBudget checks that retries are limited to a share of a tenant's ops, and that many ops save up only a small
// burst.
func TestRetryBudget(t *testing.T) {
	var b RetryBudget
	spent := 0
	for range 1000 {
		if b.Earn(RetriesPerOp); b.Spend() {
			spent++
		}
	}
	if spent < 190 || spent > 201 {
		t.Errorf("%d retries for 1000 ops", spent)
	}
	for range 1000 {
		b.Earn(RetriesPerOp)
	}
	burst := 0
	for b.Spend() {
		burst++
	}
	if burst > 5 {
		t.Errorf("a burst of %d retries", burst)
	}
	var none RetryBudget
	if none.Earn(0); none.Spend() {
		t.Error("a retry without a budget")
	}
}

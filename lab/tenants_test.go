package lab

import (
	"fmt"
	"log/slog"
	"slices"
	"testing"
	"time"

	"vetchdoor/control"
	"vetchdoor/files"
	"vetchdoor/lab/days"
)

// movingDay returns a day of six seconds on which tenants move while half of the responses are lost.
func movingDay(t *testing.T) *files.Day {
	d, err := days.Read("moving-evening")
	if err != nil {
		t.Fatal(err)
	}
	ms := func(n int) files.Duration { return files.Duration(time.Duration(n) * time.Millisecond) }
	d.Length = ms(6000)
	d.Load.Tenants.Count = 30
	d.Clients.Retries, d.Clients.Backoff, d.Clients.Honour = 4, ms(30), 0
	d.Service.OpTypes[1].OpTimeout, d.Service.OpTypes[1].DedupWindow = ms(600), ms(2000)
	d.Service.WriteLifetime = ms(1000)
	d.Net.Push, d.Net.Hears = ms(5), ms(5)
	d.Load.Works[1].Share = 2
	d.Troubles = []files.Trouble{{Kind: "move_tenants", At: ms(300), Length: ms(5000), Size: 30},
		{Kind: "answer_lost", Length: d.Length, Part: 1, Size: 0.5}}
	return d
}

// TestMovesUnderWriteLoad guards against duplicate writes of tenants that move under a heavy write load, with half of the
// responses lost and retries through other proxies: every write takes effect at most once. In the planted case pilots and
// proxies are configured with too short a write lifetime and deduplication window; the histories and rule 2 must show it,
// and no other rule may be broken.
//
// The test depends on real time. With clients that retried until the end of a window of 600 ms, and seven days in real time at
// once, 24 to 52 effects were doubled on a busy machine, by tries that arrived 603 to 1,250 ms after the first. Hence
// clients leave three tenths of the window for network delay, the windows here are wide, and realTimeSlots limits
// concurrent days.
func TestMovesUnderWriteLoad(t *testing.T) {
	t.Parallel()
	for _, planted := range []bool{false, true} {
		t.Run(fmt.Sprintf("planted %t", planted), func(t *testing.T) {
			t.Parallel()
			o := Options{Log: slog.New(slog.DiscardHandler)}
			if planted {
				o.configure = func(x *files.Service) {
					x.WriteLifetime, x.OpTypes[1].DedupWindow = files.Duration(time.Millisecond), files.Duration(time.Millisecond)
				}
			}
			r, err := playDay(t, movingDay(t), o)
			if err != nil {
				t.Fatal(err)
			}
			m := r.Moves
			otherRule := slices.ContainsFunc(r.Violations, func(b Violation) bool { return b.Rule != 2 })
			if r.AllRulesKept() == planted || otherRule || m == nil || m.Moved < 10 || r.Effects < 100 {
				t.Fatalf("%+v, %d effects, violations %v", m, r.Effects, r.Violations)
			}
			if (m.Inconsistent > 0) != planted {
				t.Errorf("%d inconsistent histories, %d duplicate effects; the load generator was late by %v at p99, %v at most",
					m.Inconsistent, r.DuplicateEffects, r.GeneratorLagP99, r.GeneratorLagMax)
			}
		})
	}
}

// TestIsLinearizable checks which write histories count as those of one write with at most one effect.
func TestIsLinearizable(t *testing.T) {
	for _, c := range []struct {
		what    string
		outcome outcome
		effects []time.Duration
		want    bool
	}{
		{"acked, took effect", opAcked, []time.Duration{2 * sec}, true},
		{"acked, no effect", opAcked, nil, false},
		{"acked before its effect", opAcked, []time.Duration{4 * sec}, false},
		{"acked, twice", opAcked, []time.Duration{2 * sec, 5 * sec}, false},
		{"unknown outcome, no effect", opAborted, nil, true},
		{"unknown outcome, late effect", opAborted, []time.Duration{9 * sec}, true},
		{"unknown outcome, twice", opAborted, []time.Duration{2 * sec, 9 * sec}, false},
		{"effect before it was sent", opAcked, []time.Duration{sec / 2}, false},
	} {
		if got := isLinearizable(&op{due: 0, ended: 2 * sec, outcome: c.outcome}, c.effects, sec); got != c.want {
			t.Errorf("%s: %t", c.what, got)
		}
	}
}

// TestMisbehaviours plays each kind of misbehaviour and checks that no rule is broken during it.
func TestMisbehaviours(t *testing.T) {
	t.Parallel()
	for _, how := range []string{"", badImpatient, badPoison, badSlowReader, badNewNames} {
		t.Run("how "+how, func(t *testing.T) {
			t.Parallel()
			d := movingDay(t)
			d.Length = files.Duration(4 * sec)
			d.Troubles = nil
			c := &d.Load.Tenants
			c.Moves, c.Limits, c.Bad, c.BadAt, c.BadLength, c.BadRate, c.BadHow = false, true, 3, files.Duration(sec/2),
				files.Duration(3*sec), 10, how
			if how == "" {
				c.BadTimes = 30
			}
			r, err := playDay(t, d, Options{Log: slog.New(slog.DiscardHandler)})
			if err != nil {
				t.Fatal(err)
			}
			l := r.Tenants
			if !r.AllRulesKept() || l == nil || l.OutsideShare <= 0 || l.OutsideShare >= 1 || l.Others <= 0 {
				t.Errorf("%+v, violations %v; the load generator was late by %v at p99, %v at most", l, r.Violations,
					r.GeneratorLagP99, r.GeneratorLagMax)
			}
		})
	}
}

// TestMisbehavingOps checks that the tenant's ops are marked within the configured period only, and that with badNewNames
// each has a tenant name of its own.
func TestMisbehavingOps(t *testing.T) {
	d := movingDay(t)
	c := &d.Load.Tenants
	c.Bad, c.BadAt, c.BadLength, c.BadRate, c.BadHow = 1, files.Duration(sec), files.Duration(2*sec), 50, badNewNames
	f := &fleet{day: d, proxies: make([]*proxyInstance, 3)}
	ops := f.addMisbehaviour([]*op{{number: 1, tenant: 1, due: sec / 2}, {number: 2, tenant: 1, due: 3 * sec / 2},
		{number: 3, tenant: 2, due: 3 * sec / 2}})
	names, marked := map[string]bool{}, 0
	for i, o := range ops {
		if i > 0 && o.due < ops[i-1].due {
			t.Fatal("the ops are not sorted by time")
		}
		if (o.misbehaviour != "") != (o.tenant == 1 && o.due >= sec && o.due < 3*sec) {
			t.Errorf("%+v", o)
		}
		if o.misbehaviour != "" {
			marked++
			names[o.tenantName()] = true
		}
	}
	if marked < 50 || len(names) != marked || d.Service.Types()[1].Repeat != control.Deduplicated {
		t.Errorf("%d marked ops, %d tenant names", marked, len(names))
	}
}

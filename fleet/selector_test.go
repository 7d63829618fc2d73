package fleet

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

func twentyPilots() (out []Pilot) {
	for i := range 20 {
		out = append(out, Pilot{fmt.Sprintf("10.0.0.%d:1", i), fmt.Sprint("z", i%4)})
	}
	return out
}

func newSelector(proxy int) *Selector {
	return NewSelector(fmt.Sprint(proxy), fmt.Sprint("z", proxy%4), twentyPilots(), time.Second,
		rand.New(rand.NewPCG(uint64(proxy), 1)))
}

// TestRank checks that pilots of a proxy's own zone come first, that proxies spread evenly over preferred pilots, and
// that the proxies of one pilot have their second choices spread over the other pilots of its zone.
func TestRank(t *testing.T) {
	preferred, second := map[string]int{}, map[string]int{}
	for p := range 4000 {
		r := newSelector(p).Ranked()
		preferred[r[0]]++
		if r[0] == "10.0.0.0:1" {
			second[r[1]]++
		}
		for _, a := range r[:5] {
			i := 0
			fmt.Sscanf(a, "10.0.0.%d:1", &i)
			if i%4 != p%4 {
				t.Fatalf("ranking %v for a proxy of zone %d", r, p%4)
			}
		}
	}
	for a, n := range preferred {
		if math.Abs(float64(n)-200) > 6*math.Sqrt(200) {
			t.Errorf("%s is preferred by %d of 4000", a, n)
		}
	}
	if len(second) != 4 {
		t.Errorf("%v", second)
	}
}

// TestNext checks that a round dials each pilot once; that the waits between rounds grow up to a bound, with jitter; and
// that a redirect is followed once per round and only to a known pilot.
func TestNext(t *testing.T) {
	s := newSelector(3)
	var waits []time.Duration
	for range 10 {
		seen := map[string]bool{}
		for i := range 20 {
			a, wait := s.Next()
			if seen[a] = true; i == 0 {
				waits = append(waits, wait)
			} else if wait != 0 {
				t.Fatal("a wait within a round")
			}
			s.Failed("")
		}
		if len(seen) != 20 {
			t.Fatalf("%d pilots dialled, want 20", len(seen))
		}
	}
	for i, w := range waits[1:] {
		want := time.Duration(min(4, math.Pow(2, float64(i)))) * time.Second
		if w < want/2 || w > want*3/2 {
			t.Errorf("round %d waits %v, want a mean of %v", i, w, want)
		}
	}
	s = newSelector(3)
	first, _ := s.Next()
	s.Failed("8.8.8.8:1")
	if a, _ := s.Next(); a != s.Ranked()[1] || first != s.Ranked()[0] {
		t.Errorf("followed a redirect to an unknown pilot: %s", a)
	}
	s.Failed(s.Ranked()[9])
	if a, wait := s.Next(); a != s.Ranked()[9] || wait != 0 {
		t.Errorf("%s", a)
	}
	s.Failed(s.Ranked()[8])
	if a, _ := s.Next(); a == s.Ranked()[8] {
		t.Error("followed two redirects in a round: pilots that redirect to each other could do so without end")
	}
	if a, wait := NewSelector("1", "z", nil, time.Second, rand.New(rand.NewPCG(1, 1))).Next(); a != "" || wait <= 0 {
		t.Error("without pilots, want no address and a wait")
	}
}

// TestDisconnected checks that a pilot which admits proxies and drops them is dialled at growing intervals, and that a
// stable stream resets the wait.
func TestDisconnected(t *testing.T) {
	s, now := newSelector(1), time.Duration(0)
	var last time.Duration
	for range 8 {
		a, _ := s.Next()
		s.Connected(now, a)
		now += time.Millisecond
		last = s.Disconnected(now, "")
	}
	if last < 2*time.Second {
		t.Errorf("waits only %v after eight dropped streams", last)
	}
	a, _ := s.Next()
	s.Connected(now, a)
	now += 25 * time.Second
	if w := s.Disconnected(now, ""); w > 1500*time.Millisecond {
		t.Errorf("waits %v after a stable stream", w)
	}
	a, _ = s.Next()
	s.Connected(now, a)
	if w := s.Disconnected(now, s.Ranked()[5]); w > time.Second {
		t.Errorf("waits %v after a redirect", w)
	}
	if a, _ := s.Next(); a != s.Ranked()[5] {
		t.Error("did not follow the redirect")
	}
}

// TestProbeDue checks that a proxy that is not connected to its preferred pilot probes it after a random time, and that a
// proxy that is connected to it does not.
func TestProbeDue(t *testing.T) {
	var times []time.Duration
	for p := range 100 {
		s := newSelector(p)
		s.Connected(0, s.Ranked()[0])
		if _, ok := s.ProbeDue(time.Hour); ok {
			t.Fatal("probes the preferred pilot although connected to it")
		}
		s.Connected(0, s.Ranked()[1])
		at := time.Duration(0)
		for ; at < 10*time.Minute; at += time.Second {
			if a, ok := s.ProbeDue(at); ok {
				if a != s.Ranked()[0] {
					t.Fatal(a)
				}
				break
			}
		}
		times = append(times, at)
		s.Reset()
		s.Disconnected(at, "")
		if a, _ := s.Next(); a != s.Ranked()[0] {
			t.Fatal(a)
		}
	}
	slices.Sort(times)
	if times[0] < time.Minute || times[99] > 121*time.Second || times[99]-times[0] < 45*time.Second {
		t.Errorf("probes from %v to %v", times[0], times[99])
	}
}

// TestDialsSpread checks that proxies which lose a pilot at the same moment dial again at different times: none of ten
// equal parts of the span of the dials has more than a fifth of them.
func TestDialsSpread(t *testing.T) {
	var waits []time.Duration
	for p := range 400 {
		s := newSelector(p)
		a, _ := s.Next()
		s.Connected(0, a)
		waits = append(waits, s.Disconnected(time.Hour, ""))
	}
	slices.Sort(waits)
	first, last := waits[0], waits[len(waits)-1]
	parts := [10]int{}
	for _, w := range waits {
		parts[min(9, int(10*(w-first)/max(last-first, 1)))]++
	}
	if most := slices.Max(parts[:]); last < 2*first || most > len(waits)/5 {
		t.Errorf("dials from %v to %v, %d of %d in one tenth", first, last, most, len(waits))
	}
}

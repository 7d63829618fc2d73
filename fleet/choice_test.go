package fleet

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

func twenty() (out []At) {
	for i := range 20 {
		out = append(out, At{fmt.Sprintf("10.0.0.%d:1", i), fmt.Sprint("z", i%4)})
	}
	return out
}

func choice(proxy int) *Choice {
	return NewChoice(fmt.Sprint(proxy), fmt.Sprint("z", proxy%4), twenty(), Waits{time.Second}, rand.New(rand.NewPCG(uint64(proxy), 1)))
}

// Each proxy's own zone comes first; homes spread evenly; those of a pilot that goes spread over its zone's others, and nobody
// else moves.
func TestRank(t *testing.T) {
	home, second := map[string]int{}, map[string]int{}
	for p := range 4000 {
		r := choice(p).Ranked()
		home[r[0]]++
		if r[0] == "10.0.0.0:1" {
			second[r[1]]++
		}
		for _, a := range r[:5] {
			i := 0
			fmt.Sscanf(a, "10.0.0.%d:1", &i)
			if i%4 != p%4 {
				t.Fatalf("%v for zone %d", r, p%4)
			}
		}
	}
	for a, n := range home {
		if math.Abs(float64(n)-200) > 6*math.Sqrt(200) {
			t.Errorf("%s is home to %d of 4000", a, n)
		}
	}
	if len(second) != 4 {
		t.Errorf("%v", second)
	}
}

// A round tries each pilot once; rounds wait longer and longer, up to a bound, with jitter; a hint is followed once a round
// and only to a known pilot.
func TestDial(t *testing.T) {
	c := choice(3)
	var waits []time.Duration
	for range 10 {
		seen := map[string]bool{}
		for i := range 20 {
			a, wait := c.Dial()
			if seen[a] = true; i == 0 {
				waits = append(waits, wait)
			} else if wait != 0 {
				t.Fatal("waits within a round")
			}
			c.Failed("")
		}
		if len(seen) != 20 {
			t.Fatalf("%d dialled", len(seen))
		}
	}
	for i, w := range waits[1:] {
		want := time.Duration(min(4, math.Pow(2, float64(i)))) * time.Second
		if w < want/2 || w > want*3/2 {
			t.Errorf("round %d waits %v, %v is meant", i, w, want)
		}
	}
	c = choice(3)
	first, _ := c.Dial()
	c.Failed("8.8.8.8:1")
	if a, _ := c.Dial(); a != c.Ranked()[1] || first != c.Ranked()[0] {
		t.Errorf("followed a stranger's hint: %s", a)
	}
	c.Failed(c.Ranked()[9])
	if a, wait := c.Dial(); a != c.Ranked()[9] || wait != 0 {
		t.Errorf("%s", a)
	}
	c.Failed(c.Ranked()[8])
	if a, _ := c.Dial(); a == c.Ranked()[8] {
		t.Error("two hints in a round: pilots that send to each other would keep it")
	}
	if a, wait := NewChoice("1", "z", nil, Waits{time.Second}, rand.New(rand.NewPCG(1, 1))).Dial(); a != "" || wait <= 0 {
		t.Error("no pilots, no wait")
	}
}

// A pilot that takes everybody and drops them is dialled ever more seldom; a stream that stood clears that.
func TestDown(t *testing.T) {
	c, now := choice(1), time.Duration(0)
	var last time.Duration
	for range 8 {
		a, _ := c.Dial()
		c.Up(now, a)
		now += time.Millisecond
		last = c.Down(now, "")
	}
	if last < 2*time.Second {
		t.Errorf("waits %v after eight drops", last)
	}
	a, _ := c.Dial()
	c.Up(now, a)
	now += 25 * time.Second
	if w := c.Down(now, ""); w > 1500*time.Millisecond {
		t.Errorf("waits %v after a stream that stood", w)
	}
	a, _ = c.Dial()
	c.Up(now, a)
	if w := c.Down(now, c.Ranked()[5]); w > time.Second {
		t.Errorf("sent away with a hint, it waits %v", w)
	}
	if a, _ := c.Dial(); a != c.Ranked()[5] {
		t.Error("does not go where it was sent")
	}
}

// A proxy that is not at home looks for it later, at a time of its own; one that is does not.
func TestHome(t *testing.T) {
	var times []time.Duration
	for p := range 100 {
		c := choice(p)
		c.Up(0, c.Ranked()[0])
		if _, ok := c.Home(time.Hour); ok {
			t.Fatal("looks for home at home")
		}
		c.Up(0, c.Ranked()[1])
		at := time.Duration(0)
		for ; at < 10*time.Minute; at += time.Second {
			if a, ok := c.Home(at); ok {
				if a != c.Ranked()[0] {
					t.Fatal(a)
				}
				break
			}
		}
		times = append(times, at)
		c.GoHome()
		c.Down(at, "")
		if a, _ := c.Dial(); a != c.Ranked()[0] {
			t.Fatal(a)
		}
	}
	slices.Sort(times)
	if times[0] < time.Minute || times[99] > 121*time.Second || times[99]-times[0] < 45*time.Second {
		t.Errorf("from %v to %v", times[0], times[99])
	}
}

// A pilot that is full, ends or has no list sends proxies away, spread over the others.
func TestDoor(t *testing.T) {
	d := &Door{Most: 10, Others: []string{"a", "b", "c", "d"}}
	if a := d.Hello("1", 0); a.In || a.Why != "no list yet" {
		t.Errorf("%+v", a)
	}
	d.Ready = true
	if a := d.Hello("1", 9); !a.In {
		t.Errorf("%+v", a)
	}
	to := map[string]int{}
	for p := range 400 {
		a := d.Hello(fmt.Sprint(p), 10)
		if a.In || a.Why != "full" {
			t.Fatalf("%+v", a)
		}
		to[a.Hint]++
	}
	if len(to) != 4 || to["a"] < 60 {
		t.Errorf("%v", to)
	}
	d.Leaving = true
	if a := d.Hello("1", 0); a.In || a.Why != "this pilot ends" {
		t.Errorf("%+v", a)
	}
	if a := (&Door{Ready: true, Most: 1}).Hello("1", 1); a.In || a.Hint != "" {
		t.Errorf("%+v", a)
	}
}

// All streams are sent away before the deadline, evenly.
func TestLeave(t *testing.T) {
	for _, n := range []int{0, 1, 7, 500} {
		left, streams, most := 10*time.Second, n, 0
		for ; left > 0 && streams > 0; left -= 100 * time.Millisecond {
			k := Leave(streams, left, 10*time.Second, 100*time.Millisecond)
			most = max(most, k)
			streams -= k
		}
		if streams > 0 || left < 2*time.Second || most > n/60+1 {
			t.Errorf("%d streams: %d are left with %v to go, %d at once", n, streams, left, most)
		}
	}
	if Leave(9, 0, time.Second, time.Second) != 9 {
		t.Error("no time left, and some stay")
	}
}

// Proxies that lose a pilot at one moment come back at moments of their own: none of ten equal parts of the span in which
// they dial sees more than a fifth of them.
func TestDialsSpread(t *testing.T) {
	var waits []time.Duration
	for p := range 400 {
		c := choice(p)
		a, _ := c.Dial()
		c.Up(0, a)
		waits = append(waits, c.Down(time.Hour, ""))
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

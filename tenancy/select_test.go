package tenancy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
)

func testPods(n int) (out []Pod) {
	for i := range n {
		out = append(out, Pod{ID: PodID(i), Zone: i % 3, Capacity: 1 + float64(i%2)})
	}
	return out
}

// TestSelectPods checks that subsets are spread over zones and by capacity, do not depend on the order of the pods, and
// change only if a removed pod was part of them; and that the tenants lost with one tenant's subset are as BlastRadius
// predicts.
func TestSelectPods(t *testing.T) {
	const tenants, count = 3000, 3
	pods := testPods(30)
	got := map[PodID]float64{}
	subsets := map[string][]PodID{}
	for i := range tenants {
		name := fmt.Sprint("newsroom ", i)
		s := SelectPods(name, pods, count)
		subsets[name] = s
		zones := map[int]bool{}
		for _, p := range s {
			got[p]++
			zones[int(p)%3] = true
		}
		if len(s) != count || len(zones) != 3 {
			t.Fatalf("%v", s)
		}
	}
	for i, p := range pods {
		want := p.Capacity / 15 * tenants // the ten pods of a zone have a total capacity of 15
		if math.Abs(got[p.ID]-want) > 6*math.Sqrt(want) {
			t.Errorf("pod %d is in %v subsets, want %.0f for its capacity", i, got[p.ID], want)
		}
	}
	shuffled := slices.Clone(pods)
	rand.New(rand.NewPCG(1, 1)).Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	changed := 0
	for name, s := range subsets {
		if !reflect.DeepEqual(s, SelectPods(name, shuffled, count)) {
			t.Fatal("the subset depends on the order of the pods")
		}
		after := SelectPods(name, pods[:29], count)
		if had := slices.Contains(s, 29); had != !reflect.DeepEqual(s, after) {
			t.Fatalf("%s: subset %v, after the removal of a pod %v", name, s, after)
		} else if had {
			changed++
		}
	}
	if changed == 0 {
		t.Error("no subset had the removed pod")
	}
	even := make([]Pod, 30)
	for i := range even {
		even[i] = Pod{ID: PodID(i), Capacity: 1}
	}
	failedSubset := SelectPods("poisoned", even, count)
	whole, any := 0.0, 0.0
	for name := range subsets {
		s := SelectPods(name, even, count)
		shared := 0
		for _, p := range s {
			if slices.Contains(failedSubset, p) {
				shared++
			}
		}
		if shared == count {
			whole++
		}
		if shared > 0 {
			any++
		}
	}
	w, a := BlastRadius(30, count)
	if math.Abs(any/tenants-a) > 0.03 || whole/tenants > w+0.002 {
		t.Errorf("lost whole subset %v, any pod %v; BlastRadius returns %v, %v", whole/tenants, any/tenants, w, a)
	}
	for _, unusual := range []string{"", "\x00", string(make([]byte, 1<<16)), "🗳"} {
		if len(SelectPods(unusual, pods, count)) != count {
			t.Errorf("%.10q", unusual)
		}
	}
	if s := SelectPods("x", pods[:2], 5); len(s) != 2 || SelectPods("x", nil, 3) != nil {
		t.Errorf("%v", s)
	}
}

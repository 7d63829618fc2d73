package tenancy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
)

func somePods(n int) (out []Pod) {
	for i := range n {
		out = append(out, Pod{ID: PodID(i), Zone: i % 3, Capacity: 1 + float64(i%2)})
	}
	return out
}

// Subsets spread over zones and by power, are the same for whoever knows the same pods, and move only where a pod that
// went was drawn; what one tenant ruins is what the sizes predict.
func TestPlace(t *testing.T) {
	const tenants, count = 3000, 3
	pods := somePods(30)
	got := map[PodID]float64{}
	subsets := map[string][]PodID{}
	for i := range tenants {
		name := fmt.Sprint("newsroom ", i)
		s := Place(name, pods, count)
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
		want := p.Capacity / 15 * tenants // a zone's ten pods have power 15 together
		if math.Abs(got[p.ID]-want) > 6*math.Sqrt(want) {
			t.Errorf("pod %d is in %v subsets, its power asks for %.0f", i, got[p.ID], want)
		}
	}
	shuffled := slices.Clone(pods)
	rand.New(rand.NewPCG(1, 1)).Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	changed := 0
	for name, s := range subsets {
		if !reflect.DeepEqual(s, Place(name, shuffled, count)) {
			t.Fatal("depends on the order of the pods")
		}
		after := Place(name, pods[:29], count)
		if had := slices.Contains(s, 29); had != !reflect.DeepEqual(s, after) {
			t.Fatalf("%s: %v, then %v", name, s, after)
		} else if had {
			changed++
		}
	}
	if changed == 0 {
		t.Error("nobody used the pod that went")
	}
	even := make([]Pod, 30)
	for i := range even {
		even[i] = Pod{ID: PodID(i), Capacity: 1}
	}
	poisoned := Place("poisoned", even, count)
	whole, any := 0.0, 0.0
	for name := range subsets {
		s := Place(name, even, count)
		shared := 0
		for _, p := range s {
			if slices.Contains(poisoned, p) {
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
	w, a := Blast(30, count)
	if math.Abs(any/tenants-a) > 0.03 || whole/tenants > w+0.002 {
		t.Errorf("lost whole %v, any %v; predicted %v, %v", whole/tenants, any/tenants, w, a)
	}
	for _, odd := range []string{"", "\x00", string(make([]byte, 1<<16)), "🗳"} {
		if len(Place(odd, pods, count)) != count {
			t.Errorf("%.10q", odd)
		}
	}
	if s := Place("x", pods[:2], 5); len(s) != 2 || Place("x", nil, 3) != nil {
		t.Errorf("%v", s)
	}
}

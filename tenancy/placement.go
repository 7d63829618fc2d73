package tenancy

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// PodID numbers a pod: a few servers of one zone that tenants share or do not share as a whole. The design's cells group
// servers that share a table; a pod is smaller and never called a cell.
type PodID uint32

// PodOf is the pod of a pack of servers of a zone.
func PodOf(zone, pack int) PodID { return PodID(zone)<<16 | PodID(pack) }

// Pod is a pod as it stands.
type Pod struct {
	ID       PodID
	Zone     int
	Capacity float64 // work a second that its listed servers can do
}

// Place gives a tenant its subset: count pods, drawn by rendezvous weighted by power, no zone giving a second pod before
// each with one left has given its first. A pod that comes or goes changes the subsets only of tenants that it is drawn
// for; every proxy and pilot that knows the same pods finds the same subset, without a line sent.
func Place(tenant string, pods []Pod, count int) []PodID {
	type drawn struct {
		Pod
		score float64
	}
	all := make([]drawn, 0, len(pods))
	for _, p := range pods {
		if p.Capacity > 0 {
			all = append(all, drawn{p, score(tenant, p)})
		}
	}
	slices.SortFunc(all, func(a, b drawn) int { return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.ID, b.ID)) })
	given := map[int]int{}
	var out []PodID
	for round := 0; len(out) < count && round < len(all); round++ {
		for _, d := range all {
			if len(out) < count && given[d.Zone] == round && !slices.Contains(out, d.ID) {
				out = append(out, d.ID)
				given[d.Zone]++
			}
		}
		for _, d := range all { // a zone that has none left does not hold up the others
			if given[d.Zone] == round {
				given[d.Zone]++
			}
		}
	}
	slices.Sort(out)
	return out
}

// score is the weighted rendezvous score of a pod for a tenant.
func score(tenant string, p Pod) float64 {
	h := xxhash.New()
	_, _ = h.WriteString(tenant)
	_, _ = h.Write([]byte{0, byte(p.ID), byte(p.ID >> 8), byte(p.ID >> 16), byte(p.ID >> 24)})
	u := (float64(h.Sum64()>>11) + 0.5) / (1 << 53)
	return -p.Capacity / math.Log(u)
}

// Blast is what a tenant that ruins every pod that it reaches does to the others, by the sizes alone: the share of
// tenants that lose their whole subset with it, and the share that lose any of theirs.
func Blast(pods, count int) (whole, any float64) {
	if count <= 0 || count > pods {
		return 1, 1
	}
	same, apart := 1.0, 1.0
	for i := range count {
		same *= float64(count-i) / float64(pods-i)
		apart *= max(0, float64(pods-count-i)) / float64(pods-i)
	}
	return same, 1 - apart
}

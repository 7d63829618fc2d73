package tenancy

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// PodID identifies a pod: a few servers of one zone. Tenants share all servers of a pod or none. A pod is smaller than a
// cell, which is a group of servers that share a table.
type PodID uint32

// PodOf returns the ID of the pod for a zone and one of its packs of servers.
func PodOf(zone, pack int) PodID { return PodID(zone)<<16 | PodID(pack) }

// Pod is a pod with its current capacity.
type Pod struct {
	ID       PodID
	Zone     int
	Capacity float64 // work per second that the pod's listed servers can do
}

// SelectPods returns the subset of a tenant: count pods, sorted by ID, selected by rendezvous hashing weighted by
// capacity. A zone gives its second pod only after each zone with pods left has given its first, and so on. Adding or
// removing a pod changes only the subsets that include it. All proxies and pilots with the same pods compute the same
// subset, without communication.
func SelectPods(tenant string, pods []Pod, count int) []PodID {
	type candidate struct {
		Pod
		score float64
	}
	candidates := make([]candidate, 0, len(pods))
	for _, p := range pods {
		if p.Capacity > 0 {
			candidates = append(candidates, candidate{p, score(tenant, p)})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.ID, b.ID))
	})
	podsInZone := map[int]int{}
	var out []PodID
	for round := 0; len(out) < count && round < len(candidates); round++ {
		for _, c := range candidates {
			if len(out) < count && podsInZone[c.Zone] == round && !slices.Contains(out, c.ID) {
				out = append(out, c.ID)
				podsInZone[c.Zone]++
			}
		}
		for _, c := range candidates { // zones with no pods left also advance to the next round
			if podsInZone[c.Zone] == round {
				podsInZone[c.Zone]++
			}
		}
	}
	slices.Sort(out)
	return out
}

// score returns the weighted rendezvous score of a pod for a tenant.
func score(tenant string, p Pod) float64 {
	h := xxhash.New()
	_, _ = h.WriteString(tenant)
	_, _ = h.Write([]byte{0, byte(p.ID), byte(p.ID >> 8), byte(p.ID >> 16), byte(p.ID >> 24)})
	u := (float64(h.Sum64()>>11) + 0.5) / (1 << 53)
	return -p.Capacity / math.Log(u)
}

// BlastRadius returns the effect of a tenant that disables every pod in its subset, computed from the sizes alone: the
// share of tenants that lose their whole subset, and the share that lose at least one pod.
func BlastRadius(pods, count int) (whole, any float64) {
	if count <= 0 || count > pods {
		return 1, 1
	}
	wholeShare, noneShare := 1.0, 1.0
	for i := range count {
		wholeShare *= float64(count-i) / float64(pods-i)
		noneShare *= max(0, float64(pods-count-i)) / float64(pods-i)
	}
	return wholeShare, 1 - noneShare
}

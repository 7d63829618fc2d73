package tenancy

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Groups are the groups of servers among which the group of a deduplicated write is selected. Servers of one group drop
// each other's duplicates; servers of different groups do not. The groups come from the settings alone, which are the
// same at all proxies. Tables and messages from pilots may differ between proxies and have no influence. So all tries of
// a write go to the same group, through whichever proxies they come. The zero value has no groups.
//
// The groups change in two steps, like the joint configuration of a consensus protocol. First every proxy gets both the
// old and the new groups; it sends a write only if both select the same group. Once all proxies have both, and the
// longest write lifetime and deduplication window have passed, every proxy gets the new groups alone. So no write is sent
// by the old groups alone while another proxy sends it by the new groups alone, nor within its deduplication window
// before that.
type Groups struct {
	current groupSet
	next    groupSet
	joint   bool // whether a change is under way, so that next must select the same group
}

// groupSet is a set of groups, sorted by ID. All have the same capacity in the selection, so that a change of a group's
// real capacity moves no write.
type groupSet struct {
	ids  []PodID
	pods []Pod
}

// newGroupSet returns the groups with the given IDs, each once.
func newGroupSet(ids []PodID) groupSet {
	s := groupSet{ids: slices.Clone(ids)}
	slices.Sort(s.ids)
	s.ids = slices.Compact(s.ids)
	for _, id := range s.ids {
		s.pods = append(s.pods, Pod{ID: id, Zone: int(id >> 16), Capacity: 1})
	}
	return s
}

// NewGroups returns groups that are not being changed.
func NewGroups(ids []PodID) Groups { return Groups{current: newGroupSet(ids)} }

// NewJointGroups returns groups during a change from current to next.
func NewJointGroups(current, next []PodID) Groups {
	return Groups{current: newGroupSet(current), next: newGroupSet(next), joint: true}
}

// InZone returns the groups of one zone; zone is a value of ZoneGroup.
func (g Groups) InZone(zone PodID) Groups {
	inOtherZone := func(id PodID) bool { return ZoneGroup(id) != zone }
	g.current = newGroupSet(slices.DeleteFunc(slices.Clone(g.current.ids), inOtherZone))
	g.next = newGroupSet(slices.DeleteFunc(slices.Clone(g.next.ids), inOtherZone))
	return g
}

// ZoneGroup returns the ID of the group that stands for all servers of a pod's zone.
func ZoneGroup(p PodID) PodID { return p &^ 0xffff }

// Write holds what the group of a deduplicated write is selected by.
type Write struct {
	Tenant    string // empty: the write belongs to no tenant
	Placement Placement
	Count     int    // number of groups in a tenant's subset; 0: all
	Key       string // the key by which servers deduplicate the write; empty: they do not
}

// AllGroups reports whether writes of the tenant may use all groups: no subset size and no placement restricts it.
func (w Write) AllGroups() bool {
	return w.Count == 0 && w.Placement.Size == 0 && len(w.Placement.Pods) == 0
}

// Subset returns the groups that writes of the tenant may go to, sorted by ID. The caller must not change the result.
func (g Groups) Subset(w Write) []PodID { return g.current.subset(w) }

// subset returns the groups that writes of the tenant may go to.
func (s groupSet) subset(w Write) []PodID {
	if subset := w.Placement.SelectFrom(w.Tenant, s.pods, w.Count); subset != nil {
		return subset
	}
	return s.ids
}

// Joint reports whether the groups are being changed, so that the new groups must select the same group for a write as
// the old ones.
func (g Groups) Joint() bool { return g.joint }

// NextSubset returns the subset of the tenant among the new groups, sorted by ID; nil if the groups are not being
// changed. The caller must not change the result.
func (g Groups) NextSubset(w Write) []PodID {
	if !g.joint {
		return nil
	}
	return g.next.subset(w)
}

// Draw returns the group of a write among its subset. It returns false if the subset is empty, or if the groups are being
// changed and the new groups select another group.
func (g Groups) Draw(w Write, subset []PodID) (PodID, bool) {
	return g.DrawFrom(w, subset, g.NextSubset(w))
}

// DrawFrom is like Draw, for a caller that has cached the results of Subset and NextSubset.
func (g Groups) DrawFrom(w Write, subset, nextSubset []PodID) (PodID, bool) {
	group, ok := w.draw(subset)
	if !ok || !g.joint {
		return group, ok
	}
	next, ok := w.draw(nextSubset)
	return group, ok && next == group
}

// draw selects a group by rendezvous hashing of the key; a write without a key goes to the first group of its subset.
func (w Write) draw(subset []PodID) (PodID, bool) {
	if len(subset) == 0 {
		return 0, false
	}
	selected, highest := subset[0], uint64(0)
	if w.Key == "" || len(subset) == 1 {
		return selected, true
	}
	hash := xxhash.Sum64String(w.Tenant + "\x00" + w.Key)
	for _, id := range subset {
		if score := rendezvousScore(hash, uint64(id)); score > highest {
			selected, highest = id, score
		}
	}
	return selected, true
}

// rendezvousScore returns the score of an ID for the hash of a name. It mixes the bits by the finalizer of SplitMix64
// (Steele et al., 2014).
func rendezvousScore(hash, id uint64) uint64 {
	x := hash ^ (id+1)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

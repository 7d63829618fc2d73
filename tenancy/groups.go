package tenancy

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Groups are the groups of servers that deduplicated writes are drawn among: servers of one group drop each other's repeats,
// servers of two do not. They come from the settings, which are the same at all proxies, and from nothing that a proxy is told or
// sees, which may differ: all tries of a write go to one group, whatever proxies they come through. The zero value has no group.
//
// Groups change in two steps, as members of a quorum do by a joint configuration. First every proxy is given both the old and
// the new ones; it lets a write go only where both draw the same group. Once all have both, and the longest write and window have
// passed, every proxy is given the new ones alone. So no write is let go by the old ones alone while another proxy lets it go by
// the new ones alone, nor within its window before that.
type Groups struct {
	now   groupSet
	next  groupSet
	joint bool // next is to be asked too
}

// groupSet are groups by id, each with the same part of the writes: what one can do changes, and must not move a write.
type groupSet struct {
	ids  []PodID
	pods []Pod
}

func newGroupSet(ids []PodID) groupSet {
	s := groupSet{ids: slices.Clone(ids)}
	slices.Sort(s.ids)
	s.ids = slices.Compact(s.ids)
	for _, id := range s.ids {
		s.pods = append(s.pods, Pod{ID: id, Zone: int(id >> 16), Capacity: 1})
	}
	return s
}

// NewGroups makes groups that do not change.
func NewGroups(ids []PodID) Groups { return Groups{now: newGroupSet(ids)} }

// NewJointGroups makes groups that are being changed.
func NewJointGroups(now, next []PodID) Groups {
	return Groups{now: newGroupSet(now), next: newGroupSet(next), joint: true}
}

// Within returns the groups of one zone.
func (g Groups) Within(zone PodID) Groups {
	elsewhere := func(id PodID) bool { return ZoneOf(id) != zone }
	g.now = newGroupSet(slices.DeleteFunc(slices.Clone(g.now.ids), elsewhere))
	g.next = newGroupSet(slices.DeleteFunc(slices.Clone(g.next.ids), elsewhere))
	return g
}

// ZoneOf is the group that stands for all servers of a pod's zone.
func ZoneOf(p PodID) PodID { return p &^ 0xffff }

// Write is what a deduplicated write's group is drawn by.
type Write struct {
	Tenant    string // empty: nobody's
	Placement Placement
	Count     int    // groups of a tenant's subset; 0: all
	Key       string // by which servers know a repeat; empty: they know none
}

// AllGroups tells whether a write's tenant, if any, may use all groups.
func (w Write) AllGroups() bool {
	return w.Count == 0 && w.Placement.Size == 0 && len(w.Placement.Pods) == 0
}

// Subset returns the groups that writes of a tenant may go to, by id. It must not be changed.
func (g Groups) Subset(w Write) []PodID { return g.now.subset(w) }

// subset returns the groups that a write may go to.
func (s groupSet) subset(w Write) []PodID {
	if subset := w.Placement.SelectFrom(w.Tenant, s.pods, w.Count); subset != nil {
		return subset
	}
	return s.ids
}

// Joint tells whether the groups are being changed, so that a write's groups to come are asked too.
func (g Groups) Joint() bool { return g.joint }

// NextSubset returns the groups to come that writes of a tenant may go to, by id; nil where none are to come. It must not be changed.
func (g Groups) NextSubset(w Write) []PodID {
	if !g.joint {
		return nil
	}
	return g.next.subset(w)
}

// Draw returns the group of a write among its subset; false where there is none, or where the groups to come would draw another.
func (g Groups) Draw(w Write, subset []PodID) (PodID, bool) {
	return g.DrawFrom(w, subset, g.NextSubset(w))
}

// DrawFrom is Draw for a caller that has kept both subsets of a write's tenant, those of Subset and of NextSubset.
func (g Groups) DrawFrom(w Write, subset, nextSubset []PodID) (PodID, bool) {
	group, ok := w.draw(subset)
	if !ok || !g.joint {
		return group, ok
	}
	next, ok := w.draw(nextSubset)
	return group, ok && next == group
}

// draw draws a group by rendezvous of the key; a write without one has the first of its subset.
func (w Write) draw(subset []PodID) (PodID, bool) {
	if len(subset) == 0 {
		return 0, false
	}
	drawn, most := subset[0], uint64(0)
	if w.Key == "" || len(subset) == 1 {
		return drawn, true
	}
	name := xxhash.Sum64String(w.Tenant + "\x00" + w.Key)
	for _, id := range subset {
		if s := mixed(name, uint64(id)); s > most {
			drawn, most = id, s
		}
	}
	return drawn, true
}

// mixed is the rendezvous score of an id for a name's hash, by the finalizer of SplitMix64 (Steele and others, 2014).
func mixed(name, id uint64) uint64 {
	x := name ^ (id+1)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

package proxy

import (
	"slices"
	"time"

	"vetchdoor/control"
	"vetchdoor/files"
	"vetchdoor/tenancy"
)

// groupKind is the kind of group that the writes of an op type are assigned to. It depends on which servers drop each
// other's repeats and on whether the writes must stay in the proxy's own zone.
type groupKind int

const (
	allPacks groupKind = iota
	allZones
	ownZonePacks // packs of the proxy's zone
	ownZone
	groupKindCount
)

// kindOf returns the group kind of a deduplicated op type.
func kindOf(t *control.OpType) groupKind {
	switch {
	case t.Group == control.GroupZone && t.OwnZoneOnly:
		return ownZone
	case t.Group == control.GroupZone:
		return allZones
	case t.OwnZoneOnly:
		return ownZonePacks
	}
	return allPacks
}

// isZone reports whether the groups are whole zones.
func (k groupKind) isZone() bool { return k == allZones || k == ownZone }

// writeGroups are the groups that deduplicated writes are assigned to, with cached subsets of them for tenants. The proxy
// and its tenants share one value.
type writeGroups struct {
	byKind      [groupKindCount]tenancy.Groups
	subsets     [groupKindCount]subsetCache
	nextSubsets [groupKindCount]subsetCache // among the next groups, while the settings change the groups
}

// newWriteGroups returns the write groups that the settings name, for a proxy in the given zone.
func newWriteGroups(s *files.Service, zone int) *writeGroups {
	g, own := &writeGroups{}, tenancy.PodOf(zone, 0)
	g.byKind[allPacks], g.byKind[allZones] = s.WriteGroups()
	g.byKind[ownZonePacks], g.byKind[ownZone] = g.byKind[allPacks].InZone(own), g.byKind[allZones].InZone(own)
	return g
}

// groupsFor returns the groups of a kind that a write may go to. The caller must not modify the result.
func (g *writeGroups) groupsFor(kind groupKind, w tenancy.Write) []tenancy.PodID {
	if w.AllGroups() { // the tenant may use all groups: nothing to draw or cache
		return g.byKind[kind].Subset(w)
	}
	return g.subsets[kind].getOrDraw(w, g.byKind[kind].Subset)
}

// draw returns the group that a write is assigned to among its subset. It returns false if there is no group, or if the
// groups are being changed and the next groups would assign another one.
func (g *writeGroups) draw(kind groupKind, w tenancy.Write, subset []tenancy.PodID) (tenancy.PodID, bool) {
	groups := &g.byKind[kind]
	if w.AllGroups() || !groups.Joint() { // no next subset to cache
		return groups.Draw(w, subset)
	}
	return groups.DrawFrom(w, subset, g.nextSubsets[kind].getOrDraw(w, groups.NextSubset))
}

// placement is the group that all tries of one write must go to, whichever proxies they are sent through.
type placement struct {
	isZone bool // true if the group is a zone, false if it is a pack
	group  tenancy.PodID
	pods   []tenancy.PodID // if the group is a zone: the pods in it that the tenant uses; nil for all
}

// contains reports whether a try of the write may go to e.
func (p *placement) contains(e *server) bool {
	if !p.isZone {
		return e.pod() == p.group
	}
	return tenancy.ZoneGroup(e.pod()) == p.group && (p.pods == nil || slices.Contains(p.pods, e.pod()))
}

// placeWrite returns the placement of an op of the given type. The placement is nil if the op may go to any server that its
// tenant may use, because it may run anywhere or because no server can recognize a repeat of it. known is false, and the op
// must be rejected, if the settings name no group, if they are changing to groups that would assign another one, if no pilot
// has yet sent this proxy the placements of moved tenants, or if the tenant is fenced and the group is outside its fence.
func (p *Proxy) placeWrite(typeIndex int, owner *tenant, key []byte, current *tables, limit tenancy.Limit,
	sinceStart time.Duration) (placed *placement, known bool) {
	t := &p.opTypes[typeIndex]
	if !files.HasWriteGroup(t.OpType) {
		return nil, true
	}
	kind, write := kindOf(&t.OpType), tenancy.Write{}
	if owner != nil {
		write = p.tenants.writeOf(kind, owner, current.bindings)
	}
	if write.Key = string(key); write.Key == "" && write.AllGroups() {
		return nil, true
	}
	if owner != nil && current.bindings.unsynced {
		return nil, false
	}
	var subset []tenancy.PodID
	if owner != nil && kind == allPacks {
		subset = p.tenants.packSubset(owner, current.byOpType[typeIndex], current.bindings, limit, sinceStart)
	} else {
		subset = p.groups.groupsFor(kind, write)
	}
	group, known := p.groups.draw(kind, write, subset)
	if !known || limit.Fenced && !write.AllGroups() && group != subset[0] {
		return nil, false
	}
	placed = &placement{isZone: kind.isZone(), group: group}
	if placed.isZone && owner != nil {
		placed.pods = p.tenants.podsInZone(kind, owner, current.byOpType[typeIndex], current.bindings, group, len(subset))
		if limit.Fenced && len(placed.pods) > 1 {
			placed.pods = placed.pods[:1]
		}
	}
	return placed, true
}

// writeOf returns what the group of a tenant's write is drawn by, without the write's key.
func (t *tenants) writeOf(kind groupKind, owner *tenant, current *bindings) tenancy.Write {
	placement := current.byTenant[owner.name].Placement
	if kind.isZone() {
		placement = placement.InZones()
	}
	return tenancy.Write{Tenant: owner.name, Placement: placement, Count: t.subsetSize}
}

// packSubset returns the packs that a tenant's deduplicated writes may go to. The table, the limit and the time are ignored,
// because they differ between proxies and all proxies must agree on the packs.
func (t *tenants) packSubset(owner *tenant, _ *table, current *bindings, _ tenancy.Limit, _ time.Duration) []tenancy.PodID {
	return t.groups.groupsFor(allPacks, t.writeOf(allPacks, owner, current))
}

// podsInZone returns the pods of a zone that a tenant's writes go to; nil for all. It draws them from the pods that have a
// server in the table. zoneCount is the number of zones in the tenant's subset, over which its pods are spread. Proxies need
// not agree on the pods, because all servers of the zone recognize each other's repeats.
func (t *tenants) podsInZone(kind groupKind, owner *tenant, table *table, current *bindings, zone tenancy.PodID,
	zoneCount int) []tenancy.PodID {
	placement := current.byTenant[owner.name].Placement
	count := t.subsetSize
	if placement.Size > 0 {
		count = placement.Size
	}
	if count == 0 && len(placement.Pods) == 0 {
		return nil
	}
	inZone := table.subsets.zones[zone]
	if inZone == nil {
		return nil
	}
	placement.Size = (count + zoneCount - 1) / zoneCount
	return inZone.subsets[kind].getOrDraw(tenancy.Write{Tenant: owner.name, Placement: placement, Count: placement.Size},
		func(w tenancy.Write) []tenancy.PodID { return w.Placement.SelectFrom(w.Tenant, inZone.live, w.Count) })
}

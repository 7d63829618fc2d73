package proxy

import (
	"slices"
	"time"

	"vetchdoor/control"
	"vetchdoor/files"
	"vetchdoor/tenancy"
)

// groupKind is which groups writes of a type are drawn among, by which servers drop their repeats and may take them at all.
type groupKind int

const (
	packs groupKind = iota
	zones
	ownPacks // of the proxy's zone
	ownZone
	groupKinds
)

func kindOf(t *control.OpType) groupKind {
	switch {
	case t.Group == control.GroupZone && t.OwnZoneOnly:
		return ownZone
	case t.Group == control.GroupZone:
		return zones
	case t.OwnZoneOnly:
		return ownPacks
	}
	return packs
}

// ofZones tells whether the groups are whole zones.
func (k groupKind) ofZones() bool { return k == zones || k == ownZone }

// writeGroups are the groups that deduplicated writes are drawn among, and the subsets of tenants among them. A proxy has one, which
// its tenants use too.
type writeGroups struct {
	byKind      [groupKinds]tenancy.Groups
	subsets     [groupKinds]subsetCache
	nextSubsets [groupKinds]subsetCache // among the groups to come, while there are any
}

func newWriteGroups(s *files.Service, zone int) *writeGroups {
	g, own := &writeGroups{}, tenancy.PodOf(zone, 0)
	g.byKind[packs], g.byKind[zones] = s.WriteGroups()
	g.byKind[ownPacks], g.byKind[ownZone] = g.byKind[packs].Within(own), g.byKind[zones].Within(own)
	return g
}

// groupsFor returns the groups of a kind that a write may go to. It must not be changed.
func (g *writeGroups) groupsFor(kind groupKind, w tenancy.Write) []tenancy.PodID {
	if w.AllGroups() { // none is drawn
		return g.byKind[kind].Subset(w)
	}
	return g.subsets[kind].getOrDraw(w, g.byKind[kind].Subset)
}

// draw returns the group of a write among its subset; false where there is none, or where the groups to come would draw another.
func (g *writeGroups) draw(kind groupKind, w tenancy.Write, subset []tenancy.PodID) (tenancy.PodID, bool) {
	groups := &g.byKind[kind]
	if w.AllGroups() || !groups.Joint() { // no subset is drawn
		return groups.Draw(w, subset)
	}
	return groups.DrawFrom(w, subset, g.nextSubsets[kind].getOrDraw(w, groups.NextSubset))
}

// placement is the group that all tries of one write go to, through this proxy or another.
type placement struct {
	zone  bool // the group is a zone, not a pack
	group tenancy.PodID
	pods  []tenancy.PodID // of a zone: those that its tenant uses; nil: all
}

// has tells whether a server may take a try.
func (g *placement) has(e *server) bool {
	if !g.zone {
		return e.pod() == g.group
	}
	return tenancy.ZoneOf(e.pod()) == g.group && (g.pods == nil || slices.Contains(g.pods, e.pod()))
}

// place returns where a write of a type may go; nil: wherever its tenant's ops may, for it may run anywhere or no server knows a
// repeat of it. It is not known where the settings name no group, while they change to others that would draw another one, where
// no pilot has told yet of tenants that were moved, and for a tenant that is fenced off from the group.
func (p *Proxy) place(i int, who *tenant, key []byte, now *tables, l tenancy.Limit, at time.Duration) (g *placement, known bool) {
	t := &p.types[i]
	if !files.Grouped(t.OpType) {
		return nil, true
	}
	kind, w := kindOf(&t.OpType), tenancy.Write{}
	if who != nil {
		w = p.tenants.write(kind, who, now.bindings)
	}
	if w.Key = string(key); w.Key == "" && w.AllGroups() {
		return nil, true
	}
	if who != nil && now.bindings.untold {
		return nil, false
	}
	var subset []tenancy.PodID
	if who != nil && kind == packs {
		subset = p.tenants.subset(who, now.byType[i], now.bindings, l, at)
	} else {
		subset = p.groups.groupsFor(kind, w)
	}
	group, known := p.groups.draw(kind, w, subset)
	if !known || l.Fenced && !w.AllGroups() && group != subset[0] {
		return nil, false
	}
	g = &placement{zone: kind.ofZones(), group: group}
	if g.zone && who != nil {
		g.pods = p.tenants.podsInZone(kind, who, now.byType[i], now.bindings, group, len(subset))
		if l.Fenced && len(g.pods) > 1 {
			g.pods = g.pods[:1]
		}
	}
	return g, true
}

// write is what a tenant's writes are drawn by.
func (t *tenants) write(kind groupKind, x *tenant, b *bindings) tenancy.Write {
	seat := b.of[x.name].Placement
	if kind.ofZones() {
		seat = seat.InZones()
	}
	return tenancy.Write{Tenant: x.name, Placement: seat, Count: t.count}
}

// subset returns the packs that a tenant's deduplicated writes may go to. Neither the table in force nor the time nor the pilot's
// limits take part, for they differ from proxy to proxy.
func (t *tenants) subset(x *tenant, _ *table, b *bindings, _ tenancy.Limit, _ time.Duration) []tenancy.PodID {
	return t.groups.groupsFor(packs, t.write(packs, x, b))
}

// podsInZone returns the pods of a zone, one of several, that a tenant's writes of a kind go to there: its part of a subset, of those
// with a line in the table; nil for all. Servers of the whole zone know a repeat, so that proxies need not agree on them.
func (t *tenants) podsInZone(kind groupKind, x *tenant, table *table, b *bindings, zone tenancy.PodID, several int) []tenancy.PodID {
	seat := b.of[x.name].Placement
	count := t.count
	if seat.Size > 0 {
		count = seat.Size
	}
	if count == 0 && len(seat.Pods) == 0 {
		return nil
	}
	inZone := table.subsets.zones[zone]
	if inZone == nil {
		return nil
	}
	seat.Size = (count + several - 1) / several
	return inZone.subsets[kind].getOrDraw(tenancy.Write{Tenant: x.name, Placement: seat, Count: seat.Size}, func(w tenancy.Write) []tenancy.PodID {
		return w.Placement.SelectFrom(w.Tenant, inZone.live, w.Count)
	})
}

package files

import (
	"maps"
	"slices"
	"strconv"

	"vetchdoor/control"
	"vetchdoor/tenancy"
)

// WriteGroups returns the groups among which writes are drawn that are deduplicated by pack, and those for writes that are
// deduplicated by zone.
func (s *Service) WriteGroups() (packs, zones tenancy.Groups) {
	now, next := s.packIDs(s.WritePacks), s.packIDs(s.WritePacksNext)
	if len(next) > 0 {
		return tenancy.NewJointGroups(now, next), tenancy.NewJointGroups(s.zoneIDs(now), s.zoneIDs(next))
	}
	return tenancy.NewGroups(now), tenancy.NewGroups(s.zoneIDs(now))
}

func (s *Service) packIDs(byZone map[string][]int) (ids []tenancy.PodID) {
	for _, zone := range slices.Sorted(maps.Keys(byZone)) {
		for _, pack := range byZone[zone] {
			ids = append(ids, tenancy.PodOf(s.ZoneIndex(zone), pack))
		}
	}
	return ids
}

// zoneIDs are the zones of packs, or all of the service's where no pack is named.
func (s *Service) zoneIDs(packs []tenancy.PodID) (ids []tenancy.PodID) {
	for _, p := range packs {
		ids = append(ids, tenancy.ZoneOf(p))
	}
	if len(packs) == 0 {
		for zone := range s.Zones {
			ids = append(ids, tenancy.PodOf(zone, 0))
		}
	}
	return ids
}

// Grouped tells whether writes of a type go to groups that the settings name.
func Grouped(t control.OpType) bool {
	return t.Repeat == control.Deduplicated && t.Group != control.GroupAll
}

// groupedByPack tells whether writes of a type go to one pack of those that the settings name.
func groupedByPack(t control.OpType) bool {
	return Grouped(t) && t.Group == control.GroupPack
}

// acrossCells returns, by bit, the op types whose group may be in any cell.
func (s *Service) acrossCells() (mask uint16) {
	for i, t := range s.Types() {
		if groupedByPack(t) || Grouped(t) && len(s.Zones) > 1 && !t.OwnZoneOnly {
			mask |= 1 << i
		}
	}
	return mask
}

// packWrites tells whether writes of some type go to one pack.
func (s *Service) packWrites() bool {
	return slices.ContainsFunc(s.Types(), groupedByPack)
}

// Unplaced returns the names of the op types whose writes no proxy can place, for no pack is named.
func (s *Service) Unplaced() (names []string) {
	if len(s.WritePacks) > 0 {
		return nil
	}
	for i, t := range s.Types() {
		if groupedByPack(t) {
			names = append(names, s.OpTypes[i].Name)
		}
	}
	return names
}

// packsContradict checks the packs that writes are drawn among.
func (s *Service) packsContradict(at string) *ValidationError {
	if len(s.WritePacks) == 0 && len(s.WritePacksNext) > 0 {
		return fault(at+"/write_packs_next", len(s.WritePacksNext), "none where write_packs is not given")
	}
	if f := s.packListsContradict(at+"/write_packs", s.WritePacks); f != nil {
		return f
	}
	return s.packListsContradict(at+"/write_packs_next", s.WritePacksNext)
}

// packListsContradict checks the packs of each zone: the zone is one of the service's, and no pack stands twice.
func (s *Service) packListsContradict(at string, byZone map[string][]int) *ValidationError {
	for _, zone := range slices.Sorted(maps.Keys(byZone)) {
		here, packs := at+"/"+zone, byZone[zone]
		if f := s.zone(here, zone); f != nil {
			return f
		}
		if f := twice(here, len(packs), func(i int) string { return strconv.Itoa(packs[i]) }); f != nil {
			return f
		}
	}
	return nil
}

package files

import (
	"maps"
	"slices"
	"strconv"

	"vetchdoor/control"
	"vetchdoor/tenancy"
)

// WriteGroups returns the groups among which writes are distributed: the packs for writes with deduplication by pack,
// and the zones for those with deduplication by zone.
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

// zoneIDs returns the zones of the packs, or all zones of the service if there are no packs.
func (s *Service) zoneIDs(packs []tenancy.PodID) (ids []tenancy.PodID) {
	for _, p := range packs {
		ids = append(ids, tenancy.ZoneGroup(p))
	}
	if len(packs) == 0 {
		for zone := range s.Zones {
			ids = append(ids, tenancy.PodOf(zone, 0))
		}
	}
	return ids
}

// HasWriteGroup reports whether writes of an op type go to one of the configured groups of servers.
func HasWriteGroup(t control.OpType) bool {
	return t.Repeat == control.Deduplicated && t.Group != control.GroupAll
}

// groupedByPack reports whether writes of an op type go to one of the configured packs.
func groupedByPack(t control.OpType) bool {
	return HasWriteGroup(t) && t.Group == control.GroupPack
}

// typesAcrossCells returns the op types whose group may be in any cell, as a bit mask over the op type numbers.
func (s *Service) typesAcrossCells() (mask uint16) {
	for i, t := range s.Types() {
		if groupedByPack(t) || HasWriteGroup(t) && len(s.Zones) > 1 && !t.OwnZoneOnly {
			mask |= 1 << i
		}
	}
	return mask
}

// writesToPack reports whether writes of any op type go to one pack.
func (s *Service) writesToPack() bool {
	return slices.ContainsFunc(s.Types(), groupedByPack)
}

// UnplaceableOpTypes returns the names of the op types whose writes no proxy can send, because they need a pack and no
// packs are configured.
func (s *Service) UnplaceableOpTypes() (names []string) {
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

// checkPacks validates the packs for writes, current and next.
func (s *Service) checkPacks(pointer string) *ValidationError {
	if len(s.WritePacks) == 0 && len(s.WritePacksNext) > 0 {
		return invalid(pointer+"/write_packs_next", len(s.WritePacksNext), "none, because write_packs is not given")
	}
	if f := s.checkPackLists(pointer+"/write_packs", s.WritePacks); f != nil {
		return f
	}
	return s.checkPackLists(pointer+"/write_packs_next", s.WritePacksNext)
}

// checkPackLists checks that each zone is one of the service and lists no pack twice.
func (s *Service) checkPackLists(pointer string, byZone map[string][]int) *ValidationError {
	for _, zone := range slices.Sorted(maps.Keys(byZone)) {
		itemPointer, packs := pointer+"/"+zone, byZone[zone]
		if f := s.checkZone(itemPointer, zone); f != nil {
			return f
		}
		if f := checkUnique(itemPointer, len(packs), func(i int) string { return strconv.Itoa(packs[i]) }); f != nil {
			return f
		}
	}
	return nil
}

package files_test

import (
	"slices"
	"testing"

	"vetchdoor/files"
)

// Only writes with deduplication by pack need configured packs, and the decision module's configuration gives whether
// there are such writes.
func TestUnplaceableOpTypes(t *testing.T) {
	service := &files.Service{Zones: []string{"a"}, OpTypes: []files.OpType{
		{Name: "by pack", Repeat: "deduplicated", Group: "pack"},
		{Name: "by zone", Repeat: "deduplicated", Group: "zone"},
		{Name: "by all", Repeat: "deduplicated"},
		{Name: "not deduplicated", Repeat: "retryable", Group: "pack"},
	}}
	if names := service.UnplaceableOpTypes(); !slices.Equal(names, []string{"by pack"}) {
		t.Errorf("without packs the unplaceable op types are %q", names)
	}
	if pilot := (&files.Pilot{Service: *service}); !pilot.ControlConfig().SinglePackWrites {
		t.Error("the decision module is not told that writes go to one pack")
	}
	service.WritePacks = map[string][]int{"a": {1}}
	if names := service.UnplaceableOpTypes(); names != nil {
		t.Errorf("with packs the unplaceable op types are %q", names)
	}
	service.OpTypes = service.OpTypes[1:]
	if pilot := (&files.Pilot{Service: *service}); pilot.ControlConfig().SinglePackWrites {
		t.Error("the decision module is told that writes go to one pack, but none do")
	}
}

package files_test

import (
	"slices"
	"testing"

	"vetchdoor/files"
)

// Writes that are deduplicated by pack are the only ones that need packs to be named.
func TestUnplaced(t *testing.T) {
	service := &files.Service{Zones: []string{"a"}, OpTypes: []files.OpType{
		{Name: "by pack", Repeat: "deduplicated", Group: "pack"},
		{Name: "by zone", Repeat: "deduplicated", Group: "zone"},
		{Name: "by all", Repeat: "deduplicated"},
		{Name: "not deduplicated", Repeat: "retryable", Group: "pack"},
	}}
	if names := service.UnplaceableOpTypes(); !slices.Equal(names, []string{"by pack"}) {
		t.Errorf("without packs %q are not placed", names)
	}
	if pilot := (&files.Pilot{Service: *service}); !pilot.ControlConfig().PackWrites {
		t.Error("the module is not told that writes go to one pack")
	}
	service.WritePacks = map[string][]int{"a": {1}}
	if names := service.UnplaceableOpTypes(); names != nil {
		t.Errorf("with packs %q are not placed", names)
	}
	service.OpTypes = service.OpTypes[1:]
	if pilot := (&files.Pilot{Service: *service}); pilot.ControlConfig().PackWrites {
		t.Error("the module is told that writes go to one pack where none do")
	}
}

package settings

import (
	"slices"
	"testing"
	"time"

	"vetchdoor/control"
)

// settings are start settings with unknown keys, effects and measures.
const settings = `{"dcs":["a","b"],"machine_types":["m"],"grades":[{"name":"read","effect":"strange","slo":500}],
	"extra":{"cycle":1000,"lines_per_s":1000,"most_waiting":2000,"envelope":3,"proxy_count":2,"unheard_of":[1]},
	"policy_limits":{"probes":true},"report":{"how":"inline","names":["util","odd"]},"guarantees":{"cold":9000},"tick":5}`

// An effect or group that is not known must not permit a repeat of an op.
func TestUnknownRepeatsAllowLeast(t *testing.T) {
	parsed, err := Read([]byte(settings))
	if err != nil || parsed.Config.OpTypes[0].Repeat != control.OnceOnly || parsed.Config.OpTypes[0].Group != control.GroupPack {
		t.Fatalf("%+v, %v", parsed, err)
	}
}

// Times are read as milliseconds, and names keep the order of the settings.
func TestNamesAndUnits(t *testing.T) {
	parsed, err := Read([]byte(settings))
	if err != nil {
		t.Fatal(err)
	}
	if parsed.Tick != 5*time.Millisecond || parsed.WarmUpTime != 9*time.Second || parsed.ReportInterval != time.Second {
		t.Errorf("%v, %v, %v", parsed.Tick, parsed.WarmUpTime, parsed.ReportInterval)
	}
	if !slices.Equal(parsed.Zones, []string{"a", "b"}) || parsed.Config.Zones != 2 ||
		!slices.Equal(parsed.OpTypes, []string{"read"}) {
		t.Errorf("%v, %d, %v", parsed.Zones, parsed.Config.Zones, parsed.OpTypes)
	}
	if !parsed.ProbesAllowed || !slices.Equal(parsed.Machines, []string{"m"}) ||
		!slices.Equal(parsed.Measures, []string{"util", "odd"}) ||
		!slices.Equal(parsed.Config.Measures, []control.Measure{control.Util, control.OtherMeasure}) {
		t.Errorf("%v, %v, %v, %v", parsed.ProbesAllowed, parsed.Machines, parsed.Measures, parsed.Config.Measures)
	}
}

// Settings truncated at any byte are refused.
func TestTruncatedSettingsAreRefused(t *testing.T) {
	for n := range settings {
		if _, err := Read([]byte(settings[:n])); err == nil {
			t.Fatalf("settings truncated to %d bytes were accepted", n)
		}
	}
}

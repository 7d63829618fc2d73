package settings

import (
	"slices"
	"testing"
	"time"

	"vetchdoor/control"
)

const settings = `{"dcs":["a","b"],"machine_types":["m"],"grades":[{"name":"read","effect":"strange","slo":500}],
	"extra":{"cycle":1000,"lines_per_s":1000,"most_waiting":2000,"envelope":3,"proxy_count":2,"unheard_of":[1]},
	"policy_limits":{"probes":true},"report":{"how":"inline","names":["util","odd"]},"guarantees":{"cold":9000},"tick":5}`

func TestUnknownRepeatsAllowLeast(t *testing.T) {
	f, err := Read([]byte(settings))
	if err != nil || f.Facts.OpTypes[0].Repeat != control.OnceOnly || f.Facts.OpTypes[0].Group != control.GroupPack {
		t.Fatalf("%+v, %v", f, err)
	}
}

func TestNamesAndUnits(t *testing.T) {
	f, err := Read([]byte(settings))
	if err != nil {
		t.Fatal(err)
	}
	if f.Tick != 5*time.Millisecond || f.WarmUpTime != 9*time.Second || f.ReportInterval != time.Second {
		t.Errorf("%v, %v, %v", f.Tick, f.WarmUpTime, f.ReportInterval)
	}
	if !slices.Equal(f.Zones, []string{"a", "b"}) || f.Facts.Zones != 2 || !slices.Equal(f.OpTypes, []string{"read"}) {
		t.Errorf("%v, %d, %v", f.Zones, f.Facts.Zones, f.OpTypes)
	}
	if !f.Probes || !slices.Equal(f.Machines, []string{"m"}) || !slices.Equal(f.Measures, []string{"util", "odd"}) ||
		!slices.Equal(f.Facts.Measures, []control.Measure{control.Util, control.OtherMeasure}) {
		t.Errorf("%v, %v, %v, %v", f.Probes, f.Machines, f.Measures, f.Facts.Measures)
	}
}

func TestTornSettingsAreRefused(t *testing.T) {
	for n := range settings {
		if _, err := Read([]byte(settings[:n])); err == nil {
			t.Fatalf("cut to %d bytes they still read", n)
		}
	}
}

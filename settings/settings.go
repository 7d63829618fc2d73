// Package settings reads the operators' start settings, the JSON object that an instance is given, for the bench's adapter
// and for the real pilot alike. Read is the way in. It needs the standard library alone and decides nothing.
package settings

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"vetchdoor/control"
)

// Settings is what an instance is told, and the names that the settings give to what it knows by number.
type Settings struct {
	control.Facts
	Zones    []string
	Machines []string
	OpTypes  []string
	Measures []string // of a load report, in order; empty: none come
	Probes   bool     // allowed
}

// Milliseconds reads milliseconds; what no clock can show becomes the longest span, and no number none.
func Milliseconds(ms float64) time.Duration {
	ns := ms * float64(time.Millisecond)
	switch {
	case math.IsNaN(ns):
		return 0
	case ns >= math.MaxInt64/2:
		return math.MaxInt64 / 2
	case ns <= math.MinInt64/2:
		return math.MinInt64 / 2
	}
	return time.Duration(math.Round(ns))
}

// options are the start settings by their names; keys that are not named here are skipped.
type options struct {
	Zones  []string `json:"dcs"`
	Extra  extra    `json:"extra"`
	Grades []grade  `json:"grades"`
	Rules  struct {
		Cold       float64 `json:"cold"`
		ColdShare  float64 `json:"cold_share"`
		DrainGrace float64 `json:"drain_grace"`
	} `json:"guarantees"`
	Machines []string `json:"machine_types"`
	Limits   struct {
		Probes bool `json:"probes"`
	} `json:"policy_limits"`
	Me     int `json:"me"`
	Peers  int `json:"peers_total"`
	Prices struct {
		CrossZone float64 `json:"cross_zone"`
	} `json:"prices"`
	Registry string `json:"registry_mode"`
	Report   struct {
		How   string   `json:"how"`
		Names []string `json:"names"`
	} `json:"report"`
	Tick    float64 `json:"tick"`
	Weights string  `json:"weights"`
	Zone    int     `json:"zone"`
}

type extra struct {
	Admit        string  `json:"admit"`
	Bootstrap    int     `json:"bootstrap"`
	Cycle        float64 `json:"cycle"`
	Envelope     float64 `json:"envelope"`
	IntakePerS   float64 `json:"intake_per_s"`
	LinesPerS    float64 `json:"lines_per_s"`
	MessagesOver float64 `json:"messages_over"`
	MostWaiting  float64 `json:"most_waiting"`
	Mutating     []bool  `json:"mutating"`
	OutlierAfter int     `json:"outlier_after"`
	ProxyCount   int     `json:"proxy_count"`
	Shards       int     `json:"shards"`
	TransitMax   float64 `json:"transit_max"`
	UpdateCap    int     `json:"update_cap"`
	ZoneBound    []bool  `json:"zone_bound"`
}

type grade struct {
	Effect     string  `json:"effect"`
	GiveUp     float64 `json:"give_up"`
	Group      string  `json:"group"`
	LateValue  float64 `json:"late_value"`
	MemorySpan float64 `json:"memory_span"`
	Name       string  `json:"name"`
	SLO        float64 `json:"slo"`
	Worth      float64 `json:"worth"`
}

var measures = map[string]control.Measure{
	"inflight": control.Inflight, "queue": control.Queue, "util": control.Util,
	"latency_ms": control.Latency, "qps": control.Rate, "eps": control.ErrorRate,
}

// Read turns the start settings into facts. What an op's repeats may do is read strictly: an effect or a group that is
// not known counts as the one that allows least.
func Read(settings []byte) (*Settings, error) {
	var o options
	if err := json.Unmarshal(settings, &o); err != nil {
		return nil, fmt.Errorf("start settings: %w", err)
	}
	x := &o.Extra
	f := &Settings{Zones: o.Zones, Machines: o.Machines, Probes: o.Limits.Probes}
	f.Facts = control.Facts{
		Instance: o.Me, Instances: o.Peers, Zone: o.Zone, Zones: len(o.Zones),
		AskForList: o.Registry == "ask", Tick: Milliseconds(o.Tick),
		Slices: x.Shards, AvoidAfterFailures: x.OutlierAfter, StandingTableLines: x.Bootstrap, Proxies: x.ProxyCount,
		MessageOverheadLines: x.Envelope, LinesPerSecond: x.LinesPerS, MaxUnconfirmedLines: x.MostWaiting,
		MessageCap: x.UpdateCap, MessageCapWindow: Milliseconds(x.MessagesOver),
		MaxPushDelay: Milliseconds(x.TransitMax), ReportInterval: Milliseconds(x.Cycle), ReportLinesPerS: x.IntakePerS,
		CrossZonePrice: o.Prices.CrossZone, ListedWeights: o.Weights != "off",
		WarmUpTime: Milliseconds(o.Rules.Cold), ColdCapacityShare: o.Rules.ColdShare, DrainGrace: Milliseconds(o.Rules.DrainGrace),
	}
	switch x.Admit {
	case "share":
		f.Levels = control.LevelShare
	case "rate":
		f.Levels = control.LevelRate
	}
	if o.Report.How == "inline" || o.Report.How == "on_probe" {
		for _, name := range o.Report.Names {
			f.Facts.Measures = append(f.Facts.Measures, measures[name])
			f.Measures = append(f.Measures, name)
		}
	}
	for i, g := range o.Grades {
		t := control.OpType{
			TargetLatency: Milliseconds(g.SLO), OpTimeout: Milliseconds(g.GiveUp), Revenue: g.Worth, LateShare: g.LateValue,
			Repeat: control.OnceOnly, Group: control.GroupPack, DedupWindow: Milliseconds(g.MemorySpan),
			OwnZoneOnly: i < len(x.ZoneBound) && x.ZoneBound[i], Writes: i < len(x.Mutating) && x.Mutating[i],
		}
		switch g.Effect {
		case "free":
			t.Repeat = control.Retryable
		case "guarded":
			t.Repeat = control.Deduplicated
		}
		switch g.Group {
		case "all":
			t.Group = control.GroupAll
		case "zone":
			t.Group = control.GroupZone
		}
		f.Facts.OpTypes = append(f.Facts.OpTypes, t)
		f.OpTypes = append(f.OpTypes, g.Name)
	}
	return f, nil
}

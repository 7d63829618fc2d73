// Package settings parses the start settings of an instance, a JSON object, for the packages adapter and platform.
// Read is the entry point.
package settings

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"vetchdoor/control"
)

// Settings are the parsed start settings of an instance: the configuration of its decision module, and the names of the
// zones, machine types, op types and load values, which the decision module refers to by index.
type Settings struct {
	control.Config
	Zones         []string
	Machines      []string
	OpTypes       []string
	Measures      []string // names of the values of a load report, in order; empty if there are no load reports
	ProbesAllowed bool     // the instance may send probes
}

// Milliseconds converts milliseconds to a duration, rounded to nanoseconds. Values out of range become half of the largest or
// smallest duration, and NaN becomes 0.
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

// options are the start settings under their JSON names. Other keys are ignored.
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

// extra holds the settings under the key "extra".
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

// grade is the description of one op type in the settings.
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

// measures maps the names of load values in the settings to the module's measures. Other names map to control.OtherMeasure.
var measures = map[string]control.Measure{
	"inflight": control.Inflight, "queue": control.Queue, "util": control.Util,
	"latency_ms": control.Latency, "qps": control.Rate, "eps": control.ErrorRate,
}

// Read parses the start settings, in which times are in milliseconds. For an op type whose effect is unknown or
// missing, it assumes once-only, and for an unknown or missing group the smallest group, so that no op is repeated where
// that might not be allowed. The error is that of the JSON decoder.
func Read(settings []byte) (*Settings, error) {
	var decoded options
	if err := json.Unmarshal(settings, &decoded); err != nil {
		return nil, fmt.Errorf("start settings: %w", err)
	}
	x := &decoded.Extra
	parsed := &Settings{Zones: decoded.Zones, Machines: decoded.Machines, ProbesAllowed: decoded.Limits.Probes}
	parsed.Config = control.Config{
		Instance: decoded.Me, Instances: decoded.Peers, Zone: decoded.Zone, Zones: len(decoded.Zones),
		ListNeedsWatch: decoded.Registry == "ask", Tick: Milliseconds(decoded.Tick),
		Slices: x.Shards, AvoidAfterFailures: x.OutlierAfter, StandingTableLines: x.Bootstrap, Proxies: x.ProxyCount,
		MessageOverheadLines: x.Envelope, LinesPerSecond: x.LinesPerS, MaxUnconfirmedLines: x.MostWaiting,
		MessageCap: x.UpdateCap, MessageCapWindow: Milliseconds(x.MessagesOver),
		MaxPushDelay: Milliseconds(x.TransitMax), ReportInterval: Milliseconds(x.Cycle), ReportLinesPerSecond: x.IntakePerS,
		CrossZonePrice: decoded.Prices.CrossZone, UseListedWeights: decoded.Weights != "off",
		WarmUpTime: Milliseconds(decoded.Rules.Cold), ColdCapacityShare: decoded.Rules.ColdShare,
		DrainGrace: Milliseconds(decoded.Rules.DrainGrace),
	}
	switch x.Admit {
	case "share":
		parsed.Levels = control.LevelShare
	case "rate":
		parsed.Levels = control.LevelRate
	}
	if decoded.Report.How == "inline" || decoded.Report.How == "on_probe" {
		for _, name := range decoded.Report.Names {
			parsed.Config.Measures = append(parsed.Config.Measures, measures[name])
			parsed.Measures = append(parsed.Measures, name)
		}
	}
	for i, g := range decoded.Grades {
		opType := control.OpType{
			TargetLatency: Milliseconds(g.SLO), OpTimeout: Milliseconds(g.GiveUp), Revenue: g.Worth, LateShare: g.LateValue,
			Repeat: control.OnceOnly, Group: control.GroupPack, DedupWindow: Milliseconds(g.MemorySpan),
			OwnZoneOnly: i < len(x.ZoneBound) && x.ZoneBound[i], Writes: i < len(x.Mutating) && x.Mutating[i],
		}
		switch g.Effect {
		case "free":
			opType.Repeat = control.Retryable
		case "guarded":
			opType.Repeat = control.Deduplicated
		}
		switch g.Group {
		case "all":
			opType.Group = control.GroupAll
		case "zone":
			opType.Group = control.GroupZone
		}
		parsed.Config.OpTypes = append(parsed.Config.OpTypes, opType)
		parsed.OpTypes = append(parsed.OpTypes, g.Name)
	}
	return parsed, nil
}

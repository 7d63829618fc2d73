// Package kit2 holds what the cases of the second review share: a small deployment on loopback addresses that runs the
// project's pilot as a process of its own. The stand-ins for servers, proxies and collectors follow the operators' pages
// PROTOCOL and WIRE; discovery is the project's own stand-in. NewWorld makes a deployment, World.StartPilot starts the
// pilot by the deploy file, and World.Finish ends all and returns the exit code of the case.
package kit2

import (
	"encoding/json"
	"time"
)

// Class is a type of request.
type Class struct {
	Name     string
	Share    float64       // of all requests
	Work     time.Duration // on a core of speed 1
	Aim      time.Duration
	Deadline time.Duration
	Effect   string // free, guarded or single_shot
	Group    string
	Window   time.Duration // in which servers of the group drop a repeat
	Worth    float64
	Write    bool
	OwnZone  bool // may go only to servers of the proxy's zone
}

// Site is the settings of a deployment, in the terms of the page WIRE.
type Site struct {
	Zones          []string
	Classes        []Class
	ServersPerZone []int
	ProxyZones     []int   // zone of each proxy, by number
	Rate           float64 // requests a second of all proxies
	Cores          int
	ColdShare      float64
	Cold           time.Duration
	DrainGrace     time.Duration
	EmptyFor       time.Duration
	LinesPerSecond float64
	MostWaiting    int
	Envelope       int
	PushDelay      time.Duration // from leaving the channel to the proxy
	TransitMax     time.Duration
	Cycle          time.Duration // of the reports
	HeardLate      time.Duration // how late a report comes
	CrossZonePrice float64
	Bootstrap      int // lines of a standing table
	OutlierAfter   int
	OutlierFor     time.Duration
	UpdateCap      int
	MessagesOver   time.Duration
	OverloadFactor float64
	Fall           time.Duration
	Weights        string // what the weights on the list contain: rough or live
}

// Volitve returns a small deployment with the figures of the site volitve-skupno: 12 servers in three zones, 18 proxies
// and two classes.
func Volitve() Site {
	s := Site{
		Zones: []string{"lj-center", "kranj", "celje"},
		Classes: []Class{
			{Name: "page-read", Share: 0.73, Work: 150 * time.Millisecond, Aim: 750 * time.Millisecond,
				Deadline: 2 * time.Second, Effect: "free", Group: "all", Window: 5 * time.Second, Worth: 2},
			{Name: "tally-post", Share: 0.27, Work: 60 * time.Millisecond, Aim: 300 * time.Millisecond,
				Deadline: 750 * time.Millisecond, Effect: "guarded", Group: "zone", Window: 1500 * time.Millisecond,
				Worth: 5, Write: true},
		},
		ServersPerZone: []int{4, 4, 4},
		Rate:           85, Cores: 2, ColdShare: 0.17, Cold: 17 * time.Second, DrainGrace: 2 * time.Second,
		EmptyFor: 2700 * time.Millisecond, LinesPerSecond: 6400, MostWaiting: 9600, Envelope: 3,
		PushDelay: 343 * time.Millisecond, TransitMax: 857500 * time.Microsecond, Cycle: time.Second,
		HeardLate: 600 * time.Millisecond, CrossZonePrice: 0.08, Bootstrap: 8, OutlierAfter: 3,
		OutlierFor: 5 * time.Second, MessagesOver: 10 * time.Second, OverloadFactor: 4, Fall: 2 * time.Second, Weights: "rough",
	}
	for i := range 18 {
		s.ProxyZones = append(s.ProxyZones, i%3)
	}
	return s
}

// ms returns a duration in milliseconds.
func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// settings returns the settings object of the pilot's configuration.
func (s *Site) settings() json.RawMessage {
	type object = map[string]any
	var grades []object
	var mutating, zoneBound []bool
	for _, c := range s.Classes {
		grades = append(grades, object{"effect": c.Effect, "give_up": ms(c.Deadline), "group": c.Group, "late_value": 0.1,
			"memory_span": ms(c.Window), "name": c.Name, "slo": ms(c.Aim), "worth": c.Worth})
		mutating, zoneBound = append(mutating, c.Write), append(zoneBound, c.OwnZone)
	}
	b, err := json.Marshal(object{
		"dcs": s.Zones, "domain_type": "control",
		"extra": object{"admit": "share", "bootstrap": s.Bootstrap, "choice": "round", "cycle": ms(s.Cycle),
			"empty_for": ms(s.EmptyFor), "envelope": s.Envelope, "exclusive": false, "hold": 300, "intake_per_s": 300,
			"keeps_writing": 2500, "lines_per_s": s.LinesPerSecond, "local_first": true, "messages_over": ms(s.MessagesOver),
			"min_conn_cap": 110, "most_waiting": s.MostWaiting, "mutating": mutating, "order_price": 0.04,
			"outlier_after": s.OutlierAfter, "per_try": 0.8, "proxy_count": len(s.ProxyZones), "push_delay": ms(s.PushDelay),
			"reassign_price": 0.01, "shards": 0, "transit_max": ms(s.TransitMax), "update_cap": s.UpdateCap, "usual_how": 0,
			"warm_keys": false, "write_life": 770, "zone_bound": zoneBound},
		"grades": grades,
		"guarantees": object{"ask_within": 10000, "cold": ms(s.Cold), "cold_share": s.ColdShare,
			"drain_grace": ms(s.DrainGrace), "fall": ms(s.Fall), "overload_factor": s.OverloadFactor},
		"machine_types": []string{"gen-a"}, "me": 0,
		"objective_mix": object{"tail": 0.2, "tail_miss": 0.15, "whole": 0.5, "worst_class": 0.1, "worst_tenant": 0,
			"worst_window": 0.2},
		"peers_total": 1,
		"policy_limits": object{"conn_idle": 15000, "connect_timeout": 250, "cpu_us_per_s": 533333, "multiplex": 100,
			"peers": false, "probes": true},
		"prices": object{"connection": 0.02, "cross_zone": s.CrossZonePrice, "handshake": 0.02, "late_fail": 0.03, "moves": 0,
			"peer": 0, "probe": 0.02, "registry_mode": 0, "waste": 0.05},
		"registry_mode": "push", "report": object{"how": "inline", "names": []string{"util", "inflight", "latency_ms"}},
		"tick": 5, "weights": s.Weights, "worth_by": "request", "zone": 0,
	})
	if err != nil {
		panic(err) // only types that can be encoded
	}
	return b
}

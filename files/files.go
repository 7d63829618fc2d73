// Package files reads vetchdoor's files: JSON, checked against a schema first and for contradictions after. Read is the
// way in; what it finds wrong it names by file, JSON pointer, what was found and what is allowed, in one line.
package files

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"vetchdoor/control"
)

// Duration is a time.Duration written as a string such as "750ms" or "2s".
type Duration time.Duration

// AsDuration returns it as a time.Duration.
func (d Duration) AsDuration() time.Duration { return time.Duration(d) }

// MarshalJSON writes the string, in the largest unit that leaves a whole number.
func (d Duration) MarshalJSON() ([]byte, error) {
	switch t := time.Duration(d); {
	case t%time.Second == 0:
		return json.Marshal(strconv.FormatInt(int64(t/time.Second), 10) + "s")
	case t%time.Millisecond == 0:
		return json.Marshal(strconv.FormatInt(int64(t/time.Millisecond), 10) + "ms")
	default:
		return json.Marshal(strconv.FormatFloat(float64(t)/1000, 'f', -1, 64) + "us")
	}
}

// UnmarshalJSON reads the string.
func (d *Duration) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return err
	}
	span, err := time.ParseDuration(s)
	*d = Duration(span)
	return err
}

// Match tells which ops are of a type; what is empty matches all. The first type that matches wins.
type Match struct {
	Method     string `json:"method,omitempty"`
	PathPrefix string `json:"path_prefix,omitempty"`
	Header     string `json:"header,omitempty"` // NAME: VALUE
}

// OpType is one type of op, as control.OpType, with the rule by which a proxy knows it.
type OpType struct {
	Name          string   `json:"name"`
	Match         Match    `json:"match"`
	TargetLatency Duration `json:"target_latency"`
	OpTimeout     Duration `json:"op_timeout"`
	Revenue       float64  `json:"revenue"`
	LateShare     float64  `json:"late_share,omitempty"`
	Repeat        string   `json:"repeat"`
	Group         string   `json:"group,omitempty"`
	DedupWindow   Duration `json:"dedup_window,omitempty"`
	OwnZoneOnly   bool     `json:"own_zone_only,omitempty"`
	Writes        bool     `json:"writes,omitempty"`
}

// Service is what is served: the zones and op types, and how proxies work.
type Service struct {
	Zones          []string `json:"zones"`
	OpTypes        []OpType `json:"op_types"`
	Measures       []string `json:"measures,omitempty"` // of load reports, by their ORCA names
	ReportEvery    Duration `json:"report_every"`
	TryShare       float64  `json:"try_share,omitempty"`     // a try that may be followed waits this share of the target latency
	OutlierAfter   int      `json:"outlier_after,omitempty"` // own failures in a row after which a proxy avoids a server; 0: never
	OutlierFor     Duration `json:"outlier_for,omitempty"`
	Bootstrap      int      `json:"bootstrap"` // servers of a standing table, at most
	DefaultRetries string   `json:"usual_again,omitempty"`
	WriteLifetime  Duration `json:"write_life,omitempty"` // a write that a proxy took in is finished, for good or ill, within this; 0: twice its op timeout
	CrossZonePrice float64  `json:"cross_zone_price,omitempty"`

	// WritePacks are the packs that writes which are deduplicated by pack are drawn among, by zone; the zones of it are those for
	// writes deduplicated by zone, or all zones where it is empty. All proxies must have the same at any time. It is changed in two
	// rolls of the proxies: first to the old one with WritePacksNext beside it, then, a longest write and window later, to the new.
	WritePacks     map[string][]int `json:"write_packs,omitempty"`
	WritePacksNext map[string][]int `json:"write_packs_next,omitempty"`
}

// Limits are the figures behind the five rules.
type Limits struct {
	EmptyFor       Duration `json:"empty_for"`
	DrainGrace     Duration `json:"drain_grace"`
	ColdFor        Duration `json:"cold_for"`
	ColdShare      float64  `json:"cold_share"`
	OverloadFactor float64  `json:"overload_factor"`
	FallAfter      Duration `json:"fall_after"`
}

// Channel is how fast a pilot sends, and how much may wait.
type Channel struct {
	LinesPerSecond       float64  `json:"lines_per_second"`
	MessageLines         int      `json:"message_lines"`
	MaxWaitingLines      int      `json:"most_waiting"`
	MessageCap           int      `json:"message_cap,omitempty"`
	MessageCapPeriod     Duration `json:"message_cap_over,omitempty"`
	MaxPushDelay         Duration `json:"push_delay_most,omitempty"`
	ReportLinesPerSecond float64  `json:"report_lines_per_second"`
}

// Pilot is the file of a pilot.
type Pilot struct {
	Kind           string   `json:"kind"`
	Name           string   `json:"name"`
	Zone           string   `json:"zone"`
	Instance       int      `json:"instance,omitempty"`
	Instances      int      `json:"instances,omitempty"`
	Proxies        int      `json:"proxies"` // of all pilots
	Listen         string   `json:"listen"`  // for proxies
	Admin          string   `json:"admin,omitempty"`
	Roster         string   `json:"roster"`
	Cache          string   `json:"cache,omitempty"` // the last list
	Tick           Duration `json:"tick,omitempty"`
	SilenceTimeout Duration `json:"silent_after,omitempty"` // a stream without a word for so long is broken
	ResumeWindow   Duration `json:"resume_within,omitempty"`
	Seed           uint64   `json:"seed,omitempty"`
	Tenants        bool     `json:"tenants,omitempty"` // limit tenants that harm others, by what proxies met of them
	Moves          *Moves   `json:"moves,omitempty"`   // tenants may be moved

	Members *Members `json:"members,omitempty"` // gossip among pilots, for people

	MostProxies int      `json:"most_proxies,omitempty"` // joined at a time; others are sent to the peers. 0: any number
	LeaveWithin Duration `json:"leave_within,omitempty"` // how long its proxies are sent away for when it ends; 0: 10 s
	Peers       []Peer   `json:"peers,omitempty"`        // the other pilots, where they may write to each other
	Log         []Log    `json:"log,omitempty"`          // beside standard error
	Service     Service  `json:"service"`
	Limits      Limits   `json:"limits"`
	Channel     Channel  `json:"channel"`
}

// Moves are how tenants are moved between subsets.
type Moves struct {
	Store         string   `json:"store"`             // a file that outlives the pilot
	MaxHold       Duration `json:"most,omitempty"`    // longest that a tenant's writes are held; 0: ten times what must be waited out
	MaxConcurrent int      `json:"abreast,omitempty"` // moves at a time; 0: 64
}

// Members is how a pilot hears of others, for people.
type Members struct {
	Bind          string   `json:"bind"`             // IP:PORT, UDP and TCP
	SeedAddresses []string `json:"others,omitempty"` // where others are to be found at the start
	KeyFile       string   `json:"keys"`             // a file: the base64 of 32 bytes a line, the first one writes
	Allow         []string `json:"allow,omitempty"`  // networks that are heard; empty: loopback
}

// Peer is another pilot: its place among the instances, and where it listens.
type Peer struct {
	Instance int    `json:"instance"`
	Address  string `json:"address"`
}

// PilotAddress is where a proxy finds a pilot.
type PilotAddress struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
}

// StandingServer is a server that a proxy may take into its standing table.
type StandingServer struct {
	Endpoint uint32  `json:"endpoint"`
	Address  string  `json:"address"`
	Zone     string  `json:"zone"`
	Pack     int     `json:"pack,omitempty"`
	Weight   float64 `json:"weight,omitempty"`
}

// Pool is how a proxy keeps its connections to servers.
type Pool struct {
	PerServer      int      `json:"per_server,omitempty"`
	IdleClose      Duration `json:"idle_close,omitempty"`
	ConnectTimeout Duration `json:"connect_timeout,omitempty"`
}

// Tenants say whose an op is and how much of the fleet each tenant may use.
type Tenants struct {
	Header     string              `json:"header,omitempty"`
	PathPrefix string              `json:"path_prefix,omitempty"`
	Networks   map[string][]string `json:"networks,omitempty"`
	Known      []string            `json:"known,omitempty"`
	Subset     int                 `json:"subset"`             // pods for each; 0: all
	Bindings   string              `json:"bindings,omitempty"` // a file of the tenants that were moved, which outlives the proxy
}

// Proxy is the file of a proxy.
type Proxy struct {
	Kind           string           `json:"kind"`
	ID             uint16           `json:"id"`
	Zone           string           `json:"zone"`
	Listen         string           `json:"listen"`
	Admin          string           `json:"admin,omitempty"`
	Pilots         []PilotAddress   `json:"pilots"`
	Redial         Duration         `json:"redial,omitempty"` // mean wait between dials
	SilenceTimeout Duration         `json:"silent_after,omitempty"`
	Servers        []StandingServer `json:"servers,omitempty"`
	Rate           float64          `json:"rate"` // ops a second it usually gets
	RetryAfter     Duration         `json:"retry_after,omitempty"`
	Seed           uint64           `json:"seed,omitempty"`
	Pool           Pool             `json:"pool,omitzero"`
	Tenants        *Tenants         `json:"tenants,omitempty"`
	Log            []Log            `json:"log,omitempty"` // beside standard error
	Service        Service          `json:"service"`
}

// Log is where records go, by RFC 5424.
type Log struct {
	Network    string  `json:"network"` // udp, tcp, tls, unixgram or file
	Address    string  `json:"address"` // or path
	CA         string  `json:"ca,omitempty"`
	Cert       string  `json:"cert,omitempty"`
	Key        string  `json:"key,omitempty"`
	Name       string  `json:"name,omitempty"`     // the receiver's in its certificate; empty: the address's host
	Facility   string  `json:"facility,omitempty"` // daemon, local0 to local7; empty: daemon
	Level      string  `json:"level,omitempty"`    // debug, info, warn or error; empty: info
	Host       string  `json:"host,omitempty"`     // empty: the machine's name
	Buffer     int     `json:"buffer,omitempty"`   // records in memory
	Spool      string  `json:"spool,omitempty"`    // a directory, for this program alone
	SpoolBytes int64   `json:"spool_bytes,omitempty"`
	Rate       float64 `json:"rate,omitempty"` // records a second of one kind and reason
}

// Machine is a kind of server that a node stands in for.
type Machine struct {
	Name        string     `json:"name"`
	Share       float64    `json:"share,omitempty"` // of a fleet's nodes
	Cores       int        `json:"cores"`
	Speed       [2]float64 `json:"speed"` // work a second of a core, drawn between
	Slots       int        `json:"slots"` // ops in work at once
	Queue       int        `json:"queue"`
	Connections int        `json:"connections"`
	Handshake   Duration   `json:"handshake,omitempty"` // work of a new connection
	ColdShare   float64    `json:"cold_share"`
	ColdFor     Duration   `json:"cold_for"`
	ErrorRate   float64    `json:"error_rate,omitempty"`
	ReportEvery Duration   `json:"report_every,omitempty"`
	Cancels     bool       `json:"cancels,omitempty"` // work stops when its op is given up

	// Past SlowsAt ops in hand it loses efficiency, SlowsBy more of it with each further SlowsAt; a full table of
	// connections takes ConnectionTax of its speed, a fuller one more.
	SlowsAt       float64 `json:"slows_at,omitempty"`
	SlowsBy       float64 `json:"slows_by,omitempty"`
	ConnectionTax float64 `json:"connection_tax,omitempty"`
}

// NodeAt is one node: a stand-in for a server.
type NodeAt struct {
	Endpoint uint32  `json:"endpoint"`
	Listen   string  `json:"listen"`
	Zone     string  `json:"zone"`
	Pack     int     `json:"pack,omitempty"`
	Machine  string  `json:"machine"`
	Speed    float64 `json:"speed,omitempty"`
	Weight   float64 `json:"weight,omitempty"`
	Cold     bool    `json:"cold,omitempty"` // it has just started
}

// Node is the file of a process of nodes.
type Node struct {
	Kind     string    `json:"kind"`
	Seed     uint64    `json:"seed,omitempty"`
	Nodes    []NodeAt  `json:"nodes"`
	Machines []Machine `json:"machines"`
	Service  Service   `json:"service"`
	Limits   Limits    `json:"limits"`
}

// RosterEntry is one endpoint of a roster's file.
type RosterEntry struct {
	Endpoint uint32  `json:"endpoint"`
	Address  string  `json:"address"`
	Zone     string  `json:"zone"`
	Pack     int     `json:"pack,omitempty"`
	Weight   float64 `json:"weight,omitempty"`
	Mode     string  `json:"mode,omitempty"`
}

// Roster is the file of a list service. It is read again when it changes.
type Roster struct {
	Kind    string        `json:"kind"`
	Listen  string        `json:"listen"`
	Zones   []string      `json:"zones"`
	Entries []RosterEntry `json:"entries"`
}

// ZoneIndex returns a zone's place among the zones; below 0 if it is none of them.
func (s *Service) ZoneIndex(zone string) int {
	for i, z := range s.Zones {
		if z == zone {
			return i
		}
	}
	return -1
}

var (
	repeats = map[string]control.Repeat{"retryable": control.Retryable, "deduplicated": control.Deduplicated,
		"once-only": control.OnceOnly}
	groups = map[string]control.Group{"": control.GroupAll, "all": control.GroupAll, "zone": control.GroupZone,
		"pack": control.GroupPack}
	agains = map[string]control.RetryPolicy{"": control.Never, "never": control.Never, "if-unrun": control.IfUnrun,
		"once": control.RetryOnce, "twice": control.TwiceMore}
	measures = map[string]control.Measure{"cpu_utilization": control.Util, "inflight": control.Inflight,
		"queue": control.Queue, "latency_ms": control.Latency, "rps_fractional": control.Rate, "eps": control.ErrorRate}
)

// Types returns the op types as the module reads them.
func (s *Service) Types() []control.OpType {
	out := make([]control.OpType, len(s.OpTypes))
	for i, t := range s.OpTypes {
		out[i] = control.OpType{TargetLatency: t.TargetLatency.AsDuration(), OpTimeout: t.OpTimeout.AsDuration(), Revenue: t.Revenue,
			LateShare: t.LateShare, Repeat: repeats[t.Repeat], Group: groups[t.Group], DedupWindow: t.DedupWindow.AsDuration(),
			OwnZoneOnly: t.OwnZoneOnly, Writes: t.Writes}
	}
	return out
}

// DefaultRetryPolicy returns how tries are repeated where no level says.
func (s *Service) DefaultRetryPolicy() control.RetryPolicy { return agains[s.DefaultRetries] }

// Facts are what the pilot's module is told at its start.
func (p *Pilot) Facts() control.Facts {
	s, l, c := &p.Service, &p.Limits, &p.Channel
	f := control.Facts{
		Instance: p.Instance, Instances: max(1, p.Instances), Zone: s.ZoneIndex(p.Zone), Zones: len(s.Zones),
		OpTypes: s.Types(), Tick: p.Tick.AsDuration(), Levels: control.LevelShare,
		AvoidAfterFailures: s.OutlierAfter, StandingTableLines: s.Bootstrap, Proxies: p.Proxies, MessageOverheadLines: float64(c.MessageLines),
		LinesPerSecond: c.LinesPerSecond, MaxUnconfirmedLines: float64(c.MaxWaitingLines - p.NoticeLines()),
		MessageCap:       max(0, c.MessageCap-1), // one is the pilot's own
		MessageCapWindow: c.MessageCapPeriod.AsDuration(), MaxPushDelay: c.MaxPushDelay.AsDuration(),
		ReportInterval: s.ReportEvery.AsDuration(), ReportLinesPerS: c.ReportLinesPerSecond,
		CrossZonePrice: s.CrossZonePrice, ListedWeights: true, WarmUpTime: l.ColdFor.AsDuration(),
		ColdCapacityShare: l.ColdShare, DrainGrace: l.DrainGrace.AsDuration(), AcrossCells: s.acrossCells(), PackWrites: s.packWrites(),
	}
	for _, m := range s.Measures {
		f.Measures = append(f.Measures, measures[m])
	}
	return f
}

// noticeShare is the part of the lines that may wait that the module is not told of, one in so many: it is for what the pilot
// tells proxies by itself.
const noticeShare = 16

// NoticeLines is how many lines of its own a pilot may have written and not had confirmed: enough for one message at least.
func (p *Pilot) NoticeLines() int {
	return max(p.Channel.MaxWaitingLines/noticeShare, p.Channel.MessageLines+len(p.Service.OpTypes))
}

// ParseMode reads a mode as the list has it; an empty one is ready.
func ParseMode(s string) (control.Mode, error) {
	switch s {
	case "", "ready":
		return control.Ready, nil
	case "draining":
		return control.Draining, nil
	case "gone":
		return control.Gone, nil
	}
	return 0, fmt.Errorf("mode %q is none of ready, draining, gone", s)
}

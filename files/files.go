// Package files reads the JSON settings files of vetchdoor: it checks a file against a JSON schema and then for
// contradictions between its values. Read is the entry point. A ValidationError is one line that names the file, the
// place as a JSON pointer, the value found and the values allowed.
package files

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"vetchdoor/control"
)

// Duration is a time.Duration that JSON represents as a string such as "750ms" or "2s".
type Duration time.Duration

// AsDuration returns d as a time.Duration.
func (d Duration) AsDuration() time.Duration { return time.Duration(d) }

// MarshalJSON writes the duration as a whole number of seconds or, failing that, of milliseconds; otherwise in
// microseconds.
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

// UnmarshalJSON parses a string in the format of time.ParseDuration.
func (d *Duration) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return err
	}
	span, err := time.ParseDuration(s)
	*d = Duration(span)
	return err
}

// Match selects the ops of a type; an empty field matches every op. The first op type that matches an op applies.
type Match struct {
	Method     string `json:"method,omitempty"`
	PathPrefix string `json:"path_prefix,omitempty"`
	Header     string `json:"header,omitempty"` // as "NAME: VALUE"
}

// OpType describes one op type, as control.OpType does, and how a proxy recognizes its ops.
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

// Service describes the service: its zones and op types, and how proxies handle ops.
type Service struct {
	Zones          []string `json:"zones"`
	OpTypes        []OpType `json:"op_types"`
	Measures       []string `json:"measures,omitempty"` // fields of the servers' load reports, by their ORCA names
	ReportEvery    Duration `json:"report_every"`
	TryShare       float64  `json:"try_share,omitempty"`     // try timeout before a retry, as a share of the target latency
	OutlierAfter   int      `json:"outlier_after,omitempty"` // consecutive failures after which a proxy avoids a server; 0: never
	OutlierFor     Duration `json:"outlier_for,omitempty"`
	Bootstrap      int      `json:"bootstrap"` // maximum servers in a standing table, for use while a proxy has no pilot's table
	DefaultRetries string   `json:"usual_again,omitempty"`
	WriteLifetime  Duration `json:"write_life,omitempty"` // time limit for an accepted write, also a failing one; 0: 2 op timeouts
	CrossZonePrice float64  `json:"cross_zone_price,omitempty"`

	// WritePacks lists, by zone, the packs among which writes with deduplication by pack are distributed. Its zones are
	// those for writes with deduplication by zone; if it is empty, these use all zones. All proxies must have the same list
	// at any time. To change it, restart all proxies twice: first with the old list here and the new one in WritePacksNext;
	// then, after the longest write and dedup window have passed, with the new list alone.
	WritePacks     map[string][]int `json:"write_packs,omitempty"`
	WritePacksNext map[string][]int `json:"write_packs_next,omitempty"`
}

// Limits are the figures of the five rules that the control service must keep, such as how long a proxy may be without
// a server and how long it may still send to a draining one.
type Limits struct {
	EmptyFor       Duration `json:"empty_for"`
	DrainGrace     Duration `json:"drain_grace"`
	ColdFor        Duration `json:"cold_for"`
	ColdShare      float64  `json:"cold_share"`
	OverloadFactor float64  `json:"overload_factor"`
	FallAfter      Duration `json:"fall_after"`
}

// Channel limits the rate at which a pilot sends table changes to its proxies, and the number of lines that may wait to
// be sent.
type Channel struct {
	LinesPerSecond       float64  `json:"lines_per_second"`
	MessageLines         int      `json:"message_lines"`
	MaxWaitingLines      int      `json:"most_waiting"`
	MessageCap           int      `json:"message_cap,omitempty"`
	MessageCapPeriod     Duration `json:"message_cap_over,omitempty"`
	MaxPushDelay         Duration `json:"push_delay_most,omitempty"`
	ReportLinesPerSecond float64  `json:"report_lines_per_second"`
}

// Pilot is the settings file of a pilot.
type Pilot struct {
	Kind           string   `json:"kind"`
	Name           string   `json:"name"`
	Zone           string   `json:"zone"`
	Instance       int      `json:"instance,omitempty"`
	Instances      int      `json:"instances,omitempty"`
	Proxies        int      `json:"proxies"` // number of proxies of all pilots together
	Listen         string   `json:"listen"`  // address for connections of proxies
	Admin          string   `json:"admin,omitempty"`
	Roster         string   `json:"roster"`
	Cache          string   `json:"cache,omitempty"` // file for the last endpoint list, read at the next start
	Tick           Duration `json:"tick,omitempty"`
	SilenceTimeout Duration `json:"silent_after,omitempty"` // a stream without data for this long is closed
	ResumeWindow   Duration `json:"resume_within,omitempty"`
	Seed           uint64   `json:"seed,omitempty"`
	Tenants        bool     `json:"tenants,omitempty"` // limit tenants that harm others, based on the reports of proxies
	Moves          *Moves   `json:"moves,omitempty"`   // settings for moving tenants; nil: tenants are not moved

	Members *Members `json:"members,omitempty"` // gossip with other pilots, for the admin commands only; nil: none

	MaxProxies  int      `json:"most_proxies,omitempty"` // maximum of joined proxies; further ones are sent to Peers; 0: no limit
	LeaveWithin Duration `json:"leave_within,omitempty"` // time over which proxies are sent away when the pilot ends; 0: 10 s
	Peers       []Peer   `json:"peers,omitempty"`        // the other pilots that this pilot may exchange messages with
	Log         []Log    `json:"log,omitempty"`          // log receivers in addition to standard error
	Service     Service  `json:"service"`
	Limits      Limits   `json:"limits"`
	Channel     Channel  `json:"channel"`
}

// Moves configures how tenants are moved between subsets of servers.
type Moves struct {
	Store         string   `json:"store"`             // path of the file that keeps the state across restarts
	MaxHold       Duration `json:"most,omitempty"`    // maximum time of holding a tenant's writes; 0: ten times the required wait
	MaxConcurrent int      `json:"abreast,omitempty"` // maximum number of concurrent moves; 0: 64
}

// Members configures the gossip among pilots, whose result is only shown by admin commands.
type Members struct {
	Bind            string   `json:"bind"`             // IP:PORT, used for UDP and TCP
	SeedAddresses   []string `json:"others,omitempty"` // addresses of other pilots to contact at the start
	KeyFile         string   `json:"keys"`             // path of a file with a base64 key of 32 bytes per line; the first encrypts
	AllowedNetworks []string `json:"allow,omitempty"`  // networks from which gossip is accepted; empty: loopback
}

// Peer is another pilot: its instance number and its listen address.
type Peer struct {
	Instance int    `json:"instance"`
	Address  string `json:"address"`
}

// PilotAddress is the address and the zone of a pilot that a proxy may connect to.
type PilotAddress struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
}

// StandingServer is a server that a proxy may include in its standing table.
type StandingServer struct {
	Endpoint uint32  `json:"endpoint"`
	Address  string  `json:"address"`
	Zone     string  `json:"zone"`
	Pack     int     `json:"pack,omitempty"`
	Weight   float64 `json:"weight,omitempty"`
}

// Pool configures a proxy's connections to servers.
type Pool struct {
	PerServer      int      `json:"per_server,omitempty"`
	IdleClose      Duration `json:"idle_close,omitempty"`
	ConnectTimeout Duration `json:"connect_timeout,omitempty"`
}

// Tenants configures how a proxy finds the tenant of an op, and how many pods each tenant may use.
type Tenants struct {
	Header     string              `json:"header,omitempty"`
	PathPrefix string              `json:"path_prefix,omitempty"`
	Networks   map[string][]string `json:"networks,omitempty"`
	Known      []string            `json:"known,omitempty"`
	Subset     int                 `json:"subset"`             // pods per tenant; 0: all
	Bindings   string              `json:"bindings,omitempty"` // file that keeps the bindings of moved tenants across restarts
}

// Proxy is the settings file of a proxy.
type Proxy struct {
	Kind           string           `json:"kind"`
	ID             uint16           `json:"id"`
	Zone           string           `json:"zone"`
	Listen         string           `json:"listen"`
	Admin          string           `json:"admin,omitempty"`
	Pilots         []PilotAddress   `json:"pilots"`
	Redial         Duration         `json:"redial,omitempty"` // mean time between two dials
	SilenceTimeout Duration         `json:"silent_after,omitempty"`
	Servers        []StandingServer `json:"servers,omitempty"`
	Rate           float64          `json:"rate"` // usual load, in ops per second
	RetryAfter     Duration         `json:"retry_after,omitempty"`
	Seed           uint64           `json:"seed,omitempty"`
	Pool           Pool             `json:"pool,omitzero"`
	Tenants        *Tenants         `json:"tenants,omitempty"`
	Log            []Log            `json:"log,omitempty"` // log receivers in addition to standard error
	Service        Service          `json:"service"`
}

// Log configures one receiver of log records in the format of RFC 5424.
type Log struct {
	Network    string  `json:"network"` // udp, tcp, tls, unixgram or file
	Address    string  `json:"address"` // host and port, or the path of the socket or file
	CA         string  `json:"ca,omitempty"`
	Cert       string  `json:"cert,omitempty"`
	Key        string  `json:"key,omitempty"`
	Name       string  `json:"name,omitempty"`     // name expected in the receiver's certificate; empty: the host of Address
	Facility   string  `json:"facility,omitempty"` // daemon, local0 to local7; empty: daemon
	Level      string  `json:"level,omitempty"`    // debug, info, warn or error; empty: info
	Host       string  `json:"host,omitempty"`     // empty: the host name of this machine
	Buffer     int     `json:"buffer,omitempty"`   // maximum number of records in memory
	Spool      string  `json:"spool,omitempty"`    // directory for records that do not fit in memory; no other program may use it
	SpoolBytes int64   `json:"spool_bytes,omitempty"`
	Rate       float64 `json:"rate,omitempty"` // limit in records per second for one kind and reason
}

// Machine is a machine type that a simulated server (node) can have.
type Machine struct {
	Name        string     `json:"name"`
	Share       float64    `json:"share,omitempty"` // share of the nodes that are of this type
	Cores       int        `json:"cores"`
	Speed       [2]float64 `json:"speed"` // range of the work done per second of one core; each node draws its speed from it
	Slots       int        `json:"slots"` // maximum number of ops processed at a time
	Queue       int        `json:"queue"`
	Connections int        `json:"connections"`
	Handshake   Duration   `json:"handshake,omitempty"` // work that a new connection costs
	ColdShare   float64    `json:"cold_share"`
	ColdFor     Duration   `json:"cold_for"`
	ErrorRate   float64    `json:"error_rate,omitempty"`
	ReportEvery Duration   `json:"report_every,omitempty"`
	Cancels     bool       `json:"cancels,omitempty"` // whether work on an op stops when the proxy gives up on it

	// With more than SlowsAt ops queued or running, the speed is divided by 1 + SlowsBy*(ops/SlowsAt - 1). Open connections
	// reduce the speed in proportion to their number: by the share ConnectionTax when all Connections are open, and by more
	// beyond that.
	SlowsAt       float64 `json:"slows_at,omitempty"`
	SlowsBy       float64 `json:"slows_by,omitempty"`
	ConnectionTax float64 `json:"connection_tax,omitempty"`
}

// NodeAt is one node: a simulated server.
type NodeAt struct {
	Endpoint uint32  `json:"endpoint"`
	Listen   string  `json:"listen"`
	Zone     string  `json:"zone"`
	Pack     int     `json:"pack,omitempty"`
	Machine  string  `json:"machine"`
	Speed    float64 `json:"speed,omitempty"`
	Weight   float64 `json:"weight,omitempty"`
	Cold     bool    `json:"cold,omitempty"` // it starts cold, as right after a restart
}

// Node is the settings file of a process that runs nodes.
type Node struct {
	Kind     string    `json:"kind"`
	Seed     uint64    `json:"seed,omitempty"`
	Nodes    []NodeAt  `json:"nodes"`
	Machines []Machine `json:"machines"`
	Service  Service   `json:"service"`
	Limits   Limits    `json:"limits"`
}

// RosterEntry is one endpoint in the file of a list service.
type RosterEntry struct {
	Endpoint uint32  `json:"endpoint"`
	Address  string  `json:"address"`
	Zone     string  `json:"zone"`
	Pack     int     `json:"pack,omitempty"`
	Weight   float64 `json:"weight,omitempty"`
	Mode     string  `json:"mode,omitempty"`
}

// Roster is the settings file of a list service, which reads it again after each change.
type Roster struct {
	Kind    string        `json:"kind"`
	Listen  string        `json:"listen"`
	Zones   []string      `json:"zones"`
	Entries []RosterEntry `json:"entries"`
}

// ZoneIndex returns the index of a zone in Zones; -1 if it is not there.
func (s *Service) ZoneIndex(zone string) int {
	for i, z := range s.Zones {
		if z == zone {
			return i
		}
	}
	return -1
}

var (
	repeatByName = map[string]control.Repeat{"retryable": control.Retryable, "deduplicated": control.Deduplicated,
		"once-only": control.OnceOnly}
	groupByName = map[string]control.Group{"": control.GroupAll, "all": control.GroupAll, "zone": control.GroupZone,
		"pack": control.GroupPack}
	retryPolicyByName = map[string]control.RetryPolicy{"": control.RetryNever, "never": control.RetryNever, "if-unrun": control.RetryIfUnrun,
		"once": control.RetryOnce, "twice": control.RetryTwice}
	measureByName = map[string]control.Measure{"cpu_utilization": control.Util, "inflight": control.Inflight,
		"queue": control.Queue, "latency_ms": control.Latency, "rps_fractional": control.Rate, "eps": control.ErrorRate}
)

// Types returns the op types in the form that the control package uses.
func (s *Service) Types() []control.OpType {
	out := make([]control.OpType, len(s.OpTypes))
	for i, t := range s.OpTypes {
		out[i] = control.OpType{TargetLatency: t.TargetLatency.AsDuration(), OpTimeout: t.OpTimeout.AsDuration(), Revenue: t.Revenue,
			LateShare: t.LateShare, Repeat: repeatByName[t.Repeat], Group: groupByName[t.Group], DedupWindow: t.DedupWindow.AsDuration(),
			OwnZoneOnly: t.OwnZoneOnly, Writes: t.Writes}
	}
	return out
}

// DefaultRetryPolicy returns the retry policy of op types whose level does not include one.
func (s *Service) DefaultRetryPolicy() control.RetryPolicy {
	return retryPolicyByName[s.DefaultRetries]
}

// ControlConfig returns the configuration of the pilot's decision module.
func (p *Pilot) ControlConfig() control.Config {
	s, l, c := &p.Service, &p.Limits, &p.Channel
	f := control.Config{
		Instance: p.Instance, Instances: max(1, p.Instances), Zone: s.ZoneIndex(p.Zone), Zones: len(s.Zones),
		OpTypes: s.Types(), Tick: p.Tick.AsDuration(), Levels: control.LevelShare,
		AvoidAfterFailures: s.OutlierAfter, StandingTableLines: s.Bootstrap, Proxies: p.Proxies, MessageOverheadLines: float64(c.MessageLines),
		LinesPerSecond: c.LinesPerSecond, MaxUnconfirmedLines: float64(c.MaxWaitingLines - p.ReservedLines()),
		MessageCap:       max(0, c.MessageCap-1), // one message is reserved for the pilot itself
		MessageCapWindow: c.MessageCapPeriod.AsDuration(), MaxPushDelay: c.MaxPushDelay.AsDuration(),
		ReportInterval: s.ReportEvery.AsDuration(), ReportLinesPerSecond: c.ReportLinesPerSecond,
		CrossZonePrice: s.CrossZonePrice, UseListedWeights: true, WarmUpTime: l.ColdFor.AsDuration(),
		ColdCapacityShare: l.ColdShare, DrainGrace: l.DrainGrace.AsDuration(), CrossCellOpTypes: s.typesAcrossCells(), SinglePackWrites: s.writesToPack(),
	}
	for _, m := range s.Measures {
		f.Measures = append(f.Measures, measureByName[m])
	}
	return f
}

// reservedShare determines how many waiting lines the decision module must not use: one in reservedShare of MaxWaitingLines,
// for messages that the pilot sends to proxies on its own.
const reservedShare = 16

// ReservedLines returns the maximum number of unconfirmed lines that the pilot itself may have sent, without an
// order of the decision module; it is at least enough for one message.
func (p *Pilot) ReservedLines() int {
	return max(p.Channel.MaxWaitingLines/reservedShare, p.Channel.MessageLines+len(p.Service.OpTypes))
}

// ParseMode parses the mode of an endpoint as the list gives it; an empty string means ready.
func ParseMode(s string) (control.Mode, error) {
	switch s {
	case "", "ready":
		return control.Ready, nil
	case "draining":
		return control.Draining, nil
	case "gone":
		return control.Gone, nil
	}
	return 0, fmt.Errorf("mode %q is not one of ready, draining, gone", s)
}

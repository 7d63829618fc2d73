// Package control is the interface between the decision module (package policy) and the programs that host it: the
// configuration that an instance gets at its start, the events that it receives and the orders that it returns. It
// makes no decision.
package control

import "time"

// Ids are opaque. A host hands back exactly the ids that it was given.
type (
	EndpointID uint32 // id of an endpoint, which is one server
	ProxyID    uint16 // id of a proxy
	TableID    uint16 // id of a table, or of a slice where tables are slices of the keys
)

// Everywhere, as the table of a SetLevel, means all joined proxies.
const Everywhere TableID = 65535

// LongAgo is the start time of an endpoint whose start is unknown or long past.
const LongAgo = time.Duration(-1 << 62)

// Repeat defines whether an op may run more than once.
type Repeat int

const (
	Retryable    Repeat = iota // the op may run more than once
	Deduplicated               // endpoints of one group discard repeats within the deduplication window
	OnceOnly                   // the op must never run twice
)

// Group is the set of endpoints that recognize each other's repeats of an op.
type Group int

const (
	GroupAll  Group = iota // all endpoints
	GroupZone              // the endpoints of one zone
	GroupPack              // the endpoints of one pack within a zone
)

// OpType is the configuration of one type of op.
type OpType struct {
	TargetLatency time.Duration
	OpTimeout     time.Duration
	Revenue       float64 // of one op that is acked within its target latency
	LateShare     float64 // share of the revenue that an op earns if it is acked late
	Repeat        Repeat
	Group         Group         // for Deduplicated
	DedupWindow   time.Duration // for Deduplicated
	OwnZoneOnly   bool          // the op may only run in the zone of its proxy
	Writes        bool          // the op changes data
}

// LevelUnit is the unit of the level of a SetLevel.
type LevelUnit int

const (
	LevelOff   LevelUnit = iota // levels are ignored, retry policies are not
	LevelShare                  // share of the ops, from 0 to 1
	LevelRate                   // ops per second
)

// RetryPolicy defines when a proxy retries an op at another endpoint.
type RetryPolicy int

const (
	RetryNever   RetryPolicy = iota
	RetryIfUnrun             // at most once, and only after proof that the first try never ran
	RetryOnce                // at most once, after any failure
	RetryTwice               // at most twice, after any failure
)

// Measure is the kind of one value of a load report.
type Measure int

const (
	OtherMeasure Measure = iota // a value that has no meaning here
	Inflight                    // ops in progress
	Queue                       // ops waiting
	Util                        // share of the cores that is busy, from 0 to 1
	Latency                     // recent service time in milliseconds
	Rate                        // ops acked per second
	ErrorRate                   // errors per second
)

// Config is the configuration that an instance gets at its start. A standing table is a proxy's own list of servers, which
// the proxy uses until it is bound to a table.
type Config struct {
	Instance, Instances int // index of this instance; number of instances
	Zone, Zones         int // index of the instance's zone; number of zones
	OpTypes             []OpType

	ListNeedsWatch bool          // the endpoint list is only sent after WatchList
	Tick           time.Duration // period for which the host gathers events before it calls Decide

	Slices int // 0: proxies are bound to tables; else the number of slices of the keys, each of which is a table

	Levels             LevelUnit
	AvoidAfterFailures int // failures in a row after which a proxy avoids an endpoint by itself; 0: never
	StandingTableLines int // greatest number of lines of a proxy's standing table

	Proxies              int           // number of proxies of all instances
	MessageOverheadLines float64       // lines that a message costs in addition to its content
	LinesPerSecond       float64       // lines per second that the channel to the proxies carries
	MaxUnconfirmedLines  float64       // greatest number of lines sent to proxies that are not yet confirmed
	MessageCap           int           // greatest number of messages to one proxy within MessageCapWindow; 0: unlimited
	MessageCapWindow     time.Duration // period that MessageCap applies to
	MaxPushDelay         time.Duration // longest time that a message takes after it has left the channel
	KeepsWithdrawals     bool          // a proxy keeps withdrawals of an earlier stream until an order ends them by name
	ReportInterval       time.Duration // period of the statistics from proxies
	ReportLinesPerSecond float64       // greatest rate of lines of statistics

	Measures         []Measure // kinds of the values of a load report, in order
	CrossZonePrice   float64   // cost of sending an op to another zone
	UseListedWeights bool      // the weights on the endpoint list are meaningful

	CrossCellOpTypes uint16 // bits of the op types that every proxy may have to send to any endpoint, whatever its cell
	SinglePackWrites bool   // some ops go to one pack alone, and are refused while none of its endpoints is in use

	WarmUpTime        time.Duration // time after its start until an endpoint is surely warm
	ColdCapacityShare float64       // share of its capacity that an endpoint surely has at its start
	DrainGrace        time.Duration // time within which proxies must stop sending to a draining or unlisted endpoint
}

// Event is something that happened to the instance.
type Event interface{ event() }

// Mode is the state of an endpoint on the endpoint list.
type Mode int

const (
	Gone     Mode = iota // not on the list any more
	Draining             // finishes its ops and takes no new ones
	Ready                // takes ops
)

// Entry is one endpoint on the endpoint list.
type Entry struct {
	Endpoint EndpointID
	Weight   float64
	Mode     Mode
	Started  time.Duration // time of its last start on the clock of the instance, or LongAgo
	Machine  int           // index of its machine type
	Zone     int
	Pack     int
}

// ListKind defines what the entries of a Listing contain.
type ListKind int

const (
	Changes ListKind = iota // only the entries that changed
	Full                    // the whole list
	Cached                  // the whole list as last seen, possibly stale
	Failed                  // no entries: the request failed, and the previous list still holds
)

type (
	// Start is the first event of an instance.
	Start struct {
		Config Config
		Seed   uint64 // seed of the pseudo-random numbers of the decisions
	}
	// Listing has the endpoint list or changes to it.
	Listing struct {
		Kind    ListKind
		Entries []Entry
	}
	// EndpointStats are statistics of the tries that the joined proxies of one zone made at an endpoint.
	EndpointStats struct {
		Zone     int
		Endpoint EndpointID
		Tries    int
		Failed   int
		Latency  time.Duration // mean latency of the tries that did not fail
		Window   time.Duration // period that the statistics span
		Load     []float64     // values in the order of Config.Measures; empty if no load report came
	}
	// Arrivals are statistics of the ops of one type that arrived at a proxy.
	Arrivals struct {
		Proxy   ProxyID
		OpType  int
		Ops     int
		Unacked int
		Window  time.Duration // period that the statistics span
	}
	// SliceLoad are statistics of the ops of one type that arrived for a slice.
	SliceLoad struct {
		Slice   TableID
		OpType  int
		Ops     int
		Unacked int
		Window  time.Duration // period that the statistics span
	}
	// Joined reports that a proxy opened a stream to the instance.
	Joined struct {
		Proxy    ProxyID
		Zone     int
		Rate     float64 // ops per second that it usually gets
		Standing bool    // it holds only its standing tables, nothing of an earlier stream
	}
	// Left reports that the stream of a proxy ended.
	Left struct{ Proxy ProxyID }
	// InForce reports that a proxy has applied all orders up to a checkpoint.
	InForce struct {
		Proxy      ProxyID
		Checkpoint int
		Took       time.Duration // time from the checkpoint to its confirmation
	}
	// Probed is the result of a Probe.
	Probed struct {
		Endpoint EndpointID
		Outcome  ProbeOutcome
		Took     time.Duration
		Load     []float64 // values in the order of Config.Measures; empty if none came
	}
	// PeerNote is data that another instance sent by Publish.
	PeerNote struct {
		From int // index of the sending instance
		Data []byte
	}
	// TimerFired reports that the timer of a SetTimer expired.
	TimerFired struct{ Label uint32 }
	// SliceHanded reports that a slice was given to the instance or taken from it.
	SliceHanded struct {
		Slice TableID
		Given bool
	}
	// SliceLine is a line of a slice's table as it is recorded.
	SliceLine struct {
		Slice    TableID
		Endpoint EndpointID
		Weight   float64
	}
)

// ProbeOutcome is the way in which a probe ended.
type ProbeOutcome int

const (
	ProbeAnswered  ProbeOutcome = iota
	ProbeErrored                // the endpoint answered with an error
	ProbeRejected               // the endpoint drains, or too many probes ran at once
	ProbeTimedOut               // no answer came in time
	ProbeUnreached              // the endpoint is down or cut off
	ProbeBroken                 // the connection broke during the probe
	ProbeOther                  // any other outcome
)

func (Start) event()         {}
func (Listing) event()       {}
func (EndpointStats) event() {}
func (Arrivals) event()      {}
func (SliceLoad) event()     {}
func (Joined) event()        {}
func (Left) event()          {}
func (InForce) event()       {}
func (Probed) event()        {}
func (PeerNote) event()      {}
func (TimerFired) event()    {}
func (SliceHanded) event()   {}
func (SliceLine) event()     {}

// Order is something that the host must do.
type Order interface{ order() }

// Reason is the reason for an order.
type Reason string

// The reasons for orders, with the value and the limit that a Why has for each, in this order.
const (
	Unlisted         Reason = "gone"       // the endpoint is no longer on the list
	ListedAsDraining Reason = "draining"   // the endpoint is listed as draining
	Unhealthy        Reason = "sick"       // share of the endpoint's tries that failed; share tolerated, given those of others
	Readmitted       Reason = "back"       // the endpoint is ready again, its withdrawal is over, or it left the list long ago
	Listed           Reason = "listed"     // weight of the endpoint on the list
	Warming          Reason = "warming"    // share of its warm-up that the endpoint has completed; 1, where it is warm
	CellOverloaded   Reason = "jammed"     // load of the endpoint's cell in percent; load from which on no cold endpoint joins it
	WeightReduced    Reason = "eased"      // load of the endpoint in percent; load tolerated, given that of others
	WeightRestored   Reason = "regains"    // load of the endpoint in percent; load below which its weight rises again
	RampingUp        Reason = "returning"  // share of its weight that the returning endpoint has; share that it will have
	Home             Reason = "home"       // the cell is the proxy's home cell
	CellDown         Reason = "cell-down"  // seconds since the proxy's cell last answered; seconds tolerated
	HomeDown         Reason = "home-down"  // seconds since the proxy's home cell last answered; seconds tolerated
	HomeFull         Reason = "home-full"  // fill of the home cell with the proxy, in percent; limit of the fill
	ReturnedHome     Reason = "home-again" // fill of the home cell with the proxy, in percent; fill that leaves room for it
	Shed             Reason = "shed"       // score or fill of the proxy's cell in percent; value above which it sheds proxies
	InitialLevel     Reason = "start"      // first level of an op type
	Overload         Reason = "distress"   // load of the fleet in percent; load from which on levels fall
	Failing          Reason = "failing"    // share of the tries that fail, in the fleet or a cell; share that counts as overload
	Capacity         Reason = "capacity"   // ratio of the servers' capacity to the offered work; 1
	LevelRestored    Reason = "recovers"   // load of the fleet in percent; load below which levels rise
)

// Why is the reason for an order, with the value that crossed a limit. Value and Limit are 0 where the reason has none.
type Why struct {
	Reason       Reason
	Value, Limit float64
}

type (
	// PutLine sets the weight of an endpoint in a table.
	PutLine struct {
		Table    TableID
		Endpoint EndpointID
		Weight   float64 // 0 removes the line
		Why      Why
	}
	// ClearTable removes all lines of a table.
	ClearTable struct{ Table TableID }
	// Bind makes a proxy use a table for some or all op types.
	Bind struct {
		Table   TableID
		Proxy   ProxyID
		OpTypes uint16 // a bit for each op type; 0: all
		Why     Why
	}
	// SetLevel limits how much of some op types the proxies of a table admit, and sets when they retry ops.
	SetLevel struct {
		Table       TableID
		OpTypes     uint16 // a bit for each op type; 0: all
		Level       float64
		RetryPolicy RetryPolicy
		Why         Why
	}
	// Suspend withdraws an endpoint from use at the proxies whose tables may contain it, or returns it to use.
	Suspend struct {
		Endpoint  EndpointID
		Out       bool // withdrawn
		BoundOnly bool // only at bound proxies; any unbound proxies are about to be bound, which conveys the withdrawals
		Why       Why
	}
	// Checkpoint ends a batch of orders; each proxy that the orders reach confirms its number by InForce.
	Checkpoint struct {
		Number int
		All    bool // also to joined proxies that the other orders do not reach
	}
	// SetTimer requests a TimerFired event.
	SetTimer struct {
		After time.Duration
		Label uint32
	}
	// Probe requests a probe of an endpoint and a Probed event.
	Probe struct{ Endpoint EndpointID }
	// Publish sends data to other instances.
	Publish struct {
		To   int // index of the receiving instance; negative: every peer
		Data []byte
	}
	// FetchList requests the full endpoint list.
	FetchList struct{}
	// WatchList starts or stops the sending of changes of the endpoint list.
	WatchList struct{ On bool }
	// LogMessage writes a text to the log of the instance.
	LogMessage struct{ Text string }
)

func (PutLine) order()    {}
func (ClearTable) order() {}
func (Bind) order()       {}
func (SetLevel) order()   {}
func (Suspend) order()    {}
func (Checkpoint) order() {}
func (SetTimer) order()   {}
func (Probe) order()      {}
func (Publish) order()    {}
func (FetchList) order()  {}
func (WatchList) order()  {}
func (LogMessage) order() {}

// Package control is the interface between the assigner and whatever carries its events and orders: the events
// that come in, the orders that go out, and the facts an instance is given when it starts. It holds no decision.
package control

import "time"

// Ids are opaque; the carrier hands back exactly what it was given.
type (
	EndpointID uint32
	ProxyID    uint16
	TableID    uint16
)

// Everywhere, as the table of a SetLevel, means every joined proxy.
const Everywhere TableID = 65535

// LongAgo is the start of an endpoint whose last start nobody remembers.
const LongAgo = time.Duration(-1 << 62)

// Repeat tells who throws away the repeats of an op.
type Repeat int

const (
	Retryable    Repeat = iota // may run again
	Deduplicated               // endpoints of one group drop a repeat for a while
	OnceOnly                   // must never run twice
)

// Group is the set of endpoints that drop each other's repeats.
type Group int

const (
	GroupAll Group = iota
	GroupZone
	GroupPack
)

// OpType is what is known of one type of op.
type OpType struct {
	TargetLatency time.Duration
	OpTimeout     time.Duration
	Revenue       float64
	LateShare     float64 // of the revenue, when acked late
	Repeat        Repeat
	Group         Group         // for Deduplicated
	DedupWindow   time.Duration // for Deduplicated
	OwnZoneOnly   bool
	Writes        bool
}

// LevelUnit is what the number of a SetLevel means.
type LevelUnit int

const (
	LevelOff LevelUnit = iota // levels are ignored, ways of trying again are not
	LevelShare
	LevelRate
)

// RetryPolicy is when a proxy tries an op at another endpoint.
type RetryPolicy int

const (
	Never     RetryPolicy = iota
	IfUnrun               // once, after proof that the first try never ran
	RetryOnce             // once after any failure
	TwiceMore             // twice after any failure
)

// Measure is one value of a load report.
type Measure int

const (
	OtherMeasure Measure = iota
	Inflight             // ops in hand
	Queue                // ops waiting
	Util                 // busy share of the cores
	Latency              // recent service time, in milliseconds
	Rate                 // ops acked a second
	ErrorRate            // errors a second
)

// Facts are what an instance is told when it starts.
type Facts struct {
	Instance, Instances int
	Zone, Zones         int
	OpTypes             []OpType

	AskForList bool // the list comes only to those who watch it
	Tick       time.Duration

	Slices int // 0: proxies are bound to tables; else a table is a slice of the keys

	Levels             LevelUnit
	AvoidAfterFailures int
	StandingTableLines int // lines of a standing table, at most

	Proxies              int // of all instances
	MessageOverheadLines float64
	LinesPerSecond       float64
	MaxUnconfirmedLines  float64
	MessageCap           int // messages to one proxy within MessageCapOver; 0: no cap
	MessageCapWindow     time.Duration
	MaxPushDelay         time.Duration // longest way of a message once it left the channel
	KeepsShut            bool          // a proxy keeps what was withdrawn on an earlier stream until it is let in by name
	ReportInterval       time.Duration
	ReportLinesPerS      float64

	Measures       []Measure // what a load report holds, in order
	CrossZonePrice float64
	ListedWeights  bool // the list's weights mean something

	AcrossCells uint16 // op types, by bit, that every proxy may have to send to any server, whichever cell it is in
	PackWrites  bool   // some ops go to one pack alone, and are refused while none of its servers is in use

	WarmUpTime        time.Duration
	ColdCapacityShare float64
	DrainGrace        time.Duration
}

// Event is something that happened to the instance.
type Event interface{ event() }

// Mode is how the list shows an endpoint.
type Mode int

const (
	Gone Mode = iota
	Draining
	Ready
)

// Entry is one endpoint on the list.
type Entry struct {
	Endpoint EndpointID
	Weight   float64
	Mode     Mode
	Started  time.Duration
	Machine  int
	Zone     int
	Pack     int
}

// ListKind tells how the entries of a Listing are to be read.
type ListKind int

const (
	Changes ListKind = iota
	Full
	Cached // as last seen, possibly stale
	Failed // a call failed; the old list still holds
)

type (
	// Start is the first event of an instance.
	Start struct {
		Facts Facts
		Seed  uint64
	}
	Listing struct {
		Kind    ListKind
		Entries []Entry
	}
	// EndpointStats is what the joined proxies of one zone met at an endpoint.
	EndpointStats struct {
		Zone     int
		Endpoint EndpointID
		Tries    int
		Failed   int
		Latency  time.Duration // of the good ones
		Window   time.Duration
		Load     []float64 // as in Facts.Measures; empty if none came
	}
	// Arrivals are the ops of a type that came to a proxy.
	Arrivals struct {
		Proxy   ProxyID
		OpType  int
		Ops     int
		Unacked int
		Window  time.Duration
	}
	// SliceLoad are the ops of a type that came for a slice.
	SliceLoad struct {
		Slice   TableID
		OpType  int
		Ops     int
		Unacked int
		Window  time.Duration
	}
	Joined struct {
		Proxy    ProxyID
		Zone     int
		Rate     float64 // ops a second it usually gets
		Standing bool    // it holds only its standing tables
	}
	Left    struct{ Proxy ProxyID }
	InForce struct {
		Proxy      ProxyID
		Checkpoint int
		Took       time.Duration
	}
	Probed struct {
		Endpoint EndpointID
		Outcome  ProbeOutcome
		Took     time.Duration
		Load     []float64
	}
	PeerNote struct {
		From int
		Data []byte
	}
	Ring        struct{ Label uint32 }
	SliceHanded struct {
		Slice TableID
		Given bool
	}
	SliceLine struct {
		Slice    TableID
		Endpoint EndpointID
		Weight   float64
	}
)

// ProbeOutcome is how a probe ended.
type ProbeOutcome int

const (
	ProbeAnswered ProbeOutcome = iota
	ProbeErrored
	ProbeRejected // draining, or too many probes at once
	ProbeTimedOut
	ProbeUnreached // down or cut off
	ProbeBroken
	ProbeOther
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
func (Ring) event()          {}
func (SliceHanded) event()   {}
func (SliceLine) event()     {}

// Order is something to be done.
type Order interface{ order() }

// Reason is why an order was given.
type Reason string

// The reasons, with the figure and the limit that a Why bears.
const (
	Unlisted  Reason = "gone"       // the list says that it is no more
	Drains    Reason = "draining"   // the list says that it drains
	Sick      Reason = "sick"       // share of its tries that failed; what is borne, by how others fare
	Back      Reason = "back"       // listed as ready, or its sick spell is over
	Listed    Reason = "listed"     // its weight on the list
	Warming   Reason = "warming"    // how far it has come since its start; 1 is warm
	Jammed    Reason = "jammed"     // its cell's load in percent; where no cold server may join it
	Eased     Reason = "eased"      // its load in percent; what is borne beside the others'
	Regains   Reason = "regains"    // its load in percent; what calls for more, beside the others'
	Returning Reason = "returning"  // it takes up its weight in steps; the share that it has
	Home      Reason = "home"       // the identity hash says so
	CellDown  Reason = "cell-down"  // its cell drops; seconds that nothing came back from it, how long is borne
	HomeDown  Reason = "home-down"  // seconds that nothing came back from its home; how long is borne
	HomeFull  Reason = "home-full"  // the fill of its home with it; how far one is filled
	HomeAgain Reason = "home-again" // the fill of its home with it; where there is room
	Shed      Reason = "shed"       // its cell's score, or fill; where it sheds
	First     Reason = "start"      // the first word
	Distress  Reason = "distress"   // the fleet's load in percent; where levels fall
	Failing   Reason = "failing"    // share of tries that fail; where levels fall
	Capacity  Reason = "capacity"   // what the servers can do over what is offered; 1
	Recovers  Reason = "recovers"   // the fleet's load in percent; where levels rise
)

// Why is an order's reason with the figure that crossed a limit; both are 0 where there is none.
type Why struct {
	Reason       Reason
	Value, Limit float64
}

type (
	PutLine struct {
		Table    TableID
		Endpoint EndpointID
		Weight   float64 // 0 removes the line
		Why      Why
	}
	Blank struct{ Table TableID }
	Bind  struct {
		Table   TableID
		Proxy   ProxyID
		OpTypes uint16 // a bit for each; 0: all
		Why     Why
	}
	SetLevel struct {
		Table       TableID
		OpTypes     uint16
		Level       float64
		RetryPolicy RetryPolicy
		Why         Why
	}
	Suspend struct {
		Endpoint EndpointID
		Out      bool
		Bound    bool // at proxies that were bound alone; others are about to be
		Why      Why
	}
	Checkpoint struct {
		Number int
		All    bool // also to joined proxies that the other orders would not reach
	}
	Wake struct {
		After time.Duration
		Label uint32
	}
	Probe   struct{ Endpoint EndpointID }
	Publish struct {
		To   int // below 0: to every peer
		Data []byte
	}
	FetchList struct{}
	WatchList struct{ On bool }
	Note      struct{ Text string }
)

func (PutLine) order()    {}
func (Blank) order()      {}
func (Bind) order()       {}
func (SetLevel) order()   {}
func (Suspend) order()    {}
func (Checkpoint) order() {}
func (Wake) order()       {}
func (Probe) order()      {}
func (Publish) order()    {}
func (FetchList) order()  {}
func (WatchList) order()  {}
func (Note) order()       {}

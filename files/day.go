package files

// Fleet is how many of each a day has, or which.
type Fleet struct {
	Pilots   int       `json:"pilots"`
	Proxies  int       `json:"proxies"`
	Nodes    int       `json:"nodes"`
	Spare    int       `json:"spare,omitempty"` // nodes that "grow" can switch on
	PackSize int       `json:"pack_size,omitempty"`
	Machines []Machine `json:"machines"`
	Exactly  []NodeAt  `json:"exactly,omitempty"` // the nodes one by one, in place of drawing them, spare ones last

	ProxyList []ProxyAt `json:"proxy_list,omitempty"` // the proxies one by one
	PilotList []string  `json:"pilot_list,omitempty"` // the pilots' zones
}

// ProxyAt is one proxy of a day: its zone and its share of the traffic, weighed against the others of the zone.
type ProxyAt struct {
	Zone  string  `json:"zone"`
	Share float64 `json:"share"`
}

// Point is the load at a time, as a multiple of its mean.
type Point struct {
	At    Duration `json:"at"`
	Times float64  `json:"times"`
}

// List is how the day's roster behaves.
type List struct {
	Notice       Duration `json:"notice"`        // until it sees that a process ended
	SilentNotice Duration `json:"silent_notice"` // until it sees that a machine went silent
	Add          Duration `json:"add"`           // until it lists a start or a drain
}

// Net is the way between the parts, one way.
type Net struct {
	Same  Duration `json:"same"`
	Cross Duration `json:"cross"`
	Push  Duration `json:"push"` // a pilot's messages, on top
	Hears Duration `json:"hears"`
}

// Load is what clients ask for.
type Load struct {
	OfCapacity float64    `json:"of_capacity,omitempty"` // of what the nodes can do; or
	PerSecond  float64    `json:"ops_per_second,omitempty"`
	Swing      float64    `json:"swing,omitempty"` // part by which it rises and falls over the day
	Spread     float64    `json:"spread,omitempty"`
	ZoneShare  []float64  `json:"zone_share,omitempty"`
	Shape      []Point    `json:"shape,omitempty"` // in place of swing
	Works      []Work     `json:"works"`
	Tenants    TenantLoad `json:"tenants,omitzero"`
}

// TenantLoad are the tenants of a day: so many, the n-th with a share of 1/n of the first's, to the power given. One may
// misbehave for a while.
type TenantLoad struct {
	Count  int     `json:"count,omitempty"`
	Zipf   float64 `json:"zipf,omitempty"`
	Subset int     `json:"subset,omitempty"` // pods that proxies give each; 0: all
	Limits bool    `json:"limits,omitempty"` // the pilot limits those that harm others

	Bad       int      `json:"bad,omitempty"` // its number, from 1; 0: none
	BadAt     Duration `json:"bad_at,omitempty"`
	BadLength Duration `json:"bad_length,omitempty"`
	BadRate   float64  `json:"bad_rate,omitempty"`  // ops a second that it adds
	BadTimes  float64  `json:"bad_times,omitempty"` // times the work of each
	BadHow    string   `json:"bad_how,omitempty"`   // what else is wrong with them

	Known bool `json:"known,omitempty"` // proxies have the list of the tenants that there are
	Moves bool `json:"moves,omitempty"` // pilots can move tenants; a trouble asks them to
}

// Work is the work of an op type.
type Work struct {
	OpType string   `json:"op_type"`
	Share  float64  `json:"share"`
	Mean   Duration `json:"mean"`
	CV     float64  `json:"cv,omitempty"` // of a lognormal draw; 0: exponential
}

// Clients is how callers behave.
type Clients struct {
	Retries  int      `json:"retries"`
	TryShare float64  `json:"try_share"` // a try is given up after this share of the op timeout
	Backoff  Duration `json:"backoff,omitempty"`
	Honour   float64  `json:"honour,omitempty"` // share of clients that keep to Retry-After

	Elsewhere float64 `json:"elsewhere,omitempty"` // share of repeats that go to a proxy drawn anew
}

// Trouble is one thing that goes wrong.
type Trouble struct {
	Kind   string   `json:"kind"`
	At     Duration `json:"at"`
	Length Duration `json:"length"`
	Part   float64  `json:"part,omitempty"`
	Size   float64  `json:"size,omitempty"`
	Extra  float64  `json:"extra,omitempty"`
	How    string   `json:"how,omitempty"` // a form of the kind
	Zone   string   `json:"zone,omitempty"`
	On     []uint32 `json:"on,omitempty"` // endpoints, proxies or pilots, by the kind; else drawn
}

// Goal is how the day's service is added up.
type Goal struct {
	Whole       float64 `json:"whole"`
	WorstWindow float64 `json:"worst_window"`
	WorstType   float64 `json:"worst_type"`
	Tail        float64 `json:"tail,omitempty"`
	TailMiss    float64 `json:"tail_miss,omitempty"`
}

// Prices are taken off the service, each times its rate.
type Prices struct {
	CrossZone  float64 `json:"cross_zone,omitempty"`
	Waste      float64 `json:"waste,omitempty"`
	Connection float64 `json:"connection,omitempty"`
	Handshake  float64 `json:"handshake,omitempty"`
	LateFail   float64 `json:"late_fail,omitempty"`
	Orders     float64 `json:"orders,omitempty"`
}

// Day is a day for the laboratory.
type Day struct {
	Kind     string    `json:"kind"`
	Name     string    `json:"name"`
	Length   Duration  `json:"length"`
	Seed     uint64    `json:"seed"`
	Service  Service   `json:"service"`
	Limits   Limits    `json:"limits"`
	Channel  Channel   `json:"channel"`
	Fleet    Fleet     `json:"fleet"`
	List     List      `json:"list"`
	Net      Net       `json:"net"`
	Load     Load      `json:"load"`
	Clients  Clients   `json:"clients"`
	Troubles []Trouble `json:"troubles,omitempty"`
	Goal     Goal      `json:"goal"`
	Prices   Prices    `json:"prices,omitzero"`
}

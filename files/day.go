package files

// Fleet configures the pilots, proxies and nodes of a day, by number or one by one.
type Fleet struct {
	Pilots   int       `json:"pilots"`
	Proxies  int       `json:"proxies"`
	Nodes    int       `json:"nodes"`
	Spare    int       `json:"spare,omitempty"` // additional nodes that the "grow" trouble can start
	PackSize int       `json:"pack_size,omitempty"`
	Machines []Machine `json:"machines"`
	Exactly  []NodeAt  `json:"exactly,omitempty"` // the nodes one by one, spare nodes last, instead of random ones

	ProxyList []ProxyAt `json:"proxy_list,omitempty"` // the proxies one by one, instead of random shares in alternating zones
	PilotList []string  `json:"pilot_list,omitempty"` // the zone of each pilot, instead of alternating zones
}

// ProxyAt is one proxy of a day: its zone, and its weight in the traffic of that zone.
type ProxyAt struct {
	Zone  string  `json:"zone"`
	Share float64 `json:"share"`
}

// Point is one point of the load curve: a time of the day, and the load as a multiple of its mean.
type Point struct {
	At    Duration `json:"at"`
	Times float64  `json:"times"`
}

// List configures the delays of the simulated list service.
type List struct {
	Notice       Duration `json:"notice"`        // delay until it notices that a process has ended
	SilentNotice Duration `json:"silent_notice"` // delay until it notices that a machine no longer responds
	Add          Duration `json:"add"`           // delay until it lists a start or a drain
}

// Net configures the one-way network delays: within a zone, between zones, and additional ones.
type Net struct {
	Same  Duration `json:"same"`
	Cross Duration `json:"cross"`
	Push  Duration `json:"push"`  // mean additional delay of messages from pilots to proxies
	Hears Duration `json:"hears"` // mean additional delay of messages from proxies to pilots
}

// Load configures the ops that the clients send.
type Load struct {
	OfCapacity float64    `json:"of_capacity,omitempty"` // mean load as a share of the capacity of the nodes; or use PerSecond
	PerSecond  float64    `json:"ops_per_second,omitempty"`
	Swing      float64    `json:"swing,omitempty"`  // amplitude of the load's sine curve over the day, as a share of the mean
	Spread     float64    `json:"spread,omitempty"` // coefficient of variation of the lognormal shares of the proxies
	ZoneShare  []float64  `json:"zone_share,omitempty"`
	Shape      []Point    `json:"shape,omitempty"` // load curve that replaces the sine of Swing
	Works      []Work     `json:"works"`
	Tenants    TenantLoad `json:"tenants,omitzero"`
}

// TenantLoad configures the tenants of a day: there are Count of them, and the share of the n-th in the load is
// 1/n^Zipf of the first one's. One tenant can misbehave for a while.
type TenantLoad struct {
	Count  int     `json:"count,omitempty"`
	Zipf   float64 `json:"zipf,omitempty"`
	Subset int     `json:"subset,omitempty"` // pods that proxies give each tenant; 0: all
	Limits bool    `json:"limits,omitempty"` // the pilot limits tenants that harm others

	Bad       int      `json:"bad,omitempty"` // number of the tenant that misbehaves, from 1; 0: none
	BadAt     Duration `json:"bad_at,omitempty"`
	BadLength Duration `json:"bad_length,omitempty"`
	BadRate   float64  `json:"bad_rate,omitempty"`  // additional load of that tenant, in ops per second
	BadTimes  float64  `json:"bad_times,omitempty"` // factor on the work of each of its ops
	BadHow    string   `json:"bad_how,omitempty"`   // kind of other misbehaviour

	Known bool `json:"known,omitempty"` // whether proxies have the list of all existing tenants
	Moves bool `json:"moves,omitempty"` // whether pilots can move tenants, which a trouble requests
}

// Work configures the work that ops of one type cost a node, and their share of the load.
type Work struct {
	OpType string   `json:"op_type"`
	Share  float64  `json:"share"`
	Mean   Duration `json:"mean"`
	CV     float64  `json:"cv,omitempty"` // coefficient of variation of the lognormal distribution; 0: exponential distribution
}

// Clients configures the retries of the clients.
type Clients struct {
	Retries  int      `json:"retries"`
	TryShare float64  `json:"try_share"` // a try times out after this share of the op timeout
	Backoff  Duration `json:"backoff,omitempty"`
	Honour   float64  `json:"honour,omitempty"` // share of clients that respect Retry-After

	Elsewhere float64 `json:"elsewhere,omitempty"` // share of retries that go to a randomly chosen proxy
}

// Trouble is one fault or disturbance of a day, with its start and length.
type Trouble struct {
	Kind   string   `json:"kind"`
	At     Duration `json:"at"`
	Length Duration `json:"length"`
	Part   float64  `json:"part,omitempty"`
	Size   float64  `json:"size,omitempty"`
	Extra  float64  `json:"extra,omitempty"`
	How    string   `json:"how,omitempty"` // variant of the kind
	Zone   string   `json:"zone,omitempty"`
	On     []uint32 `json:"on,omitempty"` // numbers of the affected endpoints, proxies or pilots; empty: random ones
}

// Goal holds the weights with which the parts of the service score are combined. TailMiss is the share of missed ops in a
// window up to which the part Tail counts the window's revenue in full; at five times that share it counts none.
type Goal struct {
	Whole       float64 `json:"whole"`
	WorstWindow float64 `json:"worst_window"`
	WorstType   float64 `json:"worst_type"`
	Tail        float64 `json:"tail,omitempty"`
	TailMiss    float64 `json:"tail_miss,omitempty"`
}

// Prices are the costs subtracted from the service score. Each is multiplied by a ratio, such as cross-zone tries per op for
// CrossZone, or handshakes per op for Handshake.
type Prices struct {
	CrossZone  float64 `json:"cross_zone,omitempty"`
	Waste      float64 `json:"waste,omitempty"`
	Connection float64 `json:"connection,omitempty"`
	Handshake  float64 `json:"handshake,omitempty"`
	LateFail   float64 `json:"late_fail,omitempty"`
	Orders     float64 `json:"orders,omitempty"`
}

// Day is a scenario for the lab: service, fleet, load and troubles over a time.
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

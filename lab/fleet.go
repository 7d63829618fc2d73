package lab

import (
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"vetchdoor/control"
	"vetchdoor/files"
	"vetchdoor/lab/link"
	"vetchdoor/lab/loopback"
	"vetchdoor/lab/node"
	labroster "vetchdoor/lab/roster"
	"vetchdoor/pilot"
	"vetchdoor/proxy"
	"vetchdoor/roster"
	"vetchdoor/runtime"
)

// fleet is the set of parts of a simulated day: pilots and proxies in this process, with simulated nodes, list service and
// links, all on loopback sockets.
type fleet struct {
	host           string // loopback address of this fleet alone, so that a part that restarts finds its port free
	day            *files.Day
	configured     files.Service // service settings that pilots and proxies run with; tests make them differ from the day's
	log            *slog.Logger
	rng            *rand.Rand // for draws while the day is set up
	tap            *link.Tap
	ledger         *node.Ledger
	list           *labroster.Server
	nodes          []*node.Node
	spare          []*node.Node // nodes that are started by the trouble "grow"
	pilots         []*pilotInstance
	proxies        []*proxyInstance
	dir            string       // temporary folder for caches and stores
	records        *slog.Logger // receives the pilots' decision records; may be nil
	createdAt      time.Time
	mu             sync.Mutex     // guards the instances that troubles stop and start
	hotCallers     []trafficShift // periods in which a few proxies carry more of the traffic
	zoneShifts     []trafficShift // permanent shifts of traffic to the proxies of a zone
	growth         []trafficShift // increases of traffic with the fleet's growth; fraction is the relative increase
	trafficShares  []float64      // share of the traffic of each proxy
	timers         sync.WaitGroup
	stop           chan struct{}
	movesRequested atomic.Int64                     // tenant moves requested of pilots
	movesRefused   atomic.Int64                     // tenant moves that a pilot refused
	handshakes     int                              // connections opened by proxies that have stopped
	wrapProxy      func(*files.Proxy, *proxy.Proxy) // hook for tests that make proxies faulty; may be nil
}

// trafficShift is a fraction of the traffic that moves to some proxies for a period, or permanently. The fraction grows
// linearly over ramp from the start; unless the shift is permanent, it shrinks linearly over ramp before the end.
type trafficShift struct {
	from, to  time.Duration
	ramp      time.Duration
	fraction  float64
	proxies   []int
	permanent bool
}

// pilotInstance is one pilot with the links to it.
type pilotInstance struct {
	file  *files.Pilot
	pilot *pilot.Pilot // nil while stopped
	list  *link.Link
	links []*link.Link // indexed by proxy
	zone  int
}

// proxyInstance is one proxy.
type proxyInstance struct {
	file    *files.Proxy
	proxy   *proxy.Proxy // nil while stopped
	zone    int
	address string
	seeds   uint64 // seed of the current run, increased at each start
}

// newFleet builds and starts all parts but the clients. On an error it stops the parts that already run.
func newFleet(day *files.Day, options *Options) (f *fleet, err error) {
	f = &fleet{day: day, log: options.Log, rng: rand.New(rand.NewPCG(day.Seed, 2)), ledger: node.NewLedger(),
		createdAt: time.Now(), host: loopback.Host(), stop: make(chan struct{}), wrapProxy: options.wrapProxy,
		configured: day.Service, records: options.Records}
	if f.configured.OpTypes = slices.Clone(day.Service.OpTypes); options.configure != nil {
		options.configure(&f.configured)
	}
	f.tap = link.NewTap(f.ledger.StartTime())
	defer func() {
		if err != nil {
			f.close()
		}
	}()
	if f.dir, err = os.MkdirTemp("", "vetchdoor-day-"); err != nil {
		return f, err
	}
	if err = f.startNodes(); err != nil {
		return f, err
	}
	f.configured.WritePacks = packsByZone(f.nodes) // packs of nodes that are added later have to be configured by the operator
	var entries []roster.Entry
	for _, n := range f.nodes {
		e, err := f.listEntry(n, "ready")
		if err != nil {
			return f, err
		}
		entries = append(entries, e)
	}
	if f.list, err = labroster.Start(net.JoinHostPort(f.host, "0"), entries); err != nil {
		return f, err
	}
	if err = f.startPilots(); err != nil {
		return f, err
	}
	return f, f.startProxies()
}

// startNodes creates the nodes and starts those that run from the beginning; the others stay in spare.
func (f *fleet) startNodes() error {
	d := f.day
	at := d.Fleet.Exactly
	if len(at) == 0 {
		at = f.drawNodes(d.Fleet.Nodes + d.Fleet.Spare)
	}
	machines := map[string]files.Machine{}
	for _, m := range d.Fleet.Machines {
		machines[m.Name] = m
	}
	spare := len(at) - d.Fleet.Spare
	for i, a := range at {
		n := node.New(a, machines[a.Machine], &d.Service, d.Limits, d.Seed, f.ledger)
		n.Killed = func() { f.restartPoisoned(n) }
		if i >= spare {
			f.spare = append(f.spare, n)
			continue
		}
		if err := n.Start(false); err != nil {
			return err
		}
		f.nodes = append(f.nodes, n)
	}
	return nil
}

// drawNodes distributes count nodes over the zones and draws a machine type for each.
func (f *fleet) drawNodes(count int) []files.NodeAt {
	d := f.day
	size := max(1, d.Fleet.PackSize)
	total := 0.0
	for _, m := range d.Fleet.Machines {
		total += max(m.Share, 1e-9)
	}
	used := map[uint32]bool{}
	var out []files.NodeAt
	for i := range count {
		zone := i % len(d.Service.Zones)
		a := files.NodeAt{Listen: net.JoinHostPort(f.host, "0"), Zone: d.Service.Zones[zone], Pack: i / len(d.Service.Zones) / size}
		for a.Endpoint = f.rng.Uint32(); used[a.Endpoint]; a.Endpoint = f.rng.Uint32() {
		}
		used[a.Endpoint] = true
		draw := f.rng.Float64() * total
		for _, m := range d.Fleet.Machines {
			if a.Machine = m.Name; draw < max(m.Share, 1e-9) {
				a.Weight = float64(m.Cores)
				break
			}
			draw -= max(m.Share, 1e-9)
		}
		out = append(out, a)
	}
	return out
}

// listEntry returns the entry with which the list service shows a node.
func (f *fleet) listEntry(n *node.Node, mode string) (roster.Entry, error) {
	a := n.Config()
	address, err := netip.ParseAddrPort(n.Address())
	if err != nil {
		return roster.Entry{}, err
	}
	e := roster.Entry{Endpoint: n.Endpoint(), Address: address, Zone: a.Zone, Pack: a.Pack, Weight: max(a.Weight, 1e-3),
		Mode: mode}
	if a.Weight == 0 {
		e.Weight = 1
	}
	if s := n.Started(); !s.IsZero() {
		e.Started = s.UnixMilli()
	}
	return e, nil
}

// delay returns the delay function of one direction of a link between zones a and b. extra is the mean of an additional
// random delay.
func (f *fleet) delay(a, b int, extra files.Duration, seed uint64) link.Delay {
	base := f.day.Net.Same.AsDuration()
	if a != b {
		base = f.day.Net.Cross.AsDuration()
	}
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(f.day.Seed, seed))
	return func() time.Duration {
		mu.Lock()
		defer mu.Unlock()
		// The additional delay is capped at two and a half times its mean, the maximum delay that the day's settings state.
		late := min(rng.ExpFloat64(), 2.5) * float64(extra)
		return time.Duration(float64(base)*(0.8+0.4*rng.Float64()) + late)
	}
}

// firstPilotPort is the port of a fleet's first pilot. Ports are fixed because pilots are configured with each other's
// addresses before any of them runs; they are free because the loopback address belongs to this fleet.
const firstPilotPort = 7000

// pilotAddresses returns the addresses on which the fleet's pilots listen.
func (f *fleet) pilotAddresses() (out []string) {
	for i := range f.day.Fleet.Pilots {
		out = append(out, net.JoinHostPort(f.host, strconv.Itoa(firstPilotPort+i)))
	}
	return out
}

// startPilots starts the pilots, each with a link of its own to the list service.
func (f *fleet) startPilots() error {
	d := f.day
	listen := f.pilotAddresses()
	for i := range d.Fleet.Pilots {
		zone := i % len(d.Service.Zones)
		if len(d.Fleet.PilotList) > 0 {
			zone = d.Service.ZoneIndex(d.Fleet.PilotList[i])
		}
		instance := &pilotInstance{zone: zone}
		var err error
		instance.list, err = link.Open(fmt.Sprintf("list %d", i), f.list.Address(), f.tap,
			f.delay(zone, zone, 0, uint64(100+i)), f.delay(zone, zone, 0, uint64(200+i)))
		if err != nil {
			return err
		}
		f.pilots = append(f.pilots, instance)
		instance.file = &files.Pilot{Kind: "pilot", Name: fmt.Sprintf("pilot-%d", i), Zone: d.Service.Zones[zone], Instance: i,
			Instances: d.Fleet.Pilots, Proxies: d.Fleet.Proxies, Listen: listen[i], Roster: instance.list.Address(),
			Cache: filepath.Join(f.dir, fmt.Sprintf("list-%d.json", i)), Seed: d.Seed*100 + uint64(i) + 1,
			LeaveWithin: files.Duration(time.Second), Service: f.configured, Limits: d.Limits, Channel: d.Channel,
			SilenceTimeout: files.Duration(3 * time.Second), Tenants: d.Load.Tenants.Limits}
		for j, other := range listen {
			if i != j {
				instance.file.Peers = append(instance.file.Peers, files.Peer{Instance: j, Address: other})
			}
		}
		if d.Load.Tenants.Moves {
			instance.file.Moves = &files.Moves{Store: filepath.Join(f.dir, fmt.Sprintf("tenants-%d.db", i)), MaxConcurrent: 512,
				MaxHold: files.Duration(time.Minute)}
			instance.file.Admin = "127.0.0.1:0"
		}
		if instance.pilot, err = pilot.New(instance.file, f.log); err != nil {
			return err
		}
		instance.pilot.Records = f.records
		if err := instance.pilot.Start(); err != nil {
			return err
		}
		instance.file.Listen = instance.pilot.Address() // a restarted pilot listens on the same address
	}
	return nil
}

// startProxies draws the traffic shares and starts the proxies, each with a link of its own to every pilot.
func (f *fleet) startProxies() error {
	d := f.day
	f.drawShares()
	perSecond := f.opRate()
	for i := range d.Fleet.Proxies {
		zone := f.proxyZone(i)
		instance := &proxyInstance{zone: zone, seeds: d.Seed}
		f.proxies = append(f.proxies, instance)
		instance.file = &files.Proxy{Kind: "proxy", ID: uint16(i), Zone: d.Service.Zones[zone], Listen: net.JoinHostPort(f.host, "0"),
			Rate: f.trafficShares[i] * perSecond, Service: f.configured, Redial: files.Duration(400 * time.Millisecond),
			SilenceTimeout: files.Duration(4 * time.Second)}
		if c := &d.Load.Tenants; c.Count > 0 {
			instance.file.Tenants = &files.Tenants{Header: tenantHeader, Subset: c.Subset}
			for n := 1; c.Known && n <= c.Count; n++ {
				instance.file.Tenants.Known = append(instance.file.Tenants.Known, tenantName(n))
			}
			if c.Moves {
				instance.file.Tenants.Bindings = filepath.Join(f.dir, fmt.Sprintf("bindings-%d", i))
			}
		}
		for j, p := range f.pilots {
			l, err := link.Open(fmt.Sprintf("stream %d %d", i, j), p.pilot.Address(), f.tap,
				f.delay(zone, p.zone, d.Net.Hears, uint64(1000+i*100+j)), f.delay(zone, p.zone, d.Net.Push, uint64(500000+i*100+j)))
			if err != nil {
				return err
			}
			p.links = append(p.links, l)
			instance.file.Pilots = append(instance.file.Pilots, files.PilotAddress{Address: l.Address(), Zone: p.file.Zone})
		}
		if err := f.startProxy(instance); err != nil {
			return err
		}
		instance.file.Listen = instance.proxy.Address()
		instance.address = instance.proxy.Address()
	}
	return nil
}

// proxyZone returns the index of the zone of proxy i.
func (f *fleet) proxyZone(i int) int {
	if l := f.day.Fleet.ProxyList; len(l) > 0 {
		return f.day.Service.ZoneIndex(l[i].Zone)
	}
	return i % len(f.day.Service.Zones)
}

// startProxy starts a proxy whose standing table holds the endpoints that are ready in the list now.
func (f *fleet) startProxy(instance *proxyInstance) error {
	file := *instance.file
	for _, e := range f.list.Entries() {
		if e.Mode == "ready" {
			file.Servers = append(file.Servers, files.StandingServer{Endpoint: uint32(e.Endpoint),
				Address: e.Address.String(), Zone: e.Zone, Pack: e.Pack, Weight: e.Weight})
		}
	}
	instance.seeds++
	file.Seed = instance.seeds*1000 + uint64(file.ID) + 1
	p, err := proxy.New(&file, f.log)
	if err != nil {
		return err
	}
	p.ApplyDelay = func(m *runtime.Message) time.Duration { return time.Duration(m.Lines) * 40 * time.Microsecond }
	if f.wrapProxy != nil {
		f.wrapProxy(&file, p)
	}
	if err := p.Start(); err != nil {
		return err
	}
	f.mu.Lock()
	instance.proxy = p
	f.mu.Unlock()
	return nil
}

// drawShares sets the share of the traffic that each proxy carries: within the share of its zone by the day's proxy list,
// or else by a log-normal distribution with the day's spread.
func (f *fleet) drawShares() {
	d := f.day
	v := math.Log(1 + d.Load.Spread*d.Load.Spread)
	zones := make([]float64, len(d.Service.Zones))
	for i := range d.Fleet.Proxies {
		x := math.Exp(math.Sqrt(v) * f.rng.NormFloat64())
		if len(d.Fleet.ProxyList) > 0 {
			x = max(d.Fleet.ProxyList[i].Share, 1e-9)
		}
		f.trafficShares = append(f.trafficShares, x)
		zones[f.proxyZone(i)] += x
	}
	total := 0.0
	for i := range f.trafficShares {
		z := f.proxyZone(i)
		part := 1 / float64(len(zones))
		if len(d.Load.ZoneShare) > 0 {
			part = d.Load.ZoneShare[z]
		}
		f.trafficShares[i] *= part / zones[z]
		total += f.trafficShares[i]
	}
	for i := range f.trafficShares {
		f.trafficShares[i] /= total
	}
}

// opRate returns the mean rate of ops per second.
func (f *fleet) opRate() float64 {
	if f.day.Load.PerSecond > 0 {
		return f.day.Load.PerSecond
	}
	power := 0.0
	for _, n := range f.nodes {
		power += n.Capacity()
	}
	return f.day.Load.OfCapacity * power / meanWork(&f.day.Load).Seconds()
}

// sharesAt returns the share of the traffic of each proxy at a time since the start of the day.
func (f *fleet) sharesAt(at time.Duration) []float64 {
	out := append([]float64(nil), f.trafficShares...)
	for _, h := range append(append([]trafficShift(nil), f.hotCallers...), f.zoneShifts...) {
		if at < h.from || at > h.to && !h.permanent || len(h.proxies) == 0 {
			continue
		}
		size := h.fraction
		if h.ramp > 0 {
			size *= min(1, float64(at-h.from)/float64(h.ramp))
			if !h.permanent {
				size = min(size, h.fraction*float64(h.to-at)/float64(h.ramp))
			}
		}
		for i := range out {
			out[i] *= 1 - size
		}
		total := 0.0
		for _, i := range h.proxies {
			total += f.trafficShares[i]
		}
		for _, i := range h.proxies {
			out[i] += size * f.trafficShares[i] / max(total, 1e-9)
		}
	}
	return out
}

// announce makes the list service show a node in the given mode after a delay. A change other than draining is dropped if
// the node has restarted in the meantime: the list service never detected that the node was down.
func (f *fleet) announce(after time.Duration, n *node.Node, mode string) {
	startedBefore := n.Started()
	f.schedule(after, func() {
		if mode != "draining" && startedBefore != n.Started() {
			return
		}
		if e, err := f.listEntry(n, mode); err == nil {
			f.list.Set(e)
		}
	})
}

// schedule runs action after a delay, unless the day has ended by then.
func (f *fleet) schedule(after time.Duration, action func()) {
	f.timers.Add(1)
	go func() {
		defer f.timers.Done()
		t := time.NewTimer(after)
		defer t.Stop()
		select {
		case <-t.C:
			action()
		case <-f.stop:
		}
	}()
}

// close stops all parts: the proxies first, then the pilots, the links and the list service, and the nodes last. It
// waits for the functions that schedule has started.
func (f *fleet) close() {
	close(f.stop)
	f.timers.Wait()
	var all sync.WaitGroup
	for _, instance := range f.proxies {
		if instance.proxy != nil {
			f.handshakes += int(instance.proxy.ConnectionsOpened())
			all.Go(instance.proxy.Kill)
		}
	}
	all.Wait()
	for _, instance := range f.pilots {
		if instance.pilot != nil {
			instance.pilot.Stop()
		}
	}
	for _, instance := range f.pilots {
		for _, l := range instance.links {
			all.Go(l.Close)
		}
		if instance.list != nil {
			all.Go(instance.list.Close)
		}
	}
	if f.list != nil {
		f.list.Close()
	}
	for _, n := range slices.Concat(f.nodes, f.spare) {
		all.Go(n.Stop)
	}
	all.Wait()
	if f.dir != "" {
		os.RemoveAll(f.dir)
	}
}

// nodesByID returns all nodes, spare ones included, by endpoint.
func (f *fleet) nodesByID() map[control.EndpointID]*node.Node {
	out := map[control.EndpointID]*node.Node{}
	for _, n := range slices.Concat(f.nodes, f.spare) {
		out[n.Endpoint()] = n
	}
	return out
}

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
	stand "vetchdoor/lab/roster"
	"vetchdoor/pilot"
	"vetchdoor/proxy"
	"vetchdoor/roster"
	"vetchdoor/runtime"
)

// fleet is all the parts of a day, running in this process over loopback sockets.
type fleet struct {
	host       string // a loopback address of its own, so that who starts anew finds its port free
	day        *files.Day
	believed   files.Service // what pilots and proxies take the day's to be
	log        *slog.Logger
	rng        *rand.Rand // of the day's draws
	tap        *link.Tap
	ledger     *node.Ledger
	list       *stand.Server
	nodes      []*node.Node
	spare      []*node.Node
	pilots     []*pilotAt
	proxies    []*proxyAt
	dir        string
	records    *slog.Logger
	born       time.Time
	mu         sync.Mutex // guards what troubles change
	hot        []hotSpell
	shifts     []hotSpell
	grown      []hotSpell // traffic that follows the fleet's growth: size is its part
	shares     []float64  // of the traffic, by proxy
	timers     sync.WaitGroup
	stop       chan struct{}
	asked      atomic.Int64                     // moves of tenants
	unasked    atomic.Int64                     // of those, not taken
	handshakes int                              // of proxies that have ended
	wrap       func(*files.Proxy, *proxy.Proxy) // tests make proxies faulty
}

// hotSpell is a share of the traffic that goes to some proxies for a while.
type hotSpell struct {
	from, to time.Duration
	ramp     time.Duration
	size     float64
	proxies  []int
	forGood  bool
}

// pilotAt is one pilot and the ways to it.
type pilotAt struct {
	file  *files.Pilot
	p     *pilot.Pilot // nil while dead
	list  *link.Link
	links []*link.Link // by proxy
	zone  int
}

// proxyAt is one proxy.
type proxyAt struct {
	file    *files.Proxy
	p       *proxy.Proxy // nil while dead
	zone    int
	address string
	seeds   uint64
}

// newFleet builds and starts everything but the clients.
func newFleet(day *files.Day, o *Options) (f *fleet, err error) {
	f = &fleet{day: day, log: o.Log, rng: rand.New(rand.NewPCG(day.Seed, 2)), ledger: node.NewLedger(), born: time.Now(), host: loopback.Host(),
		stop: make(chan struct{}), wrap: o.faulty, believed: day.Service, records: o.Records}
	if f.believed.OpTypes = slices.Clone(day.Service.OpTypes); o.believe != nil {
		o.believe(&f.believed)
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
	f.believed.WritePacks = packsOf(f.nodes) // those that join later are for whoever runs the fleet to name
	var entries []roster.Entry
	for _, n := range f.nodes {
		e, err := f.entry(n, "ready")
		if err != nil {
			return f, err
		}
		entries = append(entries, e)
	}
	if f.list, err = stand.Start(net.JoinHostPort(f.host, "0"), entries); err != nil {
		return f, err
	}
	if err = f.startPilots(); err != nil {
		return f, err
	}
	return f, f.startProxies()
}

// startNodes draws the nodes and starts those that run from the beginning.
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
		n.Killed = func() { f.poisoned(n) }
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

// drawNodes spreads nodes over zones and machines.
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
		x := f.rng.Float64() * total
		for _, m := range d.Fleet.Machines {
			if a.Machine = m.Name; x < max(m.Share, 1e-9) {
				a.Weight = float64(m.Cores)
				break
			}
			x -= max(m.Share, 1e-9)
		}
		out = append(out, a)
	}
	return out
}

// entry is how the list shows a node.
func (f *fleet) entry(n *node.Node, mode string) (roster.Entry, error) {
	a := n.Config()
	at, err := netip.ParseAddrPort(n.Address())
	if err != nil {
		return roster.Entry{}, err
	}
	e := roster.Entry{Endpoint: n.Endpoint(), Address: at, Zone: a.Zone, Pack: a.Pack, Weight: max(a.Weight, 1e-3), Mode: mode}
	if a.Weight == 0 {
		e.Weight = 1
	}
	if s := n.Started(); !s.IsZero() {
		e.Started = s.UnixMilli()
	}
	return e, nil
}

// way is how long a piece takes between two zones.
func (f *fleet) way(a, b int, extra files.Duration, seed uint64) link.Delay {
	base := f.day.Net.Same.AsDuration()
	if a != b {
		base = f.day.Net.Cross.AsDuration()
	}
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(f.day.Seed, seed))
	return func() time.Duration {
		mu.Lock()
		defer mu.Unlock()
		// Lateness is drawn up to two and a half times its mean, which the start facts state as the longest way.
		late := min(rng.ExpFloat64(), 2.5) * float64(extra)
		return time.Duration(float64(base)*(0.8+0.4*rng.Float64()) + late)
	}
}

// firstPilotPort is the port of a fleet's first pilot. Pilots must know each other before any of them runs, and the host is the
// fleet's own.
const firstPilotPort = 7000

// pilotAddresses are where the fleet's pilots listen.
func (f *fleet) pilotAddresses() (out []string) {
	for i := range f.day.Fleet.Pilots {
		out = append(out, net.JoinHostPort(f.host, strconv.Itoa(firstPilotPort+i)))
	}
	return out
}

func (f *fleet) startPilots() error {
	d := f.day
	listen := f.pilotAddresses()
	for i := range d.Fleet.Pilots {
		zone := i % len(d.Service.Zones)
		if len(d.Fleet.PilotList) > 0 {
			zone = d.Service.ZoneIndex(d.Fleet.PilotList[i])
		}
		at := &pilotAt{zone: zone}
		var err error
		at.list, err = link.Open(fmt.Sprintf("list %d", i), f.list.Address(), f.tap,
			f.way(zone, zone, 0, uint64(100+i)), f.way(zone, zone, 0, uint64(200+i)))
		if err != nil {
			return err
		}
		f.pilots = append(f.pilots, at)
		at.file = &files.Pilot{Kind: "pilot", Name: fmt.Sprintf("pilot-%d", i), Zone: d.Service.Zones[zone], Instance: i,
			Instances: d.Fleet.Pilots, Proxies: d.Fleet.Proxies, Listen: listen[i], Roster: at.list.Address(),
			Cache: filepath.Join(f.dir, fmt.Sprintf("list-%d.json", i)), Seed: d.Seed*100 + uint64(i) + 1,
			LeaveWithin: files.Duration(time.Second), Service: f.believed, Limits: d.Limits, Channel: d.Channel, SilenceTimeout: files.Duration(3 * time.Second),
			Tenants: d.Load.Tenants.Limits}
		for j, other := range listen {
			if i != j {
				at.file.Peers = append(at.file.Peers, files.Peer{Instance: j, Address: other})
			}
		}
		if d.Load.Tenants.Moves {
			at.file.Moves = &files.Moves{Store: filepath.Join(f.dir, fmt.Sprintf("tenants-%d.db", i)), Abreast: 512, Most: files.Duration(time.Minute)}
			at.file.Admin = "127.0.0.1:0"
		}
		if at.p, err = pilot.New(at.file, f.log); err != nil {
			return err
		}
		at.p.Records = f.records
		if err := at.p.Start(); err != nil {
			return err
		}
		at.file.Listen = at.p.Address() // a pilot that comes back does so at its address
	}
	return nil
}

func (f *fleet) startProxies() error {
	d := f.day
	f.drawShares()
	perSecond := f.perSecond()
	for i := range d.Fleet.Proxies {
		zone := f.proxyZone(i)
		at := &proxyAt{zone: zone, seeds: d.Seed}
		f.proxies = append(f.proxies, at)
		at.file = &files.Proxy{Kind: "proxy", ID: uint16(i), Zone: d.Service.Zones[zone], Listen: net.JoinHostPort(f.host, "0"),
			Rate: f.shares[i] * perSecond, Service: f.believed, Redial: files.Duration(400 * time.Millisecond),
			SilenceTimeout: files.Duration(4 * time.Second)}
		if c := &d.Load.Tenants; c.Count > 0 {
			at.file.Tenants = &files.Tenants{Header: tenantField, Subset: c.Subset}
			for n := 1; c.Known && n <= c.Count; n++ {
				at.file.Tenants.Known = append(at.file.Tenants.Known, newsroom(n))
			}
			if c.Moves {
				at.file.Tenants.Bindings = filepath.Join(f.dir, fmt.Sprintf("bindings-%d", i))
			}
		}
		for j, p := range f.pilots {
			l, err := link.Open(fmt.Sprintf("stream %d %d", i, j), p.p.Address(), f.tap,
				f.way(zone, p.zone, d.Net.Hears, uint64(1000+i*100+j)), f.way(zone, p.zone, d.Net.Push, uint64(500000+i*100+j)))
			if err != nil {
				return err
			}
			p.links = append(p.links, l)
			at.file.Pilots = append(at.file.Pilots, files.PilotAddress{Address: l.Address(), Zone: p.file.Zone})
		}
		if err := f.startProxy(at); err != nil {
			return err
		}
		at.file.Listen = at.p.Address()
		at.address = at.p.Address()
	}
	return nil
}

// proxyZone is where a proxy stands.
func (f *fleet) proxyZone(i int) int {
	if l := f.day.Fleet.ProxyList; len(l) > 0 {
		return f.day.Service.ZoneIndex(l[i].Zone)
	}
	return i % len(f.day.Service.Zones)
}

// startProxy starts a proxy with the list as it stands now.
func (f *fleet) startProxy(at *proxyAt) error {
	file := *at.file
	for _, e := range f.list.Entries() {
		if e.Mode == "ready" {
			file.Servers = append(file.Servers, files.StandingServer{Endpoint: uint32(e.Endpoint),
				Address: e.Address.String(), Zone: e.Zone, Pack: e.Pack, Weight: e.Weight})
		}
	}
	at.seeds++
	file.Seed = at.seeds*1000 + uint64(file.ID) + 1
	p, err := proxy.New(&file, f.log)
	if err != nil {
		return err
	}
	p.ApplyFor = func(m *runtime.Message) time.Duration { return time.Duration(m.Lines) * 40 * time.Microsecond }
	if f.wrap != nil {
		f.wrap(&file, p)
	}
	if err := p.Start(); err != nil {
		return err
	}
	f.mu.Lock()
	at.p = p
	f.mu.Unlock()
	return nil
}

// drawShares draws each proxy's share of the traffic: few carry much, by the day's spread.
func (f *fleet) drawShares() {
	d := f.day
	v := math.Log(1 + d.Load.Spread*d.Load.Spread)
	zones := make([]float64, len(d.Service.Zones))
	for i := range d.Fleet.Proxies {
		x := math.Exp(math.Sqrt(v) * f.rng.NormFloat64())
		if len(d.Fleet.ProxyList) > 0 {
			x = max(d.Fleet.ProxyList[i].Share, 1e-9)
		}
		f.shares = append(f.shares, x)
		zones[f.proxyZone(i)] += x
	}
	total := 0.0
	for i := range f.shares {
		z := f.proxyZone(i)
		part := 1 / float64(len(zones))
		if len(d.Load.ZoneShare) > 0 {
			part = d.Load.ZoneShare[z]
		}
		f.shares[i] *= part / zones[z]
		total += f.shares[i]
	}
	for i := range f.shares {
		f.shares[i] /= total
	}
}

// perSecond is the mean rate of ops.
func (f *fleet) perSecond() float64 {
	if f.day.Load.PerSecond > 0 {
		return f.day.Load.PerSecond
	}
	power := 0.0
	for _, n := range f.nodes {
		power += n.Capacity()
	}
	return f.day.Load.OfCapacity * power / meanWork(&f.day.Load).Seconds()
}

// shareAt is each proxy's share of the traffic at a time.
func (f *fleet) shareAt(at time.Duration) []float64 {
	out := append([]float64(nil), f.shares...)
	for _, h := range append(append([]hotSpell(nil), f.hot...), f.shifts...) {
		if at < h.from || at > h.to && !h.forGood || len(h.proxies) == 0 {
			continue
		}
		size := h.size
		if h.ramp > 0 {
			size *= min(1, float64(at-h.from)/float64(h.ramp))
			if !h.forGood {
				size = min(size, h.size*float64(h.to-at)/float64(h.ramp))
			}
		}
		for i := range out {
			out[i] *= 1 - size
		}
		total := 0.0
		for _, i := range h.proxies {
			total += f.shares[i]
		}
		for _, i := range h.proxies {
			out[i] += size * f.shares[i] / max(total, 1e-9)
		}
	}
	return out
}

// tell has the list show a node so, after a while, unless it is otherwise by then: a node that came back before its end
// was noticed was never seen to go.
func (f *fleet) tell(after time.Duration, n *node.Node, mode string) {
	since := n.Started()
	f.later(after, func() {
		if mode != "draining" && since != n.Started() {
			return
		}
		if e, err := f.entry(n, mode); err == nil {
			f.list.Set(e)
		}
	})
}

// later runs g after a while, unless the day has ended.
func (f *fleet) later(after time.Duration, g func()) {
	f.timers.Add(1)
	go func() {
		defer f.timers.Done()
		t := time.NewTimer(after)
		defer t.Stop()
		select {
		case <-t.C:
			g()
		case <-f.stop:
		}
	}()
}

// close ends everything. Proxies end in order, so that nothing that was acked is lost.
func (f *fleet) close() {
	close(f.stop)
	f.timers.Wait()
	var all sync.WaitGroup
	for _, at := range f.proxies {
		if at.p != nil {
			f.handshakes += int(at.p.Opened())
			all.Go(at.p.Kill)
		}
	}
	all.Wait()
	for _, at := range f.pilots {
		if at.p != nil {
			at.p.Stop()
		}
	}
	for _, at := range f.pilots {
		for _, l := range at.links {
			all.Go(l.Close)
		}
		if at.list != nil {
			all.Go(at.list.Close)
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

// Tallies of the fleet for the account.
func (f *fleet) nodeByID() map[control.EndpointID]*node.Node {
	out := map[control.EndpointID]*node.Node{}
	for _, n := range slices.Concat(f.nodes, f.spare) {
		out[n.Endpoint()] = n
	}
	return out
}

package lab

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"time"

	"vetchdoor/files"
)

// benchDay is the part of a day drawn by the bench that is read; times are in microseconds.
type benchDay struct {
	V       int      `json:"v"`
	Site    string   `json:"site"`
	Family  string   `json:"family"`
	Kind    string   `json:"kind"`
	Noise   uint64   `json:"noise"`
	Length  float64  `json:"length"`
	Zones   []string `json:"zones"`
	Net     struct{ Same, Cross float64 }
	Traffic struct {
		Load      float64
		Shape     [][2]float64
		ZoneShare []float64 `json:"zone_share"`
		BurstCV   float64   `json:"burst_cv"`
		Keys      int
		DriftS    float64 `json:"drift_s"`
	}
	Clients struct {
		Retries   int
		TryShare  float64 `json:"try_share"`
		BackoffUS float64 `json:"backoff_us"`
		Backoff   string
		Honour    float64
	}
	Discovery struct {
		Ask         bool
		Notice, Add float64
		Silent      float64 `json:"silent_notice"`
	}
	DrainGrace   float64 `json:"drain_grace"`
	FallMultiple float64 `json:"fall_multiple"`
	FallFor      float64 `json:"fall_for"`
	Goal         struct {
		Whole       float64
		WorstWindow float64 `json:"worst_window"`
		WorstClass  float64 `json:"worst_class"`
		Tail        float64
		TailMiss    float64 `json:"tail_miss"`
	}
	Prices struct {
		CrossZone                    float64 `json:"cross_zone"`
		Waste, Connection, Handshake float64
		LateFail                     float64 `json:"late_fail"`
	}
	Classes []struct {
		Name, Effect, Group                    string
		Share, Work, CV, Aim, Deadline, Window float64
		Worth                                  float64
		LateWorth                              float64 `json:"late_worth"`
		Write                                  bool
		IO                                     float64
	}
	Tiers []struct {
		Kinds []struct {
			Name         string
			Cores        int
			Slots, Queue int
			ColdFrom     float64 `json:"cold_from"`
			Cold         float64
			ErrorRate    float64 `json:"error_rate"`
			Cancel       string
			Thrash, Knee float64
		}
		ReportHow     string   `json:"report_how"`
		ReportFields  []string `json:"report_fields"`
		ReportPeriod  float64  `json:"report_period"`
		HandshakeWork float64  `json:"handshake_work"`
		ConnCap       float64  `json:"conn_cap_per_core"`
		FullTax       float64  `json:"conn_full_tax"`
		StatedFrom    float64  `json:"stated_cold_from"`
		StatedCold    float64  `json:"stated_cold"`
	}
	Servers []struct {
		Zone, Kind, Cell int
		Speed, Weight    float64
		Up               bool
	}
	Balancers []struct {
		Zone   int
		Weight float64
	}
	Troubles []struct {
		Kind, How   string
		At, Len     float64
		Size, Extra float64
		On          []int
		Which       int
		Steps       []struct {
			At          float64
			Stop, Start []int
		}
	}
	Fam struct {
		Admit         string
		Controllers   []int
		Slices        int     `json:"slices"`
		PerServer     float64 `json:"slices_per_server"`
		Rate          float64
		Head          float64
		Backlog       float64
		Bare          float64
		Ejects        int
		Eject         float64
		Standing      int
		UsualHow      int     `json:"usual_how"`
		TryAims       float64 `json:"try_aims"`
		Late          float64
		HeardLate     float64 `json:"heard_late"`
		Intake        float64
		Period        float64
		MessagesMost  int     `json:"messages_most"`
		MessagesOver  float64 `json:"messages_over"`
		OrderPrice    float64 `json:"order_price"`
		Exclusive     bool
		Redial        float64
		ClassOwnZones []bool `json:"class_own_zone"`
	}
}

var (
	benchRepeat  = map[string]string{"safe": "retryable", "keyed": "deduplicated", "unsafe": "once-only"}
	benchGroup   = map[string]string{"all": "all", "zone": "zone", "cell": "pack"}
	benchAgain   = []string{"never", "if-unrun", "once", "twice"}
	benchMeasure = map[string]string{"util": "cpu_utilization", "inflight": "inflight", "queue": "queue", "latency_ms": "latency_ms",
		"qps": "rps_fractional", "eps": "eps"}
)

func span(us float64) files.Duration { return files.Duration(us * float64(time.Microsecond)) }

// ImportBenchDay reads a day that the bench drew into one of ours, every shrink-th machine and proxy of it at the same
// load a machine. notes say what could not be carried over.
func ImportBenchDay(path string, data []byte, shrink int) (day *files.Day, notes []string, err error) {
	var b benchDay
	if err := files.Whole(path, data); err != nil {
		return nil, nil, err
	}
	if err := json.Unmarshal(data, &b); err != nil {
		return nil, nil, &files.Fault{File: path, Found: "a file that is no day of the bench (" + err.Error() + ")", Allowed: "what its draw prints"}
	}
	note := func(format string, args ...any) { notes = append(notes, fmt.Sprintf(format, args...)) }
	switch {
	case b.V != 1 || b.Family != "control" || len(b.Tiers) != 1 || len(b.Servers) == 0 || len(b.Classes) == 0 || len(b.Zones) == 0:
		return nil, nil, &files.Fault{File: path, Found: "no day of a control site with one tier", Allowed: "what the bench's draw prints for one"}
	case b.Fam.Slices > 0:
		return nil, nil, &files.Fault{File: path, Pointer: "/fam/slices", Found: fmt.Sprint(b.Fam.Slices), Allowed: "0: keys in slices have no counterpart here"}
	case shrink < 1:
		return nil, nil, fmt.Errorf("--shrink %d: allowed is 1 or more", shrink)
	}
	tier, fam := &b.Tiers[0], &b.Fam
	pilots := max(1, len(fam.Controllers))
	proxies := len(b.Balancers) - pilots
	if proxies < 1 {
		return nil, nil, &files.Fault{File: path, Pointer: "/balancers", Found: fmt.Sprint(len(b.Balancers)), Allowed: "proxies and, last, the controllers"}
	}
	d := &files.Day{Kind: "day", Name: fmt.Sprintf("%s-%s", b.Site, b.Kind), Length: span(b.Length), Seed: b.Noise % (1 << 50)}
	d.Service = files.Service{Zones: b.Zones, ReportEvery: span(fam.Period), TryShare: fam.TryAims, OutlierAfter: fam.Ejects,
		OutlierFor: span(fam.Eject), Bootstrap: max(1, fam.Standing), CrossZone: b.Prices.CrossZone}
	if fam.UsualHow >= 0 && fam.UsualHow < len(benchAgain) {
		d.Service.UsualAgain = benchAgain[fam.UsualHow]
	}
	if tier.ReportHow == "answers" {
		for _, m := range tier.ReportFields {
			if ours := benchMeasure[m]; ours != "" {
				d.Service.Measures = append(d.Service.Measures, ours)
			}
		}
	} else {
		note("load reports come by %s; here there are none in answers", tier.ReportHow)
	}
	for i, c := range b.Classes {
		t := files.OpType{Name: c.Name, Match: files.Match{Method: "POST", PathPrefix: "/" + c.Name}, TargetLatency: span(c.Aim),
			OpTimeout: span(c.Deadline), Revenue: c.Worth, LateShare: c.LateWorth, Repeat: benchRepeat[c.Effect], Writes: c.Write}
		if t.Repeat == "" {
			return nil, nil, &files.Fault{File: path, Pointer: fmt.Sprintf("/classes/%d/effect", i), Found: fmt.Sprintf("%q", c.Effect), Allowed: "safe, keyed or unsafe"}
		}
		if t.Repeat == "deduplicated" {
			t.Group, t.DedupWindow, t.Writes = benchGroup[c.Group], span(c.Window), true
		}
		t.OwnZoneOnly = i < len(fam.ClassOwnZones) && fam.ClassOwnZones[i]
		t.Writes = t.Writes || t.Repeat == "once-only"
		d.Service.OpTypes = append(d.Service.OpTypes, t)
		d.Load.Works = append(d.Load.Works, files.Work{OpType: c.Name, Share: c.Share, Mean: span(c.Work), CV: c.CV})
		if c.IO > 0 {
			note("op type %s also waits %.0f ms without a core", c.Name, c.IO/1000)
		}
	}
	d.Limits = files.Limits{EmptyFor: span(fam.Bare), DrainGrace: span(b.DrainGrace), ColdFor: span(tier.StatedCold),
		ColdShare: tier.StatedFrom, OverloadFactor: b.FallMultiple, FallAfter: span(b.FallFor)}
	d.Channel = files.Channel{LinesPerSecond: fam.Rate, MessageLines: int(fam.Head), MostWaiting: int(fam.Backlog), MessageCap: fam.MessagesMost,
		MessageCapOver: span(fam.MessagesOver), PushDelayMost: span(2.5 * fam.Late), ReportLinesPerSecond: fam.Intake}
	if d.Channel.MessageCap > 0 && d.Channel.MessageCapOver == 0 {
		d.Channel.MessageCapOver = files.Duration(10 * time.Second)
	}
	d.Net = files.Net{Same: span(b.Net.Same), Cross: span(b.Net.Cross), Push: span(fam.Late), Hears: span(fam.HeardLate)}
	d.List = files.List{Notice: span(b.Discovery.Notice), SilentNotice: span(b.Discovery.Silent), Add: span(b.Discovery.Add)}
	if b.Discovery.Ask {
		note("the list must be asked for there; here changes are pushed")
	}
	d.Clients = files.Clients{Retries: b.Clients.Retries, TryShare: b.Clients.TryShare, Honour: b.Clients.Honour}
	if b.Clients.Backoff != "none" {
		d.Clients.Backoff = span(b.Clients.BackoffUS)
	}
	d.Goal = files.Goal{Whole: b.Goal.Whole, WorstWindow: b.Goal.WorstWindow, WorstType: b.Goal.WorstClass, Tail: b.Goal.Tail, TailMiss: b.Goal.TailMiss}
	d.Prices = files.Prices{CrossZone: b.Prices.CrossZone, Waste: b.Prices.Waste, Connection: b.Prices.Connection,
		Handshake: b.Prices.Handshake, LateFail: b.Prices.LateFail, Orders: fam.OrderPrice}
	d.Load.OfCapacity, d.Load.ZoneShare = b.Traffic.Load, b.Traffic.ZoneShare
	for _, p := range b.Traffic.Shape {
		d.Load.Shape = append(d.Load.Shape, files.Point{At: files.Duration(p[0] * float64(time.Second)), Times: p[1]})
	}
	if b.Traffic.BurstCV > 0 || b.Traffic.Keys > 0 || b.Traffic.DriftS > 0 {
		note("bursts, keys and the drift of single clients' traffic are left out")
	}
	for _, k := range tier.Kinds {
		d.Fleet.Machines = append(d.Fleet.Machines, files.Machine{Name: k.Name, Cores: k.Cores, Speed: [2]float64{1, 1}, Slots: max(1, k.Slots),
			Queue: k.Queue, Connections: max(1, int(tier.ConnCap*float64(k.Cores))), Handshake: span(tier.HandshakeWork), ColdShare: k.ColdFrom,
			ColdFor: span(k.Cold), ErrorRate: k.ErrorRate, ReportEvery: span(tier.ReportPeriod), Cancels: k.Cancel == "all",
			SlowsAt: k.Knee, SlowsBy: k.Thrash, ConnectionTax: tier.FullTax})
	}
	importFleet(&b, d, proxies, pilots, shrink)
	importTroubles(&b, d, proxies, shrink, note)
	if shrink > 1 {
		d.Name = fmt.Sprintf("%s-by-%d", d.Name, shrink)
		note("every %d. machine and proxy, at the same load a machine; the channel as it was", shrink)
	}
	text, err := json.Marshal(d)
	if err == nil {
		err = files.Parse("the imported day", text, "day", &files.Day{})
	}
	return d, notes, err
}

// importFleet takes every shrink-th server and proxy.
func importFleet(b *benchDay, d *files.Day, proxies, pilots, shrink int) {
	first, added := 0, 0
	for i, s := range b.Servers {
		if i%shrink != 0 {
			continue
		}
		at := files.NodeAt{Endpoint: uint32(i + 1), Listen: "127.0.0.1:0", Zone: b.Zones[s.Zone], Pack: s.Cell,
			Machine: b.Tiers[0].Kinds[s.Kind].Name, Speed: s.Speed, Weight: s.Weight}
		if s.Up {
			d.Fleet.Exactly = slices.Insert(d.Fleet.Exactly, first, at)
			first++
		}
	}
	d.Fleet.Nodes = first
	for _, t := range b.Troubles {
		if t.Kind == "grow" {
			for _, s := range t.Steps {
				added += len(s.Start)
			}
		}
	}
	d.Fleet.Spare = added / shrink
	for i := range d.Fleet.Spare { // as the servers that are there are
		at := d.Fleet.Exactly[i%first]
		at.Endpoint = uint32(len(b.Servers) + 1 + i)
		d.Fleet.Exactly = append(d.Fleet.Exactly, at)
	}
	for i := 0; i < proxies; i += shrink {
		d.Fleet.ProxyList = append(d.Fleet.ProxyList, files.ProxyAt{Zone: b.Zones[b.Balancers[i].Zone], Share: b.Balancers[i].Weight})
	}
	for _, c := range b.Balancers[proxies:] {
		d.Fleet.PilotList = append(d.Fleet.PilotList, b.Zones[c.Zone])
	}
	d.Fleet.Proxies, d.Fleet.Pilots = len(d.Fleet.ProxyList), pilots
}

// importTroubles takes over what goes wrong, and on whom.
func importTroubles(b *benchDay, d *files.Day, proxies, shrink int, note func(string, ...any)) {
	servers := func(on []int) (out []uint32) {
		for _, i := range on {
			if i%shrink == 0 && i < len(b.Servers) && b.Servers[i].Up {
				out = append(out, uint32(i+1))
			}
		}
		return out
	}
	for _, t := range b.Troubles {
		if troubles[t.Kind] == nil {
			note("trouble %q is not known", t.Kind)
			continue
		}
		x := files.Trouble{Kind: t.Kind, At: span(t.At), Length: span(t.Len), Size: t.Size, Extra: t.Extra, How: t.How}
		switch t.Kind {
		case "balancer_crash":
			x.Extra = 0
			var hit []uint32
			for _, i := range t.On {
				if i >= proxies {
					x.Extra = 1
				}
			}
			for _, i := range t.On {
				if x.Extra == 1 && i >= proxies {
					hit = append(hit, uint32(i-proxies))
				} else if x.Extra == 0 && i%shrink == 0 {
					hit = append(hit, uint32(i/shrink))
				}
			}
			x.On = hit
		case "balancer_roll":
			if len(t.Steps) > 0 && len(t.Steps[0].Stop) > 0 && t.Steps[0].Stop[0] >= proxies {
				x.How = "pilots"
			}
			x.Part = 0.75
		case "deploy":
			var hit []int
			for _, s := range t.Steps {
				hit = append(hit, s.Stop...)
			}
			if x.On = servers(hit); len(t.Steps) > 1 {
				n := float64(len(t.Steps))
				x.Length = span((t.Steps[len(t.Steps)-1].At - t.Steps[0].At) * n / (n - 1))
			}
			note("deploy: a successor keeps the number of what it replaces")
		case "zone_loss", "zone_cut":
			x.Zone = b.Zones[min(max(t.Which, 0), len(b.Zones)-1)]
		case "hot_caller":
			for _, i := range t.On {
				if i/shrink < len(d.Fleet.ProxyList) && !slices.Contains(x.On, uint32(i/shrink)) {
					x.On = append(x.On, uint32(i/shrink))
				}
			}
		case "shift", "slow_link":
			x.Zone = b.Zones[min(max(t.Which, 0), len(b.Zones)-1)]
			if t.Kind == "shift" && t.How == "mix" {
				note("shift: traffic turns into the heaviest op type there; here it moves to a zone")
			}
		case "grow":
			x.Extra = 0 // the shape of the load has it already
		case "heavy_tail", "reconnect":
		default:
			x.On = servers(t.On)
			if len(x.On) == 0 {
				note("%s: nobody that it strikes is left after shrinking", t.Kind)
				continue
			}
			x.Part = math.Min(1, float64(len(x.On))/float64(d.Fleet.Nodes))
		}
		d.Troubles = append(d.Troubles, x)
	}
}

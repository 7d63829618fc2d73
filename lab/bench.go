package lab

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"time"

	"vetchdoor/files"
)

// benchDay is the part of a benchmark's day file that is imported. Times are in microseconds.
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
	benchRepeatModes = map[string]string{"safe": "retryable", "keyed": "deduplicated", "unsafe": "once-only"}
	benchGroups      = map[string]string{"all": "all", "zone": "zone", "cell": "pack"}
	benchRetryModes  = []string{"never", "if-unrun", "once", "twice"}
	benchMeasures    = map[string]string{"util": "cpu_utilization", "inflight": "inflight", "queue": "queue",
		"latency_ms": "latency_ms", "qps": "rps_fractional", "eps": "eps"}
)

// fromMicroseconds converts a benchmark time in microseconds.
func fromMicroseconds(us float64) files.Duration {
	return files.Duration(us * float64(time.Microsecond))
}

// ImportBenchDay converts a day of the benchmark to a day of this package, with every shrink-th server and proxy and the
// load scaled to match. notes list what could not be converted. It returns a *files.ValidationError for a file that is not a
// supported day.
func ImportBenchDay(path string, data []byte, shrink int) (day *files.Day, notes []string, err error) {
	var b benchDay
	if err := files.CheckSyntax(path, data); err != nil {
		return nil, nil, err
	}
	if err := json.Unmarshal(data, &b); err != nil {
		return nil, nil, &files.ValidationError{File: path, Found: "a file that is not a benchmark day (" + err.Error() + ")",
			Allowed: "the output of the benchmark's day generator"}
	}
	note := func(format string, args ...any) { notes = append(notes, fmt.Sprintf(format, args...)) }
	switch {
	case b.V != 1 || b.Family != "control" || len(b.Tiers) != 1 || len(b.Servers) == 0 || len(b.Classes) == 0 || len(b.Zones) == 0:
		return nil, nil, &files.ValidationError{File: path, Found: "not a day of a control site with one tier",
			Allowed: "the output of the benchmark's day generator for such a site"}
	case b.Fam.Slices > 0:
		return nil, nil, &files.ValidationError{File: path, Pointer: "/fam/slices", Found: fmt.Sprint(b.Fam.Slices),
			Allowed: "0: keys in slices are not supported"}
	case shrink < 1:
		return nil, nil, fmt.Errorf("--shrink %d: must be at least 1", shrink)
	}
	tier, fam := &b.Tiers[0], &b.Fam
	pilots := max(1, len(fam.Controllers))
	proxies := len(b.Balancers) - pilots
	if proxies < 1 {
		return nil, nil, &files.ValidationError{File: path, Pointer: "/balancers", Found: fmt.Sprint(len(b.Balancers)),
			Allowed: "proxies followed by the controllers"}
	}
	d := &files.Day{Kind: "day", Name: fmt.Sprintf("%s-%s", b.Site, b.Kind), Length: fromMicroseconds(b.Length),
		Seed: b.Noise % (1 << 50)}
	d.Service = files.Service{Zones: b.Zones, ReportEvery: fromMicroseconds(fam.Period), TryShare: fam.TryAims,
		OutlierAfter: fam.Ejects, OutlierFor: fromMicroseconds(fam.Eject), Bootstrap: max(1, fam.Standing),
		CrossZonePrice: b.Prices.CrossZone}
	if fam.UsualHow >= 0 && fam.UsualHow < len(benchRetryModes) {
		d.Service.DefaultRetries = benchRetryModes[fam.UsualHow]
	}
	if tier.ReportHow == "answers" {
		for _, m := range tier.ReportFields {
			if measure := benchMeasures[m]; measure != "" {
				d.Service.Measures = append(d.Service.Measures, measure)
			}
		}
	} else {
		note("load reports by %s are not supported; responses carry none here", tier.ReportHow)
	}
	for i, c := range b.Classes {
		t := files.OpType{Name: c.Name, Match: files.Match{Method: "POST", PathPrefix: "/" + c.Name},
			TargetLatency: fromMicroseconds(c.Aim), OpTimeout: fromMicroseconds(c.Deadline), Revenue: c.Worth,
			LateShare: c.LateWorth, Repeat: benchRepeatModes[c.Effect], Writes: c.Write}
		if t.Repeat == "" {
			return nil, nil, &files.ValidationError{File: path, Pointer: fmt.Sprintf("/classes/%d/effect", i),
				Found: fmt.Sprintf("%q", c.Effect), Allowed: "safe, keyed or unsafe"}
		}
		if t.Repeat == "deduplicated" {
			t.Group, t.DedupWindow, t.Writes = benchGroups[c.Group], fromMicroseconds(c.Window), true
		}
		t.OwnZoneOnly = i < len(fam.ClassOwnZones) && fam.ClassOwnZones[i]
		t.Writes = t.Writes || t.Repeat == "once-only"
		d.Service.OpTypes = append(d.Service.OpTypes, t)
		d.Load.Works = append(d.Load.Works, files.Work{OpType: c.Name, Share: c.Share, Mean: fromMicroseconds(c.Work), CV: c.CV})
		if c.IO > 0 {
			note("op type %s: waits of %.0f ms without a core are ignored", c.Name, c.IO/1000)
		}
	}
	d.Limits = files.Limits{EmptyFor: fromMicroseconds(fam.Bare), DrainGrace: fromMicroseconds(b.DrainGrace),
		ColdFor: fromMicroseconds(tier.StatedCold), ColdShare: tier.StatedFrom, OverloadFactor: b.FallMultiple,
		FallAfter: fromMicroseconds(b.FallFor)}
	d.Channel = files.Channel{LinesPerSecond: fam.Rate, MessageLines: int(fam.Head), MaxWaitingLines: int(fam.Backlog),
		MessageCap: fam.MessagesMost, MessageCapPeriod: fromMicroseconds(fam.MessagesOver),
		MaxPushDelay: fromMicroseconds(2.5 * fam.Late), ReportLinesPerSecond: fam.Intake}
	if d.Channel.MessageCap > 0 && d.Channel.MessageCapPeriod == 0 {
		d.Channel.MessageCapPeriod = files.Duration(10 * time.Second)
	}
	d.Net = files.Net{Same: fromMicroseconds(b.Net.Same), Cross: fromMicroseconds(b.Net.Cross),
		Push: fromMicroseconds(fam.Late), Hears: fromMicroseconds(fam.HeardLate)}
	d.List = files.List{Notice: fromMicroseconds(b.Discovery.Notice), SilentNotice: fromMicroseconds(b.Discovery.Silent),
		Add: fromMicroseconds(b.Discovery.Add)}
	if b.Discovery.Ask {
		note("polling of the list is replaced by pushed changes")
	}
	d.Clients = files.Clients{Retries: b.Clients.Retries, TryShare: b.Clients.TryShare, Honour: b.Clients.Honour}
	if b.Clients.Backoff != "none" {
		d.Clients.Backoff = fromMicroseconds(b.Clients.BackoffUS)
	}
	d.Goal = files.Goal{Whole: b.Goal.Whole, WorstWindow: b.Goal.WorstWindow, WorstType: b.Goal.WorstClass, Tail: b.Goal.Tail,
		TailMiss: b.Goal.TailMiss}
	d.Prices = files.Prices{CrossZone: b.Prices.CrossZone, Waste: b.Prices.Waste, Connection: b.Prices.Connection,
		Handshake: b.Prices.Handshake, LateFail: b.Prices.LateFail, Orders: fam.OrderPrice}
	d.Load.OfCapacity, d.Load.ZoneShare = b.Traffic.Load, b.Traffic.ZoneShare
	for _, p := range b.Traffic.Shape {
		d.Load.Shape = append(d.Load.Shape, files.Point{At: files.Duration(p[0] * float64(time.Second)), Times: p[1]})
	}
	if b.Traffic.BurstCV > 0 || b.Traffic.Keys > 0 || b.Traffic.DriftS > 0 {
		note("bursts, keys and the drift of individual clients' traffic are ignored")
	}
	for _, k := range tier.Kinds {
		d.Fleet.Machines = append(d.Fleet.Machines, files.Machine{Name: k.Name, Cores: k.Cores, Speed: [2]float64{1, 1},
			Slots: max(1, k.Slots), Queue: k.Queue, Connections: max(1, int(tier.ConnCap*float64(k.Cores))),
			Handshake: fromMicroseconds(tier.HandshakeWork), ColdShare: k.ColdFrom, ColdFor: fromMicroseconds(k.Cold),
			ErrorRate: k.ErrorRate, ReportEvery: fromMicroseconds(tier.ReportPeriod),
			Cancels: k.Cancel == "all", SlowsAt: k.Knee, SlowsBy: k.Thrash, ConnectionTax: tier.FullTax})
	}
	importFleet(&b, d, proxies, pilots, shrink)
	importTroubles(&b, d, proxies, shrink, note)
	if shrink > 1 {
		d.Name = fmt.Sprintf("%s-by-%d", d.Name, shrink)
		note("every %d. machine and proxy is imported, with the same load per machine and the channel unchanged", shrink)
	}
	text, err := json.Marshal(d)
	if err == nil {
		err = files.Parse("the imported day", text, "day", &files.Day{})
	}
	return d, notes, err
}

// importFleet imports every shrink-th server and proxy.
func importFleet(b *benchDay, d *files.Day, proxies, pilots, shrink int) {
	first, added := 0, 0
	for i, s := range b.Servers {
		if i%shrink != 0 {
			continue
		}
		nodeAt := files.NodeAt{Endpoint: uint32(i + 1), Listen: "127.0.0.1:0", Zone: b.Zones[s.Zone], Pack: s.Cell,
			Machine: b.Tiers[0].Kinds[s.Kind].Name, Speed: s.Speed, Weight: s.Weight}
		if s.Up {
			d.Fleet.Exactly = slices.Insert(d.Fleet.Exactly, first, nodeAt)
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
	for i := range d.Fleet.Spare { // spare servers copy the properties of the existing ones
		nodeAt := d.Fleet.Exactly[i%first]
		nodeAt.Endpoint = uint32(len(b.Servers) + 1 + i)
		d.Fleet.Exactly = append(d.Fleet.Exactly, nodeAt)
	}
	for i := 0; i < proxies; i += shrink {
		d.Fleet.ProxyList = append(d.Fleet.ProxyList, files.ProxyAt{Zone: b.Zones[b.Balancers[i].Zone], Share: b.Balancers[i].Weight})
	}
	for _, c := range b.Balancers[proxies:] {
		d.Fleet.PilotList = append(d.Fleet.PilotList, b.Zones[c.Zone])
	}
	d.Fleet.Proxies, d.Fleet.Pilots = len(d.Fleet.ProxyList), pilots
}

// importTroubles imports the troubles and their targets.
func importTroubles(b *benchDay, d *files.Day, proxies, shrink int, note func(string, ...any)) {
	servers := func(on []int) (out []uint32) {
		for _, i := range on {
			if i%shrink == 0 && i < len(b.Servers) && b.Servers[i].Up {
				out = append(out, uint32(i+1))
			}
		}
		return out
	}
	for _, source := range b.Troubles {
		if troubles[source.Kind] == nil {
			note("unknown trouble %q is ignored", source.Kind)
			continue
		}
		trouble := files.Trouble{Kind: source.Kind, At: fromMicroseconds(source.At), Length: fromMicroseconds(source.Len),
			Size: source.Size, Extra: source.Extra, How: source.How}
		switch source.Kind {
		case "balancer_crash":
			trouble.Extra = 0
			var targets []uint32
			for _, i := range source.On {
				if i >= proxies {
					trouble.Extra = 1
				}
			}
			for _, i := range source.On {
				if trouble.Extra == 1 && i >= proxies {
					targets = append(targets, uint32(i-proxies))
				} else if trouble.Extra == 0 && i%shrink == 0 {
					targets = append(targets, uint32(i/shrink))
				}
			}
			trouble.On = targets
		case "balancer_roll":
			if len(source.Steps) > 0 && len(source.Steps[0].Stop) > 0 && source.Steps[0].Stop[0] >= proxies {
				trouble.How = "pilots"
			}
			trouble.Part = 0.75
		case "deploy":
			var targets []int
			for _, s := range source.Steps {
				targets = append(targets, s.Stop...)
			}
			if trouble.On = servers(targets); len(source.Steps) > 1 {
				n := float64(len(source.Steps))
				trouble.Length = fromMicroseconds((source.Steps[len(source.Steps)-1].At - source.Steps[0].At) * n / (n - 1))
			}
			note("deploy: a restarted server keeps its endpoint number")
		case "zone_loss", "zone_cut":
			trouble.Zone = b.Zones[min(max(source.Which, 0), len(b.Zones)-1)]
		case "hot_caller":
			for _, i := range source.On {
				if i/shrink < len(d.Fleet.ProxyList) && !slices.Contains(trouble.On, uint32(i/shrink)) {
					trouble.On = append(trouble.On, uint32(i/shrink))
				}
			}
		case "shift", "slow_link":
			trouble.Zone = b.Zones[min(max(source.Which, 0), len(b.Zones)-1)]
			if source.Kind == "shift" && source.How == "mix" {
				note("shift: traffic moves to a zone instead of the heaviest op type")
			}
		case "grow":
			trouble.Extra = 0 // the load shape already contains the growth
		case "heavy_tail", "reconnect":
		default:
			trouble.On = servers(source.On)
			if len(trouble.On) == 0 {
				note("%s: ignored, because none of its targets is left after shrinking", source.Kind)
				continue
			}
			trouble.Part = math.Min(1, float64(len(trouble.On))/float64(d.Fleet.Nodes))
		}
		d.Troubles = append(d.Troubles, trouble)
	}
}

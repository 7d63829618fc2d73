package lab

import (
	"math"
	"time"

	"vetchdoor/control"
	"vetchdoor/files"
	"vetchdoor/lab/link"
	"vetchdoor/lab/node"
	"vetchdoor/pilot"
)

// plan puts a day's troubles on the clock. What each strikes is drawn now, from the day's seed, so that two runs of a
// day have the same; what follows is played at its time.
func (f *fleet) plan() {
	for i := range f.day.Troubles {
		t := &f.day.Troubles[i]
		if start := troubles[t.Kind]; start != nil {
			start(f, t)
		}
	}
}

// troubles by kind, as the bench names them.
var troubles = map[string]func(*fleet, *files.Trouble){
	"vanish": func(f *fleet, t *files.Trouble) {
		for _, n := range f.someNodes(t) {
			f.at(t, func() {
				n.UpdateFaults(func(x *node.Faults) { x.Silent = true })
				f.tell(f.day.List.SilentNotice.AsDuration(), n, "gone")
			}, func() { f.bringBack(n) })
		}
	},
	"hang":        nodeTrouble(func(x *node.Faults, t *files.Trouble, on bool) { x.Hang = on }),
	"fast_errors": nodeTrouble(func(x *node.Faults, t *files.Trouble, on bool) { x.ErrorShare = when(on, t.Size) }),
	"answer_lost": nodeTrouble(func(x *node.Faults, t *files.Trouble, on bool) { x.LostAnswerShare = when(on, t.Size) }),
	"shared_slow": nodeTrouble(func(x *node.Faults, t *files.Trouble, on bool) { x.SlowFactor = when(on, t.Size) }),
	"handshake_slow": nodeTrouble(func(x *node.Faults, t *files.Trouble, on bool) {
		x.HandshakeFactor, x.FirstOpDelay = when(on, t.Extra), time.Duration(when(on, t.Size)*float64(time.Millisecond))
	}),
	"heavy_tail": func(f *fleet, t *files.Trouble) {
		kind := f.rng.IntN(len(f.day.Service.OpTypes))
		nodeTrouble(func(x *node.Faults, t *files.Trouble, on bool) {
			x.HeavyShare, x.HeavyFactor, x.HeavyType = when(on, t.Extra), t.Size, kind
		})(f, t)
	},
	"ageing": func(f *fleet, t *files.Trouble) { // slower and slower, then one end; back cold
		const steps = 10
		for _, n := range f.someNodes(t) {
			for i := range steps {
				f.later(t.At.AsDuration()+t.Length.AsDuration()*time.Duration(i)/steps, func() {
					n.UpdateFaults(func(x *node.Faults) { x.SlowFactor = 1 + (max(t.Size, 1)-1)*float64(i+1)/steps })
				})
			}
			end := t.At.AsDuration() + t.Length.AsDuration()
			f.later(end, func() {
				n.Stop()
				f.tell(f.day.List.Notice.AsDuration(), n, "gone")
			})
			f.later(end+time.Duration(t.Extra*float64(time.Second)), func() { f.bringBack(n) })
		}
	},
	"pauses": func(f *fleet, t *files.Trouble) {
		every := max(time.Duration(t.Extra*float64(time.Second)), 200*time.Millisecond)
		for _, n := range f.someNodes(t) {
			off := time.Duration(f.rng.Float64() * float64(every))
			for at := off; at < t.Length.AsDuration(); at += every {
				f.later(t.At.AsDuration()+at, func() { n.Pause(time.Duration(t.Size * float64(time.Millisecond))) })
			}
		}
	},
	"deploy":       (*fleet).deploy,
	"move_tenants": (*fleet).moveTenants,
	"flapping":     (*fleet).flap,
	"grow": func(f *fleet, t *files.Trouble) { // new machines, cold, and traffic that follows
		for i, n := range f.spare {
			f.later(t.At.AsDuration()+t.Length.AsDuration()*time.Duration(i)/time.Duration(len(f.spare)), func() {
				if n.Start(true) == nil {
					f.tell(f.day.List.Add.AsDuration(), n, "ready")
				}
			})
		}
		f.grown = append(f.grown, hotSpell{from: t.At.AsDuration(), to: t.At.AsDuration() + t.Length.AsDuration(),
			size: float64(len(f.spare)) / float64(len(f.nodes)) * t.Extra})
	},
	"zone_loss": (*fleet).loseZone,
	"zone_cut":  (*fleet).cutZone,
	"balancer_crash": func(f *fleet, t *files.Trouble) {
		if t.Extra >= 0.5 {
			for _, at := range f.somePilots(t) {
				f.at(t, func() { f.killPilot(at) }, func() { f.revivePilot(at) })
			}
			return
		}
		for _, i := range f.someProxies(t) {
			f.at(t, func() { f.killProxy(i) }, func() { f.reviveProxy(i) })
		}
	},
	"balancer_roll": (*fleet).roll,
	"change_packs":  (*fleet).changePacks,
	"frozen_list": func(f *fleet, t *files.Trouble) { // some pilots hear nothing more of the list, without a sign
		for _, p := range f.somePilots(t) {
			f.at(t, func() { p.list.DropDirection(link.Down) }, func() { p.list.Heal(); p.list.Break() })
		}
	},
	"pilot_pause": func(f *fleet, t *files.Trouble) { // as a process that is stopped and goes on
		for _, p := range f.somePilots(t) {
			f.later(t.At.AsDuration(), func() {
				f.mu.Lock()
				up := p.p
				f.mu.Unlock()
				if up != nil {
					up.Pause(t.Length.AsDuration())
				}
			})
		}
	},
	"one_way": func(f *fleet, t *files.Trouble) { // what proxies say is lost; how "down": what pilots say
		d := link.Up
		if t.How == "down" {
			d = link.Down
		}
		for _, i := range f.someProxies(t) {
			for _, p := range f.pilots {
				f.at(t, func() { p.links[i].DropDirection(d) }, p.links[i].Heal)
			}
		}
	},
	"reconnect": func(f *fleet, t *files.Trouble) {
		for _, i := range pick(f, len(f.proxies), t.Size, nil) {
			off := time.Duration(f.rng.Float64() * float64(t.Length))
			f.later(t.At.AsDuration()+off, func() {
				for _, p := range f.pilots {
					p.links[i].Break()
				}
			})
		}
	},
	"hot_caller": func(f *fleet, t *files.Trouble) {
		part := t.Part
		if part <= 0 {
			part = 0.02
		}
		f.hot = append(f.hot, hotSpell{from: t.At.AsDuration(), to: t.At.AsDuration() + t.Length.AsDuration(),
			ramp: time.Duration(t.Extra * float64(time.Second)), size: t.Size, proxies: pick(f, len(f.proxies), part, t.On)})
	},
	"shift": func(f *fleet, t *files.Trouble) { // for good; its length is the time that it takes
		zone := f.zoneOf(t)
		var there []int
		for i, at := range f.proxies {
			if at.zone == zone {
				there = append(there, i)
			}
		}
		f.shifts = append(f.shifts, hotSpell{from: t.At.AsDuration(), to: t.At.AsDuration() + t.Length.AsDuration(), ramp: t.Length.AsDuration(),
			size: t.Size, proxies: there, forGood: true})
	},
	"slow_link": func(f *fleet, t *files.Trouble) { // between a zone and the others, or one other
		zone, other := f.zoneOf(t), -1
		if t.How == "pair" {
			other = (zone + 1) % len(f.day.Service.Zones)
		}
		aim := f.day.Service.OpTypes[0].TargetLatency.AsDuration()
		for _, x := range f.day.Service.OpTypes {
			aim = min(aim, x.TargetLatency.AsDuration())
		}
		late := time.Duration(2 * t.Size * float64(aim)) // there and back
		for _, n := range f.nodes {
			at := f.day.Service.ZoneIndex(n.Config().Zone)
			far := func(p int) (time.Duration, float64) {
				if p < 0 || p >= len(f.proxies) {
					return 0, 0
				}
				from := f.proxies[p].zone
				if from == at || from != zone && at != zone || other >= 0 && from != other && at != other {
					return 0, 0
				}
				return late, 1 - (1-t.Extra)*(1-t.Extra)
			}
			f.at(t, func() { n.UpdateFaults(func(x *node.Faults) { x.PathFrom = far }) }, func() { n.UpdateFaults(func(x *node.Faults) { x.PathFrom = nil }) })
		}
	},
}

func when(on bool, x float64) float64 {
	if on {
		return x
	}
	return 0
}

// nodeTrouble is one that a node has for the length of it.
func nodeTrouble(set func(x *node.Faults, t *files.Trouble, on bool)) func(*fleet, *files.Trouble) {
	return func(f *fleet, t *files.Trouble) {
		for _, n := range f.someNodes(t) {
			f.at(t, func() { n.UpdateFaults(func(x *node.Faults) { set(x, t, true) }) },
				func() { n.UpdateFaults(func(x *node.Faults) { set(x, t, false) }) })
		}
	}
}

// at plays a trouble's begin and end.
func (f *fleet) at(t *files.Trouble, begin, end func()) {
	f.later(t.At.AsDuration(), begin)
	f.later(t.At.AsDuration()+t.Length.AsDuration(), end)
}

// pick draws a part of n, at least one; or takes those named.
func pick(f *fleet, n int, part float64, named []uint32) []int {
	if len(named) > 0 {
		var out []int
		for _, x := range named {
			if int(x) < n {
				out = append(out, int(x))
			}
		}
		return out
	}
	count := min(n, max(1, int(math.Round(part*float64(n)))))
	return f.rng.Perm(n)[:count]
}

func (f *fleet) someNodes(t *files.Trouble) []*node.Node {
	if len(t.On) > 0 {
		var out []*node.Node
		for _, n := range f.nodes {
			for _, id := range t.On {
				if control.EndpointID(id) == n.Endpoint() {
					out = append(out, n)
				}
			}
		}
		return out
	}
	part := t.Part
	if part <= 0 && (t.Kind == "shared_slow" || t.Kind == "heavy_tail" || t.Kind == "handshake_slow") {
		part = 1
	}
	var out []*node.Node
	for _, i := range pick(f, len(f.nodes), part, nil) {
		if t.Zone == "" || f.nodes[i].Config().Zone == t.Zone {
			out = append(out, f.nodes[i])
		}
	}
	return out
}

func (f *fleet) someProxies(t *files.Trouble) []int { return pick(f, len(f.proxies), t.Part, t.On) }

func (f *fleet) somePilots(t *files.Trouble) (out []*pilotAt) {
	for _, i := range pick(f, len(f.pilots), t.Part, t.On) {
		out = append(out, f.pilots[i])
	}
	return out
}

func (f *fleet) zoneOf(t *files.Trouble) int {
	if z := f.day.Service.ZoneIndex(t.Zone); z >= 0 {
		return z
	}
	return f.rng.IntN(len(f.day.Service.Zones))
}

// bringBack starts a node anew, cold; the list hears of it in time.
func (f *fleet) bringBack(n *node.Node) {
	n.Stop()
	if n.Start(true) == nil && n.Running() {
		f.tell(f.day.List.Add.AsDuration(), n, "ready")
	}
}

// deploy drains, ends and starts nodes anew in batches.
func (f *fleet) deploy(t *files.Trouble) {
	chosen := f.someNodes(t)
	batch := max(1, int(math.Round(t.Size*float64(len(f.nodes)))))
	batches := (len(chosen) + batch - 1) / batch
	drain := time.Duration(max(t.Extra, 0.5) * float64(time.Second))
	for i, n := range chosen {
		at := t.At.AsDuration() + t.Length.AsDuration()*time.Duration(i/batch)/time.Duration(max(batches, 1))
		f.tell(at+f.day.List.Add.AsDuration(), n, "draining")
		f.later(at+drain, func() { n.UpdateFaults(func(x *node.Faults) { x.Draining = true }) })
		f.later(at+drain+time.Second, func() { f.bringBack(n) })
	}
}

// flap has nodes go and come back, a part of each turn away, in one of four forms; the list may not follow.
func (f *fleet) flap(t *files.Trouble) {
	turn := max(time.Duration(t.Size*float64(time.Second)), 500*time.Millisecond)
	down := time.Duration(min(max(t.Extra, 0.1), 0.9) * float64(turn))
	for _, n := range f.someNodes(t) {
		off := time.Duration(f.rng.Float64() * float64(turn))
		for at := off; at < t.Length.AsDuration(); at += turn {
			begin, end := t.At.AsDuration()+at, t.At.AsDuration()+at+down
			switch t.How {
			case "hang":
				f.later(begin, func() { n.UpdateFaults(func(x *node.Faults) { x.Hang = true }) })
				f.later(end, func() { n.UpdateFaults(func(x *node.Faults) { x.Hang = false }) })
			case "errors":
				f.later(begin, func() { n.UpdateFaults(func(x *node.Faults) { x.ErrorShare = 1 }) })
				f.later(end, func() { n.UpdateFaults(func(x *node.Faults) { x.ErrorShare = 0 }) })
			case "silence":
				f.later(begin, func() {
					n.UpdateFaults(func(x *node.Faults) { x.Silent = true })
					f.tell(f.day.List.SilentNotice.AsDuration(), n, "gone")
				})
				f.later(end, func() { f.bringBack(n) })
			default: // crash
				f.later(begin, func() {
					n.Stop()
					f.tell(f.day.List.Notice.AsDuration(), n, "gone")
				})
				f.later(end, func() { f.bringBack(n) })
			}
		}
	}
}

// loseZone ends a zone's nodes, with its proxies and pilots where the trouble is large; silently, or as processes die.
func (f *fleet) loseZone(t *files.Trouble) {
	zone := f.zoneOf(t)
	for _, n := range f.nodes {
		if n.Config().Zone != f.day.Service.Zones[zone] {
			continue
		}
		f.at(t, func() {
			if t.Extra > 0.5 {
				n.UpdateFaults(func(x *node.Faults) { x.Silent = true })
				f.tell(f.day.List.SilentNotice.AsDuration(), n, "gone")
				return
			}
			n.Stop()
			f.tell(f.day.List.Notice.AsDuration(), n, "gone")
		}, func() { f.bringBack(n) })
	}
	if t.Size <= 0.5 {
		return
	}
	for i, at := range f.proxies {
		if at.zone == zone {
			f.at(t, func() { f.killProxy(i) }, func() { f.reviveProxy(i) })
		}
	}
	for _, at := range f.pilots {
		if at.zone == zone {
			f.at(t, func() { f.killPilot(at) }, func() { f.revivePilot(at) })
		}
	}
}

// cutZone cuts the ways between a zone and the others, without a sign.
func (f *fleet) cutZone(t *files.Trouble) {
	zone := f.zoneOf(t)
	for _, p := range f.pilots {
		for i, l := range p.links {
			if (f.proxies[i].zone == zone) != (p.zone == zone) {
				f.at(t, l.Cut, l.Heal)
			}
		}
	}
	for _, n := range f.nodes {
		inside := n.Config().Zone == f.day.Service.Zones[zone]
		deaf := func(p int) bool { return p >= 0 && p < len(f.proxies) && (f.proxies[p].zone == zone) != inside }
		f.at(t, func() { n.UpdateFaults(func(x *node.Faults) { x.SilentTo = deaf }) }, func() { n.UpdateFaults(func(x *node.Faults) { x.SilentTo = nil }) })
	}
}

// roll restarts proxies, or pilots, in batches; each is down for a while.
func (f *fleet) roll(t *files.Trouble) {
	down := time.Duration(max(t.Extra, 0.2) * float64(time.Second))
	if t.How == "pilots" || t.How == "pilots-in-order" {
		for i, at := range f.pilots {
			when := t.At.AsDuration() + t.Length.AsDuration()*time.Duration(i)/time.Duration(len(f.pilots))
			if t.How == "pilots" {
				f.later(when, func() { f.killPilot(at) })
			} else {
				f.later(when, func() { f.stopPilot(at) })
			}
			f.later(when+down, func() { f.revivePilot(at) })
		}
		return
	}
	chosen := f.someProxies(t)
	batch := max(1, int(math.Round(t.Size*float64(len(f.proxies)))))
	batches := (len(chosen) + batch - 1) / batch
	for k, i := range chosen {
		when := t.At.AsDuration() + t.Length.AsDuration()*time.Duration(k/batch)/time.Duration(max(batches, 1))
		f.later(when, func() { f.killProxy(i) })
		f.later(when+down, func() { f.reviveProxy(i) })
	}
}

func (f *fleet) killPilot(at *pilotAt) {
	f.mu.Lock()
	p := at.p
	at.p = nil
	f.mu.Unlock()
	if p != nil {
		p.Kill()
	}
}

// stopPilot ends a pilot in order: its proxies are sent away first.
func (f *fleet) stopPilot(at *pilotAt) {
	f.mu.Lock()
	p := at.p
	at.p = nil
	f.mu.Unlock()
	if p != nil {
		p.Stop()
	}
}

// revivePilot starts a pilot with its last list and nothing else.
func (f *fleet) revivePilot(at *pilotAt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at.p != nil {
		return
	}
	at.file.Seed++
	p, err := pilot.New(at.file, f.log)
	if err == nil {
		p.Records = f.records
		err = p.Start()
	}
	if err != nil {
		f.log.Error("a pilot did not come back", "error", err)
		return
	}
	at.p = p
}

func (f *fleet) killProxy(i int) {
	at := f.proxies[i]
	f.mu.Lock()
	p := at.p
	at.p = nil
	if p != nil {
		f.handshakes += int(p.Opened())
	}
	f.mu.Unlock()
	if p != nil {
		p.Kill()
	}
}

func (f *fleet) reviveProxy(i int) {
	at := f.proxies[i]
	f.mu.Lock()
	dead := at.p == nil
	f.mu.Unlock()
	if dead {
		if err := f.startProxy(at); err != nil {
			f.log.Error("a proxy did not come back", "proxy", i, "error", err)
		}
	}
}

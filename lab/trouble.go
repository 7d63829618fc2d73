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

// scheduleTroubles schedules the troubles of a day. It draws the targets of all troubles now, from the day's seed, so that
// two runs of a day have the same targets.
func (f *fleet) scheduleTroubles() {
	for i := range f.day.Troubles {
		t := &f.day.Troubles[i]
		if start := troubles[t.Kind]; start != nil {
			start(f, t)
		}
	}
}

// troubles maps each kind of trouble to the function that schedules it. The kinds have the names that the benchmark uses.
var troubles = map[string]func(*fleet, *files.Trouble){
	"vanish": func(f *fleet, t *files.Trouble) {
		for _, n := range f.pickNodes(t) {
			f.during(t, func() {
				n.UpdateFaults(func(x *node.Faults) { x.Silent = true })
				f.announce(f.day.List.SilentNotice.AsDuration(), n, "gone")
			}, func() { f.restartNode(n) })
		}
	},
	"hang":        nodeTrouble(func(x *node.Faults, t *files.Trouble, on bool) { x.Hang = on }),
	"fast_errors": nodeTrouble(func(x *node.Faults, t *files.Trouble, on bool) { x.ErrorShare = valueIf(on, t.Size) }),
	"answer_lost": nodeTrouble(func(x *node.Faults, t *files.Trouble, on bool) { x.LostAnswerShare = valueIf(on, t.Size) }),
	"shared_slow": nodeTrouble(func(x *node.Faults, t *files.Trouble, on bool) { x.SlowFactor = valueIf(on, t.Size) }),
	"handshake_slow": nodeTrouble(func(x *node.Faults, t *files.Trouble, on bool) {
		x.HandshakeFactor, x.FirstOpDelay = valueIf(on, t.Extra), time.Duration(valueIf(on, t.Size)*float64(time.Millisecond))
	}),
	"heavy_tail": func(f *fleet, t *files.Trouble) {
		opType := f.rng.IntN(len(f.day.Service.OpTypes))
		nodeTrouble(func(x *node.Faults, t *files.Trouble, on bool) {
			x.HeavyShare, x.HeavyFactor, x.HeavyType = valueIf(on, t.Extra), t.Size, opType
		})(f, t)
	},
	"ageing": func(f *fleet, t *files.Trouble) { // nodes get slower in steps, stop, and restart cold
		const steps = 10
		for _, n := range f.pickNodes(t) {
			for i := range steps {
				f.schedule(t.At.AsDuration()+t.Length.AsDuration()*time.Duration(i)/steps, func() {
					n.UpdateFaults(func(x *node.Faults) { x.SlowFactor = 1 + (max(t.Size, 1)-1)*float64(i+1)/steps })
				})
			}
			end := t.At.AsDuration() + t.Length.AsDuration()
			f.schedule(end, func() {
				n.Stop()
				f.announce(f.day.List.Notice.AsDuration(), n, "gone")
			})
			f.schedule(end+time.Duration(t.Extra*float64(time.Second)), func() { f.restartNode(n) })
		}
	},
	"pauses": func(f *fleet, t *files.Trouble) {
		period := max(time.Duration(t.Extra*float64(time.Second)), 200*time.Millisecond)
		for _, n := range f.pickNodes(t) {
			offset := time.Duration(f.rng.Float64() * float64(period))
			for at := offset; at < t.Length.AsDuration(); at += period {
				f.schedule(t.At.AsDuration()+at, func() { n.Pause(time.Duration(t.Size * float64(time.Millisecond))) })
			}
		}
	},
	"deploy":       (*fleet).deploy,
	"move_tenants": (*fleet).moveTenants,
	"flapping":     (*fleet).flap,
	"grow": func(f *fleet, t *files.Trouble) { // spare nodes start cold, and the traffic grows with them
		for i, n := range f.spare {
			f.schedule(t.At.AsDuration()+t.Length.AsDuration()*time.Duration(i)/time.Duration(len(f.spare)), func() {
				if n.Start(true) == nil {
					f.announce(f.day.List.Add.AsDuration(), n, "ready")
				}
			})
		}
		f.growth = append(f.growth, trafficShift{from: t.At.AsDuration(), to: t.At.AsDuration() + t.Length.AsDuration(),
			fraction: float64(len(f.spare)) / float64(len(f.nodes)) * t.Extra})
	},
	"zone_loss": (*fleet).loseZone,
	"zone_cut":  (*fleet).cutZone,
	"balancer_crash": func(f *fleet, t *files.Trouble) {
		if t.Extra >= 0.5 {
			for _, at := range f.pickPilots(t) {
				f.during(t, func() { f.killPilot(at) }, func() { f.restartPilot(at) })
			}
			return
		}
		for _, i := range f.pickProxies(t) {
			f.during(t, func() { f.killProxy(i) }, func() { f.restartProxy(i) })
		}
	},
	"balancer_roll": (*fleet).rollingRestart,
	"change_packs":  (*fleet).changePacks,
	"frozen_list": func(f *fleet, t *files.Trouble) { // some pilots receive no more list changes, with the connection still open
		for _, p := range f.pickPilots(t) {
			f.during(t, func() { p.list.DropDirection(link.Down) }, func() { p.list.Heal(); p.list.Break() })
		}
	},
	"pilot_pause": func(f *fleet, t *files.Trouble) { // a pilot process is suspended and continues
		for _, p := range f.pickPilots(t) {
			f.schedule(t.At.AsDuration(), func() {
				f.mu.Lock()
				running := p.pilot
				f.mu.Unlock()
				if running != nil {
					running.Pause(t.Length.AsDuration())
				}
			})
		}
	},
	// messages from proxies to pilots are lost, or, if t.How is "down", messages from pilots to proxies
	"one_way": func(f *fleet, t *files.Trouble) {
		d := link.Up
		if t.How == "down" {
			d = link.Down
		}
		for _, i := range f.pickProxies(t) {
			for _, p := range f.pilots {
				f.during(t, func() { p.links[i].DropDirection(d) }, p.links[i].Heal)
			}
		}
	},
	"reconnect": func(f *fleet, t *files.Trouble) {
		for _, i := range pick(f, len(f.proxies), t.Size, nil) {
			offset := time.Duration(f.rng.Float64() * float64(t.Length))
			f.schedule(t.At.AsDuration()+offset, func() {
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
		f.hotCallers = append(f.hotCallers, trafficShift{from: t.At.AsDuration(), to: t.At.AsDuration() + t.Length.AsDuration(),
			ramp: time.Duration(t.Extra * float64(time.Second)), fraction: t.Size, proxies: pick(f, len(f.proxies), part, t.On)})
	},
	"shift": func(f *fleet, t *files.Trouble) { // traffic moves to a zone for good, within t.Length
		zone := f.troubleZone(t)
		var zoneProxies []int
		for i, at := range f.proxies {
			if at.zone == zone {
				zoneProxies = append(zoneProxies, i)
			}
		}
		f.zoneShifts = append(f.zoneShifts, trafficShift{from: t.At.AsDuration(), to: t.At.AsDuration() + t.Length.AsDuration(), ramp: t.Length.AsDuration(),
			fraction: t.Size, proxies: zoneProxies, permanent: true})
	},
	"slow_link": func(f *fleet, t *files.Trouble) { // slow links between a zone and all others, or one other zone
		zone, other := f.troubleZone(t), -1
		if t.How == "pair" {
			other = (zone + 1) % len(f.day.Service.Zones)
		}
		shortestTarget := f.day.Service.OpTypes[0].TargetLatency.AsDuration()
		for _, x := range f.day.Service.OpTypes {
			shortestTarget = min(shortestTarget, x.TargetLatency.AsDuration())
		}
		roundTripDelay := time.Duration(2 * t.Size * float64(shortestTarget))
		for _, n := range f.nodes {
			at := f.day.Service.ZoneIndex(n.Config().Zone)
			delay := func(p int) (time.Duration, float64) {
				if p < 0 || p >= len(f.proxies) {
					return 0, 0
				}
				from := f.proxies[p].zone
				if from == at || from != zone && at != zone || other >= 0 && from != other && at != other {
					return 0, 0
				}
				return roundTripDelay, 1 - (1-t.Extra)*(1-t.Extra)
			}
			f.during(t, func() { n.UpdateFaults(func(x *node.Faults) { x.PathFrom = delay }) },
				func() { n.UpdateFaults(func(x *node.Faults) { x.PathFrom = nil }) })
		}
	},
}

// valueIf returns x if on, or else 0.
func valueIf(on bool, x float64) float64 {
	if on {
		return x
	}
	return 0
}

// nodeTrouble returns a trouble that sets a fault on each of its nodes and clears it after the trouble's length.
func nodeTrouble(set func(x *node.Faults, t *files.Trouble, on bool)) func(*fleet, *files.Trouble) {
	return func(f *fleet, t *files.Trouble) {
		for _, n := range f.pickNodes(t) {
			f.during(t, func() { n.UpdateFaults(func(x *node.Faults) { set(x, t, true) }) },
				func() { n.UpdateFaults(func(x *node.Faults) { set(x, t, false) }) })
		}
	}
}

// during schedules begin at the start of a trouble and end at its end.
func (f *fleet) during(t *files.Trouble, begin, end func()) {
	f.schedule(t.At.AsDuration(), begin)
	f.schedule(t.At.AsDuration()+t.Length.AsDuration(), end)
}

// pick returns the named indexes below n, or, if none are named, a random part of 0 to n-1 with at least one index.
func pick(f *fleet, n int, fraction float64, named []uint32) []int {
	if len(named) > 0 {
		var out []int
		for _, x := range named {
			if int(x) < n {
				out = append(out, int(x))
			}
		}
		return out
	}
	count := min(n, max(1, int(math.Round(fraction*float64(n)))))
	return f.rng.Perm(n)[:count]
}

// pickNodes returns the nodes that a trouble names, or else a random part of all nodes. If t.Zone is set, nodes of that
// part that are in other zones are left out.
func (f *fleet) pickNodes(t *files.Trouble) []*node.Node {
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

// pickProxies returns the indexes of the proxies that a trouble names, or else of a random part of all proxies.
func (f *fleet) pickProxies(t *files.Trouble) []int { return pick(f, len(f.proxies), t.Part, t.On) }

// pickPilots returns the pilots that a trouble names, or else a random part of all pilots.
func (f *fleet) pickPilots(t *files.Trouble) (out []*pilotInstance) {
	for _, i := range pick(f, len(f.pilots), t.Part, t.On) {
		out = append(out, f.pilots[i])
	}
	return out
}

// troubleZone returns the index of the zone that a trouble names, or else of a random one.
func (f *fleet) troubleZone(t *files.Trouble) int {
	if z := f.day.Service.ZoneIndex(t.Zone); z >= 0 {
		return z
	}
	return f.rng.IntN(len(f.day.Service.Zones))
}

// restartNode restarts a node cold; the list service shows it as ready after the delay of an addition.
func (f *fleet) restartNode(n *node.Node) {
	n.Stop()
	if n.Start(true) == nil && n.Running() {
		f.announce(f.day.List.Add.AsDuration(), n, "ready")
	}
}

// deploy drains and restarts nodes in batches.
func (f *fleet) deploy(t *files.Trouble) {
	chosen := f.pickNodes(t)
	batch := max(1, int(math.Round(t.Size*float64(len(f.nodes)))))
	batches := (len(chosen) + batch - 1) / batch
	drain := time.Duration(max(t.Extra, 0.5) * float64(time.Second))
	for i, n := range chosen {
		at := t.At.AsDuration() + t.Length.AsDuration()*time.Duration(i/batch)/time.Duration(max(batches, 1))
		f.announce(at+f.day.List.Add.AsDuration(), n, "draining")
		f.schedule(at+drain, func() { n.UpdateFaults(func(x *node.Faults) { x.Draining = true }) })
		f.schedule(at+drain+time.Second, func() { f.restartNode(n) })
	}
}

// flap takes nodes down and up periodically, each for a part of the period, by a crash, a hang, errors or silence. The list
// service may not detect every change.
func (f *fleet) flap(t *files.Trouble) {
	period := max(time.Duration(t.Size*float64(time.Second)), 500*time.Millisecond)
	down := time.Duration(min(max(t.Extra, 0.1), 0.9) * float64(period))
	for _, n := range f.pickNodes(t) {
		offset := time.Duration(f.rng.Float64() * float64(period))
		for at := offset; at < t.Length.AsDuration(); at += period {
			begin, end := t.At.AsDuration()+at, t.At.AsDuration()+at+down
			switch t.How {
			case "hang":
				f.schedule(begin, func() { n.UpdateFaults(func(x *node.Faults) { x.Hang = true }) })
				f.schedule(end, func() { n.UpdateFaults(func(x *node.Faults) { x.Hang = false }) })
			case "errors":
				f.schedule(begin, func() { n.UpdateFaults(func(x *node.Faults) { x.ErrorShare = 1 }) })
				f.schedule(end, func() { n.UpdateFaults(func(x *node.Faults) { x.ErrorShare = 0 }) })
			case "silence":
				f.schedule(begin, func() {
					n.UpdateFaults(func(x *node.Faults) { x.Silent = true })
					f.announce(f.day.List.SilentNotice.AsDuration(), n, "gone")
				})
				f.schedule(end, func() { f.restartNode(n) })
			default: // crash
				f.schedule(begin, func() {
					n.Stop()
					f.announce(f.day.List.Notice.AsDuration(), n, "gone")
				})
				f.schedule(end, func() { f.restartNode(n) })
			}
		}
	}
}

// loseZone stops the nodes of a zone, and if t.Size is above 0.5 its proxies and pilots too. With t.Extra above 0.5 the
// nodes go silent instead of closing their connections.
func (f *fleet) loseZone(t *files.Trouble) {
	zone := f.troubleZone(t)
	for _, n := range f.nodes {
		if n.Config().Zone != f.day.Service.Zones[zone] {
			continue
		}
		f.during(t, func() {
			if t.Extra > 0.5 {
				n.UpdateFaults(func(x *node.Faults) { x.Silent = true })
				f.announce(f.day.List.SilentNotice.AsDuration(), n, "gone")
				return
			}
			n.Stop()
			f.announce(f.day.List.Notice.AsDuration(), n, "gone")
		}, func() { f.restartNode(n) })
	}
	if t.Size <= 0.5 {
		return
	}
	for i, instance := range f.proxies {
		if instance.zone == zone {
			f.during(t, func() { f.killProxy(i) }, func() { f.restartProxy(i) })
		}
	}
	for _, instance := range f.pilots {
		if instance.zone == zone {
			f.during(t, func() { f.killPilot(instance) }, func() { f.restartPilot(instance) })
		}
	}
}

// cutZone drops all traffic between a zone and all other zones for the length of a trouble. No connection is closed before
// its end.
func (f *fleet) cutZone(t *files.Trouble) {
	zone := f.troubleZone(t)
	for _, p := range f.pilots {
		for i, l := range p.links {
			if (f.proxies[i].zone == zone) != (p.zone == zone) {
				f.during(t, l.Cut, l.Heal)
			}
		}
	}
	for _, n := range f.nodes {
		inside := n.Config().Zone == f.day.Service.Zones[zone]
		unreachable := func(p int) bool { return p >= 0 && p < len(f.proxies) && (f.proxies[p].zone == zone) != inside }
		f.during(t, func() { n.UpdateFaults(func(x *node.Faults) { x.SilentTo = unreachable }) },
			func() { n.UpdateFaults(func(x *node.Faults) { x.SilentTo = nil }) })
	}
}

// rollingRestart restarts proxies or pilots in batches; each is down for a while.
func (f *fleet) rollingRestart(t *files.Trouble) {
	down := time.Duration(max(t.Extra, 0.2) * float64(time.Second))
	if t.How == "pilots" || t.How == "pilots-in-order" {
		for i, instance := range f.pilots {
			startAt := t.At.AsDuration() + t.Length.AsDuration()*time.Duration(i)/time.Duration(len(f.pilots))
			if t.How == "pilots" {
				f.schedule(startAt, func() { f.killPilot(instance) })
			} else {
				f.schedule(startAt, func() { f.stopPilot(instance) })
			}
			f.schedule(startAt+down, func() { f.restartPilot(instance) })
		}
		return
	}
	chosen := f.pickProxies(t)
	batch := max(1, int(math.Round(t.Size*float64(len(f.proxies)))))
	batches := (len(chosen) + batch - 1) / batch
	for k, i := range chosen {
		startAt := t.At.AsDuration() + t.Length.AsDuration()*time.Duration(k/batch)/time.Duration(max(batches, 1))
		f.schedule(startAt, func() { f.killProxy(i) })
		f.schedule(startAt+down, func() { f.restartProxy(i) })
	}
}

// killPilot stops a pilot as the death of its process would, without redirecting its proxies.
func (f *fleet) killPilot(instance *pilotInstance) {
	f.mu.Lock()
	p := instance.pilot
	instance.pilot = nil
	f.mu.Unlock()
	if p != nil {
		p.Kill()
	}
}

// stopPilot stops a pilot gracefully: it redirects its proxies first.
func (f *fleet) stopPilot(instance *pilotInstance) {
	f.mu.Lock()
	p := instance.pilot
	instance.pilot = nil
	f.mu.Unlock()
	if p != nil {
		p.Stop()
	}
}

// restartPilot starts a stopped pilot, which keeps only its cached list and its stored files.
func (f *fleet) restartPilot(instance *pilotInstance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if instance.pilot != nil {
		return
	}
	instance.file.Seed++
	p, err := pilot.New(instance.file, f.log)
	if err == nil {
		p.Records = f.records
		err = p.Start()
	}
	if err != nil {
		f.log.Error("pilot restart failed", "error", err)
		return
	}
	instance.pilot = p
}

// killProxy stops a proxy as the death of its process would: its connections break.
func (f *fleet) killProxy(i int) {
	instance := f.proxies[i]
	f.mu.Lock()
	p := instance.proxy
	instance.proxy = nil
	if p != nil {
		f.handshakes += int(p.ConnectionsOpened())
	}
	f.mu.Unlock()
	if p != nil {
		p.Kill()
	}
}

// restartProxy starts proxy i unless it runs.
func (f *fleet) restartProxy(i int) {
	instance := f.proxies[i]
	f.mu.Lock()
	dead := instance.proxy == nil
	f.mu.Unlock()
	if dead {
		if err := f.startProxy(instance); err != nil {
			f.log.Error("proxy restart failed", "proxy", i, "error", err)
		}
	}
}

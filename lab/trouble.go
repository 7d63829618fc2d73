package lab

import (
	"math"
	"time"

	"vetchdoor/control"
	"vetchdoor/files"
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
				n.Set(func(x *node.Trouble) { x.Silent = true })
				f.tell(f.day.List.SilentNotice.Span(), n, "gone")
			}, func() { f.bringBack(n) })
		}
	},
	"hang":           nodeTrouble(func(x *node.Trouble, t *files.Trouble, on bool) { x.Hang = on }),
	"fast_errors":    nodeTrouble(func(x *node.Trouble, t *files.Trouble, on bool) { x.Errors = when(on, t.Size) }),
	"answer_lost":    nodeTrouble(func(x *node.Trouble, t *files.Trouble, on bool) { x.Lost = when(on, t.Size) }),
	"shared_slow":    nodeTrouble(func(x *node.Trouble, t *files.Trouble, on bool) { x.Slow = when(on, t.Size) }),
	"handshake_slow": nodeTrouble(func(x *node.Trouble, t *files.Trouble, on bool) { x.Handshake = when(on, t.Size) }),
	"heavy_tail": func(f *fleet, t *files.Trouble) {
		kind := f.rng.IntN(len(f.day.Service.OpTypes))
		nodeTrouble(func(x *node.Trouble, t *files.Trouble, on bool) {
			x.Heavy, x.HeavyBy, x.HeavyType = when(on, t.Extra), t.Size, kind
		})(f, t)
	},
	"ageing": func(f *fleet, t *files.Trouble) {
		const steps = 10
		for _, n := range f.someNodes(t) {
			for i := range steps {
				f.later(t.At.Span()+t.Length.Span()*time.Duration(i)/steps, func() {
					n.Set(func(x *node.Trouble) { x.Slow = 1 + (max(t.Size, 1)-1)*float64(i+1)/steps })
				})
			}
			f.later(t.At.Span()+t.Length.Span(), func() { n.Set(func(x *node.Trouble) { x.Slow = 0 }) })
		}
	},
	"pauses": func(f *fleet, t *files.Trouble) {
		every := max(time.Duration(t.Extra*float64(time.Second)), 200*time.Millisecond)
		for _, n := range f.someNodes(t) {
			off := time.Duration(f.rng.Float64() * float64(every))
			for at := off; at < t.Length.Span(); at += every {
				f.later(t.At.Span()+at, func() { n.Pause(time.Duration(t.Size * float64(time.Millisecond))) })
			}
		}
	},
	"deploy":   (*fleet).deploy,
	"flapping": (*fleet).flap,
	"grow": func(f *fleet, t *files.Trouble) {
		for _, n := range f.spare {
			f.later(t.At.Span(), func() {
				if n.Start(true) == nil {
					f.tell(f.day.List.Add.Span(), n, "ready")
				}
			})
		}
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
	"reconnect": func(f *fleet, t *files.Trouble) {
		for _, i := range pick(f, len(f.proxies), t.Size, nil) {
			off := time.Duration(f.rng.Float64() * float64(t.Length))
			f.later(t.At.Span()+off, func() {
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
		f.hot = append(f.hot, hotSpell{t.At.Span(), t.At.Span() + t.Length.Span(),
			time.Duration(t.Extra * float64(time.Second)), t.Size, pick(f, len(f.proxies), part, t.On)})
	},
	"shift": func(f *fleet, t *files.Trouble) {
		zone := f.zoneOf(t)
		var there []int
		for i, at := range f.proxies {
			if at.zone == zone {
				there = append(there, i)
			}
		}
		f.shifts = append(f.shifts, hotSpell{t.At.Span(), t.At.Span() + t.Length.Span(), 2 * time.Second,
			min(max(t.Size, 0.2), 0.9), there})
	},
	"slow_link": func(f *fleet, t *files.Trouble) {
		// One way of some streams stands for a while: what was sent comes late and all at once, or not at all.
		for _, i := range f.someProxies(t) {
			f.at(t, func() {
				for _, p := range f.pilots {
					p.links[i].Lose(1)
				}
			}, func() {
				for _, p := range f.pilots {
					p.links[i].Heal()
				}
			})
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
func nodeTrouble(set func(x *node.Trouble, t *files.Trouble, on bool)) func(*fleet, *files.Trouble) {
	return func(f *fleet, t *files.Trouble) {
		for _, n := range f.someNodes(t) {
			f.at(t, func() { n.Set(func(x *node.Trouble) { set(x, t, true) }) },
				func() { n.Set(func(x *node.Trouble) { set(x, t, false) }) })
		}
	}
}

// at plays a trouble's begin and end.
func (f *fleet) at(t *files.Trouble, begin, end func()) {
	f.later(t.At.Span(), begin)
	f.later(t.At.Span()+t.Length.Span(), end)
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
		if t.Zone == "" || f.nodes[i].At().Zone == t.Zone {
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
	if n.Start(true) == nil && n.Up() {
		f.tell(f.day.List.Add.Span(), n, "ready")
	}
}

// deploy drains, ends and starts nodes anew in batches.
func (f *fleet) deploy(t *files.Trouble) {
	chosen := f.someNodes(t)
	batch := max(1, int(math.Round(t.Size*float64(len(f.nodes)))))
	batches := (len(chosen) + batch - 1) / batch
	drain := time.Duration(max(t.Extra, 0.5) * float64(time.Second))
	for i, n := range chosen {
		at := t.At.Span() + t.Length.Span()*time.Duration(i/batch)/time.Duration(max(batches, 1))
		f.tell(at+f.day.List.Add.Span(), n, "draining")
		f.later(at+drain, func() { n.Set(func(x *node.Trouble) { x.Draining = true }) })
		f.later(at+drain+time.Second, func() { f.bringBack(n) })
	}
}

// flap ends and starts nodes faster than the list hears of it.
func (f *fleet) flap(t *files.Trouble) {
	every := max(time.Duration(max(t.Extra, 1)*float64(time.Second)), 500*time.Millisecond)
	for _, n := range f.someNodes(t) {
		for at := time.Duration(0); at < t.Length.Span(); at += every {
			f.later(t.At.Span()+at, func() {
				n.Stop()
				f.tell(f.day.List.Notice.Span(), n, "gone")
			})
			f.later(t.At.Span()+at+every/2, func() { f.bringBack(n) })
		}
	}
}

// loseZone ends a zone's nodes, with its proxies and pilots where the trouble is large; silently, or as processes die.
func (f *fleet) loseZone(t *files.Trouble) {
	zone := f.zoneOf(t)
	for _, n := range f.nodes {
		if n.At().Zone != f.day.Service.Zones[zone] {
			continue
		}
		f.at(t, func() {
			if t.Extra > 0.5 {
				n.Set(func(x *node.Trouble) { x.Silent = true })
				f.tell(f.day.List.SilentNotice.Span(), n, "gone")
				return
			}
			n.Stop()
			f.tell(f.day.List.Notice.Span(), n, "gone")
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
		inside := n.At().Zone == f.day.Service.Zones[zone]
		deaf := func(p int) bool { return p >= 0 && p < len(f.proxies) && (f.proxies[p].zone == zone) != inside }
		f.at(t, func() { n.Set(func(x *node.Trouble) { x.Deaf = deaf }) }, func() { n.Set(func(x *node.Trouble) { x.Deaf = nil }) })
	}
}

// roll restarts proxies, or pilots, in batches; each is down for a while.
func (f *fleet) roll(t *files.Trouble) {
	down := time.Duration(max(t.Extra, 0.2) * float64(time.Second))
	if len(f.pilots) > 1 && t.Zone == "pilots" {
		for i, at := range f.pilots {
			when := t.At.Span() + t.Length.Span()*time.Duration(i)/time.Duration(len(f.pilots))
			f.later(when, func() { f.killPilot(at) })
			f.later(when+down, func() { f.revivePilot(at) })
		}
		return
	}
	chosen := f.someProxies(t)
	batch := max(1, int(math.Round(t.Size*float64(len(f.proxies)))))
	batches := (len(chosen) + batch - 1) / batch
	for k, i := range chosen {
		when := t.At.Span() + t.Length.Span()*time.Duration(k/batch)/time.Duration(max(batches, 1))
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

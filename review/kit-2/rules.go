package kit2

import (
	"iter"
	"maps"
	"time"
)

// mapKeys returns the keys of a map.
func mapKeys[K comparable, V any](m map[K]V) iter.Seq[K] { return maps.Keys(m) }

// ruleSlack is by how much the limits on sockets are longer (PROTOCOL, "The rules on sockets").
const ruleSlack = 300 * time.Millisecond

// startSlack is the time after the pilot's first answer in which no limit begins.
const startSlack = time.Second

// checkDrain checks the rule on drains for a request that a proxy is about to send; p.mu is held.
func (w *World) checkDrain(p *Proxy, id, request string) {
	if p.stream == nil {
		return
	}
	w.mu.Lock()
	since, out := w.outSince[id]
	w.mu.Unlock()
	if !out {
		return
	}
	for _, at := range []time.Time{p.joinedAt, w.pilotReady.Add(startSlack)} {
		if at.After(since) {
			since = at
		}
	}
	if late := time.Since(since); late > w.Site.DrainGrace+ruleSlack {
		w.Broken("drain: proxy %d sends %s to %s, %v after the pilot was told that it drains or is gone; the grace is %v",
			p.Number, request, id, late.Round(time.Millisecond), w.Site.DrainGrace+ruleSlack)
	}
}

// openSince returns since when the list has shown a ready and warm server that is open to a class of a proxy; false if it
// shows none.
func (w *World) openSince(p *Proxy, c *Class) (since time.Time, open bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, x := range w.list {
		if x.Lifecycle != "up" || c.OwnZone && x.Zone != w.Site.Zones[p.Zone] {
			continue
		}
		warm := time.Time{}
		if x.Started > 0 {
			warm = time.UnixMilli(x.Started).Add(w.Site.Cold)
		}
		if time.Now().Before(warm) {
			continue
		}
		if !open || warm.Before(since) {
			since, open = warm, true
		}
	}
	return since, open
}

// checkEmpty checks, until the world ends, that no joined proxy is without a line to pick for too long.
func (w *World) checkEmpty() {
	reported := map[string]time.Time{}
	for w.sleep(20 * time.Millisecond) {
		for _, p := range w.Proxies {
			p.mu.Lock()
			for i := range w.Site.Classes {
				c := &w.Site.Classes[i]
				lines := p.lines(c)
				key := c.Name + string(rune(p.Number))
				opened, open := w.openSince(p, c)
				if p.stream == nil || len(lines) > 0 || !open {
					if at, ok := reported[key]; ok {
						w.Printf("proxy %d: that ended %v later", p.Number, time.Since(at).Round(10*time.Millisecond))
						delete(reported, key)
					}
					p.emptyAt[c.Name] = time.Time{}
					continue
				}
				if p.emptyAt[c.Name].IsZero() {
					p.emptyAt[c.Name] = time.Now()
				}
				since := p.emptyAt[c.Name]
				for _, at := range []time.Time{opened, w.pilotReady.Add(startSlack)} {
					if at.After(since) {
						since = at
					}
				}
				if _, ok := reported[key]; !ok && time.Since(since) > w.Site.EmptyFor+ruleSlack {
					reported[key] = time.Now()
					w.Broken("nobody without a server: proxy %d (zone %s) has had no line to pick for %s for over %v",
						p.Number, w.Site.Zones[p.Zone], c.Name, w.Site.EmptyFor+ruleSlack)
				}
			}
			p.mu.Unlock()
		}
	}
}

package pilot

import (
	"cmp"
	"log/slog"
	"slices"
	"sync"
	"time"

	"vetchdoor/control"
	"vetchdoor/files"
	"vetchdoor/roster"
)

// applyListUpdate applies an update from the list service: it passes the changes to the module, notifies proxies of servers
// whose address, zone or pack changed, and saves the list.
func (p *Pilot) applyListUpdate(u *roster.Update) {
	if u.Kind == "failed" {
		p.host.Enqueue(control.Listing{Kind: control.Failed})
		return
	}
	var known []roster.Entry
	for _, e := range u.Entries {
		if e.Mode == "gone" {
			// The address, zone and pack are kept, because they are needed to withdraw the endpoint from proxies.
			if old, ok := p.list[e.Endpoint]; ok {
				e.Address, e.Zone, e.Pack = old.Address, old.Zone, old.Pack
			}
		}
		if p.file.Service.ZoneIndex(e.Zone) < 0 {
			p.log.Warn("endpoint in an unknown zone ignored", "endpoint", e.Endpoint, "zone", e.Zone)
			continue
		}
		known = append(known, e)
	}
	kind := control.Changes
	if u.Kind == "full" {
		kind = control.Full
		named := map[control.EndpointID]bool{}
		for _, e := range known {
			named[e.Endpoint] = true
		}
		for id, e := range p.list {
			if !named[id] {
				e.Mode = "gone"
				p.list[id] = e
			}
		}
	}
	var moved []control.EndpointID
	for _, e := range known {
		if old, ok := p.list[e.Endpoint]; ok && (old.Address != e.Address || old.Zone != e.Zone || old.Pack != e.Pack) {
			moved = append(moved, e.Endpoint)
		}
		p.list[e.Endpoint] = e
	}
	p.listVersion, p.listOrigin = u.Version, "list"
	if p.listDelivered = p.listDelivered || len(known) > 0; p.listDelivered {
		p.host.Enqueue(control.Listing{Kind: kind, Entries: p.controlEntries(known)})
	}
	if len(moved) > 0 {
		p.desired.markMoved(moved)
		p.pump()
	}
	if p.listCache != nil {
		p.listCache.save(p.listVersion, p.sortedList())
	}
}

// keepGoneFor is how long an endpoint is kept after it is gone from the list: sums for it arrive late, and a server that
// restarts may be off the list in between.
const keepGoneFor = 30 * time.Second

// forgetGoneEndpoints deletes endpoints that have been gone from the list for keepGoneFor, once no table contains them and they
// are not withdrawn. Otherwise a pilot that runs for months would keep every endpoint that was ever listed.
func (p *Pilot) forgetGoneEndpoints() {
	for id, e := range p.list {
		if e.Mode != "gone" {
			delete(p.goneSince, id)
			continue
		}
		since, marked := p.goneSince[id]
		switch {
		case !marked:
			p.goneSince[id] = p.host.Now()
		case p.host.Now()-since > p.keepGone && p.desired.isUnreferenced(id):
			delete(p.goneSince, id)
			delete(p.list, id)
		}
	}
}

// sortedList returns the listed endpoints that are not gone, sorted by id.
func (p *Pilot) sortedList() []roster.Entry {
	out := make([]roster.Entry, 0, len(p.list))
	for _, e := range p.list {
		if e.Mode != "gone" {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b roster.Entry) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return out
}

// controlEntries converts list entries to the module's type; start times become offsets from the host's epoch.
func (p *Pilot) controlEntries(list []roster.Entry) []control.Entry {
	out := make([]control.Entry, len(list))
	for i, e := range list {
		mode, _ := files.ParseMode(e.Mode) // validated when the list was read
		out[i] = control.Entry{Endpoint: e.Endpoint, Weight: e.Weight, Mode: mode, Started: control.LongAgo,
			Machine: e.Machine, Zone: p.file.Service.ZoneIndex(e.Zone), Pack: e.Pack}
		if e.Started > 0 {
			out[i].Started = time.UnixMilli(e.Started).Sub(p.host.Epoch())
		}
	}
	return out
}

// listCache saves the list to disk on a goroutine of its own. Of several pending versions only the newest is written.
type listCache struct {
	path    string
	pilot   string
	log     *slog.Logger
	mu      sync.Mutex
	pending func() error // writes the newest version of the list; nil if it has been written
	wake    chan struct{}
	done    chan struct{}
}

// newListCache starts the goroutine that writes the list; close stops it.
func newListCache(path, pilot string, log *slog.Logger) *listCache {
	c := &listCache{path: path, pilot: pilot, log: log, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go func() {
		defer close(c.done)
		for range c.wake {
			c.mu.Lock()
			f := c.pending
			c.pending = nil
			c.mu.Unlock()
			if f != nil {
				if err := f(); err != nil {
					c.log.Error("server list not saved to disk", "error", err)
				}
			}
		}
	}()
	return c
}

// save replaces the version to be written next. It does not block.
func (c *listCache) save(version uint64, entries []roster.Entry) {
	c.mu.Lock()
	c.pending = func() error { return roster.Save(c.path, c.pilot, version, entries) }
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// close waits until the last pending version is written.
func (c *listCache) close() {
	close(c.wake)
	<-c.done
}

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

// listed takes in what the list service says.
func (p *Pilot) listed(u *roster.Update) {
	if u.Kind == "failed" {
		p.host.Event(control.Listing{Kind: control.Failed})
		return
	}
	var known []roster.Entry
	for _, e := range u.Entries {
		if e.Mode == "gone" {
			if old, ok := p.list[e.Endpoint]; ok { // where it was is still needed, to keep proxies off it
				e.Address, e.Zone, e.Pack = old.Address, old.Zone, old.Pack
			}
		}
		if p.file.Service.ZoneIndex(e.Zone) < 0 {
			p.log.Warn("an endpoint of a zone that is not known is left out", "endpoint", e.Endpoint, "zone", e.Zone)
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
	p.version, p.fresher = u.Version, "list"
	if p.given = p.given || len(known) > 0; p.given {
		p.host.Event(control.Listing{Kind: kind, Entries: p.entries(known)})
	}
	if len(moved) > 0 {
		p.desired.moved(moved)
		p.pump()
	}
	if p.saver != nil {
		p.saver.save(p.version, p.sortedList())
	}
}

// keepFor is how long an endpoint is kept that is gone: sums of it come late, and one that restarts may be gone meanwhile.
const keepFor = 30 * time.Second

// forget lets go of endpoints that the list names no more, once no table names them and none is withdrawn: a pilot that
// follows releases for months would else keep every endpoint that ever was.
func (p *Pilot) forget() {
	for id, e := range p.list {
		if e.Mode != "gone" {
			delete(p.goneAt, id)
			continue
		}
		since, noted := p.goneAt[id]
		switch {
		case !noted:
			p.goneAt[id] = p.host.Now()
		case p.host.Now()-since > p.keep && p.desired.free(id):
			delete(p.goneAt, id)
			delete(p.list, id)
		}
	}
}

// sortedList is the list as known, by endpoint.
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

// entries turns entries into the module's, wall clock to spans.
func (p *Pilot) entries(list []roster.Entry) []control.Entry {
	out := make([]control.Entry, len(list))
	for i, e := range list {
		mode, _ := files.ParseMode(e.Mode) // checked as it was read
		out[i] = control.Entry{Endpoint: e.Endpoint, Weight: e.Weight, Mode: mode, Started: control.LongAgo,
			Machine: e.Machine, Zone: p.file.Service.ZoneIndex(e.Zone), Pack: e.Pack}
		if e.Started > 0 {
			out[i].Started = time.UnixMilli(e.Started).Sub(p.host.Born())
		}
	}
	return out
}

// saver writes the list to disk beside the loop, the newest only.
type saver struct {
	path  string
	pilot string
	log   *slog.Logger
	mu    sync.Mutex
	next  func() error
	wake  chan struct{}
	done  chan struct{}
}

func newSaver(path, pilot string, log *slog.Logger) *saver {
	s := &saver{path: path, pilot: pilot, log: log, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go func() {
		defer close(s.done)
		for range s.wake {
			s.mu.Lock()
			f := s.next
			s.next = nil
			s.mu.Unlock()
			if f != nil {
				if err := f(); err != nil {
					s.log.Error("the list could not be kept on disk", "error", err)
				}
			}
		}
	}()
	return s
}

func (s *saver) save(version uint64, entries []roster.Entry) {
	s.mu.Lock()
	s.next = func() error { return roster.Save(s.path, s.pilot, version, entries) }
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *saver) close() {
	close(s.wake)
	<-s.done
}

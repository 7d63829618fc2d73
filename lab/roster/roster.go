// Package roster is the stand-in for the list service. It knows only of processes that run, drain or are gone, pushes
// changes as it is told of them, sends the whole list after a gap and fails on demand. Set is the way in; whoever plays
// the day decides how late it is called.
package roster

import (
	"encoding/json"
	"sort"
	"sync"

	"vetchdoor/control"
	list "vetchdoor/roster"
	"vetchdoor/stream"
)

// keep is how many versions of changes are kept for those who ask late.
const keep = 64

// Server is a list service.
type Server struct {
	mu       sync.Mutex
	version  uint64
	entries  map[control.EndpointID]list.Entry
	changes  []list.Update // the newest, oldest first
	watchers map[*watcher]bool
	down     bool
	ln       *stream.Listener
}

type watcher struct {
	s        *Server
	conn     *stream.Conn
	lines    list.LineSplitter
	watching bool
}

// Start listens and serves a first list.
func Start(address string, entries []list.Entry) (*Server, error) {
	return StartOnNet(nil, address, entries)
}

// StartOnNet does so over a net; nil: sockets.
func StartOnNet(over stream.Net, address string, entries []list.Entry) (*Server, error) {
	s := &Server{version: 1, entries: map[control.EndpointID]list.Entry{}, watchers: map[*watcher]bool{}}
	for _, e := range entries {
		s.entries[e.Endpoint] = e
	}
	var err error
	s.ln, err = stream.Listen(over, address, func(c *stream.Conn) stream.Handler {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.down {
			return nil
		}
		w := &watcher{s: s, conn: c}
		s.watchers[w] = true
		return w
	})
	if err != nil {
		return nil, err
	}
	return s, nil
}

// Address is where it listens.
func (s *Server) Address() string { return s.ln.Address() }

// Stop stops it once what it has told is written.
func (s *Server) Stop() { s.ln.Stop() }

// Close stops it at once.
func (s *Server) Close() { s.ln.Close() }

// Set puts entries on the list, or takes off those that are gone, and pushes the change.
func (s *Server) Set(entries ...list.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	u := list.Update{Kind: "changes", Version: s.version, Entries: entries}
	for _, e := range entries {
		if e.Mode == "gone" {
			delete(s.entries, e.Endpoint)
		} else {
			s.entries[e.Endpoint] = e
		}
	}
	if s.changes = append(s.changes, u); len(s.changes) > keep {
		s.changes = s.changes[1:]
	}
	b := line(u)
	for w := range s.watchers {
		if w.watching {
			_ = w.conn.Send(b)
		}
	}
}

// SetDown makes it unreachable, or reachable again.
func (s *Server) SetDown(down bool) {
	s.mu.Lock()
	s.down = down
	var drop []*stream.Conn
	for w := range s.watchers {
		drop = append(drop, w.conn)
	}
	s.mu.Unlock()
	if down {
		for _, c := range drop {
			c.Close()
		}
	}
}

// Entries returns the list, by endpoint.
func (s *Server) Entries() []list.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sorted()
}

func (s *Server) sorted() []list.Entry {
	out := make([]list.Entry, 0, len(s.entries))
	for _, e := range s.entries {
		out = append(out, e)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Endpoint < out[j].Endpoint })
	return out
}

func line(u list.Update) []byte {
	b, err := json.Marshal(u)
	if err != nil {
		panic(err) // plain values always marshal
	}
	return append(b, '\n')
}

func (w *watcher) Data(c *stream.Conn, b []byte) {
	w.lines.Feed(b)
	for {
		text, ok, err := w.lines.Next()
		if err != nil || !ok {
			if err != nil {
				c.Close()
			}
			return
		}
		var ask list.Request
		if json.Unmarshal(text, &ask) != nil {
			c.Close()
			return
		}
		w.answer(ask)
	}
}

func (w *watcher) answer(ask list.Request) {
	s := w.s
	s.mu.Lock()
	defer s.mu.Unlock()
	w.watching = w.watching || ask.Watch
	if first := s.version - uint64(len(s.changes)); ask.Watch && ask.Have >= first && ask.Have <= s.version {
		for _, u := range s.changes[ask.Have-first:] {
			_ = w.conn.Send(line(u))
		}
		return
	}
	_ = w.conn.Send(line(list.Update{Kind: "full", Version: s.version, Entries: s.sorted()}))
}

func (w *watcher) Closed(*stream.Conn) {
	w.s.mu.Lock()
	delete(w.s.watchers, w)
	w.s.mu.Unlock()
}

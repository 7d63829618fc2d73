// Package roster is a stand-in for the list service. It lists the servers that are ready or draining, pushes each
// change to its watchers, sends the whole list to a client that has missed changes, and can be made unreachable.
// Start makes a Server; the test calls Set, and so controls how late the list reflects a change
// of the servers.
package roster

import (
	"encoding/json"
	"sort"
	"sync"

	"vetchdoor/control"
	list "vetchdoor/roster"
	"vetchdoor/stream"
)

// maxKeptChanges is the number of changes kept for clients that reconnect.
const maxKeptChanges = 64

// Server is a running list service.
type Server struct {
	mu       sync.Mutex
	version  uint64
	entries  map[control.EndpointID]list.Entry
	changes  []list.Update // the last changes, oldest first; one for each version
	watchers map[*watcher]bool
	down     bool
	listener *stream.Listener
	fullList []byte // the whole list as it is sent; nil if it has changed since
}

type watcher struct {
	server   *Server
	conn     *stream.Conn
	lines    list.LineSplitter
	watching bool
}

// Start listens on a TCP address and serves a list of entries as version 1.
func Start(address string, entries []list.Entry) (*Server, error) {
	return StartOnNet(nil, address, entries)
}

// StartOnNet is like Start, but listens on the given network; nil selects sockets.
func StartOnNet(network stream.Net, address string, entries []list.Entry) (*Server, error) {
	s := &Server{version: 1, entries: map[control.EndpointID]list.Entry{}, watchers: map[*watcher]bool{}}
	for _, e := range entries {
		s.entries[e.Endpoint] = e
	}
	var err error
	s.listener, err = stream.Listen(network, address, func(c *stream.Conn) stream.Handler {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.down {
			return nil
		}
		w := &watcher{server: s, conn: c}
		s.watchers[w] = true
		return w
	})
	if err != nil {
		return nil, err
	}
	return s, nil
}

// Address returns the address the service listens on.
func (s *Server) Address() string { return s.listener.Address() }

// Stop stops the service once the data sent so far has been written.
func (s *Server) Stop() { s.listener.Stop() }

// Close stops the service at once.
func (s *Server) Close() { s.listener.Close() }

// Set adds or replaces entries, removes those with mode "gone", and pushes the change to the watchers.
func (s *Server) Set(entries ...list.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.fullList = nil
	u := list.Update{Kind: "changes", Version: s.version, Entries: entries}
	for _, e := range entries {
		if e.Mode == "gone" {
			delete(s.entries, e.Endpoint)
		} else {
			s.entries[e.Endpoint] = e
		}
	}
	if s.changes = append(s.changes, u); len(s.changes) > maxKeptChanges {
		s.changes = s.changes[1:]
	}
	b := encodeLine(u)
	for w := range s.watchers {
		if w.watching {
			_ = w.conn.Send(b)
		}
	}
}

// SetDown makes the service unreachable, closing all connections, or reachable again.
func (s *Server) SetDown(down bool) {
	s.mu.Lock()
	s.down = down
	var conns []*stream.Conn
	for w := range s.watchers {
		conns = append(conns, w.conn)
	}
	s.mu.Unlock()
	if down {
		for _, c := range conns {
			c.Close()
		}
	}
}

// Entries returns the entries of the list, sorted by endpoint.
func (s *Server) Entries() []list.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sortedEntries()
}

func (s *Server) sortedEntries() []list.Entry {
	entries := make([]list.Entry, 0, len(s.entries))
	for _, e := range s.entries {
		entries = append(entries, e)
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].Endpoint < entries[j].Endpoint })
	return entries
}

func encodeLine(u list.Update) []byte {
	b, err := json.Marshal(u)
	if err != nil {
		panic(err) // an Update contains only types that can be encoded
	}
	return append(b, '\n')
}

// maxRequestBytes limits the length of a request.
const maxRequestBytes = 4 << 10

func (w *watcher) Data(c *stream.Conn, b []byte) {
	w.lines.Feed(b)
	for {
		text, ok, err := w.lines.Next()
		if err != nil || !ok {
			if err != nil || w.lines.Buffered() > maxRequestBytes {
				c.Close()
			}
			return
		}
		if !c.AwaitSent() {
			return
		}
		var request list.Request
		if json.Unmarshal(text, &request) != nil {
			c.Close()
			return
		}
		w.answer(request)
		c.MessageDone()
	}
}

func (w *watcher) answer(request list.Request) {
	s := w.server
	s.mu.Lock()
	defer s.mu.Unlock()
	w.watching = w.watching || request.Watch
	if first := s.version - uint64(len(s.changes)); request.Watch && request.Have >= first && request.Have <= s.version {
		for _, u := range s.changes[request.Have-first:] {
			_ = w.conn.Send(encodeLine(u))
		}
		return
	}
	if s.fullList == nil {
		s.fullList = encodeLine(list.Update{Kind: "full", Version: s.version, Entries: s.sortedEntries()})
	}
	_ = w.conn.Send(s.fullList)
}

func (w *watcher) Closed(*stream.Conn) {
	w.server.mu.Lock()
	delete(w.server.watchers, w)
	w.server.mu.Unlock()
}

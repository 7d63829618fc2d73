package roster

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"vetchdoor/stream"
)

// Client watches the list of a list service. After a lost connection it dials again, with jitter, and continues from the
// version that it has.
type Client struct {
	Address  string
	Redial   time.Duration // mean wait between dials; 0: one second
	Log      *slog.Logger
	Rand     *rand.Rand
	OnUpdate func(u *Update) // receives updates; calls do not overlap
	Net      stream.Net      // nil: the sockets of the operating system

	mu      sync.Mutex
	conn    *stream.Conn
	current uint64
}

// SetVersion sets the version of the list that is present already. It must be called before Run.
func (c *Client) SetVersion(version uint64) { c.current = version }

// Run watches the list until the context ends.
func (c *Client) Run(ctx context.Context) {
	mean := c.Redial
	if mean <= 0 {
		mean = time.Second
	}
	for ctx.Err() == nil {
		s := &session{client: c, ended: make(chan struct{})}
		conn, err := stream.Dial(c.Net, c.Address, 2*time.Second, s)
		if err == nil {
			c.mu.Lock()
			c.conn = conn
			current := c.current
			c.mu.Unlock()
			c.Log.Info("connected to the list service", "address", c.Address, "have", current)
			_ = conn.Send(encodeRequest(Request{Watch: true, Have: current}))
			c.await(ctx, conn, s)
			c.mu.Lock()
			c.conn = nil
			c.mu.Unlock()
			s.running.Lock()
			//lint:ignore SA2001 the lock only waits until the last call of Data has returned
			s.running.Unlock()
			if ctx.Err() == nil {
				c.Log.Warn("connection to the list service lost; continuing with the last list", "address", c.Address)
			}
		} else {
			c.Log.Warn("cannot connect to the list service; continuing with the last list", "error", err)
		}
		wait := time.Duration(float64(mean) * (0.5 + c.Rand.Float64()))
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
}

// silenceTimeout is how long the service may send nothing before the client asks for the whole list. If the service sends
// nothing for as long after that, the client closes the connection.
const silenceTimeout = 15 * time.Second

// await waits until a connection ends. It closes the connection if the service stays silent after a request, as the
// connection may be half open.
func (c *Client) await(ctx context.Context, conn *stream.Conn, s *session) {
	ticker := time.NewTicker(silenceTimeout)
	defer ticker.Stop()
	for requested := false; ; {
		select {
		case <-s.ended:
			return
		case <-ctx.Done():
			conn.Close()
			return
		case <-ticker.C:
			if s.received.Swap(false) {
				requested = false
				continue
			}
			if requested {
				c.Log.Warn("list service did not answer; reconnecting", "address", c.Address)
				conn.Close()
				return
			}
			requested = true
			_ = conn.Send(encodeRequest(Request{Fetch: true}))
		}
	}
}

// Fetch asks for the whole list once. If the service is not connected, OnUpdate gets an update of kind failed.
func (c *Client) Fetch() {
	c.mu.Lock()
	conn := c.conn
	c.mu.Unlock()
	if conn == nil || conn.Send(encodeRequest(Request{Fetch: true})) != nil {
		go c.OnUpdate(&Update{Kind: "failed"})
	}
}

// encodeRequest encodes a request as one line.
func encodeRequest(request Request) []byte {
	b, err := json.Marshal(request)
	if err != nil {
		panic(err) // a struct of booleans and integers can always be encoded
	}
	return append(b, '\n')
}

// session is one connection to the service. It implements stream.Handler.
type session struct {
	client   *Client
	lines    LineSplitter
	running  sync.Mutex
	received atomic.Bool // data arrived since await last checked
	ended    chan struct{}
}

func (s *session) Data(conn *stream.Conn, b []byte) {
	s.running.Lock()
	defer s.running.Unlock()
	s.received.Store(true)
	s.lines.Feed(b)
	for {
		line, ok, err := s.lines.Next()
		if err == nil && !ok {
			return
		}
		var u *Update
		if err == nil {
			u, err = ParseUpdate(line)
		}
		if err != nil {
			s.client.Log.Warn("invalid message from the list service; reconnecting", "error", err)
			conn.Close()
			return
		}
		s.client.mu.Lock()
		stale := u.Kind == "changes" && u.Version <= s.client.current
		gap := u.Kind == "changes" && u.Version > s.client.current+1
		if u.Kind != "failed" && !stale && !gap {
			s.client.current = u.Version
		}
		s.client.mu.Unlock()
		switch {
		case gap:
			s.client.Log.Warn("list service skipped a version; asking for the whole list", "version", u.Version)
			_ = conn.Send(encodeRequest(Request{Fetch: true}))
		case !stale:
			s.client.OnUpdate(u)
		}
	}
}

func (s *session) Closed(*stream.Conn) { close(s.ended) }

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

// Client follows a list service. It dials again after a break, with jitter, and asks from the version that it has.
type Client struct {
	Address string
	Redial  time.Duration // mean wait between dials; 0: a second
	Log     *slog.Logger
	Rand    *rand.Rand
	Take    func(u *Update) // called from one goroutine at a time
	Net     stream.Net      // nil: sockets

	mu   sync.Mutex
	conn *stream.Conn
	have uint64
}

// Have tells the client which version is held already, before Run.
func (c *Client) Have(version uint64) { c.have = version }

// Run follows the list until the context ends.
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
			have := c.have
			c.mu.Unlock()
			c.Log.Info("list service reached", "address", c.Address, "have", have)
			_ = conn.Send(askLine(Request{Watch: true, Have: have}))
			c.attend(ctx, conn, s)
			c.mu.Lock()
			c.conn = nil
			c.mu.Unlock()
			s.busy.Lock()
			//lint:ignore SA2001 nothing is to be done but to wait until the last call of Data is over
			s.busy.Unlock()
			if ctx.Err() == nil {
				c.Log.Warn("list service lost; the last list stands", "address", c.Address)
			}
		} else {
			c.Log.Warn("list service not reached; the last list stands", "error", err)
		}
		wait := time.Duration(float64(mean) * (0.5 + c.Rand.Float64()))
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
}

// quiet is how long the service may say nothing before it is asked for the whole list, and then until it answers.
const quiet = 15 * time.Second

// attend waits until a connection ends. One that answers no question any more stands half open and is closed.
func (c *Client) attend(ctx context.Context, conn *stream.Conn, s *session) {
	t := time.NewTicker(quiet)
	defer t.Stop()
	for asked := false; ; {
		select {
		case <-s.ended:
			return
		case <-ctx.Done():
			conn.Close()
			return
		case <-t.C:
			if s.heard.Swap(false) {
				asked = false
				continue
			}
			if asked {
				c.Log.Warn("list service does not answer; dialing again", "address", c.Address)
				conn.Close()
				return
			}
			asked = true
			_ = conn.Send(askLine(Request{Fetch: true}))
		}
	}
}

// Fetch asks for the whole list once. Where the service cannot be reached, a failed update answers.
func (c *Client) Fetch() {
	c.mu.Lock()
	conn := c.conn
	c.mu.Unlock()
	if conn == nil || conn.Send(askLine(Request{Fetch: true})) != nil {
		go c.Take(&Update{Kind: "failed"})
	}
}

func askLine(a Request) []byte {
	b, err := json.Marshal(a)
	if err != nil {
		panic(err) // plain values always marshal
	}
	return append(b, '\n')
}

// session is one connection to the service.
type session struct {
	client *Client
	lines  LineSplitter
	busy   sync.Mutex
	heard  atomic.Bool // since attend last looked
	ended  chan struct{}
}

func (s *session) Data(conn *stream.Conn, b []byte) {
	s.busy.Lock()
	defer s.busy.Unlock()
	s.heard.Store(true)
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
			s.client.Log.Warn("list service sent what cannot be read; dialing again", "error", err)
			conn.Close()
			return
		}
		s.client.mu.Lock()
		stale := u.Kind == "changes" && u.Version <= s.client.have
		gap := u.Kind == "changes" && u.Version > s.client.have+1
		if u.Kind != "failed" && !stale && !gap {
			s.client.have = u.Version
		}
		s.client.mu.Unlock()
		switch {
		case gap:
			s.client.Log.Warn("list service skipped a version; asking for the whole list", "version", u.Version)
			_ = conn.Send(askLine(Request{Fetch: true}))
		case !stale:
			s.client.Take(u)
		}
	}
}

func (s *session) Closed(*stream.Conn) { close(s.ended) }

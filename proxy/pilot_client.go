package proxy

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"vetchdoor/control"
	"vetchdoor/files"
	"vetchdoor/fleet"
	"vetchdoor/runtime"
	"vetchdoor/stream"
)

// Timeouts and limits of the stream to a pilot.
const (
	defaultRedialDelay    = 500 * time.Millisecond // mean delay after the first round of failed dials
	defaultSilenceTimeout = 10 * time.Second       // a stream on which the pilot sends nothing for this long is closed
	dialTimeout           = 2 * time.Second        // bound on opening a connection to a pilot
	endTimeout            = time.Second            // time allowed for the pilot to receive what was sent before the stream closes
	checksPerSilence      = 4                      // how often silence is checked for within the silence timeout
	maxQueuedMessages     = 1024                   // maximum number of messages received and not yet applied
	maxQueuedLines        = 4096                   // maximum number of lines in those messages; a single message may have more
)

// pilotClient keeps a stream to a pilot open. It dials pilots of its own zone first, and dials again when the stream ends.
// The tables stay in force while there is no stream.
type pilotClient struct {
	proxy          *Proxy
	log            *slog.Logger
	selector       *fleet.Selector // used by the goroutine of run only
	silenceTimeout time.Duration
	mu             sync.Mutex   // guards current and the redirect field of streams
	current        *pilotStream // the stream on which a pilot has welcomed the proxy; nil if there is none
}

// newPilotClient creates the client from the proxy's settings. run dials the pilots.
func newPilotClient(p *Proxy) *pilotClient {
	var pilots []fleet.Pilot
	for _, pilot := range p.settings.Pilots {
		pilots = append(pilots, fleet.Pilot{Address: pilot.Address, Zone: pilot.Zone})
	}
	redial := durationOr(p.settings.Redial, defaultRedialDelay)
	rng := rand.New(rand.NewPCG(p.rng.Uint64(), p.rng.Uint64()))
	return &pilotClient{
		proxy:          p,
		log:            p.log,
		selector:       fleet.NewSelector(strconv.Itoa(int(p.settings.ID)), p.settings.Zone, pilots, redial, rng),
		silenceTimeout: durationOr(p.settings.SilenceTimeout, defaultSilenceTimeout),
	}
}

// durationOr returns a duration of the settings, or fallback if it is not set.
func durationOr(d files.Duration, fallback time.Duration) time.Duration {
	if d.AsDuration() > 0 {
		return d.AsDuration()
	}
	return fallback
}

// run keeps a stream to a pilot open until ctx ends.
func (c *pilotClient) run(ctx context.Context) {
	for ctx.Err() == nil {
		address, wait := c.selector.Next()
		sleep(ctx, wait)
		if address == "" || ctx.Err() != nil {
			continue
		}
		welcomed, redirect := c.serve(ctx, address)
		if !welcomed {
			c.selector.Failed(redirect)
			continue
		}
		sleep(ctx, c.selector.Disconnected(c.sinceStart(), redirect))
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// sinceStart returns the time since the proxy's start.
func (c *pilotClient) sinceStart() time.Duration { return time.Since(c.proxy.started) }

// serve opens a stream to the pilot at address and returns when it has ended. It reports whether the pilot welcomed the
// proxy, and the address of another pilot if the pilot redirected the proxy there.
func (c *pilotClient) serve(ctx context.Context, address string) (welcomed bool, redirect string) {
	s := newPilotStream(c)
	conn, err := stream.Dial(c.proxy.Net, address, dialTimeout, s)
	if err != nil {
		c.log.Debug("pilot unreachable", "address", address, "error", err)
		return false, ""
	}
	s.setConn(conn)
	_ = conn.Send(c.hello().Append(nil))
	applied := make(chan struct{})
	go func() {
		defer close(applied)
		s.applyQueued()
	}()
	seen := c.watch(ctx, s, conn, address)
	<-s.closed
	<-applied // messages of this stream are applied or dropped before the next hello states what the proxy holds
	welcomed, redirect = c.detach(s)
	if welcomed && !seen { // the stream ended before watch received the welcome
		c.selector.Connected(c.sinceStart(), address)
	}
	if welcomed && ctx.Err() == nil {
		c.log.Info("stream to the pilot ended; tables stay in force", "address", address)
	}
	return welcomed, redirect
}

// hello returns the message that opens a stream: the proxy's identity and what it holds.
func (c *pilotClient) hello() *runtime.Hello {
	p := c.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.current.Load()
	h := &runtime.Hello{
		Proxy:          control.ProxyID(p.settings.ID),
		WireVersion:    runtime.WireVersion,
		Token:          p.token,
		Zone:           p.zone,
		Rate:           p.settings.Rate,
		Pilot:          t.pilot,
		Run:            t.run,
		Number:         t.number,
		Window:         maxQueuedLines,
		Standing:       p.standingServers,
		Digests:        t.digests(),
		BindingsPilot:  t.bindings.pilot,
		BindingsNumber: t.bindings.upTo,
	}
	if h.Pilot == "" {
		h.Pilot = runtime.NoPilot
	}
	return h
}

// watch returns when the stream has ended, or once it has closed the stream because ctx has ended, the pilot has been silent for
// too long, or the preferred pilot has room again. It notifies the selector of the welcome, and reports whether it received one.
func (c *pilotClient) watch(ctx context.Context, s *pilotStream, conn *stream.Conn, address string) (welcomed bool) {
	check := time.NewTicker(c.silenceTimeout / checksPerSilence)
	defer check.Stop()
	welcome := s.welcomed
	for {
		select {
		case <-welcome:
			welcome, welcomed = nil, true
			c.selector.Connected(c.sinceStart(), address)
		case <-s.closed:
			return welcomed
		case <-ctx.Done():
			conn.Close()
			return welcomed
		case <-check.C:
			if c.silent(s, address) || c.preferredHasRoom() {
				conn.Close()
				return welcomed
			}
		}
	}
}

// silent reports whether the pilot has sent nothing for longer than the silence timeout.
func (c *pilotClient) silent(s *pilotStream, address string) bool {
	silence := s.silence()
	if silence <= c.silenceTimeout {
		return false
	}
	c.log.Warn("no data from the pilot; closing the stream", "address", address, "for", silence)
	return true
}

// preferredHasRoom probes the preferred pilot if a probe is due, and reports whether that pilot has room. If so, it is
// dialled next.
func (c *pilotClient) preferredHasRoom() bool {
	preferred, due := c.selector.ProbeDue(c.sinceStart())
	if !due || !c.hasRoom(preferred) {
		return false
	}
	c.log.Info("preferred pilot has room again; reconnecting", "address", preferred)
	c.selector.Reset()
	return true
}

// join makes s the current stream. It returns false if s has already ended.
func (c *pilotClient) join(s *pilotStream, conn *stream.Conn, welcome runtime.Welcome) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if isClosed(s.closed) {
		return false
	}
	s.welcome = welcome
	s.setConn(conn)
	close(s.welcomed)
	c.current = s
	return true
}

// detach removes a stream that has ended. It reports whether the pilot had welcomed the proxy, and where the pilot
// redirected it.
func (c *pilotClient) detach(s *pilotStream) (welcomed bool, redirect string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == s {
		c.current = nil
	}
	return isClosed(s.welcomed), s.redirect
}

// joinedStream returns the stream on which a pilot has welcomed the proxy; nil if there is none.
func (c *pilotClient) joinedStream() *pilotStream {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

// joined reports whether a pilot has welcomed the proxy.
func (c *pilotClient) joined() bool { return c.joinedStream() != nil }

// send sends a block to the pilot that has welcomed the proxy. Without such a pilot the block is dropped.
func (c *pilotClient) send(block []byte) {
	if s := c.joinedStream(); s != nil {
		_ = s.conn.Send(block)
	}
}

// end closes the stream once everything sent has been written. It returns when the stream has ended, or after endTimeout.
func (c *pilotClient) end() {
	s := c.joinedStream()
	if s == nil {
		return
	}
	s.conn.CloseGracefully()
	select {
	case <-s.closed:
	case <-time.After(endTimeout):
	}
}

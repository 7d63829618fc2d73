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

const (
	defaultRedial    = 500 * time.Millisecond // mean wait after the first round of dials
	defaultSilence   = 10 * time.Second       // after which a pilot that sends nothing is given up
	dialTimeout      = 2 * time.Second
	endTimeout       = time.Second // for a pilot to take what was sent before the stream ends
	checksPerSilence = 4           // how often silence is checked for within the time that it may last
	queueLength      = 1024        // messages received and not yet applied
	windowLines      = 4096        // lines of them; a single message may be larger
)

// orders keeps a stream to a pilot up: it dials one, in its own zone first, and dials anew when the stream ends. The tables
// stay in force while there is no stream.
type orders struct {
	proxy       *Proxy
	log         *slog.Logger
	selector    *fleet.Selector // the dialler's own
	silentAfter time.Duration
	mu          sync.Mutex
	current     *pilotStream // the stream that has been welcomed
}

func newOrders(p *Proxy) *orders {
	var pilots []fleet.Pilot
	for _, pilot := range p.file.Pilots {
		pilots = append(pilots, fleet.Pilot{Address: pilot.Address, Zone: pilot.Zone})
	}
	redial := spanOr(p.file.Redial, defaultRedial)
	rng := rand.New(rand.NewPCG(p.rng.Uint64(), p.rng.Uint64()))
	return &orders{
		proxy:       p,
		log:         p.log,
		selector:    fleet.NewSelector(strconv.Itoa(int(p.file.ID)), p.file.Zone, pilots, redial, rng),
		silentAfter: spanOr(p.file.SilenceTimeout, defaultSilence),
	}
}

// spanOr is a time of the settings, or the fallback where none is given.
func spanOr(d files.Duration, fallback time.Duration) time.Duration {
	if d.AsDuration() > 0 {
		return d.AsDuration()
	}
	return fallback
}

// run keeps a stream up until the context ends.
func (o *orders) run(ctx context.Context) {
	for ctx.Err() == nil {
		address, wait := o.selector.Next()
		sleep(ctx, wait)
		if address == "" || ctx.Err() != nil {
			continue
		}
		welcomed, redirect := o.serve(ctx, address)
		if !welcomed {
			o.selector.Failed(redirect)
			continue
		}
		sleep(ctx, o.selector.Disconnected(o.now(), redirect))
	}
}

// sleep waits for a time, or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// now is the time since the proxy's start.
func (o *orders) now() time.Duration { return time.Since(o.proxy.started) }

// serve holds one stream until it ends. It returns whether the pilot had welcomed this proxy, and the address of the pilot that
// it redirected the proxy to.
func (o *orders) serve(ctx context.Context, address string) (welcomed bool, redirect string) {
	s := newPilotStream(o)
	conn, err := stream.Dial(o.proxy.Net, address, dialTimeout, s)
	if err != nil {
		o.log.Debug("pilot not reached", "address", address, "error", err)
		return false, ""
	}
	s.setConn(conn)
	_ = conn.Send(o.hello().Append(nil))
	applied := make(chan struct{})
	go func() {
		defer close(applied)
		s.applyQueued()
	}()
	seen := o.watch(ctx, s, conn, address)
	<-s.closed
	<-applied // what was taken in of an old stream is applied or dropped before a new hello says what is held
	welcomed, redirect = o.release(s)
	if welcomed && !seen { // the stream ended before watch saw the welcome
		o.selector.Connected(o.now(), address)
	}
	if welcomed && ctx.Err() == nil {
		o.log.Info("stream to the pilot broke; tables stand", "address", address)
	}
	return welcomed, redirect
}

// hello says who this proxy is and what it holds.
func (o *orders) hello() *runtime.Hello {
	p := o.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.now.Load()
	h := &runtime.Hello{
		Proxy:    control.ProxyID(p.file.ID),
		Wire:     runtime.Wire,
		Token:    p.token,
		Zone:     p.zone,
		Rate:     p.file.Rate,
		Pilot:    t.pilot,
		Run:      t.run,
		Number:   t.number,
		Window:   windowLines,
		Standing: p.standing,
		Digests:  t.digests(),
		Bound:    t.bindings.pilot,
		BoundTo:  t.bindings.upTo,
	}
	if h.Pilot == "" {
		h.Pilot = runtime.NoPilot
	}
	return h
}

// watch returns when a stream has ended, or has been closed: because the context ended, its pilot went silent, or the preferred
// pilot has room again. It tells the selector of the welcome, and returns whether it saw one.
func (o *orders) watch(ctx context.Context, s *pilotStream, conn *stream.Conn, address string) (welcomed bool) {
	check := time.NewTicker(o.silentAfter / checksPerSilence)
	defer check.Stop()
	welcome := s.welcomed
	for {
		select {
		case <-welcome:
			welcome, welcomed = nil, true
			o.selector.Connected(o.now(), address)
		case <-s.closed:
			return welcomed
		case <-ctx.Done():
			conn.Close()
			return welcomed
		case <-check.C:
			if o.silent(s, address) || o.preferredHasRoom() {
				conn.Close()
				return welcomed
			}
		}
	}
}

// silent tells whether a stream's pilot has sent nothing for too long.
func (o *orders) silent(s *pilotStream, address string) bool {
	silence := s.silence()
	if silence <= o.silentAfter {
		return false
	}
	o.log.Warn("pilot went silent", "address", address, "for", silence)
	return true
}

// preferredHasRoom probes the preferred pilot if that is due. If it has room, it is dialled next.
func (o *orders) preferredHasRoom() bool {
	preferred, due := o.selector.ProbeDue(o.now())
	if !due || !o.hasRoom(preferred) {
		return false
	}
	o.log.Info("the first choice of pilots is there again", "address", preferred)
	o.selector.Reset()
	return true
}

// join makes a stream the current one, unless it has ended meanwhile and the dialler has done with it.
func (o *orders) join(s *pilotStream, conn *stream.Conn, welcome runtime.Welcome) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if isClosed(s.closed) {
		return false
	}
	s.welcome = welcome
	s.setConn(conn)
	close(s.welcomed)
	o.current = s
	return true
}

// release drops a stream that has ended, and returns whether its pilot had welcomed this proxy and where it redirected it to.
func (o *orders) release(s *pilotStream) (welcomed bool, redirect string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.current == s {
		o.current = nil
	}
	return isClosed(s.welcomed), s.redirect
}

// joinedStream is the stream of the pilot that has welcomed the proxy; nil: there is none.
func (o *orders) joinedStream() *pilotStream {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.current
}

// joined tells whether a pilot has welcomed the proxy.
func (o *orders) joined() bool { return o.joinedStream() != nil }

// send sends a block to the pilot that has welcomed the proxy; without one it is dropped.
func (o *orders) send(block []byte) {
	if s := o.joinedStream(); s != nil {
		_ = s.conn.Send(block)
	}
}

// end closes the stream once what was sent is written, and returns when it has ended or its pilot takes nothing.
func (o *orders) end() {
	s := o.joinedStream()
	if s == nil {
		return
	}
	s.conn.CloseGracefully()
	select {
	case <-s.closed:
	case <-time.After(endTimeout):
	}
}

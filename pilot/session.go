package pilot

import (
	"maps"
	"slices"
	"time"

	"vetchdoor/control"
	"vetchdoor/runtime"
	"vetchdoor/tenancy"
)

// session is the state of one joined proxy within the pilot's current run. It is kept for resumeWithin after the proxy's stream
// breaks, so that a proxy that reconnects in time resumes it.
type session struct {
	id               control.ProxyID
	token            string // drawn when the proxy starts; distinguishes proxies configured with the same number
	zone             int
	rate             float64                 // ops per second that the proxy usually gets
	windowLines      int                     // most lines that may be unconfirmed, unless it is a single message
	conn             *connection             // nil while the proxy is disconnected
	generation       int                     // number of connects and disconnects, so that the timer of an earlier disconnect is ignored
	unconfirmed      []outgoing              // messages sent and not confirmed, oldest first
	firstSentAt      time.Duration           // when the first message was sent; valid once one was
	confirmedAny     bool                    // the proxy has confirmed a message, on this stream or an earlier one
	unconfirmedLines int                     // total number of lines of the messages in unconfirmed
	digests          []uint64                // digests, by op type, of the tables that the proxy held when it joined
	standing         bool                    // the proxy held only its standing tables when it joined
	announced        bool                    // control.Joined was queued for the module
	bindings         []tenancy.BindingUpdate // binding updates of the mover that are stored but not sent
}

// newSession starts a session with the tables that the proxy reports in its hello.
func (p *Pilot) newSession(h *runtime.Hello) *session {
	standing := h.Pilot == runtime.NoPilot
	s := &session{id: h.Proxy, token: h.Token, zone: h.Zone, rate: h.Rate, windowLines: max(h.Window, 1), digests: h.Digests,
		standing: standing}
	p.sessions[h.Proxy] = s
	last := p.lastNumbers[h.Proxy]
	if p.holdsThisRun(h) {
		last = max(last, h.Number)
	}
	p.desired.join(h.Proxy, h.Standing, !standing, last)
	p.desired.proxies[h.Proxy].heldDigests = h.Digests
	return s
}

// reconcileShare is the share of the drain grace that the pilot waits for a proxy to send the contents of its tables. The proxy
// is not announced to the module, and so gets no withdrawals, in that time. A proxy that does not send them gets whole tables.
const reconcileShare = 0.25

// reconcile asks a proxy for those of its tables whose contents are not known, and announces it to the module once they are
// known or the wait is over.
func (p *Pilot) reconcile(s *session) {
	if s.conn == nil { // the session was dropped in welcome because the channel overflowed
		return
	}
	unknown := p.desired.unknownDigests(s.digests)
	if len(unknown) == 0 {
		p.announce(s)
		return
	}
	_ = s.conn.stream.Send(runtime.TableRequest(unknown).Append(nil))
	wait := max(time.Duration(reconcileShare*float64(p.config.DrainGrace)), time.Millisecond)
	time.AfterFunc(wait, func() { p.post(func() { p.announce(s) }) })
}

// announce queues control.Joined for the module, once per session.
func (p *Pilot) announce(s *session) {
	if s.announced || p.sessions[s.id] != s {
		return
	}
	s.announced = true
	p.host.Enqueue(control.Joined{Proxy: s.id, Zone: s.zone, Rate: s.rate, Standing: s.standing})
}

// resume confirms the messages up to applied and puts the later ones back into the channel. It reports false if messages are
// missing or do not fit, so that the session cannot be resumed.
func (p *Pilot) resume(s *session, applied uint64) bool {
	for len(s.unconfirmed) > 0 && s.unconfirmed[0].Number <= applied {
		p.confirm(s, s.unconfirmed[0]) // the proxy applied the message, but its confirmation was lost with the stream
	}
	if len(s.unconfirmed) > 0 && s.unconfirmed[0].Number != applied+1 {
		return false
	}
	if !p.channel.requeue(s.unconfirmed) {
		return false
	}
	s.unconfirmed, s.unconfirmedLines = nil, 0
	return true
}

// confirm records that m, the oldest unconfirmed message, is in force at the proxy.
func (p *Pilot) confirm(s *session, m outgoing) {
	s.unconfirmed = s.unconfirmed[1:]
	s.confirmedAny = true
	s.unconfirmedLines -= m.Lines
	p.desired.confirmNotices(m)
	p.confirmBindings(s, m)
	if m.Checkpoint >= 0 {
		p.records.recordInForce(s.id, m.Checkpoint, p.host.Now()-m.CreatedAt)
		p.host.Enqueue(control.InForce{Proxy: s.id, Checkpoint: m.Checkpoint, Took: p.host.Now() - m.CreatedAt})
	}
}

// handleInForce confirms all messages up to the number that a proxy reports as in force.
func (p *Pilot) handleInForce(s *session, f runtime.Confirmation) {
	if f.Run != p.run {
		return
	}
	for len(s.unconfirmed) > 0 && s.unconfirmed[0].Number <= f.Number {
		p.confirm(s, s.unconfirmed[0])
	}
	p.pump()
}

// firstConfirmationTimeout is how long a proxy that has never confirmed a message may take to confirm its first one, while
// there are more proxies than there should be. Lines that are not confirmed take up the module's backlog, in which withdrawals wait.
const firstConfirmationTimeout = 2 * time.Second

// hasStrangers reports whether more proxies have joined than there are, so that some are no proxies.
func (p *Pilot) hasStrangers() bool { return len(p.sessions) > p.file.Proxies }

// dropUnconfirming drops, while strangers are among the proxies, the sessions of those that take too long to confirm their
// first message.
func (p *Pilot) dropUnconfirming() {
	if !p.hasStrangers() {
		return
	}
	const slowest = 4 // times the longest usual delay
	timeout := min(p.silenceTimeout, max(firstConfirmationTimeout, slowest*p.config.MaxPushDelay))
	for _, id := range slices.Sorted(maps.Keys(p.sessions)) {
		s := p.sessions[id]
		if s.conn == nil || s.confirmedAny || len(s.unconfirmed) == 0 || p.host.Now()-s.firstSentAt <= timeout {
			continue
		}
		p.log.Warn("proxy does not confirm what it is sent; session dropped, it must join again", "proxy", s.id,
			"remote", s.conn.stream.RemoteAddress(), "lines", s.unconfirmedLines)
		p.drop(s)
	}
}

// disconnected handles the end of a stream. The session is dropped unless the proxy reconnects within resumeWithin. While
// strangers are among the proxies, one that has never confirmed a message is dropped at once.
func (p *Pilot) disconnected(c *connection) {
	delete(p.connections, c)
	s := p.sessions[c.id]
	if !c.joined || s == nil || s.conn != c {
		return
	}
	s.conn = nil
	s.generation++
	run, generation := p.run, s.generation
	p.log.Info("stream of a proxy ended", "proxy", s.id)
	if !s.confirmedAny && p.hasStrangers() {
		p.drop(s)
		return
	}
	time.AfterFunc(p.resumeWithin, func() {
		p.post(func() {
			if p.run == run && p.sessions[s.id] == s && s.conn == nil && s.generation == generation {
				p.drop(s)
			}
		})
	})
}

// drop ends a proxy's session and discards its queued messages. The module gets control.Left if the proxy was announced.
func (p *Pilot) drop(s *session) {
	if p.sessions[s.id] != s {
		return
	}
	delete(p.sessions, s.id)
	if s.conn != nil {
		delete(p.connections, s.conn)
		s.conn.stream.Close()
		s.conn = nil
	}
	p.channel.dropProxy(s.id)
	p.lastNumbers[s.id] = p.desired.leave(s.id)
	p.intake.dropProxy(s.id)
	p.markAway(s.id)
	p.records.recordLeft(s.id)
	if s.announced {
		p.host.Enqueue(control.Left{Proxy: s.id})
	}
}

// markAway reports to the mover that a proxy cannot be reached.
func (p *Pilot) markAway(id control.ProxyID) {
	if p.mover != nil {
		p.mover.ProxyLeft(tenancy.ProxyID(id))
	}
}

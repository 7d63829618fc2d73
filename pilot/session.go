package pilot

import (
	"time"

	"vetchdoor/control"
	"vetchdoor/runtime"
	"vetchdoor/tenancy"
)

// session is one proxy's standing with this run of the pilot. It outlives a break of its stream by a while, so that a
// proxy that comes straight back goes on where it was.
type session struct {
	id          control.ProxyID
	token       string
	zone        int
	rate        float64
	window      int
	conn        *connection // nil while away
	generation  int         // counts joins and breaks, so that a timer of an earlier break does nothing
	sent        []outgoing
	unconfirmed int                     // lines of sent
	digests     []uint64                // of the tables that it joined with
	standing    bool                    // it joined with its standing tables alone
	announced   bool                    // the module was told that it joined
	bindings    []tenancy.BindingUpdate // of tenants, to be sent
}

// newSession begins a proxy's session with the tables that it holds.
func (p *Pilot) newSession(h *runtime.Hello) *session {
	standing := h.Pilot == runtime.NoPilot
	s := &session{id: h.Proxy, token: h.Token, zone: h.Zone, rate: h.Rate, window: max(h.Window, 1), digests: h.Digests, standing: standing}
	p.sessions[h.Proxy] = s
	last := p.numbers[h.Proxy]
	if p.holdsThisRun(h) {
		last = max(last, h.Number)
	}
	p.desired.join(h.Proxy, h.Standing, !standing, last)
	p.desired.proxies[h.Proxy].held = h.Digests
	return s
}

// reconcileShare is the part of the drains' grace for which a proxy's tables are waited for before it counts as joined: it is told
// of no drain meanwhile. One that does not send them is laid its tables whole.
const reconcileShare = 0.25

// reconcile asks a proxy for what it holds, if nobody has told it yet, and has the module told of it.
func (p *Pilot) reconcile(s *session) {
	if s.conn == nil { // its channel overflowed while it was welcomed
		return
	}
	unknown := p.desired.unknown(s.digests)
	if len(unknown) == 0 {
		p.announce(s)
		return
	}
	_ = s.conn.stream.Send(runtime.TableRequest(unknown).Append(nil))
	wait := max(time.Duration(reconcileShare*float64(p.facts.DrainGrace)), time.Millisecond)
	time.AfterFunc(wait, func() { p.post(func() { p.announce(s) }) })
}

// announce tells the module that a proxy joined.
func (p *Pilot) announce(s *session) {
	if s.announced || p.sessions[s.id] != s {
		return
	}
	s.announced = true
	p.host.Event(control.Joined{Proxy: s.id, Zone: s.zone, Rate: s.rate, Standing: s.standing})
}

// resume puts what the proxy has not applied back into the channel; false if it cannot go on where it was.
func (p *Pilot) resume(s *session, applied uint64) bool {
	for len(s.sent) > 0 && s.sent[0].Number <= applied {
		p.confirm(s, s.sent[0]) // applied; the word of it was lost
	}
	if len(s.sent) > 0 && s.sent[0].Number != applied+1 {
		return false
	}
	if !p.channel.again(s.sent) {
		return false
	}
	s.sent, s.unconfirmed = nil, 0
	return true
}

// confirm takes the first message sent as in force.
func (p *Pilot) confirm(s *session, m outgoing) {
	s.sent = s.sent[1:]
	s.unconfirmed -= m.Lines
	p.desired.confirmed(m)
	p.placed(s, m)
	if m.Checkpoint >= 0 {
		p.records.inForce(s.id, m.Checkpoint, p.host.Now()-m.CreatedAt)
		p.host.Event(control.InForce{Proxy: s.id, Checkpoint: m.Checkpoint, Took: p.host.Now() - m.CreatedAt})
	}
}

func (p *Pilot) handleInForce(s *session, f runtime.Confirmation) {
	if f.Run != p.run {
		return
	}
	for len(s.sent) > 0 && s.sent[0].Number <= f.Number {
		p.confirm(s, s.sent[0])
	}
	p.pump()
}

// disconnected notes that a stream ended. The proxy has a while to come back before it counts as gone.
func (p *Pilot) disconnected(c *connection) {
	delete(p.connections, c)
	s := p.sessions[c.id]
	if !c.joined || s == nil || s.conn != c {
		return
	}
	s.conn = nil
	s.generation++
	run, generation := p.run, s.generation
	p.log.Info("stream of a proxy broke", "proxy", s.id)
	time.AfterFunc(p.resumeWithin, func() {
		p.post(func() {
			if p.run == run && p.sessions[s.id] == s && s.conn == nil && s.generation == generation {
				p.drop(s)
			}
		})
	})
}

// drop ends a proxy's session: its messages are lost, and it counts as gone until it joins anew.
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
	p.channel.drop(s.id)
	p.numbers[s.id] = p.desired.leave(s.id)
	p.intake.forget(s.id)
	p.away(s.id)
	p.records.left(s.id)
	if s.announced {
		p.host.Event(control.Left{Proxy: s.id})
	}
}

// away tells the mover that a proxy cannot be told anything now.
func (p *Pilot) away(id control.ProxyID) {
	if p.mover != nil {
		p.mover.Left(tenancy.ProxyID(id))
	}
}

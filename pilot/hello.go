package pilot

import (
	"fmt"
	"time"

	"vetchdoor/control"
	"vetchdoor/fleet"
	"vetchdoor/runtime"
	"vetchdoor/tenancy"
)

// admission returns the admission policy in the pilot's present state. Without a server list the pilot admits proxies only if
// it has no peers.
func (p *Pilot) admission() *fleet.Admission {
	a := &fleet.Admission{MaxProxies: p.file.MaxProxies, Leaving: p.leaving, Ready: p.listOrigin != "" || len(p.file.Peers) == 0}
	for _, peer := range p.file.Peers {
		a.Peers = append(a.Peers, peer.Address)
	}
	return a
}

// answerRoomProbe answers a proxy that asks whether it would be admitted, and ends the stream.
func (p *Pilot) answerRoomProbe(c *connection, probe runtime.RoomProbe) {
	if decision := p.admission().Admit(proxyName(probe.Proxy), len(p.sessions)); !decision.Admitted {
		p.sendGoAway(c, runtime.GoAway{Reason: decision.Reason, Redirect: decision.Redirect})
		return
	}
	delete(p.connections, c)
	_ = c.stream.Send([]byte(runtime.Room + "\n"))
	c.stream.CloseGracefully()
}

// handleHello resumes a proxy's session if it can, and otherwise starts a new one, redirects the proxy or refuses the stream.
func (p *Pilot) handleHello(c *connection, h *runtime.Hello) {
	if h.Zone >= len(p.file.Service.Zones) {
		p.reject(c, fmt.Sprintf("zone %d is none of the %d", h.Zone, len(p.file.Service.Zones)))
		return
	}
	if p.holdsThisPilot(h) && h.Run > p.run {
		p.adoptLaterRun(c, h.Run)
		return
	}
	s := p.sessions[h.Proxy]
	if decision := p.admission().Admit(proxyName(h.Proxy), len(p.sessions)); !decision.Admitted && (s == nil || p.leaving) {
		p.redirect(c, h.Proxy, decision)
		return
	}
	if s != nil && s.token != h.Token && s.conn != nil {
		p.reject(c, fmt.Sprintf("proxy %d is joined already, as another", h.Proxy))
		return
	}
	p.closeHalfOpen(s)
	resumed := s != nil && s.token == h.Token && p.holdsThisRun(h) && p.resume(s, h.Number)
	if s != nil && !resumed {
		p.drop(s)
	}
	if !resumed {
		s = p.newSession(h)
	}
	p.welcome(c, s, h, resumed)
}

// holdsThisPilot reports whether the last message that a proxy applied came from this pilot.
func (p *Pilot) holdsThisPilot(h *runtime.Hello) bool { return h.Pilot == p.file.Name }

// holdsThisRun reports whether the last message that a proxy applied came from this pilot's current run.
func (p *Pilot) holdsThisRun(h *runtime.Hello) bool { return p.holdsThisPilot(h) && h.Run == p.run }

// redirect refuses a proxy that is not admitted and names the pilot to dial instead, if one is known.
func (p *Pilot) redirect(c *connection, id control.ProxyID, decision fleet.Decision) {
	p.redirected++
	p.log.Info("proxy not admitted", "proxy", id, "reason", decision.Reason, "try", decision.Redirect)
	p.sendGoAway(c, runtime.GoAway{Reason: decision.Reason, Redirect: decision.Redirect})
}

// closeHalfOpen closes the old connection of a session whose proxy has reconnected.
func (p *Pilot) closeHalfOpen(s *session) {
	if s == nil || s.conn == nil {
		return
	}
	old := s.conn
	s.conn = nil
	delete(p.connections, old)
	old.stream.Close()
}

// welcome attaches a connection to its session, answers the hello and sends the messages queued for the proxy.
func (p *Pilot) welcome(c *connection, s *session, h *runtime.Hello, resumed bool) {
	c.id, c.joined = h.Proxy, true
	s.conn = c
	s.generation++
	if resumed {
		p.resumed++
	} else {
		p.notifyMoverJoined(h)
	}
	p.records.recordJoined(s, resumed)
	_ = c.stream.Send(runtime.Welcome{Pilot: p.file.Name, Run: p.run, WireVersion: runtime.WireVersion, Resumed: resumed}.Append(nil))
	p.log.Info("proxy joined", "proxy", s.id, "zone", s.zone, "resumed", resumed)
	p.pump()
	if !resumed {
		p.reconcile(s)
	}
}

// notifyMoverJoined reports to the mover that a proxy joined, and up to which number it has this pilot's bindings.
func (p *Pilot) notifyMoverJoined(h *runtime.Hello) {
	confirmedTo := uint64(0)
	if h.BindingsPilot == p.file.Name {
		confirmedTo = h.BindingsNumber
	}
	p.stepMover(tenancy.Event{Joined: &tenancy.Joined{Proxy: tenancy.ProxyID(h.Proxy), AppliedUpTo: confirmedTo}})
}

// adoptLaterRun restarts the pilot with a run number above the one that a proxy has seen, because a proxy refuses older runs.
// Run numbers are start times, so this happens when the clock was set back. Each restart makes all proxies join again, so a
// further report within the silence timeout is refused.
func (p *Pilot) adoptLaterRun(c *connection, run uint64) {
	if run > latestPlausibleRun(time.Now()) || time.Since(p.lastRunAdopted) < p.silenceTimeout {
		p.reject(c, fmt.Sprintf("it holds run %d of this pilot, whose run is %d", run, p.run))
		return
	}
	p.log.Warn("proxy has seen a later run of this pilot, so the clock was set back; restarting above it", "run", run)
	p.lastRunAdopted, p.run = time.Now(), run
	p.restart("clock")
}

// maxClockStep is how far a clock that runs may be set back.
const maxClockStep = 24 * time.Hour

var (
	// clockUnset is a time that a clock shows only if it was never set, as on a machine that keeps no time while it is off.
	clockUnset = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)
	// farFuture bounds the run numbers that a proxy may report to a pilot whose clock was never set.
	farFuture = time.Date(2255, time.January, 1, 0, 0, 0, 0, time.UTC)
)

// latestPlausibleRun returns the highest run number, a start time in microseconds since 1970, that a proxy can have seen. It
// moves with the clock: a run that was adopted once is plausible after the next restart of the pilot too.
func latestPlausibleRun(now time.Time) uint64 {
	if now.Before(clockUnset) {
		return uint64(farFuture.UnixMicro())
	}
	return uint64(now.Add(maxClockStep).UnixMicro())
}

package pilot

import (
	"fmt"
	"time"

	"vetchdoor/control"
	"vetchdoor/fleet"
	"vetchdoor/runtime"
	"vetchdoor/tenancy"
)

// admission decides which proxies this pilot admits now. Without a list it admits them only where they have no other pilot.
func (p *Pilot) admission() *fleet.Admission {
	a := &fleet.Admission{MaxProxies: p.file.MostProxies, Leaving: p.leaving, Ready: p.fresher != "" || len(p.file.Peers) == 0}
	for _, peer := range p.file.Peers {
		a.Peers = append(a.Peers, peer.Address)
	}
	return a
}

// answerRoomProbe says whether a proxy that probes for room would be let in.
func (p *Pilot) answerRoomProbe(c *connection, probe runtime.RoomProbe) {
	if decision := p.admission().Admit(proxyName(probe.Proxy), len(p.sessions)); !decision.Admitted {
		p.sendAway(c, runtime.GoAway{Reason: decision.Reason, Redirect: decision.Redirect})
		return
	}
	delete(p.connections, c)
	_ = c.stream.Send([]byte(runtime.Room + "\n"))
	c.stream.CloseGracefully()
}

// handleHello lets a proxy join, or go on where it was.
func (p *Pilot) handleHello(c *connection, h *runtime.Hello) {
	if h.Zone >= len(p.file.Service.Zones) {
		p.reject(c, fmt.Sprintf("zone %d is none of the %d", h.Zone, len(p.file.Service.Zones)))
		return
	}
	if p.holdsOurs(h) && h.Run > p.run {
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

// holdsOurs tells whether what a proxy applied last is a message of this pilot.
func (p *Pilot) holdsOurs(h *runtime.Hello) bool { return h.Pilot == p.file.Name }

// holdsThisRun tells whether what a proxy applied last is a message of this pilot's present run.
func (p *Pilot) holdsThisRun(h *runtime.Hello) bool { return p.holdsOurs(h) && h.Run == p.run }

// redirect sends a proxy that is not admitted to another pilot.
func (p *Pilot) redirect(c *connection, id control.ProxyID, decision fleet.Decision) {
	p.redirected++
	p.log.Info("proxy sent to another pilot", "proxy", id, "reason", decision.Reason, "try", decision.Redirect)
	p.sendAway(c, runtime.GoAway{Reason: decision.Reason, Redirect: decision.Redirect})
}

// closeHalfOpen closes the connection of a session whose proxy has come back on another.
func (p *Pilot) closeHalfOpen(s *session) {
	if s == nil || s.conn == nil {
		return
	}
	old := s.conn
	s.conn = nil
	delete(p.connections, old)
	old.stream.Close()
}

// welcome joins a connection to its session and sends what waits for its proxy.
func (p *Pilot) welcome(c *connection, s *session, h *runtime.Hello, resumed bool) {
	c.id, c.joined = h.Proxy, true
	s.conn = c
	s.generation++
	if resumed {
		p.resumed++
	} else {
		p.tellMover(h)
	}
	p.records.joined(s, resumed)
	_ = c.stream.Send(runtime.Welcome{Pilot: p.file.Name, Run: p.run, Wire: runtime.Wire, Resumed: resumed}.Append(nil))
	p.log.Info("proxy joined", "proxy", s.id, "zone", s.zone, "resumed", resumed)
	p.pump()
	if !resumed {
		p.reconcile(s)
	}
}

// tellMover tells the mover that a proxy joined, and up to which number it has this pilot's bindings.
func (p *Pilot) tellMover(h *runtime.Hello) {
	has := uint64(0)
	if h.Bound == p.file.Name {
		has = h.BoundTo
	}
	p.move(tenancy.Event{Joined: &tenancy.Joined{Proxy: tenancy.ProxyID(h.Proxy), Has: has}})
}

// adoptLaterRun goes on beyond a run of this pilot that a proxy holds, which refuses all older ones: the clock was set back since.
// One that claims so again and again is turned away, for each time all join anew.
func (p *Pilot) adoptLaterRun(c *connection, run uint64) {
	if run > maxRun || time.Since(p.outran) < p.silent {
		p.reject(c, fmt.Sprintf("it holds run %d of this pilot, whose run is %d", run, p.run))
		return
	}
	p.log.Warn("a proxy holds a later run of this pilot: the clock was set back; going on beyond it", "run", run)
	p.outran, p.run = time.Now(), run
	p.restart("clock")
}

// maxRun is the latest run that is believed, in the year 2255.
const maxRun = 9e15

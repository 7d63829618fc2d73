package pilot

import (
	"maps"
	"slices"
	"time"

	"vetchdoor/control"
	"vetchdoor/runtime"
	"vetchdoor/stream"
)

// connection is one connection of a proxy, before and after its hello.
type connection struct {
	pilot        *Pilot
	stream       *stream.Conn
	blocks       *runtime.Blocks
	refused      bool // it sent what cannot be read: nothing more is; its reader's
	id           control.ProxyID
	joined       bool // it has said hello and was welcomed; set by the loop
	opened       time.Time
	lastReceived time.Time // set by the loop
}

// maxBlockBytes bounds what a proxy may send as one block.
const maxBlockBytes = 8 << 20

func (p *Pilot) accept(conn *stream.Conn) stream.Handler {
	c := &connection{pilot: p, stream: conn, blocks: runtime.NewBlockReader(maxBlockBytes), opened: time.Now(), lastReceived: time.Now()}
	if !p.post(func() { p.connections[c] = true }) {
		return nil
	}
	return c
}

// Data parses what came and has the loop take it.
func (c *connection) Data(_ *stream.Conn, b []byte) {
	if c.refused {
		return
	}
	c.blocks.Feed(b)
	for {
		lines, ok, err := c.blocks.Next()
		if err == nil && !ok {
			return
		}
		var block any
		if err == nil {
			block, err = runtime.ParseBlock(lines)
		}
		if err != nil {
			c.pilot.log.Warn("a proxy sent what cannot be read; its stream is closed", "remote", c.stream.Remote(), "error", err)
			c.refused = true
			_ = c.stream.Send(runtime.GoAway{Reason: err.Error()}.Append(nil))
			c.stream.CloseGracefully()
			return
		}
		if !c.pilot.post(func() { c.pilot.handleBlock(c, block) }) {
			c.stream.Close()
			return
		}
	}
}

// Closed has the loop take note. It does not wait for room in the loop's inbox, for the loop closes connections too.
func (c *connection) Closed(*stream.Conn) {
	go c.pilot.post(func() { c.pilot.disconnected(c) })
}

// handleBlock takes a block in. Before its hello a proxy may only probe for room, and a peer send a note.
func (p *Pilot) handleBlock(c *connection, block any) {
	if !p.connections[c] {
		return
	}
	c.lastReceived = time.Now()
	if c.joined {
		p.handleJoined(c, block)
		return
	}
	switch b := block.(type) {
	case *runtime.Hello:
		p.handleHello(c, b)
	case runtime.RoomProbe:
		p.answerRoomProbe(c, b)
	case runtime.Note:
		p.handleNote(c, b)
	default:
		p.reject(c, "no hello")
	}
}

// handleJoined takes in a block of a proxy that has said hello.
func (p *Pilot) handleJoined(c *connection, block any) {
	if _, again := block.(*runtime.Hello); again {
		p.reject(c, "a second hello on one stream")
		return
	}
	s := p.sessions[c.id]
	if s == nil || s.conn != c {
		return
	}
	switch b := block.(type) {
	case runtime.Confirmation:
		p.handleInForce(s, b)
	case runtime.Refused:
		p.handleRefused(s, b)
	case *runtime.Holding:
		p.handleHolding(b)
	case *runtime.Sums:
		p.intake.add(p.host.Now(), s.id, s.zone, b)
		p.used(b)
	}
}

// handleRefused ends the session of a proxy that refused a message.
func (p *Pilot) handleRefused(s *session, r runtime.Refused) {
	p.log.Warn("a proxy refused a message; it joins anew", "proxy", s.id, "number", r.Number, "reason", r.Reason)
	p.refused++
	p.records.refused(s.id, r.Reason)
	p.drop(s)
}

// handleHolding takes in a table that a proxy holds, and announces the proxies that held nothing else unknown.
func (p *Pilot) handleHolding(h *runtime.Holding) {
	p.desired.learn(h)
	for _, id := range slices.Sorted(maps.Keys(p.sessions)) {
		if s := p.sessions[id]; !s.announced && len(p.desired.unknown(s.digests)) == 0 {
			p.announce(s)
		}
	}
}

// reject closes a stream that did not keep to the rules.
func (p *Pilot) reject(c *connection, why string) {
	p.log.Warn("stream refused", "remote", c.stream.Remote(), "reason", why)
	p.sendAway(c, runtime.GoAway{Reason: why})
}

func (p *Pilot) sendAway(c *connection, g runtime.GoAway) {
	delete(p.connections, c)
	_ = c.stream.Send(g.Append(nil))
	c.stream.CloseGracefully()
}

// watch closes streams that say nothing and pings the others.
func (p *Pilot) watch() {
	p.records.look()
	p.forget()
	p.updateSelf()
	for c := range p.connections {
		quiet := time.Since(c.lastReceived)
		if c.joined && quiet > p.silent || !c.joined && time.Since(c.opened) > p.silent {
			p.log.Warn("a stream went silent", "remote", c.stream.Remote(), "for", quiet)
			c.stream.Close()
		} else if c.joined {
			_ = c.stream.Send([]byte("ping\n"))
		}
	}
}

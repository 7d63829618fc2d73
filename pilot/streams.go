package pilot

import (
	"maps"
	"slices"
	"time"

	"vetchdoor/control"
	"vetchdoor/runtime"
	"vetchdoor/stream"
)

// connection is one accepted connection, from a proxy or from a peer pilot that sends a note.
type connection struct {
	pilot        *Pilot
	stream       *stream.Conn
	blocks       *runtime.BlockReader
	refused      bool // the peer sent a malformed block, so further data is ignored; used only by Data
	id           control.ProxyID
	joined       bool // the proxy's hello was answered with a welcome; set on the loop
	opened       time.Time
	lastReceived time.Time // when the last complete block arrived, at first when accepted; set on the loop
}

// maxBlockBytes bounds the size of one received block, in bytes, maxFirstBlockBytes that of a block before the hello and of
// the hello. blockCost is the memory that a block takes while it is read and parsed, as a multiple of its size.
const (
	maxBlockBytes      = 4 << 20
	maxFirstBlockBytes = 256 << 10
	blockCost          = 3
)

// accept registers a new connection. It returns nil, which closes the connection, if the pilot has ended.
func (p *Pilot) accept(conn *stream.Conn) stream.Handler {
	c := &connection{pilot: p, stream: conn, blocks: runtime.NewBlockReader(maxFirstBlockBytes), opened: time.Now(), lastReceived: time.Now()}
	if !p.post(func() { p.connections[c] = true }) {
		return nil
	}
	return c
}

// Data parses the received bytes and posts each complete block to the loop. A malformed block is answered with the reason, and
// the stream is ended.
func (c *connection) Data(_ *stream.Conn, b []byte) {
	if c.refused {
		return
	}
	c.blocks.Feed(b)
	for {
		lines, ok, err := c.blocks.Next()
		if err == nil && !ok {
			_ = c.stream.Hold(blockCost * c.blocks.Buffered())
			return
		}
		var block any
		if err == nil {
			block, err = runtime.ParseBlock(lines)
		}
		if err != nil {
			c.pilot.log.Warn("malformed block received; closing the stream", "remote", c.stream.RemoteAddress(), "error", err)
			c.refused = true
			_ = c.stream.Send(runtime.GoAway{Reason: err.Error()}.Append(nil))
			c.stream.CloseGracefully()
			return
		}
		if !c.handle(block) {
			c.stream.Close()
			return
		}
	}
}

// handle has the loop handle a block and waits for it, so that the blocks of a connection take turns with those of others
// however fast they come. It returns false if the pilot has stopped.
func (c *connection) handle(block any) bool {
	done := make(chan struct{})
	if !c.pilot.post(func() { c.pilot.handleBlock(c, block); close(done) }) {
		return false
	}
	select {
	case <-done:
	case <-c.pilot.host.Stopped():
		return false
	}
	c.stream.MessageDone()
	if _, hello := block.(*runtime.Hello); hello {
		c.blocks.SetMax(maxBlockBytes)
	}
	return true
}

// Closed posts the end of the connection to the loop, from a goroutine of its own: the loop itself closes connections, and
// would wait for itself if its inbox were full.
func (c *connection) Closed(*stream.Conn) {
	go c.pilot.post(func() { c.pilot.disconnected(c) })
}

// handleBlock handles a received block. Before a hello only a room probe of a proxy or a note of a peer is allowed.
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

// handleJoined handles a block of a proxy that has joined.
func (p *Pilot) handleJoined(c *connection, block any) {
	if _, secondHello := block.(*runtime.Hello); secondHello {
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
	case *runtime.TableContents:
		p.handleTableContents(b)
	case *runtime.Sums:
		p.intake.add(p.host.Now(), s.id, s.zone, b)
		p.addTenantSums(b)
	}
}

// handleRefused drops the session of a proxy that refused a message; the proxy has to join again.
func (p *Pilot) handleRefused(s *session, r runtime.Refused) {
	p.log.Warn("proxy refused a message; session dropped, it must join again", "proxy", s.id, "number", r.Number, "reason", r.Reason)
	p.refused++
	p.records.recordRefused(s.id, r.Reason)
	p.drop(s)
}

// handleTableContents stores the contents of a table that a proxy holds, and announces the proxies whose tables are now all
// known.
func (p *Pilot) handleTableContents(h *runtime.TableContents) {
	p.desired.learnTable(h)
	for _, id := range slices.Sorted(maps.Keys(p.sessions)) {
		if s := p.sessions[id]; !s.announced && len(p.desired.unknownDigests(s.digests)) == 0 {
			p.announce(s)
		}
	}
}

// reject ends a stream that violates the protocol and sends the reason.
func (p *Pilot) reject(c *connection, reason string) {
	p.log.Warn("stream refused", "remote", c.stream.RemoteAddress(), "reason", reason)
	p.sendGoAway(c, runtime.GoAway{Reason: reason})
}

// sendGoAway sends a go-away message and ends the stream once the message is written.
func (p *Pilot) sendGoAway(c *connection, g runtime.GoAway) {
	delete(p.connections, c)
	_ = c.stream.Send(g.Append(nil))
	c.stream.CloseGracefully()
}

// checkConnections closes the streams of joined proxies that sent nothing for the silence timeout, and connections on which no
// proxy joined within the silence timeout after they were opened. It pings the joined proxies and does the other periodic work
// of the loop.
func (p *Pilot) checkConnections() {
	p.records.expireCheckpoints()
	p.forgetGoneEndpoints()
	p.updateAdvertised()
	for c := range p.connections {
		silent := time.Since(c.lastReceived)
		if c.joined && silent > p.silenceTimeout || !c.joined && time.Since(c.opened) > p.silenceTimeout {
			p.log.Warn("stream silent for too long; closing it", "remote", c.stream.RemoteAddress(), "for", silent)
			c.stream.Close()
		} else if c.joined {
			_ = c.stream.Send([]byte("ping\n"))
		}
	}
}

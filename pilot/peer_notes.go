package pilot

import (
	"fmt"
	"slices"
	"time"

	"vetchdoor/control"
	"vetchdoor/files"
	"vetchdoor/runtime"
	"vetchdoor/stream"
)

// handleNote takes a note of another pilot, one that the file names, and closes its stream.
func (p *Pilot) handleNote(c *connection, n runtime.Note) {
	if !slices.ContainsFunc(p.file.Peers, func(x files.Peer) bool { return x.Instance == n.From }) {
		p.reject(c, fmt.Sprintf("a note of instance %d, which is no peer", n.From))
		return
	}
	p.host.Event(control.PeerNote{From: n.From, Data: n.Data})
	delete(p.connections, c)
	c.stream.CloseGracefully()
}

// maxPendingNotes bounds the notes under way.
const maxPendingNotes = 64

// publish writes a note to one peer, or to all.
func (p *Pilot) publish(o control.Publish) {
	if len(o.Data) > runtime.MaxNoteBytes {
		p.log.Warn("a note is too long", "bytes", len(o.Data))
		return
	}
	note := runtime.Note{From: p.facts.Instance, Data: o.Data}.Append(nil)
	for _, peer := range p.file.Peers {
		if o.To >= 0 && o.To != peer.Instance || p.pendingNotes.Load() >= maxPendingNotes {
			continue
		}
		p.pendingNotes.Add(1)
		p.done.Go(func() {
			defer p.pendingNotes.Add(-1)
			if c, err := stream.Dial(p.Net, peer.Address, time.Second, ignoreData{}); err == nil {
				_ = c.Send(note)
				c.CloseGracefully()
			}
		})
	}
}

// ignoreData handles a stream on which nothing is awaited.
type ignoreData struct{}

func (ignoreData) Data(*stream.Conn, []byte) {}
func (ignoreData) Closed(*stream.Conn)       {}

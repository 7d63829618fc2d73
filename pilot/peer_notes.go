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

// handleNote passes a note from a configured peer to the module and ends the stream.
func (p *Pilot) handleNote(c *connection, n runtime.Note) {
	if !slices.ContainsFunc(p.file.Peers, func(x files.Peer) bool { return x.Instance == n.From }) {
		p.reject(c, fmt.Sprintf("a note of instance %d, which is no peer", n.From))
		return
	}
	p.host.Enqueue(control.PeerNote{From: n.From, Data: n.Data})
	delete(p.connections, c)
	c.stream.CloseGracefully()
}

// maxPendingNotes bounds the number of notes being sent.
const maxPendingNotes = 64

// publish sends a note to one peer, or to all if o.To is negative. Notes that cannot be delivered, or exceed maxPendingNotes,
// are dropped.
func (p *Pilot) publish(o control.Publish) {
	if len(o.Data) > runtime.MaxNoteBytes {
		p.log.Warn("note to peers too long; not sent", "bytes", len(o.Data))
		return
	}
	note := runtime.Note{From: p.config.Instance, Data: o.Data}.Append(nil)
	for _, peer := range p.file.Peers {
		if o.To >= 0 && o.To != peer.Instance || p.pendingNotes.Load() >= maxPendingNotes {
			continue
		}
		p.pendingNotes.Add(1)
		p.background.Go(func() {
			defer p.pendingNotes.Add(-1)
			if c, err := stream.Dial(p.Net, peer.Address, time.Second, ignoreData{}); err == nil {
				_ = c.Send(note)
				c.CloseGracefully()
			}
		})
	}
}

// ignoreData is the handler of a stream on which no data is expected.
type ignoreData struct{}

func (ignoreData) Data(*stream.Conn, []byte) {}
func (ignoreData) Closed(*stream.Conn)       {}

package proxy

import (
	"sync"
	"time"

	"vetchdoor/control"
	"vetchdoor/runtime"
	"vetchdoor/stream"
)

// probeTimeout bounds the dial of a probe for room, and the wait for its answer.
const probeTimeout = time.Second

// hasRoom probes a pilot, on a stream of its own, for whether it would admit this proxy.
func (o *orders) hasRoom(address string) bool {
	probe := &roomProbe{scanner: runtime.NewScanner(runtime.StreamBounds), answer: make(chan bool, 1)}
	conn, err := stream.Dial(o.proxy.Net, address, probeTimeout, probe)
	if err != nil {
		return false
	}
	defer conn.Close()
	_ = conn.Send(runtime.RoomProbe{Proxy: control.ProxyID(o.proxy.file.ID)}.Append(nil))
	select {
	case room := <-probe.answer:
		return room
	case <-time.After(probeTimeout):
		return false
	}
}

// roomProbe handles the stream of one probe.
type roomProbe struct {
	scanner *runtime.Scanner
	answer  chan bool // holds one answer
	once    sync.Once
}

// Data takes the first line that comes for the answer.
func (r *roomProbe) Data(_ *stream.Conn, b []byte) {
	r.scanner.Feed(b)
	if line, ok, err := r.scanner.Next(); ok || err != nil {
		r.report(ok && line[0].HasPrefix(runtime.Room))
	}
}

// Closed means that there is no room, unless an answer came before.
func (r *roomProbe) Closed(*stream.Conn) { r.report(false) }

func (r *roomProbe) report(room bool) { r.once.Do(func() { r.answer <- room }) }

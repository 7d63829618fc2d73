package proxy

import (
	"sync"
	"time"

	"vetchdoor/control"
	"vetchdoor/runtime"
	"vetchdoor/stream"
)

// probeTimeout bounds the dial of a room probe, and then the wait for its result.
const probeTimeout = time.Second

// hasRoom asks the pilot at address, on a separate stream, whether it would admit this proxy. Errors and timeouts count as
// no.
func (c *pilotClient) hasRoom(address string) bool {
	probe := &roomProbe{scanner: runtime.NewScanner(runtime.StreamBounds), result: make(chan bool, 1)}
	conn, err := stream.Dial(c.proxy.Net, address, probeTimeout, probe)
	if err != nil {
		return false
	}
	defer conn.Close()
	_ = conn.Send(runtime.RoomProbe{Proxy: control.ProxyID(c.proxy.settings.ID)}.Append(nil))
	select {
	case room := <-probe.result:
		return room
	case <-time.After(probeTimeout):
		return false
	}
}

// roomProbe handles the stream on which a pilot is asked whether it has room for this proxy.
type roomProbe struct {
	scanner *runtime.Scanner
	result  chan bool // buffered, for the single result
	once    sync.Once
}

// Data takes the first line received as the result.
func (r *roomProbe) Data(_ *stream.Conn, b []byte) {
	r.scanner.Feed(b)
	if line, ok, err := r.scanner.Next(); ok || err != nil {
		r.sendResult(ok && line[0].HasPrefix(runtime.Room))
	}
}

// Closed reports no room, unless a result was received before.
func (r *roomProbe) Closed(*stream.Conn) { r.sendResult(false) }

// sendResult delivers the result; only the first call has an effect.
func (r *roomProbe) sendResult(room bool) { r.once.Do(func() { r.result <- room }) }

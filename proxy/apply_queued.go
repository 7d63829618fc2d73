package proxy

import (
	"errors"
	"time"

	"vetchdoor/runtime"
)

// Reasons for which a message is refused; they are sent to the pilot.
var (
	errOtherRun       = errors.New("a message of another run than the stream's")
	errOlderRun       = errors.New("a message of an older run than what is in force")
	errMessageMissing = errors.New("a message is missing before this one")
)

// applyQueued applies the queued messages, in order, until the stream ends; what is left then is dropped, and the pilot, which
// has no confirmation of it, sends it again or anew.
func (s *pilotStream) applyQueued() {
	for {
		select {
		case <-s.closed:
			return
		case m := <-s.queue:
			if !s.stall(m) {
				return
			}
			s.apply(m)
			s.free(m.Lines)
		}
	}
}

// stall waits as long as a rehearsal has the proxy wait before it applies a message; false if the stream ended meanwhile.
func (s *pilotStream) stall(m *runtime.Message) bool {
	applyFor := s.orders.proxy.ApplyDelay
	if applyFor == nil {
		return true
	}
	d := applyFor(m)
	if d <= 0 {
		return true
	}
	select {
	case <-time.After(d):
		return true
	case <-s.closed:
		return false
	}
}

// apply applies a message unless it has been applied already, and confirms it. One that cannot be applied ends the stream.
func (s *pilotStream) apply(m *runtime.Message) {
	p := s.orders.proxy
	duplicate, err := s.checkOrder(m, p.now.Load())
	if duplicate {
		p.tally.again.Add(1)
	} else if err == nil {
		err = p.apply(m)
	}
	if err != nil {
		s.refuseMessage(m, err)
		return
	}
	confirmation := runtime.Confirmation{Run: m.Run, Number: m.Number, Checkpoint: m.Checkpoint, Duplicate: duplicate}
	_ = s.conn.Send(confirmation.Append(nil))
}

// checkOrder tells whether a message has been applied already. It refuses one of another run than the stream's, or of an older
// one than is in force, and one with a gap before it.
func (s *pilotStream) checkOrder(m *runtime.Message, inForce *tables) (duplicate bool, err error) {
	samePilot := m.Pilot == inForce.pilot
	sameRun := samePilot && m.Run == inForce.run
	switch {
	case m.Pilot != s.welcome.Pilot || m.Run != s.welcome.Run:
		return false, errOtherRun
	case samePilot && m.Run < inForce.run:
		return false, errOlderRun
	case sameRun && m.Number <= inForce.number:
		return true, nil
	case sameRun && s.welcome.Resumed && m.Number != inForce.number+1:
		return false, errMessageMissing
	}
	return false, nil
}

// refuseMessage tells the pilot why a message was not applied, and ends the stream.
func (s *pilotStream) refuseMessage(m *runtime.Message, err error) {
	s.orders.log.Warn("message refused", "run", m.Run, "number", m.Number, "error", err)
	_ = s.conn.Send(runtime.Refused{Run: m.Run, Number: m.Number, Reason: err.Error()}.Append(nil))
	s.conn.CloseGracefully()
}

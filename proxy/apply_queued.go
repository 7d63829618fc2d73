package proxy

import (
	"errors"
	"time"

	"vetchdoor/runtime"
)

// Errors for a message that is refused because of its position in the sequence. Their texts are sent to the pilot.
var (
	errOtherRun       = errors.New("a message of another run than the stream's")
	errOlderRun       = errors.New("a message of an older run than what is in force")
	errMessageMissing = errors.New("a message is missing before this one")
)

// applyQueued applies the queued messages in order until the stream ends. Messages still queued at that point are dropped:
// the pilot has no confirmation of them and sends them, or newer ones, on the next stream.
func (s *pilotStream) applyQueued() {
	for {
		select {
		case <-s.closed:
			return
		case m := <-s.queue:
			if !s.waitApplyDelay(m) {
				return
			}
			s.apply(m)
		}
	}
}

// waitApplyDelay waits for the delay that Proxy.ApplyDelay returns for a message. It returns false if the stream ends
// meanwhile.
func (s *pilotStream) waitApplyDelay(m *runtime.Message) bool {
	applyDelay := s.client.proxy.ApplyDelay
	if applyDelay == nil {
		return true
	}
	delay := applyDelay(m)
	if delay <= 0 {
		return true
	}
	select {
	case <-time.After(delay):
		return true
	case <-s.closed:
		return false
	}
}

// apply applies a message, unless it has been applied already, and confirms it to the pilot. If the message cannot be
// applied, the stream ends. Its window space is released before the confirmation, on which the pilot fills the window again.
func (s *pilotStream) apply(m *runtime.Message) {
	p := s.client.proxy
	duplicate, err := s.checkOrder(m, p.current.Load())
	if duplicate {
		p.counters.appliedAgain.Add(1)
	} else if err == nil {
		err = p.apply(m)
	}
	if err != nil {
		s.rejectMessage(m, err)
		return
	}
	s.releaseLines(m.Lines)
	confirmation := runtime.Confirmation{Run: m.Run, Number: m.Number, Checkpoint: m.Checkpoint, Duplicate: duplicate}
	_ = s.conn.Send(confirmation.Append(nil))
}

// checkOrder reports whether a message has been applied already. It returns an error if the message belongs to another pilot
// or run than the stream, to an older run than the tables in force, or, on a resumed stream, does not directly follow the
// last applied message.
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

// rejectMessage tells the pilot why a message was not applied, and ends the stream.
func (s *pilotStream) rejectMessage(m *runtime.Message, err error) {
	s.client.log.Warn("message refused", "run", m.Run, "number", m.Number, "error", err)
	_ = s.conn.Send(runtime.Refused{Run: m.Run, Number: m.Number, Reason: err.Error()}.Append(nil))
	s.conn.CloseGracefully()
}

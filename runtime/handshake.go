package runtime

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"vetchdoor/control"
)

// Wire is the version of what pilots and proxies speak. What a later one adds to a hello, a welcome or a stream's commands
// an earlier one passes over; a pilot sends a proxy no change that its version does not know.
const Wire = 1

// Hello is how a proxy opens its stream.
type Hello struct {
	Proxy    control.ProxyID
	Wire     int    // what it speaks; 0: it does not say
	Token    string // drawn at the proxy's start; tells it from another that takes its number
	Zone     int
	Rate     float64 // ops a second it usually gets
	Pilot    string  // whose run it last applied a message of, or NoPilot
	Run      uint64
	Number   uint64               // the last message applied, of that run
	Window   int                  // lines that may be on their way to it, not confirmed
	Standing []control.EndpointID // its standing table
	Digests  []uint64             // of the tables that op types go by; 0: a standing one. Empty: the proxy does not say
	Bound    string               // the pilot whose bindings of tenants it has; empty: none's
	BoundTo  uint64               // it has all of them up to this number
}

// NoPilot stands in a hello for the pilot of a proxy that has applied no message yet.
const NoPilot = "-"

// Append appends the block.
func (h *Hello) Append(b []byte) []byte {
	b = fmt.Appendf(b, "hello %d wire %d token %s zone %d rate %s holds %s %d %d window %d standing ", h.Proxy, h.Wire, Quote(h.Token), h.Zone,
		strconv.FormatFloat(h.Rate, 'g', -1, 64), Quote(h.Pilot), h.Run, h.Number, h.Window)
	b = appendStanding(b, h.Standing)
	if len(h.Digests) > 0 {
		b = appendDigests(append(b, " digests "...), h.Digests)
	}
	if h.Bound != "" {
		b = strconv.AppendUint(append(append(append(b, " bound "...), Quote(h.Bound)...), ' '), h.BoundTo, 10)
	}
	return append(b, "\n\n"...)
}

func appendStanding(b []byte, endpoints []control.EndpointID) []byte {
	if len(endpoints) == 0 {
		return append(b, '-')
	}
	for i, e := range endpoints {
		if i > 0 {
			b = append(b, ',')
		}
		b = strconv.AppendUint(b, uint64(e), 10)
	}
	return b
}

// maxRate bounds the ops a second that a proxy may say it usually gets, as its file does.
const maxRate = 1e9

func (w *wordReader) hello() *Hello {
	h := &Hello{Proxy: control.ProxyID(w.uint("proxy", math.MaxUint16))}
	if w.next("wire") {
		w.take()
		h.Wire = int(w.uint("wire", math.MaxUint16))
	}
	w.expect("token")
	h.Token = w.take()
	h.Zone = w.zone()
	w.expect("rate")
	if h.Rate = w.float("rate"); !(h.Rate >= 0 && h.Rate <= maxRate) {
		w.fail("rate %v is not between 0 and %v", h.Rate, maxRate)
	}
	w.expect("holds")
	h.Pilot, h.Run, h.Number = w.take(), w.uint("run", math.MaxUint64), w.uint("number", math.MaxUint64)
	w.expect("window")
	h.Window = int(w.uint("window", math.MaxInt32))
	w.expect("standing")
	h.Standing = w.standing()
	if w.next("digests") {
		w.take()
		h.Digests = w.digests()
	}
	if len(w.words) > 0 && (h.Wire <= Wire || w.words[0] == "bound") {
		w.expect("bound")
		h.Bound, h.BoundTo = w.take(), w.uint("number", math.MaxUint64)
	}
	if h.Wire > Wire { // a later one's: what it says beyond is passed over
		w.words = nil
	}
	return h
}

// standing reads the standing table, E,E…; - for none.
func (w *wordReader) standing() (endpoints []control.EndpointID) {
	list := w.take()
	if list == "-" {
		return nil
	}
	for part := range strings.SplitSeq(list, ",") {
		n, err := strconv.ParseUint(part, 10, 32)
		if err != nil {
			w.fail("standing table: %q is no server", part)
			return endpoints
		}
		endpoints = append(endpoints, control.EndpointID(n))
	}
	return endpoints
}

// Welcome is the pilot's answer to a hello, a command line of its own.
type Welcome struct {
	Pilot   string
	Run     uint64
	Wire    int  // what the pilot speaks; 0: it does not say
	Resumed bool // the session goes on: what was not confirmed comes again
}

// Append appends the command.
func (m Welcome) Append(b []byte) []byte {
	how := "fresh"
	if m.Resumed {
		how = "resumed"
	}
	return fmt.Appendf(b, "welcome %s %d %s wire %d\n", Quote(m.Pilot), m.Run, how, m.Wire)
}

// ParseWelcome reads a welcome.
func ParseWelcome(c Command) (Welcome, error) {
	w := &wordReader{words: c.Words}
	w.expect("welcome")
	m := Welcome{Pilot: w.take(), Run: w.uint("run", math.MaxUint64)}
	switch how := w.take(); how {
	case "resumed":
		m.Resumed = true
	case "fresh":
	default:
		w.fail("%q is neither fresh nor resumed", how)
	}
	if len(w.words) > 0 {
		w.expect("wire")
		m.Wire = int(w.uint("wire", math.MaxUint16))
	}
	return m, w.err
}

// GoAway is a pilot's command to a proxy that it does not admit, or keeps no longer.
type GoAway struct {
	Joined   bool   // it was admitted before
	Reason   string // why it is not admitted; empty if Joined
	Redirect string // the address of another pilot; empty: none is known
}

// Append appends the command.
func (g GoAway) Append(b []byte) []byte {
	if b = append(b, "away"...); !g.Joined {
		b = append(append(b[:len(b)-len("away")], "refused "...), Quote(g.Reason)...)
	}
	if g.Redirect != "" {
		b = append(append(b, " try "...), Quote(g.Redirect)...)
	}
	return append(b, '\n')
}

// ParseGoAway reads one.
func ParseGoAway(c Command) (GoAway, error) {
	w := &wordReader{words: c.Words}
	g := GoAway{Joined: c.HasPrefix("away")}
	if w.take(); !g.Joined {
		g.Reason = w.take()
	}
	if len(w.words) > 0 {
		w.expect("try")
		g.Redirect = w.take()
	}
	return g, w.end()
}

// RoomProbe asks a pilot whether it would admit a proxy, on a stream of its own; Room or a GoAway answers it.
type RoomProbe struct{ Proxy control.ProxyID }

// Append appends the block.
func (p RoomProbe) Append(b []byte) []byte { return fmt.Appendf(b, "knock %d\n\n", p.Proxy) }

func (w *wordReader) roomProbe() RoomProbe {
	return RoomProbe{Proxy: control.ProxyID(w.uint("proxy", math.MaxUint16))}
}

// Room is the command that answers a RoomProbe where there is room.
const Room = "room"

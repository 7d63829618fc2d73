package runtime

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"vetchdoor/control"
)

// WireVersion is the version of the protocol between pilots and proxies. An earlier version ignores what a later one adds to
// a hello, a welcome or a stream's commands. A pilot sends a proxy only changes that the proxy's version includes.
const WireVersion = 1

// Hello is the block by which a proxy opens its stream to a pilot.
type Hello struct {
	Proxy          control.ProxyID
	WireVersion    int    // the proxy's protocol version; 0 if the proxy does not send it
	Token          string // random, chosen at the proxy's start; distinguishes it from another proxy with the same number
	Zone           int
	Rate           float64              // ops per second that the proxy usually gets
	Pilot          string               // the pilot whose message was applied last, or NoPilot
	Run            uint64               // the run of Pilot that sent this message
	Number         uint64               // number of the last message applied, within that run
	Window         int                  // the most lines that the pilot may send ahead of their confirmation
	Standing       []control.EndpointID // the servers of the proxy's standing table
	Digests        []uint64             // digests of the tables that op types use; 0: the standing table. Empty: not sent
	BindingsPilot  string               // the pilot whose bindings of tenants the proxy has; empty: none
	BindingsNumber uint64               // the proxy has all these bindings up to this number
}

// NoPilot is the Pilot in the Hello of a proxy that has applied no message yet.
const NoPilot = "-"

// Append appends the block.
func (h *Hello) Append(b []byte) []byte {
	b = fmt.Appendf(b, "hello %d wire %d token %s zone %d rate %s holds %s %d %d window %d standing ",
		h.Proxy, h.WireVersion, Quote(h.Token), h.Zone,
		strconv.FormatFloat(h.Rate, 'g', -1, 64), Quote(h.Pilot), h.Run, h.Number, h.Window)
	b = appendStanding(b, h.Standing)
	if len(h.Digests) > 0 {
		b = appendDigests(append(b, " digests "...), h.Digests)
	}
	if h.BindingsPilot != "" {
		b = strconv.AppendUint(append(append(append(b, " bound "...), Quote(h.BindingsPilot)...), ' '), h.BindingsNumber, 10)
	}
	return append(b, "\n\n"...)
}

// appendStanding appends the servers of a standing table as E,E…; - for none.
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

// maxRate limits the ops per second in a Hello; the proxy's settings file has the same limit.
const maxRate = 1e9

func (w *wordReader) hello() *Hello {
	h := &Hello{Proxy: control.ProxyID(w.uint("proxy", math.MaxUint16))}
	if w.nextIs("wire") {
		w.take()
		h.WireVersion = int(w.uint("wire", math.MaxUint16))
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
	if w.nextIs("digests") {
		w.take()
		h.Digests = w.digests()
	}
	if len(w.words) > 0 && (h.WireVersion <= WireVersion || w.words[0] == "bound") {
		w.expect("bound")
		h.BindingsPilot, h.BindingsNumber = w.take(), w.uint("number", math.MaxUint64)
	}
	if h.WireVersion > WireVersion { // fields that a later version has added are ignored
		w.words = nil
	}
	return h
}

// standing reads the servers of a standing table, E,E…; - for none.
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

// Welcome is the command by which a pilot accepts a Hello. It is on a line of its own.
type Welcome struct {
	Pilot       string
	Run         uint64
	WireVersion int  // the pilot's protocol version; 0 if the pilot does not send it
	Resumed     bool // the earlier session continues; unconfirmed messages are sent again
}

// Append appends the command.
func (m Welcome) Append(b []byte) []byte {
	how := "fresh"
	if m.Resumed {
		how = "resumed"
	}
	return fmt.Appendf(b, "welcome %s %d %s wire %d\n", Quote(m.Pilot), m.Run, how, m.WireVersion)
}

// ParseWelcome parses a Welcome.
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
		m.WireVersion = int(w.uint("wire", math.MaxUint16))
	}
	return m, w.err
}

// GoAway is the command by which a pilot rejects a proxy, or dismisses one that has joined.
type GoAway struct {
	Joined   bool   // the proxy had joined
	Reason   string // why the proxy is rejected; empty if Joined
	Redirect string // the address of another pilot to try; empty if none is known
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

// ParseGoAway parses a GoAway.
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

// RoomProbe is the block that asks a pilot, on a separate stream, whether it would admit a proxy. The answer is Room or a
// GoAway.
type RoomProbe struct{ Proxy control.ProxyID }

// Append appends the block.
func (p RoomProbe) Append(b []byte) []byte { return fmt.Appendf(b, "knock %d\n\n", p.Proxy) }

func (w *wordReader) roomProbe() RoomProbe {
	return RoomProbe{Proxy: control.ProxyID(w.uint("proxy", math.MaxUint16))}
}

// Room is the command that answers a RoomProbe if the pilot would admit the proxy.
const Room = "room"

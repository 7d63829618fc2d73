package runtime

import (
	"fmt"
	"math"
	"net/netip"
	"strconv"
	"strings"

	"vetchdoor/control"
)

// Limits of the values that words stand for.
const (
	maxZone        = 255
	maxOpType      = 15
	maxTenantBytes = 256 // of a tenant's name, without the equals sign
)

// wordReader reads the words of a line one by one and stores the first error.
type wordReader struct {
	words []string
	err   error
}

// fail stores an error unless there is one already.
func (w *wordReader) fail(format string, args ...any) {
	if w.err == nil {
		w.err = fmt.Errorf(format, args...)
	}
}

// take removes and returns the next word. It fails if none is left.
func (w *wordReader) take() string {
	if len(w.words) == 0 {
		w.fail("the command ends too early")
		return ""
	}
	s := w.words[0]
	w.words = w.words[1:]
	return s
}

// nextIs reports whether the next word is the given one; it does not remove the word.
func (w *wordReader) nextIs(word string) bool {
	return len(w.words) > 0 && w.words[0] == word
}

// end fails if words are left. It returns the first error.
func (w *wordReader) end() error {
	if w.err == nil && len(w.words) > 0 {
		w.fail("%q is too much", w.words[0])
	}
	return w.err
}

// expect removes the next word and fails if it is not the given one.
func (w *wordReader) expect(word string) {
	if got := w.take(); got != word {
		w.fail("%q where %q belongs", got, word)
	}
}

// uint reads a whole number from 0 to limit. what names it in errors.
func (w *wordReader) uint(what string, limit uint64) uint64 {
	s := w.take()
	n, err := strconv.ParseUint(s, 10, 64)
	if err != nil || n > limit {
		w.fail("%s %q is no whole number up to %d", what, s, limit)
	}
	return n
}

// float reads a finite number. what names it in errors.
func (w *wordReader) float(what string) float64 {
	s := w.take()
	x, err := strconv.ParseFloat(s, 64)
	if err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
		w.fail("%s %q is no finite number", what, s)
	}
	return x
}

// weight reads the word "weight" and a number above 0.
func (w *wordReader) weight() float64 {
	w.expect("weight")
	weight := w.float("weight")
	if w.err == nil && weight <= 0 {
		w.fail("weight %v is not above 0", weight)
	}
	return weight
}

// zone reads the word "zone" and a zone's number.
func (w *wordReader) zone() int {
	w.expect("zone")
	return int(w.uint("zone", maxZone))
}

// pack reads the word "pack" and a pack's number.
func (w *wordReader) pack() int {
	w.expect("pack")
	return int(w.uint("pack", math.MaxUint16))
}

// table reads a table in the form tN.
func (w *wordReader) table() control.TableID {
	return w.parseTable(w.take())
}

// tableOrEverywhere reads a table in the form tN, or * for control.Everywhere.
func (w *wordReader) tableOrEverywhere() control.TableID {
	name := w.take()
	if name == "*" {
		return control.Everywhere
	}
	return w.parseTable(name)
}

// parseTable parses the name of a table, tN.
func (w *wordReader) parseTable(name string) control.TableID {
	digits, ok := strings.CutPrefix(name, "t")
	n, err := strconv.ParseUint(digits, 10, 16)
	if !ok || err != nil || control.TableID(n) == control.Everywhere {
		w.fail("%q is no table", name)
	}
	return control.TableID(n)
}

// endpoint reads an endpoint in the form eN.
func (w *wordReader) endpoint() control.EndpointID {
	return w.parseEndpoint(w.take())
}

// parseEndpoint parses the name of an endpoint, eN.
func (w *wordReader) parseEndpoint(name string) control.EndpointID {
	digits, ok := strings.CutPrefix(name, "e")
	n, err := strconv.ParseUint(digits, 10, 32)
	if !ok || err != nil {
		w.fail("%q is no server", name)
	}
	return control.EndpointID(n)
}

// server reads a server in a table, TABLE/SERVER, in the form tN/eN.
func (w *wordReader) server() (control.TableID, control.EndpointID) {
	table, server, ok := strings.Cut(w.take(), "/")
	if !ok {
		w.fail("%q is not TABLE/SERVER", table)
		return 0, 0
	}
	return w.parseTable(table), w.parseEndpoint(server)
}

// address reads an IP address with a port other than 0.
func (w *wordReader) address() netip.AddrPort {
	word := w.take()
	address, err := netip.ParseAddrPort(word)
	if err != nil || address.Port() == 0 {
		w.fail("%q is no address with a port", word)
	}
	return address
}

// opTypes reads a list of op types, N,N…, and returns it as a mask; * stands for all, which is the mask 0.
func (w *wordReader) opTypes() (mask uint16) {
	list := w.take()
	if list == "*" {
		return 0
	}
	for part := range strings.SplitSeq(list, ",") {
		n, err := strconv.ParseUint(part, 10, 8)
		if err != nil || n > maxOpType {
			w.fail("%q is no list of op types", list)
			return mask
		}
		mask |= 1 << n
	}
	return mask
}

// digest reads a table's digest in hexadecimal.
func (w *wordReader) digest() uint64 {
	digest, err := strconv.ParseUint(w.take(), 16, 64)
	if err != nil {
		w.fail("no digest")
	}
	return digest
}

// limit reads the keyword what, then a number that is not negative; * stands for no limit, which is returned as -1.
func (w *wordReader) limit(what string) (x float64) {
	w.expect(what)
	if w.nextIs("*") {
		w.take()
		return -1
	}
	if x = w.float(what); x < 0 {
		w.fail("%s %v is below 0", what, x)
	}
	return x
}

// onOff reads the keyword what, then on or off.
func (w *wordReader) onOff(what string) bool {
	w.expect(what)
	switch on := w.take(); on {
	case "on":
		return true
	case "off":
	default:
		w.fail("%s %q is neither on nor off", what, on)
	}
	return false
}

// tenant reads a tenant's name with an equals sign before it, which makes an empty name a word too.
func (w *wordReader) tenant() string {
	name, ok := strings.CutPrefix(w.take(), "=")
	if !ok || len(name) > maxTenantBytes {
		w.fail("%.40q is no tenant", name)
	}
	return name
}

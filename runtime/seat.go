package runtime

import (
	"math"
	"strconv"
	"strings"

	"vetchdoor/tenancy"
)

// TenantName returns the tenant's name in a word that a person typed, with or without the equals sign that precedes names in
// the protocol.
func TenantName(word string) string { return strings.TrimPrefix(word, "=") }

// ParsePlacement parses the words that change a tenant's placement: any of draw N, size N, pods ZONE.PACK,… and home. It returns
// the given placement with the values of these words in place of its own; home resets it to the default placement.
func ParsePlacement(words []string, seat tenancy.Placement) (tenancy.Placement, error) {
	w := &wordReader{words: words}
	if len(words) == 0 {
		w.fail("nothing is said of the seat: draw N, size N, pods ZONE.PACK,… or home")
	}
	for len(w.words) > 0 && w.err == nil {
		switch kind := w.take(); kind {
		case "home":
			seat = tenancy.Placement{}
		case "draw":
			seat.Draw = uint32(w.uint("draw", math.MaxUint32))
		case "size":
			seat.Size = int(w.uint("size", maxPods))
		case "pods":
			seat.Pods = w.pods()
		default:
			w.fail("%q is none of draw, size, pods, home", kind)
		}
	}
	return seat, w.err
}

// maxPods limits the number of pods in a subset.
const maxPods = 1000

// placement reads a placement in the form that tenancy.Placement.String writes.
func (w *wordReader) placement() (s tenancy.Placement) {
	w.expect("draw")
	s.Draw = uint32(w.uint("draw", math.MaxUint32))
	w.expect("size")
	s.Size = int(w.uint("size", maxPods))
	w.expect("pods")
	s.Pods = w.pods()
	return s
}

// pods reads a list of pods, ZONE.PACK,ZONE.PACK…; * for none.
func (w *wordReader) pods() (out []tenancy.PodID) {
	list := w.take()
	if list == "*" {
		return nil
	}
	for part := range strings.SplitSeq(list, ",") {
		zone, pack, ok := strings.Cut(part, ".")
		z, err := strconv.ParseUint(zone, 10, 8)
		p, err2 := strconv.ParseUint(pack, 10, 16)
		if !ok || err != nil || err2 != nil || len(out) >= maxPods {
			w.fail("%.60q is no list of pods, ZONE.PACK,…", list)
			return nil
		}
		out = append(out, tenancy.PodOf(int(z), int(p)))
	}
	return out
}

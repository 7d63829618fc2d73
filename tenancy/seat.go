package tenancy

import (
	"slices"
	"strconv"
	"time"

	"vetchdoor/control"
)

// Placement is where a tenant is among the pods of whatever table an op goes by. The zero one is where its name draws it.
type Placement struct {
	Draw uint32  `json:"draw,omitempty"` // a number drawn with the name; another one draws another subset
	Size int     `json:"size,omitempty"` // pods; 0: as many as the proxies give each
	Pods []PodID `json:"pods,omitempty"` // used in place of a draw where the table has any of them
}

// Equal tells whether two seats are one.
func (s Placement) Equal(o Placement) bool {
	return s.Draw == o.Draw && s.Size == o.Size && slices.Equal(s.Pods, o.Pods)
}

func (s Placement) clone() Placement {
	s.Pods = slices.Clone(s.Pods)
	return s
}

// InZones is the seat among zones in place of pods.
func (s Placement) InZones() Placement {
	for i, p := range s.clone().Pods {
		if i == 0 {
			s.Pods = nil
		}
		s.Pods = append(s.Pods, ZoneOf(p))
	}
	return s
}

// String writes it as the runtime API does.
func (s Placement) String() string {
	b := []byte("draw ")
	b = strconv.AppendUint(b, uint64(s.Draw), 10)
	b = strconv.AppendInt(append(b, " size "...), int64(s.Size), 10)
	return string(AppendPods(append(b, " pods "...), s.Pods))
}

// AppendPods appends pods as ZONE.PACK, with commas between; * for none.
func AppendPods(b []byte, pods []PodID) []byte {
	if len(pods) == 0 {
		return append(b, '*')
	}
	for i, p := range pods {
		if i > 0 {
			b = append(b, ',')
		}
		b = strconv.AppendUint(b, uint64(p>>16), 10)
		b = strconv.AppendUint(append(b, '.'), uint64(p&0xffff), 10)
	}
	return b
}

// SelectFrom returns a tenant's pods among those of a table, usual of them where its seat has no size of its own; nil for all.
func (s Placement) SelectFrom(tenant string, pods []Pod, usual int) []PodID {
	var named []PodID
	for _, p := range pods {
		if slices.Contains(s.Pods, p.ID) {
			named = append(named, p.ID)
		}
	}
	if len(named) > 0 {
		slices.Sort(named)
		return named
	}
	count := s.Size
	if count == 0 {
		count = usual
	}
	if count == 0 {
		return nil
	}
	if s.Draw > 0 {
		tenant += "\x00" + strconv.FormatUint(uint64(s.Draw), 10)
	}
	return Place(tenant, pods, count)
}

// MoveDurations returns what a move of a tenant must wait out: the longest that a write, which a proxy has taken in, may take until
// it is finished for good or ill (life, or where that is 0 twice its op timeout), and the longest window in which a repeat
// of a deduplicated op is dropped by some servers and not by others.
func MoveDurations(types []control.OpType, life time.Duration) (write, window time.Duration) {
	for _, t := range types {
		if t.Repeat == control.Retryable {
			continue
		}
		if write = max(write, 2*t.OpTimeout); t.Repeat == control.Deduplicated && t.Group != control.GroupAll {
			window = max(window, t.DedupWindow)
		}
	}
	if life > 0 {
		write = life
	}
	return write, window
}

// Binding is a tenant's seat as one proxy keeps it. It sees to what a proxy can see to alone: its own writes never go to
// two seats within the span that a repeat of one could meet servers which do not know it, whoever orders what.
type Binding struct {
	Placement
	Pilot  string        `json:"pilot"` // whose order it is
	Number uint64        `json:"number"`
	Held   bool          `json:"held,omitempty"`
	Wrote  Placement     `json:"wrote"` // where writes were last let go
	shut   time.Duration // since when none are let go there, once the seat is another or it is held
	open   bool          // they are let go there
	either bool          // they may have been let go at the seat as well as where Wrote says
}

// Bound is a binding that was never ordered: the tenant is where its name draws it.
func Bound() Binding { return Binding{open: true} }

// Kept is a binding that was on disk when the proxy started: writes may have gone until then.
func (b Binding) Kept(now time.Duration) Binding {
	b.either = !b.Held && !b.Placement.Equal(b.Wrote) // the wait may have been over
	b.open, b.shut = !b.Held && !b.either, now
	return b
}

// Take returns the binding after an order of a pilot; wait is the span that a write, and the window in which a repeat of
// it may come, take. An order that is older than the binding, of the same pilot, changes nothing.
func (b Binding) Take(now, wait time.Duration, pilot string, number uint64, seat Placement, held bool) Binding {
	if pilot == b.Pilot && number < b.Number {
		return b
	}
	b = b.settle(now, wait)
	b.Pilot, b.Number, b.Held, b.Placement = pilot, number, held, seat
	if b.open && (held || !seat.Equal(b.Wrote)) {
		b.open, b.shut = false, now
	}
	return b.settle(now, wait)
}

// settle opens it once it may: at the seat where writes went before at once, at another when those are surely over.
func (b Binding) settle(now, wait time.Duration) Binding {
	if !b.open && !b.Held && (b.Placement.Equal(b.Wrote) && !b.either || now-b.shut >= wait) {
		b.open, b.either, b.Wrote = true, false, b.Placement
	}
	return b
}

// AllowsWrites tells whether writes may go, at a time no earlier than the last order.
func (b Binding) AllowsWrites(now, wait time.Duration) bool { return b.settle(now, wait).open }

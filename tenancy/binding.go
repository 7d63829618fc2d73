package tenancy

import (
	"slices"
	"strconv"
	"time"

	"vetchdoor/control"
)

// Placement defines which pods of a table a tenant uses; it applies to every table. The zero value is the
// default: the pods that SelectPods returns for its name.
type Placement struct {
	Draw uint32  `json:"draw,omitempty"` // hashed together with the name if not 0, to select another subset
	Size int     `json:"size,omitempty"` // number of pods; 0: the default of the proxies
	Pods []PodID `json:"pods,omitempty"` // used in place of the selected pods if the table has any of them
}

// Equal reports whether two placements are the same.
func (s Placement) Equal(other Placement) bool {
	return s.Draw == other.Draw && s.Size == other.Size && slices.Equal(s.Pods, other.Pods)
}

func (s Placement) clone() Placement {
	s.Pods = slices.Clone(s.Pods)
	return s
}

// InZones returns the placement with each of its pods replaced by the ZoneGroup of its zone.
func (s Placement) InZones() Placement {
	for i, p := range s.clone().Pods {
		if i == 0 {
			s.Pods = nil
		}
		s.Pods = append(s.Pods, ZoneGroup(p))
	}
	return s
}

// String returns the placement in the syntax of the runtime API.
func (s Placement) String() string {
	b := []byte("draw ")
	b = strconv.AppendUint(b, uint64(s.Draw), 10)
	b = strconv.AppendInt(append(b, " size "...), int64(s.Size), 10)
	return string(AppendPods(append(b, " pods "...), s.Pods))
}

// AppendPods appends the pods as ZONE.PACK, separated by commas; * if there are none.
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

// SelectFrom returns the pods of a table that a tenant uses, sorted by ID, or nil for all. defaultCount is the number of
// pods if the placement has no size; 0 means all.
func (s Placement) SelectFrom(tenant string, pods []Pod, defaultCount int) []PodID {
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
		count = defaultCount
	}
	if count == 0 {
		return nil
	}
	if s.Draw > 0 {
		tenant += "\x00" + strconv.FormatUint(uint64(s.Draw), 10)
	}
	return SelectPods(tenant, pods, count)
}

// MoveDurations returns what a move of a tenant must wait out. write is the longest time from the admission of a write by
// a proxy until it can have no effect any more: lifetime or, if that is 0, twice the longest op timeout. window is the
// longest deduplication window of the op types whose duplicates are dropped only within one group of servers. Retryable op
// types are ignored.
func MoveDurations(types []control.OpType, lifetime time.Duration) (write, window time.Duration) {
	for _, t := range types {
		if t.Repeat == control.Retryable {
			continue
		}
		if write = max(write, 2*t.OpTimeout); t.Repeat == control.Deduplicated && t.Group != control.GroupAll {
			window = max(window, t.DedupWindow)
		}
	}
	if lifetime > 0 {
		write = lifetime
	}
	return write, window
}

// Binding is a tenant's placement at one proxy. It guarantees, whatever updates the pilots send, that the proxy never
// sends writes to two placements within the time in which a retry could reach servers that would not recognise it as a
// duplicate.
type Binding struct {
	Placement
	Pilot         string        `json:"pilot"`          // name of the pilot that sent the last applied update
	Number        uint64        `json:"number"`         // number of that update
	Held          bool          `json:"held,omitempty"` // writes are refused until an update ends the hold
	LastPlacement Placement     `json:"wrote"`          // placement to which writes were last admitted
	closedSince   time.Duration // time since which no writes are admitted at LastPlacement
	open          bool          // writes are admitted at LastPlacement
	ambiguous     bool          // writes may have been admitted at Placement as well as at LastPlacement
}

// NewBinding returns the binding of a tenant that was never moved: it has the default placement.
func NewBinding() Binding { return Binding{open: true} }

// AfterRestart returns a binding loaded from disk when the proxy starts. Writes may have been admitted until now.
func (b Binding) AfterRestart(now time.Duration) Binding {
	b.ambiguous = !b.Held && !b.Placement.Equal(b.LastPlacement) // writes may have gone to Placement if the wait had ended
	b.open, b.closedSince = !b.Held && !b.ambiguous, now
	return b
}

// Apply returns the binding after a pilot's update. wait is how long a write and the deduplication window of its retries
// take together. An update from the same pilot with a lower number than the binding's changes nothing.
func (b Binding) Apply(now, wait time.Duration, pilot string, number uint64, placement Placement, held bool) Binding {
	if pilot == b.Pilot && number < b.Number {
		return b
	}
	b = b.openIfDue(now, wait)
	b.Pilot, b.Number, b.Held, b.Placement = pilot, number, held, placement
	if b.open && (held || !placement.Equal(b.LastPlacement)) {
		b.open, b.closedSince = false, now
	}
	return b.openIfDue(now, wait)
}

// openIfDue admits writes again if the binding is not held: at once if it may only have admitted them at the same
// placement before, otherwise after the wait.
func (b Binding) openIfDue(now, wait time.Duration) Binding {
	if !b.open && !b.Held && (b.Placement.Equal(b.LastPlacement) && !b.ambiguous || now-b.closedSince >= wait) {
		b.open, b.ambiguous, b.LastPlacement = true, false, b.Placement
	}
	return b
}

// AllowsWrites reports whether writes are admitted at the time now, which must not be before the last update.
func (b Binding) AllowsWrites(now, wait time.Duration) bool { return b.openIfDue(now, wait).open }

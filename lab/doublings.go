package lab

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"vetchdoor/control"
	"vetchdoor/lab/node"
)

// trail is what the nodes saw of one op: its tries and its effects, each by the time at which the try arrived.
type trail struct {
	arrivals []node.Arrival
	effects  []node.Effect
}

// trails sorts what the nodes saw by op.
func trails(arrivals []node.Arrival, effects []node.Effect) map[uint64]trail {
	out := map[uint64]trail{}
	for _, a := range arrivals {
		t := out[a.Op]
		t.arrivals = append(t.arrivals, a)
		out[a.Op] = t
	}
	for _, x := range effects {
		t := out[x.Op]
		t.effects = append(t.effects, x)
		out[x.Op] = t
	}
	for _, t := range out {
		slices.SortStableFunc(t.arrivals, func(a, b node.Arrival) int { return cmp.Compare(a.At, b.At) })
		slices.SortStableFunc(t.effects, func(a, b node.Effect) int { return cmp.Compare(a.Arrived, b.Arrived) })
	}
	return out
}

// taken is when the first try arrived that a node did not turn away.
func (t trail) taken() (at time.Duration, ok bool) {
	for _, a := range t.arrivals {
		if a.Taken {
			return a.At, true
		}
	}
	return 0, false
}

// times are when the op took effect.
func (t trail) times() (out []time.Duration) {
	for _, x := range t.effects {
		out = append(out, x.At)
	}
	return out
}

// tries tells for people where each try came.
func (t trail) tries(where places) (out []string) {
	for _, a := range t.arrivals {
		line := fmt.Sprintf("%v try %d proxy %d pod %s", a.At.Round(time.Millisecond), a.Try, a.Proxy, where.pod(a.Endpoint))
		if !a.Taken {
			line += " refused"
		}
		out = append(out, line)
	}
	return out
}

// tookEffect tells for people where each effect was.
func (t trail) tookEffect(where places) (out []string) {
	for _, x := range t.effects {
		out = append(out, fmt.Sprintf("%v pod %s", x.At.Round(time.Millisecond), where.pod(x.Endpoint)))
	}
	return out
}

// pod names an endpoint's pack and zone.
func (p places) pod(id control.EndpointID) string {
	at := p[id]
	return fmt.Sprintf("%s.%d", at.zone, at.pack)
}

// doubling is an effect of an op beyond its first.
type doubling struct {
	op     *op
	effect node.Effect
	trail  trail
	ours   bool // it breaks rule 2; else its client did what the settings do not allow, or they allow a second effect
}

// doublings returns the effects beyond the first of each op, by the time at which their tries arrived.
func (e *evidence) doublings() (out []doubling) {
	seen, types := trails(e.arrivals, e.effects), e.service.Types()
	for _, o := range e.ops {
		t := seen[o.number]
		for i := 1; i < len(t.effects); i++ {
			x := t.effects[i]
			out = append(out, doubling{o, x, t, breaksRule(&types[o.opType], o, t, x)})
		}
	}
	slices.SortStableFunc(out, func(a, b doubling) int { return cmp.Compare(a.effect.Arrived, b.effect.Arrived) })
	return out
}

// breaksRule tells whether an effect beyond an op's first breaks rule 2. It does unless the settings let the type's ops take
// effect again, or the client did what it may not: it tried again an op that had not been refused, when the op is once-only or
// the deduplication window was over, or it is one that misbehaves. Clients give each deduplicated op a key.
func breaksRule(kind *control.OpType, o *op, t trail, x node.Effect) bool {
	switch {
	case kind.Repeat == control.Retryable:
		return false
	case o.tries == 1:
		return true
	case o.bad != "":
		return false
	case !o.unrefused: // it was told of each try but the last that it had not run
		return true
	}
	first, ok := t.taken()
	return kind.Repeat == control.Deduplicated && ok && x.Arrived-first < kind.DedupWindow
}

// mostDoublings is how many doubled effects are told of one by one.
const mostDoublings = 5

// onceEach checks rule 2 on what took effect, whichever proxies the tries of an op went through.
func (e *evidence) onceEach(h *history) (out []Violation) {
	more := 0
	for _, d := range e.doublings() {
		if !d.ours {
			continue
		}
		if len(out) == mostDoublings {
			more++
			continue
		}
		kind := e.service.OpTypes[d.op.opType].Name
		if d.op.tenant > 0 {
			kind += " of " + d.op.whose()
		}
		out = append(out, Violation{2, d.effect.Arrived, fmt.Sprintf("op %d, %s, took effect again: tries %q, effects %q", d.op.number, kind,
			d.trail.tries(h.places), d.trail.tookEffect(h.places))})
	}
	if more > 0 {
		out = append(out, Violation{2, e.until, fmt.Sprintf("%d more effects beyond an op's first", more)})
	}
	return out
}

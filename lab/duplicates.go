package lab

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"vetchdoor/control"
	"vetchdoor/lab/node"
)

// opTrace holds what the nodes observed of one op: its tries and its effects, both sorted by the arrival of the try.
type opTrace struct {
	arrivals []node.Arrival
	effects  []node.Effect
}

// tracesByOp groups the nodes' observations by op number.
func tracesByOp(arrivals []node.Arrival, effects []node.Effect) map[uint64]opTrace {
	out := map[uint64]opTrace{}
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
		slices.SortStableFunc(t.effects, func(a, b node.Effect) int { return cmp.Compare(a.ArrivedAt, b.ArrivedAt) })
	}
	return out
}

// firstAccepted returns the arrival time of the first try that a node did not refuse; ok is false if there was none.
func (t opTrace) firstAccepted() (at time.Duration, ok bool) {
	for _, a := range t.arrivals {
		if a.Accepted {
			return a.At, true
		}
	}
	return 0, false
}

// effectTimes returns the times at which the op took effect.
func (t opTrace) effectTimes() (out []time.Duration) {
	for _, x := range t.effects {
		out = append(out, x.At)
	}
	return out
}

// describeTries describes each try in readable form: time, number, proxy and the pod that it reached.
func (t opTrace) describeTries(where placements) (out []string) {
	for _, a := range t.arrivals {
		line := fmt.Sprintf("%v try %d proxy %d pod %s", a.At.Round(time.Millisecond), a.Try, a.Proxy, where.podName(a.Endpoint))
		if !a.Accepted {
			line += " refused"
		}
		out = append(out, line)
	}
	return out
}

// describeEffects describes each effect in readable form: its time and pod.
func (t opTrace) describeEffects(where placements) (out []string) {
	for _, x := range t.effects {
		out = append(out, fmt.Sprintf("%v pod %s", x.At.Round(time.Millisecond), where.podName(x.Endpoint)))
	}
	return out
}

// podName returns the name of an endpoint's pod, ZONE.PACK.
func (p placements) podName(id control.EndpointID) string {
	at := p[id]
	return fmt.Sprintf("%s.%d", at.zone, at.pack)
}

// duplicate is an effect of an op beyond its first.
type duplicate struct {
	op        *op
	effect    node.Effect
	trail     opTrace
	violation bool // the effect breaks rule 2; false if the settings allow it or the client caused it by a retry that they forbid
}

// duplicates returns the effects beyond the first of each op, sorted by the arrival of their tries.
func (e *evidence) duplicates() (out []duplicate) {
	seen, types := tracesByOp(e.arrivals, e.effects), e.service.Types()
	for _, o := range e.ops {
		t := seen[o.number]
		for i := 1; i < len(t.effects); i++ {
			x := t.effects[i]
			out = append(out, duplicate{o, x, t, isViolation(&types[o.opType], o, t, x)})
		}
	}
	slices.SortStableFunc(out, func(a, b duplicate) int { return cmp.Compare(a.effect.ArrivedAt, b.effect.ArrivedAt) })
	return out
}

// isViolation reports whether an effect beyond an op's first breaks rule 2. It does not if the op type is retryable, or if
// the client made a forbidden retry: it misbehaves on purpose, or it retried an op that had not been refused although the
// op is once-only or its deduplication window was over. Clients send the same idempotency key with every try of a
// deduplicated op.
func isViolation(opType *control.OpType, o *op, trace opTrace, effect node.Effect) bool {
	switch {
	case opType.Repeat == control.Retryable:
		return false
	case o.tries == 1:
		return true
	case o.misbehaviour != "":
		return false
	case !o.retriedUnrefused: // every try but the last was refused, so the client may retry
		return true
	}
	first, ok := trace.firstAccepted()
	return opType.Repeat == control.Deduplicated && ok && effect.ArrivedAt-first < opType.DedupWindow
}

// maxDuplicatesListed is the number of duplicate effects that get a violation of their own; the rest are only counted.
const maxDuplicatesListed = 5

// checkDuplicates checks rule 2 on the effects: each op takes effect at most once, whichever proxies its tries went
// through.
func (e *evidence) checkDuplicates(h *history) (out []Violation) {
	unlisted := 0
	for _, d := range e.duplicates() {
		if !d.violation {
			continue
		}
		if len(out) == maxDuplicatesListed {
			unlisted++
			continue
		}
		kind := e.service.OpTypes[d.op.opType].Name
		if d.op.tenant > 0 {
			kind += " of " + d.op.tenantName()
		}
		out = append(out, Violation{2, d.effect.ArrivedAt, fmt.Sprintf("op %d, %s, took effect again: tries %q, effects %q",
			d.op.number, kind, d.trail.describeTries(h.placements), d.trail.describeEffects(h.placements))})
	}
	if unlisted > 0 {
		out = append(out, Violation{2, e.end, fmt.Sprintf("%d more effects beyond an op's first", unlisted)})
	}
	return out
}

package tenancy

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// The quarantine's numbers. Shares are from 0 to 1, spans in periods of the sums.
const (
	suffers   = 0.12 // of a pod's tries failing: it suffers
	hotLoad   = 0.88 // or so busy
	dominant  = 0.5  // of a suffering pod's time or failures: a tenant may be the cause
	unfair    = 3.0  // and this many times its fair share of the time
	ruinous   = 0.9  // of a tenant's tries failing, unfair times as many as those of others at its pods: it ruins what serves it
	leastRuin = 1.0  // ops a period for that
	patience  = 2    // periods of that before it is limited, and after that again before it is fenced
	leave     = 2.0  // times its fair share: what a limited tenant may still use
	crowds    = 0.3  // of its pods' capacity taken by one tenant: it needs more of them; a third of that: fewer would do
	asking    = 10   // periods of that before it gets some
	roomStep  = 1.5  // times as many
	mostRoom  = 4.0  // at most
	forgiving = 5    // periods of good behaviour until a limit goes, or a fence; doubled with each fence
	doublings = 6    // at most
	smoothing = 0.5  // the newest sums' part in a running mean
	leastTry  = 3    // tries a period that are always allowed
	settling  = 4    // periods after a limit or a fence in which nobody else is judged: what it stopped is still in the queues
	forgotten = 60   // periods without an op after which a tenant is no longer kept
	mostKept  = 4096 // tenants kept one by one; the lightest beyond are folded into one
)

// TryBudget is how many tries beyond the first, for each op, a proxy may spend on a tenant that is not limited.
const TryBudget = 0.2

// opsAt is its part of a running mean's ops at a pod: by the time that they took there and, as what fails at once takes none,
// at least those that failed.
func (t *watched) opsAt(p *[2]float64) float64 { return max(p[1], t.ops*p[0]/max(t.busy, 1e-9)) }

// Use is what proxies met of a tenant at a pod over a period. Busy is the time that servers held its ops.
type Use struct {
	Tenant      string
	Pod         PodID
	Ops, Failed float64
	Busy        time.Duration
}

// Health is a pod over a period: how busy it says it is (below 0: unknown).
type Health struct {
	Pod  PodID
	Load float64
}

// Limit is what a tenant may use, for all proxies. Rates are ops a second over all of them.
type Limit struct {
	Tenant string
	Rate   float64 // below 0: no limit
	Tries  float64 // tries beyond the first, for each op
	Hand   float64 // ops in hand at a time; below 0: no limit
	Fenced bool    // it is in quarantine: one pod of its subset alone
	Room   float64 // times the pods that its subset has by itself, as it needs more than those can well do; 1: none beyond
}

// Unlimited is the limit of a tenant that is not limited.
func Unlimited(name string) Limit {
	return Limit{Tenant: name, Rate: -1, Tries: TryBudget, Hand: -1, Room: 1}
}

// Free tells whether it says nothing: no limit, no room beyond the usual.
func (l Limit) Free() bool { return !l.Limited() && l.Room <= 1 }

// Limited tells whether the tenant may use less than others.
func (l Limit) Limited() bool { return l.Rate >= 0 || l.Hand >= 0 || l.Fenced }

// Sentence is a limit with what makes the next one longer; it outlives the pilot.
type Sentence struct {
	Limit
	Fences int
}

// watched is a tenant as the quarantine knows it.
type watched struct {
	name   string
	ops    float64 // running means a period
	failed float64
	busy   float64               // seconds
	pods   map[PodID]*[2]float64 // busy seconds and failures, by pod
	bad    int                   // periods in a row in which it looked like the cause
	good   int
	fences int

	crowded, roomy int // periods in a row in which its pods were too few for it, or too many
	limit          Limit
	idle           int
}

// Quarantine finds the tenants that harm others and says what they may still use.
type Quarantine struct {
	period  time.Duration
	tenants map[string]*watched
	load    map[PodID]float64
	settled int // periods since somebody was limited or fenced
}

// NewQuarantine starts one; sums come once a period.
func NewQuarantine(period time.Duration) *Quarantine {
	return &Quarantine{period: period, tenants: map[string]*watched{}, load: map[PodID]float64{}, settled: settling}
}

// Folded is the name under which the lightest tenants are kept together where there are too many; it is never limited.
const Folded = "\x00folded"

// Step takes a period's sums and returns the limits that changed, by tenant.
func (w *Quarantine) Step(uses []Use, health []Health) []Limit {
	for _, h := range health {
		w.load[h.Pod] = h.Load
	}
	for _, t := range w.tenants {
		t.fade()
	}
	for _, u := range w.fold(uses) {
		t := w.tenants[u.Tenant]
		if t == nil {
			t = &watched{name: u.Tenant, pods: map[PodID]*[2]float64{}, limit: Unlimited(u.Tenant)}
			w.tenants[u.Tenant] = t
		}
		t.add(u)
	}
	var out []Limit
	causes, own := w.causes()
	w.settled++
	for _, name := range slices.Sorted(maps.Keys(w.tenants)) {
		t := w.tenants[name]
		if before := t.limit; name != Folded {
			cause := causes[name]
			if w.settled < settling && !before.Limited() && !cause.ruins {
				cause.part = 0
			}
			if t.judge(cause, w.period); t.limit.Limited() && t.limit != before && (t.limit.Fenced || !before.Limited()) {
				w.settled = 0
			}
			if t.house(own[name], cause); t.limit != before {
				out = append(out, t.limit)
			}
		}
		if t.idle > forgotten && t.limit.Free() {
			delete(w.tenants, name)
		}
	}
	return out
}

// Met returns the running mean of what was met of a tenant over a period.
func (w *Quarantine) Met(name string) Use {
	t := w.tenants[name]
	if t == nil {
		return Use{Tenant: name}
	}
	return Use{Tenant: name, Ops: t.ops, Failed: t.failed, Busy: time.Duration(t.busy * float64(time.Second))}
}

// Restore takes back what a pilot that ended had said. Its periods of good behaviour begin anew.
func (w *Quarantine) Restore(kept []Sentence) {
	for _, s := range kept {
		if len(w.tenants) < mostKept {
			w.tenants[s.Tenant] = &watched{name: s.Tenant, pods: map[PodID]*[2]float64{}, limit: s.Limit, fences: s.Fences}
		}
	}
}

// Sentences returns all limits that stand, by tenant.
func (w *Quarantine) Sentences() (out []Sentence) {
	for _, name := range slices.Sorted(maps.Keys(w.tenants)) {
		if t := w.tenants[name]; !t.limit.Free() {
			out = append(out, Sentence{t.limit, t.fences})
		}
	}
	return out
}

// fold keeps the number of tenants within its bound: those that are kept already and the busiest of the new ones.
func (w *Quarantine) fold(uses []Use) []Use {
	fresh := map[string]time.Duration{}
	for _, u := range uses {
		if w.tenants[u.Tenant] == nil {
			fresh[u.Tenant] += u.Busy
		}
	}
	room := mostKept - len(w.tenants)
	if len(fresh) <= room {
		return uses
	}
	names := slices.SortedFunc(maps.Keys(fresh), func(a, b string) int {
		return cmp.Or(cmp.Compare(fresh[b], fresh[a]), cmp.Compare(a, b))
	})
	for _, name := range names[:max(0, room)] {
		delete(fresh, name)
	}
	out := slices.Clone(uses)
	for i := range out {
		if _, folded := fresh[out[i].Tenant]; folded {
			out[i].Tenant = Folded
		}
	}
	return out
}

func (t *watched) fade() {
	t.idle++
	t.ops, t.failed, t.busy = t.ops*(1-smoothing), t.failed*(1-smoothing), t.busy*(1-smoothing)
	for _, p := range t.pods {
		p[0], p[1] = p[0]*(1-smoothing), p[1]*(1-smoothing)
	}
}

func (t *watched) add(u Use) {
	t.idle = 0
	t.ops += smoothing * u.Ops
	t.failed += smoothing * min(u.Failed, u.Ops)
	t.busy += smoothing * u.Busy.Seconds()
	p := t.pods[u.Pod]
	if p == nil {
		p = &[2]float64{}
		t.pods[u.Pod] = p
	}
	p[0] += smoothing * u.Busy.Seconds()
	p[1] += smoothing * min(u.Failed, u.Ops)
}

// cause is why a tenant is limited: the part of what it uses now that would be fair (0: it is no cause), and whether its ops
// ruin what serves them, so that none of them is of use to it.
type cause struct {
	part  float64
	ruins bool
}

// causes finds, for each pod that suffers, the tenant that takes most of its time or of its failures, far beyond a fair
// share; it returns the part of what it uses now that would be fair.
// One whose every op fails, where others fare far better and pods suffer, is a cause whatever time it takes.
// It returns too what part of its pods' capacity each tenant takes.
func (w *Quarantine) causes() (map[string]cause, map[string]float64) {
	type pod struct{ busy, failed, ops, users float64 }
	pods := map[PodID]*pod{}
	for _, t := range w.tenants {
		for id, p := range t.pods {
			if p[0] < 1e-6 && p[1] < 1e-6 {
				delete(t.pods, id)
				continue
			}
			x := pods[id]
			if x == nil {
				x = &pod{}
				pods[id] = x
			}
			x.busy, x.failed, x.users = x.busy+p[0], x.failed+p[1], x.users+1
			x.ops += t.opsAt(p)
		}
	}
	out, own := map[string]cause{}, map[string]float64{}
	for name, t := range w.tenants {
		for id, p := range t.pods {
			if load, known := w.load[id]; known && t.busy > 0 {
				own[name] += p[0] / t.busy * load * p[0] / max(pods[id].busy, 1e-9)
			}
		}
		var others, failing float64 // ops of others at its pods, and those that failed
		sick := false
		for id, p := range t.pods {
			x := pods[id]
			others, failing = others+x.ops-t.opsAt(p), failing+x.failed-p[1]
			sick = sick || x.failed > suffers*x.ops
		}
		if sick && t.ops >= leastRuin && t.failed >= ruinous*t.ops && others > 0 && failing*unfair < ruinous*others {
			out[name] = cause{part: 1 / leave / max(t.ops, 1), ruins: true}
			continue
		}
		for id, p := range t.pods {
			x := pods[id]
			load, known := w.load[id]
			sick := x.failed > suffers*x.ops || known && load >= hotLoad
			fair := x.busy / x.users
			most := p[0] > dominant*x.busy || p[1] > dominant*x.failed
			if sick && x.users > 1 && most && p[0] > unfair*fair {
				part := fair / p[0]
				if old, ok := out[name]; !ok || part < old.part {
					out[name] = cause{part: part}
				}
			}
		}
	}
	return out, own
}

// house gives a tenant that needs more than its pods can well do more of them, slowly, and takes them back more slowly. One
// that is limited, is a cause or whose ops fail has none beyond its own: what it ruins is not to be more.
func (t *watched) house(own float64, c cause) {
	switch {
	case t.limit.Limited():
		t.limit.Room, t.crowded, t.roomy = 1, 0, 0
		return
	case c.part > 0 || t.failed > suffers*t.ops:
		t.crowded = 0
		return
	case own >= crowds:
		t.crowded, t.roomy = t.crowded+1, 0
	case own <= crowds/3:
		t.crowded, t.roomy = 0, t.roomy+1
	default:
		t.crowded, t.roomy = 0, 0
	}
	if t.crowded >= asking && t.limit.Room < mostRoom {
		t.limit.Room, t.crowded = min(mostRoom, t.limit.Room*roomStep), 0
	}
	if t.roomy >= asking*doublings && t.limit.Room > 1 {
		t.limit.Room, t.roomy = max(1, t.limit.Room/roomStep), 0
	}
}

// judge limits a tenant that goes on being the cause, fences it if the limit did not help, and forgives one that behaves,
// later each time.
func (t *watched) judge(c cause, period time.Duration) {
	if c.part > 0 {
		t.bad, t.good = t.bad+1, 0
	} else {
		t.bad, t.good = 0, t.good+1
	}
	switch {
	case t.limit.Fenced:
		// Behind its fence it harms nobody; what counts is whether its own ops fare well.
		if t.failed > suffers*t.ops {
			t.good = 0
		}
		if t.good >= forgiving<<min(t.fences-1, doublings) {
			t.limit.Fenced, t.limit.Rate, t.limit.Hand, t.good = false, max(t.ops, 1)/period.Seconds(), -1, 0
		}
	case t.limit.Limited() && t.bad >= patience:
		t.limit.Fenced, t.bad = true, 0
		t.fences++
	case t.bad >= patience:
		part := leave * c.part
		t.limit.Rate, t.limit.Tries, t.limit.Hand = max(1, part*t.ops)/period.Seconds(), 0, max(1, part*t.busy/period.Seconds())
		if t.bad = 0; c.ruins { // nothing is gained by waiting
			t.limit.Fenced = true
			t.fences++
		}
	case t.limit.Limited() && t.good >= forgiving:
		t.limit, t.good = Unlimited(t.name), 0
	}
}

// RetryBudget is a proxy's account of the tries that it may spend on one tenant beyond the first: a share of its ops, not a
// count for each, so that a tenant whose every op fails is not tried again forever.
type RetryBudget struct{ left float64 }

// Earn earns for an op; share is the limit's.
func (b *RetryBudget) Earn(share float64) { b.left = min(b.left+share, max(leastTry, 20*share)) }

// Spend spends a try; false says that there is none left.
func (b *RetryBudget) Spend() bool {
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}

// Allowance is a proxy's account of what a limited tenant may still use: ops by their rate and those in hand. Where not all
// can go, those that earn most go first: the others leave a part of it to them.
type Allowance struct {
	tokens float64
	last   time.Duration
	hand   int
}

// kept is the part of an allowance that ops of the least revenue leave to those of the most; mostSaved how many ops' worth a
// slow tenant may save up.
const (
	kept      = 0.5
	mostSaved = 2.0
)

// Admit tells whether an op may go and takes it in hand; rank is from 0 for the op type that earns least to 1 for the one
// that earns most. Below 0 a limit is none.
func (a *Allowance) Admit(now time.Duration, rate, hand, rank float64) bool {
	if hand >= 0 && float64(a.hand) >= max(1, hand*(1-kept*(1-rank))) {
		return false
	}
	if rate >= 0 {
		most := max(mostSaved, rate)
		a.tokens = min(most, a.tokens+rate*(now-a.last).Seconds())
		a.last = now
		if a.tokens < 1+(1-rank)*kept*most {
			return false
		}
		a.tokens--
	} else {
		a.tokens, a.last = 1, now
	}
	a.hand++
	return true
}

// Done takes an op out of hand.
func (a *Allowance) Done() { a.hand-- }

package tenancy

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Parameters of the quarantine. Shares are from 0 to 1; times are numbers of reporting periods.
const (
	unhealthyShare  = 0.12 // a pod or tenant with a larger share of its ops failing is unhealthy
	unhealthyLoad   = 0.88 // a pod with this load is unhealthy
	dominantShare   = 0.5  // a tenant that takes more of an unhealthy pod's busy time or failures may be the cause
	unfairFactor    = 3.0  // a cause also uses more than this many times the mean busy time per tenant of the pod
	ruinousShare    = 0.9  // a tenant is ruinous if this share of its ops fail, and less than this/unfairFactor of others' ops
	ruinousMinOps   = 1.0  // ops per period below which a tenant is not considered ruinous
	limitAfter      = 2    // bad periods in a row before a tenant is limited, and again before it is fenced
	allowedFactor   = 2.0  // multiple of its fair usage that a limited tenant may still use
	crowdedShare    = 0.3  // a tenant that uses this share of its pods' capacity needs more pods, at a third of it fewer
	resizeAfter     = 10   // crowded periods in a row before a tenant gets more pods
	roomStep        = 1.5  // factor by which Limit.Room changes in one step
	maxRoom         = 4.0  // largest Limit.Room
	releaseAfter    = 5    // good periods in a row that lift a limit or a fence; doubled for each earlier fence
	maxDoublings    = 6    // most doublings of releaseAfter; also multiple of resizeAfter before room is reduced
	smoothing       = 0.5  // weight of the newest period in the running means
	minSavedRetries = 3    // lower bound of the retries that a RetryBudget may hold
	settlePeriods   = 4    // periods after a limit or fence in which no other is limited: queued ops still cause failures
	forgetAfter     = 60   // periods without ops after which an unlimited tenant is forgotten
	maxTenants      = 4096 // tenants tracked one by one; of new ones beyond that, the least busy are aggregated
)

// RetriesPerOp is the mean number of retries per op that a proxy may make for a tenant that is not limited.
const RetriesPerOp = 0.2

// opsAt estimates the tenant's ops at one pod, as a running mean per period. It divides the ops by the busy time that
// they took there. As ops that fail at once take no time, the estimate is at least the number of failures.
func (t *tenantStats) opsAt(p *[2]float64) float64 { return max(p[1], t.ops*p[0]/max(t.busy, 1e-9)) }

// Usage is a tenant's usage of one pod in one period, as reported by the proxies. Busy is the time that servers spent on
// its ops.
type Usage struct {
	Tenant      string
	Pod         PodID
	Ops, Failed float64
	Busy        time.Duration
}

// Health is the load that a pod reported in one period, as a share of its capacity; negative if unknown.
type Health struct {
	Pod  PodID
	Load float64
}

// Limit is what a tenant may use, at all proxies together. Rates are in ops per second over all proxies.
type Limit struct {
	Tenant string
	Rate   float64 // negative: no limit
	Tries  float64 // tries beyond the first, per op
	Hand   float64 // concurrent ops; negative: no limit
	Fenced bool    // quarantined: restricted to one pod of its subset
	Room   float64 // size of the subset as a multiple of its usual size, for a tenant that needs more pods; 1: the usual size
}

// Unlimited returns the limit of a tenant that is not limited.
func Unlimited(name string) Limit {
	return Limit{Tenant: name, Rate: -1, Tries: RetriesPerOp, Hand: -1, Room: 1}
}

// IsDefault reports whether the limit restricts nothing and grants no additional pods.
func (l Limit) IsDefault() bool { return !l.Limited() && l.Room <= 1 }

// Limited reports whether the tenant may use less than others.
func (l Limit) Limited() bool { return l.Rate >= 0 || l.Hand >= 0 || l.Fenced }

// LimitRecord is the durable form of a limit, with the number of fences so far, which determines how long the next fence
// lasts.
type LimitRecord struct {
	Limit
	Fences int
}

// tenantStats is the state of one tenant.
type tenantStats struct {
	name        string
	ops         float64 // running mean per period, like failed and busy
	failed      float64
	busy        float64               // in seconds
	pods        map[PodID]*[2]float64 // running means of busy seconds and failures, by pod
	badPeriods  int                   // periods in a row in which the tenant was a cause
	goodPeriods int                   // periods in a row in which it was not
	fences      int                   // number of times that the tenant was fenced

	crowdedPeriods, roomyPeriods int // periods in a row in which the tenant's pods were too few, or more than needed
	limit                        Limit
	idlePeriods                  int // periods in a row without ops
}

// Quarantine detects tenants whose ops harm others and limits what they may use.
type Quarantine struct {
	period      time.Duration
	tenants     map[string]*tenantStats
	load        map[PodID]float64
	sinceAction int // periods since a tenant was last limited or fenced
}

// NewQuarantine returns a Quarantine whose Step is called once per period.
func NewQuarantine(period time.Duration) *Quarantine {
	return &Quarantine{period: period, tenants: map[string]*tenantStats{}, load: map[PodID]float64{}, sinceAction: settlePeriods}
}

// AggregatedTenant is the name under which the least busy tenants are aggregated if there are too many. It is never
// limited.
const AggregatedTenant = "\x00folded"

// Step processes one period's usage and pod loads, and returns the limits that changed, sorted by tenant.
func (q *Quarantine) Step(uses []Usage, health []Health) []Limit {
	for _, h := range health {
		q.load[h.Pod] = h.Load
	}
	for _, t := range q.tenants {
		t.decay()
	}
	for _, u := range q.aggregate(uses) {
		t := q.tenants[u.Tenant]
		if t == nil {
			t = &tenantStats{name: u.Tenant, pods: map[PodID]*[2]float64{}, limit: Unlimited(u.Tenant)}
			q.tenants[u.Tenant] = t
		}
		t.add(u)
	}
	var out []Limit
	causes, capacityShares := q.causes()
	q.sinceAction++
	for _, name := range slices.Sorted(maps.Keys(q.tenants)) {
		t := q.tenants[name]
		if before := t.limit; name != AggregatedTenant {
			cause := causes[name]
			if q.sinceAction < settlePeriods && !before.Limited() && !cause.ruinous {
				cause.share = 0
			}
			if t.adjustLimit(cause, q.period); t.limit.Limited() && t.limit != before && (t.limit.Fenced || !before.Limited()) {
				q.sinceAction = 0
			}
			if t.adjustRoom(capacityShares[name], cause); t.limit != before {
				out = append(out, t.limit)
			}
		}
		if t.idlePeriods > forgetAfter && t.limit.IsDefault() {
			delete(q.tenants, name)
		}
	}
	return out
}

// UsageOf returns the running mean per period of a tenant's usage, over all pods.
func (q *Quarantine) UsageOf(name string) Usage {
	t := q.tenants[name]
	if t == nil {
		return Usage{Tenant: name}
	}
	return Usage{Tenant: name, Ops: t.ops, Failed: t.failed, Busy: time.Duration(t.busy * float64(time.Second))}
}

// Restore loads the limits saved by an earlier run of the pilot. The counts of good periods start from zero.
func (q *Quarantine) Restore(records []LimitRecord) {
	for _, s := range records {
		if len(q.tenants) < maxTenants {
			q.tenants[s.Tenant] = &tenantStats{name: s.Tenant, pods: map[PodID]*[2]float64{}, limit: s.Limit, fences: s.Fences}
		}
	}
}

// LimitRecords returns all limits in force, sorted by tenant.
func (q *Quarantine) LimitRecords() (out []LimitRecord) {
	for _, name := range slices.Sorted(maps.Keys(q.tenants)) {
		if t := q.tenants[name]; !t.limit.IsDefault() {
			out = append(out, LimitRecord{t.limit, t.fences})
		}
	}
	return out
}

// aggregate bounds the number of tracked tenants. It renames the usage of new tenants, other than the busiest, to
// AggregatedTenant.
func (q *Quarantine) aggregate(uses []Usage) []Usage {
	newTenants := map[string]time.Duration{}
	for _, u := range uses {
		if q.tenants[u.Tenant] == nil {
			newTenants[u.Tenant] += u.Busy
		}
	}
	free := maxTenants - len(q.tenants)
	if len(newTenants) <= free {
		return uses
	}
	names := slices.SortedFunc(maps.Keys(newTenants), func(a, b string) int {
		return cmp.Or(cmp.Compare(newTenants[b], newTenants[a]), cmp.Compare(a, b))
	})
	for _, name := range names[:max(0, free)] {
		delete(newTenants, name)
	}
	out := slices.Clone(uses)
	for i := range out {
		if _, aggregated := newTenants[out[i].Tenant]; aggregated {
			out[i].Tenant = AggregatedTenant
		}
	}
	return out
}

// decay discounts the running means at the start of a period.
func (t *tenantStats) decay() {
	t.idlePeriods++
	t.ops, t.failed, t.busy = t.ops*(1-smoothing), t.failed*(1-smoothing), t.busy*(1-smoothing)
	for _, p := range t.pods {
		p[0], p[1] = p[0]*(1-smoothing), p[1]*(1-smoothing)
	}
}

// add adds the usage of one pod in this period to the running means.
func (t *tenantStats) add(u Usage) {
	t.idlePeriods = 0
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

// cause is the reason to limit a tenant: the part of its current usage that would be fair (0: the tenant is not a cause),
// and whether its ops disable the servers that run them, so that none of the ops can succeed.
type cause struct {
	share   float64
	ruinous bool
}

// causes returns, for each pod that is unhealthy, the tenant that takes most of its busy time or of its failures and far
// more than a fair share, with the part of its usage that would be fair. A tenant of which almost every op fails, while
// others' ops fail far less often and some of its pods are unhealthy, is a cause regardless of its busy time. The second
// result is the share of its pods' capacity that each tenant takes.
func (q *Quarantine) causes() (map[string]cause, map[string]float64) {
	type podTotals struct{ busy, failed, ops, users float64 }
	pods := map[PodID]*podTotals{}
	for _, t := range q.tenants {
		for id, p := range t.pods {
			if p[0] < 1e-6 && p[1] < 1e-6 {
				delete(t.pods, id)
				continue
			}
			total := pods[id]
			if total == nil {
				total = &podTotals{}
				pods[id] = total
			}
			total.busy, total.failed, total.users = total.busy+p[0], total.failed+p[1], total.users+1
			total.ops += t.opsAt(p)
		}
	}
	out, capacityShare := map[string]cause{}, map[string]float64{}
	for name, t := range q.tenants {
		for id, p := range t.pods {
			if load, known := q.load[id]; known && t.busy > 0 {
				capacityShare[name] += p[0] / t.busy * load * p[0] / max(pods[id].busy, 1e-9)
			}
		}
		var others, failing float64 // ops of other tenants at the same pods, and how many of them failed
		unhealthy := false
		for id, p := range t.pods {
			total := pods[id]
			others, failing = others+total.ops-t.opsAt(p), failing+total.failed-p[1]
			unhealthy = unhealthy || total.failed > unhealthyShare*total.ops
		}
		if unhealthy && t.ops >= ruinousMinOps && t.failed >= ruinousShare*t.ops && others > 0 &&
			failing*unfairFactor < ruinousShare*others {
			out[name] = cause{share: 1 / allowedFactor / max(t.ops, 1), ruinous: true}
			continue
		}
		for id, p := range t.pods {
			total := pods[id]
			load, known := q.load[id]
			unhealthy := total.failed > unhealthyShare*total.ops || known && load >= unhealthyLoad
			fair := total.busy / total.users
			dominates := p[0] > dominantShare*total.busy || p[1] > dominantShare*total.failed
			if unhealthy && total.users > 1 && dominates && p[0] > unfairFactor*fair {
				share := fair / p[0]
				if old, ok := out[name]; !ok || share < old.share {
					out[name] = cause{share: share}
				}
			}
		}
	}
	return out, capacityShare
}

// adjustRoom gives more pods to a tenant that needs more than its subset, and takes them back more slowly. A tenant that
// is limited loses its additional pods, and one that is a cause or whose ops fail gets no more: it must not harm further
// pods.
func (t *tenantStats) adjustRoom(capacityShare float64, c cause) {
	switch {
	case t.limit.Limited():
		t.limit.Room, t.crowdedPeriods, t.roomyPeriods = 1, 0, 0
		return
	case c.share > 0 || t.failed > unhealthyShare*t.ops:
		t.crowdedPeriods = 0
		return
	case capacityShare >= crowdedShare:
		t.crowdedPeriods, t.roomyPeriods = t.crowdedPeriods+1, 0
	case capacityShare <= crowdedShare/3:
		t.crowdedPeriods, t.roomyPeriods = 0, t.roomyPeriods+1
	default:
		t.crowdedPeriods, t.roomyPeriods = 0, 0
	}
	if t.crowdedPeriods >= resizeAfter && t.limit.Room < maxRoom {
		t.limit.Room, t.crowdedPeriods = min(maxRoom, t.limit.Room*roomStep), 0
	}
	if t.roomyPeriods >= resizeAfter*maxDoublings && t.limit.Room > 1 {
		t.limit.Room, t.roomyPeriods = max(1, t.limit.Room/roomStep), 0
	}
}

// adjustLimit limits a tenant that is repeatedly a cause, fences it if the limit does not help, and lifts the limit after
// enough good periods, more of them after each fence.
func (t *tenantStats) adjustLimit(c cause, period time.Duration) {
	if c.share > 0 {
		t.badPeriods, t.goodPeriods = t.badPeriods+1, 0
	} else {
		t.badPeriods, t.goodPeriods = 0, t.goodPeriods+1
	}
	switch {
	case t.limit.Fenced:
		// A fenced tenant cannot harm others, so what counts is whether its own ops succeed.
		if t.failed > unhealthyShare*t.ops {
			t.goodPeriods = 0
		}
		if t.goodPeriods >= releaseAfter<<min(t.fences-1, maxDoublings) {
			t.limit.Fenced, t.limit.Rate, t.limit.Hand, t.goodPeriods = false, max(t.ops, 1)/period.Seconds(), -1, 0
		}
	case t.limit.Limited() && t.badPeriods >= limitAfter:
		t.limit.Fenced, t.badPeriods = true, 0
		t.fences++
	case t.badPeriods >= limitAfter:
		share := allowedFactor * c.share
		t.limit.Rate, t.limit.Tries, t.limit.Hand = max(1, share*t.ops)/period.Seconds(), 0, max(1, share*t.busy/period.Seconds())
		if t.badPeriods = 0; c.ruinous { // limiting a ruinous tenant first would not help
			t.limit.Fenced = true
			t.fences++
		}
	case t.limit.Limited() && t.goodPeriods >= releaseAfter:
		t.limit, t.goodPeriods = Unlimited(t.name), 0
	}
}

// RetryBudget is a proxy's account of the tries beyond the first for one tenant. It limits them to a share of the
// tenant's ops instead of a count per op, so that a tenant whose ops all fail causes few retries.
type RetryBudget struct{ balance float64 }

// Earn adds the retries earned by one op; share is Limit.Tries.
func (b *RetryBudget) Earn(share float64) {
	b.balance = min(b.balance+share, max(minSavedRetries, 20*share))
}

// Spend takes one retry from the account; it returns false if there is none.
func (b *RetryBudget) Spend() bool {
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// Allowance is a proxy's account of what one limited tenant may still use: ops by rate, and concurrent ops. If not all
// ops can be admitted, those of the types with the highest revenue go first: the other types leave a part of the
// allowance unused.
type Allowance struct {
	tokens     float64
	last       time.Duration
	concurrent int
}

// reservedShare is the part of an allowance that the op type of least revenue leaves to the one of most revenue.
// maxSavedOps is how many ops a tenant with a low rate may save up.
const (
	reservedShare = 0.5
	maxSavedOps   = 2.0
)

// Admit reports whether an op is admitted, and counts it as in progress if so. The limits are rate, in ops per second,
// and concurrent; a negative one is no limit. rank is from 0, for the op type of least revenue, to 1, for the one of
// most.
func (a *Allowance) Admit(now time.Duration, rate, concurrent, rank float64) bool {
	if concurrent >= 0 && float64(a.concurrent) >= max(1, concurrent*(1-reservedShare*(1-rank))) {
		return false
	}
	if rate >= 0 {
		maxTokens := max(maxSavedOps, rate)
		a.tokens = min(maxTokens, a.tokens+rate*(now-a.last).Seconds())
		a.last = now
		if a.tokens < 1+(1-rank)*reservedShare*maxTokens {
			return false
		}
		a.tokens--
	} else {
		a.tokens, a.last = 1, now
	}
	a.concurrent++
	return true
}

// Done counts an admitted op as finished.
func (a *Allowance) Done() { a.concurrent-- }

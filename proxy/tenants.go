package proxy

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
	"sync"
	"time"

	"vetchdoor/files"
	"vetchdoor/http1"
	"vetchdoor/runtime"
	"vetchdoor/serve"
	"vetchdoor/tenancy"
	"vetchdoor/tenancy/match"
)

// tenants attributes ops to tenants and restricts each tenant to its subset of the servers.
type tenants struct {
	matcher    *match.Matcher
	subsetSize int                           // pods in a tenant's subset; 0: all
	mu         sync.Mutex                    // guards known and sums
	known      map[string]*tenant            // tenants that sent ops, at most maxTenants and the shared one
	sums       map[sumKey]*runtime.TenantSum // tries since the last sums were sent

	groups *writeGroups // shared with the proxy; without groups until the proxy sets it
}

// sumKey identifies one sum: a tenant's tries at one pod.
type sumKey struct {
	name string
	pod  tenancy.PodID
}

// unlimited is the limit of tenants for which the pilot has set none.
var unlimited = tenancy.Unlimited("")

// tenant is one tenant that sent ops.
type tenant struct {
	name   string
	shared bool // the account is shared by all tenants beyond maxTenants
	*account
}

// account is a tenant's use of its limits, its retry budget, and its borrowing of a pod outside its subset.
type account struct {
	mu     sync.Mutex           // guards the fields below
	budget tenancy.RetryBudget  // tries beyond the first
	credit tenancy.BorrowCredit // success rate; decides whether the tenant may borrow a pod
	lent   tenancy.BorrowState  // pod to which the tenant's latest writes were sent

	allowance tenancy.Allowance // op rate and ops in progress
}

// Bounds on the state kept for tenants. Tenants beyond maxTenants share one account of tries, and subsets beyond
// maxCachedSubsets are drawn on each use.
const (
	maxTenants       = 4096
	maxCachedSubsets = 4096
	maxTenantSums    = 1024 // sums in one report period; further tries are added up as one tenant, per pod
)

// newTenants returns an error if the rules that identify tenants are invalid.
func newTenants(f *files.Tenants) (*tenants, error) {
	m, err := match.New(match.Rules{Header: f.Header, PathPrefix: f.PathPrefix, Networks: f.Networks, Known: f.Known})
	if err != nil {
		return nil, err
	}
	return &tenants{matcher: m, subsetSize: f.Subset, known: map[string]*tenant{}, sums: map[sumKey]*runtime.TenantSum{},
		groups: &writeGroups{}}, nil
}

// identify returns the tenant of a request; nil if ops are not attributed to tenants.
func (t *tenants) identify(c *serve.Conn, m *http1.Message) *tenant {
	if t == nil {
		return nil
	}
	var field []byte
	if h := t.matcher.Header(); h != "" {
		field = m.Get(h)
	}
	var client netip.Addr
	if at, err := netip.ParseAddrPort(c.RemoteAddress()); err == nil {
		client = at.Addr()
	}
	return t.lookup(t.matcher.Tenant(field, m.Target, client))
}

// lookup returns the record of a tenant, which it creates if needed. Tenants beyond maxTenants get a record that is not kept
// and whose account they share.
func (t *tenants) lookup(name string) *tenant {
	t.mu.Lock()
	defer t.mu.Unlock()
	record := t.known[name]
	if record != nil {
		return record
	}
	if len(t.known) < maxTenants {
		record = &tenant{name: name, account: &account{}}
		t.known[name] = record
		return record
	}
	shared := t.known[tenancy.AggregatedTenant]
	if shared == nil {
		shared = &tenant{name: tenancy.AggregatedTenant, account: &account{}}
		t.known[tenancy.AggregatedTenant] = shared
	}
	return &tenant{name, true, shared.account}
}

// admit reports whether the tenant's limit admits an op of the given revenue rank, and counts the op as in progress if so.
// It also credits the tenant's retry budget with the retries that one op earns (Limit.Tries). A nil tenant admits every op.
func (t *tenant) admit(l tenancy.Limit, rank float64, now time.Duration) bool {
	if t == nil {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.budget.Earn(l.Tries)
	return t.allowance.Admit(now, l.Rate, l.Hand, rank)
}

// opDone records that an admitted op has ended.
func (t *tenant) opDone() {
	if t != nil {
		t.mu.Lock()
		t.allowance.Done()
		t.mu.Unlock()
	}
}

// spendTry reports whether the retry budget allows another try, and charges it. A nil tenant allows every try.
func (t *tenant) spendTry() bool {
	if t == nil {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.budget.Spend()
}

// pod returns the pod that the server belongs to: its pack within its zone.
func (e *server) pod() tenancy.PodID { return tenancy.PodOf(e.Zone, e.Pack) }

// podSubsets draws the subsets of tenants from the pods of a table, and caches them.
type podSubsets struct {
	pods *tenancy.Pods

	mu         sync.Mutex    // guards candidates and validUntil
	candidates []tenancy.Pod // pods that subsets are drawn from
	validUntil time.Duration // when candidates must be recomputed, since the proxy's start
	cache      subsetCache

	zones map[tenancy.PodID]*zonePods // by the pod ID that stands for the zone, see tenancy.ZoneGroup
}

// zonePods are the pods of a zone that have a server in a table, and the cached subsets of tenants among them. The pods are
// fixed; a table with other servers has its own zonePods.
type zonePods struct {
	live    []tenancy.Pod
	subsets [groupKindCount]subsetCache // separate by kind, because a tenant may use a different number of zones for each
}

// zonesOf groups pods by zone.
func zonesOf(live []tenancy.Pod) map[tenancy.PodID]*zonePods {
	zones := map[tenancy.PodID]*zonePods{}
	for _, pod := range live {
		zone := tenancy.ZoneGroup(pod.ID)
		if zones[zone] == nil {
			zones[zone] = &zonePods{}
		}
		zones[zone].live = append(zones[zone].live, pod)
	}
	return zones
}

// subsetCache caches the subsets drawn for tenants, for at most maxCachedSubsets of them.
type subsetCache struct {
	mu       sync.Mutex
	byTenant map[string]cachedSubset
}

// cachedSubset is a tenant's subset of pods or groups, with the parameters that it was drawn by.
type cachedSubset struct {
	placement tenancy.Placement
	count     int
	pods      []tenancy.PodID
}

// getOrDraw returns the subset of a write's tenant. It calls draw if no subset is cached for the tenant's current placement
// and count.
func (s *subsetCache) getOrDraw(w tenancy.Write, draw func(tenancy.Write) []tenancy.PodID) []tenancy.PodID {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byTenant == nil {
		s.byTenant = map[string]cachedSubset{}
	}
	cached, ok := s.byTenant[w.Tenant]
	if ok && cached.count == w.Count && cached.placement.Equal(w.Placement) {
		return cached.pods
	}
	cached = cachedSubset{w.Placement, w.Count, draw(w)}
	if ok || len(s.byTenant) < maxCachedSubsets {
		s.byTenant[w.Tenant] = cached
	}
	return cached.pods
}

// clear empties the cache.
func (s *subsetCache) clear() {
	s.mu.Lock()
	s.byTenant = nil
	s.mu.Unlock()
}

// podSubsetsAfter returns the subsets for the lines of a new table. It reuses those of the previous table if the servers are
// the same.
func podSubsetsAfter(before *table, lines []line, now time.Duration) *podSubsets {
	if before != nil && slices.EqualFunc(lines, before.lines, func(a, b line) bool { return a.server == b.server }) {
		return before.subsets
	}
	var live []tenancy.Pod
	for _, l := range lines {
		p := tenancy.Pod{ID: l.server.pod(), Zone: l.server.Zone, Capacity: 1}
		if !slices.Contains(live, p) {
			live = append(live, p)
		}
	}
	var podsBefore *tenancy.Pods
	if before != nil {
		podsBefore = before.subsets.pods
	}
	pods := podsBefore.Update(now, live)
	return &podSubsets{pods: pods, zones: zonesOf(pods.Live())}
}

// allowedPods returns the pods of a table that a tenant may use; nil for all. The subset is drawn from pods with a server in
// the table, drained or not, and from pods that lost their last server recently: a tenant whose ops make its servers fail
// must not be given other servers at once.
func (t *tenants) allowedPods(owner *tenant, table *table, current *bindings, limit tenancy.Limit,
	now time.Duration) []tenancy.PodID {
	if t == nil || len(table.lines) == 0 {
		return nil
	}
	placement := current.byTenant[owner.name].Placement
	if t.subsetSize == 0 && placement.Size == 0 && len(placement.Pods) == 0 {
		return nil
	}
	count := t.subsetSize
	if placement.Size > 0 {
		count = placement.Size
	}
	if count > 1 { // a subset of one pod is not enlarged: a second pod would not have what was written to the first
		count = int(math.Ceil(float64(count) * limit.Room))
	}
	pods := table.subsets.subsetFor(tenancy.Write{Tenant: owner.name, Placement: placement, Count: count}, now)
	if limit.Fenced && len(pods) > 1 {
		return pods[:1]
	}
	return pods
}

// subsetFor returns a tenant's subset of the pods.
func (s *podSubsets) subsetFor(w tenancy.Write, now time.Duration) []tenancy.PodID {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.candidates == nil || now >= s.validUntil {
		var until time.Duration
		if s.candidates, until = s.pods.Candidates(now); until < math.MaxInt64-now {
			until += now
		}
		s.validUntil = until
		s.cache.clear()
	}
	return s.cache.getOrDraw(w, func(w tenancy.Write) []tenancy.PodID {
		return tenancy.Placement{Draw: w.Placement.Draw, Size: w.Count, Pods: w.Placement.Pods}.SelectFrom(w.Tenant, s.candidates, w.Count)
	})
}

// pickServer picks a server for a try of a tenant's op, and reports whether it belongs to a borrowed pod. It uses the
// tenant's subset. If no server of the subset can be used, it borrows one pod, unless the tenant is limited, shares its
// account, or had too many failed tries. Writes switch between the subset and the borrowed pod only after no repeat of the
// last write can follow, because the servers of one do not recognize repeats sent to the other.
func (t *tenants) pickServer(owner *tenant, table *table, subset []tenancy.PodID, limited, writes bool, now, wait time.Duration,
	pick func([]tenancy.PodID) *server) (e *server, borrowed bool) {
	if t == nil || subset == nil {
		return pick(subset), false
	}
	owner.mu.Lock()
	pod, borrowing := owner.lent.BorrowedPod(now, wait)
	mayBorrow := !owner.shared && !limited && owner.credit.Sufficient() && (!writes || owner.lent.MayBorrow(now, wait))
	overdue := owner.lent.MustReturn(now)
	owner.mu.Unlock()
	if borrowing = borrowing && writes && !owner.shared; borrowing && overdue && pick(subset) != nil {
		return nil, false // the subset is usable again, so the writes must return to it and wait until that is safe
	} else if borrowing {
		e = pick([]tenancy.PodID{pod})
	} else if e = pick(subset); e == nil && mayBorrow {
		if pod, borrowing = table.subsets.pods.Spare(owner.name, subset); borrowing {
			e = pick([]tenancy.PodID{pod})
		}
	}
	if e != nil && writes && !owner.shared {
		owner.mu.Lock()
		owner.lent.RecordWrite(now, pod, borrowing)
		owner.mu.Unlock()
	}
	return e, borrowing && e != nil
}

// recordTry adds a try of a tenant at a server to the sums and to the tenant's credit.
func (t *tenants) recordTry(owner *tenant, e *server, failed bool, took time.Duration) {
	if t == nil || owner == nil {
		return
	}
	owner.mu.Lock()
	owner.credit.AddTry(!failed)
	owner.mu.Unlock()
	key := sumKey{owner.name, e.pod()}
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := t.sums[key]
	if sum == nil && len(t.sums) >= maxTenantSums {
		key.name = tenancy.AggregatedTenant
		sum = t.sums[key]
	}
	if sum == nil {
		sum = &runtime.TenantSum{Tenant: key.name, Pod: uint32(key.pod)}
		t.sums[key] = sum
	}
	sum.Ops++
	sum.Busy += took
	if failed {
		sum.Failed++
	}
}

// takeSums returns the sums since the last call, sorted by tenant and pod, and resets them.
func (t *tenants) takeSums() (out []runtime.TenantSum) {
	if t == nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.sums {
		out = append(out, *s)
	}
	clear(t.sums)
	slices.SortFunc(out, func(a, b runtime.TenantSum) int {
		return cmp.Or(cmp.Compare(a.Tenant, b.Tenant), cmp.Compare(a.Pod, b.Pod))
	})
	return out
}

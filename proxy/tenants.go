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

// tenants tells whose an op is and keeps each tenant to its subset of the servers.
type tenants struct {
	match *match.Matcher
	count int // pods of a subset; 0: all
	mu    sync.Mutex
	known map[string]*tenant
	sums  map[sumKey]*runtime.TenantSum // since the last ones were sent

	groups *writeGroups // the proxy's; before it gives them, there are none
}

// sumKey is what is summed up: a tenant at a pod.
type sumKey struct {
	name string
	pod  tenancy.PodID
}

// unlimited is the limit of tenants of which the pilot says nothing.
var unlimited = tenancy.Unlimited("")

// tenant is one that sent ops lately.
type tenant struct {
	name   string
	shared bool // its account is that of all beyond the bound
	*account
}

// account is what a tenant may spend on tries beyond the first.
type account struct {
	mu     sync.Mutex
	budget tenancy.RetryBudget
	credit tenancy.Credit
	lent   tenancy.BorrowState

	allowance tenancy.Allowance
}

// Bounds of what is kept of tenants; those beyond share one account of tries, and their subsets are drawn each time.
const (
	mostTenants = 4096
	mostDrawn   = 4096
	mostSums    = 1024 // tenants at pods in one period; the rest is summed up as one
)

func newTenants(f *files.Tenants) (*tenants, error) {
	m, err := match.New(match.Rules{Header: f.Header, PathPrefix: f.PathPrefix, Networks: f.Networks, Known: f.Known})
	if err != nil {
		return nil, err
	}
	return &tenants{match: m, count: f.Subset, known: map[string]*tenant{}, sums: map[sumKey]*runtime.TenantSum{},
		groups: &writeGroups{}}, nil
}

// of tells the tenant of an op; nil where there are none.
func (t *tenants) of(c *serve.Conn, m *http1.Message) *tenant {
	if t == nil {
		return nil
	}
	var field []byte
	if h := t.match.Header(); h != "" {
		field = m.Get(h)
	}
	var client netip.Addr
	if at, err := netip.ParseAddrPort(c.Remote()); err == nil {
		client = at.Addr()
	}
	return t.named(t.match.Of(field, m.Target, client))
}

// named returns the record of a tenant.
func (t *tenants) named(name string) *tenant {
	t.mu.Lock()
	defer t.mu.Unlock()
	x := t.known[name]
	if x != nil {
		return x
	}
	if len(t.known) < mostTenants {
		x = &tenant{name: name, account: &account{}}
		t.known[name] = x
		return x
	}
	shared := t.known[tenancy.Folded]
	if shared == nil {
		shared = &tenant{name: tenancy.Folded, account: &account{}}
		t.known[tenancy.Folded] = shared
	}
	return &tenant{name, true, shared.account}
}

// admit earns an op's share of a try and tells whether a tenant's limit lets the op in; one that is in is in hand until done.
func (x *tenant) admit(l tenancy.Limit, rank float64, now time.Duration) bool {
	if x == nil {
		return true
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.budget.Earn(l.Tries)
	return x.allowance.Admit(now, l.Rate, l.Hand, rank)
}

// done takes an op out of hand.
func (x *tenant) done() {
	if x != nil {
		x.mu.Lock()
		x.allowance.Done()
		x.mu.Unlock()
	}
}

// try spends one; without tenants nobody counts.
func (x *tenant) try() bool {
	if x == nil {
		return true
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.budget.Spend()
}

// pod is where a server stands among those that tenants share: its pack within its zone.
func (e *server) pod() tenancy.PodID { return tenancy.PodOf(e.Zone, e.Pack) }

// podSubsets draws the subsets of tenants among the pods of a table and keeps them.
type podSubsets struct {
	pods *tenancy.Pods

	mu         sync.Mutex
	candidates []tenancy.Pod // what subsets are drawn among
	holds      time.Duration // until then, since the proxy's start
	cache      subsetCache

	zones map[tenancy.PodID]*zonePods // by the id that stands for the zone
}

// zonePods are the pods of a zone with a line in a table, and the subsets of tenants among them. They don't change: a table with
// other servers has others.
type zonePods struct {
	live    []tenancy.Pod
	subsets [groupKinds]subsetCache // apart by kind, for a tenant may use another number of zones by each
}

// zonesOf sorts pods by their zones.
func zonesOf(live []tenancy.Pod) map[tenancy.PodID]*zonePods {
	zones := map[tenancy.PodID]*zonePods{}
	for _, pod := range live {
		zone := tenancy.ZoneOf(pod.ID)
		if zones[zone] == nil {
			zones[zone] = &zonePods{}
		}
		zones[zone].live = append(zones[zone].live, pod)
	}
	return zones
}

// subsetCache keeps the subsets that were drawn for tenants, for as many as there is room for.
type subsetCache struct {
	mu       sync.Mutex
	byTenant map[string]cachedSubset
}

// cachedSubset is a tenant's subset of pods, or of groups, and what it was drawn by.
type cachedSubset struct {
	seat  tenancy.Placement
	count int
	pods  []tenancy.PodID
}

// getOrDraw returns the subset of a write's tenant, drawn anew where its seat or size is another.
func (s *subsetCache) getOrDraw(w tenancy.Write, draw func(tenancy.Write) []tenancy.PodID) []tenancy.PodID {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byTenant == nil {
		s.byTenant = map[string]cachedSubset{}
	}
	cached, ok := s.byTenant[w.Tenant]
	if ok && cached.count == w.Count && cached.seat.Equal(w.Placement) {
		return cached.pods
	}
	cached = cachedSubset{w.Placement, w.Count, draw(w)}
	if ok || len(s.byTenant) < mostDrawn {
		s.byTenant[w.Tenant] = cached
	}
	return cached.pods
}

// clear forgets them all.
func (s *subsetCache) clear() {
	s.mu.Lock()
	s.byTenant = nil
	s.mu.Unlock()
}

// podSubsetsAfter returns the subsets for a table's new lines: those that there were where its servers are the same.
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

// podsOfTable returns the pods that a tenant may use of a table; nil for all. It is drawn from the pods with a line, withdrawn
// or not, and those that lost theirs lately: a tenant that makes its servers sick must not be handed others.
func (t *tenants) podsOfTable(x *tenant, table *table, b *bindings, l tenancy.Limit, now time.Duration) []tenancy.PodID {
	if t == nil || len(table.lines) == 0 {
		return nil
	}
	seat := b.of[x.name].Placement
	if t.count == 0 && seat.Size == 0 && len(seat.Pods) == 0 {
		return nil
	}
	count := t.count
	if seat.Size > 0 {
		count = seat.Size
	}
	if count > 1 { // one alone stays one: a second would not know what the first has written
		count = int(math.Ceil(float64(count) * l.Room))
	}
	pods := table.subsets.podsFor(tenancy.Write{Tenant: x.name, Placement: seat, Count: count}, now)
	if l.Fenced && len(pods) > 1 {
		return pods[:1]
	}
	return pods
}

// podsFor returns the pods that a tenant may use.
func (s *podSubsets) podsFor(w tenancy.Write, now time.Duration) []tenancy.PodID {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.candidates == nil || now >= s.holds {
		var holds time.Duration
		if s.candidates, holds = s.pods.Draw(now); holds < math.MaxInt64-now {
			holds += now
		}
		s.holds = holds
		s.cache.clear()
	}
	return s.cache.getOrDraw(w, func(w tenancy.Write) []tenancy.PodID {
		return tenancy.Placement{Draw: w.Placement.Draw, Size: w.Count, Pods: w.Placement.Pods}.SelectFrom(w.Tenant, s.candidates, w.Count)
	})
}

// pickOf picks a server for a try of a tenant's op: of its subset, or where nothing of that can be used of the one pod that
// it may borrow, unless it is limited or its own tries did not go well. Writes change between the two only once no repeat of
// the last one can follow.
func (t *tenants) pickOf(x *tenant, table *table, subset []tenancy.PodID, limited, writes bool, now, wait time.Duration,
	pick func([]tenancy.PodID) *server) (e *server, borrowed bool) {
	if t == nil || subset == nil {
		return pick(subset), false
	}
	x.mu.Lock()
	pod, away := x.lent.BorrowedPod(now, wait)
	lends := !x.shared && !limited && x.credit.Lends() && (!writes || x.lent.May(now, wait))
	long := x.lent.Long(now)
	x.mu.Unlock()
	if away = away && writes && !x.shared; away && long && pick(subset) != nil {
		return nil, false // it must come home, so its writes wait
	} else if away {
		e = pick([]tenancy.PodID{pod})
	} else if e = pick(subset); e == nil && lends {
		if pod, away = table.subsets.pods.Spare(x.name, subset); away {
			e = pick([]tenancy.PodID{pod})
		}
	}
	if e != nil && writes && !x.shared {
		x.mu.Lock()
		x.lent.Wrote(now, pod, away)
		x.mu.Unlock()
	}
	return e, away && e != nil
}

// met sums up a try of a tenant at a server.
func (t *tenants) met(x *tenant, e *server, failed bool, took time.Duration) {
	if t == nil || x == nil {
		return
	}
	x.mu.Lock()
	x.credit.Met(!failed)
	x.mu.Unlock()
	k := sumKey{x.name, e.pod()}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.sums[k]
	if s == nil && len(t.sums) >= mostSums {
		k.name = tenancy.Folded
		s = t.sums[k]
	}
	if s == nil {
		s = &runtime.TenantSum{Tenant: k.name, Pod: uint32(k.pod)}
		t.sums[k] = s
	}
	s.Ops++
	s.Busy += took
	if failed {
		s.Failed++
	}
}

// take returns what was summed up since the last call, by tenant and pod.
func (t *tenants) take() (out []runtime.TenantSum) {
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

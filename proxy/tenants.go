package proxy

import (
	"cmp"
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
}

// sumKey is what is summed up: a tenant at a pod.
type sumKey struct {
	name string
	pod  tenancy.PodID
}

// limit is what a pilot lets a tenant use here.
type limit struct {
	rate   float64
	tries  float64
	fenced bool
}

// tenant is one that sent ops lately.
type tenant struct {
	name string
	*account
}

// account is what a tenant may spend on tries beyond the first.
type account struct {
	mu     sync.Mutex
	budget tenancy.Budget
	tokens float64 // ops that it may send now, where its rate is limited
	last   time.Time
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
	return &tenants{match: m, count: f.Subset, known: map[string]*tenant{}, sums: map[sumKey]*runtime.TenantSum{}}, nil
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
	name := t.match.Of(field, m.Target, client)
	t.mu.Lock()
	defer t.mu.Unlock()
	x := t.known[name]
	if x != nil {
		return x
	}
	if len(t.known) < mostTenants {
		x = &tenant{name, &account{}}
		t.known[name] = x
		return x
	}
	shared := t.known[tenancy.Folded]
	if shared == nil {
		shared = &tenant{tenancy.Folded, &account{}}
		t.known[tenancy.Folded] = shared
	}
	return &tenant{name, shared.account}
}

// admit earns an op's share of a try and tells whether a tenant's limit lets the op in.
func (x *tenant) admit(l limit, limited bool, now time.Time) bool {
	if x == nil {
		return true
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if !limited {
		x.budget.Op(tenancy.TryBudget)
		x.tokens, x.last = 1, now
		return true
	}
	x.budget.Op(l.tries)
	if l.rate < 0 {
		return true
	}
	x.tokens = min(x.tokens+l.rate*now.Sub(x.last).Seconds(), max(1, l.rate))
	x.last = now
	if x.tokens < 1 {
		return false
	}
	x.tokens--
	return true
}

// try spends one; without tenants nobody counts.
func (x *tenant) try() bool {
	if x == nil {
		return true
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.budget.Try()
}

// pod is where a server stands among those that tenants share: its pack within its zone.
func (e *server) pod() tenancy.PodID { return tenancy.PodID(e.Zone)<<16 | tenancy.PodID(e.Pack) }

// drawn keeps the subsets of tenants among a table's servers.
type drawn struct {
	mu   sync.Mutex
	pods []tenancy.Pod
	of   map[string]drawnAt
}

// drawnAt is a tenant's subset for a seat.
type drawnAt struct {
	seat tenancy.Seat
	pods []tenancy.PodID
}

// subset returns the pods that a tenant may use of a table; nil for all. It is drawn from the pods with a line, withdrawn
// or not: a tenant that makes its servers sick must not be handed others.
func (t *tenants) subset(x *tenant, table *table, b *bindings, fenced bool) []tenancy.PodID {
	if t == nil || len(table.lines) == 0 {
		return nil
	}
	seat := b.of[x.name].Seat
	if t.count == 0 && seat.Size == 0 && len(seat.Pods) == 0 {
		return nil
	}
	d := table.drawn
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.of == nil {
		d.of = map[string]drawnAt{}
		for _, l := range table.lines {
			p := tenancy.Pod{ID: l.server.pod(), Zone: l.server.Zone, Power: 1}
			if !slices.Contains(d.pods, p) {
				d.pods = append(d.pods, p)
			}
		}
	}
	s, ok := d.of[x.name]
	if !ok || !s.seat.Equal(seat) {
		s = drawnAt{seat, seat.Among(x.name, d.pods, t.count)}
		if ok || len(d.of) < mostDrawn {
			d.of[x.name] = s
		}
	}
	if fenced && len(s.pods) > 1 {
		return s.pods[:1]
	}
	return s.pods
}

// met sums up a try of a tenant at a server.
func (t *tenants) met(x *tenant, e *server, failed bool, took time.Duration) {
	if t == nil || x == nil {
		return
	}
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

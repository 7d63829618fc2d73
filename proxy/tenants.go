package proxy

import (
	"net/netip"
	"slices"
	"sync"

	"vetchdoor/files"
	"vetchdoor/http1"
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
}

// Bounds of what is kept of tenants; those beyond share one account of tries, and their subsets are drawn each time.
const (
	mostTenants = 4096
	mostDrawn   = 4096
	tryShare    = 0.2 // tries beyond the first, for each op of a tenant
)

func newTenants(f *files.Tenants) (*tenants, error) {
	m, err := match.New(match.Rules{Header: f.Header, PathPrefix: f.PathPrefix, Networks: f.Networks, Known: f.Known})
	if err != nil {
		return nil, err
	}
	return &tenants{match: m, count: f.Subset, known: map[string]*tenant{}}, nil
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

// op earns a share of a try.
func (x *tenant) op() {
	if x != nil {
		x.mu.Lock()
		x.budget.Op(tryShare)
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
	return x.budget.Try()
}

// pod is where a server stands among those that tenants share: its pack within its zone.
func (e *server) pod() tenancy.PodID { return tenancy.PodID(e.Zone)<<16 | tenancy.PodID(e.Pack) }

// drawn keeps the subsets of tenants among a table's servers.
type drawn struct {
	mu   sync.Mutex
	pods []tenancy.Pod
	of   map[string][]tenancy.PodID
}

// subset returns the pods that a tenant may use of a table; nil for all. It is drawn from the pods with a line, withdrawn
// or not: a tenant that makes its servers sick must not be handed others.
func (t *tenants) subset(x *tenant, table *table) []tenancy.PodID {
	if t == nil || t.count == 0 || len(table.lines) == 0 {
		return nil
	}
	d := table.drawn
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.of == nil {
		d.of = map[string][]tenancy.PodID{}
		for _, l := range table.lines {
			p := tenancy.Pod{ID: l.server.pod(), Zone: l.server.Zone, Power: 1}
			if !slices.Contains(d.pods, p) {
				d.pods = append(d.pods, p)
			}
		}
	}
	s, ok := d.of[x.name]
	if !ok {
		s = tenancy.Place(x.name, d.pods, t.count)
		if len(d.of) < mostDrawn {
			d.of[x.name] = s
		}
	}
	return s
}

package proxy

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"vetchdoor/files"
	"vetchdoor/tenancy"
)

// A write that a client repeats through another proxy may take effect twice (rule 2), in the moment in which the two proxies go
// by tables of different runs. Servers drop each other's repeats within a pack; a tenant's writes go to the packs that its name
// draws among those of the table; and where the tables differ, the draws may. Each proxy alone keeps its tries within a pack, but
// nothing tells one proxy which pack another drew.
//
// Here one proxy's table has six packs and the other's seven, as after a release that only one pilot has heard of, and each
// tenant has a subset of one pack. What the test asks for is that both draw alike, or that a proxy knows that they may not.
func TestRepeatThroughAnotherProxy(t *testing.T) {
	drawn := func(servers int) *tables {
		lines := []string{"set map op-types * t0"}
		for i := range servers {
			lines = append(lines, lineOf(i, 1))
		}
		tab, err := newTables(1, nil, rng()).apply(message(1, lines...), someServers(servers), 1, rng())
		if err != nil {
			t.Fatalf("%v", err)
		}
		return tab
	}
	one, other := drawn(12), drawn(14)
	tenants, err := newTenants(&files.Tenants{Header: "Tenant", Subset: 1})
	if err != nil {
		t.Fatalf("%v", err)
	}
	doubled := 0
	const all = 200
	for i := range all {
		who := &tenant{name: fmt.Sprint("tenant-", i), account: &account{}}
		first := tenants.subset(who, one.byType[0], one.bindings, unlimited, 0)
		second := tenants.subset(who, other.byType[0], other.bindings, unlimited, 0)
		if !slices.Equal(first, second) {
			doubled++
		}
	}
	if doubled > 0 {
		t.Errorf("the repeats of %d of %d tenants go to another pack than the first tries", doubled, all)
	}
}

// Both proxies hold the same groups, of the settings, and the tables of the test above: every write is served, and by the same pod
// at both, whether its tenant has one pod or several, and where it is nobody's. A proxy that was given no group refuses it unrun.
func TestPlacesAgree(t *testing.T) {
	packs := map[string][]int{}
	for i := range 12 {
		zone := []string{"a", "b"}[i%2]
		packs[zone] = append(packs[zone], i/2)
	}
	proxyOf := func(servers, subset int, group string, packs map[string][]int) (*Proxy, *tables) {
		lines := []string{"set map op-types * t0"}
		for i := range servers {
			lines = append(lines, lineOf(i, 1))
		}
		tab, err := newTables(1, nil, rng()).apply(message(1, lines...), someServers(servers), 1, rng())
		if err != nil {
			t.Fatal(err)
		}
		s := &files.Service{Zones: []string{"a", "b"}, WritePacks: packs, OpTypes: []files.OpType{{Repeat: "deduplicated", Group: group}}}
		p := &Proxy{file: &files.Proxy{Service: *s}, types: []opType{{OpType: s.Types()[0]}}, groups: newWriteGroups(s, 0)}
		if subset > 0 {
			if p.tenants, err = newTenants(&files.Tenants{Header: "Tenant", Subset: subset}); err != nil {
				t.Fatal(err)
			}
			p.tenants.groups = p.groups
		}
		return p, tab
	}
	served := func(p *Proxy, tab *tables, i int) (pod tenancy.PodID, known bool) {
		var who *tenant
		if p.tenants != nil {
			who = &tenant{name: fmt.Sprint("tenant-", i), account: &account{}}
		}
		group, known := p.place(0, who, fmt.Appendf(nil, "key-%d", i), tab, unlimited, 0)
		if !known {
			return 0, false
		}
		e := tab.pickFor(0, time.Now(), group.has)
		if e == nil {
			t.Fatalf("write %d: no server of its group", i)
		}
		if group.zone {
			return tenancy.ZoneGroup(e.pod()), true
		}
		return e.pod(), true
	}
	for _, group := range []string{"pack", "zone"} {
		for _, subset := range []int{0, 1, 3} {
			one, its := proxyOf(12, subset, group, packs)
			other, others := proxyOf(14, subset, group, packs)
			bare, old := proxyOf(12, subset, group, nil)
			used := map[tenancy.PodID]bool{}
			for i := range 200 {
				first, known := served(one, its, i)
				second, alike := served(other, others, i)
				if used[first] = true; !known || !alike || first != second {
					t.Errorf("%s, subset %d, write %d: %v and %v", group, subset, i, first, second)
				}
				if _, known := served(bare, old, i); known != (group == "zone") {
					t.Errorf("%s, subset %d, write %d: known %t where no pack is named", group, subset, i, known)
				}
			}
			if want := map[string]int{"pack": 12, "zone": 2}[group]; len(used) != want {
				t.Errorf("%s, subset %d: %d of %d groups are used", group, subset, len(used), want)
			}
		}
	}
}

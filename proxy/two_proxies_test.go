package proxy

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"vetchdoor/files"
	"vetchdoor/tenancy"
)

// TestRepeatThroughAnotherProxy guards against a write that takes effect twice because a client repeats it through another
// proxy whose table is of a different run. Servers drop each other's repeats only within a pack, and if a tenant's packs
// were drawn from the table, two proxies with different tables could draw different packs.
//
// One proxy's table has six packs per zone and the other's seven, as after a scale-out that only one pilot has learned of.
// Each tenant has a subset of one pack. Both proxies must draw the same pack.
func TestRepeatThroughAnotherProxy(t *testing.T) {
	tablesOf := func(servers int) *tables {
		lines := []string{"set map op-types * t0"}
		for i := range servers {
			lines = append(lines, lineOf(i, 1))
		}
		current, err := newTables(1, nil, rng()).apply(message(1, lines...), someServers(servers), 1, rng())
		if err != nil {
			t.Fatalf("%v", err)
		}
		return current
	}
	one, other := tablesOf(12), tablesOf(14)
	tenants, err := newTenants(&files.Tenants{Header: "Tenant", Subset: 1})
	if err != nil {
		t.Fatalf("%v", err)
	}
	doubled := 0
	const all = 200
	for i := range all {
		owner := &tenant{name: fmt.Sprint("tenant-", i), account: &account{}}
		first := tenants.packSubset(owner, one.byOpType[0], one.bindings, unlimited, 0)
		second := tenants.packSubset(owner, other.byOpType[0], other.bindings, unlimited, 0)
		if !slices.Equal(first, second) {
			doubled++
		}
	}
	if doubled > 0 {
		t.Errorf("repeats of writes of %d of %d tenants go to another pack than the first tries", doubled, all)
	}
}

// TestProxiesAgreeOnPlacement checks that two proxies with the same write groups in their settings but different tables
// accept every write and send it to the same group, for tenants with one pod or several and for ops without a tenant. A
// proxy whose settings name no packs must reject writes that are deduplicated by pack.
func TestProxiesAgreeOnPlacement(t *testing.T) {
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
		current, err := newTables(1, nil, rng()).apply(message(1, lines...), someServers(servers), 1, rng())
		if err != nil {
			t.Fatal(err)
		}
		s := &files.Service{Zones: []string{"a", "b"}, WritePacks: packs,
			OpTypes: []files.OpType{{Repeat: "deduplicated", Group: group}}}
		p := &Proxy{settings: &files.Proxy{Service: *s}, opTypes: []opType{{OpType: s.Types()[0]}}, groups: newWriteGroups(s, 0)}
		if subset > 0 {
			if p.tenants, err = newTenants(&files.Tenants{Header: "Tenant", Subset: subset}); err != nil {
				t.Fatal(err)
			}
			p.tenants.groups = p.groups
		}
		return p, current
	}
	placedAt := func(p *Proxy, current *tables, i int) (pod tenancy.PodID, known bool) {
		var owner *tenant
		if p.tenants != nil {
			owner = &tenant{name: fmt.Sprint("tenant-", i), account: &account{}}
		}
		group, known := p.placeWrite(0, owner, fmt.Appendf(nil, "key-%d", i), current, unlimited, 0)
		if !known {
			return 0, false
		}
		e := current.pickFor(0, time.Now(), group.contains)
		if e == nil {
			t.Fatalf("write %d: no server of its group", i)
		}
		if group.isZone {
			return tenancy.ZoneGroup(e.pod()), true
		}
		return e.pod(), true
	}
	for _, group := range []string{"pack", "zone"} {
		for _, subset := range []int{0, 1, 3} {
			one, oneTables := proxyOf(12, subset, group, packs)
			other, otherTables := proxyOf(14, subset, group, packs)
			bare, bareTables := proxyOf(12, subset, group, nil)
			used := map[tenancy.PodID]bool{}
			for i := range 200 {
				first, known := placedAt(one, oneTables, i)
				second, alsoKnown := placedAt(other, otherTables, i)
				if used[first] = true; !known || !alsoKnown || first != second {
					t.Errorf("%s, subset %d, write %d: %v and %v", group, subset, i, first, second)
				}
				if _, known := placedAt(bare, bareTables, i); known != (group == "zone") {
					t.Errorf("%s, subset %d, write %d: known %t where no pack is named", group, subset, i, known)
				}
			}
			if want := map[string]int{"pack": 12, "zone": 2}[group]; len(used) != want {
				t.Errorf("%s, subset %d: %d of %d groups are used", group, subset, len(used), want)
			}
		}
	}
}

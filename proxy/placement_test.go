package proxy

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"path/filepath"
	"reflect"
	"slices"
	"testing"
	"time"

	"vetchdoor/files"
	"vetchdoor/tenancy"
)

// newPlacingProxy returns a proxy whose settings name the packs of twelve servers, and the tables that it uses.
func newPlacingProxy(t testing.TB, tenantSettings *files.Tenants, opTypes ...files.OpType) (*Proxy, *tables) {
	t.Helper()
	service := &files.Service{Zones: []string{"a", "b"}, OpTypes: opTypes,
		WritePacks: map[string][]int{"a": {0, 1, 2, 3, 4, 5}, "b": {0, 1, 2, 3, 4, 5}}}
	lines := []string{"set map op-types * t0"}
	for i := range 12 {
		lines = append(lines, lineOf(i, 1))
	}
	current, err := newTables(len(opTypes), nil, rng()).apply(message(1, lines...), someServers(12), len(opTypes), rng())
	if err != nil {
		t.Fatal(err)
	}
	p := &Proxy{settings: &files.Proxy{Service: *service}, opTypes: make([]opType, len(opTypes))}
	for i, opType := range service.Types() {
		p.opTypes[i].OpType = opType
	}
	if tenantSettings != nil {
		if p.tenants, err = newTenants(tenantSettings); err != nil {
			t.Fatal(err)
		}
	}
	setGroups(p)
	return p, current
}

// setGroups sets the proxy's write groups from its settings.
func setGroups(p *Proxy) {
	p.groups = newWriteGroups(&p.settings.Service, 0)
	if p.tenants != nil {
		p.tenants.groups = p.groups
	}
}

// Op types whose writes are deduplicated within a pack, and within a zone.
var (
	byPack = files.OpType{Repeat: "deduplicated", Group: "pack", DedupWindow: files.Duration(time.Minute)}
	byZone = files.OpType{Repeat: "deduplicated", Group: "zone", DedupWindow: files.Duration(time.Minute)}
)

// tenantOf returns a tenant named after i, with an account of its own.
func tenantOf(i int) *tenant { return &tenant{name: fmt.Sprint("tenant-", i), account: &account{}} }

// groupOf returns the group in which the proxy places a write, or false if it rejects the write.
func groupOf(p *Proxy, owner *tenant, key string, current *tables, limit tenancy.Limit) (tenancy.PodID, bool) {
	placed, known := p.placeWrite(0, owner, []byte(key), current, limit, 0)
	if !known || placed == nil {
		return 0, false
	}
	return placed.group, true
}

// TestUnsyncedProxyRejectsWrites guards against a write that is sent to the wrong group: a tenant has been moved, and a
// newly started proxy, which no pilot has yet sent the tenants' placements, must reject the tenant's writes.
func TestUnsyncedProxyRejectsWrites(t *testing.T) {
	tenantSettings := &files.Tenants{Header: "Tenant", Subset: 1}
	syncedProxy, synced := newPlacingProxy(t, tenantSettings, byPack)
	newProxy, unsynced := newPlacingProxy(t, tenantSettings, byPack)
	synced.bindings = &bindings{byTenant: map[string]tenancy.Binding{}}
	var err error
	if unsynced.bindings, _, err = openBindings(filepath.Join(t.TempDir(), "bindings"), 0, 0,
		slog.New(slog.DiscardHandler)); err != nil {
		t.Fatal(err)
	}
	doubled := 0
	const all = 200
	for i := range all {
		owner := tenantOf(i)
		synced.bindings.byTenant[owner.name] = tenancy.NewBinding().Apply(0, 0, "p", 1, tenancy.Placement{Draw: 1}, false)
		first, known := groupOf(syncedProxy, owner, "key", synced, unlimited)
		second, alsoKnown := groupOf(newProxy, owner, "key", unsynced, unlimited)
		if known && alsoKnown && first != second {
			doubled++
		}
	}
	if doubled > 0 {
		t.Errorf("repeats of writes of %d of %d moved tenants go to another pack through a proxy without their placements",
			doubled, all)
	}
}

// TestKeylessWritesAreSpread checks that writes without a key, whose repeats no server can recognize, are spread over the
// packs.
func TestKeylessWritesAreSpread(t *testing.T) {
	p, current := newPlacingProxy(t, &files.Tenants{Header: "Tenant"}, byPack) // tenants have limits but no subsets
	used := map[tenancy.PodID]int{}
	for i := range 200 {
		placed, known := p.placeWrite(0, tenantOf(i), nil, current, unlimited, 0)
		if !known {
			t.Fatal("refused")
		}
		if placed == nil {
			return // may go to any pack
		}
		used[placed.group]++
	}
	if len(used) < 6 {
		t.Errorf("200 tenants' writes without a key go to %d of 12 packs: %v", len(used), used)
	}
}

// TestFenceWithoutSubset checks that a fence, which confines a tenant to one pod of its subset, has no effect on a tenant
// without a subset: its reads and writes may use all pods.
func TestFenceWithoutSubset(t *testing.T) {
	p, current := newPlacingProxy(t, &files.Tenants{Header: "Tenant"}, byPack)
	fenced := unlimited
	fenced.Fenced = true
	owner, rejected := tenantOf(1), 0
	if pods := p.tenants.allowedPods(owner, current.byOpType[0], current.bindings, fenced, 0); pods != nil {
		t.Fatalf("reads of a tenant without a subset are confined to %v", pods)
	}
	for i := range 200 {
		if _, known := groupOf(p, owner, fmt.Sprint("key-", i), current, fenced); !known {
			rejected++
		}
	}
	if rejected > 0 {
		t.Errorf("%d of 200 writes are rejected", rejected)
	}
}

// TestOwnZoneWritesKeepTheirPack checks that a write that must stay in the proxy's zone is sent to the same pack when it is
// repeated.
func TestOwnZoneWritesKeepTheirPack(t *testing.T) {
	opType := byPack
	opType.OwnZoneOnly = true
	p, current := newPlacingProxy(t, nil, opType)
	doubled := 0
	for i := range 200 {
		pick := func() tenancy.PodID {
			placed, known := p.placeWrite(0, nil, fmt.Appendf(nil, "key-%d", i), current, unlimited, 0)
			if !known {
				t.Fatal("refused")
			}
			e := current.pickFor(0, time.Now(), func(e *server) bool { return e.Zone == p.zone && (placed == nil || placed.contains(e)) })
			return e.pod()
		}
		if first, second := pick(), pick(); first != second {
			doubled++
		}
	}
	if doubled > 0 {
		t.Errorf("the repeats of %d of 200 writes go to another pack through the same proxy", doubled)
	}
}

// TestCachedSubsetsMatchFreshDraws checks that a proxy with cached subsets places a write like a proxy without any, whatever
// changes in between: the servers of a table, a tenant's placement, the tenant and type of the write. It also covers groups
// that are being changed.
func TestCachedSubsetsMatchFreshDraws(t *testing.T) {
	for podsPerTenant := range 4 {
		comparePlaces(t, podsPerTenant, nil)
		comparePlaces(t, podsPerTenant, map[string][]int{"a": {1, 2, 3, 4, 5, 6}, "b": {0, 1, 2, 3, 4}})
	}
}

// comparePlaces places writes through one proxy that caches subsets and through new proxies. podsPerTenant is the number of
// pods of a tenant without a placement of its own.
func comparePlaces(t *testing.T, podsPerTenant int, packsNext map[string][]int) {
	t.Helper()
	ownPack, ownZone := byPack, byZone
	ownPack.OwnZoneOnly, ownZone.OwnZoneOnly = true, true
	opTypes := []files.OpType{byPack, byZone, ownPack, ownZone}
	pods := func(zone int, packs ...int) (s tenancy.Placement) {
		for _, pack := range packs {
			s.Pods = append(s.Pods, tenancy.PodOf(zone, pack))
		}
		return s
	}
	seats := []tenancy.Placement{{}, {Draw: 1}, {Size: 3}, {Size: 5}, {Draw: 2, Size: 2}, pods(0, 2), pods(1, 1, 4), pods(0, 0, 1, 5)}
	newProxy := func() (*Proxy, *tables) {
		p, current := newPlacingProxy(t, &files.Tenants{Header: "Tenant", Subset: podsPerTenant}, opTypes...)
		p.settings.Service.WritePacksNext = packsNext
		setGroups(p)
		return p, current
	}
	random, records := rand.New(rand.NewPCG(uint64(podsPerTenant), 5)), someServers(12)
	caching, current := newProxy()
	current.bindings = &bindings{byTenant: map[string]tenancy.Binding{}}
	for number := range uint64(1500) {
		if number%10 == 0 { // the change may leave the servers as they were
			change := message(2+number, fmt.Sprintf("del server t0/e%d", random.IntN(12)), lineOf(random.IntN(12), 1))
			changed, err := current.apply(change, records, len(opTypes), rng())
			if err != nil {
				t.Fatal(err)
			}
			current = changed
		}
		owner := tenantOf(random.IntN(3))
		if number%5 == 0 {
			current.bindings.byTenant[owner.name] = tenancy.Binding{Placement: seats[random.IntN(len(seats))]}
		}
		fresh, freshTables := newProxy()
		freshTables.bindings = current.bindings
		freshTables.byOpType = slices.Repeat([]*table{newTable("t0", current.byOpType[0].lines, nil, len(opTypes), 0, rng())}, len(opTypes))
		i, key := random.IntN(len(opTypes)), fmt.Append(nil, random.IntN(9))
		got, known := caching.placeWrite(i, owner, key, current, unlimited, 0)
		want, alsoKnown := fresh.placeWrite(i, owner, key, freshTables, unlimited, 0)
		kind := kindOf(&caching.opTypes[i].OpType)
		write := caching.tenants.writeOf(kind, owner, current.bindings)
		write.Key = string(key)
		groups := caching.groups.byKind[kind]
		if group, ok := groups.Draw(write, groups.Subset(write)); known != ok || known && got.group != group {
			t.Fatalf("op type %d, %s: %+v %t, drawn directly %v %t", i, owner.name, got, known, group, ok)
		}
		if known != alsoKnown || !reflect.DeepEqual(got, want) {
			t.Fatalf("op type %d, %s at %v, %d pods per tenant: %+v %t, without cache %+v %t", i, owner.name,
				current.bindings.byTenant[owner.name].Placement,
				podsPerTenant, got, known, want, alsoKnown)
		}
	}
}

// BenchmarkPlace measures placing a write for a tenant with a subset of two of twelve packs, or of two zones, with and
// without a change of groups in progress.
func BenchmarkPlace(b *testing.B) {
	for _, packsNext := range []map[string][]int{nil, {"a": {0, 1, 2, 3, 4, 5, 6}, "b": {0, 1, 2, 3, 4, 5}}} {
		for _, opType := range []files.OpType{byPack, byZone} {
			b.Run(fmt.Sprintf("%s/changing=%t", opType.Group, packsNext != nil), func(b *testing.B) {
				p, current := newPlacingProxy(b, &files.Tenants{Header: "Tenant", Subset: 2}, opType)
				p.settings.Service.WritePacksNext = packsNext
				setGroups(p)
				owner, key := tenantOf(1), []byte("5b0c1c2e-6f1d-4e0e-9a38-0f6f3a1d2b4c")
				b.ReportAllocs()
				for b.Loop() {
					if _, known := p.placeWrite(0, owner, key, current, unlimited, 0); !known {
						b.Fatal("refused")
					}
				}
			})
		}
	}
}

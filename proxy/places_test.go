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

// placing is a proxy whose settings name the packs of twelve servers, and tables that it goes by.
func placing(t testing.TB, of *files.Tenants, opTypes ...files.OpType) (*Proxy, *tables) {
	t.Helper()
	s := &files.Service{Zones: []string{"a", "b"}, OpTypes: opTypes,
		WritePacks: map[string][]int{"a": {0, 1, 2, 3, 4, 5}, "b": {0, 1, 2, 3, 4, 5}}}
	lines := []string{"set map op-types * t0"}
	for i := range 12 {
		lines = append(lines, lineOf(i, 1))
	}
	tab, err := newTables(len(opTypes), nil, rng()).apply(message(1, lines...), someServers(12), len(opTypes), rng())
	if err != nil {
		t.Fatal(err)
	}
	p := &Proxy{file: &files.Proxy{Service: *s}, types: make([]opType, len(opTypes))}
	for i, opType := range s.Types() {
		p.types[i].OpType = opType
	}
	if of != nil {
		if p.tenants, err = newTenants(of); err != nil {
			t.Fatal(err)
		}
	}
	setGroups(p)
	return p, tab
}

// setGroups gives a proxy the groups of its settings.
func setGroups(p *Proxy) {
	p.groups = newWriteGroups(&p.file.Service, 0)
	if p.tenants != nil {
		p.tenants.groups = p.groups
	}
}

var (
	byPack = files.OpType{Repeat: "deduplicated", Group: "pack", DedupWindow: files.Duration(time.Minute)}
	byZone = files.OpType{Repeat: "deduplicated", Group: "zone", DedupWindow: files.Duration(time.Minute)}
)

func tenantOf(i int) *tenant { return &tenant{name: fmt.Sprint("tenant-", i), account: &account{}} }

// groupOf is where a proxy lets a write go; 0 and false where it refuses it.
func groupOf(p *Proxy, who *tenant, key string, tab *tables, l tenancy.Limit) (tenancy.PodID, bool) {
	g, known := p.place(0, who, []byte(key), tab, l, 0)
	if !known || g == nil {
		return 0, false
	}
	return g.group, true
}

// A tenant was moved, and a proxy that is new has not been told by a pilot yet: it does not know where the tenant's writes go,
// and lets none go elsewhere.
func TestNewProxyKnowsNoSeats(t *testing.T) {
	of := &files.Tenants{Header: "Tenant", Subset: 1}
	old, told := placing(t, of, byPack)
	fresh, untold := placing(t, of, byPack)
	told.bindings = &bindings{of: map[string]tenancy.Binding{}}
	var err error
	if untold.bindings, _, err = openBindings(filepath.Join(t.TempDir(), "bindings"), 0, 0, slog.New(slog.DiscardHandler)); err != nil {
		t.Fatal(err)
	}
	doubled := 0
	const all = 200
	for i := range all {
		who := tenantOf(i)
		told.bindings.of[who.name] = tenancy.Bound().Take(0, 0, "p", 1, tenancy.Placement{Draw: 1}, false)
		first, known := groupOf(old, who, "key", told, unlimited)
		second, also := groupOf(fresh, who, "key", untold, unlimited)
		if known && also && first != second {
			doubled++
		}
	}
	if doubled > 0 {
		t.Errorf("repeats of writes of %d of %d moved tenants go to another pack through a proxy that nobody has told", doubled, all)
	}
}

// Writes without a key, whose repeats no server knows, are spread as they were.
func TestPlacesOfKeyless(t *testing.T) {
	p, tab := placing(t, &files.Tenants{Header: "Tenant"}, byPack) // limits alone; no subsets
	used := map[tenancy.PodID]int{}
	for i := range 200 {
		g, known := p.place(0, tenantOf(i), nil, tab, unlimited, 0)
		if !known {
			t.Fatal("refused")
		}
		if g == nil {
			return // anywhere
		}
		used[g.group]++
	}
	if len(used) < 6 {
		t.Errorf("200 tenants' writes without a key go to %d of 12 packs: %v", len(used), used)
	}
}

// A fence keeps a tenant to one pod of its subset. One that has no subset has all pods, fenced or not: its reads go to all, and
// its writes too.
func TestPlacesOfFenced(t *testing.T) {
	p, tab := placing(t, &files.Tenants{Header: "Tenant"}, byPack)
	fenced := unlimited
	fenced.Fenced = true
	who, refused := tenantOf(1), 0
	if pods := p.tenants.podsOfTable(who, tab.byType[0], tab.bindings, fenced, 0); pods != nil {
		t.Fatalf("its reads go to %v", pods)
	}
	for i := range 200 {
		if _, known := groupOf(p, who, fmt.Sprint("key-", i), tab, fenced); !known {
			refused++
		}
	}
	if refused > 0 {
		t.Errorf("%d of 200 writes are refused", refused)
	}
}

// Writes that must stay in the zone of the proxy, through two proxies of that zone, or twice through one: the same pack.
func TestPlacesInOwnZone(t *testing.T) {
	kind := byPack
	kind.OwnZoneOnly = true
	p, tab := placing(t, nil, kind)
	doubled := 0
	for i := range 200 {
		pick := func() tenancy.PodID {
			g, known := p.place(0, nil, fmt.Appendf(nil, "key-%d", i), tab, unlimited, 0)
			if !known {
				t.Fatal("refused")
			}
			e := tab.pickFor(0, time.Now(), func(e *server) bool { return e.Zone == p.zone && (g == nil || g.has(e)) })
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

// A proxy keeps the subsets that it drew. Whatever changes in between (a table's servers, a tenant's seat, whose write it is and of
// which type), it places a write as a proxy does that has kept nothing; so too while the groups change.
func TestPlacesOfKeptSubsets(t *testing.T) {
	for usual := range 4 {
		comparePlaces(t, usual, nil)
		comparePlaces(t, usual, map[string][]int{"a": {1, 2, 3, 4, 5, 6}, "b": {0, 1, 2, 3, 4}})
	}
}

// comparePlaces places writes through a proxy that keeps what it drew, with usual pods a tenant, and through new ones.
func comparePlaces(t *testing.T, usual int, packsNext map[string][]int) {
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
		p, tab := placing(t, &files.Tenants{Header: "Tenant", Subset: usual}, opTypes...)
		p.file.Service.WritePacksNext = packsNext
		setGroups(p)
		return p, tab
	}
	random, all := rand.New(rand.NewPCG(uint64(usual), 5)), someServers(12)
	kept, tab := newProxy()
	tab.bindings = &bindings{of: map[string]tenancy.Binding{}}
	for number := range uint64(1500) {
		if number%10 == 0 { // at times no server is another
			change := message(2+number, fmt.Sprintf("del server t0/e%d", random.IntN(12)), lineOf(random.IntN(12), 1))
			changed, err := tab.apply(change, all, len(opTypes), rng())
			if err != nil {
				t.Fatal(err)
			}
			tab = changed
		}
		who := tenantOf(random.IntN(3))
		if number%5 == 0 {
			tab.bindings.of[who.name] = tenancy.Binding{Placement: seats[random.IntN(len(seats))]}
		}
		fresh, same := newProxy()
		same.bindings = tab.bindings
		same.byType = slices.Repeat([]*table{newTable("t0", tab.byType[0].lines, nil, len(opTypes), 0, rng())}, len(opTypes))
		i, key := random.IntN(len(opTypes)), fmt.Append(nil, random.IntN(9))
		got, known := kept.place(i, who, key, tab, unlimited, 0)
		want, alsoKnown := fresh.place(i, who, key, same, unlimited, 0)
		kind := kindOf(&kept.types[i].OpType)
		write := kept.tenants.write(kind, who, tab.bindings)
		write.Key = string(key)
		groups := kept.groups.byKind[kind]
		if group, ok := groups.Draw(write, groups.Subset(write)); known != ok || known && got.group != group {
			t.Fatalf("op type %d, %s: %+v %t, drawn anew %v %t", i, who.name, got, known, group, ok)
		}
		if known != alsoKnown || !reflect.DeepEqual(got, want) {
			t.Fatalf("op type %d, %s at %v, usual %d: %+v %t, with nothing kept %+v %t", i, who.name, tab.bindings.of[who.name].Placement,
				usual, got, known, want, alsoKnown)
		}
	}
}

// What placing a write costs, for a tenant with a subset of two of twelve packs and of two zones, while the groups change or not.
func BenchmarkPlace(b *testing.B) {
	for _, packsNext := range []map[string][]int{nil, {"a": {0, 1, 2, 3, 4, 5, 6}, "b": {0, 1, 2, 3, 4, 5}}} {
		for _, opType := range []files.OpType{byPack, byZone} {
			b.Run(fmt.Sprintf("%s/changing=%t", opType.Group, packsNext != nil), func(b *testing.B) {
				p, tab := placing(b, &files.Tenants{Header: "Tenant", Subset: 2}, opType)
				p.file.Service.WritePacksNext = packsNext
				setGroups(p)
				who, key := tenantOf(1), []byte("5b0c1c2e-6f1d-4e0e-9a38-0f6f3a1d2b4c")
				b.ReportAllocs()
				for b.Loop() {
					if _, known := p.place(0, who, key, tab, unlimited, 0); !known {
						b.Fatal("refused")
					}
				}
			})
		}
	}
}

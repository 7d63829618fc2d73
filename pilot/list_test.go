package pilot

import (
	"fmt"
	"io"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"vetchdoor/control"
	"vetchdoor/roster"
)

// A listed server that moves to another address moves in the tables that name it; one of a zone that nobody knows is left
// out; one that is gone keeps its place with the module, which must keep proxies off it.
func TestListNews(t *testing.T) {
	r := newRig(t)
	x := r.bound(nil)
	has := func(s string) func() bool { return func() bool { return strings.Contains(x.Stat(), s) } }
	r.until("bound", has("e1,UP,2,127.0.0.1:8001"))
	e := entries()[1]
	e.Address = netip.MustParseAddrPort("127.0.0.1:9001")
	r.list.Set(e)
	r.until("moved", has("e1,UP,2,127.0.0.1:9001"))
	r.list.Set(roster.Entry{Endpoint: 50, Address: e.Address, Zone: "nowhere", Weight: 1, Mode: "ready"}, roster.Entry{Endpoint: 2, Mode: "gone"})
	r.until("gone", func() bool {
		r.module.mu.Lock()
		defer r.module.mu.Unlock()
		said := fmt.Sprintf("%+v", r.module.events)
		return strings.Contains(said, "Endpoint:2 Weight:0 Mode:0") && !strings.Contains(said, "Endpoint:50")
	})
}

// A listed server whose pack changes while its address stays moves in the tables that name it, as one that changes its address
// does: writes' groups are told by it, and a proxy that was told before would send a group's writes elsewhere than one told after.
func TestListNewPack(t *testing.T) {
	for name, change := range map[string]func(*roster.Entry){
		"address": func(e *roster.Entry) { e.Address = netip.MustParseAddrPort("127.0.0.1:9001") },
		"pack":    func(e *roster.Entry) { e.Pack = 7 },
	} {
		r := newRig(t)
		x := r.proxy(1, r.link.Address(), nil)
		r.until("joined", func() bool { return count[control.Joined](r.module) == 1 })
		r.order(append(table(1, 2), control.Bind{Proxy: 1}, control.Checkpoint{Number: 1})...)
		r.until("bound", func() bool { return strings.Contains(x.Stat(), "e1,UP,2,127.0.0.1:8001") })
		told := make(chan bool, 1)
		r.p.post(func() {
			e, h := entries()[1], r.p.desired.proxies[1]
			change(&e)
			before := h.next
			r.p.listed(&roster.Update{Kind: "changes", Version: r.p.version, Entries: []roster.Entry{e}})
			told <- h.next > before || r.p.desired.due[1]
		})
		if !<-told {
			t.Errorf("%s: the proxy is not told", name)
		}
	}
}

// A pilot whose list cannot be kept on disk, as where that is full, says so and goes on; once it can, the newest is kept.
func TestCacheNotKept(t *testing.T) {
	r := newRig(t)
	dir := filepath.Join(t.TempDir(), "full")
	if err := os.WriteFile(dir, nil, 0o600); err != nil { // a file where its folder should be: nothing can be written there
		t.Fatal(err)
	}
	f := *r.p.file
	f.Cache = filepath.Join(dir, "list")
	r.p.Kill()
	r.start(&f)
	r.until("the list came", func() bool { return count[control.Listing](r.module) == 2 })
	for i := range 3 {
		r.list.Set(roster.Entry{Endpoint: 1, Address: netip.MustParseAddrPort("127.0.0.1:8001"), Zone: "z", Weight: float64(2 + i), Mode: "ready"})
	}
	r.until("changes come all the same", func() bool { return count[control.Listing](r.module) == 5 })
	if err := os.Remove(dir); err != nil {
		t.Fatal(err)
	}
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	r.list.Set(roster.Entry{Endpoint: 1, Address: netip.MustParseAddrPort("127.0.0.1:8001"), Zone: "z", Weight: 9, Mode: "ready"})
	r.until("kept", func() bool {
		_, kept, err := roster.Load(f.Cache, f.Name)
		return err == nil && len(kept) == 4 && kept[1].Weight == 9
	})
}

// What a peer says that nobody may say ends its stream, with what was wrong, and the pilot goes on.
func TestBadPeers(t *testing.T) {
	r := newRig(t)
	for _, bad := range []string{
		"table xyz\n\n", "note 7 !!!\n\n", "note 99 AAAA\n\n", "hello 1 token t zone 9 rate 1 holds - 0 0 window 1 standing -\n\n",
		"in-force 1 1\n\n", "sums 1000\nkind 1 2\n\n", "sums 1000\ntype 0 1 0 9\n\n", "knock x\n\n", "knock 1 2\n\n", "<<\n\n", "\n\n",
		"hello 1 token t zone 0 rate 1 holds p 18446744073709551615 0 window 1 standing -\n\n", "refused 1\n\n",
		"hello 1 token t zone 0 rate 1 holds - 0 0 window 1 standing 1,x\n\n", strings.Repeat("x", maxBlockBytes+10)} {
		c, in := dial(t, r.p.Address())
		_ = c.SetDeadline(time.Now().Add(20 * time.Second))
		if _, err := c.Write([]byte(bad)); err != nil && len(bad) < 1000 {
			t.Fatal(err)
		}
		said, err := io.ReadAll(in)
		if err != nil && strings.Contains(err.Error(), "timeout") {
			t.Errorf("%.60q was borne", bad)
		}
		if !strings.HasPrefix(string(said), "refused ") && len(bad) < 1000 {
			t.Errorf("%.60q was answered %q", bad, said)
		}
		c.Close()
	}
	r.proxy(1, r.link.Address(), nil)
	r.joined(1)
}

// What a proxy says that it met at servers that nobody lists is not kept: it would hold up the sums of those that are.
func TestSumsOfStrangers(t *testing.T) {
	r := newRig(t)
	c, in := dial(t, r.p.Address())
	defer c.Close()
	var b strings.Builder
	b.WriteString("hello 1 token t zone 0 rate 1 holds - 0 0 window 100 standing 0\n\nsums 1000\n")
	for id := range 50000 {
		fmt.Fprintf(&b, "server %d 5 1 1000\n", id)
	}
	b.WriteString("type 0 5 0\ntype 9 5 0\n\n")
	if _, err := c.Write([]byte(b.String())); err != nil {
		t.Fatal(err)
	}
	if _, err := in.ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	most := 0
	r.until("the sums came", func() bool {
		r.loop(func() { most = max(most, len(r.p.intake.digests)+len(r.p.intake.arrivals)) })
		return count[control.EndpointStats](r.module) >= 4 && count[control.Arrivals](r.module) >= 1
	})
	if most > 5 {
		t.Errorf("%d lines waited", most)
	}
}

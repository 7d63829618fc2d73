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

// A server whose address changes on the list gets the new address in the proxies' tables. A server in an unknown zone is
// ignored. A server that is gone is passed to the module as gone, which has to withdraw it.
func TestListChanges(t *testing.T) {
	r := newRig(t)
	x := r.boundProxy(nil)
	has := func(s string) func() bool { return func() bool { return strings.Contains(x.Stat(), s) } }
	r.waitFor("bound", has("e1,UP,2,127.0.0.1:8001"))
	e := entries()[1]
	e.Address = netip.MustParseAddrPort("127.0.0.1:9001")
	r.list.Set(e)
	r.waitFor("moved", has("e1,UP,2,127.0.0.1:9001"))
	r.list.Set(roster.Entry{Endpoint: 50, Address: e.Address, Zone: "nowhere", Weight: 1, Mode: "ready"},
		roster.Entry{Endpoint: 2, Mode: "gone"})
	r.waitFor("gone", func() bool {
		r.module.mu.Lock()
		defer r.module.mu.Unlock()
		events := fmt.Sprintf("%+v", r.module.events)
		return strings.Contains(events, "Endpoint:2 Weight:0 Mode:0") && !strings.Contains(events, "Endpoint:50")
	})
}

// A server whose pack or address changes is sent to the proxies again. Writes are grouped by pack, so
// proxies that joined before and after the change would otherwise send the same group's writes to different servers.
func TestListedServerMoves(t *testing.T) {
	for name, change := range map[string]func(*roster.Entry){
		"address": func(e *roster.Entry) { e.Address = netip.MustParseAddrPort("127.0.0.1:9001") },
		"pack":    func(e *roster.Entry) { e.Pack = 7 },
	} {
		r := newRig(t)
		x := r.proxy(1, r.link.Address(), nil)
		r.waitFor("joined", func() bool { return countEvents[control.Joined](r.module) == 1 })
		r.order(append(table(1, 2), control.Bind{Proxy: 1}, control.Checkpoint{Number: 1})...)
		r.waitFor("bound", func() bool { return strings.Contains(x.Stat(), "e1,UP,2,127.0.0.1:8001") })
		noticed := make(chan bool, 1)
		r.p.post(func() {
			e, h := entries()[1], r.p.desired.proxies[1]
			change(&e)
			before := h.nextNumber
			r.p.applyListUpdate(&roster.Update{Kind: "changes", Version: r.p.listVersion, Entries: []roster.Entry{e}})
			noticed <- h.nextNumber > before || r.p.desired.pendingNotices[1]
		})
		if !<-noticed {
			t.Errorf("%s: the change is not sent to the proxy", name)
		}
	}
}

// A pilot that cannot save its list, for example because the disk is full, continues to apply list updates. Once saving works
// again it saves the newest list.
func TestCacheWriteFails(t *testing.T) {
	r := newRig(t)
	dir := filepath.Join(t.TempDir(), "full")
	if err := os.WriteFile(dir, nil, 0o600); err != nil { // a file in place of the directory makes every write fail
		t.Fatal(err)
	}
	f := *r.p.file
	f.Cache = filepath.Join(dir, "list")
	r.p.Kill()
	r.start(&f)
	r.waitFor("the list after the restart", func() bool { return countEvents[control.Listing](r.module) == 2 })
	for i := range 3 {
		r.list.Set(roster.Entry{Endpoint: 1, Address: netip.MustParseAddrPort("127.0.0.1:8001"), Zone: "z", Weight: float64(2 + i),
			Mode: "ready"})
	}
	r.waitFor("the updates while saving fails", func() bool { return countEvents[control.Listing](r.module) == 5 })
	if err := os.Remove(dir); err != nil {
		t.Fatal(err)
	}
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	r.list.Set(roster.Entry{Endpoint: 1, Address: netip.MustParseAddrPort("127.0.0.1:8001"), Zone: "z", Weight: 9, Mode: "ready"})
	r.waitFor("kept", func() bool {
		_, kept, err := roster.Load(f.Cache, f.Name)
		return err == nil && len(kept) == 4 && kept[1].Weight == 9
	})
}

// A malformed or forbidden block ends its stream with the reason, and does not disturb the pilot.
func TestMalformedBlocks(t *testing.T) {
	r := newRig(t)
	for _, bad := range []string{
		"table xyz\n\n", "note 7 !!!\n\n", "note 99 AAAA\n\n", "hello 1 token t zone 9 rate 1 holds - 0 0 window 1 standing -\n\n",
		"in-force 1 1\n\n", "sums 1000\nkind 1 2\n\n", "sums 1000\ntype 0 1 0 9\n\n", "knock x\n\n", "knock 1 2\n\n", "<<\n\n", "\n\n",
		"hello 1 token t zone 0 rate 1 holds p 18446744073709551615 0 window 1 standing -\n\n", "refused 1\n\n",
		"hello 1 token t zone 0 rate 1 holds - 0 0 window 1 standing 1,x\n\n", strings.Repeat("x", maxBlockBytes+10)} {
		c, in := dialRaw(t, r.p.Address())
		_ = c.SetDeadline(time.Now().Add(20 * time.Second))
		if _, err := c.Write([]byte(bad)); err != nil && len(bad) < 1000 {
			t.Fatal(err)
		}
		answer, err := io.ReadAll(in)
		if err != nil && strings.Contains(err.Error(), "timeout") {
			t.Errorf("%.60q did not end the stream", bad)
		}
		if !strings.HasPrefix(string(answer), "refused ") && len(bad) < 1000 {
			t.Errorf("%.60q was answered %q, not refused", bad, answer)
		}
		c.Close()
	}
	r.proxy(1, r.link.Address(), nil)
	r.waitJoined(1)
}

// Sums of servers that are not on the list are ignored, because the intake's rate is limited and they would delay those of
// listed servers.
func TestSumsOfUnlistedServers(t *testing.T) {
	r := newRig(t)
	c, in := dialRaw(t, r.p.Address())
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
	r.waitFor("the sums of the listed servers", func() bool {
		r.onLoop(func() { most = max(most, len(r.p.intake.endpoints)+len(r.p.intake.arrivals)) })
		return countEvents[control.EndpointStats](r.module) >= 4 && countEvents[control.Arrivals](r.module) >= 1
	})
	if most > 5 {
		t.Errorf("%d lines waited in the intake, want at most 5", most)
	}
}

package pilot

import (
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"vetchdoor/files"
	"vetchdoor/proxy"
	"vetchdoor/runtime"
	"vetchdoor/tenancy"
)

// movesRig is a rig whose pilot can move tenants and whose proxies store their bindings.
type movesRig struct {
	*rig
	dir  string
	file *files.Pilot
}

// newMovesRig returns a rig whose pilot has a store of tenants. change, if not nil, modifies the pilot's file.
func newMovesRig(t *testing.T, change func(*files.Pilot)) *movesRig {
	t.Helper()
	r := &movesRig{dir: t.TempDir()}
	r.rig = newRigWith(t, func(f *files.Pilot) {
		f.Service = movesService()
		f.ResumeWindow = files.Duration(20 * time.Millisecond)
		f.Moves = &files.Moves{Store: filepath.Join(r.dir, "tenants.db"), MaxHold: files.Duration(time.Minute)}
		if change != nil {
			change(f)
		}
		r.file = f
	})
	restart := *r.file // a copy, for the running pilot reads its own file
	restart.Listen = r.p.Address()
	r.file = &restart
	return r
}

// movesService returns service settings with an op type for reads and one for deduplicated writes.
func movesService() files.Service {
	s := service()
	s.OpTypes = append(s.OpTypes, files.OpType{Name: "w", Match: files.Match{Method: "POST"},
		TargetLatency: files.Duration(20 * time.Millisecond),
		OpTimeout:     files.Duration(50 * time.Millisecond), Repeat: "deduplicated", Group: "zone",
		DedupWindow: files.Duration(100 * time.Millisecond), Writes: true})
	s.OpTypes[0].Match.Method = "GET"
	return s
}

// proxyFile returns the file of a proxy that stores its bindings in the rig's directory.
func (r *movesRig) proxyFile(id uint16, pilots ...string) *files.Proxy {
	f := proxyFile(id, pilots...)
	f.Service = movesService()
	f.Tenants = &files.Tenants{Header: "Newsroom", Subset: 1, Bindings: filepath.Join(r.dir, fmt.Sprint("bindings-", id))}
	return f
}

// twoProxies starts two proxies. The returned function sets how long the second one delays each message.
func (r *movesRig) twoProxies() (x, y *proxy.Proxy, stall func(time.Duration)) {
	var mu sync.Mutex
	d := time.Duration(0)
	x = startProxy(r.t, r.proxyFile(1, r.p.Address()), nil)
	y = startProxy(r.t, r.proxyFile(2, r.p.Address()), func(*runtime.Message) time.Duration {
		mu.Lock()
		defer mu.Unlock()
		return d
	})
	r.waitJoined(2)
	return x, y, func(to time.Duration) {
		mu.Lock()
		d = to
		mu.Unlock()
	}
}

// replyContains returns a condition that holds once the reply of a command contains a text.
func (r *movesRig) replyContains(cmd, want string) func() bool {
	return func() bool { return strings.Contains(r.command(cmd), want) }
}

// tenantPlacement returns a proxy's show tenant line for a tenant, which contains its placement; empty if there is none.
func tenantPlacement(p *proxy.Proxy, name string) string {
	for line := range strings.Lines(p.TenantInfo(name)) {
		if strings.HasPrefix(line, "="+name+",") {
			return strings.TrimSpace(line)
		}
	}
	return ""
}

// waitPlaced waits until the proxies have the given placement of the tenant delo, with its writes permitted.
func (r *movesRig) waitPlaced(want string, ps ...*proxy.Proxy) {
	r.t.Helper()
	for _, p := range ps {
		r.waitFor(want, func() bool {
			s := tenantPlacement(p, "delo")
			return strings.Contains(s, want) && strings.HasSuffix(s, ",open,")
		})
	}
}

// postWrite sends a write of the tenant delo to a proxy and returns the status of the answer, and its Retry-After and body.
func postWrite(t *testing.T, p *proxy.Proxy) (int, string) {
	t.Helper()
	c, in := dialRaw(t, p.Address())
	defer c.Close()
	_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nNewsroom: delo\r\nIdempotency-Key: k\r\nContent-Length: 0\r\n\r\n")
	a, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	text, _ := io.ReadAll(a.Body)
	return a.StatusCode, a.Header.Get("Retry-After") + " " + string(text)
}

// A tenant is moved several times, at last to its default placement. A proxy that starts without a pilot has the placement
// from its file, and a proxy without a file gets it when it joins.
func TestMove(t *testing.T) {
	r := newMovesRig(t, nil)
	x, y, _ := r.twoProxies()
	if got := r.command("move tenant delo"); strings.TrimSpace(got) != "" {
		t.Fatal(got)
	}
	r.waitPlaced("draw 1 size 0 pods *", x, y)
	r.waitFor("ended", r.replyContains("show move", "Moved: 1\n"))
	r.command("set tenant =delo subset size 3 pods 0.0")
	r.waitPlaced("draw 1 size 3 pods 0.0", x, y)
	y.Kill()
	f := r.proxyFile(2, "127.0.0.1:1") // no pilot listens there
	alone := startProxy(t, f, nil)
	if s := tenantPlacement(alone, "delo"); !strings.Contains(s, "draw 1 size 3 pods 0.0") || !strings.HasSuffix(s, ",open,") {
		t.Errorf("a proxy restarted without a pilot has %q", s)
	}
	alone.Kill()
	f = r.proxyFile(2, r.p.Address())
	f.Tenants.Bindings = filepath.Join(r.dir, "new")
	y2 := startProxy(t, f, nil)
	r.waitPlaced("draw 1 size 3 pods 0.0", y2)
	r.command("set tenant delo subset home")
	r.waitFor("home", r.replyContains("show move", "Moved: 3\n"))
	r.waitFor("the proxies to remove the binding", func() bool {
		return strings.Contains(x.Info()+y2.Info(), "\nBindings: 0\n") && !strings.Contains(x.Info()+y2.Info(), "\nBindings: 1\n")
	})
}

// Commands with invalid arguments are answered with the reason and change nothing.
func TestMoveCommands(t *testing.T) {
	r := newMovesRig(t, nil)
	for cmd, want := range map[string]string{
		"move tenant": "name", "set tenant delo": "subset", "set tenant delo subset": "subset",
		"set tenant delo subset pods 9.9": "no server on the list",
		"set tenant delo subset pods x":   "no list of pods", "set tenant delo subset home": "there already",
		"cancel move delo": "does not move",
		"open move delo":   "no move that is ready", "forget proxy 9": "not known", "forget proxy x": "not a proxy number",
		"cancel move":              "name",
		"move tenant delo size -1": "no whole number", "move tenant delo nowhere": "none of draw",
		"move tenant " + strings.Repeat("x", 300): "no tenant's name",
		"move tenant delo size 2000":              "no whole number", "set tenant delo subset pods 0.0,": "no list of pods",
	} {
		if got := r.command(cmd); !strings.Contains(got, want) || strings.Count(got, "\n") != 2 {
			t.Errorf("%s: %q", cmd, got)
		}
	}
	if got := r.command("show tenant"); strings.Count(got, "\n") != 2 {
		t.Error(got)
	}
}

// A proxy that does not confirm delays a move, and show move names that proxy. In the meantime the tenant's writes are
// answered 503 with a Retry-After. Cancelling the move starts the next one that was requested.
func TestMoveWaitsForProxy(t *testing.T) {
	r := newMovesRig(t, nil)
	x, y, stall := r.twoProxies()
	stall(time.Hour)
	r.command("move tenant delo")
	held := func() bool { return strings.HasSuffix(tenantPlacement(x, "delo"), ",held,") }
	r.waitFor("held", held)
	r.waitFor("show move to name the held tenant", r.replyContains("show move",
		"=delo,holding,draw 0 size 0 pods *,draw 1 size 0 pods *,"))
	r.waitFor("show move to name the awaited proxy", func() bool { return strings.Contains(r.command("show move"), ",2,,\n") })
	if status, text := postWrite(t, x); status != 503 || !strings.HasPrefix(text, "1 the tenant is being moved") {
		t.Errorf("%d %s", status, text)
	}
	r.command("move tenant delo draw 7") // the first move is still waiting for a confirmation
	r.waitFor("waits", r.replyContains("show move", "Waiting: 1\n"))
	r.command("cancel move delo")
	r.waitFor("cancelled", r.replyContains("show move", "Cancelled: 1\n"))
	r.waitFor("begins", r.replyContains("show move", "pods *,draw 7 size 0 pods *,"))
	stall(0)
	y.Kill() // the proxy is restarted with the bindings in its file
	again := startProxy(t, r.proxyFile(2, r.p.Address()), nil)
	r.waitPlaced("draw 7 size 0 pods *", x, again)
}

// A pilot that is killed in any phase of a move completes the move after its restart, from its store. A move does not wait
// for a proxy that an operator has declared lost with forget proxy.
func TestMovePilotRestarts(t *testing.T) {
	for _, phase := range []string{"holding", "ready"} {
		t.Run(phase, func(t *testing.T) {
			r := newMovesRig(t, nil)
			x, y, stall := r.twoProxies()
			if phase == "holding" {
				stall(time.Hour)
			}
			r.command("move tenant delo wait")
			r.waitFor(phase, r.replyContains("show move", "=delo,"+phase+","))
			r.p.Kill()
			if phase == "holding" {
				y.Kill()
			}
			if !strings.HasSuffix(tenantPlacement(x, "delo"), ",held,") && phase == "ready" {
				t.Error("writes permitted although the pilot was killed during the move")
			}
			r.start(r.file)
			r.waitFor("the move after the restart", r.replyContains("show move", "=delo,"))
			if phase == "holding" {
				r.waitFor("show move to name the lost proxy", func() bool { return strings.Contains(r.command("show move"), ",2,2,\n") })
				if got := r.command("forget proxy 2"); strings.TrimSpace(got) != "" {
					t.Error(got)
				}
			}
			r.waitFor("ready", r.replyContains("show move", "=delo,ready,"))
			if got := r.command("open move delo"); strings.TrimSpace(got) != "" {
				t.Error(got)
			}
			r.waitPlaced("draw 1 size 0 pods *", x)
		})
	}
}

// A move that holds a tenant's writes for longer than the configured maximum is cancelled.
func TestMoveTimesOut(t *testing.T) {
	r := newMovesRig(t, func(f *files.Pilot) { f.Moves.MaxHold = files.Duration(300 * time.Millisecond) })
	x, _, stall := r.twoProxies()
	stall(time.Hour)
	r.command("move tenant delo")
	r.waitFor("cancelled", r.replyContains("show move", "Cancelled: 1\n"))
	r.waitFor("the writes to be permitted at the old seat", func() bool {
		s := tenantPlacement(x,
			"delo")
		return !strings.HasSuffix(s, ",held,")
	})
}

// A proxy that joins another pilot, whose store places a tenant elsewhere, takes over that placement. It permits writes there
// only after a wait.
func TestMoveTwoPilots(t *testing.T) {
	r := newMovesRig(t, nil)
	other := *r.file
	other.Name, other.Listen, other.Moves = "q", "127.0.0.1:0", &files.Moves{Store: filepath.Join(r.dir, "other.db")}
	q := startPilot(t, newPilot(t, &other), &scriptedModule{})
	t.Cleanup(q.Stop)
	f := r.proxyFile(1, r.p.Address(), q.Address())
	f.Pilots[1].Zone = "far"
	x := startProxy(t, f, nil)
	r.waitJoined(1)
	r.command("move tenant delo")
	r.waitPlaced("draw 1 size 0 pods *", x)
	r.p.Kill()
	r.waitFor("the proxy to take over the other pilot's bindings", func() bool {
		return strings.Contains(x.Info(), "\nPilot: q\n") && strings.Contains(x.Info(), "\nBindings: 0\n")
	})
	r.start(r.file)
}

// Limits of tenants are stored and survive a restart of the pilot.
func TestLimitsSurviveRestart(t *testing.T) {
	r := newMovesRig(t, func(f *files.Pilot) { f.Tenants = true })
	r.p.post(func() {
		for i := range 10 {
			x := tenancy.Usage{Tenant: fmt.Sprint("t", i), Pod: 1, Ops: 10, Failed: 2, Busy: time.Second}
			if i == 3 {
				x.Ops, x.Failed, x.Busy = 1000, 900, time.Minute
			}
			r.p.tenantUses = append(r.p.tenantUses, x)
		}
		for range 2 {
			uses := r.p.tenantUses
			r.p.limitTenants()
			r.p.tenantUses = uses
		}
	})
	r.waitFor("limited", r.replyContains("show tenant", "=t3,"))
	before := r.command("show tenant t3")
	r.waitFor("kept", func() bool {
		r.p.mover.writer.mu.Lock()
		defer r.p.mover.writer.mu.Unlock()
		return r.p.mover.writer.limits == nil
	})
	r.p.Stop()
	r.start(r.file)
	if got := r.command("show tenant t3"); strings.Split(got, ",draw")[0] != strings.Split(before, ",draw")[0] {
		t.Errorf("%s\n%s", before, got)
	}
	x := startProxy(t, r.proxyFile(1, r.p.Address()), nil)
	r.waitFor("the limit at a proxy that joins after the restart", func() bool {
		return strings.Contains(x.TenantInfo("t3"), "=t3,") && !strings.Contains(x.TenantInfo("t3"), "=t3,-1,")
	})
}

// A pilot does not start with a store that is corrupt or open in another process, nor a proxy with a corrupt file of bindings.
func TestMoveStoreRefused(t *testing.T) {
	r := newMovesRig(t, nil)
	f := *r.file
	f.Listen = "127.0.0.1:0"
	if err := newPilot(t, &f).Start(); err == nil || !strings.Contains(err.Error(), "another process has it open") {
		t.Error(err)
	}
	f.Moves = &files.Moves{Store: filepath.Join(r.dir, "torn")}
	if err := os.WriteFile(f.Moves.Store, []byte("half"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := newPilot(t, &f).Start(); err == nil || !strings.Contains(err.Error(), "not a store of tenants") {
		t.Error(err)
	}
	if _, err := proxy.New(r.proxyFile(3), slog.New(slog.DiscardHandler)); err != nil {
		t.Error(err)
	}
	b := filepath.Join(r.dir, "bindings-4")
	if err := os.WriteFile(b, []byte("half\n{"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := proxy.New(r.proxyFile(4), slog.New(slog.DiscardHandler)); err == nil || !strings.Contains(err.Error(),
		"bindings-4:1:") {
		t.Error(err)
	}
}

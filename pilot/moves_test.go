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

// movesRig is a pilot that moves tenants, with proxies that keep their bindings.
type movesRig struct {
	*rig
	dir  string
	file *files.Pilot
}

func newMovesRig(t *testing.T, change func(*files.Pilot)) *movesRig {
	t.Helper()
	r := &movesRig{dir: t.TempDir()}
	r.rig = newRigOf(t, func(f *files.Pilot) {
		f.Service = movesService()
		f.ResumeWindow = files.Duration(20 * time.Millisecond)
		f.Moves = &files.Moves{Store: filepath.Join(r.dir, "tenants.db"), MaxHold: files.Duration(time.Minute)}
		if change != nil {
			change(f)
		}
		r.file = f
	})
	r.file.Listen = r.p.Address()
	return r
}

func movesService() files.Service {
	s := service()
	s.OpTypes = append(s.OpTypes, files.OpType{Name: "w", Match: files.Match{Method: "POST"}, TargetLatency: files.Duration(20 * time.Millisecond),
		OpTimeout: files.Duration(50 * time.Millisecond), Repeat: "deduplicated", Group: "zone", DedupWindow: files.Duration(100 * time.Millisecond), Writes: true})
	s.OpTypes[0].Match.Method = "GET"
	return s
}

func (r *movesRig) proxyFile(id uint16, pilots ...string) *files.Proxy {
	f := proxyFile(id, pilots...)
	f.Service = movesService()
	f.Tenants = &files.Tenants{Header: "Newsroom", Subset: 1, Bindings: filepath.Join(r.dir, fmt.Sprint("bindings-", id))}
	return f
}

// two starts two proxies; the second one's messages stall while the function returned says so.
func (r *movesRig) two() (x, y *proxy.Proxy, stall func(time.Duration)) {
	var mu sync.Mutex
	d := time.Duration(0)
	x = startProxy(r.t, r.proxyFile(1, r.p.Address()), nil)
	y = startProxy(r.t, r.proxyFile(2, r.p.Address()), func(*runtime.Message) time.Duration { mu.Lock(); defer mu.Unlock(); return d })
	r.joined(2)
	return x, y, func(to time.Duration) { mu.Lock(); d = to; mu.Unlock() }
}

func (r *movesRig) says(cmd, want string) func() bool {
	return func() bool { return strings.Contains(r.ask(cmd), want) }
}

// seat is how a proxy has a tenant.
func seat(p *proxy.Proxy, name string) string {
	for line := range strings.Lines(p.TenantInfo(name)) {
		if strings.HasPrefix(line, "="+name+",") {
			return strings.TrimSpace(line)
		}
	}
	return ""
}

func (r *movesRig) seated(want string, ps ...*proxy.Proxy) {
	r.t.Helper()
	for _, p := range ps {
		r.until(want, func() bool { s := seat(p, "delo"); return strings.Contains(s, want) && strings.HasSuffix(s, ",open,") })
	}
}

// post asks a proxy for a write of the tenant and returns the status.
func post(t *testing.T, p *proxy.Proxy) (int, string) {
	t.Helper()
	c, in := dial(t, p.Address())
	defer c.Close()
	_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nNewsroom: delo\r\nIdempotency-Key: k\r\nContent-Length: 0\r\n\r\n")
	a, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	text, _ := io.ReadAll(a.Body)
	return a.StatusCode, a.Header.Get("Retry-After") + " " + string(text)
}

// A tenant moves, back home too; a proxy that joins anew is told, one that starts anew knows from its disk.
func TestMove(t *testing.T) {
	r := newMovesRig(t, nil)
	x, y, _ := r.two()
	if got := r.ask("move tenant delo"); strings.TrimSpace(got) != "" {
		t.Fatal(got)
	}
	r.seated("draw 1 size 0 pods *", x, y)
	r.until("ended", r.says("show move", "Moved: 1\n"))
	r.ask("set tenant =delo subset size 3 pods 0.0")
	r.seated("draw 1 size 3 pods 0.0", x, y)
	y.Kill()
	f := r.proxyFile(2, "127.0.0.1:1") // no pilot is there
	alone := startProxy(t, f, nil)
	if s := seat(alone, "delo"); !strings.Contains(s, "draw 1 size 3 pods 0.0") || !strings.HasSuffix(s, ",open,") {
		t.Errorf("a proxy that starts anew alone has %q", s)
	}
	alone.Kill()
	f = r.proxyFile(2, r.p.Address())
	f.Tenants.Bindings = filepath.Join(r.dir, "new")
	y2 := startProxy(t, f, nil)
	r.seated("draw 1 size 3 pods 0.0", y2)
	r.ask("set tenant delo subset home")
	r.until("home", r.says("show move", "Moved: 3\n"))
	r.until("forgotten by the proxies", func() bool {
		return strings.Contains(x.Info()+y2.Info(), "\nBindings: 0\n") && !strings.Contains(x.Info()+y2.Info(), "\nBindings: 1\n")
	})
}

// Commands that ask for what cannot be are answered with why, and change nothing.
func TestMoveCommands(t *testing.T) {
	r := newMovesRig(t, nil)
	for cmd, want := range map[string]string{
		"move tenant": "name", "set tenant delo": "subset", "set tenant delo subset": "subset", "set tenant delo subset pods 9.9": "no server on the list",
		"set tenant delo subset pods x": "no list of pods", "set tenant delo subset home": "there already", "cancel move delo": "does not move",
		"open move delo": "no move that is ready", "forget proxy 9": "not known", "forget proxy x": "no proxy", "cancel move": "name",
		"move tenant delo size -1": "no whole number", "move tenant delo nowhere": "none of draw", "move tenant " + strings.Repeat("x", 300): "no tenant's name",
		"move tenant delo size 2000": "no whole number", "set tenant delo subset pods 0.0,": "no list of pods",
	} {
		if got := r.ask(cmd); !strings.Contains(got, want) || strings.Count(got, "\n") != 2 {
			t.Errorf("%s: %q", cmd, got)
		}
	}
	if got := r.ask("show tenant"); strings.Count(got, "\n") != 2 {
		t.Error(got)
	}
}

// A proxy that does not confirm holds the move up, which names it; the tenant's writes are refused meanwhile, with a time
// to come back, its reads are not; a cancel opens it where it was, and a second move asked for meanwhile begins then.
func TestMoveHeldUp(t *testing.T) {
	r := newMovesRig(t, nil)
	x, y, stall := r.two()
	stall(time.Hour)
	r.ask("move tenant delo")
	held := func() bool { return strings.HasSuffix(seat(x, "delo"), ",held,") }
	r.until("held", held)
	r.until("names it", r.says("show move", "=delo,holding,draw 0 size 0 pods *,draw 1 size 0 pods *,"))
	r.until("awaits it alone", func() bool { return strings.Contains(r.ask("show move"), ",2,,\n") })
	if status, text := post(t, x); status != 503 || !strings.HasPrefix(text, "1 the tenant is being moved") {
		t.Errorf("%d %s", status, text)
	}
	r.ask("move tenant delo draw 7") // meanwhile
	r.until("waits", r.says("show move", "Waiting: 1\n"))
	r.ask("cancel move delo")
	r.until("cancelled", r.says("show move", "Cancelled: 1\n"))
	r.until("begins", r.says("show move", "pods *,draw 7 size 0 pods *,"))
	stall(0)
	y.Kill() // it comes back with what it kept
	again := startProxy(t, r.proxyFile(2, r.p.Address()), nil)
	r.seated("draw 7 size 0 pods *", x, again)
}

// A pilot that dies in any phase comes back with its store and ends the move; a proxy that is gone for good is forgotten.
func TestMovePilotDies(t *testing.T) {
	for _, phase := range []string{"holding", "ready"} {
		t.Run(phase, func(t *testing.T) {
			r := newMovesRig(t, nil)
			x, y, stall := r.two()
			if phase == "holding" {
				stall(time.Hour)
			}
			r.ask("move tenant delo wait")
			r.until(phase, r.says("show move", "=delo,"+phase+","))
			r.p.Kill()
			if phase == "holding" {
				y.Kill()
			}
			if !strings.HasSuffix(seat(x, "delo"), ",held,") && phase == "ready" {
				t.Error("open though its pilot died")
			}
			r.start(r.file)
			r.until("goes on", r.says("show move", "=delo,"))
			if phase == "holding" {
				r.until("awaits the dead one", func() bool { return strings.Contains(r.ask("show move"), ",2,2,\n") })
				if got := r.ask("forget proxy 2"); strings.TrimSpace(got) != "" {
					t.Error(got)
				}
			}
			r.until("ready", r.says("show move", "=delo,ready,"))
			if got := r.ask("open move delo"); strings.TrimSpace(got) != "" {
				t.Error(got)
			}
			r.seated("draw 1 size 0 pods *", x)
		})
	}
}

// A move that takes longer than a tenant may be held is cancelled by itself.
func TestMoveTakesTooLong(t *testing.T) {
	r := newMovesRig(t, func(f *files.Pilot) { f.Moves.MaxHold = files.Duration(300 * time.Millisecond) })
	x, _, stall := r.two()
	stall(time.Hour)
	r.ask("move tenant delo")
	r.until("cancelled", r.says("show move", "Cancelled: 1\n"))
	r.until("open where it was", func() bool { s := seat(x, "delo"); return !strings.HasSuffix(s, ",held,") })
}

// A proxy that goes to a pilot with another view of a tenant takes that view, and lets writes go there only after a wait of
// its own.
func TestMoveTwoPilots(t *testing.T) {
	r := newMovesRig(t, nil)
	other := *r.file
	other.Name, other.Listen, other.Moves = "q", "127.0.0.1:0", &files.Moves{Store: filepath.Join(r.dir, "other.db")}
	q := begin(t, newPilot(t, &other), &script{})
	t.Cleanup(q.Stop)
	f := r.proxyFile(1, r.p.Address(), q.Address())
	f.Pilots[1].Zone = "far"
	x := startProxy(t, f, nil)
	r.joined(1)
	r.ask("move tenant delo")
	r.seated("draw 1 size 0 pods *", x)
	r.p.Kill()
	r.until("goes home, after a wait", func() bool {
		return strings.Contains(x.Info(), "\nPilot: q\n") && strings.Contains(x.Info(), "\nBindings: 0\n")
	})
	r.start(r.file)
}

// Limits of tenants outlive a pilot with a store.
func TestLimitsOutlive(t *testing.T) {
	r := newMovesRig(t, func(f *files.Pilot) { f.Tenants = true })
	r.p.post(func() {
		for i := range 10 {
			x := tenancy.Use{Tenant: fmt.Sprint("t", i), Pod: 1, Ops: 10, Failed: 2, Busy: time.Second}
			if i == 3 {
				x.Ops, x.Failed, x.Busy = 1000, 900, time.Minute
			}
			r.p.uses = append(r.p.uses, x)
		}
		for range 2 {
			uses := r.p.uses
			r.p.limitTenants()
			r.p.uses = uses
		}
	})
	r.until("limited", r.says("show tenant", "=t3,"))
	before := r.ask("show tenant t3")
	r.until("kept", func() bool {
		r.p.mover.disk.mu.Lock()
		defer r.p.mover.disk.mu.Unlock()
		return r.p.mover.disk.limit == nil
	})
	r.p.Stop()
	r.start(r.file)
	if got := r.ask("show tenant t3"); strings.Split(got, ",draw")[0] != strings.Split(before, ",draw")[0] {
		t.Errorf("%s\n%s", before, got)
	}
	x := startProxy(t, r.proxyFile(1, r.p.Address()), nil)
	r.until("a proxy is told", func() bool {
		return strings.Contains(x.TenantInfo("t3"), "=t3,") && !strings.Contains(x.TenantInfo("t3"), "=t3,-1,")
	})
}

// A store that cannot be read keeps a pilot from starting; one that another pilot has open too.
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
	if _, err := proxy.New(r.proxyFile(4), slog.New(slog.DiscardHandler)); err == nil || !strings.Contains(err.Error(), "bindings-4:1:") {
		t.Error(err)
	}
}

package pilot

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"vetchdoor/control"
	"vetchdoor/files"
	"vetchdoor/http1"
	"vetchdoor/lab/leak"
	"vetchdoor/lab/link"
	stand "vetchdoor/lab/roster"
	"vetchdoor/pilot/host"
	"vetchdoor/proxy"
	"vetchdoor/roster"
	"vetchdoor/runtime"
	"vetchdoor/serve"
	sessions "vetchdoor/session"
)

func TestMain(m *testing.M) { leak.Main(m) }

// script is a module that orders what a test says and remembers what it was told.
type script struct {
	mu     sync.Mutex
	events []control.Event
	next   [][]control.Order
}

func (s *script) Decide(now time.Duration, events []control.Event) (out []control.Order) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, events...)
	for _, e := range events {
		if r, ok := e.(control.Ring); ok && r.Label == 666 {
			panic("as the test asked")
		}
	}
	for _, orders := range s.next {
		out = append(out, orders...)
	}
	s.next = nil
	return out
}

// heard is the events of one type so far, the oldest first.
func heard[T any](s *script) (out []T) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.events {
		if x, ok := e.(T); ok {
			out = append(out, x)
		}
	}
	return out
}

func count[T any](s *script) int { return len(heard[T](s)) }

// order has the pilot order something at once.
func (r *rig) order(orders ...control.Order) {
	r.module.mu.Lock()
	r.module.next = append(r.module.next, orders)
	r.module.mu.Unlock()
	r.p.post(func() { r.p.host.Event(control.Ring{}) })
	r.until("ordered", func() bool { r.module.mu.Lock(); defer r.module.mu.Unlock(); return len(r.module.next) == 0 })
}

// rig is a pilot with a scripted module behind a relay.
type rig struct {
	t      *testing.T
	module *script
	p      *Pilot
	list   *stand.Server
	tap    *link.Tap
	link   *link.Link
}

func quick() time.Duration { return 0 }

func entries() []roster.Entry {
	var out []roster.Entry
	for i := range control.EndpointID(4) {
		s, _ := at(i)
		out = append(out, roster.Entry{Endpoint: i, Address: s.Address, Zone: "z", Weight: 1, Mode: "ready"})
	}
	return out
}

func service() files.Service {
	return files.Service{Zones: []string{"z"}, Bootstrap: 2, ReportEvery: files.Duration(50 * time.Millisecond), OpTypes: []files.OpType{
		{Name: "a", TargetLatency: files.Duration(time.Second), OpTimeout: files.Duration(2 * time.Second), Repeat: "retryable"}}}
}

func pilotFile(listAt string) *files.Pilot {
	return &files.Pilot{Kind: "pilot", Name: "p", Zone: "z", Proxies: 2, Listen: "127.0.0.1:0", Admin: "127.0.0.1:0", Tick: files.Duration(200 * time.Microsecond), Roster: listAt,
		Seed: 1, Service: service(), ResumeWindow: files.Duration(5 * time.Second), SilenceTimeout: files.Duration(20 * time.Second),
		Limits: files.Limits{EmptyFor: 1, DrainGrace: 1}, Channel: files.Channel{LinesPerSecond: 1e6, MessageLines: 3, MaxWaitingLines: 8000, ReportLinesPerSecond: 1000}}
}

// newRig is a rig with the relay before its pilot.
func newRig(t *testing.T) *rig {
	r := newRigOf(t, func(*files.Pilot) {})
	r.tap = link.NewTap(time.Now())
	var err error
	if r.link, err = link.Open("stream 1 0", r.p.Address(), r.tap, quick, quick); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { r.p.Stop(); r.link.Close() })
	return r
}

// newRigOf is a rig without the relay, whose pilot has its list.
func newRigOf(t *testing.T, change func(*files.Pilot)) *rig {
	t.Helper()
	r := &rig{t: t, module: &script{}}
	var err error
	if r.list, err = stand.Start("127.0.0.1:0", entries()); err != nil {
		t.Fatal(err)
	}
	f := pilotFile(r.list.Address())
	change(f)
	r.start(f)
	t.Cleanup(func() { r.p.Stop(); r.list.Close() })
	r.until("the list came", func() bool { return count[control.Listing](r.module) == 1 })
	return r
}

func (r *rig) start(f *files.Pilot) {
	r.t.Helper()
	r.p = begin(r.t, newPilot(r.t, f), r.module)
}

func newPilot(t testing.TB, f *files.Pilot) *Pilot {
	t.Helper()
	p, err := New(f, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// begin starts a pilot; its own module decides where none is given.
func begin(t testing.TB, p *Pilot, module host.Decider) *Pilot {
	t.Helper()
	if module != nil {
		p.host.NewDecider = func() host.Decider { return module }
	}
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	return p
}

// until waits for something that must come, however slow the machine.
func (r *rig) until(what string, ok func() bool) {
	r.t.Helper()
	until(r.t, 200*time.Microsecond, what, ok)
}

// until looks again and again, at this pace.
func until(t testing.TB, pace time.Duration, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !ok(); time.Sleep(pace) {
		if time.Now().After(end) {
			t.Fatalf("never: %s", what)
		}
	}
}

// joined waits until proxies have joined so often.
func (r *rig) joined(n int) {
	r.t.Helper()
	r.until("joined", func() bool { return count[control.Joined](r.module) == n })
}

// inForce waits until so many messages have been confirmed.
func (r *rig) inForce(n int) {
	r.t.Helper()
	r.until("in force", func() bool { return count[control.InForce](r.module) == n })
}

// loop runs f on the pilot's loop and waits for it.
func (r *rig) loop(f func()) {
	r.t.Helper()
	done := make(chan bool)
	if !r.p.post(func() { f(); close(done) }) {
		r.t.Fatal("the loop has ended")
	}
	<-done
}

// proxy joins at an address; stall, if not nil, holds up its messages.
func (r *rig) proxy(id uint16, address string, stall func(*runtime.Message) time.Duration) *proxy.Proxy {
	r.t.Helper()
	return startProxy(r.t, proxyFile(id, address), stall)
}

// bound is a proxy that has joined through the relay and confirmed a table of two servers.
func (r *rig) bound(stall func(*runtime.Message) time.Duration) *proxy.Proxy {
	r.t.Helper()
	x := r.proxy(1, r.link.Address(), stall)
	r.joined(1)
	r.order(append(table(1, 2), control.Bind{Proxy: 1}, control.Checkpoint{Number: 1})...)
	r.inForce(1)
	return x
}

func proxyFile(id uint16, pilots ...string) *files.Proxy {
	f := &files.Proxy{Kind: "proxy", ID: id, Zone: "z", Listen: "127.0.0.1:0", Redial: files.Duration(10 * time.Millisecond), Service: service(),
		SilenceTimeout: files.Duration(20 * time.Second)}
	for _, at := range pilots {
		f.Pilots = append(f.Pilots, files.PilotAddress{Address: at, Zone: "z"})
	}
	return f
}

// startProxy runs a proxy until the test ends, or kills it before.
func startProxy(t testing.TB, f *files.Proxy, stall func(*runtime.Message) time.Duration) *proxy.Proxy {
	t.Helper()
	x, err := proxy.New(f, slog.New(slog.DiscardHandler))
	if err == nil {
		x.ApplyDelay = stall
		err = x.Start()
	}
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(x.Kill)
	return x
}

func table(weights ...float64) (out []control.Order) {
	for i, w := range weights {
		out = append(out, control.PutLine{Table: 0, Endpoint: control.EndpointID(i), Weight: w})
	}
	return out
}

// The module's first list is one with servers on it, for it lays out its cells by that.
func TestNoEmptyFirstList(t *testing.T) {
	r := newRig(t)
	for _, l := range heard[control.Listing](r.module) {
		if len(l.Entries) == 0 {
			t.Errorf("%+v", l)
		}
	}
}

// A message resent across a cut in each phase takes effect once, the module sees one confirmation and no leaving.
func TestResentAcrossACut(t *testing.T) {
	for _, phase := range []string{"before", "during", "after", "confirm lost"} {
		t.Run(phase, func(t *testing.T) {
			r := newRig(t)
			var mu sync.Mutex
			stall := time.Duration(0)
			x := r.bound(func(*runtime.Message) time.Duration { mu.Lock(); defer mu.Unlock(); return stall })
			has := func(s string) func() bool { return func() bool { return strings.Contains(x.Stat(), s) } }
			change := []control.Order{control.PutLine{Table: 0, Endpoint: 0, Weight: 9}, control.Checkpoint{Number: 2}}
			switch phase {
			case "before":
				r.link.DropDirection(link.Down)
				r.order(change...)
				r.until("sent", func() bool { return strings.Contains(r.ask("show info"), "\nMessages: 2\n") })
				r.link.Heal()
			case "during":
				mu.Lock()
				stall = time.Hour
				mu.Unlock()
				r.order(change...)
				r.until("taken in", func() bool { return strings.Contains(passed(r.tap, link.Down), "apply p "+fmt.Sprint(r.p.run)+" 2 ") })
				mu.Lock()
				stall = 0
				mu.Unlock()
				r.link.Break()
			case "after":
				r.order(change...)
				r.until("applied", has("e0,UP,9"))
				r.link.Break()
			case "confirm lost":
				r.link.DropDirection(link.Up)
				r.order(change...)
				r.until("applied", has("e0,UP,9"))
				r.link.Heal()
			}
			r.inForce(2)
			r.order(control.PutLine{Table: 0, Endpoint: 1, Weight: 7}, control.Checkpoint{Number: 3})
			r.inForce(3)
			if !has("e0,UP,9")() || !has("e1,UP,7")() || !strings.Contains(x.Info(), "\nApplied: 3\n") {
				t.Errorf("%s\n%s", x.Info(), x.Stat())
			}
			if n := count[control.Left](r.module); n != 0 {
				t.Errorf("%d left", n)
			}
		})
	}
}

func (r *rig) ask(cmd string) string {
	s, err := sessions.Query(r.p.AdminAddress(), cmd, 10*time.Second)
	if err != nil {
		r.t.Fatal(err)
	}
	return s
}

func passed(tap *link.Tap, d link.Direction) string {
	var b strings.Builder
	for _, p := range tap.Transfers() {
		if p.Direction == d {
			b.Write(p.Data)
		}
	}
	return b.String()
}

// Lines that come while a proxy stalls wait in order, in the pilot beyond the proxy's window, and hold up nobody else.
func TestStall(t *testing.T) {
	r := newRig(t)
	release := make(chan struct{})
	free := sync.OnceFunc(func() { close(release) })
	defer free()
	x := r.proxy(1, r.link.Address(), func(m *runtime.Message) time.Duration {
		if m.Number == 1 {
			<-release
		}
		return 0
	})
	y := r.proxy(2, r.p.Address(), nil)
	r.joined(2)
	r.order(append(table(1, 2), control.Bind{Proxy: 1}, control.Bind{Proxy: 2}, control.Checkpoint{Number: 1})...)
	const more = 1500 // of five lines each: more than a window
	for i := range more {
		r.order(control.PutLine{Table: 0, Endpoint: 0, Weight: float64(i + 2)}, control.Checkpoint{Number: i + 2})
	}
	last := fmt.Sprintf("e0,UP,%d,", more+1)
	r.until("the other has it all", func() bool { return strings.Contains(y.Stat(), last) })
	info := r.ask("show info")
	if strings.Contains(info, "\nLines_waiting: 0\n") || !strings.Contains(info, "\nOverflows: 0\n") {
		t.Errorf("nothing waits in the channel though a proxy stalls:\n%s", info)
	}
	if got := strings.Count(passed(r.tap, link.Down), "apply "); got*5 > 4096+50 {
		t.Errorf("%d messages went to a proxy that stalls, past its window", got)
	}
	if x.Stat() != "# pxname,svname,status,weight,addr,\n" {
		t.Errorf("applied while it stalled: %s", x.Stat())
	}
	free()
	r.until("it catches up", func() bool { return strings.Contains(x.Stat(), last) })
	r.inForce(2 * (more + 1))
}

// A channel that is full ends the session of the proxy concerned, which joins anew with its tables; its bound holds.
func TestOverflow(t *testing.T) {
	r := newRig(t)
	release := make(chan struct{})
	free := sync.OnceFunc(func() { close(release) })
	defer free()
	r.proxy(1, r.link.Address(), func(*runtime.Message) time.Duration { <-release; return 0 })
	r.joined(1)
	r.order(append(table(1, 2), control.Bind{Proxy: 1})...)
	for i := range 4000 {
		r.order(control.PutLine{Table: 0, Endpoint: 0, Weight: float64(i + 2)})
	}
	r.until("its session ended", func() bool { return count[control.Left](r.module) >= 1 })
	free()
	r.until("joined anew", func() bool { return count[control.Joined](r.module) >= 2 })
	var peak int
	for _, line := range strings.Split(r.ask("show info"), "\n") {
		fmt.Sscanf(line, "Lines_waiting_peak: %d", &peak)
	}
	if peak > 8000 || peak < 4000 {
		t.Errorf("%d lines waited at most", peak)
	}
}

// dial is a peer that speaks the stream by hand.
func dial(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	return c, bufio.NewReader(c)
}

// readUntil reads lines until one of them bears a text, and returns them all.
func readUntil(t *testing.T, in *bufio.Reader, text string) (all string) {
	t.Helper()
	for !strings.Contains(all, text) {
		line, err := in.ReadString('\n')
		if err != nil {
			t.Fatalf("%q did not come: %v", text, err)
		}
		all += line
	}
	return all
}

const hello = "hello %d token %s zone 0 rate 1 holds - 0 0 window 100 standing -\n\n"

// Rubbish, another's number, a zone that is not there: refused, and the others are not touched. A stream that is half
// open gives way to the same proxy's new one.
func TestStrangers(t *testing.T) {
	r := newRig(t)
	good, in := dial(t, r.p.Address())
	fmt.Fprintf(good, hello, 1, "x")
	if s, err := in.ReadString('\n'); err != nil || !strings.HasPrefix(s, "welcome p ") {
		t.Fatal(s, err)
	}
	for _, text := range []string{"rubbish\n\n", "\x00\xff\n\n", "GET / HTTP/1.1\r\n\n\n", "sums 1000\n\n", fmt.Sprintf(hello, 1, "y"),
		"hello 2 token x zone 9 rate 1 holds - 0 0 window 1 standing -\n\n", fmt.Sprintf(hello, 5, "z") + fmt.Sprintf(hello, 5, "z"),
		strings.Repeat("a", maxBlockBytes+1)} {
		c, _ := dial(t, r.p.Address())
		_, _ = io.WriteString(c, text)
		if _, err := io.ReadAll(c); err != nil && !strings.Contains(err.Error(), "reset") {
			t.Errorf("%.40q: not closed: %v", text, err)
		}
	}
	r.order(append(table(1), control.Bind{Proxy: 1})...)
	readUntil(t, in, "set map op-types") // the good proxy has its stream still
	again, in2 := dial(t, r.p.Address())
	fmt.Fprintf(again, hello, 1, "x")
	if s, err := in2.ReadString('\n'); err != nil || !strings.HasSuffix(s, " fresh wire 1\n") {
		t.Fatal(s, err)
	}
	if _, err := io.ReadAll(in); err != nil {
		t.Errorf("the old stream is not closed: %v", err)
	}
}

// A pilot that finds no list service goes by the list that it kept, even one killed outright; a torn copy is not used.
func TestCachedList(t *testing.T) {
	r := newRig(t)
	f := pilotFile(r.list.Address())
	f.Cache = filepath.Join(t.TempDir(), "list.json")
	first := &rig{t: t, module: &script{}}
	first.start(f)
	first.until("kept", func() bool { _, l, err := roster.Load(f.Cache, f.Name); return err == nil && len(l) == 4 })
	first.p.Kill()
	f.Roster = "127.0.0.1:1"
	listing := func() (n int) {
		second := &rig{t: t, module: &script{}}
		second.start(f)
		defer second.p.Stop()
		second.until("started", func() bool { return count[control.Start](second.module) == 1 })
		if lists := heard[control.Listing](second.module); len(lists) > 0 {
			return len(lists[0].Entries)
		}
		return 0
	}
	if n := listing(); n != 4 {
		t.Errorf("%d entries", n)
	}
	data, err := os.ReadFile(f.Cache)
	if err != nil {
		t.Fatal(err)
	}
	for _, torn := range [][]byte{data[:len(data)/2], []byte(strings.Replace(string(data), `"weight":1`, `"weight":2`, 1)), nil} {
		if err := os.WriteFile(f.Cache, torn, 0o600); err != nil {
			t.Fatal(err)
		}
		if n := listing(); n != 0 {
			t.Errorf("a torn copy gave %d entries", n)
		}
	}
}

// A panic of the module starts it afresh with the list; proxies keep their tables and join the new run, which may order.
func TestPanic(t *testing.T) {
	r := newRig(t)
	x := r.bound(nil)
	r.p.post(func() { r.p.host.Event(control.Ring{Label: 666}) })
	r.until("started afresh", func() bool { return count[control.Start](r.module) == 2 && count[control.Joined](r.module) == 2 })
	if !strings.Contains(x.Stat(), "e1,UP,2") {
		t.Errorf("tables are gone: %s", x.Stat())
	}
	r.order(append(table(3), control.Bind{Proxy: 1}, control.Checkpoint{Number: 1})...)
	r.until("the new run orders", func() bool { return strings.Contains(x.Stat(), "e0,UP,3") && !strings.Contains(x.Stat(), "e1,") })
}

// A pilot that starts by a clock that was set back goes on beyond the run that its proxies hold: they refuse an older one.
func TestClockSetBack(t *testing.T) {
	r := newRig(t)
	x := r.bound(nil)
	f, run := *r.p.file, r.p.run
	f.Listen = r.p.Address()
	r.p.Kill()
	r.p = newPilot(t, &f)
	r.p.run = run - 3_600_000_000
	begin(t, r.p, r.module)
	ordered := time.Time{}
	r.until("in force by the new run", func() bool {
		if strings.Contains(x.Info(), "Joined: true") && time.Since(ordered) > 100*time.Millisecond {
			ordered = time.Now()
			r.order(append(table(1, 7), control.Bind{Proxy: 1}, control.Checkpoint{Number: 2})...)
		}
		return strings.Contains(x.Stat(), "e1,UP,7")
	})
}

// People may ask at any time, by hand or by script.
func TestSession(t *testing.T) {
	r := newRig(t)
	if s := r.ask("help"); !strings.Contains(s, "show servers state") || !strings.HasSuffix(s, "\n\n") {
		t.Errorf("%q", s)
	}
	if s := r.ask("show servers state;show nothing"); !strings.Contains(s, "e3 127.0.0.1 8003 1 ready z 0 false") || !strings.Contains(s, "Unknown command") {
		t.Errorf("%q", s)
	}
	if s := r.ask("show info typed"); !strings.Contains(s, "\n1.Role.1:POS:str:pilot\n") || !strings.Contains(s, ".Servers.1:POS:u64:4\n") {
		t.Errorf("%q", s)
	}
	c, in := dial(t, r.p.AdminAddress())
	_, _ = io.WriteString(c, "prompt\nshow info\nquit\n")
	all, err := io.ReadAll(in)
	if err != nil || strings.Count(string(all), "> ") != 2 || !strings.Contains(string(all), "Role: pilot") {
		t.Errorf("%q %v", all, err)
	}
}

// What one pilot publishes reaches its peers as the file names them, and nobody else may write.
func TestNotes(t *testing.T) {
	r := newRig(t)
	f := pilotFile(r.list.Address())
	f.Instance, f.Instances, f.Name = 1, 2, "q"
	f.Peers = []files.Peer{{Instance: 0, Address: r.p.Address()}}
	r.p.post(func() { r.p.file.Peers = []files.Peer{{Instance: 1, Address: "127.0.0.1:1"}} })
	q := &rig{t: t, module: &script{}}
	q.start(f)
	defer q.p.Stop()
	c, _ := dial(t, r.p.Address())
	_, _ = c.Write(runtime.Note{From: 2, Data: []byte("stranger")}.Append(nil))
	if _, err := io.ReadAll(c); err != nil {
		t.Error(err)
	}
	q.order(control.Publish{To: -1, Data: []byte("a\n\nb")}, control.Publish{To: 7, Data: []byte("nobody")})
	r.until("heard", func() bool { return count[control.PeerNote](r.module) == 1 })
	for _, n := range heard[control.PeerNote](r.module) {
		if n.From != 1 || string(n.Data) != "a\n\nb" {
			t.Errorf("%+v", n)
		}
	}
}

// A probe says what it met: an answer with a load, a refusal, nobody there.
func TestProbe(t *testing.T) {
	r := newRig(t)
	var status atomic.Int64
	srv := &serve.Server{Handle: func(c *serve.Conn, m *http1.Message) {
		b := http1.AppendField(http1.AppendStatus(nil, int(status.Load())), http1.LoadHeader, "TEXT cpu_utilization=0.5")
		_ = c.Answer(http1.AppendBody(b, nil))
	}}
	if err := srv.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	defer srv.Stop(context.Background())
	e := roster.Entry{Endpoint: 9, Address: netip.MustParseAddrPort(srv.Address()), Zone: "z", Weight: 1, Mode: "ready"}
	r.p.post(func() { r.p.file.Service.Measures = []string{"cpu_utilization"}; r.p.list[9] = e })
	nobody := e
	nobody.Address = netip.MustParseAddrPort("127.0.0.1:1")
	r.p.post(func() { r.p.list[10] = nobody })
	for i, c := range []struct {
		status int64
		probe  control.EndpointID
		want   control.ProbeOutcome
	}{{200, 9, control.ProbeAnswered}, {503, 9, control.ProbeRejected}, {500, 9, control.ProbeErrored}, {0, 10, control.ProbeUnreached}, {0, 77, control.ProbeOther}} {
		status.Store(c.status)
		r.order(control.Probe{Endpoint: c.probe})
		r.until("probed", func() bool { return count[control.Probed](r.module) == i+1 })
		r.module.mu.Lock()
		for _, e := range r.module.events[len(r.module.events)-1:] {
			if p, ok := e.(control.Probed); !ok || p.Endpoint != c.probe || p.Outcome != c.want || c.status > 0 && (len(p.Load) != 1 || p.Load[0] != 0.5) {
				t.Errorf("%+v", e)
			}
		}
		r.module.mu.Unlock()
	}
}

// What proxies meet of tenants comes back as limits on the one that harms the others, and a name of any kind passes.
func TestTenantLimits(t *testing.T) {
	f := pilotFile("127.0.0.1:1")
	f.Tenants = true
	r := &rig{t: t, module: &script{}}
	r.start(f)
	defer r.p.Stop()
	c, in := dial(t, r.p.Address())
	fmt.Fprintf(c, hello, 1, "x")
	done := make(chan struct{})
	defer func() { c.Close(); <-done }()
	go func() {
		defer close(done)
		for {
			s := runtime.Sums{Window: 50 * time.Millisecond}
			for i := range 10 {
				x := runtime.TenantSum{Tenant: fmt.Sprint("t ", i), Pod: 1, Ops: 10, Failed: 2, Busy: time.Second}
				if i == 3 {
					x.Ops, x.Failed, x.Busy = 1000, 900, time.Minute
				}
				s.Tenants = append(s.Tenants, x)
			}
			if _, err := c.Write(s.Append(nil)); err != nil {
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	}()
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		if strings.HasPrefix(line, "set tenant ") && !strings.HasPrefix(line, `set tenant =t\ 3 rate `) {
			t.Fatalf("limited a bystander: %s", line)
		}
		if strings.Contains(line, " fence on hand ") {
			return
		}
	}
}

// A pilot that closes more streams at once than its loop's inbox has room for, as after a panic of the module, goes on: each stream's
// end must not be posted to the loop by the loop itself, which would wait for itself without end.
func TestRestartOfManyStreams(t *testing.T) {
	r := newRig(t)
	const streams = 1200
	for range streams {
		dial(t, r.p.Address())
	}
	r.until("all are there", func() (there bool) {
		r.loop(func() { there = len(r.p.connections) == streams })
		return there
	})
	done := make(chan bool)
	go r.p.post(func() { r.p.restart("panic"); close(done) })
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		fmt.Fprintln(os.Stderr, "TestRestartOfManyStreams: the loop waits for itself")
		os.Exit(1) // the pilot cannot be stopped, so the test's cleanup would never end
	}
}

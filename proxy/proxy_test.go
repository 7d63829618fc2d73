package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"vetchdoor/control"
	"vetchdoor/files"
	"vetchdoor/http1"
	"vetchdoor/lab/leak"
	"vetchdoor/runtime"
	"vetchdoor/tenancy"
)

func TestMain(m *testing.M) { leak.Main(m) }

func rng() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func someServers(n int) *servers {
	s := &servers{byID: map[control.EndpointID]*server{}}
	for i := range n {
		id := control.EndpointID(i)
		s.byID[id] = &server{id: id, Server: runtime.Server{Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(9000+i)), Zone: i % 2, Pack: i / 2}}
	}
	return s
}

func message(number uint64, text ...string) *runtime.Message {
	m := &runtime.Message{Pilot: "p", Run: 1, Number: number}
	for _, line := range text {
		c, err := runtime.ParseChange(strings.Fields(line))
		if err != nil {
			panic(err)
		}
		m.Changes = append(m.Changes, c)
	}
	return m
}

// lineOf writes the add of a server to t0.
func lineOf(i int, weight float64) string {
	return fmt.Sprintf("add server t0/e%d 127.0.0.1:%d weight %g zone %d pack %d", i, 9000+i, weight, i%2, i/2)
}

// The spread over servers matches the weights: chi-square over 100,000 picks with the table changed all along. Dealing in
// turn is far more even than chance, so the statistic must stay under a hundredth of its degrees of freedom, and no
// server's part is off by over 0.2% of itself.
func TestSpread(t *testing.T) {
	const n, picks = 20, 100_000
	s := someServers(n)
	x := newTables(1, nil, rng())
	weights, total := make([]float64, n), 0.0
	lines := []string{"set map op-types * t0"}
	for i := range n {
		weights[i] = 0.1 + float64(i%7)*1.3
		total += weights[i]
		lines = append(lines, lineOf(i, weights[i]))
	}
	x, err := x.apply(message(1, lines...), s, 1, rng())
	if err != nil {
		t.Fatal(err)
	}
	got := make([]float64, n)
	for i := range picks {
		if i%1000 == 999 { // a change that changes nothing must not disturb the turns
			if x, err = x.apply(message(uint64(i), fmt.Sprintf("set server t0/e3 weight %g", weights[3])), s, 1, rng()); err != nil {
				t.Fatal(err)
			}
		}
		got[x.pickFor(0, time.Now(), func(*server) bool { return true }).id]++
	}
	chi := 0.0
	for i, w := range weights {
		want := picks * w / total
		chi += (got[i] - want) * (got[i] - want) / want
		if math.Abs(got[i]-want) > max(2, 0.002*want) {
			t.Errorf("e%d picked %v times, its weight asks for %.1f", i, got[i], want)
		}
	}
	if chi > 0.01*(n-1) {
		t.Errorf("chi-square %v", chi)
	}
}

// Servers that are out, avoided or refused get nothing; the rest share by weight; one that returns gets no burst.
func TestAvoided(t *testing.T) {
	s := someServers(4)
	x, err := newTables(1, nil, rng()).apply(message(1, "set map op-types * t0", lineOf(0, 1), lineOf(1, 1), lineOf(2, 2), lineOf(3, 1),
		"set server */e1 state drain"), s, 1, rng())
	if err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	for range 3 {
		s.byID[3].met(false, 0, nil, 3, time.Hour)
	}
	all := func(*server) bool { return true }
	deal := func(n int) (got [4]int) {
		for range n {
			got[x.pickFor(0, now, all).id]++
		}
		return got
	}
	if got := deal(3000); got[1] != 0 || got[3] != 0 || got[2] < 1998 || got[2] > 2002 {
		t.Fatalf("%v", got)
	}
	s.byID[3].avoid = time.Time{}
	if got := deal(40); got[3] < 8 || got[3] > 12 {
		t.Fatalf("back with a burst or not at all: %v", got)
	}
	if e := x.pickFor(0, now, func(e *server) bool { return e.id == 1 }); e != nil {
		t.Fatal("a withdrawn server was picked")
	}
	for _, e := range s.byID {
		e.avoid = now.Add(time.Hour)
	}
	if x.pickFor(0, now, all) == nil {
		t.Fatal("nobody, where all are avoided")
	}
}

// A message takes effect whole or not at all, and one of another run leaves users of the old tables what they have.
func TestApply(t *testing.T) {
	s := someServers(6)
	x, err := newTables(2, []line{{s.byID[5], 1}}, rng()).apply(message(1, "set map op-types 0 t0", lineOf(0, 1), "set level * * 0.5 again if-unrun",
		"set level t0 0 0.8 again once"), s, 2, rng())
	if err != nil {
		t.Fatal(err)
	}
	for _, bad := range []string{"set server t0/e4 weight 1", "set level * 2 1 again never", "set map op-types 7 t0"} {
		if _, err := x.apply(message(2, lineOf(1, 1), bad), s, 2, rng()); err == nil {
			t.Errorf("%q was applied", bad)
		}
	}
	if len(x.byType[0].lines) != 1 || x.byType[1] != x.standing || x.level(0, 0) != (level{0.5, control.RetryOnce}) ||
		x.level(1, 0) != (level{0.5, control.IfUnrun}) {
		t.Fatalf("%+v %+v", x.level(0, 0), x.level(1, 0))
	}
	m := message(1, "clear table t0", lineOf(2, 1), "set map op-types 1 t0")
	m.Run = 2
	y, err := x.apply(m, s, 2, rng())
	if err != nil || y.byType[0].lines[0].server.id != 0 || y.byType[1].lines[0].server.id != 2 || len(x.byType[0].lines) != 1 {
		t.Fatalf("%v", err)
	}
}

// An op sees a whole table, the old or the new: each message pairs a server with a level, and no pick finds another pair.
func TestSwapInABurst(t *testing.T) {
	s := someServers(4)
	var now holder
	now.Store(newTables(1, nil, rng()))
	step := func(i int) {
		x, err := now.Load().apply(message(uint64(i), "clear table t0", lineOf(i%4, 1), lineOf((i+1)%4, 1), "set map op-types * t0",
			fmt.Sprintf("set level * 0 %d again never", i%4)), s, 1, rng())
		if err != nil {
			t.Error(err)
			return
		}
		now.Store(x)
	}
	step(0)
	var done atomic.Bool
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for !done.Load() {
				x := now.Load()
				l := int(x.level(0, 0).share)
				if e := x.pickFor(0, time.Now(), func(*server) bool { return true }); int(e.id) != l && int(e.id) != (l+1)%4 {
					t.Errorf("level %d with server %d", l, e.id)
					return
				}
			}
		})
	}
	for i := range 3000 {
		step(i)
	}
	done.Store(true)
	wg.Wait()
}

// Another try only as ordered and only where it cannot take effect twice.
func TestTries(t *testing.T) {
	s := someServers(4) // zones 0 1 0 1, packs 0 0 1 1
	t0 := time.Unix(0, 0)
	dedup := control.OpType{Repeat: control.Deduplicated, Group: control.GroupZone, DedupWindow: time.Second}
	pack := control.OpType{Repeat: control.Deduplicated, Group: control.GroupPack, DedupWindow: time.Second}
	free, once := control.OpType{}, control.OpType{Repeat: control.OnceOnly}
	for _, c := range []struct {
		name  string
		op    control.OpType
		keyed bool
		unrun bool // how the first try, at server 0, failed
		again control.RetryPolicy
		to    control.EndpointID
		after time.Duration
		want  bool
	}{
		{"never", free, false, true, control.Never, 1, 0, false},
		{"unrun", once, false, true, control.IfUnrun, 1, 0, true},
		{"unrun, by a wider order", once, false, true, control.TwiceMore, 1, 0, true},
		{"may have run", once, true, false, control.TwiceMore, 1, 0, false},
		{"retryable, only if unrun", free, false, false, control.IfUnrun, 1, 0, false},
		{"retryable", free, false, false, control.RetryOnce, 1, time.Hour, true},
		{"in its group", dedup, true, false, control.RetryOnce, 2, 0, true},
		{"without a key", dedup, false, false, control.RetryOnce, 2, 0, false},
		{"outside its group", dedup, true, false, control.RetryOnce, 1, 0, false},
		{"after its window", dedup, true, false, control.RetryOnce, 2, 900 * time.Millisecond, false},
		{"unrun leaves the group", dedup, true, true, control.RetryOnce, 1, time.Hour, true},
		{"another pack", pack, true, false, control.RetryOnce, 2, 0, false},
	} {
		x := tries{opType: c.op, keyed: c.keyed}
		x.sent()
		x.failedAt(s.byID[0], t0, c.unrun)
		if got := x.may(c.again) && x.at(s.byID[c.to].Server, t0.Add(c.after)); got != c.want {
			t.Errorf("%s: %t", c.name, got)
		}
	}
	x := tries{opType: free}
	for i := range 3 {
		x.sent()
		x.failedAt(s.byID[0], t0, false)
		if x.may(control.TwiceMore) != (i < 2) || i > 0 && x.may(control.RetryOnce) {
			t.Errorf("after %d tries", i+1)
		}
	}
}

// origin is a server by net/http, to hold our wire against another's.
func origin(t *testing.T, h http.HandlerFunc) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := &http.Server{Handler: h}
	go srv.Serve(ln)
	t.Cleanup(func() { srv.Close() })
	return ln.Addr().String()
}

// proxyFile is a proxy's file with servers in its standing table.
func proxyFile(origins ...string) *files.Proxy {
	ms := func(n int) files.Duration { return files.Duration(time.Duration(n) * time.Millisecond) }
	f := &files.Proxy{Kind: "proxy", ID: 7, Zone: "z", Listen: "127.0.0.1:0", Pilots: []files.PilotAddress{{Address: "127.0.0.1:1", Zone: "z"}},
		Service: files.Service{Zones: []string{"z"}, Bootstrap: 9, ReportEvery: ms(1000), DefaultRetries: "once", OpTypes: []files.OpType{
			{Name: "head", Match: files.Match{Method: "HEAD"}, TargetLatency: ms(200), OpTimeout: ms(400), Repeat: "retryable"},
			{Name: "read", Match: files.Match{Method: "GET"}, TargetLatency: ms(200), OpTimeout: ms(400), Repeat: "retryable"},
			{Name: "post", Match: files.Match{Method: "POST"}, TargetLatency: ms(200), OpTimeout: ms(400), Repeat: "once-only"}}}}
	for i, o := range origins {
		f.Servers = append(f.Servers, files.StandingServer{Endpoint: uint32(i), Address: o, Zone: "z"})
	}
	return f
}

func start(t *testing.T, change func(*files.Proxy), origins ...string) *Proxy {
	f := proxyFile(origins...)
	if change != nil {
		change(f)
	}
	p, err := New(f, slog.New(slog.DiscardHandler))
	if err == nil {
		err = p.Start()
	}
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.Stop(context.Background()) })
	return p
}

func ask(t *testing.T, p *Proxy, text string) (*http.Response, string) {
	t.Helper()
	c, err := net.Dial("tcp", p.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	_, _ = io.WriteString(c, text)
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	b, _ := io.ReadAll(r.Body)
	return r, string(b)
}

// Ops go through whole, pipelined and chunked ones too; what is refused has its answer at once, and when to come back.
func TestOps(t *testing.T) {
	var got atomic.Int64
	o := origin(t, func(w http.ResponseWriter, r *http.Request) {
		got.Add(1)
		b, _ := io.ReadAll(r.Body)
		switch r.URL.Path {
		case "/head":
			w.Header().Set("Content-Length", "7")
			return
		case "/none":
			w.WriteHeader(204)
			return
		}
		if strings.HasPrefix(r.URL.Path, "/flush") { // an answer in chunks
			fmt.Fprint(w, "one ")
			w.(http.Flusher).Flush()
		}
		fmt.Fprintf(w, "%s %s %s %s", r.Method, r.URL.Path, b, r.Header.Get("Via"))
	})
	p := start(t, nil, o)
	if _, body := ask(t, p, "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"); body != "POST /a abc 1.1 p7" {
		t.Errorf("%q", body)
	}
	if _, body := ask(t, p, "GET /flush HTTP/1.1\r\nHost: h\r\n\r\n"); body != "one GET /flush  1.1 p7" {
		t.Errorf("%q", body)
	}
	c, err := net.Dial("tcp", p.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	_, _ = io.WriteString(c, strings.Repeat("GET /x HTTP/1.1\r\nHost: h\r\n\r\n", 50))
	in := bufio.NewReader(c)
	for i := range 50 {
		r, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatal(i, err)
		}
		io.Copy(io.Discard, r.Body)
	}
	// A body that waits to be asked for, and answers without one.
	x, err := net.Dial("tcp", p.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer x.Close()
	_ = x.SetDeadline(time.Now().Add(20 * time.Second))
	_, _ = io.WriteString(x, "POST /e HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
	in = bufio.NewReader(x)
	if line, err := in.ReadString('\n'); line != "HTTP/1.1 100 Continue\r\n" {
		t.Fatalf("%q %v", line, err)
	}
	_, _ = in.ReadString('\n')
	_, _ = io.WriteString(x, "hi")
	if r, err := http.ReadResponse(in, nil); err != nil || r.StatusCode != 200 {
		t.Fatal(r, err)
	} else if b, _ := io.ReadAll(r.Body); string(b) != "POST /e hi 1.1 p7" {
		t.Errorf("%q", b)
	}
	_, _ = io.WriteString(x, "HEAD /head HTTP/1.1\r\nHost: h\r\n\r\nGET /none HTTP/1.1\r\nHost: h\r\n\r\nGET /x HTTP/1.1\r\nHost: h\r\n\r\n")
	for _, want := range []string{"HEAD 200 7 ", "GET 204 0 ", "GET 200 14 GET /x  1.1 p7"} {
		method, _, _ := strings.Cut(want, " ")
		r, err := http.ReadResponse(in, &http.Request{Method: method})
		if err != nil {
			t.Fatal(err)
		}
		b, _ := io.ReadAll(r.Body)
		if got := fmt.Sprintf("%s %d %d %s", method, r.StatusCode, r.ContentLength, b); got != want || r.StatusCode == 204 && r.Header.Get("Content-Length") != "" {
			t.Errorf("%q, want %q", got, want)
		}
	}
	before := got.Load()
	for text, status := range map[string]int{
		"PUT / HTTP/1.1\r\nHost: h\r\n\r\n": 404,
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n": 400,
	} {
		if r, _ := ask(t, p, text); r.StatusCode != status {
			t.Errorf("%q: %d", text, r.StatusCode)
		}
	}
	if err := p.apply(message(1, "set level * 1 0 again never")); err != nil {
		t.Fatal(err)
	}
	r, _ := ask(t, p, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
	if r.StatusCode != 503 || r.Header.Get("Retry-After") != "1" || got.Load() != before {
		t.Errorf("level 0: %d %v", r.StatusCode, r.Header)
	}
	if err := p.apply(message(2, "set level * 1 1 again never", "set server */e0 state drain")); err != nil {
		t.Fatal(err)
	}
	if r, _ := ask(t, p, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n"); r.StatusCode != 503 || got.Load() != before {
		t.Errorf("drained: %d", r.StatusCode)
	}
}

// What may have run is tried again only where safe: a server that breaks off in the midst, one that refuses unrun, one
// that hangs.
func TestAgainOverSockets(t *testing.T) {
	var broke, good atomic.Int64
	breaks := origin(t, func(w http.ResponseWriter, r *http.Request) { broke.Add(1); panic(http.ErrAbortHandler) })
	fine := origin(t, func(w http.ResponseWriter, r *http.Request) { good.Add(1); fmt.Fprint(w, "ok") })
	p := start(t, nil, breaks, fine)
	for range 40 {
		if r, body := ask(t, p, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); r.StatusCode != 200 || body != "ok" {
			t.Fatalf("a read: %d", r.StatusCode)
		}
	}
	b, g := broke.Load(), good.Load()
	failed := int64(0)
	for range 40 {
		if r, _ := ask(t, p, "POST / HTTP/1.1\r\nHost: h\r\nIdempotency-Key: k\r\n\r\n"); r.StatusCode != 200 {
			failed++
		}
	}
	if broke.Load()-b != failed || broke.Load()-b+good.Load()-g != 40 || failed == 0 {
		t.Errorf("once-only: %d broke, %d good, %d answered so", broke.Load()-b, good.Load()-g, failed)
	}
	refuses := origin(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(http1.UnrunHeader, "1")
		w.WriteHeader(503)
	})
	q := start(t, func(f *files.Proxy) { f.Service.DefaultRetries = "if-unrun" }, refuses, fine, "127.0.0.1:1")
	for range 20 {
		if r, _ := ask(t, q, "POST / HTTP/1.1\r\nHost: h\r\n\r\n"); r.StatusCode != 200 && r.StatusCode != 503 && r.StatusCode != 502 {
			t.Errorf("refused unrun: %d", r.StatusCode)
		}
	}
	z1 := start(t, func(f *files.Proxy) { f.Service.DefaultRetries = "if-unrun" }, refuses)
	if r, _ := ask(t, z1, "POST / HTTP/1.1\r\nHost: h\r\n\r\n"); r.StatusCode != 503 || r.Header.Get("Retry-After") == "" {
		t.Errorf("nobody took it: %d", r.StatusCode)
	}
	hang := make(chan struct{})
	defer close(hang)
	hangs := origin(t, func(w http.ResponseWriter, r *http.Request) { <-hang })
	z := start(t, nil, hangs)
	if r, _ := ask(t, z, "POST / HTTP/1.1\r\nHost: h\r\n\r\n"); r.StatusCode != 504 || r.Header.Get("Retry-After") == "" {
		t.Errorf("hung: %d %v", r.StatusCode, r.Header)
	}
}

// A drain leaves an op in flight its answer and sends nobody there; so does the end of the proxy.
func TestDrainInFlight(t *testing.T) {
	came, release := make(chan struct{}, 10), make(chan struct{})
	slow := origin(t, func(w http.ResponseWriter, r *http.Request) { came <- struct{}{}; <-release; fmt.Fprint(w, "late") })
	p := start(t, func(f *files.Proxy) { f.Service.OpTypes[1].OpTimeout = files.Duration(20 * time.Second) }, slow)
	answers := make(chan string, 1)
	go func() {
		_, body := ask(t, p, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		answers <- body
	}()
	<-came
	if err := p.apply(message(1, "set server */e0 state drain")); err != nil {
		t.Fatal(err)
	}
	if r, _ := ask(t, p, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); r.StatusCode != 503 {
		t.Errorf("sent to a drained server: %d", r.StatusCode)
	}
	stopped := make(chan struct{})
	go func() { p.Stop(context.Background()); close(stopped) }()
	time.AfterFunc(50*time.Millisecond, func() { close(release) })
	if s := <-answers; s != "late" {
		t.Errorf("the op in flight got %q", s)
	}
	<-stopped
	if len(came) != 0 {
		t.Errorf("%d more came", len(came))
	}
}

// A message cut in half, an older run's, one out of turn: nothing of it is applied.
func TestHalfMessages(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	p := start(t, func(f *files.Proxy) {
		f.Pilots = []files.PilotAddress{{Address: ln.Addr().String(), Zone: "z"}}
		f.Redial = files.Duration(5 * time.Millisecond)
	})
	play := func(send string) (hello, reply string) {
		c, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		_ = c.SetDeadline(time.Now().Add(20 * time.Second))
		in := bufio.NewReader(c)
		hello, _ = in.ReadString('\n')
		_, _ = in.ReadString('\n')
		_, _ = io.WriteString(c, send)
		if strings.HasSuffix(send, "\n\n") {
			for !strings.HasPrefix(reply, "in-force") && !strings.HasPrefix(reply, "refused") && err == nil {
				reply, err = in.ReadString('\n')
			}
		}
		return hello, reply
	}
	add := func(run, number, weight int) string {
		return fmt.Sprintf("apply q %d %d at 0 lines 5 <<\nclear table t0\n%s\nset map op-types * t0\n\n", run, number, lineOf(1, float64(weight)))
	}
	whole := add(5, 1, 3)
	if _, r := play("welcome q 5 fresh\n" + whole); r != "in-force 5 1\n" {
		t.Fatal(r)
	}
	for i, cut := range []string{add(5, 2, 4)[:60], strings.TrimSuffix(add(5, 2, 4), "\n")} {
		play("welcome q 5 resumed\n" + cut)
		if h, r := play("welcome q 5 resumed\n" + whole); !strings.Contains(h, "holds q 5 1 ") || r != "in-force 5 1 again\n" {
			t.Errorf("cut %d: %s %s", i, h, r)
		}
	}
	for _, c := range [][2]string{{"welcome q 5 resumed\n" + add(5, 3, 4), "refused 5 3 "}, {"welcome q 4 fresh\n" + add(4, 9, 4), "refused 4 9 "},
		{"welcome q 6 fresh\n" + add(5, 2, 4), "refused 5 2 "}, {"welcome q 6 fresh\napply q 6 1 at 0 lines 2 <<\nset server t9/e1 weight 1\n\n", "refused 6 1 "}} {
		if _, r := play(c[0]); !strings.HasPrefix(r, c[1]) {
			t.Errorf("%q: %q", c[0], r)
		}
	}
	if s := p.Stat(); !strings.Contains(s, "t0,e1,UP,3,") {
		t.Error(s)
	}
	if _, r := play("welcome q 6 fresh\n" + add(6, 1, 8)); r != "in-force 6 1\n" || !strings.Contains(p.Stat(), "t0,e1,UP,8,") {
		t.Error(r, p.Stat())
	}
}

// A tenant's ops go to its subset alone, withdrawn or not, and its tries beyond the first are a share of its ops; ops of
// nobody have a subset too.
func TestTenants(t *testing.T) {
	f := &files.Tenants{Header: "Newsroom", Subset: 2}
	x, err := newTenants(f)
	if err != nil {
		t.Fatal(err)
	}
	s := someServers(12) // six pods in two zones
	lines := []string{"set map op-types * t0"}
	for i := range 12 {
		lines = append(lines, lineOf(i, 1))
	}
	tab, err := newTables(1, nil, rng()).apply(message(1, lines...), s, 1, rng())
	if err != nil {
		t.Fatal(err)
	}
	who := &tenant{name: "delo", account: &account{}}
	subset := x.podsOfTable(who, tab.byType[0], tab.bindings, unlimited, 0)
	if len(subset) != 2 {
		t.Fatalf("%v", subset)
	}
	used := map[control.EndpointID]bool{}
	for range 100 {
		used[tab.pickFor(0, time.Now(), func(e *server) bool { return slices.Contains(subset, e.pod()) }).id] = true
	}
	if len(used) != 2 {
		t.Errorf("used %v of subset %v", used, subset)
	}
	var out []string
	for id := range used {
		out = append(out, fmt.Sprintf("set server */e%d state drain", id))
	}
	sick, err := tab.apply(message(2, out...), s, 1, rng())
	if err != nil || !slices.Equal(x.podsOfTable(who, sick.byType[0], sick.bindings, unlimited, 0), subset) {
		t.Errorf("a tenant whose servers are withdrawn was handed others: %v", err)
	}
	if (*tenants)(nil).podsOfTable(who, tab.byType[0], tab.bindings, unlimited, 0) != nil || (*tenants)(nil).of(nil, nil) != nil || !(*tenant)(nil).try() {
		t.Error("without tenants nothing is bound")
	}
	limited, err := tab.apply(message(2, "set tenant =delo rate 2 tries 0 fence on hand * room 1"), s, 1, rng())
	if err != nil || len(limited.limits) != 1 || len(x.podsOfTable(who, limited.byType[0], limited.bindings, limited.limits["delo"], 0)) != 1 {
		t.Fatal(err)
	}
	in := 0
	who.admit(unlimited, 1, 0)
	for i := range 100 { // ten seconds of ten ops each
		if who.admit(limited.limits["delo"], 1, time.Duration(i)*100*time.Millisecond) {
			in++
			who.done()
		}
	}
	if in < 19 || in > 22 {
		t.Errorf("%d ops let in over ten seconds at two a second", in)
	}
	handful, err := tab.apply(message(2, "set tenant =delo rate * tries 0 fence off hand 2.5 room 1"), s, 1, rng())
	if err != nil || len(handful.limits) != 1 {
		t.Fatal(err)
	}
	who.done() // of the first above
	for n := range 6 {
		if who.admit(handful.limits["delo"], 1, 0) != (n < 3) {
			t.Errorf("%d ops in hand beside another", n)
		}
	}
	roomy, err := tab.apply(message(2, "set tenant =delo rate * tries 0.2 fence off hand * room 1.5"), s, 1, rng())
	if err != nil || len(x.podsOfTable(who, roomy.byType[0], roomy.bindings, roomy.limits["delo"], 0)) != 3 || roomy.limits["delo"].Limited() {
		t.Errorf("room for half as many pods more: %v, %v", roomy, err)
	}
	if free, err := limited.apply(message(3, "set tenant =delo rate * tries 0.2 fence off hand * room 1"), s, 1, rng()); err != nil || len(free.limits) != 0 {
		t.Error("a limit that does not go", err)
	}
	breaks := origin(t, func(w http.ResponseWriter, r *http.Request) { panic(http.ErrAbortHandler) })
	var came atomic.Int64
	other := origin(t, func(w http.ResponseWriter, r *http.Request) { came.Add(1); panic(http.ErrAbortHandler) })
	p := start(t, func(f *files.Proxy) { f.Tenants = &files.Tenants{Header: "Newsroom", Subset: 0} }, breaks, other)
	for range 100 {
		ask(t, p, "GET / HTTP/1.1\r\nHost: h\r\nNewsroom: delo\r\n\r\n")
	}
	if n := p.tally.retried.Load(); n < 10 || n > 25 {
		t.Errorf("%d tries beyond the first for 100 ops", n)
	}
}

// A tenant whose subset is withdrawn whole borrows a pod, once its ops are known to go well; one that nobody knows, or that
// is limited, does not. Its writes wait until no repeat of the last can follow them, there and back.
func TestBorrow(t *testing.T) {
	var came [3]atomic.Int64
	var origins []string
	for i := range 3 {
		origins = append(origins, origin(t, func(w http.ResponseWriter, r *http.Request) { came[i].Add(1) }))
	}
	p := start(t, func(f *files.Proxy) {
		f.Tenants = &files.Tenants{Header: "Newsroom", Subset: 1}
		f.Service.WriteLifetime = files.Duration(300 * time.Millisecond)
		for i := range f.Servers {
			f.Servers[i].Pack = i
		}
	}, origins...)
	get := func(who string) int {
		r, _ := ask(t, p, "GET / HTTP/1.1\r\nHost: h\r\nNewsroom: "+who+"\r\n\r\n")
		return r.StatusCode
	}
	write := func() int {
		r, _ := ask(t, p, "POST / HTTP/1.1\r\nHost: h\r\nNewsroom: delo\r\nContent-Length: 0\r\n\r\n")
		return r.StatusCode
	}
	for range 9 {
		if get("delo") != 200 {
			t.Fatal("not served")
		}
	}
	wrote := time.Now()
	if write() != 200 {
		t.Fatal("not written")
	}
	home := 0
	for came[home].Load() == 0 {
		home++
	}
	state := func(s string) {
		if err := p.apply(message(1, fmt.Sprintf("set server */e%d state %s", home, s))); err != nil {
			t.Fatal(err)
		}
	}
	state("drain")
	if status := get("delo"); status != 200 || p.tally.borrowed.Load() != 1 {
		t.Errorf("%d", status)
	}
	if status := write(); time.Since(wrote) < 300*time.Millisecond && status != 503 {
		t.Errorf("a write went on at once: %d", status)
	}
	until := func(what string, ok func() bool) {
		for end := time.Now().Add(20 * time.Second); !ok(); time.Sleep(10 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal(what)
			}
		}
	}
	until("writes go on at last", func() bool { return write() == 200 })
	before := came[home].Load()
	state("ready")
	until("writes come home", func() bool { time.Sleep(400 * time.Millisecond); return write() == 200 && came[home].Load() > before })
	state("drain")
	newcomer := "" // one that nobody knows, at the same pod
	for i := 0; newcomer == ""; i++ {
		x := &tenant{name: fmt.Sprint("n", i), account: &account{}}
		table := p.now.Load()
		if s := p.tenants.podsOfTable(x, table.byType[1], table.bindings, unlimited, 0); s[0] == tenancy.PodID(home) {
			newcomer = x.name
		}
	}
	if status := get(newcomer); status != 503 {
		t.Errorf("one that nobody knows borrowed: %d", status)
	}
	if err := p.apply(message(1, "set tenant =delo rate 1000 tries 0 fence off hand * room 1")); err != nil {
		t.Fatal(err)
	}
	if status := get("delo"); status != 503 {
		t.Errorf("one that is limited borrowed: %d", status)
	}
}

// Ten thousand tenants that come at once are kept within bounds, whatever their names; those beyond share one account, which
// cannot borrow.
func TestTenThousand(t *testing.T) {
	x, err := newTenants(&files.Tenants{Header: "Newsroom", Subset: 2})
	if err != nil {
		t.Fatal(err)
	}
	var all sync.WaitGroup
	for i := range 100 {
		all.Go(func() {
			for j := range 100 {
				who := x.named(fmt.Sprintf("newsroom %d;\x00\n%d", i, j))
				who.admit(unlimited, 1, 0)
				x.met(who, &server{id: 1, Server: runtime.Server{Zone: j % 3, Pack: i}}, false, time.Millisecond)
				who.done()
			}
		})
	}
	all.Wait()
	x.mu.Lock()
	known := len(x.known)
	x.mu.Unlock()
	if sums := x.take(); known > mostTenants+1 || len(sums) > mostSums+300 {
		t.Errorf("%d kept, %d sums", known, len(sums))
	}
	late := x.named("one more")
	if !late.shared || late.name != "one more" {
		t.Errorf("%+v", late)
	}
}

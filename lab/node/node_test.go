package node

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"vetchdoor/files"
)

func machine() files.Machine {
	return files.Machine{Name: "m", Cores: 2, Speed: [2]float64{1, 1}, Slots: 2, Queue: 4, Connections: 50,
		ColdShare: 0.25, ColdFor: files.Duration(time.Hour)}
}

func newNode(t *testing.T, m files.Machine, cold bool) (*Node, *Ledger) {
	service := &files.Service{Zones: []string{"z", "y"}, Measures: []string{"cpu_utilization", "inflight"}, OpTypes: []files.OpType{
		{Name: "a", TargetLatency: 1, OpTimeout: 1, Repeat: "retryable"},
		{Name: "b", TargetLatency: 1, OpTimeout: 1, Repeat: "deduplicated", Group: "zone",
			DedupWindow: files.Duration(time.Hour), Writes: true}}}
	l := NewLedger()
	n := New(files.NodeAt{Endpoint: 5, Listen: "127.0.0.1:0", Zone: "z"}, m, service,
		files.Limits{OverloadFactor: 4, FallAfter: files.Duration(2 * time.Second)}, 1, l)
	if err := n.Start(cold); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Stop)
	return n, l
}

// send posts an op and returns the status and header fields of the answer; the status is 0 if no answer came within
// the timeout.
func send(t *testing.T, n *Node, opType int, work time.Duration, key string, timeout time.Duration) (int, http.Header) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, "POST", "http://"+n.Address()+"/x", strings.NewReader("body"))
	if err != nil {
		t.Error(err)
		return 0, nil
	}
	r.Header.Set(OpField, "1")
	r.Header.Set(TypeField, fmt.Sprint(opType))
	r.Header.Set(WorkField, fmt.Sprint(work.Microseconds()))
	r.Header.Set("Via", "1.1 p9")
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	a, err := c.Do(r)
	if err != nil {
		return 0, nil
	}
	defer a.Body.Close()
	_, _ = io.Copy(io.Discard, a.Body)
	return a.StatusCode, a.Header
}

const longTimeout = 20 * time.Second

// Guards against double effects: a repeated key within its group and window takes effect once, while ops without a
// key each take effect.
func TestEffects(t *testing.T) {
	n, l := newNode(t, machine(), false)
	for _, key := range []string{"k", "k", "j", "", ""} {
		if s, h := send(t, n, 1, 0, key, longTimeout); s != 200 ||
			!strings.HasPrefix(h.Get("Endpoint-Load-Metrics"), "TEXT cpu_utilization=") {
			t.Fatal(s, h)
		}
	}
	if e := l.Effects(); len(e) != 4 {
		t.Errorf("%d effects, want 4", len(e))
	}
	a := l.Arrivals()
	if len(a) != 5 || a[0].Proxy != 9 || !a[0].Accepted {
		t.Errorf("%+v", a)
	}
	if e := l.Effects(); e[1].ArrivedAt != a[2].At || e[1].At < e[1].ArrivedAt {
		t.Errorf("%+v of %+v", e[1], a[2])
	}
}

// A node refuses ops beyond its slots and queue without running them, and all ops while it drains.
func TestRefusesWhenFull(t *testing.T) {
	n, l := newNode(t, machine(), false)
	var wg sync.WaitGroup
	var mu sync.Mutex
	got := map[int]int{}
	for range 20 {
		wg.Go(func() {
			s, h := send(t, n, 0, 300*time.Millisecond, "", longTimeout)
			mu.Lock()
			defer mu.Unlock()
			if got[s]++; s == 503 && h.Get("Op-Unrun") == "" {
				t.Error("503 without the Op-Unrun field")
			}
		})
	}
	wg.Wait()
	if got[200] < 6 || got[503] == 0 || got[200]+got[503] != 20 {
		t.Errorf("%v", got)
	}
	n.UpdateFaults(func(x *Faults) { x.Draining = true })
	if s, _ := send(t, n, 0, 0, "", longTimeout); s != 503 {
		t.Errorf("draining: status %d", s)
	}
	for _, a := range l.Arrivals()[20:] {
		if a.Accepted {
			t.Error("op accepted while draining")
		}
	}
}

// A cold node crashes under more work than its overload factor allows and stays down; a warm node survives the same
// work.
func TestColdNodeCrashes(t *testing.T) {
	m := machine()
	m.Queue = 1000
	for _, cold := range []bool{true, false} {
		n, l := newNode(t, m, cold)
		// Capacity is 2 cores * 0.25 = 0.5 core seconds per second; four times that over 2 s is 4 s of work, and the
		// 12 ops need 6 s.
		for range 12 {
			go func() { _, _ = send(t, n, 0, 500*time.Millisecond, "", time.Second) }()
		}
		for end := time.Now().Add(longTimeout); len(l.Arrivals()) < 12 && len(l.Crashes()) == 0 && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		if (len(l.Crashes()) > 0) != cold {
			t.Fatalf("cold %t: crashes %v", cold, l.Crashes())
		}
		if !cold {
			continue
		}
		for end := time.Now().Add(longTimeout); n.Running() && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		if err := n.Start(true); err != nil || n.Running() {
			t.Errorf("started again after the crash: %v", err)
		}
	}
}

// Each fault acts on answers and effects as documented: failed ops have no effect, ops with lost answers have one,
// and a silent or hanging node does not answer.
func TestFaults(t *testing.T) {
	n, l := newNode(t, machine(), false)
	const shortTimeout = 80 * time.Millisecond
	for _, c := range []struct {
		name    string
		set     func(*Faults)
		status  int
		effects int
	}{
		{"none", func(x *Faults) {}, 200, 1},
		{"errors", func(x *Faults) { x.ErrorShare = 1 }, 500, 0},
		{"lost answers", func(x *Faults) { x.LostAnswerShare = 1 }, 0, 1},
		{"silent", func(x *Faults) { x.Silent = true }, 0, 0},
		{"deaf", func(x *Faults) { x.SilentTo = func(p int) bool { return p == 9 } }, 0, 0},
		{"deaf to another", func(x *Faults) { x.SilentTo = func(p int) bool { return p == 8 } }, 200, 1},
		{"slow", func(x *Faults) { x.SlowFactor = 1000 }, 0, 0},
	} {
		n.UpdateFaults(func(x *Faults) { *x = Faults{}; c.set(x) })
		before, timeout := len(l.Effects()), shortTimeout
		if c.status != 0 || c.effects > 0 {
			timeout = longTimeout
		}
		s, _ := send(t, n, 1, 2*time.Millisecond, "", timeout)
		if got := len(l.Effects()) - before; s != c.status || got != c.effects {
			t.Errorf("%s: status %d, %d effects", c.name, s, got)
		}
	}
	n.UpdateFaults(func(x *Faults) { *x = Faults{Hang: true} })
	before := len(l.Effects())
	done := make(chan int)
	go func() { s, _ := send(t, n, 1, 0, "", longTimeout); done <- s }()
	for len(l.Arrivals()) == 0 || l.Arrivals()[len(l.Arrivals())-1].At < 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(shortTimeout)
	if len(l.Effects()) != before {
		t.Error("op took effect while the node hangs")
	}
	n.UpdateFaults(func(x *Faults) { x.Hang = false })
	if s := <-done; s != 200 {
		t.Errorf("status after the hang: %d", s)
	}
}

// Ops held beyond SlowsAt, open connections and a slow fault each reduce the speed of a core.
func TestSpeed(t *testing.T) {
	m := machine()
	m.SlowsAt, m.SlowsBy, m.ConnectionTax = 2, 0.5, 0.4
	n, _ := newNode(t, m, false)
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	for _, c := range []struct {
		held, conns int
		slow, want  float64
	}{{0, 0, 0, 1}, {2, 0, 0, 1}, {4, 0, 0, 1 / 1.5}, {0, 50, 0, 0.6}, {0, 25, 2, 0.4}} {
		n.conns, n.faults.SlowFactor, n.queue = c.conns, c.slow, make([]*job, c.held)
		if got := n.coreSpeed(now); got < c.want-1e-9 || got > c.want+1e-9 {
			t.Errorf("%+v: %v", c, got)
		}
	}
	n.conns, n.queue = 0, nil
}

// Shutdown answers the op that is running, and a request that arrives on an open connection afterwards.
func TestShutdown(t *testing.T) {
	n, _ := newNode(t, machine(), false)
	runningOp := make(chan int, 1)
	go func() {
		status, _ := send(t, n, 0, 300*time.Millisecond, "", longTimeout)
		runningOp <- status
	}()
	idleConn, err := net.Dial("tcp", n.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer idleConn.Close()
	_ = idleConn.SetDeadline(time.Now().Add(longTimeout))
	busy := func() bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		return len(n.running) > 0
	}
	for end := time.Now().Add(longTimeout); !busy() && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	stopped := make(chan struct{})
	go func() { n.Shutdown(context.Background()); close(stopped) }()
	for {
		c, err := net.DialTimeout("tcp", n.Address(), 50*time.Millisecond)
		if err != nil {
			break
		}
		c.Close()
	}
	_, _ = io.WriteString(idleConn, "GET /probe HTTP/1.1\r\nHost: h\r\n\r\n")
	if b, err := io.ReadAll(idleConn); err != nil || !strings.HasPrefix(string(b), "HTTP/1.1 200 ") ||
		!strings.Contains(string(b), "Connection: close\r\n") {
		t.Errorf("%q, %v", b, err)
	}
	if status := <-runningOp; status != 200 {
		t.Errorf("op running at Shutdown: status %d", status)
	}
	<-stopped
}

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
	return files.Machine{Name: "m", Cores: 2, Speed: [2]float64{1, 1}, Slots: 2, Queue: 4, Connections: 50, ColdShare: 0.25, ColdFor: files.Duration(time.Hour)}
}

func newNode(t *testing.T, m files.Machine, cold bool) (*Node, *Ledger) {
	service := &files.Service{Zones: []string{"z", "y"}, Measures: []string{"cpu_utilization", "inflight"}, OpTypes: []files.OpType{
		{Name: "a", TargetLatency: 1, OpTimeout: 1, Repeat: "retryable"},
		{Name: "b", TargetLatency: 1, OpTimeout: 1, Repeat: "deduplicated", Group: "zone", DedupWindow: files.Duration(time.Hour), Writes: true}}}
	l := NewLedger()
	n := New(files.NodeAt{Endpoint: 5, Listen: "127.0.0.1:0", Zone: "z"}, m, service,
		files.Limits{OverloadFactor: 4, FallAfter: files.Duration(2 * time.Second)}, 1, l)
	if err := n.Start(cold); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Stop)
	return n, l
}

// send posts an op and returns its status, 0 where none came.
func send(t *testing.T, n *Node, opType int, work time.Duration, key string, give time.Duration) (int, http.Header) {
	ctx, cancel := context.WithTimeout(context.Background(), give)
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

const ample = 20 * time.Second

// A repeat inside its group and window has no second effect; without a key each op has its own.
func TestEffects(t *testing.T) {
	n, l := newNode(t, machine(), false)
	for _, key := range []string{"k", "k", "j", "", ""} {
		if s, h := send(t, n, 1, 0, key, ample); s != 200 || !strings.HasPrefix(h.Get("Endpoint-Load-Metrics"), "TEXT cpu_utilization=") {
			t.Fatal(s, h)
		}
	}
	if e := l.Effects(); len(e) != 4 {
		t.Errorf("%d effects", len(e))
	}
	a := l.Arrivals()
	if len(a) != 5 || a[0].Proxy != 9 || !a[0].Accepted {
		t.Errorf("%+v", a)
	}
	if e := l.Effects(); e[1].ArrivedAt != a[2].At || e[1].At < e[1].ArrivedAt {
		t.Errorf("%+v of %+v", e[1], a[2])
	}
}

// Beyond its slots and queue it turns ops away unrun; while it drains, all.
func TestFull(t *testing.T) {
	n, l := newNode(t, machine(), false)
	var wg sync.WaitGroup
	var mu sync.Mutex
	got := map[int]int{}
	for range 20 {
		wg.Go(func() {
			s, h := send(t, n, 0, 300*time.Millisecond, "", ample)
			mu.Lock()
			defer mu.Unlock()
			if got[s]++; s == 503 && h.Get("Op-Unrun") == "" {
				t.Error("refused without proof")
			}
		})
	}
	wg.Wait()
	if got[200] < 6 || got[503] == 0 || got[200]+got[503] != 20 {
		t.Errorf("%v", got)
	}
	n.UpdateFaults(func(x *Faults) { x.Draining = true })
	if s, _ := send(t, n, 0, 0, "", ample); s != 503 {
		t.Errorf("draining: %d", s)
	}
	for _, a := range l.Arrivals()[20:] {
		if a.Accepted {
			t.Error("taken while it drains")
		}
	}
}

// A cold node falls over under more work than it can bear and stays down; a warm one takes the same.
func TestFallsOver(t *testing.T) {
	m := machine()
	m.Queue = 1000
	for _, cold := range []bool{true, false} {
		n, l := newNode(t, m, cold)
		// It can do 2 cores * 0.25 a second; four times that over two seconds is four seconds of work.
		for range 12 {
			go func() { _, _ = send(t, n, 0, 500*time.Millisecond, "", time.Second) }()
		}
		for end := time.Now().Add(ample); len(l.Arrivals()) < 12 && len(l.Crashes()) == 0 && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		if (len(l.Crashes()) > 0) != cold {
			t.Fatalf("cold %t: fell %v", cold, l.Crashes())
		}
		if !cold {
			continue
		}
		for end := time.Now().Add(ample); n.Running() && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		if err := n.Start(true); err != nil || n.Running() {
			t.Errorf("it came back: %v", err)
		}
	}
}

// The troubles: hung and silent nodes answer nothing, fast errors and lost answers run or do not, deaf ones are deaf to some.
func TestTroubles(t *testing.T) {
	n, l := newNode(t, machine(), false)
	const short = 80 * time.Millisecond
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
		before, give := len(l.Effects()), short
		if c.status != 0 || c.effects > 0 {
			give = ample
		}
		s, _ := send(t, n, 1, 2*time.Millisecond, "", give)
		if got := len(l.Effects()) - before; s != c.status || got != c.effects {
			t.Errorf("%s: status %d, %d effects", c.name, s, got)
		}
	}
	n.UpdateFaults(func(x *Faults) { *x = Faults{Hang: true} })
	before := len(l.Effects())
	done := make(chan int)
	go func() { s, _ := send(t, n, 1, 0, "", ample); done <- s }()
	for len(l.Arrivals()) == 0 || l.Arrivals()[len(l.Arrivals())-1].At < 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(short)
	if len(l.Effects()) != before {
		t.Error("an effect while it hangs")
	}
	n.UpdateFaults(func(x *Faults) { x.Hang = false })
	if s := <-done; s != 200 {
		t.Errorf("after it hung: %d", s)
	}
}

// Many ops in hand and many connections cost it speed; a slow one is slower still.
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
		n.conns, n.trouble.SlowFactor, n.queue = c.conns, c.slow, make([]*job, c.held)
		if got := n.speedNow(now); got < c.want-1e-9 || got > c.want+1e-9 {
			t.Errorf("%+v: %v", c, got)
		}
	}
	n.conns, n.queue = 0, nil
}

// A server that ends in order answers what it has in hand, and a request that comes on an open connection after that.
func TestStopInOrder(t *testing.T) {
	n, _ := newNode(t, machine(), false)
	inHand := make(chan int, 1)
	go func() {
		status, _ := send(t, n, 0, 300*time.Millisecond, "", ample)
		inHand <- status
	}()
	open, err := net.Dial("tcp", n.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer open.Close()
	_ = open.SetDeadline(time.Now().Add(ample))
	busy := func() bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		return len(n.running) > 0
	}
	for end := time.Now().Add(ample); !busy() && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	stopped := make(chan struct{})
	go func() { n.StopInOrder(context.Background()); close(stopped) }()
	for {
		c, err := net.DialTimeout("tcp", n.Address(), 50*time.Millisecond)
		if err != nil {
			break
		}
		c.Close()
	}
	_, _ = io.WriteString(open, "GET /probe HTTP/1.1\r\nHost: h\r\n\r\n")
	if b, err := io.ReadAll(open); err != nil || !strings.HasPrefix(string(b), "HTTP/1.1 200 ") || !strings.Contains(string(b), "Connection: close\r\n") {
		t.Errorf("%q, %v", b, err)
	}
	if status := <-inHand; status != 200 {
		t.Errorf("in hand: %d", status)
	}
	<-stopped
}

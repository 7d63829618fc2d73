package roster_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cloudwego/netpoll"

	"vetchdoor/control"
	"vetchdoor/lab/link"
	labroster "vetchdoor/lab/roster"
	"vetchdoor/roster"
	"vetchdoor/stream"
)

func entry(id int, mode string) roster.Entry {
	return roster.Entry{Endpoint: control.EndpointID(id), Address: netip.MustParseAddrPort("127.0.0.1:80"), Zone: "z",
		Weight: 1, Mode: mode}
}

// follower records the updates that a client delivers.
type follower struct {
	mu      sync.Mutex
	updates []string
	list    map[control.EndpointID]string
}

// follow runs a client until the test ends. The client begins with version have of the list.
func follow(t *testing.T, address string, have uint64) (*follower, *roster.Client) {
	f := &follower{list: map[control.EndpointID]string{}}
	c := &roster.Client{Address: address, Redial: 5 * time.Millisecond, Log: slog.New(slog.DiscardHandler),
		Rand: rand.New(rand.NewPCG(1, 1)),
		OnUpdate: func(u *roster.Update) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.updates = append(f.updates, fmt.Sprintf("%s %d", u.Kind, u.Version))
			if u.Kind == "full" {
				clear(f.list)
			}
			for _, e := range u.Entries {
				if f.list[e.Endpoint] = e.Mode; e.Mode == "gone" {
					delete(f.list, e.Endpoint)
				}
			}
		}}
	c.SetVersion(have)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { c.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return f, c
}

func (f *follower) waitFor(t *testing.T, want string) {
	t.Helper()
	got := ""
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		f.mu.Lock()
		got = fmt.Sprint(f.list)
		f.mu.Unlock()
		if got == want {
			return
		}
	}
	t.Fatalf("the list is %s, want %s; updates %v", got, want, f.updates)
}

// TestHalfOpen checks that a service which accepts the connection but never answers, not even a request, is dialled
// again. A service that answers but has no changes is not.
func TestHalfOpen(t *testing.T) {
	for _, answers := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			net, dials := link.NewMemory(nil), atomic.Int64{}
			if answers {
				s, err := labroster.StartOnNet(net, "list:80", []roster.Entry{entry(1, "ready")})
				if err != nil {
					t.Fatal(err)
				}
				defer s.Close()
			} else {
				l, err := stream.Listen(net, "list:80", func(*stream.Conn) stream.Handler { return silentHandler{} })
				if err != nil {
					t.Fatal(err)
				}
				defer l.Close()
			}
			ctx, cancel := context.WithCancel(t.Context())
			c := &roster.Client{Address: "list:80", Log: slog.New(slog.DiscardHandler), Rand: rand.New(rand.NewPCG(1, 1)),
				Net: countingNet{net, &dials}, OnUpdate: func(*roster.Update) {}}
			done := make(chan struct{})
			go func() { c.Run(ctx); close(done) }()
			time.Sleep(10 * time.Minute)
			if n := dials.Load(); (n > 1) == answers {
				t.Errorf("service answers %t: dialled %d times", answers, n)
			}
			cancel()
			<-done
		})
	}
}

// silentHandler accepts connections and never answers.
type silentHandler struct{}

func (silentHandler) Data(*stream.Conn, []byte) {}
func (silentHandler) Closed(*stream.Conn)       {}

// countingNet counts dials.
type countingNet struct {
	stream.Net
	n *atomic.Int64
}

func (d countingNet) Dial(network, address string, timeout time.Duration) (netpoll.Connection, error) {
	d.n.Add(1)
	return d.Net.Dial(network, address, timeout)
}

// TestFollow checks that a client follows changes, reconnects after an outage of the service, and gets the whole list
// after a gap.
func TestFollow(t *testing.T) {
	s, err := labroster.Start("127.0.0.1:0", []roster.Entry{entry(1, "ready"), entry(2, "ready")})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	f, c := follow(t, s.Address(), 0)
	f.waitFor(t, "map[1:ready 2:ready]")
	s.Set(entry(1, "draining"))
	s.Set(entry(1, "gone"), entry(3, "ready"))
	f.waitFor(t, "map[2:ready 3:ready]")
	s.SetDown(true)
	for i := range 10 {
		s.Set(entry(10+i, "ready"), entry(10+i-1, "gone"))
	}
	c.Fetch() // Fetch fails, or the stream is already closed: OnUpdate gets a failed update in both cases
	s.SetDown(false)
	f.waitFor(t, "map[2:ready 3:ready 19:ready]")
	s.SetDown(true)
	for i := range 100 { // more changes than the service keeps
		s.Set(entry(100+i, "ready"), entry(100+i-1, "gone"))
	}
	s.SetDown(false)
	f.waitFor(t, "map[2:ready 3:ready 19:ready 199:ready]")
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.updates[len(f.updates)-1] != "full 113" {
		t.Errorf("last updates are %v", f.updates[len(f.updates)-3:])
	}
}

// TestInvalidService checks that an invalid message ends the connection, that a skipped version makes the client ask for
// the whole list, and that an old version is dropped.
func TestInvalidService(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	f, _ := follow(t, ln.Addr().String(), 5)
	line := func(kind string, version, id int, mode string) string {
		return fmt.Sprintf(`{"kind":%q,"version":%d,"entries":[{"endpoint":%d,"address":"127.0.0.1:80","zone":"z","weight":1,"mode":%q}]}`+"\n", kind, version, id, mode)
	}
	for i, bad := range []string{"rubbish\n", "[]\n", line("other", 1, 1, "ready"), line("full", 1, 1, "asleep"),
		`{"kind":"full","entries":[{"mode":"ready","weight":-1}]}` + "\n"} {
		c, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		in := bufio.NewReader(c)
		_ = c.SetDeadline(time.Now().Add(20 * time.Second))
		if request, _ := in.ReadString('\n'); request != `{"watch":true,"have":5}`+"\n" {
			t.Errorf("%d: request is %q", i, request)
		}
		_, _ = io.WriteString(c, bad)
		if _, err := io.ReadAll(in); err != nil {
			t.Errorf("%q: the connection was not closed: %v", bad, err)
		}
		c.Close()
	}
	c, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	in := bufio.NewReader(c)
	_, _ = in.ReadString('\n')
	_, _ = io.WriteString(c, line("changes", 4, 9, "ready")+line("changes", 6, 1, "ready")+line("changes", 8, 2, "ready"))
	if request, _ := in.ReadString('\n'); request != `{"fetch":true}`+"\n" {
		t.Errorf("request after a gap is %q", request)
	}
	f.waitFor(t, "map[1:ready]")
}

// TestCache checks that the copy on disk is the last one saved, and that a copy of another pilot or layout is refused.
func TestCache(t *testing.T) {
	path := filepath.Join(t.TempDir(), "list.json")
	if v, l, err := roster.Load(path, "p"); v != 0 || l != nil || err != nil {
		t.Fatal("without a copy:", v, l, err)
	}
	want := []roster.Entry{entry(1, "ready"), entry(2, "draining")}
	for v := range uint64(3) {
		if err := roster.Save(path, "p", v+1, want); err != nil {
			t.Fatal(err)
		}
	}
	if v, l, err := roster.Load(path, "p"); v != 3 || err != nil || !reflect.DeepEqual(l, want) {
		t.Fatal(v, l, err)
	}
	if files, _ := os.ReadDir(filepath.Dir(path)); len(files) != 1 {
		t.Errorf("%d files left", len(files))
	}
	if v, l, err := roster.Load(path, "q"); v != 0 || l != nil || err == nil || !strings.Contains(err.Error(), `of pilot "p"`) {
		t.Errorf("copy of another pilot: %d %v %v", v, l, err)
	}
	text, err := os.ReadFile(path)
	if err == nil {
		err = os.WriteFile(path, []byte(strings.Replace(string(text), `"form":1`, `"form":2`, 1)), 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
	if v, l, err := roster.Load(path, "p"); v != 0 || l != nil || err == nil || !strings.Contains(err.Error(), "version 2") {
		t.Errorf("copy of a later layout: %d %v %v", v, l, err)
	}
	if err := roster.Save(filepath.Join(path, "x"), "p", 1, want); err == nil {
		t.Error("saved below a path that is a file")
	}
}

// FuzzUpdate checks that ParseUpdate accepts no entry without a valid address and weight.
func FuzzUpdate(f *testing.F) {
	f.Add([]byte(`{"kind":"full","version":1,"entries":[{"endpoint":1,"address":"127.0.0.1:80","zone":"z","weight":1,"mode":"ready"}]}`))
	f.Fuzz(func(t *testing.T, in []byte) {
		if u, err := roster.ParseUpdate(in); err == nil {
			for _, e := range u.Entries {
				if e.Mode != "gone" && !e.Address.IsValid() || !(e.Weight >= 0) {
					t.Fatalf("%+v", e)
				}
			}
		}
	})
}

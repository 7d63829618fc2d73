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
	stand "vetchdoor/lab/roster"
	"vetchdoor/roster"
	"vetchdoor/stream"
)

func entry(id int, mode string) roster.Entry {
	return roster.Entry{Endpoint: control.EndpointID(id), Address: netip.MustParseAddrPort("127.0.0.1:80"), Zone: "z", Weight: 1, Mode: mode}
}

// follower keeps what a client was told.
type follower struct {
	mu   sync.Mutex
	told []string
	list map[control.EndpointID]string
}

func follow(t *testing.T, address string, have uint64) (*follower, *roster.Client) {
	f := &follower{list: map[control.EndpointID]string{}}
	c := &roster.Client{Address: address, Redial: 5 * time.Millisecond, Log: slog.New(slog.DiscardHandler), Rand: rand.New(rand.NewPCG(1, 1)),
		Take: func(u *roster.Update) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.told = append(f.told, fmt.Sprintf("%s %d", u.Kind, u.Version))
			if u.Kind == "full" {
				clear(f.list)
			}
			for _, e := range u.Entries {
				if f.list[e.Endpoint] = e.Mode; e.Mode == "gone" {
					delete(f.list, e.Endpoint)
				}
			}
		}}
	c.Have(have)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { c.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return f, c
}

func (f *follower) until(t *testing.T, want string) {
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
	t.Fatalf("the list is %s, want %s; told %v", got, want, f.told)
}

// A service that took the client and then says nothing, not even to a question, stands half open: it is dialled again. One
// that only has no news is not.
func TestHalfOpen(t *testing.T) {
	for _, answers := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			net, dials := link.NewMemory(nil), atomic.Int64{}
			if answers {
				s, err := stand.StartOnNet(net, "list:80", []roster.Entry{entry(1, "ready")})
				if err != nil {
					t.Fatal(err)
				}
				defer s.Close()
			} else {
				l, err := stream.Listen(net, "list:80", func(*stream.Conn) stream.Handler { return mute{} })
				if err != nil {
					t.Fatal(err)
				}
				defer l.Close()
			}
			ctx, cancel := context.WithCancel(t.Context())
			c := &roster.Client{Address: "list:80", Log: slog.New(slog.DiscardHandler), Rand: rand.New(rand.NewPCG(1, 1)),
				Net: dialled{net, &dials}, Take: func(*roster.Update) {}}
			done := make(chan struct{})
			go func() { c.Run(ctx); close(done) }()
			time.Sleep(10 * time.Minute)
			if n := dials.Load(); (n > 1) == answers {
				t.Errorf("answers %t: dialled %d times", answers, n)
			}
			cancel()
			<-done
		})
	}
}

type mute struct{}

func (mute) Data(*stream.Conn, []byte) {}
func (mute) Closed(*stream.Conn)       {}

// dialled counts dials.
type dialled struct {
	stream.Net
	n *atomic.Int64
}

func (d dialled) Dial(network, address string, timeout time.Duration) (netpoll.Connection, error) {
	d.n.Add(1)
	return d.Net.Dial(network, address, timeout)
}

// A client follows changes, through a break of the service, and gets the whole list after a gap.
func TestFollow(t *testing.T) {
	s, err := stand.Start("127.0.0.1:0", []roster.Entry{entry(1, "ready"), entry(2, "ready")})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	f, c := follow(t, s.Address(), 0)
	f.until(t, "map[1:ready 2:ready]")
	s.Set(entry(1, "draining"))
	s.Set(entry(1, "gone"), entry(3, "ready"))
	f.until(t, "map[2:ready 3:ready]")
	s.SetDown(true)
	for i := range 10 {
		s.Set(entry(10+i, "ready"), entry(10+i-1, "gone"))
	}
	c.Fetch() // fails, or finds the stream already gone: either way it is told so
	s.SetDown(false)
	f.until(t, "map[2:ready 3:ready 19:ready]")
	s.SetDown(true)
	for i := range 100 { // more than the service keeps
		s.Set(entry(100+i, "ready"), entry(100+i-1, "gone"))
	}
	s.SetDown(false)
	f.until(t, "map[2:ready 3:ready 19:ready 199:ready]")
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.told[len(f.told)-1] != "full 113" {
		t.Errorf("told %v", f.told[len(f.told)-3:])
	}
}

// Rubbish from the service ends the connection, a skipped version is asked for, an old one is dropped.
func TestStrangeService(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	f, _ := follow(t, ln.Addr().String(), 5)
	line := func(kind string, version, id int, mode string) string {
		return fmt.Sprintf(`{"kind":%q,"version":%d,"entries":[{"endpoint":%d,"address":"127.0.0.1:80","zone":"z","weight":1,"mode":%q}]}`+"\n", kind, version, id, mode)
	}
	for i, bad := range []string{"rubbish\n", "[]\n", line("other", 1, 1, "ready"), line("full", 1, 1, "asleep"), `{"kind":"full","entries":[{"mode":"ready","weight":-1}]}` + "\n"} {
		c, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		in := bufio.NewReader(c)
		_ = c.SetDeadline(time.Now().Add(20 * time.Second))
		if ask, _ := in.ReadString('\n'); ask != `{"watch":true,"have":5}`+"\n" {
			t.Errorf("%d: asked %q", i, ask)
		}
		_, _ = io.WriteString(c, bad)
		if _, err := io.ReadAll(in); err != nil {
			t.Errorf("%q: not closed: %v", bad, err)
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
	if ask, _ := in.ReadString('\n'); ask != `{"fetch":true}`+"\n" {
		t.Errorf("after a gap: %q", ask)
	}
	f.until(t, "map[1:ready]")
}

// The copy on disk is the old one or the new one, and nothing that was altered.
func TestCache(t *testing.T) {
	path := filepath.Join(t.TempDir(), "list.json")
	if v, l, err := roster.Load(path, "p"); v != 0 || l != nil || err != nil {
		t.Fatal("no copy:", v, l, err)
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
		t.Errorf("another pilot's copy: %d %v %v", v, l, err)
	}
	text, err := os.ReadFile(path)
	if err == nil {
		err = os.WriteFile(path, []byte(strings.Replace(string(text), `"form":1`, `"form":2`, 1)), 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
	if v, l, err := roster.Load(path, "p"); v != 0 || l != nil || err == nil || !strings.Contains(err.Error(), "version 2") {
		t.Errorf("a later layout: %d %v %v", v, l, err)
	}
	if err := roster.Save(filepath.Join(path, "x"), "p", 1, want); err == nil {
		t.Error("saved into a file")
	}
}

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

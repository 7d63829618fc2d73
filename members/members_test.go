package members

import (
	"bytes"
	"encoding/base64"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/memberlist"

	"vetchdoor/lab/loopback"
)

func key(b byte) string { return base64.StdEncoding.EncodeToString(bytes.Repeat([]byte{b}, 32)) }

var quiet = slog.New(slog.DiscardHandler)

func freePort(t *testing.T) string {
	t.Helper()
	for range 100 {
		ln, err := net.Listen("tcp", net.JoinHostPort(loopback.Host(), "0"))
		if err != nil {
			t.Fatal(err)
		}
		at := ln.Addr().String()
		u, err := net.ListenPacket("udp", at)
		ln.Close()
		if err == nil {
			u.Close()
			return at
		}
	}
	t.Fatal("no port")
	return ""
}

func start(t *testing.T, name string, keys []string, others ...string) (*Members, *atomic.Int64) {
	t.Helper()
	var proxies atomic.Int64
	m, err := Start(Config{Name: name, Bind: freePort(t), Peers: others, Keys: keys, Log: quiet, Every: 20 * time.Millisecond,
		Tell: func() PilotStatus { return PilotStatus{Pilot: name, Zone: "z", Proxies: int(proxies.Load())} }})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(m.Close)
	return m, &proxies
}

func until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(what)
		}
	}
}

func names(m *Members) string {
	s := ""
	for _, x := range m.All() {
		s += x.Pilot + " "
	}
	return s
}

// Pilots hear of each other, of what changes, and of one that leaves.
func TestGossip(t *testing.T) {
	a, proxies := start(t, "a", []string{key(1)})
	b, _ := start(t, "b", []string{key(1)}, a.Address())
	c, _ := start(t, "c", []string{key(1)}, a.Address())
	until(t, "all hear all", func() bool { return names(a) == "a b c " && names(b) == "a b c " && names(c) == "a b c " })
	proxies.Store(7)
	until(t, "what changed is heard", func() bool { return b.All()[0].Proxies == 7 })
	c.Close()
	until(t, "who left is not there", func() bool { return names(b) == "a b " })
}

// A key is rotated while all run; one with another key, or none of ours, hears nothing and is not heard.
func TestKeys(t *testing.T) {
	a, _ := start(t, "a", []string{key(1)})
	b, _ := start(t, "b", []string{key(1)}, a.Address())
	until(t, "both", func() bool { return names(a) == "a b " && names(b) == "a b " })
	stranger, _ := start(t, "x", []string{key(9)}, a.Address(), b.Address())
	for _, step := range []func(*Members) error{
		func(m *Members) error { return m.AddKey(key(2)) },
		func(m *Members) error { return m.UseKey(key(2)) },
		func(m *Members) error { return m.DropKey(key(1)) },
	} {
		for _, m := range []*Members{a, b} {
			if err := step(m); err != nil {
				t.Fatal(err)
			}
		}
	}
	c, _ := start(t, "c", []string{key(2)}, a.Address())
	until(t, "the new key is heard", func() bool { return names(b) == "a b c " && names(c) == "a b c " })
	if names(stranger) != "x " || strings.Contains(names(a), "x") {
		t.Errorf("%s heard %s", names(a), names(stranger))
	}
	if err := a.DropKey(key(2)); err == nil {
		t.Error("dropped the key that it writes with")
	}
	if k := a.Keys(); len(k) != 1 || strings.Contains(fmt.Sprint(k), key(2)) {
		t.Errorf("%v", k)
	}
	for _, bad := range []string{"", "x", base64.StdEncoding.EncodeToString([]byte("short"))} {
		if a.AddKey(bad) == nil {
			t.Errorf("%q is a key", bad)
		}
	}
}

// What cannot be is refused at the start, in a line.
func TestRefused(t *testing.T) {
	good := Config{Name: "a", Bind: "127.0.0.1:0", Keys: []string{key(1)}, Log: quiet, Tell: func() PilotStatus { return PilotStatus{} }}
	for name, change := range map[string]func(*Config){"no key": func(g *Config) { g.Keys = nil }, "a bad key": func(g *Config) { g.Keys = []string{"x"} },
		"no address": func(g *Config) { g.Bind = "here" }, "no network": func(g *Config) { g.Allow = []string{"10.0.0.0"} }} {
		g := good
		change(&g)
		if m, err := Start(g); err == nil || !strings.HasPrefix(err.Error(), "members: ") || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", name, err)
			if m != nil {
				m.Close()
			}
		}
	}
}

// One who has the key and tells nonsense, or of somebody else, is shown as that.
func TestForged(t *testing.T) {
	a, _ := start(t, "a", []string{key(1)})
	ring, err := memberlist.NewKeyring(nil, bytes.Repeat([]byte{1}, 32))
	if err != nil {
		t.Fatal(err)
	}
	c := memberlist.DefaultLocalConfig()
	c.Name, c.BindAddr, c.BindPort, c.Keyring, c.LogOutput = "forged", "127.0.0.1", 0, ring, io.Discard
	forger := &delegate{meta: []byte(`{"pilot":"a","proxies":1e9}`)}
	c.Delegate = forger
	l, err := memberlist.Create(c)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Shutdown()
	if _, err := l.Join([]string{a.Address()}); err != nil {
		t.Fatal(err)
	}
	until(t, "heard", func() bool { return len(a.All()) == 2 })
	if x := a.All()[1]; x.Pilot != "forged" || x.Invalid == "" {
		t.Errorf("%+v", x)
	}
}

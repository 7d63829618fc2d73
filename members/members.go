// Package members tells people, and nobody else, which pilots there are: a gossip among them, encrypted, by a well-kept
// library. Nothing that it says reaches a decision; a pilot steers the same whether the gossip is whole, split or forged.
// Start is the way in.
package members

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"log"
	"log/slog"
	"maps"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
)

// PilotStatus is what a pilot tells of itself; the whole must stay under 512 bytes as JSON.
type PilotStatus struct {
	Pilot         string `json:"pilot"`
	Zone          string `json:"zone"`
	Run           uint64 `json:"run"`
	ListVersion   uint64 `json:"list"` // version of its list
	ListSource    string `json:"from"` // where that is from
	Servers       int    `json:"servers"`
	Proxies       int    `json:"proxies"`
	Wire          int    `json:"wire"` // version of what it speaks with proxies
	ListenAddress string `json:"at"`   // where it listens
}

// Member is a member as the gossip has it.
type Member struct {
	PilotStatus
	Address string
	Invalid string // what it tells cannot be read, and why
}

// Config is what is needed to take part.
type Config struct {
	Name  string // a pilot's, one each
	Bind  string // HOST:PORT, UDP and TCP
	Peers []string
	Keys  []string // base64 of 16, 24 or 32 bytes, the first one writes
	Allow []string // networks whose addresses are heard; empty: none but loopback
	Log   *slog.Logger
	Tell  func() PilotStatus // called now and then, by a goroutine of its own; must not wait
	Every time.Duration
}

// Members is a running gossip.
type Members struct {
	g      Config
	list   *memberlist.Memberlist
	ring   *memberlist.Keyring
	mu     sync.Mutex
	meta   []byte
	heard  map[string]Member
	stop   context.CancelFunc
	done   sync.WaitGroup
	ending sync.Once
}

// Start joins. Others that are not there are tried again for as long as it runs.
func Start(g Config) (*Members, error) {
	m := &Members{g: g, heard: map[string]Member{}}
	if m.g.Every <= 0 {
		m.g.Every = time.Second
	}
	keys := make([][]byte, 0, len(g.Keys))
	for i, k := range g.Keys {
		b, err := readKey(k)
		if err != nil {
			return nil, fmt.Errorf("members: key %d: %w", i, err)
		}
		keys = append(keys, b)
	}
	if len(keys) == 0 {
		return nil, errors.New("members: no key: the gossip is not run in the clear")
	}
	var err error
	if m.ring, err = memberlist.NewKeyring(keys, keys[0]); err != nil {
		return nil, fmt.Errorf("members: %w", err)
	}
	at, err := netip.ParseAddrPort(g.Bind)
	if err != nil {
		return nil, fmt.Errorf("members: %q is no IP address with a port", g.Bind)
	}
	c := memberlist.DefaultLANConfig()
	c.Name, c.BindAddr, c.BindPort, c.AdvertisePort = g.Name, at.Addr().String(), int(at.Port()), int(at.Port())
	c.Keyring, c.Delegate, c.Events = m.ring, (*delegate)(m), (*delegate)(m)
	c.Logger = log.New(toSlog{g.Log}, "", 0)
	allow := g.Allow
	if len(allow) == 0 {
		allow = []string{"127.0.0.0/8", "::1/128"}
	}
	for _, a := range allow {
		p, err := netip.ParsePrefix(a)
		if err != nil {
			return nil, fmt.Errorf("members: %q is no network", a)
		}
		_, n, err := net.ParseCIDR(p.String())
		if err != nil {
			return nil, fmt.Errorf("members: %w", err)
		}
		c.CIDRsAllowed = append(c.CIDRsAllowed, *n)
	}
	m.refresh()
	if m.list, err = memberlist.Create(c); err != nil {
		return nil, fmt.Errorf("members: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	m.stop = cancel
	m.done.Go(func() { m.run(ctx) })
	return m, nil
}

func readKey(s string) ([]byte, error) {
	b, err := base64.StdEncoding.DecodeString(s)
	if err == nil {
		err = memberlist.ValidateKey(b)
	}
	if err != nil {
		return nil, errors.New("a key is the base64 of 16, 24 or 32 bytes")
	}
	return b, nil
}

// run tells the others what is new here, and looks for those that are not there.
func (m *Members) run(ctx context.Context) {
	t := time.NewTicker(m.g.Every)
	defer t.Stop()
	for i := 0; ; i++ {
		if i%10 == 0 && m.list.NumMembers() <= len(m.g.Peers) && len(m.g.Peers) > 0 {
			if _, err := m.list.Join(m.g.Peers); err != nil {
				m.g.Log.Debug("other pilots not heard", "error", err)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if m.refresh() {
			_ = m.list.UpdateNode(m.g.Every)
		}
	}
}

// refresh writes what is told of this pilot and says whether it is new.
func (m *Members) refresh() bool {
	b, err := json.Marshal(m.g.Tell())
	if err != nil || len(b) > memberlist.MetaMaxSize {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if string(b) == string(m.meta) {
		return false
	}
	m.meta = b
	return true
}

// Address is where it listens.
func (m *Members) Address() string { return m.list.LocalNode().FullAddress().Addr }

// All returns the members by name, as far as they are heard.
func (m *Members) All() (out []Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(m.heard)) {
		out = append(out, m.heard[name])
	}
	return out
}

// Keys returns the first characters of each key, the one that writes first.
func (m *Members) Keys() (out []string) {
	for _, k := range m.ring.GetKeys() {
		out = append(out, base64.StdEncoding.EncodeToString(k)[:6]+"...")
	}
	return out
}

// AddKey takes a key that others may write with.
func (m *Members) AddKey(key string) error { return m.with(key, m.ring.AddKey) }

// UseKey writes with a key from now on; all must have it.
func (m *Members) UseKey(key string) error { return m.with(key, m.ring.UseKey) }

// DropKey takes a key out; none may write with it any more.
func (m *Members) DropKey(key string) error { return m.with(key, m.ring.RemoveKey) }

func (m *Members) with(key string, do func([]byte) error) error {
	b, err := readKey(key)
	if err != nil {
		return err
	}
	return do(b)
}

// Close leaves; the others hear of it.
func (m *Members) Close() {
	m.ending.Do(func() {
		m.stop()
		m.done.Wait()
		_ = m.list.Leave(200 * time.Millisecond)
		_ = m.list.Shutdown()
	})
}

// delegate is how the library asks what is told of this pilot. Nothing else is exchanged.
type delegate Members

func (d *delegate) NodeMeta(limit int) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.meta) > limit {
		return nil
	}
	return d.meta
}

// NotifyJoin, NotifyUpdate and NotifyLeave keep a copy of what is heard: the library's own records change under a reader.
func (d *delegate) NotifyJoin(n *memberlist.Node)   { d.hear(n) }
func (d *delegate) NotifyUpdate(n *memberlist.Node) { d.hear(n) }

func (d *delegate) NotifyLeave(n *memberlist.Node) {
	d.mu.Lock()
	delete(d.heard, n.Name)
	d.mu.Unlock()
}

func (d *delegate) hear(n *memberlist.Node) {
	t := Member{Address: n.Address()}
	if err := json.Unmarshal(n.Meta, &t.PilotStatus); err != nil {
		t.PilotStatus, t.Invalid = PilotStatus{}, "what it tells cannot be read"
	} else if t.Pilot != n.Name {
		t.Invalid = fmt.Sprintf("it tells of %.40q", t.Pilot)
	}
	t.Pilot = n.Name
	d.mu.Lock()
	d.heard[n.Name] = t
	d.mu.Unlock()
}

func (d *delegate) NotifyMsg([]byte)                           {}
func (d *delegate) GetBroadcasts(overhead, limit int) [][]byte { return nil }
func (d *delegate) LocalState(join bool) []byte                { return nil }
func (d *delegate) MergeRemoteState(buf []byte, join bool)     {}

// toSlog takes the library's lines; their levels are in brackets.
type toSlog struct{ to *slog.Logger }

func (t toSlog) Write(b []byte) (int, error) {
	text := strings.TrimSpace(string(b))
	level := slog.LevelDebug
	switch {
	case strings.HasPrefix(text, "[ERR]"):
		level = slog.LevelWarn
	case strings.HasPrefix(text, "[WARN]"):
		level = slog.LevelInfo
	}
	if _, rest, ok := strings.Cut(text, "] "); ok {
		text = rest
	}
	t.to.Log(context.Background(), level, "members: "+text)
	return len(b), nil
}

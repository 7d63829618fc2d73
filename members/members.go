// Package members maintains a list of the running pilots for operators, by an encrypted gossip protocol between the
// pilots (hashicorp/memberlist). The list is for display only. No decision depends on it, so a pilot works the same while
// the gossip is complete, partitioned or forged.
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

// PilotStatus is what a pilot publishes about itself. Its JSON must not be longer than 512 bytes.
type PilotStatus struct {
	Pilot         string `json:"pilot"`
	Zone          string `json:"zone"`
	Run           uint64 `json:"run"`  // number of the pilot's run
	ListVersion   uint64 `json:"list"` // version of the pilot's list of servers
	ListSource    string `json:"from"` // source of the list: list (the list service), cache (the copy on disk) or empty (none)
	Servers       int    `json:"servers"`
	Proxies       int    `json:"proxies"`
	Wire          int    `json:"wire"` // version of its protocol with proxies
	ListenAddress string `json:"at"`   // address at which it listens
}

// Member is a member of the gossip with the status that it last published.
type Member struct {
	PilotStatus
	Address string
	Invalid string // why its status is invalid; empty if it is valid
}

// Config configures the gossip.
type Config struct {
	Name     string   // unique name of the pilot
	Bind     string   // HOST:PORT, for both UDP and TCP
	Peers    []string // gossip addresses (HOST:PORT) of other pilots, which are dialled to join
	Keys     []string // base64 of 16, 24 or 32 bytes each; the first one encrypts
	Allow    []string // networks from which messages are accepted; empty: only loopback
	Log      *slog.Logger
	Status   func() PilotStatus // called once per Interval on a separate goroutine; must not block
	Interval time.Duration      // period in which changes of the status are published; 0: one second
}

// Members is a running gossip.
type Members struct {
	config    Config
	list      *memberlist.Memberlist
	keyring   *memberlist.Keyring
	mu        sync.Mutex
	encoded   []byte
	members   map[string]Member
	stop      context.CancelFunc
	done      sync.WaitGroup
	closeOnce sync.Once
}

// Start joins the gossip. Peers that cannot be reached are dialled again until Close.
func Start(config Config) (*Members, error) {
	m := &Members{config: config, members: map[string]Member{}}
	if m.config.Interval <= 0 {
		m.config.Interval = time.Second
	}
	keys := make([][]byte, 0, len(config.Keys))
	for i, k := range config.Keys {
		b, err := readKey(k)
		if err != nil {
			return nil, fmt.Errorf("members: key %d: %w", i, err)
		}
		keys = append(keys, b)
	}
	if len(keys) == 0 {
		return nil, errors.New("members: no key is configured; the gossip must be encrypted")
	}
	var err error
	if m.keyring, err = memberlist.NewKeyring(keys, keys[0]); err != nil {
		return nil, fmt.Errorf("members: %w", err)
	}
	bind, err := netip.ParseAddrPort(config.Bind)
	if err != nil {
		return nil, fmt.Errorf("members: %q is not an IP address with a port", config.Bind)
	}
	listConfig := memberlist.DefaultLANConfig()
	listConfig.Name, listConfig.BindAddr, listConfig.BindPort, listConfig.AdvertisePort =
		config.Name, bind.Addr().String(), int(bind.Port()), int(bind.Port())
	listConfig.Keyring, listConfig.Delegate, listConfig.Events = m.keyring, (*delegate)(m), (*delegate)(m)
	listConfig.Logger = log.New(logWriter{config.Log}, "", 0)
	allowed := config.Allow
	if len(allowed) == 0 {
		allowed = []string{"127.0.0.0/8", "::1/128"}
	}
	for _, text := range allowed {
		prefix, err := netip.ParsePrefix(text)
		if err != nil {
			return nil, fmt.Errorf("members: %q is not a network prefix", text)
		}
		_, network, err := net.ParseCIDR(prefix.String())
		if err != nil {
			return nil, fmt.Errorf("members: %w", err)
		}
		listConfig.CIDRsAllowed = append(listConfig.CIDRsAllowed, *network)
	}
	m.refresh()
	if m.list, err = memberlist.Create(listConfig); err != nil {
		return nil, fmt.Errorf("members: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	m.stop = cancel
	m.done.Go(func() { m.run(ctx) })
	return m, nil
}

// readKey decodes a key and checks its length.
func readKey(s string) ([]byte, error) {
	b, err := base64.StdEncoding.DecodeString(s)
	if err == nil {
		err = memberlist.ValidateKey(b)
	}
	if err != nil {
		return nil, errors.New("a key must be the base64 of 16, 24 or 32 bytes")
	}
	return b, nil
}

// run publishes changes of this pilot's status, and, in every tenth interval, joins the peers if there are fewer other
// members than configured peers.
func (m *Members) run(ctx context.Context) {
	t := time.NewTicker(m.config.Interval)
	defer t.Stop()
	for i := 0; ; i++ {
		if i%10 == 0 && m.list.NumMembers() <= len(m.config.Peers) && len(m.config.Peers) > 0 {
			if _, err := m.list.Join(m.config.Peers); err != nil {
				m.config.Log.Debug("cannot join any peer", "error", err)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if m.refresh() {
			_ = m.list.UpdateNode(m.config.Interval)
		}
	}
}

// refresh updates the encoded status of this pilot and reports whether it changed.
func (m *Members) refresh() bool {
	b, err := json.Marshal(m.config.Status())
	if err != nil || len(b) > memberlist.MetaMaxSize {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if string(b) == string(m.encoded) {
		return false
	}
	m.encoded = b
	return true
}

// Address returns the address at which the gossip listens.
func (m *Members) Address() string { return m.list.LocalNode().FullAddress().Addr }

// All returns the known members, this pilot included, sorted by name.
func (m *Members) All() (out []Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(m.members)) {
		out = append(out, m.members[name])
	}
	return out
}

// Keys returns the first characters of each key, beginning with the one that encrypts.
func (m *Members) Keys() (out []string) {
	for _, k := range m.keyring.GetKeys() {
		out = append(out, base64.StdEncoding.EncodeToString(k)[:6]+"...")
	}
	return out
}

// AddKey accepts messages that are encrypted with a key.
func (m *Members) AddKey(key string) error { return m.withKey(key, m.keyring.AddKey) }

// UseKey encrypts with a key from now on. All members must have added it before.
func (m *Members) UseKey(key string) error { return m.withKey(key, m.keyring.UseKey) }

// DropKey removes a key. No member may encrypt with it any more.
func (m *Members) DropKey(key string) error { return m.withKey(key, m.keyring.RemoveKey) }

// withKey decodes a key and calls do with it.
func (m *Members) withKey(key string, do func([]byte) error) error {
	b, err := readKey(key)
	if err != nil {
		return err
	}
	return do(b)
}

// Close leaves the gossip and notifies the other members.
func (m *Members) Close() {
	m.closeOnce.Do(func() {
		m.stop()
		m.done.Wait()
		_ = m.list.Leave(200 * time.Millisecond)
		_ = m.list.Shutdown()
	})
}

// delegate implements memberlist's Delegate and EventDelegate. Only the pilots' statuses are exchanged.
type delegate Members

func (d *delegate) NodeMeta(limit int) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.encoded) > limit {
		return nil
	}
	return d.encoded
}

// NotifyJoin, NotifyUpdate and NotifyLeave maintain a copy of the members, because memberlist changes its own records
// concurrently.
func (d *delegate) NotifyJoin(n *memberlist.Node)   { d.store(n) }
func (d *delegate) NotifyUpdate(n *memberlist.Node) { d.store(n) }

func (d *delegate) NotifyLeave(n *memberlist.Node) {
	d.mu.Lock()
	delete(d.members, n.Name)
	d.mu.Unlock()
}

// store saves the status that a member published.
func (d *delegate) store(n *memberlist.Node) {
	member := Member{Address: n.Address()}
	if err := json.Unmarshal(n.Meta, &member.PilotStatus); err != nil {
		member.PilotStatus, member.Invalid = PilotStatus{}, "what it tells cannot be read"
	} else if member.Pilot != n.Name {
		member.Invalid = fmt.Sprintf("it tells of %.40q", member.Pilot)
	}
	member.Pilot = n.Name
	d.mu.Lock()
	d.members[n.Name] = member
	d.mu.Unlock()
}

func (d *delegate) NotifyMsg([]byte)                           {}
func (d *delegate) GetBroadcasts(overhead, limit int) [][]byte { return nil }
func (d *delegate) LocalState(join bool) []byte                { return nil }
func (d *delegate) MergeRemoteState(buf []byte, join bool)     {}

// logWriter forwards memberlist's log lines, which begin with their level in brackets, to an slog.Logger.
type logWriter struct{ log *slog.Logger }

func (w logWriter) Write(b []byte) (int, error) {
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
	w.log.Log(context.Background(), level, "members: "+text)
	return len(b), nil
}

package pilot

import (
	"bytes"
	"encoding/base64"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"vetchdoor/control"
	"vetchdoor/files"
	"vetchdoor/fleet"
	"vetchdoor/lab/loopback"
	stand "vetchdoor/lab/roster"
	"vetchdoor/members"
	"vetchdoor/proxy"
	sessions "vetchdoor/session"
)

// pair is two pilots that know each other, and proxies that know both.
type pair struct {
	t      *testing.T
	list   *stand.Server
	pilots [2]*Pilot
	files  [2]*files.Pilot
}

func newPair(t *testing.T, change func(int, *files.Pilot)) *pair {
	t.Helper()
	x := &pair{t: t}
	var err error
	if x.list, err = stand.Start("127.0.0.1:0", entries()); err != nil {
		t.Fatal(err)
	}
	for i := range x.pilots { // each must know where the other listens: a port is found first
		f := pilotFile(x.list.Address())
		f.Name, f.Instance, f.Instances = fmt.Sprint("p", i), i, 2
		x.files[i] = f
		p := begin(t, newPilot(t, f), nil)
		f.Listen = p.Address()
		p.Kill()
	}
	for i := range x.pilots {
		x.files[i].Peers = []files.Peer{{Instance: 1 - i, Address: x.files[1-i].Listen}}
		x.files[i].LeaveWithin = files.Duration(300 * time.Millisecond)
		if change != nil {
			change(i, x.files[i])
		}
		x.start(i)
	}
	t.Cleanup(func() {
		for _, p := range x.pilots {
			p.Kill()
		}
		x.list.Close()
	})
	return x
}

func (x *pair) start(i int) {
	x.t.Helper()
	x.pilots[i] = begin(x.t, newPilot(x.t, x.files[i]), nil)
}

func (x *pair) proxies(n int) (out []*proxy.Proxy) {
	x.t.Helper()
	for id := range n {
		f := proxyFile(uint16(id), x.files[0].Listen, x.files[1].Listen)
		f.SilenceTimeout = files.Duration(4 * time.Second)
		out = append(out, startProxy(x.t, f, nil))
	}
	return out
}

func (x *pair) info(i int, want string) bool {
	s, err := sessions.Query(x.pilots[i].AdminAddress(), "show info", 10*time.Second)
	return err == nil && strings.Contains(s, want)
}

func (x *pair) until(what string, ok func() bool) {
	x.t.Helper()
	until(x.t, 5*time.Millisecond, what, ok)
}

func (x *pair) joined(a, b int) func() bool {
	return func() bool {
		return x.info(0, fmt.Sprintf("\nProxies: %d\n", a)) && x.info(1, fmt.Sprintf("\nProxies: %d\n", b))
	}
}

// A pilot that is full sends proxies to the other, and none is without one.
func TestFull(t *testing.T) {
	x := newPair(t, func(i int, f *files.Pilot) { f.MostProxies = 6 })
	x.proxies(12)
	x.until("six each", x.joined(6, 6))
}

// A pilot that ends sends its proxies to the other first; once it is back those that prefer it come back by and by, and
// nobody is refused on the way.
func TestRolling(t *testing.T) {
	x := newPair(t, nil)
	all := x.proxies(12)
	sum := func() bool {
		for a := range 13 {
			if x.joined(a, 12-a)() {
				return true
			}
		}
		return false
	}
	x.until("all joined", sum)
	x.pilots[0].Stop()
	x.until("all at the other", func() bool { return x.info(1, "\nProxies: 12\n") })
	for _, p := range all {
		if info := p.Info(); !strings.Contains(info, "\nPilot: p1\n") && !strings.Contains(info, "Joined: true") {
			t.Errorf("%s", info)
		}
	}
	x.start(0)
	preferred := 0
	for id := range all {
		pilots := []fleet.Pilot{{Address: x.files[0].Listen, Zone: "z"}, {Address: x.files[1].Listen, Zone: "z"}}
		if fleet.NewSelector(fmt.Sprint(id), "z", pilots, 0, nil).Ranked()[0] == x.files[0].Listen {
			preferred++
		}
	}
	if preferred == 0 || preferred == len(all) {
		t.Fatalf("%d of %d prefer the first", preferred, len(all))
	}
	x.until("those that prefer it are there", x.joined(preferred, len(all)-preferred))
}

// Any pilot shows the fleet; a member that is forged, or bears another's name, is shown and changes nothing that is decided:
// the module hears of no member, ever.
func TestFleetShown(t *testing.T) {
	key := base64.StdEncoding.EncodeToString(bytes.Repeat([]byte{7}, 32))
	keys := filepath.Join(t.TempDir(), "keys")
	if err := os.WriteFile(keys, []byte("# the fleet's\n"+key+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	gossip := func() string { // a port that both UDP and TCP have free
		for {
			ln, err := net.Listen("tcp", net.JoinHostPort(loopback.Host(), "0"))
			if err != nil {
				t.Fatal(err)
			}
			u, err := net.ListenPacket("udp", ln.Addr().String())
			ln.Close()
			if err == nil {
				u.Close()
				return ln.Addr().String()
			}
		}
	}
	module := &script{}
	start := func(name string, others ...string) *rig {
		f := pilotFile("127.0.0.1:1")
		f.Name, f.Members = name, &files.Members{Bind: gossip(), SeedAddresses: others, KeyFile: keys}
		r := &rig{t: t, module: module}
		r.start(f)
		t.Cleanup(r.p.Kill)
		return r
	}
	a := start("a")
	b := start("b", a.p.file.Members.Bind)
	all := func(r *rig, want ...string) func() bool {
		return func() bool {
			s := r.ask("show fleet")
			return !slices.ContainsFunc(want, func(w string) bool { return !strings.Contains(s, w) })
		}
	}
	a.until("both", all(a, "\na,z,", "\nb,z,", "Pilots: 2"))
	b.until("both", all(b, "\na,z,", "\nb,z,", "Pilots: 2"))
	before := count[control.Event](module)
	forged, err := members.Start(members.Config{Name: "zz", Bind: gossip(), Peers: []string{a.p.file.Members.Bind}, Keys: []string{key},
		Log: slog.New(slog.DiscardHandler), Tell: func() members.PilotStatus {
			return members.PilotStatus{Pilot: "a", Proxies: 1 << 30, ListVersion: 1 << 60}
		}})
	if err != nil {
		t.Fatal(err)
	}
	a.until("the forged one is shown", all(a, "\nzz,,"))
	b.until("everywhere", all(b, "\nzz,,"))
	forged.Close()
	a.until("gone", func() bool { return !strings.Contains(a.ask("show peers"), "\nzz,") })
	if after := count[control.Event](module); after != before {
		t.Errorf("%d events came of members", after-before)
	}
	other := base64.StdEncoding.EncodeToString(bytes.Repeat([]byte{8}, 32))
	for _, cmd := range []string{"add key " + other, "use key " + other, "del key " + key} {
		if got := a.ask(cmd); strings.TrimSpace(got) != "" {
			t.Errorf("%s: %s", cmd, got)
		}
	}
	if got := a.ask("show peers"); !strings.Contains(got, "Keys: "+other[:6]+"...\n") {
		t.Error(got)
	}
	for cmd, want := range map[string]string{"add key x": "base64", "use key": "key is to follow", "del key " + other: ""} {
		if got := a.ask(cmd); strings.TrimSpace(got) == "" || !strings.Contains(got, want) {
			t.Errorf("%s: %q", cmd, got)
		}
	}
}

// What a later version adds is passed over; what an equal one should not say is refused.
func TestLaterVersion(t *testing.T) {
	r := newRig(t)
	c, in := dial(t, r.p.Address())
	defer c.Close()
	fmt.Fprint(c, "hello 1 wire 99 token x zone 0 rate 1 holds - 0 0 window 1000 standing - digests 0 bound q 1 mood sunny\n\n")
	line, err := in.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "welcome p ") || !strings.HasSuffix(line, " wire 1\n") {
		t.Fatal(line, err)
	}
	d, in := dial(t, r.p.Address())
	defer d.Close()
	fmt.Fprint(d, "hello 2 wire 1 token x zone 0 rate 1 holds - 0 0 window 1000 standing - mood sunny\n\n")
	if line, err := in.ReadString('\n'); err == nil && strings.HasPrefix(line, "welcome") {
		t.Error(line)
	}
}

// newStuck is a pilot whose module does not come back until it is released; noticed gets when that was seen.
func newStuck(t *testing.T) (p *Pilot, release hanging, noticed chan time.Time) {
	t.Helper()
	f := pilotFile("127.0.0.1:1")
	f.SilenceTimeout = files.Duration(200 * time.Millisecond)
	p, release, noticed = newPilot(t, f), make(hanging), make(chan time.Time, 1)
	p.Stuck = func() { noticed <- time.Now() }
	return p, release, noticed
}

// A module that does not come back is noticed while proxies still take the pilot for alive.
func TestStuck(t *testing.T) {
	p, release, noticed := newStuck(t)
	started := time.Now()
	begin(t, p, release)
	if took := (<-noticed).Sub(started); took < 100*time.Millisecond {
		t.Errorf("noticed after %v", took)
	}
	close(release)
	p.Kill()
}

// A module that does not come back is noticed also while the pilot is being ended, which would else wait for it without end.
func TestStuckWhileEnding(t *testing.T) {
	p, release, noticed := newStuck(t)
	ended := make(chan bool)
	begin(t, p, release)
	go func() { p.Stop(); close(ended) }()
	select {
	case <-noticed:
	case <-time.After(5 * time.Second):
		t.Error("nobody noticed")
	}
	close(release)
	<-ended
}

type hanging chan bool

func (h hanging) Decide(time.Duration, []control.Event) []control.Order {
	<-h
	return nil
}

// A pilot with no list at all sends proxies to another that has one; alone it takes them.
func TestNoListYet(t *testing.T) {
	x := newPair(t, func(i int, f *files.Pilot) {
		if i == 0 {
			f.Roster = "127.0.0.1:1"
		}
	})
	x.until("the other has its list", func() bool { return x.info(1, "\nList_from: list\n") })
	x.proxies(4)
	x.until("all at the one with a list", x.joined(0, 4))
	if !x.info(0, "\nList_from: none\n") {
		t.Error("a list from nowhere")
	}
}

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
	labroster "vetchdoor/lab/roster"
	"vetchdoor/members"
	"vetchdoor/proxy"
	sessions "vetchdoor/session"
)

// pilotPair is two pilots that are each other's peers, with one list service.
type pilotPair struct {
	t      *testing.T
	list   *labroster.Server
	pilots [2]*Pilot
	files  [2]*files.Pilot
}

// newPilotPair starts two pilots. change, if not nil, modifies their files.
func newPilotPair(t *testing.T, change func(int, *files.Pilot)) *pilotPair {
	t.Helper()
	x := &pilotPair{t: t}
	var err error
	if x.list, err = labroster.Start("127.0.0.1:0", entries()); err != nil {
		t.Fatal(err)
	}
	for i := range x.pilots { // each pilot's file names the other pilot's address, so ports are chosen first
		f := pilotFile(x.list.Address())
		f.Name, f.Instance, f.Instances = fmt.Sprint("p", i), i, 2
		x.files[i] = f
		p := startPilot(t, newPilot(t, f), nil)
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

func (x *pilotPair) start(i int) {
	x.t.Helper()
	x.pilots[i] = startPilot(x.t, newPilot(x.t, x.files[i]), nil)
}

// proxies starts n proxies that can use both pilots.
func (x *pilotPair) proxies(n int) (out []*proxy.Proxy) {
	x.t.Helper()
	for id := range n {
		f := proxyFile(uint16(id), x.files[0].Listen, x.files[1].Listen)
		f.SilenceTimeout = files.Duration(4 * time.Second)
		out = append(out, startProxy(x.t, f, nil))
	}
	return out
}

// infoContains reports whether a pilot's show info contains a text.
func (x *pilotPair) infoContains(i int, want string) bool {
	s, err := sessions.Query(x.pilots[i].AdminAddress(), "show info", 10*time.Second)
	return err == nil && strings.Contains(s, want)
}

func (x *pilotPair) waitFor(what string, ok func() bool) {
	x.t.Helper()
	waitFor(x.t, 5*time.Millisecond, what, ok)
}

// joinedCounts returns a condition that holds once the first pilot has a proxies and the second b.
func (x *pilotPair) joinedCounts(a, b int) func() bool {
	return func() bool {
		return x.infoContains(0, fmt.Sprintf("\nProxies: %d\n", a)) && x.infoContains(1, fmt.Sprintf("\nProxies: %d\n", b))
	}
}

// A pilot that has its maximum of proxies redirects further ones to its peer, and every proxy joins one of the two.
func TestPilotFull(t *testing.T) {
	x := newPilotPair(t, func(i int, f *files.Pilot) { f.MaxProxies = 6 })
	x.proxies(12)
	x.waitFor("six proxies at each pilot", x.joinedCounts(6, 6))
}

// A pilot that is stopped redirects its proxies to its peer. After its restart the proxies that prefer it return to it.
func TestRollingRestart(t *testing.T) {
	x := newPilotPair(t, nil)
	all := x.proxies(12)
	sum := func() bool {
		for a := range 13 {
			if x.joinedCounts(a, 12-a)() {
				return true
			}
		}
		return false
	}
	x.waitFor("all proxies to join", sum)
	x.pilots[0].Stop()
	x.waitFor("all proxies at the remaining pilot", func() bool { return x.infoContains(1, "\nProxies: 12\n") })
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
		t.Fatalf("%d of %d proxies prefer the first pilot; the test needs some at each", preferred, len(all))
	}
	x.waitFor("each proxy at its preferred pilot", x.joinedCounts(preferred, len(all)-preferred))
}

// show fleet lists all pilots at each of them. A member that claims another pilot's name is listed as invalid. Gossip causes no
// events for the module, and the gossip keys can be changed by command.
func TestShowFleet(t *testing.T) {
	key := base64.StdEncoding.EncodeToString(bytes.Repeat([]byte{7}, 32))
	keys := filepath.Join(t.TempDir(), "keys")
	if err := os.WriteFile(keys, []byte("# the fleet's\n"+key+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	gossip := func() string { // returns an address whose port is free for both UDP and TCP
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
	module := &scriptedModule{}
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
			s := r.command("show fleet")
			return !slices.ContainsFunc(want, func(w string) bool { return !strings.Contains(s, w) })
		}
	}
	a.waitFor("both", all(a, "\na,z,", "\nb,z,", "Pilots: 2"))
	b.waitFor("both", all(b, "\na,z,", "\nb,z,", "Pilots: 2"))
	before := countEvents[control.Event](module)
	forged, err := members.Start(members.Config{Name: "zz", Bind: gossip(), Peers: []string{a.p.file.Members.Bind},
		Keys: []string{key},
		Log:  slog.New(slog.DiscardHandler), Status: func() members.PilotStatus {
			return members.PilotStatus{Pilot: "a", Proxies: 1 << 30,
				ListVersion: 1 << 60}
		}})
	if err != nil {
		t.Fatal(err)
	}
	a.waitFor("the forged member in the reply", all(a, "\nzz,,"))
	b.waitFor("everywhere", all(b, "\nzz,,"))
	forged.Close()
	a.waitFor("gone", func() bool { return !strings.Contains(a.command("show peers"), "\nzz,") })
	if after := countEvents[control.Event](module); after != before {
		t.Errorf("%d events for the module caused by gossip", after-before)
	}
	other := base64.StdEncoding.EncodeToString(bytes.Repeat([]byte{8}, 32))
	for _, cmd := range []string{"add key " + other, "use key " + other, "del key " + key} {
		if got := a.command(cmd); strings.TrimSpace(got) != "" {
			t.Errorf("%s: %s", cmd, got)
		}
	}
	if got := a.command("show peers"); !strings.Contains(got, "Keys: "+other[:6]+"...\n") {
		t.Error(got)
	}
	for cmd, want := range map[string]string{"add key x": "base64", "use key": "key is required", "del key " + other: ""} {
		if got := a.command(cmd); strings.TrimSpace(got) == "" || !strings.Contains(got, want) {
			t.Errorf("%s: %q", cmd, got)
		}
	}
}

// Unknown words in the hello of a newer wire version are ignored. In a hello of the pilot's own version they are refused.
func TestNewerWireVersion(t *testing.T) {
	r := newRig(t)
	c, in := dialRaw(t, r.p.Address())
	defer c.Close()
	fmt.Fprint(c, "hello 1 wire 99 token x zone 0 rate 1 holds - 0 0 window 1000 standing - digests 0 bound q 1 mood sunny\n\n")
	line, err := in.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "welcome p ") || !strings.HasSuffix(line, " wire 1\n") {
		t.Fatal(line, err)
	}
	d, in := dialRaw(t, r.p.Address())
	defer d.Close()
	fmt.Fprint(d, "hello 2 wire 1 token x zone 0 rate 1 holds - 0 0 window 1000 standing - mood sunny\n\n")
	if line, err := in.ReadString('\n'); err == nil && strings.HasPrefix(line, "welcome") {
		t.Error(line)
	}
}

// newHungPilot returns a pilot that is not started, a module that hangs until release is closed, and a channel that gets the
// time at which the pilot detected the hang.
func newHungPilot(t *testing.T) (p *Pilot, release hangingModule, detected chan time.Time) {
	t.Helper()
	f := pilotFile("127.0.0.1:1")
	f.SilenceTimeout = files.Duration(200 * time.Millisecond)
	p, release, detected = newPilot(t, f), make(hangingModule), make(chan time.Time, 1)
	p.OnStuck = func() { detected <- time.Now() }
	return p, release, detected
}

// A hung module is detected after half of the silence timeout, while proxies still consider the pilot alive.
func TestHungModule(t *testing.T) {
	p, release, detected := newHungPilot(t)
	started := time.Now()
	startPilot(t, p, release)
	if took := (<-detected).Sub(started); took < 100*time.Millisecond {
		t.Errorf("hang detected after only %v, want at least 100 ms", took)
	}
	close(release)
	p.Kill()
}

// A hung module is also detected during Stop, which would otherwise wait for it indefinitely.
func TestHungModuleDuringStop(t *testing.T) {
	p, release, detected := newHungPilot(t)
	ended := make(chan bool)
	startPilot(t, p, release)
	go func() { p.Stop(); close(ended) }()
	select {
	case <-detected:
	case <-time.After(5 * time.Second):
		t.Error("hang not detected during Stop")
	}
	close(release)
	<-ended
}

// hangingModule is a decision module whose Decide returns only once the channel is closed.
type hangingModule chan bool

func (h hangingModule) Decide(time.Duration, []control.Event) []control.Order {
	<-h
	return nil
}

// A pilot without a server list redirects proxies to its peer.
func TestPilotWithoutList(t *testing.T) {
	x := newPilotPair(t, func(i int, f *files.Pilot) {
		if i == 0 {
			f.Roster = "127.0.0.1:1"
		}
	})
	x.waitFor("the list at the second pilot", func() bool { return x.infoContains(1, "\nList_from: list\n") })
	x.proxies(4)
	x.waitFor("all proxies at the pilot with a list", x.joinedCounts(0, 4))
	if !x.infoContains(0, "\nList_from: none\n") {
		t.Error("the first pilot reports a list")
	}
}

package kit2

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"slices"
	"sync"
	"syscall"
	"time"

	"vetchdoor/lab/platform"
)

// World is a deployment that runs: servers, proxies, collectors, discovery and one pilot.
type World struct {
	Site    Site
	Servers []*Server
	Proxies []*Proxy
	Trouble bool // false with TROUBLE=0 in the environment: the case plays without its disruption

	classes   map[string]*Class
	byID      map[string]*Server
	discovery *platform.Discovery
	began     time.Time
	done      chan struct{}
	doneOnce  sync.Once

	pilotAddress string
	pilot        *exec.Cmd
	pilotEnded   chan struct{}
	stopping     bool // the case itself ends the pilot
	pilotReady   time.Time
	folder       string // temporary
	configPath   string

	mu         sync.Mutex
	list       map[string]platform.Instance // as told to the pilot, by server
	outSince   map[string]time.Time         // when the pilot was told that a server drains or is gone
	upSince    map[string]time.Time         // when the pilot was told of a server's last start
	counts     map[string]int
	violations []string
	failure    error

	recordMu   sync.Mutex
	record     *bufio.Writer
	recordFile *os.File

	channelMu   sync.Mutex
	channelFree time.Time // when the pilot's channel has sent all that waits
	waiting     int       // lines that wait
	peak        int
}

// NewWorld makes the servers, discovery and proxies of a deployment. It writes its record to record.txt in the folder of
// the case, which is the working directory.
func NewWorld(site Site) (*World, error) {
	w := &World{Site: site, Trouble: os.Getenv("TROUBLE") != "0", classes: map[string]*Class{}, byID: map[string]*Server{},
		began: time.Now(), done: make(chan struct{}), list: map[string]platform.Instance{}, outSince: map[string]time.Time{},
		upSince: map[string]time.Time{},
		counts:  map[string]int{}}
	var err error
	if w.recordFile, err = os.Create("record.txt"); err != nil {
		return nil, err
	}
	w.record = bufio.NewWriter(w.recordFile)
	if w.folder, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	for i := range w.Site.Classes {
		w.classes[w.Site.Classes[i].Name] = &w.Site.Classes[i]
	}
	var listed []platform.Instance
	for zone, n := range site.ServersPerZone {
		for i := range n {
			s := &Server{ID: fmt.Sprintf("s-%d%d", zone, i), Zone: zone}
			x, err := w.addServer(s, false)
			if err != nil {
				return nil, err
			}
			listed = append(listed, x)
		}
	}
	if w.discovery, err = platform.NewDiscovery(listed...); err != nil {
		return nil, err
	}
	for _, x := range listed {
		w.list[x.ID] = x
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() { w.fail(fmt.Errorf("interrupted by %v", <-signals)) }()
	for number, zone := range site.ProxyZones {
		w.Proxies = append(w.Proxies, newProxy(w, number, zone, site.Rate/float64(len(site.ProxyZones))))
	}
	return w, nil
}

// addServer starts a server and returns its entry for the list.
func (w *World) addServer(s *Server, cold bool) (platform.Instance, error) {
	s.world = w
	if err := s.start(cold); err != nil {
		return platform.Instance{}, err
	}
	w.mu.Lock()
	w.Servers, w.byID[s.ID] = append(w.Servers, s), s
	w.mu.Unlock()
	return w.entry(s, "up"), nil
}

// AddServer starts a new cold server, which is not listed yet.
func (w *World) AddServer(id string, zone int) *Server {
	s := &Server{ID: id, Zone: zone}
	if _, err := w.addServer(s, true); err != nil {
		w.fail(err)
	}
	w.Recordf("server %s starts cold", id)
	return s
}

// entry returns a server's entry in the list.
func (w *World) entry(s *Server, lifecycle string) platform.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	x := platform.Instance{ID: s.ID, HostPort: s.address, Zone: w.Site.Zones[s.Zone], Machine: "gen-a", Cell: s.Zone,
		Lifecycle: lifecycle, Weight: 1}
	if w.Site.Weights == "live" {
		x.Weight = 1 / (1 + float64(s.inFlight)/float64(w.Site.Cores))
	}
	if !s.started.IsZero() {
		x.Started = s.started.UnixMilli()
	}
	return x
}

// Tell has discovery tell the pilot the lifecycle of servers: up, draining or removed.
func (w *World) Tell(lifecycle string, servers ...*Server) {
	var entries []platform.Instance
	for _, s := range servers {
		entries = append(entries, w.entry(s, lifecycle))
		w.Recordf("discovery tells: %s is %s", s.ID, lifecycle)
	}
	w.discovery.Set(entries...)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, x := range entries {
		w.list[x.ID] = x
		if lifecycle == "up" {
			delete(w.outSince, x.ID)
			w.upSince[x.ID] = time.Now().Add(toldSlack)
		} else if w.outSince[x.ID].IsZero() {
			w.outSince[x.ID] = time.Now().Add(toldSlack)
		}
	}
}

// TellWeights has discovery tell the present weights of all servers that are listed as up.
func (w *World) TellWeights() {
	var entries []platform.Instance
	for _, x := range w.listed() {
		if x.Lifecycle != "up" {
			continue
		}
		w.mu.Lock()
		s := w.byID[x.ID]
		w.mu.Unlock()
		entries = append(entries, w.entry(s, "up"))
	}
	w.discovery.Set(entries...)
}

// startTold returns when the pilot was told of a server's last start; zero if it was not.
func (w *World) startTold(id string) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.upSince[id]
}

// toldSlack is how long after Tell the pilot counts as told.
const toldSlack = 100 * time.Millisecond

// listed returns the list.
func (w *World) listed() (out []platform.Instance) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, x := range w.list {
		out = append(out, x)
	}
	slices.SortFunc(out, func(a, b platform.Instance) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return out
}

func (w *World) zoneOf(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s := w.byID[id]; s != nil {
		return s.Zone
	}
	return -1
}

func (w *World) addressOf(id string) string {
	w.mu.Lock()
	s := w.byID[id]
	w.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// Recordf writes a line to the record, with the time since the start in milliseconds.
func (w *World) Recordf(format string, args ...any) {
	w.recordMu.Lock()
	defer w.recordMu.Unlock()
	fmt.Fprintf(w.record, "%8d ", time.Since(w.began).Milliseconds())
	fmt.Fprintf(w.record, format+"\n", args...)
}

// Printf writes a line to the record and to standard output.
func (w *World) Printf(format string, args ...any) {
	w.Recordf(format, args...)
	fmt.Printf("%6.1f s  ", time.Since(w.began).Seconds())
	fmt.Printf(format+"\n", args...)
}

// count counts the outcome of a request.
func (w *World) count(class, outcome string) {
	w.mu.Lock()
	w.counts[class+" "+outcome]++
	w.mu.Unlock()
}

// fail notes that the case cannot run.
func (w *World) fail(err error) {
	w.mu.Lock()
	if w.failure == nil {
		w.failure = err
	}
	w.mu.Unlock()
	w.Printf("cannot run: %v", err)
	w.doneOnce.Do(func() { close(w.done) })
}

// Broken notes that a rule was broken.
func (w *World) Broken(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.mu.Lock()
	w.violations = append(w.violations, text)
	n := len(w.violations)
	w.mu.Unlock()
	if n <= 10 {
		w.Printf("BROKEN: %s", text)
	} else {
		w.Recordf("BROKEN: %s", text)
	}
}

func (w *World) running() bool {
	select {
	case <-w.done:
		return false
	default:
		return true
	}
}

// sleep waits; it returns false if the world has ended.
func (w *World) sleep(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-w.done:
		return false
	}
}

// Sleep waits for a while, or until the world has ended.
func (w *World) Sleep(d time.Duration) { w.sleep(d) }

// runLine returns the line run of the deploy file, and the root of the repository.
func runLine() (line, root string, err error) {
	if root, err = filepath.Abs("../.."); err != nil {
		return "", "", err
	}
	b, err := os.ReadFile(filepath.Join(root, "deploy/balancer.toml"))
	if err != nil {
		return "", "", err
	}
	found := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(b)
	if found == nil {
		return "", "", fmt.Errorf("no line run in the deploy file")
	}
	return string(found[1]), root, nil
}

// WriteConfig writes the pilot's configuration; known is the list as it last held it.
func (w *World) WriteConfig(discovery string, known platform.Answer) error {
	w.configPath = filepath.Join(w.folder, "config.json")
	b, err := json.MarshalIndent(map[string]any{"name": "n0", "listen": w.pilotAddress, "discovery": discovery,
		"seed": fmt.Sprintf("%016x", time.Now().UnixNano()), "known": known, "settings": w.Site.settings(),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}}, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(w.configPath+".new", b, 0o600); err != nil {
		return err
	}
	return os.Rename(w.configPath+".new", w.configPath)
}

// StartPilot starts the pilot by the deploy file and waits until it answers a sign of life. The first call also starts
// proxies, collectors and the checks.
func (w *World) StartPilot() {
	first := w.pilotAddress == ""
	if first {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			w.fail(err)
			return
		}
		w.pilotAddress = listener.Addr().String()
		_ = listener.Close()
	}
	if err := w.startPilot(); err != nil {
		w.fail(err)
		return
	}
	if first {
		w.pilotReady = time.Now()
		for _, p := range w.Proxies {
			go p.runStream()
			go p.runRequests()
		}
		for zone := range w.Site.Zones {
			go w.runCollector(zone)
		}
		go w.checkEmpty()
	}
}

func (w *World) startPilot() error {
	line, root, err := runLine()
	if err != nil {
		return err
	}
	if w.configPath == "" {
		if err := w.WriteConfig(w.discovery.Address(), w.discovery.Snapshot()); err != nil {
			return err
		}
	}
	log, err := os.OpenFile(filepath.Join(w.folder, "pilot.log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command("/bin/sh", "-c", line+os.Getenv("PILOT_FLAGS"))
	cmd.Dir, cmd.Stdout, cmd.Stderr = root, log, log
	cmd.Env = append(os.Environ(), "LB_CONFIG="+w.configPath)
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	w.mu.Lock()
	w.pilot, w.pilotEnded, w.stopping = cmd, ended, false
	w.mu.Unlock()
	w.Recordf("pilot starts")
	go func() {
		err := cmd.Wait()
		close(ended)
		w.mu.Lock()
		expected := w.stopping || w.pilot != cmd
		w.mu.Unlock()
		if !expected && w.running() {
			w.Broken("crash: the pilot ended by itself: %v", err)
		}
	}()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if w.pilotAnswers() {
			w.Recordf("pilot answers")
			return nil
		}
	}
	return fmt.Errorf("the pilot does not answer; its log is %s", log.Name())
}

// pilotAnswers reports whether the pilot answers a sign of life.
func (w *World) pilotAnswers() bool {
	peer, err := platform.Dial(w.pilotAddress)
	if err != nil {
		return false
	}
	defer peer.Close()
	if peer.Send(`{"msg":"hb"}`) != nil {
		return false
	}
	m, err := peer.Receive(time.Second)
	return err == nil && m.Msg == "hb_ok"
}

// SignalPilot sends the pilot a signal. If the signal ends it, StopPilot is the call to use.
func (w *World) SignalPilot(signal syscall.Signal) {
	w.Recordf("pilot gets %v", signal)
	if err := w.pilot.Process.Signal(signal); err != nil {
		w.fail(err)
	}
}

// StopPilot ends the pilot by a signal and waits until it has ended.
func (w *World) StopPilot(signal syscall.Signal) {
	w.mu.Lock()
	w.stopping = true
	cmd, ended := w.pilot, w.pilotEnded
	w.mu.Unlock()
	w.Recordf("pilot gets %v", signal)
	_ = cmd.Process.Signal(signal)
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		_ = cmd.Process.Kill()
		<-ended
	}
	w.channelMu.Lock()
	w.channelFree, w.waiting = time.Time{}, 0
	w.channelMu.Unlock()
}

// Snapshot returns the list as discovery has it, for the known list of a pilot that starts anew.
func (w *World) Snapshot() platform.Answer { return w.discovery.Snapshot() }

// DiscoveryAddress returns the address of discovery.
func (w *World) DiscoveryAddress() string { return w.discovery.Address() }

// enterChannel takes a message into the pilot's channel, which sends the lines of all messages one after the other.
func (w *World) enterChannel(p *Proxy, s *stream, parts []platform.Message) {
	now, lines := time.Now(), w.Site.Envelope
	for _, m := range parts {
		lines += len(m.Endpoints) + len(m.Eject) + len(m.Restore)
		for _, one := range []bool{m.Full, m.Admit != nil, m.Nonce != nil} {
			if one {
				lines++
			}
		}
	}
	w.channelMu.Lock()
	defer w.channelMu.Unlock()
	if w.channelFree.Before(now) {
		w.channelFree = now
	}
	w.channelFree = w.channelFree.Add(time.Duration(float64(lines) / w.Site.LinesPerSecond * float64(time.Second)))
	w.waiting += lines
	w.peak = max(w.peak, w.waiting)
	if w.waiting > w.Site.MostWaiting {
		w.Broken("short queue: %d lines wait in the channel", w.waiting)
	}
	time.AfterFunc(time.Until(w.channelFree), func() {
		w.channelMu.Lock()
		w.waiting = max(0, w.waiting-lines)
		w.channelMu.Unlock()
	})
	s.messages = append(s.messages, now)
	if n := len(s.messages); w.Site.UpdateCap > 0 && n > w.Site.UpdateCap &&
		now.Sub(s.messages[n-1-w.Site.UpdateCap]) < w.Site.MessagesOver {
		w.Broken("message cap: proxy %d was written more than %d messages within %v", p.Number, w.Site.UpdateCap,
			w.Site.MessagesOver)
	}
	select {
	case s.due <- delivery{w.channelFree.Add(w.Site.PushDelay), parts, now}:
	default:
		w.fail(fmt.Errorf("proxy %d has too many messages in hand", p.Number))
	}
}

// runCollector reports each period what the proxies of a zone met.
func (w *World) runCollector(zone int) {
	var conn net.Conn
	for last := time.Now(); w.sleep(w.Site.Cycle); {
		window := time.Since(last)
		last = time.Now()
		total := map[string]*sum{}
		for _, p := range w.Proxies {
			if p.Zone != zone {
				continue
			}
			for id, s := range p.takeSums(window) {
				t := total[id]
				if t == nil {
					t = &sum{}
					total[id] = t
				}
				t.n, t.bad, t.latency = t.n+s.n, t.bad+s.bad, t.latency+s.latency
				if s.report != nil {
					t.report = s.report
				}
			}
		}
		var text []byte
		for id, t := range total {
			text = fmt.Appendf(text, `{"msg":"upstream_stats","az":%q,"host":%q,"n":%d,"bad":%d,"avg":%.1f,"window":%.1f`,
				w.Site.Zones[zone], id, t.n, t.bad, ms(t.latency)/float64(max(1, t.n-t.bad)), ms(window))
			if t.report != nil {
				text = fmt.Appendf(text, `,"report":%s`, t.report)
			}
			text = append(text, "}\n"...)
		}
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp", w.pilotAddress, time.Second); err != nil {
				conn = nil
				continue
			}
			_, _ = fmt.Fprintf(conn, `{"msg":"telemetry","az":%q}`+"\n", w.Site.Zones[zone])
		}
		time.AfterFunc(w.Site.HeardLate, func(c net.Conn) func() {
			return func() { _, _ = c.Write(text) }
		}(conn))
		_ = conn.SetReadDeadline(time.Now().Add(time.Millisecond))
		if _, err := conn.Read(make([]byte, 64)); err != nil && !os.IsTimeout(err) {
			_ = conn.Close()
			conn = nil
		}
	}
}

// Finish ends all processes and stand-ins, prints the result, and returns the exit code of the case: 1 if a rule was
// broken, 0 if all held, 2 if the case could not run.
func (w *World) Finish() int {
	w.doneOnce.Do(func() { close(w.done) })
	w.mu.Lock()
	running := w.pilot != nil
	w.mu.Unlock()
	if running {
		w.StopPilot(syscall.SIGTERM)
	}
	for _, p := range w.Proxies {
		p.BreakStream()
	}
	for _, s := range w.Servers {
		s.stop()
	}
	w.discovery.Close()
	w.mu.Lock()
	violations, failure := w.violations, w.failure
	for _, name := range slices.Sorted(mapKeys(w.counts)) {
		defer func(n int) { fmt.Printf("%s: %d\n", name, n) }(w.counts[name])
		w.Recordf("count %s: %d", name, w.counts[name])
	}
	w.mu.Unlock()
	code := 0
	switch {
	case failure != nil:
		code = 2
	case len(violations) > 0:
		code = 1
	}
	w.Printf("%d breaks; most lines that waited: %d; exit code %d", len(violations), w.peak, code)
	w.recordMu.Lock()
	_ = w.record.Flush()
	_ = w.recordFile.Close()
	w.recordMu.Unlock()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.folder)
	} else {
		fmt.Println("kept:", w.folder)
	}
	return code
}

// IsUp reports whether discovery lists a server as up.
func (w *World) IsUp(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.list[id].Lifecycle == "up"
}

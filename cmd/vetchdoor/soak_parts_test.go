package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"vetchdoor/files"
	"vetchdoor/lab/node"
	"vetchdoor/lab/platform"
)

// Documented limits that the soak test checks.
const (
	opTimeout          = time.Second
	drainGrace         = 2 * time.Second
	proxyShutdownLimit = 2*time.Second + opTimeout + 3*time.Second // time from SIGTERM to the end of a proxy
	partShutdownLimit  = 6 * time.Second                           // the same for a list service, and for a pilot that is not killed
	pilotKillAfter     = 700 * time.Millisecond                    // time from SIGTERM after which the platform may kill a pilot
	coldFor            = 5 * time.Second
	readyTimeout       = 10 * time.Second
	maxDescriptors     = 96 // open descriptors per process, with 16 clients, 2 pilots and 4 servers
)

// dumpTimeout is the time that a hanging process gets to print its goroutines.
const dumpTimeout = 500 * time.Millisecond

// Limits in runs with a crowd: many badly behaved client connections beside the clients.
const (
	crowdConnections = 60  // number of connections to each proxy
	descriptorLimit  = 128 // limit on the open descriptors of each proxy
)

// packOf returns the pack of the i-th server; there are two packs of two servers each.
func packOf(i int) int { return 1 + i%2 }

// Indices of the op types in soakService.
const (
	readType = iota
	writeType
	dedupType // a write with an idempotency key, by which the servers of a pack drop its repeats
	typeCount
)

// soakService returns the service settings that pilots, proxies and servers share.
func soakService() object {
	return object{"zones": []string{"z"}, "write_packs": object{"z": []int{packOf(0), packOf(1)}}, "report_every": "100ms",
		"bootstrap": 4, "measures": []string{"cpu_utilization"}, "op_types": []object{
			{"name": "read", "match": object{"method": "GET"}, "target_latency": "500ms", "op_timeout": opTimeout.String(),
				"revenue": 1, "repeat": "retryable"},
			{"name": "write", "match": object{"method": "POST"}, "target_latency": "500ms", "op_timeout": opTimeout.String(),
				"revenue": 2, "repeat": "once-only", "writes": true},
			{"name": "marked", "match": object{"method": "PUT"}, "target_latency": "500ms", "op_timeout": opTimeout.String(),
				"revenue": 2, "repeat": "deduplicated", "group": "pack",
				"dedup_window": dedupWindow.String(), "writes": true}}}
}

func soakLimits() object {
	return object{"empty_for": "2s", "drain_grace": drainGrace.String(), "cold_for": coldFor.String(), "cold_share": 0.5,
		"overload_factor": 4, "fall_after": "2s"}
}

// decode converts an object to a settings struct, through JSON.
func decode(from object, to any) error {
	b, err := json.Marshal(from)
	if err != nil {
		return err
	}
	return json.Unmarshal(b, to)
}

// startNodes starts four simulated servers in this process; their ledger records which ops were executed.
func (s *soak) startNodes() {
	var service files.Service
	var limits files.Limits
	if err := decode(soakService(), &service); err != nil {
		s.t.Fatal(err)
	}
	if err := decode(soakLimits(), &limits); err != nil {
		s.t.Fatal(err)
	}
	s.ledger = node.NewLedger()
	machine := files.Machine{Name: "m", Cores: 4, Speed: [2]float64{1, 1}, Slots: 32, Queue: 64, Connections: 500,
		ColdShare: 0.5, ColdFor: files.Duration(coldFor)}
	for i := range 4 {
		n := node.New(files.NodeAt{Endpoint: uint32(1 + i), Listen: net.JoinHostPort(s.host, fmt.Sprint(7101+i)), Zone: "z",
			Pack: packOf(i)}, machine, &service, limits, s.seed, s.ledger)
		if err := n.Start(false); err != nil {
			s.t.Fatal(err)
		}
		s.nodes = append(s.nodes, n)
	}
}

// entries returns the list entries of the servers, all in mode ready.
func (s *soak) entries() (out []object) {
	for i, n := range s.nodes {
		out = append(out, object{"endpoint": n.Endpoint(), "address": n.Address(), "zone": "z", "pack": packOf(i)})
	}
	return out
}

// setMode changes the mode of the i-th server in the list.
func (s *soak) setMode(i int, mode string) {
	s.list["entries"].([]object)[i]["mode"] = mode
	write(s.t, filepath.Join(s.dir, "roster.json"), s.list)
}

func (s *soak) at(port int) string { return net.JoinHostPort(s.host, fmt.Sprint(port)) }

// startProcesses starts the list service, two pilots, two proxies and a pilot of the platform.
func (s *soak) startProcesses() {
	s.list = object{"kind": "roster", "listen": s.at(7000), "zones": []string{"z"}, "entries": s.entries()}
	s.roster = s.launch("roster", "roster", s.at(7000), partShutdownLimit, s.list)
	var streams []object
	for i := range 2 {
		name, at := fmt.Sprint("pilot-", i), s.at(7010+i)
		streams = append(streams, object{"address": at, "zone": "z"})
		p := s.launch(name, "pilot", at, partShutdownLimit, object{"kind": "pilot", "name": name, "zone": "z", "instance": i,
			"instances": 2, "proxies": 2, "listen": at,
			"roster": s.at(7000), "admin": "unix:" + filepath.Join(s.dir, name+".sock"), "cache": filepath.Join(s.dir,
				name+"-list.json"), "leave_within": "300ms",
			"peers":   []object{{"instance": 1 - i, "address": s.at(7010 + 1 - i)}},
			"service": soakService(), "limits": soakLimits(), "channel": object{"lines_per_second": 2000, "message_lines": 3,
				"most_waiting": 2000, "report_lines_per_second": 1000}})
		p.killAfter = pilotKillAfter
		s.pilots = append(s.pilots, p)
	}
	for i := range 2 {
		at := s.at(7020 + i)
		s.proxies = append(s.proxies, s.launch(fmt.Sprint("proxy-", i), "proxy", at, proxyShutdownLimit, object{"kind": "proxy",
			"id": i, "zone": "z", "listen": at, "rate": 300,
			"redial": "100ms", "service": soakService(), "servers": s.entries(), "pilots": streams}))
	}
	var list []platform.Instance
	for i := range 4 {
		list = append(list, platform.Instance{ID: fmt.Sprint("s-", i), HostPort: "127.0.0.1:9", Zone: string(rune('a' + i%2)),
			Machine: "m", Lifecycle: "up", Weight: 1})
	}
	var err error
	if s.discovery, err = platform.NewDiscovery(list...); err != nil {
		s.t.Fatal(err)
	}
	at := s.at(7030)
	s.platform = s.launch("platform", "platform", at, partShutdownLimit, object{"name": "n0", "listen": at,
		"discovery": s.discovery.Address(), "seed": "8c1f30d27a5be964",
		"known": s.discovery.Snapshot(), "limits": object{"cores": 0.5, "memory_mb": 64, "sockets": 256},
		"settings": json.RawMessage(platformSettings)})
	s.platform.killAfter = pilotKillAfter
}

// process is one part of the service under test: it runs as a program and is restarted at the same address.
type process struct {
	s             *soak
	name, kind    string
	path          string
	address       string
	shutdownLimit time.Duration // documented time limit from SIGTERM to the end
	killAfter     time.Duration // if not 0, the process is killed this long after SIGTERM

	mu              sync.Mutex
	runs            int
	cmd             *exec.Cmd
	ended           chan struct{}
	terminatedAt    time.Time
	terminatedEarly bool // SIGTERM may have arrived before the program installed its handler
	killed          bool
}

// launch writes the settings file of a part and starts the part.
func (s *soak) launch(name, kind, address string, shutdownLimit time.Duration, file object) *process {
	p := &process{s: s, name: name, kind: kind, path: filepath.Join(s.dir, name+".json"), address: address,
		shutdownLimit: shutdownLimit}
	write(s.t, p.path, file)
	p.start()
	return p
}

func (p *process) start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runs++
	log, err := os.Create(filepath.Join(p.s.dir, fmt.Sprintf("%s-%d.log", p.name, p.runs)))
	if err != nil {
		p.s.failf("%v", err)
		return
	}
	defer log.Close()
	p.cmd = program(p.kind, "--file", p.path)
	if p.kind == "proxy" { // the shell sets the limit, then replaces itself with the program
		args := append([]string{"-c", fmt.Sprintf(`ulimit -n %d; exec "$0" "$@"`, descriptorLimit)}, p.cmd.Args...)
		shell := exec.Command("/bin/sh", args...)
		shell.Env = p.cmd.Env
		p.cmd = shell
	}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.terminatedAt, p.terminatedEarly, p.killed, p.ended = time.Time{}, false, false, make(chan struct{})
	if err := p.cmd.Start(); err != nil {
		p.s.failf("%s: %v", p.name, err)
		close(p.ended)
		return
	}
	go func(cmd *exec.Cmd, ended chan struct{}) {
		_ = cmd.Wait()
		close(ended)
	}(p.cmd, p.ended)
}

// isReady reports whether the part responds: a pilot of the platform to a heartbeat, any other part to a dial.
func (p *process) isReady() bool {
	if p.kind != "platform" {
		c, err := net.DialTimeout("tcp", p.address, time.Second)
		if err == nil {
			c.Close()
		}
		return err == nil
	}
	peer, err := platform.Dial(p.address)
	if err != nil {
		return false
	}
	defer peer.Close()
	o, err := func() (platform.Message, error) { _ = peer.Send(`{"msg":"hb"}`); return peer.Receive(time.Second) }()
	return err == nil && o.Msg == "hb_ok"
}

func (p *process) awaitReady() {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if p.isReady() {
			return
		}
		select {
		case <-p.ended:
			p.s.failf("%s ended during its start: %v", p.name, p.cmd.ProcessState)
			return
		default:
		}
	}
	p.s.failf("%s is not ready %v after its start", p.name, readyTimeout)
}

// awaitSignals waits until the program catches or ignores SIGHUP; before that the default action would end it.
func (p *process) awaitSignals() {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		b, err := os.ReadFile(fmt.Sprintf("/proc/%d/cmdline", p.cmd.Process.Pid))
		if err != nil {
			return
		}
		if !bytes.HasPrefix(b, []byte("/bin/sh")) && handlesHangup(p.cmd.Process.Pid) {
			return
		}
	}
}

func (p *process) signal(sig syscall.Signal) { _ = p.cmd.Process.Signal(sig) }

func (p *process) terminate() {
	if p.terminatedAt.IsZero() {
		p.terminatedAt = time.Now()
	}
	p.signal(syscall.SIGTERM)
}

func (p *process) kill() {
	if p == nil || p.cmd == nil || p.cmd.Process == nil {
		return
	}
	p.killed = true
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// awaitEnd waits for the end of a part after SIGTERM, and checks the time it took and its exit status.
func (p *process) awaitEnd() {
	within := p.shutdownLimit
	if p.killAfter > 0 {
		within = p.killAfter
	}
	select {
	case <-p.ended:
	case <-time.After(time.Until(p.terminatedAt.Add(within))):
		if p.killAfter == 0 {
			p.s.failf("%s has not exited %v after SIGTERM", p.name, within)
			p.signal(syscall.SIGQUIT) // prints its goroutines to its log
			time.Sleep(dumpTimeout)
		}
		p.kill()
		return
	}
	status, ok := p.cmd.ProcessState.Sys().(syscall.WaitStatus)
	byTerm := ok && status.Signaled() && status.Signal() == syscall.SIGTERM && p.terminatedEarly
	if p.cmd.ProcessState.ExitCode() != exitOK && !byTerm {
		p.s.failf("%s ended with %v", p.name, p.cmd.ProcessState)
	}
}

// restart starts a part again and waits until it is ready.
func (p *process) restart() {
	p.start()
	p.awaitReady()
}

// descriptors returns the number of open file descriptors.
func (p *process) descriptors() int {
	d, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		p.s.failf("%s: %v", p.name, err)
	}
	return len(d)
}

// step performs one random disturbance, of one or several parts.
func (s *soak) step() {
	parts := s.all()
	s.rng.Shuffle(len(parts), func(i, j int) { parts[i], parts[j] = parts[j], parts[i] })
	count := 1
	if s.rng.IntN(3) == 0 {
		count += 1 + s.rng.IntN(2)
	}
	pattern, gap := s.rng.IntN(6), time.Duration(s.rng.IntN(20_000))*time.Microsecond
	if s.rng.IntN(8) == 0 { // one part after the other
		for _, p := range parts {
			s.disturb(p, pattern, gap)
		}
		return
	}
	var all sync.WaitGroup
	for _, p := range parts[:count] {
		all.Go(func() { s.disturb(p, pattern, gap) })
	}
	if s.rng.IntN(4) == 0 { // also restart a server
		n := s.nodes[1+s.rng.IntN(len(s.nodes)-1)]
		vanishes := s.rng.IntN(2) == 0
		all.Go(func() { s.replaceNode(n, vanishes) })
	}
	all.Wait()
}

// disturb sends a series of signals to a part and, unless it keeps running, restarts it.
func (s *soak) disturb(p *process, pattern int, gap time.Duration) {
	switch pattern {
	case 0: // several SIGHUP; the part keeps running
		for range 4 {
			p.signal(syscall.SIGHUP)
			time.Sleep(gap / 4)
		}
		return
	case 1: // SIGTERM twice
		p.terminate()
		time.Sleep(gap)
		p.terminate()
	case 2: // SIGHUP, then SIGTERM
		p.signal(syscall.SIGHUP)
		time.Sleep(gap / 4)
		p.terminate()
	case 3: // SIGTERM, then SIGHUP
		p.terminate()
		time.Sleep(gap)
		p.signal(syscall.SIGHUP)
	case 4: // restart, with SIGTERM during the start
		p.terminate()
		p.awaitEnd()
		p.start()
		time.Sleep(gap)
		p.terminatedEarly = true
		p.terminate()
	case 5: // restart, with several SIGHUP during the start, then SIGTERM
		p.terminate()
		p.awaitEnd()
		p.start()
		p.awaitSignals()
		for range 6 {
			p.signal(syscall.SIGHUP)
		}
		p.terminatedEarly = true
		p.terminate()
	}
	p.awaitEnd()
	p.restart()
}

// replaceNode stops a server, gracefully or abruptly, and starts it again, cold.
func (s *soak) replaceNode(n *node.Node, vanishes bool) {
	ctx, cancel := context.WithTimeout(context.Background(), opTimeout+time.Second)
	defer cancel()
	if vanishes {
		n.Stop()
	} else {
		n.Shutdown(ctx)
	}
	// A process that is just being started holds a copy of the old listener until exec.
	err := n.Start(true)
	for end := time.Now().Add(readyTimeout); errors.Is(err, syscall.EADDRINUSE) && time.Now().Before(end); err = n.Start(true) {
		time.Sleep(time.Millisecond)
	}
	if err != nil {
		s.failf("server %d: %v", n.Endpoint(), err)
	}
}

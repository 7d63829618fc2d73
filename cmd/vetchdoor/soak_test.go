package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"vetchdoor/lab/loopback"
	"vetchdoor/lab/node"
	"vetchdoor/lab/platform"
	"vetchdoor/session"
)

var (
	soakSeeds = flag.Int("seeds", 6, "runs of the soak, each with a seed of its own")
	soakFirst = flag.Uint64("seed", 1, "the seed of the soak's first run")
)

// soakDuration is how long one run sends signals.
const soakDuration = 8 * time.Second

// The soak test runs the built program as real processes on loopback, sends them series of signals, and compares what
// clients observed with what the servers executed. Meanwhile servers lose answers, and clients repeat deduplicated
// writes, mostly through another proxy; the servers of a pack remember the key of such a write within a window. One
// run:
//
//	go test ./cmd/vetchdoor -run TestSoak -seeds 1 -seed N
//
// A long test uses -seeds 50 -timeout 30m. The logs of a failed run are kept, and their directory is printed.
func TestSoak(t *testing.T) {
	var crossed atomic.Int64
	t.Cleanup(func() { // runs after the parallel subtests
		if n := crossed.Load(); n < int64(minCrossed**soakSeeds) {
			t.Errorf("only %d deduplicated writes reached servers through both proxies", n)
		}
	})
	for i := range *soakSeeds {
		seed := *soakFirst + uint64(i)
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			t.Parallel()
			s := newSoak(t, seed)
			defer s.close()
			s.play()
			crossed.Add(int64(s.dedupWrites.crossed))
		})
	}
}

// soak is one run of the soak test.
type soak struct {
	t    *testing.T
	seed uint64
	rng  *rand.Rand // for the script; each client has its own
	dir  string
	host string

	ledger    *node.Ledger
	nodes     []*node.Node
	list      object // settings of the list service
	roster    *process
	pilots    []*process
	proxies   []*process
	discovery *platform.Discovery
	platform  *process

	stop        chan struct{} // closed to end the clients
	clients     sync.WaitGroup
	ops         atomic.Uint64
	mu          sync.Mutex
	outcomes    []outcome
	failures    []string
	dedupWrites tally
}

// failf records a failure; the run continues to its end.
func (s *soak) failf(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	const most = 20
	if len(s.failures) < most {
		s.failures = append(s.failures, fmt.Sprintf(format, args...))
	}
}

func newSoak(t *testing.T, seed uint64) *soak {
	dir, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", seed))
	if err != nil {
		t.Fatal(err)
	}
	s := &soak{t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 1)), dir: dir, host: loopback.Host(), stop: make(chan struct{})}
	s.startNodes()
	s.startProcesses()
	return s
}

// close stops what a failed run may have left, prints the failures, and keeps the logs of a failed run.
func (s *soak) close() {
	for _, p := range s.all() {
		p.kill()
	}
	for _, n := range s.nodes {
		n.Stop()
	}
	if s.discovery != nil {
		s.discovery.Close()
	}
	for _, f := range s.failures {
		s.t.Error(f)
	}
	if s.t.Failed() {
		s.t.Logf("to run it alone: go test ./cmd/vetchdoor -run TestSoak -seeds 1 -seed %d; logs: %s", s.seed, s.dir)
		return
	}
	os.RemoveAll(s.dir)
}

func (s *soak) all() []*process {
	all := append([]*process{s.roster, s.platform}, s.pilots...)
	return append(all, s.proxies...)
}

// play runs the script between two undisturbed periods, stops everything and checks the results.
func (s *soak) play() {
	for _, p := range s.all() {
		p.awaitReady()
	}
	for i := range 16 {
		s.clients.Go(func() { s.client(i) })
	}
	for i := range 4 {
		s.clients.Go(func() { s.platformProxy(i) })
	}
	crowd := s.rng.IntN(3) == 0
	if crowd {
		s.crowd()
	}
	var losses sync.WaitGroup
	calm := make(chan struct{})
	losses.Go(func() { s.loseAnswers(calm) })
	time.Sleep(500 * time.Millisecond)
	for end := time.Now().Add(soakDuration); time.Now().Before(end); {
		s.step()
		s.checkChannels()
		time.Sleep(time.Duration(s.rng.IntN(500)) * time.Millisecond)
	}
	close(calm)
	losses.Wait()
	s.checkSettled()
	s.end(crowd)
	s.checkOutcomes()
	s.checkRepeats()
}

// checkChannels checks rule 5, on the bounded channel to proxies, at each pilot that responds, also while parts restart: no
// session was dropped because the channel was full. It checks for panics of the decision module too.
func (s *soak) checkChannels() {
	for _, p := range s.pilots {
		info, err := session.Query("unix:"+filepath.Join(s.dir, p.name+".sock"), "show info", time.Second)
		if err != nil {
			continue // the pilot is restarting
		}
		if !strings.Contains(info, "Overflows: 0\n") || !strings.Contains(info, "Panics: 0\n") {
			s.failf("rule 5: %s reports %q", p.name, info)
		}
	}
}

// checkSettled checks the rules after the disturbances have ended: a draining server gets no ops after the grace
// period, and no proxy is without a server.
func (s *soak) checkSettled() {
	time.Sleep(2 * time.Second)
	drained, began := s.nodes[0], time.Now()
	s.setMode(0, "draining")
	time.Sleep(drainGrace + 500*time.Millisecond)
	after := time.Since(s.ledger.StartTime())
	time.Sleep(500 * time.Millisecond)
	for _, a := range s.ledger.Arrivals() {
		if a.Endpoint == drained.Endpoint() && a.At > after {
			s.failf("rule 3: proxy %d sent to a server %v after the list showed it as draining", a.Proxy,
				s.ledger.StartTime().Add(a.At).Sub(began))
			break
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range s.outcomes {
		if o.written.After(began) && o.noServer {
			s.failures = append(s.failures, fmt.Sprintf("rule 1: proxy %d had no server for op %d, with no disturbance", o.proxy, o.op))
			break
		}
	}
}

// end stops the clients and all processes, and checks for open descriptors and files that they left.
func (s *soak) end(crowd bool) {
	for _, p := range append(s.pilots, s.proxies...) {
		if n := p.descriptors(); !crowd && n > maxDescriptors {
			s.failf("%s holds %d descriptors without disturbances", p.name, n)
		}
	}
	if out, err := program("ctl", "unix:"+filepath.Join(s.dir, "pilot-0.sock"), "show", "info").Output(); err != nil ||
		!strings.Contains(string(out), "Overflows: 0\n") || !strings.Contains(string(out), "Panics: 0\n") {
		s.failf("rule 5: pilot-0 reports %q, %v", out, err)
	}
	close(s.stop)
	s.clients.Wait()
	for _, p := range append(append([]*process{s.platform}, s.proxies...), append(s.pilots, s.roster)...) {
		p.terminate()
		p.awaitEnd()
	}
	left, err := filepath.Glob(filepath.Join(s.dir, "*"))
	if err != nil {
		s.failf("%v", err)
	}
	for _, path := range left {
		if name := filepath.Base(path); !strings.HasSuffix(name, ".json") && !strings.HasSuffix(name, ".log") {
			s.failf("%s was left behind", name)
		}
	}
}

// checkOutcomes compares what clients observed with what servers executed.
func (s *soak) checkOutcomes() {
	effects := map[uint64]int{}
	for _, e := range s.ledger.Effects() {
		if e.Op != 0 {
			effects[e.Op]++
		}
	}
	for _, what := range s.ledger.MixUps() {
		s.failf("%s", what)
	}
	for _, f := range s.ledger.Crashes() {
		s.failf("rule 4: server %d was overloaded while cold, at %v", f.Endpoint, f.At.Round(time.Millisecond))
	}
	statuses := map[int]int{}
	for _, o := range s.outcomes {
		if o.pipelinedBehind {
			if effects[o.op] > 0 {
				s.failf("op %d, pipelined behind the last answer of a connection, took effect", o.op)
			}
			continue
		}
		statuses[o.status]++
		if o.lost != "" {
			s.failf("op %d to proxy %d, written %v after the start, got no complete answer: %s", o.op, o.proxy,
				o.written.Sub(s.ledger.StartTime()).Round(time.Millisecond), o.lost)
		}
		if n := effects[o.op]; o.opType == writeType && n > 1 { // checkRepeats checks deduplicated writes
			s.failf("op %d took effect %d times", o.op, n)
		} else if o.opType != readType && o.status == 200 && n == 0 {
			s.failf("op %d was acked but not executed", o.op)
		}
	}
	s.t.Logf("seed %d: %d ops, by status %v", s.seed, len(s.outcomes), statuses)
	if statuses[200] < 100 {
		s.failf("only %d ops were acked", statuses[200])
	}
}

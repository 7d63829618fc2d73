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

// soakFor is how long signals come in one run.
const soakFor = 8 * time.Second

// The soak plays the built program as real processes on loopback, sends them signals in series, and holds what clients saw
// against what the servers did. Servers lose answers meanwhile, and clients repeat marked writes, whose key the servers of one pack know
// within a window, mostly through another proxy. One run:
//
//	go test ./cmd/vetchdoor -run TestSoak -seeds 1 -seed N
//
// and the long one: -seeds 50 -timeout 30m. The logs of a run that fails are kept, and their folder is said.
func TestSoak(t *testing.T) {
	var crossed atomic.Int64
	t.Cleanup(func() { // after all runs
		if n := crossed.Load(); n < int64(leastCrossed**soakSeeds) {
			t.Errorf("only %d marked writes reached servers through both proxies", n)
		}
	})
	for i := range *soakSeeds {
		seed := *soakFirst + uint64(i)
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			t.Parallel()
			s := newSoak(t, seed)
			defer s.close()
			s.play()
			crossed.Add(int64(s.marked.crossed))
		})
	}
}

// soak is one run.
type soak struct {
	t    *testing.T
	seed uint64
	rng  *rand.Rand // of the script; the clients have their own
	dir  string
	host string

	ledger    *node.Ledger
	nodes     []*node.Node
	list      object // the list service's file
	roster    *process
	pilots    []*process
	proxies   []*process
	discovery *platform.Discovery
	platform  *process

	stop     chan struct{} // ends the clients
	clients  sync.WaitGroup
	ops      atomic.Uint64
	mu       sync.Mutex
	outcomes []outcome
	failures []string
	marked   tally
}

// failf notes a failure; the run goes on to its end.
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

// close ends what a run that failed may have left, and keeps its logs.
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
		s.t.Logf("alone: go test ./cmd/vetchdoor -run TestSoak -seeds 1 -seed %d; logs: %s", s.seed, s.dir)
		return
	}
	os.RemoveAll(s.dir)
}

func (s *soak) all() []*process {
	all := append([]*process{s.roster, s.platform}, s.pilots...)
	return append(all, s.proxies...)
}

// play runs the script between two calm spells, ends everything and looks at what there is to show for it.
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
	for end := time.Now().Add(soakFor); time.Now().Before(end); {
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

// checkChannels looks at the queue of each pilot that answers (rule 5), whatever is going on.
func (s *soak) checkChannels() {
	for _, p := range s.pilots {
		info, err := session.Query("unix:"+filepath.Join(s.dir, p.name+".sock"), "show info", time.Second)
		if err != nil {
			continue // it is not there just now
		}
		if !strings.Contains(info, "Overflows: 0\n") || !strings.Contains(info, "Panics: 0\n") {
			s.failf("rule 5: %s says %q", p.name, info)
		}
	}
}

// checkSettled looks at the rules once nothing is disturbed any more: a server that drains gets nothing after the grace, and
// nobody is without a server.
func (s *soak) checkSettled() {
	time.Sleep(2 * time.Second)
	drained, began := s.nodes[0], time.Now()
	s.setMode(0, "draining")
	time.Sleep(drainGrace + 500*time.Millisecond)
	after := time.Since(s.ledger.StartTime())
	time.Sleep(500 * time.Millisecond)
	for _, a := range s.ledger.Arrivals() {
		if a.Endpoint == drained.Endpoint() && a.At > after {
			s.failf("rule 3: proxy %d sent to a server %v after the list had said that it drains", a.Proxy, s.ledger.StartTime().Add(a.At).Sub(began))
			break
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range s.outcomes {
		if o.written.After(began) && o.bare {
			s.failures = append(s.failures, fmt.Sprintf("rule 1: proxy %d had no server for op %d, undisturbed", o.proxy, o.op))
			break
		}
	}
}

// end stops the clients and every process, and looks at what they leave.
func (s *soak) end(crowd bool) {
	for _, p := range append(s.pilots, s.proxies...) {
		if n := p.descriptors(); !crowd && n > mostDescriptors {
			s.failf("%s holds %d descriptors when all is calm", p.name, n)
		}
	}
	if out, err := program("ctl", "unix:"+filepath.Join(s.dir, "pilot-0.sock"), "show", "info").Output(); err != nil || !strings.Contains(string(out), "Overflows: 0\n") || !strings.Contains(string(out), "Panics: 0\n") {
		s.failf("rule 5: pilot-0 says %q, %v", out, err)
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
			s.failf("%s was left", name)
		}
	}
}

// checkOutcomes holds what clients saw against what servers did.
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
		s.failf("rule 4: server %d was pushed over as it was cold, at %v", f.Endpoint, f.At.Round(time.Millisecond))
	}
	statuses := map[int]int{}
	for _, o := range s.outcomes {
		if o.behind {
			if effects[o.op] > 0 {
				s.failf("op %d, sent behind the last answer of a connection, took effect", o.op)
			}
			continue
		}
		statuses[o.status]++
		if o.lost != "" {
			s.failf("op %d to proxy %d, written %v after the start, got no whole answer: %s", o.op, o.proxy, o.written.Sub(s.ledger.StartTime()).Round(time.Millisecond), o.lost)
		}
		if n := effects[o.op]; o.opType == writeType && n > 1 { // checkRepeats looks at marked ones
			s.failf("op %d took effect %d times", o.op, n)
		} else if o.opType != readType && o.status == 200 && n == 0 {
			s.failf("op %d was acked and never carried out", o.op)
		}
	}
	s.t.Logf("seed %d: %d ops, by status %v", s.seed, len(s.outcomes), statuses)
	if statuses[200] < 100 {
		s.failf("only %d ops were acked", statuses[200])
	}
}

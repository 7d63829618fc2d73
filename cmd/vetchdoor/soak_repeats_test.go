package main

import (
	"bufio"
	"cmp"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"vetchdoor/lab/node"
)

// Deduplicated writes: the window, and the timing of the clients' repeats.
const (
	dedupWindow   = 6 * time.Second
	repeatWithin  = dedupWindow * 7 / 10 // since the first try; the rest of the window is a margin for delays
	repeatPause   = 2 * time.Second      // maximum pause between two tries
	sameProxyEach = 5                    // one in sameProxyEach repeats goes to the same proxy again
)

// Answers that servers lose on purpose.
const (
	maxLostShare = 0.5                    // maximum share of lost answers
	lostInterval = 400 * time.Millisecond // interval at which the shares are changed
)

// minCrossed is the required number of deduplicated writes that reach servers through both proxies, as a mean over
// the runs; with fewer, checkRepeats would check next to nothing.
const minCrossed = 5

// tally counts the deduplicated writes of a run.
type tally struct {
	writes, repeats, elsewhere, rejected int // tries seen by clients; elsewhere: repeats to another proxy
	crossed                              int // writes that reached servers through both proxies
	effects, doubled, late               int // doubled and late: additional effects of one write, within the window and after it
}

func (y tally) String() string {
	return fmt.Sprintf("%d deduplicated writes, %d repeats, %d of them through another proxy, %d writes reached servers through both; %d effects, %d repeated within the window, %d after it; %d rejections",
		y.writes, y.repeats, y.elsewhere, y.crossed, y.effects, y.doubled, y.late, y.rejected)
}

// loseAnswers makes servers lose answers until stop is closed: each server a random share up to maxLostShare, half of the
// time none. An op whose answer is lost has been executed.
func (s *soak) loseAnswers(stop <-chan struct{}) {
	rng := rand.New(rand.NewPCG(s.seed, 2))
	for again := true; again; {
		for _, n := range s.nodes {
			share := maxLostShare * float64(rng.IntN(2)) * rng.Float64()
			n.UpdateFaults(func(t *node.Faults) { t.LostAnswerShare = share })
		}
		select {
		case <-stop:
			again = false
		case <-time.After(lostInterval):
		}
	}
	for _, n := range s.nodes {
		n.UpdateFaults(func(t *node.Faults) { t.LostAnswerShare = 0 })
	}
}

// isRepeatable reports whether the client repeats the op: a deduplicated write that got status 5xx or no complete
// answer. Writes pipelined behind the last answer of a connection are not repeated: they were not executed, which
// checkOutcomes verifies.
func (o *outcome) isRepeatable() bool {
	return o.opType == dedupType && !o.pipelinedBehind && (o.status >= 500 || o.lost != "")
}

// repeat sends a deduplicated write again, mostly through another proxy, until it succeeds or the dedup window is about
// to end.
func (s *soak) repeat(o outcome) {
	rng := rand.New(rand.NewPCG(s.seed, 1000+o.op))
	for o.isRepeatable() && s.pause(time.Duration(rng.Float64()*rng.Float64()*float64(repeatPause))) {
		proxy := o.proxy
		if rng.IntN(sameProxyEach) > 0 {
			proxy = (proxy + 1 + rng.IntN(len(s.proxies)-1)) % len(s.proxies)
		}
		c, err := net.DialTimeout("tcp", s.proxies[proxy].address, time.Second)
		if time.Since(o.begun) > repeatWithin {
			if err == nil {
				c.Close()
			}
			return
		}
		if err != nil {
			continue
		}
		o = outcome{op: o.op, opType: o.opType, try: o.try + 1, proxy: proxy, previousProxy: o.proxy, large: o.large, work: o.work,
			begun: o.begun}
		s.ask(c, bufio.NewReader(c), &o, rng)
		c.Close()
		s.record(o)
	}
}

// pause waits; it returns false if the run ends meanwhile.
func (s *soak) pause(d time.Duration) bool {
	select {
	case <-s.stop:
		return false
	case <-time.After(d):
		return true
	}
}

// checkRepeats checks that no deduplicated write took effect twice within the window, which is counted from the arrival of
// the try that took effect before.
func (s *soak) checkRepeats() {
	s.countTries()
	s.dedupWrites.crossed = s.countCrossed()
	effects := map[uint64][]node.Effect{}
	for _, e := range s.ledger.Effects() {
		if e.OpType == dedupType {
			effects[e.Op] = append(effects[e.Op], e)
			s.dedupWrites.effects++
		}
	}
	for op, of := range effects {
		slices.SortFunc(of, func(a, b node.Effect) int { return cmp.Compare(a.ArrivedAt, b.ArrivedAt) })
		for i := 1; i < len(of); i++ {
			if after := of[i].ArrivedAt - of[i-1].ArrivedAt; after >= dedupWindow {
				s.dedupWrites.late++
			} else {
				s.dedupWrites.doubled++
				s.failf("op %d took effect at server %d and, with a try that arrived %v later, at server %d", op, of[i-1].Endpoint,
					after.Round(time.Millisecond), of[i].Endpoint)
			}
		}
	}
	s.t.Logf("seed %d: %v", s.seed, s.dedupWrites)
}

// countTries counts the clients' tries of deduplicated writes.
func (s *soak) countTries() {
	for _, o := range s.outcomes {
		if o.opType != dedupType {
			continue
		}
		if o.status == 503 {
			s.dedupWrites.rejected++
		}
		if o.try == 0 {
			s.dedupWrites.writes++
			continue
		}
		if s.dedupWrites.repeats++; o.proxy != o.previousProxy {
			s.dedupWrites.elsewhere++
		}
	}
}

// countCrossed returns the number of deduplicated writes that servers accepted from more than one proxy.
func (s *soak) countCrossed() (count int) {
	from := map[uint64]map[int]bool{}
	for _, a := range s.ledger.Arrivals() {
		if a.OpType != dedupType || !a.Accepted {
			continue
		}
		if from[a.Op] == nil {
			from[a.Op] = map[int]bool{}
		}
		from[a.Op][a.Proxy] = true
	}
	for _, proxies := range from {
		if len(proxies) > 1 {
			count++
		}
	}
	return count
}

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

// Of marked writes.
const (
	dedupWindow  = 6 * time.Second
	repeatWithin = dedupWindow * 7 / 10 // of its first try a client repeats one; the rest is for the way
	repeatPause  = 2 * time.Second      // at most, between two tries
	sameEach     = 5                    // one repeat in so many goes to the same proxy again
)

// Of the answers that servers lose.
const (
	lostMost  = 0.5                    // the largest share
	lostEvery = 400 * time.Millisecond // shares are drawn anew
)

// leastCrossed is how many marked writes of a run, on average over all, must have reached servers through both proxies; with fewer,
// checkRepeats sees next to nothing.
const leastCrossed = 5

// tally counts what became of a run's marked writes.
type tally struct {
	writes, repeats, elsewhere, refused int // as clients saw them; elsewhere: repeats that went to another proxy than the try before
	crossed                             int // reached servers through both proxies
	effects, doubled, late              int // doubled and late: second effects of one write, inside the window and after it
}

func (y tally) String() string {
	return fmt.Sprintf("%d marked writes, %d repeats, %d of them through another proxy, %d writes ran through both; %d effects, %d second ones in the window, %d after it; %d refusals",
		y.writes, y.repeats, y.elsewhere, y.crossed, y.effects, y.doubled, y.late, y.refused)
}

// loseAnswers has servers lose answers until the stop is closed: each one up to lostMost of them or, half of the time, none. An op whose
// answer is lost has run.
func (s *soak) loseAnswers(stop <-chan struct{}) {
	rng := rand.New(rand.NewPCG(s.seed, 2))
	for again := true; again; {
		for _, n := range s.nodes {
			share := lostMost * float64(rng.IntN(2)) * rng.Float64()
			n.UpdateFaults(func(t *node.Faults) { t.LostAnswerShare = share })
		}
		select {
		case <-stop:
			again = false
		case <-time.After(lostEvery):
		}
	}
	for _, n := range s.nodes {
		n.UpdateFaults(func(t *node.Faults) { t.LostAnswerShare = 0 })
	}
}

// isRepeatable tells whether a client asks again: for a marked write that was answered 5xx or not at all. One that was sent behind a
// connection's last answer was not carried out; checkOutcomes holds that, so it is not repeated.
func (o *outcome) isRepeatable() bool {
	return o.opType == markedType && !o.behind && (o.status >= 500 || o.lost != "")
}

// repeat asks again for a marked write, mostly through another proxy, until it is answered well or too late for the servers to know it.
func (s *soak) repeat(o outcome) {
	rng := rand.New(rand.NewPCG(s.seed, 1000+o.op))
	for o.isRepeatable() && s.rest(time.Duration(rng.Float64()*rng.Float64()*float64(repeatPause))) {
		proxy := o.proxy
		if rng.IntN(sameEach) > 0 {
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
		o = outcome{op: o.op, opType: o.opType, try: o.try + 1, proxy: proxy, before: o.proxy, large: o.large, work: o.work, begun: o.begun}
		s.ask(c, bufio.NewReader(c), &o, rng)
		c.Close()
		s.book(o)
	}
}

// rest waits; false if the run ends meanwhile.
func (s *soak) rest(d time.Duration) bool {
	select {
	case <-s.stop:
		return false
	case <-time.After(d):
		return true
	}
}

// checkRepeats holds that no marked write took effect twice, unless the try that had the later effect came after the window.
func (s *soak) checkRepeats() {
	s.countTries()
	s.marked.crossed = s.countCrossed()
	effects := map[uint64][]node.Effect{}
	for _, e := range s.ledger.Effects() {
		if e.OpType == markedType {
			effects[e.Op] = append(effects[e.Op], e)
			s.marked.effects++
		}
	}
	for op, of := range effects {
		slices.SortFunc(of, func(a, b node.Effect) int { return cmp.Compare(a.ArrivedAt, b.ArrivedAt) })
		for i := 1; i < len(of); i++ {
			if after := of[i].ArrivedAt - of[i-1].ArrivedAt; after >= dedupWindow {
				s.marked.late++
			} else {
				s.marked.doubled++
				s.failf("op %d took effect at server %d and, come %v later, at server %d", op, of[i-1].Endpoint, after.Round(time.Millisecond), of[i].Endpoint)
			}
		}
	}
	s.t.Logf("seed %d: %v", s.seed, s.marked)
}

// countTries counts the clients' tries of marked writes.
func (s *soak) countTries() {
	for _, o := range s.outcomes {
		if o.opType != markedType {
			continue
		}
		if o.status == 503 {
			s.marked.refused++
		}
		if o.try == 0 {
			s.marked.writes++
			continue
		}
		if s.marked.repeats++; o.proxy != o.before {
			s.marked.elsewhere++
		}
	}
}

// countCrossed counts the marked writes that servers took in from more than one proxy.
func (s *soak) countCrossed() (count int) {
	from := map[uint64]map[int]bool{}
	for _, a := range s.ledger.Arrivals() {
		if a.OpType != markedType || !a.Accepted {
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

// Package fleet decides which pilot a proxy dials and when, and which proxies a pilot admits. It does no I/O: the caller
// reports the results of dials to a Selector, which returns the next address and wait; an Admission answers whether a
// proxy is admitted.
package fleet

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Pilot is the address at which a pilot listens, and its zone.
type Pilot struct {
	Address string
	Zone    string
}

// Durations as ratios to the redial wait, and the spreads of random waits.
const (
	maxBackoff     = 4.0  // longest mean wait; the mean doubles with each round up to it
	probeInterval  = 60.0 // shortest time between probes of the preferred pilot
	probeSpread    = 2.0  // longest time between probes, as a multiple of the shortest
	jitter         = 0.5  // share of each wait by which it varies up and down
	stableDuration = 20.0 // a stream that lasted this long resets the backoff
)

// Selector holds one proxy's ranking of the pilots and the state of its dials. Pilots of the proxy's own zone rank first;
// within that, the order is by a rendezvous hash of both names. So each proxy has one preferred pilot, and the proxies of
// a pilot that fails spread evenly over the others.
type Selector struct {
	redial         time.Duration
	rng            *rand.Rand
	ranked         []Pilot
	next           int           // index in ranked of the next dial of this round
	redirect       string        // address that a pilot redirected this proxy to; empty: none
	redirected     bool          // a redirect was followed within this round
	failedRounds   int           // since the last stable stream
	connectedTo    string        // address of the pilot whose stream is up; empty: none
	connectedSince time.Duration // since the proxy's start
	nextProbe      time.Duration // since the proxy's start
}

// NewSelector ranks the pilots for a proxy. redial is the mean wait after the first round of dials in which no pilot
// admitted the proxy.
func NewSelector(proxy, zone string, pilots []Pilot, redial time.Duration, rng *rand.Rand) *Selector {
	s := &Selector{redial: redial, rng: rng, ranked: slices.Clone(pilots)}
	slices.SortStableFunc(s.ranked, func(a, b Pilot) int {
		return cmp.Or(
			cmp.Compare(zoneDistance(zone, a), zoneDistance(zone, b)),
			cmp.Compare(rendezvousScore(proxy, a), rendezvousScore(proxy, b)),
			strings.Compare(a.Address, b.Address))
	})
	return s
}

// zoneDistance returns 0 for a pilot of the zone and 1 for any other.
func zoneDistance(zone string, p Pilot) int {
	if p.Zone == zone {
		return 0
	}
	return 1
}

// rendezvousScore returns the rank of a pilot for a proxy; the pilot with the lowest score is preferred.
func rendezvousScore(proxy string, p Pilot) float64 {
	hash := xxhash.Sum64String(proxy + "\x00" + p.Address)
	return -math.Log((float64(hash>>11) + 0.5) / (1 << 53))
}

// Ranked returns the addresses of the pilots, the preferred one first.
func (s *Selector) Ranked() (addresses []string) {
	for _, p := range s.ranked {
		addresses = append(addresses, p.Address)
	}
	return addresses
}

// Next returns the address to dial next, and the wait before it. The address is empty if there are no pilots.
func (s *Selector) Next() (address string, wait time.Duration) {
	if len(s.ranked) == 0 {
		return "", s.jittered(maxBackoff)
	}
	if s.redirect != "" && !s.redirected {
		address, s.redirect, s.redirected = s.redirect, "", true
		return address, 0
	}
	if s.next >= len(s.ranked) {
		wait = s.nextRound()
	}
	s.next++
	return s.ranked[s.next-1].Address, wait
}

// nextRound starts a new round of dials at the preferred pilot and returns the wait before it.
func (s *Selector) nextRound() (wait time.Duration) {
	wait = s.jittered(min(maxBackoff, math.Pow(2, float64(s.failedRounds))))
	s.next, s.redirected = 0, false
	s.failedRounds++
	return wait
}

// jittered returns a random wait whose mean is given as a ratio to the redial wait.
func (s *Selector) jittered(ratio float64) time.Duration {
	return time.Duration(ratio * (1 - jitter + 2*jitter*s.rng.Float64()) * float64(s.redial))
}

// Failed reports that a dial failed or that a pilot did not admit the proxy; redirect is the address that the pilot named
// instead, or empty. A redirect to an unknown address is ignored.
func (s *Selector) Failed(redirect string) {
	if redirect != "" && slices.ContainsFunc(s.ranked, func(p Pilot) bool { return p.Address == redirect }) {
		s.redirect = redirect
	}
}

// Connected reports that a pilot admitted the proxy.
func (s *Selector) Connected(now time.Duration, address string) {
	s.connectedTo, s.connectedSince = address, now
	s.redirect, s.redirected = "", false
	s.scheduleProbe(now)
}

// Disconnected reports that the stream ended, and returns the wait before the next dial. The next round starts at the
// preferred pilot. The wait depends on how long the stream lasted, so that a pilot which admits proxies and then drops
// them is not dialled in a tight loop.
func (s *Selector) Disconnected(now time.Duration, redirect string) (wait time.Duration) {
	if now-s.connectedSince >= s.ratio(stableDuration) {
		s.failedRounds = 0
	}
	wait = s.nextRound()
	s.connectedTo = ""
	if s.Failed(redirect); s.redirect != "" { // no backoff for a redirected proxy, whose move is planned
		wait = s.jittered(jitter)
	}
	return wait
}

// ProbeDue reports whether it is time to probe whether the preferred pilot has room, because the proxy is connected to
// another one. It returns the preferred pilot's address and schedules the next probe.
func (s *Selector) ProbeDue(now time.Duration) (address string, due bool) {
	if s.connectedTo == "" || len(s.ranked) == 0 || s.connectedTo == s.ranked[0].Address || now < s.nextProbe {
		return "", false
	}
	s.scheduleProbe(now)
	return s.ranked[0].Address, true
}

// scheduleProbe sets the time of the next probe at random.
func (s *Selector) scheduleProbe(now time.Duration) {
	s.nextProbe = now + s.ratio(probeInterval*(1+(probeSpread-1)*s.rng.Float64()))
}

// ratio returns a duration that is given as a ratio to the redial wait.
func (s *Selector) ratio(ratio float64) time.Duration {
	return time.Duration(ratio * float64(s.redial))
}

// Reset makes the next dial go to the preferred pilot without backoff, after a probe has found room there.
func (s *Selector) Reset() { s.next, s.redirect, s.redirected, s.failedRounds = 0, "", false, 0 }

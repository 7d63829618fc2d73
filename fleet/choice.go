// Package fleet decides which pilot a proxy dials and when, and whom a pilot lets in. It is free of I/O: a Choice is told
// what came of a dial and says what to do next; a Door is told of hellos and says what to answer.
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

// At is where a pilot listens, and its zone.
type At struct {
	Address string
	Zone    string
}

// Waits are how a proxy dials: Redial is the mean wait after a round in which no pilot took it, the first time; the rest are
// ratios to it.
type Waits struct {
	Redial time.Duration
}

// Ratios to the first wait.
const (
	mostWait   = 4.0  // times as long at most, doubled with each round
	homeWait   = 60.0 // until a proxy that is not with its first choice looks whether that is there again, at least
	homeSpread = 2.0  // and so many times as long at most, by chance
	jitter     = 0.5  // of each wait, up and down
	steadyFor  = 20.0 // a stream that stood so long clears what was counted against dialling
)

// Choice is one proxy's view of the pilots: those of its own zone first, each zone's in the order of a hash of both names, so
// that the proxies of a pilot that goes spread evenly over the others and each has one home.
type Choice struct {
	waits  Waits
	rng    *rand.Rand
	ranked []At
	next   int    // in the round
	hint   string // where a pilot that was full said to go
	hinted bool   // within this round
	round  int    // without success
	on     string // whose stream is up
	since  time.Duration
	homeAt time.Duration // when to look for home
}

// NewChoice ranks pilots for a proxy.
func NewChoice(proxy string, zone string, pilots []At, w Waits, rng *rand.Rand) *Choice {
	c := &Choice{waits: w, rng: rng, ranked: slices.Clone(pilots)}
	score := func(at At) float64 {
		h := xxhash.Sum64String(proxy + "\x00" + at.Address)
		return -math.Log((float64(h>>11) + 0.5) / (1 << 53))
	}
	far := func(at At) int {
		if at.Zone == zone {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(c.ranked, func(a, b At) int {
		return cmp.Or(cmp.Compare(far(a), far(b)), cmp.Compare(score(a), score(b)), strings.Compare(a.Address, b.Address))
	})
	return c
}

// Ranked returns the addresses, the first choice first.
func (c *Choice) Ranked() (out []string) {
	for _, at := range c.ranked {
		out = append(out, at.Address)
	}
	return out
}

func (c *Choice) spread(d float64) time.Duration {
	return time.Duration(d * (1 - jitter + 2*jitter*c.rng.Float64()) * float64(c.waits.Redial))
}

// Dial returns whom to dial next, after a wait.
func (c *Choice) Dial() (address string, wait time.Duration) {
	if len(c.ranked) == 0 {
		return "", c.spread(mostWait)
	}
	if c.hint != "" && !c.hinted {
		address, c.hint, c.hinted = c.hint, "", true
		return address, 0
	}
	if c.next >= len(c.ranked) {
		wait = c.spread(min(mostWait, math.Pow(2, float64(c.round))))
		c.next, c.hinted = 0, false
		c.round++
	}
	c.next++
	return c.ranked[c.next-1].Address, wait
}

// Failed says that a dial came to nothing, or that a pilot refused; hint is where that said to go, empty: nowhere. One that
// nobody of the known pilots listens at is not followed.
func (c *Choice) Failed(hint string) {
	if hint != "" && slices.ContainsFunc(c.ranked, func(a At) bool { return a.Address == hint }) {
		c.hint = hint
	}
}

// Up says that a pilot took the proxy.
func (c *Choice) Up(now time.Duration, address string) {
	c.on, c.since, c.hint, c.hinted = address, now, "", false
	c.homeAt = now + time.Duration(homeWait*(1+(homeSpread-1)*c.rng.Float64())*float64(c.waits.Redial))
}

// Down says that its stream ended. The round begins anew with the first choice; how long it waits depends on how long the
// stream stood, so that a pilot which takes everybody and drops them is not dialled without end.
func (c *Choice) Down(now time.Duration, hint string) (wait time.Duration) {
	if now-c.since >= time.Duration(steadyFor*float64(c.waits.Redial)) {
		c.round = 0
	}
	wait = c.spread(min(mostWait, math.Pow(2, float64(c.round))))
	c.on, c.next, c.hinted = "", 0, false
	c.round++
	if c.Failed(hint); c.hint != "" { // it was told where to go: nothing is wrong
		wait = c.spread(jitter)
	}
	return wait
}

// Home returns the first choice if it is time to look whether it is there again, and sets the next time.
func (c *Choice) Home(now time.Duration) (address string, ok bool) {
	if c.on == "" || len(c.ranked) == 0 || c.on == c.ranked[0].Address || now < c.homeAt {
		return "", false
	}
	c.homeAt = now + time.Duration(homeWait*(1+(homeSpread-1)*c.rng.Float64())*float64(c.waits.Redial))
	return c.ranked[0].Address, true
}

// GoHome has the next dial begin with the first choice at once: it is there.
func (c *Choice) GoHome() { c.next, c.hint, c.hinted, c.round = 0, "", false, 0 }

// Door is whom a pilot lets in.
type Door struct {
	Most    int      // proxies at a time; 0: any number
	Others  []string // where other pilots listen
	Ready   bool     // its list is fresh, or the cached one declared good
	Leaving bool     // it ends soon
}

// Answer is a pilot's to a hello: let in, or why not and where to go.
type Answer struct {
	In   bool
	Why  string
	Hint string
}

// Hello answers a proxy that is not joined; joined is how many are.
func (d *Door) Hello(proxy string, joined int) Answer {
	a := Answer{Hint: d.other(proxy)}
	switch {
	case d.Leaving:
		a.Why = "this pilot ends"
	case !d.Ready:
		a.Why = "no list yet"
	case d.Most > 0 && joined >= d.Most:
		a.Why = "full"
	default:
		return Answer{In: true}
	}
	return a
}

// other is another pilot for a proxy, each proxy its own, so that those that are sent away spread.
func (d *Door) other(proxy string) string {
	best, most := "", uint64(0)
	for _, o := range d.Others {
		if h := xxhash.Sum64String(proxy + "\x00" + o); best == "" || h > most {
			best, most = o, h
		}
	}
	return best
}

// Leave returns how many streams to send away now, looked at each step, so that the last of them goes when a quarter of all
// the time is left: evenly, at least one.
func Leave(streams int, left, all, step time.Duration) int {
	steps := int((left - all/4) / max(step, 1))
	if steps < 1 {
		return streams
	}
	return min(streams, (streams+steps-1)/steps)
}

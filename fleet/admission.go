package fleet

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Admission decides which proxies a pilot admits.
type Admission struct {
	MaxProxies int      // limit on connected proxies; 0: no limit
	Peers      []string // addresses of other pilots
	Ready      bool     // the pilot has a list of servers to send
	Leaving    bool     // the pilot shuts down
}

// Decision is a pilot's answer to a proxy.
type Decision struct {
	Admitted bool
	Reason   string // why the proxy is not admitted
	Redirect string // address of a pilot to dial instead; empty if none is known
}

// Admit decides on a proxy that is not connected; joined is the number of connected ones.
func (a *Admission) Admit(proxy string, joined int) Decision {
	reason := ""
	switch {
	case a.Leaving:
		reason = "this pilot ends"
	case !a.Ready:
		reason = "no list yet"
	case a.MaxProxies > 0 && joined >= a.MaxProxies:
		reason = "full"
	default:
		return Decision{Admitted: true}
	}
	return Decision{Reason: reason, Redirect: a.Redirect(proxy)}
}

// Redirect returns the address of the pilot that a proxy is redirected to, selected by a hash of both names, so that
// redirected proxies spread over the peers. It is empty if there are no peers.
func (a *Admission) Redirect(proxy string) (address string) {
	highest := uint64(0)
	for _, peer := range a.Peers {
		if hash := xxhash.Sum64String(proxy + "\x00" + peer); address == "" || hash > highest {
			address, highest = peer, hash
		}
	}
	return address
}

// LeaveBatch returns how many of a leaving pilot's remaining streams to redirect in this step, at least one. left is the
// time until the deadline, total the whole time and step the time between steps. The streams are redirected evenly, the
// last of them when a quarter of the total time is left.
func LeaveBatch(streams int, left, total, step time.Duration) int {
	steps := int((left - total/4) / max(step, 1))
	if steps < 1 {
		return streams
	}
	return min(streams, (streams+steps-1)/steps)
}

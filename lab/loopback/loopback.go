// Package loopback gives simulations and tests loopback addresses that no other process uses. A port that is free on
// 127.0.0.1 may be taken by another program before it is listened on, or between the stop and restart of its owner; a port
// on an address of its own stays free.
package loopback

import (
	"fmt"
	"os"
	"sync/atomic"
)

var hostsIssued atomic.Uint32

// Host returns an IPv4 loopback address within 127.64.0.0/10 that differs from call to call, and from those of other
// processes unless their process IDs differ by a multiple of 16,384. The addresses repeat after 250 calls.
func Host() string {
	pid, n := os.Getpid(), hostsIssued.Add(1)
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>8&0x3f, pid&0xff, 1+n%250)
}

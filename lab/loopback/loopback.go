// Package loopback gives rehearsals and tests loopback addresses that no other process uses. A port that is free on
// 127.0.0.1 may be another program's by the time it is listened on, or while its owner is down between two starts; one on an
// address of the caller's own stays free.
package loopback

import (
	"fmt"
	"os"
	"sync/atomic"
)

var given atomic.Uint32

// Host returns an IPv4 loopback address (127.0.0.0/8) that differs from call to call, and from those of other processes
// unless their ids differ by a multiple of 16,384. After 250 calls they come again.
func Host() string {
	pid, n := os.Getpid(), given.Add(1)
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>8&0x3f, pid&0xff, 1+n%250)
}

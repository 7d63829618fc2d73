//go:build race

package stream

import (
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"
)

// With the race detector, netpoll finds the connection of an event by descriptor: a late event of a connection that has been
// closed is delivered to the connection that has reused its descriptor.

// maxFalseCloseRetries is how often a dial is retried if netpoll reports that the peer has closed, because the report may
// belong to an earlier connection with the same descriptor.
const maxFalseCloseRetries = 3

// Range of the descriptors of accepted connections. They are used in turn, so that a descriptor is reused as late as
// possible.
const (
	firstAcceptedDescriptor = 1 << 13
	acceptedDescriptors     = 1 << 12
)

// acceptedCount counts the accepted connections of the process.
var acceptedCount atomic.Int64

// moveDescriptor moves an accepted descriptor to a number that was not used recently. It returns the descriptor unchanged if
// the limit of open files does not allow such a number.
func moveDescriptor(fd int) int {
	least := firstAcceptedDescriptor + int(acceptedCount.Add(1)%acceptedDescriptors)
	moved, err := unix.FcntlInt(uintptr(fd), unix.F_DUPFD_CLOEXEC, least)
	if err != nil {
		return fd
	}
	_ = syscall.Close(fd)
	return moved
}

//go:build !race

package stream

// Without the race detector, netpoll finds the connection of an event by pointer, so its reports that a peer has closed are
// reliable, and the workarounds in race.go are not needed.

// maxFalseCloseRetries is how often a dial is retried if netpoll reports that the peer has closed.
const maxFalseCloseRetries = 0

// moveDescriptor returns an accepted descriptor unchanged.
func moveDescriptor(fd int) int { return fd }

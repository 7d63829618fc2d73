package lab

import (
	"runtime"
	"testing"

	"vetchdoor/files"
)

// coresPerDay is what a day in real time may take of the machine, the race detector's part included.
const coresPerDay = 8

// realTime admits days that are played in real time: side by side, on a machine that has other work too, they make each other
// late, and what is late breaks the spans that a day states.
var realTime = make(chan struct{}, max(1, runtime.GOMAXPROCS(0)/coresPerDay))

// playDay plays a day in real time once there is room for it.
func playDay(t *testing.T, day *files.Day, o Options) (*Report, error) {
	t.Helper()
	realTime <- struct{}{}
	defer func() { <-realTime }()
	return Run(t.Context(), day, o)
}

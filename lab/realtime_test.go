package lab

import (
	"runtime"
	"testing"

	"vetchdoor/files"
)

// coresPerDay is the number of cores that one day in real time may need, under the race detector too.
const coresPerDay = 8

// realTimeSlots limits how many days are played in real time at once: too many at once delay each other, and the delays
// break the time limits of the days.
var realTimeSlots = make(chan struct{}, max(1, runtime.GOMAXPROCS(0)/coresPerDay))

// playDay plays a day in real time once a slot is free.
func playDay(t *testing.T, day *files.Day, o Options) (*Report, error) {
	t.Helper()
	realTimeSlots <- struct{}{}
	defer func() { <-realTimeSlots }()
	return Run(t.Context(), day, o)
}

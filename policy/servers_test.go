package policy_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"
)

// An instance that runs for months must forget servers that are gone for good. Their ids add up where each release
// brings new ones.
func TestForgetsGoneServers(t *testing.T) {
	r := newRunner(t)
	r.play("list 1/0*2 2/0*2 3/1*2 4/1*2\njoin 1/0 10 2/1 10\nhears 1,2,3,4 20 0 50\nasks 1,2 10\nrun 20")
	heapBytes := func() uint64 {
		var stats runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&stats)
		return stats.HeapAlloc
	}
	r.orderLog = nil
	before := heapBytes()
	for id := range 2000 {
		r.play(fmt.Sprintf("change %d/0*2", 1000+id))
		r.play(fmt.Sprintf("change %d/0:gone", 1000+id))
		r.runUntil(r.now + time.Second)
		r.orderLog = nil
	}
	r.entries, r.tableLines, r.withdrawn = nil, nil, nil
	if retained := int64(heapBytes()) - int64(before); retained > 100<<10 {
		t.Errorf("%d KB are retained for 2000 servers that are gone", retained>>10)
	}
	runtime.KeepAlive(r)
}

// A cold server must not be overloaded (rule 4), even if it suddenly gets all work of its cell, which the statistics show
// too late.
func TestColdServerUnderBurstOfItsCell(t *testing.T) {
	r := newRunner(t)
	r.play("list 1/0*2 2/0*2 3/1*2 4/1*2\njoin 1/0 10 2/1 10\nhears 1,2,3,4 20 0 67\nasks 1,2 10\nrun 20\nchange 1/0@20*2\nrun 1")
	const overloadFactor = 4 // a cold server fails after two seconds of more than this many times the work that it can do
	cellWork, capacity := 0.67*4, 2*(r.config.ColdCapacityShare+(1-r.config.ColdCapacityShare)/16)
	if r.tableLines[0][1] > 0 && cellWork > overloadFactor*capacity {
		t.Errorf("the work of the cell is %.1f times what the cold server can do", cellWork/capacity)
	}
}

// Lines that are reserved for a withdrawal must be released once the proxies have confirmed it, also where a proxy holds
// the server in two tables. Otherwise a fleet that drains a server every few seconds fills the backlog with lines that no longer
// exist, and drains are missed.
func TestDrainsAcrossCells(t *testing.T) {
	for name, settings := range map[string]string{"one table": "given waiting=400", "two tables": "given waiting=400 across=2"} {
		t.Run(name, func(t *testing.T) {
			newRunner(t).play(settings + `
list 1/0 2/0 3/0 4/1 5/1 6/1
join 1/0 10 2/1 10 3/0 10 4/1 10
hears 1,2,3,4,5,6 20 0 50
asks 1,2,3,4 10
run 5
` + strings.Repeat("change 1/0:drain\nexpect out 1\nrun 1\nchange 1/0\nrun 2\nexpect in 1\n", 100))
		})
	}
}

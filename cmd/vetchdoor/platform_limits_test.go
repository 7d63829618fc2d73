package main

import (
	"encoding/json"
	"fmt"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"vetchdoor/lab/platform"
)

// collection is a line of the runtime's trace of its collector, with the number of processors that it ran on.
var collection = regexp.MustCompile(`^gc \d+ @.* (\d+) P(?: \(forced\))?$`)

// knownEndpoints is how many endpoints a file names whose reading takes several collections.
const knownEndpoints = 20_000

// A pilot keeps to its machine's cores from before it reads its file: no collection on the way to its first log line runs on
// more processors than the file grants. On several, the runtime's sweeper can spin until the clock goes on.
func TestPlatformReadsItsFileWithinItsLimits(t *testing.T) {
	known := []platform.Instance{}
	for i := range knownEndpoints {
		known = append(known, platform.Instance{ID: fmt.Sprint("s-", i), HostPort: "127.0.0.1:9", Zone: "a", Machine: "m", Lifecycle: "up",
			Weight: 1})
	}
	discovery, err := platform.Discover(known...)
	if err != nil {
		t.Fatal(err)
	}
	defer discovery.Close()
	path := filepath.Join(t.TempDir(), "given.json")
	write(t, path, map[string]any{"name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.Address(), "seed": "8c1f30d27a5be964",
		"known": discovery.Snapshot(), "limits": map[string]any{"cores": 0.5, "memory_mb": 256, "sockets": 256},
		"settings": json.RawMessage(platformSettings)})
	t.Setenv("GOMAXPROCS", "4")
	t.Setenv("GOGC", "100")
	t.Setenv("GODEBUG", "gctrace=1")
	if processors := startCollections(t, launchFile(t, "platform", path)); len(processors) == 0 || slices.Max(processors) != "1" {
		t.Errorf("collections until the pilot runs, by their processors: %v; wanted some, each on 1", processors)
	}
}

// The log tells that the file was read, and what of the machine the runtime keeps to, before anything is opened: a start that
// stands still is seen to have come so far.
func TestPlatformSaysItsLimitsBeforeItListens(t *testing.T) {
	path := filepath.Join(t.TempDir(), "given.json")
	write(t, path, map[string]any{"name": "n0", "listen": "192.0.2.1:1", "discovery": "127.0.0.1:9", "seed": "1",
		"limits":   map[string]any{"cores": 1.5, "memory_mb": 64, "sockets": 256},
		"settings": json.RawMessage(platformSettings)})
	p := launchFile(t, "platform", path)
	said := p.until("keeps to its limits")
	for key, want := range map[string]float64{"processors": 1, "memory_mb": 64, "sockets": 256} {
		if said[key] != want {
			t.Errorf("%s: %v, wanted %v", key, said[key], want)
		}
	}
	if _, told := said["collections"].(float64); !told {
		t.Errorf("collections are not told: %v", said)
	}
	last := object{}
	for line := range p.logs {
		last = line
	}
	if text, _ := last["msg"].(string); !strings.HasPrefix(text, "vetchdoor: listen") {
		t.Errorf("an address that is not the machine's was listened on: %v", last)
	}
}

// startCollections returns the processors of each collection until the pilot runs.
func startCollections(t *testing.T, p *part) (processors []string) {
	t.Helper()
	late := time.After(20 * time.Second)
	for {
		select {
		case line, ok := <-p.logs:
			if !ok || line["msg"] == "pilot runs" {
				return processors
			}
			text, _ := line["msg"].(string)
			if m := collection.FindStringSubmatch(text); m != nil {
				processors = append(processors, m[1])
			}
		case <-late:
			t.Fatal("it never ran")
		}
	}
}

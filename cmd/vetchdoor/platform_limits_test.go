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

// collection matches a line of the garbage collector's trace; the submatch is the number of processors that the
// collection used.
var collection = regexp.MustCompile(`^gc \d+ @.* (\d+) P(?: \(forced\))?$`)

// knownEndpoints is a number of endpoints in a settings file that takes several garbage collections to read.
const knownEndpoints = 20_000

// A pilot keeps to the cores of its machine while it reads its settings file: no garbage collection before its first
// log line uses more processors than the file grants. With several processors, the sweeper of the runtime can spin
// until the clock advances.
func TestPlatformReadsItsFileWithinItsLimits(t *testing.T) {
	known := []platform.Instance{}
	for i := range knownEndpoints {
		known = append(known, platform.Instance{ID: fmt.Sprint("s-", i), HostPort: "127.0.0.1:9", Zone: "a", Machine: "m",
			Lifecycle: "up",
			Weight:    1})
	}
	discovery, err := platform.NewDiscovery(known...)
	if err != nil {
		t.Fatal(err)
	}
	defer discovery.Close()
	path := filepath.Join(t.TempDir(), "given.json")
	write(t, path, map[string]any{"name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.Address(),
		"seed":  "8c1f30d27a5be964",
		"known": discovery.Snapshot(), "limits": map[string]any{"cores": 0.5, "memory_mb": 256, "sockets": 256},
		"settings": json.RawMessage(platformSettings)})
	t.Setenv("GOMAXPROCS", "4")
	t.Setenv("GOGC", "100")
	t.Setenv("GODEBUG", "gctrace=1")
	if processors := startCollections(t, launchFile(t, "platform", path)); len(processors) == 0 || slices.Max(processors) != "1" {
		t.Errorf("processors of each collection until the pilot runs: %v; want at least one collection, each on 1 processor",
			processors)
	}
}

// The log shows that the settings file was read, and the limits that the runtime applies, before the pilot listens. If
// a start hangs, the log then shows that it came this far.
func TestPlatformLogsItsLimitsBeforeItListens(t *testing.T) {
	path := filepath.Join(t.TempDir(), "given.json")
	write(t, path, map[string]any{"name": "n0", "listen": "192.0.2.1:1", "discovery": "127.0.0.1:9", "seed": "1",
		"limits":   map[string]any{"cores": 1.5, "memory_mb": 64, "sockets": 256},
		"settings": json.RawMessage(platformSettings)})
	p := launchFile(t, "platform", path)
	logged := p.until("keeps to its limits")
	for key, want := range map[string]float64{"processors": 1, "memory_mb": 64, "sockets": 256} {
		if logged[key] != want {
			t.Errorf("%s: %v, want %v", key, logged[key], want)
		}
	}
	if _, present := logged["collections"].(float64); !present {
		t.Errorf("the number of collections is not logged: %v", logged)
	}
	last := object{}
	for line := range p.logs {
		last = line
	}
	if text, _ := last["msg"].(string); !strings.HasPrefix(text, "vetchdoor: listen") {
		t.Errorf("listening on a foreign address did not fail: %v", last)
	}
}

// startCollections returns the number of processors of each garbage collection until the pilot runs.
func startCollections(t *testing.T, p *part) (processors []string) {
	t.Helper()
	timeout := time.After(20 * time.Second)
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
		case <-timeout:
			t.Fatal("the pilot did not run in time")
		}
	}
}

// Package platform has stand-ins for the parts of the operators' platform that a pilot connects to or serves:
// discovery, proxies, and peers that send arbitrary lines. They parse the platform's protocol with code of their own,
// so that a fault in the codec of the pilot is detected.
package platform

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Instance is one endpoint in the list of discovery.
type Instance struct {
	ID        string  `json:"instanceId"`
	HostPort  string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Machine   string  `json:"machineType"`
	Cell      int     `json:"cell"`
	Lifecycle string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
	Started   int64   `json:"startedAtMs"`
}

// Answer is the response of discovery to a call.
type Answer struct {
	Generation uint64     `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []Instance `json:"instances"`
}

// Behavior is the way in which a Discovery answers.
type Behavior int

const (
	Healthy    Behavior = iota
	Silent              // calls are not answered
	Malformed           // responses are invalid JSON
	AlwaysFull          // every response has the whole list, even if only changes were requested
)

// Discovery is a stand-in for the discovery service that any number of pilots may watch.
type Discovery struct {
	listener  net.Listener
	server    *http.Server
	stop      chan struct{}
	closeOnce sync.Once

	mu         sync.Mutex
	generation uint64
	changedIn  map[string]uint64 // generation of the last change of an instance, by ID
	instances  map[string]Instance
	behavior   Behavior
	changed    chan struct{} // closed and replaced at each change
	calls      int
}

// NewDiscovery starts a Discovery with a list on a free loopback port.
func NewDiscovery(instances ...Instance) (*Discovery, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{listener: listener, stop: make(chan struct{}), changedIn: map[string]uint64{},
		instances: map[string]Instance{}, changed: make(chan struct{})}
	d.Set(instances...)
	d.server = &http.Server{Handler: http.HandlerFunc(d.serve)}
	go func() { _ = d.server.Serve(listener) }()
	return d, nil
}

// Address returns the address it listens on.
func (d *Discovery) Address() string { return d.listener.Addr().String() }

// Close stops the server and closes all connections.
func (d *Discovery) Close() {
	d.closeOnce.Do(func() {
		close(d.stop)
		d.server.Close()
	})
}

// Set adds or replaces instances in a new generation and wakes waiting calls.
func (d *Discovery) Set(instances ...Instance) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.generation++
	for _, x := range instances {
		d.instances[x.ID], d.changedIn[x.ID] = x, d.generation
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

// SetBehavior changes the behavior and wakes waiting calls.
func (d *Discovery) SetBehavior(m Behavior) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.behavior = m
	close(d.changed)
	d.changed = make(chan struct{})
}

// CallCount returns the number of calls so far.
func (d *Discovery) CallCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.calls
}

// Snapshot returns the whole list, as a pilot may have saved it.
func (d *Discovery) Snapshot() Answer {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changesSince(0, true)
}

// changesSince returns the instances that changed after a generation, or the whole list; d.mu is held.
func (d *Discovery) changesSince(after uint64, full bool) Answer {
	a := Answer{Generation: d.generation, Reset: full, Instances: []Instance{}}
	for _, id := range slices.Sorted(maps.Keys(d.instances)) {
		if x := d.instances[id]; full && x.Lifecycle != "removed" || !full && d.changedIn[id] > after {
			a.Instances = append(a.Instances, x)
		}
	}
	return a
}

func (d *Discovery) serve(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	if r.URL.Path != "/api/targets" || r.Method != http.MethodGet {
		http.NotFound(w, r)
		return
	}
	d.mu.Lock()
	d.calls++
	d.mu.Unlock()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	full := !q.Has("after")
	ms, waitErr := strconv.Atoi(q.Get("wait_ms"))
	if !full && (err != nil || waitErr != nil || ms > 60000) {
		http.Error(w, "after or wait_ms", http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(ms) * time.Millisecond)
	for waiting := true; ; {
		d.mu.Lock()
		a, behavior, changed := d.changesSince(after, full || d.behavior == AlwaysFull), d.behavior, d.changed
		d.mu.Unlock()
		switch {
		case behavior == Silent:
		case behavior == Malformed:
			fmt.Fprint(w, `{"generation":"of late","instances":[{]}`)
			return
		case full || behavior == AlwaysFull || len(a.Instances) > 0 || !waiting:
			_ = json.NewEncoder(w).Encode(a)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			waiting, timeout = false, nil
		case <-r.Context().Done():
			return
		case <-d.stop:
			return
		}
	}
}

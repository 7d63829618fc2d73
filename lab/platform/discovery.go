// Package platform has stand-ins for what the operators' platform puts round a pilot: discovery, proxies, collectors, and
// peers that do as they please. They speak the platform's protocol with parsers of their own, so that a fault of the
// pilot's codec shows.
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

// Instance is one endpoint on discovery's list.
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

// Answer is what discovery answers.
type Answer struct {
	Generation uint64     `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []Instance `json:"instances"`
}

// Mood is how discovery answers.
type Mood int

const (
	Well     Mood = iota
	Silent        // never
	Nonsense      // what cannot be read
	Resets        // the whole list, whatever the call
)

// Discovery is a stand-in that many pilots may watch.
type Discovery struct {
	ln     net.Listener
	server *http.Server
	stop   chan struct{}
	ending sync.Once

	mu      sync.Mutex
	version uint64
	at      map[string]uint64 // version of an endpoint's last change
	list    map[string]Instance
	mood    Mood
	news    chan struct{} // closed at each change
	calls   int
}

// Discover starts one at an address of its own, with a list.
func Discover(list ...Instance) (*Discovery, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{ln: ln, stop: make(chan struct{}), at: map[string]uint64{}, list: map[string]Instance{},
		news: make(chan struct{})}
	d.Set(list...)
	d.server = &http.Server{Handler: http.HandlerFunc(d.serve)}
	go func() { _ = d.server.Serve(ln) }()
	return d, nil
}

// Address is where it listens.
func (d *Discovery) Address() string { return d.ln.Addr().String() }

// Close ends it and its connections.
func (d *Discovery) Close() {
	d.ending.Do(func() {
		close(d.stop)
		d.server.Close()
	})
}

// Set changes entries, all in one version.
func (d *Discovery) Set(list ...Instance) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	for _, x := range list {
		d.list[x.ID], d.at[x.ID] = x, d.version
	}
	close(d.news)
	d.news = make(chan struct{})
}

// Feel sets its mood; calls that wait are woken.
func (d *Discovery) Feel(m Mood) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.mood = m
	close(d.news)
	d.news = make(chan struct{})
}

// Calls is how many have come.
func (d *Discovery) Calls() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.calls
}

// Snapshot is the list as a pilot may have held it.
func (d *Discovery) Snapshot() Answer {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.since(0, true)
}

// since is what changed after a version, or all there is; d.mu is held.
func (d *Discovery) since(after uint64, whole bool) Answer {
	a := Answer{Generation: d.version, Reset: whole, Instances: []Instance{}}
	for _, id := range slices.Sorted(maps.Keys(d.list)) {
		if x := d.list[id]; whole && x.Lifecycle != "removed" || !whole && d.at[id] > after {
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
	whole := !q.Has("after")
	ms, werr := strconv.Atoi(q.Get("wait_ms"))
	if !whole && (err != nil || werr != nil || ms > 60000) {
		http.Error(w, "after or wait_ms", http.StatusBadRequest)
		return
	}
	over := time.After(time.Duration(ms) * time.Millisecond)
	for waiting := true; ; {
		d.mu.Lock()
		a, mood, news := d.since(after, whole || d.mood == Resets), d.mood, d.news
		d.mu.Unlock()
		switch {
		case mood == Silent:
		case mood == Nonsense:
			fmt.Fprint(w, `{"generation":"of late","instances":[{]}`)
			return
		case whole || mood == Resets || len(a.Instances) > 0 || !waiting:
			_ = json.NewEncoder(w).Encode(a)
			return
		}
		select {
		case <-news:
		case <-over:
			waiting, over = false, nil
		case <-r.Context().Done():
			return
		case <-d.stop:
			return
		}
	}
}

package kit2

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Server is a stand-in for an endpoint: some cores, a bounded queue, and a cold start. Work is modelled by time.
type Server struct {
	ID   string
	Zone int

	world    *World
	address  string
	cores    chan bool
	mu       sync.Mutex
	http     *http.Server
	started  time.Time // of the last cold start; zero: long ago
	hung     bool
	inFlight int
	busy     time.Duration // core time since the last report
	reported time.Time
	util     float64
	latency  float64   // in milliseconds
	recent   []arrival // work that came within the last Fall, while it is cold
}

// arrival is work that came to a cold server. knowing: its proxy's last message was sent knowing of the start, or the
// pilot had known of it for the drain grace.
type arrival struct {
	at      time.Time
	work    time.Duration
	knowing bool
}

// pushedOver records work that came and reports whether it is more than a cold server survives: OverloadFactor times what
// it can do, over Fall. Twice the largest of these works is allowed in addition. s.mu is held.
func (s *Server) pushedOver(work time.Duration, knowing bool) bool {
	now, site := time.Now(), &s.world.Site
	if s.started.IsZero() || now.Sub(s.started) >= site.Cold {
		s.recent = nil
		return false
	}
	s.recent = append(s.recent, arrival{now, work, knowing})
	for now.Sub(s.recent[0].at) > site.Fall {
		s.recent = s.recent[1:]
	}
	total, most, known := time.Duration(0), time.Duration(0), time.Duration(0)
	for _, a := range s.recent {
		total, most = total+a.work, max(most, a.work)
		if a.knowing {
			known += a.work
		}
	}
	limit := site.OverloadFactor * float64(site.Cores) * s.speed() * float64(site.Fall)
	if float64(total-2*most) <= limit {
		return false
	}
	if 3*known >= 2*total {
		s.world.Broken("cold server: %s falls over %v after its start: %v of work came within %v, over %.1f times what it can do",
			s.ID, now.Sub(s.started).Round(time.Millisecond), total, site.Fall, site.OverloadFactor)
	} else {
		s.world.Printf("%s falls over, but not by proxies that knew of its start", s.ID)
	}
	return true
}

// queuePerCore is how many requests a server holds for each core before it answers 503.
const queuePerCore = 12

// start listens, at first on any free port and later on the same one.
func (s *Server) start(cold bool) error {
	address := s.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: http.HandlerFunc(s.serve)}
	s.mu.Lock()
	s.address, s.http, s.hung, s.reported, s.busy = listener.Addr().String(), server, false, time.Now(), 0
	s.cores = make(chan bool, s.world.Site.Cores)
	if s.started = (time.Time{}); cold {
		s.started = time.Now()
	}
	s.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	return nil
}

// Kill ends the server at once: its connections are reset and new ones are refused.
func (s *Server) Kill() {
	s.mu.Lock()
	server := s.http
	s.mu.Unlock()
	_ = server.Close()
	s.world.Recordf("server %s dies", s.ID)
}

// Restart starts a killed server anew, cold.
func (s *Server) Restart() {
	if err := s.start(true); err != nil {
		s.world.fail(fmt.Errorf("restart of %s: %w", s.ID, err))
	}
	s.world.Recordf("server %s starts cold", s.ID)
}

// Hang makes the server take requests and answer none, or ends that.
func (s *Server) Hang(on bool) {
	s.mu.Lock()
	s.hung = on
	s.mu.Unlock()
	s.world.Recordf("server %s hangs: %v", s.ID, on)
}

// speed returns the share of its full speed that the server has now.
func (s *Server) speed() float64 {
	if s.started.IsZero() {
		return 1
	}
	site := s.world.Site
	part := float64(time.Since(s.started)) / float64(site.Cold)
	return min(1, site.ColdShare+(1-site.ColdShare)*part)
}

// serve answers probes and requests. The load report travels in a field of each answer.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/-/healthy" || r.URL.Path == "/-/load" {
		_, _ = w.Write(s.report())
		return
	}
	id, class := r.Header.Get("X-Call-Id"), s.world.classes[r.Header.Get("X-Call-Class")]
	s.mu.Lock()
	s.inFlight++
	if s.pushedOver(class.Work, r.Header.Get("X-Review-Knowing") != "") {
		go s.Kill()
	}
	full, hung, cores := s.inFlight > queuePerCore*s.world.Site.Cores, s.hung, s.cores
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.inFlight--
		s.mu.Unlock()
	}()
	switch {
	case hung:
		<-r.Context().Done()
		return
	case full:
		w.Header().Set("X-Rejected", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case cores <- true:
	case <-r.Context().Done():
		return
	}
	defer func() { <-cores }()
	s.mu.Lock()
	took := time.Duration(float64(class.Work) / s.speed())
	s.mu.Unlock()
	began := time.Now()
	select {
	case <-time.After(took):
	case <-r.Context().Done(): // a request that is cancelled or timed out stops its work
	}
	s.mu.Lock()
	s.busy += time.Since(began)
	s.latency += 0.2 * (ms(time.Since(began)) - s.latency)
	s.mu.Unlock()
	if r.Context().Err() != nil {
		return
	}
	s.world.Recordf("ran %s %s at %s", id, class.Name, s.ID)
	w.Header().Set("X-Load-Report", string(s.report()))
	w.WriteHeader(http.StatusOK)
}

// reportPeriod is how often a server makes a new load report.
const reportPeriod = 500 * time.Millisecond

// report returns the current load report.
func (s *Server) report() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if since := time.Since(s.reported); since >= reportPeriod {
		s.util = min(1, float64(s.busy)/float64(since)/float64(s.world.Site.Cores))
		s.busy, s.reported = 0, time.Now()
	}
	b, _ := json.Marshal(map[string]float64{"util": s.util, "inflight": float64(s.inFlight), "latency_ms": s.latency})
	return b
}

// stop ends the server at the end of the case.
func (s *Server) stop() {
	s.mu.Lock()
	server := s.http
	s.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = server.Shutdown(ctx)
	_ = server.Close()
}

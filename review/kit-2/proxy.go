package kit2

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"vetchdoor/lab/platform"
)

// Proxy is a stand-in for a proxy of the platform. It has a table of servers for each class, sends requests by weight,
// and applies what a pilot orders on its stream.
type Proxy struct {
	Number int
	Zone   int
	Rate   float64 // requests a second

	world  *World
	client *http.Client
	rng    *rand.Rand // of the request goroutine

	mu       sync.Mutex
	tables   map[string]map[string]float64 // weights by class and server
	credit   map[string]map[string]float64 // of the even choice by weight
	levels   map[string]float64            // admitted share by class
	admitted map[string]float64            // credit of admission by class
	ejected  map[string]bool
	standing bool // no order has been applied since the start
	failures map[string]int
	avoid    map[string]time.Time
	sums     map[string]*sum // by server, since the last report
	arrivals map[string]int  // by class, since the last report
	unserved map[string]int
	stream   *stream // nil while it is not joined
	joinedAt time.Time
	lastSent time.Time            // when the last applied message entered the channel
	emptyAt  map[string]time.Time // by class, since when it has had no line to pick; zero: it has one
}

// sum is what the tries at one server met.
type sum struct {
	n, bad  int
	latency time.Duration
	report  json.RawMessage
}

// stream is a proxy's connection to the pilot.
type stream struct {
	conn     net.Conn
	due      chan delivery
	messages []time.Time // when the last messages entered the channel
	ended    chan struct{}
	endOnce  sync.Once
}

// delivery is a message that has left the pilot's channel and reaches the proxy at a time.
type delivery struct {
	at    time.Time
	parts []platform.Message
	sent  time.Time
}

func newProxy(w *World, number, zone int, rate float64) *Proxy {
	dialer := &net.Dialer{Timeout: 250 * time.Millisecond}
	p := &Proxy{Number: number, Zone: zone, Rate: rate, world: w, rng: rand.New(rand.NewPCG(uint64(number), 7)),
		client: &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 100,
			IdleConnTimeout: 15 * time.Second}},
		tables: map[string]map[string]float64{}, credit: map[string]map[string]float64{}, levels: map[string]float64{},
		admitted: map[string]float64{}, ejected: map[string]bool{}, standing: true, failures: map[string]int{},
		avoid: map[string]time.Time{}, sums: map[string]*sum{}, arrivals: map[string]int{}, unserved: map[string]int{},
		emptyAt: map[string]time.Time{}}
	p.drawStanding()
	return p
}

// drawStanding draws the standing table from the list: servers of its zone if there are three of them, else of all.
func (p *Proxy) drawStanding() {
	var own, all []string
	for _, x := range p.world.listed() {
		if x.Lifecycle != "up" {
			continue
		}
		if all = append(all, x.ID); x.Zone == p.world.Site.Zones[p.Zone] {
			own = append(own, x.ID)
		}
	}
	if len(own) >= 3 {
		all = own
	}
	p.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	all = all[:min(len(all), p.world.Site.Bootstrap)]
	for _, c := range p.world.Site.Classes {
		table := map[string]float64{}
		for _, id := range all {
			table[id] = 1
		}
		p.tables[c.Name], p.credit[c.Name] = table, map[string]float64{}
	}
}

// mayPick reports whether the proxy may send a class to a server that its table names; p.mu is held.
func (p *Proxy) mayPick(c *Class, id string, weight float64) bool {
	return weight > 0 && !p.ejected[id] && (!c.OwnZone || p.world.zoneOf(id) == p.Zone)
}

// pick chooses a server evenly by weight among those that are not avoided, or among all if all are; p.mu is held.
func (p *Proxy) pick(c *Class) string {
	table, credit := p.tables[c.Name], p.credit[c.Name]
	for _, avoiding := range []bool{true, false} {
		best, total := "", 0.0
		for id, weight := range table {
			if !p.mayPick(c, id, weight) || avoiding && time.Now().Before(p.avoid[id]) {
				continue
			}
			credit[id] += weight
			total += weight
			if best == "" || credit[id] > credit[best] || credit[id] == credit[best] && id < best {
				best = id
			}
		}
		if best != "" {
			credit[best] -= total
			return best
		}
	}
	return ""
}

// runRequests sends requests at random times until the world ends.
func (p *Proxy) runRequests() {
	for number := 0; ; number++ {
		if !p.world.sleep(time.Duration(p.rng.ExpFloat64() / max(p.Rate, 1e-3) * float64(time.Second))) {
			return
		}
		c, part := &p.world.Site.Classes[0], p.rng.Float64()
		for i := range p.world.Site.Classes {
			c = &p.world.Site.Classes[i]
			if part -= c.Share; part < 0 {
				break
			}
		}
		go p.request(fmt.Sprintf("p%d-%d", p.Number, number), c)
	}
}

// request handles one request of a client.
func (p *Proxy) request(id string, c *Class) {
	p.mu.Lock()
	p.arrivals[c.Name]++
	if share, ok := p.levels[c.Name]; ok && share < 1 {
		if p.admitted[c.Name] += share; p.admitted[c.Name] < 1 {
			p.mu.Unlock()
			p.world.count(c.Name, "refused by level")
			return
		}
		p.admitted[c.Name]--
	}
	server := p.pick(c)
	if server == "" {
		p.mu.Unlock()
		p.world.count(c.Name, "refused, no line to pick")
		p.world.Recordf("request %s %s refused by proxy %d: no line to pick", id, c.Name, p.Number)
		return
	}
	p.world.checkDrain(p, server, id)
	p.mu.Unlock()
	p.world.Recordf("sent %s %s by proxy %d to %s", id, c.Name, p.Number, server)
	began := time.Now()
	report, err := p.send(id, c, server)
	p.note(c, server, report, err, time.Since(began))
	if err != nil {
		p.world.count(c.Name, "failed")
		p.world.Recordf("answered %s: %v", id, err)
		return
	}
	p.world.count(c.Name, "served")
	p.world.Recordf("answered %s: 200 after %d ms", id, time.Since(began).Milliseconds())
}

// knowsStart reports whether the proxy's last message was sent after the pilot was told of a server's last start, or the
// pilot has known of it for the drain grace.
func (p *Proxy) knowsStart(server string) bool {
	told := p.world.startTold(server)
	p.mu.Lock()
	defer p.mu.Unlock()
	return !told.IsZero() && p.stream != nil && (p.lastSent.After(told) || time.Since(told) > p.world.Site.DrainGrace)
}

// send sends a request to a server and returns the load report of the answer.
func (p *Proxy) send(id string, c *Class, server string) (report json.RawMessage, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), c.Deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.world.addressOf(server)+"/op", nil)
	if err != nil {
		return nil, err
	}
	r.Header.Set("X-Call-Id", id)
	r.Header.Set("X-Call-Class", c.Name)
	if p.knowsStart(server) {
		r.Header.Set("X-Review-Knowing", "1")
	}
	answer, err := p.client.Do(r)
	if err != nil {
		return nil, err
	}
	_ = answer.Body.Close()
	if v := answer.Header.Get("X-Load-Report"); v != "" {
		report = json.RawMessage(v)
	}
	if answer.StatusCode != http.StatusOK {
		return report, fmt.Errorf("status %d", answer.StatusCode)
	}
	return report, nil
}

// note adds a try to the sums, and avoids a server at which tries failed in a row.
func (p *Proxy) note(c *Class, server string, report json.RawMessage, err error, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.sums[server]
	if s == nil {
		s = &sum{}
		p.sums[server] = s
	}
	s.n++
	if report != nil {
		s.report = report
	}
	if err == nil {
		s.latency += took
		p.failures[server] = 0
		return
	}
	s.bad++
	p.unserved[c.Name]++
	if p.failures[server]++; p.world.Site.OutlierAfter > 0 && p.failures[server] >= p.world.Site.OutlierAfter {
		p.failures[server], p.avoid[server] = 0, time.Now().Add(p.world.Site.OutlierFor)
	}
}

// runStream keeps a stream to the pilot until the world ends. A stream that breaks is dialled again after a while.
func (p *Proxy) runStream() {
	for first := true; p.world.running(); first = false {
		if !first && !p.world.sleep(time.Duration(230+p.rng.IntN(2170))*time.Millisecond) {
			return
		}
		conn, err := net.DialTimeout("tcp", p.world.pilotAddress, 2*time.Second)
		if err != nil {
			continue
		}
		s := &stream{conn: conn, due: make(chan delivery, 4096), ended: make(chan struct{})}
		p.mu.Lock()
		_, err = fmt.Fprintf(conn, `{"msg":"attach","sidecar":%d,"az":%q,"share":%.1f,"standing":%v}`+"\n", p.Number,
			p.world.Site.Zones[p.Zone], p.Rate, p.standing)
		p.stream, p.joinedAt = s, time.Now()
		clear(p.emptyAt)
		p.mu.Unlock()
		if err == nil {
			p.world.Recordf("proxy %d joins", p.Number)
			go p.applyDue(s)
			p.readStream(s)
		}
		s.end()
		p.mu.Lock()
		p.stream = nil
		clear(p.emptyAt)
		p.mu.Unlock()
		p.world.Recordf("proxy %d has lost its stream", p.Number)
	}
}

// end closes the stream.
func (s *stream) end() {
	s.endOnce.Do(func() {
		close(s.ended)
		_ = s.conn.Close()
	})
}

// BreakStream breaks the proxy's stream, as the network does.
func (p *Proxy) BreakStream() {
	p.mu.Lock()
	s := p.stream
	p.mu.Unlock()
	if s != nil {
		s.end()
	}
}

// readStream reads messages; a message enters the pilot's channel when its last byte has come.
func (p *Proxy) readStream(s *stream) {
	r := bufio.NewReaderSize(s.conn, 1<<16)
	var parts []platform.Message
	for {
		line, err := r.ReadBytes('\n')
		if err != nil {
			return
		}
		var m platform.Message
		if json.Unmarshal(line, &m) != nil || m.Msg != "assign" {
			p.world.Recordf("proxy %d cannot use %.200q", p.Number, line)
			return
		}
		if parts = append(parts, m); m.Continued {
			continue
		}
		p.world.enterChannel(p, s, parts)
		parts = nil
	}
}

// applyDue applies messages when they are due.
func (p *Proxy) applyDue(s *stream) {
	for {
		var d delivery
		select {
		case d = <-s.due:
		case <-s.ended:
			return
		}
		select {
		case <-time.After(time.Until(d.at)):
		case <-s.ended:
			return
		}
		p.mu.Lock()
		p.lastSent = d.sent
		p.mu.Unlock()
		for _, m := range d.parts {
			p.apply(m)
			if m.Nonce != nil {
				_, _ = fmt.Fprintf(s.conn, `{"msg":"done","sidecar":%d,"version":%d,"lag_ms":%.1f}`+"\n", p.Number, *m.Nonce,
					ms(time.Since(d.sent)))
			}
		}
	}
}

// apply applies one part of a message.
func (p *Proxy) apply(m platform.Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.standing = false
	classes := m.Routes
	if classes == nil {
		for _, c := range p.world.Site.Classes {
			classes = append(classes, c.Name)
		}
	}
	for _, name := range classes {
		if m.Full {
			p.tables[name], p.credit[name] = map[string]float64{}, map[string]float64{}
			delete(p.levels, name)
		}
		for _, e := range m.Endpoints {
			id, _ := e[0].(string)
			weight, _ := e[1].(float64)
			if p.tables[name][id] = weight; !(weight > 0) {
				delete(p.tables[name], id)
				delete(p.credit[name], id)
			}
		}
		if m.Admit != nil {
			p.levels[name] = *m.Admit
		}
	}
	for _, id := range m.Eject {
		p.ejected[id] = true
	}
	for _, id := range m.Restore {
		delete(p.ejected, id)
	}
	b, _ := json.Marshal(m)
	p.world.Recordf("proxy %d applies %s", p.Number, b)
}

// lines returns the servers that the proxy may pick for a class, sorted.
func (p *Proxy) lines(c *Class) (out []string) {
	for id, weight := range p.tables[c.Name] {
		if p.mayPick(c, id, weight) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// takeSums returns and resets the sums of the last period, and sends the usage on the proxy's stream after a delay.
func (p *Proxy) takeSums(window time.Duration) map[string]*sum {
	p.mu.Lock()
	defer p.mu.Unlock()
	out, s := p.sums, p.stream
	p.sums = map[string]*sum{}
	var usage []byte
	for name, n := range p.arrivals {
		usage = fmt.Appendf(usage, `{"msg":"client_stats","sidecar":%d,"kind":%q,"n":%d,"bad":%d,"window":%.1f}`+"\n", p.Number,
			name, n, p.unserved[name], math.Round(ms(window)))
	}
	clear(p.arrivals)
	clear(p.unserved)
	if s != nil {
		time.AfterFunc(p.world.Site.HeardLate, func() { _, _ = s.conn.Write(usage) })
	}
	return out
}

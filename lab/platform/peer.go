package platform

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"
)

// Peer is a connection to a pilot that says what it is told to.
type Peer struct {
	net.Conn
	in *bufio.Reader
}

// Dial connects to a pilot.
func Dial(address string) (*Peer, error) {
	c, err := net.DialTimeout("tcp", address, 10*time.Second)
	if err != nil {
		return nil, err
	}
	return &Peer{Conn: c, in: bufio.NewReader(c)}, nil
}

// Say sends a line.
func (p *Peer) Say(format string, args ...any) error {
	_, err := fmt.Fprintf(p.Conn, format+"\n", args...)
	return err
}

// Order is a message that a pilot sent.
type Order struct {
	Msg       string   `json:"msg"`
	Routes    []string `json:"routes"`
	Full      bool     `json:"full"`
	Endpoints [][2]any `json:"endpoints"`
	Admit     *float64 `json:"admit"`
	Policy    *int     `json:"policy"`
	Eject     []string `json:"eject"`
	Restore   []string `json:"restore"`
	Nonce     *int     `json:"nonce_out"`
	Continued bool     `json:"continued"`
}

// Hear returns the next message; an error once the connection has ended or nothing came in time.
func (p *Peer) Hear(within time.Duration) (o Order, err error) {
	_ = p.SetReadDeadline(time.Now().Add(within))
	line, err := p.in.ReadBytes('\n')
	if err != nil {
		return o, err
	}
	if err := json.Unmarshal(line, &o); err != nil {
		return o, fmt.Errorf("%q: %w", line, err)
	}
	return o, nil
}

// Proxy is a stand-in that applies orders and answers marks. It refuses what a real one would: then Fault says why and its
// stream ends.
type Proxy struct {
	Number int
	peer   *Peer
	types  []string
	known  func(host string) bool

	mu       sync.Mutex
	tables   map[string]map[string]float64
	levels   map[string]float64
	out      map[string]bool
	messages int
	fault    error
	ended    bool
	mute     bool
}

// Join dials a pilot and joins as a proxy that carries on with what an earlier stream left it; nil: nothing.
func Join(address string, number int, zone string, types []string, known func(string) bool, before *Proxy) (*Proxy, error) {
	peer, err := Dial(address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{Number: number, peer: peer, types: types, known: known, tables: map[string]map[string]float64{},
		levels: map[string]float64{}, out: map[string]bool{}}
	if before != nil {
		before.mu.Lock()
		p.tables, p.levels, p.out = before.tables, before.levels, before.out
		before.mu.Unlock()
	}
	if err := peer.Say(`{"msg":"attach","sidecar":%d,"az":%q,"share":5.5,"standing":%v}`, number, zone, before == nil); err != nil {
		return nil, err
	}
	go p.follow()
	return p, nil
}

func (p *Proxy) follow() {
	parts := 0
	for {
		line, err := p.peer.in.ReadBytes('\n')
		if err == nil {
			err = p.take(line, &parts)
			if err != nil {
				p.mu.Lock()
				p.fault = err
				p.mu.Unlock()
			}
		}
		if err != nil {
			p.mu.Lock()
			p.ended = true
			p.mu.Unlock()
			p.peer.Close()
			return
		}
	}
}

func (p *Proxy) take(line []byte, parts *int) error {
	var o Order
	if err := json.Unmarshal(line, &o); err != nil || o.Msg != "assign" || len(line) > 1<<20 {
		return fmt.Errorf("%.200q: %v", line, err)
	}
	if *parts++; *parts > 64 {
		return fmt.Errorf("a message of over 64 parts")
	}
	if !o.Continued {
		*parts = 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	types := o.Routes
	if types == nil {
		types = p.types
	}
	for _, t := range types {
		if o.Full || p.tables[t] == nil {
			p.tables[t] = map[string]float64{}
		}
		if o.Full {
			delete(p.levels, t)
		}
		for _, l := range o.Endpoints {
			host, ok := l[0].(string)
			weight, fine := l[1].(float64)
			if !ok || !fine || weight < 0 || !p.known(host) {
				return fmt.Errorf("a line of %v", l)
			}
			if p.tables[t][host] = weight; weight == 0 {
				delete(p.tables[t], host)
			}
		}
		if (o.Admit == nil) != (o.Policy == nil) {
			return fmt.Errorf("admit without policy: %s", line)
		}
		if o.Admit != nil {
			p.levels[t] = *o.Admit
		}
	}
	for _, host := range append(o.Eject, o.Restore...) {
		if !p.known(host) {
			return fmt.Errorf("unknown %q", host)
		}
	}
	for _, host := range o.Eject {
		p.out[host] = true
	}
	for _, host := range o.Restore {
		delete(p.out, host)
	}
	if !o.Continued {
		p.messages++
	}
	if o.Nonce != nil && !p.mute {
		return p.peer.Say(`{"msg":"done","sidecar":%d,"version":%d,"lag_ms":12.5}`, p.Number, *o.Nonce)
	}
	return nil
}

// Say sends a line on its stream.
func (p *Proxy) Say(format string, args ...any) error { return p.peer.Say(format, args...) }

// Drop ends its stream.
func (p *Proxy) Drop() { p.peer.Close() }

// AvailableEndpoints are the endpoints that it may pick for an op type.
func (p *Proxy) AvailableEndpoints(opType string) map[string]float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	open := map[string]float64{}
	for host, weight := range p.tables[opType] {
		if !p.out[host] {
			open[host] = weight
		}
	}
	return open
}

// Level is how much of an op type it lets in; below 0: it was not told.
func (p *Proxy) Level(opType string) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l, ok := p.levels[opType]; ok {
		return l
	}
	return -1
}

// State tells how many messages it has applied, whether its stream has ended, and what it could not use.
func (p *Proxy) State() (messages int, ended bool, fault error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.messages, p.ended, p.fault
}

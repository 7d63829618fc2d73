package platform

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"
)

// Peer is a connection to a pilot on which a test sends arbitrary lines.
type Peer struct {
	net.Conn
	reader *bufio.Reader
}

// Dial connects to a pilot; it gives up after 10 s.
func Dial(address string) (*Peer, error) {
	c, err := net.DialTimeout("tcp", address, 10*time.Second)
	if err != nil {
		return nil, err
	}
	return &Peer{Conn: c, reader: bufio.NewReader(c)}, nil
}

// Send sends a formatted line.
func (p *Peer) Send(format string, args ...any) error {
	_, err := fmt.Fprintf(p.Conn, format+"\n", args...)
	return err
}

// Message is a message from a pilot.
type Message struct {
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

// Receive returns the next message. It fails if the connection has ended, no message arrived in time, or the line is
// not valid JSON.
func (p *Peer) Receive(within time.Duration) (m Message, err error) {
	_ = p.SetReadDeadline(time.Now().Add(within))
	line, err := p.reader.ReadBytes('\n')
	if err != nil {
		return m, err
	}
	if err := json.Unmarshal(line, &m); err != nil {
		return m, fmt.Errorf("%q: %w", line, err)
	}
	return m, nil
}

// Proxy is a stand-in for a proxy that applies messages and confirms those with a nonce. It ends its stream at a
// message that a real proxy would refuse; State then returns the reason.
type Proxy struct {
	Number  int
	peer    *Peer
	opTypes []string
	isKnown func(host string) bool

	mu            sync.Mutex
	tables        map[string]map[string]float64
	levels        map[string]float64
	ejected       map[string]bool
	messages      int
	fault         error
	ended         bool
	neverConfirms bool
}

// Join connects to a pilot and attaches as a proxy. The proxy starts with the tables and levels of a previous Proxy,
// or with none if that is nil. isKnown reports whether a host is in the list.
func Join(address string, number int, zone string, types []string, isKnown func(string) bool,
	previous *Proxy) (*Proxy, error) {
	peer, err := Dial(address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{Number: number, peer: peer, opTypes: types, isKnown: isKnown, tables: map[string]map[string]float64{},
		levels: map[string]float64{}, ejected: map[string]bool{}}
	if previous != nil {
		previous.mu.Lock()
		p.tables, p.levels, p.ejected = previous.tables, previous.levels, previous.ejected
		previous.mu.Unlock()
	}
	if err := peer.Send(`{"msg":"attach","sidecar":%d,"az":%q,"share":5.5,"standing":%v}`,
		number, zone, previous == nil); err != nil {
		return nil, err
	}
	go p.readLoop()
	return p, nil
}

func (p *Proxy) readLoop() {
	parts := 0
	for {
		line, err := p.peer.reader.ReadBytes('\n')
		if err == nil {
			err = p.apply(line, &parts)
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

func (p *Proxy) apply(line []byte, parts *int) error {
	var m Message
	if err := json.Unmarshal(line, &m); err != nil || m.Msg != "assign" || len(line) > 1<<20 {
		return fmt.Errorf("%.200q: %v", line, err)
	}
	if *parts++; *parts > 64 {
		return fmt.Errorf("message of more than 64 parts")
	}
	if !m.Continued {
		*parts = 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	types := m.Routes
	if types == nil {
		types = p.opTypes
	}
	for _, t := range types {
		if m.Full || p.tables[t] == nil {
			p.tables[t] = map[string]float64{}
		}
		if m.Full {
			delete(p.levels, t)
		}
		for _, l := range m.Endpoints {
			host, ok := l[0].(string)
			weight, isNumber := l[1].(float64)
			if !ok || !isNumber || weight < 0 || !p.isKnown(host) {
				return fmt.Errorf("invalid table entry %v", l)
			}
			if p.tables[t][host] = weight; weight == 0 {
				delete(p.tables[t], host)
			}
		}
		if (m.Admit == nil) != (m.Policy == nil) {
			return fmt.Errorf("admit without policy: %s", line)
		}
		if m.Admit != nil {
			p.levels[t] = *m.Admit
		}
	}
	for _, host := range append(m.Eject, m.Restore...) {
		if !p.isKnown(host) {
			return fmt.Errorf("unknown host %q", host)
		}
	}
	for _, host := range m.Eject {
		p.ejected[host] = true
	}
	for _, host := range m.Restore {
		delete(p.ejected, host)
	}
	if !m.Continued {
		p.messages++
	}
	if m.Nonce != nil && !p.neverConfirms {
		return p.peer.Send(`{"msg":"done","sidecar":%d,"version":%d,"lag_ms":12.5}`, p.Number, *m.Nonce)
	}
	return nil
}

// Send sends a formatted line to the pilot.
func (p *Proxy) Send(format string, args ...any) error { return p.peer.Send(format, args...) }

// Disconnect closes the stream.
func (p *Proxy) Disconnect() { p.peer.Close() }

// AvailableEndpoints returns the weights, by host, of the endpoints that the proxy may pick for an op type.
func (p *Proxy) AvailableEndpoints(opType string) map[string]float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	available := map[string]float64{}
	for host, weight := range p.tables[opType] {
		if !p.ejected[host] {
			available[host] = weight
		}
	}
	return available
}

// Level returns the share of an op type that is admitted; -1 if no level was received.
func (p *Proxy) Level(opType string) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l, ok := p.levels[opType]; ok {
		return l
	}
	return -1
}

// State returns how many messages were applied, whether the stream has ended, and why a message was refused, if one
// was.
func (p *Proxy) State() (messages int, ended bool, fault error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.messages, p.ended, p.fault
}

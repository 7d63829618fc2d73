// Package match tells whose an op is: by a header, by a part of its path, or by the client's network, in that order. New
// and Of are the way in. What an op claims is the client's word: names are bounded, and where a list of tenants is given a
// name that is not on it counts as unknown, so that nobody makes new tenants by asking.
package match

import (
	"bytes"
	"fmt"
	"net/netip"

	"github.com/gaissmai/bart"
)

// Unknown is the one tenant of all ops that are nobody's, or whose claim cannot be taken.
const Unknown = ""

// mostName bounds a tenant's name, in bytes.
const mostName = 128

// Rules say how a tenant is known; what is empty is not used.
type Rules struct {
	Header     string              // a field whose value is the name
	PathPrefix string              // the part of the path behind it, up to the next slash, is the name
	Networks   map[string][]string // by tenant: prefixes such as 10.1.0.0/16; the longest that holds an address wins
	Known      []string            // if any, the only tenants there are
}

// Matcher applies rules.
type Matcher struct {
	header string
	prefix []byte
	nets   *bart.Table[string]
	known  map[string]bool
}

// New checks rules and makes a matcher. A prefix that two tenants claim is an error.
func New(r Rules) (*Matcher, error) {
	m := &Matcher{header: r.Header, prefix: []byte(r.PathPrefix), nets: &bart.Table[string]{}}
	if len(r.Known) > 0 {
		m.known = map[string]bool{}
		for _, name := range r.Known {
			if !valid([]byte(name)) {
				return nil, fmt.Errorf("tenant %.40q: a name of 1 to %d printable bytes is allowed", name, mostName)
			}
			m.known[name] = true
		}
	}
	for name, prefixes := range r.Networks {
		if !valid([]byte(name)) || m.known != nil && !m.known[name] {
			return nil, fmt.Errorf("tenant %.40q has networks, but is no known tenant", name)
		}
		for _, text := range prefixes {
			p, err := netip.ParsePrefix(text)
			if err != nil {
				return nil, fmt.Errorf("tenant %.40q: %q is no network prefix", name, text)
			}
			if p != p.Masked() {
				return nil, fmt.Errorf("tenant %.40q: %q has bits beyond its length; %v is meant", name, text, p.Masked())
			}
			if other, ok := m.nets.Get(p); ok && other != name {
				return nil, fmt.Errorf("tenants %.40q and %.40q both claim %v", min(name, other), max(name, other), p)
			}
			m.nets.Insert(p, name)
		}
	}
	return m, nil
}

// valid names are printable, without blanks, and bounded.
func valid(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c == 0x7f {
			return false
		}
	}
	return len(b) > 0 && len(b) <= mostName
}

// Tenant tells the tenant of an op by its header field (nil: it has none), its target and its client's address. A claim that
// cannot be taken is not passed over for the next rule: it is Unknown.
func (m *Matcher) Tenant(field []byte, target []byte, client netip.Addr) string {
	if m.header != "" && field != nil {
		return m.take(field)
	}
	if len(m.prefix) > 0 && bytes.HasPrefix(target, m.prefix) {
		name := target[len(m.prefix):]
		if end := bytes.IndexAny(name, "/?#"); end >= 0 {
			name = name[:end]
		}
		return m.take(name)
	}
	if name, ok := m.nets.Lookup(client.Unmap()); ok {
		return name
	}
	return Unknown
}

// Header is the field that Of wants; empty for none.
func (m *Matcher) Header() string { return m.header }

func (m *Matcher) take(name []byte) string {
	if !valid(name) || m.known != nil && !m.known[string(name)] {
		return Unknown
	}
	return string(name)
}

// Package match finds the tenant of an op: by a header, by a part of the path, or by the client's network, in that order.
// The client may claim any name, so names are bounded in length; and if a list of tenants is configured, a name that is
// not on it counts as unknown, so that clients cannot create tenants.
package match

import (
	"bytes"
	"fmt"
	"net/netip"

	"github.com/gaissmai/bart"
)

// Unknown is the tenant of all ops that match no rule or claim an invalid name.
const Unknown = ""

// maxNameBytes bounds the length of a tenant's name.
const maxNameBytes = 128

// Rules configure how the tenant of an op is found. Empty fields are not used.
type Rules struct {
	Header     string              // header field that holds the name
	PathPrefix string              // prefix of the path that the name follows, up to the next slash
	Networks   map[string][]string // by tenant: prefixes such as 10.1.0.0/16; the longest one that contains the address applies
	Known      []string            // if not empty, the only valid tenants
}

// Matcher applies Rules to ops.
type Matcher struct {
	header   string
	prefix   []byte
	networks *bart.Table[string]
	known    map[string]bool
}

// New validates the rules and returns a Matcher. It returns an error for an invalid name or prefix, and for a prefix of
// two tenants.
func New(r Rules) (*Matcher, error) {
	m := &Matcher{header: r.Header, prefix: []byte(r.PathPrefix), networks: &bart.Table[string]{}}
	if len(r.Known) > 0 {
		m.known = map[string]bool{}
		for _, name := range r.Known {
			if !valid([]byte(name)) {
				return nil, fmt.Errorf("tenant %.40q: a name must have 1 to %d printable bytes and no spaces", name, maxNameBytes)
			}
			m.known[name] = true
		}
	}
	for name, prefixes := range r.Networks {
		if !valid([]byte(name)) || m.known != nil && !m.known[name] {
			return nil, fmt.Errorf("tenant %.40q has networks, but is not among the known tenants", name)
		}
		for _, text := range prefixes {
			p, err := netip.ParsePrefix(text)
			if err != nil {
				return nil, fmt.Errorf("tenant %.40q: %q is not a network prefix", name, text)
			}
			if p != p.Masked() {
				return nil, fmt.Errorf("tenant %.40q: %q has host bits set; the network is %v", name, text, p.Masked())
			}
			if other, ok := m.networks.Get(p); ok && other != name {
				return nil, fmt.Errorf("tenants %.40q and %.40q both have the network %v", min(name, other), max(name, other), p)
			}
			m.networks.Insert(p, name)
		}
	}
	return m, nil
}

// valid reports whether a name is of 1 to maxNameBytes bytes, none of them a space or an ASCII control character.
func valid(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c == 0x7f {
			return false
		}
	}
	return len(b) > 0 && len(b) <= maxNameBytes
}

// Tenant returns the tenant of an op. field is the value of the header field named by Header, or nil if the op has none.
// If the first rule that applies yields an invalid name, the result is Unknown; the next rules are not tried.
func (m *Matcher) Tenant(field []byte, target []byte, client netip.Addr) string {
	if m.header != "" && field != nil {
		return m.validated(field)
	}
	if len(m.prefix) > 0 && bytes.HasPrefix(target, m.prefix) {
		name := target[len(m.prefix):]
		if end := bytes.IndexAny(name, "/?#"); end >= 0 {
			name = name[:end]
		}
		return m.validated(name)
	}
	if name, ok := m.networks.Lookup(client.Unmap()); ok {
		return name
	}
	return Unknown
}

// Header returns the name of the header field that Tenant needs; empty if none.
func (m *Matcher) Header() string { return m.header }

// validated returns the name if it is valid and known, otherwise Unknown.
func (m *Matcher) validated(name []byte) string {
	if !valid(name) || m.known != nil && !m.known[string(name)] {
		return Unknown
	}
	return string(name)
}

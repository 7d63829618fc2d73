package match

import (
	"net/netip"
	"strings"
	"testing"
)

// TestTenant checks the order of the rules and the bounds of names.
func TestTenant(t *testing.T) {
	m, err := New(Rules{Header: "Newsroom", PathPrefix: "/n/", Known: []string{"delo", "vecer", "dnevnik"},
		Networks: map[string][]string{"delo": {"10.0.0.0/8", "2001:db8::/32"}, "vecer": {"10.1.0.0/16"},
			"dnevnik": {"10.1.2.0/24", "10.1.2.3/32"}}})
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ field, target, client, want string }{
		{"delo", "/n/vecer/x", "10.1.2.3", "delo"},
		{"-", "/n/vecer/x", "10.1.2.3", "vecer"},
		{"-", "/n/vecer?x=/n/delo", "10.1.2.3", "vecer"},
		{"-", "/x", "10.1.2.3", "dnevnik"},
		{"-", "/x", "10.1.3.3", "vecer"},
		{"-", "/x", "10.2.3.3", "delo"},
		{"-", "/x", "::ffff:10.2.3.3", "delo"},
		{"-", "/x", "2001:db8:1::1", "delo"},
		{"-", "/x", "192.0.2.1", Unknown},
		{"", "/n/vecer/x", "10.1.2.3", Unknown},
		{"DELO", "/x", "10.1.2.3", Unknown},
		{strings.Repeat("d", 1<<16), "/x", "10.1.2.3", Unknown},
		{"de lo", "/x", "10.1.2.3", Unknown},
		{"-", "/n/", "10.1.2.3", Unknown},
		{"-", "/n/%00", "10.1.2.3", Unknown},
	} {
		field := []byte(c.field)
		if c.field == "-" {
			field = nil
		}
		if got := m.Tenant(field, []byte(c.target), netip.MustParseAddr(c.client)); got != c.want {
			t.Errorf("%.20q %s %s: %q, want %q", c.field, c.target, c.client, got, c.want)
		}
	}
	open, err := New(Rules{Header: "Newsroom"})
	if err != nil || open.Tenant([]byte("anybody"), nil, netip.Addr{}) != "anybody" ||
		open.Tenant(nil, []byte("/"), netip.Addr{}) != Unknown {
		t.Error(err)
	}
}

// TestRules checks that invalid rules are refused.
func TestRules(t *testing.T) {
	for want, r := range map[string]Rules{
		"not a network prefix":        {Networks: map[string][]string{"a": {"10.0.0.0"}}},
		"network is 10.0.0.0/8":       {Networks: map[string][]string{"a": {"10.0.0.1/8"}}},
		"both have the network":       {Networks: map[string][]string{"a": {"10.0.0.0/8"}, "b": {"10.0.0.0/8"}}},
		"not among the known tenants": {Known: []string{"a"}, Networks: map[string][]string{"b": {"10.0.0.0/8"}}},
		"printable":                   {Known: []string{"a b"}},
	} {
		if _, err := New(r); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
	}
}

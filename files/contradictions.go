package files

import (
	"fmt"
	"net"
	"net/netip"
	"strconv"
	"time"

	"vetchdoor/tenancy"
)

// A contradiction is between values that are each allowed. Each check names the later of the two places.

func fault(pointer string, found any, allowed string, args ...any) *ValidationError {
	text := fmt.Sprint(found)
	if s, ok := found.(string); ok {
		text = strconv.Quote(s)
	}
	if d, ok := found.(Duration); ok {
		text = time.Duration(d).String()
	}
	return &ValidationError{Pointer: pointer, Found: text, Allowed: fmt.Sprintf(allowed, args...)}
}

func (s *Service) contradictions(at string) *ValidationError {
	if f := twice(at+"/zones", len(s.Zones), func(i int) string { return s.Zones[i] }); f != nil {
		return f
	}
	if f := twice(at+"/op_types", len(s.OpTypes), func(i int) string { return s.OpTypes[i].Name }); f != nil {
		return f
	}
	for i, t := range s.OpTypes {
		here := fmt.Sprintf("%s/op_types/%d", at, i)
		switch {
		case t.TargetLatency <= 0:
			return fault(here+"/target_latency", t.TargetLatency, "more than 0")
		case t.OpTimeout < t.TargetLatency:
			return fault(here+"/op_timeout", t.OpTimeout, "at least the target latency, %v", t.TargetLatency.AsDuration())
		case t.Repeat == "deduplicated" && t.DedupWindow <= 0:
			return fault(here+"/dedup_window", t.DedupWindow, "more than 0, for the op type is deduplicated")
		case t.Repeat != "deduplicated" && (t.DedupWindow != 0 || t.Group != ""):
			return fault(here+"/repeat", t.Repeat, "deduplicated, where a group or a dedup_window is given")
		}
	}
	if s.ReportEvery.AsDuration() < 10*time.Millisecond {
		return fault(at+"/report_every", s.ReportEvery, "10ms or more")
	}
	if s.OutlierAfter > 0 && s.OutlierFor <= 0 {
		return fault(at+"/outlier_for", s.OutlierFor, "more than 0, for outlier_after is given")
	}
	return s.packsContradict(at)
}

func twice(at string, n int, key func(int) string) *ValidationError {
	seen := map[string]bool{}
	for i := range n {
		if k := key(i); seen[k] {
			return fault(fmt.Sprintf("%s/%d", at, i), k, "a name that no other bears")
		} else {
			seen[k] = true
		}
	}
	return nil
}

func (s *Service) zone(at, zone string) *ValidationError {
	if s.ZoneIndex(zone) < 0 {
		return fault(at, zone, "one of the zones %v", s.Zones)
	}
	return nil
}

func (l *Limits) contradictions(at string) *ValidationError {
	switch {
	case l.EmptyFor <= 0:
		return fault(at+"/empty_for", l.EmptyFor, "more than 0")
	case l.DrainGrace <= 0:
		return fault(at+"/drain_grace", l.DrainGrace, "more than 0")
	case l.ColdFor > 0 && l.FallAfter <= 0:
		return fault(at+"/fall_after", l.FallAfter, "more than 0, for servers start cold")
	}
	return nil
}

func (c *Channel) contradictions(at string, proxies, bootstrap, types int, l *Limits) *ValidationError {
	// Rules 1 and 3 ask that what cannot be put off can be sent in time: a withdrawal to each proxy, and a table.
	least := proxies * (c.MessageLines + types + 2)
	if c.MaxWaitingLines < least {
		return fault(at+"/most_waiting", c.MaxWaitingLines, "%d or more: one line to each of %d proxies", least, proxies)
	}
	if need := float64(least) / c.LinesPerSecond; need > l.DrainGrace.AsDuration().Seconds() {
		return fault(at+"/lines_per_second", c.LinesPerSecond, "%.0f or more: a line to each proxy within drain_grace, %v",
			float64(least)/l.DrainGrace.AsDuration().Seconds(), l.DrainGrace.AsDuration())
	}
	if c.MessageCap == 1 {
		return fault(at+"/message_cap", c.MessageCap, "2 or more, for one is the pilot's own; or 0")
	}
	if c.MessageCap > 0 && c.MessageCapPeriod <= 0 {
		return fault(at+"/message_cap_over", c.MessageCapPeriod, "more than 0, for message_cap is given")
	}
	return nil
}

func first(faults ...func() *ValidationError) *ValidationError {
	for _, f := range faults {
		if found := f(); found != nil {
			return found
		}
	}
	return nil
}

func logsContradict(logs []Log) *ValidationError {
	spools := map[string]bool{}
	for i, l := range logs {
		here := fmt.Sprintf("/log/%d", i)
		if _, _, err := net.SplitHostPort(l.Address); err != nil && (l.Network == "udp" || l.Network == "tcp" || l.Network == "tls") {
			return fault(here+"/address", l.Address, "HOST:PORT, for the network is %s", l.Network)
		}
		if l.Network != "tls" && l.CA+l.Cert+l.Key+l.Name != "" {
			return fault(here+"/network", l.Network, "tls, where certificates are given")
		}
		if (l.Cert == "") != (l.Key == "") {
			return fault(here+"/key", l.Key, "a file where there is a cert, none where there is none")
		}
		if l.SpoolBytes > 0 && l.Spool == "" {
			return fault(here+"/spool_bytes", l.SpoolBytes, "a spool beside it")
		}
		if l.Spool != "" && spools[l.Spool] {
			return fault(here+"/spool", l.Spool, "a directory that no other has")
		}
		spools[l.Spool] = true
	}
	return nil
}

func (p *Pilot) contradictions() *ValidationError {
	return first(
		func() *ValidationError { return logsContradict(p.Log) },
		func() *ValidationError { return p.Service.contradictions("/service") },
		func() *ValidationError { return p.Service.zone("/zone", p.Zone) },
		func() *ValidationError { return p.Limits.contradictions("/limits") },
		func() *ValidationError {
			return p.Channel.contradictions("/channel", p.Proxies, p.Service.Bootstrap, len(p.Service.OpTypes), &p.Limits)
		},
		func() *ValidationError {
			if p.Instance >= max(1, p.Instances) {
				return fault("/instance", p.Instance, "under instances, %d", max(1, p.Instances))
			}
			return nil
		},
		func() *ValidationError {
			if c := p.Channel.MessageCap; c > 0 && (p.Tenants || p.Moves != nil) {
				return fault("/channel/message_cap", c, "0, for limits and bindings of tenants are messages of their own")
			}
			if m := p.Moves; m != nil && m.MaxHold > 0 {
				if write, window := tenancy.MoveDurations(p.Service.Types(), p.Service.WriteLifetime.AsDuration()); m.MaxHold.AsDuration() <= write+window {
					return fault("/moves/most", m.MaxHold, "more than %v, which each move waits out", write+window)
				}
			}
			return nil
		},
	)
}

// leastSilence is how long a proxy must bear from its pilot, which pings each second.
const leastSilence = 2 * time.Second

func (p *Proxy) contradictions() *ValidationError {
	if f := first(
		func() *ValidationError { return logsContradict(p.Log) },
		func() *ValidationError { return p.Service.contradictions("/service") },
		func() *ValidationError { return p.Service.zone("/zone", p.Zone) }); f != nil {
		return f
	}
	if s := p.SilenceTimeout; s > 0 && s.AsDuration() < leastSilence {
		return fault("/silent_after", s, "%v or more, for a pilot speaks once a second", leastSilence)
	}
	for i, at := range p.Pilots {
		if f := p.Service.zone(fmt.Sprintf("/pilots/%d/zone", i), at.Zone); f != nil {
			return f
		}
	}
	seen := map[uint32]bool{}
	for i, s := range p.Servers {
		here := fmt.Sprintf("/servers/%d", i)
		if f := p.Service.zone(here+"/zone", s.Zone); f != nil {
			return f
		}
		if _, err := netip.ParseAddrPort(s.Address); err != nil {
			return fault(here+"/address", s.Address, "an IP address with a port")
		}
		if seen[s.Endpoint] {
			return fault(here+"/endpoint", s.Endpoint, "a number that no other server has")
		}
		seen[s.Endpoint] = true
	}
	return nil
}

func nodesContradict(at string, nodes []NodeAt, machines []Machine, s *Service) *ValidationError {
	names := map[string]bool{}
	for i, m := range machines {
		if m.Speed[0] > m.Speed[1] {
			return fault(fmt.Sprintf("%s/machines/%d/speed", at, i), m.Speed, "the lower figure first")
		}
		names[m.Name] = true
	}
	seen := map[uint32]bool{}
	for i, n := range nodes {
		here := fmt.Sprintf("%s/nodes/%d", at, i)
		if !names[n.Machine] {
			return fault(here+"/machine", n.Machine, "the name of one of the machines")
		}
		if f := s.zone(here+"/zone", n.Zone); f != nil {
			return f
		}
		if seen[n.Endpoint] {
			return fault(here+"/endpoint", n.Endpoint, "a number that no other node has")
		}
		seen[n.Endpoint] = true
	}
	return nil
}

func (n *Node) contradictions() *ValidationError {
	return first(
		func() *ValidationError { return n.Service.contradictions("/service") },
		func() *ValidationError { return n.Limits.contradictions("/limits") },
		func() *ValidationError { return nodesContradict("", n.Nodes, n.Machines, &n.Service) },
	)
}

func (r *Roster) contradictions() *ValidationError {
	s := &Service{Zones: r.Zones}
	seen := map[uint32]bool{}
	for i, e := range r.Entries {
		here := fmt.Sprintf("/entries/%d", i)
		if f := s.zone(here+"/zone", e.Zone); f != nil {
			return f
		}
		if _, err := netip.ParseAddrPort(e.Address); err != nil {
			return fault(here+"/address", e.Address, "an IP address with a port")
		}
		if seen[e.Endpoint] {
			return fault(here+"/endpoint", e.Endpoint, "a number that no other entry has")
		}
		seen[e.Endpoint] = true
	}
	return nil
}

func (d *Day) contradictions() *ValidationError {
	if f := first(
		func() *ValidationError { return d.Service.contradictions("/service") },
		func() *ValidationError { return d.Limits.contradictions("/limits") },
		func() *ValidationError {
			return d.Channel.contradictions("/channel", d.Fleet.Proxies, d.Service.Bootstrap, len(d.Service.OpTypes), &d.Limits)
		},
		func() *ValidationError {
			return nodesContradict("/fleet", d.Fleet.Exactly, d.Fleet.Machines, &d.Service)
		}); f != nil {
		return f
	}
	if (d.Load.OfCapacity > 0) == (d.Load.PerSecond > 0) {
		return fault("/load/of_capacity", d.Load.OfCapacity, "one of of_capacity and ops_per_second above 0")
	}
	if n := len(d.Fleet.ProxyList); n > 0 && n != d.Fleet.Proxies {
		return fault("/fleet/proxy_list", n, "as many as proxies, %d", d.Fleet.Proxies)
	}
	if n := len(d.Fleet.PilotList); n > 0 && n != d.Fleet.Pilots {
		return fault("/fleet/pilot_list", n, "as many as pilots, %d", d.Fleet.Pilots)
	}
	if n := len(d.Fleet.Exactly); n > 0 && n != d.Fleet.Nodes+d.Fleet.Spare {
		return fault("/fleet/exactly", n, "as many as nodes and spare together, %d", d.Fleet.Nodes+d.Fleet.Spare)
	}
	for i, p := range d.Fleet.ProxyList {
		if f := d.Service.zone(fmt.Sprintf("/fleet/proxy_list/%d/zone", i), p.Zone); f != nil {
			return f
		}
	}
	for i, z := range d.Fleet.PilotList {
		if f := d.Service.zone(fmt.Sprintf("/fleet/pilot_list/%d", i), z); f != nil {
			return f
		}
	}
	types := map[string]bool{}
	for _, t := range d.Service.OpTypes {
		types[t.Name] = true
	}
	for i, w := range d.Load.Works {
		if !types[w.OpType] {
			return fault(fmt.Sprintf("/load/works/%d/op_type", i), w.OpType, "the name of one of the op types")
		}
		if w.Mean <= 0 {
			return fault(fmt.Sprintf("/load/works/%d/mean", i), w.Mean, "more than 0")
		}
	}
	if n := len(d.Load.ZoneShare); n > 0 && n != len(d.Service.Zones) {
		return fault("/load/zone_share", n, "one share for each of the %d zones", len(d.Service.Zones))
	}
	for i, t := range d.Troubles {
		if t.At > d.Length {
			return fault(fmt.Sprintf("/troubles/%d/at", i), t.At, "at most the day's length, %v", d.Length.AsDuration())
		}
		if t.Zone != "" {
			if f := d.Service.zone(fmt.Sprintf("/troubles/%d/zone", i), t.Zone); f != nil {
				return f
			}
		}
	}
	return nil
}

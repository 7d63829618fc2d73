package files

import (
	"fmt"
	"net"
	"net/netip"
	"strconv"
	"time"

	"vetchdoor/tenancy"
)

// The checks in this file find contradictions between values that the schema allows one by one. Each error names the
// later of the two places.

func invalid(pointer string, value any, allowed string, args ...any) *ValidationError {
	text := fmt.Sprint(value)
	if s, ok := value.(string); ok {
		text = strconv.Quote(s)
	}
	if d, ok := value.(Duration); ok {
		text = time.Duration(d).String()
	}
	return &ValidationError{Pointer: pointer, Found: text, Allowed: fmt.Sprintf(allowed, args...)}
}

func (s *Service) checkConsistency(pointer string) *ValidationError {
	if f := checkUnique(pointer+"/zones", len(s.Zones), func(i int) string { return s.Zones[i] }); f != nil {
		return f
	}
	if f := checkUnique(pointer+"/op_types", len(s.OpTypes), func(i int) string { return s.OpTypes[i].Name }); f != nil {
		return f
	}
	for i, t := range s.OpTypes {
		itemPointer := fmt.Sprintf("%s/op_types/%d", pointer, i)
		switch {
		case t.TargetLatency <= 0:
			return invalid(itemPointer+"/target_latency", t.TargetLatency, "more than 0")
		case t.OpTimeout < t.TargetLatency:
			return invalid(itemPointer+"/op_timeout", t.OpTimeout, "at least the target latency, %v", t.TargetLatency.AsDuration())
		case t.Repeat == "deduplicated" && t.DedupWindow <= 0:
			return invalid(itemPointer+"/dedup_window", t.DedupWindow, "more than 0, because the op type is deduplicated")
		case t.Repeat != "deduplicated" && (t.DedupWindow != 0 || t.Group != ""):
			return invalid(itemPointer+"/repeat", t.Repeat, "deduplicated, where a group or a dedup_window is given")
		}
	}
	if s.ReportEvery.AsDuration() < 10*time.Millisecond {
		return invalid(pointer+"/report_every", s.ReportEvery, "10ms or more")
	}
	if s.OutlierAfter > 0 && s.OutlierFor <= 0 {
		return invalid(pointer+"/outlier_for", s.OutlierFor, "more than 0, because outlier_after is given")
	}
	return s.checkPacks(pointer)
}

func checkUnique(pointer string, n int, key func(int) string) *ValidationError {
	seen := map[string]bool{}
	for i := range n {
		if k := key(i); seen[k] {
			return invalid(fmt.Sprintf("%s/%d", pointer, i), k, "a unique name")
		} else {
			seen[k] = true
		}
	}
	return nil
}

func (s *Service) checkZone(pointer, zone string) *ValidationError {
	if s.ZoneIndex(zone) < 0 {
		return invalid(pointer, zone, "one of the zones %v", s.Zones)
	}
	return nil
}

func (l *Limits) checkConsistency(pointer string) *ValidationError {
	switch {
	case l.EmptyFor <= 0:
		return invalid(pointer+"/empty_for", l.EmptyFor, "more than 0")
	case l.DrainGrace <= 0:
		return invalid(pointer+"/drain_grace", l.DrainGrace, "more than 0")
	case l.ColdFor > 0 && l.FallAfter <= 0:
		return invalid(pointer+"/fall_after", l.FallAfter, "more than 0, because servers start cold")
	}
	return nil
}

func (c *Channel) checkConsistency(pointer string, proxies, bootstrap, types int, l *Limits) *ValidationError {
	// Rule 1 (no proxy stays without a server) and rule 3 (draining servers get no ops after the grace period) require that
	// urgent lines can be sent in time: a withdrawal and a table for each proxy.
	minLines := proxies * (c.MessageLines + types + 2)
	if c.MaxWaitingLines < minLines {
		return invalid(pointer+"/most_waiting", c.MaxWaitingLines, "%d or more: one line to each of %d proxies", minLines, proxies)
	}
	if seconds := float64(minLines) / c.LinesPerSecond; seconds > l.DrainGrace.AsDuration().Seconds() {
		return invalid(pointer+"/lines_per_second", c.LinesPerSecond, "%.0f or more: a line to each proxy within drain_grace, %v",
			float64(minLines)/l.DrainGrace.AsDuration().Seconds(), l.DrainGrace.AsDuration())
	}
	if c.MessageCap == 1 {
		return invalid(pointer+"/message_cap", c.MessageCap, "0, or 2 or more, because one message is reserved for the pilot")
	}
	if c.MessageCap > 0 && c.MessageCapPeriod <= 0 {
		return invalid(pointer+"/message_cap_over", c.MessageCapPeriod, "more than 0, because message_cap is given")
	}
	return nil
}

func firstError(checks ...func() *ValidationError) *ValidationError {
	for _, f := range checks {
		if err := f(); err != nil {
			return err
		}
	}
	return nil
}

func checkLogs(logs []Log) *ValidationError {
	spools := map[string]bool{}
	for i, l := range logs {
		itemPointer := fmt.Sprintf("/log/%d", i)
		if _, _, err := net.SplitHostPort(l.Address); err != nil && (l.Network == "udp" || l.Network == "tcp" || l.Network == "tls") {
			return invalid(itemPointer+"/address", l.Address, "HOST:PORT, because the network is %s", l.Network)
		}
		if l.Network != "tls" && l.CA+l.Cert+l.Key+l.Name != "" {
			return invalid(itemPointer+"/network", l.Network, "tls, because certificates are given")
		}
		if (l.Cert == "") != (l.Key == "") {
			return invalid(itemPointer+"/key", l.Key, "a file if cert is given, otherwise nothing")
		}
		if l.SpoolBytes > 0 && l.Spool == "" {
			return invalid(itemPointer+"/spool_bytes", l.SpoolBytes, "0, because no spool is given")
		}
		if l.Spool != "" && spools[l.Spool] {
			return invalid(itemPointer+"/spool", l.Spool, "a directory that no other log uses")
		}
		spools[l.Spool] = true
	}
	return nil
}

func (p *Pilot) checkConsistency() *ValidationError {
	return firstError(
		func() *ValidationError { return checkLogs(p.Log) },
		func() *ValidationError { return p.Service.checkConsistency("/service") },
		func() *ValidationError { return p.Service.checkZone("/zone", p.Zone) },
		func() *ValidationError { return p.Limits.checkConsistency("/limits") },
		func() *ValidationError {
			return p.Channel.checkConsistency("/channel", p.Proxies, p.Service.Bootstrap, len(p.Service.OpTypes), &p.Limits)
		},
		func() *ValidationError {
			if p.Instance >= max(1, p.Instances) {
				return invalid("/instance", p.Instance, "less than instances, %d", max(1, p.Instances))
			}
			return nil
		},
		func() *ValidationError {
			if c := p.Channel.MessageCap; c > 0 && (p.Tenants || p.Moves != nil) {
				return invalid("/channel/message_cap", c, "0, because limits and bindings of tenants are sent as additional messages")
			}
			if m := p.Moves; m != nil && m.MaxHold > 0 {
				if write, window := tenancy.MoveDurations(p.Service.Types(),
					p.Service.WriteLifetime.AsDuration()); m.MaxHold.AsDuration() <= write+window {
					return invalid("/moves/most", m.MaxHold, "more than %v, the time that each move waits", write+window)
				}
			}
			return nil
		},
	)
}

// minSilenceTimeout is the lower limit for the silence timeout of a proxy; a pilot sends a heartbeat every second.
const minSilenceTimeout = 2 * time.Second

func (p *Proxy) checkConsistency() *ValidationError {
	if f := firstError(
		func() *ValidationError { return checkLogs(p.Log) },
		func() *ValidationError { return p.Service.checkConsistency("/service") },
		func() *ValidationError { return p.Service.checkZone("/zone", p.Zone) }); f != nil {
		return f
	}
	if s := p.SilenceTimeout; s > 0 && s.AsDuration() < minSilenceTimeout {
		return invalid("/silent_after", s, "%v or more, because a pilot sends a heartbeat once a second", minSilenceTimeout)
	}
	for i, pilot := range p.Pilots {
		if f := p.Service.checkZone(fmt.Sprintf("/pilots/%d/zone", i), pilot.Zone); f != nil {
			return f
		}
	}
	seen := map[uint32]bool{}
	for i, s := range p.Servers {
		itemPointer := fmt.Sprintf("/servers/%d", i)
		if f := p.Service.checkZone(itemPointer+"/zone", s.Zone); f != nil {
			return f
		}
		if _, err := netip.ParseAddrPort(s.Address); err != nil {
			return invalid(itemPointer+"/address", s.Address, "an IP address with a port")
		}
		if seen[s.Endpoint] {
			return invalid(itemPointer+"/endpoint", s.Endpoint, "a number that no other server uses")
		}
		seen[s.Endpoint] = true
	}
	return nil
}

func checkNodes(pointer string, nodes []NodeAt, machines []Machine, s *Service) *ValidationError {
	names := map[string]bool{}
	for i, m := range machines {
		if m.Speed[0] > m.Speed[1] {
			return invalid(fmt.Sprintf("%s/machines/%d/speed", pointer, i), m.Speed, "the lower value first")
		}
		names[m.Name] = true
	}
	seen := map[uint32]bool{}
	for i, n := range nodes {
		itemPointer := fmt.Sprintf("%s/nodes/%d", pointer, i)
		if !names[n.Machine] {
			return invalid(itemPointer+"/machine", n.Machine, "the name of one of the machines")
		}
		if f := s.checkZone(itemPointer+"/zone", n.Zone); f != nil {
			return f
		}
		if seen[n.Endpoint] {
			return invalid(itemPointer+"/endpoint", n.Endpoint, "a number that no other node uses")
		}
		seen[n.Endpoint] = true
	}
	return nil
}

func (n *Node) checkConsistency() *ValidationError {
	return firstError(
		func() *ValidationError { return n.Service.checkConsistency("/service") },
		func() *ValidationError { return n.Limits.checkConsistency("/limits") },
		func() *ValidationError { return checkNodes("", n.Nodes, n.Machines, &n.Service) },
	)
}

func (r *Roster) checkConsistency() *ValidationError {
	s := &Service{Zones: r.Zones}
	seen := map[uint32]bool{}
	for i, e := range r.Entries {
		itemPointer := fmt.Sprintf("/entries/%d", i)
		if f := s.checkZone(itemPointer+"/zone", e.Zone); f != nil {
			return f
		}
		if _, err := netip.ParseAddrPort(e.Address); err != nil {
			return invalid(itemPointer+"/address", e.Address, "an IP address with a port")
		}
		if seen[e.Endpoint] {
			return invalid(itemPointer+"/endpoint", e.Endpoint, "a number that no other entry uses")
		}
		seen[e.Endpoint] = true
	}
	return nil
}

func (d *Day) checkConsistency() *ValidationError {
	if f := firstError(
		func() *ValidationError { return d.Service.checkConsistency("/service") },
		func() *ValidationError { return d.Limits.checkConsistency("/limits") },
		func() *ValidationError {
			return d.Channel.checkConsistency("/channel", d.Fleet.Proxies, d.Service.Bootstrap, len(d.Service.OpTypes), &d.Limits)
		},
		func() *ValidationError {
			return checkNodes("/fleet", d.Fleet.Exactly, d.Fleet.Machines, &d.Service)
		}); f != nil {
		return f
	}
	if (d.Load.OfCapacity > 0) == (d.Load.PerSecond > 0) {
		return invalid("/load/of_capacity", d.Load.OfCapacity, "exactly one of of_capacity and ops_per_second above 0")
	}
	if n := len(d.Fleet.ProxyList); n > 0 && n != d.Fleet.Proxies {
		return invalid("/fleet/proxy_list", n, "as many as proxies, %d", d.Fleet.Proxies)
	}
	if n := len(d.Fleet.PilotList); n > 0 && n != d.Fleet.Pilots {
		return invalid("/fleet/pilot_list", n, "as many as pilots, %d", d.Fleet.Pilots)
	}
	if n := len(d.Fleet.Exactly); n > 0 && n != d.Fleet.Nodes+d.Fleet.Spare {
		return invalid("/fleet/exactly", n, "as many as nodes and spare together, %d", d.Fleet.Nodes+d.Fleet.Spare)
	}
	for i, p := range d.Fleet.ProxyList {
		if f := d.Service.checkZone(fmt.Sprintf("/fleet/proxy_list/%d/zone", i), p.Zone); f != nil {
			return f
		}
	}
	for i, z := range d.Fleet.PilotList {
		if f := d.Service.checkZone(fmt.Sprintf("/fleet/pilot_list/%d", i), z); f != nil {
			return f
		}
	}
	types := map[string]bool{}
	for _, t := range d.Service.OpTypes {
		types[t.Name] = true
	}
	for i, w := range d.Load.Works {
		if !types[w.OpType] {
			return invalid(fmt.Sprintf("/load/works/%d/op_type", i), w.OpType, "the name of one of the op types")
		}
		if w.Mean <= 0 {
			return invalid(fmt.Sprintf("/load/works/%d/mean", i), w.Mean, "more than 0")
		}
	}
	if n := len(d.Load.ZoneShare); n > 0 && n != len(d.Service.Zones) {
		return invalid("/load/zone_share", n, "one share for each of the %d zones", len(d.Service.Zones))
	}
	for i, t := range d.Troubles {
		if t.At > d.Length {
			return invalid(fmt.Sprintf("/troubles/%d/at", i), t.At, "at most the day's length, %v", d.Length.AsDuration())
		}
		if t.Zone != "" {
			if f := d.Service.checkZone(fmt.Sprintf("/troubles/%d/zone", i), t.Zone); f != nil {
				return f
			}
		}
	}
	return nil
}

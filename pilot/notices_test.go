package pilot

import (
	"strings"
	"testing"

	"vetchdoor/control"
	"vetchdoor/runtime"
)

// Notices must not exceed their part of the channel, and no proxy may be starved. A notice that does not fit waits, with the
// newest location only, until notices of other proxies are confirmed or such a proxy leaves.
func TestNoticeBudget(t *testing.T) {
	ds := newDesiredState(1, 3, serverAt)
	bound := []control.Order{control.PutLine{Endpoint: 5, Weight: 1}, control.PutLine{Endpoint: 6, Weight: 1}}
	for id := range control.ProxyID(4) {
		ds.join(id, nil, false, 0)
		bound = append(bound, control.Bind{Table: 0, Proxy: id})
	}
	ds.translate(bound)
	ds.budget.maxLines = 9
	ds.markMoved([]control.EndpointID{5, 6})
	ds.markMoved([]control.EndpointID{5})
	const place5, place6 = "add server t0/e5 127.0.0.1:8005 weight 1 zone 1 pack 0",
		"add server t0/e6 127.0.0.1:8006 weight 1 zone 0 pack 0"
	sent := map[control.ProxyID]string{}
	step := func(want ...control.ProxyID) (messages []outgoing) {
		t.Helper()
		messages, _ = ds.noticeMessages(0)
		if ds.budget.usedLines > ds.budget.maxLines {
			t.Errorf("%d lines of notices exceed the budget of %d", ds.budget.usedLines, ds.budget.maxLines)
		}
		if len(messages) != len(want) {
			t.Fatalf("messages %q, want to %v", formatMessages(messages), want)
		}
		for i, m := range messages {
			if m.proxy != want[i] || m.noticeLines != m.Lines {
				t.Errorf("message %q of %d notices, want to %d", formatMessages(messages[i:i+1]), m.noticeLines, want[i])
			}
			for _, c := range m.Changes {
				sent[m.proxy] += c.String() + ";"
			}
		}
		return messages
	}
	first := step(0, 1)
	step()
	ds.confirmNotices(first[0])
	second := step(2)
	ds.leave(1)
	step(3)
	ds.confirmNotices(second[0])
	step(3) // the notices of proxy 3 that did not fit before
	step()
	for id := range control.ProxyID(4) {
		if got, want := sent[id], place5+";"+place6+";"; got != want && id != 1 {
			t.Errorf("proxy %d was sent %q, want %q", id, got, want)
		}
	}
	if len(ds.pendingNotices) > 0 {
		t.Errorf("notices still pending for %v", ds.pendingNotices)
	}
	ds.markLimits([]runtime.Change{{Verb: runtime.SetTenant, Tenant: "delo", Rate: 8, MaxInFlight: 6}})
	ds.markLimits([]runtime.Change{{Verb: runtime.SetTenant, Tenant: "delo", Rate: -1, MaxInFlight: -1, SubsetFactor: 1}})
	messages, _ := ds.translate([]control.Order{control.Checkpoint{All: true}})
	if got := formatMessages(messages); !strings.Contains(got, "set tenant =delo rate * ") {
		t.Errorf("lifted limit not sent in place of the earlier one: %q", got)
	}
}

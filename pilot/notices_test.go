package pilot

import (
	"strings"
	"testing"

	"vetchdoor/control"
	"vetchdoor/runtime"
)

// TestNoticesKeepTheirBudget guards against lines of the pilot's own past their part of the channel, and against a proxy that
// never gets its turn: what has no room waits, newest place alone, until lines are confirmed or their proxy leaves.
func TestNoticesKeepTheirBudget(t *testing.T) {
	ds := newDesiredState(1, 3, at)
	bound := []control.Order{control.PutLine{Endpoint: 5, Weight: 1}, control.PutLine{Endpoint: 6, Weight: 1}}
	for id := range control.ProxyID(4) {
		ds.join(id, nil, false, 0)
		bound = append(bound, control.Bind{Table: 0, Proxy: id})
	}
	ds.write(bound)
	ds.budget.most = 9
	ds.moved([]control.EndpointID{5, 6})
	ds.moved([]control.EndpointID{5})
	const place5, place6 = "add server t0/e5 127.0.0.1:8005 weight 1 zone 1 pack 0", "add server t0/e6 127.0.0.1:8006 weight 1 zone 0 pack 0"
	sent := map[control.ProxyID]string{}
	step := func(want ...control.ProxyID) (messages []outgoing) {
		t.Helper()
		messages, _ = ds.notify(0)
		if ds.budget.used > ds.budget.most {
			t.Errorf("%d lines of %d", ds.budget.used, ds.budget.most)
		}
		if len(messages) != len(want) {
			t.Fatalf("messages %q, want to %v", text(messages), want)
		}
		for i, m := range messages {
			if m.proxy != want[i] || m.notices != m.Lines {
				t.Errorf("message %q of %d notices, want to %d", text(messages[i:i+1]), m.notices, want[i])
			}
			for _, c := range m.Changes {
				sent[m.proxy] += c.String() + ";"
			}
		}
		return messages
	}
	first := step(0, 1)
	step()
	ds.confirmed(first[0])
	second := step(2)
	ds.leave(1)
	step(3)
	ds.confirmed(second[0])
	step(3) // the rest of what it is to be told
	step()
	for id := range control.ProxyID(4) {
		if got, want := sent[id], place5+";"+place6+";"; got != want && id != 1 {
			t.Errorf("proxy %d was told %q, want %q", id, got, want)
		}
	}
	if len(ds.due) > 0 {
		t.Errorf("%v are yet to be told", ds.due)
	}
	ds.limit([]runtime.Change{{Verb: runtime.SetTenant, Tenant: "delo", Rate: 8, MaxInFlight: 6}})
	ds.limit([]runtime.Change{{Verb: runtime.SetTenant, Tenant: "delo", Rate: -1, MaxInFlight: -1, SubsetFactor: 1}})
	messages, _ := ds.write([]control.Order{control.Checkpoint{All: true}})
	if got := text(messages); !strings.Contains(got, "set tenant =delo rate * ") {
		t.Errorf("a limit that was lifted while others waited: %q", got)
	}
}

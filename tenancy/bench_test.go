package tenancy

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkQuarantineStep processes one period of 10,000 tenants, each on three pods.
func BenchmarkQuarantineStep(b *testing.B) {
	q := NewQuarantine(time.Second)
	var uses []Usage
	for i := range 10_000 {
		for p := range 3 {
			uses = append(uses, Usage{Tenant: fmt.Sprint("newsroom-", i), Pod: PodID((i*7 + p*31) % 150), Ops: 3,
				Busy: time.Duration(i) * time.Millisecond})
		}
	}
	var health []Health
	for p := range PodID(150) {
		health = append(health, Health{p, 0.5})
	}
	b.ReportAllocs()
	for b.Loop() {
		q.Step(uses, health)
	}
}

// BenchmarkJoin has a proxy join a pilot that has moved 10,000 tenants.
func BenchmarkJoin(b *testing.B) {
	for _, upToDate := range []bool{false, true} {
		b.Run(fmt.Sprintf("up to date %t", upToDate), func(b *testing.B) {
			m := NewMover(MoveLimits{MaxHold: time.Hour}, 1, nil, nil)
			for i := range 10_000 {
				m.Step(0, Event{MoveRequest: &MoveRequest{Tenant: fmt.Sprint("newsroom-", i), To: Placement{Draw: 1}}})
			}
			m.Step(time.Second)
			number := uint64(0)
			if upToDate {
				number = m.number
			}
			b.ReportAllocs()
			for b.Loop() {
				m.Step(time.Minute, Event{Joined: &Joined{Proxy: 1, AppliedUpTo: number}})
			}
		})
	}
}

// BenchmarkSelectPods selects a tenant's subset of a table's 36 pods.
func BenchmarkSelectPods(b *testing.B) {
	pods := testPods(36)
	b.ReportAllocs()
	for b.Loop() {
		SelectPods("newsroom-4711", pods, 3)
	}
}

// BenchmarkDraw selects the group of a write that belongs to no tenant, among all groups of a large fleet, as proxies do
// for each op.
func BenchmarkDraw(b *testing.B) {
	var ids []PodID
	for i := range 170 {
		ids = append(ids, PodOf(i%4, i/4))
	}
	g, w := NewGroups(ids), Write{Key: "5b0c1c2e-6f1d-4e0e-9a38-0f6f3a1d2b4c"}
	for b.Loop() {
		g.Draw(w, g.Subset(w))
	}
}

package tenancy

import (
	"fmt"
	"testing"
	"time"
)

// A period of ten thousand tenants, each at three pods.
func BenchmarkWarden(b *testing.B) {
	w := NewQuarantine(time.Second)
	var uses []Use
	for i := range 10_000 {
		for p := range 3 {
			uses = append(uses, Use{Tenant: fmt.Sprint("newsroom-", i), Pod: PodID((i*7 + p*31) % 150), Ops: 3, Busy: time.Duration(i) * time.Millisecond})
		}
	}
	var health []Health
	for p := range PodID(150) {
		health = append(health, Health{p, 0.5})
	}
	b.ReportAllocs()
	for b.Loop() {
		w.Step(uses, health)
	}
}

// A proxy joins a pilot that has moved ten thousand tenants.
func BenchmarkJoin(b *testing.B) {
	for _, has := range []bool{false, true} {
		b.Run(fmt.Sprintf("knows %t", has), func(b *testing.B) {
			m := NewMover(MoveLimits{MaxHold: time.Hour}, 1, nil, nil)
			for i := range 10_000 {
				m.Step(0, Event{MoveRequest: &MoveRequest{Tenant: fmt.Sprint("newsroom-", i), To: Placement{Draw: 1}}})
			}
			m.Step(time.Second)
			number := uint64(0)
			if has {
				number = m.number
			}
			b.ReportAllocs()
			for b.Loop() {
				m.Step(time.Minute, Event{Joined: &Joined{Proxy: 1, Has: number}})
			}
		})
	}
}

// A tenant's subset among a table's 36 pods.
func BenchmarkPlace(b *testing.B) {
	pods := somePods(36)
	b.ReportAllocs()
	for b.Loop() {
		Place("newsroom-4711", pods, 3)
	}
}

// A write's group is drawn for each op: among all packs of a large fleet where it is nobody's.
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

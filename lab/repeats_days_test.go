package lab

import (
	"log/slog"
	"testing"

	"vetchdoor/files"
	"vetchdoor/lab/days"
)

// repeatingDay returns a short day on which half of the nodes lose half of their responses, and half of the clients'
// retries go through another proxy.
func repeatingDay(t *testing.T) *files.Day {
	d, err := days.Read("moving-evening")
	if err != nil {
		t.Fatal(err)
	}
	d.Length = files.Duration(7 * sec)
	d.Load.Tenants.Moves = false
	d.Load.Tenants.Count = 30
	d.Load.Works[1].Share = 2
	d.Clients.Retries, d.Clients.Elsewhere = 2, 0.5
	d.Troubles = []files.Trouble{{Kind: "answer_lost", Length: d.Length, Part: 0.5, Size: 0.5}}
	return d
}

// repeatingDays are variants of repeatingDay.
var repeatingDays = []struct {
	name   string
	change func(d *files.Day)
}{
	{"one zone, subset 3", func(d *files.Day) { d.Load.Tenants.Subset = 3 }},
	{"no tenants", func(d *files.Day) { d.Load.Tenants = files.TenantLoad{} }},
	{"two zones, subset 1", func(d *files.Day) { d.Service.Zones = []string{"north", "south"} }},
	{"two zones, group zone, subset 3", func(d *files.Day) {
		d.Service.Zones = []string{"north", "south"}
		d.Service.OpTypes[1].Group = "zone"
		d.Load.Tenants.Subset = 3
	}},
	{"one zone, subset 3, pilot down for a second", func(d *files.Day) {
		d.Load.Tenants.Subset = 3
		d.Troubles = append(d.Troubles, files.Trouble{Kind: "balancer_crash", At: files.Duration(2 * sec),
			Length: files.Duration(sec), Part: 1, Extra: 1})
	}},
	{"one zone, subset 3, growth and a change of write packs", func(d *files.Day) {
		d.Length = files.Duration(10 * sec)
		d.Fleet.Spare = 6
		d.Load.Tenants.Subset = 3
		d.Troubles = append(d.Troubles, files.Trouble{Kind: "grow", At: files.Duration(sec / 2), Length: files.Duration(sec)},
			files.Trouble{Kind: "change_packs", At: files.Duration(2 * sec), Length: files.Duration(6 * sec)})
	}},
}

// TestRepeatsAnywhere guards against duplicate effects: a deduplicated write that its client retries within the window
// takes effect once, whichever proxies the tries go through.
func TestRepeatsAnywhere(t *testing.T) {
	t.Parallel()
	for _, c := range repeatingDays {
		t.Run(c.name, func(t *testing.T) {
			d := repeatingDay(t)
			c.change(d)
			r, err := playDay(t, d, Options{Log: slog.New(slog.DiscardHandler)})
			if err != nil {
				t.Fatal(err)
			}
			const fewest = 300
			if r.Effects < fewest {
				t.Errorf("%d effects, need at least %d for a meaningful result", r.Effects, fewest)
			}
			for _, b := range r.Violations {
				if b.Rule == 2 {
					t.Errorf("%+v", b)
				}
			}
			t.Logf("%d of %d effects duplicate against rule 2, %d otherwise; load generator late by %v at p99", r.RuleTwoDuplicates,
				r.Effects, r.DuplicateEffects-r.RuleTwoDuplicates, r.GeneratorLagP99)
		})
	}
}

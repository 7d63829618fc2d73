// Command cells measures what one misbehaving tenant costs the others, with subsets and limits and without, over several
// seeds: it plays a day through real pilots and proxies for each kind of misbehaviour, takes the difference to the same
// seed's day without one, and writes a table with 95% intervals and a plot. Run it in bench/: go run ./cells.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"log"
	"log/slog"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"gonum.org/v1/gonum/stat/distuv"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"vetchdoor/files"
	"vetchdoor/lab"
	"vetchdoor/lab/days"
	"vetchdoor/tenancy"
)

// kind is a way to misbehave.
type kind struct {
	name, how   string
	rate, times float64
}

var kinds = []kind{{"none", "", 0, 0}, {"dear", "", 40, 30}, {"hasty", "hasty", 30, 0}, {"poison", "poison", 2, 0},
	{"slow-reader", "slow-reader", 20, 0}, {"new-names", "new-names", 300, 0}}

// variant is how tenants are kept apart.
type variant struct {
	name   string
	subset int
	limits bool
}

var variants = []variant{{"all share all", 0, false}, {"subset 3, limits", 3, true}}

type result struct {
	Kind, Variant                   string
	Seed                            uint64
	Others, Outside, Inside, Shared float64
	Rules, Falls                    int
	BehindP99                       time.Duration
}

func main() {
	seeds := flag.Uint64("seeds", 8, "seeds")
	abreast := flag.Int("abreast", 3, "days played at a time")
	out := flag.String("out", ".", "where the results and the plot go")
	blast := flag.Bool("blast", false, "measure the blast radius against the size of a subset instead")
	only := flag.String("only", "", "these kinds, with commas between; the results of the others are taken from those that are there")
	flag.Parse()
	var jobs []result
	vs, ks := variants, kinds
	if *blast {
		vs, ks = nil, []kind{kinds[1]}
		for k := range 4 {
			vs = append(vs, variant{fmt.Sprint("subset ", k+1), k + 1, false})
		}
	}
	for seed := uint64(1); seed <= *seeds; seed++ {
		for _, k := range ks {
			for _, v := range vs {
				jobs = append(jobs, result{Kind: k.name, Variant: v.name, Seed: seed})
			}
		}
	}
	if *only != "" {
		var kept []result
		if text, err := os.ReadFile(filepath.Join(*out, "cells.json")); err == nil {
			if err := json.Unmarshal(text, &kept); err != nil {
				log.Fatal(err)
			}
		}
		for i := range jobs {
			if !slices.Contains(strings.Split(*only, ","), jobs[i].Kind) {
				for _, k := range kept {
					if k.Kind == jobs[i].Kind && k.Variant == jobs[i].Variant && k.Seed == jobs[i].Seed {
						jobs[i] = k
					}
				}
			}
		}
	}
	var wg sync.WaitGroup
	room := make(chan bool, *abreast)
	for i := range jobs {
		if jobs[i].Others > 0 {
			continue
		}
		room <- true
		wg.Go(func() {
			defer func() { <-room }()
			play(&jobs[i], ks, vs)
		})
	}
	wg.Wait()
	text, err := json.MarshalIndent(jobs, "", " ")
	if err == nil {
		err = os.WriteFile(filepath.Join(*out, "cells.json"), text, 0o644)
	}
	if err != nil {
		log.Fatal(err)
	}
	if *blast {
		printBlast(jobs, vs)
		return
	}
	printLoss(jobs, filepath.Join(*out, "cells-loss.svg"))
}

// day is the evening for a kind and a variant.
func day(k kind, v variant, seed uint64) (*files.Day, error) {
	d, err := days.Read("tenants-evening")
	if err != nil {
		return nil, err
	}
	s := func(n int) files.Duration { return files.Duration(time.Duration(n) * time.Second) }
	d.Seed, d.Length, d.Fleet.Nodes = seed, s(20), 100
	c := &d.Load.Tenants
	c.Bad, c.BadAt, c.BadLength, c.BadRate, c.BadTimes, c.BadHow = 30, s(5), s(12), k.rate, k.times, k.how
	c.Subset, c.Limits, c.Known = v.subset, v.limits, v.limits
	return d, nil
}

func play(r *result, ks []kind, vs []variant) {
	var k kind
	var v variant
	for _, x := range ks {
		if x.name == r.Kind {
			k = x
		}
	}
	for _, x := range vs {
		if x.name == r.Variant {
			v = x
		}
	}
	d, err := day(k, v, r.Seed)
	if err != nil {
		log.Fatal(err)
	}
	got, err := lab.Run(context.Background(), d, lab.Options{Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		log.Fatal(err)
	}
	t := got.Tenants
	r.Others, r.Outside, r.Inside, r.Shared = t.Others, t.Outside, t.Inside, 1-t.OutsideShare
	r.Rules, r.Falls, r.BehindP99 = len(got.Breaks), got.Falls, got.BehindP99
	fmt.Fprintf(os.Stderr, "%s, %s, seed %d: others %.3f, outside %.3f, %d rules broken\n", r.Kind, r.Variant, r.Seed, r.Others, r.Outside, r.Rules)
}

// interval is the mean of samples and half the width of its 95% interval, by Student's t.
func interval(x []float64) (mean, half float64) {
	for _, v := range x {
		mean += v / float64(len(x))
	}
	if len(x) < 2 {
		return mean, 0
	}
	sq := 0.0
	for _, v := range x {
		sq += (v - mean) * (v - mean)
	}
	n := float64(len(x))
	return mean, distuv.StudentsT{Sigma: 1, Nu: n - 1}.Quantile(0.975) * math.Sqrt(sq/(n-1)/n)
}

// lost are the differences to the same seed's day without misbehaviour.
func lost(jobs []result, kind, variant string, of func(result) float64) (out []float64) {
	calm := map[uint64]float64{}
	for _, r := range jobs {
		if r.Kind == "none" && r.Variant == variant {
			calm[r.Seed] = of(r)
		}
	}
	for _, r := range jobs {
		if r.Kind == kind && r.Variant == variant {
			out = append(out, calm[r.Seed]-of(r))
		}
	}
	return out
}

type bars struct {
	plotter.XYs
	plotter.YErrors
}

func printLoss(jobs []result, path string) {
	p := plot.New()
	p.Title.Text = "Service that others lose to one misbehaving tenant"
	p.Y.Label.Text = "lost of 1"
	var names []string
	var drawn, marks []any
	fmt.Println("| misbehaviour | all share all | subset 3 and limits | of those outside its subset | of those inside |")
	fmt.Println("| --- | --- | --- | --- | --- |")
	series := make([]bars, 3)
	broken := 0
	for _, r := range jobs {
		broken += r.Rules
	}
	for i, k := range kinds[1:] {
		names = append(names, k.name)
		others := func(r result) float64 { return r.Others }
		line := "| " + k.name
		for j, x := range [][]float64{lost(jobs, k.name, variants[0].name, others), lost(jobs, k.name, variants[1].name, others),
			lost(jobs, k.name, variants[1].name, func(r result) float64 { return r.Outside }),
			lost(jobs, k.name, variants[1].name, func(r result) float64 { return r.Inside })} {
			mean, half := interval(x)
			line += fmt.Sprintf(" | %.3f ± %.3f", mean, half)
			if j < 3 {
				series[j].XYs = append(series[j].XYs, plotter.XY{X: float64(i) + 0.2*float64(j-1), Y: mean})
				series[j].YErrors = append(series[j].YErrors, struct{ Low, High float64 }{-half, half})
			}
		}
		fmt.Println(line + " |")
	}
	for _, v := range variants {
		var x []float64
		for _, r := range jobs {
			if r.Kind == "none" && r.Variant == v.name {
				x = append(x, r.Others)
			}
		}
		mean, half := interval(x)
		fmt.Printf("\n%s, nobody misbehaves: %.3f ± %.3f\n", v.name, mean, half)
	}
	fmt.Printf("\nrules broken in all runs: %d\n", broken)
	for j, name := range []string{"all share all", "subset 3, limits", "outside its subset"} {
		drawn, marks = append(drawn, name, series[j]), append(marks, series[j])
	}
	p.NominalX(names...)
	if err := plotutil.AddScatters(p, drawn...); err != nil {
		log.Fatal(err)
	}
	if err := plotutil.AddErrorBars(p, marks...); err != nil {
		log.Fatal(err)
	}
	p.Legend.Top = true
	if err := p.Save(9*vg.Inch, 4*vg.Inch, path); err != nil {
		log.Fatal(err)
	}
}

func printBlast(jobs []result, vs []variant) {
	fmt.Println("| subset | others' ops that can reach a pod of the culprit, predicted | measured | service of those inside | outside |")
	fmt.Println("| --- | --- | --- | --- | --- |")
	for _, v := range vs {
		var shared, inside, outside []float64
		for _, r := range jobs {
			if r.Variant == v.name {
				shared, inside, outside = append(shared, r.Shared), append(inside, r.Inside), append(outside, r.Outside)
			}
		}
		_, any := tenancy.Blast(17, v.subset)
		s, sh := interval(shared)
		i, ih := interval(inside)
		o, oh := interval(outside)
		fmt.Printf("| %d | %.3f | %.3f ± %.3f | %.3f ± %.3f | %.3f ± %.3f |\n", v.subset, any, s, sh, i, ih, o, oh)
	}
}

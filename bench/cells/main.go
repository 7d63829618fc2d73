// Command cells measures what one misbehaving tenant costs the other tenants, with and without subsets and limits.
// For each kind of misbehaviour and several seeds it runs a day with real pilots and proxies and takes the difference
// to the same seed's day without misbehaviour. It writes a table with 95% intervals, and a plot. Run it in bench/: go
// run ./cells.
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

// kind is a way in which a tenant misbehaves.
type kind struct {
	name, how   string
	rate, times float64
}

var kinds = []kind{{"none", "", 0, 0}, {"dear", "", 40, 30}, {"hasty", "hasty", 30, 0}, {"poison", "poison", 2, 0},
	{"slow-reader", "slow-reader", 20, 0}, {"new-names", "new-names", 300, 0}}

// variant is a way to isolate tenants from each other.
type variant struct {
	name   string
	subset int
	limits bool
}

var variants = []variant{{"all share all", 0, false}, {"subset 3, limits", 3, true}}

// result is the outcome of one day: the shares of service that the other tenants got, the number of rules broken and the
// number of cold nodes that crashed.
type result struct {
	Kind, Variant                   string
	Seed                            uint64
	Others, Outside, Inside, Shared float64
	Rules, Falls                    int
	BehindP99                       time.Duration
}

func main() {
	seeds := flag.Uint64("seeds", 8, "number of seeds, from 1")
	abreast := flag.Int("abreast", 3, "days to run concurrently")
	out := flag.String("out", ".", "directory for the results and the plot")
	blast := flag.Bool("blast", false, "measure the blast radius by subset size instead")
	only := flag.String("only", "", "comma-separated kinds to run; results of the others are read from cells.json")
	flag.Parse()
	var jobs []result
	playedVariants, playedKinds := variants, kinds
	if *blast {
		playedVariants, playedKinds = nil, []kind{kinds[1]}
		for k := range 4 {
			playedVariants = append(playedVariants, variant{fmt.Sprint("subset ", k+1), k + 1, false})
		}
	}
	for seed := uint64(1); seed <= *seeds; seed++ {
		for _, k := range playedKinds {
			for _, v := range playedVariants {
				jobs = append(jobs, result{Kind: k.name, Variant: v.name, Seed: seed})
			}
		}
	}
	if *only != "" {
		var previous []result
		if text, err := os.ReadFile(filepath.Join(*out, "cells.json")); err == nil {
			if err := json.Unmarshal(text, &previous); err != nil {
				log.Fatal(err)
			}
		}
		for i := range jobs {
			if !slices.Contains(strings.Split(*only, ","), jobs[i].Kind) {
				for _, k := range previous {
					if k.Kind == jobs[i].Kind && k.Variant == jobs[i].Variant && k.Seed == jobs[i].Seed {
						jobs[i] = k
					}
				}
			}
		}
	}
	var wg sync.WaitGroup
	slots := make(chan bool, *abreast)
	for i := range jobs {
		if jobs[i].Others > 0 {
			continue
		}
		slots <- true
		wg.Go(func() {
			defer func() { <-slots }()
			runDay(&jobs[i], playedKinds, playedVariants)
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
		printBlastRadius(jobs, playedVariants)
		return
	}
	printDifferences(jobs, filepath.Join(*out, "cells-loss.svg"))
}

// day returns the settings of a day with a kind of misbehaviour and a variant of isolation.
func day(k kind, v variant, seed uint64) (*files.Day, error) {
	d, err := days.Read("tenants-evening")
	if err != nil {
		return nil, err
	}
	seconds := func(n int) files.Duration { return files.Duration(time.Duration(n) * time.Second) }
	d.Seed, d.Length, d.Fleet.Nodes = seed, seconds(20), 100
	c := &d.Load.Tenants
	c.Bad, c.BadAt, c.BadLength, c.BadRate, c.BadTimes, c.BadHow = 30, seconds(5), seconds(12), k.rate, k.times, k.how
	c.Subset, c.Limits, c.Known = v.subset, v.limits, v.limits
	return d, nil
}

// runDay runs the day of a result and fills in its figures.
func runDay(r *result, playedKinds []kind, playedVariants []variant) {
	var k kind
	var v variant
	for _, x := range playedKinds {
		if x.name == r.Kind {
			k = x
		}
	}
	for _, x := range playedVariants {
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
	r.Rules, r.Falls, r.BehindP99 = len(got.Violations), got.ColdCrashes, got.GeneratorLagP99
	fmt.Fprintf(os.Stderr, "%s, %s, seed %d: others %.3f, outside %.3f, %d rules broken\n",
		r.Kind, r.Variant, r.Seed, r.Others, r.Outside, r.Rules)
}

// interval returns the mean of samples and half the width of its 95% confidence interval by Student's t-distribution.
func interval(x []float64) (mean, halfWidth float64) {
	for _, v := range x {
		mean += v / float64(len(x))
	}
	if len(x) < 2 {
		return mean, 0
	}
	squares := 0.0
	for _, v := range x {
		squares += (v - mean) * (v - mean)
	}
	n := float64(len(x))
	return mean, distuv.StudentsT{Sigma: 1, Nu: n - 1}.Quantile(0.975) * math.Sqrt(squares/(n-1)/n)
}

// differences returns, for each seed, how much lower a value is than on the same seed's day without misbehaviour.
func differences(jobs []result, kind, variant string, value func(result) float64) (out []float64) {
	baseline := map[uint64]float64{}
	for _, r := range jobs {
		if r.Kind == "none" && r.Variant == variant {
			baseline[r.Seed] = value(r)
		}
	}
	for _, r := range jobs {
		if r.Kind == kind && r.Variant == variant {
			out = append(out, baseline[r.Seed]-value(r))
		}
	}
	return out
}

// bars is a series of points with error bars.
type bars struct {
	plotter.XYs
	plotter.YErrors
}

// printDifferences prints the table of losses by misbehaviour and saves the plot to a path.
func printDifferences(jobs []result, path string) {
	p := plot.New()
	p.Title.Text = "Service that others lose to one misbehaving tenant"
	p.Y.Label.Text = "lost of 1"
	var names []string
	var drawn, marks []any
	fmt.Println("| misbehaviour | all share all | subset 3 and limits | of those outside its subset | of those inside |")
	fmt.Println("| --- | --- | --- | --- | --- |")
	series := make([]bars, 3)
	violations := 0
	for _, r := range jobs {
		violations += r.Rules
	}
	for i, k := range kinds[1:] {
		names = append(names, k.name)
		others := func(r result) float64 { return r.Others }
		line := "| " + k.name
		for j, x := range [][]float64{
			differences(jobs, k.name, variants[0].name, others),
			differences(jobs, k.name, variants[1].name, others),
			differences(jobs, k.name, variants[1].name, func(r result) float64 { return r.Outside }),
			differences(jobs, k.name, variants[1].name, func(r result) float64 { return r.Inside })} {
			mean, halfWidth := interval(x)
			line += fmt.Sprintf(" | %.3f ± %.3f", mean, halfWidth)
			if j < 3 {
				series[j].XYs = append(series[j].XYs, plotter.XY{X: float64(i) + 0.2*float64(j-1), Y: mean})
				series[j].YErrors = append(series[j].YErrors, struct{ Low, High float64 }{-halfWidth, halfWidth})
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
		mean, halfWidth := interval(x)
		fmt.Printf("\n%s, nobody misbehaves: %.3f ± %.3f\n", v.name, mean, halfWidth)
	}
	fmt.Printf("\nrules broken in all runs: %d\n", violations)
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

// printBlastRadius prints, by subset size, the predicted and the measured share of the ops of other tenants that can reach
// a pod of the misbehaving one, and the service of the tenants inside and outside its subset.
func printBlastRadius(jobs []result, playedVariants []variant) {
	fmt.Println("| subset | others' ops that can reach a pod of the culprit, predicted | measured | service of those inside | outside |")
	fmt.Println("| --- | --- | --- | --- | --- |")
	for _, v := range playedVariants {
		var shared, inside, outside []float64
		for _, r := range jobs {
			if r.Variant == v.name {
				shared, inside, outside = append(shared, r.Shared), append(inside, r.Inside), append(outside, r.Outside)
			}
		}
		_, reachable := tenancy.BlastRadius(17, v.subset)
		sharedMean, sharedHalf := interval(shared)
		insideMean, insideHalf := interval(inside)
		outsideMean, outsideHalf := interval(outside)
		fmt.Printf("| %d | %.3f | %.3f ± %.3f | %.3f ± %.3f | %.3f ± %.3f |\n", v.subset, reachable,
			sharedMean, sharedHalf, insideMean, insideHalf, outsideMean, outsideHalf)
	}
}

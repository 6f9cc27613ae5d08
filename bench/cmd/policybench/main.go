// Command policybench compares the scheduling policy with first-fit and least-loaded
// placement at all installation sizes and prints a table of the results. Equal
// arguments give equal output.
package main

import (
	"fmt"
	"os"
	"runtime"
	"sync"

	"github.com/alecthomas/kong"

	"gooseberrypond/bench/policy"
	"gooseberrypond/core/sched"
)

var cli struct {
	Seeds    int    `default:"5" help:"Number of seeds, from 1."`
	First    int    `default:"1" help:"First seed."`
	Size     string `default:"" help:"Only this size; empty means all."`
	Policy   string `default:"" help:"Only this policy; empty means all."`
	Variants bool   `help:"Also measure variants of the policy."`
}

// candidate is one of the compared policies.
type candidate struct {
	name string
	make func(seed uint64) policy.Policy
}

func candidates() []candidate {
	list := []candidate{
		{"first-fit", func(uint64) policy.Policy { return &policy.Baseline{} }},
		{"least-loaded", func(uint64) policy.Policy { return &policy.Baseline{LeastLoaded: true} }},
		{"gooseberrypond", func(seed uint64) policy.Policy { return sched.New(sched.Options{Seed: seed}) }},
	}
	if cli.Variants {
		list = append(list, candidate{"plain-mean", func(seed uint64) policy.Policy {
			return sched.New(sched.Options{Seed: seed, PlainMean: true})
		}})
	}
	return list
}

func main() {
	kong.Parse(&cli, kong.Description("Measures scheduling policies on a virtual clock."))
	if err := compare(); err != nil {
		fmt.Fprintln(os.Stderr, "policybench:", err)
		os.Exit(1)
	}
}

// compare runs every selected policy at every selected size and prints the results.
func compare() error {
	policy.Header(os.Stdout)
	for _, size := range policy.Sizes {
		if cli.Size != "" && cli.Size != size.Name {
			continue
		}
		for _, c := range candidates() {
			if cli.Policy != "" && cli.Policy != c.name {
				continue
			}
			results, err := runSeeds(size, c)
			if err != nil {
				return err
			}
			for _, r := range results {
				policy.Write(os.Stdout, size.Name, fmt.Sprint(r.Seed), r)
			}
			policy.Write(os.Stdout, size.Name, "mean", policy.Mean(results))
		}
	}
	return nil
}

// runSeeds runs one policy with all seeds, several at a time, and returns the
// results in the order of the seeds.
func runSeeds(size policy.Size, c candidate) ([]policy.Result, error) {
	results := make([]policy.Result, cli.Seeds)
	errs := make([]error, cli.Seeds)
	slots := make(chan struct{}, max(1, runtime.GOMAXPROCS(0)/3))
	var wg sync.WaitGroup
	for i := range results {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			seed := uint64(cli.First + i)
			results[i], errs[i] = policy.Run(size, seed, c.name, c.make(seed))
		})
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return results, nil
}

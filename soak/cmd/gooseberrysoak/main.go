// Command gooseberrysoak plays random faults against the real programs on loopback.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"gooseberrypond/soak"
)

type cli struct {
	Binary    string  `help:"Program gooseberrypond." default:"target/gooseberrypond" type:"path"`
	Seed      uint64  `help:"First seed." default:"1"`
	Seeds     int     `help:"Number of seeds." default:"1"`
	Minutes   float64 `help:"How long faults come, for each seed." default:"0.25"`
	Processes int     `help:"Control and entry hosts together, 4 or more." default:"5"`
	Workers   int     `help:"Stand-in workers." default:"8"`
	Dense     bool    `help:"Faults of control hosts only; the configuration changes, and is read at each of them, all the time." xor:"kind"`
	Reborn    bool    `help:"Mostly workers that die and return under their ids while they are cut off." xor:"kind"`
	Dir       string  `help:"Folder for the hosts' data and logs; logs of failing seeds stay there." default:"soak-data" type:"path"`
}

func main() {
	var c cli
	k := kong.Parse(&c, kong.Name("gooseberrysoak"), kong.Description("Plays random faults against the real programs on loopback."), kong.UsageOnError())
	k.FatalIfErrorf(c.run())
}

func (c *cli) run() error {
	if c.Processes < 4 || c.Workers < 1 || c.Seeds < 1 || c.Minutes <= 0 {
		return fmt.Errorf("processes %d, workers %d, seeds %d, minutes %g: want at least 4, 1, 1 and more than 0", c.Processes, c.Workers, c.Seeds, c.Minutes)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	failed := 0
	for seed := c.Seed; seed < c.Seed+uint64(c.Seeds); seed++ {
		dir := filepath.Join(c.Dir, fmt.Sprintf("seed-%d", seed))
		entry := max(1, c.Processes/3)
		report, err := soak.Run(ctx, soak.Options{
			Binary: c.Binary, Dir: dir, Seed: seed, Length: time.Duration(c.Minutes * float64(time.Minute)),
			Control: c.Processes - entry, Entry: entry, Workers: c.Workers, Dense: c.Dense, Reborn: c.Reborn,
		})
		if err != nil {
			return err
		}
		if err := print(report); err != nil {
			return err
		}
		if len(report.Violations) > 0 {
			failed++
			continue
		}
		if err := os.RemoveAll(dir); err != nil {
			return err
		}
	}
	if failed > 0 {
		return fmt.Errorf("%d of %d seeds failed; their logs are in %s", failed, c.Seeds, c.Dir)
	}
	return nil
}

// print writes one line for a seed, and the schedule of one that failed.
func print(r *soak.Report) error {
	counts, err := json.Marshal(r.Counts)
	if err != nil {
		return err
	}
	fmt.Printf("seed %d: %d faults, %d violations %s\n", r.Seed, len(r.Faults), len(r.Violations), counts)
	if len(r.Violations) == 0 {
		return nil
	}
	for _, v := range r.Violations {
		fmt.Println("  violation", v)
	}
	for _, e := range r.Trace {
		fmt.Println("  trace", e)
	}
	for _, f := range r.Faults {
		fmt.Println("  fault", f)
	}
	return nil
}

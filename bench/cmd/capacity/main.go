// Command capacity measures the processor time, message sizes and memory that the
// leader's core needs at growing cluster sizes. The core runs on a virtual clock
// against simulated workers and entry hosts, without network or disk.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kong"
)

// Planned size of a cluster. Tasks, services and starts of other sizes are scaled
// by the number of workers.
const (
	plannedWorkers  = 1600
	plannedTasks    = 36_000
	plannedServices = 11_000
	plannedStarts   = 1400
	entryHosts      = 8
	domains         = 6
	workersPerRack  = 8
	owners          = 130
)

// cli is the command line.
type cli struct {
	Core coreCmd `cmd:"" help:"Cost of the leader's core at several sizes, idle and at peak."`
	Loss lossCmd `cmd:"" help:"Tasks that run while workers are lost and return."`
}

func main() {
	var c cli
	k := kong.Parse(&c, kong.Name("capacity"), kong.Description("Measures the cost of control at growing sizes."))
	if err := k.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// coreCmd measures the cost of the leader's core, idle and with starts at peak rate.
type coreCmd struct {
	Workers []int `help:"Sizes." default:"100,400,800,1600"`
	Seconds int   `help:"Virtual seconds of each phase." default:"10"`
}

// Run implements the command.
func (c *coreCmd) Run() error {
	for _, n := range c.Workers {
		before := heapMB()
		sim, err := newSimulation(n, false)
		if err != nil {
			return err
		}
		sim.run(15 * time.Second)
		for _, rate := range []float64{0, plannedStarts * float64(n) / plannedWorkers} {
			sim.rate = rate
			sim.run(3 * time.Second)
			sim.clear()
			sim.run(time.Duration(c.Seconds) * time.Second)
			sim.print(float64(c.Seconds))
		}
		if err := sim.printState(before); err != nil {
			return err
		}
	}
	return nil
}

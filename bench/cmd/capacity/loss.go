package main

import (
	"fmt"
	"time"

	"gooseberrypond/core/structs"
)

// lossCmd measures running tasks, tick times and log volume while the first workers
// are lost at once and later return.
type lossCmd struct {
	Workers int           `help:"Size." default:"1600"`
	Lost    int           `help:"Workers that are lost: 8 are a rack, a sixth a domain, a half a region." default:"267"`
	Away    time.Duration `help:"Time until they return." default:"60s"`
	After   time.Duration `help:"Time to watch after the return." default:"60s"`
	Urgent  bool          `help:"Services are urgent, so that they preempt batch work."`
}

// Run implements the command. It prints one line per second: the tasks on workers
// that are up, the services among them, pending tasks, the slowest tick, the bytes
// appended to the log and the tasks started.
func (c *lossCmd) Run() error {
	sim, err := newSimulation(c.Workers, c.Urgent)
	if err != nil {
		return err
	}
	sim.run(15 * time.Second)
	fmt.Println("# second running services pending max_tick_ms log_KB starts")
	seconds := 5 + int((c.Away+c.After)/time.Second)
	for second := range seconds {
		switch second {
		case 5:
			for _, wk := range sim.workers[:c.Lost] {
				wk.up, wk.running = false, nil
			}
		case 5 + int(c.Away/time.Second):
			for _, wk := range sim.workers[:c.Lost] {
				sim.register(wk)
			}
		}
		sim.clear()
		startsBefore := sim.starts
		sim.run(time.Second)
		sim.printRow(second, sim.starts-startsBefore)
	}
	return nil
}

// printRow prints the line of one second.
func (s *simulation) printRow(second, starts int) {
	services, pending := 0, 0
	for _, wk := range s.workers {
		for _, c := range wk.running {
			if c.Class == structs.ClassLatency {
				services++
			}
		}
	}
	for range s.t.PendingTasks() {
		pending++
	}
	slowest := time.Duration(0)
	for _, t := range s.ticks {
		slowest = max(slowest, t)
	}
	logBytes := 0
	if t := s.bytes["log"]; t != nil {
		logBytes = t.bytes
	}
	fmt.Printf("%d %d %d %d %.2f %.1f %d\n", second, s.running(), services, pending, slowest.Seconds()*1000, float64(logBytes)/1000, starts)
}

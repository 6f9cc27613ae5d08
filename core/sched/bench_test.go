package sched

import (
	"fmt"
	"testing"
	"time"

	"gooseberrypond/core/state"
	"gooseberrypond/core/structs"
)

// cluster wraps state tables and a simulated clock for benchmarks and tests.
type cluster struct {
	t     *state.Tables
	index uint64
	now   time.Time
	jobs  int
}

func newCluster(workers int, capacity structs.Resources) *cluster {
	c := &cluster{t: state.New(), now: time.UnixMilli(1_800_000_000_000)}
	for i := range workers {
		c.apply(&structs.Command{RegisterWorker: &structs.WorkerRegister{
			ID: structs.WorkerID(fmt.Sprintf("w%04d", i)), Incarnation: 1, Capacity: capacity, Guards: true,
			Rack: fmt.Sprintf("r%d", i/8), Domain: fmt.Sprintf("d%d", i%6),
		}})
	}
	return c
}

func (c *cluster) apply(cmd *structs.Command) structs.Result {
	c.index++
	cmd.Version, cmd.NowMS = structs.CommandVersion, c.now.UnixMilli()
	return c.t.Apply(c.index, cmd)
}

func (c *cluster) catalogue(owners map[string]structs.Owner, entries map[string]structs.Entry) {
	res := c.apply(&structs.Command{PutCatalogue: &structs.PutCatalogue{
		ChangeID: fmt.Sprint("c", c.index), BaseVersion: c.t.Catalogue().Version,
		Catalogue: structs.Catalogue{Owners: owners, Entries: entries},
	}})
	if res.Change == nil || !res.Change.Accepted {
		panic(fmt.Sprintf("catalogue rejected: %+v", res))
	}
}

func (c *cluster) submit(entry string, spec structs.JobSpec) structs.JobID {
	c.jobs++
	spec.Entry = entry
	if spec.Kind == "" {
		spec.Kind = structs.KindBatch
	}
	res := c.apply(&structs.Command{SubmitJobs: &structs.SubmitJobs{Jobs: []structs.SubmitJob{
		{Owner: c.t.Catalogue().Entries[entry].Owner, Key: fmt.Sprint(c.jobs), Spec: spec},
	}}})
	if len(res.Submits) != 1 || res.Submits[0].Error != nil {
		panic(fmt.Sprintf("job rejected: %+v", res))
	}
	return res.Submits[0].Job
}

// report applies one worker event for the task's current attempt and passes
// ended attempts to the scheduler.
func (c *cluster) report(s *Scheduler, id structs.TaskID, kind structs.EventType) {
	task := *c.t.Task(id)
	res := c.apply(&structs.Command{WorkerEvents: &structs.WorkerEvents{
		Worker: task.Worker, Incarnation: task.Incarnation,
		Events: []structs.TaskEvent{{Type: kind, Task: id, Attempt: task.Attempt, Epoch: task.Epoch, Checkpoint: "c"}},
	}})
	for _, e := range res.Ended {
		s.RecordEnd(e.Event, &e.Task, c.t.Job(id.Job).Spec.Entry, c.now.UnixMilli())
	}
}

type allLive struct{}

func (allLive) Live(structs.WorkerID) bool { return true }

var workerCapacity = structs.Resources{CPUMilli: 32000, MemoryMB: 125_000}

// BenchmarkPlan measures the placements per second of Plan in a steady state: 22
// tasks run on each worker, and 28 tasks are submitted and as many end each tick.
func BenchmarkPlan(b *testing.B) {
	for _, workers := range []int{100, 400, 1600} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) { benchmarkPlan(b, workers) })
	}
}

func benchmarkPlan(b *testing.B, workers int) {
	const perTick, entries = 28, 60
	c := newCluster(workers, workerCapacity)
	owners, catalogue := map[string]structs.Owner{}, map[string]structs.Entry{}
	for i := range entries {
		e := structs.Entry{Owner: fmt.Sprint("o", i%20), Class: structs.ClassBatch, ExpectedRuntimeMS: 60_000,
			Resources: structs.Resources{CPUMilli: int64(500 + 100*(i%15)), MemoryMB: int64(1000 + 500*(i%10))}}
		if i%3 == 0 {
			e.Class = structs.ClassLatency
		}
		owners[e.Owner], catalogue[fmt.Sprint("e", i)] = structs.Owner{}, e
	}
	c.catalogue(owners, catalogue)
	s := New(Options{Seed: 1})
	var running []structs.TaskID
	place := func(tasks int) time.Duration {
		for i := range tasks {
			c.submit(fmt.Sprint("e", (i*7+c.jobs)%entries), structs.JobSpec{})
		}
		c.now = c.now.Add(structs.TickInterval)
		start := time.Now()
		plan := s.Plan(c.now, c.now.UnixMilli(), c.t, allLive{})
		took := time.Since(start)
		if res := c.apply(&structs.Command{Plan: plan}); res.Dropped > 0 {
			b.Fatalf("%d decisions of the plan dropped when applied", res.Dropped)
		}
		for _, a := range plan.Assign {
			c.report(s, a.Task, structs.EventStarted)
			running = append(running, a.Task)
		}
		return took
	}
	for len(running) < workers*36000/1600 {
		place(500)
	}
	decided, took := 0, time.Duration(0)
	for b.Loop() {
		before := len(running)
		took += place(perTick)
		decided += len(running) - before
		for range len(running) - workers*36000/1600 {
			k := c.jobs * 7919 % len(running)
			c.report(s, running[k], structs.EventFinished)
			running[k] = running[len(running)-1]
			running = running[:len(running)-1]
		}
	}
	b.ReportMetric(float64(decided)/took.Seconds(), "decisions/s")
	b.ReportMetric(float64(took.Microseconds())/float64(max(1, decided)), "us/decision")
}

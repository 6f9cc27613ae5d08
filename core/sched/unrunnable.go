package sched

import (
	"fmt"
	"slices"
	"strings"

	"gooseberrypond/core/structs"
)

// workerShape is the group of workers with the same capacity in one domain.
type workerShape struct {
	domain   string
	capacity structs.Resources
	workers  int
}

// syncWorkerShapes groups all known workers, including dead ones and those in
// domains out of service.
func (p *planner) syncWorkerShapes(workers []*structs.Worker) {
	p.workerShapes = p.workerShapes[:0]
	for _, w := range workers {
		i := slices.IndexFunc(p.workerShapes, func(shape workerShape) bool { return shape.domain == w.Domain && shape.capacity == w.Capacity })
		if i < 0 {
			i = len(p.workerShapes)
			p.workerShapes = append(p.workerShapes, workerShape{domain: w.Domain, capacity: w.Capacity})
		}
		p.workerShapes[i].workers++
	}
}

// fitsAnyWorkerShape reports whether need fits at least one known worker when it is empty.
func (s *Scheduler) fitsAnyWorkerShape(need structs.Resources) bool {
	for i := range s.workerShapes {
		if need.Fits(s.workerShapes[i].capacity) {
			return true
		}
	}
	return false
}

// noteUnrunnable reports whether a task of the job is too large for every known
// worker, and adds a note with one reason per group of workers. It returns false
// while no worker is known.
func (p *planner) noteUnrunnable(job *structs.Job, declared structs.Resources) bool {
	if len(p.workerShapes) == 0 || p.fitsAnyWorkerShape(declared) {
		return false
	}
	if !p.hasNote[job.ID] {
		p.hasNote[job.ID] = true
		p.plan.Notes = append(p.plan.Notes, structs.JobNote{Job: job.ID, Unrunnable: true, Reasons: p.unrunnableReasons(declared)})
	}
	return true
}

func (s *Scheduler) unrunnableReasons(need structs.Resources) []string {
	var reasons []string
	for _, shape := range s.workerShapes {
		reasons = append(reasons, fmt.Sprintf("%d workers in domain %s: %s", shape.workers, shape.domain, shortfall(need, shape.capacity)))
	}
	return reasons
}

// shortfall describes the dimensions in which need exceeds have.
func shortfall(need, have structs.Resources) string {
	var parts []string
	add := func(name string, need, have int64) {
		if need > have {
			parts = append(parts, fmt.Sprintf("needs %d %s, has %d", need, name, have))
		}
	}
	add("milli-cores", need.CPUMilli, have.CPUMilli)
	add("MiB of memory", need.MemoryMB, have.MemoryMB)
	add("accelerators", need.Accelerators, have.Accelerators)
	return strings.Join(parts, ", ")
}

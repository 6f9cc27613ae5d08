package sched

import (
	"fmt"
	"slices"
	"strings"

	"gooseberrypond/core/structs"
)

// kind is the group of workers with the same capacity in one domain.
type kind struct {
	domain   string
	capacity structs.Resources
	workers  int
}

// syncKinds groups all known workers, including dead ones and those in domains
// out of service.
func (p *planner) syncKinds(workers []*structs.Worker) {
	p.kinds = p.kinds[:0]
	for _, w := range workers {
		i := slices.IndexFunc(p.kinds, func(k kind) bool { return k.domain == w.Domain && k.capacity == w.Capacity })
		if i < 0 {
			i = len(p.kinds)
			p.kinds = append(p.kinds, kind{domain: w.Domain, capacity: w.Capacity})
		}
		p.kinds[i].workers++
	}
}

// fitsSomeKind reports whether need fits at least one known worker when it is empty.
func (s *Scheduler) fitsSomeKind(need structs.Resources) bool {
	for i := range s.kinds {
		if need.Fits(s.kinds[i].capacity) {
			return true
		}
	}
	return false
}

// noteUnrunnable reports whether a task of the job is too large for every known
// worker, and adds a note with one reason per group of workers. It returns false
// while no worker is known.
func (p *planner) noteUnrunnable(job *structs.Job, declared structs.Resources) bool {
	if len(p.kinds) == 0 || p.fitsSomeKind(declared) {
		return false
	}
	if !p.noted[job.ID] {
		p.noted[job.ID] = true
		p.plan.Notes = append(p.plan.Notes, structs.JobNote{Job: job.ID, Unrunnable: true, Reasons: p.kindReasons(declared)})
	}
	return true
}

func (s *Scheduler) kindReasons(need structs.Resources) []string {
	var reasons []string
	for _, k := range s.kinds {
		reasons = append(reasons, fmt.Sprintf("%d workers in domain %s: %s", k.workers, k.domain, lacking(need, k.capacity)))
	}
	return reasons
}

// lacking describes the dimensions in which need exceeds have.
func lacking(need, have structs.Resources) string {
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

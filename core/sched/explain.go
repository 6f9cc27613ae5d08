package sched

import (
	"fmt"
	"strings"

	"gooseberrypond/core/state"
	"gooseberrypond/core/structs"
)

// explainTasks limits the waiting and the running tasks described for one job.
const explainTasks = 10

// Explain describes why the tasks of a job wait, or where they run and why. For
// waiting tasks it includes the state of each group of workers.
func (s *Scheduler) Explain(t *state.Tables, id structs.JobID) []string {
	job := t.Job(id)
	if job == nil {
		return []string{"no such job"}
	}
	lines := []string{fmt.Sprintf("job %s is %s", id, job.Status)}
	lines = append(lines, job.Reasons...)
	if job.DeadlineAtRisk {
		lines = append(lines, "its deadline is predicted to be missed")
	}
	var waits, runs []string
	for _, task := range t.TasksOf(id) {
		switch {
		case task.Status.Finished():
		case task.State == structs.AttemptNone:
			waits = append(waits, s.explainTask(task))
		default:
			runs = append(runs, s.explainTask(task))
		}
	}
	waiting := len(waits)
	lines = append(lines, waits[:min(waiting, explainTasks)]...)
	lines = append(lines, runs[:min(len(runs), explainTasks)]...)
	if waiting > 0 {
		lines = append(lines, s.explainWaiting(t, job, waiting)...)
	}
	return lines
}

func (s *Scheduler) explainTask(task *structs.Task) string {
	line := fmt.Sprintf("task %d: ", task.ID.Index)
	if task.State != structs.AttemptNone {
		line += fmt.Sprintf("%s on %s (%s)", task.State, task.Worker, task.PlaceReason)
	} else {
		line += "waits"
	}
	if task.Evictions > 0 {
		line += fmt.Sprintf("; evicted %d times, last: %s", task.Evictions, task.EvictReason)
	}
	if w, ok := s.failedOn[task.ID]; ok {
		line += fmt.Sprintf("; failed on %s, not tried again before %d ms", w, task.NotBeforeMS)
	}
	return line
}

// explainWaiting describes what prevents the waiting tasks from being placed.
func (s *Scheduler) explainWaiting(t *state.Tables, job *structs.Job, waiting int) []string {
	info := s.entryInfos[job.Spec.Entry]
	if info == nil {
		return []string{fmt.Sprintf("%d tasks wait: entry %q is not in the catalogue", waiting, job.Spec.Entry)}
	}
	need := s.reservedSize(info, declaredSize(info, job))
	lines := []string{fmt.Sprintf("%d tasks wait, each reserves %s%s", waiting, need, s.correctionNote(info))}
	if use, quota := t.OwnerUsage(info.owner), t.Catalogue().Owners[info.owner].Quota; !use.Add(need).Within(quota) {
		lines = append(lines, fmt.Sprintf("owner %s uses %s of its quota %s", info.owner, use, quota))
	}
	if len(s.order) == 0 {
		return append(lines, "no worker has registered")
	}
	return append(lines, s.explainGroups(need)...)
}

// workerGroup counts the workers of one domain and rack by the reason that
// prevents a placement.
type workerGroup struct {
	name    string
	workers int
	reasons map[string]int
	order   []string
}

func (s *Scheduler) explainGroups(need structs.Resources) []string {
	var groups []*workerGroup
	byName := map[string]*workerGroup{}
	for _, n := range s.order {
		name := "domain " + n.worker.Domain + " rack " + n.worker.Rack
		g := byName[name]
		if g == nil {
			g = &workerGroup{name: name, reasons: map[string]int{}}
			byName[name] = g
			groups = append(groups, g)
		}
		g.workers++
		reason := nodeReason(n, need)
		if g.reasons[reason] == 0 {
			g.order = append(g.order, reason)
		}
		g.reasons[reason]++
	}
	var lines []string
	for _, g := range groups {
		for _, reason := range g.order {
			lines = append(lines, fmt.Sprintf("%s: %d of %d workers: %s", g.name, g.reasons[reason], g.workers, reason))
		}
	}
	return lines
}

// nodeReason describes whether a task of size need fits the node and, if not, why.
func nodeReason(n *node, need structs.Resources) string {
	switch {
	case n.blocked != "":
		return n.blocked
	case !need.Fits(n.worker.Capacity):
		return "too small"
	case need.Fits(n.free()):
		return "has room now"
	case need.Fits(n.free().Add(n.reserved)):
		return "room reserved for another task"
	}
	return "no room now: short of " + missingDimensions(need, n.free())
}

// missingDimensions lists the dimensions in which need exceeds free.
func missingDimensions(need, free structs.Resources) string {
	var parts []string
	if need.CPUMilli > free.CPUMilli {
		parts = append(parts, "processors")
	}
	if need.MemoryMB > free.MemoryMB {
		parts = append(parts, "memory")
	}
	if need.Accelerators > free.Accelerators {
		parts = append(parts, "accelerators")
	}
	return strings.Join(parts, " and ")
}

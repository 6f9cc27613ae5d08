package dispatch

import (
	"slices"
	"time"

	"gooseberrypond/core/demand"
	"gooseberrypond/core/graph"
)

// A claim keeps a worker free for a long-running task that has been away for long.
// Batch tasks are smaller than most long-running tasks and end all the time: while more
// of them wait than fit, they take each piece of capacity that becomes free, and a piece
// that is large enough for a long-running task never appears.

const (
	// overdueAfter is how long a long-running task that ran before may be away before
	// it is placed ahead of batch work.
	overdueAfter = demand.UrgentAfter
	// overdueShare limits the tasks that are placed ahead of batch work at a time, as a
	// fraction of the pool's workers. When the long-running tasks and the share of
	// batch work do not both fit, more would leave nothing to batch work.
	overdueShare = 0.25
	// claimMax is how long a claim lasts, and how long its task makes no other one if it
	// was not met: the batch tasks on the worker may run for longer than others can wait.
	claimMax = 4 * time.Second
	// yieldFor is how long the processors of a preempted run are kept for batch work.
	// It covers the stop of the run and the next plan.
	yieldFor = 1500 * time.Millisecond
	// preemptRest is how long a long-running task that was restarted is not preempted
	// again, so that the same task is not stopped over and over.
	preemptRest = 10 * time.Second
)

func (c *Core) isOverdue(s *graph.StepState, task *graph.Task, nowMS int64) bool {
	return s.LongRunning && task.LastRun > 0 && !task.Done && len(task.Attempts) == 0 &&
		nowMS-c.waitingSince(s, task) >= overdueAfter.Milliseconds()
}

// claim is a worker that is kept free for an overdue task.
type claim struct {
	ws *workerState
	// priority is that of the task's queue: the claim does not bind work of a higher one.
	priority int
	at       time.Time
}

func (cl *claim) lapsed(now time.Time) bool { return now.Sub(cl.at) >= claimMax }

// couldEmpty reports whether a worker has the processors for a task of the step, free or
// reserved by batch tasks, or by anything if all is set, and whatever else the task asks
// for.
func (c *Core) couldEmpty(s *graph.StepState, all bool) bool {
	pool := c.candidatePools[s.Occurrence.Job.Queue.Pool]
	if pool == nil {
		return false
	}
	fits := func(cd *candidate) bool {
		w := cd.ws.w
		return (all || cd.free.CPUMilli+cd.batchMilli >= s.Need.CPUMilli) && s.ReservedResources().Fits(w.Capacity) && (s.Label == "" || w.HasLabel(s.Label))
	}
	return slices.ContainsFunc(pool.members, fits) || slices.ContainsFunc(pool.quarantined, fits)
}

// keepClaims forgets the claims of tasks that are not overdue any more.
func (c *Core) keepClaims(overdue map[*graph.Task]int) {
	for task := range c.claims {
		if overdue[task] == 0 {
			delete(c.claims, task)
		}
	}
}

// blockClaimed excludes the workers that are claimed for tasks of a priority from the
// searches of the plan for work that ranks behind them.
func (p *placer) blockClaimed(priority int) {
	if p.claimsBlocked && p.blockedPriority == priority {
		return
	}
	p.claimsBlocked, p.blockedPriority = true, priority
	for _, cl := range p.c.claims {
		if cl.priority == priority && !cl.lapsed(p.now) {
			p.block(&cl.ws.candidate)
		}
	}
}

func (p *placer) block(cd *candidate) {
	cd.claimed = true
	cd.changedIn = p.c.plans + 1 // the next plan may find it unclaimed
	p.dropRanking()
	if pool := p.c.candidatePools[cd.ws.w.Pool]; pool != nil {
		pool.setFree(cd)
	}
}

// pickClaimed returns the worker that an overdue task has claimed if the task fits
// there now. A claim that can no longer be met ends.
func (p *placer) pickClaimed(s *graph.StepState, task *graph.Task) *candidate {
	cl := p.c.claims[task]
	if cl == nil || cl.lapsed(p.now) {
		return nil
	}
	cd := &cl.ws.candidate
	if !p.c.usable(p.now, cl.ws) || !p.feasible(s, cd) || !p.canEmpty(s, cd) {
		p.dropClaim(task)
		return nil
	}
	if !s.ReservedResources().Fits(cd.free) {
		return nil
	}
	p.dropClaim(task)
	return cd
}

// dropClaim ends the claim of a task and returns its worker to the searches.
func (p *placer) dropClaim(task *graph.Task) {
	cl := p.c.claims[task]
	if cl == nil {
		return
	}
	delete(p.c.claims, task)
	cl.ws.candidate.claimed = false
	p.dropRanking()
	if pool := p.c.candidatePools[cl.ws.w.Pool]; pool != nil {
		pool.setFree(&cl.ws.candidate)
	}
}

// claim gives an overdue task the unclaimed worker with the most free processors on
// which it fits once the batch tasks there have ended.
func (p *placer) claim(s *graph.StepState, task *graph.Task) {
	if cl := p.c.claims[task]; cl != nil && p.now.Sub(cl.at) < 2*claimMax {
		return // in force, or lapsed not long ago
	}
	var best *candidate
	for _, cd := range p.candidates.members {
		switch {
		case cd.claimed, cd.free.CPUMilli+cd.batchMilli < s.Need.CPUMilli, best != nil && cd.free.CPUMilli <= best.free.CPUMilli:
		case p.feasible(s, cd) && p.canEmpty(s, cd):
			best = cd
		}
	}
	if best != nil {
		p.c.claims[task] = &claim{ws: best.ws, priority: s.Occurrence.Job.Queue.Priority, at: p.now}
		p.block(best)
	}
}

// canEmpty reports whether a task of the step fits on a worker once its batch tasks, and
// the runs that are being stopped, have ended.
func (p *placer) canEmpty(s *graph.StepState, cd *candidate) bool {
	free := cd.free
	for a := range cd.ws.w.Attempts {
		if r := cd.ws.runs[a]; !a.Step.LongRunning || r != nil && r.mustStop() {
			free = free.Add(a.Step.ReservedResources())
		}
	}
	return s.ReservedResources().Fits(free)
}

package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"gooseberrypond/core/demand"
	"gooseberrypond/core/graph"
	"gooseberrypond/core/structs"
)

// atWork counts the tasks of a step with a run that is not being stopped, on a worker
// that answers.
func (c *Core) atWork(s *graph.StepState) int {
	if s.Waiting == s.Open {
		return 0
	}
	n := 0
	for i := range s.Tasks {
		if slices.ContainsFunc(s.Tasks[i].Attempts, c.isAtWork) {
			n++
		}
	}
	return n
}

func (c *Core) isAtWork(a *graph.Attempt) bool {
	ws := c.workers[a.Worker.Handle]
	if ws == nil || ws.suspect {
		return false
	}
	r := ws.runs[a]
	return r != nil && !r.mustStop() && !r.ending
}

// overdueTask is a long-running task that is placed ahead of batch work.
type overdueTask struct {
	task *graph.Task
	demand.Standing
}

func (c *Core) standing(s *graph.StepState, task *graph.Task, atWork int, nowMS int64) overdueTask {
	return overdueTask{task, demand.Standing{
		AtWork: atWork, RanBefore: task.LastRun > 0, CPUMilli: s.Need.CPUMilli,
		Waited: time.Duration(nowMS-c.waitingSince(s, task)) * time.Millisecond,
	}}
}

// overdueTasks returns the positions, from 1 on, of the tasks to be placed ahead of batch
// work: one task of each job that has none at work, then those that have been away for
// longest, without those that no worker can take.
func (c *Core) overdueTasks(waiting []*graph.StepState, nowMS int64) map[*graph.Task]int {
	firsts, others := map[string][]overdueTask{}, map[string][]overdueTask{}
	placeable := map[demandKey]bool{}
	chosen := map[string]structs.Resources{}
	most := c.shareToYieldAbove(waiting)
	for _, s := range waiting {
		if !s.LongRunning || c.ledger.Share(owner(s)) > most {
			continue
		}
		atWork := c.atWork(s)
		isFirst := atWork == 0 && !s.Gang
		if !isFirst && nowMS-c.longestWaitingSince(s) < overdueAfter.Milliseconds() || !c.placeable(s, isFirst, placeable) {
			continue
		}
		pool := s.Occurrence.Job.Queue.Pool
		var first *graph.Task
		if isFirst && c.choose(chosen, s) {
			first = c.firstTask(s)
			firsts[pool] = append(firsts[pool], c.standing(s, first, 0, nowMS))
		}
		for i := range s.Tasks {
			if t := &s.Tasks[i]; t != first && c.isOverdue(s, t, nowMS) && c.choose(chosen, s) {
				others[pool] = append(others[pool], c.standing(s, t, max(atWork, 1), nowMS))
			}
		}
	}
	out := map[*graph.Task]int{}
	for _, byPool := range []map[string][]overdueTask{firsts, others} {
		for pool, tasks := range byPool {
			c.addOverdue(out, pool, tasks)
		}
	}
	return out
}

// demandKey is a task's demand, and whether it is that of the first task of a job.
type demandKey struct {
	taskDemand
	first bool
}

// placeable reports whether a worker can take a task of the step: for the first of its
// job any that is large enough, otherwise one that needs only to lose its batch tasks.
func (c *Core) placeable(s *graph.StepState, first bool, known map[demandKey]bool) bool {
	key := demandKey{demandOf(s, 0), first}
	ok, found := known[key]
	if !found {
		ok = c.couldEmpty(s, first)
		known[key] = ok
	}
	return ok
}

// firstTask returns the task of a step without a task at work that is placed first: the
// one that has waited longest, of those that wait for a run.
func (c *Core) firstTask(s *graph.StepState) *graph.Task {
	var first *graph.Task
	for i := range s.Tasks {
		t := &s.Tasks[i]
		if !t.Done && len(t.Attempts) == 0 && (first == nil || c.waitingSince(s, t) < c.waitingSince(s, first)) {
			first = t
		}
	}
	return first
}

// addOverdue adds the first of the tasks of a pool to the overdue ones, as many as may be
// placed ahead of batch work at a time.
func (c *Core) addOverdue(out map[*graph.Task]int, pool string, tasks []overdueTask) {
	slices.SortStableFunc(tasks, func(a, b overdueTask) int { return a.Compare(b.Standing) })
	most := 1
	if p := c.candidatePools[pool]; p != nil {
		most = max(1, int(overdueShare*float64(len(p.members))))
	}
	for _, o := range tasks[:min(most, len(tasks))] {
		out[o.task] = len(out) + 1
	}
}

// mayClaim reports whether a worker may be kept free for an overdue task.
func (p *placer) mayClaim(s *graph.StepState, task *graph.Task) bool {
	return p.c.standing(s, task, p.c.atWork(s), p.nowMS).MayClaim()
}

// giveWay stops one task of a long-running job that has all of them, for the first job in
// the order that has had none at work for long, and claims the worker for that. One is
// stopped at a time, so that the effect of each is seen.
func (p *placer) giveWay(order []ranked) {
	if r := p.c.givingUp; r != nil && !r.a.Ended() {
		return
	}
	p.c.givingUp = nil
	for i := range order {
		s := order[i].step
		if order[i].class != overdueLongRunning || s.Gang || p.c.atWork(s) > 0 {
			continue
		}
		task := p.c.firstTask(s)
		if task == nil || p.overdue[task] == 0 || p.c.claims[task] != nil || p.hasStart(s) {
			continue
		}
		waited := p.c.standing(s, task, 0, p.nowMS).Waited
		if r := p.giver(s, waited); r != nil {
			p.stopFor(r, s, task, waited)
			return
		}
	}
}

// startsTaskOf reports whether a start of the plan is of a task of the step.
func (p *placer) startsTaskOf(i int, s *graph.StepState) bool {
	ref := p.starts[i].Task
	return ref.Job == s.Occurrence.Job.Spec.ID && ref.Occurrence == s.Occurrence.Number && ref.Step == s.Number
}

func (p *placer) hasStart(s *graph.StepState) bool {
	for i := range p.starts {
		if p.startsTaskOf(i, s) {
			return true
		}
	}
	return false
}

// giver returns the run to be stopped so that a task of a job fits on its worker that has
// had nothing at work for the given time: the smallest that is enough, nil if there is none.
func (p *placer) giver(s *graph.StepState, waited time.Duration) *runState {
	pool := p.c.candidatePools[s.Occurrence.Job.Queue.Pool]
	if waited < demand.GiveUpAfter || pool == nil {
		return nil
	}
	var best *runState
	for _, cd := range pool.members {
		if cd.claimed || !p.feasible(s, cd) {
			continue
		}
		missing := s.ReservedResources().Sub(cd.free)
		for _, r := range cd.ws.runs {
			if best != nil && !isSmaller(r.a, best.a) {
				continue
			}
			if missing.Fits(r.a.Step.ReservedResources()) && p.mayPreempt(s, r) && p.givesUp(r.a.Step, waited) {
				best = r
			}
		}
	}
	return best
}

// isSmaller orders runs by the processors that they reserve, then by their task, so that
// the choice does not depend on the order of a map.
func isSmaller(a, b *graph.Attempt) bool {
	x, y := a.Ref(), b.Ref()
	return cmp.Or(cmp.Compare(a.Step.Need.CPUMilli, b.Step.Need.CPUMilli), cmp.Compare(x.Job, y.Job),
		cmp.Compare(x.Occurrence, y.Occurrence), cmp.Compare(x.Step, y.Step), cmp.Compare(x.Index, y.Index)) < 0
}

func (p *placer) givesUp(s *graph.StepState, waited time.Duration) bool {
	h := demand.Holder{Tasks: len(s.Tasks), Away: p.away[s], Rested: demand.GiveUpRest}
	if at, ok := p.c.givenUpAt[s]; ok {
		h.Rested = p.now.Sub(at)
	}
	return h.GivesUp(waited)
}

// stopFor stops a run and claims its worker for a task.
func (p *placer) stopFor(r *runState, s *graph.StepState, task *graph.Task, waited time.Duration) {
	r.abandonReason = fmt.Sprintf("gives way to job %s, which has had nothing at work for %d ms; its own job has all %d tasks at work",
		s.Occurrence.Job.Spec.ID, waited.Milliseconds(), len(r.a.Step.Tasks))
	p.away[r.a.Step]++
	p.c.givingUp, p.c.givenUpAt[r.a.Step] = r, p.now
	p.c.claims[task] = &claim{ws: r.ws, priority: s.Occurrence.Job.Queue.Priority, at: p.now}
	p.block(&r.ws.candidate)
	p.c.Stats.GivenUp++
	p.c.queueRun(r)
}

// forgetGivenUp drops the rest periods that are over.
func (c *Core) forgetGivenUp(now time.Time) {
	for s, at := range c.givenUpAt {
		if now.Sub(at) >= demand.GiveUpRest {
			delete(c.givenUpAt, s)
		}
	}
}

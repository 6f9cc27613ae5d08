package dispatch

import (
	"time"

	"gooseberrypond/core/graph"
	"gooseberrypond/core/structs"
)

// Long-running tasks hold their processors for a minute or more, batch tasks for a
// second. When all processors are reserved, batch work that could still meet its
// objective waits for processors that hardly ever become free, while a long-running
// task that is stopped is back within seconds.

const (
	// preemptAfterMS is how long a batch task waits before long-running tasks are stopped
	// for it. Most waits end earlier, when another batch task ends.
	preemptAfterMS = 150
	// preemptShare is the part of its share up to which batch work gets processors by the
	// stop of long-running tasks. A task that is stopped is away for seconds, in which its
	// users lose more than the batch work gains, unless hardly any of that can run.
	preemptShare = 0.5
	// preemptMax limits the long-running tasks that are stopped by one plan.
	preemptMax = 8
	// preemptFailuresMax is after how many steps for which no run can be stopped a plan
	// looks for no more.
	preemptFailuresMax = 4
	// preemptSample is how many workers are looked at for a task in a large pool. Where
	// long-running tasks hold nearly everything, nearly all of them would do.
	preemptSample = 128
	// awayShare is the fraction of a step's tasks that may be away when another one is
	// preempted. The others serve its users meanwhile.
	awayShare = 0.25
)

// preempt stops long-running tasks for batch steps that found no worker, as long as batch
// work has less than preemptShare of its share of the pool. order is the order in which p
// placed the steps.
func (c *Core) preempt(nowMS int64, order []ranked, p *placer) {
	freeing := map[string]int64{} // processors that are being freed, by pool
	stopped, failed := 0, 0
	for i := range order {
		s := order[i].step
		if order[i].class != inTime || order[i].rest || !mayWaitFor(s, nowMS) {
			continue
		}
		name := s.Occurrence.Job.Queue.Pool
		state, pool := c.poolStates[name], c.candidatePools[name]
		if state == nil || pool == nil {
			continue
		}
		if _, counted := freeing[name]; !counted {
			freeing[name] = c.beingFreed(name)
		}
		for range s.Waiting {
			if stopped >= preemptMax || failed >= preemptFailuresMax {
				return
			}
			if float64(state.batch+freeing[name]) >= preemptShare*float64(state.share()) || !c.ledger.Fits(owner(s), s.Need) {
				break
			}
			n := p.makeSpace(s, pool)
			if n == 0 {
				failed++
				break
			}
			stopped += n
			c.ledger.Take(owner(s), s.Need, 1) // its start is to follow
			freeing[name] += s.Need.CPUMilli
		}
	}
}

// mayWaitFor reports whether long-running tasks may be stopped for a step.
func mayWaitFor(s *graph.StepState, nowMS int64) bool {
	return !s.LongRunning && !s.Filler && !s.Gang && s.Waiting > 0 &&
		nowMS-max(s.Occurrence.DueMS, s.ReadyMS()) >= preemptAfterMS
}

// beingFreed returns the processors of a pool's runs that are being preempted.
func (c *Core) beingFreed(pool string) int64 {
	var milli int64
	for r := range c.preempted {
		if r.a.Ended() {
			delete(c.preempted, r)
		} else if r.ws.w.Pool == pool {
			milli += r.a.Step.Need.CPUMilli
		}
	}
	return milli
}

const reasonPreempted = "preempted by work with an objective"

// makeSpace stops the long-running runs of one worker that a task needs the capacity of,
// as few as possible. It returns their number, 0 if there is no such worker.
func (p *placer) makeSpace(s *graph.StepState, pool *candidatePool) int {
	if pool == nil {
		return 0
	}
	var best []*runState
	order := search{from: 0, stride: 1, limit: len(pool.members)}
	if len(pool.members) > preemptSample {
		order = search{from: pool.next, stride: fillerStride, limit: preemptSample}
	}
	for i := 0; i < order.limit && len(best) != 1; i++ {
		at := (order.from + i*order.stride) % len(pool.members)
		if order.stride != 1 {
			pool.next = at
		}
		if cd := pool.members[at]; !cd.claimed && p.feasible(s, cd) {
			if runs := p.victims(s, cd); len(runs) > 0 && (best == nil || len(runs) < len(best)) {
				best = runs
			}
		}
	}
	p.stopped = best
	for _, r := range best {
		r.abandonReason = reasonPreempted
		p.c.preempted[r] = struct{}{}
		p.away[r.a.Step]++
		if !s.LongRunning {
			r.ws.yieldedUntil = p.now.Add(yieldFor)
		}
		p.c.queueRun(r)
	}
	return len(best)
}

// victims returns the runs on a worker that would have to be stopped for a task, nil
// if stopping all that may be stopped is not enough.
func (p *placer) victims(s *graph.StepState, cd *candidate) []*runState {
	missing := s.ReservedResources().Sub(cd.free)
	var out []*runState
	for _, r := range cd.ws.runs {
		if r.abandonReason == reasonPreempted {
			return nil // its processors are for a task that has waited longer
		}
		if !p.mayPreempt(s, r) {
			continue
		}
		out = append(out, r)
		missing = missing.Sub(r.a.Step.ReservedResources())
		if missing.Fits(structs.Resources{}) {
			return out
		}
	}
	return nil
}

// mayPreempt reports whether a run may be stopped for a task of the step.
func (p *placer) mayPreempt(s *graph.StepState, r *runState) bool {
	v := r.a.Step
	if !v.LongRunning || r.mustStop() || r.ending || r.releasing || !r.reported ||
		v.Occurrence.Job.Queue.Priority < s.Occurrence.Job.Queue.Priority ||
		r.a.Run > 1 && p.age(r) < preemptRest || !p.mayGiveWay(s, v) {
		return false
	}
	away, counted := p.away[v]
	if !counted {
		away = p.c.awayTasks(v)
		p.away[v] = away
	}
	if v.MaxUnavailable > 0 && away >= v.MaxUnavailable {
		return false
	}
	return float64(away) < awayShare*float64(len(v.Tasks))
}

// age returns how long ago a run started. The time of day is used only for runs that an
// earlier leader started, since it may be stepped.
func (p *placer) age(r *runState) time.Duration {
	if !r.acceptedAt.IsZero() {
		return p.now.Sub(r.acceptedAt)
	}
	return time.Duration(p.nowMS-r.a.StartedMS) * time.Millisecond
}

// awayTasks counts the tasks of a long-running step that do not serve.
func (c *Core) awayTasks(s *graph.StepState) int {
	away := 0
	for i := range s.Tasks {
		if !c.serves(&s.Tasks[i]) {
			away++
		}
	}
	return away
}

func (c *Core) serves(t *graph.Task) bool {
	for _, a := range t.Attempts {
		ws := c.workers[a.Worker.Handle]
		if ws == nil {
			continue
		}
		if r := ws.runs[a]; r != nil && r.percent >= 100 && !r.mustStop() && !r.ending {
			return true
		}
	}
	return false
}

package dispatch

import (
	"time"

	"gooseberrypond/core/graph"
)

// A run can be on a worker that is not its attempt's: a delayed order started it on a later
// incarnation, or the attempt is gone. Only the worker's lists name such strays. They are
// stopped, and until they have ended they count: against the steps that limit how many of
// their tasks run on one worker, and against a second run of their task.

// noteStray counts a listed run without an attempt on the worker.
func (c *Core) noteStray(ws *workerState, s *graph.StepState, task *graph.Task) {
	ws.strayRuns++
	ws.strayTasks = append(ws.strayTasks, task)
	c.strayOn[task] = ws
	if s.MaxPerWorker <= 0 {
		return
	}
	if ws.strays == nil {
		ws.strays = map[*graph.StepState]int{}
	}
	ws.strays[s]++
}

// forgetStrays begins the count of a new list.
func (c *Core) forgetStrays(ws *workerState) {
	if ws.strayRuns == 0 {
		clear(ws.strayStops)
	}
	for _, task := range ws.strayTasks {
		if c.strayOn[task] == ws {
			delete(c.strayOn, task)
		}
	}
	ws.strayRuns, ws.strayTasks = 0, ws.strayTasks[:0]
	clear(ws.strays)
}

// hasStray reports whether a run of the task that has no attempt may still be running where
// it was listed.
func (c *Core) hasStray(now time.Time, task *graph.Task) bool {
	ws := c.strayOn[task]
	if ws == nil {
		return false
	}
	ended := ws.superseded || c.workers[ws.w.Handle] != ws || ws.suspect && now.After(c.anyLeaseEnd(ws, transitMax))
	if ended {
		delete(c.strayOn, task)
	}
	return !ended
}

// awaitsStray reports whether the task must not start before a run of it has ended that has
// no attempt.
func (p *placer) awaitsStray(s *graph.StepState, task *graph.Task) bool {
	if s.Speculative || !p.c.hasStray(p.now, task) {
		return false
	}
	p.causes[s] = CauseStray
	return true
}

// strayStopped records that a stop of a run without an attempt was answered.
func (ws *workerState) strayStopped(now time.Time, r *runState) {
	if ws.strayStops == nil {
		ws.strayStops = map[releasedRun]time.Time{}
	}
	ws.strayStops[releasedRun{r.a.Ref(), r.a.Run}] = now
}

// isEnding reports whether a listed run without an attempt is being stopped: the worker has
// answered a stop and may still take until the timeout.
func (ws *workerState) isEnding(row *RunningRow, timeout time.Duration) bool {
	key := releasedRun{row.Task, row.Run}
	at, stopped := ws.strayStops[key]
	if stopped && ws.lastAnswer.Sub(at) > timeout {
		delete(ws.strayStops, key)
		return false
	}
	return stopped
}

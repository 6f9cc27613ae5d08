package dispatch

import "time"

// clear stops the runs of a draining worker so that their tasks can move.
// Long-running tasks move at once, to be serving elsewhere as early as possible.
// Tasks that would not finish in time and write no checkpoints also move at once,
// since any further work would be lost. Tasks that write checkpoints are stopped
// as late as possible. Tasks that will finish in time are left alone.
func (c *Core) clear(now time.Time, ws *workerState) {
	left := ws.leavesAt.Sub(now)
	if ws.leavesAt.IsZero() {
		left = defaultLeaveTime
	}
	for _, r := range ws.runs {
		if r.abandonReason != "" || r.ending || r.releasing {
			continue
		}
		if c.mustMove(r, left) {
			r.abandonReason = "worker is draining"
			c.queueRun(r)
		}
	}
}

// defaultLeaveTime is the time assumed to be left on a draining worker that does not
// report when it will leave.
const defaultLeaveTime = 2 * time.Second

func (c *Core) mustMove(r *runState, left time.Duration) bool {
	s := r.a.Step
	if s.LongRunning {
		return true
	}
	if r.remaining() < left {
		return false
	}
	if s.Checkpoints {
		return left < c.limits.StopTimeout+drainStopMargin
	}
	return true
}

// remaining estimates the remaining run time from the run's reported progress.
func (r *runState) remaining() time.Duration {
	estimate := time.Duration(r.a.Step.EstimateMS) * time.Millisecond
	return estimate * time.Duration(100-min(100, max(0, r.percent))) / 100
}

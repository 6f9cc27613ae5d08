package dispatch

import "time"

// clear moves the runs of a worker that is about to leave: those that last at
// once, since every second elsewhere counts; those that would not end in time
// and save nothing at once too, since what they do is lost; those that save
// their progress as late as possible.
func (c *Core) clear(now time.Time, ws *workerState) {
	left := ws.leavesAt.Sub(now)
	if ws.leavesAt.IsZero() {
		left = unknownLeave
	}
	for _, r := range ws.runs {
		if r.giveUp != "" || r.ending || r.releasing {
			continue
		}
		if c.mustMove(r, left) {
			r.giveUp = "its worker leaves"
			c.openRun(r)
		}
	}
}

// unknownLeave is assumed of a worker that does not say how long it stays.
const unknownLeave = 2 * time.Second

func (c *Core) mustMove(r *runState, left time.Duration) bool {
	s := r.a.Step
	if s.LongRunning {
		return true
	}
	if r.remaining() < left {
		return false
	}
	if s.Checkpoints {
		return left < c.limits.StopTimeout+clearMargin
	}
	return true
}

// remaining estimates how long a run still takes from its progress.
func (r *runState) remaining() time.Duration {
	estimate := time.Duration(r.a.Step.EstimateMS) * time.Millisecond
	return estimate * time.Duration(100-min(100, max(0, r.percent))) / 100
}

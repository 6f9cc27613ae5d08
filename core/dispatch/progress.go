package dispatch

import (
	"time"
)

const (
	// stuckMin is the least time without progress after which a run counts as
	// stuck. It spans two lists of an idle worker, and any quick task.
	stuckMin = 1500 * time.Millisecond
	// stuckPercents is the number of steps of 1%, at the estimated speed, within
	// which a run must show one: estimates are off by a factor of two or three.
	stuckPercents = 10
	// startupMax is how long a task that lasts may take until it is at work.
	startupMax = 4 * time.Second
	// stuckStreak stuck runs set a worker aside, as failed ones do.
	stuckStreak = 2
)

// noteProgress updates when a run was last seen to advance.
func (r *runState) noteProgress(now time.Time, percent int) {
	if !r.seen || percent > r.percent || r.progressAt.IsZero() {
		r.progressAt = now
	}
	r.percent = percent
}

// checkProgress gives up the runs of a worker that stand still: their tasks go
// to other workers, and this one gets nothing for a while.
func (c *Core) checkProgress(now time.Time, ws *workerState) {
	for _, r := range ws.runs {
		if !r.seen || r.giveUp != "" || r.ending || r.releasing || !r.a.ShouldRun() {
			continue
		}
		if now.Sub(r.progressAt) < r.patience() {
			continue
		}
		r.giveUp = "no progress"
		c.openRun(r)
		c.Stats.Stuck++
		ws.noteStuck(now)
	}
}

// patience returns how long the run may show no progress.
func (r *runState) patience() time.Duration {
	s := r.a.Step
	pace := min(100, max(0, r.pace))
	switch {
	case r.percent >= 100: // at work, or about to end
		return forever
	case s.LongRunning:
		return startupMax
	case s.Gang: // it may wait for the others
		return forever
	case s.Filler && pace < minPace:
		return forever
	}
	perPercent := time.Duration(s.EstimateMS) * time.Millisecond / 100
	p := perPercent * stuckPercents * 100 / time.Duration(max(pace, 1))
	if s.Filler {
		p *= fillerPatience
	}
	return max(p, stuckMin)
}

// forever is longer than any run.
const forever time.Duration = 1<<63 - 1

// fillerPatience allows for processors that fillers share with others.
const fillerPatience = 4

// noteStuck counts a stuck run against its worker.
func (ws *workerState) noteStuck(now time.Time) {
	ws.stuck++
	if ws.stuck < stuckStreak {
		return
	}
	ws.stuck = 0
	ws.setAside(now)
}

// setAside keeps new work away from a worker, longer each time.
func (ws *workerState) setAside(now time.Time) {
	ws.asideFor = min(max(2*ws.asideFor, asideMin), asideMax)
	if until := now.Add(ws.asideFor); until.After(ws.pausedUntil) {
		ws.pausedUntil = until
	}
}

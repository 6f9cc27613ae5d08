package dispatch

import (
	"time"
)

const (
	// stuckMin is the minimum time without progress before a run counts as stuck.
	// It is longer than two list intervals of an idle worker and than any short
	// task.
	stuckMin = 1500 * time.Millisecond
	// stuckPercents is the time, in percent of the estimated run time, within which
	// a run must progress by 1%. Estimates are off by a factor of two or three.
	stuckPercents = 10
	// startupMax is how long a long-running task may take to start up.
	startupMax = 4 * time.Second
	// stuckStreak stuck runs quarantine a worker, as failed runs do.
	stuckStreak = 2
)

// noteProgress records the reported progress and the time of its last increase.
func (r *runState) noteProgress(now time.Time, percent int) {
	if !r.seen || percent > r.percent || r.progressAt.IsZero() {
		r.progressAt = now
	}
	r.percent = percent
}

// checkProgress abandons the stuck runs of a worker. Their tasks move to other
// workers, and repeated stuck runs quarantine the worker.
func (c *Core) checkProgress(now time.Time, ws *workerState) {
	for _, r := range ws.runs {
		if !r.seen || r.giveUp != "" || r.ending || r.releasing || !r.a.Wanted() {
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

// patience returns how long the run may go without progress.
func (r *runState) patience() time.Duration {
	s := r.a.Step
	pace := min(100, max(0, r.pace))
	switch {
	case r.percent >= 100: // serving, or about to end
		return forever
	case s.LongRunning:
		return startupMax
	case s.Gang: // it may be waiting for other members
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

// fillerPatience is the factor on the progress timeout of fillers, which share
// their processors with other tasks.
const fillerPatience = 4

// noteStuck counts a stuck run and quarantines the worker at the threshold.
func (ws *workerState) noteStuck(now time.Time) {
	ws.stuck++
	if ws.stuck < stuckStreak {
		return
	}
	ws.stuck = 0
	ws.setAside(now)
}

// setAside quarantines a worker: it gets no new work for a period that doubles
// each time.
func (ws *workerState) setAside(now time.Time) {
	ws.asideFor = min(max(2*ws.asideFor, asideMin), asideMax)
	if until := now.Add(ws.asideFor); until.After(ws.pausedUntil) {
		ws.pausedUntil = until
	}
}

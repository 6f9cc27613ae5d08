package dispatch

import (
	"time"
)

const (
	// stuckTimeoutMin is the minimum time without progress before a run counts as stuck.
	// It is longer than two list intervals of an idle worker and than any short
	// task.
	stuckTimeoutMin = 1500 * time.Millisecond
	// stuckPercents is the time, in percent of the estimated run time, within which
	// a run must progress by 1%. Estimates are off by a factor of two or three.
	stuckPercents = 10
	// startupTimeout is how long a long-running task may take to start up.
	startupTimeout = 4 * time.Second
	// stuckThreshold stuck runs quarantine a worker, as failed runs do.
	stuckThreshold = 2
)

// recordProgress records the progress in a list that was made at the given time on
// the worker's clock, and the time of its last increase.
func (r *runState) recordProgress(madeMS int64, percent int) {
	if !r.reported || percent > r.percent {
		r.progressMS = madeMS
	}
	r.percent = percent
}

// checkProgress abandons the stuck runs of a worker, by a list that was made at the
// given time on the worker's clock; the list itself may have arrived late. Their
// tasks move to other workers, and repeated stuck runs quarantine the worker.
func (c *Core) checkProgress(now time.Time, ws *workerState, madeMS int64) {
	for _, r := range ws.runs {
		if !r.reported || r.abandonReason != "" || r.ending || r.releasing || !r.a.ShouldRun() {
			continue
		}
		if time.Duration(madeMS-r.progressMS)*time.Millisecond < r.progressTimeout() {
			continue
		}
		r.abandonReason = "no progress"
		c.queueRun(r)
		c.Stats.Stuck++
		ws.health.recordStuck(now, r)
	}
}

// progressTimeout returns how long the run may go without progress.
func (r *runState) progressTimeout() time.Duration {
	s := r.a.Step
	pace := min(100, max(0, r.pace))
	switch {
	case r.percent >= 100: // serving, or about to end
		return noTimeout
	case s.LongRunning:
		return startupTimeout
	case s.Gang: // it may be waiting for other members
		return noTimeout
	case s.Filler && pace < minPace:
		return noTimeout
	}
	perPercent := time.Duration(s.EstimateMS) * time.Millisecond / 100
	p := perPercent * stuckPercents * 100 / time.Duration(max(pace, 1))
	if s.Filler {
		p *= fillerTimeoutFactor
	}
	return max(p, stuckTimeoutMin)
}

// noTimeout is longer than any run.
const noTimeout time.Duration = 1<<63 - 1

// fillerTimeoutFactor is the factor on the progress timeout of fillers, which share
// their processors with other tasks.
const fillerTimeoutFactor = 4

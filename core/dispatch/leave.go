package dispatch

import (
	"slices"
	"time"

	"gooseberrypond/core/graph"
)

// A worker that leaves gives notice, and ends once that is acknowledged. Without the
// acknowledgement it works on for some seconds, of which the platform's protocol gives no
// figure. An answer to a call proves nothing about the acknowledgement, so the runs are stopped
// first: what has answered a stop ends in a known time, whatever becomes of the worker. Runs
// without a proof are kept until the lease is over.

// reasonLeaves is why runs on a worker that has given notice are stopped or not started.
const reasonLeaves = "the worker leaves"

// leaves reports whether the worker has given notice or is recorded as left.
func (ws *workerState) leaves() bool { return !ws.noticeAt.IsZero() || ws.w.Left }

// leaveNoticeArrived handles a worker's notice that it leaves: it is asked for its lists, and
// its runs are stopped.
func (c *Core) leaveNoticeArrived(now time.Time, ws *workerState) {
	if !ws.noticeAt.IsZero() {
		return // repeated
	}
	ws.noticeAt = now
	c.leaving = append(c.leaving, ws)
	if len(ws.runs) == 0 {
		return
	}
	c.queuePoll(now, ws)
	ws.pollAt = now
	for _, r := range ws.runs {
		if r.abandonReason == "" {
			r.abandonReason = reasonLeaves
		}
		c.queueRun(r)
	}
}

// recordLeaves queues the record that workers have left, which lets their notices be
// acknowledged, once each of their runs has ended or its stop is answered, or when
// leaveStopWait is over.
func (c *Core) recordLeaves(now time.Time) {
	c.leaving = slices.DeleteFunc(c.leaving, func(ws *workerState) bool {
		if c.tables.Worker(ws.w.Handle) == nil || ws.w.Left {
			return true
		}
		if now.Sub(ws.noticeAt) < leaveStopWait && ws.hasUnstoppedRun() {
			return false
		}
		c.queueChange(graph.WorkerChange{Report: ws.w.WorkerReport, Left: true})
		return true
	})
}

// hasUnstoppedRun reports whether there is a run that has not ended and of which no stop has
// been answered.
func (ws *workerState) hasUnstoppedRun() bool {
	for _, r := range ws.runs {
		if !r.ending && !r.releasing && !r.a.Ended() && r.stoppedAt.IsZero() {
			return true
		}
	}
	return false
}

// isStopOver reports whether the run is on a worker that leaves and has ended, since the worker
// has answered a stop and the time that this may take is over, also if the worker's clock is slow.
func (c *Core) isStopOver(now time.Time, r *runState) bool {
	return r.ws.leaves() && !r.stoppedAt.IsZero() && now.After(r.stoppedAt.Add(longestLease(c.limits.StopTimeout)+leaseSlack))
}

// RunsOf returns the number of runs on the current incarnation of a worker.
func (c *Core) RunsOf(id string) int {
	if ws := c.currentState(c.tables.WorkerByID(id)); ws != nil {
		return len(ws.runs)
	}
	return 0
}

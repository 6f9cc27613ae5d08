package dispatch

import (
	"time"

	"gooseberrypond/core/graph"
)

// lapsedRuns are the runs during which a worker may have crashed. Whether it has, or
// was only out of touch, shows when it returns.
type lapsedRuns struct {
	at   time.Time // of the first release
	runs []suspectRun
}

// settled reports whether the worker has listed the run and was still in touch settleTime
// after its start. A list alone may be older than a crash by a few milliseconds.
func (r *runState) settled() bool {
	start := r.acceptedAt
	if start.IsZero() {
		start = time.UnixMilli(r.a.StartedMS)
	}
	return r.reported && r.ws.lastAnswer.Sub(start) >= settleTime
}

// mayHaveCrashed reports whether the run may have been executing, less than
// graph.CrashWindow after its start, when its worker was last in touch. A worker that
// drains ends on purpose.
func mayHaveCrashed(r *runState) bool {
	started := r.reported || r.inherited || r.sentInTouch && r.sends > 0 && !r.metSuccessor
	return started && !r.ending && !r.releasing && !r.listedBySuccessor && r.stoppedAt.IsZero() &&
		!r.ws.w.Draining && startedWithin(r.ws.lastAnswer, r.a, graph.CrashWindow)
}

// startedWithin reports whether an attempt started less than d before now.
func startedWithin(now time.Time, a *graph.Attempt, d time.Duration) bool {
	return now.UnixMilli()-a.StartedMS < d.Milliseconds()
}

// rememberLapsed records a run of a worker whose lease has expired before it is released.
func (c *Core) rememberLapsed(now time.Time, r *runState) {
	if !mayHaveCrashed(r) {
		return
	}
	l, known := c.lapsed[r.ws.w]
	if !known {
		l.at = now
	}
	l.runs = append(l.runs, c.suspectRun(now, r))
	c.lapsed[r.ws.w] = l
}

// countLapsed queues the crash records of the lapsed runs of earlier incarnations of a
// worker that has answered. Runs of the same incarnation, which was recorded anew after
// a long silence, are forgotten: it has not crashed.
func (c *Core) countLapsed(now time.Time, ws *workerState) {
	for old, l := range c.lapsed {
		switch {
		case supersedes(ws.w, old):
			if !old.Draining {
				c.countCrashes(now, old, l.runs)
			}
			delete(c.lapsed, old)
		case old.ID == ws.w.ID && old.Born == ws.w.Born:
			delete(c.lapsed, old)
		}
	}
}

// forgetLapsed drops the lapsed runs of workers that have not returned.
func (c *Core) forgetLapsed(now time.Time) {
	for old, l := range c.lapsed {
		if now.Sub(l.at) >= lapsedMemory {
			delete(c.lapsed, old)
		}
	}
}

package dispatch

import (
	"time"

	"gooseberrypond/core/graph"
)

// markSuperseded records which incarnations have ended because a later one has started
// under the same ID.
func (c *Core) markSuperseded(w *graph.Worker) {
	for _, old := range c.byID[w.ID] {
		if supersedes(w, old.w) {
			old.superseded = true
		}
	}
}

// mayRunElsewhere reports whether another incarnation of the worker may be executing the
// run. A start names the worker's ID only, so the incarnation that receives it may be a
// later one than it was meant for, also some time after it was sent. That is ruled out
// once this incarnation has listed the run and no other copy of the start is under way.
func (r *runState) mayRunElsewhere() bool {
	return !r.reported || r.takenElsewhere || r.startUnanswered && !r.ws.listSentAt.After(r.sentAt.Add(lateOrderMax))
}

// startUnderWay reports whether a start of the run may not have arrived yet.
func (r *runState) startUnderWay(now time.Time) bool {
	settled := r.reported || !r.acceptedAt.IsZero() && !r.startUnanswered
	return r.sends > 0 && !settled && now.Before(r.sentAt.Add(arrivalMax))
}

// anyLeaseEnd returns when the lease is certainly over that any incarnation of the worker
// can have given a run: the last call that carried a deadline may have been delayed for
// the given time, and the deadline is no limit on a clock that began anew.
func (c *Core) anyLeaseEnd(ws *workerState, delay time.Duration) time.Time {
	sent, ok := c.deadlineSentAt[ws.w.ID]
	if !ok {
		return ws.leaseEnd()
	}
	return later(ws.leaseEnd(), sent.Add(delay+longestLease(c.limits.LeaseMax)+leaseSlack))
}

// longestLease returns how long a lease can last here if the worker's clock is slow by
// MaxClockSlow.
func longestLease(lease time.Duration) time.Duration {
	return time.Duration(float64(lease) / (1 - MaxClockSlow))
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// successor returns the recorded incarnation that has replaced this one under its ID, or
// nil.
func (c *Core) successor(ws *workerState) *workerState {
	w := c.tables.WorkerByID(ws.w.ID)
	if w == nil || w == ws.w {
		return nil
	}
	return c.workers[w.Handle]
}

// releaseExpired releases the runs of a worker that does not answer which are certainly
// over.
func (c *Core) releaseExpired(now time.Time, ws *workerState) {
	if !ws.suspect && ws.fenced && !ws.w.Left {
		return
	}
	for _, r := range ws.runs {
		reason := c.certainlyOver(now, r)
		if reason == "" {
			continue
		}
		if !r.releasing {
			c.Stats.LeaseEnds++
		}
		c.rememberLapsed(now, r)
		c.release(r, reason)
	}
}

// certainlyOver returns why a run is certainly not running any more, although its worker
// does not answer; empty if it may be.
func (c *Core) certainlyOver(now time.Time, r *runState) string {
	ws := r.ws
	if next := c.successor(ws); next != nil && next.fenced {
		if !next.suspect {
			return "" // its lists decide
		}
		// It refuses starts for this one since it first answered.
		arrived := next.lastAnswer.Add(longestLease(c.limits.LeaseMax) + leaseSlack)
		return overAfter(now, later(arrived, c.anyLeaseEnd(ws, arrivalMax)), releaseAnyLeaseOver)
	}
	switch {
	case r.mayRunElsewhere():
		return overAfter(now, c.anyLeaseEnd(ws, c.delayOf(r)), releaseAnyLeaseOver)
	case ws.superseded && ws.suspect && now.After(ws.leftAt.Add(supersededGrace)):
		return releaseSuperseded
	case ws.suspect && c.isStopOver(now, r):
		return releaseStopOver
	}
	return overAfter(now, ws.leaseEnd(), releaseLeaseOver)
}

// delayOf returns how late a call that concerns the run may reach an incarnation that has
// answered nothing yet. Orders may be late by seconds; that is reckoned with where a later
// incarnation is known and a start has had no answer. Otherwise the tasks of each lost worker
// would be away for as long.
func (c *Core) delayOf(r *runState) time.Duration {
	replaced := r.ws.superseded || r.ws.rival != nil || !r.ws.otherAnsweredAt.IsZero()
	switch {
	case replaced && (r.startUnanswered || r.inFlight && r.mustStart()):
		return lateOrderMax
	case replaced || r.inherited: // an earlier leader's calls may still be under way
		return arrivalMax
	}
	return transitMax
}

func overAfter(now, end time.Time, reason string) string {
	if now.After(end) {
		return reason
	}
	return ""
}

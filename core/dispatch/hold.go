package dispatch

import (
	"slices"
	"time"

	"gooseberrypond/core/graph"
)

// NextHold returns the next hold call to a worker. If no call is due yet, wait is
// the time until then; NeedsCall reports whether the wait may end early. ok is
// false once the worker's record has been removed.
func (c *Core) NextHold(now time.Time, h graph.Handle) (hold Hold, wait time.Duration, ok bool) {
	ws := c.workers[h]
	if ws == nil || c.tables.Worker(h) == nil {
		return Hold{}, 0, false
	}
	if now.Before(ws.nextHold) {
		return Hold{}, ws.nextHold.Sub(now), true
	}
	if ws.lastListed > ws.ackCursor && now.Sub(ws.lastListedAt) < commitWait {
		return Hold{}, commitWait - now.Sub(ws.lastListedAt), true
	}
	if again := ws.heldAt.Add(holdRetryMin); ws.startsInFlight > 0 && ws.ackCursor > ws.sentCursor && now.Before(again) {
		return Hold{}, again.Sub(now), true // the worker would list the same ends at once
	}
	switch {
	case len(ws.runs) == 0 && !c.mayStartLate(now, ws):
		return c.hold(now, ws, 0), 0, true // HoldDone paces these calls
	case ws.pacing:
		return c.hold(now, ws, pacingHoldWait), 0, true
	}
	return c.hold(now, ws, HoldWait), 0, true
}

func (c *Core) hold(now time.Time, ws *workerState, wait time.Duration) Hold {
	if !ws.fenced {
		wait = 0
	}
	h := Hold{Target: ws.target(), WaitMS: wait.Milliseconds()}
	h.Urgency = ws.holdUrgency()
	ws.heldAt = now
	if ws.mayAcknowledge() && ws.ackCursor > ws.answeredCursor {
		h.AckCursor, ws.sentCursor = ws.ackCursor, ws.ackCursor
	}
	if !ws.suspect && !ws.leaves() {
		// Calls to a worker that may be dead must not extend its lease, or a dead
		// worker would keep its runs forever.
		h.DeadlineMS = ws.nextDeadline(now, c.limits.LeaseMax)
		if h.DeadlineMS > 0 {
			c.deadlineSentAt[ws.w.ID] = now
		}
	}
	return h
}

// mayAcknowledge reports whether ends may be acknowledged. Those that a call has acknowledged
// and that was answered are discarded, and their cursor is not sent again: a later incarnation
// numbers its ends anew, and the call may reach that one. While a start is in flight, a
// later incarnation may already have ended it; its answer tells which one that is.
func (ws *workerState) mayAcknowledge() bool {
	return ws.incarnationKnown && ws.startsInFlight == 0
}

// holdUrgency returns the urgency of a hold call.
func (ws *workerState) holdUrgency() Urgency {
	if ws.suspect {
		return UrgencyNone
	}
	u := UrgencyFree
	for _, r := range ws.runs {
		u = max(u, UrgencyRuns)
		if r.mustStop() {
			return UrgencyStop
		}
	}
	return u
}

func (ws *workerState) target() Target {
	return Target{Worker: ws.w.Handle, ID: ws.w.ID, Address: ws.w.Address, Token: ws.token}
}

// NeedsCall reports whether a call to the worker is due before the wait returned
// by NextHold has passed.
func (c *Core) NeedsCall(now time.Time, h graph.Handle) bool {
	ws := c.workers[h]
	return ws == nil || (ws.lastListed <= ws.ackCursor && !now.Before(ws.nextHold))
}

// DuePolls returns the due hold calls that ask workers for their run lists
// without waiting. They are sent beside the hold call that waits for an end.
func (c *Core) DuePolls(now time.Time) []Hold {
	var out []Hold
	c.polls = slices.DeleteFunc(c.polls, func(ws *workerState) bool {
		if c.tables.Worker(ws.w.Handle) == nil {
			return true
		}
		if now.Before(ws.pollAt) || ws.suspect {
			return false
		}
		ws.pollQueued = false
		out = append(out, c.hold(now, ws, 0))
		return true
	})
	return out
}

// HoldFailed handles a hold call without an answer: it marks the worker as
// suspect and schedules a retry with exponential backoff. It reports whether the worker
// answered before.
func (c *Core) HoldFailed(now time.Time, hold Hold) (first bool) {
	ws := c.workers[hold.Worker]
	if ws == nil {
		return false
	}
	first = !ws.suspect
	c.callFailed(now, ws)
	c.raiseToken(now, ws)
	ws.failedCalls++
	ws.nextHold = now.Add(c.holdRetryDelay(now, ws))
	return first
}

// HoldNotSent schedules a retry of a hold call that was not sent for lack of a
// connection. It says nothing about the worker.
func (c *Core) HoldNotSent(now time.Time, hold Hold) {
	if ws := c.workers[hold.Worker]; ws != nil {
		ws.nextHold = now.Add(holdRetryMin)
	}
}

// HoldDone handles the answer to a hold call that was sent at the given time.
func (c *Core) HoldDone(now, sent time.Time, hold Hold, reply *HoldReply) {
	ws := c.workers[hold.Worker]
	if ws == nil {
		return
	}
	if reply.Born > 0 && reply.Born != ws.w.Born {
		ws.otherAnsweredAt = now
		c.HoldFailed(now, hold) // another incarnation; its own heartbeat will register it
		return
	}
	c.recordAnswer(now, ws, reply.ClockMS)
	if reply.Born > 0 {
		ws.bornConfirmed = true
		if sent.After(ws.otherAnsweredAt) {
			ws.otherAnsweredAt = time.Time{}
		}
		c.refuteRival(ws, sent)
	}
	if sent.After(ws.callFailedAt) {
		// Without an open call a crash is not noticed, so the next call acknowledges nothing.
		ws.incarnationKnown = len(ws.runs) > 0 || len(reply.Finished) > 0
	}
	ws.listSentAt = later(ws.listSentAt, sent)
	ws.answeredCursor = max(ws.answeredCursor, hold.AckCursor)
	ws.nextHold = now
	switch {
	case len(ws.runs) > 0:
	case c.mayStartLate(now, ws):
		ws.nextHold = later(now, ws.heldAt.Add(holdRetryMin)) // the call stays open
	default:
		// No run can end meanwhile. The connection is free for the next start, so that a
		// worker without runs needs only one.
		ws.nextHold = now.Add(HoldWait)
	}
	if !ws.fenced {
		ws.fenced = true
		c.countLapsed(now, ws)
		clear(c.searchedAt) // a newly usable worker adds free capacity
	}
	running := make(map[*graph.Attempt]bool, len(reply.Running))
	newest := reply.ClockMS >= ws.listedMS // a list may overtake an earlier one
	ws.listedMS = max(ws.listedMS, reply.ClockMS)
	if newest {
		c.forgetStrays(ws)
	}
	for i := range reply.Running {
		c.handleRunning(ws, &reply.Running[i], running, newest)
	}
	finished := c.handleFinished(now, ws, reply)
	if len(reply.Finished) < MaxFinishedRows {
		c.handleMissing(sent, ws, running, finished)
	}
	c.releasePredecessors(now, ws, reply)
	if newest {
		c.checkProgress(now, ws, reply.ClockMS)
		ws.checkProbes(now, reply.ClockMS)
		c.observe(now, ws)
		c.adjustPace(now, ws)
	}
	ws.candidate.current = false
}

// handleRunning handles a run that the worker lists as running. A run without an
// attempt in the tables was started by a delayed order and is stopped.
func (c *Core) handleRunning(ws *workerState, row *RunningRow, running map[*graph.Attempt]bool, newest bool) {
	a := c.tables.Attempt(row.Task, row.Run)
	if a == nil || a.Worker != ws.w {
		c.stopUnknownRun(ws, row, newest)
		return
	}
	c.hasBegun(a)
	r := ws.runs[a]
	if r == nil {
		return
	}
	running[a] = true
	if newest {
		r.recordProgress(ws.listedMS, row.Percent)
		r.measure = row.Measure
	}
	r.reported, r.takenElsewhere = true, false
	if checkpoint := keptCheckpoint(row.Checkpoint); checkpoint != "" {
		r.checkpoint = checkpoint
	}
	if r.mustStop() {
		c.queueRun(r)
	}
}

// stopUnknownRun stops a run that has no attempt on this worker.
func (c *Core) stopUnknownRun(ws *workerState, row *RunningRow, newest bool) {
	step, task := c.findTask(row.Task)
	if task == nil {
		return
	}
	if newest {
		c.noteStray(ws, step, task)
	}
	if ws.isEnding(row, c.limits.StopTimeout) {
		return
	}
	for _, r := range c.queuedRuns {
		if r.ws == ws && r.a.Run == row.Run && r.a.Ref() == row.Task {
			return
		}
	}
	c.queueRun(&runState{a: &graph.Attempt{Step: step, Index: row.Task.Index, Run: row.Run, Worker: ws.w}, ws: ws, abandonReason: "started by a delayed order", reported: true})
}

func (c *Core) findTask(ref graph.TaskRef) (*graph.StepState, *graph.Task) {
	j := c.tables.Job(ref.Job)
	if j == nil {
		return nil, nil
	}
	for _, o := range j.Occurrences {
		if o.Number == ref.Occurrence && ref.Step < len(o.Steps) && ref.Index < len(o.Steps[ref.Step].Tasks) {
			return o.Steps[ref.Step], &o.Steps[ref.Step].Tasks[ref.Index]
		}
	}
	return nil, nil
}

// handleFinished queues the listed ends to be recorded and returns the attempts that
// the answer lists as ended.
func (c *Core) handleFinished(now time.Time, ws *workerState, reply *HoldReply) map[*graph.Attempt]bool {
	if len(reply.Finished) == 0 {
		return nil
	}
	finished := make(map[*graph.Attempt]bool, len(reply.Finished))
	last, queued := ws.lastListed, false
	for i := range reply.Finished {
		row := &reply.Finished[i]
		last = max(last, row.Seq)
		a := c.tables.Attempt(row.Task, row.Run)
		if a == nil && row.Kind == graph.EndDone && c.tables.AcceptsReleasedEnd(row.Task, row.Run) {
			queued = true
			c.endReleased(ws, row)
			continue
		}
		if a == nil || a.Worker != ws.w && !supersedes(ws.w, a.Worker) {
			continue
		}
		finished[a] = true
		queued = true
		r := ws.runs[a]
		if a.Worker != ws.w {
			r = c.executedBySuccessor(ws, a)
		}
		if r == nil || r.ending {
			continue
		}
		r.ending, r.reported = true, true
		c.Stats.Ends++
		c.recordEnd(now, r, row.Kind)
		c.recordWork(now, r, row.Kind)
		checkpoint := keptCheckpoint(row.Checkpoint)
		if checkpoint == "" {
			checkpoint = r.checkpoint
		}
		c.ends = append(c.ends, graph.End{Task: row.Task, Run: row.Run, Worker: a.Worker.Handle, Kind: row.Kind, Checkpoint: checkpoint})
	}
	if last > ws.lastListed {
		ws.lastListed, ws.lastListedAt = last, now
	}
	if !queued {
		ws.acknowledgeListed() // this list has no end to record
	}
	return finished
}

// endReleased queues the end done of a run that was released: the worker has carried out its
// start late. The task is not started again.
func (c *Core) endReleased(ws *workerState, row *FinishedRow) {
	if row.Seq <= ws.lastListed {
		return // queued when it was first listed
	}
	c.Stats.Ends++
	c.ends = append(c.ends, graph.End{Task: row.Task, Run: row.Run, Worker: ws.w.Handle, Kind: row.Kind})
}

// executedBySuccessor returns the run of an attempt on an earlier incarnation that a
// delayed order has started on ws, where it has ended. Its end counts like any other;
// the worker discards it only once it is recorded.
func (c *Core) executedBySuccessor(ws *workerState, a *graph.Attempt) *runState {
	if !slices.Contains(ws.inheritedEnds, a) {
		ws.inheritedEnds = append(ws.inheritedEnds, a)
	}
	old := c.workers[a.Worker.Handle]
	if old == nil {
		return nil
	}
	return old.runs[a]
}

// handleMissing handles the runs that are missing from an answer to a call sent at
// the given time. Runs that certainly will not start any more are released; runs
// whose start was accepted are stopped first.
func (c *Core) handleMissing(sent time.Time, ws *workerState, running, finished map[*graph.Attempt]bool) {
	for a, r := range ws.runs {
		if running[a] || finished[a] || r.ending {
			continue
		}
		switch {
		case r.inherited:
			c.release(r, releaseFenced)
		case !r.stoppedAt.IsZero() && sent.After(r.stoppedAt):
			c.release(r, releaseStopped)
		case !r.acceptedAt.IsZero() && sent.After(r.acceptedAt):
			r.abandonReason = "started, but no longer listed and no end reported"
			c.queueRun(r)
		}
	}
}

// releasePredecessors releases the runs of earlier incarnations of the worker.
// The current incarnation has answered. From then on it rejects orders for its
// predecessors: those with the same ID because of their lower fencing token, and those
// with another ID at the same address because each order names the ID that it is for.
// A run that such an order has already started here is stopped before it is released. One
// whose start may still be under way is kept until it has arrived here, since yet another
// incarnation would carry it out. As long as a predecessor with another ID is recorded, more
// runs may be placed on it: nothing tells it from a usable worker until a call to it fails.
func (c *Core) releasePredecessors(now time.Time, ws *workerState, reply *HoldReply) {
	ws.predecessors = slices.DeleteFunc(ws.predecessors, func(old *workerState) bool {
		open := false
		var suspects []suspectRun
		for a, r := range old.runs {
			if listsRun(reply, a) {
				open, r.listedBySuccessor = true, true
				continue
			}
			if !r.judged && mayHaveCrashed(r) {
				r.judged = true // with the others on the worker, also if it is released later
				suspects = append(suspects, c.suspectRun(now, r))
			}
			if r.startUnderWay(now) {
				open = true
				c.queuePoll(now, ws)
				ws.pollAt = r.sentAt.Add(arrivalMax)
				continue
			}
			c.release(r, releaseNotOnSuccessor)
		}
		c.countCrashes(now, old.w, suspects)
		return !open && (old.w.ID == ws.w.ID || c.tables.Worker(old.w.Handle) == nil)
	})
}

func listsRun(reply *HoldReply, a *graph.Attempt) bool {
	for i := range reply.Running {
		if reply.Running[i].Run == a.Run && reply.Running[i].Task == a.Ref() {
			return true
		}
	}
	return false
}

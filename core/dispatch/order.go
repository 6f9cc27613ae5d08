package dispatch

import (
	"time"
)

// Orders returns the orders that are due. The caller must call OrderDone for each.
func (c *Core) Orders(now time.Time) []Order {
	var out []Order
	kept := c.queuedRuns[:0]
	for _, r := range c.queuedRuns {
		if !c.needsOrder(r) {
			r.queued = false
			continue
		}
		kept = append(kept, r)
		if r.inFlight || now.Before(r.nextAt) || r.ws.inFlight >= maxOrders || r.ws.rival != nil && r.mustStart() {
			continue
		}
		if o, ok := c.nextOrder(now, r); ok {
			r.inFlight = true
			r.ws.inFlight++
			if o.Kind == OrderStart {
				r.ws.startsInFlight++
			}
			out = append(out, o)
		}
	}
	clear(c.queuedRuns[len(kept):])
	c.queuedRuns = kept
	return out
}

// needsOrder reports whether a run has an order in flight or still to be sent.
func (c *Core) needsOrder(r *runState) bool {
	if r.inFlight {
		return true
	}
	if r.a.Ended() || r.ending || r.releasing || c.tables.Worker(r.ws.w.Handle) == nil {
		return false
	}
	if r.mustStop() {
		return r.stoppedAt.IsZero()
	}
	if r.mustStart() {
		return true
	}
	return c.targetPace(r) != r.pace
}

// mustStop reports whether the run must be stopped.
func (r *runState) mustStop() bool { return r.abandonReason != "" || !r.a.ShouldRun() }

// mustStart reports whether the run's start is still to be sent or answered.
func (r *runState) mustStart() bool {
	return !r.mustStop() && r.acceptedAt.IsZero() && !r.reported
}

// reasonNotToStart returns why a start that was committed must not be sent any more;
// empty if it may be. Starts wait for each other's answers, and meanwhile the worker may
// have stopped taking work.
func (c *Core) reasonNotToStart(now time.Time, r *runState) string {
	w := r.ws.w
	switch {
	case c.overCapacity(r.ws):
		return "the worker's capacity has shrunk"
	case c.aboveLimit(r):
		return reasonAboveLimit
	case r.isBesideTooMany() && (!r.a.Step.Gang || c.withdrawGang(r.a.Step, reasonBesideTooMany)):
		return reasonBesideTooMany
	case r.ws.leaves():
		return reasonLeaves
	case r.a.Step.Gang:
		return "" // the other members wait for this one
	case r.sends == 0 && !r.a.Step.Speculative && c.hasStray(now, r.a.Task()):
		return "another run of the task is still listed"
	case w.Left || w.Draining || c.tables.DomainOut(w.Domain):
		return "the worker takes no new work"
	case r.sends == 0 && !r.inherited && r.ws.suspect:
		return "the worker does not answer"
	}
	return ""
}

// overCapacity reports whether the runs on a worker exceed the capacity that it last
// reported. It may have shrunk while their starts were being committed or queued.
func (c *Core) overCapacity(ws *workerState) bool {
	free := ws.queuedReport.Capacity.Sub(ws.w.Used)
	if !free.HasNegative() {
		return false
	}
	for a, r := range ws.runs {
		if r.releasing || r.ending {
			free = free.Add(a.Step.ReservedResources())
		}
	}
	return free.HasNegative()
}

func (c *Core) nextOrder(now time.Time, r *runState) (Order, bool) {
	o := Order{Target: r.ws.target(), Task: r.a.Ref(), Run: r.a.Run, run: r}
	if r.mustStart() {
		r.abandonReason = c.reasonNotToStart(now, r)
	}
	switch {
	case r.mustStop():
		if r.sends == 0 && !r.inherited && !r.reported {
			c.release(r, releaseNeverSent)
			return o, false
		}
		o.Kind, o.Reason, o.Urgency = OrderStop, r.abandonReason, r.orderUrgency(UrgencyStop)
		c.Stats.Stops++
	case r.mustStart():
		deadline := r.ws.deadlineMS
		if !r.ws.suspect {
			r.sentInTouch = true
			deadline = r.ws.nextDeadline(now, c.limits.LeaseMax)
		}
		if deadline == 0 {
			return o, false
		}
		o.Kind, o.DeadlineMS, o.Urgency = OrderStart, deadline, r.orderUrgency(UrgencyStart)
		o.Payload, o.Checkpoint = r.a.Step.Occurrence.Job.Spec.Payload, r.a.Resumed
		r.sends++
		r.ws.tokenRaised = false
		r.sentAt, c.deadlineSentAt[r.ws.w.ID] = now, now
		if r.firstSentAt.IsZero() {
			r.firstSentAt = now
		}
	default:
		o.Kind, o.Percent, o.Urgency = OrderPace, c.targetPace(r), r.orderUrgency(UrgencyRuns)
		c.Stats.Paces++
	}
	return o, true
}

// orderUrgency returns the urgency of an order. One to a worker that does not answer must
// not delay those to others.
func (r *runState) orderUrgency(u Urgency) Urgency {
	if r.ws.suspect {
		return UrgencyNone
	}
	return u
}

// OrderDone handles the answer to an order, or its absence.
func (c *Core) OrderDone(now time.Time, o Order, reply OrderReply) {
	r := o.run
	r.inFlight = false
	r.ws.inFlight--
	if o.Kind == OrderStart {
		r.ws.startsInFlight--
	}
	r.ws.candidate.current = false
	if reply.Outcome == NotSent {
		r.nextAt = now.Add(orderRetryDelay)
		if o.Kind == OrderStart {
			r.sends--
			r.sentInTouch = r.sentInTouch && r.sends > 0
		}
		return
	}
	if r.ws.failedCalls == 0 && r.ws.nextHold.After(now) {
		r.ws.nextHold = now // the calls to a worker without runs are further apart
	}
	if reply.Outcome == NoAnswer || reply.Outcome == WrongIncarnation {
		r.metSuccessor = r.metSuccessor || o.Kind == OrderStart && reply.Outcome == WrongIncarnation && !r.startUnanswered
		c.orderUnanswered(now, o)
		return
	}
	if r.ws.isOtherClock(now, reply.ClockMS) {
		r.ws.otherAnsweredAt = now
		c.doubtIncarnation(now, r.ws)
		r.takenElsewhere = r.takenElsewhere || o.Kind == OrderStart && (reply.Outcome == Accepted || reply.Outcome == RefusedOld)
	} else {
		c.recordAnswer(now, r.ws, reply.ClockMS)
	}
	switch o.Kind {
	case OrderStart:
		c.startAnswered(now, r, reply.Outcome)
	case OrderStop:
		c.stopAnswered(now, r, reply.Outcome)
	case OrderPace:
		// The worker refuses a pace for a run that has ended; it will list the end.
		r.paceAccepted(o.Percent, reply.ClockMS)
	}
}

func (c *Core) orderUnanswered(now time.Time, o Order) {
	r := o.run
	c.Stats.Unanswered++
	c.callFailed(now, r.ws)
	r.nextAt = now.Add(orderRetryDelay)
	if o.Kind == OrderStart {
		r.startUnanswered = true
		c.noteLateStart(r.ws.w.ID, r.sentAt)
		r.giveUpAfterSends()
	}
}

// giveUpAfterSends abandons a run whose start was sent maxStartSends times.
func (r *runState) giveUpAfterSends() {
	if r.sends >= maxStartSends {
		r.abandonReason = "start was not answered"
	}
}

func (c *Core) startAnswered(now time.Time, r *runState, outcome Outcome) {
	switch outcome {
	case Accepted:
		r.acceptedAt = now
		c.startCalled(now, r)
		c.hasBegun(r.a)
	case RefusedOld:
		r.stoppedAt = now // it has ended or was stopped; the worker's lists will confirm it
		c.queuePoll(now, r.ws)
	case RefusedLate:
		r.forgetSends()
		r.nextAt = now.Add(orderRetryDelay) // the clock in the answer corrects the next deadline
	case RefusedFence:
		// A later leader or a later incarnation has used a higher token. The order is
		// sent again until this leader or this incarnation is replaced.
		r.forgetSends()
		r.nextAt = now.Add(orderRetryDelay)
	default:
		c.startRefused(now, r, outcome)
	}
}

// forgetSends records that a refused start was not carried out. Unless another one was left
// without an answer, it is as if none had been sent.
func (r *runState) forgetSends() {
	if r.startUnanswered {
		r.giveUpAfterSends()
		return
	}
	r.sends = 0
}

// startRefused handles a refusal by which the worker did not start the run.
func (c *Core) startRefused(now time.Time, r *runState, outcome Outcome) {
	backoff := unhealthyBackoff
	if outcome == RefusedCapacity {
		c.Stats.RoomRefusals++
		backoff = capacityBackoff
	}
	if until := now.Add(backoff); until.After(r.ws.noNewWorkUntil) {
		r.ws.noNewWorkUntil = until
	}
	if r.startUnanswered {
		r.abandonReason = "start refused, but an earlier unanswered start may still be carried out"
		return
	}
	c.release(r, "the worker refused the start: "+outcome.String())
}

func (c *Core) stopAnswered(now time.Time, r *runState, outcome Outcome) {
	if outcome != Accepted && outcome != RefusedOld {
		r.nextAt = now.Add(orderRetryDelay)
		return
	}
	r.stoppedAt = now
	if r.ws.runs[r.a] != r {
		r.ws.strayStopped(now, r)
	}
	c.queuePoll(now, r.ws)
}

func (c *Core) queuePoll(now time.Time, ws *workerState) {
	if !ws.pollQueued {
		c.polls = append(c.polls, ws)
	}
	ws.pollQueued, ws.pollAt = true, now.Add(pollDelay)
}

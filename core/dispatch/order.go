package dispatch

import (
	"time"
)

// Orders returns the orders that are due. Each must be followed by OrderDone.
func (c *Core) Orders(now time.Time) []Order {
	var out []Order
	kept := c.openRuns[:0]
	for _, r := range c.openRuns {
		if !c.needsOrder(r) {
			r.open = false
			continue
		}
		kept = append(kept, r)
		if r.inFlight || now.Before(r.nextAt) || r.ws.inFlight >= maxOrders {
			continue
		}
		if o, ok := c.order(now, r); ok {
			r.inFlight = true
			r.ws.inFlight++
			out = append(out, o)
		}
	}
	clear(c.openRuns[len(kept):])
	c.openRuns = kept
	return out
}

// needsOrder reports whether a run still has an order to be sent or answered.
func (c *Core) needsOrder(r *runState) bool {
	if r.inFlight {
		return true
	}
	if r.a.Ended() || r.ending || r.releasing || c.t.Worker(r.ws.w.Handle) == nil {
		return false
	}
	if r.toStop() {
		return r.stoppedAt.IsZero()
	}
	if r.answeredAt.IsZero() && !r.seen {
		return true
	}
	return c.wantPace(r) != r.pace
}

// toStop reports whether the run is to be stopped.
func (r *runState) toStop() bool { return r.giveUp != "" || !r.a.ShouldRun() }

func (c *Core) order(now time.Time, r *runState) (Order, bool) {
	o := Order{Target: r.ws.target(), Task: r.a.Ref(), Run: r.a.Run, run: r}
	switch {
	case r.toStop():
		if r.sends == 0 && !r.inherited && !r.seen {
			c.release(r) // its start was never sent
			return o, false
		}
		o.Kind, o.Reason = OrderStop, r.giveUp
		c.Stats.Stops++
	case r.answeredAt.IsZero() && !r.seen:
		deadline := r.ws.deadlineMS
		if !r.ws.suspect {
			deadline = r.ws.nextDeadline(now, c.limits.LeaseMax)
		}
		if deadline == 0 {
			return o, false
		}
		o.Kind, o.DeadlineMS = OrderStart, deadline
		o.Payload, o.Checkpoint = r.a.Step.Occurrence.Job.Spec.Payload, r.a.Resumed
		r.sends++
	default:
		o.Kind, o.Percent = OrderPace, c.wantPace(r)
		c.Stats.Paces++
	}
	return o, true
}

// OrderDone takes the answer to an order, or the lack of one.
func (c *Core) OrderDone(now time.Time, o Order, reply OrderReply) {
	r := o.run
	r.inFlight = false
	r.ws.inFlight--
	if reply.Outcome == NoAnswer || reply.Outcome == WrongLife {
		c.orderUnanswered(now, o)
		return
	}
	r.ws.answered(now, reply.ClockMS)
	switch o.Kind {
	case OrderStart:
		c.startAnswered(now, r, reply.Outcome)
	case OrderStop:
		c.stopAnswered(now, r, reply.Outcome)
	case OrderPace:
		// A run that is gone is refused; its end is listed soon.
		r.pace = o.Percent
	}
}

func (c *Core) orderUnanswered(now time.Time, o Order) {
	r := o.run
	c.Stats.Unanswered++
	r.ws.suspect = true
	r.nextAt = now.Add(orderRetry)
	if o.Kind == OrderStart {
		r.unanswered = true
		if r.sends >= startTries {
			r.giveUp = "its start is not answered"
		}
	}
}

func (c *Core) startAnswered(now time.Time, r *runState, outcome Outcome) {
	switch outcome {
	case Accepted:
		r.answeredAt = now
	case RefusedOld:
		r.stoppedAt = now // it has ended or was stopped there; the lists tell
		c.lookSoon(now, r.ws)
	case RefusedLate:
		r.nextAt = now.Add(orderRetry) // the answer has corrected the clock
	case RefusedFence:
		r.nextAt = now.Add(orderRetry) // another leader; this one is about to learn of it
	default:
		c.startRefused(now, r, outcome)
	}
}

// startRefused handles an answer that says that the worker did nothing.
func (c *Core) startRefused(now time.Time, r *runState, outcome Outcome) {
	pause := unhealthyPause
	if outcome == RefusedRoom {
		c.Stats.RoomRefusals++
		pause = roomPause
	}
	if until := now.Add(pause); until.After(r.ws.pausedUntil) {
		r.ws.pausedUntil = until
	}
	if r.unanswered {
		r.giveUp = "refused, and an earlier start may still be carried out"
		return
	}
	c.release(r)
}

func (c *Core) stopAnswered(now time.Time, r *runState, outcome Outcome) {
	if outcome != Accepted && outcome != RefusedOld {
		r.nextAt = now.Add(orderRetry)
		return
	}
	r.stoppedAt = now
	c.lookSoon(now, r.ws)
}

func (c *Core) lookSoon(now time.Time, ws *workerState) {
	if !ws.look {
		c.looks = append(c.looks, ws)
	}
	ws.look, ws.lookAt = true, now.Add(lookDelay)
}

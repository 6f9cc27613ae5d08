package route

import (
	"slices"
	"time"

	"gooseberrypond/core/structs"
)

// Commit reports that the attempt's answer is about to be passed on to the
// caller, and cancels the other attempts of the request. It returns false if
// another attempt was committed before or the request has ended; the answer must
// then be discarded.
func (r *Router) Commit(id AttemptID) ([]Decision, bool) {
	a, ok := r.attemptsByID[id]
	if !ok || a.req.ended || a.req.committed != 0 {
		return nil, false
	}
	a.req.committed = id
	return cancelDecisions(a.req, id), true
}

// Done reports the end of an attempt. The request then ends, waits for another
// attempt in flight, or is retried. Queued requests may start.
func (r *Router) Done(now time.Time, id AttemptID, outcome AttemptOutcome) []Decision {
	a, ok := r.attemptsByID[id]
	if !ok {
		return nil
	}
	q := a.req
	r.release(now, a, outcome)
	var out []Decision
	switch {
	case q.ended:
		r.endRequest(q)
	case outcome == AttemptOK, outcome == AttemptUnhealthy, q.committed == id:
		// The answer is complete, or was cut off after part of it was passed on.
		// Neither can be retried.
		out = cancelDecisions(q, id)
		r.endRequest(q)
	case len(q.inFlight) == 0:
		out = append(out, r.retryOrRefuse(now, q, a, outcome))
	}
	return append(out, r.startAllQueued(now)...)
}

// release frees the attempt's slot and updates the upstream's failure count and
// the entry's latency from the outcome.
func (r *Router) release(now time.Time, a *attempt, outcome AttemptOutcome) {
	q, u := a.req, a.up
	a.released = true
	delete(r.attemptsByID, a.attemptID)
	q.inFlight = slices.DeleteFunc(q.inFlight, func(x *attempt) bool { return x == a })
	u.inUse--
	q.entry.inFlight--
	if !u.present && u.inUse == 0 && r.upstreams[u.info.Name] == u {
		delete(r.upstreams, u.info.Name)
	}
	if outcome != AttemptNotSent {
		q.sent = true
	}
	elapsed := now.Sub(a.started)
	switch outcome {
	case AttemptOK:
		u.recordSuccess()
		q.entry.latency.add(elapsed)
	case AttemptUnhealthy, AttemptNotSent, AttemptFailed:
		r.recordFailure(now, u)
	case AttemptTimeout:
		// A timeout that the caller set shorter than the entry's is not a failure
		// of the upstream.
		if elapsed >= entryTimeout(q.entry.info) {
			r.recordFailure(now, u)
		}
	}
}

func entryTimeout(e structs.Entry) time.Duration {
	if e.RequestTimeoutMS > 0 {
		return time.Duration(e.RequestTimeoutMS) * time.Millisecond
	}
	return defaultTimeout
}

// retryOrRefuse retries the request if mayRetry allows it, by starting or queueing
// another attempt, and refuses it otherwise.
func (r *Router) retryOrRefuse(now time.Time, q *request, a *attempt, outcome AttemptOutcome) Decision {
	if !r.mayRetry(now, q, outcome) {
		return r.refuse(q, r.finalError(now, q, a, outcome))
	}
	r.stats.Retries++
	if d, ok := r.start(now, q, false); ok {
		return d
	}
	if err := r.queuedRequestError(now, q, r.usable(now, q.entry)); err != nil {
		return r.refuse(q, err)
	}
	r.enqueue(q, true)
	return Decision{Request: q.id, Action: ActionQueue, Deadline: q.deadline}
}

// mayRetry reports whether another attempt is allowed, and takes it from the
// retry budget. A request that is not idempotent is retried only if none of its
// attempts sent anything.
func (r *Router) mayRetry(now time.Time, q *request, outcome AttemptOutcome) bool {
	switch {
	case q.callerDisconnected, q.attempts >= maxAttempts:
		return false
	case outcome != AttemptNotSent && outcome != AttemptFailed:
		return false
	case q.sent && !q.idempotent:
		return false
	case now.Add(q.entry.latency.mean).After(q.deadline):
		return false
	}
	return q.entry.budget.take(now)
}

// finalError returns the error that ends the request after its last attempt.
func (r *Router) finalError(now time.Time, q *request, a *attempt, outcome AttemptOutcome) *structs.Error {
	var e *structs.Error
	switch {
	case outcome == AttemptTimeout || !now.Before(q.deadline):
		e = refusal(structs.CodeDeadline, q.outcome(), retryAfterShort, "no answer within %s", q.deadline.Sub(q.arrived))
	case outcome == AttemptNotSent:
		e = refusal(structs.CodeUpstreamFailed, q.outcome(), retryAfterShort, "the upstream cannot be reached")
	case outcome == AttemptCancelled:
		e = refusal(structs.CodeUpstreamFailed, q.outcome(), retryAfterShort, "the exchange was cancelled")
	default:
		e = refusal(structs.CodeUpstreamFailed, q.outcome(), retryAfterShort, "the exchange with the upstream failed")
	}
	e.Peer = a.up.info.Name
	return e
}

// Disconnect reports that the caller has disconnected. A queued request is refused.
// Attempts of an idempotent request are cancelled; those of other requests
// continue and keep their slots.
func (r *Router) Disconnect(now time.Time, id RequestID) []Decision {
	q, ok := r.requests[id]
	if !ok || q.ended {
		return nil
	}
	q.callerDisconnected = true
	if q.queued {
		r.dequeue(q.entry, slices.Index(q.entry.queue, q))
		return []Decision{r.refuse(q, refusal(structs.CodeDeadline, q.outcome(), retryAfterShort, "the caller has gone"))}
	}
	if !q.idempotent {
		return nil
	}
	return cancelDecisions(q, 0)
}

// cancelDecisions returns the decisions to cancel the request's attempts in flight,
// except one; 0 excepts none.
func cancelDecisions(q *request, except AttemptID) []Decision {
	var out []Decision
	for _, a := range q.inFlight {
		if a.attemptID != except {
			out = append(out, Decision{Request: q.id, Action: ActionCancel, AttemptID: a.attemptID, Upstream: a.up.info, Deadline: q.deadline})
		}
	}
	return out
}

// endRequest marks the request as ended and removes it once it has no attempts in
// flight. Until then it counts against the owner's concurrency.
func (r *Router) endRequest(q *request) {
	q.ended = true
	if len(q.inFlight) > 0 || r.requests[q.id] == nil {
		return
	}
	delete(r.requests, q.id)
	if q.started {
		q.owner.running--
	}
}

// Tick refuses queued requests that can no longer start in time, starts queued
// requests that can start, and starts hedges. The caller runs it periodically.
func (r *Router) Tick(now time.Time) []Decision {
	r.expireView(now)
	out := r.refuseQueued(now)
	out = append(out, r.startAllQueued(now)...)
	return append(out, r.startHedges(now)...)
}

// minHedgeDelay is the shortest delay before a hedge. Below it the second attempt
// costs more than the time it can save.
const minHedgeDelay = 5 * time.Millisecond

// startHedges starts a second attempt, at another upstream, of each hedgeable
// request whose first attempt has exceeded the entry's latency.tail. Hedges
// count against the retry budget. A request that cannot be hedged for lack of an
// upstream or budget is not considered again.
func (r *Router) startHedges(now time.Time) []Decision {
	var out []Decision
	keep := r.hedgeCandidates[:0]
	for _, a := range r.hedgeCandidates {
		q := a.req
		if a.released || q.ended || q.committed != 0 || q.callerDisconnected {
			continue
		}
		if q.entry.latency.tail == 0 || now.Sub(a.started) < max(q.entry.latency.tail, minHedgeDelay) {
			keep = append(keep, a)
			continue
		}
		if u := r.pick(now, q); u == nil || u == a.up || !q.entry.budget.take(now) {
			continue
		}
		if d, ok := r.start(now, q, true); ok {
			r.stats.Hedges++
			out = append(out, d)
		}
	}
	clear(r.hedgeCandidates[len(keep):])
	r.hedgeCandidates = keep
	return out
}

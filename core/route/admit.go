package route

import (
	"slices"
	"time"

	"gooseberrypond/core/structs"
)

const (
	// queueTimeDivisor divides a request's timeout: a request may stay in the
	// queue for half of it. It is then refused, so that the caller does not get
	// the refusal only shortly before the deadline.
	queueTimeDivisor = 2
	// maxRateWait is the longest time that a request may wait for a token of the
	// owner's request rate.
	maxRateWait = time.Second
	// expectedGrantWait is the expected time until a host without a share gets one,
	// given that such a host syncs without waiting for the interval. It takes
	// longer if other hosts must first return their shares; then the limit on
	// the time in the queue applies.
	expectedGrantWait = structs.EntrySyncInterval / 4
)

// Admit starts, queues or refuses a new request. A refusal carries OutcomeNotRun.
func (r *Router) Admit(now time.Time, req Request) Decision {
	q, err := r.newRequest(now, req)
	if err != nil {
		r.stats.Refused++
		return Decision{Action: ActionRefuse, Err: err}
	}
	q.owner.arrivals.add(now, 1)
	if len(q.entry.queue) == 0 {
		if d, ok := r.start(now, q, false); ok {
			r.recordAdmitted(now, q)
			return d
		}
	}
	if err := r.checkQueueable(now, q); err != nil {
		r.stats.Refused++
		return Decision{Action: ActionRefuse, Err: err}
	}
	r.recordAdmitted(now, q)
	r.enqueue(q, false)
	r.stats.Queued++
	return Decision{Request: q.id, Action: ActionQueue, Deadline: q.deadline}
}

// newRequest returns the state of a new request, or an error for causes that do
// not depend on the load.
func (r *Router) newRequest(now time.Time, req Request) (*request, *structs.Error) {
	switch {
	case r.stopping:
		return nil, refusal(structs.CodeShuttingDown, structs.OutcomeNotRun, retryAfterShort, "the entry host is shutting down")
	case !r.Fresh(now):
		return nil, refusal(structs.CodeStaleView, structs.OutcomeNotRun, retryAfterLong, "no contact with the leader for %s", structs.ViewMaxAge)
	}
	info, ok := r.view.catalogue.Entries[req.Entry]
	if !ok {
		return nil, refusal(structs.CodeNotFound, structs.OutcomeNotRun, retryAfterLong, "no entry %q in the catalogue", req.Entry)
	}
	timeout := req.Timeout
	if timeout <= 0 {
		timeout = time.Duration(info.RequestTimeoutMS) * time.Millisecond
	}
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	timeout = min(timeout, structs.RequestTimeoutMax)
	r.lastRequestID++
	return &request{
		id:         r.lastRequestID,
		owner:      r.owner(req.Owner),
		entry:      r.entryState(req.Entry),
		idempotent: req.Idempotent,
		arrived:    now,
		deadline:   now.Add(timeout),
	}, nil
}

// recordAdmitted records a request that was started or is about to be queued.
func (r *Router) recordAdmitted(now time.Time, q *request) {
	r.requests[q.id] = q
	q.entry.budget.countRequest(now)
	r.stats.Admitted++
}

// checkQueueable returns an error if the request cannot be queued, or would not
// start in time if it were.
func (r *Router) checkQueueable(now time.Time, q *request) *structs.Error {
	if r.usable(now, q.entry) == 0 {
		return r.noUpstreamError(q)
	}
	o := q.owner
	limits := r.view.catalogue.Owners[o.name]
	maxQueued := limits.MaxQueued
	if maxQueued == 0 {
		maxQueued = defaultMaxQueued
	}
	slotWait := r.slotWait(now, q.entry)
	if o.queued >= maxQueued {
		return refusal(structs.CodeQueueFull, q.outcome(), max(slotWait, retryAfterShort), "the queue of owner %q is full", o.name)
	}
	if limits.RequestRate > 0 && !q.started {
		if w := o.rate.wait(now, o.queued+1); w > min(maxRateWait, q.maxQueueTime()) {
			return refusal(structs.CodeRateLimited, q.outcome(), w, "owner %q is above its request rate", o.name)
		}
	}
	if slotWait > q.maxQueueTime() || now.Add(slotWait+q.entry.latency.mean).After(q.deadline) {
		return refusal(structs.CodeDeadline, q.outcome(), slotWait, "the deadline cannot be met: expected wait %s", slotWait.Round(time.Millisecond))
	}
	return nil
}

func (r *Router) noUpstreamError(q *request) *structs.Error {
	return refusal(structs.CodeNoUpstream, q.outcome(), retryAfterLong, "entry %q has no upstream", q.entry.name)
}

// slotWait estimates how long a request at the end of the entry's queue waits
// for a slot.
func (r *Router) slotWait(now time.Time, e *entryState) time.Duration {
	slots := 0
	for _, u := range e.upstreams {
		if u.eligible(now) {
			slots += u.limit()
		}
	}
	if slots == 0 {
		return expectedGrantWait
	}
	return e.latency.mean * time.Duration(len(e.queue)+1) / time.Duration(slots)
}

// outcome returns OutcomeUnknown if an attempt of the request may have reached
// an upstream.
func (q *request) outcome() structs.Outcome {
	if q.sent {
		return structs.OutcomeUnknown
	}
	return structs.OutcomeNotRun
}

// maxQueueTime returns how long the request may stay in the queue.
func (q *request) maxQueueTime() time.Duration {
	return q.deadline.Sub(q.arrived) / queueTimeDivisor
}

// enqueue adds the request to its entry's queue, at the front if first is set,
// which is used for retries.
func (r *Router) enqueue(q *request, first bool) {
	e := q.entry
	if len(e.queue) == 0 {
		r.queuedEntries = append(r.queuedEntries, e)
	}
	if first {
		e.queue = slices.Insert(e.queue, 0, q)
	} else {
		e.queue = append(e.queue, q)
	}
	q.queued = true
	q.owner.queued++
	r.queued++
	q.owner.updatePeak()
	e.updatePeak()
	if e.inFlight+len(e.queue) > e.reportedDemand {
		e.reportedDemand = e.inFlight + len(e.queue)
		r.wantsSync = true
	}
}

// dequeue removes the request at index i of its entry's queue.
func (r *Router) dequeue(e *entryState, i int) *request {
	q := e.queue[i]
	e.queue = slices.Delete(e.queue, i, i+1)
	q.queued = false
	q.owner.queued--
	r.queued--
	if len(e.queue) == 0 {
		r.queuedEntries = slices.DeleteFunc(r.queuedEntries, func(x *entryState) bool { return x == e })
	}
	return q
}

// startAllQueued starts queued requests, round-robin over the entries, until
// none can start.
func (r *Router) startAllQueued(now time.Time) []Decision {
	if r.queued == 0 || !r.Fresh(now) {
		return nil
	}
	var out []Decision
	for progress := true; progress; {
		progress = false
		list := slices.Clone(r.queuedEntries)
		for k := range list {
			e := list[(k+r.queueOffset)%len(list)]
			if d, ok := r.startFirstQueued(now, e); ok {
				out = append(out, d)
				progress = true
			}
		}
		r.queueOffset++
	}
	return out
}

// startFirstQueued starts the first request in the queue that can start. It skips
// the requests of an owner that has reached its limits.
func (r *Router) startFirstQueued(now time.Time, e *entryState) (Decision, bool) {
	var blocked *owner
	for i, q := range e.queue {
		if q.owner == blocked {
			continue
		}
		if d, ok := r.start(now, q, false); ok {
			r.dequeue(e, i)
			return d, true
		}
		if !r.withinLimits(now, q) {
			blocked = q.owner
		}
	}
	return Decision{}, false
}

// refuseQueued refuses queued requests that can no longer start in time.
func (r *Router) refuseQueued(now time.Time) []Decision {
	var out []Decision
	for _, e := range slices.Clone(r.queuedEntries) {
		usable := r.usable(now, e)
		for i := len(e.queue) - 1; i >= 0; i-- {
			if err := r.queuedRequestError(now, e.queue[i], usable); err != nil {
				q := r.dequeue(e, i)
				out = append(out, r.refuse(q, err))
			}
		}
	}
	return out
}

// queuedRequestError returns the error with which to refuse a queued request,
// or nil if it may go on waiting. usable is the number of usable upstreams of
// the entry.
func (r *Router) queuedRequestError(now time.Time, q *request, usable int) *structs.Error {
	switch {
	case !r.Fresh(now):
		return refusal(structs.CodeStaleView, q.outcome(), retryAfterLong, "no contact with the leader for %s", structs.ViewMaxAge)
	case usable == 0:
		return r.noUpstreamError(q)
	case now.Sub(q.arrived) > q.maxQueueTime(), now.Add(q.entry.latency.mean).After(q.deadline):
		wait := max(r.slotWait(now, q.entry), retryAfterShort)
		return refusal(structs.CodeDeadline, q.outcome(), wait, "the deadline cannot be met after %s in the queue", now.Sub(q.arrived).Round(time.Millisecond))
	}
	return nil
}

// refuse ends a request that has no attempt in flight.
func (r *Router) refuse(q *request, err *structs.Error) Decision {
	r.endRequest(q)
	r.stats.Refused++
	return Decision{Request: q.id, Action: ActionRefuse, Err: err, Deadline: q.deadline}
}

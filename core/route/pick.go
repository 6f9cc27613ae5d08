package route

import (
	"slices"
	"time"
)

// start starts an attempt of the request if the owner's limits and the granted
// slots allow it. It returns false if they do not.
func (r *Router) start(now time.Time, q *request, hedge bool) (Decision, bool) {
	if !r.Fresh(now) || !r.withinLimits(now, q) {
		return Decision{}, false
	}
	u := r.pick(now, q)
	if u == nil {
		return Decision{}, false
	}
	r.charge(q)
	r.lastAttemptID++
	a := &attempt{attemptID: r.lastAttemptID, req: q, up: u, started: now, hedge: hedge}
	r.attemptsByID[a.attemptID] = a
	q.inFlight = append(q.inFlight, a)
	q.tried = append(q.tried, u)
	q.attempts++
	u.inUse++
	q.entry.inFlight++
	q.entry.updatePeak()
	if q.entry.info.Hedge && q.idempotent && !hedge && q.attempts == 1 {
		r.hedgeCandidates = append(r.hedgeCandidates, a)
	}
	return Decision{
		Request: q.id, Action: ActionStart, AttemptID: a.attemptID, Upstream: u.info, MaxConnections: u.maxConnections,
		Deadline: q.deadline, SendBefore: r.view.validUntil,
	}, true
}

// withinLimits reports whether the owner's rate and concurrency allow an
// attempt. Only the first attempt of a request counts against them.
func (r *Router) withinLimits(now time.Time, q *request) bool {
	if q.started {
		return true
	}
	o := q.owner
	limits := r.view.catalogue.Owners[o.name]
	if limits.Concurrency > 0 && o.running >= o.concurrency {
		return false
	}
	return limits.RequestRate == 0 || o.rate.ready(now)
}

// charge counts the request against the owner's limits at its first attempt.
func (r *Router) charge(q *request) {
	if q.started {
		return
	}
	q.started = true
	o := q.owner
	o.running++
	o.updatePeak()
	if r.view.catalogue.Owners[o.name].RequestRate > 0 {
		o.rate.tokens--
	}
}

// pick returns an upstream with a free granted slot, the less loaded of two
// random candidates, or nil if there is none. An upstream that the request has
// already tried is a candidate only if no untried upstream is eligible.
func (r *Router) pick(now time.Time, q *request) *upstream {
	untried := false
	for _, u := range q.entry.upstreams {
		if u.eligible(now) && !slices.Contains(q.tried, u) {
			untried = true
			break
		}
	}
	r.candidates = r.candidates[:0]
	for _, u := range q.entry.upstreams {
		if u.eligible(now) && u.inUse < u.limit() && !(untried && slices.Contains(q.tried, u)) {
			r.candidates = append(r.candidates, u)
		}
	}
	switch n := len(r.candidates); n {
	case 0:
		return nil
	case 1:
		return r.candidates[0]
	default:
		i := r.rng.IntN(n)
		j := r.rng.IntN(n - 1)
		if j >= i {
			j++
		}
		return lessLoaded(r.candidates[i], r.candidates[j])
	}
}

// lessLoaded returns the upstream with the smaller fraction of its limit in
// use, and of two with the same fraction the one with fewer attempts in flight.
func lessLoaded(a, b *upstream) *upstream {
	la, lb := a.inUse*b.limit(), b.inUse*a.limit()
	if lb < la || lb == la && b.inUse < a.inUse {
		return b
	}
	return a
}

// limit returns how many attempts this host may have in flight at the upstream.
// If the upstream allows fewer connections than there are entry hosts, each host
// may still have one.
func (u *upstream) limit() int { return min(u.grant, max(u.maxConnections, 1)) }

// eligible reports whether new requests may be sent to the upstream.
func (u *upstream) eligible(now time.Time) bool {
	return u.present && !u.leaving && !u.isEjected(now)
}

func (u *upstream) isEjected(now time.Time) bool {
	return !u.ejected.IsZero() && now.Before(u.ejected)
}

// usable returns the number of eligible upstreams of the entry.
func (r *Router) usable(now time.Time, e *entryState) int {
	n := 0
	for _, u := range e.upstreams {
		if u.eligible(now) {
			n++
		}
	}
	return n
}

func (e *entryState) updatePeak() { e.peak = max(e.peak, e.inFlight+len(e.queue)) }

// Parameters of outlier ejection.
const (
	// ejectAfter is the number of consecutive failures after which an upstream
	// is ejected.
	ejectAfter = 5
	// ejectBase is the duration of the first ejection. It doubles with each
	// further one.
	ejectBase = time.Second
	// ejectDoublings limits the doubling, to an ejection of 64 s.
	ejectDoublings = 6
	// ejectDivisor limits ejection to 1/ejectDivisor of an entry's upstreams.
	// If more of them fail, the cause is probably common to all.
	ejectDivisor = 2
)

// recordSuccess records a complete answer of the upstream.
func (u *upstream) recordSuccess() {
	u.failures = 0
	u.ejections = max(u.ejections-1, 0)
}

// recordFailure records a failure, and ejects the upstream after ejectAfter
// consecutive failures unless too many others are ejected.
func (r *Router) recordFailure(now time.Time, u *upstream) {
	u.failures++
	if u.failures < ejectAfter || u.isEjected(now) || !u.present {
		return
	}
	total, ejected := 0, 0
	for _, x := range u.entry.upstreams {
		if x.leaving {
			continue
		}
		total++
		if x.isEjected(now) {
			ejected++
		}
	}
	if (ejected+1)*ejectDivisor > total {
		return
	}
	u.ejected = now.Add(ejectBase << min(u.ejections, ejectDoublings))
	u.ejections++
	// After the ejection a single failure ejects the upstream again.
	u.failures = ejectAfter - 1
	r.stats.Ejections++
}

// limitEjections ends ejections, the earliest to expire first, while more than
// 1/ejectDivisor of an entry's upstreams are ejected. This happens when upstreams
// that were not ejected leave.
func (r *Router) limitEjections(now time.Time) {
	for _, e := range r.entries {
		total := 0
		var ejected []*upstream
		for _, u := range e.upstreams {
			if u.leaving {
				continue
			}
			total++
			if u.isEjected(now) {
				ejected = append(ejected, u)
			}
		}
		slices.SortFunc(ejected, func(a, b *upstream) int { return a.ejected.Compare(b.ejected) })
		for len(ejected)*ejectDivisor > total {
			ejected[0].ejected = time.Time{}
			ejected = ejected[1:]
		}
	}
}

package route

import (
	"time"

	"gooseberrypond/core/structs"
)

// PrepareSync returns the next report to the leader, complete or as changes to
// the last one if the answer to that is in force. Until its answer comes
// the shares in force stay; answers to earlier reports no longer count.
func (r *Router) PrepareSync(now time.Time) *structs.EntrySync {
	r.expireView(now)
	if r.seq == 0 {
		r.startedAt = now
	}
	// After an unanswered sync the next leader may be a new one.
	r.told = r.applied != r.seq
	r.seq++
	r.wantsSync = false
	req := &structs.EntrySync{
		Host:        r.host,
		Incarnation: r.incarnation,
		Seq:         r.seq,
		AppliedSeq:  r.applied,
		AppliedTerm: r.view.term,
		Young:       now.Sub(r.startedAt) < structs.GrantReclaim,
		Stopping:    r.stopping,
	}
	req.CatalogueVersion, req.DomainsVersion = r.Versions()
	if r.stopping && len(r.requests) == 0 {
		r.releaseShares(now)
	}
	if r.told {
		req.Upstreams = r.knownUpstreams()
	}
	r.reportUpstreams(now, req)
	r.reportOwners(now, req)
	r.delta.Reduce(req, !r.told)
	return req
}

// Released reports whether the host holds no share and has nothing in flight.
func (r *Router) Released() bool {
	if len(r.requests) > 0 {
		return false
	}
	for _, u := range r.upstreams {
		if u.grant > 0 || u.inUse > 0 {
			return false
		}
	}
	for _, o := range r.owners {
		if o.concurrency > 0 || o.rate.share > 0 {
			return false
		}
	}
	return true
}

// releaseShares gives back all shares; nothing is in flight.
func (r *Router) releaseShares(now time.Time) {
	for _, u := range r.upstreams {
		u.grant = 0
	}
	for _, o := range r.owners {
		o.concurrency = 0
		o.rate.set(now, 0)
	}
}

// hold adds a holding unless there is nothing to say.
func hold(req *structs.EntrySync, kind structs.GrantKind, name string, held, demand int) {
	if held > 0 || demand > 0 {
		key := structs.GrantKey{Kind: kind, Name: name}
		req.Holdings = append(req.Holdings, structs.Holding{Key: key, Held: held, Demand: demand})
	}
}

// reportUpstreams spreads each entry's demand over its upstreams.
func (r *Router) reportUpstreams(now time.Time, req *structs.EntrySync) {
	for _, e := range r.entries {
		e.asked = r.demand(e.peak, e.inFlight+len(e.queue))
		r.spread(now, e, e.asked)
		e.peak = e.inFlight + len(e.queue)
	}
	for name, u := range r.upstreams {
		demand := u.inUse
		if u.eligible(now) {
			demand = max(demand, min(u.wanted, max(u.connCap, 1)))
		}
		hold(req, structs.GrantUpstream, name, max(u.grant, u.inUse), demand)
	}
}

// demand is what the host could use: half more than the peak since the last
// sync, so that a growing load finds granted slots.
func (r *Router) demand(peak, current int) int {
	switch {
	case r.stopping:
		return current
	case peak == 0:
		return 0
	}
	return peak + peak/2 + 1
}

// spread divides an entry's demand over its upstreams: what is in use, and the
// rest evenly. The remainder goes to the first by this host's order, so that
// lightly loaded hosts hold slots of different upstreams and leave the others free.
func (r *Router) spread(now time.Time, e *entryState, demand int) {
	n := 0
	for _, u := range e.upstreams {
		if u.eligible(now) {
			n++
			demand -= u.inUse
		}
	}
	if n == 0 {
		return
	}
	demand = max(demand, 0)
	rest := demand % n
	for _, u := range e.upstreams {
		if !u.eligible(now) {
			continue
		}
		u.wanted = u.inUse + demand/n
		if rest > 0 {
			u.wanted++
			rest--
		}
	}
}

// reportOwners reports shares of owners that the catalogue limits.
func (r *Router) reportOwners(now time.Time, req *structs.EntrySync) {
	for name, o := range r.owners {
		var limits structs.Owner
		if r.view.catalogue != nil {
			limits = r.view.catalogue.Owners[name]
		}
		wanted := 0
		if limits.Concurrency > 0 {
			wanted = r.demand(o.peak, o.running+o.queued)
		}
		held := max(o.concurrency, o.running)
		if limits.Concurrency > 0 || o.concurrency > 0 {
			hold(req, structs.GrantConcurrency, name, held, wanted)
		}
		o.arrivals.add(now, 0)
		rate := 0
		if limits.RequestRate > 0 && o.arrivals.value >= idleRate {
			rate = r.demand(int(o.arrivals.value)+1, o.queued)
		}
		hold(req, structs.GrantRate, name, o.rate.share, rate)
		o.peak = o.running + o.queued
	}
}

// idleRate is the arrival rate per second below which no rate is asked for.
const idleRate = 0.05

package route

import (
	"time"

	"gooseberrypond/core/structs"
)

// PrepareSync returns the next report to the leader. It is a delta if the reply
// to the previous report was applied, and complete otherwise. The current shares
// stay valid until the reply to this report is applied; replies to earlier reports
// are ignored from now on.
func (r *Router) PrepareSync(now time.Time) *structs.EntrySync {
	r.expireView(now)
	if r.seq == 0 {
		r.startedAt = now
	}
	// If the last sync got no reply, this one may reach a new leader, which
	// needs a complete report.
	r.completeReport = r.appliedSeq != r.seq
	r.seq++
	r.wantsSync = false
	req := &structs.EntrySync{
		Host:        r.host,
		Incarnation: r.incarnation,
		Seq:         r.seq,
		AppliedSeq:  r.appliedSeq,
		AppliedTerm: r.view.term,
		Young:       now.Sub(r.startedAt) < structs.GrantReclaim,
		Stopping:    r.stopping,
	}
	req.CatalogueVersion, req.DomainsVersion = r.Versions()
	if r.stopping && len(r.requests) == 0 {
		r.releaseShares(now)
	}
	if r.completeReport {
		req.Upstreams = r.knownUpstreams()
	}
	r.reportUpstreams(now, req)
	r.reportOwners(now, req)
	r.delta.Reduce(req, !r.completeReport)
	return req
}

// Released reports whether the host holds no shares and has no requests left.
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

// releaseShares drops all shares. The caller makes sure that nothing is in flight.
func (r *Router) releaseShares(now time.Time) {
	for _, u := range r.upstreams {
		u.grant = 0
	}
	for _, o := range r.owners {
		o.concurrency = 0
		o.rate.set(now, 0)
	}
}

// addHolding adds a holding to the report unless held and demand are both 0.
func addHolding(req *structs.EntrySync, kind structs.GrantKind, name string, held, demand int) {
	if held > 0 || demand > 0 {
		key := structs.GrantKey{Kind: kind, Name: name}
		req.Holdings = append(req.Holdings, structs.Holding{Key: key, Held: held, Demand: demand})
	}
}

// reportUpstreams adds the held and requested slots of each upstream to the
// report, and resets the peaks of the entries.
func (r *Router) reportUpstreams(now time.Time, req *structs.EntrySync) {
	for _, e := range r.entries {
		e.reportedDemand = r.demand(e.peak, e.inFlight+len(e.queue))
		r.spreadDemand(now, e, e.reportedDemand)
		e.peak = e.inFlight + len(e.queue)
	}
	for name, u := range r.upstreams {
		demand := u.inUse
		if u.eligible(now) {
			demand = max(demand, min(u.targetSlots, max(u.maxConnections, 1)))
		}
		addHolding(req, structs.GrantUpstream, name, max(u.grant, u.inUse), demand)
	}
}

// demand returns the amount to request from the leader: half more than the peak
// since the last sync, so that slots are already granted when the load grows. A
// stopping host requests only what it uses.
func (r *Router) demand(peak, current int) int {
	switch {
	case r.stopping:
		return current
	case peak == 0:
		return 0
	}
	return peak + peak/2 + 1
}

// spreadDemand divides an entry's demand over its eligible upstreams: each gets the
// slots in use there plus an equal part of the rest. The remainder goes to the
// first upstreams in this host's order of preference, so that lightly loaded
// hosts hold slots of different upstreams and leave the others free.
func (r *Router) spreadDemand(now time.Time, e *entryState, demand int) {
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
	remainder := demand % n
	for _, u := range e.upstreams {
		if !u.eligible(now) {
			continue
		}
		u.targetSlots = u.inUse + demand/n
		if remainder > 0 {
			u.targetSlots++
			remainder--
		}
	}
}

// reportOwners adds the held and requested concurrency and rate shares of the
// owners that the catalogue limits.
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
			addHolding(req, structs.GrantConcurrency, name, held, wanted)
		}
		o.arrivals.add(now, 0)
		rate := 0
		if limits.RequestRate > 0 && o.arrivals.value >= minReportedRate {
			rate = r.demand(int(o.arrivals.value)+1, o.queued)
		}
		addHolding(req, structs.GrantRate, name, o.rate.share, rate)
		o.peak = o.running + o.queued
	}
}

// minReportedRate is the arrival rate, in requests per second, below which no rate
// share is requested.
const minReportedRate = 0.05

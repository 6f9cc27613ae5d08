package sched

import (
	"time"

	"gooseberrypond/core/structs"
)

const (
	// serviceDrainTimeout is how long a latency-critical or service task keeps
	// running in a domain that is out of service while it waits for capacity
	// elsewhere. It is evicted after that.
	serviceDrainTimeout = 30 * time.Second
	// batchDrainTimeout is the same for batch work. Until then, tasks that cannot
	// be placed elsewhere keep running, and tasks that will end in time finish.
	batchDrainTimeout = 45 * time.Second
	// drainInterval is the interval between drain scans of domains out of service.
	drainInterval = 100 * time.Millisecond
	// movingDivisor limits the tasks of an entry that move at once to one in movingDivisor.
	movingDivisor = 8
	// maxDrainEvictions is the number of evictions in a plan at which the drain
	// scan stops, to limit the time that a plan takes.
	maxDrainEvictions = 500
)

// recordDomains records, by the leader's clock, when domains left service and
// when they returned.
func (p *planner) recordDomains(out []string) {
	now := map[string]bool{}
	for _, d := range out {
		now[d] = true
		if _, ok := p.outSince[d]; !ok {
			p.outSince[d] = p.now.Add(-p.sinceChange(d))
		}
	}
	for d := range p.outSince {
		if !now[d] {
			delete(p.outSince, d)
		}
	}
	p.recordReturned(now)
}

// recordReturned finds the domains that returned to service recently. It uses the
// time of the change in the tables, so it also finds domains that returned
// before this leader was elected or between two plans.
func (p *planner) recordReturned(out map[string]bool) {
	clear(p.returned)
	for _, w := range p.t.Workers() {
		if out[w.Domain] || p.t.Domain(w.Domain).ChangedMS == 0 {
			continue
		}
		if ago := p.sinceChange(w.Domain); ago < structs.DomainReturnPacing {
			p.returned[w.Domain] = p.now.Add(-ago)
		}
	}
}

// sinceChange returns the time since the domain's last change; never negative.
func (p *planner) sinceChange(domain string) time.Duration {
	return max(0, time.Duration(p.nowMS-p.t.Domain(domain).ChangedMS)*time.Millisecond)
}

// paced reports whether pacing delays the next start on the node, because its
// domain has recently returned to service.
func (p *planner) paced(n *node) bool {
	back, ok := p.returned[n.worker.Domain]
	if !ok {
		return false
	}
	if p.now.Sub(back) >= structs.DomainReturnPacing {
		delete(p.returned, n.worker.Domain)
		return false
	}
	oldest := n.starts[n.nextStart]
	return !oldest.IsZero() && p.now.Sub(oldest) < time.Second
}

// recordStart records a start for pacing.
func (n *node) recordStart(now time.Time) {
	n.starts[n.nextStart] = now
	n.nextStart = (n.nextStart + 1) % structs.DomainReturnStartsPerSecond
}

// drainServices moves latency-critical and service tasks out of domains that
// are out of service.
func (p *planner) drainServices() {
	p.forEachDraining(func(task *structs.Task, it *item, waited time.Duration) {
		if tierOf(it.info) == tierBatch && it.job.Spec.Kind != structs.KindService {
			return
		}
		r, reserved := p.reservations[task.ID]
		switch {
		case reserved && it.need.Fits(r.node.free().Add(r.need)):
			p.evict(task, "failure domain out of service; place reserved on "+string(r.node.worker.ID))
		case waited >= serviceDrainTimeout:
			p.evict(task, "failure domain out of service; no place elsewhere in time")
		case !reserved && int(p.reserved(it.info.id)) >= max(1, p.spread.count(it.info.id)/movingDivisor):
		default:
			p.startMove(task, it)
		}
	})
}

// startMove evicts the task if it can be placed elsewhere. Otherwise it makes
// a deferred reservation for the task, which keeps running until the capacity is
// free.
func (p *planner) startMove(task *structs.Task, it *item) {
	if n := p.best(it, p.feasible(it)); n != nil {
		p.reserveOn(it, n)
		p.evict(task, "failure domain out of service; place reserved on "+string(n.worker.ID))
		return
	}
	p.reserveDeferred(it)
}

// drainBatch evicts batch tasks that can be placed elsewhere or that have waited
// for batchDrainTimeout. Tasks expected to end within that time are left running.
func (p *planner) drainBatch() {
	p.forEachDraining(func(task *structs.Task, it *item, waited time.Duration) {
		if tierOf(it.info) != tierBatch || it.job.Spec.Kind == structs.KindService {
			return
		}
		left := p.remainingMS(task, it.info)
		if waited < batchDrainTimeout && left > 0 && left < (batchDrainTimeout-waited).Milliseconds() {
			return
		}
		if n := p.best(it, p.feasible(it)); n != nil {
			p.reserveOn(it, n)
			p.evict(task, "failure domain out of service; place reserved on "+string(n.worker.ID))
		} else if waited >= batchDrainTimeout {
			p.evict(task, "failure domain out of service; no place elsewhere in time")
		}
	})
}

// forEachDraining calls visit for the evictable tasks in domains out of service.
// waited is the time since the domain left service.
func (p *planner) forEachDraining(visit func(task *structs.Task, it *item, waited time.Duration)) {
	for _, n := range p.order {
		if !p.out[n.worker.Domain] || !n.worker.Live {
			continue
		}
		waited := p.now.Sub(p.outSince[n.worker.Domain])
		for _, task := range p.t.AttemptsOn(n.worker.ID) {
			if len(p.plan.Evict) >= maxDrainEvictions {
				return
			}
			if !p.mayEvict(task) {
				continue
			}
			if it, ok := p.item(task); ok {
				visit(task, &it, waited)
			}
		}
	}
}

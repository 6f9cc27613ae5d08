package sched

import (
	"time"

	"gooseberrypond/core/structs"
)

const (
	// serviceDrainLimit is how long a latency-critical or service task keeps
	// running in a domain that is out of service while it waits for capacity
	// elsewhere. It is evicted after that.
	serviceDrainLimit = 30 * time.Second
	// batchDrainLimit is the same for batch work. Until then, tasks that cannot
	// be placed elsewhere keep running, and tasks that will end in time finish.
	batchDrainLimit = 45 * time.Second
	// drainInterval is the interval between drain scans of domains out of service.
	drainInterval = 100 * time.Millisecond
	// movingPart limits the tasks of an entry that move at once to one in movingPart.
	movingPart = 8
	// drainPerPlan is the number of evictions in a plan at which the drain scan
	// stops, to limit the time that a plan takes.
	drainPerPlan = 500
)

// noteDomains records, by the leader's clock, when domains left service and
// when they returned.
func (p *planner) noteDomains(out []string) {
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
	p.noteReturned(now)
}

// noteReturned finds the domains that returned to service recently. It uses the
// time of the change in the tables, so it also finds domains that returned
// before this leader was elected or between two plans.
func (p *planner) noteReturned(out map[string]bool) {
	clear(p.returned)
	for _, w := range p.t.Workers() {
		if out[w.Domain] || p.t.Domain(w.Domain).ChangedMS == 0 {
			continue
		}
		if ago := p.sinceChange(w.Domain); ago < structs.ReturnPacing {
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
	if p.now.Sub(back) >= structs.ReturnPacing {
		delete(p.returned, n.worker.Domain)
		return false
	}
	oldest := n.starts[n.nextStart]
	return !oldest.IsZero() && p.now.Sub(oldest) < time.Second
}

// noteStart records a start for pacing.
func (n *node) noteStart(now time.Time) {
	n.starts[n.nextStart] = now
	n.nextStart = (n.nextStart + 1) % structs.ReturnStartsPerSecond
}

// drainServices moves latency-critical and service tasks out of domains that
// are out of service.
func (p *planner) drainServices() {
	p.eachDraining(func(task *structs.Task, it *item, waited time.Duration) {
		if tierOf(it.info) == tierBatch && it.job.Spec.Kind != structs.KindService {
			return
		}
		h, held := p.holds[task.ID]
		switch {
		case held && it.need.Fits(h.node.free().Add(h.need)):
			p.evict(task, "failure domain out of service; place reserved on "+string(h.node.worker.ID))
		case waited >= serviceDrainLimit:
			p.evict(task, "failure domain out of service; no place elsewhere in time")
		case !held && int(p.held(it.info.id)) >= max(1, p.spread.count(it.info.id)/movingPart):
		default:
			p.startMove(task, it)
		}
	})
}

// startMove evicts the task if it can be placed elsewhere. Otherwise it reserves
// future capacity for the task, which keeps running until that is free.
func (p *planner) startMove(task *structs.Task, it *item) {
	if n := p.best(it, p.feasible(it)); n != nil {
		p.reserveRoom(it, n)
		p.evict(task, "failure domain out of service; place reserved on "+string(n.worker.ID))
		return
	}
	p.saveRoom(it)
}

// drainBatch evicts batch tasks that can be placed elsewhere or that have waited
// for batchDrainLimit. Tasks expected to end within that time are left running.
func (p *planner) drainBatch() {
	p.eachDraining(func(task *structs.Task, it *item, waited time.Duration) {
		if tierOf(it.info) != tierBatch || it.job.Spec.Kind == structs.KindService {
			return
		}
		left := p.remainingMS(task, it.info)
		if waited < batchDrainLimit && left > 0 && left < (batchDrainLimit-waited).Milliseconds() {
			return
		}
		if n := p.best(it, p.feasible(it)); n != nil {
			p.reserveRoom(it, n)
			p.evict(task, "failure domain out of service; place reserved on "+string(n.worker.ID))
		} else if waited >= batchDrainLimit {
			p.evict(task, "failure domain out of service; no place elsewhere in time")
		}
	})
}

// eachDraining calls visit for the evictable tasks in domains out of service.
// waited is the time since the domain left service.
func (p *planner) eachDraining(visit func(task *structs.Task, it *item, waited time.Duration)) {
	for _, n := range p.order {
		if !p.out[n.worker.Domain] || !n.worker.Live {
			continue
		}
		waited := p.now.Sub(p.outSince[n.worker.Domain])
		for _, task := range p.t.AttemptsOn(n.worker.ID) {
			if len(p.plan.Evict) >= drainPerPlan {
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

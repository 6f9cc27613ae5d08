package sched

import (
	"time"

	"gooseberrypond/core/structs"
)

const (
	// serviceDrainLimit is how long a service waits on a domain that is out of
	// service for a place elsewhere before it is stopped anyway.
	serviceDrainLimit = 30 * time.Second
	// batchDrainLimit is the same for batch work; until then tasks without a
	// place elsewhere go on, and those that are nearly done finish.
	batchDrainLimit = 45 * time.Second
	// drainInterval is the time between two looks at the domains that are out.
	drainInterval = 100 * time.Millisecond
	// movingPart bounds the tasks of a service that move at once: one in movingPart.
	movingPart = 8
	// drainPerPlan bounds the evictions of one plan, and with them its time.
	drainPerPlan = 500
)

// noteDomains records since when domains are out or back, by the leader's clock.
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

// noteReturned finds the domains that returned a short time ago, also before
// this leader began or between two plans.
func (p *planner) noteReturned(out map[string]bool) {
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

// sinceChange is the age of the domain's last change; never negative.
func (p *planner) sinceChange(domain string) time.Duration {
	return max(0, time.Duration(p.nowMS-p.t.Domain(domain).ChangedMS)*time.Millisecond)
}

// paced reports whether a worker of a domain that returned must wait with the next start.
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

// noteStart counts a start for pacing.
func (n *node) noteStart(now time.Time) {
	n.starts[n.nextStart] = now
	n.nextStart = (n.nextStart + 1) % structs.DomainReturnStartsPerSecond
}

// drainServices moves latency-critical tasks out of domains that are out of service.
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

// startMove evicts the task if there is a place for it elsewhere; otherwise it
// has room saved up, and the task goes on until that is there.
func (p *planner) startMove(task *structs.Task, it *item) {
	if n := p.best(it, p.feasible(it)); n != nil {
		p.reserveRoom(it, n)
		p.evict(task, "failure domain out of service; place reserved on "+string(n.worker.ID))
		return
	}
	p.saveRoom(it)
}

// drainBatch moves batch work that has a place elsewhere or has waited long enough.
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

// eachDraining visits the evictable tasks on workers of domains that are out.
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

package sched

import (
	"container/heap"
	"fmt"

	"gooseberrypond/core/structs"
)

// placeTier places the tasks of one tier. Each placement goes to the owner with
// the lowest share.
func (p *planner) placeTier(q *queue) {
	for q.Len() > 0 && len(p.plan.Assign) < p.opts.MaxDecisions {
		oq := (*q)[0]
		eq, it, ok := p.next(oq)
		if !ok {
			heap.Pop(q)
			continue
		}
		if p.place(&it) {
			oq.share = p.share(oq.owner)
			heap.Fix(q, 0)
		} else if _, reserved := p.reservations[it.task.ID]; !reserved {
			// A task with a reservation is not counted as a failure, so that
			// preemption can continue for the tasks queued behind it.
			eq.failures++
			if !it.info.Urgent && p.knownInfeasible(it.need) {
				eq.failures = maxFailuresPerEntry
			}
		}
	}
}

// place assigns the item to the best feasible worker, if there is one.
// Otherwise it may preempt batch tasks or make a deferred reservation for the item.
func (p *planner) place(it *item) bool {
	if !p.withinQuota(it.info.owner, it.need) {
		return false
	}
	if placed, done := p.placeReserved(it); done {
		return placed
	}
	found := p.feasible(it)
	n := p.best(it, found)
	if n == nil {
		if p.mayPreempt(it) {
			p.preempt(it)
		}
		if !it.info.Urgent {
			p.reserveDeferred(it)
		}
		return false
	}
	p.releaseReservation(it.task.ID)
	p.assign(it, n, fmt.Sprintf("best of %d workers with room%s", len(found), p.correctionNote(it.info)))
	return true
}

// assign adds the assignment to the plan and updates all counts.
func (p *planner) assign(it *item, n *node, reason string) {
	p.plan.Assign = append(p.plan.Assign, structs.Assignment{
		Task:        it.task.ID,
		Worker:      n.worker.ID,
		Incarnation: n.worker.Incarnation,
		Reserved:    it.need,
		Reason:      reason,
	})
	n.used = n.used.Add(it.need)
	n.addEntry(it.info.id, 1)
	n.recordStart(p.now)
	p.recordProbe(n, it.task.ID)
	if it.info.Urgent {
		p.urgentReserve.recordUrgent(it.need)
	}
	p.spread.add(it.info.id, n, 1)
	p.usage[it.info.owner] = p.ownerUsage(it.info.owner).Add(it.need)
	p.reindex(n)
	p.markDirty(n)
}

package sched

import "gooseberrypond/core/structs"

// blockReason returns why the worker may not take new tasks; empty if it may.
func (p *planner) blockReason(n *node) string {
	switch {
	case !n.worker.Live:
		return "not live"
	case p.out[n.worker.Domain]:
		return "failure domain out of service"
	case !p.live.Live(n.worker.ID):
		return "not answering"
	case p.quarantined(n):
		return "set aside after repeated failures"
	}
	return ""
}

// feasible returns a sample of the workers on which the item can be placed.
func (p *planner) feasible(it *item) []*node {
	if p.knownInfeasible(it.need) {
		return nil
	}
	index := &p.allIndex
	if it.need.Accelerators > 0 {
		index = &p.accelIndex
	}
	found := index.sample(p.candidates[:0], it.need, p.opts.Candidates, p.rng)
	p.candidates = found
	if len(found) == 0 {
		p.markInfeasible(it.need)
		return nil
	}
	return p.filter(it, found)
}

// knownInfeasible reports whether need is known to fit the free capacity of no
// worker. The result is valid until capacity is freed.
func (p *planner) knownInfeasible(need structs.Resources) bool {
	gen, ok := p.infeasible[need]
	return ok && gen == p.capacityGeneration
}

// markInfeasible records that need fits the free capacity of no worker. The record
// is valid until capacity is freed.
func (p *planner) markInfeasible(need structs.Resources) {
	if len(p.infeasible) > maxInfeasible {
		clear(p.infeasible)
	}
	p.infeasible[need] = p.capacityGeneration
}

// maxInfeasible limits the number of recorded infeasible shapes.
const maxInfeasible = 4096

// filter drops the candidates that may not take the task now for reasons other
// than capacity. The worker on which the task last failed is used only if no
// other candidate is left.
func (p *planner) filter(it *item, found []*node) []*node {
	kept := found[:0]
	var avoided *node
	last, failed := p.failedOn[it.task.ID]
	batch := tierOf(it.info) == tierBatch
	for _, n := range found {
		switch {
		case !p.live.Live(n.worker.ID), p.paced(n), p.quarantined(n):
		case batch && !p.keepsUrgentReserve(n, it.need):
		case failed && n.worker.ID == last:
			avoided = n
		default:
			kept = append(kept, n)
		}
	}
	if len(kept) == 0 && avoided != nil {
		kept = append(kept, avoided)
	}
	return kept
}

package sched

import "gooseberrypond/core/structs"

// blockReason says why the worker may take no new task; empty means it may.
func (p *planner) blockReason(n *node) string {
	switch {
	case !n.worker.Live:
		return "not live"
	case p.out[n.worker.Domain]:
		return "failure domain out of service"
	case !p.live.Live(n.worker.ID):
		return "not answering"
	case p.setAside(n):
		return "set aside after repeated failures"
	}
	return ""
}

// feasible returns a sample of the workers with room for the item.
func (p *planner) feasible(it *item) []*node {
	if p.noRoom(it.need) {
		return nil
	}
	index := &p.all
	if it.need.Accelerators > 0 {
		index = &p.accel
	}
	found := index.sample(p.candidates[:0], it.need, p.opts.Candidates, p.rng)
	p.candidates = found
	if len(found) == 0 {
		p.markInfeasible(it.need)
		return nil
	}
	return p.filter(it, found)
}

// noRoom reports whether no worker had room for need since capacity was last freed.
func (p *planner) noRoom(need structs.Resources) bool {
	gen, ok := p.infeasible[need]
	return ok && gen == p.freed
}

// markInfeasible remembers that no worker has room for need until some
// capacity is freed.
func (p *planner) markInfeasible(need structs.Resources) {
	if len(p.infeasible) > maxInfeasible {
		clear(p.infeasible)
	}
	p.infeasible[need] = p.freed
}

// maxInfeasible bounds the remembered shapes.
const maxInfeasible = 4096

// filter drops candidates that may not take the task now for reasons other
// than room. The worker on which the task last failed is kept when it is the only one.
func (p *planner) filter(it *item, found []*node) []*node {
	kept := found[:0]
	var avoided *node
	last, failed := p.failedOn[it.task.ID]
	batch := tierOf(it.info) == tierBatch
	for _, n := range found {
		switch {
		case !p.live.Live(n.worker.ID), p.paced(n), p.setAside(n):
		case batch && !p.keepsHeadroom(n, it.need):
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

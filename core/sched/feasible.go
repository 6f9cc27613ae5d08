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
	}
	return ""
}

// feasible returns a sample of the workers with room for the item.
func (p *planner) feasible(it *item) []*node {
	if gen, ok := p.infeasible[it.need]; ok && gen == p.freed {
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
	return p.filter(found)
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

// filter drops candidates that may not take the task for reasons other than room.
func (p *planner) filter(found []*node) []*node {
	kept := found[:0]
	for _, n := range found {
		if p.live.Live(n.worker.ID) {
			kept = append(kept, n)
		}
	}
	return kept
}

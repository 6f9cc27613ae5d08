package sched

// best returns the candidate with the lowest cost for the item.
func (p *planner) best(it *item, found []*node) *node {
	var best *node
	var low float64
	for _, n := range found {
		if cost := p.cost(it, n); best == nil || cost < low {
			best, low = n, cost
		}
	}
	return best
}

// cost estimates the harm of placing the item on the node; lower is better.
func (p *planner) cost(it *item, n *node) float64 {
	cap := n.worker.Capacity
	used := n.used.Add(it.need)
	return part(used.CPUMilli, cap.CPUMilli) + part(used.MemoryMB, cap.MemoryMB)
}

package sched

import "gooseberrypond/core/structs"

const (
	// latencyWeight is how much a slowdown of a latency-critical task counts
	// relative to one of a batch task.
	latencyWeight = 20.0
	// loadWeight is the weight of the load on the worker after the placement.
	loadWeight = 0.3
	// The spread weights apply to the fraction of the entry's tasks that run in
	// the same domain, in the same rack or on the same worker.
	domainWeight = 1.0
	rackWeight   = 0.6
	workerWeight = 0.6
	// acceleratorWeight is the penalty for placing a task without accelerators on
	// a worker that has some.
	acceleratorWeight = 0.5
)

// best returns the candidate with the lowest cost for the item, or nil.
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

// cost scores the placement of the item on the node; lower is better.
func (p *planner) cost(it *item, n *node) float64 {
	cost := p.interferenceCost(it.info, n)
	cost += loadWeight * load(n.used.Add(n.reserved).Add(it.need), n.worker.Capacity)
	if it.need.Accelerators == 0 && n.worker.Capacity.Accelerators > 0 {
		cost += acceleratorWeight
	}
	if it.info.Class == structs.ClassLatency || it.job.Spec.Kind == structs.KindService {
		cost += p.spread.cost(it.info.id, n)
	}
	return cost
}

// load returns the squared utilization of the fuller of processors and memory. It is squared
// because tasks interfere more with each other on a full worker.
func load(used, capacity structs.Resources) float64 {
	used.Accelerators = 0
	u := used.DominantShare(capacity)
	return u * u
}

// interferenceCost returns the weighted excess slowdown that the placement is
// expected to cause for the task and for its neighbours.
func (p *planner) interferenceCost(info *entryInfo, n *node) float64 {
	own, others := 0.0, 0.0
	for _, c := range n.entries {
		own += float64(c.n) * p.interference.lookup(info.id, c.entry)
		others += float64(c.n) * p.interference.lookup(c.entry, info.id) * p.slowdownWeights[c.entry]
	}
	return own*p.slowdownWeights[info.id] + others
}

// spread counts each entry's tasks by domain and by rack.
type spread struct {
	domains, racks [][]int32
	total          []int32
}

func (s *spread) add(entry int32, n *node, delta int32) {
	s.domains = grow(s.domains, entry)
	s.racks = grow(s.racks, entry)
	s.total = grow(s.total, entry)
	s.domains[entry] = grow(s.domains[entry], n.domain)
	s.racks[entry] = grow(s.racks[entry], n.rack)
	s.domains[entry][n.domain] += delta
	s.racks[entry][n.rack] += delta
	s.total[entry] += delta
}

// count returns the number of the entry's tasks on all workers.
func (s *spread) count(entry int32) int {
	if int(entry) >= len(s.total) {
		return 0
	}
	return int(s.total[entry])
}

// cost returns the weighted fraction of the entry's tasks that share the node's
// domain, rack and worker.
func (s *spread) cost(entry int32, n *node) float64 {
	if int(entry) >= len(s.total) || s.total[entry] <= 0 {
		return 0
	}
	sum := 0.0
	if d := s.domains[entry]; int(n.domain) < len(d) {
		sum += domainWeight * float64(d[n.domain])
	}
	if r := s.racks[entry]; int(n.rack) < len(r) {
		sum += rackWeight * float64(r[n.rack])
	}
	for _, c := range n.entries {
		if c.entry == entry {
			sum += workerWeight * float64(c.n)
		}
	}
	return sum / float64(s.total[entry])
}

package sched

import (
	"math"
	"math/bits"
	"time"

	"gooseberrypond/core/structs"
)

const (
	// urgentWindow is the time constant of the averaged arrival rate of urgent tasks.
	urgentWindow = time.Minute
	// urgentHorizon is the period whose expected arrivals must fit without an
	// eviction. Over a longer period, other tasks finish and free capacity.
	urgentHorizon = 3 * time.Second
	// urgentReserveDivisor limits the workers that keep capacity free to one in
	// urgentReserveDivisor.
	urgentReserveDivisor = 8
)

// urgentReserve decides on how many workers to keep capacity free for urgent tasks,
// so that most urgent tasks can start without an eviction.
type urgentReserve struct {
	// need is the maximum size of recent urgent tasks in each dimension.
	need structs.Resources
	// rate is the mean number of arrivals per second.
	rate float64
	// starts counts the urgent tasks placed since the last update.
	starts int
	at     time.Time
	// workers is the number of workers that keep capacity free.
	workers int
}

// recordUrgent records the placement of an urgent task.
func (h *urgentReserve) recordUrgent(need structs.Resources) {
	h.starts++
	h.need = structs.Resources{
		CPUMilli: max(h.need.CPUMilli, need.CPUMilli),
		MemoryMB: max(h.need.MemoryMB, need.MemoryMB),
	}
}

// update recomputes the arrival rate and the number of workers that keep
// capacity free, given the number of usable workers.
func (h *urgentReserve) update(now time.Time, usable int) {
	dt := now.Sub(h.at).Seconds()
	if h.at.IsZero() || dt < 0 {
		h.at = now
		return
	}
	if dt < 0.1 {
		return
	}
	h.rate += (float64(h.starts)/dt - h.rate) * (1 - math.Exp(-dt/urgentWindow.Seconds()))
	h.starts, h.at = 0, now
	expected := h.rate * urgentHorizon.Seconds()
	if expected <= 0.01 {
		h.workers, h.need = 0, structs.Resources{}
		return
	}
	h.workers = min(int(math.Ceil(expected+math.Sqrt(expected))), usable/urgentReserveDivisor)
}

// keepsUrgentReserve reports whether placing a batch task of size need on the node
// preserves the reserve for urgent tasks. It does not if an urgent task would no
// longer fit on the node and no more than urgentReserve.workers such workers are
// left.
func (p *planner) keepsUrgentReserve(n *node, need structs.Resources) bool {
	h := &p.urgentReserve
	if h.workers == 0 {
		return true
	}
	free := n.free()
	if !h.need.Fits(free) || h.need.Fits(free.Sub(need)) {
		return true
	}
	return p.allIndex.estimateFitting(h.need) > h.workers
}

// estimateFitting estimates the number of nodes that have need free. It is an
// overestimate: it includes all nodes of the boundary size classes.
func (x *freeIndex) estimateFitting(need structs.Resources) int {
	m0 := sizeClass(need.MemoryMB, memoryUnitMB)
	total := 0
	for c := sizeClass(need.CPUMilli, cpuUnitMilli); c < sizeClasses; c++ {
		for set := x.nonEmpty[c] >> m0 << m0; set != 0; set &= set - 1 {
			total += len(x.buckets[c*sizeClasses+bits.TrailingZeros32(set)])
		}
	}
	return total
}

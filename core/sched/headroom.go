package sched

import (
	"math"
	"math/bits"
	"time"

	"gooseberrypond/core/structs"
)

const (
	// urgentWindow is the time over which arrivals of urgent tasks are averaged.
	urgentWindow = time.Minute
	// urgentHorizon is the time for which arrivals find room without an
	// eviction; by then other tasks have finished.
	urgentHorizon = 3 * time.Second
	// headroomPart bounds the workers kept with room for urgent tasks: one in headroomPart.
	headroomPart = 8
)

// headroom keeps room for urgent tasks on some workers, so that most of them
// need no eviction.
type headroom struct {
	// need is the largest size of recent urgent tasks in each dimension.
	need structs.Resources
	// rate is the mean arrivals per second.
	rate float64
	// starts counts those since the last update.
	starts int
	at     time.Time
	// workers is the number of workers to keep with room.
	workers int
}

// noteUrgent counts a placed urgent task.
func (h *headroom) noteUrgent(need structs.Resources) {
	h.starts++
	h.need = structs.Resources{
		CPUMilli: max(h.need.CPUMilli, need.CPUMilli),
		MemoryMB: max(h.need.MemoryMB, need.MemoryMB),
	}
}

// update renews the rate and the number of workers to keep, of all usable ones.
func (h *headroom) update(now time.Time, usable int) {
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
	h.workers = min(int(math.Ceil(expected+math.Sqrt(expected))), usable/headroomPart)
}

// keepsHeadroom reports whether a batch task may take need of the node: not
// when that takes the room for an urgent task on one of the last such workers.
func (p *planner) keepsHeadroom(n *node, need structs.Resources) bool {
	h := &p.headroom
	if h.workers == 0 {
		return true
	}
	free := n.free()
	if !h.need.Fits(free) || h.need.Fits(free.Sub(need)) {
		return true
	}
	return p.all.count(h.need) > h.workers
}

// count is about the number of nodes with room for need: it includes those of
// the boundary classes.
func (x *freeIndex) count(need structs.Resources) int {
	m0 := classOf(need.MemoryMB, memoryUnitMB)
	total := 0
	for c := classOf(need.CPUMilli, cpuUnitMilli); c < sizeClasses; c++ {
		for set := x.present[c] >> m0 << m0; set != 0; set &= set - 1 {
			total += len(x.buckets[c*sizeClasses+bits.TrailingZeros32(set)])
		}
	}
	return total
}

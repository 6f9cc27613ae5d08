package sched

import (
	"time"

	"gooseberrypond/core/structs"
)

const (
	// latencyPatience and batchPatience are how long a task waits before room is
	// saved up for it. Without that, smaller tasks take every piece of capacity
	// that becomes free, and a large one never starts.
	latencyPatience = 2 * time.Second
	batchPatience   = 2 * time.Minute
	// saveTime is how long room is saved up on one worker.
	saveTime = 2 * time.Minute
	// savingPart bounds the workers on which room is saved up: one in savingPart.
	savingPart = 32
	// saveCandidates is the number of workers looked at.
	saveCandidates = 24
)

// saveRoom reserves a worker's future free capacity for an item that has
// waited long for a place.
func (p *planner) saveRoom(it *item) {
	patience := batchPatience
	if tierOf(it.info) == tierLatency {
		patience = latencyPatience
	}
	waited := time.Duration(p.nowMS-it.task.PendingSinceMS) * time.Millisecond
	if waited < patience || p.saving > len(p.order)/savingPart || len(p.order) == 0 {
		return
	}
	var best *node
	var low float64
	start := p.rng.IntN(len(p.order))
	for i := range min(saveCandidates, len(p.order)) {
		n := p.order[(start+i*max(1, len(p.order)/saveCandidates))%len(p.order)]
		if n.blocked != "" || !n.held.IsZero() || !it.need.Fits(n.worker.Capacity) {
			continue
		}
		if m := missing(it.need, n); best == nil || m < low {
			best, low = n, m
		}
	}
	if best == nil {
		return
	}
	p.reserveRoom(it, best)
	h := p.holds[it.task.ID]
	h.until, h.saving = p.now.Add(saveTime), true
	p.holds[it.task.ID] = h
	p.saving++
}

// missing is the part of the node's capacity that must still become free.
func missing(need structs.Resources, n *node) float64 {
	lack, cap := need.Sub(n.free()), n.worker.Capacity
	return max(part(lack.CPUMilli, cap.CPUMilli), part(lack.MemoryMB, cap.MemoryMB), part(lack.Accelerators, cap.Accelerators))
}

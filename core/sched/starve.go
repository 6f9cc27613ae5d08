package sched

import (
	"cmp"
	"slices"
	"time"

	"gooseberrypond/core/structs"
)

const (
	// latencyWait and batchWait are how long a task waits before room is
	// saved up for it. Without that, smaller tasks take every piece of capacity
	// that becomes free, and a large one never starts.
	latencyWait = 2 * time.Second
	batchWait   = 2 * time.Minute
	// saveTime is how long room is saved up on one worker.
	saveTime = 2 * time.Minute
	// savingPart bounds the workers on which room is saved up for batch work: one
	// in savingPart; latencySavingPart is the same for latency-critical tasks.
	savingPart        = 32
	latencySavingPart = 4
	// saveCandidates is the number of workers looked at.
	saveCandidates = 24
)

// saveRoom reserves a worker's future free capacity for an item that has
// waited long for a place.
func (p *planner) saveRoom(it *item) {
	wait, limit := batchWait, len(p.order)/savingPart
	if tierOf(it.info) == tierLatency {
		wait, limit = latencyWait, len(p.order)/latencySavingPart
	}
	if _, held := p.holds[it.task.ID]; held {
		return
	}
	waited := time.Duration(p.nowMS-it.task.PendingSinceMS) * time.Millisecond
	if waited < wait || p.saving > limit || len(p.order) == 0 {
		return
	}
	var best *node
	var low int64
	start := p.rng.IntN(len(p.order))
	for i := range min(saveCandidates, len(p.order)) {
		n := p.order[(start+i*max(1, len(p.order)/saveCandidates))%len(p.order)]
		if n.blocked != "" || !n.held.IsZero() || !it.need.Fits(n.worker.Capacity) {
			continue
		}
		if ms, ok := p.readyIn(n, it.need); ok && (best == nil || ms < low) {
			best, low = n, ms
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

// readyIn is the expected time in milliseconds until tasks that end leave room
// for need on the node; ok is false when even all of them would not.
func (p *planner) readyIn(n *node, need structs.Resources) (ms int64, ok bool) {
	type ending struct {
		inMS  int64
		frees structs.Resources
	}
	var endings []ending
	for _, task := range p.t.AttemptsOn(n.worker.ID) {
		job := p.t.Job(task.ID.Job)
		info := p.infos[job.Spec.Entry]
		if info != nil && job.Spec.Kind != structs.KindService {
			endings = append(endings, ending{p.remainingMS(task, info), task.Reserved})
		}
	}
	slices.SortFunc(endings, func(a, b ending) int { return cmp.Compare(a.inMS, b.inMS) })
	room := n.free()
	for _, e := range endings {
		if need.Fits(room) {
			break
		}
		room = room.Add(e.frees)
		ms = e.inMS
	}
	return ms, need.Fits(room)
}

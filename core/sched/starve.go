package sched

import (
	"cmp"
	"slices"
	"time"

	"gooseberrypond/core/structs"
)

const (
	// latencyWait and batchWait are the waiting times after which future capacity
	// is reserved for a task. Without a reservation, smaller tasks take all
	// capacity that becomes free, and a large task never starts.
	latencyWait = 2 * time.Second
	batchWait   = 2 * time.Minute
	// saveTime is the lifetime of a reservation of future capacity.
	saveTime = 2 * time.Minute
	// savingPart limits the workers with future capacity reserved for batch work
	// to one in savingPart; latencySavingPart is the same for latency-critical
	// tasks.
	savingPart        = 32
	latencySavingPart = 4
	// saveCandidates is the number of workers considered for a reservation.
	saveCandidates = 24
)

// saveRoom reserves future capacity for an item that has waited too long, on
// the worker that is expected to have it free first.
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

// readyIn returns the expected time in milliseconds until enough tasks on the
// node have ended for need to fit; ok is false if it does not fit even when all
// tasks that end by themselves have ended.
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

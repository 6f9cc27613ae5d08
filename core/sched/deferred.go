package sched

import (
	"cmp"
	"slices"
	"time"

	"gooseberrypond/core/structs"
)

const (
	// latencyStarvedAfter and batchStarvedAfter are the waiting times after
	// which a task gets a deferred reservation. Without a reservation,
	// smaller tasks take all capacity that becomes free, and a large task never starts.
	latencyStarvedAfter = 2 * time.Second
	batchStarvedAfter   = 2 * time.Minute
	// deferredTimeout is the lifetime of a deferred reservation.
	deferredTimeout = 2 * time.Minute
	// deferredDivisor limits deferred reservations: a batch task gets one only while there are no more than one per deferredDivisor workers.
	// latencyDeferredDivisor is the same for latency-critical tasks.
	deferredDivisor        = 32
	latencyDeferredDivisor = 4
	// deferredCandidates is the number of workers considered for one reservation.
	deferredCandidates = 24
)

// reserveDeferred makes a deferred reservation for an item that has waited too
// long, on the worker that is expected to have enough free capacity first.
func (p *planner) reserveDeferred(it *item) {
	wait, limit := batchStarvedAfter, len(p.order)/deferredDivisor
	if tierOf(it.info) == tierLatency {
		wait, limit = latencyStarvedAfter, len(p.order)/latencyDeferredDivisor
	}
	if _, reserved := p.reservations[it.task.ID]; reserved {
		return
	}
	waited := time.Duration(p.nowMS-it.task.PendingSinceMS) * time.Millisecond
	if waited < wait || p.deferred > limit || len(p.order) == 0 {
		return
	}
	var best *node
	var low int64
	start := p.rng.IntN(len(p.order))
	for i := range min(deferredCandidates, len(p.order)) {
		n := p.order[(start+i*max(1, len(p.order)/deferredCandidates))%len(p.order)]
		if n.blocked != "" || !n.reserved.IsZero() || !it.need.Fits(n.worker.Capacity) {
			continue
		}
		if ms, ok := p.timeToFit(n, it.need); ok && (best == nil || ms < low) {
			best, low = n, ms
		}
	}
	if best == nil {
		return
	}
	p.reserveOn(it, best)
	r := p.reservations[it.task.ID]
	r.expires, r.deferred = p.now.Add(deferredTimeout), true
	p.reservations[it.task.ID] = r
	p.deferred++
}

// timeToFit returns the expected time in milliseconds until enough tasks on the
// node have ended for need to fit; ok is false if it does not fit even when all
// tasks that end by themselves have ended.
func (p *planner) timeToFit(n *node, need structs.Resources) (ms int64, ok bool) {
	type ending struct {
		inMS  int64
		frees structs.Resources
	}
	var endings []ending
	for _, task := range p.t.AttemptsOn(n.worker.ID) {
		job := p.t.Job(task.ID.Job)
		info := p.entryInfos[job.Spec.Entry]
		if info != nil && job.Spec.Kind != structs.KindService {
			endings = append(endings, ending{p.remainingMS(task, info), task.Reserved})
		}
	}
	slices.SortFunc(endings, func(a, b ending) int { return cmp.Compare(a.inMS, b.inMS) })
	available := n.free()
	for _, e := range endings {
		if need.Fits(available) {
			break
		}
		available = available.Add(e.frees)
		ms = e.inMS
	}
	return ms, need.Fits(available)
}

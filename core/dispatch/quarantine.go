package dispatch

import (
	"time"

	"gooseberrypond/core/graph"
)

const (
	// failureThreshold consecutive failed runs of different tasks quarantine a worker,
	// first for quarantineMin, then for twice the last period up to quarantineMax.
	failureThreshold = 2
	quarantineMin    = 3 * time.Second
	quarantineMax    = 30 * time.Second
	// failureMemory is how long a failed or stuck run counts. A worker on which everything
	// fails shows it within seconds; long-running tasks fail now and then on any.
	failureMemory = 10 * time.Second
	// probeInterval is the time between two starts of long-running tasks on a
	// quarantined worker.
	probeInterval = time.Second
	// provenAfter is how long a long-running task must serve on a quarantined worker to
	// end the quarantine. Such a run has no end that could count as a success.
	provenAfter = 2 * time.Second
)

// workerHealth holds what the runs on a worker tell about it.
type workerHealth struct {
	// failed has the tasks of the failed runs since the last success, without those whose
	// last failures were on different workers.
	failed        map[*graph.Task]struct{}
	lastFailureAt time.Time
	// stuckRuns counts the stuck runs since the last success, or since the last
	// quarantine that stuck runs caused.
	stuckRuns   int
	lastStuckAt time.Time
	// quarantinedUntil is the end of the quarantine, in which the worker gets no new
	// work but probes. stuck is set if stuck runs caused it.
	quarantinedUntil time.Time
	stuck            bool
	// quarantineFor is the length of the last quarantine; a success resets it to 0.
	quarantineFor time.Duration
	// quarantinedAt is when the quarantine began, and probedAt when a run was last
	// placed on the worker during one.
	quarantinedAt, probedAt time.Time
}

func (h *workerHealth) quarantined(now time.Time) bool { return now.Before(h.quarantinedUntil) }

// recordEnd updates the health of a worker after a run of the task has ended there: a
// success resets its counters, consecutive failures of different tasks quarantine it. A
// failure counts unless the task's last one was on another worker.
func (c *Core) recordEnd(now time.Time, r *runState, kind graph.EndKind) {
	ws, task := r.ws, r.a.Task()
	switch kind {
	case graph.EndDone:
		ws.health = workerHealth{}
	case graph.EndFailed:
		last := c.workers[task.LastWorker]
		if task.Failures == 0 || last == ws {
			ws.health.recordFailure(now, r)
			return
		}
		// The task is the likely cause of this failure and of its last one.
		if last != nil {
			last.health.withdrawFailure(task)
		}
	}
}

// startedEarlier reports whether a run began before the quarantine in force. Its failure
// tells nothing new: runs that start together also fail together.
func (h *workerHealth) startedEarlier(now time.Time, r *runState) bool {
	return h.quarantined(now) && !r.acceptedAt.After(h.quarantinedAt)
}

// forgotten reports whether what was last recorded at the given time counts no more.
func (h *workerHealth) forgotten(now, at time.Time) bool {
	return now.Sub(at) > failureMemory && now.Sub(h.quarantinedUntil) > failureMemory
}

func (h *workerHealth) recordFailure(now time.Time, r *runState) {
	if h.startedEarlier(now, r) {
		return
	}
	if h.forgotten(now, h.lastFailureAt) {
		h.failed, h.quarantineFor = nil, 0
	}
	h.lastFailureAt = now
	if h.failed == nil {
		h.failed = map[*graph.Task]struct{}{}
	}
	h.failed[r.a.Task()] = struct{}{}
	if len(h.failed) >= failureThreshold {
		h.stuck = false
		h.quarantine(now)
	}
}

// withdrawFailure takes back the recorded failure of a task, and the quarantine if too
// few are left for one.
func (h *workerHealth) withdrawFailure(task *graph.Task) {
	if _, recorded := h.failed[task]; !recorded {
		return
	}
	delete(h.failed, task)
	if len(h.failed) < failureThreshold && !h.stuck {
		h.quarantinedUntil, h.quarantineFor = time.Time{}, 0
	}
}

// recordStuck counts a stuck run and quarantines the worker at the threshold.
func (h *workerHealth) recordStuck(now time.Time, r *runState) {
	if h.startedEarlier(now, r) {
		return
	}
	if h.forgotten(now, h.lastStuckAt) {
		h.stuckRuns, h.quarantineFor = 0, 0
	}
	h.lastStuckAt = now
	h.stuckRuns++
	if h.stuckRuns < stuckThreshold {
		return
	}
	h.stuckRuns = 0
	h.stuck = true
	h.quarantine(now)
}

// quarantine keeps new work away from a worker for a period that doubles each time.
func (h *workerHealth) quarantine(now time.Time) {
	h.quarantinedAt = now
	h.quarantineFor = min(max(2*h.quarantineFor, quarantineMin), quarantineMax)
	if until := now.Add(h.quarantineFor); until.After(h.quarantinedUntil) {
		h.quarantinedUntil = until
	}
}

// mayProbe reports whether a long-running task that finds no other worker may be
// placed on a quarantined one.
func (h *workerHealth) mayProbe(now time.Time) bool { return now.Sub(h.probedAt) >= probeInterval }

// checkProbes ends the quarantine of a worker on which a long-running task that was
// started since has served for provenAfter, by a list made at the given time on the
// worker's clock.
func (ws *workerState) checkProbes(now time.Time, madeMS int64) {
	if !ws.health.quarantined(now) {
		return
	}
	for a, r := range ws.runs {
		served := time.Duration(madeMS-r.progressMS) * time.Millisecond
		if a.Step.LongRunning && r.percent >= 100 && served >= provenAfter && r.acceptedAt.After(ws.health.quarantinedAt) {
			ws.health = workerHealth{}
			return
		}
	}
}

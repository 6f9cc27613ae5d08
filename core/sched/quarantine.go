package sched

import (
	"time"

	"gooseberrypond/core/structs"
)

const (
	// quarantineFailures is the number of consecutive failures after which a
	// worker is quarantined, i.e. takes no tasks for some time.
	quarantineFailures = 3
	// quarantineMin and quarantineMax are the limits of the quarantine time,
	// which doubles each time.
	quarantineMin = 10 * time.Second
	quarantineMax = 10 * time.Minute
	// probeDuration is the run time after which a probe task counts as successful.
	probeDuration = 10 * time.Second
	// entryFaultWorkers is the number of workers on which an entry must fail
	// without a success in between before failures on other workers are
	// attributed to the entry and not to the worker.
	entryFaultWorkers = 3
)

// health is the failure record of a worker.
type health struct {
	failures           int
	backoff            time.Duration
	quarantinedUntilMS int64
	// probing is set from the start of the quarantine until a task on the worker
	// finishes or ends with a checkpoint, or a probe task has run for probeDuration.
	// After the quarantine the worker gets a single probe task; probed is set once
	// that is placed, and probe is its id.
	probing, probed bool
	probe           structs.TaskID
}

// RecordEnd records the end of an attempt. task is its record before the end.
func (s *Scheduler) RecordEnd(ev structs.TaskEvent, task *structs.Task, entry string, nowMS int64) {
	if n := s.nodes[task.Worker]; n != nil {
		s.markDirty(n)
	}
	est := s.estimate(s.entryID(entry))
	switch ev.Type {
	case structs.EventFinished:
		s.recordRuntime(est, task, nowMS)
		s.recordSuccess(est, task)
	case structs.EventCheckpointed:
		s.checkpointedRunMS[task.ID] += elapsedMS(task, nowMS)
		delete(s.health, task.Worker)
	case structs.EventFailed:
		s.recordFailure(est, task, nowMS)
	case structs.EventStopped:
		delete(s.checkpointedRunMS, task.ID)
	}
}

func elapsedMS(task *structs.Task, nowMS int64) int64 {
	if task.StartedMS <= 0 {
		return 0
	}
	return max(0, nowMS-task.StartedMS)
}

func (s *Scheduler) recordRuntime(est *entryEstimate, task *structs.Task, nowMS int64) {
	if task.StartedMS > 0 {
		est.runtime.add(float64(s.checkpointedRunMS[task.ID]+elapsedMS(task, nowMS)), 1, runtimeSamples)
	}
	delete(s.checkpointedRunMS, task.ID)
}

func (s *Scheduler) recordSuccess(est *entryEstimate, task *structs.Task) {
	clear(est.failedOn)
	delete(s.health, task.Worker)
	delete(s.failedOn, task.ID)
}

// recordFailure counts a failure against the worker, unless the entry has failed
// on several other workers since its last success.
func (s *Scheduler) recordFailure(est *entryEstimate, task *structs.Task, nowMS int64) {
	s.failedOn[task.ID] = task.Worker
	_, again := est.failedOn[task.Worker]
	if !again && len(est.failedOn) >= entryFaultWorkers {
		return
	}
	est.failedOn[task.Worker] = struct{}{}
	h := s.health[task.Worker]
	if h == nil {
		h = &health{}
		s.health[task.Worker] = h
	}
	h.failures++
	if h.failures >= quarantineFailures {
		h.quarantine(nowMS)
	}
}

func (h *health) quarantine(nowMS int64) {
	if nowMS < h.quarantinedUntilMS {
		return
	}
	h.backoff = min(max(2*h.backoff, quarantineMin), quarantineMax)
	h.quarantinedUntilMS = nowMS + h.backoff.Milliseconds()
	h.probing, h.probed = true, false
}

// quarantined reports whether the node takes no task because of repeated
// failures. After the quarantine it takes one probe task, and more once that
// has succeeded or has run for probeDuration. The run time counts because service
// tasks do not end by themselves.
func (p *planner) quarantined(n *node) bool {
	h := p.health[n.worker.ID]
	if h == nil || !h.probing {
		return false
	}
	if p.nowMS < h.quarantinedUntilMS {
		return true
	}
	if !h.probed {
		return false
	}
	task := p.t.Task(h.probe)
	if task == nil || task.Worker != n.worker.ID {
		h.probed = p.placedInPlan(h.probe)
		return h.probed
	}
	if task.State == structs.AttemptRunning && elapsedMS(task, p.nowMS) >= probeDuration.Milliseconds() {
		delete(p.health, n.worker.ID)
		return false
	}
	return true
}

// placedInPlan reports whether the task was placed by the current plan.
func (p *planner) placedInPlan(id structs.TaskID) bool {
	for i := range p.plan.Assign {
		if p.plan.Assign[i].Task == id {
			return true
		}
	}
	return false
}

// recordProbe records the task as the probe if the worker is being probed.
func (p *planner) recordProbe(n *node, id structs.TaskID) {
	if h := p.health[n.worker.ID]; h != nil && h.probing {
		h.probe, h.probed = id, true
	}
}

package state

import (
	"fmt"
	"slices"

	"gooseberrypond/core/structs"
)

const (
	// defaultMaxAttempts bounds failed attempts when the entry sets no bound.
	defaultMaxAttempts = 5
	// backoffBaseMS is the back-off after the first failure, in milliseconds; it doubles with each further failure.
	backoffBaseMS = 1000
	// backoffMaxMS is the longest back-off after a failure, in milliseconds.
	backoffMaxMS = 5 * 60 * 1000
	// serviceStableMS is the run time, in milliseconds, after which an ended service task restarts without back-off.
	serviceStableMS = 60 * 1000
	// maxReasons bounds the number of failure messages kept with a job.
	maxReasons = 5
	// maxReasonBytes bounds the length of one such message.
	maxReasonBytes = 256
)

// startAttempt places a pending task on a worker.
func (t *Tables) startAttempt(r *taskRec, w *workerRec, a structs.Assignment) {
	t.dequeue(r)
	r.Attempt++
	r.Epoch = t.index
	r.State = structs.AttemptAssigned
	r.Worker, r.Incarnation = w.ID, w.Incarnation
	r.Reserved = a.Reserved
	r.PlaceReason = a.Reason
	r.StartedMS = 0
	r.LeaseHoldMS = t.catalogue.Entries[r.job.Spec.Entry].LeaseHoldMS
	w.committed = w.committed.Add(a.Reserved)
	i, _ := slices.BinarySearchFunc(w.attempts, r.ID, findTask)
	w.attempts = slices.Insert(w.attempts, i, &r.Task)
	r.job.owner.usage = r.job.owner.usage.Add(a.Reserved)
	r.job.attempts++
	t.counts.attempts++
	t.markChanged(w)
}

func findTask(a *structs.Task, id structs.TaskID) int { return compareTask(a.ID, id) }

// endAttempt releases the resources of the current attempt. The caller must
// then make the task pending or give it a final status.
func (t *Tables) endAttempt(r *taskRec) {
	w := t.workers[r.Worker]
	w.committed = w.committed.Sub(r.Reserved)
	i, _ := slices.BinarySearchFunc(w.attempts, r.ID, findTask)
	w.attempts = slices.Delete(w.attempts, i, i+1)
	r.job.owner.usage = r.job.owner.usage.Sub(r.Reserved)
	r.job.attempts--
	t.counts.attempts--
	r.State = structs.AttemptNone
	r.Worker, r.Incarnation = "", 0
	r.Reserved = structs.Resources{}
	t.markChanged(w)
}

// requeue makes a task without an attempt pending again, or ends it when its
// job is cancelled.
func (t *Tables) requeue(r *taskRec) {
	if r.job.Cancelled {
		t.setStatus(r, structs.StatusCancelled)
		return
	}
	t.setStatus(r, structs.StatusPending)
	r.PendingSinceMS = t.nowMS
	t.enqueue(r)
}

func (r *taskRec) hasStarted() bool { return r.Status == structs.StatusRunning }

// loseAttempt ends an attempt that can no longer be running and whose outcome
// was not reported. A non-idempotent task becomes unknown unless its start was
// never sent.
func (t *Tables) loseAttempt(r *taskRec, neverStarted bool) {
	worker := r.Worker
	t.endAttempt(r)
	if r.job.Spec.NonIdempotent && !neverStarted {
		t.addReason(r, fmt.Sprintf("lost with worker %s, may have run", worker))
		t.setStatus(r, structs.StatusUnknown)
	} else {
		t.requeue(r)
	}
	t.updateJob(r.job)
}

func (t *Tables) applyWorkerEvents(c *structs.WorkerEvents) structs.Result {
	var res structs.Result
	for _, ev := range c.Events {
		r := t.currentAttempt(ev.Task, ev.Attempt, ev.Epoch)
		if r == nil || r.Worker != c.Worker || r.Incarnation != c.Incarnation {
			res.Dropped++
			continue
		}
		before := r.Task
		if !t.applyEvent(r, ev) {
			res.Dropped++
			continue
		}
		if r.State == structs.AttemptNone {
			res.Ended = append(res.Ended, structs.EndedAttempt{Event: ev, Task: before})
		}
		t.updateJob(r.job)
	}
	return res
}

// currentAttempt returns the task if the attempt is its current one and has not ended.
func (t *Tables) currentAttempt(id structs.TaskID, attempt int64, epoch uint64) *taskRec {
	r := t.task(id)
	if r == nil || r.State == structs.AttemptNone || r.Attempt != attempt || r.Epoch != epoch {
		return nil
	}
	return r
}

func (t *Tables) applyEvent(r *taskRec, ev structs.TaskEvent) bool {
	switch ev.Type {
	case structs.EventStarted:
		return t.eventStarted(r)
	case structs.EventCheckpointed:
		t.eventCheckpointed(r, ev)
	case structs.EventFinished:
		t.eventFinished(r, ev)
	case structs.EventFailed:
		t.eventFailed(r, ev)
	case structs.EventStopped:
		t.eventStopped(r)
	default:
		return false
	}
	return true
}

func (t *Tables) eventStarted(r *taskRec) bool {
	if r.hasStarted() {
		return false
	}
	if r.State == structs.AttemptAssigned {
		r.State = structs.AttemptRunning
	}
	r.StartedMS = t.nowMS
	t.setStatus(r, structs.StatusRunning)
	return true
}

// eventCheckpointed makes the task pending, to resume from its checkpoint. A non-idempotent
// task that stopped without a checkpoint would start over, so it becomes unknown.
func (t *Tables) eventCheckpointed(r *taskRec, ev structs.TaskEvent) {
	t.endAttempt(r)
	if ev.Checkpoint != "" {
		r.Checkpoint = ev.Checkpoint
	} else if r.job.Spec.NonIdempotent && r.hasStarted() && !r.job.Cancelled {
		t.setStatus(r, structs.StatusUnknown)
		return
	}
	t.requeue(r)
}

func (t *Tables) eventFinished(r *taskRec, ev structs.TaskEvent) {
	t.endAttempt(r)
	r.ExitCode = ev.ExitCode
	if r.job.Spec.Kind != structs.KindService {
		t.setStatus(r, structs.StatusDone)
		return
	}
	t.restartService(r)
}

func (t *Tables) eventFailed(r *taskRec, ev structs.TaskEvent) {
	t.endAttempt(r)
	r.ExitCode = ev.ExitCode
	if r.job.Cancelled {
		t.setStatus(r, structs.StatusCancelled)
		return
	}
	t.addReason(r, ev.Message)
	if r.job.Spec.Kind == structs.KindService {
		t.restartService(r)
		return
	}
	r.Failures++
	if r.job.Spec.NonIdempotent || r.Failures >= t.maxAttempts(r.job) {
		t.setStatus(r, structs.StatusFailed)
		return
	}
	r.NotBeforeMS = t.nowMS + backoffMS(r.Failures)
	t.requeue(r)
}

func (t *Tables) eventStopped(r *taskRec) {
	started, worker := r.hasStarted(), r.Worker
	t.endAttempt(r)
	if r.job.Spec.NonIdempotent && started && !r.job.Cancelled {
		t.addReason(r, fmt.Sprintf("stopped on worker %s before its end", worker))
		t.setStatus(r, structs.StatusUnknown)
		return
	}
	t.requeue(r)
}

// restartService queues an ended service task again. A run shorter than
// serviceStableMS counts as a failure for the back-off.
func (t *Tables) restartService(r *taskRec) {
	if r.hasStarted() && t.nowMS-r.StartedMS >= serviceStableMS {
		r.Failures = 0
	} else {
		r.Failures++
		r.NotBeforeMS = t.nowMS + backoffMS(r.Failures)
	}
	t.requeue(r)
}

func (t *Tables) maxAttempts(j *jobRec) int {
	if n := t.catalogue.Entries[j.Spec.Entry].MaxAttempts; n > 0 {
		return n
	}
	return defaultMaxAttempts
}

// backoffMS returns the back-off after the given number of failures, in milliseconds.
func backoffMS(failures int) int64 {
	ms := int64(backoffBaseMS)
	for i := 1; i < failures && ms < backoffMaxMS; i++ {
		ms *= 2
	}
	return min(ms, backoffMaxMS)
}

func (t *Tables) addReason(r *taskRec, message string) {
	j := r.job
	if message == "" || len(j.Reasons) >= maxReasons {
		return
	}
	if len(message) > maxReasonBytes {
		message = message[:maxReasonBytes]
	}
	line := fmt.Sprintf("task %d attempt %d: %s", r.ID.Index, r.Attempt, message)
	j.Reasons = append(slices.Clip(j.Reasons), line)
}

func (t *Tables) applyEndAttempts(c *structs.EndAttempts) structs.Result {
	var res structs.Result
	w := t.workers[c.Worker]
	if w == nil || w.Incarnation != c.Incarnation {
		res.Dropped = len(c.Attempts)
		return res
	}
	for _, ref := range c.Attempts {
		r := t.currentAttempt(ref.Task, ref.Attempt, ref.Epoch)
		if r == nil || r.Worker != c.Worker {
			res.Dropped++
			continue
		}
		t.loseAttempt(r, ref.NeverStarted)
	}
	if c.WorkerDead && w.Live {
		w.Live = false
		w.EndedMS = t.nowMS
		t.markChanged(w)
	}
	return res
}

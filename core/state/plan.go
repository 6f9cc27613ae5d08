package state

import (
	"container/heap"

	"gooseberrypond/core/structs"
)

// applyPlan applies each part of a plan that is still valid and drops the others.
func (t *Tables) applyPlan(p *structs.Plan) structs.Result {
	var res structs.Result
	countDropped := func(ok bool) {
		if !ok {
			res.Dropped++
		}
	}
	for _, o := range p.Occurrences {
		countDropped(t.applyOccurrence(o))
	}
	for _, n := range p.Notes {
		countDropped(t.applyNote(n))
	}
	for _, e := range p.Evict {
		countDropped(t.applyEviction(e))
	}
	for _, a := range p.Assign {
		countDropped(t.applyAssignment(a))
	}
	return res
}

func (t *Tables) applyAssignment(a structs.Assignment) bool {
	r := t.task(a.Task)
	w := t.workers[a.Worker]
	if r == nil || !r.queued || r.job.Cancelled || w == nil {
		return false
	}
	if !w.Live || w.Incarnation != a.Incarnation || t.DomainOut(w.Domain) {
		return false
	}
	entry, ok := t.catalogue.Entries[r.job.Spec.Entry]
	if !ok || !validReservation(a.Reserved, structs.ReservationFloor(entry.Class, t.SizeOf(r.job.Job))) {
		return false
	}
	if !w.committed.Add(a.Reserved).Fits(w.Capacity) {
		return false
	}
	if !WithinQuota(r.job.owner.usage.Add(a.Reserved), t.catalogue.Owners[entry.Owner].Quota) {
		return false
	}
	t.startAttempt(r, w, a)
	return true
}

// validReservation reports whether a reservation is within bounds and not below the floor.
func validReservation(reserved, floor structs.Resources) bool {
	if reserved.HasNegative() || reserved.IsZero() || exceedsMaxSize(reserved) {
		return false
	}
	return floor.Fits(reserved)
}

// WithinQuota reports whether usage is within quota; zero dimensions of quota
// are unlimited.
func WithinQuota(usage, quota structs.Resources) bool {
	over := func(used, limit int64) bool { return limit > 0 && used > limit }
	return !over(usage.CPUMilli, quota.CPUMilli) &&
		!over(usage.MemoryMB, quota.MemoryMB) &&
		!over(usage.Accelerators, quota.Accelerators)
}

func (t *Tables) applyEviction(e structs.Eviction) bool {
	r := t.currentAttempt(e.Ref.Task, e.Ref.Attempt, e.Ref.Epoch)
	if r == nil || (r.State != structs.AttemptAssigned && r.State != structs.AttemptRunning) {
		return false
	}
	if r.Evictions > 0 && t.nowMS-r.LastEvictedMS < structs.EvictionCooldown.Milliseconds() {
		return false
	}
	r.State = structs.AttemptEvicting
	r.Evictions++
	r.LastEvictedMS = t.nowMS
	r.EvictReason = e.Reason
	return true
}

// applyOccurrence creates or skips the next occurrence of a recurring job.
// Only the next number in sequence is accepted, so each occurrence is decided once.
func (t *Tables) applyOccurrence(o structs.Occurrence) bool {
	j := t.jobs[o.Job]
	if j == nil || j.heapPos < 0 || o.Number != j.NextOccurrence || nextDueMS(j.Job) > t.nowMS {
		return false
	}
	if !o.Skipped && j.openTasks() >= MaxOpenOccurrences {
		return false
	}
	r := &taskRec{job: j}
	r.ID = structs.TaskID{Job: j.ID, Index: o.Number}
	r.Status = structs.StatusPending
	j.NextOccurrence++
	heap.Fix(&t.recurring, j.heapPos)
	t.addTask(r)
	if o.Skipped {
		j.Skipped++
		t.setStatus(r, structs.StatusSkipped)
	} else {
		r.PendingSinceMS = t.nowMS
		t.enqueue(r)
	}
	t.trimOccurrences(j)
	t.updateJob(j)
	return true
}

// addTask appends a task to its job and counts it as live.
func (t *Tables) addTask(r *taskRec) {
	j := r.job
	j.tasks = append(j.tasks, r)
	j.counts[statusIndex(r.Status)]++
	if r.Status.Finished() {
		t.counts.finishedTasks++
		return
	}
	t.counts.liveTasks++
	j.owner.liveTasks++
}

func (t *Tables) applyNote(n structs.JobNote) bool {
	j := t.jobs[n.Job]
	if j == nil || j.Status.Finished() {
		return false
	}
	if n.DeadlineAtRisk {
		j.DeadlineAtRisk = true
	}
	if !n.Unrunnable {
		return true
	}
	return t.markUnrunnable(j, n.Reasons)
}

// markUnrunnable ends a job whose tasks fit no registered worker or exceed the
// owner's quota. It returns false and changes nothing if that is not so, if no
// worker is registered or if the job has started.
func (t *Tables) markUnrunnable(j *jobRec, reasons []string) bool {
	size := t.SizeOf(j.Job)
	runnable := t.FitsAnyWorker(size) && WithinQuota(size, t.catalogue.Owners[j.Owner].Quota)
	started := j.Spec.Kind != structs.KindRecurring && j.count(structs.StatusPending) != len(j.tasks)
	if len(t.workerCapacities) == 0 || runnable || started || j.attempts > 0 {
		return false
	}
	j.Reasons = reasons
	for _, r := range j.tasks {
		if r.queued {
			t.dequeue(r)
			t.setStatus(r, structs.StatusUnrunnable)
		}
	}
	t.finishJob(j, structs.StatusUnrunnable)
	return true
}

package state

import "gooseberrypond/core/structs"

// numStatuses is the number of task statuses that are counted per job.
const numStatuses = 8

var countedStatuses = [numStatuses]structs.JobStatus{
	structs.StatusPending, structs.StatusRunning, structs.StatusDone, structs.StatusFailed,
	structs.StatusCancelled, structs.StatusUnknown, structs.StatusUnrunnable, structs.StatusSkipped,
}

func statusIndex(s structs.JobStatus) int {
	for i, o := range countedStatuses {
		if o == s {
			return i
		}
	}
	return 0
}

func (j *jobRec) count(s structs.JobStatus) int { return j.counts[statusIndex(s)] }

func (j *jobRec) openTasks() int {
	return j.count(structs.StatusPending) + j.count(structs.StatusRunning)
}

// setStatus changes a task's status and the counters that depend on it.
func (t *Tables) setStatus(r *taskRec, s structs.JobStatus) {
	j := r.job
	j.counts[statusIndex(r.Status)]--
	j.counts[statusIndex(s)]++
	if !r.Status.Finished() && s.Finished() {
		r.FinishedMS = t.nowMS
		t.counts.liveTasks--
		t.counts.finishedTasks++
		j.owner.liveTasks--
	}
	r.Status = s
}

// updateJob derives a job's status from its counters.
func (t *Tables) updateJob(j *jobRec) {
	if j.Status.Finished() {
		return
	}
	awaitsOccurrences := j.Spec.Kind == structs.KindRecurring && !j.Cancelled
	if j.openTasks() > 0 || awaitsOccurrences {
		j.Status = structs.StatusPending
		if j.openTasks() < len(j.tasks) || j.count(structs.StatusRunning) > 0 {
			j.Status = structs.StatusRunning
		}
		return
	}
	t.finishJob(j, finalStatus(j))
}

func finalStatus(j *jobRec) structs.JobStatus {
	switch {
	case j.count(structs.StatusUnknown) > 0:
		return structs.StatusUnknown
	case j.count(structs.StatusUnrunnable) > 0:
		return structs.StatusUnrunnable
	case j.Cancelled && (j.count(structs.StatusCancelled) > 0 || j.Spec.Kind == structs.KindRecurring):
		return structs.StatusCancelled
	case j.count(structs.StatusFailed) > 0:
		return structs.StatusFailed
	}
	return structs.StatusDone
}

// finishJob gives a job its final status. The payload is removed, because no
// task needs it any more.
func (t *Tables) finishJob(j *jobRec, s structs.JobStatus) {
	j.Status = s
	j.FinishedMS = t.nowMS
	t.addPayloadBytes(j.owner, -len(j.Spec.Payload))
	j.Spec.Payload = nil
	j.owner.liveJobs--
	t.entry(j.Spec.Entry).liveJobs--
	t.pushFinished(j)
	t.removeRecurring(j)
	if j.key != nil {
		j.key.FinishedMS = t.nowMS
		j.key.orderElem = t.keyOrder.PushBack(j.key)
	}
}

func (t *Tables) pushFinished(j *jobRec) {
	t.finishOrder++
	j.finishOrder = t.finishOrder
	j.finishedElem = t.finished.PushBack(j)
}

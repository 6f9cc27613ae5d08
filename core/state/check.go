package state

import (
	"maps"
	"reflect"
	"slices"

	"github.com/cockroachdb/errors"

	"gooseberrypond/core/structs"
)

// ErrInvariant means that the tables violate one of their invariants.
var ErrInvariant = errors.New("state invariant broken")

// Check verifies every invariant: capacities, at most one attempt per task, and
// indexes and counters equal to those recomputed from the records.
func (t *Tables) Check() error {
	for _, w := range t.workerList {
		if err := t.checkWorker(t.workers[w.ID]); err != nil {
			return err
		}
	}
	for e := t.jobOrder.Front(); e != nil; e = e.Next() {
		j := e.Value.(*jobRec)
		if err := t.checkJob(j); err != nil {
			return err
		}
	}
	return t.checkIndexes()
}

func invariantErrorf(format string, args ...any) error {
	return errors.Wrapf(ErrInvariant, format, args...)
}

func (t *Tables) checkWorker(w *workerRec) error {
	if !w.committed.Fits(w.Capacity) || w.committed.HasNegative() {
		return invariantErrorf("worker %s: committed %v, capacity %v", w.ID, w.committed, w.Capacity)
	}
	for _, task := range w.attempts {
		r := t.task(task.ID)
		if r == nil || &r.Task != task || r.Worker != w.ID || r.Incarnation != w.Incarnation {
			return invariantErrorf("worker %s lists task %s, which has no attempt on it", w.ID, task.ID)
		}
	}
	return nil
}

func (t *Tables) checkJob(j *jobRec) error {
	if j.Status.Finished() != (j.finishedElem != nil) || j.Status.Finished() && (j.openTasks() > 0 || j.attempts > 0) {
		return invariantErrorf("job %s: status %s with %d unfinished tasks and %d attempts", j.ID, j.Status, j.openTasks(), j.attempts)
	}
	if !j.Status.Finished() && j.Spec.Kind != structs.KindRecurring && j.openTasks() == 0 {
		return invariantErrorf("job %s: status %s without unfinished tasks", j.ID, j.Status)
	}
	if j.Owner != j.owner.name || !j.Status.Finished() && t.catalogue.Entries[j.Spec.Entry].Owner != j.Owner {
		return invariantErrorf("job %s: owner %q does not own entry %q", j.ID, j.Owner, j.Spec.Entry)
	}
	for i, r := range j.tasks {
		if r.ID != (structs.TaskID{Job: j.ID, Index: j.base + int64(i)}) {
			return invariantErrorf("job %s: task %s is at the wrong position %d", j.ID, r.ID, i)
		}
		if err := checkTask(r); err != nil {
			return err
		}
	}
	return nil
}

func checkTask(r *taskRec) error {
	idle := r.State == structs.AttemptNone
	switch {
	case idle != (r.Worker == ""), idle && !r.Reserved.IsZero():
		return invariantErrorf("task %s: state %q on worker %q with %v reserved", r.ID, r.State, r.Worker, r.Reserved)
	case r.queued != (idle && !r.Status.Finished()):
		return invariantErrorf("task %s: queued is %v in state %q, status %s", r.ID, r.queued, r.State, r.Status)
	case !idle && r.Status.Finished():
		return invariantErrorf("task %s: status %s with an attempt", r.ID, r.Status)
	case r.State == structs.AttemptStopping != (r.job.Cancelled && !idle):
		return invariantErrorf("task %s: state %q, job cancelled is %v", r.ID, r.State, r.job.Cancelled)
	case r.State == structs.AttemptRunning && r.Status != structs.StatusRunning:
		return invariantErrorf("task %s: state %q, status %s", r.ID, r.State, r.Status)
	}
	return nil
}

// checkIndexes compares the indexes with those of tables rebuilt from the records.
func (t *Tables) checkIndexes() error {
	rebuilt, err := t.Fork().flatten().restore()
	if err != nil {
		return errors.Mark(err, ErrInvariant)
	}
	if t.counts != rebuilt.counts {
		return invariantErrorf("totals are %+v, recomputed from the records %+v", t.counts, rebuilt.counts)
	}
	a, b := t.indexView(), rebuilt.indexView()
	for _, name := range slices.Sorted(maps.Keys(a)) {
		if !reflect.DeepEqual(a[name], b[name]) {
			return invariantErrorf("index %s is %v, recomputed from the records %v", name, a[name], b[name])
		}
	}
	return t.checkRecurringHeap()
}

// indexView returns the indexes as plain values that can be compared.
func (t *Tables) indexView() map[string]any {
	workers := map[structs.WorkerID][]any{}
	for id, w := range t.workers {
		workers[id] = []any{w.committed, taskIDs(w.attempts)}
	}
	owners := map[string][]any{}
	for name, o := range t.owners {
		var jobs []structs.JobID
		for e := o.jobs.Front(); e != nil; e = e.Next() {
			jobs = append(jobs, e.Value.(*jobRec).ID)
		}
		if sums := []int{o.liveJobs, o.liveTasks, o.jobPayloadBytes, o.claimAnswerBytes, o.claims}; len(jobs) > 0 || !o.usage.IsZero() || slices.Max(sums) > 0 {
			owners[name] = []any{o.usage, jobs, sums}
		}
	}
	entries := map[string][]any{}
	for name, e := range t.entries {
		ids := map[structs.TaskID]bool{}
		for r := e.head; r != nil; r = r.next {
			ids[r.ID] = true
		}
		if e.liveJobs+e.queued+len(ids) != 0 {
			entries[name] = []any{e.liveJobs, e.queued, ids}
		}
	}
	jobs := map[structs.JobID][]any{}
	for id, j := range t.jobs {
		jobs[id] = []any{j.counts, j.attempts, j.heapPos >= 0, j.key != nil}
	}
	return map[string]any{
		"workers": workers, "owners": owners, "entries": entries, "jobs": jobs,
		"pending": append([]string{}, t.pendingEntries...), "shapes": t.workerCapacities, "keys": t.keyView(), "claims": len(t.claims),
	}
}

func (t *Tables) keyView() map[ownerKey][]structs.JobID {
	out := map[ownerKey][]structs.JobID{}
	for k, recs := range t.keys {
		for _, r := range recs {
			out[k] = append(out[k], r.Job)
		}
	}
	return out
}

func (t *Tables) checkRecurringHeap() error {
	for i, j := range t.recurring {
		if j.heapPos != i || i > 0 && t.recurring.Less(i, (i-1)/2) {
			return invariantErrorf("recurring job %s violates the heap order at position %d", j.ID, i)
		}
	}
	return nil
}

func taskIDs(tasks []*structs.Task) []structs.TaskID {
	var ids []structs.TaskID
	for _, task := range tasks {
		ids = append(ids, task.ID)
	}
	return ids
}

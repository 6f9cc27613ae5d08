package state

import "gooseberrypond/core/structs"

const (
	// maxRecordsPerExpire bounds the records removed by one Expire, so that applying it takes little time.
	maxRecordsPerExpire = 2000
	// maxFinishedTasks bounds the tasks of finished jobs; the jobs that finished first are removed first.
	maxFinishedTasks = 150_000
	// claimRetention is how long a claim is kept. The answer may arrive up to
	// RequestTimeoutMax after the claim and is then kept for the whole retention.
	claimRetention = structs.ClaimRetention + structs.RequestTimeoutMax
	// maxFinishedKeys bounds the idempotency keys of finished jobs.
	maxFinishedKeys = 250_000
	// maxKeptOccurrences is the number of occurrences kept of one recurring job; only finished ones are removed.
	maxKeptOccurrences = 100
	// MaxOpenOccurrences bounds unfinished occurrences of one recurring job. While
	// the bound is reached, further occurrences are delayed, and the entry's
	// MissedRule decides whether they run.
	MaxOpenOccurrences = 100
)

// applyExpire removes records past their retention, at most maxRecordsPerExpire of
// them. Dropped is 1 when more may be left.
func (t *Tables) applyExpire() structs.Result {
	n := 0
	for _, step := range []func() bool{t.expireJob, t.expireKey, t.expireClaim, t.expireChange} {
		for n < maxRecordsPerExpire && step() {
			n++
		}
	}
	t.expireWorkers()
	t.expireOwners()
	if n == maxRecordsPerExpire {
		return structs.Result{Dropped: 1}
	}
	return structs.Result{}
}

// ExpireDue reports whether an Expire at nowMS would remove job, key, claim or
// change records.
func (t *Tables) ExpireDue(nowMS int64) bool {
	expired := func(ms int64, retention int64) bool { return ms+retention <= nowMS }
	changeRetention := structs.ChangeRetention.Milliseconds()
	if e := t.finished.Front(); e != nil {
		if t.finished.Len() > structs.MaxFinishedJobs || t.counts.finishedTasks > maxFinishedTasks || expired(e.Value.(*jobRec).FinishedMS, changeRetention) {
			return true
		}
	}
	if e := t.keyOrder.Front(); e != nil {
		if t.keyOrder.Len() > maxFinishedKeys || expired(e.Value.(*keyRec).FinishedMS, changeRetention) {
			return true
		}
	}
	if e := t.claimOrder.Front(); e != nil && expired(e.Value.(*claimRec).ClaimedMS, claimRetention.Milliseconds()) {
		return true
	}
	return len(t.changeOrder) > structs.MinChangeIDs && expired(t.changes[t.changeOrder[0]].AtMS, changeRetention)
}

func (t *Tables) pastRetention(ms int64) bool {
	return ms+structs.ChangeRetention.Milliseconds() <= t.nowMS
}

func (t *Tables) expireJob() bool {
	e := t.finished.Front()
	if e == nil {
		return false
	}
	j := e.Value.(*jobRec)
	overLimit := t.finished.Len() > structs.MaxFinishedJobs || t.counts.finishedTasks > maxFinishedTasks
	if !overLimit && !t.pastRetention(j.FinishedMS) {
		return false
	}
	t.counts.finishedTasks -= len(j.tasks)
	t.finished.Remove(e)
	t.jobOrder.Remove(j.orderElem)
	j.owner.jobs.Remove(j.ownerElem)
	delete(t.jobs, j.ID)
	return true
}

func (t *Tables) expireKey() bool {
	e := t.keyOrder.Front()
	if e == nil {
		return false
	}
	k := e.Value.(*keyRec)
	if t.keyOrder.Len() <= maxFinishedKeys && !t.pastRetention(k.FinishedMS) {
		return false
	}
	t.keyOrder.Remove(e)
	t.unlinkKey(k)
	if j := t.jobs[k.Job]; j != nil {
		j.key = nil
	}
	return true
}

func (t *Tables) expireClaim() bool {
	e := t.claimOrder.Front()
	if e == nil {
		return false
	}
	r := e.Value.(*claimRec)
	if r.ClaimedMS+claimRetention.Milliseconds() > t.nowMS {
		return false
	}
	t.removeClaim(r)
	return true
}

func (t *Tables) expireChange() bool {
	if len(t.changeOrder) <= structs.MinChangeIDs {
		return false
	}
	id := t.changeOrder[0]
	if !t.pastRetention(t.changes[id].AtMS) {
		return false
	}
	delete(t.changes, id)
	t.changeOrder = t.changeOrder[1:]
	return true
}

// expireWorkers removes workers that have not been live for the retention time
// and have no attempts.
func (t *Tables) expireWorkers() {
	kept := t.workerList[:0:0]
	for _, w := range t.workerList {
		r := t.workers[w.ID]
		if w.Live || len(r.attempts) > 0 || !t.pastRetention(w.EndedMS) {
			kept = append(kept, w)
			continue
		}
		t.removeWorkerCapacity(w.Capacity)
		t.markChanged(r)
		delete(t.workers, w.ID)
	}
	t.workerList = kept
}

// expireOwners removes the index records of owners and entries that nothing refers to.
func (t *Tables) expireOwners() {
	for name, o := range t.owners {
		if _, ok := t.catalogue.Owners[name]; !ok && o.jobs.Len() == 0 && o.claims == 0 {
			delete(t.owners, name)
		}
	}
	for name, e := range t.entries {
		if _, ok := t.catalogue.Entries[name]; !ok && e.liveJobs == 0 && e.queued == 0 {
			delete(t.entries, name)
		}
	}
}

// trimOccurrences removes the oldest occurrences beyond maxKeptOccurrences, as
// long as they are finished.
func (t *Tables) trimOccurrences(j *jobRec) {
	for len(j.tasks) > maxKeptOccurrences && j.tasks[0].Status.Finished() {
		j.counts[statusIndex(j.tasks[0].Status)]--
		j.tasks[0] = nil
		j.tasks = j.tasks[1:]
		j.base++
		t.counts.finishedTasks--
	}
}

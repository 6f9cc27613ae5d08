package state

import (
	"container/list"
	"crypto/sha256"
	"encoding/json"
	"fmt"

	"gooseberrypond/core/structs"
)

const (
	stepSubmit = "submit job"
	stepCancel = "cancel job"

	// defaultMaxPendingJobs bounds an owner's unfinished jobs when the catalogue sets no bound.
	defaultMaxPendingJobs = 20_000
	// maxOwnerTasks bounds the unfinished tasks of one owner, so that one owner cannot fill the tables.
	maxOwnerTasks = 100_000
	// maxLiveTasks bounds all unfinished tasks. At about 0.4 KB per task the tables stay within 256 MB.
	maxLiveTasks = 250_000
	// maxPayloadBytes is the largest payload of one job.
	maxPayloadBytes = 64 << 10
	// maxOwnerPayloadBytes and maxTotalPayloadBytes bound the payloads of unfinished jobs per owner and in total.
	maxOwnerPayloadBytes = 16 << 20
	maxTotalPayloadBytes = 64 << 20
	// maxKeyBytes is the longest idempotency key or change id.
	maxKeyBytes = 256
	// minEveryMS is the shortest period of a recurring job, in milliseconds.
	minEveryMS = 1000
	// maxOverdueOccurrences is the largest number of occurrences that may already be overdue at submission.
	maxOverdueOccurrences = 10_000
	// queueRetryMS is the suggested retry delay when a limit on queued work is reached, in milliseconds.
	queueRetryMS = 5000

	// maxCPUMilli, maxMemoryMB and maxAccelerators bound declared sizes. They are
	// far above any host, so that sums over all tasks cannot overflow.
	maxCPUMilli     = 1 << 30
	maxMemoryMB     = 1 << 36
	maxAccelerators = 1 << 20
)

// keyRec is an idempotency key with the job that it named. It is kept longer
// than the job when a bound on finished jobs removes the job before its
// retention ends. It is not changed in place once the job has finished, because
// images of the tables share it.
type keyRec struct {
	Owner      string
	Key        string
	Digest     [sha256.Size]byte
	Job        structs.JobID
	FinishedMS int64
	// rank is the position among the records of the same owner and key.
	rank      int
	orderElem *list.Element
}

func failure(code structs.ErrorCode, step, format string, args ...any) structs.Result {
	return structs.Result{Error: structs.Errorf(code, step, format, args...).WithOutcome(structs.OutcomeNotRun)}
}

func exceedsMaxSize(r structs.Resources) bool {
	return r.CPUMilli > maxCPUMilli || r.MemoryMB > maxMemoryMB || r.Accelerators > maxAccelerators
}

func (t *Tables) applySubmitJobs(c *structs.SubmitJobs) structs.Result {
	out := make([]structs.SubmitResult, len(c.Jobs))
	for i := range c.Jobs {
		out[i] = t.submit(&c.Jobs[i], i)
	}
	return structs.Result{Submits: out}
}

func (t *Tables) submit(s *structs.SubmitJob, n int) structs.SubmitResult {
	refuse := func(err *structs.Error) structs.SubmitResult {
		return structs.SubmitResult{Error: err.WithOutcome(structs.OutcomeNotRun)}
	}
	owner := t.ResolveOwner(s.Owner)
	if owner == "" {
		return refuse(structs.Errorf(structs.CodeUnauthorized, stepSubmit, "owner %q is not in the catalogue", s.Owner))
	}
	if s.Key == "" || len(s.Key) > maxKeyBytes {
		return refuse(structs.Errorf(structs.CodeBadRequest, stepSubmit, "the idempotency key needs 1 to %d bytes, not %d", maxKeyBytes, len(s.Key)))
	}
	spec := s.Spec
	if spec.Count == 0 {
		spec.Count = 1
	}
	digest := specDigest(&spec)
	if res, found := t.findKey(ownerKey{owner, s.Key}, digest); found {
		return res
	}
	if err := t.checkSpec(owner, &spec); err != nil {
		return refuse(err)
	}
	if err := t.checkLimits(owner, &spec); err != nil {
		return refuse(err)
	}
	return structs.SubmitResult{Job: t.addJob(owner, s.Key, digest, spec, n)}
}

// findKey looks up an idempotency key. After a merge of owners several jobs
// may share one key; the one with the same specification is returned.
func (t *Tables) findKey(k ownerKey, digest [sha256.Size]byte) (structs.SubmitResult, bool) {
	recs := t.keys[k]
	for _, r := range recs {
		if r.Digest == digest {
			return structs.SubmitResult{Job: r.Job, Existing: true}, true
		}
	}
	if len(recs) == 0 {
		return structs.SubmitResult{}, false
	}
	err := structs.Errorf(structs.CodeKeyReused, stepSubmit, "key %q already names job %s with another specification", k.key, recs[0].Job)
	return structs.SubmitResult{Error: err.WithOutcome(structs.OutcomeNotRun)}, true
}

func specDigest(spec *structs.JobSpec) [sha256.Size]byte {
	// JobSpec holds only plain values, so Marshal cannot fail.
	data, _ := json.Marshal(spec)
	return sha256.Sum256(data)
}

func (t *Tables) checkSpec(owner string, spec *structs.JobSpec) *structs.Error {
	badRequest := func(format string, args ...any) *structs.Error {
		return structs.Errorf(structs.CodeBadRequest, stepSubmit, format, args...)
	}
	entry, ok := t.catalogue.Entries[spec.Entry]
	if !ok {
		return structs.Errorf(structs.CodeNotFound, stepSubmit, "entry %q is not in the catalogue", spec.Entry)
	}
	if entry.Owner != owner {
		return structs.Errorf(structs.CodeUnauthorized, stepSubmit, "entry %q belongs to owner %q, not to %q", spec.Entry, entry.Owner, owner)
	}
	if spec.Count < 0 || spec.Count > structs.MaxTasksPerJob {
		return badRequest("count %d is not within 1 to %d", spec.Count, structs.MaxTasksPerJob)
	}
	if len(spec.Payload) > maxPayloadBytes {
		return structs.Errorf(structs.CodeTooLarge, stepSubmit, "payload of %d bytes is above %d", len(spec.Payload), maxPayloadBytes)
	}
	if err := checkSize(spec.Resources); err != "" {
		return badRequest("resources: %s", err)
	}
	size := spec.Resources
	if size.IsZero() {
		size = entry.Resources
	}
	if size.CPUMilli == 0 && size.MemoryMB == 0 && size.Accelerators == 0 {
		return badRequest("entry %q declares no size and the job gives none", spec.Entry)
	}
	if quota := t.catalogue.Owners[owner].Quota; !WithinQuota(size, quota) {
		return structs.Errorf(structs.CodeQuota, stepSubmit, "one task of %v is over the quota %v of owner %q", size, quota, owner)
	}
	if spec.DeadlineMS < 0 {
		return badRequest("deadline_ms %d is negative", spec.DeadlineMS)
	}
	return t.checkKind(spec, badRequest)
}

func (t *Tables) checkKind(spec *structs.JobSpec, badRequest func(string, ...any) *structs.Error) *structs.Error {
	switch spec.Kind {
	case structs.KindBatch, structs.KindService:
		if spec.EveryMS != 0 || spec.FirstMS != 0 {
			return badRequest("every_ms and first_ms are only for kind %q", structs.KindRecurring)
		}
		return nil
	case structs.KindRecurring:
	default:
		return badRequest("kind %q is not one of %q, %q, %q", spec.Kind, structs.KindBatch, structs.KindService, structs.KindRecurring)
	}
	if spec.Count != 1 {
		return badRequest("count %d: a recurring job has one task per occurrence", spec.Count)
	}
	if spec.EveryMS < minEveryMS {
		return badRequest("every_ms %d is below %d", spec.EveryMS, minEveryMS)
	}
	if spec.FirstMS < 0 || spec.FirstMS > 0 && (t.nowMS-spec.FirstMS)/spec.EveryMS > maxOverdueOccurrences {
		return badRequest("first_ms %d lies more than %d occurrences in the past", spec.FirstMS, maxOverdueOccurrences)
	}
	if spec.EveryMS > maxScheduleMS || spec.FirstMS > t.nowMS+maxScheduleMS {
		return badRequest("every_ms and first_ms may be at most %d ms ahead", int64(maxScheduleMS))
	}
	return nil
}

// maxScheduleMS is the longest period of a recurring job, and the furthest that
// its first occurrence may be in the future: ten years, in milliseconds.
const maxScheduleMS = 10 * 366 * 24 * 3600 * 1000

func checkSize(r structs.Resources) string {
	if r.HasNegative() {
		return fmt.Sprintf("%v has a negative part", r)
	}
	if exceedsMaxSize(r) {
		return fmt.Sprintf("%v is larger than any host", r)
	}
	return ""
}

func (t *Tables) checkLimits(owner string, spec *structs.JobSpec) *structs.Error {
	queueFull := func(format string, args ...any) *structs.Error {
		return structs.Errorf(structs.CodeQueueFull, stepSubmit, format, args...).WithRetryAfter(queueRetryMS)
	}
	limit := t.catalogue.Owners[owner].MaxPendingJobs
	if limit == 0 {
		limit = defaultMaxPendingJobs
	}
	o := t.owner(owner)
	if o.liveJobs >= limit {
		return queueFull("owner %q has %d unfinished jobs, the limit is %d", owner, o.liveJobs, limit)
	}
	if o.liveTasks+spec.Count > maxOwnerTasks {
		return queueFull("owner %q has %d unfinished tasks, the limit is %d", owner, o.liveTasks, maxOwnerTasks)
	}
	if t.counts.liveTasks+spec.Count > maxLiveTasks {
		return queueFull("%d tasks are unfinished, the limit is %d", t.counts.liveTasks, maxLiveTasks)
	}
	if o.jobPayloadBytes+len(spec.Payload) > maxOwnerPayloadBytes {
		return queueFull("payloads of owner %q reach the limit of %d bytes", owner, maxOwnerPayloadBytes)
	}
	if t.counts.payloadBytes+len(spec.Payload) > maxTotalPayloadBytes {
		return queueFull("payloads of unfinished jobs reach the limit of %d bytes", maxTotalPayloadBytes)
	}
	return nil
}

func (t *Tables) addJob(owner, key string, digest [sha256.Size]byte, spec structs.JobSpec, n int) structs.JobID {
	id := structs.JobID(fmt.Sprintf("j%010d-%06d", t.index, n))
	if spec.Kind == structs.KindRecurring && spec.FirstMS == 0 {
		spec.FirstMS = t.nowMS
	}
	j := &jobRec{heapPos: -1}
	j.Job = &structs.Job{ID: id, Owner: owner, Key: key, Spec: spec, Status: structs.StatusPending, SubmittedMS: t.nowMS}
	t.linkJob(j)
	t.linkKey(&keyRec{Owner: owner, Key: key, Digest: digest, Job: id})
	if spec.Kind == structs.KindRecurring {
		t.addRecurring(j)
		return id
	}
	taskRecs := make([]taskRec, spec.Count)
	j.tasks = make([]*taskRec, 0, spec.Count)
	for i := range taskRecs {
		r := &taskRecs[i]
		r.job = j
		r.Task = structs.Task{ID: structs.TaskID{Job: id, Index: int64(i)}, Status: structs.StatusPending, PendingSinceMS: t.nowMS}
		t.addTask(r)
		t.enqueue(r)
	}
	return id
}

// linkJob adds a job to the tables and to the counters of its owner and entry.
func (t *Tables) linkJob(j *jobRec) {
	t.jobs[j.ID] = j
	j.orderElem = t.jobOrder.PushBack(j)
	j.owner = t.owner(j.Owner)
	j.ownerElem = j.owner.jobs.PushBack(j)
	if !j.Status.Finished() {
		j.owner.liveJobs++
		t.addPayloadBytes(j.owner, len(j.Spec.Payload))
		t.entry(j.Spec.Entry).liveJobs++
	}
}

func (t *Tables) addPayloadBytes(o *ownerRec, n int) {
	o.jobPayloadBytes += n
	t.counts.payloadBytes += n
}

// linkKey adds a key and links it to its job, if the job is still kept.
func (t *Tables) linkKey(k *keyRec) {
	t.appendKey(k)
	if j := t.jobs[k.Job]; j != nil {
		j.key = k
	}
}

func (t *Tables) appendKey(k *keyRec) {
	key := ownerKey{k.Owner, k.Key}
	recs := t.keys[key]
	if n := len(recs); n > 0 {
		k.rank = recs[n-1].rank + 1
	}
	t.keys[key] = append(recs, k)
}

func (t *Tables) applyCancelJob(c *structs.CancelJob) structs.Result {
	j := t.jobs[c.Job]
	if j == nil || j.Owner != t.ResolveOwner(c.Owner) {
		return failure(structs.CodeNotFound, stepCancel, "owner %q has no job %s", c.Owner, c.Job)
	}
	if j.Status.Finished() || j.Cancelled {
		return structs.Result{}
	}
	j.Cancelled = true
	t.removeRecurring(j)
	for _, r := range j.tasks {
		switch {
		case r.queued:
			t.dequeue(r)
			t.setStatus(r, structs.StatusCancelled)
		case r.State != structs.AttemptNone:
			r.State = structs.AttemptStopping
		}
	}
	t.updateJob(j)
	return structs.Result{}
}

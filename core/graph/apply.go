package graph

import (
	"slices"
)

// Result is the outcome of applying a batch.
type Result struct {
	// Started lists the attempts that the batch created.
	Started []*Attempt
	// ToStop lists the attempts to stop because their job or task has ended.
	ToStop []*Attempt
	// Dropped counts the parts of the batch that were ignored because they no
	// longer applied to the current state.
	Dropped int
	// Finished lists the jobs that reached a final state.
	Finished []*Job
	// Crashes is the number of crashes that were counted, WeakCrashes that of the others.
	// CrashLoops lists the tasks whose jobs failed because of them.
	Crashes, WeakCrashes int
	CrashLoops           []CrashLoop
	// DomainsOutdated is set if the changes of failure domains had no effect because of their
	// term.
	DomainsOutdated bool
}

// Apply applies the batch with the given log index.
func (t *Tables) Apply(index uint64, b *Batch) *Result {
	t.index, t.nowMS = index, max(t.nowMS, b.NowMS)
	r := &Result{}
	for i := range b.Workers {
		t.applyWorker(&b.Workers[i])
	}
	if b.Config != nil {
		t.applyConfig(b.Config)
	}
	t.applyDomains(b, r)
	for i := range b.Submits {
		t.submit(&b.Submits[i], r)
	}
	for _, id := range b.Cancels {
		if j := t.live[id]; j != nil {
			t.finish(j, JobCancelled, r)
		}
	}
	for _, w := range b.Withdrawals {
		t.applyWithdrawal(w, r)
	}
	for i := range b.Ends {
		t.applyEnd(&b.Ends[i], r)
	}
	for i := range b.Crashes {
		t.applyCrash(&b.Crashes[i], false, r)
	}
	for i := range b.WeakCrashes {
		t.applyCrash(&b.WeakCrashes[i], true, r)
	}
	for i := range b.Releases {
		t.applyRelease(&b.Releases[i], r)
	}
	for i := range b.Waits {
		t.applyWait(&b.Waits[i], r)
	}
	for _, o := range b.Occurrences {
		t.applyOccurrence(o, r)
	}
	t.applyStarts(b.Starts, r)
	for _, id := range b.Begun {
		t.applyBegun(id, r)
	}
	if b.ForgetBeforeMS > 0 {
		t.forget(b.ForgetBeforeMS)
	}
	if b.ForgetWithdrawals > 0 {
		t.withdrawn.forget(b.ForgetWithdrawals)
	}
	if len(b.Pressures) > 0 {
		t.pressures = b.Pressures
	}
	if len(b.Expected) > 0 {
		t.expected = b.Expected
	}
	return r
}

func (t *Tables) applyWorker(c *WorkerChange) {
	w := t.byID[c.Report.ID]
	switch {
	case w != nil && w.Born > c.Report.Born:
		return
	case w == nil || w.Born < c.Report.Born:
		if c.Left {
			return
		}
		if w != nil {
			w.Left = true
			t.removeIfLeft(w)
		}
		t.lastHandle++
		w = &Worker{Handle: t.lastHandle, Attempts: map[*Attempt]struct{}{}}
		t.workers[w.Handle] = w
		t.byID[c.Report.ID] = w
	}
	draining := w.Draining
	w.WorkerReport = c.Report
	w.Draining = w.Draining || draining // draining is permanent for an incarnation
	if c.Left {
		w.Left = true
		t.removeIfLeft(w)
	}
}

// removeIfLeft removes an incarnation that has left once it has no attempts.
func (t *Tables) removeIfLeft(w *Worker) {
	if !w.Left || len(w.Attempts) > 0 {
		return
	}
	delete(t.workers, w.Handle)
	if t.byID[w.ID] == w {
		delete(t.byID, w.ID)
	}
}

func (t *Tables) applyConfig(c *Config) {
	if t.config != nil && c.Version <= t.config.Version {
		return
	}
	c.index()
	t.config = c
	for _, j := range t.live {
		if q := c.QueueByName(j.Spec.Queue); q != nil {
			j.Queue = *q
		}
	}
}

func (t *Tables) applyDomains(b *Batch, r *Result) {
	if len(b.Domains) > 0 && b.DomainTerm != 0 && b.DomainTerm < t.domainTerm {
		r.DomainsOutdated = true
		return
	}
	for _, d := range b.Domains {
		t.domainTerm = max(t.domainTerm, b.DomainTerm)
		if d.Out {
			t.domains[d.Name] = true
		} else {
			delete(t.domains, d.Name)
		}
	}
}

func (t *Tables) submit(s *Spec, r *Result) {
	if t.jobs[s.ID] != nil {
		return
	}
	if t.IsWithdrawn(s) {
		r.Dropped++
		return
	}
	j := &Job{Spec: *s, AcceptedMS: t.nowMS, State: JobQueued, open: max(s.Times, 1)}
	if t.config != nil {
		if q := t.config.QueueByName(s.Queue); q != nil {
			j.Queue = *q
		}
	}
	t.jobs[s.ID], t.live[s.ID] = j, j
	t.keptBytes += int64(s.Bytes())
	t.pending[s.Queue]++
	if s.Times > 0 {
		t.recurring[s.ID] = j
		return
	}
	t.addOccurrence(j, 0, t.nowMS)
}

func (t *Tables) addOccurrence(j *Job, number int, dueMS int64) {
	o := &Occurrence{Job: j, Number: number, DueMS: dueMS, open: len(j.Spec.Steps)}
	for i := range j.Spec.Steps {
		st := &j.Spec.Steps[i]
		s := &StepState{Step: st, Occurrence: o, Number: i, Tasks: make([]Task, st.Count), Open: st.Count, Waiting: st.Count}
		o.Steps = append(o.Steps, s)
	}
	j.Occurrences = append(j.Occurrences, o)
	t.updateReady(o)
}

// updateReady marks the steps whose dependencies are done.
func (t *Tables) updateReady(o *Occurrence) {
	for _, s := range o.Steps {
		if s.Ready {
			continue
		}
		s.Ready = !slices.ContainsFunc(s.DependsOn, func(i int) bool { return o.Steps[i].Open > 0 })
		t.enqueueStep(s)
	}
}

func (t *Tables) applyOccurrence(d OccurrenceDue, r *Result) {
	j := t.live[d.Job]
	if j == nil || d.Number < 0 || d.Number >= j.Spec.Times || j.hasOccurrence(d.Number) {
		r.Dropped++
		return
	}
	t.addOccurrence(j, d.Number, j.Spec.StartAtMS+int64(d.Number)*j.Spec.IntervalMS)
	if len(j.Occurrences) == j.Spec.Times {
		delete(t.recurring, d.Job)
	}
}

// hasOccurrence looks from the end, since occurrences are added in the order of their
// numbers: the search is short however many there are.
func (j *Job) hasOccurrence(number int) bool {
	for _, o := range slices.Backward(j.Occurrences) {
		if o.Number <= number {
			return o.Number == number
		}
	}
	return false
}

func (t *Tables) applyStart(st *Start, r *Result) {
	s, task := t.task(st.Task)
	w := t.workers[st.Worker]
	if s == nil || w == nil || w.Left || !s.Ready || !s.Occurrence.Job.Live() || task.Done || st.Run <= task.LastRun ||
		(len(task.Attempts) > 0 && !s.Speculative) {
		r.Dropped++
		return
	}
	a := &Attempt{Step: s, Index: st.Task.Index, Run: st.Run, Worker: w, StartedMS: t.nowMS, Resumed: task.Checkpoint}
	t.attach(a)
	task.LastRun = st.Run
	r.Started = append(r.Started, a)
}

func (t *Tables) applyBegun(id JobID, r *Result) {
	j := t.live[id]
	if j == nil {
		r.Dropped++
		return
	}
	t.begin(j)
}

// begin records that a worker has begun a task of a job.
func (t *Tables) begin(j *Job) {
	if j.State == JobQueued {
		j.State = JobRunning
		t.decrementPending(j)
	}
}

func (t *Tables) attach(a *Attempt) {
	task := a.Task()
	if len(task.Attempts) == 0 && !task.Done {
		a.Step.Waiting--
	}
	task.Attempts = append(task.Attempts, a)
	a.Worker.add(a)
	t.addUsage(a.Step, 1)
}

// detach removes an attempt that is no longer running.
func (t *Tables) detach(a *Attempt) {
	task := a.Task()
	a.ended = true
	task.EndedMS = t.nowMS
	t.resetCrashes(a)
	task.Attempts = slices.DeleteFunc(task.Attempts, func(x *Attempt) bool { return x == a })
	a.Worker.remove(a)
	t.addUsage(a.Step, -1)
	t.removeIfLeft(a.Worker)
	if len(task.Attempts) == 0 && !task.Done {
		a.Step.Waiting++
		if a.Step.Occurrence.Job.Live() {
			t.enqueueStep(a.Step)
		}
	}
}

// attemptOnWorker returns the attempt that an end or release refers to, or nil
// if there is none or it is on another worker.
func (t *Tables) attemptOnWorker(ref TaskRef, run int, h Handle) *Attempt {
	a := t.Attempt(ref, run)
	if a == nil || a.Worker.Handle != h {
		return nil
	}
	return a
}

func (t *Tables) applyRelease(x *Release, r *Result) {
	a := t.attemptOnWorker(x.Task, x.Run, x.Worker)
	if a == nil {
		r.Dropped++
		return
	}
	t.saveCheckpoint(a, x.Checkpoint)
	t.detach(a)
}

func (t *Tables) applyWait(x *Wait, r *Result) {
	_, task := t.task(x.Task)
	if task == nil || task.Done || len(task.Attempts) > 0 || x.SinceMS > task.EndedMS {
		r.Dropped++
		return
	}
	task.EndedMS = x.SinceMS
}

func (t *Tables) saveCheckpoint(a *Attempt, checkpoint string) {
	if checkpoint == "" {
		return
	}
	if !a.Step.Gang {
		a.Task().Checkpoint = checkpoint
		return
	}
	for i := range a.Step.Tasks {
		a.Step.Tasks[i].Checkpoint = checkpoint
	}
}

func (t *Tables) applyEnd(e *End, r *Result) {
	a := t.attemptOnWorker(e.Task, e.Run, e.Worker)
	if a == nil {
		t.completeReleased(e, r)
		return
	}
	t.saveCheckpoint(a, e.Checkpoint)
	task, s := a.Task(), a.Step
	t.begin(s.Occurrence.Job)
	switch e.Kind {
	case EndDone:
		t.completeAttempt(a, r)
	case EndFailed:
		t.detach(a)
		task.LastWorker = a.Worker.Handle
		if !task.Done {
			t.countFailure(s, a.Index, r)
		}
	default:
		t.detach(a)
	}
}

// completeReleased marks a task done whose run was released and has ended done after all, on
// a worker that carried its start out late.
func (t *Tables) completeReleased(e *End, r *Result) {
	if e.Kind != EndDone || !t.AcceptsReleasedEnd(e.Task, e.Run) {
		r.Dropped++
		return
	}
	s, _ := t.task(e.Task)
	t.begin(s.Occurrence.Job)
	t.markDone(s, e.Task.Index, r)
}

// AcceptsReleasedEnd reports whether the end done of a run without an attempt completes its
// task, which must have no other one. Members of gangs end together, and tasks of long-running
// steps are never done.
func (t *Tables) AcceptsReleasedEnd(ref TaskRef, run int) bool {
	s, task := t.task(ref)
	return task != nil && !task.Done && run <= task.LastRun && len(task.Attempts) == 0 &&
		!s.Gang && !s.LongRunning && s.Occurrence.Job.Live()
}

// completeAttempt marks the task of an attempt done. If the step is a gang, the
// end of one member marks all members done. A task of a long-running step is
// never done; it waits to be placed again.
func (t *Tables) completeAttempt(a *Attempt, r *Result) {
	s := a.Step
	if s.LongRunning {
		t.detach(a)
		return
	}
	if s.Gang {
		for i := range s.Tasks {
			t.markDone(s, i, r)
		}
	} else {
		t.markDone(s, a.Index, r)
	}
	t.detach(a)
}

func (t *Tables) markDone(s *StepState, index int, r *Result) {
	task := &s.Tasks[index]
	if task.Done {
		return
	}
	if len(task.Attempts) == 0 {
		s.Waiting--
	}
	task.Done = true
	r.ToStop = append(r.ToStop, task.Attempts...)
	s.Open--
	if s.Open > 0 {
		return
	}
	o := s.Occurrence
	o.open--
	if o.open > 0 {
		t.updateReady(o)
		return
	}
	j := o.Job
	j.open--
	if j.open == 0 && j.Live() {
		t.finish(j, JobCompleted, r)
	}
}

// countFailure counts a failed run and fails the job at the queue's limit of
// attempts. Tasks of long-running steps never fail the job.
func (t *Tables) countFailure(s *StepState, index int, r *Result) {
	task := &s.Tasks[index]
	task.Failures++
	j := s.Occurrence.Job
	if s.LongRunning || !j.Live() || j.Queue.Attempts <= 0 || task.Failures < j.Queue.Attempts {
		return
	}
	t.finish(j, JobFailed, r)
}

// finish moves a job to a final state.
func (t *Tables) finish(j *Job, state JobState, r *Result) {
	if j.State == JobQueued {
		t.decrementPending(j)
	}
	j.State, j.EndedMS = state, max(t.nowMS, 1)
	delete(t.live, j.Spec.ID)
	delete(t.recurring, j.Spec.ID)
	t.ended = append(t.ended, j)
	r.Finished = append(r.Finished, j)
	for _, o := range j.Occurrences {
		for _, s := range o.Steps {
			for i := range s.Tasks {
				r.ToStop = append(r.ToStop, s.Tasks[i].Attempts...)
			}
		}
	}
}

func (t *Tables) decrementPending(j *Job) {
	q := j.Spec.Queue
	t.pending[q]--
	if t.pending[q] <= 0 {
		delete(t.pending, q)
	}
}

// forget drops the tasks and payloads of jobs that ended before the given time.
// Their ids, owners and states are kept, so that an id submitted again is never taken
// for a new job.
func (t *Tables) forget(beforeMS int64) {
	n := 0
	for _, j := range t.ended {
		if j.EndedMS >= beforeMS || j.hasAttempts() {
			t.ended[n] = j
			n++
			continue
		}
		j.Occurrences = nil
		t.keptBytes -= int64(j.Spec.Bytes())
		j.Spec = Spec{ID: j.Spec.ID, Queue: j.Spec.Queue, Organisation: j.Spec.Organisation}
	}
	clear(t.ended[n:])
	t.ended = t.ended[:n]
}

// hasAttempts reports whether an attempt of the job may still be running.
func (j *Job) hasAttempts() bool {
	for _, o := range j.Occurrences {
		for _, s := range o.Steps {
			for i := range s.Tasks {
				if len(s.Tasks[i].Attempts) > 0 {
					return true
				}
			}
		}
	}
	return false
}

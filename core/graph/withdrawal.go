package graph

import "slices"

// MaxWithdrawals is the largest number of withdrawals that are kept.
const MaxWithdrawals = 1 << 17

// Withdrawal records that a caller has cancelled a job that is not known, and was told
// that there is none. Its submission may still be under way: it is then refused.
type Withdrawal struct {
	_   struct{} `cbor:",toarray"`
	Job JobID
	// Queue and Organisation are those of the cancelling call. The withdrawal holds for
	// submissions that this caller could cancel, and for no other caller's.
	Queue        string
	Organisation string
}

// withdrawals are kept in the order in which they were made.
type withdrawals struct {
	// ordered has those numbered first, first+1, and so on.
	ordered []Withdrawal
	first   uint64
	byJob   map[JobID][]Withdrawal
}

func (w *withdrawals) add(x Withdrawal) {
	w.ordered = append(w.ordered, x)
	w.byJob[x.Job] = append(w.byJob[x.Job], x)
}

// forget drops the withdrawals up to the number last.
func (w *withdrawals) forget(last uint64) {
	n := 0
	for n < len(w.ordered) && w.first+uint64(n) <= last {
		w.dropOldest(w.ordered[n].Job)
		n++
	}
	w.ordered = slices.Clone(w.ordered[n:])
	w.first += uint64(n)
}

func (w *withdrawals) dropOldest(id JobID) {
	if w.byJob[id] = w.byJob[id][1:]; len(w.byJob[id]) == 0 {
		delete(w.byJob, id)
	}
}

// Withdrawals returns the numbers of the oldest withdrawal that is kept and of the next
// one. They are equal if none is kept.
func (t *Tables) Withdrawals() (first, next uint64) {
	return t.withdrawn.first, t.withdrawn.first + uint64(len(t.withdrawn.ordered))
}

// IsWithdrawn reports whether a caller who could cancel the job has done so before it was
// known.
func (t *Tables) IsWithdrawn(s *Spec) bool {
	return slices.ContainsFunc(t.withdrawn.byJob[s.ID], func(w Withdrawal) bool {
		return t.maySee(&Job{Spec: *s}, w)
	})
}

// maySee reports whether the caller who made a withdrawal may see the job.
func (t *Tables) maySee(j *Job, w Withdrawal) bool {
	if t.config == nil {
		return true
	}
	q := t.config.QueueByName(w.Queue)
	if q == nil {
		q = &Queue{Name: w.Queue}
	}
	return t.config.MaySee(j, q, w.Organisation)
}

// applyWithdrawal cancels the job if it is known by now.
func (t *Tables) applyWithdrawal(w Withdrawal, r *Result) {
	j := t.jobs[w.Job]
	switch {
	case j == nil && len(t.withdrawn.ordered) < MaxWithdrawals:
		t.withdrawn.add(w)
	case j == nil:
		r.Dropped++
	case j.Live() && t.maySee(j, w):
		t.finish(j, JobCancelled, r)
	}
}

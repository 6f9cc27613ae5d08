package graph

import (
	"bytes"
	"fmt"
	"testing"
)

func job(id JobID, queue, organisation string) Spec {
	return Spec{ID: id, Queue: queue, Organisation: organisation, Steps: twoSteps()}
}

// restored returns tables that were written to a snapshot and read again.
func (w *fixture) restored() *Tables {
	w.t.Helper()
	data, err := w.tables.Encode()
	if err != nil {
		w.t.Fatal(err)
	}
	t, err := Decode(data)
	if err != nil {
		w.t.Fatal(err)
	}
	return t
}

// Guards against a job that runs although its caller was told that there is none: the
// submission is applied after the cancel, also on tables from a snapshot.
func TestSubmissionAfterItsWithdrawalIsRefused(t *testing.T) {
	for _, snapshot := range []bool{false, true} {
		w := newFixture(t)
		w.apply(&Batch{Withdrawals: []Withdrawal{{Job: jobA, Queue: "q"}}})
		if snapshot {
			w.tables = w.restored()
		}
		if w.tables.Job(jobA) != nil {
			t.Error("a job that nobody submitted is shown")
		}
		w.apply(&Batch{Submits: []Spec{job(jobA, "q", "")}})
		if w.tables.Job(jobA) != nil {
			t.Errorf("the job is accepted after its cancel, from a snapshot: %t", snapshot)
		}
	}
}

// Guards against a cancel that finds no job since the submission was still queued, and
// leaves it running.
func TestWithdrawalCancelsAJobThatIsKnownByThen(t *testing.T) {
	w := newFixture(t)
	w.apply(&Batch{Submits: []Spec{job(jobA, "q", "")}, Withdrawals: []Withdrawal{{Job: jobA, Queue: "q"}}})
	if j := w.tables.Job(jobA); j == nil || j.State != JobCancelled {
		t.Errorf("the job is %+v, want cancelled", j)
	}
}

// Guards against a caller who keeps others from using an id, and against one whose job
// runs since it cancelled it on another of its queues.
func TestWithdrawalHoldsForItsCallerOnly(t *testing.T) {
	w := newFixture(t)
	queues := []Queue{{Name: "q", Pool: "p"}, {Name: "other", Pool: "p"}}
	w.apply(&Batch{Config: &Config{Version: 2, Queues: queues, Organisations: []Organisation{{Name: "a"}, {Name: "b"}}}})
	w.apply(&Batch{Withdrawals: []Withdrawal{{Job: jobA, Queue: "q", Organisation: "a"}}})
	for _, c := range []struct {
		job     Spec
		refused bool
	}{
		{job(jobA, "q", "a"), true},
		{job(jobA, "other", "a"), true},
		{job("00000000000000a2", "q", "a"), false},
		{job(jobA, "q", "b"), false},
	} {
		w.apply(&Batch{Submits: []Spec{c.job}})
		if refused := w.tables.Job(c.job.ID) == nil; refused != c.refused {
			t.Errorf("job %s on %s of %s: refused is %t, want %t", c.job.ID, c.job.Queue, c.job.Organisation, refused, c.refused)
		}
	}
	w.apply(&Batch{Withdrawals: []Withdrawal{{Job: jobA, Queue: "q", Organisation: "a"}}})
	if !w.tables.Job(jobA).Live() {
		t.Error("the job of another organisation was cancelled")
	}
}

// Guards against replicas that differ once withdrawals are forgotten, some of them from a
// snapshot, and against withdrawals without a limit.
func TestForgottenWithdrawals(t *testing.T) {
	w := newFixture(t)
	withdraw := func(ids ...int) {
		var b Batch
		for _, i := range ids {
			b.Withdrawals = append(b.Withdrawals, Withdrawal{Job: JobID(fmt.Sprintf("%016x", i)), Queue: "q"})
		}
		w.apply(&b)
	}
	withdraw(1, 2, 1, 3)
	w.apply(&Batch{ForgetWithdrawals: 2})
	for i, kept := range []bool{1: true, 2: false, 3: true} {
		if s := job(JobID(fmt.Sprintf("%016x", i)), "q", ""); w.tables.IsWithdrawn(&s) != kept {
			t.Errorf("job %d: withdrawn is %t, want %t", i, !kept, kept)
		}
	}
	other := &fixture{t: t, tables: w.restored(), index: w.index, nowMS: w.nowMS}
	for _, r := range []*fixture{w, other} {
		r.apply(&Batch{Withdrawals: []Withdrawal{{Job: "0000000000000004"}, {Job: "0000000000000005"}}})
		r.apply(&Batch{ForgetWithdrawals: 5})
	}
	a, err := w.tables.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if b, err := other.tables.Encode(); err != nil || !bytes.Equal(a, b) {
		t.Errorf("a replica from a snapshot differs (%v)", err)
	}
	var many Batch
	for i := range MaxWithdrawals + 10 {
		many.Withdrawals = append(many.Withdrawals, Withdrawal{Job: JobID(fmt.Sprintf("%016x", 1000+i))})
	}
	w.apply(&many)
	if first, next := w.tables.Withdrawals(); next-first != MaxWithdrawals {
		t.Errorf("%d withdrawals are kept, want %d", next-first, MaxWithdrawals)
	}
}

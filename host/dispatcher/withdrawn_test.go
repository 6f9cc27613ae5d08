package dispatcher

import (
	"fmt"
	"sync"
	"testing"

	"gooseberrypond/core/graph"
)

// Guards against a job that runs after its caller was told that there is none: its
// submission is carried out later, by another leader or by one that was started again
// from a snapshot.
func TestLateSubmissionOfACancelledJobIsRefused(t *testing.T) {
	g := &sharedLog{}
	old, next := g.newMember(t), g.newMember(t)
	old.lead(t, 1)
	old.put(t, keyed(1, keptKey))
	caller := func(m *member) Caller { return m.d.Caller(graph.HashKey(keptKey)) }
	if a := caller(old).Cancel(t.Context(), "h", jobOfA); a.Code != NoJob {
		t.Fatalf("cancel of an unknown job answered %s, want no job", a.Code)
	}
	restarted := g.newMember(t)
	restarted.restore(t, old)
	for term, m := range []*member{old, next, restarted} {
		m.lead(t, uint64(term)+2)
		if a := caller(m).Submit(t.Context(), "h", jobOfA, oneTask); a.Code != Withdrawn {
			t.Errorf("member %d answered %s, want withdrawn", term, a.Code)
		}
		if a := caller(m).Look("h", jobOfA); a.Code != NoJob {
			t.Errorf("member %d shows a job that was not accepted: %s", term, a.Code)
		}
		if a := m.d.Caller(graph.HashKey(keyOfB)).Submit(t.Context(), "h", fmt.Sprintf("/q/%016x", 0xb0+term), oneTask); a.Code != Done {
			t.Errorf("member %d answered another job with %s, want done", term, a.Code)
		}
	}
}

// Guards against a job that runs on after its cancel was answered, since its submission
// was queued or in the log while the cancel was decided.
func TestCancelBesideItsSubmission(t *testing.T) {
	d, _ := startSingleReplica(t)
	putQueue(t, d)
	for i := range 200 {
		path := fmt.Sprintf("/q/%016x", i)
		var wg sync.WaitGroup
		var submitted, cancelled Answer
		wg.Go(func() { submitted = d.Submit(t.Context(), "h", path, oneTask) })
		wg.Go(func() { cancelled = d.Cancel(t.Context(), "h", path) })
		wg.Wait()
		if cancelled.Code != Done && cancelled.Code != NoJob || submitted.Code != Done && submitted.Code != Withdrawn {
			t.Fatalf("submission answered %s, cancel %s", submitted.Code, cancelled.Code)
		}
		if a := d.Look("h", path); a.Code != NoJob && a.State != graph.JobCancelled {
			t.Fatalf("after the cancel was answered %s the job is %s", cancelled.Code, a.State)
		}
	}
}

// Guards against an answer that says that a job will not run while nothing more can be
// recorded.
func TestCancelWithoutRoomIsNotAnswered(t *testing.T) {
	d, _ := startSingleReplica(t)
	putQueue(t, d)
	var full graph.Batch
	for i := range graph.MaxWithdrawals {
		full.Withdrawals = append(full.Withdrawals, graph.Withdrawal{Job: graph.JobID(fmt.Sprintf("%016x", 1000+i))})
	}
	data, err := full.Encode()
	if err != nil {
		t.Fatal(err)
	}
	d.Apply(1<<40, data)
	if a := d.Cancel(t.Context(), "h", jobOfA); a.Code != NotApplied {
		t.Errorf("answered %s, want not taken", a.Code)
	}
	if a := d.Submit(t.Context(), "h", jobOfA, oneTask); a.Code != Done {
		t.Errorf("submission answered %s, want done", a.Code)
	}
	if a := d.Cancel(t.Context(), "h", jobOfA); a.Code != Done {
		t.Errorf("cancel of a known job answered %s, want done", a.Code)
	}
}

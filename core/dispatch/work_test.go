package dispatch

import (
	"testing"
	"time"

	"gooseberrypond/core/graph"
)

// Guards against expected work that is lost with the leader or in a snapshot, or that is
// not learned from the runs that ended done.
func TestExpectedWorkSurvivesElectionAndSnapshot(t *testing.T) {
	r := newRig(t)
	a := r.register("a", 1)
	for i := range 40 { // tasks estimated at 4 s that take 1 s
		r.submit(rid(i), longStep(1, 1000, 4*time.Second))
		r.commitPlan()
		r.acceptOrders()
		r.advance(time.Second)
		r.endRun(a, graph.TaskRef{Job: rid(i)}, graph.EndDone)
		r.hold(a)
	}
	r.advance(pressureSaveInterval)
	r.commitPlan()
	expected := func() int64 {
		r.submit(rid(100), longStep(1, 1000, 4*time.Second))
		return r.core.ExpectedWork(r.tables.Job(rid(100)).Occurrences[0].Steps[0]).MeanMS
	}
	before := expected()
	if before < 900 || before > 1300 {
		t.Errorf("%d ms are expected of tasks that take 1 s", before)
	}
	if s := r.core.Stats; s.WorkRuns != 40 || s.WorkError > s.EstimateError/2 {
		t.Errorf("error %.2f of %d runs, of the estimates %.2f", s.WorkError, s.WorkRuns, s.EstimateError)
	}
	data, err := r.tables.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if r.tables, err = graph.Decode(data); err != nil {
		t.Fatal(err)
	}
	r.elect(2)
	if after := expected(); after != before {
		t.Errorf("%d ms are expected before the election, %d ms after it", before, after)
	}
}

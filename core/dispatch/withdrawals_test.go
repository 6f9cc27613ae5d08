package dispatch

import (
	"testing"
	"time"

	"gooseberrypond/core/graph"
)

// Guards against a withdrawal that is forgotten while its submission may still be under
// way, after elections too, and against one that is kept for good.
func TestWithdrawalsAreKeptForTheirTime(t *testing.T) {
	r := newRig(t)
	spec := graph.Spec{ID: "00000000000000a1", Queue: "q"}
	r.apply(&graph.Batch{Withdrawals: []graph.Withdrawal{{Job: spec.ID, Queue: "q"}}})
	pass := func(d time.Duration) {
		for end := r.now.Add(d); r.now.Before(end); r.advance(forgetEvery) {
			r.commitPlan()
		}
	}
	pass(withdrawalRetention - time.Minute)
	r.elect(2)
	pass(withdrawalRetention - time.Minute)
	if !r.tables.IsWithdrawn(&spec) {
		t.Errorf("forgotten within %s of an election", withdrawalRetention)
	}
	pass(3 * time.Minute)
	if r.tables.IsWithdrawn(&spec) {
		t.Error("kept for longer than its time")
	}
}

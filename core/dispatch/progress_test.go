package dispatch

import (
	"testing"
	"time"

	"gooseberrypond/core/graph"
)

// Guards against tasks that make no progress on a worker that still answers calls.
// They must move within a few seconds, and the worker must be quarantined.
func TestStuckTasksMove(t *testing.T) {
	r := newRig(t)
	a := r.register("a", 1)
	r.submit(job1, step(2, 1000))
	r.commitPlan()
	r.acceptOrders()
	for ref, row := range r.lists[a].running {
		row.Percent = 7
		r.lists[a].running[ref] = row
	}
	b := r.register("b", 1)
	for range 6 { // 3 s
		r.advance(500 * time.Millisecond)
		r.hold(a)
		r.hold(b)
		r.commitPlan()
		r.acceptOrders()
	}
	as := r.attempts(job1)
	if len(as) != 2 {
		t.Fatalf("%d attempts, want 2", len(as))
	}
	for _, at := range as {
		if at.Worker.Handle != b {
			t.Errorf("stuck task %s has not moved from its worker", at.Ref())
		}
	}
	if r.core.usable(r.now, r.core.workers[a]) {
		t.Error("a worker with stuck tasks is still usable")
	}
}

// Guards against lost work: a run that makes progress and a filler that was
// deliberately slowed must not be abandoned.
func TestProgressingAndSlowedRunsAreKept(t *testing.T) {
	r := newRig(t)
	a := r.register("a", 1)
	slow := filler(1, 1000, "f")
	r.submit(job1, step(1, 1000))
	r.submit("00000000000000b1", slow)
	r.commitPlan()
	r.acceptOrders()
	for at, run := range r.core.workers[a].runs {
		if at.Step.Filler {
			run.pace = 0
		}
	}
	r.core.workers[a].serving["s"] = &servingState{headroom: 0.5, pace: -100, fillersPaused: true}
	for i := range 20 { // 10 s
		ref := graph.TaskRef{Job: job1}
		row := r.lists[a].running[ref]
		row.Percent = i
		r.lists[a].running[ref] = row
		r.advance(500 * time.Millisecond)
		r.hold(a)
		r.core.workers[a].serving["s"] = &servingState{headroom: 0.5, pace: -100, fillersPaused: true}
		r.commitPlan()
		r.acceptOrders()
	}
	if len(r.attempts(job1)) != 1 || r.attempts(job1)[0].Run != 1 || r.attempts("00000000000000b1")[0].Run != 1 {
		t.Error("a run that makes progress or was deliberately slowed was abandoned")
	}
}

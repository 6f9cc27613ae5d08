package dispatch

import (
	"testing"
	"time"

	"gooseberrypond/core/graph"
)

const job1 graph.JobID = "00000000000000a1"

// Guards against a lease that never expires because calls to a dead worker extend
// it although they get no answer.
func TestSilentWorkerLosesItsRuns(t *testing.T) {
	r := newRig(t)
	a := r.register("a", 1)
	r.submit(job1, step(1, 1000))
	r.commitPlan()
	r.acceptOrders()
	r.hold(a)
	b := r.register("b", 1)

	for range 140 { // 14 s
		r.advance(100 * time.Millisecond)
		if hold, wait, _ := r.core.NextHold(r.now, a); wait == 0 {
			r.core.HoldFailed(r.now, hold)
		}
		r.hold(b)
		r.commitPlan()
		r.acceptOrders()
	}
	as := r.attempts(job1)
	if len(as) != 1 || as[0].Worker.Handle != b || as[0].Run != 2 {
		t.Fatalf("after 14 s without an answer from its worker, the task has attempts %+v, want run 2 on worker %d", as, b)
	}
}

// Guards against a task that runs twice because it moves before its worker's lease
// has certainly expired. A slow worker clock makes the lease last longer.
func TestRunsNotMovedBeforeLeaseExpires(t *testing.T) {
	r := newRig(t)
	a := r.register("a", 1)
	r.submit(job1, step(1, 1000))
	r.commitPlan()
	r.acceptOrders()
	r.hold(a)
	r.hold(a)
	b := r.register("b", 1)
	for range 101 { // 10.1 s; a clock 2% slow ends a lease of 10 s after 10.2 s
		r.advance(100 * time.Millisecond)
		if hold, wait, _ := r.core.NextHold(r.now, a); wait == 0 {
			r.core.HoldFailed(r.now, hold)
		}
		r.hold(b)
		r.commitPlan()
	}
	if as := r.attempts(job1); len(as) != 1 || as[0].Worker.Handle != a {
		t.Fatalf("attempts %+v, want one on worker %d, whose lease may still be valid", as, a)
	}
}

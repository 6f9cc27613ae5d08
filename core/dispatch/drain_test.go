package dispatch

import (
	"testing"
	"time"
)

// Guards against a long-running task that is down until a lease expires although
// its worker has reported that it is draining.
func TestLongRunningTaskMovesOffDrainingWorker(t *testing.T) {
	r := newRig(t)
	a := r.register("a", 1)
	r.submit(job1, serving(1, 1000, "s"))
	r.commitPlan()
	r.acceptOrders()
	r.hold(a)
	b := r.register("b", 1)
	report := worker("a", 1)
	report.Draining, report.RemainingMS, report.Seq = true, 3000, 2
	r.core.Beat(r.now, report)
	for range 10 {
		r.advance(100 * time.Millisecond)
		r.commitPlan()
		r.acceptOrders()
		r.hold(a)
		r.hold(b)
	}
	as := r.attempts(job1)
	if len(as) != 1 || as[0].Worker.Handle != b {
		t.Fatalf("one second after its worker began to drain, the task has attempts %+v, want one on worker %d", as, b)
	}
}

// Guards against runs that are released only when a lease expires although their
// worker has announced that it left.
func TestRunsReleasedSoonAfterWorkerLeft(t *testing.T) {
	r := newRig(t)
	a := r.register("a", 1)
	r.submit(job1, step(1, 1000))
	r.commitPlan()
	r.acceptOrders()
	r.hold(a)
	b := r.register("b", 1)
	if !r.core.Leave("a") {
		t.Fatal("a worker's notice that it left is not recorded")
	}
	for range 35 {
		r.advance(100 * time.Millisecond)
		if hold, wait, ok := r.core.NextHold(r.now, a); ok && wait == 0 {
			r.core.HoldFailed(r.now, hold)
		}
		r.hold(b)
		r.commitPlan()
	}
	if as := r.attempts(job1); len(as) != 1 || as[0].Worker.Handle != b {
		t.Fatalf("3.5 s after its worker left, the task has attempts %+v, want one on worker %d", as, b)
	}
}

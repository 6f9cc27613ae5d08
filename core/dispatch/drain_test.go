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

// Guards against two runs of a task, and against one that is away longer than it must be. A
// worker that leaves works on for some seconds if the acknowledgement does not reach it, also if
// it has answered a call after its notice: only its lease bounds that. A run whose stop it has
// answered ends in a known time.
func TestRunsOfAWorkerThatLeft(t *testing.T) {
	for _, answers := range []string{"nothing", "its lists", "the stop"} {
		r := newRig(t)
		a := r.register("a", 1)
		r.submit(job1, step(1, 1000))
		r.commitPlan()
		r.acceptOrders()
		r.hold(a)
		r.hold(a)
		leaseEnds := r.now.Add(longestLease(testLimits.LeaseMax))
		b := r.register("b", 1)
		draining := worker("a", 1)
		draining.Draining, draining.Seq, draining.RemainingMS = true, 1, 5000
		r.core.Beat(r.now, draining)
		r.commitPlan()
		if !r.core.Leave(r.now, "a") {
			t.Fatal("a worker's notice that it left is not recorded")
		}
		polls := r.core.DuePolls(r.now)
		if len(polls) != 1 || polls[0].Worker != a {
			t.Fatalf("calls %+v upon the notice, want one to the worker", polls)
		}
		if answers == "nothing" {
			r.core.HoldFailed(r.now, polls[0])
		} else {
			r.answer(polls[0])
		}
		noticed := r.now
		for range 120 {
			for _, o := range r.core.Orders(r.now) {
				if o.Worker == b || answers == "the stop" {
					r.accept(o)
				} else {
					r.core.OrderDone(r.now, o, OrderReply{Outcome: NoAnswer})
				}
			}
			r.advance(100 * time.Millisecond)
			if hold, wait, ok := r.core.NextHold(r.now, a); ok && wait == 0 {
				r.core.HoldFailed(r.now, hold)
			}
			r.hold(b)
			r.commitPlan()
			as := r.attempts(job1)
			moved := len(as) == 1 && as[0].Worker.Handle == b
			switch gone := r.now.Sub(noticed); {
			case answers == "the stop" && !moved && gone >= 2500*time.Millisecond:
				t.Fatalf("%s after its worker left, the task has attempts %+v, want one on worker %d", gone, as, b)
			case answers == "the stop" && moved && gone < testLimits.StopTimeout:
				t.Fatalf("the task has moved %s after its worker's notice, a stop may take %s", gone, testLimits.StopTimeout)
			case answers != "the stop" && (len(as) != 1 || as[0].Worker.Handle != a) && r.now.Before(leaseEnds):
				t.Fatalf("answers %s: %s before its worker's lease is over, the task has attempts %+v", answers, leaseEnds.Sub(r.now), as)
			}
		}
		if as := r.attempts(job1); len(as) != 1 || as[0].Worker.Handle != b {
			t.Fatalf("answers %s: in the end the task has attempts %+v, want one on worker %d", answers, as, b)
		}
	}
}

// Guards against a worker that is given up by a late notice of an earlier
// incarnation, which names only the ID they share: its leases would no longer be
// renewed, and everything on it would end.
func TestLateLeaveOfAnEarlierIncarnation(t *testing.T) {
	r := newRig(t)
	r.register("a", 1)
	a := r.register("a", 2)
	r.submit(job1, serving(1, 1000, "s"))
	r.commitPlan()
	r.acceptOrders()
	if r.core.Leave(r.now, "a") {
		r.commitPlan()
	}
	ws := r.core.workers[a]
	if ws.w.Left {
		t.Fatal("a worker that never drained is recorded as left")
	}
	if r.core.usable(r.now, ws) {
		t.Fatal("new work may be placed on a worker that may have left")
	}
	end := ws.leaseEnd()
	r.advance(time.Second)
	r.hold(a)
	if !r.core.usable(r.now, ws) {
		t.Fatal("a worker that answers after the notice is not used again")
	}
	r.hold(a)
	if !ws.leaseEnd().After(end) {
		t.Fatal("the lease of a worker that answers after the notice is not renewed")
	}
}

// Guards against runs that stay on a worker that left without having drained, and
// against their early release: the notice may be a late one of an earlier
// incarnation, and the worker may be cut off and run on until its lease ends.
func TestLeaveWithoutDraining(t *testing.T) {
	r := newRig(t)
	a := r.register("a", 1)
	r.submit(job1, serving(1, 1000, "s"))
	r.commitPlan()
	r.acceptOrders()
	ws := r.core.workers[a]
	r.core.Leave(r.now, "a")
	end := ws.leaseEnd()
	for range 30 { // calls to it get no answer
		r.advance(500 * time.Millisecond)
		r.core.HoldFailed(r.now, r.core.hold(r.now, ws, 0))
		r.commitPlan()
		if n := len(r.attempts(job1)); n == 0 && r.now.Before(end) {
			t.Fatalf("run was released %s before its lease ends", end.Sub(r.now))
		}
	}
	if n := len(r.attempts(job1)); n != 0 {
		t.Fatalf("%d attempts on a worker that left, want none", n)
	}
}

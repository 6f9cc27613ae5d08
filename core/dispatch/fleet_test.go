package dispatch

import (
	"fmt"
	"math"
	"testing"

	"gooseberrypond/core/graph"
)

// Guards against a new leader that calls thousands of workers without runs before those
// whose cancelled runs go on, or whose leases run out.
func TestNewLeaderCallsUrgentWorkersFirst(t *testing.T) {
	r := newRig(t)
	var hs []graph.Handle
	for i := range 6 {
		hs = append(hs, r.register(fmt.Sprint("w", i), 1))
	}
	r.submit(rid(1), step(1, 100))
	r.put(rid(1), hs[3])
	r.submit(rid(2), step(3, 100))
	r.put(rid(2), hs[4])
	r.submit(rid(3), step(1, 100))
	r.put(rid(3), hs[5])
	r.apply(&graph.Batch{Cancels: []graph.JobID{rid(3)}})
	r.elect(2)
	want := []graph.Handle{hs[5], hs[4], hs[3], hs[0], hs[1], hs[2]}
	urgencies := []Urgency{UrgencyStop, UrgencyRuns, UrgencyRuns, UrgencyFree, UrgencyFree, UrgencyFree}
	for i := 0; i < len(want); i += 2 {
		got := r.core.TakeNewWorkers(2)
		if len(got) != 2 || got[0] != want[i] || got[1] != want[i+1] {
			t.Fatalf("call %d goes to workers %v, want %v", i, got, want[i:i+2])
		}
		for k, h := range got {
			if hold, _, _ := r.core.NextHold(r.now, h); hold.Urgency != urgencies[i+k] {
				t.Errorf("the first call to worker %d has urgency %d, want %d", h, hold.Urgency, urgencies[i+k])
			}
		}
	}
	if got := r.core.TakeNewWorkers(math.MaxInt); len(got) != 0 {
		t.Errorf("workers %v are called twice", got)
	}
}

// Guards against workers that count as silent because the leader lacks connections, which
// takes them out of use and lets their leases run out.
func TestCallsThatWereNotSentSayNothingAboutTheWorker(t *testing.T) {
	r := newRig(t)
	h := r.register("w", 1)
	r.advance(HoldWait)
	hold, _, _ := r.core.NextHold(r.now, h)
	if hold.Worker != h {
		t.Fatalf("the call is to worker %d, want %d", hold.Worker, h)
	}
	r.core.HoldNotSent(r.now, hold)
	r.submit(rid(1), step(1, 100))
	r.commitPlan()
	orders := r.core.Orders(r.now)
	if len(orders) != 1 || orders[0].Kind != OrderStart || orders[0].Urgency != UrgencyStart {
		t.Fatalf("orders after a hold that was not sent: %v, want a start", orders)
	}
	r.core.OrderDone(r.now, orders[0], OrderReply{Outcome: NotSent})
	r.advance(orderRetryDelay)
	if again := r.core.Orders(r.now); len(again) != 1 || again[0].Kind != OrderStart || r.core.workers[h].suspect {
		t.Errorf("orders after a start that was not sent: %v, worker silent: %v, want the start again", again, r.core.workers[h].suspect)
	}
}

// Guards against an open call, and with it a second connection, for each of thousands of
// workers without runs, and against an end that is learned late because no call was open.
func TestWorkerWithoutRunsHasNoOpenCall(t *testing.T) {
	r := newRig(t)
	h := r.register("w", 1)
	if _, wait, _ := r.core.NextHold(r.now, h); wait != HoldWait {
		t.Errorf("the next call to a worker without runs is due in %v, want %v", wait, HoldWait)
	}
	r.advance(HoldWait)
	if hold, wait, _ := r.core.NextHold(r.now, h); wait != 0 || hold.WaitMS != 0 {
		t.Errorf("the call to a worker without runs is due in %v and waits there for %d ms, want 0 and 0", wait, hold.WaitMS)
	}
	r.hold(h)
	r.submit(rid(1), step(1, 100))
	r.commitPlan()
	r.acceptOrders()
	if !r.core.NeedsCall(r.now, h) {
		t.Error("no call is due after a start was accepted")
	}
	if hold, wait, _ := r.core.NextHold(r.now, h); wait != 0 || hold.WaitMS != HoldWait.Milliseconds() {
		t.Errorf("the call after a start is due in %v and waits there for %d ms, want 0 and %v", wait, hold.WaitMS, HoldWait)
	}
}

// Guards against more tasks of a step on a worker than the step allows: a delayed start
// that was sent to the worker's former incarnation runs on it, and its attempt is recorded
// for that one.
func TestRunOfFormerIncarnationCountsForItsStep(t *testing.T) {
	r := newRig(t)
	old := r.register("w", 1)
	s := step(2, 100)
	s.MaxPerWorker = 1
	r.submit(rid(1), s)
	r.commitPlan()
	r.dropOrders()
	r.core.Beat(r.now, worker("w", 2))
	r.commitPlan()
	h := r.tables.WorkerByID("w").Handle
	late := r.attempts(rid(1))[0]
	r.lists[h] = &fakeLists{running: map[graph.TaskRef]RunningRow{late.Ref(): {Task: late.Ref(), Run: late.Run}}}
	r.hold(h)
	for range 3 {
		r.commitPlan()
		r.advance(placeRetry)
	}
	for _, a := range r.attempts(rid(1)) {
		if a.Worker.Handle != old {
			t.Errorf("%s is placed on the worker beside %s, which its former incarnation was to run", a.Ref(), late.Ref())
		}
	}
}

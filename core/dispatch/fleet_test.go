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
	hold, _, _ := r.core.NextHold(r.now, h)
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

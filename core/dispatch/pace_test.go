package dispatch

import (
	"testing"
	"time"
)

// fillerOn starts a filler on a new worker and returns its run; the worker lists it with the
// given progress and processor use.
func fillerOn(t *testing.T, percent int, use float64) (*rig, *runState) {
	r := newRig(t)
	a := r.register("a", 1)
	r.submit(job1, filler(1, 1000, "f"))
	r.commitPlan()
	r.acceptOrders()
	at := r.attempts(job1)[0]
	row := r.lists[a].running[at.Ref()]
	row.Percent, row.Measure = percent, use
	r.lists[a].running[at.Ref()] = row
	r.hold(a)
	return r, r.core.workers[a].runs[at]
}

// Guards against fillers that stay paused after an election: the next leader took them to
// run at full pace, ordered nothing, and stopped them for lack of progress.
func TestInheritedFillersAreResumed(t *testing.T) {
	for _, c := range []struct {
		name   string
		use    float64
		orders int
	}{{"paused by the earlier leader", 0, 1}, {"slowed by the earlier leader", 300, 1}, {"at full pace", 1000, 0}} {
		t.Run(c.name, func(t *testing.T) {
			r, run := fillerOn(t, 40, c.use)
			a := run.ws.w.Handle
			r.elect(2)
			r.hold(a)
			orders := r.acceptOrders()
			if len(orders) != c.orders {
				t.Fatalf("%d orders, want %d", len(orders), c.orders)
			}
			for _, o := range orders {
				if o.Kind != OrderPace || o.Percent != 100 {
					t.Errorf("order %v with %d%%, want full pace", o.Kind, o.Percent)
				}
			}
			for range 6 {
				r.advance(200 * time.Millisecond)
				r.hold(a)
			}
			if orders := r.acceptOrders(); len(orders) > 0 {
				t.Errorf("%d more orders, the first is %v", len(orders), orders[0].Kind)
			}
		})
	}
}

// Guards against work that is given up because it was paused: a filler makes no progress
// until its worker has carried out the order to go on.
func TestResumedFillerIsNotStuck(t *testing.T) {
	r, run := fillerOn(t, 40, 0)
	a := run.ws.w.Handle
	run.pace = 0
	pause := &servingState{headroom: 0.5, pace: -100, fillersPaused: true}
	run.ws.serving["s"] = pause
	for range 10 { // 5 s
		r.advance(500 * time.Millisecond)
		r.hold(a)
		run.ws.serving["s"] = pause
	}
	delete(run.ws.serving, "s")
	r.core.queueRun(run)
	if orders := r.acceptOrders(); len(orders) != 1 || orders[0].Kind != OrderPace {
		t.Fatalf("%d orders, want one for the pace", len(orders))
	}
	r.advance(50 * time.Millisecond)
	r.hold(a)
	if run.abandonReason != "" {
		t.Fatalf("a filler that may go on for 50 ms was given up: %s", run.abandonReason)
	}
	r.advance(run.progressTimeout())
	r.hold(a)
	if run.abandonReason == "" {
		t.Error("a filler that stands still at full pace was not given up")
	}
}

package dispatch

import (
	"testing"
	"time"

	"gooseberrypond/core/graph"
)

// Guards against a late job of which nothing tells what it waited for.
func TestDelaysNameWhatAStepWaitedFor(t *testing.T) {
	r := newRig(t)
	h := r.register("a", 1)
	first := r.submit(rid(1), step(1, 8000))
	r.commitPlan()
	r.acceptOrders()
	second := r.submit(rid(2), step(1, 8000))
	r.advance(10 * time.Millisecond)
	r.commitPlan() // finds no room
	r.advance(300 * time.Millisecond)
	for ref := range r.lists[h].running {
		r.endRun(h, ref, graph.EndDone)
	}
	r.hold(h)
	r.commitPlan()
	r.advance(placeRetry)
	b := r.core.Plan(r.now, r.now.UnixMilli())
	r.advance(20 * time.Millisecond)
	r.apply(b)
	r.advance(40 * time.Millisecond)
	r.acceptOrders()
	got := r.core.Delays(r.now, second)
	for cause, want := range map[Cause]time.Duration{CausePlan: 10 * time.Millisecond, CauseRoom: 300*time.Millisecond + placeRetry, CauseCommit: 20 * time.Millisecond, CauseCall: 40 * time.Millisecond} {
		if got[cause] != want {
			t.Errorf("the step waited %s for %s, want %s", got[cause], cause, want)
		}
	}
	if d := r.core.Delays(r.now, first); d[CauseRoom] != 0 {
		t.Errorf("a step that was placed at once waited %s for room", d[CauseRoom])
	}
	steps := r.core.StepDelays(r.now, second)
	if len(steps) != 1 || steps[0].WaitsFor != "" || steps[0].WaitedMS["room"] != 325 {
		t.Errorf("explained as %+v", steps)
	}
}

// Guards against waits from before an election that count as the new leader's.
func TestDelaysBeginWithTheLeader(t *testing.T) {
	r := newRig(t)
	j := r.submit(rid(1), step(1, 9000))
	r.advance(2 * time.Second)
	r.elect(2)
	r.advance(time.Second)
	r.commitPlan()
	r.advance(time.Second)
	got := r.core.Delays(r.now, j)
	if got[CauseLeader] != 2*time.Second || got[CausePlan] != time.Second {
		t.Errorf("waited %s for the leader and %s for its first plan, want 2 s and 1 s", got[CauseLeader], got[CausePlan])
	}
}

// Guards against the time for which all tasks of a step ran that counts as a wait, when one
// of them is lost under a later leader.
func TestDelaysBeginWithTheLoss(t *testing.T) {
	r := newRig(t)
	h := r.register("a", 1)
	j := r.submit(job1, step(1, 1000))
	r.commitPlan()
	r.acceptOrders()
	r.elect(2)
	r.hold(h)
	r.advance(8 * time.Second)
	for ref := range r.lists[h].running {
		r.endRun(h, ref, graph.EndStopped)
	}
	r.hold(h)
	r.commitPlan()
	r.advance(placeRetry)
	r.core.Plan(r.now, r.now.UnixMilli())
	if got := r.core.Delays(r.now, j); got[CausePlan] != placeRetry || got[CauseLeader] != 0 {
		t.Errorf("waited %s for a plan and %s for the leader, want %s and none", got[CausePlan], got[CauseLeader], placeRetry)
	}
}

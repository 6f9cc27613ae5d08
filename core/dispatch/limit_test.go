package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gooseberrypond/core/graph"
	"gooseberrypond/core/structs"
)

// newOwnedRig returns a rig with workers of 8 cores and the given organisations.
func newOwnedRig(t *testing.T, workers int, orgs ...graph.Organisation) *rig {
	t.Helper()
	r := newRig(t)
	for i := range workers {
		r.register(fmt.Sprintf("w%03d", i), 1)
	}
	r.configure(orgs...)
	return r
}

// configure commits the next version of the configuration.
func (r *rig) configure(orgs ...graph.Organisation) {
	c := *r.tables.Config()
	c.Version++
	c.Organisations = orgs
	r.apply(&graph.Batch{Config: &c})
}

func (r *rig) submitOf(org string, id graph.JobID, steps ...graph.Step) {
	r.apply(&graph.Batch{Submits: []graph.Spec{{ID: id, Queue: "q", Payload: "x", Steps: steps, Organisation: org}}})
}

func limited(name string, milli int64) graph.Organisation {
	return graph.Organisation{Name: name, Weight: 1, Limit: structs.Resources{CPUMilli: milli}}
}

func standing(count int, cpu int64) graph.Step {
	s := step(count, cpu)
	s.LongRunning = true
	return s
}

func (r *rig) holds(org string) int64 { return r.tables.Usage(org).CPUMilli }

// wantHeld fails the test unless the organisation holds exactly so much.
func (r *rig) wantHeld(org string, milli int64, what string) {
	r.t.Helper()
	if got := r.holds(org); got != milli {
		r.t.Fatalf("%s: %s holds %d, want %d", what, org, got, milli)
	}
}

// Guards against a step wider than its organisation's limit that never starts, starts
// above the limit, or keeps the next organisation out of the same plan. The load is one
// step of 20 tasks before one of another organisation, on an idle pool.
func TestWideStepGoesInWaves(t *testing.T) {
	r := newOwnedRig(t, 4, limited("x", 5000), limited("y", 0))
	r.submitOf("x", rid(1), step(20, 1000))
	r.submitOf("y", rid(2), step(4, 1000))
	r.commitPlan()
	r.wantHeld("x", 5000, "first wave")
	r.wantHeld("y", 4000, "same plan")
	for range 40 {
		r.acceptOrders()
		for _, a := range r.attempts(rid(1)) {
			r.endRun(a.Worker.Handle, a.Ref(), graph.EndDone)
			r.hold(a.Worker.Handle)
			break
		}
		r.advance(placeRetry)
		r.commitPlan()
		if r.holds("x") > 5000 {
			t.Fatalf("x holds %d above its limit", r.holds("x"))
		}
	}
	if s := r.tables.Job(rid(1)).State; s != graph.JobCompleted {
		t.Fatalf("the job is %s after 40 ends of its 20 tasks", s)
	}
}

// Guards against work above a limit that hides room from others with the same demand, and
// that claims workers or is counted among the overdue tasks.
func TestLimitBlocksNoOthers(t *testing.T) {
	r := newOwnedRig(t, 1, limited("x", 1000), limited("y", 0))
	r.submitOf("x", rid(1), standing(1, 1000))
	r.commitPlan()
	r.acceptOrders()
	r.hold(r.core.byHandle[0].w.Handle)
	r.submitOf("x", rid(2), step(3, 1000))
	r.submitOf("x", rid(3), standing(3, 1000))
	r.submitOf("y", rid(4), step(3, 1000))
	r.commitPlan()
	r.wantHeld("x", 1000, "at its limit")
	r.wantHeld("y", 3000, "beside it")
	r.advance(overdueAfter + time.Second)
	s := r.tables.Job(rid(3)).Occurrences[0].Steps[0]
	for i := range s.Tasks {
		s.Tasks[i].LastRun = 1 // as if they had run before
	}
	r.commitPlan()
	if n := len(r.core.overdueTasks(r.tables.Waiting(), r.now.UnixMilli())); n != 0 || len(r.core.claims) != 0 {
		t.Fatalf("%d overdue tasks, %d claims of an organisation without room", n, len(r.core.claims))
	}
}

// Guards against a gang of which some members start for want of room, against one that can
// never fit and blocks others, and against one that smaller work keeps out for ever.
func TestGangAndLimit(t *testing.T) {
	gang := step(4, 1000)
	gang.Gang = true
	never := step(7, 1000)
	never.Gang = true
	r := newOwnedRig(t, 4, limited("x", 6000), limited("y", 0))
	r.submitOf("x", rid(1), step(3, 1000))
	r.commitPlan()
	r.acceptOrders()
	r.submitOf("x", rid(2), never)
	r.submitOf("x", rid(3), gang)
	r.submitOf("x", rid(4), step(10, 1000))
	r.submitOf("y", rid(5), step(2, 1000))
	r.commitPlan()
	r.wantHeld("x", 3000, "the room is kept for the gang")
	r.wantHeld("y", 2000, "same plan")
	a := r.attempts(rid(1))[0]
	r.endRun(a.Worker.Handle, a.Ref(), graph.EndDone)
	r.hold(a.Worker.Handle)
	r.advance(placeRetry)
	r.commitPlan() // records the end
	r.advance(placeRetry)
	r.commitPlan()
	if n := len(r.attempts(rid(3))); n != 4 {
		t.Fatalf("%d members of the gang run, want 4", n)
	}
	r.wantHeld("x", 6000, "with the gang")
	if n := len(r.attempts(rid(2))); n != 0 {
		t.Fatalf("%d members of a gang wider than the limit run", n)
	}
}

// Guards against a lowered limit that stops what runs or lets more start: a limit lowered
// under load.
func TestLoweredLimitUnderLoad(t *testing.T) {
	r := newOwnedRig(t, 4, limited("x", 8000))
	r.submitOf("x", rid(1), step(8, 1000))
	r.submitOf("x", rid(2), step(20, 1000))
	r.commitPlan()
	r.acceptOrders()
	r.configure(limited("x", 3000))
	for n := int64(8); n > 0; n-- {
		r.advance(placeRetry)
		r.commitPlan()
		if orders := r.acceptOrders(); n > 3 && len(orders) > 0 {
			t.Fatalf("%d orders above the lowered limit: %v", len(orders), orders[0].Kind)
		}
		r.wantHeld("x", max(n, 3)*1000, fmt.Sprint(n, " of the first tasks run"))
		a := r.attempts(rid(1))[0]
		r.endRun(a.Worker.Handle, a.Ref(), graph.EndDone)
		r.hold(a.Worker.Handle)
		r.commitPlan()
	}
}

// Guards against committed starts that are sent above a limit that was lowered meanwhile,
// and against withdrawing more of them than needed. Gangs are withdrawn as a whole.
func TestUnsentStartsAboveALoweredLimitAreWithdrawn(t *testing.T) {
	for _, gang := range []bool{false, true} {
		t.Run(fmt.Sprint("gang ", gang), func(t *testing.T) {
			r := newOwnedRig(t, 4, limited("x", 8000))
			s := step(5, 1000)
			s.Gang = gang
			r.submitOf("x", rid(1), s)
			r.commitPlan()
			r.wantHeld("x", 5000, "committed")
			r.configure(limited("x", 3000))
			sent := 0
			for _, o := range r.acceptOrders() {
				if o.Kind != OrderStart {
					t.Fatalf("order %v for a start that was never sent", o.Kind)
				}
				sent++
			}
			want := 3
			if gang {
				want = 0
			}
			if sent != want {
				t.Fatalf("%d starts were sent, want %d", sent, want)
			}
			r.commitPlan()
			r.wantHeld("x", int64(want)*1000, "released")
		})
	}
}

// Guards against a new leader that starts above the limit while starts that its
// predecessor committed but did not send still count: leader killed between commit and
// start at the limit.
func TestLeaderLostBetweenCommitAndStartAtTheLimit(t *testing.T) {
	r := newOwnedRig(t, 2, limited("x", 4000))
	r.submitOf("x", rid(1), step(12, 1000))
	r.commitPlan()
	r.wantHeld("x", 4000, "committed, not sent")
	r.elect(2)
	r.commitPlan()
	r.wantHeld("x", 4000, "after the election")
	for range 20 {
		for _, ws := range r.core.byHandle {
			r.hold(ws.w.Handle)
		}
		r.advance(100 * time.Millisecond)
		r.commitPlan()
		r.acceptOrders()
		if r.holds("x") > 4000 {
			t.Fatalf("x holds %d above its limit", r.holds("x"))
		}
	}
	r.wantHeld("x", 4000, "the new leader uses the whole limit")
	running := 0
	for _, l := range r.lists {
		running += len(l.running)
	}
	if running != 4 {
		t.Fatalf("%d tasks run on workers, want 4", running)
	}
}

// Guards against a plan of a leader that was frozen, or whose last proposal has no known
// outcome, that brings an organisation above its limit when it is applied after others.
func TestLatePlanStartsNothingAboveTheLimit(t *testing.T) {
	r := newOwnedRig(t, 2, limited("x", 4000))
	r.submitOf("x", rid(1), step(4, 1000))
	late := r.core.Plan(r.now, r.now.UnixMilli())
	r.submitOf("x", rid(2), step(4, 1000))
	r.elect(2)
	for _, ws := range r.core.byHandle {
		r.hold(ws.w.Handle)
	}
	r.apply(&graph.Batch{Cancels: []graph.JobID{rid(1)}})
	r.commitPlan()
	r.wantHeld("x", 4000, "placed by the next leader")
	r.submitOf("x", rid(3), step(4, 1000))
	for i := range late.Starts {
		late.Starts[i].Task.Job = rid(3)
	}
	if n := len(r.apply(late).Started); n != 0 {
		t.Fatalf("%d starts of the late plan were applied", n)
	}
}

// Guards against counting a worker that cannot be reached as idle before its lease is
// over: a worker that is cut off holds its organisation's usage.
func TestWorkerCutOffHoldsUsage(t *testing.T) {
	r := newOwnedRig(t, 2, limited("x", 4000))
	r.submitOf("x", rid(1), standing(4, 1000))
	r.commitPlan()
	r.acceptOrders()
	cut := r.attempts(rid(1))[0].Worker.Handle
	onCut := len(r.tables.Worker(cut).Attempts)
	for _, ws := range r.core.byHandle {
		r.hold(ws.w.Handle)
	}
	end := r.core.workers[cut].leaseEnd()
	for r.now.Before(end) {
		if hold, wait, _ := r.core.NextHold(r.now, cut); wait == 0 {
			r.core.HoldFailed(r.now, hold)
		}
		for _, ws := range r.core.byHandle {
			if ws.w.Handle != cut {
				r.hold(ws.w.Handle)
			}
		}
		r.commitPlan()
		r.acceptOrders()
		r.wantHeld("x", 4000, "before the lease is over")
		for h, l := range r.lists {
			if h != cut && len(l.running) > 4-onCut {
				t.Fatalf("%d tasks run beside %d on the worker that is cut off", len(l.running), onCut)
			}
		}
		r.advance(200 * time.Millisecond)
	}
}

// Guards against an election that lets a limit lowered meanwhile be passed: a
// configuration change during an election, at any place in the log.
func TestLimitLoweredDuringAnElection(t *testing.T) {
	for _, before := range []bool{true, false} {
		t.Run(fmt.Sprint("before the plan ", before), func(t *testing.T) {
			r := newOwnedRig(t, 2, limited("x", 8000))
			r.submitOf("x", rid(1), step(8, 1000))
			plan := r.core.Plan(r.now, r.now.UnixMilli())
			if before {
				r.configure(limited("x", 2000))
				r.apply(plan)
				r.wantHeld("x", 2000, "the limit was first")
			} else {
				r.apply(plan)
				r.configure(limited("x", 2000))
				r.wantHeld("x", 8000, "the plan was first")
			}
			r.elect(2)
			for range 20 {
				for _, ws := range r.core.byHandle {
					r.hold(ws.w.Handle)
				}
				r.advance(100 * time.Millisecond)
				r.commitPlan()
				r.acceptOrders()
			}
			r.wantHeld("x", 2000, "under the new leader")
		})
	}
}

// Guards against a dump that leaves an organisation out, or whose usage is not that of the
// attempts.
func TestDumpListsOrganisations(t *testing.T) {
	r := newOwnedRig(t, 2, limited("x", 4000), limited("y", 0))
	r.submitOf("x", rid(1), step(6, 1000))
	r.submitOf("", rid(2), step(1, 1000))
	r.commitPlan()
	out := r.core.Organisations()
	if len(out) != 3 || out[0].Name != "" || out[1].Name != "x" || out[2].Name != "y" {
		t.Fatalf("dump lists %+v", out)
	}
	x := out[1]
	if x.Use.CPUMilli != 4000 || x.Limit.CPUMilli != 4000 || x.Waiting != 2 || x.Share != 0.25 || x.Recounted != nil {
		t.Fatalf("dump of x is %+v", x)
	}
}

// Guards against a reserve that keeps long-running tasks of others out for batch work that
// its organisation's limit does not let run.
func TestReserveCountsWorkUpToItsLimit(t *testing.T) {
	r := newOwnedRig(t, 2, limited("x", 1000), limited("y", 0))
	r.submitOf("x", rid(1), longStep(100, 1000, 10*time.Second))
	if d := r.core.batchDemand("p", r.now.UnixMilli()); d != 1000 {
		t.Fatalf("demand is %v, the limit of the only organisation is 1000", d)
	}
}

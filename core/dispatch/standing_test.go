package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gooseberrypond/core/demand"
	"gooseberrypond/core/graph"
)

// Guards against two tasks of a step on one worker that may have only one: the first or
// the overdue tasks of a step and its others are placed by two entries of the same plan.
func TestEntriesOfAStepShareItsLimitPerWorker(t *testing.T) {
	for _, ranBefore := range []bool{false, true} {
		r := newRig(t)
		for i := range 3 {
			r.register(fmt.Sprint("w", i), 1)
		}
		s := serving(3, 1000, "s")
		s.MaxPerWorker = 1
		r.submit(rid(1), s)
		if ranBefore {
			r.play(time.Second)
			failOne := func() {
				a := r.attempts(rid(1))[0]
				r.endRun(a.Worker.Handle, a.Ref(), graph.EndFailed)
				r.hold(a.Worker.Handle)
				b := r.core.Plan(r.now, r.now.UnixMilli())
				b.Starts = nil
				r.apply(b)
			}
			failOne()
			r.advance(overdueAfter)
			failOne() // the first is overdue now, this one is not
		}
		r.commitPlan()
		on := map[graph.Handle]int{}
		for _, a := range r.attempts(rid(1)) {
			if on[a.Worker.Handle]++; on[a.Worker.Handle] > 1 {
				t.Errorf("%d tasks of a step on worker %d, where 1 may be (ran before: %v)", on[a.Worker.Handle], a.Worker.Handle, ranBefore)
			}
		}
	}
}

// standingLoad plays standing jobs that come one after the other beside batch work that
// takes every piece of free capacity, and returns for how long jobs had nothing at work.
func standingLoad(t *testing.T, r *rig, jobs, tasks int, every, total time.Duration) (nothing, longest time.Duration, heldMilli int64) {
	batch := &batchLoad{r: r, started: map[graph.TaskRef]time.Time{}}
	since := map[graph.JobID]time.Time{}
	begin := r.now
	for n, ticks := 0, int64(0); r.now.Sub(begin) < total; ticks++ {
		if at := r.now.Sub(begin); n < jobs && at >= time.Duration(n)*every {
			r.submit(rid(n), serving(tasks, 2000, "s"))
			since[rid(n)] = r.now
			n++
		}
		batch.submit(1)
		heldMilli += batch.tick()
		for i := range n {
			id := rid(i)
			if len(r.attempts(id)) > 0 {
				since[id] = r.now
				continue
			}
			nothing += 50 * time.Millisecond
			longest = max(longest, r.now.Sub(since[id]))
		}
	}
	return nothing, longest, heldMilli / int64(total/(50*time.Millisecond))
}

// Guards against standing jobs that wait behind the reserve with nothing at work, while
// others have all their tasks. The rule before this one kept new jobs waiting for as long
// as batch work lacked its share; a first come, first served pool gives the last jobs
// nothing for ever.
func TestStandingJobsWithNothingAtWork(t *testing.T) {
	const workers, jobs, tasks = 12, 16, 4 // 96 cores, of which 128 are wanted
	r := newRig(t)
	for i := range workers {
		r.register(fmt.Sprintf("w%02d", i), 1)
	}
	nothing, longest, held := standingLoad(t, r, jobs, tasks, time.Second, 40*time.Second)
	t.Logf("jobs had nothing at work for %s in all, %s at most; batch work held %d thousandths of a core; %d tasks were given up", nothing, longest, held, r.core.Stats.GivenUp)
	if limit := demand.GiveUpAfter + 3*time.Second; longest > limit {
		t.Errorf("a job had nothing at work for %s, want %s at most", longest, limit)
	}
}

// Guards against a job that keeps all its tasks while another one has none for ever, and
// against tasks that are moved back and forth.
func TestFullJobGivesOneUp(t *testing.T) {
	r := newRig(t)
	for i := range 4 {
		r.register(fmt.Sprint("w", i), 1)
	}
	for i := range 4 {
		s := serving(4, 2000, "s")
		s.MaxUnavailable = 1
		r.submit(rid(i), s)
	}
	r.play(time.Second)
	r.submit(rid(9), serving(4, 2000, "s"))
	r.play(demand.GiveUpAfter + time.Second)
	if n := len(r.attempts(rid(9))); n != 1 {
		t.Fatalf("%d tasks of the job with nothing at work were placed, want 1", n)
	}
	r.play(time.Minute)
	if n, gave := len(r.attempts(rid(9))), r.core.Stats.GivenUp; n != 1 || gave != 1 {
		t.Errorf("after a minute %d tasks, %d given up, want 1 and 1", n, gave)
	}
}

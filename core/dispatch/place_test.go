package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gooseberrypond/core/graph"
)

// Guards against a long-running task that waits behind a continuous stream of small
// tasks of the same priority after its job's objective has passed.
func TestLongRunningTaskStartsBeforeNewerBatchWork(t *testing.T) {
	r := newRig(t)
	r.register("a", 1)
	r.submit("00000000000000b1", step(8, 1000)) // fills the worker
	r.commitPlan()
	r.submit(job1, serving(1, 3000, "s"))
	r.advance(time.Minute)
	r.submit("00000000000000b2", step(8, 1000))
	var ends []graph.End
	for _, at := range r.attempts("00000000000000b1")[:3] {
		ends = append(ends, graph.End{Task: at.Ref(), Run: at.Run, Worker: at.Worker.Handle, Kind: graph.EndDone})
	}
	r.apply(&graph.Batch{Ends: ends})
	r.commitPlan()
	if n := len(r.attempts(job1)); n != 1 {
		t.Fatal("capacity for the long-running task was given to batch work submitted later")
	}
}

// Guards against jobs that are delayed by other jobs that can no longer meet their
// objective.
func TestJobsThatMissTheirObjectiveStartLast(t *testing.T) {
	r := newRig(t)
	late, soon := step(1, 8000), step(1, 8000)
	r.submit("00000000000000b1", late)
	r.advance(2500 * time.Millisecond) // its objective is 3 s, its work takes 1 s
	r.submit(job1, soon)
	r.register("a", 1)
	r.commitPlan()
	if len(r.attempts(job1)) != 1 {
		t.Fatal("a job that can no longer meet its objective started before one that can")
	}
}

// Guards against tasks placed on workers that their constraints exclude.
func TestPlacementConstraints(t *testing.T) {
	r := newRig(t)
	r.register("a", 1)
	other := worker("b", 1)
	other.Labels, other.Domain = []string{"x", "r2"}, "d2"
	r.core.Beat(r.now, other)
	r.commitPlan()
	b := r.tables.WorkerByID("b").Handle
	r.lists[b] = &fakeLists{running: map[graph.TaskRef]RunningRow{}}
	r.hold(b)

	label := step(1, 100)
	label.Label = "x"
	r.submit("00000000000000b1", label)
	apart := step(4, 100)
	apart.MaxPerWorker = 1
	r.submit("00000000000000b2", apart)
	gang := step(3, 5000)
	gang.Gang = true
	r.submit("00000000000000b3", gang)
	r.commitPlan()
	if as := r.attempts("00000000000000b1"); len(as) != 1 || as[0].Worker.Handle != b {
		t.Error("a task was not placed on the worker with its label")
	}
	if as := r.attempts("00000000000000b2"); len(as) != 2 || as[0].Worker == as[1].Worker {
		t.Errorf("%d tasks started, want one on each of two workers", len(as))
	}
	if as := r.attempts("00000000000000b3"); len(as) != 0 {
		t.Errorf("%d members of a gang started, want none because they do not all fit", len(as))
	}
	r.apply(&graph.Batch{Domains: []graph.DomainChange{{Name: "d1", Out: true}}})
	r.submit(job1, step(2, 100))
	r.commitPlan()
	for _, at := range r.attempts(job1) {
		if at.Worker.Domain == "d1" {
			t.Error("a task started in a failure domain that is out of service")
		}
	}
}

// Guards against short jobs that starve behind new long-running tasks of the same
// priority. Long-running tasks leave a reserve derived from recent batch use; one that
// has run before is restarted regardless of the reserve, but not before restartDelay.
func TestNewLongRunningTasksLeaveBatchReserve(t *testing.T) {
	r := newRig(t)
	a := r.register("a", 1)
	r.submit("00000000000000b1", step(1, 1000))
	for range 100 { // 10 s
		r.commitPlan()
		r.acceptOrders()
		r.advance(100 * time.Millisecond)
		r.hold(a)
	}
	for ref := range r.lists[a].running {
		r.endRun(a, ref, graph.EndDone)
	}
	r.hold(a)
	r.commitPlan()
	r.submit("00000000000000b2", serving(8, 1000, "s"))
	r.commitPlan()
	as := r.attempts("00000000000000b2")
	if len(as) != 6 {
		t.Fatalf("%d long-running tasks of 1 core started on 8 cores, want 6 because 1.2 cores are reserved for batch work", len(as))
	}
	r.apply(&graph.Batch{Releases: []graph.Release{{Task: as[0].Ref(), Run: 1, Worker: a}}})
	r.submit(job1, step(1, 1000))
	r.commitPlan()
	if len(r.attempts(job1)) != 1 {
		t.Error("the short job was not placed")
	}
	if n := len(r.attempts("00000000000000b2")); n != 5 {
		t.Errorf("%d long-running tasks have attempts, want 5 because the one that ran before must leave the reserve", n)
	}
	r.advance(restartDelay)
	r.commitPlan()
	if n := len(r.attempts("00000000000000b2")); n != 6 {
		t.Errorf("%d long-running tasks have attempts after %s, want 6 because the one that ran before must be restarted", n, restartDelay)
	}
}

// Guards against fillers that start within the half second covered by a measurement
// and are all admitted to the same headroom, because the measurement does not yet
// show the effect of the earlier ones.
func TestUnmeasuredFillersCountAgainstHeadroom(t *testing.T) {
	r := newDueRig(t)
	a := r.register("a", 1)
	r.submit("00000000000000b1", serving(1, 1000, "s1"))
	r.commitPlan()
	r.acceptOrders()
	r.core.pressure["s1"] = knownPressure("f", 4)
	for ref, row := range r.lists[a].running {
		row.Measure = 50 / (headroomAdmit + 0.6) // admits one filler, which takes 0.5
		r.lists[a].running[ref] = row
	}
	r.advance(500 * time.Millisecond)
	r.hold(a)
	for i := range 4 {
		r.submitTo("due", graph.JobID(fmt.Sprintf("00000000000000c%d", i)), filler(1, 1000, "f"))
		r.commitPlan()
		r.acceptOrders()
		r.advance(20 * time.Millisecond)
	}
	attempts := 0
	for i := range 4 {
		attempts += len(r.attempts(graph.JobID(fmt.Sprintf("00000000000000c%d", i))))
	}
	if attempts != 1 {
		t.Errorf("%d fillers started with headroom for one", attempts)
	}
}

// Guards against fillers that start beside tasks near their highest load although their job
// has time to wait for a better place, and against those that still wait when it has none.
func TestFillerTakesMoreRiskAsItsSlackShrinks(t *testing.T) {
	r := newRig(t)
	a := r.register("a", 1)
	r.submit("00000000000000b1", serving(1, 1000, "s1"))
	r.commitPlan()
	r.acceptOrders()
	r.core.pressure["s1"] = knownPressure("f", 4)
	list := func(at time.Duration) {
		for ref, row := range r.lists[a].running {
			row.Measure = 50 / (headroomAdmit + 0.6) // the filler takes 0.5
			r.lists[a].running[ref] = row
		}
		r.advance(at)
		r.hold(a)
		r.commitPlan()
	}
	r.submit(job1, filler(1, 1000, "f")) // of 1 s, to be done within 3 s
	list(500 * time.Millisecond)
	if n := len(r.attempts(job1)); n != 0 {
		t.Error("a filler with time left starts where little headroom remains")
	}
	list(1500 * time.Millisecond)
	if n := len(r.attempts(job1)); n != 1 {
		t.Error("a filler that must start now to be in time waits")
	}
	r.acceptOrders()
	r.endRun(a, graph.TaskRef{Job: job1}, graph.EndDone)
	r.submit(job2, filler(1, 1000, "f"))
	r.tables.Job(job2).Queue.TargetLatencyMS = time.Hour.Milliseconds()
	for range 7 {
		list(careWait / 14)
	}
	if n := len(r.attempts(job2)); n != 0 {
		t.Error("a filler with an hour left starts where little headroom remains")
	}
	for range 8 {
		list(careWait / 14)
	}
	if n := len(r.attempts(job2)); n != 1 {
		t.Errorf("a filler with an hour left waits for longer than %s", careWait)
	}
}

// Guards against a job of fillers that waits for ever, with most of the room free, for
// headroom that the serving tasks never have (KNOWN-RED 13). One task is enough, and none
// starts beside a task near its target.
func TestIdleJobOfFillersGetsOneTaskWithLessHeadroom(t *testing.T) {
	for headroom, want := range map[float64]int{headroomAdmit - 0.2: 1, headroomAdmitLight + 0.1: 0} { // the filler takes 0.25
		r := newRig(t)
		a := r.register("a", 1)
		r.submit("00000000000000b1", serving(1, 1000, "s1"))
		r.commitPlan()
		r.acceptOrders()
		r.core.pressure["s1"] = knownPressure("f", 2)
		list := func() {
			for ref, row := range r.lists[a].running {
				if row.Measure > 0 || ref.Job == "00000000000000b1" {
					row.Measure = 50 / headroom
					r.lists[a].running[ref] = row
				}
			}
			r.advance(500 * time.Millisecond)
			r.hold(a)
			r.commitPlan()
		}
		r.submit(job1, filler(3, 1000, "f"))
		for range idleFillerWait/(500*time.Millisecond) - 1 {
			list()
		}
		if n := len(r.attempts(job1)); n != 0 {
			t.Errorf("headroom %.1f: %d tasks started before %s", headroom, n, idleFillerWait)
		}
		for range 4 {
			list()
		}
		if n := len(r.attempts(job1)); n != want {
			t.Errorf("headroom %.1f: %d tasks at work after %s, want %d", headroom, n, idleFillerWait, want)
		}
	}
}

// Guards against plans whose cost grows with the product of waiting tasks and
// workers. After one unsuccessful search, tasks that ask for at least as much are
// not searched for.
func TestEqualDemandsAreSearchedForOnce(t *testing.T) {
	r := newRig(t)
	r.register("a", 1)
	r.submit("00000000000000b1", step(8, 1000)) // fills the worker
	r.commitPlan()
	r.acceptOrders()
	for i := range 50 {
		r.submit(graph.JobID(fmt.Sprintf("00000000000001%02d", i)), step(2, 1000+int64(i)))
	}
	before := r.core.Stats.Scans
	r.commitPlan()
	if got := r.core.Stats.Scans - before; got > 2 {
		t.Errorf("%d searches for 50 jobs of which the smallest cannot be placed, want at most 2", got)
	}
	r.submit("00000000000000b2", step(1, 0))
	r.commitPlan()
	if len(r.attempts("00000000000000b2")) != 1 {
		t.Error("a task that needs no processors waits behind larger ones")
	}
}

// Guards against low-pressure fillers placed beside a task that is close to missing
// its target because of its own load. They would make it miss the target by more.
func TestLightFillerNotPlacedBesideTaskNearTarget(t *testing.T) {
	r := newRig(t)
	a := r.register("a", 1)
	r.submit("00000000000000b1", serving(1, 1000, "s1"))
	r.commitPlan()
	r.acceptOrders()
	r.core.pressure["s1"] = knownPressure("f", 0.5)
	list := func(headroom float64) {
		for ref, row := range r.lists[a].running {
			row.Measure = 50 / headroom
			r.lists[a].running[ref] = row
		}
		r.advance(500 * time.Millisecond)
		r.hold(a)
		r.commitPlan()
	}
	r.submit(job1, filler(1, 1000, "f"))
	list(1.1)
	if len(r.attempts(job1)) != 0 {
		t.Error("a filler started beside a task that is close to its target")
	}
	list(1.5)
	if len(r.attempts(job1)) != 1 {
		t.Error("a low-pressure filler does not start beside a task well below its target")
	}
}

// Guards against a search of all workers on every answered call while a waiting task
// cannot be placed, and against a task that keeps waiting after enough capacity has
// become free.
func TestFailedSearchesAreRateLimited(t *testing.T) {
	r := newRig(t)
	a := r.register("a", 1)
	r.submit("00000000000000b1", step(8, 1000)) // fills the worker
	r.commitPlan()
	r.acceptOrders()
	r.submit(job1, step(1, 1000))
	r.commitPlan()
	before := r.core.Stats.Scans
	for range 20 {
		r.advance(time.Millisecond)
		r.commitPlan()
	}
	if got := r.core.Stats.Scans - before; got > 1 {
		t.Errorf("%d unsuccessful searches within 20 ms, want at most 1", got)
	}
	r.endRun(a, r.attempts("00000000000000b1")[0].Ref(), graph.EndDone)
	r.hold(a)
	r.commitPlan()
	r.advance(placeRetry)
	r.commitPlan()
	if len(r.attempts(job1)) != 1 {
		t.Error("the task does not start within the retry interval after capacity became free")
	}
	r.submit("00000000000000b2", step(1, 0))
	r.commitPlan()
	if len(r.attempts("00000000000000b2")) != 1 {
		t.Error("a new task waits for the retry interval of another")
	}
}

// Guards against capacity figures that hide fragmentation.
func TestFreeCapacityReportsLargestPiece(t *testing.T) {
	r := newRig(t)
	r.register("a", 1)
	r.register("b", 1)
	r.submit("00000000000000b1", step(4, 3000)) // two on each worker
	r.commitPlan()
	r.advance(measureInterval)
	r.commitPlan()
	if got, want := r.core.FreeCapacity(), (FreeCapacity{Sum: 4000, Largest: 2000}); got != want {
		t.Errorf("free capacity is %+v, want %+v", got, want)
	}
}

// Guards against a search for a filler's worker that sees only one kind of worker in
// a large pool: of 500 workers the first 400 run serving tasks, as neighbours do after
// a burst of such jobs, and fillers must go to the others, where they harm nobody.
func TestFillersFindFreeWorkersInALargePool(t *testing.T) {
	r := newRig(t)
	for i := range 500 {
		r.register(fmt.Sprintf("w%03d", i), 1)
	}
	r.submit("00000000000000a1", serving(400, 8000, "s"))
	for len(r.tables.Waiting()) > 0 {
		r.advance(placeRetry)
		r.commitPlan()
		r.acceptOrders()
	}
	r.submit("00000000000000b1", filler(150, 1000, "f"))
	res := r.commitPlan()
	if len(res.Started) != 150 {
		t.Fatalf("%d fillers started, want 150", len(res.Started))
	}
	for _, a := range res.Started {
		for other := range a.Worker.Attempts {
			if other.Step.TailTargetMS > 0 {
				t.Fatalf("filler %s was placed beside a serving task while 100 workers are free", a.Ref())
			}
		}
	}
}

// Guards against short jobs that starve when workers leave for good: their
// long-running tasks must be restarted and take every free processor, and the short
// jobs of the same priority find none. Both must be served: nearly all short jobs
// within their objective, and most long-running tasks at any time. A placement that
// takes the oldest first gives everything to the long-running tasks, whether it picks
// the first or the least loaded worker.
func TestShortJobsAfterALossOfWorkers(t *testing.T) {
	const workers, lost, standingTasks = 10, 2, 60
	r := newRig(t)
	var handles []graph.Handle
	for i := range workers {
		handles = append(handles, r.register(fmt.Sprintf("w%02d", i), 1))
	}
	for i := range standingTasks / 6 { // 60 of 80 cores, 60 of 64 after the loss
		r.submit(graph.JobID(fmt.Sprintf("%016x", 0x1000+i)), serving(6, 1000, "s"))
	}
	jobs, started := map[graph.JobID]time.Time{}, map[graph.TaskRef]time.Time{}
	late, away, ticks := 0, 0, 0
	for tick := range 600 { // 30 s
		at := r.now
		if tick%4 == 0 { // 5 jobs a second of 2 tasks of 1 core and 0.6 s: 6 cores
			id := graph.JobID(fmt.Sprintf("%016x", 0x2000+tick))
			s := step(2, 1000)
			s.EstimateMS = 600
			r.submit(id, s)
			jobs[id] = at
		}
		if tick == 100 {
			for _, h := range handles[workers-lost:] {
				ws := r.core.workers[h]
				r.apply(&graph.Batch{Workers: []graph.WorkerChange{{Report: ws.w.WorkerReport, Left: true}}, Releases: releasesOf(ws)})
			}
			handles = handles[:workers-lost]
		}
		for _, a := range r.commitPlan().Started {
			started[a.Ref()] = at
		}
		r.acceptOrders()
		r.advance(50 * time.Millisecond)
		for _, h := range handles {
			for ref := range r.lists[h].running {
				if _, short := jobs[ref.Job]; short && r.now.Sub(started[ref]) >= 600*time.Millisecond {
					r.endRun(h, ref, graph.EndDone)
				}
			}
			r.hold(h)
		}
		if tick >= 200 {
			ticks++
			for i := range standingTasks / 6 {
				away += 6 - len(r.attempts(graph.JobID(fmt.Sprintf("%016x", 0x1000+i))))
			}
		}
	}
	for id, at := range jobs {
		j := r.tables.Job(id)
		objective := time.Duration(objectiveMS(j)) * time.Millisecond
		if at.Add(objective).Before(r.now) && (j.State != graph.JobCompleted || j.EndedMS-j.AcceptedMS > objective.Milliseconds()) {
			late++
		}
	}
	if late*20 > len(jobs) {
		t.Errorf("%d of %d short jobs missed their objective", late, len(jobs))
	}
	if share := float64(away) / float64(ticks*standingTasks); share > 0.15 {
		t.Errorf("%.0f%% of the long-running tasks were away on average, although processors for 9 of 10 remain", 100*share)
	}
}

func releasesOf(ws *workerState) []graph.Release {
	var out []graph.Release
	for a := range ws.runs {
		out = append(out, graph.Release{Task: a.Ref(), Run: a.Run, Worker: ws.w.Handle})
	}
	return out
}

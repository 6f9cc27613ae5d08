package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gooseberrypond/core/graph"
)

// crashRig simulates workers that crash and return as later incarnations.
type crashRig struct {
	*rig
	// deadly has the tasks that crash each worker that starts them.
	deadly map[graph.TaskRef]bool
	// silent means that the worker crashes before it answers the start.
	silent bool
	// crashAfter is the time from a start to the crash; crashes has the pending ones.
	crashAfter time.Duration
	crashes    []pendingCrash
	// renamed means that an incarnation returns under another ID at the same address.
	renamed bool
	// downFor is how long a crashed worker is away; 0 means forever.
	downFor time.Duration
	// down has the workers that answer no calls.
	down    map[graph.Handle]bool
	returns []workerReturn
	born    int64
	// starts counts the starts that workers carried out.
	starts map[graph.TaskRef]int
}

type pendingCrash struct {
	at     time.Time
	worker graph.Handle
}

type workerReturn struct {
	at     time.Time
	report graph.WorkerReport
}

func newCrashRig(t *testing.T, workers int) *crashRig {
	r := &crashRig{rig: newRig(t), deadly: map[graph.TaskRef]bool{}, down: map[graph.Handle]bool{},
		starts: map[graph.TaskRef]int{}, downFor: 3 * time.Second, born: 1}
	for i := range workers {
		r.register(fmt.Sprint("w", i), r.born)
	}
	return r
}

// crash ends a worker with all its runs, without notice.
func (r *crashRig) crash(h graph.Handle) {
	r.down[h] = true
	if r.downFor == 0 {
		return
	}
	report := r.tables.Worker(h).WorkerReport
	r.born++
	report.Born, report.Draining = r.born, false
	if r.renamed {
		report.ID = fmt.Sprint("renamed", r.born)
	}
	r.returns = append(r.returns, workerReturn{r.now.Add(r.downFor), report})
}

// run lets the given time pass.
func (r *crashRig) run(d time.Duration) {
	r.t.Helper()
	for end := r.now.Add(d); r.now.Before(end); {
		r.advance(100 * time.Millisecond)
		r.returnWorkers()
		r.crashWorkers()
		r.commitPlan()
		r.carryOutOrders()
		r.answerHolds()
	}
}

func (r *crashRig) returnWorkers() {
	r.t.Helper()
	left := r.returns[:0]
	for _, x := range r.returns {
		if r.now.Before(x.at) {
			left = append(left, x)
			continue
		}
		r.restart(x.report)
		r.commitPlan()
		w := r.tables.WorkerByID(x.report.ID)
		if w == nil || w.Born != x.report.Born {
			r.t.Fatalf("worker %s was not recorded when it returned", x.report.ID)
		}
		r.lists[w.Handle] = &fakeLists{running: map[graph.TaskRef]RunningRow{}}
	}
	r.returns = left
}

func (r *crashRig) crashWorkers() {
	left := r.crashes[:0]
	for _, x := range r.crashes {
		if r.now.Before(x.at) {
			left = append(left, x)
		} else if !r.down[x.worker] {
			r.crash(x.worker)
		}
	}
	r.crashes = left
}

func (r *crashRig) carryOutOrders() {
	for orders := r.core.Orders(r.now); len(orders) > 0; orders = r.core.Orders(r.now) {
		for _, o := range orders {
			r.carryOut(o)
		}
	}
}

func (r *crashRig) carryOut(o Order) {
	kills := o.Kind == OrderStart && r.deadly[o.Task] && !r.down[o.Worker]
	if kills && r.crashAfter > 0 {
		r.crashes, kills = append(r.crashes, pendingCrash{r.now.Add(r.crashAfter), o.Worker}), false
	}
	if o.Kind == OrderStart && !r.down[o.Worker] {
		r.starts[o.Task]++
	}
	if kills {
		r.crash(o.Worker)
	}
	if r.down[o.Worker] && (!kills || r.silent) {
		r.core.OrderDone(r.now, o, OrderReply{Outcome: NoAnswer})
		return
	}
	r.accept(o)
}

func (r *crashRig) answerHolds() {
	for _, ws := range r.core.byHandle {
		h := ws.w.Handle
		if r.tables.Worker(h) == nil {
			continue
		}
		if !r.down[h] {
			r.hold(h)
			continue
		}
		if hold, wait, ok := r.core.NextHold(r.now, h); ok && wait == 0 {
			r.core.HoldFailed(r.now, hold)
		}
	}
}

func (r *crashRig) task(id graph.JobID, index int) *graph.Task {
	return &r.tables.Job(id).Occurrences[0].Steps[0].Tasks[index]
}

// Guards against a task that is started on one worker after another although each of
// them crashes under it.
func TestTaskThatCrashesItsWorkersFailsItsJob(t *testing.T) {
	for _, silent := range []bool{false, true} {
		for _, renamed := range []bool{false, true} {
			for _, elected := range []bool{false, true} {
				for _, longRunning := range []bool{false, true} {
					name := fmt.Sprintf("silent=%t/renamed=%t/elected=%t/long=%t", silent, renamed, elected, longRunning)
					t.Run(name, func(t *testing.T) {
						r := newCrashRig(t, 6)
						r.silent, r.renamed = silent, renamed
						testCrashLoop(r, longRunning, elected)
					})
				}
			}
		}
	}
}

// Guards against a task that is started more often because a list named its run in the
// moment before the crash.
func TestListJustBeforeTheCrashDoesNotSettleARun(t *testing.T) {
	r := newCrashRig(t, 6)
	r.crashAfter = 200 * time.Millisecond
	bad := graph.TaskRef{Job: job1}
	r.deadly[bad] = true
	r.submit(job1, step(1, 1000))
	r.run(time.Minute)
	if s := r.tables.Job(job1).State; s != graph.JobFailed || r.starts[bad] != 3 {
		t.Fatalf("job is %s after %d starts, want failed after 3", s, r.starts[bad])
	}
}

func testCrashLoop(r *crashRig, longRunning, elected bool) {
	r.t.Helper()
	s := step(2, 1000)
	s.LongRunning = longRunning
	bad := graph.TaskRef{Job: job1}
	r.deadly[bad] = true
	r.submit(job1, s)
	if elected {
		for r.starts[bad] < 2 {
			r.run(100 * time.Millisecond)
		}
		r.run(time.Second)
		r.elect(2) // the worker that crashed last has not returned
	}
	r.run(time.Minute)
	if n := r.starts[bad]; n != 3 {
		r.t.Errorf("the task was started %d times, want 3", n)
	}
	if s := r.tables.Job(job1).State; s != graph.JobFailed {
		r.t.Fatalf("job is %s, want failed", s)
	}
	if as := r.attempts(job1); len(as) != 0 {
		r.t.Errorf("attempts %+v of the failed job, want none", as)
	}
	if n := r.core.Stats.CrashLoops; n != 1 {
		r.t.Errorf("%d crash loops are counted, want 1", n)
	}
}

// Guards against losing the count when a worker returns only after its lease has
// expired and its record has been removed: the crash is proven only then, while the
// task runs elsewhere. Two starts may precede the proof.
func TestCrashIsCountedAfterLeaseExpired(t *testing.T) {
	for _, downFor := range []time.Duration{12 * time.Second, 20 * time.Second} {
		for _, renamed := range []bool{false, true} {
			t.Run(fmt.Sprintf("down=%s/renamed=%t", downFor, renamed), func(t *testing.T) {
				r := newCrashRig(t, 6)
				r.downFor, r.renamed = downFor, renamed
				bad := graph.TaskRef{Job: job1}
				r.deadly[bad] = true
				r.submit(job1, step(1, 1000))
				r.run(2 * time.Minute)
				if s := r.tables.Job(job1).State; s != graph.JobFailed {
					t.Fatalf("job is %s after %d starts, want failed", s, r.starts[bad])
				}
				if n := r.starts[bad]; n > 5 {
					t.Errorf("the task was started %d times, want 5 at most", n)
				}
			})
		}
	}
}

// Guards against a job that fails because its runs ended for other reasons than a
// crash of their worker, each time more often than crashes would be allowed.
func TestOtherEndsAreNotCountedAsCrashes(t *testing.T) {
	for name, interrupt := range map[string]func(*crashRig, *graph.Attempt){
		"drained worker returns":             drainAndReturn,
		"cut worker answers again":           cutAndAnswer,
		"cut worker is recorded anew":        cutForLong,
		"worker never returns":               neverReturn,
		"run was stopped before the crash":   stopAndCrash,
		"start never left before the crash":  crashBeforeStart,
		"start was not sent":                 crashWithStartNotSent,
		"end was listed before the crash":    crashAfterListedEnd,
		"lapsed worker drains":               drainAfterLapse,
		"run outlived the window each time":  crashAfterWindow,
		"delayed start ran on the successor": startedOnSuccessor,
	} {
		t.Run(name, func(t *testing.T) {
			r := newCrashRig(t, 8)
			r.submit(job1, step(1, 1000))
			r.run(300 * time.Millisecond)
			for i := range 4 {
				as := r.attempts(job1)
				if len(as) != 1 {
					t.Fatalf("%d attempts before interruption %d, want 1", len(as), i+1)
				}
				interrupt(r, as[0])
				r.run(12 * time.Second)
				if c := r.task(job1, 0).Crashes; len(c) != 0 {
					t.Fatalf("crashes %+v are counted after interruption %d, want none", c, i+1)
				}
			}
			if !r.tables.Job(job1).Live() {
				t.Fatal("the job failed")
			}
		})
	}
}

func drainAndReturn(r *crashRig, a *graph.Attempt) {
	report := a.Worker.WorkerReport
	report.Draining, report.Seq = true, 2
	r.core.Beat(r.now, report)
	r.commitPlan()
	r.crash(a.Worker.Handle)
}

func cutAndAnswer(r *crashRig, a *graph.Attempt) {
	h := a.Worker.Handle
	r.down[h] = true
	r.run(11 * time.Second)
	delete(r.lists[h].running, a.Ref()) // its lease has expired
	delete(r.down, h)
	r.run(time.Second)
	r.crash(h)
}

func cutForLong(r *crashRig, a *graph.Attempt) {
	h, report := a.Worker.Handle, a.Worker.WorkerReport
	r.down[h] = true
	r.run(20 * time.Second)
	if r.tables.Worker(h) != nil {
		r.t.Fatal("the silent worker is still recorded")
	}
	r.returns = append(r.returns, workerReturn{r.now, report})
	r.run(time.Second)
	r.crash(r.tables.WorkerByID(report.ID).Handle)
}

func neverReturn(r *crashRig, a *graph.Attempt) {
	r.down[a.Worker.Handle] = true
}

func stopAndCrash(r *crashRig, a *graph.Attempt) {
	run := r.core.workers[a.Worker.Handle].runs[a]
	run.abandonReason = "test"
	r.core.queueRun(run)
	for _, o := range r.core.Orders(r.now) {
		r.core.OrderDone(r.now, o, OrderReply{Outcome: Accepted, ClockMS: r.now.UnixMilli()})
	}
	r.crash(a.Worker.Handle)
}

// placeAgain releases the run and returns the worker of the next one, which is placed
// but not started.
func placeAgain(r *crashRig, a *graph.Attempt) graph.Handle {
	r.apply(&graph.Batch{Releases: []graph.Release{{Task: a.Ref(), Run: a.Run, Worker: a.Worker.Handle}}})
	delete(r.lists[a.Worker.Handle].running, a.Ref())
	r.commitPlan()
	return r.attempts(job1)[0].Worker.Handle
}

func (r *crashRig) failHold(h graph.Handle) {
	r.core.HoldFailed(r.now, r.core.hold(r.now, r.core.workers[h], 0))
}

func crashBeforeStart(r *crashRig, a *graph.Attempt) {
	h := placeAgain(r, a)
	r.failHold(h)
	r.crash(h)
}

func crashWithStartNotSent(r *crashRig, a *graph.Attempt) {
	h := placeAgain(r, a)
	for _, o := range r.core.Orders(r.now) {
		r.core.OrderDone(r.now, o, OrderReply{Outcome: NotSent})
	}
	r.failHold(h)
	r.crash(h)
}

// crashAfterListedEnd lets the lease expire before the end can be recorded, as when the
// log is unavailable.
func crashAfterListedEnd(r *crashRig, a *graph.Attempt) {
	h := a.Worker.Handle
	r.endRun(h, a.Ref(), graph.EndStopped)
	r.hold(h)
	r.failHold(h)
	r.advance(12 * time.Second)
	r.crash(h)
}

// drainAfterLapse lets the lease of a worker expire whose heartbeats still arrive.
func drainAfterLapse(r *crashRig, a *graph.Attempt) {
	h, report := a.Worker.Handle, a.Worker.WorkerReport
	r.down[h] = true
	r.run(11 * time.Second)
	report.Draining, report.Seq = true, 2
	r.core.Beat(r.now, report)
	r.commitPlan()
	r.crash(h)
}

func crashAfterWindow(r *crashRig, a *graph.Attempt) {
	r.run(graph.CrashWindow + time.Second)
	r.crash(a.Worker.Handle)
}

// startedOnSuccessor replaces the worker by an incarnation that a delayed start of the
// run reaches.
func startedOnSuccessor(r *crashRig, a *graph.Attempt) {
	report := a.Worker.WorkerReport
	r.born++
	report.Born = r.born
	r.returns = append(r.returns, workerReturn{r.now, report})
	r.down[a.Worker.Handle] = true
	r.returnWorkers()
	h := r.tables.WorkerByID(report.ID).Handle
	r.lists[h].running[a.Ref()] = RunningRow{Task: a.Ref(), Run: a.Run}
}

// Guards against a leader that keeps the runs of workers that never return, and against
// one that forgets them before a worker can be expected back.
func TestLapsedRunsAreKeptForAWhile(t *testing.T) {
	r := newCrashRig(t, 2)
	r.downFor = 0
	r.submit(job1, step(1, 1000))
	r.run(300 * time.Millisecond)
	r.crash(r.attempts(job1)[0].Worker.Handle)
	r.run(time.Minute)
	if n := len(r.core.lapsed); n != 1 {
		t.Errorf("lapsed runs of %d workers are known after a minute, want 1", n)
	}
	r.run(lapsedMemory)
	if n := len(r.core.lapsed); n != 0 {
		t.Errorf("lapsed runs of %d workers are known after %s more, want none", n, lapsedMemory)
	}
}

// Guards against losing a crash with a proposal that is not committed.
func TestCrashOfFailedProposalIsProposedAgain(t *testing.T) {
	r := newCrashRig(t, 2)
	r.submit(job1, step(1, 1000))
	r.run(300 * time.Millisecond)
	r.crash(r.attempts(job1)[0].Worker.Handle)
	for range 50 {
		r.advance(100 * time.Millisecond)
		r.returnWorkers()
		b := r.core.Plan(r.now, r.now.UnixMilli())
		if len(b.Crashes) > 0 {
			r.core.ProposalFailed(b)
			r.run(time.Second)
			break
		}
		r.apply(b)
		r.answerHolds()
	}
	if c := r.task(job1, 0).Crashes; len(c) != 1 {
		t.Fatalf("crashes %+v are counted, want one", c)
	}
}

// Guards against a crash that is not counted because its run was started on a worker
// that had just not answered another call.
func TestCrashAfterStartOnSuspectWorkerIsCounted(t *testing.T) {
	r := newCrashRig(t, 1)
	r.submit(job1, step(1, 1000))
	r.commitPlan()
	h := r.attempts(job1)[0].Worker.Handle
	r.failHold(h)
	r.run(time.Second)
	r.crash(h)
	r.run(5 * time.Second)
	if c := r.task(job1, 0).Crashes; len(c) != 1 {
		t.Fatalf("crashes %+v are counted, want one", c)
	}
}

// Guards against workers that are avoided for the whole service of a task whose former
// worker crashed.
func TestCrashSuspectIsAvoidedOnlyInTheCrashWindow(t *testing.T) {
	r := newCrashRig(t, 1)
	r.submit(job1, serving(1, 1000, "s"))
	r.run(time.Second)
	r.crash(r.attempts(job1)[0].Worker.Handle)
	r.run(5 * time.Second)
	h := r.attempts(job1)[0].Worker.Handle
	for _, want := range []int{1, 0} {
		r.core.candidates(r.now)
		if n := r.core.workers[h].candidate.crashSuspects; n != want {
			t.Errorf("%d crash suspects are seen on the worker, want %d", n, want)
		}
		r.run(graph.CrashWindow)
	}
}

// Guards against counting the members of a gang that found no place as runs of the
// workers that were tried.
func TestGangWithoutPlaceLeavesNoRunsBehind(t *testing.T) {
	r := newCrashRig(t, 2)
	gang := step(3, 5000)
	gang.Gang = true
	r.submit(job1, gang)
	r.commitPlan()
	for _, ws := range r.core.byHandle {
		if n := ws.candidate.runs; n != 0 {
			t.Errorf("worker %d has %d runs after a gang that was not placed, want 0", ws.w.Handle, n)
		}
	}
}

// Guards against jobs that fail because they share workers with a task that crashes
// them. Eight workers have room to place each suspect apart, so no neighbour is on a
// worker with the deadly task each time. The neighbours are small, so idle processors
// alone would bring all of them back together to the worker that has just returned.
func TestNeighboursOfDeadlyTaskGoOn(t *testing.T) {
	r := newCrashRig(t, 1)
	r.crashAfter = 800 * time.Millisecond
	bad := graph.TaskRef{Job: job1}
	r.deadly[bad] = true
	r.submit(job1, step(1, 10))
	neighbours := []graph.JobID{}
	for i := range 6 {
		neighbours = append(neighbours, graph.JobID(fmt.Sprintf("00000000000000b%d", i)))
		r.submit(neighbours[i], step(1, 10))
	}
	r.run(200 * time.Millisecond) // all of them on one worker
	for i := 1; i < 8; i++ {
		id := graph.JobID(fmt.Sprintf("00000000000000c%d", i))
		r.occupy(id, r.register(fmt.Sprint("w", i), 1), 2, 1000)
		neighbours = append(neighbours, id)
	}
	r.run(time.Minute)
	if s := r.tables.Job(job1).State; s != graph.JobFailed || r.starts[bad] != 5 {
		t.Fatalf("job of the deadly task is %s after %d starts, want failed after 5 that were settled", s, r.starts[bad])
	}
	for _, id := range neighbours {
		if !r.tables.Job(id).Live() {
			t.Errorf("job %s failed beside the deadly task", id)
		}
	}
}

// Guards against a job with long-running tasks that fails because one of them was on
// the workers of three deadly tasks.
func TestSettledRunIsNotBlamedAsEarlyAsOthers(t *testing.T) {
	r := newCrashRig(t, 1)
	r.submit(job1, serving(1, 1000, "s"))
	r.run(time.Second)
	for i := range 3 {
		id := graph.JobID(fmt.Sprintf("00000000000000b%d", i))
		r.deadly[graph.TaskRef{Job: id}] = true
		r.submit(id, step(1, 10))
		r.run(time.Second)
		r.apply(&graph.Batch{Cancels: []graph.JobID{id}})
		r.run(4 * time.Second)
	}
	if c := r.task(job1, 0).Crashes; len(c) != 3 || !r.tables.Job(job1).Live() {
		t.Fatalf("job live=%t after crashes %+v, want live after 3", r.tables.Job(job1).Live(), c)
	}
}

// Guards against the placement of crash suspects together or among many other runs,
// and of other tasks beside them, while there is a choice. The workers with more runs
// have more idle processors, which decides for other tasks.
func TestCrashSuspectsArePlacedApart(t *testing.T) {
	r := newCrashRig(t, 1)
	r.downFor = time.Minute
	r.submit(job1, step(2, 1000))
	r.run(time.Second)
	first := r.tables.WorkerByID("w0").Handle
	r.crash(first)
	r.run(500 * time.Millisecond)
	few, more, most := r.register("few", 1), r.register("more", 1), r.register("most", 1)
	r.occupy("00000000000000b1", few, 1, 4000)
	r.occupy("00000000000000b2", more, 3, 10)
	r.occupy("00000000000000b3", most, 5, 10)
	for i := range 2 {
		ref := graph.TaskRef{Job: job1, Index: i}
		r.apply(&graph.Batch{
			Crashes:  []graph.Crash{{Task: ref, Run: 1, Worker: first}},
			Releases: []graph.Release{{Task: ref, Run: 1, Worker: first}},
		})
	}
	r.run(100 * time.Millisecond)
	as := r.attempts(job1)
	if len(as) != 2 || handles(as)[0] != few || handles(as)[1] != more {
		t.Fatalf("suspects are on workers %v, want %d and %d", handles(as), few, more)
	}
	r.submit("00000000000000b4", step(4, 1000))
	r.run(100 * time.Millisecond)
	for _, h := range handles(r.attempts("00000000000000b4")) {
		if h != most {
			t.Errorf("a task was placed beside a suspect on worker %d, with room on worker %d", h, most)
		}
	}
}

// Guards against crash suspects that are spread over all workers, after many of these have
// crashed, so that none is left without serving tasks of several images (KNOWN-RED 13).
func TestCrashSuspectsAreKeptApartOnAPartOfTheWorkers(t *testing.T) {
	const workers = 40
	const image, suspect = graph.JobID("00000000000000b1"), graph.JobID("00000000000000b2")
	for suspects, apart := range map[int]bool{minSuspectWorkers: true, workers/4 + 1: false} {
		r := newCrashRig(t, workers)
		handle := func(i int) graph.Handle { return r.tables.WorkerByID(fmt.Sprint("w", i)).Handle }
		for i := range suspects {
			id := graph.JobID(fmt.Sprintf("00000000000001%02d", i))
			r.occupy(id, handle(i), 1, 10)
			r.apply(&graph.Batch{Crashes: []graph.Crash{{Task: graph.TaskRef{Job: id}, Run: 1, Worker: handle(i)}}})
		}
		same := handle(workers - 1)
		r.submit(image, serving(3, 1000, "s"))
		for i := range 3 {
			r.apply(&graph.Batch{Starts: []graph.Start{{Task: graph.TaskRef{Job: image, Index: i}, Run: 1, Worker: same}}})
		}
		r.submit(suspect, serving(1, 1000, "s"))
		r.apply(&graph.Batch{Crashes: []graph.Crash{{Task: graph.TaskRef{Job: suspect}, Run: 1, Worker: handle(0)}}})
		r.advance(placeRetry)
		r.commitPlan()
		as := r.attempts(suspect)
		if len(as) != 1 || (as[0].Worker.Handle != same) != apart {
			t.Errorf("with suspects on %d of %d workers another one is on %v, the image's worker is %d; want it apart %t", suspects, workers, handles(as), same, apart)
		}
	}
}

// occupy starts n tasks of a new job on a worker.
func (r *crashRig) occupy(id graph.JobID, h graph.Handle, n int, cpu int64) {
	r.submit(id, step(n, cpu))
	var starts []graph.Start
	for i := range n {
		starts = append(starts, graph.Start{Task: graph.TaskRef{Job: id, Index: i}, Run: 1, Worker: h})
	}
	r.apply(&graph.Batch{Starts: starts})
}

func handles(as []*graph.Attempt) []graph.Handle {
	var out []graph.Handle
	for _, a := range as {
		out = append(out, a.Worker.Handle)
	}
	return out
}

// Guards against a crash suspect that waits while there is room for it, although only
// beside another suspect.
func TestCrashSuspectStartsBesideAnotherForLackOfChoice(t *testing.T) {
	r := newCrashRig(t, 1)
	s := serving(2, 1000, "s")
	r.submit(job1, s)
	r.run(time.Second)
	r.crash(r.attempts(job1)[0].Worker.Handle)
	r.run(6 * time.Second)
	if n := len(r.attempts(job1)); n != 2 {
		t.Fatalf("%d of 2 long-running tasks run 3 s after their only worker returned", n)
	}
}

// Guards against a job that fails although its task has ended done: a copy of the task
// crashes its third worker in the batch that records the end.
func TestCrashOfADoneTaskIsNotCounted(t *testing.T) {
	r := newRig(t)
	h := []graph.Handle{r.register("a", 1), r.register("b", 1)}
	s := step(1, 1000)
	s.Speculative = true
	r.submit(rid(1), s)
	ref := graph.TaskRef{Job: rid(1)}
	for run := 1; run <= 2; run++ {
		r.apply(&graph.Batch{Starts: []graph.Start{{Task: ref, Run: run, Worker: h[0]}}})
		r.apply(&graph.Batch{Crashes: []graph.Crash{{Task: ref, Run: run, Worker: h[0]}}, Releases: []graph.Release{{Task: ref, Run: run, Worker: h[0]}}})
	}
	r.apply(&graph.Batch{Starts: []graph.Start{{Task: ref, Run: 3, Worker: h[0]}, {Task: ref, Run: 4, Worker: h[1]}}})
	r.apply(&graph.Batch{
		Crashes:  []graph.Crash{{Task: ref, Run: 3, Worker: h[0]}},
		Releases: []graph.Release{{Task: ref, Run: 3, Worker: h[0]}},
		Ends:     []graph.End{{Task: ref, Run: 4, Worker: h[1], Kind: graph.EndDone}},
	})
	if st := r.tables.Job(rid(1)).State; st != graph.JobCompleted {
		t.Errorf("job is %s, want completed: its only task ended done", st)
	}
}

func (r *crashRig) lapsedNow() map[*graph.Worker]lapsedRuns { return r.core.lapsed }

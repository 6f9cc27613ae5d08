package dispatch

import (
	"math"
	"testing"
	"time"

	"gooseberrypond/core/graph"
)

// answerAs answers the next call to a worker as an incarnation with the given start time.
func (r *rig) answerAs(h graph.Handle, born int64) {
	hold := r.core.hold(r.now, r.core.workers[h], 0)
	r.core.HoldDone(r.now, r.now, hold, &HoldReply{Born: born, ClockMS: r.now.UnixMilli()})
}

// Guards against a report of another writer that takes a worker which answers, and its runs,
// out of use (second report of issue 38: the machines stopped following the list).
func TestForeignReportDoesNotDisplaceAWorkerThatAnswers(t *testing.T) {
	r := newRig(t)
	h := r.register("a", 1)
	r.submit(job1, step(1, 1000))
	r.commitPlan()
	r.acceptOrders()
	foreign := worker("a", 50)
	foreign.Address = "elsewhere:80"
	r.core.Beat(r.now, foreign)
	r.advance(100 * time.Millisecond)
	if polls := r.core.DuePolls(r.now); len(polls) != 1 || polls[0].Worker != h {
		t.Errorf("polled %+v, want the worker that the report would displace", polls)
	}
	r.hold(h)
	r.commitPlan()
	if w := r.tables.WorkerByID("a"); w.Handle != h || w.Left || len(w.Attempts) != 1 || !r.core.usable(r.now, r.core.workers[h]) {
		t.Errorf("the worker that answers was displaced by %+v", w.WorkerReport)
	}
	if n := r.core.Stats.RefutedReports; n != 1 {
		t.Errorf("%d reports count as refuted, want 1", n)
	}
}

// Guards against a worker that restarts between two calls and is kept out as its own rival.
func TestRestartBetweenCallsIsRecorded(t *testing.T) {
	for name, fail := range map[string]func(*rig, graph.Handle){
		"answers with its start time": func(r *rig, h graph.Handle) { r.answerAs(h, 50) },
		"does not answer":             func(r *rig, h graph.Handle) { r.core.HoldFailed(r.now, Hold{Target: Target{Worker: h}}) },
	} {
		r := newRig(t)
		h := r.register("a", 1)
		draining := worker("a", 50)
		draining.Seq = 2
		draining.Draining = true
		r.core.Beat(r.now, worker("a", 50))
		r.core.Beat(r.now, draining)
		r.advance(100 * time.Millisecond)
		fail(r, h)
		r.commitPlan()
		if w := r.tables.WorkerByID("a"); w.Born != 50 || !w.Draining {
			t.Errorf("%s: recorded %+v, want the last report of the new incarnation", name, w.WorkerReport)
		}
	}
}

// Guards against a report under another ID at a worker's address that keeps the worker out
// after its next restart, although nothing ever answered under that ID.
func TestForeignReportDoesNotTakeAnAddress(t *testing.T) {
	r := newRig(t)
	r.register("a", 1)
	foreign := worker("x", 1000)
	foreign.Address = "a:80"
	r.core.Beat(r.now, foreign)
	r.commitPlan()
	r.restart(worker("a", 50))
	r.commitPlan()
	if w := r.tables.WorkerByID("a"); w.Born != 50 {
		t.Errorf("the worker's restart is not recorded: born %d", w.Born)
	}
}

// Guards against a record that a former version accepted, from the log or a snapshot: sums
// that wrap around, and work for a worker that cannot exist.
func TestImpossibleRecordIsNotUsed(t *testing.T) {
	r := newRig(t)
	odd := worker("odd", 1)
	odd.Capacity.CPUMilli, odd.Capacity.MemoryMB = math.MaxInt64, math.MaxInt64
	port := worker("port", 1)
	port.Address = "port:99999"
	r.apply(&graph.Batch{Workers: []graph.WorkerChange{{Report: odd}, {Report: port}}})
	r.elect(2)
	for _, id := range []string{"odd", "port"} {
		r.answerAs(r.tables.WorkerByID(id).Handle, 1)
	}
	h := r.register("a", 1)
	r.submit(job1, step(2, 1000))
	r.advance(placeRetry)
	r.commitPlan()
	for _, a := range r.attempts(job1) {
		if a.Worker.Handle != h {
			t.Errorf("a task was placed on %s", a.Worker.ID)
		}
	}
	if n := len(r.attempts(job1)); n != 2 {
		t.Errorf("%d tasks were placed, want 2", n)
	}
	if free := r.core.FreeCapacity().Sum; free < 0 || free > 8000 {
		t.Errorf("free capacity is %d", free)
	}
	r.advance(sweepInterval)
	r.commitPlan()
	if r.tables.WorkerByID("odd") != nil || r.tables.WorkerByID("port") != nil {
		t.Error("the impossible records are kept")
	}
}

// Guards against an end that a later incarnation discards unseen: between its first report and
// the answer that shows who is there, a call carried the cursor of the incarnation before.
func TestDoubtedWorkerGetsNoCursorAndNoStart(t *testing.T) {
	r := newRig(t)
	h := r.register("a", 1)
	r.submit(job1, step(1, 1000))
	r.commitPlan()
	ref := r.acceptOrders()[0].Task
	r.endRun(h, ref, graph.EndDone)
	r.hold(h)
	r.commitPlan()
	r.submit(job2, step(1, 1000))
	r.advance(placeRetry)
	r.commitPlan()
	if ws := r.core.workers[h]; ws.ackCursor == 0 || !ws.incarnationKnown || len(ws.runs) != 1 {
		t.Fatalf("cursor %d, %d runs: the test needs an end to acknowledge and a start to send", ws.ackCursor, len(ws.runs))
	}
	r.core.Beat(r.now, worker("a", 50))
	if orders := r.core.Orders(r.now); len(orders) != 0 {
		t.Errorf("sent %+v to whoever is at the worker's address", orders)
	}
	r.advance(pollDelay)
	polls := r.core.DuePolls(r.now)
	if len(polls) != 1 || polls[0].AckCursor != 0 {
		t.Fatalf("polled %+v, want one call without a cursor", polls)
	}
	r.answer(polls[0])
	if next := r.core.hold(r.now, r.core.workers[h], 0); next.AckCursor == 0 {
		t.Error("the worker answered as itself, and its ends are not acknowledged")
	}
	if orders := r.core.Orders(r.now); len(orders) != 1 {
		t.Errorf("%d orders are sent after the worker answered as itself, want the start", len(orders))
	}
}

// foreignReport returns a report of another writer under a worker's ID and start time, with
// a pool that no configuration names.
func foreignReport(id string, born int64) graph.WorkerReport {
	r := worker(id, born)
	r.Pool, r.Seq = "elsewhere", 1_000_000
	return r
}

// expectPlacedOn submits a job and expects its task on the worker.
func (r *rig) expectPlacedOn(id string, job graph.JobID) {
	r.t.Helper()
	r.submit(job, step(1, 1000))
	r.advance(placeRetry)
	r.commitPlan()
	if a := r.attempts(job); len(a) != 1 || a[0].Worker.ID != id {
		r.t.Errorf("job %s has the attempts %v, want one on %s", job, a, id)
	}
}

// Guards against a worker that is taken out for the leader's term by one report of another
// writer that names a pool which no configuration has.
func TestReportOfAnUnnamedPoolIsIgnored(t *testing.T) {
	r := newRig(t)
	h := r.register("a", 1)
	if r.core.Beat(r.now, foreignReport("a", 1)) || r.core.Beat(r.now, foreignReport("b", 1)) {
		t.Error("a report of an unnamed pool is to be recorded")
	}
	r.commitPlan()
	if w := r.tables.WorkerByID("a"); w.Pool != "p" || r.core.workers[h].heartbeatSeq != 0 || r.tables.WorkerByID("b") != nil {
		t.Errorf("recorded %+v, %+v", w.WorkerReport, r.tables.WorkerByID("b"))
	}
	if n := r.core.Stats.UnnamedPools; n != 2 {
		t.Errorf("%d reports count as ignored, want 2", n)
	}
	r.expectPlacedOn("a", job1)
}

// Guards against a worker that cannot put right what another writer reported before the
// first configuration, which named no pools yet.
func TestOwnReportReplacesThatOfAnUnnamedPool(t *testing.T) {
	r := newRig(t)
	config := r.tables.Config()
	r.tables = graph.New()
	r.elect(1)
	h := r.register("a", 1)
	r.core.Beat(r.now, foreignReport("a", 1))
	r.commitPlan()
	if w := r.tables.WorkerByID("a"); w.Pool != "elsewhere" {
		t.Fatalf("recorded %+v, want the newest report", w.WorkerReport)
	}
	again := *config
	r.apply(&graph.Batch{Config: &again})
	own := worker("a", 1)
	own.Seq = 7
	if !r.core.Beat(r.now, own) {
		t.Error("the worker's own report is not to be recorded")
	}
	r.commitPlan()
	r.hold(h)
	r.expectPlacedOn("a", job1)
}

// Guards against a worker of a pool that was removed from the configuration whose reports
// are ignored: its notice that it drains must count.
func TestWorkerOfARemovedPoolStillReports(t *testing.T) {
	r := newRig(t)
	r.register("a", 1)
	r.apply(&graph.Batch{Config: &graph.Config{Version: 2, Pools: []graph.Pool{{Name: "other"}}}})
	draining := worker("a", 1)
	draining.Draining, draining.Seq = true, 2
	if !r.core.Beat(r.now, draining) {
		t.Error("the report is not to be recorded")
	}
	r.commitPlan()
	if w := r.tables.WorkerByID("a"); w == nil || !w.Draining {
		t.Errorf("recorded %+v, want a draining worker", w)
	}
}

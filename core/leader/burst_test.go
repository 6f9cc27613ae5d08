package leader

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gooseberrypond/core/structs"
)

// burstMemory is the largest heap allowed after the bursts. It is the memory of
// a control host.
const burstMemory = 256 << 20

// Guards against submissions or cancels without an answer, unbounded memory
// growth, and an urgent job that waits behind a burst of 12,000 submissions or
// 10,000 cancels.
func TestSubmitAndCancelBursts(t *testing.T) {
	const submits, cancels, bound = 12_000, 10_000, 13_000
	cat := pumpCatalogue()
	cat.Owners["vans"] = structs.Owner{MaxPendingJobs: bound}
	d := newScenarioDriver(t, []string{"north", "east", "south", "west"}, 50, 6, cat)
	d.taskRunMS = map[string]int64{"check": 4000, "diagnosis": 240_000}
	d.run(13)
	spec := structs.JobSpec{Entry: "diagnosis", Kind: structs.KindBatch, Payload: make([]byte, 1000)}
	jobs := d.submitBurst(submits, spec, "first")
	d.submitUrgent("check0")
	d.run(30) // the workers have no free capacity
	d.submitUrgent("check1")

	var cancelled int
	for i, id := range jobs[:cancels] {
		if i == cancels/2 {
			d.submit("pumps", "check2", structs.JobSpec{Entry: "check", Kind: structs.KindBatch})
		}
		if res := d.apply(&structs.Command{CancelJob: &structs.CancelJob{Owner: "vans", Job: id}}); res.Error != nil {
			t.Errorf("cancel %s: %v", id, res.Error)
			continue
		}
		cancelled++
	}
	if cancelled != cancels {
		t.Errorf("%d of %d cancels accepted", cancelled, cancels)
	}
	stopping := d.countUnfinished(jobs[:cancels])
	if again, want := len(d.submitBurst(submits, spec, "second")), bound-(submits-cancels)-stopping; again != want {
		t.Errorf("%d submissions accepted after the cancels with %d cancelled jobs unfinished, want %d", again, stopping, want)
	}
	if live := d.tables.LiveJobs("vans"); live != bound {
		t.Errorf("%d unfinished jobs in the tables, want the limit of %d", live, bound)
	}
	d.submit("pumps", "check3", structs.JobSpec{Entry: "check", Kind: structs.KindBatch})
	d.run(60)
	for i := range 4 {
		key := fmt.Sprint("check", i)
		task := d.tables.TasksOf(d.jobs[key])[0]
		if wait := task.StartedMS - d.tables.Job(d.jobs[key]).SubmittedMS; task.StartedMS == 0 || wait > urgentStartMS {
			t.Errorf("urgent job %s did not start in time (%d ms after submission): %+v", key, wait, task)
		}
	}
	for i, id := range jobs[:cancels] {
		if job := d.tables.Job(id); job.Status != structs.StatusCancelled {
			t.Fatalf("job %d is not cancelled: %+v", i, job)
		}
	}
	if err := d.tables.Check(); err != nil {
		t.Fatal(err)
	}
	var mem runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&mem)
	if mem.HeapAlloc > burstMemory {
		t.Errorf("heap of %d MiB after the bursts exceeds burstMemory", mem.HeapAlloc>>20)
	}
	t.Logf("heap after the bursts: %d MiB", mem.HeapAlloc>>20)
	runtime.KeepAlive(d)
}

// submitBurst submits n jobs in commands of 256 and returns the accepted ones.
// Every other submission must be refused with CodeQueueFull, the outcome "not
// run" and a retry delay.
func (d *scenarioDriver) submitBurst(n int, spec structs.JobSpec, name string) []structs.JobID {
	var accepted []structs.JobID
	for at := 0; at < n; at += 256 {
		cmd := &structs.SubmitJobs{}
		for i := at; i < min(n, at+256); i++ {
			cmd.Jobs = append(cmd.Jobs, structs.SubmitJob{Owner: "vans", Key: fmt.Sprint(name, i), Spec: spec})
		}
		res := d.apply(&structs.Command{SubmitJobs: cmd}).Submits
		if len(res) != len(cmd.Jobs) {
			d.t.Fatalf("%d answers to %d submissions", len(res), len(cmd.Jobs))
		}
		for _, r := range res {
			switch {
			case r.Error == nil && r.Job != "":
				accepted = append(accepted, r.Job)
			case r.Error == nil || r.Error.Code != structs.CodeQueueFull || r.Error.Outcome != structs.OutcomeNotRun || r.Error.RetryAfterMS == 0:
				d.t.Errorf("submission answered %+v, want a job or a refusal with queue_full, not_run and a retry delay", r)
			}
		}
	}
	return accepted
}

// countUnfinished returns the number of unfinished jobs. A cancelled job is
// unfinished until its worker has stopped the task.
func (d *scenarioDriver) countUnfinished(jobs []structs.JobID) int {
	n := 0
	for _, id := range jobs {
		if !d.tables.Job(id).Status.Finished() {
			n++
		}
	}
	return n
}

// submitUrgent submits an urgent job and requires the next plan to act on it.
func (d *scenarioDriver) submitUrgent(key string) {
	d.submit("pumps", key, structs.JobSpec{Entry: "check", Kind: structs.KindBatch})
	d.checkUrgentPlanned(key)
}

// checkUrgentPlanned requires the next plan to place the job or to evict tasks
// to free capacity for it.
func (d *scenarioDriver) checkUrgentPlanned(key string) {
	d.now = d.now.Add(20 * time.Millisecond)
	evictions := 0
	for _, cmd := range d.core.Tick(d.now, d.now.UnixMilli()) {
		d.apply(cmd)
		if cmd.Plan != nil {
			evictions += len(cmd.Plan.Evict)
		}
	}
	if task := d.tables.TasksOf(d.jobs[key])[0]; task.State == structs.AttemptNone && evictions == 0 {
		d.t.Errorf("next plan neither places urgent job %s nor evicts for it: %+v", key, task)
	}
}

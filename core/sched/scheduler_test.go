package sched

import (
	"slices"
	"strings"
	"testing"
	"time"

	"gooseberrypond/core/structs"
)

func cores(n int64) structs.Resources {
	return structs.Resources{CPUMilli: n * 1000, MemoryMB: n * 1000}
}

// newTestCluster returns a cluster with two owners and a service, an urgent and
// two batch entries.
func newTestCluster(workers int) (*cluster, *Scheduler) {
	c := newCluster(workers, workerCapacity)
	c.catalogue(map[string]structs.Owner{"a": {}, "b": {Weight: 2}}, map[string]structs.Entry{
		"service": {Owner: "a", Class: structs.ClassLatency, Resources: cores(4)},
		"batch":   {Owner: "a", Class: structs.ClassBatch, Resources: cores(8), ExpectedRuntimeMS: 60_000},
		"other":   {Owner: "b", Class: structs.ClassBatch, Resources: cores(8), ExpectedRuntimeMS: 60_000},
		"urgent":  {Owner: "b", Class: structs.ClassBatch, Urgent: true, Resources: cores(8)},
	})
	return c, New(Options{Seed: 1})
}

// tick advances the clock by d, applies a plan and reports its tasks as started.
func (c *cluster) tick(t *testing.T, s *Scheduler, d time.Duration) *structs.Plan {
	t.Helper()
	c.now = c.now.Add(d)
	plan := s.Plan(c.now, c.now.UnixMilli(), c.t, allLive{})
	if res := c.apply(&structs.Command{Plan: plan}); res.Dropped > 0 {
		t.Fatalf("%d decisions dropped when the plan was applied: %+v", res.Dropped, plan)
	}
	for _, a := range plan.Assign {
		c.report(s, a.Task, structs.EventStarted)
	}
	return plan
}

func (c *cluster) setDomain(domain string, out bool) {
	c.apply(&structs.Command{SetDomain: &structs.SetDomain{ChangeID: domain + c.now.String(), Domain: domain, Out: out}})
}

func assignedByEntry(c *cluster, plan *structs.Plan) map[string]int {
	n := map[string]int{}
	for _, a := range plan.Assign {
		n[c.t.Job(a.Task.Job).Spec.Entry]++
	}
	return n
}

// Guards against one owner taking all capacity or weights being ignored: with
// capacity for 12 tasks, the owner with weight 2 gets 8 of them.
func TestSharesFollowWeights(t *testing.T) {
	c, s := newTestCluster(3)
	c.submit("batch", structs.JobSpec{Count: 50})
	c.submit("other", structs.JobSpec{Count: 50})
	got := assignedByEntry(c, c.tick(t, s, time.Second))
	if got["batch"] != 4 || got["other"] != 8 {
		t.Errorf("placed %v, want 4 of batch and 8 of other", got)
	}
}

// Guards against placing older jobs before a job with less slack.
func TestLeastSlackFirst(t *testing.T) {
	c, s := newTestCluster(1)
	now := c.now.UnixMilli()
	c.submit("batch", structs.JobSpec{Count: 4})
	late := c.submit("batch", structs.JobSpec{Count: 2, DeadlineMS: now + 900_000})
	soon := c.submit("batch", structs.JobSpec{Count: 2, DeadlineMS: now + 90_000})
	plan := c.tick(t, s, time.Second)
	var order []structs.JobID
	for _, a := range plan.Assign {
		order = append(order, a.Task.Job)
	}
	if want := []structs.JobID{soon, soon, late, late}; !slices.Equal(order, want) {
		t.Errorf("placement order %v, want %v", order, want)
	}
}

// Guards against reporting a deadline that cannot be met late or twice.
func TestDeadlineNotedOnce(t *testing.T) {
	c, s := newTestCluster(1)
	c.submit("batch", structs.JobSpec{Count: 2, DeadlineMS: c.now.UnixMilli() + 30_000})
	if plan := c.tick(t, s, time.Second); len(plan.Notes) != 1 || !plan.Notes[0].DeadlineAtRisk {
		t.Fatalf("notes %+v, want one for the deadline", plan.Notes)
	}
	for range 5 {
		if plan := c.tick(t, s, time.Second); len(plan.Notes) != 0 {
			t.Fatalf("deadline note repeated: %+v", plan.Notes)
		}
	}
}

// Guards against declaring jobs unrunnable before any worker is known or because
// workers are in a domain out of service, and against missing reasons.
func TestUnrunnable(t *testing.T) {
	c, s := newTestCluster(0)
	big := c.submit("batch", structs.JobSpec{Resources: cores(33)})
	fits := c.submit("batch", structs.JobSpec{Resources: cores(32)})
	if plan := c.tick(t, s, time.Second); len(plan.Notes) != 0 {
		t.Fatalf("notes before any worker has registered: %+v", plan.Notes)
	}
	c.apply(&structs.Command{RegisterWorker: &structs.WorkerRegister{ID: "w", Incarnation: 1, Rack: "r", Domain: "d0", Capacity: workerCapacity}})
	c.setDomain("d0", true)
	plan := c.tick(t, s, time.Second)
	if len(plan.Notes) != 1 || plan.Notes[0].Job != big || !plan.Notes[0].Unrunnable {
		t.Fatalf("notes %+v, want only %s unrunnable", plan.Notes, big)
	}
	if r := plan.Notes[0].Reasons; len(r) != 1 || !strings.Contains(r[0], "domain d0: needs 33000 milli-cores, has 32000") {
		t.Errorf("reasons %q, want one for domain d0 with the missing milli-cores", r)
	}
	if got := c.t.Job(fits).Status; got != structs.StatusPending {
		t.Errorf("job that fits a worker in a domain out of service is %s, want pending", got)
	}
}

// Guards against placing several replicas of a service in one domain or on one
// worker because it is the least loaded.
func TestServiceSpreads(t *testing.T) {
	c, s := newTestCluster(6)
	c.setDomain("d0", true)
	c.submit("batch", structs.JobSpec{Count: 10})
	c.tick(t, s, time.Second)
	c.setDomain("d0", false)
	c.tick(t, s, 2*structs.DomainReturnPacing)
	c.submit("service", structs.JobSpec{Kind: structs.KindService, Count: 6})
	workers := map[structs.WorkerID]int{}
	for _, a := range c.tick(t, s, time.Second).Assign {
		workers[a.Worker]++
	}
	if len(workers) != 6 {
		t.Errorf("6 replicas on workers %v, want one on each worker", workers)
	}
}

// Guards against urgent work waiting behind batch work, evicting the task that
// loses the most work, and giving the freed capacity to another task.
func TestUrgentPreemptsTaskWithLeastLoss(t *testing.T) {
	c, s := newTestCluster(1)
	c.submit("batch", structs.JobSpec{Count: 3})
	c.tick(t, s, time.Second)
	young := c.submit("other", structs.JobSpec{Count: 1})
	c.tick(t, s, 40*time.Second)
	urgent := c.submit("urgent", structs.JobSpec{})
	plan := c.tick(t, s, time.Second)
	if len(plan.Evict) != 1 || plan.Evict[0].Ref.Task.Job != young {
		t.Fatalf("evicted %+v, want the task with the shortest run time", plan.Evict)
	}
	if again := c.tick(t, s, time.Second); len(again.Evict) != 0 {
		t.Fatalf("evicted again for the same urgent task: %+v", again.Evict)
	}
	c.submit("batch", structs.JobSpec{Count: 5})
	c.report(s, plan.Evict[0].Ref.Task, structs.EventCheckpointed)
	plan = c.tick(t, s, time.Second)
	if len(plan.Assign) != 1 || plan.Assign[0].Task.Job != urgent {
		t.Errorf("assigned %+v, want the urgent task in the capacity freed for it", plan.Assign)
	}
}

// Guards against evicting one owner's tasks without limit, against charging
// evictions for urgent tasks to the general budget, and against tasks that wait
// for a checkpoint blocking the tasks queued behind them.
func TestEvictionBudget(t *testing.T) {
	for entry, burst := range map[string]float64{"urgent": urgentBurst, "service": evictionBurst} {
		t.Run(entry, func(t *testing.T) {
			c, s := newTestCluster(100)
			c.submit("batch", structs.JobSpec{Count: 400})
			c.tick(t, s, time.Second)
			c.submit(entry, structs.JobSpec{Count: 300, Resources: cores(8)})
			evicted := 0
			for range 50 {
				evicted += len(c.tick(t, s, 100*time.Millisecond).Evict)
			}
			if refill := burst / 12; evicted < int(burst) || evicted > int(burst+refill) {
				t.Errorf("%d evictions of one owner's tasks in 5 s, want the budget of %.0f plus refill", evicted, burst)
			}
		})
	}
}

// Guards against services that wait indefinitely while batch work occupies all
// workers, for example after workers were lost.
func TestServicePreemptsBatchAfterWait(t *testing.T) {
	c, s := newTestCluster(1)
	c.submit("batch", structs.JobSpec{Count: 4})
	c.tick(t, s, time.Second)
	c.submit("service", structs.JobSpec{Kind: structs.KindService})
	if plan := c.tick(t, s, time.Second); len(plan.Evict) != 0 {
		t.Fatalf("evicted %+v before latencyStarvedAfter", plan.Evict)
	}
	plan := c.tick(t, s, latencyStarvedAfter)
	if len(plan.Evict) != 1 {
		t.Fatalf("evicted %+v, want one batch task", plan.Evict)
	}
	c.report(s, plan.Evict[0].Ref.Task, structs.EventCheckpointed)
	if got := assignedByEntry(c, c.tick(t, s, time.Second)); got["service"] != 1 {
		t.Errorf("placed %v, want the service in the capacity freed for it", got)
	}
}

// Guards against continuing to use a worker on which every task fails, never
// using it again, and quarantining healthy workers because of a faulty entry.
func TestQuarantine(t *testing.T) {
	fail := func(s *Scheduler, worker structs.WorkerID, entry string, at int64) {
		task := &structs.Task{ID: structs.TaskID{Job: "j"}, Worker: worker}
		s.RecordEnd(structs.TaskEvent{Type: structs.EventFailed}, task, entry, at)
	}
	s := New(Options{})
	for i := range 3 {
		fail(s, "w1", "e", int64(i))
	}
	h := s.health["w1"]
	if h == nil || !h.probing || h.quarantinedUntilMS != 2+quarantineMin.Milliseconds() {
		t.Fatalf("after 3 failures: %+v, want quarantine for 10 s", h)
	}
	for i := range 10 {
		before := h.quarantinedUntilMS
		fail(s, "w1", "e", before)
		if want := min(quarantineMin<<(i+1), quarantineMax); h.quarantinedUntilMS-before != want.Milliseconds() {
			t.Fatalf("failure %d after the first quarantine: quarantined for %d ms, want %s", i, h.quarantinedUntilMS-before, want)
		}
	}
	s.RecordEnd(structs.TaskEvent{Type: structs.EventFinished}, &structs.Task{Worker: "w1"}, "e", 0)
	if s.health["w1"] != nil {
		t.Error("worker still has a failure record after a success")
	}
	for _, w := range []structs.WorkerID{"w2", "w3", "w4", "w5", "w5", "w5"} {
		fail(s, w, "bad", 0)
	}
	if s.health["w5"] != nil {
		t.Error("failure counted against the worker for an entry that fails on every worker")
	}
}

// Guards against retrying a failed task on the same worker while there is
// another, and against not retrying it when there is none.
func TestRetryOnAnotherWorker(t *testing.T) {
	c, s := newTestCluster(2)
	c.submit("batch", structs.JobSpec{})
	first := c.tick(t, s, time.Second).Assign[0]
	// Load the other worker more, so that only the failure rule prefers it.
	c.submit("other", structs.JobSpec{})
	c.tick(t, s, time.Second)
	c.report(s, first.Task, structs.EventFailed)
	second := c.tick(t, s, 10*time.Second).Assign
	if len(second) != 1 || second[0].Worker == first.Worker {
		t.Fatalf("retried: %+v, want one attempt, not on %s", second, first.Worker)
	}
	c.report(s, first.Task, structs.EventFailed)
	c.apply(&structs.Command{EndAttempts: &structs.EndAttempts{Worker: first.Worker, Incarnation: 1, WorkerDead: true}})
	if third := c.tick(t, s, 10*time.Second).Assign; len(third) != 1 || third[0].Worker != second[0].Worker {
		t.Errorf("retried: %+v, want one attempt on the only live worker", third)
	}
}

// Guards against starting tasks on a quarantined worker, and against starting
// more than one task on it while it is probed.
func TestQuarantinedWorkerIsProbed(t *testing.T) {
	c, s := newTestCluster(1)
	c.submit("batch", structs.JobSpec{Count: 4})
	for _, a := range c.tick(t, s, time.Second).Assign[:3] {
		c.report(s, a.Task, structs.EventFailed)
	}
	for _, task := range slices.Clone(c.t.AttemptsOn("w0000")) {
		c.report(s, task.ID, structs.EventFailed)
	}
	if plan := c.tick(t, s, 9*time.Second); len(plan.Assign) != 0 {
		t.Errorf("%d tasks start on a quarantined worker, want none", len(plan.Assign))
	}
	if plan := c.tick(t, s, 2*time.Second); len(plan.Assign) != 1 {
		t.Errorf("%d tasks start on a worker after its quarantine, want 1 probe", len(plan.Assign))
	}
	if plan := c.tick(t, s, 2*time.Second); len(plan.Assign) != 0 {
		t.Errorf("%d more tasks start before the probe has succeeded, want none", len(plan.Assign))
	}
	if plan := c.tick(t, s, probeDuration); len(plan.Assign) != 3 {
		t.Errorf("%d tasks start after the probe has succeeded, want 3", len(plan.Assign))
	}
}

// Guards against evicting a non-idempotent task for urgent work: it can never be
// restarted if its checkpoint fails.
func TestNonIdempotentIsNotPreempted(t *testing.T) {
	c, s := newTestCluster(1)
	c.submit("batch", structs.JobSpec{Count: 4, NonIdempotent: true})
	c.tick(t, s, time.Second)
	c.submit("urgent", structs.JobSpec{})
	if plan := c.tick(t, s, 10*time.Second); len(plan.Evict) != 0 {
		t.Errorf("evicted %+v, want no eviction of non-idempotent tasks", plan.Evict)
	}
}

// Guards against a large task that never starts because smaller ones take all
// capacity that becomes free.
func TestLargeTaskIsNotStarved(t *testing.T) {
	c, s := newTestCluster(1)
	c.submit("batch", structs.JobSpec{Count: 400})
	c.tick(t, s, time.Second)
	large := c.submit("other", structs.JobSpec{Resources: cores(30)})
	for i := range 100 {
		on := c.t.AttemptsOn("w0000")
		c.report(s, on[i%len(on)].ID, structs.EventFinished)
		for _, a := range c.tick(t, s, 5*time.Second).Assign {
			if a.Task.Job == large {
				return
			}
		}
	}
	t.Error("the large task did not start within 500 s")
}

// Guards against stopping a service that has no reserved capacity elsewhere,
// tasks left in a domain out of service, and a burst of starts on its return.
func TestDrainAndReturn(t *testing.T) {
	c, s := newTestCluster(6)
	service := c.submit("service", structs.JobSpec{Kind: structs.KindService, Count: 6})
	c.submit("batch", structs.JobSpec{Count: 3 * 6})
	c.tick(t, s, time.Second)
	c.setDomain("d0", true)
	plan := c.tick(t, s, 10*time.Second)
	for _, e := range plan.Evict {
		if e.Ref.Task.Job == service && !strings.Contains(e.Reason, "place reserved on") {
			t.Errorf("service task evicted without capacity reserved elsewhere: %s", e.Reason)
		}
	}
	moved := len(plan.Evict)
	for range 60 {
		for _, e := range plan.Evict {
			c.report(s, e.Ref.Task, structs.EventCheckpointed)
		}
		plan = c.tick(t, s, time.Second)
		moved += len(plan.Evict)
	}
	if left := c.t.AttemptsOn("w0000"); len(left) != 0 || moved == 0 {
		t.Errorf("%d tasks left in the domain after 70 s, want none; %d moved, want some", len(left), moved)
	}
	c.submit("batch", structs.JobSpec{Count: 20})
	c.setDomain("d0", false)
	if plan = c.tick(t, s, time.Second); len(plan.Assign) != structs.DomainReturnStartsPerSecond {
		t.Errorf("%d starts on the worker in the first second after its domain returned, want %d", len(plan.Assign), structs.DomainReturnStartsPerSecond)
	}
}

// Guards against explanations that omit a group of workers.
func TestExplainNamesEachGroup(t *testing.T) {
	c, s := newTestCluster(12)
	c.setDomain("d3", true)
	job := c.submit("batch", structs.JobSpec{Count: 60})
	c.tick(t, s, time.Second)
	text := strings.Join(s.Explain(c.t, job), "\n")
	for _, want := range []string{"waits", "domain d0 rack r0: 2 of 2 workers: no room now: short of processors", "domain d3 rack r0: 1 of 1 workers: failure domain out of service", "best of"} {
		if !strings.Contains(text, want) {
			t.Errorf("explanation lacks %q:\n%s", want, text)
		}
	}
}

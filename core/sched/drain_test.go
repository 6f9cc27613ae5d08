package sched

import (
	"testing"
	"time"

	"gooseberrypond/core/structs"
)

// checkpointAll reports a checkpoint for every task that the plan evicts.
func (c *cluster) checkpointAll(s *Scheduler, plan *structs.Plan) {
	for _, e := range plan.Evict {
		c.report(s, e.Ref.Task, structs.EventCheckpointed)
	}
}

// Guards against tasks left running in a domain out of service when a second
// domain is taken out while the first is being drained. Some of the tasks have
// just moved from the first domain to the second.
func TestSecondDomainOutDuringDrain(t *testing.T) {
	c, s := newTestCluster(12)
	c.submit("service", structs.JobSpec{Kind: structs.KindService, Count: 12})
	c.submit("batch", structs.JobSpec{Count: 20})
	c.tick(t, s, time.Second)
	for i := range 150 {
		switch i {
		case 5:
			c.setDomain("d0", true)
		case 15:
			c.setDomain("d1", true)
		}
		c.checkpointAll(s, c.tick(t, s, time.Second))
	}
	for _, w := range c.t.Workers() {
		if n := len(c.t.AttemptsOn(w.ID)); c.t.DomainOut(w.Domain) && n > 0 {
			t.Errorf("%d tasks left on %s, whose domain is out of service", n, w.ID)
		}
	}
	if waiting := c.t.PendingCount("service") + c.t.PendingCount("batch"); waiting > 0 {
		t.Errorf("%d tasks wait although 8 workers have enough capacity for all", waiting)
	}
}

// Guards against stopping a drained service for lack of capacity while batch
// tasks end on other workers: the freed capacity must go to the service.
func TestDrainedServiceGetsCapacityOfBatch(t *testing.T) {
	c, s := newTestCluster(6)
	c.setDomain("d0", true)
	c.submit("batch", structs.JobSpec{Count: 200})
	c.tick(t, s, time.Second)
	c.setDomain("d0", false)
	service := c.submit("service", structs.JobSpec{Kind: structs.KindService, Count: 2, Resources: cores(12)})
	c.tick(t, s, time.Second)
	c.tick(t, s, time.Second)
	c.setDomain("d0", true)
	for range 25 {
		plan := c.tick(t, s, time.Second)
		for _, e := range plan.Evict {
			if e.Ref.Task.Job == service && e.Reason == "failure domain out of service; no place elsewhere in time" {
				t.Fatalf("service task evicted without capacity reserved elsewhere")
			}
		}
		c.checkpointAll(s, plan)
		for _, w := range []structs.WorkerID{"w0001", "w0002", "w0003", "w0004", "w0005"} {
			if on := c.t.AttemptsOn(w); len(on) > 0 && c.t.Job(on[0].ID.Job).Spec.Entry == "batch" {
				c.report(s, on[0].ID, structs.EventFinished)
			}
		}
	}
	for _, task := range c.t.TasksOf(service) {
		if w := c.t.Worker(task.Worker); w == nil || w.Domain == "d0" {
			t.Errorf("service task %d is on %q after 25 s, want a worker outside d0", task.ID.Index, task.Worker)
		}
	}
}

// Guards against keeping the reservation of a drained service task after its
// domain has returned to service.
func TestReturnReleasesReservation(t *testing.T) {
	c, s := newTestCluster(6)
	c.setDomain("d0", true)
	c.submit("batch", structs.JobSpec{Count: 200})
	c.tick(t, s, time.Second)
	c.setDomain("d0", false)
	c.submit("service", structs.JobSpec{Kind: structs.KindService})
	c.tick(t, s, time.Second)
	c.setDomain("d0", true)
	if c.tick(t, s, time.Second); len(s.reservations) != 1 {
		t.Fatalf("%d reservations while the domain is out of service, want 1", len(s.reservations))
	}
	c.setDomain("d0", false)
	if c.tick(t, s, time.Second); len(s.reservations) != 0 {
		t.Errorf("%d reservations after the domain returned to service, want none", len(s.reservations))
	}
}

// Guards against batch work taking the last free capacity that fits an urgent
// task, so that every urgent task would need an eviction.
func TestBatchLeavesUrgentReserve(t *testing.T) {
	c, s := newTestCluster(16)
	c.tick(t, s, time.Second)
	s.urgentReserve = urgentReserve{need: cores(8), rate: 5, at: c.now}
	c.submit("batch", structs.JobSpec{Count: 100})
	c.tick(t, s, time.Second)
	c.submit("urgent", structs.JobSpec{Count: 2})
	if plan := c.tick(t, s, time.Second); len(plan.Assign) != 2 || len(plan.Evict) != 0 {
		t.Errorf("%d urgent tasks placed and %d evictions, want 2 and none", len(plan.Assign), len(plan.Evict))
	}
}

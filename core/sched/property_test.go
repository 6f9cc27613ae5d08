package sched

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gooseberrypond/core/structs"
)

// TestMain sets a fixed seed, so that every run has the same result, unless
// -rapid.seed selects another one.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		if err := flag.Set("rapid.seed", "1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// unresponsive is a LiveView in which the workers in the set do not respond.
type unresponsive map[structs.WorkerID]bool

func (s unresponsive) Live(id structs.WorkerID) bool { return !s[id] }

// checkPlan checks a plan against the tables before it is applied.
func checkPlan(c *cluster, plan *structs.Plan, live unresponsive) error {
	used := map[structs.WorkerID]structs.Resources{}
	owners := map[string]structs.Resources{}
	seen := map[structs.TaskID]bool{}
	for _, a := range plan.Assign {
		w, task := c.t.Worker(a.Worker), c.t.Task(a.Task)
		if seen[a.Task] || task.State != structs.AttemptNone {
			return fmt.Errorf("%s is placed twice or already has an attempt", a.Task)
		}
		seen[a.Task] = true
		if !w.Live || live[a.Worker] || c.t.DomainOut(w.Domain) {
			return fmt.Errorf("%s starts on %s, which is dead, unresponsive or in a domain out of service", a.Task, a.Worker)
		}
		used[a.Worker] = used[a.Worker].Add(a.Reserved)
		if sum := c.t.Committed(a.Worker).Add(used[a.Worker]); !sum.Fits(w.Capacity) {
			return fmt.Errorf("%s over capacity: %s", a.Worker, sum)
		}
		owner := c.t.Job(a.Task.Job).Owner
		owners[owner] = owners[owner].Add(a.Reserved)
		quota := c.t.Catalogue().Owners[owner].Quota
		if sum := c.t.OwnerUsage(owner).Add(owners[owner]); quota.CPUMilli > 0 && sum.CPUMilli > quota.CPUMilli {
			return fmt.Errorf("owner %s over quota: %s", owner, sum)
		}
	}
	for _, e := range plan.Evict {
		task := c.t.Task(e.Ref.Task)
		if task.Evictions > 0 && c.now.UnixMilli()-task.LastEvictedMS < structs.EvictionCooldown.Milliseconds() {
			return fmt.Errorf("%s is evicted again within the cooldown", e.Ref.Task)
		}
	}
	return nil
}

// checkReservations checks that the reserved capacity of each worker equals the
// sum of its reservations, and that no task assigned to a worker in service has one.
func checkReservations(c *cluster, s *Scheduler) error {
	reserved := map[*node]structs.Resources{}
	for id, r := range s.reservations {
		reserved[r.node] = reserved[r.node].Add(r.need)
		task := c.t.Task(id)
		if task.State == structs.AttemptAssigned && !c.t.DomainOut(c.t.Worker(task.Worker).Domain) {
			return fmt.Errorf("%s is assigned to %s and still has capacity reserved on %s", id, task.Worker, r.node.worker.ID)
		}
	}
	for _, n := range s.order {
		if n.reserved != reserved[n] {
			return fmt.Errorf("%s has %s reserved, but its reservations add up to %s", n.worker.ID, n.reserved, reserved[n])
		}
	}
	return nil
}

// Guards against plans that overcommit a worker, exceed a quota, evict within
// the cooldown or start tasks in a domain out of service, under random sequences
// of submissions, usage reports, ends, failures, unresponsive workers and domain changes.
func TestPlanKeepsLimits(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := newCluster(rapid.IntRange(1, 24).Draw(rt, "workers"), workerCapacity)
		c.catalogue(map[string]structs.Owner{"a": {Quota: structs.Resources{CPUMilli: 90_000}}, "b": {Weight: 3}}, map[string]structs.Entry{
			"service": {Owner: "a", Class: structs.ClassLatency, Resources: structs.Resources{CPUMilli: 5000, MemoryMB: 9000}},
			"batch":   {Owner: "a", Class: structs.ClassBatch, Resources: structs.Resources{CPUMilli: 7000, MemoryMB: 30_000}},
			"small":   {Owner: "b", Class: structs.ClassBatch, Resources: structs.Resources{CPUMilli: 900, MemoryMB: 11_000}, ExpectedRuntimeMS: 9000},
			"urgent":  {Owner: "b", Class: structs.ClassBatch, Urgent: true, Resources: structs.Resources{CPUMilli: 3000, MemoryMB: 20_000}},
		})
		s, live := New(Options{Seed: 3}), unresponsive{}
		var tasks []structs.TaskID
		for range rapid.IntRange(1, 120).Draw(rt, "steps") {
			randomStep(rt, c, s, live, &tasks)
			c.now = c.now.Add(time.Duration(rapid.IntRange(20, 9000).Draw(rt, "wait")) * time.Millisecond)
			plan := s.Plan(c.now, c.now.UnixMilli(), c.t, live)
			if err := checkPlan(c, plan, live); err != nil {
				rt.Fatal(err)
			}
			if res := c.apply(&structs.Command{Plan: plan}); res.Dropped > 0 {
				rt.Fatalf("%d decisions of the plan dropped when applied: %+v", res.Dropped, plan)
			}
			if err := checkReservations(c, s); err != nil {
				rt.Fatal(err)
			}
			for _, a := range plan.Assign {
				tasks = append(tasks, a.Task)
			}
		}
	})
}

// randomStep makes one random change to the cluster.
func randomStep(rt *rapid.T, c *cluster, s *Scheduler, live unresponsive, tasks *[]structs.TaskID) {
	workers := c.t.Workers()
	w := workers[rapid.IntRange(0, len(workers)-1).Draw(rt, "worker")]
	switch rapid.IntRange(0, 6).Draw(rt, "step") {
	case 0, 1:
		entry := rapid.SampledFrom([]string{"service", "batch", "small", "urgent"}).Draw(rt, "entry")
		spec := structs.JobSpec{Count: rapid.IntRange(1, 20).Draw(rt, "count")}
		if entry == "service" {
			spec.Kind = structs.KindService
		}
		c.submit(entry, spec)
	case 2:
		out := rapid.Bool().Draw(rt, "out")
		c.apply(&structs.Command{SetDomain: &structs.SetDomain{ChangeID: fmt.Sprint("d", c.index), Domain: w.Domain, Out: out}})
	case 3:
		live[w.ID] = !live[w.ID]
	case 4:
		var usage []structs.Usage
		for _, task := range c.t.AttemptsOn(w.ID) {
			ratio := rapid.Int64Range(1, 30).Draw(rt, "ratio")
			usage = append(usage, structs.Usage{Task: task.ID, Slowdown: 1 + float64(ratio)/10, Neighbours: []string{"batch"},
				Used: structs.Resources{CPUMilli: task.Reserved.CPUMilli * ratio / 10, MemoryMB: task.Reserved.MemoryMB * ratio / 10}})
		}
		for range 20 {
			s.Observe(c.now, w.ID, usage, c.t)
		}
	default:
		kind := rapid.SampledFrom([]structs.EventType{structs.EventStarted, structs.EventFinished, structs.EventFailed, structs.EventCheckpointed}).Draw(rt, "event")
		for _, id := range *tasks {
			if task := c.t.Task(id); task.State != structs.AttemptNone && (kind != structs.EventCheckpointed || task.State == structs.AttemptEvicting) {
				c.report(s, id, kind)
			}
		}
	}
}

package leader

import (
	"time"

	"gooseberrypond/core/sched"
	"gooseberrypond/core/state"
	"gooseberrypond/core/structs"
)

// firstFit is a Scheduler that places each pending task on the first worker with
// enough free capacity. It evicts the running tasks of domains that are out and
// the attempts in evict, and records the ends that it is told.
type firstFit struct {
	ended []structs.EndedAttempt
	evict []structs.Eviction
}

func (s *firstFit) Observe(time.Time, structs.WorkerID, []structs.Usage, *state.Tables) {}

func (s *firstFit) RecordEnd(ev structs.TaskEvent, task *structs.Task, _ string, _ int64) {
	s.ended = append(s.ended, structs.EndedAttempt{Event: ev, Task: *task})
}

func (s *firstFit) Throttles(structs.WorkerID) []structs.TaskID { return nil }

func (s *firstFit) Explain(*state.Tables, structs.JobID) []string { return nil }

// schedWithEvictions is the scheduler of package sched plus the evictions in
// fake.evict.
type schedWithEvictions struct {
	*sched.Scheduler
	fake *firstFit
}

func (s schedWithEvictions) Plan(now time.Time, nowMS int64, t *state.Tables, live LiveView) *structs.Plan {
	p := s.Scheduler.Plan(now, nowMS, t, live)
	p.Evict = append(p.Evict, s.fake.evict...)
	s.fake.evict = nil
	return p
}

func (s *firstFit) Plan(_ time.Time, nowMS int64, t *state.Tables, live LiveView) *structs.Plan {
	p := &structs.Plan{Evict: s.evict}
	s.evict = nil
	used := map[structs.WorkerID]structs.Resources{}
	for task := range t.PendingTasks() {
		size := t.SizeOf(t.Job(task.ID.Job))
		for _, w := range t.Workers() {
			sum := t.Committed(w.ID).Add(used[w.ID]).Add(size)
			if task.NotBeforeMS > nowMS || !w.Live || !live.Live(w.ID) || t.DomainOut(w.Domain) || !sum.Fits(w.Capacity) {
				continue
			}
			used[w.ID] = used[w.ID].Add(size)
			p.Assign = append(p.Assign, structs.Assignment{Task: task.ID, Worker: w.ID, Incarnation: w.Incarnation, Reserved: size})
			break
		}
	}
	for _, w := range t.Workers() {
		for _, task := range t.AttemptsOn(w.ID) {
			if t.DomainOut(w.Domain) && task.State == structs.AttemptRunning {
				ref := structs.AttemptRef{Task: task.ID, Attempt: task.Attempt, Epoch: task.Epoch}
				p.Evict = append(p.Evict, structs.Eviction{Ref: ref, Reason: "domain out"})
			}
		}
	}
	return p
}

// recordingGrants is a Grants that grants nothing and records the capacities.
type recordingGrants struct {
	capacity map[structs.GrantKey]int
}

func newRecordingGrants() *recordingGrants { return &recordingGrants{map[structs.GrantKey]int{}} }

func (g *recordingGrants) SetCapacity(key structs.GrantKey, capacity, _ int) {
	g.capacity[key] = capacity
}

func (g *recordingGrants) Remove(key structs.GrantKey) { delete(g.capacity, key) }

func (g *recordingGrants) Sync(time.Time, *structs.EntrySync) ([]structs.Grant, *structs.Error) {
	return nil, nil
}

var (
	epoch         = time.Unix(1_000_000, 0)
	unitResources = structs.Resources{CPUMilli: 1000, MemoryMB: 1024}
)

// testbed is a Core on the tables of one replica, with a fake scheduler.
type testbed struct {
	t     *state.Tables
	core  *Core
	sched *firstFit
	now   time.Time
	index uint64
}

func newTestbed(hosts ...string) *testbed {
	b := &testbed{t: state.New(), sched: &firstFit{}, now: epoch}
	b.core = NewWith(b.now, b.t, hosts, b.sched, newRecordingGrants())
	return b
}

// apply commits and applies a command at once.
func (b *testbed) apply(cmd *structs.Command) structs.Result {
	b.index++
	cmd.Version = structs.CommandVersion
	cmd.NowMS = max(cmd.NowMS, b.now.UnixMilli())
	res := b.t.Apply(b.index, cmd)
	b.core.Applied(cmd, res)
	return res
}

func (b *testbed) tick(d time.Duration) {
	b.now = b.now.Add(d)
	for _, cmd := range b.core.Tick(b.now, b.now.UnixMilli()) {
		b.apply(cmd)
	}
}

func testCatalogue() structs.Catalogue {
	return structs.Catalogue{
		Owners: map[string]structs.Owner{"desk": {}, "yard": {}},
		Entries: map[string]structs.Entry{
			"sheets": {Owner: "desk", Class: structs.ClassBatch, Resources: unitResources},
			"watch":  {Owner: "yard", Class: structs.ClassLatency, Resources: unitResources, LeaseHoldMS: 5000},
		},
	}
}

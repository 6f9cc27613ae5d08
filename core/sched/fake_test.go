package sched

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gooseberrypond/core/structs"
)

// fakeView is a View over plain maps.
type fakeView struct {
	catalogue structs.Catalogue
	out       []string
	workers   []*structs.Worker
	jobs      map[structs.JobID]*structs.Job
	tasks     map[structs.TaskID]*structs.Task
	order     []*structs.Task
}

func newFake(workers int) *fakeView {
	f := &fakeView{jobs: map[structs.JobID]*structs.Job{}, tasks: map[structs.TaskID]*structs.Task{}}
	f.catalogue.Owners = map[string]structs.Owner{}
	f.catalogue.Entries = map[string]structs.Entry{}
	for i := range workers {
		f.workers = append(f.workers, &structs.Worker{
			ID: structs.WorkerID(fmt.Sprintf("w%03d", i)), Incarnation: 1, Live: true,
			Rack: fmt.Sprintf("r%d", i/3), Domain: fmt.Sprintf("d%d", i%3),
			Capacity: structs.Resources{CPUMilli: 32000, MemoryMB: 125000},
		})
	}
	return f
}

func (f *fakeView) entry(name, owner string, e structs.Entry) {
	e.Owner = owner
	if e.Class == "" {
		e.Class = structs.ClassBatch
	}
	if _, ok := f.catalogue.Owners[owner]; !ok {
		f.catalogue.Owners[owner] = structs.Owner{}
	}
	f.catalogue.Entries[name] = e
}

func (f *fakeView) job(id, entry string, count int, spec structs.JobSpec) *structs.Job {
	spec.Entry, spec.Count = entry, count
	j := &structs.Job{ID: structs.JobID(id), Owner: f.catalogue.Entries[entry].Owner, Spec: spec, Status: structs.StatusPending}
	f.jobs[j.ID] = j
	for i := range count {
		t := &structs.Task{ID: structs.TaskID{Job: j.ID, Index: int64(i)}, Status: structs.StatusPending}
		f.tasks[t.ID] = t
		f.order = append(f.order, t)
	}
	return j
}

// apply does what applying a plan does, without any check.
func (f *fakeView) apply(p *structs.Plan) {
	for _, a := range p.Assign {
		t := f.tasks[a.Task]
		t.Attempt++
		t.State, t.Worker, t.Reserved, t.Status = structs.AttemptRunning, a.Worker, a.Reserved, structs.StatusRunning
	}
	for _, e := range p.Evict {
		f.tasks[e.Ref.Task].State = structs.AttemptEvicting
	}
}

func (f *fakeView) Catalogue() *structs.Catalogue          { return &f.catalogue }
func (f *fakeView) DomainsOut() []string                   { return f.out }
func (f *fakeView) Job(id structs.JobID) *structs.Job      { return f.jobs[id] }
func (f *fakeView) Task(id structs.TaskID) *structs.Task   { return f.tasks[id] }
func (f *fakeView) Workers() []*structs.Worker             { return f.workers }
func (f *fakeView) ResolveOwner(name string) string        { return name }
func (f *fakeView) DomainsVersion() uint64                 { return uint64(len(f.out)) }
func (f *fakeView) Domain(string) (d structs.DomainState)  { return d }
func (f *fakeView) TakeChangedWorkers() []structs.WorkerID { return nil }
func (f *fakeView) DueJobs(int64, int) []*structs.Job      { return nil }
func (f *fakeView) PendingCount(string) int                { return 0 }

func (f *fakeView) TasksOf(id structs.JobID) (tasks []*structs.Task) {
	for _, t := range f.order {
		if t.ID.Job == id {
			tasks = append(tasks, t)
		}
	}
	return tasks
}

func (f *fakeView) PendingEntries() []string { return slices.Sorted(maps.Keys(f.catalogue.Entries)) }

func (f *fakeView) PendingIn(entry string) func(yield func(*structs.Task) bool) {
	return func(yield func(*structs.Task) bool) {
		for _, t := range f.order {
			if f.jobs[t.ID.Job].Spec.Entry == entry && t.State == structs.AttemptNone && t.Status == structs.StatusPending && !yield(t) {
				return
			}
		}
	}
}

func (f *fakeView) Worker(id structs.WorkerID) *structs.Worker {
	for _, w := range f.workers {
		if w.ID == id {
			return w
		}
	}
	return nil
}

func (f *fakeView) AttemptsOn(id structs.WorkerID) (on []*structs.Task) {
	for _, t := range f.order {
		if t.State != structs.AttemptNone && t.Worker == id {
			on = append(on, t)
		}
	}
	return on
}

func (f *fakeView) Committed(id structs.WorkerID) (sum structs.Resources) {
	for _, t := range f.AttemptsOn(id) {
		sum = sum.Add(t.Reserved)
	}
	return sum
}

func (f *fakeView) OwnerUsage(owner string) (sum structs.Resources) {
	for _, t := range f.order {
		if t.State != structs.AttemptNone && f.jobs[t.ID.Job].Owner == owner {
			sum = sum.Add(t.Reserved)
		}
	}
	return sum
}

var testStart = time.Unix(1_700_000_000, 0)

// planAt plans at an offset from the start of the test.
func planAt(s *Scheduler, f *fakeView, at time.Duration) *structs.Plan {
	now := testStart.Add(at)
	return s.Plan(now, now.UnixMilli(), f, AllLive{})
}

// Guards against tasks that fit being left pending, or placed beyond capacity.
func TestPlanFillsWorkers(t *testing.T) {
	f := newFake(3)
	f.entry("e", "o", structs.Entry{Resources: structs.Resources{CPUMilli: 8000, MemoryMB: 1000}})
	f.job("j", "e", 20, structs.JobSpec{})
	s := New(Options{})
	p := planAt(s, f, 0)
	if len(p.Assign) != 12 {
		t.Fatalf("assigned %d tasks, want 12: 3 workers with room for 4", len(p.Assign))
	}
	f.apply(p)
	for _, w := range f.workers {
		if !f.Committed(w.ID).Fits(w.Capacity) {
			t.Errorf("%s over capacity: %s", w.ID, f.Committed(w.ID))
		}
	}
}

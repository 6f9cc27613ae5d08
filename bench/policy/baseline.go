package policy

import (
	"time"

	"gooseberrypond/core/state"
	"gooseberrypond/core/structs"
)

// livenessView reports which workers currently answer the leader.
type livenessView = interface {
	Live(worker structs.WorkerID) bool
}

// Baseline is a simple policy for comparison. It places pending tasks by class,
// then by age: urgent tasks first, then other latency-critical ones, then batch.
// Each task goes to the first or to the least loaded worker whose free capacity
// covers the declared resources. An urgent task that fits on no worker preempts
// batch tasks on the first worker where that frees enough. Tasks in a failure
// domain that is taken out are evicted at once.
type Baseline struct {
	// LeastLoaded selects the worker with the lowest utilization instead of the
	// first that fits.
	LeastLoaded bool

	// free is the capacity that is left on each usable worker in this tick.
	free map[structs.WorkerID]structs.Resources
	// preemptedAt is the time of the last preemption for each pending urgent task.
	preemptedAt map[structs.TaskID]time.Time
}

// Plan returns the assignments and evictions of one tick.
func (b *Baseline) Plan(now time.Time, nowMS int64, t *state.Tables, live livenessView) *structs.Plan {
	p := &structs.Plan{}
	if b.preemptedAt == nil {
		b.preemptedAt = map[structs.TaskID]time.Time{}
	}
	domainsOut := map[string]bool{}
	for _, d := range t.DomainsOut() {
		domainsOut[d] = true
	}
	b.free = map[structs.WorkerID]structs.Resources{}
	var workers []*structs.Worker
	for _, w := range t.Workers() {
		if w.Live && domainsOut[w.Domain] {
			b.drain(p, t, w, nowMS)
		}
		if w.Live && !domainsOut[w.Domain] && live.Live(w.ID) {
			workers = append(workers, w)
			b.free[w.ID] = w.Capacity.Sub(t.Committed(w.ID))
		}
	}
	for _, class := range []func(structs.Entry) bool{
		func(e structs.Entry) bool { return e.Urgent },
		func(e structs.Entry) bool { return !e.Urgent && e.Class == structs.ClassLatency },
		func(e structs.Entry) bool { return e.Class == structs.ClassBatch },
	} {
		for _, name := range t.PendingEntries() {
			if e := t.Catalogue().Entries[name]; class(e) {
				b.placePending(p, t, workers, name, e, now, nowMS)
			}
		}
	}
	return p
}

func (b *Baseline) placePending(p *structs.Plan, t *state.Tables, workers []*structs.Worker, name string, e structs.Entry, now time.Time, nowMS int64) {
	for task := range t.PendingIn(name) {
		if nowMS < task.NotBeforeMS {
			continue
		}
		w := b.chooseWorker(workers, e.Resources)
		if w == nil {
			if !e.Urgent {
				return
			}
			b.preempt(p, t, workers, task, e.Resources, now, nowMS)
			continue
		}
		delete(b.preemptedAt, task.ID)
		b.free[w.ID] = b.free[w.ID].Sub(e.Resources)
		p.Assign = append(p.Assign, structs.Assignment{Task: task.ID, Worker: w.ID, Incarnation: w.Incarnation, Reserved: e.Resources})
	}
}

func (b *Baseline) chooseWorker(workers []*structs.Worker, need structs.Resources) *structs.Worker {
	var best *structs.Worker
	var lowest float64
	for _, w := range workers {
		free := b.free[w.ID]
		if !need.Fits(free) {
			continue
		}
		if !b.LeastLoaded {
			return w
		}
		used := 1 - min(float64(free.CPUMilli)/float64(w.Capacity.CPUMilli), float64(free.MemoryMB)/float64(w.Capacity.MemoryMB))
		if best == nil || used < lowest {
			best, lowest = w, used
		}
	}
	return best
}

// preempt evicts batch tasks on the first worker where that frees enough capacity
// for task. It acts at most once in 10 s for the same pending task.
func (b *Baseline) preempt(p *structs.Plan, t *state.Tables, workers []*structs.Worker, task *structs.Task, need structs.Resources, now time.Time, nowMS int64) {
	if at, ok := b.preemptedAt[task.ID]; ok && now.Sub(at) < 10*time.Second {
		return
	}
	for _, w := range workers {
		available := b.free[w.ID]
		var victims []*structs.Task
		for _, v := range t.AttemptsOn(w.ID) {
			if need.Fits(available) {
				break
			}
			if t.Catalogue().Entries[t.Job(v.ID.Job).Spec.Entry].Class == structs.ClassBatch && evictable(v, nowMS) {
				available = available.Add(v.Reserved)
				victims = append(victims, v)
			}
		}
		if !need.Fits(available) {
			continue
		}
		b.preemptedAt[task.ID] = now
		b.free[w.ID] = b.free[w.ID].Sub(need)
		for _, v := range victims {
			evict(p, v, "urgent")
		}
		return
	}
}

func (b *Baseline) drain(p *structs.Plan, t *state.Tables, w *structs.Worker, nowMS int64) {
	for _, task := range t.AttemptsOn(w.ID) {
		if evictable(task, nowMS) {
			evict(p, task, "drain")
		}
	}
}

func evictable(task *structs.Task, nowMS int64) bool {
	return task.State == structs.AttemptRunning &&
		(task.Evictions == 0 || nowMS-task.LastEvictedMS >= structs.EvictionCooldown.Milliseconds())
}

func evict(p *structs.Plan, task *structs.Task, reason string) {
	ref := structs.AttemptRef{Task: task.ID, Attempt: task.Attempt, Epoch: task.Epoch}
	p.Evict = append(p.Evict, structs.Eviction{Ref: ref, Reason: reason})
}

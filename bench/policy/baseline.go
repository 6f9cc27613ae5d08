package policy

import (
	"time"

	"gooseberrypond/core/state"
	"gooseberrypond/core/structs"
)

// liveView tells which workers answer now.
type liveView = interface {
	Live(worker structs.WorkerID) bool
}

// Baseline is a simple policy for comparison: pending tasks in order of
// urgency, then age; each goes to the first worker with room or to the least
// loaded one, by declared size. An urgent task without room evicts the batch
// tasks on the first worker where that makes room. Tasks on a domain that
// leaves are evicted at once.
type Baseline struct {
	// LeastLoaded chooses the worker with the lowest used part instead of the first.
	LeastLoaded bool

	free map[structs.WorkerID]structs.Resources
	// awaited is room that evictions make for urgent tasks, by worker.
	awaited map[structs.TaskID]time.Time
}

// Plan decides one tick.
func (b *Baseline) Plan(now time.Time, nowMS int64, t *state.Tables, live liveView) *structs.Plan {
	p := &structs.Plan{}
	if b.awaited == nil {
		b.awaited = map[structs.TaskID]time.Time{}
	}
	out := map[string]bool{}
	for _, d := range t.DomainsOut() {
		out[d] = true
	}
	b.free = map[structs.WorkerID]structs.Resources{}
	var workers []*structs.Worker
	for _, w := range t.Workers() {
		if w.Live && out[w.Domain] {
			b.drain(p, t, w, nowMS)
		}
		if w.Live && !out[w.Domain] && live.Live(w.ID) {
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
				b.placeAll(p, t, workers, name, e, now, nowMS)
			}
		}
	}
	return p
}

func (b *Baseline) placeAll(p *structs.Plan, t *state.Tables, workers []*structs.Worker, name string, e structs.Entry, now time.Time, nowMS int64) {
	for task := range t.PendingIn(name) {
		if nowMS < task.NotBeforeMS {
			continue
		}
		w := b.choose(workers, e.Resources)
		if w == nil {
			if !e.Urgent {
				return
			}
			b.preempt(p, t, workers, task, e.Resources, now, nowMS)
			continue
		}
		delete(b.awaited, task.ID)
		b.free[w.ID] = b.free[w.ID].Sub(e.Resources)
		p.Assign = append(p.Assign, structs.Assignment{Task: task.ID, Worker: w.ID, Incarnation: w.Incarnation, Reserved: e.Resources})
	}
}

func (b *Baseline) choose(workers []*structs.Worker, need structs.Resources) *structs.Worker {
	var best *structs.Worker
	var low float64
	for _, w := range workers {
		free := b.free[w.ID]
		if !need.Fits(free) {
			continue
		}
		if !b.LeastLoaded {
			return w
		}
		used := 1 - min(float64(free.CPUMilli)/float64(w.Capacity.CPUMilli), float64(free.MemoryMB)/float64(w.Capacity.MemoryMB))
		if best == nil || used < low {
			best, low = w, used
		}
	}
	return best
}

// preempt evicts batch tasks on one worker, once per pending urgent task and 10 s.
func (b *Baseline) preempt(p *structs.Plan, t *state.Tables, workers []*structs.Worker, task *structs.Task, need structs.Resources, now time.Time, nowMS int64) {
	if at, ok := b.awaited[task.ID]; ok && now.Sub(at) < 10*time.Second {
		return
	}
	for _, w := range workers {
		room := b.free[w.ID]
		var victims []*structs.Task
		for _, v := range t.AttemptsOn(w.ID) {
			if need.Fits(room) {
				break
			}
			if t.Catalogue().Entries[t.Job(v.ID.Job).Spec.Entry].Class == structs.ClassBatch && evictable(v, nowMS) {
				room = room.Add(v.Reserved)
				victims = append(victims, v)
			}
		}
		if !need.Fits(room) {
			continue
		}
		b.awaited[task.ID] = now
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

package sched

import (
	"cmp"
	"slices"
	"time"

	"gooseberrypond/core/structs"
)

const (
	// evictionBurst and evictionsPerMinute are the eviction budget of an owner for
	// evictions other than for urgent tasks.
	evictionBurst      = 20.0
	evictionsPerMinute = 20.0
	// urgentBurst and urgentPerMinute are the budget of an owner for evictions for
	// urgent tasks. With the general budget, when one owner's batch work filled
	// all workers, 48 of 360 urgent tasks started after the limit of 1.2 s.
	urgentBurst     = 200.0
	urgentPerMinute = 200.0
	// preemptsPerTick limits the searches for victims in one tick.
	preemptsPerTick = 48
	// latencyPreemptsPerTick is the lower limit for tasks that are not urgent:
	// they stop searching once the tick has made this many searches. Without it,
	// ticks took 25 to 76 ms while thousands of services waited after half of
	// 1,600 workers were lost.
	latencyPreemptsPerTick = 8
	// preemptCandidates is the number of workers searched for victims.
	preemptCandidates = 24
	// holdTime is how long capacity stays reserved for a task after an eviction.
	// A checkpoint that takes longer loses the reservation.
	holdTime = 15 * time.Second
	// evictionCost is the cost, in seconds of lost work, of writing and loading
	// the checkpoint in an eviction.
	evictionCost = 5.0
)

// hold is capacity reserved on a worker for one task.
type hold struct {
	node  *node
	need  structs.Resources
	entry int32
	until time.Time
	// saving is set when the capacity is expected to become free as running tasks
	// end, and not through evictions.
	saving bool
}

// budget is the token bucket that limits the evictions of an owner's tasks.
type budget struct {
	tokens float64
	at     time.Time
}

// budgetKey identifies a budget: an owner's evictions for urgent tasks, or all
// its other evictions.
type budgetKey struct {
	owner  string
	urgent bool
}

// rate returns the size of the bucket and its refill rate per minute.
func (k budgetKey) rate() (burst, perMinute float64) {
	if k.urgent {
		return urgentBurst, urgentPerMinute
	}
	return evictionBurst, evictionsPerMinute
}

// mayEvict reports whether the task is running or assigned, is not yet evicted in
// this plan and is past its eviction cooldown.
func (p *planner) mayEvict(task *structs.Task) bool {
	if task.State != structs.AttemptRunning && task.State != structs.AttemptAssigned {
		return false
	}
	_, planned := p.evicted[task.ID]
	return !planned && (task.LastEvictedMS == 0 || p.nowMS-task.LastEvictedMS >= structs.EvictionCooldown.Milliseconds())
}

// allowance returns the budget after refilling it up to now.
func (p *planner) allowance(k budgetKey) *budget {
	burst, perMinute := k.rate()
	b := p.budgets[k]
	if b == nil {
		b = &budget{tokens: burst, at: p.now}
		p.budgets[k] = b
	}
	b.tokens = min(burst, b.tokens+p.now.Sub(b.at).Minutes()*perMinute)
	b.at = p.now
	return b
}

// spendEviction takes one token from the budget of the task's owner and reports
// whether there was one.
func (p *planner) spendEviction(task *structs.Task, urgent bool) bool {
	b := p.allowance(budgetKey{p.ownerOf(task), urgent})
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// evict adds the eviction to the plan.
func (p *planner) evict(task *structs.Task, reason string) {
	p.evicted[task.ID] = struct{}{}
	p.plan.Evict = append(p.plan.Evict, structs.Eviction{
		Ref:    structs.AttemptRef{Task: task.ID, Attempt: task.Attempt, Epoch: task.Epoch},
		Reason: reason,
	})
}

// reserveRoom reserves capacity on the node for the task until it is placed.
func (p *planner) reserveRoom(it *item, n *node) {
	p.releaseHold(it.task.ID)
	p.holdOrder = append(p.holdOrder, it.task.ID)
	p.holds[it.task.ID] = hold{node: n, need: it.need, entry: it.info.id, until: p.now.Add(holdTime)}
	n.held = n.held.Add(it.need)
	p.holdsOf = grow(p.holdsOf, it.info.id)
	p.holdsOf[it.info.id]++
	p.reindex(n)
}

// releaseHold releases the capacity reserved for the task, if any.
func (p *planner) releaseHold(id structs.TaskID) {
	h, ok := p.holds[id]
	if !ok {
		return
	}
	delete(p.holds, id)
	if h.saving {
		p.saving--
	}
	p.holdsOf[h.entry]--
	h.node.held = h.node.held.Sub(h.need)
	p.reindex(h.node)
	p.freed++
}

// held returns the number of the entry's tasks that have a reservation.
func (s *Scheduler) held(entry int32) int32 {
	if int(entry) >= len(s.holdsOf) {
		return 0
	}
	return s.holdsOf[entry]
}

// expireHolds releases the reservations that have timed out, whose task has
// ended or needs no move any more, or whose worker takes no tasks any more.
func (p *planner) expireHolds() {
	p.holdOrder = slices.DeleteFunc(p.holdOrder, func(id structs.TaskID) bool {
		h, ok := p.holds[id]
		if !ok {
			return true
		}
		task := p.t.Task(id)
		if p.now.After(h.until) || task == nil || task.Status.Finished() || h.node.blocked != "" || p.staysWhereItIs(task) {
			p.releaseHold(id)
			return true
		}
		return false
	})
}

// staysWhereItIs reports whether the task is assigned or running in a domain in
// service. This is the case when the domain being drained has returned.
func (p *planner) staysWhereItIs(task *structs.Task) bool {
	if task.State != structs.AttemptAssigned && task.State != structs.AttemptRunning {
		return false
	}
	w := p.t.Worker(task.Worker)
	return w != nil && !p.out[w.Domain]
}

// placeHeld places the item in the capacity reserved for it. done is false when
// the item has no reservation or may also be placed elsewhere; it is true when
// the item was placed or must wait until its reservation is free.
func (p *planner) placeHeld(it *item) (placed, done bool) {
	h, ok := p.holds[it.task.ID]
	if !ok {
		return false, false
	}
	if !it.need.Fits(h.node.free().Add(h.need)) || p.paced(h.node) || !p.live.Live(h.node.worker.ID) {
		// The reserved capacity may become free late. Items that reserved future
		// capacity and urgent items therefore also try other workers.
		return false, !h.saving && !it.info.Urgent
	}
	p.releaseHold(it.task.ID)
	p.assign(it, h.node, "room made by evictions or drain")
	return true, true
}

// mayPreempt reports whether batch work may be evicted for the item: immediately
// for urgent tasks, after latencyWait for latency-critical ones.
func (p *planner) mayPreempt(it *item) bool {
	waited := time.Duration(p.nowMS-it.task.PendingSinceMS) * time.Millisecond
	return it.info.Urgent || tierOf(it.info) == tierLatency && waited >= latencyWait
}

// describe returns the entry name prefixed by its tier, for eviction reasons.
func describe(info *entryInfo) string {
	if info.Urgent {
		return "urgent " + info.name
	}
	return "latency-critical " + info.name
}

// victims is a set of tasks to evict from one node.
type victims struct {
	node  *node
	tasks []*structs.Task
	cost  float64
}

// preempt evicts batch tasks from the node with the cheapest set of victims and
// reserves the freed capacity for the item.
func (p *planner) preempt(it *item) {
	if h, held := p.holds[it.task.ID]; held && !h.saving || len(p.order) == 0 {
		return
	}
	if p.preempts >= preemptsPerTick || !it.info.Urgent && p.preempts >= latencyPreemptsPerTick {
		return
	}
	p.preempts++
	best := victims{}
	start := p.rng.IntN(len(p.order))
	for i := range min(preemptCandidates, len(p.order)) {
		n := p.order[(start+i*max(1, len(p.order)/preemptCandidates))%len(p.order)]
		if n.blocked != "" || p.paced(n) || !it.need.Fits(n.worker.Capacity) {
			continue
		}
		if v, ok := p.victimsOn(n, it); ok && (best.node == nil || v.cost < best.cost) {
			best = v
		}
	}
	if best.node == nil {
		return
	}
	for _, task := range best.tasks {
		if !p.spendEviction(task, it.info.Urgent) {
			return
		}
		p.evict(task, "makes room for "+describe(it.info))
	}
	p.reserveRoom(it, best.node)
}

// victimsOn chooses the batch tasks to evict so that the item fits the node. ok
// is false if it would not fit.
func (p *planner) victimsOn(n *node, it *item) (victims, bool) {
	need := it.need
	v := victims{node: n}
	room := n.free()
	var able []*structs.Task
	for _, task := range p.t.AttemptsOn(n.worker.ID) {
		_, planned := p.evicted[task.ID]
		if planned || task.State == structs.AttemptEvicting || task.State == structs.AttemptStopping {
			room = room.Add(task.Reserved)
		} else if p.mayEvict(task) && p.preemptible(task) {
			able = append(able, task)
		}
	}
	slices.SortStableFunc(able, func(a, b *structs.Task) int {
		return cmp.Compare(p.evictCost(a), p.evictCost(b))
	})
	for _, task := range able {
		if need.Fits(room) {
			break
		}
		if !helps(task.Reserved, need, room) || !p.affordable(task, v.tasks, it.info.Urgent) {
			continue
		}
		room = room.Add(task.Reserved)
		v.tasks = append(v.tasks, task)
		v.cost += p.evictCost(task)
	}
	return p.prune(v, need, room), need.Fits(room)
}

// helps reports whether freeing part reduces the shortfall of room against need.
func helps(part, need, room structs.Resources) bool {
	return part.CPUMilli > 0 && need.CPUMilli > room.CPUMilli ||
		part.MemoryMB > 0 && need.MemoryMB > room.MemoryMB ||
		part.Accelerators > 0 && need.Accelerators > room.Accelerators
}

// prune drops the victims, most costly first, that are not needed because of
// victims chosen after them.
func (p *planner) prune(v victims, need, room structs.Resources) victims {
	for i := len(v.tasks) - 1; i >= 0; i-- {
		without := room.Sub(v.tasks[i].Reserved)
		if need.Fits(without) {
			room = without
			v.cost -= p.evictCost(v.tasks[i])
			v.tasks = slices.Delete(v.tasks, i, i+1)
		}
	}
	return v
}

// affordable reports whether the budget of the task's owner covers its eviction
// in addition to those of the chosen tasks.
func (p *planner) affordable(task *structs.Task, chosen []*structs.Task, urgent bool) bool {
	owner := p.ownerOf(task)
	tokens := p.allowance(budgetKey{owner, urgent}).tokens
	for _, c := range chosen {
		if p.ownerOf(c) == owner {
			tokens--
		}
	}
	return tokens >= 1
}

// ownerOf returns the current owner of the task's job; empty if there is no such job.
func (p *planner) ownerOf(task *structs.Task) string {
	if job := p.t.Job(task.ID.Job); job != nil {
		return p.t.ResolveOwner(job.Owner)
	}
	return ""
}

func (p *planner) preemptible(task *structs.Task) bool {
	job := p.t.Job(task.ID.Job)
	// A non-idempotent task can never be restarted if its checkpoint fails.
	return job != nil && p.isPlainBatch(job) && !job.Spec.NonIdempotent
}

// evictCost returns the cost of evicting the task in seconds of lost work. It
// grows with the run time of the attempt, which may not be in a checkpoint, and
// with earlier evictions and the entry's priority; a task that is nearly done
// costs more, so that it can finish.
func (p *planner) evictCost(task *structs.Task) float64 {
	elapsed := float64(ranMS(task, p.nowMS)) / 1000
	cost := evictionCost*float64(1+task.Evictions) + elapsed/10
	job := p.t.Job(task.ID.Job)
	if info := p.infos[job.Spec.Entry]; info != nil {
		cost += float64(info.Priority) / 10
		if left := float64(p.remainingMS(task, info)) / 1000; left < 2*evictionCost {
			cost += 2 * evictionCost
		}
	}
	return cost
}

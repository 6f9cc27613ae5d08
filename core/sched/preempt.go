package sched

import (
	"cmp"
	"slices"
	"time"

	"gooseberrypond/core/structs"
)

const (
	// evictionBurst and evictionsPerMinute are the eviction budget of an owner
	// for evictions other than for urgent tasks.
	evictionBurst      = 20.0
	evictionsPerMinute = 20.0
	// urgentBurst and urgentPerMinute are the budget of an owner for evictions
	// for urgent tasks. With the general budget, when one owner's batch work
	// filled all workers, 48 of 360 urgent tasks missed the start limit of 1.2 s.
	urgentBurst     = 200.0
	urgentPerMinute = 200.0
	// maxPreemptSearches limits the searches for victims in one tick.
	maxPreemptSearches = 48
	// maxLatencyPreemptSearches is the lower limit for tasks that are not urgent:
	// they stop searching once the tick has made this many searches. Without it,
	// ticks took 25 to 76 ms while thousands of services waited after half of
	// 1,600 workers were lost.
	maxLatencyPreemptSearches = 8
	// preemptCandidates is the number of workers searched for victims.
	preemptCandidates = 24
	// reservationTimeout is how long capacity stays reserved for a task after
	// an eviction. A checkpoint that takes longer loses the reservation.
	reservationTimeout = 15 * time.Second
	// evictionCost is the cost, in seconds of lost work, of writing and loading
	// the checkpoint in an eviction.
	evictionCost = 5.0
)

// reservation is capacity reserved on a worker for one task.
type reservation struct {
	node    *node
	need    structs.Resources
	entry   int32
	expires time.Time
	// deferred marks a deferred reservation: its capacity is expected to become
	// free as running tasks end, and not through evictions.
	deferred bool
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

// refilledBudget returns the budget after refilling it up to now.
func (p *planner) refilledBudget(k budgetKey) *budget {
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
	b := p.refilledBudget(budgetKey{p.ownerOf(task), urgent})
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

// reserveOn reserves capacity on the node for the task until it is placed.
func (p *planner) reserveOn(it *item, n *node) {
	p.releaseReservation(it.task.ID)
	p.reservationOrder = append(p.reservationOrder, it.task.ID)
	p.reservations[it.task.ID] = reservation{node: n, need: it.need, entry: it.info.id, expires: p.now.Add(reservationTimeout)}
	n.reserved = n.reserved.Add(it.need)
	p.reservationCounts = grow(p.reservationCounts, it.info.id)
	p.reservationCounts[it.info.id]++
	p.reindex(n)
}

// releaseReservation releases the capacity reserved for the task, if any.
func (p *planner) releaseReservation(id structs.TaskID) {
	r, ok := p.reservations[id]
	if !ok {
		return
	}
	delete(p.reservations, id)
	if r.deferred {
		p.deferred--
	}
	p.reservationCounts[r.entry]--
	r.node.reserved = r.node.reserved.Sub(r.need)
	p.reindex(r.node)
	p.capacityGeneration++
}

// reserved returns the number of the entry's tasks that have a reservation.
func (s *Scheduler) reserved(entry int32) int32 {
	if int(entry) >= len(s.reservationCounts) {
		return 0
	}
	return s.reservationCounts[entry]
}

// expireReservations releases the reservations that have timed out, whose task
// has ended or needs no move any more, or whose worker takes no tasks any more.
func (p *planner) expireReservations() {
	p.reservationOrder = slices.DeleteFunc(p.reservationOrder, func(id structs.TaskID) bool {
		r, ok := p.reservations[id]
		if !ok {
			return true
		}
		task := p.t.Task(id)
		if p.now.After(r.expires) || task == nil || task.Status.Finished() || r.node.blocked != "" || p.inActiveDomain(task) {
			p.releaseReservation(id)
			return true
		}
		return false
	})
}

// inActiveDomain reports whether the task is assigned or running in a domain in
// service. This is the case when the domain being drained has returned.
func (p *planner) inActiveDomain(task *structs.Task) bool {
	if task.State != structs.AttemptAssigned && task.State != structs.AttemptRunning {
		return false
	}
	w := p.t.Worker(task.Worker)
	return w != nil && !p.out[w.Domain]
}

// placeReserved places the item in the capacity reserved for it. done is false
// when the item has no reservation or may also be placed elsewhere; it is true
// when the item was placed or must wait until its reservation is free.
func (p *planner) placeReserved(it *item) (placed, done bool) {
	r, ok := p.reservations[it.task.ID]
	if !ok {
		return false, false
	}
	if !it.need.Fits(r.node.free().Add(r.need)) || p.paced(r.node) || !p.live.Live(r.node.worker.ID) {
		// The reserved capacity may become free late: a deferred reservation waits
		// for running tasks to end, and an evicted task first writes a checkpoint.
		// Items with a deferred reservation and urgent items therefore also try other
		// workers.
		return false, !r.deferred && !it.info.Urgent
	}
	p.releaseReservation(it.task.ID)
	p.assign(it, r.node, "room made by evictions or drain")
	return true, true
}

// mayPreempt reports whether batch work may be evicted for the item: immediately
// for urgent tasks, after latencyStarvedAfter for latency-critical ones.
func (p *planner) mayPreempt(it *item) bool {
	waited := time.Duration(p.nowMS-it.task.PendingSinceMS) * time.Millisecond
	return it.info.Urgent || tierOf(it.info) == tierLatency && waited >= latencyStarvedAfter
}

// tierAndName returns the entry name prefixed by its tier, for eviction reasons.
func tierAndName(info *entryInfo) string {
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
	if r, reserved := p.reservations[it.task.ID]; reserved && !r.deferred || len(p.order) == 0 {
		return
	}
	if p.preemptSearches >= maxPreemptSearches || !it.info.Urgent && p.preemptSearches >= maxLatencyPreemptSearches {
		return
	}
	p.preemptSearches++
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
		p.evict(task, "makes room for "+tierAndName(it.info))
	}
	p.reserveOn(it, best.node)
}

// victimsOn chooses the batch tasks to evict so that the item fits the node. ok
// is false if it would not fit.
func (p *planner) victimsOn(n *node, it *item) (victims, bool) {
	need := it.need
	v := victims{node: n}
	available := n.free()
	var evictable []*structs.Task
	for _, task := range p.t.AttemptsOn(n.worker.ID) {
		_, planned := p.evicted[task.ID]
		if planned || task.State == structs.AttemptEvicting || task.State == structs.AttemptStopping {
			available = available.Add(task.Reserved)
		} else if p.mayEvict(task) && p.preemptible(task) {
			evictable = append(evictable, task)
		}
	}
	slices.SortStableFunc(evictable, func(a, b *structs.Task) int {
		return cmp.Compare(p.evictCost(a), p.evictCost(b))
	})
	for _, task := range evictable {
		if need.Fits(available) {
			break
		}
		if !reducesShortfall(task.Reserved, need, available) || !p.withinBudget(task, v.tasks, it.info.Urgent) {
			continue
		}
		available = available.Add(task.Reserved)
		v.tasks = append(v.tasks, task)
		v.cost += p.evictCost(task)
	}
	return p.dropUnneeded(v, need, available), need.Fits(available)
}

// reducesShortfall reports whether freeing part reduces the shortfall of
// available against need.
func reducesShortfall(part, need, available structs.Resources) bool {
	return part.CPUMilli > 0 && need.CPUMilli > available.CPUMilli ||
		part.MemoryMB > 0 && need.MemoryMB > available.MemoryMB ||
		part.Accelerators > 0 && need.Accelerators > available.Accelerators
}

// dropUnneeded drops the victims, most costly first, that are not needed
// because of victims chosen after them.
func (p *planner) dropUnneeded(v victims, need, available structs.Resources) victims {
	for i := len(v.tasks) - 1; i >= 0; i-- {
		without := available.Sub(v.tasks[i].Reserved)
		if need.Fits(without) {
			available = without
			v.cost -= p.evictCost(v.tasks[i])
			v.tasks = slices.Delete(v.tasks, i, i+1)
		}
	}
	return v
}

// withinBudget reports whether the budget of the task's owner covers its eviction
// in addition to those of the chosen tasks.
func (p *planner) withinBudget(task *structs.Task, chosen []*structs.Task, urgent bool) bool {
	owner := p.ownerOf(task)
	tokens := p.refilledBudget(budgetKey{owner, urgent}).tokens
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
	elapsed := float64(elapsedMS(task, p.nowMS)) / 1000
	cost := evictionCost*float64(1+task.Evictions) + elapsed/10
	job := p.t.Job(task.ID.Job)
	if info := p.entryInfos[job.Spec.Entry]; info != nil {
		cost += float64(info.Priority) / 10
		if left := float64(p.remainingMS(task, info)) / 1000; left < 2*evictionCost {
			cost += 2 * evictionCost
		}
	}
	return cost
}

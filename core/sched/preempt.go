package sched

import (
	"cmp"
	"slices"
	"time"

	"gooseberrypond/core/structs"
)

const (
	// evictionBurst and evictionsPerMinute are the eviction budget of one owner.
	evictionBurst      = 20.0
	evictionsPerMinute = 20.0
	// urgentBurst and urgentPerMinute are the budget for urgent tasks. Under the
	// general one 48 of 360 urgent tasks started later than the 1.2 s they may
	// wait, in a session in which one owner's batch work fills all workers.
	urgentBurst     = 200.0
	urgentPerMinute = 200.0
	// preemptsPerTick bounds the searches for victims in one tick.
	preemptsPerTick = 48
	// latencyPreemptsPerTick is the share of it for tasks that are not urgent.
	// With the full number, ticks took 25 to 76 ms while thousands of services
	// waited after half of 1,600 workers were lost.
	latencyPreemptsPerTick = 8
	// preemptCandidates is the number of workers searched for victims.
	preemptCandidates = 24
	// holdTime is how long room stays reserved for a task after evictions made
	// room for it; a checkpoint that takes longer loses the reservation.
	holdTime = 15 * time.Second
	// evictionCost is the cost of an eviction in seconds of lost work: writing
	// and loading the checkpoint.
	evictionCost = 5.0
)

// hold is room reserved on a worker for one task.
type hold struct {
	node  *node
	need  structs.Resources
	entry int32
	until time.Time
	// saving is set when the room is still to come from tasks that end by themselves.
	saving bool
}

// budget is an owner's allowance of evictions, a token bucket.
type budget struct {
	tokens float64
	at     time.Time
}

// budgetKey names a budget: an owner's evictions for urgent tasks, or all others.
type budgetKey struct {
	owner  string
	urgent bool
}

// rate returns the size of the bucket and its refill per minute.
func (k budgetKey) rate() (burst, perMinute float64) {
	if k.urgent {
		return urgentBurst, urgentPerMinute
	}
	return evictionBurst, evictionsPerMinute
}

// mayEvict reports whether the task's cooldown allows an eviction now.
func (p *planner) mayEvict(task *structs.Task) bool {
	if task.State != structs.AttemptRunning && task.State != structs.AttemptAssigned {
		return false
	}
	_, planned := p.evicted[task.ID]
	return !planned && (task.LastEvictedMS == 0 || p.nowMS-task.LastEvictedMS >= structs.EvictionCooldown.Milliseconds())
}

// allowance is the budget, refilled up to now.
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

// spendEviction takes one eviction from the budget of the task's owner.
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

// reserveRoom keeps room on the node for the task until it is placed.
func (p *planner) reserveRoom(it *item, n *node) {
	p.releaseHold(it.task.ID)
	p.holdOrder = append(p.holdOrder, it.task.ID)
	p.holds[it.task.ID] = hold{node: n, need: it.need, entry: it.info.id, until: p.now.Add(holdTime)}
	n.held = n.held.Add(it.need)
	p.holdsOf = grow(p.holdsOf, it.info.id)
	p.holdsOf[it.info.id]++
	p.reindex(n)
}

// releaseHold gives up the room reserved for the task.
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

// held is the number of the entry's tasks that have room reserved.
func (s *Scheduler) held(entry int32) int32 {
	if int(entry) >= len(s.holdsOf) {
		return 0
	}
	return s.holdsOf[entry]
}

// expireHolds releases reservations that are over, whose task is gone or
// whose worker takes no tasks any more.
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

// staysWhereItIs reports whether the task runs in a domain in service, as when
// the domain from which it was to move has returned.
func (p *planner) staysWhereItIs(task *structs.Task) bool {
	if task.State != structs.AttemptAssigned && task.State != structs.AttemptRunning {
		return false
	}
	w := p.t.Worker(task.Worker)
	return w != nil && !p.out[w.Domain]
}

// placeHeld places the item in the room reserved for it. done is false when
// it has no reservation; a reservation that is not free yet is waited for.
func (p *planner) placeHeld(it *item) (placed, done bool) {
	h, ok := p.holds[it.task.ID]
	if !ok {
		return false, false
	}
	if !it.need.Fits(h.node.free().Add(h.need)) || p.paced(h.node) || !p.live.Live(h.node.worker.ID) {
		// Saved-up room and checkpoints may come late; other room is taken when
		// there is some.
		return false, !h.saving && !it.info.Urgent
	}
	p.releaseHold(it.task.ID)
	p.assign(it, h.node, "room made by evictions or drain")
	return true, true
}

// mayPreempt reports whether batch work may be evicted for the item: at once
// for urgent tasks, and for latency-critical ones that found no room for a while.
func (p *planner) mayPreempt(it *item) bool {
	waited := time.Duration(p.nowMS-it.task.PendingSinceMS) * time.Millisecond
	return it.info.Urgent || tierOf(it.info) == tierLatency && waited >= latencyWait
}

// describe names an entry with its tier, as reasons show it.
func describe(info *entryInfo) string {
	if info.Urgent {
		return "urgent " + info.name
	}
	return "latency-critical " + info.name
}

// victims is a set of evictions that makes room on one node.
type victims struct {
	node  *node
	tasks []*structs.Task
	cost  float64
}

// preempt evicts batch tasks to make room for the item, and reserves the room.
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

// victimsOn chooses batch tasks on the node whose eviction makes room for the item.
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

// helps reports whether freeing part brings room closer to need.
func helps(part, need, room structs.Resources) bool {
	return part.CPUMilli > 0 && need.CPUMilli > room.CPUMilli ||
		part.MemoryMB > 0 && need.MemoryMB > room.MemoryMB ||
		part.Accelerators > 0 && need.Accelerators > room.Accelerators
}

// prune drops victims, most costly first, that later ones made unnecessary.
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

// affordable reports whether the budget of the task's owner covers one more
// eviction beyond those chosen.
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

// ownerOf is the current owner of the task's job; empty when the job is gone.
func (p *planner) ownerOf(task *structs.Task) string {
	if job := p.t.Job(task.ID.Job); job != nil {
		return p.t.ResolveOwner(job.Owner)
	}
	return ""
}

func (p *planner) preemptible(task *structs.Task) bool {
	job := p.t.Job(task.ID.Job)
	// A non-idempotent task whose checkpoint fails could never be started again.
	return job != nil && p.isPlainBatch(job) && !job.Spec.NonIdempotent
}

// evictCost is the work lost by an eviction in seconds: what ran since the
// start of the attempt may not be in a checkpoint, a task that was evicted
// before is spared, and one that is nearly done is better left to finish.
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

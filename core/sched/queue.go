package sched

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"gooseberrypond/core/structs"
)

// Tiers of pending work, in the order of placement.
const (
	tierUrgent = iota
	tierLatency
	tierBatch
	tiers
)

const (
	// shortListMax is the number of pending tasks of an entry up to which they
	// are sorted again each tick.
	shortListMax = 128
	// longListMax is the number of tasks kept from a longer list after sorting.
	longListMax = 4096
	// longListMaxAge is the time after which a longer list is sorted again;
	// urgentListMaxAge is the same for urgent work, which must start in 1.2 s.
	longListMaxAge   = 500 * time.Millisecond
	urgentListMaxAge = 60 * time.Millisecond
	// maxFailuresPerEntry limits the failed placement attempts per entry and tick.
	maxFailuresPerEntry = 16
)

// item is one task to place, with the data needed for the placement.
type item struct {
	task *structs.Task
	job  *structs.Job
	info *entryInfo
	need structs.Resources
	// slackMS is the value of planner.slackMS for the task.
	slackMS int64
}

// rankedTask is a pending task with its sort keys.
type rankedTask struct {
	id             structs.TaskID
	slackMS        int64
	pendingSinceMS int64
}

// entryQueue holds one entry's pending tasks in order. Long lists are kept
// between ticks, so that the cost of a tick depends on the number of tasks placed
// and not on the number waiting.
type entryQueue struct {
	info     *entryInfo
	tasks    []rankedTask
	sortedAt time.Time
	failures int
}

// ownerQueue holds one owner's entries with pending tasks of one tier.
type ownerQueue struct {
	owner   string
	share   float64
	entries []*entryQueue
}

// queue is a heap of owners ordered by dominant share. Within an owner, tasks are
// ordered by priority, then slack, then age.
type queue []*ownerQueue

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	if q[i].share != q[j].share {
		return q[i].share < q[j].share
	}
	return q[i].owner < q[j].owner
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *queue) Push(x any) { *q = append(*q, x.(*ownerQueue)) }

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func tierOf(e *entryInfo) int {
	switch {
	case e.Urgent:
		return tierUrgent
	case e.Class == structs.ClassLatency:
		return tierLatency
	}
	return tierBatch
}

func compareRanked(a, b rankedTask) int {
	if c := cmp.Compare(a.slackMS, b.slackMS); c != 0 {
		return c
	}
	return cmp.Compare(a.pendingSinceMS, b.pendingSinceMS)
}

// queues groups the pending tasks by tier and owner.
func (p *planner) queues() [tiers]queue {
	var qs [tiers]queue
	byOwner := [tiers]map[string]*ownerQueue{{}, {}, {}}
	for _, name := range p.t.PendingEntries() {
		info := p.entryInfos[name]
		if info == nil {
			continue
		}
		tier := tierOf(info)
		oq := byOwner[tier][info.owner]
		if oq == nil {
			oq = &ownerQueue{owner: info.owner, share: p.share(info.owner)}
			byOwner[tier][info.owner] = oq
			qs[tier] = append(qs[tier], oq)
		}
		oq.entries = append(oq.entries, p.sortedQueue(info))
	}
	for tier := range qs {
		heap.Init(&qs[tier])
	}
	return qs
}

// sortedQueue returns the entry's queue, sorted again if it is short or too old.
func (p *planner) sortedQueue(info *entryInfo) *entryQueue {
	eq := p.entryQueues[info.name]
	if eq == nil {
		eq = &entryQueue{}
		p.entryQueues[info.name] = eq
	}
	eq.info, eq.failures = info, 0
	age := longListMaxAge
	if info.Urgent {
		age = urgentListMaxAge
	}
	if p.t.PendingCount(info.name) <= shortListMax || len(eq.tasks) == 0 || p.now.Sub(eq.sortedAt) >= age {
		p.rebuildQueue(eq)
	}
	return eq
}

// rebuildQueue rebuilds the entry's queue from all its pending tasks. Preparing
// the items also adds notes about their jobs to the plan.
func (p *planner) rebuildQueue(eq *entryQueue) {
	eq.sortedAt = p.now
	eq.tasks = eq.tasks[:0]
	for task := range p.t.PendingIn(eq.info.name) {
		if it, ok := p.item(task); ok && p.nowMS >= task.NotBeforeMS {
			eq.tasks = append(eq.tasks, rankedTask{task.ID, it.slackMS, task.PendingSinceMS})
		}
	}
	if !slices.IsSortedFunc(eq.tasks, compareRanked) {
		slices.SortStableFunc(eq.tasks, compareRanked)
	}
	if len(eq.tasks) > longListMax {
		eq.tasks = eq.tasks[:longListMax]
	}
}

// next removes and returns the owner's next task that is still pending; ok is
// false when there is none.
func (p *planner) next(oq *ownerQueue) (eq *entryQueue, it item, ok bool) {
	for {
		eq = oq.nextQueue()
		if eq == nil {
			return nil, it, false
		}
		id := eq.tasks[0].id
		eq.tasks = eq.tasks[1:]
		task := p.t.Task(id)
		if task == nil || task.Status != structs.StatusPending || task.State != structs.AttemptNone || p.nowMS < task.NotBeforeMS {
			continue
		}
		if it, ok = p.item(task); ok {
			return eq, it, true
		}
	}
}

// nextQueue returns the queue that holds the owner's next task, or nil.
func (oq *ownerQueue) nextQueue() *entryQueue {
	var best *entryQueue
	for _, eq := range oq.entries {
		if len(eq.tasks) == 0 || eq.failures >= maxFailuresPerEntry {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(best.info.Priority, eq.info.Priority), compareRanked(eq.tasks[0], best.tasks[0])) < 0 {
			best = eq
		}
	}
	return best
}

// item prepares a task for placement; ok is false when it cannot be placed
// regardless of the state of the workers.
func (p *planner) item(task *structs.Task) (it item, ok bool) {
	job := p.t.Job(task.ID.Job)
	if job == nil || job.Cancelled || job.Status.Finished() {
		return it, false
	}
	info := p.entryInfos[job.Spec.Entry]
	if info == nil {
		return it, false
	}
	declared := declaredSize(info, job)
	if p.noteUnrunnable(job, declared) {
		return it, false
	}
	slack := p.slackMS(task, job, info)
	if job.Spec.Kind == structs.KindBatch {
		p.noteDeadline(job, slack)
	}
	return item{task: task, job: job, info: info, need: p.reservedSize(info, declared), slackMS: slack}, true
}

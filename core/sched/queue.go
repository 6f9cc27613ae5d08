package sched

import (
	"cmp"
	"container/heap"
	"slices"

	"gooseberrypond/core/structs"
)

// Tiers of pending work; a lower tier is placed first.
const (
	tierUrgent = iota
	tierLatency
	tierBatch
	tiers
)

// item is one pending task with what placing it needs.
type item struct {
	task *structs.Task
	job  *structs.Job
	info *entryInfo
	need structs.Resources
	// slackMS is the time left before the task must start to meet its deadline.
	slackMS int64
}

// ownerQueue holds one owner's pending tasks of one tier, in order.
type ownerQueue struct {
	owner string
	share float64
	items []item
}

// queue orders pending work: between owners by dominant share, within an
// owner by priority, then slack, then age.
type queue []*ownerQueue

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	if q[i].share != q[j].share {
		return q[i].share < q[j].share
	}
	return q[i].owner < q[j].owner
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(*ownerQueue)) }
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

func compareItems(a, b item) int {
	return cmp.Or(
		cmp.Compare(b.info.Priority, a.info.Priority),
		cmp.Compare(a.slackMS, b.slackMS),
		cmp.Compare(a.task.PendingSinceMS, b.task.PendingSinceMS),
	)
}

// queues groups the pending tasks by tier and owner.
func (p *planner) queues() [tiers]queue {
	var qs [tiers]queue
	byOwner := [tiers]map[string]*ownerQueue{{}, {}, {}}
	for _, name := range p.t.PendingEntries() {
		info := p.infos[name]
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
		for task := range p.t.PendingIn(name) {
			if it, ok := p.item(task); ok && p.nowMS >= p.retries[task.ID].notBeforeMS {
				oq.items = append(oq.items, it)
			}
		}
	}
	for tier := range qs {
		for _, oq := range qs[tier] {
			slices.SortStableFunc(oq.items, compareItems)
		}
		heap.Init(&qs[tier])
	}
	return qs
}

// item prepares a pending task; ok is false when it cannot be placed now
// whatever the workers' state.
func (p *planner) item(task *structs.Task) (it item, ok bool) {
	job := p.t.Job(task.ID.Job)
	if job == nil || job.Cancelled || job.Status.Finished() {
		return it, false
	}
	info := p.infos[job.Spec.Entry]
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
	return item{task: task, job: job, info: info, need: p.reserve(info, declared), slackMS: slack}, true
}

package state

import (
	"container/heap"
	"slices"

	"gooseberrypond/core/structs"
)

// PendingEntries returns the names of the entries with pending tasks, sorted.
func (t *Tables) PendingEntries() []string { return t.pendingEntries }

// PendingCount returns the number of pending tasks of an entry.
func (t *Tables) PendingCount(entry string) int {
	if e := t.entries[entry]; e != nil {
		return e.queued
	}
	return 0
}

// PendingIn calls yield for each pending task of an entry in the order in
// which they became pending, until yield returns false.
func (t *Tables) PendingIn(entry string) func(yield func(*structs.Task) bool) {
	return func(yield func(*structs.Task) bool) {
		e := t.entries[entry]
		if e == nil {
			return
		}
		for r := e.head; r != nil; r = r.next {
			if !yield(&r.Task) {
				return
			}
		}
	}
}

// PendingTasks calls yield for each pending task, entry by entry, until yield
// returns false.
func (t *Tables) PendingTasks() func(yield func(*structs.Task) bool) {
	return func(yield func(*structs.Task) bool) {
		for _, name := range t.pendingEntries {
			for r := t.entries[name].head; r != nil; r = r.next {
				if !yield(&r.Task) {
					return
				}
			}
		}
	}
}

func (t *Tables) enqueue(r *taskRec) {
	e := t.entry(r.job.Spec.Entry)
	if e.queued == 0 {
		i, _ := slices.BinarySearch(t.pendingEntries, e.name)
		t.pendingEntries = slices.Insert(t.pendingEntries, i, e.name)
	}
	r.prev, r.next, r.queued = e.tail, nil, true
	if e.tail != nil {
		e.tail.next = r
	} else {
		e.head = r
	}
	e.tail = r
	e.queued++
	t.counts.pendingTasks++
}

func (t *Tables) dequeue(r *taskRec) {
	if !r.queued {
		return
	}
	e := t.entries[r.job.Spec.Entry]
	if r.prev != nil {
		r.prev.next = r.next
	} else {
		e.head = r.next
	}
	if r.next != nil {
		r.next.prev = r.prev
	} else {
		e.tail = r.prev
	}
	r.prev, r.next, r.queued = nil, nil, false
	e.queued--
	t.counts.pendingTasks--
	if e.queued == 0 {
		i, _ := slices.BinarySearch(t.pendingEntries, e.name)
		t.pendingEntries = slices.Delete(t.pendingEntries, i, i+1)
	}
}

// recurringHeap is a min-heap of the live recurring jobs by the time of their
// next occurrence.
type recurringHeap []*jobRec

func nextDueMS(j *structs.Job) int64 { return j.Spec.FirstMS + j.NextOccurrence*j.Spec.EveryMS }

func (h recurringHeap) Len() int { return len(h) }

func (h recurringHeap) Less(a, b int) bool {
	x, y := nextDueMS(h[a].Job), nextDueMS(h[b].Job)
	if x != y {
		return x < y
	}
	return h[a].ID < h[b].ID
}

func (h recurringHeap) Swap(a, b int) {
	h[a], h[b] = h[b], h[a]
	h[a].heapPos, h[b].heapPos = a, b
}

// Push implements heap.Interface.
func (h *recurringHeap) Push(x any) {
	j := x.(*jobRec)
	j.heapPos = len(*h)
	*h = append(*h, j)
}

// Pop implements heap.Interface.
func (h *recurringHeap) Pop() any {
	old := *h
	j := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	j.heapPos = -1
	return j
}

func (t *Tables) addRecurring(j *jobRec) { heap.Push(&t.recurring, j) }

func (t *Tables) removeRecurring(j *jobRec) {
	if j.heapPos >= 0 {
		heap.Remove(&t.recurring, j.heapPos)
	}
}

// NextDueMS returns when the next occurrence of a recurring job is due, in Unix
// milliseconds.
func NextDueMS(j *structs.Job) int64 { return nextDueMS(j) }

// DueJobs returns at most limit live recurring jobs whose next occurrence is
// due at nowMS. The cost depends on the number of due jobs only.
func (t *Tables) DueJobs(nowMS int64, limit int) []*structs.Job {
	var out []*structs.Job
	stack := []int{0}
	for len(stack) > 0 && len(out) < limit {
		i := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		if i >= len(t.recurring) || nextDueMS(t.recurring[i].Job) > nowMS {
			continue
		}
		out = append(out, t.recurring[i].Job)
		stack = append(stack, 2*i+1, 2*i+2)
	}
	return out
}

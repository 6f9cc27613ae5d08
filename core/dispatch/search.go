package dispatch

import (
	"container/heap"
	"slices"

	"gooseberrypond/core/graph"
)

// Searches for workers cost what a step and a pool hold, not their product: the tasks of a
// step are alike, so one pass over the pool ranks the workers for all of them. Each placed
// task changes the score of its worker only, which is then ranked anew.

const (
	// fillerSample is how many workers that can take a filler are compared for each task.
	// The best of so many is among the best few percent of a large pool.
	fillerSample = 96
	// fillerStride is the distance between workers that are compared one after the
	// other. Neighbours often run tasks of the same kind, so a sample of them would be
	// one-sided. As a prime, it reaches each worker of any pool whose size is not a
	// multiple of it.
	fillerStride = 7919
)

// search is the order in which workers are compared.
type search struct {
	// from and stride are positions in the pool.
	from, stride int
	// limit is how many workers that can take the task are compared.
	limit int
}

// searchFor returns the order in which workers are compared for so many tasks of a step.
// Fillers fit on most workers, so a sample is enough for them.
func (p *placer) searchFor(s *graph.StepState, tasks int) search {
	n := len(p.candidates.members)
	if !s.Filler {
		return search{from: 0, stride: 1, limit: n}
	}
	return search{from: p.candidates.next, stride: fillerStride, limit: min(n, fillerSample*tasks)}
}

// rankedWorker is a worker that can take a task of a step.
type rankedWorker struct {
	cd    *candidate
	score float64
	// visit is its position in the search; of equal scores the first one wins.
	visit int
}

// workerRanking ranks the workers that can take a task of a step, as a heap with the best
// one first.
type workerRanking struct {
	step    *graph.StepState
	workers []rankedWorker
}

// Len implements heap.Interface.
func (r *workerRanking) Len() int { return len(r.workers) }

// Less implements heap.Interface.
func (r *workerRanking) Less(i, j int) bool {
	a, b := &r.workers[i], &r.workers[j]
	if a.score != b.score {
		return a.score > b.score
	}
	return a.visit < b.visit
}

// Swap implements heap.Interface.
func (r *workerRanking) Swap(i, j int) { r.workers[i], r.workers[j] = r.workers[j], r.workers[i] }

// Push implements heap.Interface.
func (r *workerRanking) Push(x any) { r.workers = append(r.workers, x.(rankedWorker)) }

// Pop implements heap.Interface.
func (r *workerRanking) Pop() any {
	last := len(r.workers) - 1
	x := r.workers[last]
	r.workers = r.workers[:last]
	return x
}

// bestFor returns the position of the best worker for a task, which is 0 unless the task last
// failed there. The ranking must not be empty.
func (r *workerRanking) bestFor(task *graph.Task) int {
	if task.Failures == 0 || r.workers[0].cd.ws.w.Handle != task.LastWorker {
		return 0
	}
	second := 0 // the second best of a heap is one of the next two
	for i := 1; i < min(3, len(r.workers)); i++ {
		if second == 0 || r.Less(i, second) {
			second = i
		}
	}
	if second > 0 && r.workers[second].score > r.workers[0].score-failedHereWeight {
		return second
	}
	return 0
}

// pick returns the best worker for a task, or nil.
func (p *placer) pick(s *graph.StepState, task *graph.Task) *candidate {
	if p.knownInfeasible(s) {
		return nil
	}
	r := p.ranking
	switch {
	case task.IsCrashSuspect(): // its scores differ from those of the others
		p.rankWorkers(s, task, p.searchFor(s, 1))
		defer p.dropRanking()
	case r.step != s:
		p.rankWorkers(s, task, p.searchFor(s, s.Waiting))
	}
	if len(r.workers) == 0 {
		p.noteUnplaced(s)
		return nil
	}
	return r.workers[r.bestFor(task)].cd
}

// rankWorkers ranks the workers that can take a task.
func (p *placer) rankWorkers(s *graph.StepState, task *graph.Task, order search) {
	p.c.Stats.Scans++
	r := p.ranking
	r.step, r.workers = s, r.workers[:0]
	need := s.ReservedResources()
	pool := p.candidates
	since := p.c.failed.since(p.now, demandOf(s, p.care))
	n := len(pool.members)
	for i := 0; i < n && len(r.workers) < order.limit; i++ {
		at := (order.from + i*order.stride) % n
		if pool.changedIn[at] <= since || pool.freeMilli[at] < need.CPUMilli {
			continue
		}
		cd := pool.members[at]
		p.c.Stats.Examined++
		score, ok := p.scoreIfFits(s, task, cd)
		if !ok {
			continue
		}
		if s.Filler {
			pool.next = at
		}
		r.workers = append(r.workers, rankedWorker{cd, score, i})
	}
	heap.Init(r)
}

// scoreIfFits rates a worker for a task; ok is false if it cannot take the task now.
func (p *placer) scoreIfFits(s *graph.StepState, task *graph.Task, cd *candidate) (score float64, ok bool) {
	if !s.ReservedResources().Fits(cd.free) || !p.feasible(s, cd) {
		return 0, false
	}
	return p.score(s, task, cd)
}

// rankAgain updates the ranking after a task was placed on a worker.
func (p *placer) rankAgain(s *graph.StepState, task *graph.Task, cd *candidate) {
	r := p.ranking
	if r.step == nil || !p.candidates.holds(cd) {
		return
	}
	top := r.workers[:min(3, len(r.workers))]
	i := slices.IndexFunc(top, func(w rankedWorker) bool { return w.cd == cd })
	if r.step != s || i < 0 {
		p.dropRanking()
		return
	}
	score, ok := p.scoreIfFits(s, task, cd)
	if !ok {
		heap.Remove(r, i)
		return
	}
	r.workers[i].score = score
	heap.Fix(r, i)
}

// dropRanking makes the next search rank the workers anew.
func (p *placer) dropRanking() { p.ranking.step = nil }

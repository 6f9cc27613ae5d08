package dispatch

import "gooseberrypond/core/graph"

// A step may limit how many of its tasks run on one worker, strays among them (stray.go).

// countByWorker counts the step's runs by the worker of their attempt.
func countByWorker(s *graph.StepState) map[graph.Handle]int {
	n := map[graph.Handle]int{}
	for i := range s.Tasks {
		for _, a := range s.Tasks[i].Attempts {
			n[a.Worker.Handle]++
		}
	}
	return n
}

// onWorker returns the counts of the step's tasks by worker, with those that this plan
// has placed; nil if the step has no limit.
func (p *placer) onWorker(s *graph.StepState) map[graph.Handle]int {
	if s.MaxPerWorker <= 0 {
		return nil
	}
	n := p.perStep[s]
	if n == nil {
		n = countByWorker(s)
		p.perStep[s] = n
	}
	return n
}

// count adds n to the step's tasks on a worker.
func (p *placer) count(s *graph.StepState, cd *candidate, n int) {
	if on := p.onWorker(s); on != nil {
		on[cd.ws.w.Handle] += n
	}
}

// mayAdd reports whether one more task of the step may be on a worker.
func (p *placer) mayAdd(s *graph.StepState, ws *workerState) bool {
	return s.MaxPerWorker <= 0 || p.onWorker(s)[ws.w.Handle]+ws.strays[s] < s.MaxPerWorker
}

const reasonBesideTooMany = "other tasks of the step are on the worker"

// isBesideTooMany reports whether a run that was never sent has to give way to others of
// its step on the worker. Two plans may have placed them there, if the second was made
// while the outcome of the first was unknown.
func (r *runState) isBesideTooMany() bool {
	s := r.a.Step
	if s.MaxPerWorker <= 0 || r.sends > 0 {
		return false
	}
	others := r.ws.strays[s]
	for a, other := range r.ws.runs {
		if other != r && a.Step == s && !other.releasing && !other.ending {
			others++
		}
	}
	return others >= s.MaxPerWorker
}

package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"gooseberrypond/core/graph"
	"gooseberrypond/core/organisation"
	"gooseberrypond/core/structs"
)

func compareExcess(a, b ranked) int {
	switch {
	case a.excess == b.excess:
		return 0
	case b.excess:
		return -1
	}
	return 1
}

// shareOut merges the organisations' work within each priority and class by their shares.
func (c *Core) shareOut(steps []ranked, overdue map[*graph.Task]int) []ranked {
	if len(steps) == 0 || !slices.ContainsFunc(steps, func(r ranked) bool { return owner(r.step) != owner(steps[0].step) }) {
		return steps
	}
	for i := range steps {
		steps[i].account = c.ledger.Account(owner(steps[i].step))
	}
	equal := c.equalShare(steps)
	raiseMissed(steps, equal)
	steps = splitSteps(steps, equal, overdue)
	out := make([]ranked, 0, len(steps))
	demands := make([]organisation.Demand, 0, len(steps))
	var ranking organisation.Ranking
	for len(out) < len(steps) {
		group := sameRank(steps[len(out):])
		demands = demands[:0]
		for i := range group {
			demands = append(demands, organisation.Demand{Account: group[i].account, Need: group[i].step.Need.Scale(int64(group[i].most))})
		}
		ranking.Order(demands, func(i int) { out = append(out, group[i]) })
	}
	return out
}

// splitSteps gives each step a second entry with the tasks that bring its organisation
// above the equal share: a wide step would otherwise take many times the share of a small
// organisation at once. The first entry has a task at least.
func splitSteps(steps []ranked, equal float64, overdue map[*graph.Task]int) []ranked {
	out := make([]ranked, 0, 2*len(steps))
	before := map[*organisation.Account]structs.Resources{}
	for _, r := range steps {
		tasks, sum := r.tasks(overdue), before[r.account]
		r.most = tasks
		if fit := max(1, r.account.TasksWithin(equal, sum, r.step.Need)); fit < tasks && r.class != overdueLongRunning && !r.step.Gang {
			first := r
			first.most = fit
			out = append(out, first)
			r.most, r.rest = tasks-fit, true
		}
		out = append(out, r)
		before[r.account] = sum.Add(r.step.Need.Scale(int64(tasks)))
	}
	return out
}

func (p *placer) isPlaced(task *graph.Task) bool {
	_, placed := p.placed[task]
	return placed
}

// entryDone reports whether all tasks of the current entry have been placed.
func (p *placer) entryDone() bool { return p.most > 0 && len(p.starts)-p.begun >= p.most }

// raiseMissed ranks the work that can no longer meet its objective with the work that can,
// as long as its organisation has less than its share: it would wait without end behind what
// others always send anew. It stays behind the other work of its organisation.
func raiseMissed(steps []ranked, equal float64) {
	raised := false
	for i := range steps {
		r := &steps[i]
		r.sharesAs = r.class
		if r.class >= late && r.account.ShareWith(structs.Resources{}) < equal {
			r.sharesAs, raised = inTime, true
		}
	}
	if !raised {
		return
	}
	slices.SortStableFunc(steps, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.sharesAs, b.sharesAs), compareExcess(a, b))
	})
}

// sameRank returns the steps at the beginning of the list that differ only in the time due.
func sameRank(steps []ranked) []ranked {
	for i := range steps {
		r := &steps[i]
		if r.priority != steps[0].priority || r.sharesAs != steps[0].sharesAs || r.excess != steps[0].excess {
			return steps[:i]
		}
	}
	return steps
}

// tasks returns how many tasks the entry has.
func (r *ranked) tasks(overdue map[*graph.Task]int) int {
	if !r.step.LongRunning || len(overdue) == 0 {
		return r.step.Waiting
	}
	n := 0
	for i := range r.step.Tasks {
		if overdue[&r.step.Tasks[i]] > 0 {
			n++
		}
	}
	if r.class == overdueLongRunning {
		return n
	}
	return r.step.Waiting - n
}

const (
	// callBackAfter is how long batch work of an organisation below its share waits before
	// long-running tasks of others give way: until batch work, which ends by itself, would
	// have made room. Long-running tasks wait for restartDelay, until they rank with the
	// others.
	callBackAfter = time.Second
	// callBackEvery is the time between two searches for tasks that give way.
	callBackEvery = 250 * time.Millisecond
	// callBackOwners is how many organisations, the furthest above their share first, are
	// searched for them.
	callBackOwners = 2
)

// callBack stops long-running tasks of organisations above their share for work of
// organisations below theirs that found no worker. order is the order in which p placed
// the steps.
func (c *Core) callBack(nowMS int64, order []ranked, p *placer) {
	if p.now.Sub(c.calledBackAt) < callBackEvery {
		return
	}
	c.calledBackAt = p.now
	equal := c.equalShare(order)
	if equal == 0 {
		return
	}
	coming := c.comingBack()
	stopped, failed := 0, 0
	for i := range order {
		s := order[i].step
		if stopped >= preemptMax || failed >= preemptFailuresMax {
			return
		}
		if order[i].excess || order[i].rest || !c.belowShare(s, equal) || !c.mayCallBack(s, nowMS) {
			continue
		}
		n, ok := p.callBackFor(s, equal, coming, min(p.unplacedTasks(s), preemptMax-stopped))
		stopped += n
		if !ok {
			failed++
		}
	}
}

// callBackFor makes space for at most so many tasks of a step. It returns how many runs
// were stopped, and false if there was none to stop.
func (p *placer) callBackFor(s *graph.StepState, equal float64, coming map[string]structs.Resources, tasks int) (stopped int, ok bool) {
	c, name := p.c, owner(s)
	for range tasks {
		if left := coming[name].Sub(s.Need); !left.HasNegative() {
			coming[name] = left // it will be placed where a run is being stopped
			c.ledger.Take(name, s.Need, 1)
			continue
		}
		if !c.ledger.Fits(name, s.Need) || !c.belowShare(s, equal) {
			break
		}
		if !p.makeSpaceFrom(s, equal) {
			return stopped, false
		}
		for _, r := range p.stopped {
			c.calledBack[r] = name
			c.ledger.Take(owner(r.a.Step), r.a.Step.Need, -1)
		}
		stopped += len(p.stopped)
		c.ledger.Take(name, s.Need, 1) // its start is to follow
	}
	return stopped, true
}

// belowShare reports whether one more task of a step brings its organisation at most to the
// equal share, or it has none yet.
func (c *Core) belowShare(s *graph.StepState, equal float64) bool {
	return c.ledger.ShareWith(owner(s), s.Need) <= equal || c.ledger.Share(owner(s)) == 0
}

// unplacedTasks returns how many waiting tasks of a step were not placed in this plan.
func (p *placer) unplacedTasks(s *graph.StepState) int {
	n := s.Waiting
	for i := range s.Tasks {
		if p.isPlaced(&s.Tasks[i]) {
			n--
		}
	}
	return n
}

// equalShare returns the weighted dominant share that each organisation has if those with
// work use everything; 0 if fewer than two have work.
func (c *Core) equalShare(order []ranked) float64 {
	active := map[*organisation.Account]struct{}{}
	for name := range c.tables.Usages {
		active[c.ledger.Account(name)] = struct{}{}
	}
	for i := range order {
		if a := order[i].account; a != nil {
			active[a] = struct{}{}
		} else {
			active[c.ledger.Account(owner(order[i].step))] = struct{}{}
		}
	}
	if len(active) < 2 {
		return 0
	}
	var weights []float64
	for a := range active {
		weights = append(weights, a.Weight())
	}
	slices.Sort(weights) // the sum does not depend on the order of the map
	var sum float64
	for _, w := range weights {
		sum += w
	}
	return 1 / sum
}

// shareToYieldAbove returns the share above which an organisation's long-running tasks do
// not go ahead of batch work: the equal share while work of an organisation below it waits.
func (c *Core) shareToYieldAbove(waiting []*graph.StepState) float64 {
	order := make([]ranked, len(waiting))
	for i, s := range waiting {
		order[i].step = s
	}
	equal := c.equalShare(order)
	if equal > 0 && slices.ContainsFunc(waiting, func(s *graph.StepState) bool { return c.belowShare(s, equal) }) {
		return equal
	}
	return math.Inf(1)
}

// overShare returns the organisations that are furthest above the equal share.
func (c *Core) overShare(equal float64) []string {
	var out []string
	for name := range c.tables.Usages {
		if c.ledger.Share(name) > equal {
			out = append(out, name)
		}
	}
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(c.ledger.Share(b), c.ledger.Share(a)), cmp.Compare(a, b))
	})
	return out[:min(len(out), callBackOwners)]
}

// comingBack returns what is being freed for each organisation. The runs that are being
// stopped count no more in the shares.
func (c *Core) comingBack() map[string]structs.Resources {
	out := map[string]structs.Resources{}
	for r, name := range c.calledBack {
		if r.a.Ended() {
			delete(c.calledBack, r)
			continue
		}
		out[name] = out[name].Add(r.a.Step.Need)
		c.ledger.Take(owner(r.a.Step), r.a.Step.Need, -1)
	}
	return out
}

// mayCallBack reports whether others may give way to the waiting tasks of a step.
func (c *Core) mayCallBack(s *graph.StepState, nowMS int64) bool {
	pool := s.Occurrence.Job.Queue.Pool
	state := c.poolStates[pool]
	if s.Filler || s.Gang || s.Waiting == 0 || state == nil || c.candidatePools[pool] == nil {
		return false
	}
	if s.LongRunning {
		return state.reserve() == 0 && nowMS-c.longestWaitingSince(s) >= restartDelay.Milliseconds()
	}
	return nowMS-max(s.Occurrence.DueMS, s.ReadyMS()) >= callBackAfter.Milliseconds()
}

// makeSpaceFrom stops runs of the organisation that is furthest above its share and has
// any to stop. None falls below the equal share by more than a task.
func (p *placer) makeSpaceFrom(s *graph.StepState, equal float64) bool {
	defer func() { p.givesWay = nil }()
	for _, name := range p.c.overShare(equal) {
		p.givesWay = &name
		if p.makeSpace(s, p.c.candidatePools[s.Occurrence.Job.Queue.Pool]) > 0 {
			return true
		}
	}
	return false
}

// mayGiveWay reports whether a run of the step v may be stopped for a task of s, by the
// shares of their organisations.
func (p *placer) mayGiveWay(s, v *graph.StepState) bool {
	if p.givesWay != nil {
		return owner(v) == *p.givesWay
	}
	return owner(v) == owner(s) || p.c.ledger.Share(owner(v)) >= p.c.ledger.Share(owner(s))
}

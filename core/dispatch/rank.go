package dispatch

import (
	"cmp"
	"math"
	"slices"

	"gooseberrypond/core/demand"
	"gooseberrypond/core/graph"
	"gooseberrypond/core/organisation"
)

// ranked is a step with waiting tasks and its sort keys.
type ranked struct {
	step     *graph.StepState
	priority int
	class    rankClass
	// sharesAs is the class among whose work the organisations' shares decide.
	sharesAs rankClass
	excess   bool // sent beyond the organisation's weight
	// most is how many tasks the entry has, 0 for all, and rest is set if an entry before
	// has some of the step's tasks.
	most int
	rest bool
	// account is that of the step's organisation, if work of several waits.
	account *organisation.Account
	// atWork is the share of a long-running step's tasks that are at work.
	atWork float64
	batch  demand.Batch
	// overdue is the position of an entry for overdue tasks among those.
	overdue int
}

// rankClass orders steps of the same priority.
type rankClass uint8

const (
	// overdueLongRunning has the overdue tasks of a step, which has a second entry for
	// its others.
	overdueLongRunning rankClass = iota
	// inTime is batch work that can still meet its objective. It holds its processors
	// for seconds, so long-running tasks lose little by waiting for it.
	inTime
	// longRunning tasks are useful whenever they start. Those that have waited for
	// restartDelay rank with inTime unless batch work has less than its share, so that
	// neither keeps the other waiting.
	longRunning
	// late is batch work that can no longer meet its objective but still be of use, tooLate
	// that which cannot.
	late
	tooLate
)

func (c *Core) classOf(s *graph.StepState, nowMS int64, b demand.Batch) rankClass {
	switch {
	case s.LongRunning && (nowMS-c.longestWaitingSince(s) < restartDelay.Milliseconds() || c.batchLacksShare(s.Occurrence.Job.Queue.Pool)):
		return longRunning
	case s.LongRunning:
		return inTime
	}
	return [...]rankClass{demand.InTime: inTime, demand.Late: late, demand.TooLate: tooLate}[b.UseAt(nowMS)]
}

// batchOf returns what decides how early a step is placed.
func (c *Core) batchOf(s *graph.StepState) demand.Batch {
	o := s.Occurrence
	return demand.Batch{
		DueMS: o.DueMS, ObjectiveMS: c.objectiveMS(o), RemainingMS: c.remainingMS(s),
		Started: s.Number > 0 || s.Open < len(s.Tasks) || s.Waiting < s.Open,
	}
}

// firstOverdue returns the position among the overdue tasks of the step's first one, 0
// if it has none.
func firstOverdue(s *graph.StepState, overdue map[*graph.Task]int) int {
	if !s.LongRunning {
		return 0
	}
	first := 0
	for i := range s.Tasks {
		if n := overdue[&s.Tasks[i]]; n > 0 && (first == 0 || n < first) {
			first = n
		}
	}
	return first
}

// batchLacksShare reports whether batch tasks hold less of a pool than their share.
func (c *Core) batchLacksShare(pool string) bool {
	r := c.poolStates[pool]
	return r != nil && r.batch < r.share()
}

// waitingSince returns when a task began to wait for a run, in Unix milliseconds. A
// start that led to no run does not end the wait.
func (c *Core) waitingSince(s *graph.StepState, task *graph.Task) int64 {
	return max(s.Occurrence.DueMS, task.EndedMS)
}

// longestWaitingSince returns the earliest start of the waits of the step's waiting tasks.
func (c *Core) longestWaitingSince(s *graph.StepState) int64 {
	since := int64(math.MaxInt64)
	for i := range s.Tasks {
		if t := &s.Tasks[i]; !t.Done && len(t.Attempts) == 0 {
			since = min(since, c.waitingSince(s, t))
		}
	}
	return since
}

// rank sorts steps by priority, then by class, then what organisations send beyond their
// weight last, then by the organisations' shares, then by the time by which their job
// should be complete; long-running ones by the share of their tasks at work before that.
func (c *Core) rank(steps []*graph.StepState, nowMS int64, overdue map[*graph.Task]int) []ranked {
	out := make([]ranked, 0, len(steps))
	for _, s := range steps {
		o := s.Occurrence
		r := ranked{step: s, priority: o.Job.Queue.Priority, excess: o.Job.Spec.Excess, batch: c.batchOf(s)}
		r.class = c.classOf(s, nowMS, r.batch)
		if s.LongRunning {
			r.atWork = float64(c.atWork(s)) / float64(len(s.Tasks))
		}
		out = append(out, r)
		if n := firstOverdue(s, overdue); n > 0 {
			r.class, r.overdue = overdueLongRunning, n
			out = append(out, r)
		}
	}
	slices.SortStableFunc(out, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.class, b.class), compareExcess(a, b),
			cmp.Compare(a.overdue, b.overdue), cmp.Compare(a.atWork, b.atWork), a.batch.Compare(b.batch))
	})
	return c.shareOut(out, overdue)
}

// stepMS returns what a step is expected to take: it ends with its longest task.
func (c *Core) stepMS(s *graph.StepState) int64 { return c.ExpectedWork(s).LongestOf(len(s.Tasks)) }

// remainingMS returns the expected length of the critical path from a step on.
func (c *Core) remainingMS(s *graph.StepState) int64 {
	steps := s.Occurrence.Steps
	ends := make([]int64, len(steps))
	ends[s.Number] = c.stepMS(s)
	longest := ends[s.Number]
	for i := s.Number + 1; i < len(steps); i++ {
		for _, d := range steps[i].DependsOn {
			if ends[d] > 0 {
				ends[i] = max(ends[i], ends[d]+c.stepMS(steps[i]))
			}
		}
		longest = max(longest, ends[i])
	}
	return longest
}

// objectiveMS returns the time within which an occurrence should complete: the expected
// length of its critical path times the queue's deadline factor, plus the queue's target
// latency.
func (c *Core) objectiveMS(o *graph.Occurrence) int64 {
	ends := make([]int64, len(o.Steps))
	var chain int64
	for i, s := range o.Steps {
		for _, d := range s.DependsOn {
			ends[i] = max(ends[i], ends[d])
		}
		ends[i] += c.stepMS(s)
		chain = max(chain, ends[i])
	}
	return int64(o.Job.Queue.DeadlineFactor*float64(chain)) + o.Job.Queue.TargetLatencyMS
}

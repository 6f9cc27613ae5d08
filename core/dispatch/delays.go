package dispatch

import (
	"maps"
	"time"

	"gooseberrypond/core/graph"
)

// Cause is what a ready step with tasks that have no run waits for.
type Cause uint8

const (
	// CauseLeader is a wait from before this leader was elected.
	CauseLeader Cause = iota
	// CausePlan is the wait for the first plan after the step became ready.
	CausePlan
	// CauseTurn is a wait behind other work: the plan was full before the step's turn.
	CauseTurn
	// CauseRoom is the wait for a worker on which enough is unreserved.
	CauseRoom
	// CauseHeadroom is a filler's wait for a worker with idle processors and headroom.
	CauseHeadroom
	// CauseReserve is a long-running task's wait for capacity kept for batch work.
	CauseReserve
	// CauseLimit is the wait for the organisation to hold less than its limit.
	CauseLimit
	// CauseStray is the wait for the end of a run of the task that has no attempt.
	CauseStray
	// CauseCommit is the time from the plan that chose workers to its commit.
	CauseCommit
	// CauseCall is the longest time from the commit of a start to its answer.
	CauseCall
	causes
)

// String returns the name of the cause, as used in logs and metric labels.
func (c Cause) String() string {
	return [...]string{"leader", "plan", "turn", "room", "headroom", "reserve", "limit", "stray", "commit", "call"}[c]
}

// Causes returns all causes.
func Causes() []Cause {
	out := make([]Cause, causes)
	for i := range out {
		out[i] = Cause(i)
	}
	return out
}

// Delays is the time spent on each cause.
type Delays [causes]time.Duration

// add adds the time for which a step waited for a cause.
func (d *Delays) add(cause Cause, waited time.Duration) { d[cause] += max(0, waited) }

// stepDelays is what a step has waited for under this leader.
type stepDelays struct {
	Delays
	// cause is what the step has waited for since the given time, unless it is idle:
	// then none of its tasks waits.
	cause Cause
	since time.Time
	idle  bool
}

// until returns the delays of a step with its current wait, which ends with its job.
func (d *stepDelays) until(now time.Time, live bool) *Delays {
	out := d.Delays
	if !d.idle && live {
		out.add(d.cause, now.Sub(d.since))
	}
	return &out
}

// Milliseconds returns the delays of a millisecond or more by the name of their cause.
func (d *Delays) Milliseconds() map[string]int64 {
	out := map[string]int64{}
	for cause, waited := range d {
		if ms := waited.Milliseconds(); ms > 0 {
			out[Cause(cause).String()] = ms
		}
	}
	return out
}

// delaysOf returns the delays of a step that waits. They begin with its first plan.
func (c *Core) delaysOf(now time.Time, nowMS int64, s *graph.StepState) *stepDelays {
	d := c.delays[s]
	if d == nil {
		waitedMS := nowMS - max(c.longestWaitingSince(s), s.ReadyMS())
		d = &stepDelays{cause: CausePlan, since: now.Add(-time.Duration(waitedMS) * time.Millisecond)}
		if d.since.Before(c.electedAt) {
			d.add(CauseLeader, c.electedAt.Sub(d.since))
			d.since = c.electedAt
		}
		c.delays[s] = d
	}
	if d.idle {
		d.cause, d.since, d.idle = CausePlan, now, false
	}
	return d
}

// waitFor ends the current wait of a step and begins one for another cause.
func (c *Core) waitFor(now time.Time, d *stepDelays, cause Cause) {
	c.countDelay(d, d.cause, now.Sub(d.since))
	d.cause, d.since = cause, now
}

func (c *Core) countDelay(d *stepDelays, cause Cause, waited time.Duration) {
	d.add(cause, waited)
	c.Stats.Delays.add(cause, waited)
}

// recordCauses records what each waiting step waits for after a plan. stopped holds, by
// step, why its search ended; steps without an entry were not reached.
func (p *placer) recordCauses(waiting []*graph.StepState) {
	for _, s := range waiting {
		cause, reached := p.causes[s]
		switch {
		case p.unplacedTasks(s) == 0:
			cause = CauseCommit
		case !reached:
			cause = CauseTurn
		}
		p.c.waitFor(p.now, p.c.delaysOf(p.now, p.nowMS, s), cause)
	}
}

// stepPlaced ends the wait of a step if the applied starts left none of its tasks waiting.
func (c *Core) stepPlaced(now time.Time, s *graph.StepState) {
	if d := c.delays[s]; d != nil && s.Waiting == 0 && !d.idle {
		c.waitFor(now, d, CausePlan)
		d.idle = true
	}
}

// startCalled records how long a start took from its commit to its answer.
func (c *Core) startCalled(now time.Time, r *runState) {
	if d := c.delays[r.a.Step]; d != nil && !r.inherited {
		took := now.Sub(r.trackedAt)
		c.countDelay(d, CauseCall, took-d.Delays[CauseCall])
	}
}

// Delays returns what the steps of a job have waited for under this leader until now, one
// after the other. Steps that wait at the same time are both counted.
func (c *Core) Delays(now time.Time, j *graph.Job) Delays {
	var out Delays
	for _, o := range j.Occurrences {
		for _, s := range o.Steps {
			if d := c.delays[s]; d != nil {
				for cause, waited := range d.until(now, j.Live()) {
					out.add(Cause(cause), waited)
				}
			}
		}
	}
	return out
}

// StepDelays describes what one step of a job has waited for.
type StepDelays struct {
	Occurrence int `json:"occurrence"`
	Step       int `json:"step"`
	// Tasks, Waiting and Open count all tasks, those without a run and those not done.
	Tasks   int  `json:"tasks"`
	Waiting int  `json:"waiting"`
	Open    int  `json:"open"`
	Ready   bool `json:"ready"`
	// WaitsFor is the current cause, empty if no task waits.
	WaitsFor string `json:"waits_for,omitempty"`
	// WaitedMS is by cause, the current wait included.
	WaitedMS map[string]int64 `json:"waited_ms"`
}

// StepDelays returns what each step of a job has waited for under this leader until now.
func (c *Core) StepDelays(now time.Time, j *graph.Job) []StepDelays {
	out := []StepDelays{}
	for _, o := range j.Occurrences {
		for _, s := range o.Steps {
			x := StepDelays{Occurrence: o.Number, Step: s.Number, Tasks: len(s.Tasks), Waiting: s.Waiting, Open: s.Open, Ready: s.Ready, WaitedMS: map[string]int64{}}
			if d := c.delays[s]; d != nil {
				if !d.idle && j.Live() {
					x.WaitsFor = d.cause.String()
				}
				x.WaitedMS = d.until(now, j.Live()).Milliseconds()
			}
			out = append(out, x)
		}
	}
	return out
}

// forgetDelays drops the delays of jobs that have ended.
func (c *Core) forgetDelays() {
	maps.DeleteFunc(c.delays, func(s *graph.StepState, _ *stepDelays) bool { return !s.Occurrence.Job.Live() })
}

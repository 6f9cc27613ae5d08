package dispatch

import (
	"maps"
	"slices"
	"time"

	"gooseberrypond/core/graph"
)

// begunDelay is how long the record that jobs have begun may wait for a batch that is
// proposed for another reason, so that it seldom takes a log entry of its own.
const begunDelay = 500 * time.Millisecond

// begunJobs are the jobs to be recorded as begun.
type begunJobs struct {
	ids map[graph.JobID]struct{}
	// since is when the plan first found a job that is not recorded yet.
	since time.Time
}

// hasBegun queues a record that a worker has begun a task of the attempt's job. A start
// in the log does not show it: the start may not have been sent, and may be refused.
func (c *Core) hasBegun(a *graph.Attempt) {
	if j := a.Step.Occurrence.Job; j.State == graph.JobQueued {
		c.begun.ids[j.Spec.ID] = struct{}{}
	}
}

// takeBegun returns the jobs to record as begun in the batch.
func (c *Core) takeBegun(now time.Time, b *graph.Batch) []graph.JobID {
	maps.DeleteFunc(c.begun.ids, func(id graph.JobID, _ struct{}) bool {
		j := c.tables.Job(id)
		return j == nil || j.State != graph.JobQueued
	})
	if len(c.begun.ids) == 0 {
		c.begun.since = time.Time{}
		return nil
	}
	if c.begun.since.IsZero() {
		c.begun.since = now
	}
	if b.Empty() && now.Sub(c.begun.since) < begunDelay {
		return nil
	}
	ids := slices.Sorted(maps.Keys(c.begun.ids))
	clear(c.begun.ids)
	c.begun.since = time.Time{}
	return ids
}

package dispatch

import (
	"math"
	"time"

	"gooseberrypond/core/demand"
	"gooseberrypond/core/graph"
)

const (
	// reserveFactor sets the capacity kept free for batch tasks, as a multiple of the
	// processors that they have recently reserved (on average over reserveWindow). It
	// is above 1 because free capacity is fragmented over many workers and a task has to fit
	// on one of them.
	reserveFactor = 2.5
	// reserveMax limits that capacity, as a fraction of the pool's total.
	reserveMax = 0.15
	// reserveWindow is the time constant of the moving average.
	reserveWindow = 5 * time.Second
	// reserveMin is the average below which batch work counts as none, as a fraction of
	// the pool's total: an exponential average never reaches zero.
	reserveMin = 0.005
	// restartDelay is how long the reserve also applies to a long-running task that
	// ran before. After that its absence costs more than the reserve is worth.
	restartDelay = 3 * time.Second
	// demandWindow is the period of submissions from which the processors that batch
	// tasks need are estimated.
	demandWindow = 10 * time.Second
	// measureInterval is the longest time between two measurements of the pools, also
	// while no task waits.
	measureInterval = 500 * time.Millisecond
)

// poolState tracks the free capacity of a pool and the part of it that is kept free
// for batch tasks, in thousandths of a core. Long-running tasks hold their processors for a minute
// or more. Without a reserve they take all of them, and short jobs of the same
// priority starve.
type poolState struct {
	capacity, free, batch int64
	// largest is the free capacity of the worker with the most of it.
	largest int64
	// batchMean is the exponential moving average of batch.
	batchMean float64
	// demand is the processor time that recently submitted batch tasks need.
	demand   float64
	demandAt time.Time
	at       time.Time
}

// measureCapacity updates the free capacity of each pool from its usable workers.
func (c *Core) measureCapacity(now time.Time, nowMS int64, pools map[string]*candidatePool) {
	c.measuredAt = now
	for name, pool := range pools {
		r := c.poolStates[name]
		if r == nil {
			r = &poolState{at: now}
			c.poolStates[name] = r
		}
		r.capacity, r.free, r.batch, r.largest = 0, 0, 0, 0
		for _, cd := range pool.members {
			r.capacity += cd.ws.w.Capacity.CPUMilli
			r.free += max(0, cd.free.CPUMilli) // negative after the worker's capacity has shrunk
			r.largest = max(r.largest, cd.free.CPUMilli)
			r.batch += cd.batchMilli
		}
		weight := 1 - math.Exp(-now.Sub(r.at).Seconds()/reserveWindow.Seconds())
		r.batchMean += weight * (float64(r.batch) - r.batchMean)
		if r.batch == 0 && r.batchMean < reserveMin*float64(r.capacity) {
			r.batchMean = 0
		}
		r.at = now
		if now.Sub(r.demandAt) >= measureInterval {
			r.demandAt, r.demand = now, c.batchDemand(name, nowMS)
		}
	}
}

// share returns the processor time that batch tasks are entitled to when long-running
// tasks of the same priority want all of it.
func (r *poolState) share() int64 {
	return int64(min(reserveFactor*max(r.batchMean, r.demand), reserveMax*float64(r.capacity)))
}

// reserve returns the processor time that new long-running tasks must leave free.
func (r *poolState) reserve() int64 { return max(0, r.share()-r.batch) }

// canPlace reports whether the reserve allows a task that has waited for the given time
// to be placed. It applies only to long-running tasks that have waited for less than
// demand.ReserveMax, or less than restartDelay if they ran before, and not to urgent ones.
func (r *poolState) canPlace(s *graph.StepState, task *graph.Task, waitedMS int64) bool {
	if !s.LongRunning || waitedMS >= demand.ReserveMax.Milliseconds() ||
		task.LastRun > 0 && waitedMS >= restartDelay.Milliseconds() {
		return true
	}
	return r.free-s.Need.CPUMilli >= r.reserve()
}

// batchDemand estimates the processors that the batch tasks of a pool reserve on
// average, in thousandths of a core, from the jobs submitted within demandWindow. The
// runs themselves do not show it while batch tasks find no worker, or after an outage.
// The period ends with the newest job, so that an outage shorter than the period does not
// hide the demand. An organisation's work counts up to its limit.
func (c *Core) batchDemand(pool string, nowMS int64) float64 {
	var newest int64
	c.tables.Jobs(func(j *graph.Job) bool {
		newest = max(newest, j.AcceptedMS)
		return true
	})
	if nowMS-newest > demandWindow.Milliseconds() {
		return 0 // no more work comes
	}
	work := map[string]float64{} // by organisation, thousandths of a core times milliseconds
	c.tables.Jobs(func(j *graph.Job) bool {
		if j.Queue.Pool != pool || j.AcceptedMS <= newest-demandWindow.Milliseconds() {
			return true
		}
		for i := range j.Spec.Steps {
			s := &j.Spec.Steps[i]
			if !s.LongRunning {
				work[j.Spec.Organisation] += float64(s.Count) * float64(s.ReservedResources().CPUMilli) * float64(s.EstimateMS)
			}
		}
		return true
	})
	var sum float64
	for name, w := range work {
		sum += min(w/float64(demandWindow.Milliseconds()), c.limitMilli(name))
	}
	return sum
}

// FreeCapacity is the processor time, in thousandths of a core, that no run
// reserved when the pools were last measured.
type FreeCapacity struct {
	Sum int64
	// Largest is the most free capacity on any one worker, in the pool where this
	// is lowest.
	Largest int64
}

// FreeCapacity returns the free capacity of all pools. The sum alone hides
// fragmentation into pieces that are too small for any waiting task.
func (c *Core) FreeCapacity() FreeCapacity {
	var out FreeCapacity
	first := true
	for _, r := range c.poolStates {
		out.Sum += r.free
		if first || r.largest < out.Largest {
			out.Largest = r.largest
		}
		first = false
	}
	return out
}

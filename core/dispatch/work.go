package dispatch

import (
	"math"
	"time"

	"gooseberrypond/core/expect"
	"gooseberrypond/core/graph"
)

// ExpectedWork returns what a task of the step is expected to take on a worker of speed 1.
func (c *Core) ExpectedWork(s *graph.StepState) expect.Work {
	return c.work.Work(expect.KindOf(s), s.EstimateMS)
}

// recordWork learns from a run that ended done how long a task takes. Runs that resumed
// from a checkpoint or whose start was not seen tell it not, nor do fillers, which the
// leader slows.
func (c *Core) recordWork(now time.Time, r *runState, kind graph.EndKind) {
	s := r.a.Step
	if kind != graph.EndDone || s.LongRunning || s.Filler || r.a.Resumed != "" || r.acceptedAt.IsZero() {
		return
	}
	took := max(now.Sub(r.acceptedAt).Milliseconds(), 1)
	if s.EstimateMS > 0 {
		c.Stats.WorkRuns++
		c.Stats.WorkError += logError(c.ExpectedWork(s).MeanMS, took)
		c.Stats.EstimateError += logError(s.EstimateMS, took)
	}
	c.work.Record(expect.KindOf(s), s.EstimateMS, took)
}

func logError(expectedMS, tookMS int64) float64 {
	return math.Abs(math.Log(float64(max(expectedMS, 1)) / float64(tookMS)))
}

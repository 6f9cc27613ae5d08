package dispatch

import (
	"math"
	"time"

	"gooseberrypond/core/graph"
)

const (
	// reserveFactor of the processors that batch tasks have lately reserved is
	// kept free of new standing tasks: what is free lies in pieces on many workers,
	// and a task needs its room on one.
	reserveFactor = 2.5
	// reserveMax bounds the reserve, in shares of a pool.
	reserveMax = 0.15
	// reserveWindow is the time constant of the mean.
	reserveWindow = 5 * time.Second
	// measureInterval is how often the pools are measured while nothing waits.
	measureInterval = 500 * time.Millisecond
)

// poolRoom is how much of a pool is free, and how much is to stay so. Standing
// tasks hold their processors for a minute and more; without a reserve they
// take the last of them, and quick jobs of the same priority starve.
type poolRoom struct {
	capacity, free, batch int64
	// largest is what is free on the emptiest worker.
	largest int64
	// batchMean is the mean of batch over reserveWindow.
	batchMean float64
	at        time.Time
}

// measureRoom updates what is free in each pool, from all usable workers.
func (c *Core) measureRoom(now time.Time, pools map[string][]*candidate) {
	c.measuredAt = now
	for name, pool := range pools {
		r := c.rooms[name]
		if r == nil {
			r = &poolRoom{at: now}
			c.rooms[name] = r
		}
		r.capacity, r.free, r.batch, r.largest = 0, 0, 0, 0
		for _, cd := range pool {
			r.capacity += cd.ws.w.Capacity.CPUMilli
			r.free += cd.free.CPUMilli
			r.largest = max(r.largest, cd.free.CPUMilli)
			r.batch += cd.batchMilli
		}
		weight := 1 - math.Exp(-now.Sub(r.at).Seconds()/reserveWindow.Seconds())
		r.batchMean += weight * (float64(r.batch) - r.batchMean)
		r.at = now
	}
}

// reserve returns the processors that new standing tasks must leave.
func (r *poolRoom) reserve() int64 {
	keep := min(reserveFactor*r.batchMean, reserveMax*float64(r.capacity))
	return max(0, int64(keep)-r.batch)
}

// mayStand reports whether a task may take its place in the pool. One that has
// run before is owed its place.
func (r *poolRoom) mayStand(s *graph.StepState, task *graph.Task) bool {
	if !s.LongRunning || task.LastRun > 0 {
		return true
	}
	return r.free-s.Need.CPUMilli >= r.reserve()
}

// FreeCapacity is the processor time, in thousandths of a core, that no run
// reserved when the pools were last measured.
type FreeCapacity struct {
	Sum int64
	// Largest is the largest piece on one worker, in the pool where it is least.
	Largest int64
}

// FreeCapacity returns what is free. Room in pieces that are too small for any
// waiting task looks free by its sum alone.
func (c *Core) FreeCapacity() FreeCapacity {
	var out FreeCapacity
	first := true
	for _, r := range c.rooms {
		out.Sum += r.free
		if first || r.largest < out.Largest {
			out.Largest = r.largest
		}
		first = false
	}
	return out
}

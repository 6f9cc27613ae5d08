package dispatch

import (
	"time"

	"gooseberrypond/core/graph"
)

// longWait is how long a long-running task may be without a run before LongWaits
// reports it.
const longWait = 4 * time.Second

// LongWait describes the long-running tasks of a pool that have waited for longWait,
// with what decides whether they can be placed.
type LongWait struct {
	Pool string
	// Restarts and New count the tasks that have run before and those that have not.
	Restarts, New int
	// Task is the one that has waited longest, since SinceMS in Unix milliseconds,
	// for Need thousandths of a core.
	Task    graph.TaskRef
	SinceMS int64
	Need    int64
	// Capacity, Free, Batch, Share and Reserve are those of the pool when it was last
	// measured, in thousandths of a core. Largest is the most free capacity of any one
	// usable worker.
	Capacity, Free, Largest, Batch, Share, Reserve int64
	// Usable to Out count the pool's workers by the reason why they get no new work;
	// a worker is counted once. Idle is the free capacity of the unusable ones.
	Usable, Quarantined, Unreachable, Draining, Out int
	Idle                                            int64
}

// LongWaits returns the pools in which long-running tasks have waited for longWait.
func (c *Core) LongWaits(now time.Time, nowMS int64) []LongWait {
	waits := map[string]*LongWait{}
	for _, s := range c.tables.Waiting() {
		if s.LongRunning {
			c.addLongWaits(waits, s, nowMS)
		}
	}
	out := make([]LongWait, 0, len(waits))
	for name, w := range waits {
		if r := c.poolStates[name]; r != nil {
			w.Capacity, w.Free, w.Largest, w.Batch, w.Share, w.Reserve = r.capacity, r.free, r.largest, r.batch, r.share(), r.reserve()
		}
		c.countWorkers(now, w)
		out = append(out, *w)
	}
	return out
}

func (c *Core) addLongWaits(waits map[string]*LongWait, s *graph.StepState, nowMS int64) {
	for i := range s.Tasks {
		task := &s.Tasks[i]
		since := c.waitingSince(s, task)
		if task.Done || len(task.Attempts) > 0 || nowMS-since < longWait.Milliseconds() {
			continue
		}
		pool := s.Occurrence.Job.Queue.Pool
		w := waits[pool]
		if w == nil {
			w = &LongWait{Pool: pool, SinceMS: since + 1}
			waits[pool] = w
		}
		if task.LastRun > 0 {
			w.Restarts++
		} else {
			w.New++
		}
		if since < w.SinceMS {
			w.Task, w.SinceMS, w.Need = s.Ref(i), since, s.Need.CPUMilli
		}
	}
}

// countWorkers counts the workers of a pool by the reason why they get no new work.
func (c *Core) countWorkers(now time.Time, w *LongWait) {
	for _, ws := range c.byHandle {
		if ws.w.Pool != w.Pool || ws.w.Left {
			continue
		}
		switch {
		case c.usable(now, ws):
			w.Usable++
			continue
		case c.tables.DomainOut(ws.w.Domain):
			w.Out++
		case ws.w.Draining:
			w.Draining++
		case ws.health.quarantined(now):
			w.Quarantined++
		default:
			w.Unreachable++
		}
		w.Idle += ws.w.Free().CPUMilli
	}
}

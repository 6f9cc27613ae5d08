package sched

import (
	"slices"
	"time"

	"gooseberrypond/core/state"
	"gooseberrypond/core/structs"
)

const (
	// throttleAbove is the slowdown of a latency-critical task above which a
	// batch neighbour is throttled. Below releaseBelow, one throttle is released.
	throttleAbove = 1.5
	releaseBelow  = 1.2
	// throttleInterval is the minimum time between two changes on a worker. Usage
	// reports arrive late, so an earlier change would be based on figures from
	// before the previous one.
	throttleInterval = 10 * time.Second
	// slowdownMaxAge is the age after which a slowdown report is ignored.
	slowdownMaxAge = 20 * time.Second
	// throttleBeforeEvict is how long a slowdown must persist with all noisy
	// tasks throttled before the noisiest one is evicted.
	throttleBeforeEvict = time.Minute
	// noisyExcess is the estimated excess slowdown above which a task is noisy.
	noisyExcess = 0.05
)

// contention is the state of interference control on a worker.
type contention struct {
	// slowdowns has the latest report of each latency-critical task.
	slowdowns []taskSlowdown
	throttled []structs.TaskID
	changedAt time.Time
	// exhaustedSince is the time since which no noisy task is left to throttle
	// although the slowdown persists; otherwise zero.
	exhaustedSince time.Time
}

// taskSlowdown is the smoothed slowdown of one latency-critical task.
type taskSlowdown struct {
	task     structs.TaskID
	slowdown float64
	at       time.Time
}

func (n *node) recordSlowdown(task structs.TaskID, slowdown float64, at time.Time) {
	for i := range n.contention.slowdowns {
		if s := &n.contention.slowdowns[i]; s.task == task {
			if !at.Before(s.at) {
				// Average with the previous value, because single reports are noisy.
				s.slowdown, s.at = (s.slowdown+slowdown)/2, at
			}
			return
		}
	}
	n.contention.slowdowns = append(n.contention.slowdowns, taskSlowdown{task, slowdown, at})
}

// worstSlowdown drops outdated reports and returns the one with the highest slowdown.
func (n *node) worstSlowdown(now time.Time) taskSlowdown {
	n.contention.slowdowns = slices.DeleteFunc(n.contention.slowdowns, func(s taskSlowdown) bool {
		return now.Sub(s.at) > slowdownMaxAge
	})
	var w taskSlowdown
	for _, s := range n.contention.slowdowns {
		if s.slowdown > w.slowdown {
			w = s
		}
	}
	return w
}

// adjustThrottles makes at most one change: it throttles the noisiest batch task
// beside a slowed latency-critical task, or releases one throttle.
func (s *Scheduler) adjustThrottles(n *node, now time.Time, t *state.Tables) {
	c := &n.contention
	c.throttled = slices.DeleteFunc(c.throttled, func(id structs.TaskID) bool {
		task := t.Task(id)
		return task == nil || task.Worker != n.worker.ID || task.State != structs.AttemptRunning
	})
	if !c.changedAt.IsZero() && now.Sub(c.changedAt) < throttleInterval {
		return
	}
	w := n.worstSlowdown(now)
	switch {
	case w.slowdown > throttleAbove:
		s.throttleOne(n, w.task, now, t)
	case w.slowdown < releaseBelow && len(c.throttled) > 0:
		c.throttled = c.throttled[:len(c.throttled)-1]
		c.changedAt, c.exhaustedSince = now, time.Time{}
	case w.slowdown < releaseBelow:
		c.exhaustedSince = time.Time{}
	}
}

// throttleOne throttles the batch task with the highest estimated effect on the
// victim. If there is none left, it records since when.
func (s *Scheduler) throttleOne(n *node, victim structs.TaskID, now time.Time, t *state.Tables) {
	noisy := s.noisiest(n, victim, t, func(task *structs.Task) bool {
		return !slices.Contains(n.contention.throttled, task.ID)
	})
	if noisy != nil {
		n.contention.throttled = append(n.contention.throttled, noisy.ID)
		n.contention.changedAt = now
		return
	}
	if n.contention.exhaustedSince.IsZero() {
		n.contention.exhaustedSince = now
	}
}

// noisiest returns the running batch task with the highest estimated excess
// slowdown for the victim among those that ok accepts, or nil if none is noisy.
func (s *Scheduler) noisiest(n *node, victim structs.TaskID, t *state.Tables, ok func(*structs.Task) bool) *structs.Task {
	job := t.Job(victim.Job)
	if job == nil {
		return nil
	}
	v := s.entryID(job.Spec.Entry)
	var worst *structs.Task
	high := noisyExcess
	for _, task := range t.AttemptsOn(n.worker.ID) {
		job := t.Job(task.ID.Job)
		if job == nil || task.State != structs.AttemptRunning || !s.isPlainBatch(job) || !ok(task) {
			continue
		}
		if x := s.interference.excess(v, s.entryID(job.Spec.Entry)); x > high {
			worst, high = task, x
		}
	}
	return worst
}

// isPlainBatch reports whether the job is batch work that is neither urgent nor a
// service. Only such tasks may be throttled or preempted.
func (s *Scheduler) isPlainBatch(job *structs.Job) bool {
	info := s.entryInfos[job.Spec.Entry]
	return info != nil && info.Class == structs.ClassBatch && !info.Urgent && job.Spec.Kind != structs.KindService
}

// Throttles returns the tasks that the worker should throttle now.
func (s *Scheduler) Throttles(worker structs.WorkerID) []structs.TaskID {
	if n := s.nodes[worker]; n != nil {
		return n.contention.throttled
	}
	return nil
}

// evictNoisy evicts the noisiest task on the node if throttling has not reduced
// the slowdown within throttleBeforeEvict. It is called in rotation, for a few
// nodes each tick.
func (p *planner) evictNoisy(n *node) {
	since := n.contention.exhaustedSince
	if since.IsZero() || p.now.Sub(since) < throttleBeforeEvict {
		return
	}
	w := n.worstSlowdown(p.now)
	if w.slowdown <= throttleAbove {
		return
	}
	task := p.noisiest(n, w.task, p.t, func(task *structs.Task) bool { return p.mayEvict(task) && p.preemptible(task) })
	if task == nil || !p.spendEviction(task, false) {
		return
	}
	n.contention.exhaustedSince = time.Time{}
	p.evict(task, "slows a latency-critical neighbour although throttled")
}

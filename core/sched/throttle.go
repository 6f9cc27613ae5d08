package sched

import (
	"slices"
	"time"

	"gooseberrypond/core/state"
	"gooseberrypond/core/structs"
)

const (
	// throttleAbove is the slowdown of a latency-critical task above which a
	// batch neighbour is throttled, and releaseBelow the one below which one is released.
	throttleAbove = 1.5
	releaseBelow  = 1.2
	// throttleStep is the least time between two changes on a worker; usage
	// reports are late, so an earlier second step would act on old figures.
	throttleStep = 10 * time.Second
	// sufferingMaxAge is the age past which a report says nothing of the present.
	sufferingMaxAge = 20 * time.Second
	// throttleBeforeEvict is how long a worker has all its noisy tasks
	// throttled and a suffering neighbour before the worst one is evicted.
	throttleBeforeEvict = time.Minute
	// noisyExcess is the least estimated excess slowdown for which a task is throttled.
	noisyExcess = 0.05
)

// pressure is what a worker's latency-critical tasks suffer.
type pressure struct {
	// slowdowns are the newest reports.
	slowdowns []suffering
	throttled []structs.TaskID
	changedAt time.Time
	// stuckSince is when nothing was left to throttle; zero when not stuck.
	stuckSince time.Time
}

// suffering is the newest report of one latency-critical task.
type suffering struct {
	task     structs.TaskID
	slowdown float64
	at       time.Time
}

func (n *node) suffer(task structs.TaskID, slowdown float64, at time.Time) {
	for i := range n.pressure.slowdowns {
		if s := &n.pressure.slowdowns[i]; s.task == task {
			if !at.Before(s.at) {
				// Half of the last value stays in, since single reports are noisy.
				s.slowdown, s.at = (s.slowdown+slowdown)/2, at
			}
			return
		}
	}
	n.pressure.slowdowns = append(n.pressure.slowdowns, suffering{task, slowdown, at})
}

// worst is the highest recent slowdown on the worker and the task that suffers it.
func (n *node) worst(now time.Time) suffering {
	n.pressure.slowdowns = slices.DeleteFunc(n.pressure.slowdowns, func(s suffering) bool {
		return now.Sub(s.at) > sufferingMaxAge
	})
	var w suffering
	for _, s := range n.pressure.slowdowns {
		if s.slowdown > w.slowdown {
			w = s
		}
	}
	return w
}

// adjustThrottles takes at most one step: it throttles the noisiest batch task
// beside a suffering latency-critical task, or releases one.
func (s *Scheduler) adjustThrottles(n *node, now time.Time, t *state.Tables) {
	pr := &n.pressure
	pr.throttled = slices.DeleteFunc(pr.throttled, func(id structs.TaskID) bool {
		task := t.Task(id)
		return task == nil || task.Worker != n.worker.ID || task.State != structs.AttemptRunning
	})
	if !pr.changedAt.IsZero() && now.Sub(pr.changedAt) < throttleStep {
		return
	}
	w := n.worst(now)
	switch {
	case w.slowdown > throttleAbove:
		s.throttleOne(n, w.task, now, t)
	case w.slowdown < releaseBelow && len(pr.throttled) > 0:
		pr.throttled = pr.throttled[:len(pr.throttled)-1]
		pr.changedAt, pr.stuckSince = now, time.Time{}
	case w.slowdown < releaseBelow:
		pr.stuckSince = time.Time{}
	}
}

// throttleOne throttles the task that adds most to the victim's slowdown.
func (s *Scheduler) throttleOne(n *node, victim structs.TaskID, now time.Time, t *state.Tables) {
	noisy := s.noisiest(n, victim, t, func(task *structs.Task) bool {
		return !slices.Contains(n.pressure.throttled, task.ID)
	})
	if noisy != nil {
		n.pressure.throttled = append(n.pressure.throttled, noisy.ID)
		n.pressure.changedAt = now
		return
	}
	if n.pressure.stuckSince.IsZero() {
		n.pressure.stuckSince = now
	}
}

// noisiest returns the running batch task with the highest estimated excess
// for the victim among those that ok accepts, or nil.
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

// isPlainBatch reports whether the job's tasks may be throttled and preempted.
func (s *Scheduler) isPlainBatch(job *structs.Job) bool {
	info := s.infos[job.Spec.Entry]
	return info != nil && info.Class == structs.ClassBatch && !info.Urgent && job.Spec.Kind != structs.KindService
}

// Throttles lists the tasks that the worker should throttle now.
func (s *Scheduler) Throttles(worker structs.WorkerID) []structs.TaskID {
	if n := s.nodes[worker]; n != nil {
		return n.pressure.throttled
	}
	return nil
}

// relieve evicts the noisiest task where throttling did not help. It looks at
// the workers renewed in this tick only.
func (p *planner) relieve(n *node) {
	stuck := n.pressure.stuckSince
	if stuck.IsZero() || p.now.Sub(stuck) < throttleBeforeEvict {
		return
	}
	w := n.worst(p.now)
	if w.slowdown <= throttleAbove {
		return
	}
	task := p.noisiest(n, w.task, p.t, func(task *structs.Task) bool { return p.mayEvict(task) && p.preemptible(task) })
	if task == nil || !p.spendEviction(task, false) {
		return
	}
	n.pressure.stuckSince = time.Time{}
	p.evict(task, "slows a latency-critical neighbour although throttled")
}

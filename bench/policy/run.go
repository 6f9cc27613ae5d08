package policy

import (
	"fmt"
	"math/rand/v2"
	"time"

	"gooseberrypond/core/state"
	"gooseberrypond/core/structs"
)

// startMS is the virtual wall clock at the start of a run.
const startMS = 1_800_000_000_000

// ticksPerSecond is the number of plans per virtual second.
const ticksPerSecond = 5

// checkInterval is the interval between checks of all invariants of the tables, in seconds.
const checkInterval = 300

// leaseExpiry is the time from the loss of a worker until its lease has expired and
// its attempts are ended, in seconds.
const leaseExpiry = 11

// Policy plans assignments and evictions. A policy that learns from usage reports
// also implements learner.
type Policy interface {
	Plan(now time.Time, nowMS int64, t *state.Tables, live livenessView) *structs.Plan
}

// learner is a policy that takes usage reports and the ends of tasks, and
// throttles tasks.
type learner interface {
	Observe(now time.Time, worker structs.WorkerID, usage []structs.Usage, t *state.Tables)
	RecordEnd(ev structs.TaskEvent, task *structs.Task, entry string, nowMS int64)
	Throttles(worker structs.WorkerID) []structs.TaskID
}

// predictor is a policy that predicts slowdowns and reports the error of its predictions.
type predictor interface {
	PredictionError() (mean float64, reports int)
}

// earlyUntil is the second that separates early from late predictions.
const earlyUntil = 120

// run is the state of a run of one policy in one scenario.
type run struct {
	*cluster
	policy   Policy
	learning learner
	tables   *state.Tables
	index    uint64
	nowMS    int64
	// expiringLeases holds the lost workers by the second at which their lease expires.
	expiringLeases map[int][]*worker
	arrivalRNG     *rand.Rand
	// earlyError is the mean prediction error up to earlyUntil, and earlyReports
	// the number of reports that it covers.
	earlyError   float64
	earlyReports int
}

// Run measures one policy at one size. It is deterministic: equal arguments and
// policies give equal results.
func Run(size Size, seed uint64, name string, p Policy) (Result, error) {
	s := newScenario(size, seed)
	r := &run{
		cluster: &cluster{
			s: s, rng: rand.New(rand.NewPCG(seed, 3)),
			saved: map[structs.TaskID]float64{}, totals: map[structs.TaskID]float64{}, metrics: newRecorder(),
		},
		policy: p, tables: state.New(), expiringLeases: map[int][]*worker{}, arrivalRNG: rand.New(rand.NewPCG(seed, 5)),
	}
	r.learning, _ = p.(learner)
	r.nowMS = startMS
	r.apply(&structs.Command{PutCatalogue: &structs.PutCatalogue{ChangeID: "start", Catalogue: s.catalogue()}})
	for i := range size.Workers {
		wk := &worker{id: structs.WorkerID(fmt.Sprintf("w%03d", i)), number: i, domain: s.domainOf(i)}
		r.workers = append(r.workers, wk)
		r.register(wk)
	}
	duration := size.Seconds
	if duration == 0 {
		duration = runDuration
	}
	for at := range duration {
		r.simulateSecond(at)
		r.recordEarlyError(at)
		if at%checkInterval != 0 {
			continue
		}
		if err := r.tables.Check(); err != nil {
			return Result{}, err
		}
	}
	res := r.metrics.result(name, seed)
	res.EarlyError = r.earlyError
	if p, ok := p.(predictor); ok && r.earlyReports > 0 {
		mean, n := p.PredictionError()
		res.LateError = (mean*float64(n) - r.earlyError*float64(r.earlyReports)) / float64(max(1, n-r.earlyReports))
	}
	return res, nil
}

// recordEarlyError stores the prediction error at earlyUntil.
func (r *run) recordEarlyError(at int) {
	if p, ok := r.policy.(predictor); ok && at == earlyUntil {
		r.earlyError, r.earlyReports = p.PredictionError()
	}
}

// apply applies a command to the tables at the current virtual time.
func (r *run) apply(c *structs.Command) structs.Result {
	r.index++
	c.Version, c.NowMS = structs.CommandVersion, r.nowMS
	return r.tables.Apply(r.index, c)
}

// register starts a new incarnation of a worker.
func (r *run) register(wk *worker) {
	wk.incarnation++
	wk.up = true
	r.apply(&structs.Command{RegisterWorker: &structs.WorkerRegister{
		ID: wk.id, Incarnation: wk.incarnation, Rack: fmt.Sprintf("rack-%d", wk.number/r.s.size.PerRack),
		Domain: wk.domain, Capacity: hostCapacity, Guards: true,
	}})
}

// Live implements livenessView.
func (r *run) Live(id structs.WorkerID) bool {
	for _, wk := range r.workers {
		if wk.id == id {
			return wk.up
		}
	}
	return false
}

// simulateSecond simulates one second: faults, arrivals, the progress of all workers and
// the ticks of the policy.
func (r *run) simulateSecond(at int) {
	r.applyFaults(at)
	if jobs := r.s.arrivals(at, r.arrivalRNG); len(jobs) > 0 {
		r.apply(&structs.Command{SubmitJobs: &structs.SubmitJobs{Jobs: jobs}})
	}
	for _, wk := range r.workers {
		if wk.up {
			r.step(wk, float64(at))
			r.deliver(wk)
		}
	}
	r.metrics.recordSlowdowns(r.s, float64(at))
	for range ticksPerSecond {
		r.tick(float64(at))
		r.nowMS += 1000 / ticksPerSecond
	}
}

// applyFaults applies the failures of the scenario and the operator's domain changes
// that are due at this second.
func (r *run) applyFaults(at int) {
	for _, wk := range r.expiringLeases[at] {
		r.endLease(wk)
	}
	firstDomain := r.s.domainOf(0)
	for i, wk := range r.workers {
		inDomain := wk.domain == firstDomain
		wk.failing = r.s.failing[i] && at >= failFrom && at < failUntil
		switch {
		case at == crashAt && r.s.crashed[i], at == domainOff && inDomain:
			r.powerOff(wk)
			r.expiringLeases[at+leaseExpiry] = append(r.expiringLeases[at+leaseExpiry], wk)
		case at == crashEnd && r.s.crashed[i], at == domainBack && inDomain:
			r.register(wk)
		}
	}
	if at == domainOut || at == domainBack {
		r.apply(&structs.Command{SetDomain: &structs.SetDomain{ChangeID: fmt.Sprint("domain", at), Domain: firstDomain, Out: at == domainOut}})
	}
}

// endLease ends all attempts on a lost worker, as the leader does when its lease expires.
func (r *run) endLease(wk *worker) {
	end := &structs.EndAttempts{Worker: wk.id, Incarnation: wk.incarnation, WorkerDead: true}
	for _, task := range r.tables.AttemptsOn(wk.id) {
		end.Attempts = append(end.Attempts, structs.AttemptRef{Task: task.ID, Attempt: task.Attempt, Epoch: task.Epoch})
	}
	r.apply(&structs.Command{EndAttempts: end})
}

// deliver applies a worker's events to the tables and passes its ended tasks and
// usage reports to a policy that learns.
func (r *run) deliver(wk *worker) {
	if len(wk.events) > 0 {
		for _, ev := range wk.events {
			r.recordEvent(ev)
		}
		res := r.apply(&structs.Command{WorkerEvents: &structs.WorkerEvents{Worker: wk.id, Incarnation: wk.incarnation, Events: wk.events}})
		wk.events = nil
		for i := range res.Ended {
			if e := &res.Ended[i]; r.learning != nil {
				r.learning.RecordEnd(e.Event, &e.Task, r.tables.Job(e.Task.ID.Job).Spec.Entry, r.nowMS)
			}
		}
	}
	if len(wk.usage) > 0 && r.learning != nil {
		r.learning.Observe(r.now(), wk.id, wk.usage, r.tables)
	}
	wk.usage = nil
}

// recordEvent records an event that is a checkpoint on eviction, or the start of an
// urgent task and how long it was pending.
func (r *run) recordEvent(ev structs.TaskEvent) {
	switch ev.Type {
	case structs.EventCheckpointed:
		r.metrics.checkpoints++
	case structs.EventStarted:
		task, job := r.tables.Task(ev.Task), r.tables.Job(ev.Task.Job)
		if task != nil && job != nil && r.tables.Catalogue().Entries[job.Spec.Entry].Urgent {
			_ = r.metrics.urgentWait.RecordValue(r.nowMS - task.PendingSinceMS)
		}
	}
}

func (r *run) now() time.Time { return time.UnixMilli(r.nowMS) }

// tick plans, applies the plan and syncs every worker.
func (r *run) tick(at float64) {
	plan := r.policy.Plan(r.now(), r.nowMS, r.tables, r)
	if !plan.Empty() {
		r.apply(&structs.Command{Plan: plan})
	}
	for _, wk := range r.workers {
		if !wk.up {
			continue
		}
		var throttled []structs.TaskID
		if r.learning != nil {
			throttled = r.learning.Throttles(wk.id)
		}
		r.sync(wk, r.tables.AttemptsOn(wk.id), throttled, at, r.entryOf)
		r.deliver(wk)
	}
}

// entryOf returns the index of the task's entry in the scenario.
func (r *run) entryOf(task *structs.Task) int {
	return r.s.modelIndex[r.tables.Job(task.ID.Job).Spec.Entry]
}

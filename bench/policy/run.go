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

// checkEvery is the interval between checks of all invariants of the tables, in seconds.
const checkEvery = 300

// leaseEnd is the time from the loss of a worker until its lease has expired and
// its attempts are ended, in seconds.
const leaseEnd = 11

// Policy plans assignments and evictions. A policy that learns from usage reports
// also implements learner.
type Policy interface {
	Plan(now time.Time, nowMS int64, t *state.Tables, live liveView) *structs.Plan
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
	*world
	policy Policy
	learn  learner
	t      *state.Tables
	index  uint64
	ms     int64
	// silent holds the lost workers by the second at which their lease expires.
	silent  map[int][]*worker
	arrival *rand.Rand
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
		world: &world{
			s: s, rng: rand.New(rand.NewPCG(seed, 3)),
			saved: map[structs.TaskID]float64{}, totals: map[structs.TaskID]float64{}, m: newMeasures(),
		},
		policy: p, t: state.New(), silent: map[int][]*worker{}, arrival: rand.New(rand.NewPCG(seed, 5)),
	}
	r.learn, _ = p.(learner)
	r.ms = startMS
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
		r.second(at)
		r.noteEarly(at)
		if at%checkEvery != 0 {
			continue
		}
		if err := r.t.Check(); err != nil {
			return Result{}, err
		}
	}
	res := r.m.result(name, seed)
	res.EarlyError = r.earlyError
	if p, ok := p.(predictor); ok && r.earlyReports > 0 {
		mean, n := p.PredictionError()
		res.LateError = (mean*float64(n) - r.earlyError*float64(r.earlyReports)) / float64(max(1, n-r.earlyReports))
	}
	return res, nil
}

// noteEarly stores the prediction error at earlyUntil.
func (r *run) noteEarly(at int) {
	if p, ok := r.policy.(predictor); ok && at == earlyUntil {
		r.earlyError, r.earlyReports = p.PredictionError()
	}
}

// apply applies a command to the tables at the current virtual time.
func (r *run) apply(c *structs.Command) structs.Result {
	r.index++
	c.Version, c.NowMS = structs.CommandVersion, r.ms
	return r.t.Apply(r.index, c)
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

// Live implements liveView.
func (r *run) Live(id structs.WorkerID) bool {
	for _, wk := range r.workers {
		if wk.id == id {
			return wk.up
		}
	}
	return false
}

// second simulates one second: faults, arrivals, the progress of all workers and
// the ticks of the policy.
func (r *run) second(at int) {
	r.faults(at)
	if jobs := r.s.arrivals(at, r.arrival); len(jobs) > 0 {
		r.apply(&structs.Command{SubmitJobs: &structs.SubmitJobs{Jobs: jobs}})
	}
	for _, wk := range r.workers {
		if wk.up {
			r.step(wk, float64(at))
			r.deliver(wk)
		}
	}
	r.m.endSecond(r.s, float64(at))
	for range ticksPerSecond {
		r.tick(float64(at))
		r.ms += 1000 / ticksPerSecond
	}
}

// faults applies the failures of the scenario and the operator's domain changes
// that are due at this second.
func (r *run) faults(at int) {
	for _, wk := range r.silent[at] {
		r.endLease(wk)
	}
	first := r.s.domainOf(0)
	for i, wk := range r.workers {
		inDomain := wk.domain == first
		wk.failing = r.s.failing[i] && at >= failFrom && at < failUntil
		switch {
		case at == crashAt && r.s.crashed[i], at == domainOff && inDomain:
			r.powerOff(wk)
			r.silent[at+leaseEnd] = append(r.silent[at+leaseEnd], wk)
		case at == crashBack && r.s.crashed[i], at == domainBack && inDomain:
			r.register(wk)
		}
	}
	if at == domainOut || at == domainBack {
		r.apply(&structs.Command{SetDomain: &structs.SetDomain{ChangeID: fmt.Sprint("domain", at), Domain: first, Out: at == domainOut}})
	}
}

// endLease ends all attempts on a lost worker, as the leader does when its lease expires.
func (r *run) endLease(wk *worker) {
	end := &structs.EndAttempts{Worker: wk.id, Incarnation: wk.incarnation, WorkerDead: true}
	for _, task := range r.t.AttemptsOn(wk.id) {
		end.Attempts = append(end.Attempts, structs.AttemptRef{Task: task.ID, Attempt: task.Attempt, Epoch: task.Epoch})
	}
	r.apply(&structs.Command{EndAttempts: end})
}

// deliver applies a worker's events to the tables and passes its ended tasks and
// usage reports to a policy that learns.
func (r *run) deliver(wk *worker) {
	if len(wk.events) > 0 {
		for _, ev := range wk.events {
			r.count(ev)
		}
		res := r.apply(&structs.Command{WorkerEvents: &structs.WorkerEvents{Worker: wk.id, Incarnation: wk.incarnation, Events: wk.events}})
		wk.events = nil
		for i := range res.Ended {
			if e := &res.Ended[i]; r.learn != nil {
				r.learn.RecordEnd(e.Event, &e.Task, r.t.Job(e.Task.ID.Job).Spec.Entry, r.ms)
			}
		}
	}
	if len(wk.usage) > 0 && r.learn != nil {
		r.learn.Observe(r.now(), wk.id, wk.usage, r.t)
	}
	wk.usage = nil
}

// count records an event that is a checkpoint on eviction, or the start of an
// urgent task and how long it was pending.
func (r *run) count(ev structs.TaskEvent) {
	switch ev.Type {
	case structs.EventCheckpointed:
		r.m.checkpoints++
	case structs.EventStarted:
		task, job := r.t.Task(ev.Task), r.t.Job(ev.Task.Job)
		if task != nil && job != nil && r.t.Catalogue().Entries[job.Spec.Entry].Urgent {
			_ = r.m.urgent.RecordValue(r.ms - task.PendingSinceMS)
		}
	}
}

func (r *run) now() time.Time { return time.UnixMilli(r.ms) }

// tick plans, applies the plan and syncs every worker.
func (r *run) tick(at float64) {
	plan := r.policy.Plan(r.now(), r.ms, r.t, r)
	if !plan.Empty() {
		r.apply(&structs.Command{Plan: plan})
	}
	for _, wk := range r.workers {
		if !wk.up {
			continue
		}
		var throttled []structs.TaskID
		if r.learn != nil {
			throttled = r.learn.Throttles(wk.id)
		}
		r.sync(wk, r.t.AttemptsOn(wk.id), throttled, at, r.entryOf)
		r.deliver(wk)
	}
}

// entryOf returns the index of the task's entry in the scenario.
func (r *run) entryOf(task *structs.Task) int {
	return r.s.byName[r.t.Job(task.ID.Job).Spec.Entry]
}

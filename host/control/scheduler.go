package control

import (
	"time"

	"gooseberrypond/core/grant"
	"gooseberrypond/core/leader"
	"gooseberrypond/core/sched"
	"gooseberrypond/core/state"
	"gooseberrypond/core/structs"
)

// scheduler gives package sched the tables that package leader passes.
type scheduler struct{ *sched.Scheduler }

// Observe implements leader.Scheduler.
func (s scheduler) Observe(now time.Time, worker structs.WorkerID, usage []structs.Usage, t *state.Tables) {
	s.Scheduler.Observe(now, worker, usage, t)
}

// Plan implements leader.Scheduler.
func (s scheduler) Plan(now time.Time, nowMS int64, t *state.Tables, live leader.LiveView) *structs.Plan {
	return s.Scheduler.Plan(now, nowMS, t, live)
}

// Explain implements leader.Scheduler.
func (s scheduler) Explain(t *state.Tables, job structs.JobID) []string {
	return s.Scheduler.Explain(t, job)
}

// newCore returns the state of a leader elected at now.
func newCore(now time.Time, t *state.Tables, entryHosts []string) *leader.Core {
	return leader.NewWith(now, t, entryHosts, scheduler{sched.New(sched.Options{})}, grant.New(now, entryHosts))
}

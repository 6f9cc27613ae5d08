package sched

import "gooseberrypond/core/structs"

// View is the read access to the replicated tables that scheduling needs.
// Returned pointers and slices must not be changed.
type View interface {
	Catalogue() *structs.Catalogue
	// DomainsOut lists the failure domains that are out of service.
	DomainsOut() []string
	// Job returns the job, or nil.
	Job(id structs.JobID) *structs.Job
	// Task returns the task, or nil.
	Task(id structs.TaskID) *structs.Task
	// Worker returns the worker, or nil.
	Worker(id structs.WorkerID) *structs.Worker
	// Workers lists all known workers in a stable order.
	Workers() []*structs.Worker
	// PendingTasks lists the tasks that wait for a worker, oldest first.
	PendingTasks() []*structs.Task
	// AttemptsOn lists the tasks whose attempts occupy the worker.
	AttemptsOn(worker structs.WorkerID) []*structs.Task
	// Committed is the sum of the reservations of AttemptsOn.
	Committed(worker structs.WorkerID) structs.Resources
	// OwnerUsage is the sum of the reservations of the owner's attempts.
	OwnerUsage(owner string) structs.Resources
	// ResolveOwner follows merges of owners.
	ResolveOwner(name string) string
}

// LiveView tells which workers answer now. A worker may be live in the tables
// and silent for some seconds; it gets no new task then.
type LiveView interface {
	Live(worker structs.WorkerID) bool
}

// AllLive is a LiveView in which every worker answers.
type AllLive struct{}

// Live implements LiveView.
func (AllLive) Live(structs.WorkerID) bool { return true }

package sched

import "gooseberrypond/core/structs"

// View is the access to the replicated tables that scheduling needs; package
// state implements it. Returned pointers and slices are not changed, and not
// kept after Plan returns.
type View interface {
	Catalogue() *structs.Catalogue
	// DomainsOut lists the failure domains that are out of service.
	DomainsOut() []string
	// DomainsVersion grows with each change of a failure domain.
	DomainsVersion() uint64
	// Domain is the operators' setting of a failure domain.
	Domain(name string) structs.DomainState
	// Job returns the job, or nil.
	Job(id structs.JobID) *structs.Job
	// Task returns the task, or nil.
	Task(id structs.TaskID) *structs.Task
	// TasksOf lists the kept tasks of a job.
	TasksOf(id structs.JobID) []*structs.Task
	// Worker returns the worker, or nil.
	Worker(id structs.WorkerID) *structs.Worker
	// Workers lists all known workers in a stable order.
	Workers() []*structs.Worker
	// TakeChangedWorkers returns the workers changed since the last call.
	TakeChangedWorkers() []structs.WorkerID
	// PendingEntries lists the entries with pending tasks, sorted.
	PendingEntries() []string
	// PendingCount is the number of pending tasks of an entry.
	PendingCount(entry string) int
	// PendingIn calls yield for the entry's pending tasks, oldest first.
	PendingIn(entry string) func(yield func(*structs.Task) bool)
	// DueJobs lists recurring jobs whose next occurrence is due.
	DueJobs(nowMS int64, limit int) []*structs.Job
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

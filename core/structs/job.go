package structs

import "fmt"

// JobKind says how a job's tasks are kept running.
type JobKind string

// Job kinds.
const (
	// KindBatch runs each task to completion once.
	KindBatch JobKind = "batch"
	// KindService keeps each task running until the job is cancelled.
	KindService JobKind = "service"
	// KindRecurring creates a batch task for each occurrence of a schedule.
	KindRecurring JobKind = "recurring"
)

// JobStatus is the state of a job or task as callers see it.
type JobStatus string

// Job and task states.
const (
	StatusPending   JobStatus = "pending"
	StatusRunning   JobStatus = "running"
	StatusDone      JobStatus = "done"
	StatusFailed    JobStatus = "failed"
	StatusCancelled JobStatus = "cancelled"
	// StatusUnknown marks a non-idempotent task that may have run without a reported result: its
	// attempt was lost after the start was sent, or was stopped while running.
	StatusUnknown JobStatus = "unknown"
	// StatusUnrunnable marks a job whose tasks fit no registered worker, even an empty one, or
	// exceed the owner's quota.
	StatusUnrunnable JobStatus = "unrunnable"
	// StatusSkipped marks an occurrence of recurring work skipped by the entry's MissedRule.
	StatusSkipped JobStatus = "skipped"
)

// Finished reports whether s is final.
func (s JobStatus) Finished() bool {
	switch s {
	case StatusPending, StatusRunning:
		return false
	}
	return true
}

// JobSpec is what a caller submits.
type JobSpec struct {
	Entry string  `json:"entry"`
	Kind  JobKind `json:"kind"`
	// Count is the number of tasks; 0 means 1. Recurring jobs have one task per occurrence.
	Count int `json:"count,omitempty"`
	// Payload is passed to each task unchanged.
	Payload []byte `json:"payload,omitempty"`
	// DeadlineMS is when the job should be finished, in Unix milliseconds; 0 means no deadline.
	DeadlineMS int64 `json:"deadline_ms,omitempty"`
	// EveryMS is the period of a recurring job in milliseconds.
	EveryMS int64 `json:"every_ms,omitempty"`
	// FirstMS is the time of occurrence 0 of a recurring job, in Unix milliseconds; 0 means on submission.
	FirstMS int64 `json:"first_ms,omitempty"`
	// NonIdempotent forbids a second start of a task whose attempt was lost.
	NonIdempotent bool `json:"non_idempotent,omitempty"`
	// Resources overrides the entry's declared size when not zero.
	Resources Resources `json:"resources,omitempty"`
}

// JobID identifies a job. It is derived from the log index of its submission.
type JobID string

// TaskID identifies a task within a job. For recurring jobs Index is the occurrence number.
type TaskID struct {
	Job   JobID `json:"job"`
	Index int64 `json:"index"`
}

// String returns "job/index".
func (t TaskID) String() string {
	return fmt.Sprintf("%s/%d", t.Job, t.Index)
}

// Job is the replicated record of a submitted job.
type Job struct {
	ID          JobID     `json:"id"`
	Owner       string    `json:"owner"`
	Key         string    `json:"key"`
	Spec        JobSpec   `json:"spec"`
	Status      JobStatus `json:"status"`
	SubmittedMS int64     `json:"submitted_ms"`
	FinishedMS  int64     `json:"finished_ms,omitempty"`
	// Reasons explains an unrunnable job, one line per group of workers, or lists messages of
	// failed and lost attempts.
	Reasons []string `json:"reasons,omitempty"`
	// DeadlineAtRisk is set once the deadline is predicted to be missed.
	DeadlineAtRisk bool `json:"deadline_at_risk,omitempty"`
	// Cancelled is set when a cancel was accepted; tasks may still be stopping.
	Cancelled bool `json:"cancelled,omitempty"`
	// NextOccurrence is the number of the next occurrence of a recurring job.
	NextOccurrence int64 `json:"next_occurrence,omitempty"`
	// Skipped counts occurrences of a recurring job that were skipped by the entry's MissedRule.
	Skipped int64 `json:"skipped,omitempty"`
}

// AttemptState is the state of a task's current attempt.
type AttemptState string

// Attempt states. Every state but AttemptNone occupies capacity of the worker.
const (
	// AttemptNone means the task has no attempt on any worker.
	AttemptNone AttemptState = ""
	// AttemptAssigned means the start command may have been sent but is not confirmed.
	AttemptAssigned AttemptState = "assigned"
	// AttemptRunning means the worker has reported the attempt running.
	AttemptRunning AttemptState = "running"
	// AttemptEvicting means the attempt is to be checkpointed and stopped.
	AttemptEvicting AttemptState = "evicting"
	// AttemptStopping means the attempt is to be stopped for good.
	AttemptStopping AttemptState = "stopping"
)

// Task is the replicated record of one task.
type Task struct {
	ID     TaskID    `json:"id"`
	Status JobStatus `json:"status"`
	// Attempt counts assignments; the current or last one has this number.
	Attempt int64 `json:"attempt"`
	// Epoch is the log index of the current assignment. Reports with another epoch are ignored.
	Epoch uint64       `json:"epoch"`
	State AttemptState `json:"state"`
	// Worker holds the current attempt; empty when State is AttemptNone.
	Worker WorkerID `json:"worker,omitempty"`
	// Incarnation is the worker's incarnation at assignment.
	Incarnation uint64 `json:"incarnation,omitempty"`
	// Reserved is the capacity the attempt occupies on its worker.
	Reserved Resources `json:"reserved"`
	// Checkpoint names the last checkpoint; empty means start from the beginning.
	Checkpoint string `json:"checkpoint,omitempty"`
	// Failures counts failed attempts; for a service task, failed or short runs since the last stable run.
	Failures  int `json:"failures,omitempty"`
	Evictions int `json:"evictions,omitempty"`
	// NotBeforeMS is the end of the back-off after a failure, in Unix milliseconds.
	NotBeforeMS int64 `json:"not_before_ms,omitempty"`
	// LeaseHoldMS is the entry's lease hold at assignment, which is the value sent to the worker.
	LeaseHoldMS int64 `json:"lease_hold_ms,omitempty"`
	// LastEvictedMS is when the task was last evicted, in Unix milliseconds.
	LastEvictedMS int64 `json:"last_evicted_ms,omitempty"`
	// PendingSinceMS is when the task last became pending, in Unix milliseconds.
	PendingSinceMS int64 `json:"pending_since_ms"`
	// StartedMS is when the current attempt was reported running, in Unix milliseconds.
	StartedMS int64 `json:"started_ms,omitempty"`
	// FinishedMS is when the task reached a final status, in Unix milliseconds.
	FinishedMS int64 `json:"finished_ms,omitempty"`
	// ExitCode is the exit code of the last finished attempt.
	ExitCode int `json:"exit_code,omitempty"`
	// EvictReason says why the task was last evicted.
	EvictReason string `json:"evict_reason,omitempty"`
	// PlaceReason says why the current worker was chosen.
	PlaceReason string `json:"place_reason,omitempty"`
}

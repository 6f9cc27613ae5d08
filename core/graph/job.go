package graph

import (
	"fmt"

	"gooseberrypond/core/structs"
)

// JobID is the caller's identifier of a job. It is never reused for another job.
type JobID string

// Step is a set of identical tasks of a job.
type Step struct {
	// Count is the number of tasks.
	Count int `cbor:"1,keyasint"`
	// Need is the resources that each task requests on its worker.
	Need structs.Resources `cbor:"2,keyasint"`
	// EstimateMS is the caller's rough estimate of a task's duration.
	EstimateMS int64 `cbor:"3,keyasint,omitempty"`
	// DependsOn lists earlier steps whose tasks must all be done first.
	DependsOn []int `cbor:"4,keyasint,omitempty"`
	// Checkpoints means that tasks save their progress and can resume from it.
	Checkpoints bool `cbor:"5,keyasint,omitempty"`
	// Gang means that the tasks can work only while all of them run, and that
	// they end together.
	Gang bool `cbor:"6,keyasint,omitempty"`
	// OneRack means that the tasks run slower when spread over several racks.
	OneRack bool `cbor:"7,keyasint,omitempty"`
	// Label must be among the worker's labels, unless it is empty.
	Label string `cbor:"8,keyasint,omitempty"`
	// DataRack is the rack that holds the tasks' data; they run slower on other
	// racks. Empty means none.
	DataRack string `cbor:"9,keyasint,omitempty"`
	// MaxPerWorker is the most tasks of one occurrence on one worker; 0 means no limit.
	MaxPerWorker int `cbor:"10,keyasint,omitempty"`
	// Speculative allows copies of a task to run in parallel.
	Speculative bool `cbor:"11,keyasint,omitempty"`
	// LongRunning means that the tasks run until the job is cancelled.
	LongRunning bool `cbor:"12,keyasint,omitempty"`
	// Image names the program. Tasks with the same image are assumed to behave alike.
	Image string `cbor:"13,keyasint,omitempty"`
	// TailTargetMS is the tail latency target of the requests that the tasks
	// serve; 0 means no target.
	TailTargetMS int64 `cbor:"14,keyasint,omitempty"`
	// Filler means that the tasks use only CPU that other tasks leave idle.
	// Their CPU is not counted against the worker's capacity.
	Filler bool `cbor:"15,keyasint,omitempty"`
	// MaxUnavailable is the most tasks of a long-running step that the system may
	// make unavailable at the same time by its own actions; 0 means no limit.
	MaxUnavailable int `cbor:"16,keyasint,omitempty"`
}

// ReservedResources returns the resources that one task reserves on its worker.
// Fillers reserve no CPU.
func (s *Step) ReservedResources() structs.Resources {
	r := s.Need
	if s.Filler {
		r.CPUMilli = 0
	}
	return r
}

// Spec is a job as the caller submits it.
type Spec struct {
	ID JobID `cbor:"1,keyasint"`
	// Queue is the name of the queue that accepted the job.
	Queue string `cbor:"2,keyasint"`
	// Payload is passed to each task unchanged.
	Payload string `cbor:"3,keyasint,omitempty"`
	Steps   []Step `cbor:"4,keyasint"`
	// Times is the number of occurrences; 0 means that the steps run once,
	// immediately.
	Times int `cbor:"5,keyasint,omitempty"`
	// StartAtMS is when occurrence 0 is due, in Unix milliseconds.
	StartAtMS int64 `cbor:"6,keyasint,omitempty"`
	// IntervalMS is the time between occurrences.
	IntervalMS int64 `cbor:"7,keyasint,omitempty"`
	// Organisation is the name of the organisation that submitted the job; empty if
	// the call needed no key.
	Organisation string `cbor:"8,keyasint,omitempty"`
	// Excess marks a job that the organisation sent beyond its weight in jobs a second.
	Excess bool `cbor:"9,keyasint,omitempty"`
	// Call is the random number of the call that submitted the job; 0 if it had none. It
	// tells an attempt of that call from another submission with the same id.
	Call uint64 `cbor:"10,keyasint,omitempty"`
}

// Bytes returns about how much the job takes in a log entry.
func (s *Spec) Bytes() int {
	const stepBytes, numberBytes, callBytes = 96, 5, 10
	n := callBytes + len(s.ID) + len(s.Queue) + len(s.Payload) + len(s.Organisation)
	for i := range s.Steps {
		st := &s.Steps[i]
		n += stepBytes + numberBytes*len(st.DependsOn) + len(st.Label) + len(st.DataRack) + len(st.Image)
	}
	return n
}

// LongRunning reports whether any step of the job runs until it is cancelled.
func (s *Spec) LongRunning() bool {
	for i := range s.Steps {
		if s.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// TaskRef identifies a task.
type TaskRef struct {
	_          struct{} `cbor:",toarray"`
	Job        JobID
	Occurrence int
	Step       int
	Index      int
}

// String returns job.occurrence.step.index.
func (r TaskRef) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", r.Job, r.Occurrence, r.Step, r.Index)
}

// JobState is the state of a job as callers see it.
type JobState string

// Job states.
const (
	// JobQueued means that no worker has begun a task, even if a start is in the log.
	JobQueued JobState = "queued"
	// JobRunning means that a worker has begun a task. It may be recorded a little
	// later.
	JobRunning   JobState = "running"
	JobCompleted JobState = "completed"
	JobFailed    JobState = "failed"
	JobCancelled JobState = "cancelled"
)

// Job is an accepted job.
type Job struct {
	Spec Spec
	// Queue is the configuration of the job's queue: at acceptance, or the latest
	// that names the queue.
	Queue Queue
	// AcceptedMS is the leader's wall clock at acceptance, in Unix milliseconds.
	AcceptedMS int64
	// EndedMS is when the job reached a final state; 0 while it is live.
	EndedMS int64
	State   JobState
	// Occurrences holds the occurrences that have become due. A job with Times 0
	// has one.
	Occurrences []*Occurrence
	// open counts the occurrences that are not done.
	open int
}

// Live reports whether the job has not reached a final state.
func (j *Job) Live() bool { return j.EndedMS == 0 }

// Occurrence is one run of a job's steps.
type Occurrence struct {
	Job    *Job
	Number int
	// DueMS is when the occurrence became due, in Unix milliseconds.
	DueMS int64
	Steps []*StepState
	// open counts the steps that are not done.
	open int
}

// StepState is the state of a step in one occurrence.
type StepState struct {
	*Step
	Occurrence *Occurrence
	Number     int
	Tasks      []Task
	// Ready is set once all steps that this one depends on are done.
	Ready bool
	// Open counts the tasks that are not done, Waiting those among them that have
	// no attempt.
	Open, Waiting int
	// queued is set while the step is in Tables.waiting.
	queued bool
}

// Ref identifies a task of the step.
func (s *StepState) Ref(index int) TaskRef {
	return TaskRef{Job: s.Occurrence.Job.Spec.ID, Occurrence: s.Occurrence.Number, Step: s.Number, Index: index}
}

// ReadyMS returns when the last task of the step's dependencies ended, in Unix
// milliseconds. It is 0 if the step has no dependencies.
func (s *StepState) ReadyMS() int64 {
	var last int64
	for _, d := range s.DependsOn {
		for i := range s.Occurrence.Steps[d].Tasks {
			last = max(last, s.Occurrence.Steps[d].Tasks[i].EndedMS)
		}
	}
	return last
}

// Task is the state of one task.
type Task struct {
	Done bool
	// LastRun is the highest run number assigned so far.
	LastRun int
	// Failures counts the failed runs.
	Failures int
	// Checkpoint is where the next run resumes; empty means from the beginning.
	Checkpoint string
	// EndedMS is when the last run ended, in Unix milliseconds. An attempt that led to no
	// run does not count once its wait is recorded.
	EndedMS int64
	// LastWorker is the worker of the last failed run; 0 means none.
	LastWorker Handle
	// Crashes are the recorded crashes of workers, at most one per run and in the order of
	// the runs, since a run last outlived CrashWindow.
	Crashes []WorkerCrash
	// Attempts are the runs that may still be running.
	Attempts []*Attempt
}

// Attempt is one run of a task on one worker.
type Attempt struct {
	Step   *StepState
	Index  int
	Run    int
	Worker *Worker
	// StartedMS is when the start was proposed, in Unix milliseconds.
	StartedMS int64
	// Resumed is the checkpoint that the run resumes from.
	Resumed string
	ended   bool
}

// Ref identifies the attempt's task.
func (a *Attempt) Ref() TaskRef { return a.Step.Ref(a.Index) }

func (a *Attempt) Task() *Task { return &a.Step.Tasks[a.Index] }

// ShouldRun reports whether the attempt should keep running: its job is live,
// its task is not done and the attempt has not ended.
func (a *Attempt) ShouldRun() bool {
	return a.Step.Occurrence.Job.Live() && !a.Task().Done && !a.ended
}

// Ended reports whether the attempt has been removed from the tables.
func (a *Attempt) Ended() bool { return a.ended }

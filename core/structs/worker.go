package structs

// WorkerID identifies a worker.
type WorkerID string

// Worker is the replicated record of a registered worker.
type Worker struct {
	ID WorkerID `json:"id"`
	// Incarnation increases with each restart of the worker; its tasks do not survive a restart.
	Incarnation uint64    `json:"incarnation"`
	Rack        string    `json:"rack"`
	Domain      string    `json:"domain"`
	Capacity    Resources `json:"capacity"`
	// Guards is set when the worker itself enforces its limits.
	Guards bool `json:"guards"`
	// Live is cleared when the worker's lease is certain to have expired.
	Live bool `json:"live"`
	// RegisteredMS is when this incarnation registered, in Unix milliseconds.
	RegisteredMS int64 `json:"registered_ms"`
	// EndedMS is when the lease of this incarnation ended, in Unix milliseconds; 0 while live.
	EndedMS int64 `json:"ended_ms,omitempty"`
}

// RunningTask is one task in a worker's sync report.
type RunningTask struct {
	Task    TaskID `json:"task"`
	Attempt int64  `json:"attempt"`
	Epoch   uint64 `json:"epoch"`
	// Throttled is set while the worker throttles the task.
	Throttled bool `json:"throttled,omitempty"`
}

// EventType is the kind of a worker event.
type EventType string

// Worker event types.
const (
	// EventStarted reports that an attempt is running.
	EventStarted EventType = "started"
	// EventCheckpointed reports that an attempt was checkpointed and has stopped.
	EventCheckpointed EventType = "checkpointed"
	// EventFinished reports that an attempt ended with exit code 0.
	EventFinished EventType = "finished"
	// EventFailed reports that an attempt ended with an error or could not start.
	EventFailed EventType = "failed"
	// EventStopped reports that an attempt was stopped on command or is not on the worker.
	EventStopped EventType = "stopped"
)

// TaskEvent is a change in one attempt reported by a worker. A worker repeats
// an event in each sync until its number is acknowledged.
type TaskEvent struct {
	// Seq numbers the worker's events within its incarnation, from 1.
	Seq        uint64    `json:"seq"`
	Type       EventType `json:"type"`
	Task       TaskID    `json:"task"`
	Attempt    int64     `json:"attempt"`
	Epoch      uint64    `json:"epoch"`
	Checkpoint string    `json:"checkpoint,omitempty"`
	ExitCode   int       `json:"exit_code,omitempty"`
	Message    string    `json:"message,omitempty"`
}

// Usage is a measurement of one task on a worker, which may arrive with a delay.
type Usage struct {
	Task TaskID `json:"task"`
	// AgeMS is how old the measurement is, in milliseconds.
	AgeMS int64     `json:"age_ms"`
	Used  Resources `json:"used"`
	// Slowdown is the task's run time or latency relative to running alone on the worker; 1 means
	// no interference, 0 means not measured.
	Slowdown float64 `json:"slowdown,omitempty"`
	// Neighbours lists the catalogue entries of the tasks colocated at the time of measurement.
	Neighbours []string `json:"neighbours,omitempty"`
}

// WorkerRegister is a worker's registration.
type WorkerRegister struct {
	ID          WorkerID  `json:"id"`
	Incarnation uint64    `json:"incarnation"`
	Rack        string    `json:"rack"`
	Domain      string    `json:"domain"`
	Capacity    Resources `json:"capacity"`
	Guards      bool      `json:"guards"`
}

// WorkerSync is a worker's periodic report. A worker has one sync outstanding at a time.
type WorkerSync struct {
	ID          WorkerID `json:"id"`
	Incarnation uint64   `json:"incarnation"`
	// Seq numbers syncs within an incarnation, from 1. A repeated or lower number is refused.
	Seq uint64 `json:"seq"`
	// Session is copied from the last reply. It proves that the sync was sent
	// after the current leader answered, so it cannot be a delayed duplicate.
	Session uint64        `json:"session,omitempty"`
	Running []RunningTask `json:"running"`
	Events  []TaskEvent   `json:"events,omitempty"`
	Usage   []Usage       `json:"usage,omitempty"`
	// WaitMS is how long the reply may be held for commands, in milliseconds.
	WaitMS int64 `json:"wait_ms,omitempty"`
}

// CommandType is the kind of a worker command.
type CommandType string

// Worker commands.
const (
	CommandStart      CommandType = "start"
	CommandCheckpoint CommandType = "checkpoint"
	CommandThrottle   CommandType = "throttle"
	CommandUnthrottle CommandType = "unthrottle"
	CommandStop       CommandType = "stop"
)

// WorkerCommand tells a worker what to do with one attempt. A command is sent
// again until the worker's reports show that it took effect; workers ignore repeats.
type WorkerCommand struct {
	Type    CommandType `json:"type"`
	Task    TaskID      `json:"task"`
	Attempt int64       `json:"attempt"`
	Epoch   uint64      `json:"epoch"`
	// The fields below are set for CommandStart.
	Entry       string    `json:"entry,omitempty"`
	Class       Class     `json:"class,omitempty"`
	Reserved    Resources `json:"reserved,omitempty"`
	Payload     []byte    `json:"payload,omitempty"`
	Checkpoint  string    `json:"checkpoint,omitempty"`
	LeaseHoldMS int64     `json:"lease_hold_ms,omitempty"`
}

// WorkerSyncReply answers a WorkerSync.
type WorkerSyncReply struct {
	// LeaseMS is how long the worker may run tasks after it sent the sync.
	LeaseMS int64 `json:"lease_ms"`
	// StartWithinMS is the age of the sync after which the worker must ignore start commands.
	StartWithinMS int64 `json:"start_within_ms"`
	// AckedSeq is the highest event number that is in the replicated log.
	AckedSeq uint64 `json:"acked_seq"`
	// Session identifies the leader's term; the worker copies it to its next sync.
	Session  uint64          `json:"session,omitempty"`
	Commands []WorkerCommand `json:"commands,omitempty"`
	// Reregister tells the worker that its incarnation has ended: it must stop
	// all tasks and register again with a higher incarnation.
	Reregister bool `json:"reregister,omitempty"`
}

package dispatch

import (
	"gooseberrypond/core/graph"
)

// Target names a worker for a call.
type Target struct {
	Worker  graph.Handle
	ID      string
	Address string
	// Token is the fencing token of the call.
	Token uint64
}

// Hold is a call that renews a worker's lease and asks for its lists.
type Hold struct {
	Target
	// AckCursor is the last end that is recorded; the worker forgets up to it.
	AckCursor uint64
	// DeadlineMS is the end of the lease on the worker's clock; 0 leaves it.
	DeadlineMS int64
	// WaitMS is how long the worker may wait for an end before it answers.
	WaitMS int64
}

// HoldReply is a worker's answer to a Hold.
type HoldReply struct {
	Born     int64
	ClockMS  int64
	Running  []RunningRow
	Finished []FinishedRow
}

// RunningRow is a run that is at work.
type RunningRow struct {
	Task       graph.TaskRef
	Run        int
	Checkpoint string
	Percent    int
	// Measure is the tail latency in milliseconds of a task that serves, and
	// the processors in use of any other, over the last half second.
	Measure float64
}

// FinishedRow is a run that ended. Rows are numbered within one life of a worker.
type FinishedRow struct {
	Seq          uint64
	Task       graph.TaskRef
	Run        int
	Kind       graph.EndKind
	Checkpoint string
}

// MaxFinishedRows is the number of ends that one answer lists at the most.
const MaxFinishedRows = 500

// OrderKind is the kind of an order.
type OrderKind uint8

// Order kinds.
const (
	OrderStart OrderKind = iota + 1
	OrderStop
	OrderPace
)

// String returns the name of the kind.
func (k OrderKind) String() string { return [...]string{"", "start", "stop", "pace"}[k] }

// Order is a call about one run.
type Order struct {
	Target
	Kind       OrderKind
	Task       graph.TaskRef
	Run        int
	Payload    string
	Checkpoint string
	DeadlineMS int64
	Percent    int
	// Reason says why a wanted run is stopped; empty if it is not wanted any more.
	Reason string

	run *runState
}

// Outcome is what is known after an order was sent.
type Outcome uint8

// Outcomes.
const (
	// NoAnswer means that the order may have been carried out, or may be later.
	NoAnswer Outcome = iota
	Accepted
	// RefusedFence means that a higher fencing token was seen.
	RefusedFence
	// RefusedOld means that this run, or a later one, has ended there.
	RefusedOld
	// RefusedLate means that the deadline had passed.
	RefusedLate
	// RefusedCapacity means that the task does not fit.
	RefusedCapacity
	// RefusedTicket means that the start needs another ticket.
	RefusedTicket
	// RefusedUnhealthy means that the worker did nothing because it is unhealthy.
	RefusedUnhealthy
	// RefusedBad means that the order was not understood.
	RefusedBad
	// WrongIncarnation means that another life of the worker answered.
	WrongIncarnation
)

// String returns the name of the outcome.
func (o Outcome) String() string {
	return [...]string{"no answer", "accepted", "fence", "old", "late", "room", "ticket", "unhealthy", "bad", "wrong life"}[o]
}

// OrderReply is a worker's answer to an order.
type OrderReply struct {
	Outcome Outcome
	// ClockMS is the worker's clock; 0 if the answer had none.
	ClockMS int64
}

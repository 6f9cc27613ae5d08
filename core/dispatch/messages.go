package dispatch

import (
	"github.com/cockroachdb/errors"

	"gooseberrypond/core/graph"
)

// Target identifies the worker to call.
type Target struct {
	Worker  graph.Handle
	ID      string
	Address string
	// Token is the fencing token of the call.
	Token uint64
	// Urgency is the call's place among those that wait for a connection.
	Urgency Urgency
}

// Urgency orders the calls that wait for a connection to their workers; the highest comes
// first.
type Urgency uint8

const (
	// UrgencyNone is that of a call to a worker that does not answer.
	UrgencyNone Urgency = iota
	// UrgencyFree is that of a call to a worker without runs.
	UrgencyFree
	// UrgencyRuns is that of a call to a worker whose runs need their lease.
	UrgencyRuns
	// UrgencyStart is that of a start.
	UrgencyStart
	// UrgencyStop is that of a stop, and of a call that finds runs to stop.
	UrgencyStop
)

// Hold is a long-poll call that renews a worker's lease and asks for its lists of
// running and finished runs.
type Hold struct {
	Target
	// AckCursor is the sequence number of the last recorded end; the worker may
	// discard ends up to and including it.
	AckCursor uint64
	// DeadlineMS is the lease deadline by the worker's clock; 0 leaves the lease
	// unchanged.
	DeadlineMS int64
	// WaitMS is how long the worker may wait for a run to end before it answers.
	WaitMS int64
}

// HoldReply is a worker's answer to a Hold.
type HoldReply struct {
	Born     int64
	ClockMS  int64
	Running  []RunningRow
	Finished []FinishedRow
}

// RunningRow describes a run in progress.
type RunningRow struct {
	Task       graph.TaskRef
	Run        int
	Checkpoint string
	Percent    int
	// Measure covers the last half second: the tail latency in milliseconds of a
	// serving task, or the processor time in use, in thousandths of a core, of any
	// other task.
	Measure float64
}

// FinishedRow describes a run that has ended. Seq numbers the rows within one
// incarnation of a worker.
type FinishedRow struct {
	Seq        uint64
	Task       graph.TaskRef
	Run        int
	Kind       graph.EndKind
	Checkpoint string
}

// MaxFinishedRows is the maximum number of ends in one answer.
const MaxFinishedRows = 500

type OrderKind uint8

const (
	OrderStart OrderKind = iota + 1
	OrderStop
	OrderPace
)

func (k OrderKind) String() string { return [...]string{"", "start", "stop", "pace"}[k] }

// Order is a call that starts, stops or changes the pace of one run.
type Order struct {
	Target
	Kind       OrderKind
	Task       graph.TaskRef
	Run        int
	Payload    string
	Checkpoint string
	DeadlineMS int64
	Percent    int
	// Reason is why a run that is still wanted is stopped; it is empty if the run
	// is not wanted any more.
	Reason string

	run *runState
}

// Outcome is the result of sending an order.
type Outcome uint8

const (
	// NoAnswer means that the order may have been carried out or may still be.
	NoAnswer Outcome = iota
	Accepted
	// RefusedFence means that the worker has seen a higher fencing token.
	RefusedFence
	// RefusedOld means that this run of the task, or a later one, has already ended
	// on the worker.
	RefusedOld
	// RefusedLate means that the order's deadline had passed.
	RefusedLate
	// RefusedCapacity means that the worker lacks free capacity for the task.
	RefusedCapacity
	// RefusedTicket means that the start needs a different ticket.
	RefusedTicket
	// RefusedUnhealthy means that the worker ignored the order because it is unhealthy.
	RefusedUnhealthy
	// RefusedBad means that the worker could not interpret the order.
	RefusedBad
	// WrongIncarnation means that another incarnation of the worker answered.
	WrongIncarnation
	// NotSent means that the order was not sent, for a reason that is not the
	// worker's: this host does not hold the lease, or lacks file descriptors.
	NotSent
)

// ErrNotSent marks the error of a call that was not sent, as NotSent does.
var ErrNotSent = errors.New("call was not sent")

// String returns the outcome's name in logs.
func (o Outcome) String() string {
	return [...]string{"no answer", "accepted", "fence", "old", "late", "room", "ticket", "unhealthy", "bad", "wrong life", "not sent"}[o]
}

// OrderReply is a worker's answer to an order.
type OrderReply struct {
	Outcome Outcome
	// ClockMS is the worker's clock; 0 if the answer did not contain it.
	ClockMS int64
}

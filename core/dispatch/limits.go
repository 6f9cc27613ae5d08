package dispatch

import "time"

// Limits holds the time limits set by the platform.
type Limits struct {
	// LeaseMax is the longest time for which a worker keeps its runs without a call.
	LeaseMax time.Duration
	// StopTimeout is how long a worker may take to stop a run.
	StopTimeout time.Duration
	// Interference is how long a task may exceed its tail latency target because
	// of fillers on the same worker.
	Interference time.Duration
}

const (
	// MaxClockSlow is the largest fraction by which a worker's clock may run slow;
	// the platform's protocol allows 2%.
	MaxClockSlow = 0.02
	// clockTolerance is how far from its estimate a worker's clock may be in an answer. This
	// one, or the one that the estimate rests on, may have been under way for that long.
	clockTolerance = 500 * time.Millisecond
	// leaseSlack allows for scheduling delay between the arrival of an answer and
	// the reading of the local clock.
	leaseSlack = 100 * time.Millisecond

	// HoldWait is how long a worker may hold a call open while it waits for a run
	// to end. It bounds the delay in detecting a silent worker and the call rate
	// to an idle one.
	HoldWait = time.Second
	// holdRetryMin and holdRetryMax bound the backoff after failed hold calls.
	holdRetryMin = 200 * time.Millisecond
	holdRetryMax = time.Second
	// commitWait is how long the next hold call waits for the ends listed by the
	// last one to be committed. After that it is sent anyway, to renew the lease.
	commitWait = 2 * time.Second

	// maxStartSends is the number of unanswered starts after which a run is abandoned,
	// so that its task can go to another worker.
	maxStartSends = 2
	// orderRetryDelay is the delay before an unanswered order is sent again.
	orderRetryDelay = 150 * time.Millisecond
	// pollDelay is the delay between an answered stop and the poll of the worker's
	// run lists.
	pollDelay = 50 * time.Millisecond
	// maxOrders limits the orders in flight to one worker and thereby the
	// connections to it: thousands of workers share the file descriptors of one host.
	maxOrders = 1

	// heartbeatTimeout is how long a worker may neither send heartbeats nor answer calls
	// before it is marked as left. It spans several heartbeats.
	heartbeatTimeout = 15 * time.Second

	// supersededGrace is how long the runs of a worker that answers no more are kept after a
	// later incarnation was recorded.
	supersededGrace = 2500 * time.Millisecond
	// leaveStopWait is the longest time between a worker's notice that it leaves and the record
	// of that, in which its runs are stopped. A stop without an answer is repeated in it, and
	// what is left of the second for which the worker waits suffices for the commit.
	leaveStopWait = 700 * time.Millisecond
	// transitMax is how long a call may be under way to a worker of which no later incarnation
	// is known. The callers of orders give up sooner.
	transitMax = 500 * time.Millisecond
	// arrivalMax is how long a call may be under way that reaches a later incarnation of its
	// worker: three times as long as the caller of an order waits.
	arrivalMax = 1200 * time.Millisecond
	// lateOrderMax is how long after it was sent an order without an answer may be carried out;
	// the platform's protocol allows seconds.
	lateOrderMax = 12 * time.Second
	// drainStopMargin is added to StopTimeout to decide how long before a worker leaves
	// its runs that write checkpoints are stopped.
	drainStopMargin = 400 * time.Millisecond

	// settleTime is how long after its start a run must be known to run to be less likely
	// the cause of a crash of its worker than others.
	settleTime = 500 * time.Millisecond
	// lapsedMemory is how long a worker that crashed may take to return for its crash to
	// be counted.
	lapsedMemory = 5 * time.Minute

	// unhealthyBackoff is how long a worker gets no new work after it refused a start
	// for a reason other than a lack of free capacity, such as being unhealthy.
	unhealthyBackoff = time.Second
	// capacityBackoff is how long a worker gets no new work after it refused a start for
	// lack of free capacity.
	capacityBackoff = 200 * time.Millisecond

	// sweepInterval is the period of the lease check over all workers.
	sweepInterval = 100 * time.Millisecond
	// forgetAfter is the retention period for the tasks of a finished job;
	// forgetEvery is the interval between checks.
	forgetAfter = 5 * time.Minute
	forgetEvery = 30 * time.Second
	// maxStarts limits the starts in one batch, so that its log entry is written
	// within a few milliseconds.
	maxStarts = 200
)

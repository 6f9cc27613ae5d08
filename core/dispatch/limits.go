package dispatch

import "time"

// Limits are the time limits that the platform sets.
type Limits struct {
	// LeaseMax is the longest time that a worker keeps running without a call.
	LeaseMax time.Duration
	// StopTimeout is how long a worker may take to stop a run.
	StopTimeout time.Duration
	// Interference is how long a task may be over its tail target because of
	// fillers beside it.
	Interference time.Duration
}

const (
	// MaxClockSlow is how much slower than true a worker's clock may run; the
	// platform's protocol gives 2%.
	MaxClockSlow = 0.02
	// leaseSlack covers scheduling delay in noting when an answer arrived.
	leaseSlack = 100 * time.Millisecond

	// HoldWait is how long a worker may hold a call open for an end. It bounds
	// how late a silent worker is noticed and how often an idle one is called.
	HoldWait = time.Second
	// holdRetry and holdRetryMax bound the pause after a failed call.
	holdRetry    = 200 * time.Millisecond
	holdRetryMax = time.Second
	// commitWait is how long a call waits for the ends of the last one to be
	// committed before it is sent all the same to renew the lease.
	commitWait = 2 * time.Second

	// startTries is the number of unanswered starts of a run after which the
	// run is given up and its task may go to another worker.
	startTries = 2
	// orderRetry is the pause before an unanswered order is sent again.
	orderRetry = 150 * time.Millisecond
	// lookDelay is the time after an answered stop at which a worker is asked
	// for its lists, if no end has been listed by then.
	lookDelay = 50 * time.Millisecond
	// maxOrders bounds the orders in flight to one worker, which bounds the
	// connections to it.
	maxOrders = 3

	// beatTimeout is how long a worker may be silent on both sides before its
	// record is dropped; several heartbeats long.
	beatTimeout = 15 * time.Second

	// leaveGrace is how long a worker that said it was gone may still run: one
	// whose word was not acknowledged ends only some seconds later.
	leaveGrace = 2500 * time.Millisecond
	// clearMargin is how long before a worker leaves the runs that save their
	// progress are stopped, beside the time that a stop may take.
	clearMargin = 400 * time.Millisecond

	// failStreak failed runs of different tasks in a row without a success
	// set a worker aside, first for asideMin, doubling up to asideMax.
	failStreak = 2
	asideMin   = 3 * time.Second
	asideMax   = 30 * time.Second
	// unhealthyPause is how long a worker that refused as unhealthy gets no start.
	unhealthyPause = time.Second
	// roomPause is how long a worker that refused for want of room gets no start.
	roomPause = 200 * time.Millisecond

	// sweepInterval is the period of the pass over all workers' leases.
	sweepInterval = 100 * time.Millisecond
	// forgetAfter is how long the tasks of a finished job are kept, forgetEvery
	// the period of the check.
	forgetAfter = 5 * time.Minute
	forgetEvery = 30 * time.Second
	// maxStarts bounds the starts in one batch, so that its entry is written in
	// a few milliseconds.
	maxStarts = 200
)

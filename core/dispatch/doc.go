// Package dispatch makes the leader's scheduling decisions for workers that the
// leader calls: which attempts to start on which worker, which orders to send,
// which ends to record, and when an attempt has certainly stopped running. It
// does no I/O: time is passed in as a parameter and orders are returned as
// values. A Core is created when a replica becomes leader and discarded when it
// loses leadership.
//
// Terms:
//   - A run is one execution of a task; an attempt is the replicated record of a
//     run that may still be running (see package graph).
//   - A serving task has a tail latency target. A filler reserves no processors and
//     uses those that other tasks leave idle.
//   - The headroom of a serving task is its tail latency target divided by its tail
//     latency. The pressure of a filler image on a serving image is the headroom
//     that a serving task loses when the fillers use all processors of its worker.
//   - The pace of a run is the speed, in percent, at which it may run; only fillers
//     are slowed, and a filler at pace 0 is paused.
//
// No task runs twice, because:
//   - A start is sent only after it is committed to the log, and it carries the
//     leader's fencing token. A new leader first calls each worker with its own,
//     higher token. Once the worker has answered, it rejects orders with older
//     tokens, and a run that it does not list is not running.
//   - An unreachable worker keeps its attempts until the latest lease deadline
//     that any leader can have given it has passed, assuming that the worker's
//     clock is slow by MaxClockSlow.
//   - A start without an answer may still be carried out at any later time. Its
//     attempt is released only after the worker has answered a stop of that run
//     and a later list does not contain the run.
//   - A start names the ID of a worker, not the incarnation. A later one that has not
//     answered this leader may carry it out, with a lease from then on. The attempt is
//     released once a later incarnation has answered without the run, or when the longest
//     lease that any of them can have given it is over (incarnation.go).
//   - While a start may be under way without an answer, a call to its worker is always open,
//     and once that fails the calls carry a higher token (late.go). A late start is refused by
//     the next incarnation from the first such call on.
//   - A worker that gives notice has its runs stopped before that is acknowledged (leave.go).
//
// No rule keeps a long-running task from free capacity for ever:
//   - Batch work is entitled to a share of the pool, for which new long-running tasks
//     wait (reserve.go) and which is placed first (rank.go); up to a part of it, running
//     ones are stopped (preempt.go).
//   - A task that was away for overdueAfter ranks before batch work of its priority and
//     may claim a worker for a time (claim.go).
//   - A job with nothing at work gets one task before batch work of its priority, without
//     regard to the reserve (standing.go).
//   - A worker on which runs fail is quarantined for a time, but remains the last resort
//     of long-running tasks (quarantine.go).
//   - A wait counts from the end of the last run that a worker listed (waits.go).
//
// Nor does one keep a job of fillers from it:
//   - Crash suspects are kept apart on a part of the workers only (candidate.go), so that
//     others have no serving tasks, or those of one image.
//   - A job with nothing at work for idleFillerWait gets one task where less headroom is
//     left (place.go).
package dispatch

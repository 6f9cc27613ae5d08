// Package graph implements the replicated state machine for jobs, which are
// graphs of steps, and for the workers that run their tasks. Apply is the only
// writer and is deterministic: it gives the same result on every replica. The
// package does no I/O and reads no clock.
//
// Invariants:
//   - A task has an attempt only while that attempt may be running. A start is
//     committed to the log before it is sent to the worker. An attempt is removed
//     only when its worker reports the end, or by a release once it is certain
//     that the attempt is not running.
//   - The run numbers of a task increase, also across workers and leaders.
//   - A task that is done stays done. A step is ready once all steps that it
//     depends on are done.
package graph

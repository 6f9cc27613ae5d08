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
//
// A run is one execution of a task, numbered within the task. An attempt is the
// record of a run that may still be running: it is created when the start of the run
// is committed and removed when the end or release of the run is applied. A serving
// task has a tail latency target; a filler task reserves no processors and uses
// those that other tasks leave idle. The headroom of a serving task is its tail
// latency target divided by its tail latency; the pressure of fillers is the headroom
// that they take.
package graph

// Package graph holds the replicated tables of jobs that are graphs of steps
// and of the workers that are called to run them. Apply is the only writer; it
// gives the same result on every replica. The package does no I/O and reads no
// clock.
//
// Invariants:
//   - A task has an attempt only while that attempt may be running. A start is
//     in the log before it is sent; an attempt leaves the tables only by an end
//     that its worker listed, or by a release once it is certain not to run.
//   - The run numbers of a task rise, also across workers and leaders.
//   - A task that is done stays done; a step is ready once all steps that it
//     depends on are done.
package graph

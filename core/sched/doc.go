// Package sched decides where tasks run. Each tick it reads the replicated
// tables and returns one plan: queue.go orders the pending tasks, feasible.go
// finds workers with enough free capacity in an index, rank.go scores a sample
// of them, and plan.go collects the assignments. Preemption, drain, throttling
// and deadlines add their parts to the same plan.
//
// The package is deterministic: it has no I/O, clock or goroutines. Estimates
// learned from usage reports are kept in the leader's memory and are lost when
// the leader changes. They improve decisions, but no safety rule depends on
// them, because every part of a plan is validated again when it is applied.
//
// Texts for operators, such as the reasons in a plan and the output of explain,
// keep older words: "room" for free capacity and "set aside" for quarantined.
package sched

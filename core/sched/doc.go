// Package sched decides where tasks run. Each tick it reads the replicated
// tables and returns one plan: queue orders the pending tasks, feasible finds
// workers with room from an index, rank scores a sample of them, and plan
// collects the assignments. Preemption, drain, throttling, deadlines and
// recurring work add their parts to the same plan.
//
// The package is pure: it has no I/O, clock or goroutines. Estimates learned
// from usage reports live in the leader's memory and are lost with it; they
// improve decisions but no safety rule depends on them, because every part of
// a plan is checked again when it is applied.
package sched

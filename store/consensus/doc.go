// Package consensus implements the Raft protocol for the replicated log, with
// pre-vote, leader stickiness (voters refuse to vote soon after hearing from a
// leader), quorum checks (a leader without contact to a quorum steps down),
// leader leases, learners, and single-server membership changes.
//
// The package performs no I/O, reads no clock and starts no goroutines. A Core
// is given messages, proposals and the current time. TakeEffects returns the
// resulting effects: state and entries to persist, messages to send and
// committed entries to apply. They must be carried out in the order documented
// at Effects.
package consensus

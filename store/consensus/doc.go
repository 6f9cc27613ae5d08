// Package consensus is the agreement protocol of the replicated log. It follows
// Raft, with pre-vote, voters that refuse to vote soon after hearing from a
// leader, a leader that steps down without a quorum, learners, and membership
// changes of one replica at a time.
//
// The package has no I/O, clock or goroutines. A Core takes messages, proposals
// and the current time, and Take returns the effects: records to persist,
// messages to send and entries that are committed. Effects must be carried out
// in the order documented at Effects.
package consensus

// Package transport carries messages between replicas with net/rpc over TCP.
// Messages may be lost, duplicated and reordered; the consensus package copes.
// Every call carries the cluster id and the format version, and a mismatch is
// refused and logged.
package transport

import (
	"gooseberrypond/store/consensus"
)

// FormatVersion is the version of the messages.
const FormatVersion = 1

// Transport sends messages and delivers those received.
type Transport interface {
	// Send queues messages to a replica and returns at once. Messages are
	// dropped if the queue is full or the replica cannot be reached.
	Send(to consensus.ID, address string, ms []consensus.Message)
	// Start begins to deliver. Deliver must not block for long; from is the
	// address at which the sender can be reached.
	Start(deliver func(from string, ms []consensus.Message)) error
	// Close stops sending and delivering.
	Close() error
}

// Envelope is the argument of the call between replicas.
type Envelope struct {
	Version   int
	ClusterID string
	// FromAddress is where the sender listens.
	FromAddress string
	Messages    []consensus.Message
}

// Ack is the answer to an Envelope.
type Ack struct {
	// Refused says why the envelope was refused; empty if it was taken.
	Refused string
}

// Package transport sends messages between replicas with net/rpc over TCP.
// Messages may be lost, duplicated and reordered, which the consensus package
// tolerates. Every call carries the cluster id and the format version. A call
// with a mismatch is refused and logged.
package transport

import (
	"gooseberrypond/store/consensus"
)

// FormatVersion is the version of the message format.
const FormatVersion = 1

// Transport sends messages to other replicas and delivers received ones.
type Transport interface {
	// Send queues messages to a replica and returns at once. Messages are
	// dropped if the queue is full or the replica cannot be reached.
	Send(to consensus.ID, address string, ms []consensus.Message)
	// Start starts the delivery of received messages. deliver must not block for
	// long. from is the address at which the sender can be reached.
	Start(deliver func(from string, ms []consensus.Message)) error
	// Close stops sending and delivering messages.
	Close() error
}

// Envelope is the argument of a Deliver call.
type Envelope struct {
	Version   int
	ClusterID string
	// FromAddress is the address at which the sender can be reached.
	FromAddress string
	Messages    []consensus.Message
}

// Ack is the reply to a Deliver call.
type Ack struct {
	// Refused is the reason why the envelope was refused; empty if its messages
	// were delivered.
	Refused string
}

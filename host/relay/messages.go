// Package relay forwards calls from any host of the system to the leader of the
// control hosts. The protocol is net/rpc over TCP between the system's own
// processes. A host only needs the addresses of some control hosts; it learns
// the others and the leader from them.
package relay

import (
	"time"

	"gooseberrypond/core/graph"
	"gooseberrypond/host/dispatcher"
)

// serviceName is the net/rpc name of the service.
const serviceName = "Control"

// Info is a control host's view of its group.
type Info struct {
	// Leading is set if the host holds the leader's lease.
	Leading bool
	Term    uint64
	// Leader is the relay address of the leader; empty if none is known.
	Leader string
	// Hosts are the relay addresses of the group.
	Hosts []string
	// Members are the replica ids of the group: those of the latest membership and
	// those whose removal is not committed yet.
	Members []string
	// Commit is the log index up to which this host knows the log to be committed.
	// Members includes every change up to it.
	Commit uint64
	// Silence is, on a leader, the time since each member last answered a leader.
	Silence map[string]time.Duration
}

// Reply is the outcome of a call that only the leader can execute.
type Reply struct {
	dispatcher.Answer
	// Leader is the relay address of the leader, if known. It is set only in
	// answers with the code NotLeader.
	Leader string
}

// JobArgs names a job, or a queue, by the request's host and path.
type JobArgs struct {
	Host, Path string
	// Key is the hash of the caller's key; zero if it sent none.
	Key graph.KeyHash
	// Spec is set for a submission.
	Spec graph.Spec
}

// ConfigArgs carries a configuration.
type ConfigArgs struct{ Config graph.Config }

// DomainArgs names a failure domain and its new state.
type DomainArgs struct {
	Name string
	Out  bool
	// Seen is the state of the failure domains for which the order is given. The leader refuses
	// the order in any other.
	Seen dispatcher.DomainVersion
}

// LeaveArgs names a worker that has left.
type LeaveArgs struct{ ID string }

// JoinArgs asks for a replica to be added to the group.
type JoinArgs struct {
	ID string
	// Address is the address of the replica's transport.
	Address string
}

// LeaveGroupArgs names the replica whose host stops.
type LeaveGroupArgs struct{ ID string }

// None is the argument or reply of methods that have none.
type None struct{}

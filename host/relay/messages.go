// Package relay carries calls from any host of the system to the control host
// that leads. The protocol is net/rpc over TCP between the system's own
// processes. A host needs to know some control hosts only; it learns the others
// and the leader from them.
package relay

import (
	"gooseberrypond/core/graph"
	"gooseberrypond/host/dispatcher"
)

// serviceName is the net/rpc name of the service.
const serviceName = "Control"

// Info is what a control host knows of its group.
type Info struct {
	// Leading is set if the host holds the leader's lease.
	Leading bool
	Term    uint64
	// Leader is the relay address of the leader; empty if none is known.
	Leader string
	// Hosts are the relay addresses of the group.
	Hosts []string
	// Members are the replica ids of the group. They are certain on the leader only.
	Members []string
}

// Reply is the outcome of a call that only the leader carries out.
type Reply struct {
	dispatcher.Answer
	// Leader is the relay address of the leader, in an answer with code NotLeader.
	Leader string
}

// JobArgs names a job, or a queue, by the request's host and path.
type JobArgs struct {
	Host, Path string
	// Spec is set for a submission.
	Spec graph.Spec
}

// ConfigArgs carries a configuration.
type ConfigArgs struct{ Config graph.Config }

// DomainArgs names a failure domain and its new state.
type DomainArgs struct {
	Name string
	Out  bool
}

// BeatArgs carries a worker's report of itself.
type BeatArgs struct{ Report graph.WorkerReport }

// LeaveArgs names a worker that is gone.
type LeaveArgs struct{ ID string }

// JoinArgs asks for a replica to be added to the group.
type JoinArgs struct {
	ID string
	// Address is that of the replica's transport.
	Address string
}

// None is the argument of calls that need none.
type None struct{}

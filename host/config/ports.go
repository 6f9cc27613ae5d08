package config

import "gooseberrypond/host/admission"

const (
	// connectionsMemory is the fraction of the memory, one in so many, for connections, with
	// what the kernel keeps for them.
	connectionsMemory = 4
	// MessageBytes is the largest message between hosts. It is above the largest proposal.
	MessageBytes = 16 << 20
	// syncBytes is the largest report of a worker.
	syncBytes = 4 << 20
	// clientBuffer and innerBuffer are how much the kernel keeps for a connection of a client,
	// and of another host, until it is read.
	clientBuffer = 32 << 10
	innerBuffer  = 256 << 10
	// smallBytes is for the requests of listeners whose requests are small.
	smallBytes = 1 << 20
)

// portShare is what a listener gets of the memory, as fractions, one in so many.
type portShare struct {
	// connections is the share of the connections.
	connections int
	// requests is the share of the memory that counted requests hold; 0 means the largest
	// request alone.
	requests int64
}

// portShares has the shares by name of the listener. Callers and workers come in large
// numbers, the others do not.
var portShares = map[string]portShare{
	"caller": {3, 8}, "platform": {3, 16}, "upstream": {8, 0}, "control": {16, 0},
	"peer": {64, 0}, "operator": {64, 0}, "health": {64, 0},
}

// PortLimits returns the limits of the named listener.
func (s *Settings) PortLimits(name string) admission.Limits {
	memory, share := int64(s.Limits.Memory), portShares[name]
	l := admission.Limits{
		Connections:  admission.ConnectionsIn(memory/connectionsMemory, clientBuffer) / share.connections,
		RequestBytes: s.largestRequest(name),
		MessageBytes: MessageBytes, ReceiveBuffer: clientBuffer,
	}
	if name == "control" || name == "peer" {
		l.ReceiveBuffer = innerBuffer
	}
	if share.requests > 0 {
		l.RequestBytes = max(l.RequestBytes, memory/share.requests)
	}
	for _, n := range s.Listeners.all() {
		if n.name == name && n.listener.MaxConnections > 0 {
			l.Connections = n.listener.MaxConnections
		}
	}
	return l
}

// largestRequest returns the size of the largest request of a listener.
func (s *Settings) largestRequest(name string) int64 {
	switch name {
	case "caller":
		return max(int64(s.Limits.MaxBody), smallBytes)
	case "platform":
		return syncBytes
	case "operator":
		return int64(s.Limits.MaxCatalogue)
	case "control", "peer":
		return MessageBytes
	}
	return smallBytes
}

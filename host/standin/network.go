package standin

import (
	"sync"

	"gooseberrypond/store/consensus"
	"gooseberrypond/store/transport"
)

// Network delivers messages between replicas in memory. Its methods are safe for
// concurrent use.
type Network struct {
	mu       sync.Mutex
	replicas map[consensus.ID]func(from string, ms []consensus.Message)
	cut      map[consensus.ID]bool
}

// NewNetwork returns a network without replicas.
func NewNetwork() *Network {
	return &Network{replicas: map[consensus.ID]func(string, []consensus.Message){}, cut: map[consensus.ID]bool{}}
}

// Transport returns the transport of one replica.
func (n *Network) Transport(id consensus.ID) transport.Transport { return networkLink{n, id} }

// SetCut cuts a replica off from all others, or connects it again. Messages that are
// sent meanwhile are lost.
func (n *Network) SetCut(id consensus.ID, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[id] = cut
}

// networkLink is the transport of one replica of a Network.
type networkLink struct {
	n  *Network
	id consensus.ID
}

// Start implements transport.Transport.
func (l networkLink) Start(deliver func(from string, ms []consensus.Message)) error {
	l.n.mu.Lock()
	defer l.n.mu.Unlock()
	l.n.replicas[l.id] = deliver
	return nil
}

// Send implements transport.Transport.
func (l networkLink) Send(to consensus.ID, _ string, ms []consensus.Message) {
	l.n.mu.Lock()
	deliver, cut := l.n.replicas[to], l.n.cut[l.id] || l.n.cut[to]
	l.n.mu.Unlock()
	if deliver != nil && !cut {
		deliver("", ms)
	}
}

// Close implements transport.Transport.
func (l networkLink) Close() error {
	l.n.mu.Lock()
	defer l.n.mu.Unlock()
	delete(l.n.replicas, l.id)
	return nil
}

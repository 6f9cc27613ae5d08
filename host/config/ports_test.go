package config

import (
	"testing"

	"gooseberrypond/host/admission"
)

// Guards against listeners that together take more than their share of the memory, and
// against one on which no request of the largest size has room.
func TestPortLimits(t *testing.T) {
	s := &Settings{Limits: DefaultLimits()}
	var connections int
	var held int64
	for _, l := range s.Listeners.all() {
		p := s.PortLimits(l.name)
		connections += p.Connections
		held += p.RequestBytes
		if p.RequestBytes < s.largestRequest(l.name) || p.Connections < 1 {
			t.Errorf("%s: %+v has no room for a request of %d bytes", l.name, p, s.largestRequest(l.name))
		}
	}
	if most := int64(s.Limits.Memory) / connectionsMemory; int64(connections)*(admission.ConnectionBytes+clientBuffer) > most {
		t.Errorf("%d connections take more than %d bytes", connections, most)
	}
	if most := int64(s.Limits.Memory) / 2; held > most {
		t.Errorf("requests hold %d bytes, want at most %d", held, most)
	}
}

// Guards against a number of connections in the settings that has no effect.
func TestMaxConnectionsOfAListener(t *testing.T) {
	s := &Settings{Limits: DefaultLimits()}
	s.Listeners.Caller.MaxConnections = 17
	if n := s.PortLimits("caller").Connections; n != 17 {
		t.Errorf("%d connections, want 17", n)
	}
}

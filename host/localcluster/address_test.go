package localcluster

import (
	"testing"

	"gooseberrypond/core/structs"
	"gooseberrypond/host/config"
)

// Guards against a replica that is restarted with another peer address and that
// the other replicas then no longer reach: it must catch up and take part in
// commits.
func TestReplicaRestartsWithAnotherAddress(t *testing.T) {
	b := newTestbed(t, 3, 0)
	cl := b.Client()
	b.putCatalogue(cl)
	leader := b.leader()
	moved, other := (leader+1)%3, (leader+2)%3
	b.Kill(moved)
	s := b.Settings[moved]
	s.Hosts = append([]config.Host(nil), s.Hosts...)
	s.Hosts[moved].Peer = b.address(moved, 7505)
	s.Listeners.Peer.Address = s.Hosts[moved].Peer
	b.start(moved)
	for target := b.Nodes[leader].Control().LastApplied(); b.Nodes[moved].Control().LastApplied() < target; {
		if err := Pause(b.ctx); err != nil {
			t.Fatal(err)
		}
	}
	b.Kill(other) // every commit now needs the moved replica
	res := retry(b, func() (*structs.ChangeResult, error) {
		return cl.ApplyCatalogue(b.ctx, &structs.PutCatalogue{ChangeID: "moved", BaseVersion: 1, Catalogue: Catalogue()})
	})
	if !res.Accepted {
		t.Errorf("change that needs the restarted replica was refused: %+v", res)
	}
}

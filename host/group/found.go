package group

import (
	"context"
	"sync"
	"time"

	"gooseberrypond/store/replica"
)

// announceTimeout bounds the calls by which a host with an empty folder tells the others
// of itself.
const announceTimeout = 300 * time.Millisecond

// announceEmpty asks all control hosts to add this replica while none is known to lead.
// The founders of a group that has never had a leader learn by it that a founder at this
// address does not come back under its founder id: this host has no data folder, and is
// told not to found the group again.
func (g *Group) announceEmpty(ctx context.Context, id string) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	own := g.replicaAddress(g.cfg.IP)
	var calls sync.WaitGroup
	for _, host := range g.client.Hosts() {
		if host == g.relayAddress(own) {
			continue
		}
		calls.Go(func() {
			if err := g.client.Join(ctx, host, id, own); err != nil {
				g.cfg.Logger.Debug().Err(err).Str("peer", host).Str("step", "join").Msg("no leader is known; a control host was told of this replica")
			}
		})
	}
	calls.Wait()
}

// founderLost records that a replica with another id asks to join from the address of a
// member. That matters only before the first election; the replica looks at that.
func (g *Group) founderLost(rep *replica.Replica, id, address string) error {
	for _, m := range rep.Status().Members {
		if m.Address != address || m.ID == id {
			continue
		}
		if err := rep.InitialVoterLost(m.ID); err != nil {
			return err
		}
	}
	return nil
}

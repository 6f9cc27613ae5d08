package consensus

import "time"

// removedPeer is a removed replica to which the leader still replicates for a
// limited time, so that it learns of its removal and stops requesting votes.
type removedPeer struct {
	id    ID
	p     *progress
	until time.Time
}

// removedPeerTimeouts is how long the leader replicates to a removed replica, in
// multiples of ElectionTimeoutMax. A change that can be committed usually is
// committed within this time. A replica that does not learn of its removal in this
// time keeps requesting votes, which the others ignore.
const removedPeerTimeouts = 5

// keepRemovedPeer moves a removed replica from peers to removedPeers.
func (c *Core) keepRemovedPeer(now time.Time, id ID) {
	p := c.lead.peers[id]
	delete(c.lead.peers, id)
	c.lead.removedPeers = append(c.lead.removedPeers, removedPeer{id, p, now.Add(removedPeerTimeouts * c.cfg.ElectionTimeoutMax)})
}

// sendHeartbeatsToRemoved sends entries or heartbeats to removed replicas, and
// drops those that were added again or whose time has expired.
func (c *Core) sendHeartbeatsToRemoved(now time.Time) {
	keep := c.lead.removedPeers[:0]
	for _, x := range c.lead.removedPeers {
		if _, again := c.members.Get(x.id); again || now.After(x.until) {
			continue
		}
		x.p.waiting = false
		if !c.sendEntries(now, x.id, x.p) {
			c.sendHeartbeat(now, x.id, x.p)
		}
		keep = append(keep, x)
	}
	c.lead.removedPeers = keep
}

// progressOf returns the progress of a member or of a recently removed replica;
// nil if there is none.
func (c *Core) progressOf(id ID) *progress {
	if p := c.lead.peers[id]; p != nil {
		return p
	}
	for _, x := range c.lead.removedPeers {
		if x.id == id {
			return x.p
		}
	}
	return nil
}

// Removed reports whether this replica was a member and its removal is
// committed. A joining replica does not count as removed while it applies
// memberships from before it was added.
func (c *Core) Removed() bool {
	_, member := c.members.Get(c.cfg.ID)
	return !member && c.memberAt > 0 && c.configIndex <= c.commit
}

// recordMembership records whether the membership at index includes this replica.
func (c *Core) recordMembership(m Membership, index uint64) {
	if _, ok := m.Get(c.cfg.ID); ok {
		c.memberAt = max(c.memberAt, index)
	}
}

// recordPersistedMemberships calls recordMembership for all memberships in the
// snapshot and the log.
func (c *Core) recordPersistedMemberships() error {
	c.recordMembership(c.snap.Membership, c.snap.Last.Index)
	for _, e := range c.log.entries {
		if e.Kind != EntryConfig {
			continue
		}
		m, err := DecodeMembership(e.Data)
		if err != nil {
			return err
		}
		c.recordMembership(m, e.Index)
	}
	return nil
}

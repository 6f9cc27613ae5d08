package consensus

import "time"

// leavingPeer is a removed replica to which the leader still replicates for a
// limited time, so that it learns of its removal and stops requesting votes.
type leavingPeer struct {
	id    ID
	p     *progress
	until time.Time
}

// leavingTime is how long the leader replicates to a removed replica, in
// multiples of ElectionTimeoutMax. A change that can be committed usually is
// committed within this time. A replica that misses it keeps requesting votes,
// which the others ignore.
const leavingTime = 5

// leave moves a removed replica from the peers to the leaving replicas.
func (c *Core) leave(now time.Time, id ID) {
	p := c.lead.peers[id]
	delete(c.lead.peers, id)
	c.lead.leaving = append(c.lead.leaving, leavingPeer{id, p, now.Add(leavingTime * c.cfg.ElectionTimeoutMax)})
}

// beatLeaving sends entries or heartbeats to removed replicas, and drops those
// that were added again or whose time has expired.
func (c *Core) beatLeaving(now time.Time) {
	keep := c.lead.leaving[:0]
	for _, x := range c.lead.leaving {
		if _, again := c.members.Get(x.id); again || now.After(x.until) {
			continue
		}
		x.p.waiting = false
		if !c.sendEntries(now, x.id, x.p) {
			c.sendHeartbeat(now, x.id, x.p)
		}
		keep = append(keep, x)
	}
	c.lead.leaving = keep
}

// progressOf returns the progress of a member or of a recently removed replica;
// nil if there is none.
func (c *Core) progressOf(id ID) *progress {
	if p := c.lead.peers[id]; p != nil {
		return p
	}
	for _, x := range c.lead.leaving {
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
	return !member && c.wasMember && c.configIndex <= c.commit
}

// noteMember sets wasMember if the membership includes this replica.
func (c *Core) noteMember(m Membership) {
	if _, ok := m.Get(c.cfg.ID); ok {
		c.wasMember = true
	}
}

// noteSavedMembers calls noteMember for all memberships in the snapshot and the log.
func (c *Core) noteSavedMembers() error {
	c.noteMember(c.snap.Membership)
	for _, e := range c.log.entries {
		if e.Kind != EntryConfig {
			continue
		}
		m, err := DecodeMembership(e.Data)
		if err != nil {
			return err
		}
		c.noteMember(m)
	}
	return nil
}

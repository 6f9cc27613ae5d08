package consensus

import "time"

// leavingPeer is a removed replica that is still sent the log for a while, so
// that it learns of its removal and stops asking for votes.
type leavingPeer struct {
	id    ID
	p     *progress
	until time.Time
}

// leavingTime is how long a removed replica is sent the log, in multiples of
// ElectionTimeoutMax. Within this time a change that can be committed at all
// usually is; a replica that misses it is only ignored by the others.
const leavingTime = 5

// leave keeps sending to the removed replica.
func (c *Core) leave(now time.Time, id ID) {
	p := c.lead.peers[id]
	delete(c.lead.peers, id)
	c.lead.leaving = append(c.lead.leaving, leavingPeer{id, p, now.Add(leavingTime * c.cfg.ElectionTimeoutMax)})
}

// beatLeaving sends to removed replicas and forgets those whose time is over.
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

// progressOf returns the progress of a member or of a removed replica; nil if
// there is none.
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
// committed. A joining replica that reads old memberships is not removed.
func (c *Core) Removed() bool {
	_, member := c.members.Get(c.cfg.ID)
	return !member && c.wasMember && c.configIndex <= c.commit
}

// noteMember remembers whether this replica was ever a member.
func (c *Core) noteMember(m Membership) {
	if _, ok := m.Get(c.cfg.ID); ok {
		c.wasMember = true
	}
}

// noteSavedMembers does so for the memberships on disk.
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

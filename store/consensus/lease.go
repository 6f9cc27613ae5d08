package consensus

import (
	"slices"
	"time"
)

// quorumContact returns the latest stamp such that a quorum, this replica included,
// has answered messages sent at or after it; 0 if no quorum has answered yet.
func (c *Core) quorumContact(now time.Time) int64 {
	var stamps []int64
	for _, x := range c.members.Members {
		switch {
		case !x.Voter:
		case x.ID == c.cfg.ID:
			// Later than every stamp issued, since this replica is always in
			// contact with itself.
			stamps = append(stamps, max(c.lastStamp+1, int64(now.Sub(c.startTime))))
		default:
			stamps = append(stamps, c.lead.peers[x.ID].contact)
		}
	}
	slices.Sort(stamps)
	return stamps[len(stamps)-c.quorum()]
}

// LeaseUntil returns the time until which no other replica can be elected; zero
// if this replica holds no lease. The lease starts when the messages that a
// quorum answered were sent. Those voters grant no vote within
// ElectionTimeoutMin of receiving such a message.
func (c *Core) LeaseUntil(now time.Time) time.Time {
	if c.role != Leader || c.commit < c.lead.termStart || c.lead.transfer != nil {
		return time.Time{}
	}
	contact := c.quorumContact(now)
	if contact == 0 {
		return time.Time{}
	}
	return c.startTime.Add(time.Duration(contact) + c.cfg.Lease)
}

// ReadIndex requests linearizable reads. Effects.Reads returns one ReadState for
// each id.
func (c *Core) ReadIndex(now time.Time, ids ...uint64) error {
	if c.role != Leader {
		return ErrNotLeader
	}
	after := c.nextStamp(now)
	for _, id := range ids {
		c.lead.reads = append(c.lead.reads, pendingRead{id: id, after: after})
	}
	c.sendHeartbeats(now)
	c.confirmReads(now)
	return nil
}

// confirmReads completes the reads for which a quorum has acknowledged this
// leader since they arrived. It waits until an entry of this term is committed:
// before that, the commit index may not cover all entries committed in earlier
// terms.
func (c *Core) confirmReads(now time.Time) {
	if len(c.lead.reads) == 0 || c.commit < c.lead.termStart {
		return
	}
	contact := c.quorumContact(now)
	n := 0
	for n < len(c.lead.reads) && c.lead.reads[n].after < contact {
		c.effects.Reads = append(c.effects.Reads, ReadState{ID: c.lead.reads[n].id, Index: c.commit, OK: true})
		n++
	}
	c.lead.reads = c.lead.reads[n:]
}

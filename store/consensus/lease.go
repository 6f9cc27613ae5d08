package consensus

import (
	"slices"
	"time"
)

// quorumContact returns the latest stamp such that a quorum answered messages
// sent at it or later; 0 if no quorum answered yet.
func (c *Core) quorumContact(now time.Time) int64 {
	var stamps []int64
	for _, x := range c.members.Members {
		switch {
		case !x.Voter:
		case x.ID == c.cfg.ID:
			// Later than every stamp given out, since a replica always hears itself.
			stamps = append(stamps, max(c.stamp+1, int64(now.Sub(c.epoch))))
		default:
			stamps = append(stamps, c.lead.peers[x.ID].contact)
		}
	}
	slices.Sort(stamps)
	return stamps[len(stamps)-c.quorum()]
}

// LeaseUntil returns the time until which no other replica can be elected; zero
// if this replica holds no lease. The lease counts from when the messages that
// a quorum answered were sent: within ElectionTimeoutMin of receiving them,
// those voters vote for nobody else.
func (c *Core) LeaseUntil(now time.Time) time.Time {
	if c.role != Leader || c.commit < c.lead.termStart || c.lead.transfer != nil {
		return time.Time{}
	}
	contact := c.quorumContact(now)
	if contact == 0 {
		return time.Time{}
	}
	return c.epoch.Add(time.Duration(contact) + c.cfg.Lease)
}

// ReadIndex asks for a linearizable read. Effects.Reads gives the answer under id.
func (c *Core) ReadIndex(now time.Time, ids ...uint64) error {
	if c.role != Leader {
		return ErrNotLeader
	}
	after := c.nextStamp(now)
	for _, id := range ids {
		c.lead.reads = append(c.lead.reads, pendingRead{id: id, after: after})
	}
	c.beat(now)
	c.confirmReads(now)
	return nil
}

// confirmReads answers the reads after whose arrival a quorum acknowledged this
// leader. The commit index covers all earlier terms only once an entry of this
// term is committed.
func (c *Core) confirmReads(now time.Time) {
	if len(c.lead.reads) == 0 || c.commit < c.lead.termStart {
		return
	}
	contact := c.quorumContact(now)
	n := 0
	for n < len(c.lead.reads) && c.lead.reads[n].after < contact {
		c.eff.Reads = append(c.eff.Reads, ReadState{ID: c.lead.reads[n].id, Index: c.commit, OK: true})
		n++
	}
	c.lead.reads = c.lead.reads[n:]
}

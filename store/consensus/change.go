package consensus

import (
	"time"

	"github.com/cockroachdb/errors"
)

// ErrWouldLoseQuorum is returned for the removal of a voter if fewer than a
// quorum of the remaining voters replied recently.
var ErrWouldLoseQuorum = errors.New("too few of the remaining voters answer")

// Propose appends proposals to the leader's log, one entry each, and returns
// the position of the first.
func (c *Core) Propose(now time.Time, data ...[]byte) (Position, error) {
	if c.role != Leader {
		return Position{}, ErrNotLeader
	}
	if c.lead.transfer != nil {
		return Position{}, ErrTransferring
	}
	first := Position{c.log.last().Index + 1, c.term}
	es := make([]Entry, len(data))
	for i, d := range data {
		es[i] = Entry{Index: first.Index + uint64(i), Term: c.term, Kind: EntryNormal, Data: d}
	}
	if err := c.append(es...); err != nil {
		return Position{}, err
	}
	c.replicateAll(now)
	return first, nil
}

// AddLearner appends a membership in which the replica is added as a learner.
func (c *Core) AddLearner(now time.Time, id ID, address string) (Position, error) {
	if err := c.checkMembershipChange(); err != nil {
		return Position{}, err
	}
	if _, ok := c.members.Get(id); ok {
		return Position{}, ErrMemberExists
	}
	return c.changeMembership(now, c.members.With(Member{ID: id, Address: address}))
}

// Promote appends a membership in which a learner becomes a voter. The learner
// must have caught up and replied recently.
func (c *Core) Promote(now time.Time, id ID) (Position, error) {
	if err := c.checkMembershipChange(); err != nil {
		return Position{}, err
	}
	x, ok := c.members.Get(id)
	if !ok {
		return Position{}, ErrUnknownMember
	}
	if x.Voter {
		return Position{}, ErrMemberExists
	}
	p := c.lead.peers[id]
	if p.match < c.commit || p.instance == "" || c.sinceStamp(now, p.contact) > c.cfg.ElectionTimeoutMin {
		return Position{}, ErrNotCaughtUp
	}
	x.Voter, x.Instance = true, p.instance
	return c.changeMembership(now, c.members.With(x))
}

// Remove appends a membership without the replica. A leader that removes itself
// continues to lead until the change is committed.
func (c *Core) Remove(now time.Time, id ID) (Position, error) {
	if err := c.checkMembershipChange(); err != nil {
		return Position{}, err
	}
	x, ok := c.members.Get(id)
	if !ok {
		return Position{}, ErrUnknownMember
	}
	next := c.members.Without(id)
	if next.VoterCount() == 0 {
		return Position{}, ErrLastVoter
	}
	if x.Voter && c.reachableVoters(now, next) < next.VoterCount()/2+1 {
		return Position{}, ErrWouldLoseQuorum
	}
	return c.changeMembership(now, next)
}

// reachableVoters returns how many voters of m replied within ElectionTimeoutMax,
// this replica included.
func (c *Core) reachableVoters(now time.Time, m Membership) int {
	n := 0
	for _, x := range m.Members {
		p := c.lead.peers[x.ID]
		if x.Voter && (p == nil || c.sinceStamp(now, p.contact) <= c.cfg.ElectionTimeoutMax) {
			n++
		}
	}
	return n
}

// checkMembershipChange returns an error if a membership change cannot be
// appended now.
func (c *Core) checkMembershipChange() error {
	switch {
	case c.role != Leader:
		return ErrNotLeader
	case c.lead.transfer != nil:
		return ErrTransferring
	case c.commit < c.lead.termStart:
		return ErrNotReady
	case c.configIndex > c.commit:
		return ErrChangePending
	}
	return nil
}

func (c *Core) changeMembership(now time.Time, next Membership) (Position, error) {
	if err := c.appendConfig(now, next); err != nil {
		return Position{}, err
	}
	return c.log.last(), nil
}

// appendConfig appends a membership, which is in force as soon as it is
// appended, and starts replication to added members.
func (c *Core) appendConfig(now time.Time, next Membership) error {
	e := Entry{Index: c.log.last().Index + 1, Term: c.term, Kind: EntryConfig, Data: next.Encode()}
	if err := c.append(e); err != nil {
		return err
	}
	for id := range c.lead.peers {
		if _, ok := next.Get(id); !ok {
			c.keepRemovedPeer(now, id)
		}
	}
	for _, x := range next.Members {
		c.addPeer(x.ID, e.Index)
	}
	c.replicateAll(now)
	return nil
}

// transfer is a leadership transfer in progress. During a transfer the leader
// holds no lease and accepts no proposals.
type transfer struct {
	target ID
	start  time.Time
	// timeoutNowSent is set once MsgTimeoutNow was sent. The target may act on
	// it at any later time, so the transfer can no longer be cancelled: if it
	// times out, the leader must step down.
	timeoutNowSent bool
}

// TransferLeadership starts a leadership transfer to a voter. An empty target
// selects the most up-to-date voter that replied recently.
func (c *Core) TransferLeadership(now time.Time, target ID) error {
	if c.role != Leader {
		return ErrNotLeader
	}
	if c.lead.transfer != nil {
		return ErrTransferring
	}
	if target == "" {
		target = c.transferTarget(now)
	}
	if target == c.cfg.ID || !c.members.IsVoter(target) {
		return ErrUnknownMember
	}
	c.lead.transfer = &transfer{target: target, start: now}
	c.replicateAll(now)
	return nil
}

// transferTarget returns the voter with the highest match index among those that
// replied within ElectionTimeoutMin; empty if there is none.
func (c *Core) transferTarget(now time.Time) ID {
	var best ID
	var match uint64
	for _, x := range c.members.Members {
		p := c.lead.peers[x.ID]
		if p == nil || !x.Voter || c.sinceStamp(now, p.contact) > c.cfg.ElectionTimeoutMin {
			continue
		}
		if best == "" || p.match > match {
			best, match = x.ID, p.match
		}
	}
	return best
}

// advanceTransfer asks the target to start an election once it has the whole
// log, but not before one heartbeat interval after the start of the transfer.
// The lease ended at that start, and its users need that time to notice. A
// transfer that takes longer than ElectionTimeoutMax is cancelled or, if the
// target was already asked, ends with this leader stepping down.
func (c *Core) advanceTransfer(now time.Time) {
	t := c.lead.transfer
	if t == nil {
		return
	}
	if now.Sub(t.start) > c.cfg.ElectionTimeoutMax {
		if t.timeoutNowSent {
			c.stepDown(now)
			return
		}
		c.lead.transfer = nil
		return
	}
	p := c.lead.peers[t.target]
	if !t.timeoutNowSent && p.match == c.log.last().Index && now.Sub(t.start) >= c.cfg.Heartbeat {
		t.timeoutNowSent = true
		c.send(Message{Kind: MsgTimeoutNow, To: t.target})
	}
}

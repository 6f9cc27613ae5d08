package consensus

import (
	"time"

	"github.com/cockroachdb/errors"
)

// ErrWouldLoseQuorum refuses to remove a voter if too few of the others answer.
var ErrWouldLoseQuorum = errors.New("too few of the remaining voters answer")

// Propose appends proposals to the leader's log and returns the position of the first.
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

// AddLearner appends a membership with a new replica that does not vote.
func (c *Core) AddLearner(now time.Time, id ID, address string) (Position, error) {
	if err := c.mayChange(); err != nil {
		return Position{}, err
	}
	if _, ok := c.members.Get(id); ok {
		return Position{}, ErrMemberExists
	}
	return c.change(now, c.members.With(Member{ID: id, Address: address}))
}

// Promote appends a membership in which a learner that has caught up is a voter.
func (c *Core) Promote(now time.Time, id ID) (Position, error) {
	if err := c.mayChange(); err != nil {
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
	return c.change(now, c.members.With(x))
}

// Remove appends a membership without the replica. A leader that removes itself
// leads until the change is committed.
func (c *Core) Remove(now time.Time, id ID) (Position, error) {
	if err := c.mayChange(); err != nil {
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
	if x.Voter && c.answering(now, next) < next.VoterCount()/2+1 {
		return Position{}, ErrWouldLoseQuorum
	}
	return c.change(now, next)
}

// answering returns how many voters of m are known to be alive.
func (c *Core) answering(now time.Time, m Membership) int {
	n := 0
	for _, x := range m.Members {
		p := c.lead.peers[x.ID]
		if x.Voter && (p == nil || c.sinceStamp(now, p.contact) <= c.cfg.ElectionTimeoutMax) {
			n++
		}
	}
	return n
}

func (c *Core) mayChange() error {
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

func (c *Core) change(now time.Time, next Membership) (Position, error) {
	if err := c.appendConfig(now, next); err != nil {
		return Position{}, err
	}
	return c.log.last(), nil
}

// appendConfig appends a membership, which is in force from then on.
func (c *Core) appendConfig(now time.Time, next Membership) error {
	e := Entry{Index: c.log.last().Index + 1, Term: c.term, Kind: EntryConfig, Data: next.Encode()}
	if err := c.append(e); err != nil {
		return err
	}
	for id := range c.lead.peers {
		if _, ok := next.Get(id); !ok {
			c.leave(now, id)
		}
	}
	for _, x := range next.Members {
		c.addPeer(x.ID, e.Index)
	}
	c.replicateAll(now)
	return nil
}

// transfer is a leadership transfer in progress. The leader holds no lease and
// accepts no proposal meanwhile.
type transfer struct {
	target ID
	start  time.Time
	// sent is set once the target was asked to start an election. It may act on
	// that at any later time, so this leader can then only step down.
	sent bool
}

// TransferLeadership begins to hand leadership to a voter; with an empty target
// the one whose log is longest.
func (c *Core) TransferLeadership(now time.Time, target ID) error {
	if c.role != Leader {
		return ErrNotLeader
	}
	if c.lead.transfer != nil {
		return ErrTransferring
	}
	if target == "" {
		target = c.bestTarget(now)
	}
	if target == c.cfg.ID || !c.members.IsVoter(target) {
		return ErrUnknownMember
	}
	c.lead.transfer = &transfer{target: target, start: now}
	c.replicateAll(now)
	return nil
}

func (c *Core) bestTarget(now time.Time) ID {
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
// log, a heartbeat interval after the lease was given up so that users of the
// lease notice first.
func (c *Core) advanceTransfer(now time.Time) {
	t := c.lead.transfer
	if t == nil {
		return
	}
	if now.Sub(t.start) > c.cfg.ElectionTimeoutMax {
		if t.sent {
			c.stepDown(now)
			return
		}
		c.lead.transfer = nil
		return
	}
	p := c.lead.peers[t.target]
	if !t.sent && p.match == c.log.last().Index && now.Sub(t.start) >= c.cfg.Heartbeat {
		t.sent = true
		c.send(Message{Kind: MsgTimeoutNow, To: t.target})
	}
}

package consensus

import "time"

// mustNotVote reports whether this replica must not grant votes, because a leader
// may hold a lease that relies on it (leader stickiness).
func (c *Core) mustNotVote(now time.Time) bool {
	return c.role == Leader || now.Before(c.lastLeaderContact.Add(c.cfg.ElectionTimeoutMin))
}

func (c *Core) becomeFollower(now time.Time, term uint64, leader ID) {
	if c.role == Leader {
		c.endLeadership()
	}
	if c.role != Follower {
		c.resetDeadline(now)
	}
	if term != c.term {
		c.term, c.vote = term, ""
		c.stateDirty = true
	}
	c.role, c.leader = Follower, leader
	c.transferVote = false
}

// preCampaign starts a pre-vote: it asks the voters whether they would grant a
// vote, without incrementing the term.
func (c *Core) preCampaign(now time.Time) {
	c.resetDeadline(now)
	c.leader = ""
	if !c.canCampaign() {
		c.role = Follower
		return
	}
	c.role = PreCandidate
	c.votes = map[ID]bool{c.cfg.ID: true}
	if c.hasElectionQuorum() {
		c.campaign(now, false)
		return
	}
	c.requestVotes(Message{Kind: MsgPreVote, Term: c.term + 1})
}

// campaign increments the term and starts an election.
func (c *Core) campaign(now time.Time, transfer bool) {
	c.resetDeadline(now)
	c.role, c.leader = Candidate, ""
	c.term++
	c.vote = c.cfg.ID
	c.stateDirty = true
	c.transferVote = transfer
	c.votes = map[ID]bool{c.cfg.ID: true}
	c.instances = map[ID]string{c.cfg.ID: c.cfg.Instance}
	if c.hasElectionQuorum() {
		c.becomeLeader(now)
		return
	}
	c.requestVotes(Message{Kind: MsgVote, Term: c.term, Transfer: transfer})
}

// requestVotes sends the request to all other voters.
func (c *Core) requestVotes(m Message) {
	last := c.log.last()
	m.Index, m.LogTerm = last.Index, last.Term
	for _, x := range c.members.Members {
		if x.Voter && x.ID != c.cfg.ID {
			m.To = x.ID
			c.send(m)
		}
	}
}

// hasElectionQuorum reports whether enough voters have granted the vote or pre-vote.
//
// Until the instances of all voters are recorded, which the first leader does, every voter
// must grant its vote. With a quorum alone, a member that lost its data folder after the
// first election could bootstrap the group a second time, together with a member that did
// not take part in the first one. A voter that is lost does not act under its id any more,
// so a quorum that has the votes of all others is enough without it.
func (c *Core) hasElectionQuorum() bool {
	granted, recorded := 0, true
	for _, x := range c.members.Members {
		recorded = recorded && (!x.Voter || x.Instance != "")
	}
	for _, x := range c.members.Members {
		switch {
		case !x.Voter:
		case c.votes[x.ID]:
			granted++
		case !recorded && !c.lost[x.ID]:
			return false
		}
	}
	return granted >= c.quorum()
}

// InitialVoterLost records, until the next start, that an initial voter has lost its data
// folder before its instance was recorded and does not act under its id again: its host
// joins under another id.
func (c *Core) InitialVoterLost(id ID) {
	if x, ok := c.members.Get(id); ok && x.Voter && x.Instance == "" && id != c.cfg.ID {
		c.lost[id] = true
	}
}

func (c *Core) quorum() int { return c.members.VoterCount()/2 + 1 }

func (c *Core) handlePreVote(now time.Time, m Message) {
	grant := m.Term > c.term && !c.mustNotVote(now) && c.log.upToDate(Position{m.Index, m.LogTerm})
	reply := Message{Kind: MsgPreVoteReply, To: m.From, Reject: !grant, Term: c.term}
	if grant {
		reply.Term = m.Term
	}
	c.send(reply)
}

func (c *Core) handlePreVoteReply(now time.Time, m Message) {
	if c.role != PreCandidate || m.Reject || m.Term != c.term+1 {
		return
	}
	c.votes[m.From] = true
	if c.hasElectionQuorum() {
		c.campaign(now, false)
	}
}

// handleVote handles a vote request of this replica's term. A learner votes too:
// candidates send requests only to voters, so the learner was promoted by an entry
// that it has not received yet.
func (c *Core) handleVote(now time.Time, m Message) {
	if !m.Transfer && c.mustNotVote(now) {
		return
	}
	free := c.vote == m.From || c.vote == "" && c.leader == ""
	grant := free && c.role == Follower && c.log.upToDate(Position{m.Index, m.LogTerm})
	if grant {
		c.vote = m.From
		c.stateDirty = true
		c.resetDeadline(now)
	}
	c.send(Message{Kind: MsgVoteReply, To: m.From, Reject: !grant})
}

func (c *Core) handleVoteReply(now time.Time, m Message) error {
	if c.role != Candidate || m.Reject {
		return nil
	}
	c.votes[m.From] = true
	c.instances[m.From] = m.FromInstance
	if c.hasElectionQuorum() {
		return c.becomeLeader(now)
	}
	return nil
}

// handleTimeoutNow starts an election immediately, at the leader's request.
func (c *Core) handleTimeoutNow(now time.Time, m Message) {
	if c.role != Follower || c.leader != m.From || !c.members.IsVoter(c.cfg.ID) {
		return
	}
	c.campaign(now, true)
}

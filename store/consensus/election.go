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
func (c *Core) hasElectionQuorum() bool {
	n := 0
	for id, granted := range c.votes {
		if granted && c.members.IsVoter(id) {
			n++
		}
	}
	return n >= c.electionQuorum()
}

// electionQuorum returns the number of votes needed to become leader. Until the
// instances of all voters are recorded, which the first leader does, all voters
// must grant their vote. With a smaller quorum, a member that lost its data
// folder after the first election could bootstrap the group a second time,
// together with a member that did not take part in the first one.
func (c *Core) electionQuorum() int {
	for _, x := range c.members.Members {
		if x.Voter && x.Instance == "" {
			return c.members.VoterCount()
		}
	}
	return c.quorum()
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

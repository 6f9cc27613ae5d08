package consensus

import "time"

// Step handles a received message. An error means that the replica must stop,
// because its state is inconsistent with that of the group.
func (c *Core) Step(now time.Time, m Message) error {
	if m.To != c.cfg.ID {
		return nil
	}
	if m.ToInstance != "" && m.ToInstance != c.cfg.Instance {
		return ErrInstanceMismatch
	}
	if from, ok := c.members.Get(m.From); ok && from.Instance != "" && from.Instance != m.FromInstance {
		return nil // the sender uses another data folder than the recorded one
	}
	if m.Term < c.term {
		c.rejectStaleTerm(m)
		return nil
	}
	if m.Term > c.term && !c.handleNewerTerm(now, m) {
		return nil
	}
	return c.dispatch(now, m)
}

// rejectStaleTerm rejects a request of an older term. The reply carries the current
// term.
func (c *Core) rejectStaleTerm(m Message) {
	switch m.Kind {
	case MsgAppend, MsgSnapshot:
		c.send(Message{Kind: MsgAppendReply, To: m.From, Reject: true})
	case MsgPreVote:
		c.send(Message{Kind: MsgPreVoteReply, To: m.From, Reject: true})
	case MsgVote:
		c.send(Message{Kind: MsgVoteReply, To: m.From, Reject: true})
	}
}

// handleNewerTerm handles a message with a higher term, and becomes a follower in
// that term where the message requires it. It reports whether to process the
// message further.
func (c *Core) handleNewerTerm(now time.Time, m Message) bool {
	switch m.Kind {
	case MsgPreVote:
		return true
	case MsgPreVoteReply:
		if !m.Reject {
			return true // a granted pre-vote returns the requested term
		}
	case MsgVote:
		if !m.Transfer && c.mustNotVote(now) {
			return false
		}
	case MsgTimeoutNow:
		return false
	}
	c.becomeFollower(now, m.Term, "")
	return true
}

func (c *Core) dispatch(now time.Time, m Message) error {
	switch m.Kind {
	case MsgPreVote:
		c.handlePreVote(now, m)
	case MsgPreVoteReply:
		c.handlePreVoteReply(now, m)
	case MsgVote:
		c.handleVote(now, m)
	case MsgVoteReply:
		return c.handleVoteReply(now, m)
	case MsgAppend:
		return c.handleAppend(now, m)
	case MsgAppendReply:
		c.handleAppendReply(now, m)
	case MsgSnapshot:
		return c.handleSnapshot(now, m)
	case MsgSnapshotReply:
		c.handleSnapshotReply(now, m)
	case MsgTimeoutNow:
		c.handleTimeoutNow(now, m)
	}
	return nil
}

package consensus

import "time"

// incomingSnapshot is the progress of a snapshot that is being received.
type incomingSnapshot struct {
	from ID
	last Position
	// next is the offset of the next expected chunk.
	next int64
	// installing is set once all chunks were received. Appends and chunks from
	// the leader are ignored until the caller reports the result.
	installing bool
}

// followLeader records a message from the leader of the current term.
func (c *Core) followLeader(now time.Time, leader ID) {
	if c.role != Follower || c.leader != leader {
		c.becomeFollower(now, c.term, leader)
	}
	c.lastLeaderContact = now
	c.resetDeadline(now)
}

func (c *Core) handleAppend(now time.Time, m Message) error {
	if c.role == Leader {
		return nil // a term has one leader, so the message is not valid
	}
	for i, e := range m.Entries {
		if e.Index != m.Index+1+uint64(i) {
			return nil // malformed
		}
	}
	c.followLeader(now, m.From)
	if c.incomingSnapshot != nil && c.incomingSnapshot.installing {
		return nil
	}
	reply := Message{Kind: MsgAppendReply, To: m.From, Sent: m.Sent}
	if m.Index < c.commit {
		reply.Index = c.commit
		c.send(reply)
		return nil
	}
	if t, ok := c.log.term(m.Index); !ok || t != m.LogTerm {
		reply.Reject, reply.Index, reply.Hint = true, m.Index, c.matchHint(m)
		c.send(reply)
		return nil
	}
	if err := c.appendMissing(m.Entries); err != nil {
		return err
	}
	reply.Index = m.Index + uint64(len(m.Entries))
	c.commit = max(c.commit, min(m.Commit, reply.Index))
	c.send(reply)
	return nil
}

// matchHint returns the last index at which this log may agree with the
// leader's: the last entry before m.Index whose term is at most m.LogTerm.
func (c *Core) matchHint(m Message) uint64 {
	i := min(m.Index-1, c.log.last().Index)
	for i > c.log.base.Index {
		if t, _ := c.log.term(i); t <= m.LogTerm {
			break
		}
		i--
	}
	return i
}

// appendMissing appends the entries that the log lacks and replaces those that
// conflict. If all entries are already present, the log is not truncated after
// them.
func (c *Core) appendMissing(es []Entry) error {
	for i, e := range es {
		t, ok := c.log.term(e.Index)
		if ok && t == e.Term {
			continue
		}
		if ok {
			if err := c.truncateFrom(e.Index); err != nil {
				return err
			}
		}
		return c.append(es[i:]...)
	}
	return nil
}

func (c *Core) handleSnapshot(now time.Time, m Message) error {
	if c.role == Leader {
		return nil
	}
	c.followLeader(now, m.From)
	if c.incomingSnapshot != nil && c.incomingSnapshot.installing {
		return nil
	}
	last := Position{m.Index, m.LogTerm}
	reply := Message{Kind: MsgSnapshotReply, To: m.From, Sent: m.Sent, Index: m.Index}
	if t, ok := c.log.term(last.Index); last.Index <= c.commit || ok && t == last.Term {
		c.commit = max(c.commit, last.Index)
		c.incomingSnapshot = nil
		reply.Done = true
		c.send(reply)
		return nil
	}
	c.receiveChunk(m, last, &reply)
	c.send(reply)
	return nil
}

func (c *Core) receiveChunk(m Message, last Position, reply *Message) {
	in := c.incomingSnapshot
	if in == nil || in.from != m.From || in.last != last {
		if m.Offset != 0 {
			reply.Reject = true
			return
		}
		in = &incomingSnapshot{from: m.From, last: last}
		c.incomingSnapshot = in
	}
	reply.Offset = in.next
	if m.Offset != in.next {
		return // a duplicate, or an earlier chunk was lost
	}
	in.next += int64(len(m.Data))
	in.installing = m.Done
	reply.Offset = in.next
	c.effects.Chunks = append(c.effects.Chunks, Chunk{From: m.From, Last: last, Offset: m.Offset, Data: m.Data, Done: m.Done})
}

// SnapshotInstalled records that the received snapshot is synced and that the
// log on disk was replaced by an empty one that starts after it.
func (c *Core) SnapshotInstalled(meta SnapshotMeta) {
	in := c.incomingSnapshot
	c.incomingSnapshot = nil
	c.snap = meta
	c.log = raftLog{base: meta.Last}
	c.commit, c.handedOut, c.stable = meta.Last.Index, meta.Last.Index, meta.Last.Index
	c.unpersistedFrom = 0
	c.members, c.configIndex = meta.Membership, meta.Last.Index
	c.recordMembership(meta.Membership, meta.Last.Index)
	if in != nil && c.role == Follower && c.leader == in.from {
		c.send(Message{Kind: MsgSnapshotReply, To: in.from, Index: meta.Last.Index, Done: true})
	}
}

// SnapshotFailed records that the received snapshot is damaged or is not the
// announced one, and asks the leader to start the transfer again.
func (c *Core) SnapshotFailed() {
	in := c.incomingSnapshot
	c.incomingSnapshot = nil
	if in != nil {
		c.send(Message{Kind: MsgSnapshotReply, To: in.from, Index: in.last.Index, Reject: true})
	}
}

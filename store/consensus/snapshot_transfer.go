package consensus

import "time"

// startSnapshot starts to send the latest snapshot to a peer that needs entries
// which are already compacted.
func (c *Core) startSnapshot(now time.Time, id ID, p *progress) {
	p.state, p.snap, p.offset, p.inflight = stateSnapshot, c.snap, 0, nil
	c.sendChunk(now, id, p)
}

// sendChunk queues a message for the snapshot chunk at the current offset. The
// caller fills in Data and Done from the file before it sends the message.
func (c *Core) sendChunk(now time.Time, id ID, p *progress) {
	p.chunkSentAt = now
	c.send(Message{
		Kind: MsgSnapshot, To: id, Index: p.snap.Last.Index, LogTerm: p.snap.Last.Term,
		Offset: p.offset, Sent: c.nextStamp(now),
	})
}

func (c *Core) handleSnapshotReply(now time.Time, m Message) {
	p := c.replyProgress(m)
	if p == nil {
		return
	}
	p.contact = max(p.contact, m.Sent)
	if p.state == stateSnapshot && m.Index == p.snap.Last.Index {
		c.advanceSnapshot(now, m, p)
	}
	c.confirmReads(now)
}

func (c *Core) advanceSnapshot(now time.Time, m Message, p *progress) {
	switch {
	case m.Done:
		p.match = max(p.match, m.Index)
		p.becomeReplicate()
		c.maybeCommit(now)
		if c.role == Leader {
			c.sendEntries(now, m.From, p)
		}
	case m.Reject:
		c.startSnapshot(now, m.From, p)
	case m.Offset > p.offset:
		p.offset = m.Offset
		c.sendChunk(now, m.From, p)
	}
}

// SnapshotMissing reports that the snapshot being sent to a replica can no longer
// be read. The transfer restarts with the latest snapshot if that is another one.
func (c *Core) SnapshotMissing(now time.Time, to ID, index uint64) {
	p := c.progressOf(to)
	if c.role != Leader || p == nil || p.state != stateSnapshot || p.snap.Last.Index != index {
		return
	}
	if c.snap.Last.Index != index {
		c.startSnapshot(now, to, p)
	}
}

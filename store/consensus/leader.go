package consensus

import (
	"slices"
	"time"
)

// leaderState is the leader's volatile state. It is valid while the role is
// Leader.
type leaderState struct {
	// peers holds the progress of all members except this replica.
	peers map[ID]*progress
	// termStart is the index of the first entry of the leader's term.
	termStart     uint64
	electedAt     time.Time
	nextHeartbeat time.Time
	reads         []pendingRead
	transfer      *transfer
	removedPeers  []removedPeer
}

// pendingRead is a read that a quorum has not confirmed yet.
type pendingRead struct {
	id uint64
	// after is a stamp taken when the read arrived. A quorum must answer
	// messages sent later than it.
	after int64
}

func (c *Core) becomeLeader(now time.Time) error {
	c.role, c.leader = Leader, c.cfg.ID
	first := c.log.last().Index + 1
	c.lead = leaderState{peers: map[ID]*progress{}, termStart: first, electedAt: now, nextHeartbeat: now}
	for _, x := range c.members.Members {
		c.addPeer(x.ID, first)
	}
	e := Entry{Index: first, Term: c.term, Kind: EntryEmpty}
	if m, changed := c.recordInstances(c.instances); changed {
		e.Kind, e.Data = EntryConfig, m.Encode()
	}
	if err := c.append(e); err != nil {
		return err
	}
	c.sendHeartbeats(now)
	return nil
}

func (c *Core) addPeer(id ID, next uint64) {
	if id != c.cfg.ID && c.lead.peers[id] == nil {
		c.lead.peers[id] = &progress{next: next}
	}
}

// lostInstance is recorded for an initial voter that was lost before the first election.
// No data folder has it.
const lostInstance = "lost"

// recordInstances returns the membership with the instances of the initial
// voters, all of which voted in the first election or are lost, and reports whether it
// differs from the current one. Once they are recorded, a replica that lost its
// data folder can no longer act under its old id.
func (c *Core) recordInstances(found map[ID]string) (Membership, bool) {
	m, changed := c.members, false
	for _, x := range c.members.Members {
		inst := found[x.ID]
		if inst == "" && c.lost[x.ID] {
			inst = lostInstance
		}
		if x.Voter && x.Instance == "" && inst != "" {
			x.Instance = inst
			m, changed = m.With(x), true
		}
	}
	return m, changed
}

// endLeadership fails the pending reads and clears the leader's state.
func (c *Core) endLeadership() {
	for _, r := range c.lead.reads {
		c.effects.Reads = append(c.effects.Reads, ReadState{ID: r.id})
	}
	c.lead = leaderState{}
}

func (c *Core) stepDown(now time.Time) { c.becomeFollower(now, c.term, "") }

func (c *Core) tickLeader(now time.Time) {
	contact := max(c.quorumContact(now), int64(c.lead.electedAt.Sub(c.startTime)))
	if c.sinceStamp(now, contact) > c.cfg.ElectionTimeoutMax {
		c.stepDown(now)
		return
	}
	c.advanceTransfer(now)
	if c.role == Leader && !now.Before(c.lead.nextHeartbeat) {
		c.sendHeartbeats(now)
	}
}

// sinceStamp returns the time that has passed since the stamp.
func (c *Core) sinceStamp(now time.Time, stamp int64) time.Duration {
	return now.Sub(c.startTime) - time.Duration(stamp)
}

// sendHeartbeats sends pending entries, or else a heartbeat, to every peer. It
// also sends a snapshot chunk again that got no answer within
// ElectionTimeoutMin.
func (c *Core) sendHeartbeats(now time.Time) {
	c.lead.nextHeartbeat = now.Add(c.cfg.Heartbeat)
	for _, x := range c.members.Members {
		p := c.lead.peers[x.ID]
		if p == nil {
			continue
		}
		p.waiting = false
		if !c.sendEntries(now, x.ID, p) {
			c.sendHeartbeat(now, x.ID, p)
		}
		if p.state == stateSnapshot && now.Sub(p.chunkSentAt) > c.cfg.ElectionTimeoutMin {
			c.sendChunk(now, x.ID, p)
		}
	}
	c.sendHeartbeatsToRemoved(now)
}

func (c *Core) sendHeartbeat(now time.Time, id ID, p *progress) {
	m := Message{Kind: MsgAppend, To: id, Sent: c.nextStamp(now), Commit: c.commit}
	if t, ok := c.log.term(p.next - 1); ok && p.state != stateSnapshot {
		m.Index, m.LogTerm = p.next-1, t
	}
	c.send(m)
}

// sendEntries sends new entries as far as flow control permits, or starts to
// send a snapshot if the next entry is compacted. It reports whether it sent
// entries.
func (c *Core) sendEntries(now time.Time, id ID, p *progress) bool {
	sent := false
	for p.next <= c.log.last().Index && p.state != stateSnapshot {
		t, ok := c.log.term(p.next - 1)
		// The entry before next is compacted. A snapshot is needed even while
		// appends are unacknowledged: they may be lost, and their entries can
		// no longer be sent again.
		if !ok {
			c.startSnapshot(now, id, p)
			break
		}
		if p.waiting || len(p.inflight) >= c.cfg.MaxInflight {
			break
		}
		es := c.log.entriesBetween(p.next, c.log.last().Index, c.cfg.MaxBatchBytes)
		c.send(Message{
			Kind: MsgAppend, To: id, Index: p.next - 1, LogTerm: t,
			Entries: es, Commit: c.commit, Sent: c.nextStamp(now),
		})
		sent = true
		last := es[len(es)-1].Index
		if p.state == stateProbe {
			p.waiting = true
			break
		}
		p.inflight = append(p.inflight, last)
		p.next = last + 1
	}
	return sent
}

// replicateAll sends new entries to all peers.
func (c *Core) replicateAll(now time.Time) {
	for _, x := range c.members.Members {
		if p := c.lead.peers[x.ID]; p != nil {
			c.sendEntries(now, x.ID, p)
		}
	}
}

func (c *Core) handleAppendReply(now time.Time, m Message) {
	p := c.replyProgress(m)
	if p == nil {
		return
	}
	p.contact = max(p.contact, m.Sent)
	if m.Reject {
		c.handleReject(m, p)
	} else {
		c.handleMatch(m, p)
		c.maybeCommit(now)
	}
	if c.role != Leader {
		return
	}
	c.sendEntries(now, m.From, p)
	c.confirmReads(now)
	c.advanceTransfer(now)
}

// replyProgress returns the progress of the sender of a reply; nil if the reply is
// outdated or from an unknown replica. The progress of a learner that returns
// with another data folder is reset.
func (c *Core) replyProgress(m Message) *progress {
	if c.role != Leader || m.Term != c.term {
		return nil
	}
	p := c.progressOf(m.From)
	if p == nil {
		return nil
	}
	if p.instance != m.FromInstance && p.instance != "" {
		*p = progress{next: c.log.last().Index + 1}
	}
	p.instance = m.FromInstance
	return p
}

// handleReject moves p.next back to where the logs may agree, unless the rejection
// is outdated.
func (c *Core) handleReject(m Message, p *progress) {
	if p.state == stateSnapshot || m.Index <= p.match {
		return // the reply to an older append
	}
	if p.state == stateProbe && m.Index != p.next-1 {
		return
	}
	p.becomeProbe(max(min(m.Hint, m.Index-1), p.match) + 1)
}

func (c *Core) handleMatch(m Message, p *progress) {
	p.match = max(p.match, m.Index)
	p.releaseInflight(m.Index)
	switch {
	case p.state == stateSnapshot:
		if _, ok := c.log.term(p.match); ok {
			p.becomeReplicate()
		}
	case p.state == stateProbe:
		p.becomeReplicate()
	case p.next <= p.match:
		p.next = p.match + 1
	}
}

// maybeCommit advances the commit index to the last entry that a quorum has
// synced, if that entry is of the current term.
func (c *Core) maybeCommit(now time.Time) {
	var matches []uint64
	for _, x := range c.members.Members {
		switch {
		case !x.Voter:
		case x.ID == c.cfg.ID:
			matches = append(matches, c.stable)
		default:
			matches = append(matches, c.lead.peers[x.ID].match)
		}
	}
	slices.Sort(matches)
	n := matches[len(matches)-c.quorum()]
	if t, ok := c.log.term(n); n <= c.commit || !ok || t != c.term {
		return
	}
	c.commit = n
	c.confirmReads(now)
	if _, member := c.members.Get(c.cfg.ID); !member && c.commit >= c.configIndex {
		c.sendHeartbeats(now) // announces the new commit index before leadership ends
		c.stepDown(now)
	}
}

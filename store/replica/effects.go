package replica

import (
	"time"

	"github.com/cockroachdb/errors"

	"gooseberrypond/store/consensus"
	"gooseberrypond/store/snapshot"
	"gooseberrypond/store/wal"
)

// processEffects processes the effects of the core until there are none left.
func (r *Replica) processEffects(now time.Time) error {
	for {
		r.publishStatus(now)
		e := r.core.TakeEffects()
		if e.Empty() {
			return nil
		}
		r.send(now, e.Early)
		if e.State != nil {
			if err := r.persist(&e); err != nil {
				return err
			}
		}
		for _, ch := range e.Chunks {
			if err := r.receiveChunk(ch); err != nil {
				return err
			}
		}
		r.send(now, e.Messages)
		if len(e.Committed) > 0 {
			r.apply.enqueue(applyItem{entries: e.Committed})
		}
		r.finishReads(e.Reads)
	}
}

func (r *Replica) persist(e *consensus.Effects) error {
	start := r.cfg.Now()
	if err := r.retryWhileFull("save to the log", func() error { return r.save(e) }); err != nil {
		return err
	}
	now := r.cfg.Now()
	r.recordSync(start, now)
	if n := len(e.Entries); n > 0 {
		last := e.Entries[n-1]
		r.core.Persisted(now, consensus.Position{Index: last.Index, Term: last.Term})
	}
	return nil
}

// save writes the state and the entries of the effects to the log.
func (r *Replica) save(e *consensus.Effects) error {
	if r.log.MustRewrite() {
		state, base, entries := r.core.Log() // these include the effects
		return r.log.Rewrite(wal.Contents{State: state, Base: base, Entries: entries})
	}
	return r.log.Save(e.State, e.Entries)
}

// send sends messages grouped by receiver and reads the data of snapshot chunks.
func (r *Replica) send(now time.Time, ms []consensus.Message) {
	if len(ms) == 0 {
		return
	}
	byPeer := map[consensus.ID][]consensus.Message{}
	for _, m := range ms {
		if m.Kind == consensus.MsgSnapshot && !r.readChunk(now, &m) {
			continue
		}
		byPeer[m.To] = append(byPeer[m.To], m)
	}
	members := r.core.Members()
	for id, ms := range byPeer {
		// The address of the last message from the replica is preferred to that in
		// the membership, which is not updated after the replica is added.
		address := r.in.senderAddresses[id]
		if x, ok := members.Get(id); ok && address == "" {
			address = x.Address
		}
		r.net.Send(id, address, ms)
	}
}

func (r *Replica) readChunk(now time.Time, m *consensus.Message) bool {
	var err error
	m.Data, m.Done, err = r.snaps.Chunk(consensus.Position{Index: m.Index, Term: m.LogTerm}, m.Offset, chunkBytes)
	if err != nil {
		r.cfg.Logger.Warn().Err(err).Str("peer", m.To).Msg("cannot read the snapshot being sent; restarting the transfer with the latest snapshot")
		r.core.SnapshotMissing(now, m.To, m.Index)
		return false
	}
	return true
}

func (r *Replica) receiveChunk(ch consensus.Chunk) error {
	err := r.retryWhileFull("receive a snapshot", func() error { return r.snaps.Receive(ch.Offset, ch.Data) })
	if err == nil && ch.Done {
		err = r.installSnapshot(ch)
	}
	if errors.Is(err, snapshot.ErrDamaged) {
		r.cfg.Logger.Error().Err(err).Str("peer", ch.From).Msg("discarded a received snapshot that is damaged or could not be written")
		r.core.SnapshotFailed()
		return nil
	}
	return err
}

// installSnapshot makes a completely received snapshot the replica's state.
func (r *Replica) installSnapshot(ch consensus.Chunk) error {
	meta, data, err := r.snaps.Install(ch.Last)
	if err != nil {
		return err
	}
	state, _, _ := r.core.Log()
	state.Commit = meta.Last.Index
	err = r.retryWhileFull("restart the log after a snapshot", func() error {
		return r.log.Rewrite(wal.Contents{State: state, Base: meta.Last})
	})
	if err != nil {
		return err
	}
	r.core.SnapshotInstalled(meta)
	r.counters.snapshotsInstalled.Add(1)
	r.counters.snapshotBytes.Store(int64(len(data)))
	r.apply.enqueue(applyItem{restore: &restore{meta: meta, data: data}})
	r.cfg.Logger.Info().Str("peer", ch.From).Uint64("index", meta.Last.Index).Int("bytes", len(data)).
		Msg("installed snapshot from leader")
	return nil
}

// compact records a snapshot that was written to disk and drops the log entries
// covered by the previous snapshot. The entries between the two snapshots are
// kept for replicas that are slightly behind, and in case the newest snapshot is
// damaged. It returns the new log segment, which the caller writes.
func (r *Replica) compact(meta consensus.SnapshotMeta) (*wal.PendingSegment, error) {
	previous := r.core.Status().Snapshot
	if err := r.core.Compact(meta, previous); err != nil {
		return nil, err
	}
	state, base, entries := r.core.Log()
	return r.log.Prepare(wal.Contents{State: state, Base: base, Entries: entries}), nil
}

// switchSegment makes the new segment, once written, the current one.
func (r *Replica) switchSegment(p *wal.PendingSegment) error {
	state, _, entries := r.core.Log()
	err := r.log.Switch(p, state, entries)
	if errors.Is(err, wal.ErrFull) {
		r.apply.snapshotFailed(err)
		return nil
	}
	return err
}

// publishStatus makes the status and the lease visible to other goroutines, before
// any message that depends on them is sent. If the leader or the term has changed,
// it sends a LeaderChange. If leadership was lost, it fails uncommitted proposals.
func (r *Replica) publishStatus(now time.Time) {
	s := r.core.Status()
	if old := r.status.Swap(&s); s.Removed && (old == nil || !old.Removed) {
		r.cfg.Logger.Warn().Str("replica", r.cfg.ID).Msg("replica was removed from the group")
	}
	r.lease.Store(&lease{until: r.core.LeaseUntil(now), term: s.Term, termStart: s.TermStart})
	leading := s.Role == consensus.Leader
	if r.ledTerm != 0 && (!leading || s.Term != r.ledTerm) {
		r.pendingProposals.failAbove(s.Commit, errors.Wrap(ErrUnknownOutcome, "leadership ended"))
	}
	r.ledTerm = 0
	if leading {
		r.ledTerm = s.Term
	}
	if leading && !(r.lastChange.Leading && r.lastChange.Term == s.Term) {
		r.counters.elections.Add(1)
	}
	ch := LeaderChange{LeaderID: s.Leader, Term: s.Term, Leading: leading, ElectedAt: s.ElectedAt}
	if ch != r.lastChange {
		r.lastChange = ch
		r.sendLeaderChange(ch)
	}
}

// sendLeaderChange sends the change, replacing one that was not yet received.
func (r *Replica) sendLeaderChange(ch LeaderChange) {
	r.cfg.Logger.Info().Str("replica", r.cfg.ID).Str("leader", ch.LeaderID).Uint64("term", ch.Term).
		Msg("leader changed")
	select {
	case <-r.leaderChanges:
	default:
	}
	r.leaderChanges <- ch
}

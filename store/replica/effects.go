package replica

import (
	"time"

	"github.com/cockroachdb/errors"

	"gooseberrypond/store/consensus"
	"gooseberrypond/store/snapshot"
	"gooseberrypond/store/wal"
)

// carryOut carries out the core's effects until there are none.
func (r *Replica) carryOut(now time.Time) error {
	for {
		r.publish(now)
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
			r.apply.push(applyItem{entries: e.Committed})
		}
		r.finishReads(e.Reads)
	}
}

func (r *Replica) persist(e *consensus.Effects) error {
	start := r.cfg.Now()
	if err := r.log.Save(e.State, e.Entries); err != nil {
		return err
	}
	now := r.cfg.Now()
	r.synced(start, now)
	if n := len(e.Entries); n > 0 {
		last := e.Entries[n-1]
		r.core.Persisted(now, consensus.Position{Index: last.Index, Term: last.Term})
	}
	return nil
}

// send groups messages by receiver and fills in snapshot data.
func (r *Replica) send(now time.Time, ms []consensus.Message) {
	if len(ms) == 0 {
		return
	}
	byPeer := map[consensus.ID][]consensus.Message{}
	for _, m := range ms {
		if m.Kind == consensus.MsgSnapshot && !r.fillChunk(now, &m) {
			continue
		}
		byPeer[m.To] = append(byPeer[m.To], m)
	}
	members := r.core.Members()
	for id, ms := range byPeer {
		// Where a replica was last heard from counts more than the address in
		// the membership, which is that of the day it was added.
		address := r.in.learned[id]
		if x, ok := members.Get(id); ok && address == "" {
			address = x.Address
		}
		r.net.Send(id, address, ms)
	}
}

func (r *Replica) fillChunk(now time.Time, m *consensus.Message) bool {
	var err error
	m.Data, m.Done, err = r.snaps.Chunk(consensus.Position{Index: m.Index, Term: m.LogTerm}, m.Offset, chunkBytes)
	if err != nil {
		r.cfg.Logger.Warn().Err(err).Str("peer", m.To).Msg("cannot read snapshot to send; starting again with the latest")
		r.core.SnapshotMissing(now, m.To, m.Index)
		return false
	}
	return true
}

func (r *Replica) receiveChunk(ch consensus.Chunk) error {
	if err := r.snaps.Receive(ch.Offset, ch.Data); err != nil {
		return err
	}
	if !ch.Done {
		return nil
	}
	meta, data, err := r.snaps.Install(ch.Last)
	if errors.Is(err, snapshot.ErrDamaged) {
		r.cfg.Logger.Error().Err(err).Str("peer", ch.From).Msg("received snapshot is refused")
		r.core.SnapshotFailed()
		return nil
	}
	if err != nil {
		return err
	}
	state, _, _ := r.core.Log()
	state.Commit = meta.Last.Index
	if err := r.log.Rewrite(wal.Contents{State: state, Base: meta.Last}); err != nil {
		return err
	}
	r.core.SnapshotInstalled(meta)
	r.counters.installed.Add(1)
	r.counters.snapshotBytes.Store(int64(len(data)))
	r.apply.push(applyItem{restore: &restore{meta: meta, data: data}})
	r.cfg.Logger.Info().Str("peer", ch.From).Uint64("index", meta.Last.Index).Int("bytes", len(data)).
		Msg("installed snapshot from leader")
	return nil
}

// compact records a snapshot that is on disk and drops the log entries that
// the previous one contains. Those between the two are kept for replicas that
// are a little behind, and in case the newest snapshot is damaged. It returns
// the new segment to be written.
func (r *Replica) compact(meta consensus.SnapshotMeta) (*wal.PendingSegment, error) {
	base := r.core.Status().Snapshot
	if err := r.core.Compact(meta, base); err != nil {
		return nil, err
	}
	state, marker, entries := r.core.Log()
	return r.log.Prepare(wal.Contents{State: state, Base: marker, Entries: entries}), nil
}

// switchLog puts the new segment to use.
func (r *Replica) switchLog(p *wal.PendingSegment) error {
	state, _, entries := r.core.Log()
	return r.log.Switch(p, state, entries)
}

// publish makes the status visible to other goroutines, before any message
// that depends on it is sent, and tells of a change of leader.
func (r *Replica) publish(now time.Time) {
	s := r.core.Status()
	if old := r.status.Swap(&s); s.Removed && (old == nil || !old.Removed) {
		r.cfg.Logger.Warn().Str("replica", r.cfg.ID).Msg("replica is no longer a member")
	}
	r.lease.Store(&lease{until: r.core.LeaseUntil(now), term: s.Term, termStart: s.TermStart})
	leading := s.Role == consensus.Leader
	if r.led != 0 && (!leading || s.Term != r.led) {
		r.waiters.failAbove(s.Commit, errors.Wrap(ErrLost, "leadership ended"))
	}
	r.led = 0
	if leading {
		r.led = s.Term
	}
	if leading && !(r.leader.Leading && r.leader.Term == s.Term) {
		r.counters.elections.Add(1)
	}
	ch := LeaderChange{LeaderID: s.Leader, Term: s.Term, Leading: leading, ElectedAt: s.ElectedAt}
	if ch != r.leader {
		r.leader = ch
		r.announce(ch)
	}
}

// announce puts the change in the channel in place of one not yet received.
func (r *Replica) announce(ch LeaderChange) {
	r.cfg.Logger.Info().Str("replica", r.cfg.ID).Str("leader", ch.LeaderID).Uint64("term", ch.Term).
		Msg("leader changed")
	select {
	case <-r.changes:
	default:
	}
	r.changes <- ch
}

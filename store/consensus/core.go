package consensus

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
)

// Core is the consensus state machine of one replica. It is not safe for
// concurrent use.
type Core struct {
	cfg Config
	// startTime is when this replica started. The stamps that nextStamp returns
	// are relative to it.
	startTime time.Time
	// lastStamp is the last value returned by nextStamp.
	lastStamp int64
	rng       *rand.Rand

	term   uint64
	vote   ID
	commit uint64
	// handedOut is the index of the last committed entry returned to the caller.
	handedOut uint64
	log       raftLog
	snap      SnapshotMeta

	// members is the latest membership in the log, committed or not, and
	// configIndex the index of its entry.
	members     Membership
	configIndex uint64
	// memberAt is the index of the latest membership that this replica has seen and
	// that includes it; 0 if there is none.
	memberAt uint64

	role   Role
	leader ID
	// lastLeaderContact is when this replica last heard from a leader, or
	// started. This replica grants no vote for ElectionTimeoutMin afterwards,
	// except for a leadership transfer: the leader may hold a lease that this
	// replica acknowledged, perhaps before a restart.
	lastLeaderContact time.Time
	// electionDeadline is when the election timeout expires.
	electionDeadline time.Time
	votes            map[ID]bool
	// instances holds the instances that voters reported with their votes.
	instances map[ID]string
	// lost has the initial voters that InitialVoterLost was told of.
	lost map[ID]bool
	// transferVote is set while this replica campaigns for a leadership transfer.
	transferVote bool

	lead             leaderState
	incomingSnapshot *incomingSnapshot

	// effects collects the effects since the last TakeEffects.
	effects Effects
	// stateDirty is set if the term or vote changed since the last TakeEffects.
	stateDirty bool
	// unpersistedFrom is the first index whose entry TakeEffects has not yet returned
	// for persisting; 0 if there is none.
	unpersistedFrom uint64
	// stable is the index of the last entry known to be synced.
	stable uint64
}

// New returns a Core that starts at time now from the state on disk.
func New(now time.Time, cfg Config, persisted PersistedState) (*Core, error) {
	c := &Core{
		cfg: cfg, startTime: now, lastLeaderContact: now, lost: map[ID]bool{},
		rng:  rand.New(rand.NewPCG(cfg.Seed, 0x9e3779b97f4a7c15)),
		term: persisted.State.Term, vote: persisted.State.Vote,
		commit:    max(persisted.State.Commit, persisted.Snapshot.Last.Index),
		handedOut: persisted.Snapshot.Last.Index,
		snap:      persisted.Snapshot,
		log:       raftLog{base: persisted.Base, entries: persisted.Entries},
	}
	if err := c.validatePersisted(persisted); err != nil {
		return nil, err
	}
	c.stable = c.log.last().Index
	if err := c.reloadMembers(); err != nil {
		return nil, err
	}
	if err := c.recordPersistedMemberships(); err != nil {
		return nil, err
	}
	c.resetDeadline(now)
	return c, nil
}

func (c *Core) validatePersisted(persisted PersistedState) error {
	for i, e := range persisted.Entries {
		if want := persisted.Base.Index + 1 + uint64(i); e.Index != want {
			return errors.Newf("persisted entry has index %d, want %d", e.Index, want)
		}
	}
	if s := c.snap.Last; s.Index < c.log.base.Index || s.Index > c.log.last().Index {
		return errors.Newf("snapshot at %d is outside the log, whose base is %d and last entry %d",
			s.Index, c.log.base.Index, c.log.last().Index)
	}
	if c.commit > c.log.last().Index {
		return errors.Newf("commit index %d is past the last entry %d", c.commit, c.log.last().Index)
	}
	return nil
}

// reloadMembers sets members to the latest membership in the log or the snapshot.
func (c *Core) reloadMembers() (err error) {
	c.members, c.configIndex, err = c.membersBefore(c.log.last().Index + 1)
	return err
}

// membersBefore returns the latest membership before index, and the index of
// the entry or snapshot that holds it.
func (c *Core) membersBefore(index uint64) (Membership, uint64, error) {
	for i := len(c.log.entries) - 1; i >= 0; i-- {
		if e := c.log.entries[i]; e.Kind == EntryConfig && e.Index < index {
			m, err := DecodeMembership(e.Data)
			return m, e.Index, errors.Wrapf(err, "entry %d", e.Index)
		}
	}
	return c.snap.Membership, c.snap.Last.Index, nil
}

// committedMembers returns the membership at the commit index.
func (c *Core) committedMembers() Membership {
	if c.configIndex <= c.commit {
		return c.members
	}
	m, _, err := c.membersBefore(c.commit + 1)
	if err != nil {
		return c.members // cannot happen: memberships are decoded before they enter the log
	}
	return m
}

// canCampaign reports whether this replica may start an election. A voter whose
// removal is in its log but not known to be committed still may: if it has the
// longest log, only a replica with that log can be elected and commit the removal.
func (c *Core) canCampaign() bool {
	if c.members.IsVoter(c.cfg.ID) {
		return true
	}
	if c.configIndex <= c.commit {
		return false
	}
	before, _, err := c.membersBefore(c.configIndex)
	return err == nil && before.IsVoter(c.cfg.ID)
}

// TakeEffects returns the effects of all calls since the last TakeEffects.
func (c *Core) TakeEffects() Effects {
	e := c.effects
	c.effects = Effects{}
	if c.unpersistedFrom > 0 {
		e.Entries = c.log.entriesBetween(c.unpersistedFrom, c.log.last().Index, 1<<62)
		c.unpersistedFrom = 0
	}
	if c.stateDirty {
		e.Messages = append(e.Early, e.Messages...)
		e.Early = nil
	}
	if c.stateDirty || len(e.Entries) > 0 {
		e.State = &HardState{Term: c.term, Vote: c.vote, Commit: c.commit}
		c.stateDirty = false
	}
	if c.commit > c.handedOut {
		e.Committed = c.log.entriesBetween(c.handedOut+1, c.commit, 1<<62)
		c.handedOut = c.commit
	}
	return e
}

// Persisted records that the log is synced up to and including last. The call
// is ignored if that entry was replaced in the meantime.
func (c *Core) Persisted(now time.Time, last Position) {
	if t, ok := c.log.term(last.Index); !ok || t != last.Term || last.Index <= c.stable {
		return
	}
	c.stable = last.Index
	if c.role == Leader {
		c.maybeCommit(now)
	}
}

// Tick handles expired timers. It should be called several times per heartbeat
// interval.
func (c *Core) Tick(now time.Time) {
	if c.role == Leader {
		c.tickLeader(now)
		return
	}
	if !now.Before(c.electionDeadline) {
		c.preCampaign(now)
	}
}

// append adds entries at the end of the log. A membership among them is in
// force at once.
func (c *Core) append(es ...Entry) error {
	if len(es) == 0 {
		return nil
	}
	c.log.entries = append(c.log.entries, es...)
	if c.unpersistedFrom == 0 {
		c.unpersistedFrom = es[0].Index
	}
	for _, e := range es {
		if e.Kind == EntryConfig {
			m, err := DecodeMembership(e.Data)
			if err != nil {
				return errors.Wrapf(err, "entry %d", e.Index)
			}
			c.members, c.configIndex = m, e.Index
			c.recordMembership(m, e.Index)
		}
	}
	return nil
}

// truncateFrom removes the entries at and after index. It fails if one of them is
// committed.
func (c *Core) truncateFrom(index uint64) error {
	if index <= c.commit {
		return errors.Newf("entry %d conflicts with the leader but is committed", index)
	}
	c.log.truncateFrom(index)
	c.stable = min(c.stable, index-1)
	if c.unpersistedFrom == 0 || index < c.unpersistedFrom {
		c.unpersistedFrom = index
	}
	if c.configIndex >= index {
		return c.reloadMembers()
	}
	return nil
}

// Compact records a snapshot and removes the log entries up to and including
// base, which should be at or below the snapshot.
func (c *Core) Compact(meta SnapshotMeta, base uint64) error {
	if meta.Last.Index > c.handedOut {
		return errors.Newf("snapshot at %d is past the last committed entry returned to the caller, %d",
			meta.Last.Index, c.handedOut)
	}
	if meta.Last.Index <= c.snap.Last.Index {
		return nil
	}
	c.snap = meta
	if base <= c.log.base.Index {
		return nil
	}
	return c.log.compact(min(base, meta.Last.Index))
}

// send fills in the sender and receiver and queues the message. A leader's
// requests depend on no unsynced state of its own and may be sent early.
func (c *Core) send(m Message) {
	m.From = c.cfg.ID
	m.FromInstance = c.cfg.Instance
	if to, ok := c.members.Get(m.To); ok && to.Voter {
		m.ToInstance = to.Instance
	}
	if m.Term == 0 {
		m.Term = c.term
	}
	if c.role == Leader && (m.Kind == MsgAppend || m.Kind == MsgSnapshot || m.Kind == MsgTimeoutNow) {
		c.effects.Early = append(c.effects.Early, m)
		return
	}
	c.effects.Messages = append(c.effects.Messages, m)
}

// nextStamp returns the time in nanoseconds since the start of this replica,
// adjusted so that stamps increase strictly.
func (c *Core) nextStamp(now time.Time) int64 {
	c.lastStamp = max(c.lastStamp+1, int64(now.Sub(c.startTime)))
	return c.lastStamp
}

func (c *Core) resetDeadline(now time.Time) {
	lo, hi := c.cfg.ElectionTimeoutMin, c.cfg.ElectionTimeoutMax
	c.electionDeadline = now.Add(lo + time.Duration(c.rng.Int64N(int64(hi-lo)+1)))
}

// Status is the observable state of a replica.
type Status struct {
	ID         ID
	Role       Role
	Term       uint64
	Leader     ID
	Commit     uint64
	Last       uint64
	Base       uint64
	Snapshot   uint64
	Membership Membership
	// Committed is the membership at the commit index. It differs from Membership
	// while a change is not committed.
	Committed Membership
	// MemberAt is the index of the latest membership that this replica has seen and
	// that includes it, committed or not; 0 if there is none.
	MemberAt uint64
	// TermStart is the index of the first entry of the current term. Set on the
	// leader only.
	TermStart uint64
	ElectedAt time.Time
	// Removed is set once the removal of this replica is committed.
	Removed bool
	// Transferring is set on the leader during a leadership transfer.
	Transferring bool
	// Peers holds the replication state of the other members. Set on the leader
	// only.
	Peers map[ID]PeerStatus
}

// PeerStatus is the leader's view of another replica.
type PeerStatus struct {
	Match uint64
	// Snapshot is set while a snapshot is being sent.
	Snapshot bool
	// Contact is when the last answered message was sent; zero if none was.
	Contact time.Time
}

// Status returns a copy of the replica's status.
func (c *Core) Status() Status {
	s := Status{
		ID: c.cfg.ID, Role: c.role, Term: c.term, Leader: c.leader,
		Commit: c.commit, Last: c.log.last().Index, Base: c.log.base.Index,
		Snapshot: c.snap.Last.Index, Membership: c.members, Removed: c.Removed(),
		Committed: c.committedMembers(), MemberAt: c.memberAt,
	}
	if c.role != Leader {
		return s
	}
	s.TermStart, s.ElectedAt = c.lead.termStart, c.lead.electedAt
	s.Transferring = c.lead.transfer != nil
	s.Peers = make(map[ID]PeerStatus, len(c.lead.peers))
	for id, p := range c.lead.peers {
		ps := PeerStatus{Match: p.match, Snapshot: p.state == stateSnapshot}
		if p.contact > 0 {
			ps.Contact = c.startTime.Add(time.Duration(p.contact))
		}
		s.Peers[id] = ps
	}
	return s
}

// Log returns the hard state, the position before the first entry, and the
// entries, as they must be stored on disk.
func (c *Core) Log() (HardState, Position, []Entry) {
	n := len(c.log.entries)
	return HardState{Term: c.term, Vote: c.vote, Commit: c.commit}, c.log.base, c.log.entries[:n:n]
}

// Members returns the latest membership, committed or not.
func (c *Core) Members() Membership { return c.members }

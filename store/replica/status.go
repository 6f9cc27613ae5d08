package replica

import (
	"math"
	"time"

	"gooseberrypond/store/consensus"
)

// Status describes a replica.
type Status struct {
	ID            string
	Role          string
	Term          uint64
	LeaderID      string
	LeaderAddress string
	// Commit, Applied and Last are the log indexes of the last committed, last
	// applied and last appended entry.
	Commit, Applied, Last uint64
	// Snapshot is the log index of the last entry covered by the latest snapshot.
	Snapshot uint64
	// Members are the members of the latest membership in the log, which may not be
	// committed.
	Members []MemberStatus
	// Committed are the ids of the members at the commit index.
	Committed []string
	// MemberAt is the log index of the latest membership that this replica has seen
	// and that includes it, committed or not; 0 if there is none.
	MemberAt uint64
	// Removed is true once this replica was removed from the group. It cannot be
	// used any more and may be closed.
	Removed bool
	// DiskFull is true while the replica is suspended because its disk is full.
	DiskFull bool
	// Stopped is the error that stopped the replica; empty if there is none.
	Stopped string
}

// NeverAnswered is the silence of a member that has not answered this leader yet.
const NeverAnswered time.Duration = math.MaxInt64

// MemberStatus describes a member of the group.
type MemberStatus struct {
	ID      string
	Address string
	Voter   bool
	// Match is the index of the last entry that the member is known to have
	// synced. Silence is the time since the last message that the member answered
	// was sent, or NeverAnswered. Snapshot is true while a snapshot is being sent to
	// the member. All three are known on the leader only.
	Match    uint64
	Silence  time.Duration
	Snapshot bool
}

// Status returns the current status.
func (r *Replica) Status() Status {
	s, now := r.status.Load(), r.cfg.Now()
	out := Status{
		ID: s.ID, Role: s.Role.String(), Term: s.Term, LeaderID: s.Leader,
		Commit: s.Commit, Applied: r.AppliedIndex(), Last: s.Last, Snapshot: s.Snapshot, Removed: s.Removed,
		DiskFull: r.suspended.Load(), MemberAt: s.MemberAt,
	}
	for _, x := range s.Committed.Members {
		out.Committed = append(out.Committed, x.ID)
	}
	for _, x := range s.Membership.Members {
		m := MemberStatus{ID: x.ID, Address: x.Address, Voter: x.Voter, Silence: NeverAnswered}
		if p, ok := s.Peers[x.ID]; ok {
			m.Match, m.Snapshot = p.Match, p.Snapshot
			if !p.Contact.IsZero() {
				m.Silence = now.Sub(p.Contact)
			}
		} else if x.ID == s.ID && s.Role == consensus.Leader {
			m.Match, m.Silence = s.Last, 0
		}
		if x.ID == s.Leader {
			out.LeaderAddress = x.Address
		}
		out.Members = append(out.Members, m)
	}
	if err := r.Err(); err != nil {
		out.Stopped = err.Error()
	}
	return out
}

// AppliedIndex returns the index of the last entry applied to the state machine.
func (r *Replica) AppliedIndex() uint64 { return r.apply.applied.Load() }

// HoldsLease reports whether this replica is the leader and no other leader can
// have been elected. Two conditions must hold: a quorum acknowledged messages
// that this replica sent within the last LeaderLease, and this replica has
// applied the first entry of its term.
func (r *Replica) HoldsLease() bool {
	_, ok := r.LeaseTerm()
	return ok
}

// LeaseTerm returns the term of the lease; ok is the result of HoldsLease. A
// caller that compares the terms of two calls can detect that leadership was
// lost and regained in between.
func (r *Replica) LeaseTerm() (term uint64, ok bool) {
	l := r.lease.Load()
	if l.until.IsZero() || r.AppliedIndex() < l.termStart || !r.cfg.Now().Before(l.until) {
		return 0, false
	}
	return l.term, true
}

// LeaderChanges returns a channel of changes of leader or term. It buffers only
// the latest change, so it supports only one receiver.
func (r *Replica) LeaderChanges() <-chan LeaderChange { return r.leaderChanges }

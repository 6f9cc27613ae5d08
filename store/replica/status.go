package replica

import (
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
	// Commit, Applied and Last are log indexes; Last is the end of the log.
	Commit, Applied, Last uint64
	// Snapshot is the last entry in the latest snapshot.
	Snapshot uint64
	Members  []MemberStatus
	// Removed is set once this replica is no longer a member. It is then of no
	// more use and may be closed.
	Removed bool
	// Stopped says why the replica stopped; empty while it runs.
	Stopped string
}

// MemberStatus describes a member of the group.
type MemberStatus struct {
	ID      string
	Address string
	Voter   bool
	// Match is the last entry known to be synced there; Contact is when the
	// last message answered from there was sent; Snapshot is set while a
	// snapshot is being sent. They are known on the leader only.
	Match    uint64
	Contact  time.Time
	Snapshot bool
}

// Status returns the present status.
func (r *Replica) Status() Status {
	s := r.status.Load()
	out := Status{
		ID: s.ID, Role: s.Role.String(), Term: s.Term, LeaderID: s.Leader,
		Commit: s.Commit, Applied: r.AppliedIndex(), Last: s.Last, Snapshot: s.Snapshot, Removed: s.Removed,
	}
	for _, x := range s.Membership.Members {
		m := MemberStatus{ID: x.ID, Address: x.Address, Voter: x.Voter}
		if p, ok := s.Peers[x.ID]; ok {
			m.Match, m.Contact, m.Snapshot = p.Match, p.Contact, p.Snapshot
		} else if x.ID == s.ID && s.Role == consensus.Leader {
			m.Match = s.Last
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

// AppliedIndex returns the last entry applied to the state machine.
func (r *Replica) AppliedIndex() uint64 { return r.apply.applied.Load() }

// HoldsLease reports whether this replica leads and no other can have been
// elected: a quorum acknowledged it within LeaderLease, counted from when it
// sent the messages, and it has applied the first entry of its term.
func (r *Replica) HoldsLease() bool {
	_, ok := r.LeaseTerm()
	return ok
}

// LeaseTerm is HoldsLease that also returns the term of the lease. Comparing
// the term tells whether leadership was lost and won again in between.
func (r *Replica) LeaseTerm() (term uint64, ok bool) {
	l := r.lease.Load()
	if l.until.IsZero() || r.AppliedIndex() < l.termStart || !r.cfg.Now().Before(l.until) {
		return 0, false
	}
	return l.term, true
}

// LeaderChanges returns a channel that holds the latest change of leader or
// term not yet received. It is meant for one receiver.
func (r *Replica) LeaderChanges() <-chan LeaderChange { return r.changes }

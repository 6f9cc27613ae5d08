package consensus

import (
	"testing"
	"time"

	"gooseberrypond/core/structs"
)

// threeVoters returns the membership of voters n1 to n3 with recorded instances.
func threeVoters() Membership {
	var m Membership
	for _, id := range []ID{"n1", "n2", "n3"} {
		m = m.With(Member{ID: id, Voter: true, Instance: "folder " + id})
	}
	return m
}

// newTestCore returns replica n1 of three. Its log holds the membership at index 1 and
// then entries of the given terms. The returned time is late enough after the
// start that the replica may vote.
func newTestCore(t *testing.T, st HardState, terms ...uint64) (*Core, time.Time) {
	t.Helper()
	persisted := PersistedState{State: st, Entries: []Entry{{Index: 1, Term: 1, Kind: EntryConfig, Data: threeVoters().Encode()}}}
	for i, term := range terms {
		persisted.Entries = append(persisted.Entries, Entry{Index: uint64(i) + 2, Term: term})
	}
	now := time.Unix(1000, 0)
	c, err := New(now, Config{
		ID: "n1", Instance: "folder n1", Heartbeat: structs.HeartbeatInterval, Lease: structs.LeaderLease,
		ElectionTimeoutMin: structs.ElectionTimeoutMin, ElectionTimeoutMax: structs.ElectionTimeoutMax,
		MaxBatchBytes: 1000, MaxInflight: 4,
	}, persisted)
	if err != nil {
		t.Fatal(err)
	}
	return c, now.Add(structs.ElectionTimeoutMin)
}

// stepFrom makes c handle a message from the replica and returns the effects.
// The sender's instance is filled in.
func stepFrom(t *testing.T, c *Core, now time.Time, id ID, m Message) Effects {
	t.Helper()
	m.From, m.To, m.FromInstance = id, "n1", "folder "+id
	if err := c.Step(now, m); err != nil {
		t.Fatal(err)
	}
	return c.TakeEffects()
}

// lead makes c the leader with the vote of n2 and returns the time of the
// election.
func lead(t *testing.T, c *Core, now time.Time) time.Time {
	t.Helper()
	now = now.Add(structs.ElectionTimeoutMax)
	c.Tick(now)
	stepFrom(t, c, now, "n2", Message{Kind: MsgPreVoteReply, Term: c.term + 1})
	stepFrom(t, c, now, "n2", Message{Kind: MsgVoteReply, Term: c.term})
	if c.role != Leader {
		t.Fatalf("role %v, want leader", c.role)
	}
	return now
}

// findReply returns the first message of the kind, or nil.
func findReply(e Effects, kind Kind) *Message {
	for i := range e.Messages {
		if e.Messages[i].Kind == kind {
			return &e.Messages[i]
		}
	}
	return nil
}

// Guards against a voter that, after a restart, grants a vote during a lease that
// it acknowledged or votes twice in a term, and against a vote for a candidate
// with an older log.
func TestVoteRules(t *testing.T) {
	vote := func(term, index, logTerm uint64) Message {
		return Message{Kind: MsgVote, Term: term, Index: index, LogTerm: logTerm}
	}
	for _, x := range []struct {
		name  string
		state HardState
		early bool // right after the restart
		m     Message
		grant bool
	}{
		{"free voter", HardState{Term: 3}, false, vote(4, 2, 3), true},
		{"free voter of the same term", HardState{Term: 4}, false, vote(4, 2, 3), true},
		{"just restarted", HardState{Term: 3}, true, vote(4, 2, 3), false},
		{"just restarted, transfer", HardState{Term: 3}, true, Message{Kind: MsgVote, Term: 4, Index: 2, LogTerm: 3, Transfer: true}, true},
		{"voted for another", HardState{Term: 4, Vote: "n3"}, false, vote(4, 2, 3), false},
		{"voted for the same", HardState{Term: 4, Vote: "n2"}, false, vote(4, 2, 3), true},
		{"shorter log", HardState{Term: 3}, false, vote(4, 1, 3), false},
		{"older last term", HardState{Term: 3}, false, vote(4, 9, 2), false},
		{"newer last term", HardState{Term: 3}, false, vote(4, 1, 4), true},
		{"old term", HardState{Term: 5}, false, vote(4, 2, 3), false},
	} {
		t.Run(x.name, func(t *testing.T) {
			c, now := newTestCore(t, x.state, 3)
			if x.early {
				now = now.Add(-time.Millisecond)
			}
			e := stepFrom(t, c, now, "n2", x.m)
			r := findReply(e, MsgVoteReply)
			if granted := r != nil && !r.Reject; granted != x.grant {
				t.Fatalf("granted %v, want %v", granted, x.grant)
			}
			if !x.grant || x.state.Vote == "n2" {
				return
			}
			if e.State == nil || e.State.Vote != "n2" || e.State.Term != x.m.Term {
				t.Fatalf("vote is not persisted before the reply: %+v", e.State)
			}
		})
	}
}

// Guards against committing entries that a later leader may replace: entries of
// an older term that a quorum holds, and entries that the leader itself has not
// synced. It also checks the conditions for membership changes.
func TestCommitRules(t *testing.T) {
	c, now := newTestCore(t, HardState{Term: 2, Commit: 1}, 2)
	now = lead(t, c, now)
	match := func(index uint64) {
		stepFrom(t, c, now, "n2", Message{Kind: MsgAppendReply, Term: c.term, Index: index})
	}
	match(2)
	if c.commit != 1 {
		t.Fatalf("entry of an older term is committed because a quorum holds it: commit %d", c.commit)
	}
	match(3)
	if c.commit != 1 {
		t.Fatalf("entry that only n2 has synced is committed: commit %d", c.commit)
	}
	if _, err := c.AddLearner(now, "n4", ""); err != ErrNotReady {
		t.Fatalf("membership change before an entry of the term is committed: %v", err)
	}
	c.Persisted(now, Position{3, c.term})
	if c.commit != 3 {
		t.Fatalf("commit %d, want 3", c.commit)
	}
	if _, err := c.AddLearner(now, "n4", ""); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Remove(now, "n3"); err != ErrChangePending {
		t.Fatalf("second membership change at once: %v", err)
	}
	c.TakeEffects()
	c.Persisted(now, Position{4, c.term})
	match(4)
	stepFrom(t, c, now, "n4", Message{Kind: MsgAppendReply, Term: c.term, Index: 3, Sent: c.lastStamp})
	if _, err := c.Promote(now, "n4"); err != ErrNotCaughtUp {
		t.Fatalf("promotion of a learner that lacks entry 4: %v", err)
	}
	stepFrom(t, c, now, "n4", Message{Kind: MsgAppendReply, Term: c.term, Index: 4, Sent: c.lastStamp})
	if _, err := c.Promote(now, "n4"); err != nil || c.members.VoterCount() != 4 {
		t.Fatalf("promote: %v, %d voters", err, c.members.VoterCount())
	}
}

// Guards against a follower that acknowledges or commits entries that the leader
// does not have, or that replies before it has synced the entries.
func TestAppendRules(t *testing.T) {
	c, now := newTestCore(t, HardState{Term: 3, Commit: 1}, 2, 2, 2) // the leader may not have entries 2 to 4
	e := stepFrom(t, c, now, "n2", Message{Kind: MsgAppend, Term: 3, Index: 1, LogTerm: 1, Commit: 4,
		Entries: []Entry{{Index: 2, Term: 2}}})
	if c.commit != 2 || c.log.last().Index != 4 {
		t.Fatalf("commit %d, last %d, want 2 and 4", c.commit, c.log.last().Index)
	}
	if r := findReply(e, MsgAppendReply); r == nil || r.Index != 2 || r.Reject {
		t.Fatalf("reply %+v, want a match at 2", r)
	}
	e = stepFrom(t, c, now, "n2", Message{Kind: MsgAppend, Term: 3, Index: 4, LogTerm: 3})
	if r := findReply(e, MsgAppendReply); r == nil || !r.Reject {
		t.Fatalf("reply %+v, want a refusal", r)
	}
	cfg := Entry{Index: 3, Term: 3, Kind: EntryConfig, Data: threeVoters().Without("n3").Encode()}
	e = stepFrom(t, c, now, "n2", Message{Kind: MsgAppend, Term: 3, Index: 2, LogTerm: 2, Entries: []Entry{cfg}})
	if len(e.Early) != 0 || len(e.Entries) != 1 || findReply(e, MsgAppendReply) == nil {
		t.Fatalf("want the entry to persist and the reply after it, got %+v", e)
	}
	if c.log.last().Index != 3 || c.members.VoterCount() != 2 {
		t.Fatalf("last %d, %d voters, want 3 and 2", c.log.last().Index, c.members.VoterCount())
	}
	stepFrom(t, c, now, "n3", Message{Kind: MsgAppend, Term: 4, Index: 2, LogTerm: 2, Entries: []Entry{{Index: 3, Term: 4}}})
	if c.members.VoterCount() != 3 || c.configIndex != 1 {
		t.Fatalf("membership at %d with %d voters is in force after its entry was replaced", c.configIndex, c.members.VoterCount())
	}
}

// Guards against loss of acknowledged entries: a late snapshot message must not
// replace a log that already holds the snapshot's last entry.
func TestSnapshotKeepsMatchingLog(t *testing.T) {
	c, now := newTestCore(t, HardState{Term: 3, Commit: 1}, 2, 2, 2)
	e := stepFrom(t, c, now, "n2", Message{Kind: MsgSnapshot, Term: 3, Index: 3, LogTerm: 2, Done: true})
	if r := findReply(e, MsgSnapshotReply); r == nil || !r.Done || len(e.Chunks) != 0 {
		t.Fatalf("reply %+v, chunks %v, want done and nothing to install", r, e.Chunks)
	}
	if c.log.last().Index != 4 || c.commit != 3 {
		t.Fatalf("last %d, commit %d, want 4 and 3", c.log.last().Index, c.commit)
	}
}

// Guards against a follower that never catches up. It became unreachable with the
// maximum number of unacknowledged appends, and the leader then compacted their
// entries: it must send a snapshot although the window is full.
func TestCompactedWhileWindowIsFull(t *testing.T) {
	c, now := newTestCore(t, HardState{Term: 2, Commit: 1}, 2)
	now = lead(t, c, now)
	stepFrom(t, c, now, "n3", Message{Kind: MsgAppendReply, Term: c.term, Index: 3})
	for range 8 {
		if _, err := c.Propose(now, []byte("x")); err != nil {
			t.Fatal(err)
		}
	}
	last := c.log.last()
	c.TakeEffects()
	c.Persisted(now, last)
	stepFrom(t, c, now, "n2", Message{Kind: MsgAppendReply, Term: c.term, Index: last.Index})
	if n := len(c.lead.peers["n3"].inflight); c.commit != last.Index || n != c.cfg.MaxInflight {
		t.Fatalf("commit %d, %d unacknowledged appends", c.commit, n)
	}
	if err := c.Compact(SnapshotMeta{Last: last, Membership: c.members}, last.Index); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Propose(now, []byte("y")); err != nil {
		t.Fatal(err)
	}
	if c.lead.peers["n3"].state != stateSnapshot {
		t.Fatal("no snapshot is sent")
	}
}

// Guards against a joining replica that treats a membership from before it was
// added as its removal.
func TestOldMembershipDoesNotRemove(t *testing.T) {
	for _, x := range []struct {
		members Membership
		removed bool
	}{{threeVoters(), true}, {threeVoters().Without("n1"), false}} {
		c, now := newTestCore(t, HardState{Term: 1, Commit: 1})
		c.members, c.memberAt = x.members, 0
		c.recordMembership(x.members, 1)
		e := Entry{Index: 2, Term: 1, Kind: EntryConfig, Data: threeVoters().Without("n1").Encode()}
		stepFrom(t, c, now, "n2", Message{Kind: MsgAppend, Term: 1, Index: 1, LogTerm: 1, Entries: []Entry{e}, Commit: 2})
		if c.Removed() != x.removed {
			t.Fatalf("removed %v, want %v", c.Removed(), x.removed)
		}
	}
}

package replica

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"

	"gooseberrypond/store/consensus"
)

// Guards against a replica that goes on after its disk failed, or that answers
// for what is not synced.
func TestDiskFailureStopsReplica(t *testing.T) {
	for _, fault := range []error{syscall.EIO, syscall.ENOSPC} {
		t.Run(fault.Error(), func(t *testing.T) {
			fs := map[string]*failingFS{}
			g := newTestGroup(t, 3, func(c *Config) {
				fs[c.ID] = &failingFS{}
				c.FS = fs[c.ID]
			})
			g.write(1)
			l := g.leader()
			fs[l.cfg.ID].set(fault)
			if _, err := l.Propose(g.ctx, write(2)); !errors.Is(err, ErrLost) {
				t.Fatalf("proposal on a failing disk: %v, want ErrLost", err)
			}
			await(g.ctx, t, "stop", func() bool { return l.Err() != nil })
			if !errors.Is(l.Err(), fault) {
				t.Fatalf("stopped by %v, want %v", l.Err(), fault)
			}
			if l.HoldsLease() {
				t.Fatal("stopped replica holds the lease")
			}
			if _, err := l.Propose(g.ctx, write(3)); !errors.Is(err, ErrStopped) {
				t.Fatalf("proposal on a stopped replica: %v, want ErrStopped", err)
			}
			g.stop(l.cfg.ID)
			g.write(4)
			fs[l.cfg.ID].set(nil)
			r := g.start(l.cfg.ID, g.members)
			g.awaitApplied(r)
			if got := r.cfg.StateMachine.(*register).get(); got != 4 {
				t.Fatalf("restarted replica holds %d, want 4", got)
			}
		})
	}
}

// Guards against followers that acknowledge entries before these are synced:
// without a synced copy on any of them, nothing may be committed.
func TestUnsyncedFollowersDoNotCount(t *testing.T) {
	fs := map[string]*failingFS{}
	g := newTestGroup(t, 3, func(c *Config) {
		fs[c.ID] = &failingFS{}
		c.FS = fs[c.ID]
	})
	g.write(1)
	l := g.leader()
	for id, f := range fs {
		if id != l.cfg.ID {
			f.set(syscall.EIO)
		}
	}
	if _, err := l.Propose(g.ctx, write(2)); !errors.Is(err, ErrLost) {
		t.Fatalf("proposal without a synced copy elsewhere: %v, want ErrLost", err)
	}
	if got := l.cfg.StateMachine.(*register).get(); got != 1 {
		t.Fatalf("leader holds %d, want 1", got)
	}
}

// Guards against a replica that cannot catch up: it is 1,000 entries behind and
// the leader has dropped them from its log; the snapshot takes several chunks.
func TestCatchUpFromSnapshot(t *testing.T) {
	g := newTestGroup(t, 3, func(c *Config) {
		c.SnapshotEntries, c.SnapshotInterval = 200, 1
		c.StateMachine.(*register).pad = make([]byte, 4*chunkBytes)
	})
	g.write(0)
	l := g.leader()
	behind := "c1"
	if l.cfg.ID == behind {
		behind = "c2"
	}
	g.stop(behind)
	for i := range 1000 {
		g.write(i)
	}
	await(g.ctx, t, "truncation of the log", func() bool {
		s := g.leader().status.Load()
		return s.Base > 100
	})
	r := g.start(behind, g.members)
	g.awaitApplied(r)
	sm := r.cfg.StateMachine.(*register)
	if sm.get() != 999 || sm.counted() < 1001 || r.Status().Snapshot < 400 {
		t.Fatalf("value %d after %d writes, snapshot at %d", sm.get(), sm.counted(), r.Status().Snapshot)
	}
	if n := r.Stats().SnapshotsInstalled; n == 0 {
		t.Fatal("no snapshot was installed")
	}
	g.stop(behind)
	g.write(5)
	r = g.start(behind, g.members)
	g.awaitApplied(r)
	if sm := r.cfg.StateMachine.(*register); sm.get() != 5 || sm.counted() < 1002 {
		t.Fatalf("value %d after %d writes after restart, want 5 and at least 1002", sm.get(), sm.counted())
	}
}

// Guards against a repair that leaves the group unable to survive the next
// loss: a dead member is replaced, then another one is lost for good.
func TestReplaceDeadMemberThenLoseAnother(t *testing.T) {
	g := newTestGroup(t, 3, func(c *Config) { c.SnapshotEntries, c.SnapshotInterval = 50, 1 })
	for i := range 200 {
		g.write(i)
	}
	dead := follower(g)
	g.stop(dead)
	r := g.start("c4", nil)
	g.retry("add learner", func(l *Replica) error { return orExists(l.AddLearner(g.ctx, "c4", "")) })
	g.retry("promote", func(l *Replica) error { return orExists(l.Promote(g.ctx, "c4")) })
	g.retry("remove", func(l *Replica) error {
		err := l.Remove(g.ctx, dead)
		if errors.Is(err, consensus.ErrUnknownMember) {
			return nil
		}
		return err
	})
	g.write(1000)
	g.stop(g.leader().cfg.ID)
	g.write(1001)
	g.awaitApplied(r)
	if got := r.cfg.StateMachine.(*register).get(); got != 1001 {
		t.Fatalf("new member holds %d, want 1001", got)
	}
	if n := len(g.leader().Status().Members); n != 3 || r.Status().Removed {
		t.Fatalf("%d members, want 3; new member removed: %v", n, r.Status().Removed)
	}
}

// Guards against a removed replica that never learns of it, and against a
// joining replica that takes old memberships for its removal.
func TestRemovedReplicaLearnsOfIt(t *testing.T) {
	g := newTestGroup(t, 3, nil)
	g.write(1)
	joining := g.start("c4", nil)
	g.retry("add learner", func(l *Replica) error { return orExists(l.AddLearner(g.ctx, "c4", "")) })
	g.awaitApplied(joining)
	id := follower(g)
	g.retry("remove", func(l *Replica) error {
		if err := l.Remove(g.ctx, id); !errors.Is(err, consensus.ErrUnknownMember) {
			return err
		}
		return nil
	})
	await(g.ctx, t, "notice of the removal", func() bool { return g.rs[id].Status().Removed })
	if joining.Status().Removed {
		t.Fatal("joining replica takes itself for removed")
	}
}

func orExists(err error) error {
	if errors.Is(err, consensus.ErrMemberExists) {
		return nil
	}
	return err
}

func follower(g *testGroup) string {
	l := g.leader().cfg.ID
	for _, m := range g.members {
		if m.ID != l {
			return m.ID
		}
	}
	return ""
}

// Guards against a replica that lost its disk and acts under its old id,
// whether it is started as an initial member or to join.
func TestLostDiskIsRefused(t *testing.T) {
	for _, join := range []bool{false, true} {
		g := newTestGroup(t, 3, nil)
		g.write(1)
		id := follower(g)
		g.stop(id)
		if err := os.RemoveAll(filepath.Join(g.dir, id)); err != nil {
			t.Fatal(err)
		}
		members := g.members
		if join {
			members = nil
		}
		r := g.start(id, members)
		await(g.ctx, t, "stop", func() bool { return r.Err() != nil })
		if !errors.Is(r.Err(), consensus.ErrInstanceMismatch) {
			t.Fatalf("join %v: stopped by %v, want ErrLostDisk", join, r.Err())
		}
		g.stop(id)
		g.write(2)
	}
}

// Guards against the use of one folder by two replicas or by another identity.
func TestFolderIsTiedToReplica(t *testing.T) {
	g := newTestGroup(t, 1, nil)
	g.write(1)
	base := Config{ID: "c1", ClusterID: "test", Dir: filepath.Join(g.dir, "c1"), StateMachine: newRegister(),
		Transport: &endpoint{newMemNet(), "c1"}}
	if _, err := Open(base); err == nil {
		t.Fatal("folder opened twice")
	}
	g.stop("c1")
	for _, change := range []func(*Config){
		func(c *Config) { c.ID = "c2" },
		func(c *Config) { c.ClusterID = "other" },
		func(c *Config) { _ = os.WriteFile(filepath.Join(c.Dir, identityName), []byte(`{"version":2}`), 0o600) },
		func(c *Config) { _ = os.Remove(filepath.Join(c.Dir, identityName)) },
	} {
		cfg := base
		change(&cfg)
		if r, err := Open(cfg); err == nil {
			r.Close()
			t.Fatalf("folder of c1 in cluster test opened as %s in %s", cfg.ID, cfg.ClusterID)
		}
	}
}

// Guards against a transfer that loses proposals or leaves the group without a leader.
func TestTransferLeadership(t *testing.T) {
	g := newTestGroup(t, 3, nil)
	g.write(1)
	old := g.leader()
	term := old.Status().Term
	if err := old.TransferLeadership(g.ctx); err != nil {
		t.Fatal(err)
	}
	if old.HoldsLease() {
		t.Fatal("old leader holds the lease after the transfer")
	}
	g.write(2)
	if l := g.leader(); l == old && l.Status().Term == term {
		t.Fatal("leader has not changed")
	}
	_, err := old.Propose(g.ctx, write(3))
	var nl *NotLeaderError
	if old.Status().Role != consensus.Leader.String() && (!errors.Is(err, ErrNotLeader) || !errors.As(err, &nl)) {
		t.Fatalf("proposal on the old leader: %v", err)
	}
}

// Guards against an old leader in a minority that still answers, and against
// proposals there whose callers wait for ever.
func TestPartitionedLeaderAnswersNobody(t *testing.T) {
	g := newTestGroup(t, 3, nil)
	g.write(1)
	old := g.leader()
	g.net.change(func() { g.net.side[old.cfg.ID] = 1 })
	if _, err := old.Propose(g.ctx, write(2)); !errors.Is(err, ErrLost) && !errors.Is(err, ErrNotLeader) {
		t.Fatalf("proposal in a minority: %v", err)
	}
	if err := old.ReadBarrier(g.ctx); !errors.Is(err, ErrNotLeader) {
		t.Fatalf("read in a minority: %v", err)
	}
	if old.HoldsLease() {
		t.Fatal("lease held in a minority after step-down")
	}
	g.write(3)
	g.net.change(func() { g.net.side[old.cfg.ID] = 0 })
	g.awaitApplied(old)
	if got := old.cfg.StateMachine.(*register).get(); got != 3 {
		t.Fatalf("old leader holds %d, want 3", got)
	}
}

// Guards against a burst that is written with one sync so long that the leader
// misses its heartbeats, and against proposals lost when a burst is split.
func TestBurstIsSplit(t *testing.T) {
	var ps []*proposal
	for range 5 {
		ps = append(ps, &proposal{data: make([]byte, maxTurnBytes/2-entryOverhead)})
	}
	for _, want := range []int{2, 2, 1} {
		var now []*proposal
		if now, ps = splitTurn(ps); len(now) != want {
			t.Fatalf("%d proposals in a turn, want %d", len(now), want)
		}
	}
}

// Guards against missed notifications: the channel holds the latest change and
// gives the time of election.
func TestLeaderChanges(t *testing.T) {
	g := newTestGroup(t, 1, nil)
	l := g.leader()
	for leading := false; !leading; {
		select {
		case ch := <-l.LeaderChanges():
			leading = ch.Leading
			if leading && (ch.LeaderID != "c1" || ch.ElectedAt.IsZero()) {
				t.Fatalf("change %+v", ch)
			}
		case <-g.ctx.Done():
			t.Fatal("leadership was not announced")
		}
	}
}

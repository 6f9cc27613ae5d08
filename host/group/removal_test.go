package group

import (
	"context"
	"fmt"
	"net"
	"net/rpc"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"gooseberrypond/host/dispatcher"
	"gooseberrypond/host/relay"
	"gooseberrypond/host/standin"
	"gooseberrypond/store/replica"
)

// openGroups opens a replica and a Group, which is not running, for each member.
func openGroups(t *testing.T, n *standin.Network, count int) []*Group {
	t.Helper()
	var members []replica.Member
	for i := range count {
		members = append(members, replica.Member{ID: fmt.Sprint("c", i+1), Address: fmt.Sprintf("127.0.0.%d:1", i+1)})
	}
	var out []*Group
	for _, m := range members {
		d := dispatcher.New(dispatcher.Config{Logger: zerolog.Nop()})
		rep, err := replica.Open(replica.Config{ID: m.ID, ClusterID: "test", Dir: t.TempDir(), Members: members, StateMachine: d, Transport: n.Transport(m.ID)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { rep.Close() })
		g := New(Config{RelayPort: 1, Logger: zerolog.Nop()}, d, nil)
		g.id = m.ID
		g.rep.Store(rep)
		out = append(out, g)
	}
	return out
}

// waitFor fails the test if the condition does not hold within 20 s.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waited too long for %s", what)
		}
	}
}

func leaderOf(t *testing.T, gs []*Group) *Group {
	t.Helper()
	var leader *Group
	waitFor(t, "a leader", func() bool {
		i := slices.IndexFunc(gs, func(g *Group) bool { return g.Info().Leading })
		if i >= 0 {
			leader = gs[i]
		}
		return leader != nil
	})
	return leader
}

// Guards against a voter that empties its data folder because of a removal that is not
// committed: if the leader loses its place, the group counts on data that is gone.
func TestUncommittedRemovalIsNotTold(t *testing.T) {
	n := standin.NewNetwork()
	gs := openGroups(t, n, 5)
	leader := leaderOf(t, gs)
	removed := gs[(slices.Index(gs, leader)+1)%len(gs)]
	n.SetCut(leader.id, true)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	if err := leader.rep.Load().Remove(ctx, removed.id); err == nil {
		t.Fatal("the removal was committed by a leader that is cut off")
	}
	if isMember := func(m replica.MemberStatus) bool { return m.ID == removed.id }; slices.ContainsFunc(leader.rep.Load().Status().Members, isMember) {
		t.Fatal("the removal is not in the leader's log")
	}
	if members := leader.Info().Members; !slices.Contains(members, removed.id) {
		t.Errorf("the leader names the members %v, want %s among them: its removal is not committed", members, removed.id)
	}
}

// answeringLeader answers Info with a fixed answer.
type answeringLeader struct{ info relay.Info }

// Info implements the call of control hosts.
func (a *answeringLeader) Info(_ *struct{}, r *relay.Info) error {
	*r = a.info
	return nil
}

// clientOf returns a client whose leader gives the answer.
func clientOf(t *testing.T, info relay.Info) *relay.Client {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	info.Leading = true
	srv := rpc.NewServer()
	if err := srv.RegisterName("Control", &answeringLeader{info}); err != nil {
		t.Fatal(err)
	}
	go srv.Accept(ln)
	c := relay.NewClient(func() []string { return []string{ln.Addr().String()} }, zerolog.Nop())
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go c.Run(ctx)
	waitFor(t, "the client to find the leader", func() bool { return c.Leader() != "" })
	return c
}

// Guards against a replica that empties its data folder on the word of a host that led
// before the replica was added: such an answer names the members of then.
func TestAnswerFromBeforeTheReplicaWasAddedIsNoRemoval(t *testing.T) {
	n := standin.NewNetwork()
	g := openGroups(t, n, 3)[0]
	rep := g.rep.Load()
	waitFor(t, "the group to work", func() bool { return rep.Status().Applied > 0 })
	n.SetCut(g.id, true)
	waitFor(t, "the loss of the leader", func() bool { return rep.Status().LeaderID == "" })
	g.leaderSeenAt = time.Now().Add(-leaderSilenceLimit)
	at := rep.Status().MemberAt
	for _, c := range []struct {
		commit uint64
		want   bool
	}{{at - 1, false}, {at, true}} {
		g.client = clientOf(t, relay.Info{Members: []string{"x", "y"}, Commit: c.commit})
		if got := g.joinOrCheckRemoved(t.Context(), rep); got != c.want {
			t.Errorf("replica that is a member since entry %d takes an answer of entry %d for its removal: %v, want %v", at, c.commit, got, c.want)
		}
	}
}

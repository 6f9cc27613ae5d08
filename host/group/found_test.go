package group

import (
	"context"
	"net"
	"net/rpc"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"gooseberrypond/host/dispatcher"
	"gooseberrypond/host/relay"
	"gooseberrypond/host/standin"
	"gooseberrypond/store/replica"
)

// Guards against a system that never has a leader after one of its seeds has lost its disk
// before the first election: its host joins under a new id, which needs a leader, and the
// first election needs the vote of its old id (review/9).
func TestFoundersElectALeaderWithoutALostOne(t *testing.T) {
	n := standin.NewNetwork()
	gs := openGroups(t, n, 3)
	n.SetCut(gs[2].id, true)
	gs[2].rep.Load().Close()
	lost := gs[0].rep.Load().Status().Members[2].Address
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	join := func(address string) {
		for _, g := range gs[:2] {
			if err := g.Join(ctx, "joined-new", address); !errors.Is(err, replica.ErrNotLeader) {
				t.Fatalf("host %s without a leader answered %v", g.id, err)
			}
		}
		time.Sleep(time.Second)
	}
	join("127.0.0.9:1") // the address of no founder
	for _, g := range gs[:2] {
		if g.Info().Leading {
			t.Fatalf("%s leads without the vote of a founder of which nothing is known", g.id)
		}
	}
	join(lost)
	leaderOf(t, gs[:2])
}

// followingHost is a control host that does not lead. It records who asked first to join.
type followingHost struct{ joins chan relay.JoinArgs }

// Join implements the call of control hosts.
func (f *followingHost) Join(a *relay.JoinArgs, _ *struct{}) error {
	select {
	case f.joins <- *a:
	default:
	}
	return replica.ErrNotLeader
}

// serveFollowing starts a control host that does not lead and returns its address.
func serveFollowing(t *testing.T) (*followingHost, string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	f, srv := &followingHost{joins: make(chan relay.JoinArgs, 1)}, rpc.NewServer()
	if err := srv.RegisterName("Control", f); err != nil {
		t.Fatal(err)
	}
	go srv.Accept(ln)
	return f, ln.Addr().String()
}

// Guards against founders that never learn that one of them is lost, since the host that
// has taken its place tells only a leader of itself, and nobody leads.
func TestHostWithoutDataTellsAllControlHosts(t *testing.T) {
	first, firstAddress := serveFollowing(t)
	second, secondAddress := serveFollowing(t)
	const id = "joined-new"
	d := dispatcher.New(dispatcher.Config{Logger: zerolog.Nop()})
	rep, err := replica.Open(replica.Config{ID: id, ClusterID: "test", Dir: t.TempDir(), StateMachine: d, Transport: standin.NewNetwork().Transport(id)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { rep.Close() })
	client := relay.NewClient(func() []string { return []string{firstAddress, secondAddress} }, zerolog.Nop())
	g := New(Config{IP: "127.0.0.9", RelayPort: 1, ReplicaPort: 2, Logger: zerolog.Nop()}, d, client)
	for told, f := range []*followingHost{first, second} {
		waitFor(t, "the control host to be told", func() bool {
			if g.joinOrCheckRemoved(t.Context(), rep) {
				t.Error("the host takes itself for removed")
			}
			select {
			case a := <-f.joins:
				if a.ID != id || a.Address != "127.0.0.9:2" {
					t.Errorf("control host %d was told of %s at %s", told, a.ID, a.Address)
				}
				return true
			default:
				return false
			}
		})
	}
}

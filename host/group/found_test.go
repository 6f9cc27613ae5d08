package group

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

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

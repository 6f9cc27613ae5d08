package localcluster

import (
	"fmt"
	"testing"

	"gooseberrypond/core/structs"
)

// Guards against a replica that never catches up after a restart: it was killed
// while the leader was sending it entries, and the log entries that it lacks have
// been truncated since.
func TestReplicaCatchesUpBySnapshot(t *testing.T) {
	const changes = 700 // enough for several snapshots, one per 200 entries
	b := newTestbed(t, 3, 0)
	cl := b.Client()
	b.putCatalogue(cl)
	leader := b.leader()
	down := (leader + 1) % 3
	b.Kill(down)
	for i := range changes {
		set := structs.SetDomain{ChangeID: fmt.Sprintf("set-%d", i), Domain: "d1", Out: i%2 == 0}
		retry(b, func() (*structs.ChangeResult, error) { return cl.SetDomain(b.ctx, set) })
	}
	target := b.Nodes[b.leader()].Control().LastApplied()
	b.start(down)
	for b.Nodes[down].Control().LastApplied() < target {
		if err := Pause(b.ctx); err != nil {
			t.Fatalf("restarted replica has applied entry %d, want %d: %v", b.Nodes[down].Control().LastApplied(), target, err)
		}
	}
	b.Kill(3 - leader - down) // every commit now needs the replica that caught up
	set := structs.SetDomain{ChangeID: "last", Domain: "d1", Out: true}
	if res := retry(b, func() (*structs.ChangeResult, error) { return cl.SetDomain(b.ctx, set) }); !res.Accepted {
		t.Errorf("change that needs the restarted replica was refused: %+v", res)
	}
}

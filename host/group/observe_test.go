package group

import (
	"slices"
	"testing"
	"time"

	"gooseberrypond/host/relay"
	"gooseberrypond/host/standin"
)

// Guards against a host that is gone for good and is never noticed, because each new
// leader begins to count its silence anew.
func TestSilenceOutlastsElections(t *testing.T) {
	n := standin.NewNetwork()
	gs := openGroups(t, n, 3)
	gone := leaderOf(t, gs)
	n.SetCut(gone.id, true)
	gone.rep.Load().Close()
	leader := leaderOf(t, slices.DeleteFunc(gs, func(g *Group) bool { return g == gone }))
	const before = voterTimeout - judgeAfter/2
	leader.client = clientOf(t, relay.Info{Term: 1, Silence: map[string]time.Duration{gone.id: before}})
	silence := func() time.Duration {
		for _, m := range leader.observeMembers(leader.rep.Load().Status()) {
			if m.id == gone.id {
				return m.silence
			}
		}
		t.Fatal("the host is no member")
		return 0
	}
	if d := silence(); d > judgeAfter {
		t.Errorf("a new leader counts a silence of %v at once, before the host could answer", d)
	}
	waitFor(t, "the silence of the terms before to count", func() bool { return silence() > voterTimeout })
	if led := time.Since(leader.led.since); led > voterTimeout {
		t.Errorf("the host is silent for too long only %v after the election, as if it had answered until then", led)
	}
}

package consensus

import (
	"testing"
	"time"
)

// foundedWithoutN3 returns a group of three whose member n3 is lost before the first
// election.
func foundedWithoutN3(t *testing.T, seed uint64) *group {
	g := newGroup(seed, 3, t.Fatalf)
	g.crash(g.nodes["n3"])
	g.run(5 * time.Second)
	if l := g.leader(); l != nil {
		t.Fatalf("seed %d: %s leads without the vote of n3, of which nothing is known", seed, l.id)
	}
	return g
}

// Guards against a group that never has a leader, since one of its founders lost its data
// before the first election and never votes under its id.
func TestFirstElectionWithoutALostFounder(t *testing.T) {
	for seed := range uint64(50) {
		g := foundedWithoutN3(t, seed)
		told := []ID{"n1", "n2"}[:1+seed%2]
		for _, id := range told {
			g.nodes[id].core.InitialVoterLost("n3")
		}
		g.run(10 * time.Second)
		l := g.leader()
		if l == nil {
			t.Fatalf("seed %d: nobody leads 10 s after %v were told that n3 is lost", seed, told)
		}
		for _, id := range []ID{"n1", "n2"} {
			if x, _ := l.core.members.Get(id); x.Instance != g.nodes[id].instance {
				t.Errorf("seed %d: the instance of %s is %q", seed, id, x.Instance)
			}
		}
		for _, id := range []ID{"n1", "n2"} { // what they were told is forgotten
			g.crash(g.nodes[id])
			g.start(g.nodes[id])
		}
		g.run(10 * time.Second)
		if g.leader() == nil {
			t.Fatalf("seed %d: nobody leads after a restart", seed)
		}
	}
}

// Guards against a second group beside the one whose founder was lost: the others still
// need the vote of each one that is not known to be lost.
func TestLostFounderDoesNotReplaceOtherVotes(t *testing.T) {
	for seed := range uint64(20) {
		g := foundedWithoutN3(t, seed)
		n1 := g.nodes["n1"].core
		g.crash(g.nodes["n2"])
		n1.InitialVoterLost("n1")
		n1.InitialVoterLost("n3")
		g.run(10 * time.Second)
		n1.InitialVoterLost("n2")
		g.run(10 * time.Second)
		if l := g.leader(); l != nil {
			t.Fatalf("seed %d: %s leads alone", seed, l.id)
		}
	}
}

// Guards against a voter of a group that has had a leader which counts as a lost founder.
func TestVoterWithARecordedInstanceIsNotALostFounder(t *testing.T) {
	g := newGroup(1, 3, t.Fatalf)
	g.run(10 * time.Second)
	l := g.leader()
	for _, id := range g.ids {
		l.core.InitialVoterLost(id)
	}
	if len(l.core.lost) != 0 {
		t.Errorf("%v count as lost", l.core.lost)
	}
}

package group

import (
	"context"
	"slices"
	"testing"
	"time"

	"gooseberrypond/host/standin"
)

// Guards against a replica that is removed as soon as it has joined, since it has not
// answered yet and the one that lost its data at the same address answered a moment ago:
// it empties its folder and joins again, and may be removed again.
func TestNewLearnerIsNotTakenForTheLostReplica(t *testing.T) {
	n := standin.NewNetwork()
	gs := openGroups(t, n, 3)
	leader := leaderOf(t, gs)
	lost := gs[slices.IndexFunc(gs, func(g *Group) bool { return g != leader })]
	waitFor(t, "the leader to have led for a while", func() bool {
		leader.observeMembers(leader.rep.Load().Status())
		return time.Since(leader.led.since) > judgeAfter
	})
	address := ""
	for _, m := range leader.rep.Load().Status().Members {
		if m.ID == lost.id {
			address = m.Address
		}
	}
	n.SetCut(lost.id, true)
	lost.rep.Load().Close()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	if err := leader.Join(ctx, "joined-again", address); err != nil {
		t.Fatal(err)
	}
	c := nextChange(leader.observeMembers(leader.rep.Load().Status()), 1)
	if c.kind == remove && c.id == "joined-again" {
		t.Errorf("the replica that has just joined is removed: %s", c.reason)
	}
}

// Guards against a voter that is removed for a replica that has joined at its address and
// was never heard.
func TestOnlyAReplicaThatAnsweredSucceedsAnother(t *testing.T) {
	members := parseMembers("a+ b+ c+ d+ e+/x f~/x")
	members[4].silence, members[5].silence, members[5].heard = 500*time.Millisecond, 100*time.Millisecond, false
	if c := nextChange(members, 2); c.kind != noChange {
		t.Errorf("change %v of %s before the new replica has answered", c.kind, c.id)
	}
	members[5].heard = true
	if c := nextChange(members, 2); c.kind != remove || c.id != "e" {
		t.Errorf("change %v of %q once it has, want the removal of e", c.kind, c.id)
	}
}

// Guards against a replica that joined and never answers, and is never judged.
func TestSilenceCountsFromTheJoinForAWhile(t *testing.T) {
	var j joinTimes
	now := time.Now()
	j.add("a", now)
	for after, want := range map[time.Duration]time.Duration{0: 0, time.Second: time.Second} {
		if got := j.limit("a", time.Hour, now.Add(after)); got != want {
			t.Errorf("%v after the join the silence is %v, want %v", after, got, want)
		}
	}
	if got := j.limit("a", time.Hour, now.Add(voterTimeout+1)); got != time.Hour {
		t.Errorf("the silence is %v long after the join, want an hour", got)
	}
}

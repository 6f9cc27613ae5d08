package relay

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// electingControl leads from its second answer on.
type electingControl struct{ asked atomic.Int32 }

func (f *electingControl) Info(_ *None, r *Info) error {
	r.Leading, r.Term = f.asked.Add(1) > 1, 2
	return nil
}

// Guards against a dead control host that holds up the search: the new leader, which
// answers at once, is found only after the call to the dead host has timed out.
func TestDeadHostDoesNotHoldUpTheSearch(t *testing.T) {
	dead := &fakeControl{entered: make(chan struct{}, 100), release: make(chan struct{})}
	t.Cleanup(func() { close(dead.release) })
	leader := &electingControl{}
	hosts := []string{serveControl(t, dead), serveControl(t, leader)}
	c := NewClient(func() []string { return hosts }, zerolog.Nop())
	for rounds := 0; !c.findLeader(context.Background()); rounds++ {
		if rounds > 1000 {
			t.Fatal("the leader was not found")
		}
	}
	if c.Leader() != hosts[1] {
		t.Fatalf("found leader %q, want %q", c.Leader(), hosts[1])
	}
	if n := len(dead.entered); n > 1 {
		t.Fatalf("the leader was found after the dead host was asked %d times, want once", n)
	}
}

// Guards against searches that pile up calls to a host that does not answer.
func TestSilentHostIsAskedOnceAtATime(t *testing.T) {
	c := NewClient(func() []string { return []string{"a", "b"} }, zerolog.Nop())
	if n := len(c.unaskedHosts()); n != 2 {
		t.Fatalf("the first search asks %d hosts, want 2", n)
	}
	if n := len(c.unaskedHosts()); n != 0 {
		t.Fatalf("a second search asks %d hosts that have not answered yet", n)
	}
}

// Guards against absences that are not learned: each return of a leader after a loss
// counts, from the last answer before it.
func TestReturnOfALeaderIsARecovery(t *testing.T) {
	c := NewClient(func() []string { return nil }, zerolog.Nop())
	c.setLeader("a", Info{Term: 1})
	c.setLeader("a", Info{Term: 1})
	c.clearLeader("a")
	c.setLeader("b", Info{Term: 2})
	if n, _ := c.Recoveries(); n != 1 {
		t.Fatalf("%d recoveries after one loss, want 1", n)
	}
	if left := c.leaderWait(context.Background(), time.Now(), false); left > defaultPatience/4 {
		t.Fatalf("a call without a deadline waits for %v", left)
	}
}

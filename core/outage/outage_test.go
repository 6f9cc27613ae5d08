package outage

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// lostFor returns a tracker that has seen the given recoveries and has been without a
// leader for a time, and the present.
func lostFor(away time.Duration, recoveries ...time.Duration) (*Tracker, time.Time) {
	t, now := &Tracker{}, start
	t.Contact(now)
	for _, r := range recoveries {
		t.Lost()
		now = now.Add(r)
		t.Contact(now)
	}
	t.Lost()
	return t, now.Add(away)
}

// Guards against calls that are refused during an election, which ends before their
// callers would come back.
func TestCallsWaitThroughAnElection(t *testing.T) {
	tr, now := lostFor(600 * time.Millisecond)
	if w := tr.Wait(now, Call{Left: 3 * time.Second}); w != 750*time.Millisecond {
		t.Fatalf("a call that arrives in an election is held for %v, want a quarter of its 3 s", w)
	}
}

// Guards against calls that are held although nothing tells that a leader returns in time.
func TestCallsAreRefusedAtOnceInALongOutage(t *testing.T) {
	tr, now := lostFor(8 * time.Second)
	if w := tr.Wait(now, Call{Left: 3 * time.Second}); w > 0 {
		t.Fatalf("a call is held for %v after 8 s without a leader, want a refusal at once", w)
	}
}

// Guards against a host that refuses just before the return, although earlier recoveries
// took as long as this one.
func TestCallsWaitWhenTheLeaderIsDue(t *testing.T) {
	seen := []time.Duration{4 * time.Second, 4100 * time.Millisecond, 4200 * time.Millisecond}
	tr, now := lostFor(3900*time.Millisecond, seen...)
	if w := tr.Wait(now, Call{Left: 2 * time.Second}); w != 500*time.Millisecond {
		t.Fatalf("a call that arrives when the leader is due is held for %v, want 500 ms", w)
	}
	tr, now = lostFor(time.Second, seen...)
	if w := tr.Wait(now, Call{Left: 2 * time.Second}); w > 0 {
		t.Fatalf("a call is held for %v three seconds before the leader is due, want a refusal at once", w)
	}
}

// Guards against an answer that says that a call never runs although a leader may have
// received it.
func TestCallThatWasSentWaitsForItsOutcome(t *testing.T) {
	tr, now := lostFor(8 * time.Second)
	if w := tr.Wait(now, Call{Left: 2800 * time.Millisecond, Waited: 200 * time.Millisecond, Sent: true}); w != 550*time.Millisecond {
		t.Fatalf("a call that may have run is held for another %v, want 550 ms", w)
	}
}

// Guards against a refusal of a caller that cannot come back: it has less left than the
// shortest pause.
func TestLastTryIsHeld(t *testing.T) {
	tr, now := lostFor(8 * time.Second)
	if w := tr.Wait(now, Call{Left: 800 * time.Millisecond}); w != 200*time.Millisecond {
		t.Fatalf("a call with 800 ms left is held for %v, want 200 ms", w)
	}
	if w := tr.Wait(now, Call{Left: 35 * time.Millisecond}); w > 0 {
		t.Fatalf("a call that cannot be answered in time is held for %v", w)
	}
}

// Guards against a Retry-After of one second in an outage that lasts: the caller's tries
// are used up before the leader returns.
func TestRetryAfterFollowsTheOutage(t *testing.T) {
	for _, c := range []struct {
		away     time.Duration
		min, max int
	}{{500 * time.Millisecond, 1, 2}, {10 * time.Second, 9, 30}} {
		tr, now := lostFor(c.away)
		for spread := 0.0; spread < 1; spread += 0.01 {
			if s := tr.RetryAfter(now, time.Minute, spread); s < c.min || s > c.max {
				t.Fatalf("after %v without a leader a caller is asked to wait %d s, want %d to %d", c.away, s, c.min, c.max)
			}
		}
	}
}

// Guards against callers that all return in the same second.
func TestCallersReturnSpreadOut(t *testing.T) {
	tr, now := lostFor(6 * time.Second)
	counts := map[int]int{}
	const callers = 1000
	for i := range callers {
		counts[tr.RetryAfter(now, time.Minute, float64(i)/callers)]++
	}
	for s, n := range counts {
		if n > callers/4 {
			t.Fatalf("%d of %d callers return after %d s, want at most a quarter", n, callers, s)
		}
	}
}

// Guards against an outage that is counted although the leader never was away, which would
// shorten all later estimates.
func TestOnlyAbsencesAreRecoveries(t *testing.T) {
	tr := &Tracker{}
	tr.Lost()
	tr.Contact(start) // the first contact ever
	for i := range 10 {
		tr.Contact(start.Add(time.Duration(i) * time.Second))
	}
	if n, _ := tr.Recoveries(); n != 0 {
		t.Fatalf("%d recoveries without an absence, want none", n)
	}
	tr.Lost()
	if away := tr.Contact(start.Add(11 * time.Second)); away != 2*time.Second {
		t.Fatalf("an absence of 2 s counts as %v", away)
	}
}

// Guards against a call that is held for more than a quarter of what its caller has, or
// told to come back after its caller has given up, whatever the host has seen.
func TestCallersKeepTheirTime(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ms := func(name string, most int) time.Duration {
			return time.Duration(rapid.IntRange(0, most).Draw(rt, name)) * time.Millisecond
		}
		var seen []time.Duration
		for range rapid.IntRange(0, 40).Draw(rt, "recoveries") {
			seen = append(seen, ms("recovery", 60_000))
		}
		tr, now := lostFor(ms("away", 120_000), seen...)
		c := Call{Left: ms("left", 10_000), Waited: ms("waited", 3_000), Sent: rapid.Bool().Draw(rt, "sent")}
		if w := tr.Wait(now, c); w > 0 && c.Waited+w > (c.Left+c.Waited)/4 {
			rt.Fatalf("a call with %v left that has waited %v is held for another %v", c.Left, c.Waited, w)
		}
		s := tr.RetryAfter(now, c.Left, rapid.Float64Range(0, 0.999999).Draw(rt, "spread"))
		if s < 1 || s > 1 && time.Duration(s)*time.Second >= c.Left {
			rt.Fatalf("a caller with %v left is told to come back in %d s", c.Left, s)
		}
	})
}

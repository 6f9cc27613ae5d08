package clock

import (
	"testing"
	"time"
)

// Guards against a clock that runs backward, or more slowly than the steady clock.
func TestNowFollowsTheSteadyClock(t *testing.T) {
	first, steady := Now(), time.Now()
	last := first
	for time.Since(steady) < 50*time.Millisecond {
		now := Now()
		if now.Before(last) {
			t.Fatalf("clock went from %v back to %v", last, now)
		}
		last = now
	}
	passed := time.Since(steady)
	if got := Now().Sub(first); got < passed {
		t.Fatalf("clock advanced by %v in %v", got, passed)
	}
}

package entry

import (
	"testing"

	"github.com/rs/zerolog"

	"gooseberrypond/store/clock"
)

// Guards against requests that are sent under an expired view by a host that was
// suspended: the age of the view must be measured on the clock that counts suspensions.
func TestViewAgeIsMeasuredOnTheClockThatCountsSuspensions(t *testing.T) {
	h := New(Config{Host: "e1", Incarnation: 1, Log: zerolog.Nop()})
	before, now, after := clock.Now(), h.cfg.Now(), clock.Now()
	if now.Before(before) || now.After(after) {
		t.Fatalf("the host's clock reads %v between two readings %v and %v of the clock that counts suspensions", now, before, after)
	}
}

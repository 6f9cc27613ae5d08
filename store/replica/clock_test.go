package replica

import (
	"testing"
	"time"

	"gooseberrypond/store/clock"
)

// Guards against a lease that outlasts a suspension of its holder: it must be measured
// on the clock that counts suspensions.
func TestLeaseIsMeasuredOnTheClockThatCountsSuspensions(t *testing.T) {
	cfg := Config{ID: "c1", ClusterID: "test", Dir: t.TempDir(), StateMachine: newRegister(), Transport: &endpoint{newMemNet(), "c1"}}
	if err := cfg.setDefaults(); err != nil {
		t.Fatal(err)
	}
	before, now, after := clock.Now(), cfg.Now(), clock.Now()
	if now.Before(before) || now.After(after) {
		t.Fatalf("the replica's clock reads %s between two readings %s and %s of the clock that counts suspensions",
			now.Format(time.RFC3339Nano), before.Format(time.RFC3339Nano), after.Format(time.RFC3339Nano))
	}
}

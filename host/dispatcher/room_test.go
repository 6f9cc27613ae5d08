package dispatcher

import (
	"fmt"
	"strings"
	"testing"

	"gooseberrypond/core/graph"
)

// Guards against a leader that accepts large jobs until it has no memory left, and against
// one that refuses small ones because of them.
func TestLargeJobsLeaveRoomForSmallOnes(t *testing.T) {
	d, _ := startSingleReplica(t)
	d.cfg.JobBytes = 400 << 10
	putQueue(t, d)
	large := graph.Spec{Payload: "x", Steps: []graph.Step{{Count: 1, Label: strings.Repeat("x", 20<<10)}}}
	jobs := 0
	submit := func(s graph.Spec) Answer {
		jobs++
		return d.Submit(t.Context(), "h", fmt.Sprintf("/q/%016x", jobs), s)
	}
	accepted := 0
	for range 30 {
		switch a := submit(large); a.Code {
		case Done:
			accepted++
		case NotApplied:
		default:
			t.Fatalf("large job answered %s", a.Code)
		}
	}
	if accepted == 0 || accepted > 10 {
		t.Errorf("%d jobs of 20 KiB accepted, want 1 to 10 in half of 400 KiB", accepted)
	}
	if a := submit(oneTask); a.Code != Done {
		t.Errorf("small job beside them answered %s, want done", a.Code)
	}
	if a := d.Submit(t.Context(), "h", fmt.Sprintf("/q/%016x", 1), large); a.Code != Done {
		t.Errorf("repeated submission answered %s, want done", a.Code)
	}
	if a := d.Look("h", fmt.Sprintf("/q/%016x", 30)); a.Code != NoJob {
		t.Errorf("refused job is shown: %s", a.Code)
	}
}

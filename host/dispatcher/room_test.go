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

// Guards against a count of the bytes of waiting calls that drifts from the calls: once it is
// too high for good, no job finds room any more.
func TestSizeOfQueuedCalls(t *testing.T) {
	var q queuedChanges
	for i := range 300 {
		switch s := (graph.Spec{ID: graph.JobID(fmt.Sprint(i)), Payload: strings.Repeat("x", 10<<10)}); i % 3 {
		case 0:
			q.add(queuedCall{submit: &s})
		case 1:
			q.add(queuedCall{cancel: s.ID})
		default:
			q.add(queuedCall{withdrawal: &graph.Withdrawal{Job: s.ID, Queue: "q"}})
		}
		q.addWaiter(&waiter{})
	}
	for q.maxCalls = 7; len(q.calls) > 0; q.maxCalls *= 2 {
		q.take(&graph.Batch{}, false)
		want := int64(0)
		for i := range q.calls {
			want += int64(q.calls[i].bytes())
		}
		if q.size != want {
			t.Fatalf("%d bytes are counted for %d calls, want %d", q.size, len(q.calls), want)
		}
	}
}

package dispatch

import (
	"testing"
	"time"

	"gooseberrypond/core/graph"
)

// Guards against a job with so many overdue times that the log entry which creates them
// cannot be committed or read, and no later one either.
func TestOverdueOccurrencesAreCreatedInParts(t *testing.T) {
	r := newRig(t)
	const times = 2*maxDueOccurrences + 1
	r.apply(&graph.Batch{Submits: []graph.Spec{{
		ID: "00000000000000a1", Queue: "q", Times: times, IntervalMS: 1, StartAtMS: r.now.Add(-time.Hour).UnixMilli(),
		Steps: []graph.Step{{Count: 1, EstimateMS: 1}},
	}}})
	created := 0
	for _, want := range []int{maxDueOccurrences, maxDueOccurrences, 1, 0} {
		due := r.core.dueOccurrences(r.now.UnixMilli())
		if len(due) != want {
			t.Fatalf("a plan creates %d occurrences after %d, want %d", len(due), created, want)
		}
		r.apply(&graph.Batch{Occurrences: due})
		created += len(due)
	}
	if n := len(r.tables.Job("00000000000000a1").Occurrences); n != times {
		t.Errorf("%d occurrences exist, want %d", n, times)
	}
}

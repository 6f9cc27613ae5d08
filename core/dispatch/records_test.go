package dispatch

import (
	"fmt"
	"strings"
	"testing"

	"gooseberrypond/core/graph"
)

// Guards against a batch that is above the log's limit, since workers list more ends, or
// larger checkpoints, than fit: it can never be committed.
func TestEndsAreCommittedInParts(t *testing.T) {
	r := newRig(t)
	const ends = 100
	for i := range ends {
		r.core.ends = append(r.core.ends, graph.End{Task: graph.TaskRef{Job: graph.JobID(fmt.Sprintf("%016x", i))}, Checkpoint: strings.Repeat("c", maxCheckpointBytes)})
	}
	r.core.waits = []graph.Wait{{Task: graph.TaskRef{Job: "w"}}}
	taken := 0
	for batches := 0; taken < ends; batches++ {
		b := r.core.Plan(r.now, r.now.UnixMilli())
		if batches > ends || len(b.Ends) == 0 {
			t.Fatalf("batch %d has %d ends after %d of %d", batches, len(b.Ends), taken, ends)
		}
		if bytes := len(b.Ends) * maxCheckpointBytes; bytes > maxRecordBytes+maxCheckpointBytes {
			t.Fatalf("batch %d has ends of %d bytes, limit %d", batches, bytes, maxRecordBytes)
		}
		if b.Ends[0].Task.Job != graph.JobID(fmt.Sprintf("%016x", taken)) {
			t.Fatalf("batch %d begins with the end of %s, want that of job %d", batches, b.Ends[0].Task.Job, taken)
		}
		if len(b.Waits) > 0 && taken+len(b.Ends) < ends {
			t.Fatal("a wait is taken before the ends that were queued first")
		}
		taken += len(b.Ends)
		r.apply(b)
	}
}

// Guards against a checkpoint of any size that a worker names: it is sent with each start
// and stored with the task.
func TestTooLargeCheckpointIsNotKept(t *testing.T) {
	for size, want := range map[int]int{16: 16, maxCheckpointBytes: maxCheckpointBytes, maxCheckpointBytes + 1: 0} {
		if got := len(keptCheckpoint(strings.Repeat("c", size))); got != want {
			t.Errorf("of a checkpoint of %d bytes %d are kept, want %d", size, got, want)
		}
	}
}

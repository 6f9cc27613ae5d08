package graph

import (
	"fmt"
	"testing"
)

// beyondLimit is more than the 131,072 elements that the library decodes by default.
const beyondLimit = 140_000

// Guards against control hosts that cannot start again: their snapshot of many jobs, which
// they wrote themselves, is refused.
func TestSnapshotOfManyJobsIsRead(t *testing.T) {
	w := newFixture(t)
	const batch = 20_000
	for n := 0; n < beyondLimit; n += batch {
		var b Batch
		for i := range batch {
			id := JobID(fmt.Sprintf("%016x", n+i))
			b.Submits = append(b.Submits, Spec{ID: id, Queue: "q", Steps: []Step{{Count: 1, EstimateMS: 1}}})
		}
		w.apply(&b)
	}
	data, err := w.tables.Encode()
	if err != nil {
		t.Fatal(err)
	}
	restored, err := Decode(data)
	if err != nil {
		t.Fatalf("a snapshot of %d jobs cannot be read: %v", beyondLimit, err)
	}
	if last := JobID(fmt.Sprintf("%016x", beyondLimit-1)); restored.Job(last) == nil {
		t.Errorf("job %s is not in the restored tables", last)
	}
}

// Guards against a log entry that no replica can read, with which every change in it is
// lost: one with many elements, or with text that is not UTF-8.
func TestEveryEncodedBatchIsRead(t *testing.T) {
	many := &Batch{}
	for i := range beyondLimit {
		many.Occurrences = append(many.Occurrences, OccurrenceDue{Job: jobA, Number: i})
	}
	odd := &Batch{Workers: []WorkerChange{{Report: WorkerReport{ID: "\xff", Address: "a:1"}}}}
	for name, b := range map[string]*Batch{"many elements": many, "text that is not UTF-8": odd} {
		data, err := b.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := DecodeBatch(data); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}

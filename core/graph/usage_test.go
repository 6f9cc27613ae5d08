package graph

import (
	"maps"
	"testing"

	"pgregory.net/rapid"

	"gooseberrypond/core/structs"
)

const jobB JobID = "00000000000000b2"

// Guards against usage that drifts from the attempts in the tables, after any order of
// starts, ends, releases, cancels and snapshots. The load is random batches of work of two
// organisations and of none, fillers and standing tasks among it.
func TestUsageEqualsARecount(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newFixture(t)
		jobs := map[JobID]string{jobA: "x", jobB: "y", "00000000000000c3": "", "00000000000000d4": "x"}
		var refs []TaskRef
		for id, org := range jobs {
			steps := []Step{
				{Count: 2, Need: structs.Resources{CPUMilli: 500, MemoryMB: 7}, Filler: org == "y"},
				{Count: 2, Need: structs.Resources{CPUMilli: 300, Accelerators: 1}, LongRunning: org == "x"},
			}
			w.apply(&Batch{Submits: []Spec{{ID: id, Queue: "q", Steps: steps, Organisation: org}}})
			for step := range 2 {
				refs = append(refs, TaskRef{Job: id, Step: step}, TaskRef{Job: id, Step: step, Index: 1})
			}
		}
		for range rapid.IntRange(0, 80).Draw(rt, "batches") {
			ref := refs[rapid.IntRange(0, len(refs)-1).Draw(rt, "task")]
			run, h := rapid.IntRange(1, 3).Draw(rt, "run"), Handle(rapid.IntRange(1, 2).Draw(rt, "worker"))
			switch rapid.IntRange(0, 9).Draw(rt, "what") {
			case 0:
				w.apply(&Batch{Cancels: []JobID{ref.Job}})
			case 1, 2:
				kind := rapid.SampledFrom([]EndKind{EndDone, EndFailed, EndStopped}).Draw(rt, "kind")
				w.apply(&Batch{Ends: []End{{Task: ref, Run: run, Worker: h, Kind: kind}}})
			case 3:
				w.apply(&Batch{Releases: []Release{{Task: ref, Run: run, Worker: h}}, ForgetBeforeMS: w.nowMS - 10})
			case 4:
				decoded, err := Decode(encoded(t, w.tables))
				if err != nil {
					rt.Fatal(err)
				}
				if !maps.Equal(decoded.usage, w.tables.usage) {
					rt.Fatalf("usage %v after a snapshot, %v before", decoded.usage, w.tables.usage)
				}
				w.tables = decoded
			default:
				w.apply(&Batch{Starts: []Start{{Task: ref, Run: run, Worker: h}}})
			}
			if want := w.tables.RecountUsage(); !maps.Equal(w.tables.usage, want) {
				rt.Fatalf("usage is %v, a recount gives %v", w.tables.usage, want)
			}
		}
	})
}

func withLimit(version uint64, milli int64) *Config {
	return &Config{Version: version,
		Queues:        []Queue{{Name: "q", Host: "h", PathPrefix: "/q/", Pool: "p", Attempts: 2, TimeoutMS: 1}},
		Organisations: []Organisation{{Name: "x", Limit: structs.Resources{CPUMilli: milli}}, {Name: "y"}}}
}

// Guards against a plan that was made under a higher limit, and is committed in one entry
// with the lower one or after it, bringing an organisation above the limit.
func TestStartsAboveTheLimitAreDropped(t *testing.T) {
	w := newFixture(t)
	w.apply(&Batch{Config: withLimit(2, 3000), Submits: []Spec{
		{ID: jobA, Queue: "q", Organisation: "x", Steps: []Step{{Count: 3, Need: structs.Resources{CPUMilli: 1000}}}},
		{ID: jobB, Queue: "q", Organisation: "y", Steps: []Step{{Count: 1, Need: structs.Resources{CPUMilli: 1000}}}},
	}})
	r := w.apply(&Batch{Config: withLimit(3, 2000), Starts: []Start{
		{Task: TaskRef{Job: jobA}, Run: 1, Worker: 1}, {Task: TaskRef{Job: jobA, Index: 1}, Run: 1, Worker: 1},
		{Task: TaskRef{Job: jobA, Index: 2}, Run: 1, Worker: 1}, {Task: TaskRef{Job: jobB}, Run: 1, Worker: 2},
	}})
	if len(r.Started) != 3 || r.Dropped != 1 {
		t.Fatalf("%d starts, %d dropped; want 3 and 1", len(r.Started), r.Dropped)
	}
	if use := w.tables.Usage("x").CPUMilli; use != 2000 {
		t.Fatalf("the organisation holds %d, its limit is 2000", use)
	}
	if w.tables.Usage("y").CPUMilli != 1000 {
		t.Fatal("the start of an organisation without a limit was dropped")
	}
}

// Guards against a gang of which some members start and wait for the others.
func TestGangAboveTheLimitIsDroppedAsAWhole(t *testing.T) {
	w := newFixture(t)
	w.apply(&Batch{Config: withLimit(2, 2000), Submits: []Spec{
		{ID: jobA, Queue: "q", Organisation: "x", Steps: []Step{{Count: 3, Gang: true, Need: structs.Resources{CPUMilli: 1000}}}},
	}})
	starts := []Start{{Task: TaskRef{Job: jobA}, Run: 1, Worker: 1}, {Task: TaskRef{Job: jobA, Index: 1}, Run: 1, Worker: 1},
		{Task: TaskRef{Job: jobA, Index: 2}, Run: 1, Worker: 1}}
	if r := w.apply(&Batch{Starts: starts}); len(r.Started) != 0 || r.Dropped != 3 {
		t.Fatalf("%d members started, %d dropped", len(r.Started), r.Dropped)
	}
	if r := w.apply(&Batch{Config: withLimit(3, 3000), Starts: starts}); len(r.Started) != 3 {
		t.Fatalf("%d members started under a limit that has room for all", len(r.Started))
	}
}

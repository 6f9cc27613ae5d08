package organisation

import (
	"testing"

	"pgregory.net/rapid"

	"gooseberrypond/core/graph"
	"gooseberrypond/core/structs"
)

func tablesWith(orgs ...graph.Organisation) *graph.Tables {
	t := graph.New()
	t.Apply(1, &graph.Batch{Config: &graph.Config{Version: 1, Organisations: orgs}})
	return t
}

func milli(n int64) structs.Resources { return structs.Resources{CPUMilli: n, MemoryMB: n} }

// Guards against a ledger that lets an organisation above its limit, or one whose room is
// wrong after starts are taken back.
func TestTakenWorkStaysWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		limit := rapid.Int64Range(0, 50).Draw(rt, "limit")
		l := New(tablesWith(graph.Organisation{Name: "x", Limit: structs.Resources{CPUMilli: limit}}), milli(100))
		var use int64
		for range rapid.IntRange(0, 50).Draw(rt, "operations") {
			need := rapid.Int64Range(1, 20).Draw(rt, "need")
			fits := limit == 0 || use+need <= limit
			if l.Fits("x", milli(need)) != fits {
				rt.Fatalf("Fits(%d) is %v with %d of %d in use", need, !fits, use, limit)
			}
			if !fits {
				continue
			}
			l.Take("x", milli(need), 1)
			use += need
			if rapid.Bool().Draw(rt, "back") {
				l.Take("x", milli(need), -1)
				use -= need
			}
		}
	})
}

// Guards against work that exceeds the whole limit keeping an organisation's other work
// out, and against smaller work that keeps out for ever what could run.
func TestOnlyWorkThatCanEverRunHoldsRoom(t *testing.T) {
	l := New(tablesWith(graph.Organisation{Name: "x", Limit: milli(10)}), milli(100))
	l.Take("x", milli(7), 1)
	l.Hold("x", milli(11))
	if !l.Fits("x", milli(3)) {
		t.Fatal("a task that can never run holds room")
	}
	l.Hold("x", milli(4))
	if l.Fits("x", milli(1)) {
		t.Fatal("smaller work gets the room that larger work waits for")
	}
	if !l.Fits("y", milli(50)) {
		t.Fatal("another organisation is kept out")
	}
}

// Guards against a share that ignores a dimension, or the weight.
func TestShareIsDominantAndWeighted(t *testing.T) {
	l := New(tablesWith(graph.Organisation{Name: "x", Weight: 2}, graph.Organisation{Name: "y"}), structs.Resources{CPUMilli: 100, MemoryMB: 1000, Accelerators: 4})
	l.Take("x", structs.Resources{CPUMilli: 10, MemoryMB: 400}, 1)
	l.Take("y", structs.Resources{CPUMilli: 10, Accelerators: 1}, 1)
	if l.Share("x") != 0.2 || l.Share("y") != 0.25 || l.Share("z") != 0 {
		t.Fatalf("shares %v, %v, %v", l.Share("x"), l.Share("y"), l.Share("z"))
	}
}

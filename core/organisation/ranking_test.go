package organisation

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gooseberrypond/core/graph"
	"gooseberrypond/core/structs"
)

// Guards against an order in which an organisation comes before one with a lower share, in
// which the work of one organisation changes its order, or in which work is lost.
func TestOrderFollowsShares(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		names := []string{"", "x", "y", "z"}
		l := New(tablesWith(graph.Organisation{Name: "x", Weight: 2}, graph.Organisation{Name: "y", Weight: 0.5}, graph.Organisation{Name: "z"}), milli(1000))
		for _, name := range names {
			l.Take(name, milli(rapid.Int64Range(0, 100).Draw(rt, "use")), 1)
		}
		demands := make([]Demand, rapid.IntRange(0, 40).Draw(rt, "demands"))
		for i := range demands {
			demands[i] = Demand{Account: l.Account(rapid.SampledFrom(names).Draw(rt, "name")), Need: milli(rapid.Int64Range(1, 50).Draw(rt, "need"))}
		}
		var order []int
		new(Ranking).Order(demands, func(i int) { order = append(order, i) })
		if sorted := slices.Sorted(slices.Values(order)); len(sorted) != len(demands) || len(slices.Compact(sorted)) != len(demands) {
			rt.Fatalf("order of %d demands is %v", len(demands), order)
		}
		ranked := map[*Account]structs.Resources{}
		for k, i := range order {
			a := demands[i].Account
			share := a.ShareWith(ranked[a])
			for _, j := range order[k+1:] {
				if demands[j].Account == a && j < i {
					rt.Fatalf("%d comes before %d of the same organisation: %v", i, j, order)
				}
				if other := demands[j].Account.ShareWith(ranked[demands[j].Account]); other < share {
					rt.Fatalf("demand %d at share %v comes before %d at %v", i, share, j, other)
				}
			}
			ranked[a] = ranked[a].Add(demands[i].Need)
		}
	})
}

// Guards against an organisation that is marked although it sends within its weight, or
// that is not marked for long after it has sent beyond it, and against one whose burst
// marks another's work.
func TestExcessIsWhatIsSentBeyondTheWeight(t *testing.T) {
	now, b := time.Unix(1_700_000_000, 0), NewBuckets()
	marked := 0
	for range 600 { // 20 a second for 30 s, weight 5
		now = now.Add(50 * time.Millisecond)
		if b.Excess(now, "x", 5) {
			marked++
		}
	}
	if marked < 425 || marked > 440 { // 600 sent, 150 within the weight, 15 as a burst
		t.Fatalf("%d of 600 jobs are marked", marked)
	}
	for range 15 {
		if b.Excess(now, "y", 5) {
			t.Fatal("a burst within the weight is marked, or the burst of another is")
		}
	}
	for range 100 {
		now = now.Add(time.Second / 4)
		if b.Excess(now, "y", 5) {
			t.Fatal("work within the weight is marked")
		}
	}
	if now = now.Add(-time.Hour); b.Excess(now, "y", 5) {
		t.Fatal("a clock step back empties a bucket")
	}
}

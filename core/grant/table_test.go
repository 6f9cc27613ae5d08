package grant

import (
	"testing"
	"time"

	"gooseberrypond/core/structs"
)

// client models an entry host with one limit and no faults.
type client struct {
	host       string
	seq, acked uint64
	held       int
}

// sync reports a demand and applies the reply at once.
func (c *client) sync(t *testing.T, g *Table, now time.Time, demand int) int {
	t.Helper()
	c.seq++
	grants, err := g.Sync(now, &structs.EntrySync{Host: c.host, Incarnation: 1, Seq: c.seq, AppliedSeq: c.acked,
		Holdings: []structs.Holding{{Key: slotKey, Held: c.held, Demand: demand}}})
	if err != nil {
		t.Fatal(err)
	}
	c.acked, c.held = c.seq, 0
	for _, gr := range grants {
		c.held = gr.Amount
	}
	return c.held
}

func setup(capacity, perHost int, hosts ...string) (*Table, []*client) {
	g := New(epoch, hosts)
	g.SetCapacity(slotKey, capacity, perHost)
	var out []*client
	for _, h := range hosts {
		out = append(out, &client{host: h})
	}
	return g, out
}

// rounds syncs every host n times with the demands.
func rounds(t *testing.T, g *Table, hosts []*client, now *time.Time, n int, demands ...int) {
	t.Helper()
	for range n {
		for i, h := range hosts {
			h.sync(t, g, *now, demands[i])
		}
		*now = now.Add(structs.EntrySyncInterval)
	}
}

// Guards against shares that do not follow the demand or that starve a host.
func TestSharesFollowDemand(t *testing.T) {
	tests := map[string]struct {
		capacity, perHost int
		demands           []int
		want              []int // minimum share after the load is steady
	}{
		"one busy host gets most of what idle hosts leave": {8, 0, []int{20, 0, 0, 0}, []int{6, 0, 0, 0}},
		"equal demand is shared equally":                   {8, 0, []int{20, 20, 20, 20}, []int{2, 2, 2, 2}},
		"small demand is met before large":                 {8, 0, []int{1, 20, 20, 1}, []int{1, 3, 3, 1}},
		"no host holds more than its maximum":              {60, 7, []int{50, 50, 0, 0}, []int{7, 7, 0, 0}},
		"idle hosts keep a floor":                          {64, 0, []int{64, 0, 0, 0}, []int{52, 4, 4, 4}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g, hosts := setup(tc.capacity, tc.perHost, "a", "b", "c", "d")
			now := epoch
			rounds(t, g, hosts, &now, 5, tc.demands...)
			for i, h := range hosts {
				if h.held < tc.want[i] || tc.perHost > 0 && h.held > tc.perHost {
					t.Errorf("host %s holds %d, want at least %d", h.host, h.held, tc.want[i])
				}
			}
		})
	}
}

// Guards against slots that stay with a host after its load has ended.
func TestIdleHostReturnsSlotsWithinTwoSyncs(t *testing.T) {
	g, hosts := setup(8, 0, "a", "b")
	now := epoch
	rounds(t, g, hosts, &now, 5, 20, 0)
	rounds(t, g, hosts, &now, 2, 0, 20)
	if got := hosts[1].sync(t, g, now, 20); got < 6 {
		t.Errorf("host b holds %d of 8 slots after host a became idle, want at least 6", got)
	}
}

// Guards against starving a host when there are fewer slots than hosts.
func TestScarceSlotsRotate(t *testing.T) {
	g, hosts := setup(1, 0, "a", "b", "c")
	now := epoch
	had := map[string]bool{}
	for range 40 {
		rounds(t, g, hosts, &now, 1, 1, 1, 1)
		for _, h := range hosts {
			had[h.host] = had[h.host] || h.held > 0
		}
	}
	if len(had) != 3 || !had["a"] || !had["b"] || !had["c"] {
		t.Errorf("hosts that held the slot: %v, want a, b and c", had)
	}
}

// Guards against a new leader that grants free capacity before it knows all
// holdings, or that revokes the holdings that hosts report.
func TestNewLeaderRenewsUntilHoldingsKnown(t *testing.T) {
	g, hosts := setup(8, 0, "a", "b", "silent")
	a, b := hosts[0], hosts[1]
	a.held, b.held = 3, 7
	now := epoch.Add(time.Second)
	if got := a.sync(t, g, now, 8); got != 3 {
		t.Errorf("a renewed %d, want 3", got)
	}
	if got := b.sync(t, g, now, 8); got != 5 {
		t.Errorf("b renewed %d, want 5: holdings above the capacity are cut back", got)
	}
	now = epoch.Add(structs.GrantReclaim)
	a.sync(t, g, now, 8)
	b.sync(t, g, now, 8)
	if a.held+b.held != 8 || g.HoldingsKnown(now) {
		t.Errorf("a holds %d and b %d before the reclaim time, want 8 together and holdings not known", a.held, b.held)
	}
	now = now.Add(time.Second)
	if !g.HoldingsKnown(now) {
		t.Error("holdings not known after the reclaim time")
	}
}

// Guards against counting a reduction before its holder has confirmed it, and
// against losing slots when a limit is removed and set again.
func TestReductionCountsOnceConfirmed(t *testing.T) {
	g, hosts := setup(8, 0, "a", "b")
	a, b := hosts[0], hosts[1]
	now := epoch
	rounds(t, g, hosts, &now, 4, 20, 0)
	held, floor := a.held, b.held
	if held+floor != 8 || floor > 2 {
		t.Fatalf("a holds %d and b %d of 8 slots, want 8 together and at most 2 for b", held, floor)
	}
	g.Remove(slotKey)
	if a.sync(t, g, now, 8); g.Outstanding(slotKey) != 8 {
		t.Errorf("%d slots outstanding before a confirmed its reduction, want 8", g.Outstanding(slotKey))
	}
	g.SetCapacity(slotKey, 8, 0)
	if got := b.sync(t, g, now, 20); got > floor {
		t.Errorf("b holds %d slots before a confirmed its reduction", got)
	}
	a.held, a.acked = held, a.acked-1 // the reply was lost
	a.sync(t, g, now, 0)
	if got := b.sync(t, g, now, 20); got > floor {
		t.Errorf("b holds %d slots after a lost reply to a", got)
	}
	a.sync(t, g, now, 0)
	if got := b.sync(t, g, now, 20); got <= floor {
		t.Error("b has no more slots after a confirmed its reduction")
	}
}

// Guards against accepting reports out of order or from hosts that are not
// configured.
func TestSyncRefusals(t *testing.T) {
	g := New(epoch, []string{"a"})
	tests := []struct {
		host             string
		incarnation, seq uint64
		want             structs.ErrorCode
	}{
		{"a", 2, 5, ""},
		{"a", 2, 5, structs.CodeConflict},
		{"a", 2, 4, structs.CodeConflict},
		{"a", 1, 9, structs.CodeConflict},
		{"b", 1, 1, structs.CodeBadRequest},
		{"a", 2, 6, ""},
		{"a", 3, 1, ""},
	}
	for i, tc := range tests {
		_, err := g.Sync(epoch, &structs.EntrySync{Host: tc.host, Incarnation: tc.incarnation, Seq: tc.seq})
		if err == nil && tc.want != "" || err != nil && err.Code != tc.want {
			t.Errorf("sync %d: %v, want %q", i, err, tc.want)
		}
	}
}

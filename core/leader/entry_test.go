package leader

import (
	"encoding/json"
	"testing"
	"time"

	"gooseberrypond/core/structs"
)

func putCatalogue(b *testbed, id string, c structs.Catalogue) {
	b.apply(&structs.Command{PutCatalogue: &structs.PutCatalogue{ChangeID: id, BaseVersion: b.t.Catalogue().Version, Catalogue: c}})
}

func setDomain(b *testbed, id string, out bool) {
	b.apply(&structs.Command{SetDomain: &structs.SetDomain{ChangeID: id, Domain: "a", Out: out}})
}

// Guards against a change that is reported in force while an entry host without
// contact to the leader may still start requests under the previous version.
func TestInForce(t *testing.T) {
	b := newTestbed("h1", "h2")
	putCatalogue(b, "c1", testCatalogue())
	sync := func(host string, version, domains uint64) structs.EntryView {
		view, err := b.core.EntrySync(b.now, 1, &structs.EntrySync{Host: host, CatalogueVersion: version, DomainsVersion: domains})
		if err != nil {
			t.Fatal(err)
		}
		return view
	}
	want := func(h1, h2 bool) {
		t.Helper()
		b.core.Tick(b.now, b.now.UnixMilli())
		if got := b.core.InForce(1); got["h1"] != h1 || got["h2"] != h2 {
			t.Errorf("version 1 in force on %v, want h1 %v and h2 %v", got, h1, h2)
		}
	}
	if view := sync("h1", 0, 0); view.Catalogue == nil || view.CatalogueVersion != 1 {
		t.Errorf("view = %+v, want the catalogue", view)
	}
	want(false, false)
	if view := sync("h1", 1, 0); view.Catalogue != nil {
		t.Error("catalogue sent to a host that already has it")
	}
	want(true, false)
	b.now = b.now.Add(structs.ViewMaxAge)
	want(true, false)
	b.now = b.now.Add(silentAfter - structs.ViewMaxAge)
	want(true, true)
	sync("h2", 0, 0)
	want(true, true)
	setDomain(b, "d", true)
	if got := b.core.DomainsInForce(1); got["h2"] {
		t.Error("domain change reported in force on a host that has not received it")
	}
}

// Guards against grants for upstreams that are leaving, have expired or are
// known only from a former leader after adoptWindow, and against missing grants
// right after a change of leader.
func TestUpstreams(t *testing.T) {
	up := structs.Upstream{Name: "u", Entry: "watch", Address: "x:1", Domain: "a", Slots: 8, Connections: 60}
	key := structs.GrantKey{Kind: structs.GrantUpstream, Name: "u"}
	announce := func(b *testbed) { _ = b.core.Announce(b.now, up) }
	tests := []struct {
		name  string
		run   func(b *testbed)
		after time.Duration
		slots int
		known bool
	}{
		{"announced", announce, 0, 8, true},
		{"not renewed", announce, structs.UpstreamTTL, 0, false},
		{"left", func(b *testbed) { announce(b); b.core.Leave(b.now, "u"); announce(b) }, 0, 0, true},
		{"left before it was known", func(b *testbed) { b.core.Leave(b.now, "u"); announce(b) }, 0, 0, true},
		{"back after it left", func(b *testbed) {
			b.core.Leave(b.now, "u")
			b.now = b.now.Add(structs.UpstreamTTL)
			announce(b)
		}, 0, 8, true},
		{"domain out", func(b *testbed) { announce(b); setDomain(b, "d", true) }, 0, 0, true},
		{"domain back", func(b *testbed) { announce(b); setDomain(b, "d", true); setDomain(b, "e", false) }, 0, 8, true},
		{"few connections", func(b *testbed) { u := up; u.Connections = 2; _ = b.core.Announce(b.now, u) }, 0, 2, true},
		{"entry unknown", func(b *testbed) { u := up; u.Entry = "x"; _ = b.core.Announce(b.now, u) }, 0, 0, false},
		{"entry removed", func(b *testbed) {
			announce(b)
			c := testCatalogue()
			delete(c.Entries, "watch")
			putCatalogue(b, "c2", c)
		}, 0, 0, false},
		{"adopted", func(b *testbed) { b.core.adoptUpstreams(b.now, []structs.Upstream{up}) }, 0, 8, true},
		{"adopted, not announced", func(b *testbed) { b.core.adoptUpstreams(b.now, []structs.Upstream{up}) }, adoptWindow, 0, true},
		{"adopted too late", func(b *testbed) { b.now = b.now.Add(adoptWindow); b.core.adoptUpstreams(b.now, []structs.Upstream{up}) }, 0, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newTestbed("h1")
			putCatalogue(b, "c1", testCatalogue())
			tt.run(b)
			b.tick(tt.after)
			list := b.core.Upstreams(b.now)
			if got := b.core.grants.(*recordingGrants).capacity[key]; got != tt.slots || (len(list) == 1) != tt.known {
				t.Errorf("slots %d, upstreams %v; want %d slots, upstream listed %v", got, list, tt.slots, tt.known)
			}
			if tt.known && list[0].Leaving != (tt.slots == 0) {
				t.Errorf("leaving = %v, want it set exactly if no slots are granted", list[0].Leaving)
			}
		})
	}
}

// Guards against limits of owners that differ from the catalogue or stay in
// place after a catalogue edit has removed the owner.
func TestOwnerLimitsFollowTheCatalogue(t *testing.T) {
	b := newTestbed("h1")
	c := testCatalogue()
	c.Owners["desk"] = structs.Owner{Concurrency: 5, RequestRate: 7}
	putCatalogue(b, "c1", c)
	b.tick(0)
	limits := b.core.grants.(*recordingGrants).capacity
	if limits[structs.GrantKey{Kind: structs.GrantConcurrency, Name: "desk"}] != 5 || limits[structs.GrantKey{Kind: structs.GrantRate, Name: "desk"}] != 7 {
		t.Errorf("limits = %v, want concurrency 5 and rate 7 for desk", limits)
	}
	c = testCatalogue()
	delete(c.Owners, "desk")
	delete(c.Entries, "sheets")
	putCatalogue(b, "c2", c)
	b.tick(0)
	if len(limits) != 0 {
		t.Errorf("limits = %v after the owner was removed, want none", limits)
	}
}

// Guards against occurrences that are lost after an outage or all run at its end.
func TestMissedOccurrences(t *testing.T) {
	tests := []struct {
		rule   structs.MissedRule
		outage time.Duration
		ran    int
		skip   int64
	}{
		{"", 35 * time.Second, 1, 3},
		{structs.MissedRunOnce, 59 * time.Second, 1, 5},
		{structs.MissedSkip, 31 * time.Second, 1, 3},
		{structs.MissedSkip, 45 * time.Minute, 0, 1},
	}
	for _, tt := range tests {
		b := newTestbed()
		c := testCatalogue()
		e := c.Entries["sheets"]
		e.Missed = tt.rule
		c.Entries["sheets"] = e
		putCatalogue(b, "c1", c)
		spec := structs.JobSpec{Entry: "sheets", Kind: structs.KindRecurring, EveryMS: 10_000}
		if tt.skip == 1 {
			spec.EveryMS = time.Hour.Milliseconds()
		}
		job := b.apply(&structs.Command{SubmitJobs: &structs.SubmitJobs{Jobs: []structs.SubmitJob{{Owner: "desk", Key: "k", Spec: spec}}}}).Submits[0].Job
		b.tick(tt.outage)
		b.tick(0)
		ran := len(b.t.TasksOf(job)) - int(b.t.Job(job).Skipped)
		if ran != tt.ran || b.t.Job(job).Skipped != tt.skip {
			t.Errorf("rule %q, outage %v: ran %d, skipped %d; want %d, %d", tt.rule, tt.outage, ran, b.t.Job(job).Skipped, tt.ran, tt.skip)
		}
	}
}

// Guards against a log filled by repeated plans while the last one is not yet
// applied, or by repeated notes that are dropped when applied.
func TestPlansAndNotesAreNotRepeated(t *testing.T) {
	b := newTestbed()
	putCatalogue(b, "c1", testCatalogue())
	spec := structs.JobSpec{Entry: "sheets", Kind: structs.KindRecurring, EveryMS: 10_000}
	b.apply(&structs.Command{SubmitJobs: &structs.SubmitJobs{Jobs: []structs.SubmitJob{{Owner: "desk", Key: "k", Spec: spec}}}})
	count := func(after time.Duration) int {
		b.now = b.now.Add(after)
		return len(b.core.Tick(b.now, b.now.UnixMilli()))
	}
	if first, second, late := count(0), count(planTimeout/2), count(planTimeout/2); first != 1 || second != 0 || late != 1 {
		t.Errorf("plans %d, %d, %d; want 1, 0 and 1 after the timeout", first, second, late)
	}
	notes := []structs.JobNote{{Job: "j"}}
	if got := b.core.dropRepeatedNotes(b.now, notes); len(got) != 1 || len(b.core.dropRepeatedNotes(b.now, notes)) != 0 {
		t.Errorf("first notes %v, want 1, and none when repeated", got)
	}
}

// Guards against a dump that does not encode as JSON or lacks a part.
func TestDumpEncodes(t *testing.T) {
	b := newTestbed("h1")
	putCatalogue(b, "c1", testCatalogue())
	data, err := json.Marshal(b.core.Dump(b.now))
	if err != nil {
		t.Fatal(err)
	}
	var got struct {
		Tables     struct{ Catalogue *structs.Catalogue }
		EntryHosts map[string]EntryHost `json:"entry_hosts"`
		Counts     Counts
	}
	if err := json.Unmarshal(data, &got); err != nil || got.Tables.Catalogue == nil || len(got.EntryHosts) != 1 || got.Counts.CatalogueVersion != 1 {
		t.Errorf("dump %s, error %v; want the catalogue, 1 entry host and catalogue version 1", data, err)
	}
}

// Guards against a reply with changes relative to a view of another leader, and
// against a removal that is not sent again after the reply with it was lost.
func TestEntrySyncSendsChanges(t *testing.T) {
	b := newTestbed("h1")
	putCatalogue(b, "c1", testCatalogue())
	up := structs.Upstream{Name: "u", Entry: "watch", Address: "x:1", Domain: "a", Slots: 8, Connections: 60}
	_ = b.core.Announce(b.now, up)
	sync := func(req structs.EntrySync) structs.EntryView {
		t.Helper()
		req.Host = "h1"
		view, err := b.core.EntrySync(b.now, 2, &req)
		if err != nil {
			t.Fatal(err)
		}
		return view
	}
	if v := sync(structs.EntrySync{Seq: 7, Base: 6, AppliedSeq: 6, AppliedTerm: 1}); !v.Resend || v.Seq != 7 || v.CatalogueVersion != 0 {
		t.Errorf("reply to a report with an unknown base: %+v, want Resend only", v)
	}
	if h := b.core.EntryHosts(b.now)["h1"]; h.Synced {
		t.Error("ignored report counted as a sync")
	}
	if v := sync(structs.EntrySync{Seq: 8, AppliedSeq: 6, AppliedTerm: 1}); v.Base != 0 || len(v.Upstreams) != 1 {
		t.Errorf("first answer: %+v, want a complete view", v)
	}
	if v := sync(structs.EntrySync{Seq: 9, Base: 8, AppliedSeq: 8, AppliedTerm: 2}); v.Base != 8 || len(v.Upstreams)+len(v.Gone) != 0 {
		t.Errorf("reply without changes: %+v, want base 8 and no upstreams", v)
	}
	b.now = b.now.Add(structs.UpstreamTTL)
	for seq := uint64(10); seq <= 12; seq++ {
		if v := sync(structs.EntrySync{Seq: seq, AppliedSeq: 9, AppliedTerm: 2}); v.Base != 9 || len(v.Gone) != 1 {
			t.Errorf("reply %d after the upstream expired: %+v, want base 9 and 1 removal", seq, v)
		}
	}
	if v := sync(structs.EntrySync{Seq: 13, Base: 12, AppliedSeq: 12, AppliedTerm: 2}); v.Base != 12 || len(v.Gone) != 0 {
		t.Errorf("reply after the removal was confirmed: %+v, want base 12 and no removal", v)
	}
}

// Guards against a later leader that grants slots to a restarted host while
// requests of the host's earlier incarnation may still run, and against a new
// cluster whose first leader waits before it grants any.
func TestFirstLeaderGrantsAtOnce(t *testing.T) {
	for _, first := range []bool{true, false} {
		b := newTestbed("h1")
		if first {
			b.core = New(b.now, b.t, []string{"h1"})
		}
		putCatalogue(b, "c1", testCatalogue())
		if !first {
			b.core = New(b.now, b.t, []string{"h1"})
		}
		_ = b.core.Announce(b.now, structs.Upstream{Name: "u", Entry: "watch", Address: "x:1", Domain: "a", Slots: 8, Connections: 60})
		var granted int
		for seq := uint64(1); seq <= 3; seq++ {
			view, err := b.core.EntrySync(b.now, 1, &structs.EntrySync{Host: "h1", Seq: seq, AppliedSeq: seq - 1, AppliedTerm: min(seq-1, 1), Young: true})
			if err != nil {
				t.Fatal(err)
			}
			granted += len(view.Grants)
		}
		if (granted > 0) != first {
			t.Errorf("first leader %v: %d grants; want some only from the first leader", first, granted)
		}
	}
}

package route

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gooseberrypond/core/structs"
)

var startTime = time.Unix(1000, 0)

// fixture is a router whose catalogue has one entry, "book", of the owner "desk".
type fixture struct {
	*Router
	now       time.Time
	owner     structs.Owner
	entry     structs.Entry
	upstreams []structs.Upstream
	grants    []structs.Grant
}

func newFixture(upstreams, slots int) *fixture {
	f := &fixture{Router: New("e1", 1), now: startTime, entry: structs.Entry{Owner: "desk", RequestTimeoutMS: 10_000}}
	for i := range upstreams {
		name := fmt.Sprintf("u%02d", i)
		f.upstreams = append(f.upstreams, structs.Upstream{Name: name, Entry: "book", Address: name, Slots: slots, Connections: 60})
		f.grant(structs.GrantUpstream, name, slots)
	}
	f.sync()
	return f
}

func (f *fixture) grant(kind structs.GrantKind, name string, amount int) {
	f.grants = append(f.grants, structs.Grant{Key: structs.GrantKey{Kind: kind, Name: name}, Amount: amount})
}

// sync sends a report, applies a complete view as its reply, and returns the
// report.
func (f *fixture) sync() *structs.EntrySync {
	req := f.PrepareSync(f.now)
	f.ApplyView(f.now, &structs.EntryView{Seq: req.Seq, Term: 1, CatalogueVersion: req.Seq, EntryHosts: 1, Upstreams: f.upstreams, Grants: f.grants,
		Catalogue: &structs.Catalogue{Version: req.Seq, Owners: map[string]structs.Owner{"desk": f.owner}, Entries: map[string]structs.Entry{"book": f.entry}}})
	return req
}

func (f *fixture) admit(idempotent bool) Decision {
	return f.Admit(f.now, Request{Owner: "desk", Entry: "book", Idempotent: idempotent})
}

// serve admits one request and ends its attempt with outcome after the duration
// elapsed.
func (f *fixture) serve(t *testing.T, elapsed time.Duration, outcome AttemptOutcome) []Decision {
	t.Helper()
	d := f.admit(true)
	if d.Action != ActionStart {
		t.Fatalf("request was not started: %+v", d)
	}
	f.now = f.now.Add(elapsed)
	return f.Done(f.now, d.AttemptID, outcome)
}

func codeOf(d Decision) structs.ErrorCode {
	if d.Err == nil {
		return ""
	}
	return d.Err.Code
}

// Guards against retries that multiply the load on failing upstreams: when every
// attempt fails, the retries must stay within the budget.
func TestRetriesStayWithinBudget(t *testing.T) {
	f := newFixture(10, 4)
	starts := 0
	const requests = 200
	for range requests {
		d := f.admit(true)
		for d.Action == ActionStart {
			starts++
			out := f.Done(f.now, d.AttemptID, AttemptFailed)
			d = out[0]
		}
		f.now = f.now.Add(time.Millisecond)
	}
	if maxStarts := requests + requests/10 + budgetMin; starts > maxStarts || starts <= requests {
		t.Errorf("%d attempts for %d requests, want more attempts than requests and at most %d", starts, requests, maxStarts)
	}
}

// Guards against sending requests to an upstream that fails all of them, and
// against ejecting so many upstreams that the others are overloaded.
func TestEjection(t *testing.T) {
	f := newFixture(4, 4)
	ejected := func() (names []string) {
		for _, u := range f.Snapshot(f.now).Upstreams {
			if u.Ejected {
				names = append(names, u.Name)
			}
		}
		return names
	}
	for range 100 {
		f.serve(t, time.Millisecond, AttemptUnhealthy)
	}
	if got := ejected(); len(got) != 2 {
		t.Fatalf("%v of 4 upstreams ejected, want half", got)
	}
	first := ejected()[0]
	f.upstreams = slices.DeleteFunc(f.upstreams, func(u structs.Upstream) bool { return !slices.Contains(ejected(), u.Name) })
	f.sync()
	if got := ejected(); len(got) != 1 {
		t.Errorf("%v of 2 upstreams ejected after the others left, want one", got)
	}
	f = newFixture(4, 4)
	for range 60 {
		outcome := AttemptOK
		d := f.admit(true)
		if d.Upstream.Name == first {
			outcome = AttemptFailed
		}
		for _, next := range f.Done(f.now, d.AttemptID, outcome) {
			f.Done(f.now, next.AttemptID, AttemptOK)
		}
	}
	if got := ejected(); len(got) != 1 || got[0] != first {
		t.Fatalf("ejected %v, want %s", got, first)
	}
	f.now = f.now.Add(ejectBase)
	if got := ejected(); len(got) != 0 {
		t.Errorf("%v still ejected after %s", got, ejectBase)
	}
}

// Guards against ejecting healthy upstreams because a caller sets timeouts
// shorter than the upstream's answer time.
func TestShortTimeoutsDoNotEject(t *testing.T) {
	f := newFixture(2, 4)
	for range 20 {
		d := f.Admit(f.now, Request{Owner: "desk", Entry: "book", Timeout: 10 * time.Millisecond})
		f.now = f.now.Add(10 * time.Millisecond)
		f.Done(f.now, d.AttemptID, AttemptTimeout)
		f.sync()
	}
	if n := f.Stats().Ejections; n != 0 {
		t.Errorf("%d ejections, want none", n)
	}
}

// Guards against refusals that come only near the deadline although it was
// known earlier that the request could not be served in time.
func TestRefusesRequestThatCannotMeetDeadline(t *testing.T) {
	f := newFixture(1, 1)
	f.serve(t, time.Second, AttemptOK)
	busy := f.admit(false)
	tests := map[string]struct {
		timeout time.Duration
		want    structs.ErrorCode
	}{
		"shorter than the mean": {900 * time.Millisecond, structs.CodeDeadline},
		"no time to queue":      {1900 * time.Millisecond, structs.CodeDeadline},
		"enough":                {5 * time.Second, ""},
	}
	for name, tc := range tests {
		d := f.Admit(f.now, Request{Owner: "desk", Entry: "book", Timeout: tc.timeout})
		if codeOf(d) != tc.want {
			t.Errorf("%s: unexpected result %v", name, d.Err)
		}
		if d.Err != nil && (d.Err.Outcome != structs.OutcomeNotRun || d.Err.RetryAfterMS < 500) {
			t.Errorf("%s: refusal %+v, want outcome not run and retry after at least 500 ms", name, d.Err)
		}
	}
	f.now = f.now.Add(1700 * time.Millisecond)
	f.sync()
	f.now = f.now.Add(time.Second)
	out := f.Tick(f.now)
	if len(out) != 1 || codeOf(out[0]) != structs.CodeDeadline {
		t.Errorf("after half of the timeout in the queue: decisions %+v, want one refusal", out)
	}
	_ = busy
}

// Guards against a rate share that lets more requests through than its rate.
func TestRateShare(t *testing.T) {
	f := newFixture(1, 60)
	f.owner = structs.Owner{RequestRate: 100, MaxQueued: 1000}
	f.grant(structs.GrantRate, "desk", 20)
	f.sync()
	started := 0
	for i := range 5000 {
		d := f.admit(true)
		decisions := append([]Decision{d}, f.Tick(f.now)...)
		for len(decisions) > 0 {
			d, decisions = decisions[0], decisions[1:]
			if d.Action == ActionStart {
				started++
				decisions = append(decisions, f.Done(f.now, d.AttemptID, AttemptOK)...)
			}
		}
		if codeOf(d) != "" && codeOf(d) != structs.CodeRateLimited {
			t.Fatalf("request refused: %v", d.Err)
		}
		f.now = f.now.Add(time.Millisecond)
		if i%200 == 0 {
			f.sync()
		}
	}
	if started < 95 || started > 106 {
		t.Errorf("%d requests started in 5 s at 20 per second, want 95 to 106", started)
	}
}

// Guards against hedges of requests that are not idempotent, hedges that start
// too early or at the same upstream, and two committed answers.
func TestHedge(t *testing.T) {
	f := newFixture(3, 2)
	f.entry.Hedge = true
	f.sync()
	for range 50 {
		f.serve(t, 10*time.Millisecond, AttemptOK)
	}
	f.sync()
	slow, once := f.admit(true), f.admit(false)
	f.now = f.now.Add(9 * time.Millisecond)
	if out := f.Tick(f.now); len(out) != 0 {
		t.Errorf("hedge started too early: %+v", out)
	}
	f.now = f.now.Add(30 * time.Millisecond)
	out := f.Tick(f.now)
	if len(out) != 1 || out[0].Request != slow.Request || out[0].Upstream.Name == slow.Upstream.Name {
		t.Fatalf("hedges %+v, want one of %+v at another upstream and none of %+v", out, slow, once)
	}
	cancels, ok := f.Commit(out[0].AttemptID)
	if !ok || len(cancels) != 1 || cancels[0].AttemptID != slow.AttemptID {
		t.Errorf("commit of the hedge returned %v and cancels %+v, want true and a cancel of the first attempt", ok, cancels)
	}
	if _, ok := f.Commit(slow.AttemptID); ok {
		t.Error("two attempts of one request were committed")
	}
}

// Guards against lightly loaded hosts that request slots of the same few
// upstreams or of all of them, idle hosts that request any, and demand that lags
// behind a growing load.
func TestReportedDemand(t *testing.T) {
	f := newFixture(10, 4)
	demand := func() (total, requested int) {
		for _, h := range f.sync().Holdings {
			total += h.Demand
			if h.Demand > 0 {
				requested++
			}
		}
		return total, requested
	}
	if total, _ := demand(); total != 0 {
		t.Errorf("idle host requests %d slots, want none", total)
	}
	for range 2 {
		f.admit(false)
	}
	if total, requested := demand(); total < 4 || requested > 5 {
		t.Errorf("2 requests: demand %d on %d upstreams, want at least 4 on at most 5", total, requested)
	}
	for range 50 {
		f.admit(false)
	}
	if !f.WantsSync() {
		t.Error("router does not want a sync for queued requests")
	}
	if total, requested := demand(); total < 75 || requested != 10 {
		t.Errorf("52 requests: demand %d on %d upstreams, want at least 75 on 10", total, requested)
	}
}

// Guards against refused requests after a change of leader: the new leader knows
// no upstreams until the hosts report theirs.
func TestReportsUpstreamsToNewLeader(t *testing.T) {
	f := newFixture(2, 4)
	view := func(req *structs.EntrySync, upstreams []structs.Upstream) *structs.EntryView {
		version, _ := f.Versions()
		return &structs.EntryView{Seq: req.Seq, Term: 2, CatalogueVersion: version, EntryHosts: 1, Upstreams: upstreams, Grants: f.grants}
	}
	req := f.PrepareSync(f.now)
	f.ApplyView(f.now, &structs.EntryView{Seq: req.Seq, Term: 2, Resend: true})
	if d := f.admit(false); d.Action != ActionStart || len(req.Upstreams) != 0 || !f.WantsSync() {
		t.Errorf("after the first answer: decision %+v, report %+v, want a start, a report without upstreams and a wanted sync", d, req)
	}
	req = f.PrepareSync(f.now)
	if len(req.Upstreams) != 2 {
		t.Errorf("reported upstreams %+v, want 2", req.Upstreams)
	}
	f.ApplyView(f.now, view(req, req.Upstreams[:1]))
	if got := f.Snapshot(f.now); got.Term != 2 || len(got.Upstreams) != 1 && f.PrepareSync(f.now).Upstreams != nil {
		t.Errorf("after the second answer: %+v, want term 2, and one upstream or a next report without upstreams", got)
	}
}

// Guards against starting queued requests of an entry that has been removed
// from the catalogue.
func TestRemovedEntryStartsNoRequests(t *testing.T) {
	f := newFixture(1, 1)
	first, queued := f.admit(false), f.admit(false)
	req := f.PrepareSync(f.now)
	f.ApplyView(f.now, &structs.EntryView{Seq: req.Seq, Term: 1, CatalogueVersion: 99, EntryHosts: 1, Upstreams: f.upstreams, Grants: f.grants, Catalogue: &structs.Catalogue{Version: 99}})
	out := f.Done(f.now, first.AttemptID, AttemptOK)
	out = append(out, f.Tick(f.now)...)
	if len(out) != 1 || out[0].Request != queued.Request || out[0].Action != ActionRefuse || out[0].Err.Outcome != structs.OutcomeNotRun {
		t.Errorf("decisions %+v, want only the refusal of the queued request as not run", out)
	}
}

// Guards against load that concentrates on a few upstreams although all have
// granted slots.
func TestPickSpreadsLoad(t *testing.T) {
	f := newFixture(10, 8)
	for range 40 {
		f.admit(false)
	}
	for _, u := range f.Snapshot(f.now).Upstreams {
		if u.InUse < 2 || u.InUse > 6 {
			t.Errorf("%s has %d of 40 requests over 10 upstreams, want 2 to 6", u.Name, u.InUse)
		}
	}
}

// BenchmarkAdmitDone measures one request through the router with 65 upstreams,
// the size of current deployments.
func BenchmarkAdmitDone(b *testing.B) {
	f := newFixture(65, 8)
	b.ReportAllocs()
	for b.Loop() {
		d := f.admit(true)
		f.Commit(d.AttemptID)
		f.Done(f.now, d.AttemptID, AttemptOK)
	}
}

// A restarted host reports Young while requests of its previous incarnation may
// still be running. Guards against a host that reports it too briefly or never
// stops doing so.
func TestYoungUntilGrantReclaim(t *testing.T) {
	f := newFixture(1, 1)
	startedAt := f.now
	for _, age := range []time.Duration{time.Second, structs.GrantReclaim - 1, structs.GrantReclaim} {
		f.now = startedAt.Add(age)
		if got := f.sync().Young; got != (age < structs.GrantReclaim) {
			t.Errorf("young %v at age %v", got, age)
		}
	}
}

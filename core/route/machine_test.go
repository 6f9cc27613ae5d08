package route

import (
	"flag"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gooseberrypond/core/delta"
	"gooseberrypond/core/structs"
)

// The seed is fixed so that every CI run tests the same sequences. Flags on the
// command line override these values.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "1000", "rapid.steps": "80"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// requestModel is the model's state of one request.
type requestModel struct {
	idempotent bool
	starts     int
	sent       bool // an attempt ended in a way that may have reached an upstream
	inFlight   []AttemptID
	ended      bool
	answered   bool
}

// attemptModel is the model's state of an attempt in flight.
type attemptModel struct {
	req       RequestID
	upstream  string
	committed bool
}

// machine drives a router with random events and checks it against a model of
// the leader and the upstreams.
type machine struct {
	r           *Router
	now         time.Time
	freshUntil  time.Time
	grants      map[string]int // in force, according to the model
	leaving     map[string]bool
	owner       structs.Owner
	concurrency int
	version     uint64 // of the leader's catalogue
	inForce     uint64 // catalogue version in force, according to the model
	term        uint64
	session     delta.Session
	requests    map[RequestID]*requestModel
	inFlight    map[AttemptID]*attemptModel
	inUse       map[string]int
}

const slotsPerUpstream = 4

var upstreamNames = []string{"u1", "u2", "u3"}

// sync runs one sync. The reply may be late, or have a wrong field, so that the
// router must ignore it.
func (m *machine) sync(t *rapid.T) {
	sentAt := m.now
	req := m.r.PrepareSync(sentAt)
	full, ok := m.session.Expand(m.term, req)
	if !ok {
		t.Fatalf("report %+v is relative to a base that the leader does not have", req)
	}
	m.checkReport(t, full)
	if req.Base == 0 && len(req.Upstreams) != len(m.r.knownUpstreams()) {
		t.Fatalf("complete report %+v does not list all known upstreams", req)
	}
	m.now = m.now.Add(rapid.SampledFrom([]time.Duration{0, time.Millisecond, time.Second, 2 * time.Second}).Draw(t, "delay"))
	fault := rapid.SampledFrom([]string{"", "", "", "seq", "term", "version", "base"}).Draw(t, "fault")
	if rapid.IntRange(0, 3).Draw(t, "elected") == 0 {
		if req.Base != 0 {
			m.replyResend(t, sentAt, req)
			return
		}
		m.term++
		m.session = delta.Session{}
		full, _ = m.session.Expand(m.term, req)
	}
	m.version++
	all, grants, leaving, concurrency := m.drawView(t, req.Seq)
	// The leader's session records the reply as sent even if the router
	// ignores it.
	v := m.session.Reduce(m.term, full, *all)
	switch {
	case fault == "seq":
		v.Seq--
	case fault == "term" && m.r.view.term > 0 && v.Base == 0:
		v.Term = m.r.view.term - 1
	case fault == "term" && v.Base != 0:
		v.Term++
	case fault == "version" && m.r.view.catalogue != nil:
		v.CatalogueVersion, _ = m.r.Versions()
		v.CatalogueVersion--
	case fault == "base" && v.Base != 0:
		v.Base++
	default:
		fault = ""
	}
	m.r.ApplyView(sentAt, &v)
	if fault == "" {
		m.grants, m.leaving, m.concurrency, m.inForce = grants, leaving, concurrency, m.version
		m.freshUntil = sentAt.Add(structs.ViewMaxAge)
		if got := m.r.Upstreams(); !slices.Equal(got, all.Upstreams) {
			t.Fatalf("applied upstreams %+v, want %+v", got, all.Upstreams)
		}
	}
	if version, _ := m.r.Versions(); version != m.inForce {
		t.Fatalf("catalogue version %d in force, want %d", version, m.inForce)
	}
	m.checkDecisions(t, m.r.Tick(m.now))
}

// replyResend replies as a new leader that lacks the report's base and asks for a
// complete report.
func (m *machine) replyResend(t *rapid.T, sentAt time.Time, req *structs.EntrySync) {
	var fresh delta.Session
	if _, ok := fresh.Expand(m.term+1, req); ok || req.Base != req.AppliedSeq {
		t.Fatalf("new leader accepted report %+v although it does not have its base, or the base is not the applied view", req)
	}
	m.r.ApplyView(sentAt, &structs.EntryView{Seq: req.Seq, Term: m.term + 1, Resend: true})
	if !m.r.WantsSync() {
		t.Fatal("router does not want another sync after a new leader asked for a complete report")
	}
	m.checkDecisions(t, m.r.Tick(m.now))
}

// drawView generates a complete view and the model's state under it.
func (m *machine) drawView(t *rapid.T, seq uint64) (v *structs.EntryView, grants map[string]int, leaving map[string]bool, concurrency int) {
	v = &structs.EntryView{Seq: seq, Term: m.term, CatalogueVersion: m.version, EntryHosts: 2}
	v.Catalogue = &structs.Catalogue{
		Version: m.version,
		Owners:  map[string]structs.Owner{"desk": m.owner},
		Entries: map[string]structs.Entry{"book": {Owner: "desk", Class: structs.ClassLatency, Hedge: true, RequestTimeoutMS: 3000}},
	}
	grants, leaving = map[string]int{}, map[string]bool{}
	grant := func(kind structs.GrantKind, name string, limit int) int {
		amount := rapid.IntRange(0, limit).Draw(t, "grant")
		if amount > 0 {
			v.Grants = append(v.Grants, structs.Grant{Key: structs.GrantKey{Kind: kind, Name: name}, Amount: amount})
		}
		return amount
	}
	for _, name := range upstreamNames {
		if rapid.IntRange(0, 7).Draw(t, "gone") == 0 {
			leaving[name] = true
			continue
		}
		out := rapid.IntRange(0, 5).Draw(t, "domain out") == 0
		leaving[name] = out || rapid.IntRange(0, 5).Draw(t, "leaving") == 0
		v.Upstreams = append(v.Upstreams, structs.Upstream{Name: name, Entry: "book", Domain: name, Slots: slotsPerUpstream, Connections: 6, Leaving: leaving[name] && !out})
		if out {
			v.DomainsOut = append(v.DomainsOut, name)
		}
		grants[name] = grant(structs.GrantUpstream, name, slotsPerUpstream)
	}
	concurrency = grant(structs.GrantConcurrency, "desk", 6)
	return v, grants, leaving, concurrency
}

// checkReport checks that the report covers the attempts in flight and, under a
// fresh view, the granted slots.
func (m *machine) checkReport(t *rapid.T, req *structs.EntrySync) {
	held := map[string]int{}
	for _, h := range req.Holdings {
		held[string(h.Key.Kind)+h.Key.Name] = h.Held
	}
	fresh := m.now.Before(m.freshUntil)
	for _, name := range upstreamNames {
		if got := held["upstream"+name]; got < m.inUse[name] || fresh && got < m.grants[name] {
			t.Fatalf("reported %d slots held of %s, want at least %d in use and, under a fresh view, %d granted", got, name, m.inUse[name], m.grants[name])
		}
	}
}

// checkDecisions checks the router's decisions against the model and records them.
func (m *machine) checkDecisions(t *rapid.T, decisions []Decision) {
	for _, d := range decisions {
		q, ok := m.requests[d.Request]
		if !ok {
			t.Fatalf("decision for unknown request %d", d.Request)
		}
		switch d.Action {
		case ActionStart:
			m.checkStart(t, q, d)
		case ActionRefuse:
			m.checkRefusal(t, q, d.Err)
		case ActionCancel:
			if a, ok := m.inFlight[d.AttemptID]; !ok || a.req != d.Request || a.committed && !q.idempotent {
				t.Fatalf("cancelled attempt %d of request %d, which is not in flight or must not be cancelled", d.AttemptID, d.Request)
			}
		}
	}
}

func (m *machine) checkStart(t *rapid.T, q *requestModel, d Decision) {
	u := d.Upstream.Name
	switch {
	case q.ended || q.answered:
		t.Fatalf("request %d started after its end", d.Request)
	case m.inFlight[d.AttemptID] != nil:
		t.Fatalf("attempt ID %d used twice", d.AttemptID)
	case !m.now.Before(m.freshUntil) || d.SendBefore.After(m.freshUntil):
		t.Fatal("attempt started under a stale view, or may be sent after the view expires")
	case m.leaving[u]:
		t.Fatalf("attempt started at %s, which is leaving or removed", u)
	case m.inUse[u] >= min(m.grants[u], 3):
		t.Fatalf("%d attempts in flight at %s, granted %d, at most 3 connections", m.inUse[u]+1, u, m.grants[u])
	case !q.idempotent && (q.sent || len(q.inFlight) > 0):
		t.Fatalf("request %d is not idempotent but was started again", d.Request)
	case q.starts >= maxAttempts:
		t.Fatalf("request %d started %d times", d.Request, q.starts+1)
	case q.starts == 0 && m.owner.Concurrency > 0 && m.running() >= m.concurrency:
		t.Fatalf("%d requests in flight, granted %d", m.running()+1, m.concurrency)
	}
	q.starts++
	q.inFlight = append(q.inFlight, d.AttemptID)
	m.inFlight[d.AttemptID] = &attemptModel{req: d.Request, upstream: u}
	m.inUse[u]++
}

// running counts requests that have started and have not ended.
func (m *machine) running() int {
	n := 0
	for _, q := range m.requests {
		if q.starts > 0 && (!q.ended && !q.answered || len(q.inFlight) > 0) {
			n++
		}
	}
	return n
}

func (m *machine) checkRefusal(t *rapid.T, q *requestModel, err *structs.Error) {
	want := structs.OutcomeNotRun
	if q.sent {
		want = structs.OutcomeUnknown
	}
	if q.ended || q.answered || len(q.inFlight) > 0 || err.Outcome != want || err.RetryAfterMS <= 0 {
		t.Fatalf("wrong refusal %+v of request %+v", err, q)
	}
	q.ended = true
}

func (m *machine) admit(t *rapid.T) {
	req := Request{Owner: "desk", Entry: "book", Idempotent: rapid.Bool().Draw(t, "idempotent"),
		Timeout: rapid.SampledFrom([]time.Duration{0, 20 * time.Millisecond, time.Minute}).Draw(t, "timeout")}
	d := m.r.Admit(m.now, req)
	q := &requestModel{idempotent: req.Idempotent}
	if d.Action == ActionRefuse {
		m.checkRefusal(t, q, d.Err)
		return
	}
	if d.Deadline.After(m.now.Add(structs.RequestTimeoutMax)) {
		t.Fatal("deadline is later than RequestTimeoutMax allows")
	}
	m.requests[d.Request] = q
	m.checkDecisions(t, []Decision{d})
	if m.r.Queued() > m.owner.MaxQueued {
		// Retried requests are queued regardless of the limit, so count only the
		// requests that have not started.
		first := 0
		for _, q := range m.requests {
			if q.starts == 0 && !q.ended {
				first++
			}
		}
		if first > m.owner.MaxQueued {
			t.Fatalf("%d new requests queued, limit %d", first, m.owner.MaxQueued)
		}
	}
}

func (m *machine) drawAttempt(t *rapid.T) AttemptID {
	var list []AttemptID
	for k := range m.inFlight {
		list = append(list, k)
	}
	if len(list) == 0 {
		// rapid draws another action instead; the test goes on.
		t.Skip("nothing in flight")
	}
	slices.Sort(list)
	return rapid.SampledFrom(list).Draw(t, "ticket")
}

// commit commits an attempt's answer and checks that the router accepts only
// the first answer of a request.
func (m *machine) commit(t *rapid.T, k AttemptID) bool {
	a := m.inFlight[k]
	if a.committed {
		return true
	}
	q := m.requests[a.req]
	decisions, ok := m.r.Commit(k)
	if ok == (q.answered || q.ended) {
		t.Fatalf("Commit for request %d returned %v, request state %+v", a.req, ok, q)
	}
	if ok {
		a.committed, q.answered = true, true
	}
	m.checkDecisions(t, decisions)
	return ok
}

func (m *machine) done(t *rapid.T, k AttemptID, outcome AttemptOutcome) {
	a := m.inFlight[k]
	q := m.requests[a.req]
	switch {
	case a.committed && outcome == AttemptNotSent:
		outcome = AttemptFailed
	case (outcome == AttemptOK || outcome == AttemptUnhealthy) && !m.commit(t, k):
		outcome = AttemptCancelled
	}
	if outcome != AttemptNotSent {
		q.sent = true
	}
	delete(m.inFlight, k)
	q.inFlight = slices.DeleteFunc(q.inFlight, func(x AttemptID) bool { return x == k })
	m.inUse[a.upstream]--
	m.checkDecisions(t, m.r.Done(m.now, k, outcome))
}

// check compares the router's number of requests in flight with the model's.
func (m *machine) check(t *rapid.T) {
	n := 0
	for _, q := range m.requests {
		if !q.ended && !q.answered || len(q.inFlight) > 0 {
			n++
		}
	}
	if got := m.r.InFlight(); got != n {
		t.Fatalf("router has %d requests in flight, model has %d", got, n)
	}
}

// Checks the package's invariants under random sequences of views, failures,
// timeouts and disconnecting callers. Guards against: more attempts in flight
// than granted, a second attempt of a request that is not idempotent after the
// first may have been sent, attempts under a stale view or at a leaving or
// removed upstream, a view or report that is rebuilt wrongly from deltas, a
// second answer to a request, and a refusal with a wrong outcome.
func TestRoutingRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{r: New("e1", 1), now: time.Unix(1000, 0), requests: map[RequestID]*requestModel{}, inFlight: map[AttemptID]*attemptModel{}, inUse: map[string]int{}}
		m.owner = structs.Owner{MaxQueued: 3, Concurrency: rapid.SampledFrom([]int{0, 5}).Draw(t, "limit")}
		t.Repeat(map[string]func(*rapid.T){
			"sync":  m.sync,
			"admit": m.admit,
			"burst": func(t *rapid.T) {
				for range 5 {
					m.admit(t)
				}
			},
			"done": func(t *rapid.T) {
				m.done(t, m.drawAttempt(t), AttemptOutcome(rapid.IntRange(int(AttemptOK), int(AttemptCancelled)).Draw(t, "outcome")))
			},
			"fail": func(t *rapid.T) {
				m.done(t, m.drawAttempt(t), rapid.SampledFrom([]AttemptOutcome{AttemptNotSent, AttemptFailed}).Draw(t, "outcome"))
			},
			"abandon": func(t *rapid.T) {
				k := m.drawAttempt(t)
				m.checkDecisions(t, m.r.Disconnect(m.now, m.inFlight[k].req))
			},
			"commit": func(t *rapid.T) { m.commit(t, m.drawAttempt(t)) },
			"tick": func(t *rapid.T) {
				m.checkDecisions(t, m.r.Tick(m.now))
				if !m.now.Before(m.freshUntil) && m.r.Queued() > 0 {
					t.Fatal("requests are queued under a stale view")
				}
			},
			"": m.check,
			"wait": func(t *rapid.T) {
				m.now = m.now.Add(rapid.SampledFrom([]time.Duration{time.Millisecond, 50 * time.Millisecond, time.Second, 2 * time.Second}).Draw(t, "time"))
			},
		})
		m.finish(t)
	})
}

// finish ends all requests and checks that no request or share remains.
func (m *machine) finish(t *rapid.T) {
	m.r.Stop()
	for len(m.inFlight) > 0 {
		m.done(t, m.drawAttempt(t), AttemptOK)
	}
	m.now = m.now.Add(time.Minute)
	m.checkDecisions(t, m.r.Tick(m.now))
	for id, q := range m.requests {
		if !q.ended && !q.answered {
			t.Fatalf("request %d did not end", id)
		}
	}
	if n := m.r.InFlight() + m.r.Queued(); n != 0 {
		t.Fatalf("%d requests left after all ended", n)
	}
	m.r.PrepareSync(m.now)
	if !m.r.Released() {
		t.Fatal("router still holds shares after all requests ended")
	}
}

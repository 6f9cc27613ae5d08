package entry

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gooseberrypond/core/structs"
)

// Guards against a request with an idempotency key that runs twice when it is
// retried, and against a retry that gets a false answer: neither the recorded
// response nor an error with the true outcome (in progress, key reused, or response
// too large to be kept).
func TestKeyRunsOnce(t *testing.T) {
	f := newFixture(t, newFakeControl("e1"))
	var seen atomic.Int64
	arrived, release := make(chan struct{}, 10), make(chan struct{})
	f.upstream(t, "u1", 4, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		seen.Add(1)
		arrived <- struct{}{}
		switch string(body) {
		case "slow":
			<-release
		case "cut":
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("X-Visit", "7")
		size := 10
		if string(body) == "large" {
			size = structs.MaxStoredAnswerBytes + 1
		}
		_, _ = io.WriteString(w, strings.Repeat("v", size))
	})
	f.ready(t)
	post := func(key, body string) reply { return f.call(t.Context(), http.MethodPost, "/", body, HeaderKey, key) }

	first := make(chan reply, 1)
	go func() { first <- post("slow", "slow") }()
	<-arrived
	post("slow", "slow").expectRefusal(t, structs.CodeInProgress, structs.OutcomeUnknown)
	post("slow", "other").expectRefusal(t, structs.CodeKeyReused, structs.OutcomeNotRun)
	if open := f.openClaims(); open != 1 {
		t.Errorf("%d claims open, want 1, of the request in flight", open)
	}
	close(release)
	one := <-first
	f.control.waitComplete(t, 1)
	two := post("slow", "slow")
	if one.status != http.StatusOK || two.body != one.body || two.header.Get("X-Visit") != "7" || two.header.Get(HeaderReplayed) != "true" {
		t.Errorf("first %+v, retry %+v; want the retry to replay the first response", one, two)
	}
	if r := post("large", "large"); len(r.body) <= structs.MaxStoredAnswerBytes {
		t.Errorf("large response: %d bytes, refusal %v", len(r.body), r.refusal)
	}
	f.control.waitComplete(t, 2)
	post("large", "large").expectRefusal(t, structs.CodeAlreadyRun, structs.OutcomeUnknown)
	post("cut", "cut").expectRefusal(t, structs.CodeUpstreamFailed, structs.OutcomeUnknown)
	post("cut", "cut").expectRefusal(t, structs.CodeInProgress, structs.OutcomeUnknown)
	if seen.Load() != 3 {
		t.Errorf("requests with 3 keys ran %d times, want 3", seen.Load())
	}
}

// openClaims returns the number of claims whose outcome is not recorded yet.
func (f *fixture) openClaims() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.claims
}

// Guards against a key that stays claimed after its request was refused as not
// run, so that no retry can run. Also guards against a refusal that reports "not
// run" when the claim itself failed: an earlier request may have run, so the
// outcome is unknown.
func TestRefusedKeyIsReleased(t *testing.T) {
	f := newFixture(t, newFakeControl("e1"))
	f.ready(t)
	post := func() reply { return f.call(t.Context(), http.MethodPost, "/", "x", HeaderKey, "k") }
	post().expectRefusal(t, structs.CodeNoUpstream, structs.OutcomeNotRun)
	if len(f.control.claims) != 0 {
		t.Errorf("claims left after the refusal: %v", f.control.claims)
	}
	var seen atomic.Int64
	f.upstream(t, "u1", 4, func(http.ResponseWriter, *http.Request) { seen.Add(1) })
	f.resync(t)
	f.control.mu.Lock()
	f.control.err = structs.Errorf(structs.CodeNoLeader, "test", "no leader").WithOutcome(structs.OutcomeNotRun)
	f.control.mu.Unlock()
	post().expectRefusal(t, structs.CodeNoLeader, structs.OutcomeUnknown)
	if seen.Load() != 0 {
		t.Error("request ran without a claim")
	}
	f.control.mu.Lock()
	f.control.err = nil
	f.control.mu.Unlock()
	if r := post(); r.status != http.StatusOK || seen.Load() != 1 {
		t.Errorf("after the release: status %d, refusal %v, ran %d times", r.status, r.refusal, seen.Load())
	}
}

// Guards against a shutdown that cuts off running or queued requests, accepts new
// ones instead of refusing them as not run, loses the outcomes of claimed requests,
// or keeps grants of slots.
func TestShutdownFinishesRequestsInFlight(t *testing.T) {
	f := newFixture(t, newFakeControl("e1"))
	arrived, release := make(chan struct{}), make(chan struct{})
	f.upstream(t, "u1", 1, func(w http.ResponseWriter, _ *http.Request) {
		arrived <- struct{}{}
		<-release
		_, _ = io.WriteString(w, "whole")
	})
	f.control.blockComplete = make(chan struct{})
	f.ready(t)
	answers := make(chan reply, 2)
	go func() { answers <- f.call(t.Context(), http.MethodPost, "/", "running", HeaderKey, "k") }()
	<-arrived
	go func() { answers <- f.call(t.Context(), http.MethodPost, "/", "queued") }()
	waitUntil(t, func() bool { return f.Dump().Routing.Queued == 1 })

	stopped := make(chan error, 1)
	go func() { stopped <- f.Shutdown(t.Context()) }()
	waitUntil(t, func() bool { return f.Dump().Stopping })
	if f.Ready() {
		t.Error("host is ready while it is stopping")
	}
	f.call(t.Context(), http.MethodPost, "/", "new").expectRefusal(t, structs.CodeShuttingDown, structs.OutcomeNotRun)
	f.call(t.Context(), http.MethodPost, "/", "new", HeaderKey, "n").expectRefusal(t, structs.CodeShuttingDown, structs.OutcomeNotRun)
	select {
	case err := <-stopped:
		t.Fatalf("Shutdown returned with a request in flight: %v", err)
	default:
	}
	release <- struct{}{}
	<-arrived
	release <- struct{}{}
	for range 2 {
		if r := receive(t, answers); r.body != "whole" {
			t.Errorf("status %d, body %q, refusal %v, error %v", r.status, r.body, r.refusal, r.err)
		}
	}
	syncs := f.control.syncCount()
	waitUntil(t, func() bool { return f.control.syncCount() >= syncs+2 || len(stopped) > 0 })
	if len(stopped) > 0 {
		t.Error("Shutdown returned before the outcome of the claimed request was recorded")
	}
	close(f.control.blockComplete)
	if err := receive(t, stopped); err != nil {
		t.Error(err)
	}
	f.control.mu.Lock()
	defer f.control.mu.Unlock()
	if last := f.control.lastSync; !last.Stopping || len(last.Holdings) != 0 {
		t.Errorf("last sync %+v, want Stopping and no holdings", last)
	}
	if c := f.control.claims["desk/k"]; c == nil || c.Answer == nil {
		t.Error("the outcome of the claimed request was not recorded")
	}
}

// Guards against a shutdown that does not return when its context ends while
// requests are in flight, and against an error that does not say how many are left.
func TestShutdownEndsWithItsContext(t *testing.T) {
	f := newFixture(t, newFakeControl("e1"))
	arrived, release := make(chan struct{}), make(chan struct{})
	defer close(release)
	f.upstream(t, "u1", 1, func(http.ResponseWriter, *http.Request) {
		arrived <- struct{}{}
		<-release
	})
	f.ready(t)
	go f.call(t.Context(), http.MethodPost, "/", "x")
	<-arrived
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := f.Shutdown(ctx); err == nil || !strings.Contains(err.Error(), "1 requests in flight") {
		t.Errorf("Shutdown error = %v, want the number of requests in flight", err)
	}
}

// Guards against requests that run under a view that is too old, instead of being
// refused as not run. A view has expired at exactly ViewMaxAge, not only beyond it.
func TestExpiredViewRefusesRequests(t *testing.T) {
	f := newFixture(t, newFakeControl("e1"))
	f.upstream(t, "u1", 4, func(http.ResponseWriter, *http.Request) {})
	f.resync(t)
	f.resync(t)
	if r := f.call(t.Context(), http.MethodPost, "/", "x"); r.status != http.StatusOK {
		t.Errorf("fresh view: status %d, refusal %v", r.status, r.refusal)
	}
	f.ahead.Store(int64(structs.ViewMaxAge))
	f.call(t.Context(), http.MethodPost, "/", "x").expectRefusal(t, structs.CodeStaleView, structs.OutcomeNotRun)
}

// disconnectedWriter is the response writer of a caller that has disconnected.
type disconnectedWriter struct{ header http.Header }

func (w disconnectedWriter) Header() http.Header       { return w.header }
func (w disconnectedWriter) WriteHeader(int)           {}
func (w disconnectedWriter) Write([]byte) (int, error) { return 0, io.ErrClosedPipe }

// Guards against losing the response to a request that is not idempotent when the
// caller disconnects while the response is copied: it must still be read to its end
// and recorded. For an idempotent request the copying stops.
func TestResponseIsReadToItsEnd(t *testing.T) {
	for _, idempotent := range []bool{false, true} {
		rec := &recorder{}
		resp := &http.Response{StatusCode: http.StatusOK, ContentLength: -1, Body: io.NopCloser(strings.NewReader("whole"))}
		err := writeResponse(disconnectedWriter{http.Header{}}, &Request{Idempotent: idempotent}, &answer{resp: resp}, rec)
		if (err != nil) != idempotent || !idempotent && (!rec.finished || string(rec.answer.Body) != "whole") {
			t.Errorf("idempotent %v: error %v, recorded %+v", idempotent, err, rec)
		}
	}
}

package entry

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gooseberrypond/core/route"
	"gooseberrypond/core/structs"
)

// serveTest handles an HTTP request with Run, as a minimal caller interface.
func serveTest(h *Host, w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	ms, _ := strconv.Atoi(r.Header.Get(HeaderTimeout))
	req := &Request{
		Owner: "desk", Entry: "book", Method: r.Method, Path: r.URL.Path, RawQuery: r.URL.RawQuery, Header: r.Header, Body: body,
		Idempotent: r.Method == http.MethodGet, Timeout: time.Duration(ms) * time.Millisecond, Key: r.Header.Get(HeaderKey),
	}
	err := h.Run(r.Context(), w, req)
	var e *structs.Error
	if errors.As(err, &e) {
		w.WriteHeader(http.StatusServiceUnavailable)
		_ = json.NewEncoder(w).Encode(e)
	}
}

// reply is the result of a call as the caller sees it.
type reply struct {
	status  int
	header  http.Header
	body    string
	err     error          // the connection broke, or the refusal could not be decoded
	refusal *structs.Error // set when the entry host refused
}

// call sends one request; header holds alternating names and values.
func (f *fixture) call(ctx context.Context, method, path, body string, header ...string) reply {
	ctx, cancel := context.WithTimeout(ctx, testTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, f.url+path, strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	r := reply{status: resp.StatusCode, header: resp.Header, body: string(data), err: err}
	if r.status == http.StatusServiceUnavailable {
		r.refusal = &structs.Error{}
		r.err = json.Unmarshal(data, r.refusal)
	}
	return r
}

// expectRefusal checks that r is a refusal with the code and outcome.
func (r reply) expectRefusal(t *testing.T, code structs.ErrorCode, outcome structs.Outcome) {
	t.Helper()
	if r.refusal == nil || r.refusal.Code != code || r.refusal.Outcome != outcome {
		t.Errorf("status %d, body %q, refusal %v, error %v; want a refusal with code %s, outcome %s", r.status, r.body, r.refusal, r.err, code, outcome)
	}
}

// tcpUpstream adds an upstream that handles raw TCP connections.
func (f *fixture) tcpUpstream(t *testing.T, name string, handle func(net.Conn)) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				handle(c)
			}()
		}
	}()
	f.control.add(name, l.Addr().String(), 4)
}

// rawAnswer returns a handler that reads one request, counts it in seen and
// writes text as the response.
func rawAnswer(seen *atomic.Int64, text string) func(net.Conn) {
	return func(c net.Conn) {
		req, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		seen.Add(1)
		_, _ = io.WriteString(c, text)
	}
}

// Guards against requests or responses that are changed in forwarding (path,
// query, body, end-to-end headers or status), and against passing on the token or
// hop-by-hop headers.
func TestRunForwardsRequestAndResponse(t *testing.T) {
	f := newFixture(t, newFakeControl("e1"))
	f.upstream(t, "u1", 2, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if r.Header.Get("Authorization") != "" || r.Header.Get("X-Hop") != "" {
			t.Errorf("token or hop-by-hop header was passed on: %v", r.Header)
		}
		if ms, err := strconv.Atoi(r.Header.Get(HeaderTimeout)); err != nil || ms <= 0 || ms > 30000 {
			t.Errorf("timeout header %q, want 1 to 30000", r.Header.Get(HeaderTimeout))
		}
		w.Header().Set("X-Kept", r.Header.Get("X-Kept"))
		w.Header().Set("Connection", "X-Private")
		w.Header().Set("X-Private", "1")
		w.WriteHeader(http.StatusCreated)
		_, _ = io.WriteString(w, r.URL.RequestURI()+" "+string(body))
	})
	f.ready(t)
	r := f.call(t.Context(), http.MethodPost, "/a?q=1", "visit", "Authorization", "Bearer secret", "X-Kept", "yes", "Connection", "X-Hop", "X-Hop", "1")
	if r.status != http.StatusCreated || r.header.Get("X-Kept") != "yes" || r.header.Get("X-Private") != "" {
		t.Errorf("status %d, header %v", r.status, r.header)
	}
	if r.body != "/a?q=1 visit" {
		t.Errorf("body %q", r.body)
	}
}

// Guards against responses that reach the wrong caller, and against more requests
// at the upstreams than they have slots, when many requests run concurrently.
func TestConcurrentRequestsGetTheirOwnResponses(t *testing.T) {
	f := newFixture(t, newFakeControl("e1"))
	var running, maxRunning atomic.Int64
	for i := range 3 {
		f.upstream(t, fmt.Sprintf("u%d", i), 2, func(w http.ResponseWriter, r *http.Request) {
			if n := running.Add(1); n > maxRunning.Load() {
				maxRunning.Store(n)
			}
			defer running.Add(-1)
			body, _ := io.ReadAll(r.Body)
			_, _ = w.Write(append(body, strings.Repeat(".", len(body)*7000)...))
		})
	}
	f.control.catalogue.Owners["desk"] = structs.Owner{MaxQueued: 1000}
	f.ready(t)
	var wg sync.WaitGroup
	for i := range 200 {
		wg.Go(func() {
			want := strconv.Itoa(i)
			r := f.call(t.Context(), http.MethodPost, "/", want)
			if r.status != http.StatusOK || len(r.body) != len(want)*7001 || !strings.HasPrefix(r.body, want+".") {
				t.Errorf("request %d: status %d, %d bytes, refusal %v, err %v", i, r.status, len(r.body), r.refusal, r.err)
			}
		})
	}
	wg.Wait()
	if maxRunning.Load() > 6 {
		t.Errorf("%d requests ran at once on 6 slots", maxRunning.Load())
	}
}

// Guards against three failures when an upstream breaks the connection: a request
// that is not idempotent is sent twice, a refusal reports a wrong outcome, or a
// truncated response looks complete to the caller.
func TestUpstreamBreaksConnection(t *testing.T) {
	const unknown, notRun = structs.OutcomeUnknown, structs.OutcomeNotRun
	long := strings.Repeat("x", maxBufferedBody)
	tests := map[string]struct {
		answer string // what the upstream sends before it closes; "-" means that it closes at the first byte
		post   structs.Outcome
		cut    bool // the caller sees a broken connection
	}{
		"closed before the request is read": {"-", unknown, false},
		"closed after the request is read":  {"", unknown, false},
		"cut in the header":                 {"HTTP/1.1 200 OK\r\nContent-Le", unknown, false},
		"cut in a short body":               {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort", unknown, false},
		"body ends with the connection":     {"HTTP/1.0 200 OK\r\n\r\nwho knows whether this is all", unknown, false},
		"cut in a long body":                {"HTTP/1.1 200 OK\r\nContent-Length: 99999\r\n\r\n" + long, "", true},
		"cut in a chunked body":             {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n", "", true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, newFakeControl("e1"))
			var seen, conns atomic.Int64
			f.tcpUpstream(t, "bad", func(c net.Conn) {
				conns.Add(1)
				if tc.answer == "-" {
					_, _ = c.Read(make([]byte, 1))
					return
				}
				rawAnswer(&seen, tc.answer)(c)
			})
			f.ready(t)
			r := f.call(t.Context(), http.MethodPost, "/", "once")
			switch {
			case tc.cut && r.err == nil:
				t.Errorf("truncated response looks complete: status %d, %d bytes", r.status, len(r.body))
			case !tc.cut:
				r.expectRefusal(t, structs.CodeUpstreamFailed, tc.post)
			}
			if conns.Load() != 1 || seen.Load() > 1 {
				t.Errorf("%d connections, %d requests; want 1 connection, at most 1 request", conns.Load(), seen.Load())
			}
			if tc.cut {
				return
			}
			// An idempotent request is retried and so reaches the working upstream.
			f.upstream(t, "good", 4, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") })
			f.resync(t)
			if r := f.call(t.Context(), http.MethodGet, "/", ""); r.body != "whole" {
				t.Errorf("idempotent request: status %d, body %q, refusal %v", r.status, r.body, r.refusal)
			}
		})
	}
	t.Run("nothing listens", func(t *testing.T) {
		f := newFixture(t, newFakeControl("e1"))
		f.control.add("dead", deadAddress(t), 4)
		f.ready(t)
		f.call(t.Context(), http.MethodPost, "/", "once").expectRefusal(t, structs.CodeUpstreamFailed, notRun)
		var seen atomic.Int64
		f.upstream(t, "good", 4, func(http.ResponseWriter, *http.Request) { seen.Add(1) })
		f.resync(t)
		for range 5 {
			if r := f.call(t.Context(), http.MethodPost, "/", "once"); r.status != http.StatusOK {
				t.Errorf("status %d, refusal %v", r.status, r.refusal)
			}
		}
		if seen.Load() != 5 {
			t.Errorf("5 requests ran %d times, want 5", seen.Load())
		}
	})
}

// Guards against net/http retrying a request that is not idempotent when the
// upstream closes a reused connection: by itself it retries requests with an
// idempotency key, and methods like GET.
func TestTransportDoesNotRetry(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodGet} {
		f := newFixture(t, newFakeControl("e1"))
		var seen atomic.Int64
		f.tcpUpstream(t, "u1", func(c net.Conn) {
			br := bufio.NewReader(c)
			for {
				if _, err := http.ReadRequest(br); err != nil || seen.Add(1) > 1 {
					return // closes the kept connection instead of answering
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			}
		})
		f.ready(t)
		if r := f.call(t.Context(), http.MethodPost, "/", ""); r.status != http.StatusOK {
			t.Fatalf("first request: status %d, refusal %v", r.status, r.refusal)
		}
		// No claim is made because Key is empty; the key headers are still passed on.
		req := &Request{Owner: "desk", Entry: "book", Method: method, Path: "/", Header: http.Header{HeaderKey: {"k"}, "X-Idempotency-Key": {"k"}}}
		err := f.Run(t.Context(), nil, req)
		var e *structs.Error
		if !errors.As(err, &e) || e.Outcome != structs.OutcomeUnknown || seen.Load() != 2 {
			t.Errorf("%s: error %v, upstream got %d requests, want 2", method, err, seen.Load())
		}
	}
}

// Guards against a request that is sent after the view it was started under has
// expired, as can happen after a pause of the process or on a slow connection.
func TestNothingIsSentUnderExpiredView(t *testing.T) {
	f := newFixture(t, newFakeControl("e1"))
	var seen atomic.Int64
	srv := f.upstream(t, "u1", 1, func(http.ResponseWriter, *http.Request) { seen.Add(1) })
	for _, age := range []time.Duration{0, time.Minute} {
		ctx, cancel := context.WithCancel(t.Context())
		d := route.Decision{Upstream: structs.Upstream{Address: srv.Listener.Addr().String()}, MaxConnections: 1,
			Deadline: time.Now().Add(time.Minute), SendBefore: f.cfg.Now().Add(time.Second - age)}
		_, outcome, err := f.exchange(ctx, cancel, d, &Request{Method: http.MethodPost, Path: "/", Body: []byte("x")})
		cancel()
		if old := age > 0; old != (err != nil && outcome == route.AttemptNotSent) || seen.Load() != 1 {
			t.Errorf("view older by %s: outcome %v, error %v, upstream got %d requests", age, outcome, err, seen.Load())
		}
	}
}

// Guards against a late response that reaches a later request, and against a
// caller that waits past its deadline instead of getting an error then, when the
// upstream responds after the deadline.
func TestLateResponse(t *testing.T) {
	f := newFixture(t, newFakeControl("e1"))
	release := make(chan struct{})
	f.upstream(t, "u1", 1, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/late" {
			<-release
		}
		_, _ = io.WriteString(w, r.URL.Path)
	})
	f.ready(t)
	f.call(t.Context(), http.MethodPost, "/late", "x", HeaderTimeout, "1000").expectRefusal(t, structs.CodeDeadline, structs.OutcomeUnknown)
	close(release)
	for range 3 {
		if r := f.call(t.Context(), http.MethodPost, "/next", "x"); r.body != "/next" {
			t.Errorf("status %d, body %q, refusal %v", r.status, r.body, r.refusal)
		}
	}
}

// Guards against new requests being sent to an upstream that is marked as leaving.
func TestLeavingUpstreamGetsNoNewRequests(t *testing.T) {
	f := newFixture(t, newFakeControl("e1"))
	var seen atomic.Int64
	f.upstream(t, "old", 8, func(http.ResponseWriter, *http.Request) { seen.Add(1) })
	f.upstream(t, "new", 8, func(http.ResponseWriter, *http.Request) {})
	f.ready(t)
	f.control.mu.Lock()
	f.control.upstreams[0].Leaving = true
	f.control.mu.Unlock()
	f.resync(t)
	for range 20 {
		if r := f.call(t.Context(), http.MethodPost, "/", "x"); r.status != http.StatusOK {
			t.Errorf("status %d, refusal %v", r.status, r.refusal)
		}
	}
	if seen.Load() != 0 {
		t.Errorf("leaving upstream got %d requests, want 0", seen.Load())
	}
}

// Guards against an idempotent request that keeps running and occupies its slot
// after its caller has disconnected, and against a request that is not idempotent
// being cut off by the disconnect: it must run to its end and have its response
// recorded.
func TestCallerDisconnects(t *testing.T) {
	f := newFixture(t, newFakeControl("e1"))
	arrived, finished := make(chan struct{}), make(chan error, 1)
	release := make(chan struct{})
	f.upstream(t, "u1", 1, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		arrived <- struct{}{}
		select {
		case <-release:
		case <-r.Context().Done():
		}
		finished <- r.Context().Err()
	})
	f.ready(t)
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		ctx, cancel := context.WithCancel(t.Context())
		go f.call(ctx, method, "/", "", HeaderKey, "k")
		<-arrived
		cancel()
		if method == http.MethodPost {
			close(release)
		}
		if err := receive(t, finished); (err == nil) != (method == http.MethodPost) {
			t.Errorf("%s: context error at the upstream = %v", method, err)
		}
	}
	f.control.waitComplete(t, 1)
	if a := f.control.claims["desk/k"].Answer; a == nil || a.Status != http.StatusOK {
		t.Errorf("recorded response %+v, want status 200", a)
	}
}

// Guards against a hedge whose response does not reach the caller, and against a
// slow attempt that is not cancelled once the hedge has been answered.
func TestHedgedRequest(t *testing.T) {
	control := newFakeControl("e1")
	control.catalogue.Entries["book"] = structs.Entry{Owner: "desk", Class: structs.ClassLatency, Hedge: true, RequestTimeoutMS: 30000}
	f := newFixture(t, control)
	var slow atomic.Bool
	arrived, cancelled := make(chan struct{}, 1), make(chan struct{}, 1)
	for _, name := range []string{"u1", "u2"} {
		f.upstream(t, name, 4, func(w http.ResponseWriter, r *http.Request) {
			f.ahead.Add(int64(time.Millisecond))
			if slow.CompareAndSwap(true, false) {
				arrived <- struct{}{}
				<-r.Context().Done()
				cancelled <- struct{}{}
				return
			}
			_, _ = io.WriteString(w, name)
		})
	}
	f.ready(t)
	for range 20 {
		f.call(t.Context(), http.MethodGet, "/", "")
	}
	slow.Store(true)
	answer := make(chan reply, 1)
	go func() { answer <- f.call(t.Context(), http.MethodGet, "/", "") }()
	receive(t, arrived)
	f.ahead.Add(int64(500 * time.Millisecond))
	if r := receive(t, answer); r.status != http.StatusOK || r.body == "" {
		t.Errorf("status %d, body %q, refusal %v, error %v", r.status, r.body, r.refusal, r.err)
	}
	receive(t, cancelled)
	waitUntil(t, func() bool { return f.Dump().Routing.InFlight == 0 })
}

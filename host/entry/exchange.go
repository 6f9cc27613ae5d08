package entry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync"
	"time"

	"gooseberrypond/core/route"
)

// maxBufferedBody is the largest response body, in bytes, that is read completely
// before it is passed on, so that a failure while reading it can still be
// reported to the caller as an error.
const maxBufferedBody = 64 << 10

// answer is an upstream's response. If buffered is set, body holds the complete
// body; otherwise resp.Body is still to be read.
type answer struct {
	resp     *http.Response
	buffered bool
	body     []byte
	cancel   context.CancelFunc
}

// errNoLength refuses responses whose body ends when the connection is closed: a
// truncated body could not be told from a complete one.
var errNoLength = errors.New("upstream response has neither a Content-Length nor chunked encoding")

// exchange sends the request to the upstream of d. It reads the complete
// response if that is small, otherwise only its header. On failure the returned
// response is nil.
func (h *Host) exchange(ctx context.Context, cancel context.CancelFunc, d route.Decision, req *Request) (*answer, route.AttemptOutcome, error) {
	guard := &sendGuard{cancel: cancel, now: h.cfg.Now, sendBefore: d.SendBefore}
	trace := &httptrace.ClientTrace{GotConn: guard.gotConn}
	out := buildRequest(httptrace.WithClientTrace(ctx, trace), d, req, h.cfg.Now())
	resp, err := h.transports.get(d.Upstream.Address, d.MaxConnections).RoundTrip(out)
	if err != nil {
		return nil, guard.classify(ctx, err), err
	}
	response := &answer{resp: resp, cancel: cancel}
	if err := response.buffer(req.Method); err != nil {
		resp.Body.Close()
		return nil, classify(ctx, err), err
	}
	return response, route.AttemptOK, nil
}

// buildRequest returns the HTTP request to send to the upstream of d.
func buildRequest(ctx context.Context, d route.Decision, req *Request, now time.Time) *http.Request {
	out := (&http.Request{
		Method:        req.Method,
		URL:           &url.URL{Scheme: "http", Host: d.Upstream.Address, Path: req.Path, RawPath: req.RawPath, RawQuery: req.RawQuery},
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        upstreamHeader(req),
		Host:          req.Host,
		ContentLength: int64(len(req.Body)),
	}).WithContext(ctx)
	out.Header[HeaderTimeout] = []string{strconv.FormatInt(max(d.Deadline.Sub(now).Milliseconds(), 1), 10)}
	switch {
	case len(req.Body) > 0:
		// net/http retries a request with a body only if GetBody is set.
		out.Body = io.NopCloser(bytes.NewReader(req.Body))
	case !req.Idempotent && retriedByNetHTTP(req.Method):
		// net/http retries methods like GET by itself unless they have a body.
		out.Body = io.NopCloser(bytes.NewReader(nil))
	}
	return out
}

// retriedByNetHTTP reports whether net/http treats the method as idempotent and
// so retries it by itself.
func retriedByNetHTTP(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return false
}

// buffer reads the body if it is empty or has a known length of at most
// maxBufferedBody bytes. It refuses bodies that only end with the connection.
func (r *answer) buffer(method string) error {
	resp := r.resp
	if hasNoBody(method, resp.StatusCode) {
		r.buffered = true
		return resp.Body.Close()
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return errNoLength
	}
	if resp.ContentLength < 0 || resp.ContentLength > maxBufferedBody {
		return nil
	}
	r.body = make([]byte, resp.ContentLength)
	if _, err := io.ReadFull(resp.Body, r.body); err != nil {
		return err
	}
	r.buffered = true
	return resp.Body.Close()
}

// hasNoBody reports whether a response has no body, whatever its header says.
func hasNoBody(method string, status int) bool {
	return method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
}

// discard cancels the exchange and drops the response.
func (r *answer) discard() {
	r.cancel()
	r.resp.Body.Close()
}

// sendGuard tracks whether any part of a request may have been sent. It also
// keeps the request from being sent once the view under which it was started has
// expired.
type sendGuard struct {
	cancel     context.CancelFunc
	now        func() time.Time
	sendBefore time.Time

	mu           sync.Mutex
	conn         *guardedConn
	writesBefore uint64 // writes on conn before the request
	maybeSent    bool   // some part of the request may have been sent
}

// gotConn seals the connection used before and records the new one, which the
// request is about to be written to. If the view has expired, it seals the new one
// too and cancels the request.
func (g *sendGuard) gotConn(info httptrace.GotConnInfo) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sealConn()
	conn, ok := info.Conn.(*guardedConn)
	if !ok {
		g.maybeSent = true
		return
	}
	g.conn, g.writesBefore = conn, conn.writeCount()
	if !g.now().Before(g.sendBefore) {
		conn.seal()
		g.cancel()
	}
}

// sealConn seals the current connection and notes whether it was written to.
func (g *sendGuard) sealConn() {
	if g.conn != nil && g.conn.seal() > g.writesBefore {
		g.maybeSent = true
	}
	g.conn = nil
}

// classify returns the outcome of a failed exchange. Nothing is sent afterwards.
func (g *sendGuard) classify(ctx context.Context, err error) route.AttemptOutcome {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sealConn()
	if !g.maybeSent {
		return route.AttemptNotSent
	}
	return classify(ctx, err)
}

// classify returns the outcome of an exchange that failed after some part of the
// request may have been sent.
func classify(ctx context.Context, err error) route.AttemptOutcome {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded), errors.Is(err, context.DeadlineExceeded):
		return route.AttemptTimeout
	case ctx.Err() != nil:
		return route.AttemptCancelled
	}
	return route.AttemptFailed
}

package entry

import (
	"context"
	"net/http"
	"time"

	"gooseberrypond/core/route"
	"gooseberrypond/core/structs"
)

// Request is a caller's request, read as a whole.
type Request struct {
	Owner string
	Entry string
	// Method, Path, RawPath, RawQuery, Host and Header are passed on to the upstream.
	Method   string
	Path     string
	RawPath  string
	RawQuery string
	Host     string
	Header   http.Header
	Body     []byte
	// Idempotent requests may be sent more than once.
	Idempotent bool
	// Timeout bounds the request; 0 means the default of the entry.
	Timeout time.Duration
	// Key is the idempotency key, or empty.
	Key string
}

// flow is one request on its way.
type flow struct {
	req     *Request
	result  chan result
	cancels map[route.AttemptID]context.CancelFunc // guarded by Host.mu
}

// result is what ends the wait of a flow: an answer to pass on, or an error.
type result struct {
	ticket   route.AttemptID
	deadline time.Time
	ans      *answer
	err      *structs.Error
}

// Run serves a caller's request on w. An error means that nothing was written
// to w. If the answer breaks off after its header was written, Run panics with
// http.ErrAbortHandler, so that the caller sees a broken connection. ctx ends
// when the caller has gone; a request that is not idempotent goes on to its
// end all the same.
func (h *Host) Run(ctx context.Context, w http.ResponseWriter, req *Request) error {
	if err := h.checkOwner(req.Owner, req.Entry); err != nil {
		return err
	}
	if req.Key != "" && !req.Idempotent {
		return h.runClaimed(ctx, w, req)
	}
	return h.run(ctx, w, req, nil)
}

// run admits the request, waits for its answer and passes it on.
func (h *Host) run(ctx context.Context, w http.ResponseWriter, req *Request, rec *recorder) error {
	f := &flow{req: req, result: make(chan result, 2), cancels: make(map[route.AttemptID]context.CancelFunc)}
	first, attempt, err := h.admit(f)
	if err != nil {
		return err
	}
	id := first.Request
	stop := context.AfterFunc(ctx, func() { h.abandon(id) })
	defer stop()
	if attempt != nil {
		// Here rather than in a goroutine of its own: a hand-over costs more
		// than the rest of routing.
		attempt()
	}
	res := <-f.result
	defer h.forget(id)
	if res.err != nil {
		return res.err
	}
	return h.passOn(ctx, w, req, res, rec)
}

// admit hands the request to the router. It returns the first attempt, or nil
// when the request is queued.
func (h *Host) admit(f *flow) (route.Decision, func(), error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	d := h.router.Admit(h.cfg.Now(), route.Request{
		Owner: f.req.Owner, Entry: f.req.Entry, Idempotent: f.req.Idempotent, Timeout: f.req.Timeout,
	})
	if d.Action == route.ActionRefuse {
		return d, nil, d.Err
	}
	h.flows[d.Request] = f
	h.kickSync()
	if d.Action != route.ActionStart {
		return d, nil, nil
	}
	return d, h.prepare(f, d), nil
}

// prepare returns the attempt of d. The caller holds h.mu.
func (h *Host) prepare(f *flow, d route.Decision) func() {
	ctx, cancel := context.WithDeadline(context.Background(), d.Deadline)
	f.cancels[d.AttemptID] = cancel
	return func() { h.attempt(ctx, cancel, f, d) }
}

// dispatch carries out decisions. The caller holds h.mu.
func (h *Host) dispatch(decisions []route.Decision) {
	for _, d := range decisions {
		f, ok := h.flows[d.Request]
		if !ok {
			continue
		}
		switch d.Action {
		case route.ActionStart:
			go h.prepare(f, d)()
		case route.ActionCancel:
			f.cancels[d.AttemptID]()
		case route.ActionRefuse:
			f.result <- result{err: d.Err}
		}
	}
}

// attempt makes one exchange. The answer goes to the flow if it is the first.
func (h *Host) attempt(ctx context.Context, cancel context.CancelFunc, f *flow, d route.Decision) {
	ans, outcome, err := h.exchange(ctx, cancel, d, f.req)
	if err != nil {
		cancel()
		h.logFailure(f.req, d, err)
		h.done(d.AttemptID, outcome)
		return
	}
	if !h.commit(d.AttemptID) {
		ans.discard()
		h.done(d.AttemptID, route.AttemptCancelled)
		return
	}
	f.result <- result{ticket: d.AttemptID, deadline: d.Deadline, ans: ans}
}

func (h *Host) logFailure(req *Request, d route.Decision, err error) {
	h.cfg.Log.Debug().Err(err).Str("request", req.Header.Get(HeaderRequestID)).Str("step", "exchange").Str("upstream", d.Upstream.Name).Str("address", d.Upstream.Address).Msg("attempt failed")
}

// commit reports whether the attempt's answer is the one to pass on.
func (h *Host) commit(t route.AttemptID) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	decisions, ok := h.router.Commit(t)
	h.dispatch(decisions)
	return ok
}

// done reports the end of an attempt.
func (h *Host) done(t route.AttemptID, outcome route.AttemptOutcome) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dispatch(h.router.Done(h.cfg.Now(), t, outcome))
}

// abandon says that the caller of a request has gone.
func (h *Host) abandon(id route.RequestID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dispatch(h.router.Disconnect(h.cfg.Now(), id))
}

func (h *Host) forget(id route.RequestID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.flows, id)
}

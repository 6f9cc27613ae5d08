package entry

import (
	"context"
	"net/http"
	"time"

	"gooseberrypond/core/route"
	"gooseberrypond/core/structs"
)

// Request is a caller's request with its complete body.
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

// activeRequest is a request that has been admitted and is queued or in flight.
type activeRequest struct {
	req     *Request
	result  chan result
	cancels map[route.AttemptID]context.CancelFunc // guarded by Host.mu
}

// result ends the wait of Host.run: it holds a response to pass on, or an error.
type result struct {
	attemptID route.AttemptID
	timeLeft  time.Duration // until the request's deadline
	response  *answer
	err       *structs.Error
}

// Run serves a caller's request on w. An error means that nothing was written
// to w. If the response breaks off after its header was written, Run panics with
// http.ErrAbortHandler, so that the caller sees a broken connection. ctx ends
// when the caller disconnects; a request that is not idempotent still runs to
// its end.
func (h *Host) Run(ctx context.Context, w http.ResponseWriter, req *Request) error {
	if err := h.checkOwner(req.Owner, req.Entry); err != nil {
		return err
	}
	if req.Key != "" && !req.Idempotent {
		return h.runClaimed(ctx, w, req)
	}
	return h.run(ctx, w, req, nil)
}

// run admits the request, waits for the response and passes it on to the caller.
func (h *Host) run(ctx context.Context, w http.ResponseWriter, req *Request, rec *recorder) error {
	ar := &activeRequest{req: req, result: make(chan result, 2), cancels: make(map[route.AttemptID]context.CancelFunc)}
	first, startAttempt, err := h.admit(ar)
	if err != nil {
		return err
	}
	id := first.Request
	stop := context.AfterFunc(ctx, func() { h.abandon(id) })
	defer stop()
	if startAttempt != nil {
		// Runs in this goroutine, because a switch to another one costs more
		// than the rest of routing.
		startAttempt()
	}
	res := <-ar.result
	defer h.remove(id)
	if res.err != nil {
		return res.err
	}
	return h.forwardResponse(ctx, w, req, res, rec)
}

// admit passes the request to the router. The returned function runs the first
// attempt; it is nil if the request is queued.
func (h *Host) admit(ar *activeRequest) (route.Decision, func(), error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	d := h.router.Admit(h.cfg.Now(), route.Request{
		Owner: ar.req.Owner, Entry: ar.req.Entry, Idempotent: ar.req.Idempotent, Timeout: ar.req.Timeout,
	})
	if d.Action == route.ActionRefuse {
		return d, nil, d.Err
	}
	h.active[d.Request] = ar
	h.syncIfWanted()
	if d.Action != route.ActionStart {
		return d, nil, nil
	}
	return d, h.prepareAttempt(ar, d), nil
}

// prepareAttempt returns a function that runs the attempt of d. The caller holds
// h.mu.
func (h *Host) prepareAttempt(ar *activeRequest, d route.Decision) func() {
	ctx, cancel := context.WithTimeout(context.Background(), d.Deadline.Sub(h.cfg.Now()))
	ar.cancels[d.AttemptID] = cancel
	return func() { h.runAttempt(ctx, cancel, ar, d) }
}

// applyDecisions carries out the router's decisions. The caller holds h.mu.
func (h *Host) applyDecisions(decisions []route.Decision) {
	for _, d := range decisions {
		ar, ok := h.active[d.Request]
		if !ok {
			continue
		}
		switch d.Action {
		case route.ActionStart:
			go h.prepareAttempt(ar, d)()
		case route.ActionCancel:
			ar.cancels[d.AttemptID]()
		case route.ActionRefuse:
			ar.result <- result{err: d.Err}
		}
	}
}

// runAttempt makes one exchange. Its response is used if it is the first of all
// attempts of the request, otherwise it is discarded.
func (h *Host) runAttempt(ctx context.Context, cancel context.CancelFunc, ar *activeRequest, d route.Decision) {
	response, outcome, err := h.exchange(ctx, cancel, d, ar.req)
	if err != nil {
		cancel()
		h.logAttemptFailure(ar.req, d, err)
		h.endAttempt(d.AttemptID, outcome)
		return
	}
	if !h.commit(d.AttemptID) {
		response.discard()
		h.endAttempt(d.AttemptID, route.AttemptCancelled)
		return
	}
	ar.result <- result{attemptID: d.AttemptID, timeLeft: d.Deadline.Sub(h.cfg.Now()), response: response}
}

func (h *Host) logAttemptFailure(req *Request, d route.Decision, err error) {
	h.cfg.Log.Debug().Err(err).Str("request", req.Header.Get(HeaderRequestID)).Str("step", "exchange").Str("upstream", d.Upstream.Name).Str("address", d.Upstream.Address).Msg("request attempt at the upstream failed")
}

// commit selects the response of attempt id to be passed on and cancels the
// request's other attempts. It returns false if another response was selected
// before or the request has ended.
func (h *Host) commit(id route.AttemptID) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	decisions, ok := h.router.Commit(id)
	h.applyDecisions(decisions)
	return ok
}

// endAttempt reports the end of attempt id to the router.
func (h *Host) endAttempt(id route.AttemptID, outcome route.AttemptOutcome) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.applyDecisions(h.router.Done(h.cfg.Now(), id, outcome))
}

// abandon tells the router that the caller of a request has disconnected.
func (h *Host) abandon(id route.RequestID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.applyDecisions(h.router.Disconnect(h.cfg.Now(), id))
}

func (h *Host) remove(id route.RequestID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.active, id)
}

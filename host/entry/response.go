package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"gooseberrypond/core/route"
)

// writeMargin is how long after the request's deadline the response may still
// be written to the caller. The limit frees the slot when a caller does not
// read its response.
const writeMargin = time.Second

// errCallerGone ends the copying of a response whose caller has disconnected.
var errCallerGone = errors.New("caller disconnected before the response was complete")

var copyBuffers = sync.Pool{New: func() any { b := make([]byte, 32<<10); return &b }}

// forwardResponse writes the response to the caller and reports the end of the
// attempt to the router. If the response breaks off, forwardResponse panics with
// http.ErrAbortHandler.
func (h *Host) forwardResponse(ctx context.Context, w http.ResponseWriter, req *Request, res result, rec *recorder) error {
	// A writer without support for deadlines keeps the server's write timeout.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(res.timeLeft + writeMargin))
	outcome := route.AttemptFailed
	defer func() {
		res.response.cancel()
		h.endAttempt(res.attemptID, outcome)
	}()
	err := writeResponse(w, req, res.response, rec)
	switch {
	case err == nil:
		outcome = outcomeOfStatus(res.response.resp.StatusCode)
		return nil
	case errors.Is(err, errCallerGone), ctx.Err() != nil:
		outcome = route.AttemptCancelled
	}
	res.response.resp.Body.Close()
	panic(http.ErrAbortHandler)
}

// outcomeOfStatus returns AttemptUnhealthy for status codes which say that the
// upstream is failing, and AttemptOK for all others. 500 does not count as
// unhealthy: one caller's bad request must not eject an upstream.
func outcomeOfStatus(status int) route.AttemptOutcome {
	switch status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return route.AttemptUnhealthy
	}
	return route.AttemptOK
}

// writeResponse writes the complete response to w and to rec. The response to a
// request that is not idempotent is read to its end even if the caller has
// disconnected.
func writeResponse(w http.ResponseWriter, req *Request, response *answer, rec *recorder) error {
	resp := response.resp
	copyEndToEnd(w.Header(), resp.Header)
	rec.header(resp)
	w.WriteHeader(resp.StatusCode)
	if response.buffered {
		rec.write(response.body)
		// A failed write means that the caller has disconnected. The exchange
		// with the upstream is complete all the same.
		_, _ = w.Write(response.body)
		rec.finish()
		return nil
	}
	if err := copyBody(w, req, resp, rec); err != nil {
		return err
	}
	for key, values := range resp.Trailer {
		for _, v := range values {
			w.Header().Add(http.TrailerPrefix+key, v)
		}
	}
	rec.finish()
	return resp.Body.Close()
}

// copyBody copies the body to w and to rec as it arrives. Without a content length
// each part is flushed at once.
func copyBody(w http.ResponseWriter, req *Request, resp *http.Response, rec *recorder) error {
	flush := resp.ContentLength < 0
	ctl := http.NewResponseController(w)
	buf := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	callerGone := false
	for {
		n, err := resp.Body.Read(*buf)
		rec.write((*buf)[:n])
		if n > 0 && !callerGone {
			_, werr := w.Write((*buf)[:n])
			if werr == nil && flush {
				werr = ctl.Flush()
			}
			callerGone = werr != nil
		}
		if callerGone && req.Idempotent {
			return errCallerGone
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

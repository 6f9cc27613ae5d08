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
var errCallerGone = errors.New("the caller does not read the answer")

var copyBuffers = sync.Pool{New: func() any { b := make([]byte, 32<<10); return &b }}

// passOn writes the response to the caller and reports the end of the attempt
// to the router. If the response breaks off, passOn panics with
// http.ErrAbortHandler.
func (h *Host) passOn(ctx context.Context, w http.ResponseWriter, req *Request, res result, rec *recorder) error {
	// A writer without support for deadlines keeps the server's write timeout.
	_ = http.NewResponseController(w).SetWriteDeadline(res.deadline.Add(writeMargin))
	outcome := route.AttemptFailed
	defer func() {
		res.ans.cancel()
		h.done(res.ticket, outcome)
	}()
	err := relay(w, req, res.ans, rec)
	switch {
	case err == nil:
		outcome = healthOf(res.ans.resp.StatusCode)
		return nil
	case errors.Is(err, errCallerGone), ctx.Err() != nil:
		outcome = route.AttemptCancelled
	}
	res.ans.resp.Body.Close()
	panic(http.ErrAbortHandler)
}

// healthOf returns AttemptUnhealthy for status codes which say that the
// upstream is failing, and AttemptOK for all others. 500 does not count as
// unhealthy: one caller's bad request must not eject an upstream.
func healthOf(status int) route.AttemptOutcome {
	switch status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return route.AttemptUnhealthy
	}
	return route.AttemptOK
}

// relay writes the complete response to w and to rec. The response to a request
// that is not idempotent is read to its end even if the caller has disconnected.
func relay(w http.ResponseWriter, req *Request, ans *answer, rec *recorder) error {
	resp := ans.resp
	copyEndToEnd(w.Header(), resp.Header)
	rec.header(resp)
	w.WriteHeader(resp.StatusCode)
	if ans.buffered {
		rec.write(ans.body)
		// A failed write means that the caller has disconnected. The exchange
		// with the upstream is complete all the same.
		_, _ = w.Write(ans.body)
		rec.complete()
		return nil
	}
	if err := stream(w, req, resp, rec); err != nil {
		return err
	}
	for key, values := range resp.Trailer {
		for _, v := range values {
			w.Header().Add(http.TrailerPrefix+key, v)
		}
	}
	rec.complete()
	return resp.Body.Close()
}

// stream copies the body to w and to rec as it arrives. Without a content length
// each part is flushed at once.
func stream(w http.ResponseWriter, req *Request, resp *http.Response, rec *recorder) error {
	flush := resp.ContentLength < 0
	ctl := http.NewResponseController(w)
	buf := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	gone := false
	for {
		n, err := resp.Body.Read(*buf)
		rec.write((*buf)[:n])
		if n > 0 && !gone {
			_, werr := w.Write((*buf)[:n])
			if werr == nil && flush {
				werr = ctl.Flush()
			}
			gone = werr != nil
		}
		if gone && req.Idempotent {
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

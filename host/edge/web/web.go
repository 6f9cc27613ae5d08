// Package web holds the code that the HTTP adapters share: strict decoding of
// JSON bodies, typed JSON errors, and servers and listeners with limits.
package web

import (
	"bytes"
	"crypto/tls"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"gooseberrypond/core/structs"
	"gooseberrypond/host/admission"
	"gooseberrypond/host/config"
)

// httpStatuses maps error codes to HTTP status codes. Codes that are not listed are
// answered with 503.
var httpStatuses = map[structs.ErrorCode]int{
	structs.CodeBadRequest:      http.StatusBadRequest,
	structs.CodeUnauthorized:    http.StatusUnauthorized,
	structs.CodeNotFound:        http.StatusNotFound,
	structs.CodeConflict:        http.StatusConflict,
	structs.CodeKeyReused:       http.StatusUnprocessableEntity,
	structs.CodeTooLarge:        http.StatusRequestEntityTooLarge,
	structs.CodeRateLimited:     http.StatusTooManyRequests,
	structs.CodeQueueFull:       http.StatusTooManyRequests,
	structs.CodeQuota:           http.StatusTooManyRequests,
	structs.CodeDeadline:        http.StatusGatewayTimeout,
	structs.CodeUpstreamFailed:  http.StatusBadGateway,
	structs.CodeInProgress:      http.StatusConflict,
	structs.CodeAlreadyRun:      http.StatusConflict,
	structs.CodeVersionMismatch: http.StatusConflict,
	structs.CodeInternal:        http.StatusInternalServerError,
}

// WriteError answers with err as typed JSON. An error that is not a structs.Error
// is answered as CodeInternal with an unknown outcome.
func WriteError(w http.ResponseWriter, err error) {
	var e *structs.Error
	if !errors.As(err, &e) {
		e = structs.Errorf(structs.CodeInternal, "http", "%v", err).WithOutcome(structs.OutcomeUnknown)
	}
	status, ok := httpStatuses[e.Code]
	if !ok {
		status = http.StatusServiceUnavailable
	}
	if e.RetryAfterMS > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt((e.RetryAfterMS+999)/1000, 10))
	}
	WriteJSON(w, status, structs.ErrorBody{Error: e})
}

// WriteJSON answers with the status and v as JSON.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	enc := json.NewEncoder(w)
	enc.SetEscapeHTML(false)
	// A failed write means that the client has disconnected, so the error cannot
	// be reported to it.
	_ = enc.Encode(v)
}

// ReadBody reads the whole body. One over limit bytes is refused, as is one for which the
// requests of all clients leave no room; step is the step of these errors.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64, step string) ([]byte, error) {
	body, err := admission.ReadBody(w, r, limit)
	var large *http.MaxBytesError
	switch {
	case err == nil:
		return body, nil
	case errors.As(err, &large):
		return nil, structs.Errorf(structs.CodeTooLarge, step, "body is over %d bytes", limit).WithOutcome(structs.OutcomeNotRun)
	case errors.Is(err, admission.ErrOverloaded):
		return nil, structs.Errorf(structs.CodeOverloaded, step, "%v", err).WithOutcome(structs.OutcomeNotRun).WithRetryAfter(1000 * admission.RetrySeconds)
	}
	return nil, BadRequest("body: %v", err)
}

// ReadJSON decodes the whole body into v. Unknown fields, trailing data and
// bodies over limit bytes are refused.
func ReadJSON(w http.ResponseWriter, r *http.Request, limit int64, v any) error {
	body, err := ReadBody(w, r, limit, "http.body")
	if err != nil {
		return err
	}
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	err = dec.Decode(v)
	if err == nil {
		if _, end := dec.Token(); !errors.Is(end, io.EOF) {
			err = errors.New("data after the JSON value")
		}
	}
	if err != nil {
		return BadRequest("body: %v", err)
	}
	return nil
}

// BadRequest returns a CodeBadRequest error with outcome not run, for a mistake in
// the client's request.
func BadRequest(format string, args ...any) *structs.Error {
	return structs.Errorf(structs.CodeBadRequest, "http", format, args...).WithOutcome(structs.OutcomeNotRun)
}

// NewServer returns a server with the given time-outs.
func NewServer(h http.Handler, limits config.Limits) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: time.Duration(limits.ReadTimeout),
		ReadTimeout:       time.Duration(limits.ReadTimeout),
		IdleTimeout:       time.Duration(limits.IdleTimeout),
		// Long polls, and responses that are streamed for the whole duration of a
		// request, must not be cut off.
		WriteTimeout:   structs.RequestTimeoutMax + 30*time.Second,
		MaxHeaderBytes: 64 << 10,
	}
}

// Listen opens a listener with the TLS of its settings. port bounds its connections.
func Listen(l *config.Listener, port *admission.Port) (net.Listener, error) {
	tlsConfig, err := l.TLS.ServerConfig()
	if err != nil {
		return nil, structs.Errorf(structs.CodeInternal, "listen", "%v", err).WithPeer(l.Address)
	}
	nl, err := port.Listen(l.Address)
	if err != nil {
		return nil, structs.Errorf(structs.CodeInternal, "listen", "%v", err).WithPeer(l.Address)
	}
	if tlsConfig != nil {
		nl = tls.NewListener(nl, tlsConfig)
	}
	return nl, nil
}

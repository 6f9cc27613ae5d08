// Package web holds the code that the HTTP adapters share: strict decoding of
// JSON bodies, typed JSON errors, and servers and listeners with limits.
package web

import (
	"crypto/tls"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"gooseberrypond/core/structs"
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

// ReadJSON decodes the whole body into v. Unknown fields, trailing data and
// bodies over limit bytes are refused.
func ReadJSON(w http.ResponseWriter, r *http.Request, limit int64, v any) error {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, limit))
	dec.DisallowUnknownFields()
	err := dec.Decode(v)
	if err == nil {
		if _, end := dec.Token(); !errors.Is(end, io.EOF) {
			err = errors.New("data after the JSON value")
		}
	}
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return structs.Errorf(structs.CodeTooLarge, "http.body", "body is over %d bytes", limit).WithOutcome(structs.OutcomeNotRun)
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

// Listen opens a listener with the connection limit and TLS of its settings.
func Listen(l *config.Listener) (net.Listener, error) {
	tlsConfig, err := l.TLS.ServerConfig()
	if err != nil {
		return nil, structs.Errorf(structs.CodeInternal, "listen", "%v", err).WithPeer(l.Address)
	}
	nl, err := net.Listen("tcp", l.Address)
	if err != nil {
		return nil, structs.Errorf(structs.CodeInternal, "listen", "%v", err).WithPeer(l.Address)
	}
	limit := l.MaxConnections
	if limit == 0 {
		limit = config.DefaultMaxConnections
	}
	nl = &limitListener{Listener: nl, slots: make(chan struct{}, limit), done: make(chan struct{})}
	if tlsConfig != nil {
		nl = tls.NewListener(nl, tlsConfig)
	}
	return nl, nil
}

// limitListener limits the number of open connections to cap(slots).
type limitListener struct {
	net.Listener
	slots chan struct{}
	once  sync.Once
	done  chan struct{}
}

// Accept implements net.Listener. It waits for a free slot first.
func (l *limitListener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.done:
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &limitConn{Conn: c, release: func() { <-l.slots }}, nil
}

// Close implements net.Listener.
func (l *limitListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return l.Listener.Close()
}

// limitConn frees its slot when closed.
type limitConn struct {
	net.Conn
	once    sync.Once
	release func()
}

// Close implements net.Conn.
func (c *limitConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.release)
	return err
}

package structs

import "fmt"

// ErrorCode is the machine-readable kind of an error.
type ErrorCode string

// Error codes.
const (
	CodeBadRequest      ErrorCode = "bad_request"
	CodeUnauthorized    ErrorCode = "unauthorized"
	CodeNotFound        ErrorCode = "not_found"
	CodeConflict        ErrorCode = "conflict"
	CodeKeyReused       ErrorCode = "key_reused"
	CodeTooLarge        ErrorCode = "too_large"
	CodeRateLimited     ErrorCode = "rate_limited"
	CodeQueueFull       ErrorCode = "queue_full"
	CodeOverloaded      ErrorCode = "overloaded"
	CodeQuota           ErrorCode = "quota"
	CodeNoUpstream      ErrorCode = "no_upstream"
	CodeStaleView       ErrorCode = "stale_view"
	CodeNotLeader       ErrorCode = "not_leader"
	CodeNoLeader        ErrorCode = "no_leader"
	CodeDeadline        ErrorCode = "deadline_exceeded"
	CodeUpstreamFailed  ErrorCode = "upstream_failed"
	CodeInProgress      ErrorCode = "in_progress"
	CodeAlreadyRun      ErrorCode = "already_run"
	CodeShuttingDown    ErrorCode = "shutting_down"
	CodeVersionMismatch ErrorCode = "version_mismatch"
	CodeInternal        ErrorCode = "internal"
)

// Outcome says whether work that was refused or failed may have run.
type Outcome string

// Outcomes.
const (
	// OutcomeNotRun means that it is certain that the work has not been started.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown means that the work may have run.
	OutcomeUnknown Outcome = "unknown"
)

// Error is the error type that crosses process boundaries.
type Error struct {
	Code    ErrorCode `json:"code"`
	Message string    `json:"message"`
	Outcome Outcome   `json:"outcome,omitempty"`
	// RetryAfterMS is the suggested delay before a retry, in milliseconds; 0 means no suggestion.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
	// Step is the operation in which the error occurred.
	Step string `json:"step,omitempty"`
	// Peer is the address or name of the peer concerned.
	Peer string `json:"peer,omitempty"`
}

// Error implements error.
func (e *Error) Error() string {
	s := fmt.Sprintf("%s: %s", e.Code, e.Message)
	if e.Step != "" {
		s = e.Step + ": " + s
	}
	if e.Peer != "" {
		s += " (peer " + e.Peer + ")"
	}
	return s
}

// Errorf returns an Error with a formatted message that occurred in the operation step.
func Errorf(code ErrorCode, step, format string, args ...any) *Error {
	return &Error{Code: code, Step: step, Message: fmt.Sprintf(format, args...)}
}

// WithPeer returns a copy of e that names the peer.
func (e *Error) WithPeer(peer string) *Error {
	c := *e
	c.Peer = peer
	return &c
}

// WithOutcome returns a copy of e with the outcome.
func (e *Error) WithOutcome(o Outcome) *Error {
	c := *e
	c.Outcome = o
	return &c
}

// WithRetryAfter returns a copy of e that suggests a retry after ms milliseconds.
func (e *Error) WithRetryAfter(ms int64) *Error {
	c := *e
	c.RetryAfterMS = ms
	return &c
}

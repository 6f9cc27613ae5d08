// Package route decides which upstream an entry host sends each request to. It
// holds the host's view of the catalogue and upstreams, the shares granted to
// the host, the queues, the requests in flight, the retry budgets and the
// ejected upstreams.
//
// The package does no I/O and reads no clock: the caller passes in the time,
// carries out the returned decisions and reports the outcome of each attempt.
// A Router is not safe for concurrent use.
//
// Invariants:
//   - A request that is not idempotent is retried only if nothing of its
//     earlier attempts was sent.
//   - An attempt starts only if, together with it, the attempts in flight at
//     the upstream do not exceed the slots granted at that time.
//   - No attempt starts under a view older than ViewMaxAge.
//   - A refusal carries OutcomeNotRun only if no attempt of the request can
//     have reached an upstream.
package route

import (
	"math/rand/v2"
	"time"

	"gooseberrypond/core/delta"
	"gooseberrypond/core/structs"
)

// RequestID identifies an admitted request on this host.
type RequestID uint64

// AttemptID identifies one attempt of a request on this host.
type AttemptID uint64

// Request describes a caller's request.
type Request struct {
	Owner string
	Entry string
	// Idempotent requests may be attempted more than once.
	Idempotent bool
	// Timeout bounds the whole request, measured from Admit. It is capped at
	// RequestTimeoutMax; 0 selects the timeout of the catalogue entry.
	Timeout time.Duration
}

// Action is what the caller of the router must do for a Decision.
type Action int

// Actions.
const (
	// ActionRefuse ends the request with Err. None of its attempts is in flight.
	ActionRefuse Action = iota
	// ActionStart starts the attempt AttemptID at Upstream.
	ActionStart
	// ActionQueue means that the request is queued. A later decision starts or
	// refuses it.
	ActionQueue
	// ActionCancel cancels the attempt AttemptID. The caller must still report its
	// end with Done.
	ActionCancel
)

// Decision is one action that the caller must carry out.
type Decision struct {
	Request   RequestID
	Action    Action
	AttemptID AttemptID
	Upstream  structs.Upstream
	// MaxConnections is the number of connections that this host may keep open
	// to Upstream. If it is 0, the host may open one connection and must close it
	// after the attempt.
	MaxConnections int
	// Deadline is the deadline of the request.
	Deadline time.Time
	// SendBefore is the time at which the view that the attempt was started
	// under expires. An attempt that has sent nothing by then must end as
	// AttemptNotSent.
	SendBefore time.Time
	Err        *structs.Error
}

// AttemptOutcome is the result of an attempt.
type AttemptOutcome int

// Attempt outcomes.
const (
	// AttemptOK means that the complete answer was passed on to the caller.
	AttemptOK AttemptOutcome = iota
	// AttemptUnhealthy is like AttemptOK, but the answer indicates that the
	// upstream is failing.
	AttemptUnhealthy
	// AttemptNotSent means that no part of the request can have reached the
	// upstream.
	AttemptNotSent
	// AttemptFailed means that the exchange failed and the upstream may have
	// run the request.
	AttemptFailed
	// AttemptTimeout means that the request's deadline passed before the answer
	// was complete.
	AttemptTimeout
	// AttemptCancelled means that the attempt was cancelled by ActionCancel.
	AttemptCancelled
)

// Limits and defaults of routing.
const (
	defaultTimeout   = 10 * time.Second
	defaultMaxQueued = 64
	// maxAttempts limits the attempts of one request, hedges included.
	maxAttempts = 3
	// retryAfterShort is the Retry-After value when the next sync may remove
	// the cause.
	retryAfterShort = 200 * time.Millisecond
	// retryAfterLong is the Retry-After value when the request depends on a
	// leader election or on an upstream's announcement.
	retryAfterLong = time.Second
)

// Router is the routing state of one entry host.
type Router struct {
	host        string
	incarnation uint64
	rng         *rand.Rand

	view           view
	startedAt      time.Time // time of the first sync
	seq            uint64    // of the newest sync
	appliedSeq     uint64    // seq of the sync whose reply was last applied
	completeReport bool      // the newest sync was a complete report and lists the upstreams
	delta          delta.Host
	stopping       bool
	wantsSync      bool

	entries         map[string]*entryState
	upstreams       map[string]*upstream
	owners          map[string]*owner
	requests        map[RequestID]*request
	attemptsByID    map[AttemptID]*attempt
	hedgeCandidates []*attempt // first attempts of requests that may be hedged, oldest first
	lastRequestID   RequestID
	lastAttemptID   AttemptID
	queued          int
	queueOffset     int           // round-robin offset into queuedEntries
	queuedEntries   []*entryState // entries with queued requests
	candidates      []*upstream   // reused by pick
	stats           Stats
}

// Stats counts decisions since the router was created.
type Stats struct {
	Admitted  uint64 `json:"admitted"`
	Queued    uint64 `json:"queued"`
	Refused   uint64 `json:"refused"`
	Retries   uint64 `json:"retries"`
	Hedges    uint64 `json:"hedges"`
	Ejections uint64 `json:"ejections"`
}

// request is one admitted request that has not ended.
type request struct {
	id                 RequestID
	owner              *owner
	entry              *entryState
	idempotent         bool
	arrived            time.Time
	deadline           time.Time
	started            bool      // counted against the owner's limits
	sent               bool      // an attempt may have reached an upstream
	committed          AttemptID // the attempt whose answer is passed on; 0 if none yet
	ended              bool      // the final answer has been decided
	callerDisconnected bool      // the caller has disconnected
	queued             bool
	attempts           int
	inFlight           []*attempt
	tried              []*upstream
}

// attempt is one attempt of a request at an upstream.
type attempt struct {
	attemptID AttemptID
	req       *request
	up        *upstream
	started   time.Time
	hedge     bool
	released  bool
}

// New returns the router of a host. seed seeds the random choices and is also
// the host's incarnation, which must increase with each start of the host.
func New(host string, seed uint64) *Router {
	return &Router{
		host:         host,
		incarnation:  seed,
		rng:          rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)),
		entries:      make(map[string]*entryState),
		upstreams:    make(map[string]*upstream),
		owners:       make(map[string]*owner),
		requests:     make(map[RequestID]*request),
		attemptsByID: make(map[AttemptID]*attempt),
	}
}

// Stop makes the router refuse new requests. Queued requests and requests in
// flight continue.
func (r *Router) Stop() { r.stopping = true }

// InFlight returns the number of requests that have not ended, queued ones
// included.
func (r *Router) InFlight() int { return len(r.requests) }

// Queued returns the number of queued requests.
func (r *Router) Queued() int { return r.queued }

func (r *Router) Stats() Stats { return r.stats }

// WantsSync reports whether the next sync should be sent at once rather than
// at the regular interval: queued requests need larger shares, or the leader
// has asked for a complete report.
func (r *Router) WantsSync() bool { return r.wantsSync }

// refusal returns an error with the outcome and the Retry-After value set.
func refusal(code structs.ErrorCode, outcome structs.Outcome, after time.Duration, format string, args ...any) *structs.Error {
	e := structs.Errorf(code, "route", format, args...)
	e.Outcome = outcome
	e.RetryAfterMS = max(after.Milliseconds(), 1)
	return e
}

// Idle reports whether Tick has nothing to do.
func (r *Router) Idle() bool { return r.queued == 0 && len(r.hedgeCandidates) == 0 }

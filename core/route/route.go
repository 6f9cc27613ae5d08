// Package route decides where an entry host sends requests. It holds the
// host's view of the catalogue and upstreams, its granted shares, the queues,
// the requests in flight, the retry budget and the ejected upstreams.
//
// The package is pure: time is passed in, nothing is sent, and a Router is not
// safe for concurrent use. The caller carries out the returned decisions and
// reports what became of each attempt.
//
// Invariants: a request that is not idempotent is started again only after an
// attempt of which nothing was sent; the attempts in flight at an upstream
// never exceed the granted amount at the time each was started; nothing starts
// under a view older than ViewMaxAge; a refusal carries OutcomeNotRun only if
// no attempt of the request can have reached an upstream.
package route

import (
	"math/rand/v2"
	"time"

	"gooseberrypond/core/delta"
	"gooseberrypond/core/structs"
)

// RequestID names an admitted request on this host.
type RequestID uint64

// AttemptID names one attempt of a request.
type AttemptID uint64

// Request is what a caller asks for.
type Request struct {
	Owner string
	Entry string
	// Idempotent requests may be attempted more than once.
	Idempotent bool
	// Timeout bounds the whole request, counted from Admit. It is cut to
	// RequestTimeoutMax; 0 means the default of the catalogue entry.
	Timeout time.Duration
}

// Action says what the caller of the router is to do.
type Action int

// Actions.
const (
	// ActionRefuse ends the request with Err. No attempt of it is in flight.
	ActionRefuse Action = iota
	// ActionStart begins the attempt Ticket at Upstream.
	ActionStart
	// ActionQueue means that a later decision follows.
	ActionQueue
	// ActionCancel ends the attempt Ticket early; its Done is still to be reported.
	ActionCancel
)

// Decision is one thing to do.
type Decision struct {
	Request  RequestID
	Action   Action
	AttemptID   AttemptID
	Upstream structs.Upstream
	// MaxConnections is the most connections this host may keep open to Upstream.
	// With 0 it may open one and must close it after the attempt.
	MaxConnections int
	// Deadline is when the request ends.
	Deadline time.Time
	// SendBefore is when the view under which the attempt starts ends. An
	// attempt that has sent nothing by then must end as AttemptNotSent.
	SendBefore time.Time
	Err        *structs.Error
}

// AttemptOutcome is what became of an attempt.
type AttemptOutcome int

// Attempt outcomes.
const (
	// AttemptOK means that the whole answer has been passed on.
	AttemptOK AttemptOutcome = iota
	// AttemptUnhealthy is as AttemptOK, but the answer says that the upstream is failing.
	AttemptUnhealthy
	// AttemptNotSent means that nothing can have reached the upstream.
	AttemptNotSent
	// AttemptFailed means that the exchange failed and the upstream may have run the request.
	AttemptFailed
	// AttemptTimeout means that the request's deadline passed first.
	AttemptTimeout
	// AttemptCancelled means that the attempt was ended on ActionCancel.
	AttemptCancelled
)

// Limits and defaults of routing.
const (
	defaultTimeout   = 10 * time.Second
	defaultMaxQueued = 64
	// maxAttempts bounds the attempts of one request, hedges included.
	maxAttempts = 3
	// retryAfterShort is the advice when the cause may end with the next sync.
	retryAfterShort = 200 * time.Millisecond
	// retryAfterLong is the advice when an election or an announcement is awaited.
	retryAfterLong = time.Second
)

// Router is the routing state of one entry host.
type Router struct {
	host        string
	incarnation uint64
	rnd         *rand.Rand

	view      view
	startedAt time.Time // of the first sync
	seq       uint64
	applied   uint64
	told      bool // the newest sync is complete and lists the upstreams
	delta     delta.Host
	stopping  bool
	wantsSync bool

	entries   map[string]*entryState
	upstreams map[string]*upstream
	owners    map[string]*owner
	requests  map[RequestID]*request
	tickets   map[AttemptID]*attempt
	hedgeable []*attempt // first attempts that may be hedged, oldest first
	nextID    RequestID
	nextTick  AttemptID
	queued    int
	queueTurn int
	queueList []*entryState // entries with queued requests
	scratch   []*upstream
	stats     Stats
}

// Stats counts decisions since the router was made.
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
	id        RequestID
	owner     *owner
	entry     *entryState
	idem      bool
	arrived   time.Time
	deadline  time.Time
	started   bool   // the owner's limits have been charged
	sent      bool   // an attempt may have reached an upstream
	committed AttemptID // the attempt whose answer is passed on; 0 while open
	ended     bool   // the final answer is decided
	abandoned bool   // the caller has gone
	queued    bool
	attempts  int
	inFlight  []*attempt
	tried     []*upstream
}

// attempt is one try at an upstream.
type attempt struct {
	ticket   AttemptID
	req      *request
	up       *upstream
	started  time.Time
	hedge    bool
	released bool
}

// New returns the router of a host. seed feeds the random choices and is
// also the host's incarnation, which must grow with each start of the host.
func New(host string, seed uint64) *Router {
	return &Router{
		host:        host,
		incarnation: seed,
		rnd:         rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)),
		entries:     make(map[string]*entryState),
		upstreams:   make(map[string]*upstream),
		owners:      make(map[string]*owner),
		requests:    make(map[RequestID]*request),
		tickets:     make(map[AttemptID]*attempt),
	}
}

// Stop makes the router refuse new requests. Queued requests and those in
// flight go on.
func (r *Router) Stop() { r.stopping = true }

// InFlight returns the number of requests that have not ended, queued ones included.
func (r *Router) InFlight() int { return len(r.requests) }

// Queued returns the number of queued requests.
func (r *Router) Queued() int { return r.queued }

// Stats returns the counters.
func (r *Router) Stats() Stats { return r.stats }

// WantsSync reports whether queued work could start if the leader granted
// more, so that a sync should not wait for its period.
func (r *Router) WantsSync() bool { return r.wantsSync }

// refusal is an error with its outcome and advice.
func refusal(code structs.ErrorCode, outcome structs.Outcome, after time.Duration, format string, args ...any) *structs.Error {
	e := structs.Errorf(code, "route", format, args...)
	e.Outcome = outcome
	e.RetryAfterMS = max(after.Milliseconds(), 1)
	return e
}

// Idle reports whether Tick has nothing to do.
func (r *Router) Idle() bool { return r.queued == 0 && len(r.hedgeable) == 0 }

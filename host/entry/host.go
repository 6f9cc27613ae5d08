// Package entry implements the entry role of a host: it syncs with the leader,
// sends callers' requests to upstreams, and claims the idempotency keys of
// requests that must not run twice.
package entry

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"gooseberrypond/core/route"
	"gooseberrypond/core/structs"
	"gooseberrypond/store/clock"
)

// Control is the interface of the control hosts that the entry role uses.
// Errors are of type *structs.Error.
type Control interface {
	// Sync must return the reply of the last peer that was asked. A late reply
	// of a peer that was abandoned for another must be dropped.
	Sync(ctx context.Context, req *structs.EntrySync) (*structs.EntryView, error)
	Claim(ctx context.Context, c structs.Claim) (structs.Result, error)
	Complete(ctx context.Context, c structs.Complete) error
}

// Config configures a Host.
type Config struct {
	// Host is the id of this host.
	Host string
	// Incarnation must increase with each start of the process; 0 means the
	// wall clock in milliseconds.
	Incarnation uint64
	Control     Control
	Log         zerolog.Logger
	// Now is the clock; nil means clock.Now. It must count the time during which the
	// machine is suspended: the age of the view relies on it.
	Now func() time.Time
}

// Host is the entry role of one host.
type Host struct {
	cfg        Config
	transports transports
	syncNow    chan struct{}  // makes syncLoop sync early
	background sync.WaitGroup // syncLoop and tickLoop
	syncMu     sync.Mutex     // held during a sync, so that only one is in flight

	mu        sync.Mutex
	router    *route.Router
	active    map[route.RequestID]*activeRequest
	tokens    *tokenIndex
	stopping  bool
	claims    int   // claimed requests whose outcome is not recorded yet
	syncErr   error // of the last sync
	syncTried bool  // a sync has ended, with or without success
	cancel    context.CancelFunc
}

// New returns a host. It accepts requests after Start, once the first sync has
// succeeded.
func New(cfg Config) *Host {
	if cfg.Now == nil {
		cfg.Now = clock.Now
	}
	if cfg.Incarnation == 0 {
		cfg.Incarnation = uint64(time.Now().UnixMilli())
	}
	return &Host{
		cfg:     cfg,
		syncNow: make(chan struct{}, 1),
		router:  route.New(cfg.Host, cfg.Incarnation),
		active:  make(map[route.RequestID]*activeRequest),
		tokens:  &tokenIndex{},
	}
}

// Start starts the loops that sync with the leader and serve queued requests.
func (h *Host) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	h.mu.Lock()
	h.cancel = cancel
	h.mu.Unlock()
	h.background.Go(func() { h.syncLoop(ctx) })
	h.background.Go(func() { h.tickLoop(ctx) })
}

// Close stops the loops. It does not wait for requests in flight.
func (h *Host) Close() {
	h.mu.Lock()
	cancel := h.cancel
	h.mu.Unlock()
	if cancel != nil {
		cancel()
	}
	h.background.Wait()
	h.transports.closeIdle()
}

// Ready reports whether new requests are accepted.
func (h *Host) Ready() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.stopping && h.router.Fresh(h.cfg.Now())
}

// Catalogue returns the catalogue in force, or nil before the first view.
func (h *Host) Catalogue() *structs.Catalogue {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.router.Catalogue()
}

// Dump is the state of the entry role, for diagnosis.
type Dump struct {
	Host             string         `json:"host"`
	Incarnation      uint64         `json:"incarnation"`
	Ready            bool           `json:"ready"`
	Stopping         bool           `json:"stopping,omitempty"`
	CatalogueVersion uint64         `json:"catalogue_version"`
	DomainsVersion   uint64         `json:"domains_version"`
	OpenClaims       int            `json:"open_claims"`
	LastSyncError    string         `json:"last_sync_error,omitempty"`
	Routing          route.Snapshot `json:"routing"`
}

// Dump returns the current state of the entry role.
func (h *Host) Dump() Dump {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.cfg.Now()
	catalogue, domains := h.router.Versions()
	d := Dump{
		Host: h.cfg.Host, Incarnation: h.cfg.Incarnation, Ready: !h.stopping && h.router.Fresh(now), Stopping: h.stopping,
		CatalogueVersion: catalogue, DomainsVersion: domains, OpenClaims: h.claims, Routing: h.router.Snapshot(now),
	}
	if h.syncErr != nil {
		d.LastSyncError = h.syncErr.Error()
	}
	return d
}

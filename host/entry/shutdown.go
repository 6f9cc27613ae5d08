package entry

import (
	"context"
	"time"

	"gooseberrypond/core/structs"
)

// drainPollInterval is the interval at which a shutdown checks for remaining
// requests.
const drainPollInterval = 10 * time.Millisecond

// drainLogInterval is the interval at which a shutdown logs what it is waiting
// for.
const drainLogInterval = time.Second

// Shutdown refuses new requests as not run, waits until every request in flight
// has ended and every outcome of a claimed request is recorded, and then
// releases all grants. If ctx ends first, it returns an error that says what is
// left.
func (h *Host) Shutdown(ctx context.Context) error {
	h.mu.Lock()
	h.stopping = true
	h.router.Stop()
	h.mu.Unlock()
	defer h.Close()
	if err := h.drain(ctx); err != nil {
		return err
	}
	return h.releaseGrants(ctx)
}

// drain waits until no request is in flight and no claim is open.
func (h *Host) drain(ctx context.Context) error {
	var reported time.Time
	for {
		h.mu.Lock()
		requests, queued, claims := h.router.InFlight(), h.router.Queued(), h.claims
		h.mu.Unlock()
		if requests == 0 && claims == 0 {
			return nil
		}
		if time.Since(reported) >= drainLogInterval {
			reported = time.Now()
			h.cfg.Log.Info().Str("host", h.cfg.Host).Int("in_flight", requests-queued).Int("queued", queued).Int("open_claims", claims).
				Msg("shutting down: waiting for requests to end and for outcomes of claimed requests to be recorded")
		}
		if !pause(ctx, drainPollInterval) {
			return structs.Errorf(structs.CodeShuttingDown, "entry.shutdown", "%d requests in flight, %d queued, %d claims open", requests-queued, queued, claims)
		}
	}
}

// releaseGrants syncs until the leader has learned that this host holds no grants.
// The router calls the grants that it holds shares.
func (h *Host) releaseGrants(ctx context.Context) error {
	h.cfg.Log.Info().Str("host", h.cfg.Host).Msg("shutting down: releasing all grants at the leader")
	for {
		err := h.syncOnce(ctx)
		if err == nil {
			return nil
		}
		if !pause(ctx, structs.EntrySyncInterval) {
			return err
		}
	}
}

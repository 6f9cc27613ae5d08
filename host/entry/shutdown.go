package entry

import (
	"context"
	"time"

	"gooseberrypond/core/structs"
)

// drainPoll is how often a shutdown looks at what is left.
const drainPoll = 10 * time.Millisecond

// drainReport is how often a shutdown says what it waits for.
const drainReport = time.Second

// Shutdown refuses new requests as not run, waits until every request in
// flight has ended and every outcome is recorded, and gives back all shares.
// It returns early with ctx's error when ctx ends.
func (h *Host) Shutdown(ctx context.Context) error {
	h.mu.Lock()
	h.stopping = true
	h.router.Stop()
	h.mu.Unlock()
	defer h.Close()
	if err := h.drain(ctx); err != nil {
		return err
	}
	return h.release(ctx)
}

// drain waits for requests in flight.
func (h *Host) drain(ctx context.Context) error {
	var reported time.Time
	for {
		h.mu.Lock()
		requests, queued, claims := h.router.InFlight(), h.router.Queued(), h.claims
		h.mu.Unlock()
		if requests == 0 && claims == 0 {
			return nil
		}
		if time.Since(reported) >= drainReport {
			reported = time.Now()
			h.cfg.Log.Info().Str("host", h.cfg.Host).Int("in_flight", requests-queued).Int("queued", queued).Int("open_claims", claims).
				Msg("shutting down: waiting for requests")
		}
		if !pause(ctx, drainPoll) {
			return structs.Errorf(structs.CodeShuttingDown, "entry.shutdown", "%d requests in flight, %d queued, %d claims open", requests-queued, queued, claims)
		}
	}
}

// release tells the leader that no share is held.
func (h *Host) release(ctx context.Context) error {
	h.cfg.Log.Info().Str("host", h.cfg.Host).Msg("shutting down: giving back shares")
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

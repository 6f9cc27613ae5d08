package entry

import (
	"context"
	"time"

	"gooseberrypond/core/structs"
)

const (
	// syncTimeout bounds one sync. A third of ViewMaxAge leaves time for two
	// more syncs if a reply is lost.
	syncTimeout = structs.ViewMaxAge / 3
	// minSyncInterval is the minimum time between the starts of two syncs.
	minSyncInterval = 20 * time.Millisecond
	// tickInterval is how often the router checks queued requests for their
	// deadlines and slow requests for hedging.
	tickInterval = 5 * time.Millisecond
)

// syncLoop syncs every EntrySyncInterval, and earlier when syncNow is signalled.
func (h *Host) syncLoop(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-h.syncNow:
		}
		start := time.Now()
		h.syncOnce(ctx)
		if !pause(ctx, time.Until(start.Add(minSyncInterval))) {
			return
		}
		timer.Reset(time.Until(start.Add(structs.EntrySyncInterval)))
	}
}

// pause waits for d or until ctx ends. It reports whether ctx has not ended.
func pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// syncOnce reports to the leader and applies the view that it returns.
func (h *Host) syncOnce(ctx context.Context) error {
	h.syncMu.Lock()
	defer h.syncMu.Unlock()
	h.mu.Lock()
	sentAt := h.cfg.Now()
	req := h.router.PrepareSync(sentAt)
	h.mu.Unlock()

	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	view, err := h.cfg.Control.Sync(ctx, req)

	h.mu.Lock()
	defer h.mu.Unlock()
	h.recordSyncResult(err)
	if err != nil {
		return err
	}
	h.router.ApplyView(sentAt, view)
	h.tokens = h.tokens.forCatalogue(h.router.Catalogue())
	h.transports.retain(h.router.Upstreams())
	h.applyDecisions(h.router.Tick(h.cfg.Now()))
	h.syncIfWanted()
	return nil
}

// recordSyncResult stores the result of a sync. It logs the first result and every
// change between success and failure.
func (h *Host) recordSyncResult(err error) {
	switch {
	case err != nil && (h.syncErr == nil || !h.syncTried):
		h.cfg.Log.Warn().Err(err).Str("host", h.cfg.Host).Msg("sync with the leader failed")
	case err == nil && (h.syncErr != nil || !h.syncTried):
		h.cfg.Log.Info().Str("host", h.cfg.Host).Msg("in sync with the leader")
	}
	h.syncErr = err
	h.syncTried = true
}

// tickLoop calls tick every tickInterval.
func (h *Host) tickLoop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			h.tick()
		}
	}
}

func (h *Host) tick() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.router.Idle() {
		return
	}
	h.applyDecisions(h.router.Tick(h.cfg.Now()))
}

// syncIfWanted makes syncLoop sync early if queued requests need more slots.
func (h *Host) syncIfWanted() {
	if !h.router.WantsSync() {
		return
	}
	select {
	case h.syncNow <- struct{}{}:
	default:
	}
}

// SyncSoon makes the host sync before the next interval is due. It is called
// when the control hosts have a new version of the catalogue or domains.
func (h *Host) SyncSoon() {
	select {
	case h.syncNow <- struct{}{}:
	default:
	}
}

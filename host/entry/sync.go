package entry

import (
	"context"
	"time"

	"gooseberrypond/core/structs"
)

const (
	// syncTimeout bounds one sync. A third of ViewMaxAge leaves time for two
	// more when an answer is lost.
	syncTimeout = structs.ViewMaxAge / 3
	// syncGap is the shortest time between the starts of two syncs.
	syncGap = 20 * time.Millisecond
	// tickInterval is how often queued and slow requests are looked at.
	tickInterval = 5 * time.Millisecond
)

// syncLoop syncs every EntrySyncInterval, and sooner when queued work needs slots.
func (h *Host) syncLoop(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-h.kick:
		}
		begun := time.Now()
		h.syncOnce(ctx)
		if !pause(ctx, time.Until(begun.Add(syncGap))) {
			return
		}
		timer.Reset(time.Until(begun.Add(structs.EntrySyncInterval)))
	}
}

// pause waits for d and reports whether ctx is still open.
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

// syncOnce reports to the leader and puts its answer in force.
func (h *Host) syncOnce(ctx context.Context) error {
	h.syncing.Lock()
	defer h.syncing.Unlock()
	h.mu.Lock()
	sentAt := h.cfg.Now()
	req := h.router.PrepareSync(sentAt)
	h.mu.Unlock()

	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	view, err := h.cfg.Control.Sync(ctx, req)

	h.mu.Lock()
	defer h.mu.Unlock()
	h.noteSync(err)
	if err != nil {
		return err
	}
	h.router.ApplyView(sentAt, view)
	h.tokens = h.tokens.update(h.router.Catalogue())
	h.transports.keep(h.router.Upstreams())
	h.dispatch(h.router.Tick(h.cfg.Now()))
	h.kickSync()
	return nil
}

// noteSync logs when contact with the leader is lost and found.
func (h *Host) noteSync(err error) {
	switch {
	case err != nil && (h.syncErr == nil || !h.syncOK):
		h.cfg.Log.Warn().Err(err).Str("host", h.cfg.Host).Msg("sync with the leader failed")
	case err == nil && (h.syncErr != nil || !h.syncOK):
		h.cfg.Log.Info().Str("host", h.cfg.Host).Msg("in sync with the leader")
	}
	h.syncErr = err
	h.syncOK = true
}

// tickLoop drives deadlines of queued requests and hedges.
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
	h.dispatch(h.router.Tick(h.cfg.Now()))
}

// kickSync asks for a sync before its period if queued work needs slots.
func (h *Host) kickSync() {
	if !h.router.WantsSync() {
		return
	}
	select {
	case h.kick <- struct{}{}:
	default:
	}
}

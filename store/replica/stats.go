package replica

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"gooseberrypond/core/structs"
)

// slowSyncThreshold is the duration from which a sync is logged as slow: the event
// loop sends no heartbeats during a sync.
const slowSyncThreshold = structs.HeartbeatInterval

// slowSyncLogInterval is the minimum time between log messages about slow syncs, so
// that a slow disk does not fill the log.
const slowSyncLogInterval = 10 * time.Second

// Stats are the counters of a replica since it was opened.
type Stats struct {
	// Proposals is the number of proposals that this replica appended as leader,
	// Batches the number of event loop iterations that appended at least one.
	Proposals, Batches uint64
	// Syncs is the number of syncs of the log, SyncTime their total duration and
	// SyncMax the longest duration.
	Syncs    uint64
	SyncTime time.Duration
	SyncMax  time.Duration
	// LogBytes is the size of the current log segment.
	LogBytes int64
	// SnapshotsTaken is the number of snapshots taken by this replica,
	// SnapshotsInstalled the number received from a leader. SnapshotBytes is the
	// size of the latest of either kind.
	SnapshotsTaken, SnapshotsInstalled uint64
	SnapshotBytes                      int64
	// Elections is the number of times that this replica became the leader.
	Elections uint64
	// Refused counts proposals refused with ErrBusy.
	Refused uint64
	// Suspensions counts how often the replica was suspended by a full disk.
	Suspensions uint64
}

// counters holds the Stats of a replica.
type counters struct {
	proposals, batches, refused, elections    atomic.Uint64
	syncs, snapshotsTaken, snapshotsInstalled atomic.Uint64
	suspensions                               atomic.Uint64
	syncTime, syncMax                         atomic.Int64
	logBytes, snapshotBytes                   atomic.Int64
	slowLogged                                time.Time // used by the loop only
}

// Stats returns the current values of the counters.
func (r *Replica) Stats() Stats {
	c := &r.counters
	return Stats{
		Proposals: c.proposals.Load(), Batches: c.batches.Load(),
		Syncs:    c.syncs.Load(),
		SyncTime: time.Duration(c.syncTime.Load()), SyncMax: time.Duration(c.syncMax.Load()),
		LogBytes:       c.logBytes.Load(),
		SnapshotsTaken: c.snapshotsTaken.Load(), SnapshotsInstalled: c.snapshotsInstalled.Load(),
		SnapshotBytes: c.snapshotBytes.Load(),
		Elections:     c.elections.Load(), Refused: c.refused.Load(),
		Suspensions: c.suspensions.Load(),
	}
}

// recordSync counts a sync and logs it if it was slow. It is called by the loop only.
func (r *Replica) recordSync(start, end time.Time) {
	c, took := &r.counters, end.Sub(start)
	c.syncs.Add(1)
	c.syncTime.Add(int64(took))
	c.syncMax.Store(max(c.syncMax.Load(), int64(took)))
	c.logBytes.Store(r.log.Size())
	if took >= slowSyncThreshold && end.Sub(c.slowLogged) >= slowSyncLogInterval {
		c.slowLogged = end
		r.cfg.Logger.Warn().Str("replica", r.cfg.ID).Dur("took", took).Msg("sync of the log is slow")
	}
}

// applyNotifier wakes the callers of WaitApplied.
type applyNotifier struct {
	mu      sync.Mutex
	changed chan struct{}
}

// nextBatch returns a channel that is closed after the next batch of entries is applied.
func (n *applyNotifier) nextBatch() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.changed == nil {
		n.changed = make(chan struct{})
	}
	return n.changed
}

func (n *applyNotifier) notify() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.changed != nil {
		close(n.changed)
		n.changed = nil
	}
}

// WaitApplied returns once this replica, in any role, has applied the entry at
// index.
func (r *Replica) WaitApplied(ctx context.Context, index uint64) error {
	for {
		changed := r.apply.notifier.nextBatch()
		if r.AppliedIndex() >= index {
			return nil
		}
		select {
		case <-changed:
		case <-r.stopping:
			return r.stopError()
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "wait for entry %d", index)
		}
	}
}

package replica

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"gooseberrypond/store/consensus"
	"gooseberrypond/store/disk"
	"gooseberrypond/store/wal"
)

// applier applies committed entries in order, in its own goroutine.
type applier struct {
	r        *Replica
	applied  atomic.Uint64
	notifier applyNotifier

	mu      sync.Mutex
	cond    *sync.Cond
	queue   []applyItem
	stopped bool

	// The following fields are used by the goroutine of run only.
	last       consensus.Position
	membership consensus.Membership
	entries    int
	bytes      int64
	snapshotAt time.Time // when the last snapshot, or else the applier, was started

	// snapshotting is true while a snapshot is encoded and written.
	snapshotting atomic.Bool
	// retrySnapshot is set after a snapshot that did not fit on the disk.
	retrySnapshot atomic.Bool
	background    sync.WaitGroup
}

// applyItem is queued work of the applier. Exactly one field is set.
type applyItem struct {
	entries []consensus.Entry
	restore *restore
	read    *readRequest
}

type restore struct {
	meta consensus.SnapshotMeta
	data []byte
}

func newApplier(r *Replica, meta consensus.SnapshotMeta) *applier {
	a := &applier{r: r, last: meta.Last, membership: meta.Membership, snapshotAt: r.cfg.Now()}
	a.cond = sync.NewCond(&a.mu)
	a.applied.Store(meta.Last.Index)
	return a
}

func (a *applier) enqueue(item applyItem) {
	a.mu.Lock()
	a.queue = append(a.queue, item)
	a.mu.Unlock()
	a.cond.Signal()
}

func (a *applier) stop() {
	a.mu.Lock()
	a.stopped = true
	a.mu.Unlock()
	a.cond.Signal()
}

func (a *applier) dequeue() ([]applyItem, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for len(a.queue) == 0 && !a.stopped {
		a.cond.Wait()
	}
	items := a.queue
	a.queue = nil
	return items, !a.stopped
}

func (a *applier) run() {
	for {
		items, ok := a.dequeue()
		for _, item := range items {
			if ok {
				ok = a.handleOrFail(item)
			} else if item.read != nil {
				item.read.done <- ErrStopped
			}
		}
		if !ok {
			a.drain()
			return
		}
	}
}

func (a *applier) handleOrFail(item applyItem) bool {
	err := a.handle(item)
	if err != nil {
		a.r.fail(err)
	}
	return err == nil
}

// drain discards queued items until the event loop has stopped the applier. It
// answers reads with ErrStopped and applies nothing.
func (a *applier) drain() {
	for ok := true; ok; {
		var items []applyItem
		items, ok = a.dequeue()
		for _, item := range items {
			if item.read != nil {
				item.read.done <- ErrStopped
			}
		}
	}
}

func (a *applier) handle(item applyItem) error {
	switch {
	case item.restore != nil:
		return a.restore(item.restore)
	case item.read != nil:
		item.read.done <- nil
		return nil
	}
	for _, e := range item.entries {
		if err := a.applyEntry(e); err != nil {
			return err
		}
	}
	a.notifier.notify()
	return a.maybeSnapshot()
}

func (a *applier) applyEntry(e consensus.Entry) error {
	var result any
	switch e.Kind {
	case consensus.EntryNormal:
		result = a.r.cfg.StateMachine.Apply(e.Index, e.Data)
	case consensus.EntryConfig:
		m, err := consensus.DecodeMembership(e.Data)
		if err != nil {
			return errors.Wrapf(err, "entry %d", e.Index)
		}
		a.membership = m
	}
	a.last = consensus.Position{Index: e.Index, Term: e.Term}
	a.entries++
	a.bytes += int64(len(e.Data)) + entryOverhead
	a.applied.Store(e.Index)
	a.r.pendingProposals.applied(e, result)
	return nil
}

func (a *applier) restore(x *restore) error {
	if err := a.r.cfg.StateMachine.Restore(x.data); err != nil {
		return errors.Wrapf(err, "restore snapshot at %d", x.meta.Last.Index)
	}
	a.last, a.membership = x.meta.Last, x.meta.Membership
	a.entries, a.bytes = 0, 0
	a.applied.Store(x.meta.Last.Index)
	a.notifier.notify()
	return nil
}

// entryOverhead is the assumed memory use of an entry besides its data, in bytes.
const entryOverhead = 64

// snapshotDue reports whether enough was applied since the last snapshot to take
// another one. The number of entries triggers at most one snapshot per
// SnapshotInterval, since encoding the whole state costs more than keeping many
// small entries.
func (a *applier) snapshotDue(now time.Time) bool {
	cfg := &a.r.cfg
	if a.retrySnapshot.Load() {
		return now.Sub(a.snapshotAt) >= snapshotRetryInterval
	}
	if a.bytes >= cfg.SnapshotBytes {
		return true
	}
	return a.entries >= cfg.SnapshotEntries && now.Sub(a.snapshotAt) >= cfg.SnapshotInterval
}

// maybeSnapshot starts a snapshot if one is due and none is being written.
func (a *applier) maybeSnapshot() error {
	now := a.r.cfg.Now()
	if !a.snapshotDue(now) {
		return nil
	}
	if !a.snapshotting.CompareAndSwap(false, true) {
		return nil
	}
	a.entries, a.bytes, a.snapshotAt = 0, 0, now
	a.retrySnapshot.Store(false)
	meta := consensus.SnapshotMeta{Last: a.last, Membership: a.membership}
	encode, err := a.encoder()
	if err != nil {
		return errors.Wrapf(err, "snapshot at %d", meta.Last.Index)
	}
	a.background.Add(1)
	go func() {
		defer a.background.Done()
		defer a.snapshotting.Store(false)
		switch err := a.save(meta, encode); {
		case disk.IsFull(err):
			a.snapshotFailed(err)
		case err != nil:
			a.r.fail(errors.Wrapf(err, "snapshot at %d", meta.Last.Index))
		}
	}()
	return nil
}

// snapshotFailed schedules another snapshot after one that did not fit on the disk.
// The log keeps growing until then.
func (a *applier) snapshotFailed(err error) {
	a.retrySnapshot.Store(true)
	a.r.cfg.Logger.Warn().Err(err).Str("replica", a.r.cfg.ID).Msg("no space for a snapshot; it will be retried")
}

// encoder returns a function that returns the encoded state as of this call. The
// state of a Forker is encoded when the function is called, that of any other
// state machine at once.
func (a *applier) encoder() (func() ([]byte, error), error) {
	if f, ok := a.r.cfg.StateMachine.(Forker); ok {
		return f.Fork(), nil
	}
	data, err := a.r.cfg.StateMachine.Snapshot()
	return func() ([]byte, error) { return data, nil }, err
}

func (a *applier) save(meta consensus.SnapshotMeta, encode func() ([]byte, error)) error {
	start := a.r.cfg.Now()
	data, err := encode()
	if err != nil {
		return err
	}
	if err := a.r.snaps.Save(meta, data); err != nil {
		return err
	}
	a.r.counters.snapshotsTaken.Add(1)
	a.r.counters.snapshotBytes.Store(int64(len(data)))
	a.r.cfg.Logger.Info().Str("replica", a.r.cfg.ID).Uint64("index", meta.Last.Index).Int("bytes", len(data)).
		Dur("took", a.r.cfg.Now().Sub(start)).Msg("wrote snapshot")
	return a.truncateLog(meta)
}

// truncateLog replaces the log segment by one that starts after the previous
// snapshot. Most of the new segment is written here, outside the event loop,
// since writing megabytes in the loop would delay heartbeats.
func (a *applier) truncateLog(meta consensus.SnapshotMeta) error {
	var p *wal.PendingSegment
	ok := a.runInLoop(func(time.Time) (err error) {
		p, err = a.r.compact(meta)
		return err
	})
	if !ok {
		return nil // the replica is stopping; the log is truncated after the next snapshot
	}
	if err := p.Write(); err != nil {
		return err
	}
	if !a.runInLoop(func(time.Time) error { return a.r.switchSegment(p) }) {
		return p.Discard()
	}
	return nil
}

// runInLoop runs f in the event loop and reports whether f ran without an error. An
// error from f stops the replica. f may not run if the replica is stopping.
func (a *applier) runInLoop(f func(now time.Time) error) bool {
	done := make(chan bool, 1)
	err := a.r.in.add(func(b *inputBatch) {
		b.calls = append(b.calls, func(now time.Time) error {
			err := f(now)
			done <- err == nil
			return err
		})
	})
	if err != nil {
		return false
	}
	select {
	case ok := <-done:
		return ok
	case <-a.r.stopped:
		return false
	case <-a.r.stopping:
		return false
	}
}
